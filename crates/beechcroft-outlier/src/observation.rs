//! Observations: what a proxy counts of each endpoint in one period, and which counts it reports.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of recent failures at an endpoint from which a proxy reports it, unless other proxies have reported it. Every
/// endpoint fails occasionally: with ninety proxies, reporting each such failure would dominate the traffic between
/// regions.
const REPORT_THRESHOLD: f32 = 2.0;
/// Factor by which a failure count decays per period.
const DECAY_PER_PERIOD: f32 = 0.9;
/// Decayed failure counts below this value are dropped.
const MIN_FAILURE_COUNT: f32 = 0.1;
/// Maximum number of endpoints in one observation, those with the most failures first. If more are failing, the
/// endpoints are unlikely to be the cause.
const MAX_REPORTED_ENDPOINTS: usize = 8;

/// The key of an endpoint in observations: a 32-bit FNV-1a hash of its id.
pub type EndpointKey = u32;

/// Computes the key of an endpoint from its id.
pub fn endpoint_key(id: &str) -> EndpointKey {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, fnv) as u32
}

/// One proxy's outcome counts for one endpoint in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Complete responses, including late ones.
    pub responses: u16,
    /// Responses later than the multiple of the latency target that the rules set.
    pub late: u16,
    /// Responses that report a failure of the request.
    pub errors: u16,
    /// Data that is not a response, or that no endpoint has sealed.
    pub invalid: u16,
    /// Failed connection attempts, and requests without any response.
    pub unreachable: u16,
}

impl OutcomeCounts {
    /// Whether any outcome was a failure or late.
    pub fn has_failures(&self) -> bool {
        self.failures() > 0
    }

    fn failures(&self) -> u32 {
        let counts = [self.late, self.errors, self.invalid, self.unreachable];
        counts.iter().map(|&count| u32::from(count)).sum()
    }

    /// Number of requests that reached the endpoint.
    pub(crate) fn reached(&self) -> u32 {
        u32::from(self.responses) + u32::from(self.errors) + u32::from(self.invalid)
    }
}

/// One proxy's observations of a service's endpoints in one period, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The name of the proxy.
    pub proxy: String,
    /// The region of the proxy.
    pub region: String,
    /// The incarnation of the proxy's process.
    pub incarnation: u64,
    /// The period: seconds since 1970 by the proxy's clock, which need not be exact.
    pub period: u32,
    /// The name of the service.
    pub service: String,
    /// The counts by endpoint.
    pub endpoints: Vec<(EndpointKey, OutcomeCounts)>,
}

impl Observation {
    /// Whether the proxy itself is isolated: it cannot reach most of the endpoints, so the observation is about its own
    /// network.
    pub fn is_proxy_isolated(&self) -> bool {
        let is_unreachable =
            |counts: &OutcomeCounts| counts.unreachable > 0 && counts.reached() == 0;
        let unreachable = self
            .endpoints
            .iter()
            .filter(|(_, counts)| is_unreachable(counts))
            .count();
        unreachable > 2 && unreachable * 2 > self.endpoints.len()
    }
}

/// Selects the counts that a proxy reports. Holds the decayed number of failures of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct ObservationFilter(BTreeMap<EndpointKey, f32>);

impl ObservationFilter {
    /// Selects the counts of one period for an observation. `suspects` are the endpoints that other proxies have
    /// reported.
    pub fn select(
        &mut self,
        counts: Vec<(EndpointKey, OutcomeCounts)>,
        suspects: &BTreeSet<EndpointKey>,
    ) -> Vec<(EndpointKey, OutcomeCounts)> {
        self.0
            .values_mut()
            .for_each(|failures| *failures *= DECAY_PER_PERIOD);
        for (endpoint, counts) in counts.iter().filter(|(_, counts)| counts.has_failures()) {
            *self.0.entry(*endpoint).or_default() += counts.failures() as f32;
        }
        self.0.retain(|_, failures| *failures > MIN_FAILURE_COUNT);
        let failures = |endpoint: &EndpointKey| self.0.get(endpoint).copied().unwrap_or(0.0);
        let is_reported = |(endpoint, counts): &(EndpointKey, OutcomeCounts)| {
            let exceeds_threshold = counts.has_failures() && failures(endpoint) >= REPORT_THRESHOLD;
            suspects.contains(endpoint) || exceeds_threshold
        };
        let mut reported: Vec<(EndpointKey, OutcomeCounts)> =
            counts.into_iter().filter(is_reported).collect();
        reported.sort_by(|a, b| {
            failures(&b.0)
                .total_cmp(&failures(&a.0))
                .then(a.0.cmp(&b.0))
        });
        reported.truncate(MAX_REPORTED_ENDPOINTS);
        reported
    }
}
