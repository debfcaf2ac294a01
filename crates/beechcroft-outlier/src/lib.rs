//! Outlier detection: whether an endpoint is healthy, by what proxies of all regions observed of it and by what its
//! service's configuration calls unhealthy.
//!
//! [`OutlierDetector`] merges [`Observation`]s and gives [`Verdict`]s. The same evidence gives the same verdicts on
//! every node: nothing else goes in but the service's rules. [`ObservationFilter`] selects what a proxy reports.
//! [`placement`] says when a proxy may decide which endpoint a non-idempotent request goes to.
//!
//! No I/O and no clock: time is counted in the periods (seconds) that proxies number. Each region runs a CUSUM over
//! its counts, as the trial's mechanism does (`docs/design/outlier.md`).

#![warn(missing_docs)]

mod detector;
mod observation;
pub mod placement;
mod verdict;

pub use detector::OutlierDetector;
pub use observation::{endpoint_key, EndpointKey, Observation, ObservationFilter, OutcomeCounts};
pub use verdict::Verdict;
