//! Outlier detection: publishes what this proxy observed in the last period, and applies the verdicts on the evidence of
//! all proxies to the load balancer.

use super::StateOwner;
use beechcroft_config::config::{OutlierRules, Service};
use beechcroft_gossip::Member;
use beechcroft_outlier::{endpoint_key, EndpointKey, Observation, OutcomeCounts, Verdict};
use std::collections::BTreeSet;

impl StateOwner {
    /// Publishes the observations of the last period and applies the verdicts. Called once per period.
    pub(super) fn update_outliers(&mut self) {
        let Some(routes) = self.shared.routes.borrow().clone() else {
            return;
        };
        let has_rules = |name: &str| {
            routes
                .services
                .iter()
                .any(|service| service.name == name && service.unfit.is_some())
        };
        self.outlier_detectors.retain(|name, _| has_rules(name));
        self.observation_filters.retain(|name, _| has_rules(name));
        let mut outcome_counts = self.shared.outcome_counts.take();
        let period = self.shared.runtime.time_of_day().as_secs() as u32;
        for service in &routes.services {
            let Some(rules) = &service.unfit else {
                continue;
            };
            let counts = outcome_counts.remove(&service.name).unwrap_or_default();
            let counts = counts
                .into_iter()
                .map(|(id, counts)| (endpoint_key(&id), counts));
            self.publish_observation(service, period, counts.collect());
            self.apply_verdicts(service, rules);
        }
    }

    /// Merges the outcomes that this proxy counted into its detector, and publishes those worth reporting.
    fn publish_observation(
        &mut self,
        service: &Service,
        period: u32,
        counts: Vec<(EndpointKey, OutcomeCounts)>,
    ) {
        let detector = self
            .outlier_detectors
            .entry(service.name.clone())
            .or_default();
        detector.advance_clock(period);
        let suspects = detector.suspected_endpoints();
        let filter = self
            .observation_filters
            .entry(service.name.clone())
            .or_default();
        let endpoints = filter.select(counts, &suspects);
        if endpoints.is_empty() {
            return;
        }
        let Member {
            name,
            region,
            incarnation,
            ..
        } = self.gossip.local();
        let observation = Observation {
            proxy: name.clone(),
            region: region.clone(),
            incarnation: *incarnation,
            period,
            service: service.name.clone(),
            endpoints,
        };
        detector.merge(&observation);
        self.gossip.publish_observation(observation);
    }

    /// Ejects endpoints that are unhealthy, or unreachable from this region, by the evidence of all proxies.
    fn apply_verdicts(&mut self, service: &Service, rules: &OutlierRules) {
        let Some(detector) = self.outlier_detectors.get(&service.name) else {
            return;
        };
        let regions: BTreeSet<&String> = self.shared.settings.zones.values().collect();
        let region = &self.gossip.local().region;
        let mut balancer = self.shared.balancer.borrow_mut();
        let upstreams = balancer.service_mut(&service.name);
        let verdicts = detector.verdicts(rules, upstreams.len(), regions.len().max(1));
        for upstream in upstreams {
            let key = endpoint_key(&upstream.id);
            upstream.is_ejected_by_fleet = match verdicts.get(&key) {
                Some(Verdict::Unhealthy) => true,
                Some(Verdict::PathLost) => detector.is_unreachable_from(key, region),
                Some(Verdict::Healthy) | None => false,
            };
        }
    }
}
