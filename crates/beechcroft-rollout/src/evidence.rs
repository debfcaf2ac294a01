//! A CUSUM with each endpoint's part of it.

use crate::UNHEALTHY_SHARE;
use beechcroft::cusum::Cusum;
use beechcroft::histogram::excess_over_median;
use std::collections::BTreeMap;

/// With fewer endpoints than this, nothing is said of single ones.
const MIN_ENDPOINTS: usize = 3;

/// The evidence against a version. What a few endpoints contribute beyond the median one is theirs and not the
/// version's: a version is the same on all of them, a crash is not.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    total: Cusum,
    endpoints: BTreeMap<u16, Cusum>,
}

impl Evidence {
    /// Adds a log-likelihood ratio, in nats.
    pub(crate) fn add(&mut self, endpoint: u16, nats: f64) {
        self.total.z += nats;
        self.endpoints.entry(endpoint).or_default().z += nats;
    }

    pub(crate) fn tick(&mut self) {
        self.total.tick();
        self.endpoints.values_mut().for_each(Cusum::tick);
    }

    /// The running sum without what a few endpoints contribute.
    pub(crate) fn sum(&self) -> f64 {
        let few = match self.endpoints.len() {
            0..MIN_ENDPOINTS => 0,
            endpoints => (endpoints as f64 * UNHEALTHY_SHARE).ceil() as usize,
        };
        let parts = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.w.max(0.0))
            .collect();
        self.total.w - excess_over_median(parts, few)
    }
}
