//! What the registers hold, and the orders that change it.

use beechcroft_kinds::{Fault, Kind};
use beechcroft_map::Config;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};

/// Versions taken before, that an identical repeat is still acknowledged for.
const HISTORY: usize = 512;

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    pub version: u32,
    /// As the operator sent it, deflated: it goes through ballots, onto disks and over thin links.
    body: Vec<u8>,
    /// Versions taken, each with the digest of its body.
    history: VecDeque<(u32, u64)>,
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
        digest: u64,
        body: Vec<u8>,
    },
    Begin {
        service: String,
        target: String,
        ramp_ms: u64,
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
    /// The order to put a configuration in place.
    pub fn replace(version: u32, base: u32, sent: &[u8]) -> Op {
        let mut body = Vec::new();
        let mut deflate = DeflateEncoder::new(&mut body, Compression::fast());
        deflate.write_all(sent).and_then(|()| deflate.finish()).expect("into memory");
        Op::Replace { version, base, digest: digest(sent), body }
    }
}

fn digest(body: &[u8]) -> u64 {
    body.iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum: u64, &b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl ConfigStore {
    /// Applies an order; whether the store has changed, or why it is refused.
    pub fn apply(&mut self, op: &Op) -> Result<bool, Fault> {
        let Op::Replace { version, base, digest, body } = op else { return Ok(false) };
        if self.history.contains(&(*version, *digest)) {
            return Ok(false);
        }
        if *base != self.version {
            let said = format!("version {:08x} is in place, the base is {base:08x}", self.version);
            return Err(Fault::new(Kind::OtherVersion, said));
        }
        if *version <= self.version {
            let said = format!("version {version:08x} is not above {:08x}", self.version);
            return Err(Fault::new(Kind::Invalid, said));
        }
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((*version, *digest));
        (self.version, self.body) = (*version, body.clone());
        Ok(true)
    }

    /// The configuration as the operator sent it; empty before the first.
    pub fn body(&self) -> Vec<u8> {
        let mut body = Vec::new();
        if !self.body.is_empty() {
            // What was agreed was deflated here: it is whole.
            let _ = DeflateDecoder::new(&self.body[..]).read_to_end(&mut body);
        }
        body
    }

    pub fn config(&self) -> Option<Config> {
        Config::read(&self.body()).ok()
    }
}

impl Orders {
    pub fn apply(&mut self, op: &Op, rng: &mut impl RngExt) -> Result<bool, Fault> {
        match op {
            Op::Read | Op::Replace { .. } => Ok(false),
            Op::Begin { service, target, ramp_ms } => {
                if self.rollouts.get(service).is_some_and(|held| held.target == *target) {
                    return Ok(false); // a repeat
                }
                if let Some(Rollout { stage: Stage::Active(_), target, .. }) = self.rollouts.get(service) {
                    return Err(Fault::new(
                        Kind::UnderWay,
                        format!("a rollout of {service} to {target} is active"),
                    ));
                }
                if let Some(withdrawn) = self.withdrawn.get_mut(service) {
                    withdrawn.remove(target);
                }
                let begun = rng.random();
                let rollout =
                    Rollout { target: target.clone(), begun, ramp_ms: *ramp_ms, stage: Stage::Active(0) };
                self.rollouts.insert(service.clone(), rollout);
                Ok(true)
            }
            Op::Move { service, begun, from, to } => {
                let held =
                    self.rollouts.get_mut(service).filter(|held| held.begun == *begun && held.stage == *from);
                let Some(held) = held else { return Ok(false) };
                held.stage = *to;
                match to {
                    Stage::Complete => {
                        let target = held.target.clone();
                        self.bases.insert(service.clone(), target);
                    }
                    Stage::Reverted => {
                        let target = held.target.clone();
                        self.withdrawn.entry(service.clone()).or_default().insert(target);
                    }
                    Stage::Active(_) => {}
                }
                Ok(true)
            }
            Op::Evacuate { zone, begin } => {
                let changed =
                    if *begin { self.evacuated.insert(zone.clone()) } else { self.evacuated.remove(zone) };
                self.evacuations += u64::from(changed);
                Ok(changed)
            }
            Op::Place { service, from, aside } => {
                let held = self.placements.entry(service.clone()).or_default();
                if held.version != *from || held.aside == *aside {
                    return Ok(false);
                }
                *held = Placement { version: from + 1, aside: aside.clone() };
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
