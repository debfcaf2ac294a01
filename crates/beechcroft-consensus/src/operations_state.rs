//! The contents of the operations register: rollouts, evacuations, base versions and placements.

use crate::config_store::decode_value;
use crate::{encoding, Operation, Value};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The progress of a rollout. The order of the variants is part of the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// In progress. Stage 0 is the canary, which gets a small share of the requests. Each later stage raises the share;
    /// in the last one the new version gets all new requests, and requests in flight on the base version finish.
    Active(u8),
    /// Finished: the new version has become the base version.
    Complete,
    /// Rolled back to the base version.
    Reverted,
}

/// A rollout of a new version of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is being rolled out.
    pub target: String,
    /// Random id that distinguishes the rollouts of a service.
    pub id: u64,
    /// Wall-clock time of the request on the control node that received it, in milliseconds since the Unix epoch.
    pub requested_at_ms: u64,
    /// The maximum duration of the rollout, in milliseconds.
    pub ramp_ms: u64,
    /// The current stage.
    pub stage: Stage,
}

/// The units of a service to which no proxy may send non-idempotent requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Incremented with each change.
    pub version: u64,
    /// The excluded units.
    pub excluded: BTreeSet<String>,
}

/// Rollouts, evacuations, base versions and placements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperationsState {
    /// The latest rollout of each service.
    pub rollouts: BTreeMap<String, Rollout>,
    /// Zones under evacuation.
    pub evacuated_zones: BTreeSet<String>,
    /// Incremented when an evacuation begins or ends, so that a proxy notices one that began and ended between two
    /// of its updates.
    pub evacuation_changes: u64,
    /// The version that each service runs outside of a rollout.
    pub base_versions: BTreeMap<String, String>,
    /// The units excluded from non-idempotent requests, by service.
    pub placements: BTreeMap<String, Placement>,
    /// Versions that were rolled back and not rolled out again since, by service.
    pub reverted_versions: BTreeMap<String, BTreeSet<String>>,
}

/// Whether units of a version may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The version is the base version.
    Base,
    /// The version is being rolled out; contains the stage.
    Canary(u8),
    /// The version gets no requests.
    Rejected,
    /// The service has no recorded base version.
    Unknown,
}

impl OperationsState {
    /// Decodes a register's value. A register that was never written decodes to the empty state.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::CorruptState`] if the value cannot be decoded.
    pub fn decode(value: &Value) -> Result<OperationsState, Error> {
        decode_value(value, "operations")
    }

