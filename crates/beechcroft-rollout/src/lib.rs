//! Rollouts: detection of bad versions, and progression through the stages.
//!
//! - [`CanaryDetector`] runs in each proxy. It keeps a CUSUM over the outcomes of the proxy's own canary requests,
//!   reports an alarm bit and a divergence to the other proxies, and votes to roll back once the weighted bits reach M.
//! - [`progression`] runs on the control nodes. It advances a rollout from stage to stage while there is no evidence
//!   against the new version.
//!
//! No I/O. The CUSUM itself is in the package `beechcroft` (`src/cusum.rs`), which cites the paper;
//! `docs/design/rollout.md` explains each departure from it.

#![warn(missing_docs)]

mod baseline;
mod detector;
mod evidence;
pub mod progression;

pub use detector::{
    CanaryDetector, DetectorStatus, EndpointTrials, PeerReport, RequestOutcome, TrialCount,
};

/// Fraction of the canary endpoints that may be unhealthy at once without evidence against the version.
const UNHEALTHY_SHARE: f64 = 0.25;

/// The short id of an endpoint in alarm updates: a 16-bit FNV-1a hash of its id.
pub fn short_id(id: &str) -> u16 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, fnv) as u16
}
