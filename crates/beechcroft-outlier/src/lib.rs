//! Outlier detection: whether an endpoint is healthy, based on the observations of the proxies in all regions and on
//! the rules in its service's configuration.
//!
//! [`OutlierDetector`] merges [`Observation`]s and derives [`Verdict`]s. They depend on nothing but the evidence and
//! the service's rules, so all nodes with the same evidence reach the same verdicts. [`ObservationFilter`] selects what
//! a proxy reports. [`placement`] decides when a proxy may choose the endpoint for a non-idempotent request.
//!
//! No I/O and no clock: time is counted in periods of one second, which the proxies number. Each region runs a CUSUM
//! over its counts, like the detection of bad versions in rollouts (`docs/design/outlier.md`).

#![warn(missing_docs)]

mod detector;
mod observation;
pub mod placement;
mod verdict;

pub use detector::OutlierDetector;
pub use observation::{endpoint_key, EndpointKey, Observation, ObservationFilter, OutcomeCounts};
pub use verdict::Verdict;
