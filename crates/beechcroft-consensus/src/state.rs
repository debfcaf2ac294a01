//! What the registers hold, and the orders that change it.

use crate::{bytes, Value};
use beechcroft_config::Config;
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use rand::RngExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};

/// Versions taken before, that an identical repeat is still acknowledged for.
const HISTORY: usize = 512;

/// Of what an operator sent: 128 bits of BLAKE3.
pub type Digest = [u8; 16];

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    pub version: u32,
    /// As the operator sent it, deflated: it goes through ballots, onto disks and over thin links.
    body: Vec<u8>,
    /// Versions taken, each with the digest of its body: the newest ones.
    history: VecDeque<(u32, Digest)>,
    /// The newest version taken that the history no longer holds.
    forgotten: u32,
}

/// How far a rollout has come. Trial requests go to a few units; then steps of the ramp; then all, while what
/// still runs on the earlier version ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    Active(u8),
    Complete,
    Reverted,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    pub target: String,
    /// Tells this rollout from later ones of the service.
    pub begun: u64,
    /// When it was asked for, as the core machine's clock had it: ms since 1970.
    pub begun_at_ms: u64,
    pub ramp_ms: u64,
    pub stage: Stage,
}

/// Units that every relay leaves out for what must not run twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    pub version: u64,
    pub aside: BTreeSet<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// By service.
    pub rollouts: BTreeMap<String, Rollout>,
    pub evacuated: BTreeSet<String>,
    /// Rises with each begin and finish, so that a relay can tell that a zone was taken back.
    pub evacuations: u64,
    /// The version that a service runs where no rollout says otherwise.
    pub bases: BTreeMap<String, String>,
    /// Where requests that must not run twice may not go, by service.
    pub placements: BTreeMap<String, Placement>,
    /// Versions that were reverted, by service.
    pub withdrawn: BTreeMap<String, BTreeSet<String>>,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Only confirms the value.
    Read,
    /// `body` is deflated; `digest` is of what the operator sent.
    Replace {
        version: u32,
        base: u32,
        digest: Digest,
        body: Vec<u8>,
    },
    /// `at_ms`: the time of day, since 1970; within `repeat_ms` of it the same order is the same rollout's.
    Begin {
        service: String,
        target: String,
        ramp_ms: u64,
        at_ms: u64,
        repeat_ms: u64,
    },
    Move {
        service: String,
        begun: u64,
        from: Stage,
        to: Stage,
    },
    Evacuate {
        zone: String,
        begin: bool,
    },
    Base {
        service: String,
        version: String,
    },
    /// A new placement, on top of the one that its maker knew.
    Place {
        service: String,
        from: u64,
        aside: BTreeSet<String>,
    },
}

impl Op {
    pub fn register(&self) -> usize {
        if matches!(self, Op::Replace { .. }) {
            crate::CONFIG
        } else {
            crate::ORDERS
        }
    }
}

impl Op {
    /// Whether the order says by itself on what it builds, so that one that comes late changes nothing.
    pub fn is_fenced(&self) -> bool {
        !matches!(self, Op::Begin { .. } | Op::Evacuate { .. })
    }

    /// The order to put a configuration in place.
    pub fn replace(version: u32, base: u32, sent: &[u8]) -> Op {
        let mut body = Vec::new();
        let mut deflate = DeflateEncoder::new(&mut body, Compression::fast());
        deflate
            .write_all(sent)
            .and_then(|()| deflate.finish())
            .expect("into memory");
        Op::Replace {
            version,
            base,
            digest: digest(sent),
            body,
        }
    }
}

fn digest(body: &[u8]) -> Digest {
    let mut digest = Digest::default();
    digest.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
    digest
}

/// A register's value as it was encoded. One that was never written is the empty one; one that cannot be read whole is a
/// fault, never an empty one.
fn decode<T: Default + DeserializeOwned>(value: &Value, what: &str) -> Result<T, Error> {
    if value.revision == 0 && value.bytes.is_empty() {
        return Ok(T::default());
    }
    match bytes::decode(&value.bytes) {
        Ok(held) => Ok(held),
        Err(_) if !Safeguard::UndecodableValues.is_enabled() => Ok(T::default()),
        Err(why) => {
            let length = value.bytes.len();
            let said = format!(
                "{what} at revision {}, {length} bytes: {why}",
                value.revision
            );
            Err(Error::new(ErrorKind::CorruptState, said))
        }
    }
}

impl ConfigStore {
    pub fn decode(value: &Value) -> Result<ConfigStore, Error> {
        decode(value, "the configuration")
    }

    pub fn encode(&self) -> Vec<u8> {
        bytes::encode(self)
    }

    /// Whether that very configuration has been taken before, as far as the history goes back.
    pub fn has_taken(&self, op: &Op) -> bool {
        matches!(op, Op::Replace { version, digest, .. } if self.history.contains(&(*version, *digest)))
    }

    /// Applies an order; whether the store has changed, or why it is refused.
    pub fn apply(&mut self, op: &Op) -> Result<bool, Error> {
        let Op::Replace {
            version,
            base,
            digest,
            body,
        } = op
        else {
            return Ok(false);
        };
        let same = |held: &(u32, Digest)| {
            held.0 == *version && (held.1 == *digest || !Safeguard::RepeatHasSameBody.is_enabled())
        };
        if self.history.iter().any(same) {
            return Ok(false); // a repeat
        }
        if *version <= self.forgotten && Safeguard::ForgottenVersions.is_enabled() {
            let said = format!("version {version:08x} is from before what is still remembered");
            return Err(Error::new(ErrorKind::VersionForgotten, said));
        }
        if *base != self.version {
            let said = format!(
                "version {:08x} is in place, the base is {base:08x}",
                self.version
            );
            return Err(Error::new(ErrorKind::VersionConflict, said));
        }
        if *version <= self.version {
            let said = format!("version {version:08x} is not above {:08x}", self.version);
            return Err(Error::new(ErrorKind::Invalid, said));
        }
        if self.history.len() >= HISTORY {
            self.forgotten = self
                .history
                .pop_front()
                .map_or(self.forgotten, |(version, _)| version);
        }
        self.history.push_back((*version, *digest));
        (self.version, self.body) = (*version, body.clone());
        Ok(true)
    }

