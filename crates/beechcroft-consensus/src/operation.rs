//! Operations: the changes to the registers that operators, control nodes and proxies request.

use crate::{RegisterId, Stage};
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io::Write;

/// The first 128 bits of the BLAKE3 hash of a configuration, as the operator sent it.
pub type Digest = [u8; 16];

/// An operation on a register. Its result depends on the state that the round which carries it reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Confirms the current value without changing it (a linearizable read).
    Read,
    /// Replaces the configuration if `base` is still in force.
    ReplaceConfig {
        /// The new version.
        version: u32,
        /// The version that it replaces; 0 for the first.
        base: u32,
        /// The digest of the body before compression.
        digest: Digest,
        /// The body as the operator sent it, deflated.
        body: Vec<u8>,
    },
    /// Starts a rollout.
    BeginRollout {
        /// The service.
        service: String,
        /// The version to roll out.
        target: String,
        /// The maximum duration of the whole rollout, in milliseconds.
        ramp_ms: u64,
        /// The wall-clock time of the request, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// After a rollback, a request for the same target whose `at_ms` differs by at most this many milliseconds is
        /// treated as a retry, not as a new rollout.
        repeat_ms: u64,
    },
    /// Moves a rollout from one stage to another.
    AdvanceRollout {
        /// The service.
        service: String,
        /// The rollout's [`crate::Rollout::id`].
        rollout: u64,
        /// The stage that the rollout must be in; a rollback applies to any active stage.
        from: Stage,
        /// The stage that the rollout enters.
        to: Stage,
    },
    /// Begins or ends the evacuation of a zone.
    SetEvacuation {
        /// The zone.
        zone: String,
        /// Whether the zone is to be evacuated.
        is_evacuated: bool,
    },
    /// Records the base version of a service, unless one is already recorded.
    SetBaseVersion {
        /// The service.
        service: String,
        /// The version.
        version: String,
    },
    /// Replaces a service's placement if its version is still `base`.
    SetPlacement {
        /// The service.
        service: String,
        /// The version of the placement that this one replaces.
        base: u64,
        /// Units that must not receive non-idempotent requests.
        excluded: BTreeSet<String>,
    },
}

impl Operation {
    /// Creates the operation that replaces the configuration. `sent` is the body as the operator sent it.
    pub fn replace_config(version: u32, base: u32, sent: &[u8]) -> Operation {
        let mut body = Vec::new();
        let mut deflate = DeflateEncoder::new(&mut body, Compression::fast());
        deflate
            .write_all(sent)
            .and_then(|()| deflate.finish())
            .expect("writes to a Vec do not fail");
        Operation::ReplaceConfig {
            version,
            base,
            digest: digest(sent),
            body,
        }
    }

    /// The register that the operation changes.
    pub fn register(&self) -> RegisterId {
        match self {
            Operation::ReplaceConfig { .. } => RegisterId::Config,
            _ => RegisterId::Operations,
        }
    }

    /// Whether the operation names the state that it replaces (compare-and-set), so that applying it late has no
    /// effect.
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
