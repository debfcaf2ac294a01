//! The contents of the operations register: rollouts, evacuations, base versions, placements.

use crate::config_store::decode_value;
use crate::{encoding, Operation, Value};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How far a rollout has come. The order of variants is their encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Under way. Stage 0 is the canary: a small share of requests. Later stages raise the share; in the last one
    /// the new version gets all requests and what still runs on the base version ends.
    Active(u8),
    /// The new version is the base version.
    Complete,
    /// Rolled back to the base version.
    Reverted,
}

/// A rollout of a new version of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is rolled out.
    pub target: String,
    /// Tells this rollout from other ones of the service.
    pub id: u64,
    /// When it was requested, by the clock of the control node that took the request: milliseconds since 1970.
    pub requested_at_ms: u64,
    /// How long it may take, in milliseconds.
    pub ramp_ms: u64,
    /// How far it has come.
    pub stage: Stage,
}

/// Units of a service that no proxy may send non-idempotent requests to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Rises by one with each change.
    pub version: u64,
    /// The units that are left out.
    pub excluded: BTreeSet<String>,
}

/// The contents of the operations register.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperationsState {
    /// The latest rollout of each service.
    pub rollouts: BTreeMap<String, Rollout>,
    /// Zones that are evacuated.
    pub evacuated_zones: BTreeSet<String>,
    /// Rises when an evacuation begins or ends, so that a proxy notices that a zone was taken back meanwhile.
    pub evacuation_changes: u64,
    /// The version that each service runs where no rollout says otherwise.
    pub base_versions: BTreeMap<String, String>,
    /// Where non-idempotent requests may not go, by service.
    pub placements: BTreeMap<String, Placement>,
    /// Versions that were rolled back, by service.
    pub reverted_versions: BTreeMap<String, BTreeSet<String>>,
}

/// Whether requests may be sent to units of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is the base version.
    Base,
    /// It is being rolled out and in this stage.
    Canary(u8),
    /// It gets no requests.
    Rejected,
    /// No base version of the service is known.
    Unknown,
}

impl OperationsState {
    /// Decodes a register's value. One that was never written is the empty state.
    pub fn decode(value: &Value) -> Result<OperationsState, Error> {
        decode_value(value, "operations")
    }

    /// Encodes the state as a register's value.
    pub fn encode(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Applies an operation: whether it changed the state, or why it is rejected. `rng` draws the ids of rollouts.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InProgress`] for a rollout while another one of the service is active.
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
        // A rollout to the version that runs already has nothing to move.
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
        // A rollback applies to whatever stage it meets: the rollout may have advanced just before it.
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

    /// Whether units of a version may be sent requests.
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

/// A request to begin a rollout.
struct RolloutRequest<'a> {
    target: &'a str,
    ramp_ms: u64,
    at_ms: u64,
    repeat_ms: u64,
}

impl RolloutRequest<'_> {
    /// Whether the request was carried out before, by the rollout that is held. An error if that one is in the way.
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
