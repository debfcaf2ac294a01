//! Statistics of the base version on one route at one proxy: failure rate and latency distribution. The detector
//! compares canary outcomes with them.

use beechcroft::histogram::{Histogram, Tally};
use std::time::Duration;

/// Number of outcomes at which the counts are halved, so that older outcomes lose weight.
const HALVING_OUTCOMES: f64 = 600.0;
/// Minimum number of latency samples for a percentile.
const MIN_LATENCY_SAMPLES: u32 = 30;
/// Fraction of the base version's responses above the latency from which the slow threshold is derived: 0.05 is the
/// 95th percentile.
const TAIL_SHARE: f64 = 0.05;
/// Responses slower than this multiple of that percentile count as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Lower bound of the failure rate that is assumed for any version.
pub(crate) const MIN_FAILURE_RATE: f64 = 0.01;

/// Outcome and latency counts of the base version on one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    failures: Tally,
    latencies: Histogram,
}

impl Baseline {
    pub(crate) fn record(&mut self, is_failure: bool, latency: Option<Duration>) {
        self.failures.add(is_failure, HALVING_OUTCOMES);
        if let Some(latency) = latency {
            self.latencies.add(latency, HALVING_OUTCOMES as u32);
        }
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failures.rate().max(MIN_FAILURE_RATE)
    }

    pub(crate) fn failures(&self) -> &Tally {
        &self.failures
    }

    pub(crate) fn latencies(&self) -> &Histogram {
        &self.latencies
    }

    /// The 95th percentile of the latencies, rounded up to a histogram bin; `None` below [`MIN_LATENCY_SAMPLES`]
    /// samples.
    pub(crate) fn p95_latency(&self) -> Option<Duration> {
        let has_samples = self.latencies.total() >= MIN_LATENCY_SAMPLES;
        has_samples.then(|| Histogram::edge(self.latencies.tail_bin(TAIL_SHARE)))
    }

    /// The latency above which a response on this route is slow. See [`slow_threshold`].
    pub(crate) fn slow_threshold(&self) -> Option<Duration> {
        slow_threshold(&self.latencies)
    }
}

/// The latency above which a response is slow, for this distribution; `None` below [`MIN_LATENCY_SAMPLES`] samples.
pub(crate) fn slow_threshold(latencies: &Histogram) -> Option<Duration> {
    let has_samples = latencies.total() >= MIN_LATENCY_SAMPLES;
    has_samples.then(|| Histogram::edge(latencies.tail_bin(TAIL_SHARE)).mul_f64(SLOW_FACTOR))
}