    /// The configuration as the operator sent it; empty before the first.
    pub fn body(&self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        let Some((version, sent)) = self.history.back() else {
            return Ok(body);
        };
        let whole = DeflateDecoder::new(&self.body[..])
            .read_to_end(&mut body)
            .is_ok();
        if !whole || (*version, *sent) != (self.version, digest(&body)) {
            let said = format!("version {:08x} is not what was sent", self.version);
            return Err(Error::new(ErrorKind::CorruptState, said));
        }
        Ok(body)
    }

    /// None before the first.
    pub fn config(&self) -> Option<Config> {
        Config::read(&self.body().ok()?).ok()
    }
}

impl Orders {
    pub fn decode(value: &Value) -> Result<Orders, Error> {
        decode(value, "orders")
    }

    pub fn encode(&self) -> Vec<u8> {
        bytes::encode(self)
    }

    pub fn apply(&mut self, op: &Op, rng: &mut impl RngExt) -> Result<bool, Error> {
        match op {
            Op::Read | Op::Replace { .. } => Ok(false),
            Op::Begin {
                service,
                target,
                ramp_ms,
                at_ms,
                repeat_ms,
            } => {
                let based = self.bases.get(service) == Some(target);
                let mut stage = Stage::Active(0);
                if let Some(held) = self.rollouts.get(service) {
                    let same = held.target == *target;
                    let within = held.begun_at_ms.abs_diff(*at_ms) <= *repeat_ms;
                    match held.stage {
                        Stage::Active(_) if same && held.ramp_ms == *ramp_ms => return Ok(false), // a repeat
                        Stage::Active(_) => {
                            let said = format!(
                                "a rollout of {service} to {} over {} ms is active",
                                held.target, held.ramp_ms
                            );
                            return Err(Error::new(ErrorKind::InProgress, said));
                        }
                        Stage::Complete if same && based => return Ok(false), // nothing is left to move
                        Stage::Reverted if same && !Safeguard::RolloutRestart.is_enabled() => {
                            return Ok(false)
                        }
                        Stage::Reverted
                            if same && within && Safeguard::RepeatWindow.is_enabled() =>
                        {
                            return Ok(false)
                        }
                        _ => {}
                    }
                }
                if based {
                    stage = Stage::Complete; // as asked for, and nothing is to be moved
                }
                if let Some(withdrawn) = self.withdrawn.get_mut(service) {
                    withdrawn.remove(target);
                }
                let rollout = Rollout {
                    target: target.clone(),
                    begun: rng.random(),
                    begun_at_ms: *at_ms,
                    ramp_ms: *ramp_ms,
                    stage,
                };
                self.rollouts.insert(service.clone(), rollout);
                Ok(true)
            }
            Op::Move {
                service,
                begun,
                from,
                to,
            } => {
                let Some(held) = self.rollouts.get_mut(service) else {
                    return Ok(false);
                };
                // A vote back holds for whatever stage it meets: a step may have been taken just before it.
                let back = *to == Stage::Reverted
                    && matches!(held.stage, Stage::Active(_))
                    && Safeguard::RollbackFromAnyStage.is_enabled();
                if held.begun != *begun || held.stage != *from && !back {
                    return Ok(false);
                }
                held.stage = *to;
                match to {
                    Stage::Complete => {
                        let target = held.target.clone();
                        self.bases.insert(service.clone(), target);
                    }
                    Stage::Reverted => {
                        let target = held.target.clone();
                        self.withdrawn
                            .entry(service.clone())
                            .or_default()
                            .insert(target);
                    }
                    Stage::Active(_) => {}
                }
                Ok(true)
            }
            Op::Evacuate { zone, begin } => {
                let changed = if *begin {
                    self.evacuated.insert(zone.clone())
                } else {
                    self.evacuated.remove(zone)
                };
                self.evacuations += u64::from(changed);
                Ok(changed)
            }
            Op::Place {
                service,
                from,
                aside,
            } => {
                let held = self.placements.entry(service.clone()).or_default();
                if held.version != *from || held.aside == *aside {
                    return Ok(false);
                }
                *held = Placement {
                    version: from + 1,
                    aside: aside.clone(),
                };
                Ok(true)
            }
            Op::Base { service, version } => {
                if self.bases.contains_key(service) {
                    return Ok(false);
                }
                self.bases.insert(service.clone(), version.clone());
                Ok(true)
            }
        }
    }

    /// Whether units of a version may be sent requests at all, and whether only as a trial.
    pub fn admits(&self, service: &str, version: &str) -> Admits {
        if let Some(rollout) = self.rollouts.get(service) {
            if rollout.target == version {
                return match rollout.stage {
                    Stage::Active(stage) => Admits::Trial(stage),
                    Stage::Complete => Admits::Base,
                    Stage::Reverted => Admits::No,
                };
            }
        }
        match self.bases.get(service) {
            Some(base) if base == version => Admits::Base,
            Some(_) => Admits::No,
            None => Admits::Unknown,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admits {
    Base,
    Trial(u8),
    No,
    /// No version of the service is known to be the one in use.
    Unknown,
}
