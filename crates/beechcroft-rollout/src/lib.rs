//! Rollouts: when a new version is rolled back, and when it goes on.
//!
//! - [`CanaryDetector`] runs in each proxy: a CUSUM over the outcomes of its own canary requests, one bit and one
//!   divergence for its peers, and a vote to roll back once the weighted bits reach M.
//! - [`progression`] runs on the control nodes: it takes a rollout from stage to stage while nothing speaks against it.
//!
//! No I/O. The mechanism itself is the package `beechcroft` (`src/cusum.rs`), which cites the paper;
//! `docs/design/rollout.md` argues each departure from it.

#![warn(missing_docs)]

mod baseline;
mod detector;
mod evidence;
pub mod progression;

pub use detector::{
    CanaryDetector, DetectorStatus, EndpointTrials, PeerReport, RequestOutcome, TrialCount,
};

/// The share of the endpoints on trial that may be unhealthy at once without the version being blamed.
const UNHEALTHY_SHARE: f64 = 0.25;

/// An endpoint's short id in alarm updates: a hash of its id.
pub fn short_id(id: &str) -> u16 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, fnv) as u16
}
