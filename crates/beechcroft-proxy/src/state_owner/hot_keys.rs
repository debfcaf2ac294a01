//! Hot keys of services that serve keys at few endpoints: over how many each is spread, and what is published.

use super::StateOwner;
use beechcroft_config::config::Service;
use beechcroft_gossip::HotKeyUpdate;
use beechcroft_hotkeys::ServiceCapacity;

/// The latency of a service that got no request yet, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 100.0;

impl StateOwner {
    /// Another proxy of the region reports hot keys.
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

    /// Updates the spread of hot keys, and publishes what is due.
    pub(super) fn update_hot_keys(&mut self, now: u64) {
        let Some(routes) = self.shared.routes.borrow().clone() else {
            return;
        };
        let has_keys = |service: &&Service| service.usual_places > 0;
        let shared = self.shared.clone();
        let mut detectors = shared.hot_keys.borrow_mut();
        detectors.retain(|name, _| {
            routes
                .services
                .iter()
                .any(|service| service.name == *name && has_keys(&service))
        });
        let proxies = self.proxies_in_region();
        let mut updates = Vec::new();
        for service in routes.services.iter().filter(has_keys) {
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

    /// The live proxies of this one's region, itself among them.
    fn proxies_in_region(&self) -> usize {
        let region = &self.gossip.local().region;
        let members = self.gossip.live_members();
        1 + members
            .filter(|member| !member.is_control && member.region == *region)
            .count()
    }

    fn service_capacity(&self, service: &Service) -> ServiceCapacity {
        let balancer = self.shared.balancer.borrow();
        let available = balancer.upstreams().filter(|(of, _)| *of == service.name);
        let available = available.filter(|(_, upstream)| upstream.is_available);
        let (endpoints, slots) = available.fold((0, 0), |(endpoints, slots), (_, upstream)| {
            (endpoints + 1, slots + upstream.capacity)
        });
        let latency_ms = self
            .shared
            .mean_latency_ms(&service.name)
            .unwrap_or(DEFAULT_LATENCY_MS)
            .max(1.0);
        let slots_each = f64::from(slots) / f64::max(endpoints as f64, 1.0);
        ServiceCapacity {
            default_spread: service.usual_places,
            endpoint_rate: slots_each / latency_ms * 1000.0,
            endpoints,
        }
    }
}
