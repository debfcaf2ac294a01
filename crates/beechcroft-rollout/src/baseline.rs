//! What a proxy knows of the base version on one route: its failure rate and its latencies.

use beechcroft::histogram::{Histogram, Tally};
use std::time::Duration;

/// Outcomes of the base version that are kept before they are halved.
const KEPT_OUTCOMES: f64 = 600.0;
/// Outcomes without which the base version's own slowness is not known.
const MIN_LATENCIES: u32 = 30;
/// The share of the base version's responses that lie above the mark from which a response may be slow.
const SLOW_SHARE: f64 = 0.05;
/// A response is slow beyond so many times that mark.
const SLOW_FACTOR: f64 = 1.5;
/// The lowest failure rate that the mechanism takes a version to have.
pub(crate) const MIN_FAILURE_RATE: f64 = 0.01;

/// The base version on one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    failures: Tally,
    latencies: Histogram,
}

impl Baseline {
    pub(crate) fn record(&mut self, is_failure: bool, latency: Option<Duration>) {
        self.failures.add(is_failure, KEPT_OUTCOMES);
        if let Some(latency) = latency {
            self.latencies.add(latency, KEPT_OUTCOMES as u32);
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

    /// What nearly all responses take, once enough are known.
    pub(crate) fn p95_latency(&self) -> Option<Duration> {
        let is_known = self.latencies.total() >= MIN_LATENCIES;
        is_known.then(|| Histogram::edge(self.latencies.tail_bin(SLOW_SHARE)))
    }

    /// From which latency on a response is slow.
    pub(crate) fn slow_threshold(&self) -> Option<Duration> {
        slow_threshold(&self.latencies)
    }
}

/// From which latency on a response is slow; `None` while too few latencies are known.
pub(crate) fn slow_threshold(latencies: &Histogram) -> Option<Duration> {
    let is_known = latencies.total() >= MIN_LATENCIES;
    is_known.then(|| Histogram::edge(latencies.tail_bin(SLOW_SHARE)).mul_f64(SLOW_FACTOR))
}
