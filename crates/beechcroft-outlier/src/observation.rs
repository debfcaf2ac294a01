//! What a proxy observes of endpoints in one period, and what of it the proxy reports.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Failures that a proxy must lately have seen of an endpoint itself before it reports them unasked. Any endpoint fails
/// now and then: with ninety proxies, reports on each such failure would be all that goes between regions.
const REPORT_THRESHOLD: f32 = 2.0;
/// The share of a failure that still counts a period later.
const FADE: f32 = 0.9;
/// A faded count below this is forgotten.
const FORGET_BELOW: f32 = 0.1;
/// Endpoints in one report, the worst first: where more are bad, the endpoints are not the cause.
const MAX_ENDPOINTS: usize = 8;

/// An endpoint's name in observations: a hash of its id.
pub type EndpointKey = u32;

/// The name of an endpoint in observations.
pub fn endpoint_key(id: &str) -> EndpointKey {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, fnv) as u32
}

/// What one proxy counted of one endpoint in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Complete responses, late ones among them.
    pub responses: u16,
    /// Responses later than the rule's multiple of the latency target.
    pub late: u16,
    /// Responses that say that the request failed.
    pub errors: u16,
    /// Bytes that are no response, or that no unit sealed.
    pub invalid: u16,
    /// Connections that were not established, and requests that got no response at all.
    pub unreachable: u16,
}

impl OutcomeCounts {
    /// Whether anything was not as it should be.
    pub fn has_failures(&self) -> bool {
        self.failures() > 0
    }

    fn failures(&self) -> u32 {
        let counts = [self.late, self.errors, self.invalid, self.unreachable];
        counts.iter().map(|&count| u32::from(count)).sum()
    }

    /// Requests that reached the endpoint.
    pub(crate) fn reached(&self) -> u32 {
        u32::from(self.responses) + u32::from(self.errors) + u32::from(self.invalid)
    }
}

/// What one proxy observed of a service's endpoints in one period, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The proxy.
    pub proxy: String,
    /// The proxy's region.
    pub region: String,
    /// The incarnation of the proxy's process.
    pub incarnation: u64,
    /// The period: seconds since 1970, roughly, by the proxy's clock.
    pub period: u32,
    /// The service.
    pub service: String,
    /// The counts by endpoint.
    pub endpoints: Vec<(EndpointKey, OutcomeCounts)>,
}

impl Observation {
    /// Whether the proxy reaches hardly any endpoint: it is cut off itself, and the observation is about its own link.
    pub fn is_proxy_isolated(&self) -> bool {
        let is_lost = |counts: &OutcomeCounts| counts.unreachable > 0 && counts.reached() == 0;
        let lost = self
            .endpoints
            .iter()
            .filter(|(_, counts)| is_lost(counts))
            .count();
        lost > 2 && lost * 2 > self.endpoints.len()
    }
}

/// Selects what of its own counts a proxy reports. It holds the faded number of failures of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct ObservationFilter(BTreeMap<EndpointKey, f32>);

impl ObservationFilter {
    /// The counts of one period that go into an observation. `suspects`: endpoints that other proxies reported.
    pub fn select(
        &mut self,
        counts: Vec<(EndpointKey, OutcomeCounts)>,
        suspects: &BTreeSet<EndpointKey>,
    ) -> Vec<(EndpointKey, OutcomeCounts)> {
        self.0.values_mut().for_each(|failures| *failures *= FADE);
        for (endpoint, counts) in counts.iter().filter(|(_, counts)| counts.has_failures()) {
            *self.0.entry(*endpoint).or_default() += counts.failures() as f32;
        }
        self.0.retain(|_, failures| *failures > FORGET_BELOW);
        let failures = |endpoint: &EndpointKey| self.0.get(endpoint).copied().unwrap_or(0.0);
        let is_reported = |(endpoint, counts): &(EndpointKey, OutcomeCounts)| {
            let is_conspicuous = counts.has_failures() && failures(endpoint) >= REPORT_THRESHOLD;
            suspects.contains(endpoint) || is_conspicuous
        };
        let mut reported: Vec<(EndpointKey, OutcomeCounts)> =
            counts.into_iter().filter(is_reported).collect();
        reported.sort_by(|a, b| {
            failures(&b.0)
                .total_cmp(&failures(&a.0))
                .then(a.0.cmp(&b.0))
        });
        reported.truncate(MAX_ENDPOINTS);
        reported
    }
}