    /// Encodes the state as a register's value.
    pub fn encode(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Applies an operation. Returns whether it changed the state. `rng` draws the ids of rollouts.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InProgress`] for a rollout while a different one of the same service is active.
    pub fn apply(&mut self, operation: &Operation, rng: &mut impl RngExt) -> Result<bool, Error> {
        match operation {
            Operation::Read | Operation::ReplaceConfig { .. } => Ok(false),
            Operation::BeginRollout {
                service,
                target,
                ramp_ms,
                at_ms,
                repeat_ms,
            } => {
                let request = RolloutRequest {
                    target,
                    ramp_ms: *ramp_ms,
                    at_ms: *at_ms,
                    repeat_ms: *repeat_ms,
                };
                self.begin_rollout(service, request, rng)
            }
            Operation::AdvanceRollout {
                service,
                rollout,
                from,
                to,
            } => Ok(self.advance_rollout(service, *rollout, *from, *to)),
            Operation::SetEvacuation { zone, is_evacuated } => {
                Ok(self.set_evacuation(zone, *is_evacuated))
            }
            Operation::SetPlacement {
                service,
                base,
                excluded,
            } => Ok(self.set_placement(service, *base, excluded)),
            Operation::SetBaseVersion { service, version } => {
                Ok(self.set_base_version(service, version))
            }
        }
    }

    fn begin_rollout(
        &mut self,
        service: &str,
        request: RolloutRequest,
        rng: &mut impl RngExt,
    ) -> Result<bool, Error> {
        let is_base = self
            .base_versions
            .get(service)
            .is_some_and(|base| base == request.target);
        if let Some(held) = self.rollouts.get(service) {
            if request.is_repeat_of(service, held, is_base)? {
                return Ok(false);
            }
        }
        if let Some(reverted) = self.reverted_versions.get_mut(service) {
            reverted.remove(request.target);
        }
        // A rollout to the base version has no requests to move.
        let stage = if is_base {
            Stage::Complete
        } else {
            Stage::Active(0)
        };
        let rollout = Rollout {
            target: request.target.to_owned(),
            id: rng.random(),
            requested_at_ms: request.at_ms,
            ramp_ms: request.ramp_ms,
            stage,
        };
        self.rollouts.insert(service.to_owned(), rollout);
        Ok(true)
    }

    fn advance_rollout(&mut self, service: &str, id: u64, from: Stage, to: Stage) -> bool {
        let Some(held) = self.rollouts.get_mut(service) else {
            return false;
        };
        // A rollback applies to any active stage, because the rollout may have advanced since it was requested.
        let is_rollback = to == Stage::Reverted
            && matches!(held.stage, Stage::Active(_))
            && Safeguard::RollbackFromAnyStage.is_enabled();
        if held.id != id || held.stage != from && !is_rollback {
            return false;
        }
        held.stage = to;
        let target = held.target.clone();
        match to {
            Stage::Active(_) => {}
            Stage::Complete => {
                self.base_versions.insert(service.to_owned(), target);
            }
            Stage::Reverted => {
                self.reverted_versions
                    .entry(service.to_owned())
                    .or_default()
                    .insert(target);
            }
        }
        true
    }

    fn set_evacuation(&mut self, zone: &str, is_evacuated: bool) -> bool {
        let is_changed = if is_evacuated {
            self.evacuated_zones.insert(zone.to_owned())
        } else {
            self.evacuated_zones.remove(zone)
        };
        self.evacuation_changes += u64::from(is_changed);
        is_changed
    }

    fn set_placement(&mut self, service: &str, base: u64, excluded: &BTreeSet<String>) -> bool {
        let held = self.placements.entry(service.to_owned()).or_default();
        if held.version != base || held.excluded == *excluded {
            return false;
        }
        *held = Placement {
            version: base + 1,
            excluded: excluded.clone(),
        };
        true
    }

    fn set_base_version(&mut self, service: &str, version: &str) -> bool {
        if self.base_versions.contains_key(service) {
            return false;
        }
        self.base_versions
            .insert(service.to_owned(), version.to_owned());
        true
    }

    /// Whether units of a version of a service may receive requests.
    pub fn admission(&self, service: &str, version: &str) -> Admission {
        let rollout = self
            .rollouts
            .get(service)
            .filter(|rollout| rollout.target == version);
        if let Some(rollout) = rollout {
            return match rollout.stage {
                Stage::Active(stage) => Admission::Canary(stage),
                Stage::Complete => Admission::Base,
                Stage::Reverted => Admission::Rejected,
            };
        }
        match self.base_versions.get(service) {
            Some(base) if base == version => Admission::Base,
            Some(_) => Admission::Rejected,
            None => Admission::Unknown,
        }
    }
}

/// The parameters of [`Operation::BeginRollout`].
struct RolloutRequest<'a> {
    target: &'a str,
    ramp_ms: u64,
    at_ms: u64,
    repeat_ms: u64,
}

impl RolloutRequest<'_> {
    /// Whether the existing rollout (`held`) was started by an earlier copy of this request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InProgress`] if the existing rollout is active and a different one.
    fn is_repeat_of(&self, service: &str, held: &Rollout, is_base: bool) -> Result<bool, Error> {
        let is_same_target = held.target == self.target;
        let is_recent = held.requested_at_ms.abs_diff(self.at_ms) <= self.repeat_ms;
        match held.stage {
            Stage::Active(_) if is_same_target && held.ramp_ms == self.ramp_ms => Ok(true),
            Stage::Active(_) => {
                let Rollout {
                    target, ramp_ms, ..
                } = held;
                let detail =
                    format!("a rollout of {service} to {target} over {ramp_ms} ms is active");
                Err(Error::new(ErrorKind::InProgress, detail))
            }
            Stage::Complete => Ok(is_same_target && is_base),
            Stage::Reverted if !is_same_target => Ok(false),
            Stage::Reverted => Ok(!Safeguard::RolloutRestart.is_enabled()
                || is_recent && Safeguard::RepeatWindow.is_enabled()),
        }
    }
}
