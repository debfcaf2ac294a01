//! CUSUM evidence against a version, with the contribution of each endpoint.

use crate::UNHEALTHY_SHARE;
use beechcroft::cusum::Cusum;
use beechcroft::histogram::excess_over_median;
use std::collections::BTreeMap;

/// Minimum number of endpoints for excluding the contribution of single ones.
const MIN_ENDPOINTS: usize = 3;

/// The evidence against a version. What a minority of endpoints contributes beyond the median endpoint is attributed to
/// those endpoints: a bad version affects all of them, a crash does not.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    total: Cusum,
    endpoints: BTreeMap<u16, Cusum>,
}

impl Evidence {
    /// Adds the log-likelihood ratio of an outcome, in nats.
    pub(crate) fn add(&mut self, endpoint: u16, nats: f64) {
        self.total.z += nats;
        self.endpoints.entry(endpoint).or_default().z += nats;
    }

    pub(crate) fn tick(&mut self) {
        self.total.tick();
        self.endpoints.values_mut().for_each(Cusum::tick);
    }

    /// The running sum, in nats, without the excess of a minority of endpoints.
    pub(crate) fn sum(&self) -> f64 {
        let minority = match self.endpoints.len() {
            0..MIN_ENDPOINTS => 0,
            endpoints => (endpoints as f64 * UNHEALTHY_SHARE).ceil() as usize,
        };
        let parts = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.w.max(0.0))
            .collect();
        self.total.w - excess_over_median(parts, minority)
    }
}
