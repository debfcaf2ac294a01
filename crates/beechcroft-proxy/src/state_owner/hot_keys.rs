//! Hot keys of services that serve each key on a few endpoints: merges reports of other proxies, updates the spread of each
//! key, and publishes this proxy's reports.

use super::StateOwner;
use beechcroft_config::config::Service;
use beechcroft_gossip::HotKeyUpdate;
use beechcroft_hotkeys::ServiceCapacity;

/// Assumed latency of a service without requests so far, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 100.0;

impl StateOwner {
    /// Merges a report of hot keys by another proxy of the region.
    pub(super) fn on_hot_keys(&mut self, now: u64, update: HotKeyUpdate) {
        let HotKeyUpdate {
            proxy,
            incarnation,
            sequence,
            service,
            report,
        } = update;
        let mut detectors = self.shared.hot_keys.borrow_mut();
        if let Some(detector) = detectors.get_mut(&service) {
            detector.add_report(now, &proxy, incarnation, sequence, report);
        }
    }

    /// Updates the spread of hot keys, and publishes the reports that are due.
    pub(super) fn update_hot_keys(&mut self, now: u64) {
        let Some(routes) = self.shared.routes.borrow().clone() else {
            return;
        };
        let is_keyed = |service: &&Service| service.usual_places > 0;
        let shared = self.shared.clone();
        let mut detectors = shared.hot_keys.borrow_mut();
        detectors.retain(|name, _| {
            routes
                .services
                .iter()
                .any(|service| service.name == *name && is_keyed(&service))
        });
        let proxies = self.proxies_in_region();
        let mut updates = Vec::new();
        for service in routes.services.iter().filter(is_keyed) {
            let detector = detectors.entry(service.name.clone()).or_default();
            detector.tick(now, self.service_capacity(service), proxies);
            if let Some(report) = detector.next_report(now) {
                let sequence = self.next_sequence();
                let local = self.gossip.local();
                updates.push(HotKeyUpdate {
                    proxy: local.name.clone(),
                    incarnation: local.incarnation,
                    sequence,
                    service: service.name.clone(),
                    report,
                });
            }
        }
        for update in updates {
            self.gossip.publish_hot_keys(update);
        }
    }

    /// Number of live proxies in this proxy's region, including itself.
    fn proxies_in_region(&self) -> usize {
        let region = &self.gossip.local().region;
        let members = self.gossip.live_members();
        1 + members
            .filter(|member| !member.is_control && member.region == *region)
            .count()
    }

    /// Capacity of a service's available endpoints, estimated from their slots and the mean latency.
    fn service_capacity(&self, service: &Service) -> ServiceCapacity {
        let balancer = self.shared.balancer.borrow();
        let available = balancer
            .upstreams()
            .filter(|(name, _)| *name == service.name);
        let available = available.filter(|(_, upstream)| upstream.is_available);
        let (endpoints, slots) = available.fold((0, 0), |(endpoints, slots), (_, upstream)| {
            (endpoints + 1, slots + upstream.capacity)
        });
        let latency_ms = self
            .shared
            .mean_latency_ms(&service.name)
            .unwrap_or(DEFAULT_LATENCY_MS)
            .max(1.0);
        let slots_per_endpoint = f64::from(slots) / f64::max(endpoints as f64, 1.0);
        ServiceCapacity {
            default_spread: service.usual_places,
            endpoint_rate: slots_per_endpoint / latency_ms * 1000.0,
            endpoints,
        }
    }
}
