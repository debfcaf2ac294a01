//! Operations: the changes that operators, control nodes and proxies ask for.

use crate::{RegisterId, Stage};
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io::Write;

/// 128 bits of BLAKE3 over a configuration as the operator sent it.
pub type Digest = [u8; 16];

/// An operation on a register. Its result is decided by the state that it meets, in one round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Changes nothing: confirms the current value (a linearizable read).
    Read,
    /// Replaces the configuration, if `base` is still in place.
    ReplaceConfig {
        /// The new version.
        version: u32,
        /// The version that it builds on; 0 for the first.
        base: u32,
        /// The digest of what the operator sent.
        digest: Digest,
        /// What the operator sent, deflated.
        body: Vec<u8>,
    },
    /// Starts a rollout.
    BeginRollout {
        /// The service.
        service: String,
        /// The version to roll out.
        target: String,
        /// How long the whole rollout may take, in milliseconds.
        ramp_ms: u64,
        /// The time of day of the request, in milliseconds since 1970.
        at_ms: u64,
        /// Within so long of `at_ms` the same request is a repeat, in milliseconds.
        repeat_ms: u64,
    },
    /// Moves a rollout from one stage to another.
    AdvanceRollout {
        /// The service.
        service: String,
        /// The rollout's id: [`crate::Rollout::id`].
        rollout: u64,
        /// The stage that it must be in.
        from: Stage,
        /// The stage that it enters.
        to: Stage,
    },
    /// Evacuates a zone, or takes it back.
    SetEvacuation {
        /// The zone.
        zone: String,
        /// Whether it is to be evacuated.
        is_evacuated: bool,
    },
    /// Records the version that a service runs, if none is recorded.
    SetBaseVersion {
        /// The service.
        service: String,
        /// The version.
        version: String,
    },
    /// Replaces a service's placement, if the one that the proposer knew is still in place.
    SetPlacement {
        /// The service.
        service: String,
        /// The version of the placement that this one replaces.
        base: u64,
        /// Units that non-idempotent requests may not go to.
        excluded: BTreeSet<String>,
    },
}

impl Operation {
    /// The operation that puts a configuration in place. `sent`: the body as the operator sent it.
    pub fn replace_config(version: u32, base: u32, sent: &[u8]) -> Operation {
        let mut body = Vec::new();
        let mut deflate = DeflateEncoder::new(&mut body, Compression::fast());
        deflate
            .write_all(sent)
            .and_then(|()| deflate.finish())
            .expect("memory takes every write");
        Operation::ReplaceConfig {
            version,
            base,
            digest: digest(sent),
            body,
        }
    }

    /// The register that it changes.
    pub fn register(&self) -> RegisterId {
        match self {
            Operation::ReplaceConfig { .. } => RegisterId::Config,
            _ => RegisterId::Operations,
        }
    }

    /// Whether the operation names the state that it builds on (compare-and-set), so that applying it late changes
    /// nothing.
    pub fn is_conditional(&self) -> bool {
        !matches!(
            self,
            Operation::BeginRollout { .. } | Operation::SetEvacuation { .. }
        )
    }
}

/// The digest of a configuration's body.
pub(crate) fn digest(body: &[u8]) -> Digest {
    let mut digest = Digest::default();
    digest.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
    digest
}
