//! Placements: which endpoints non-idempotent requests may not go to, decided by the control nodes from the verdicts.

use super::StateOwner;
use beechcroft_consensus::Operation;
use beechcroft_outlier::{endpoint_key, Verdict};
use beechcroft_registry::{Endpoint, EndpointState};
use std::collections::{BTreeMap, BTreeSet};

/// Between two looks, in milliseconds.
const PLACEMENT_INTERVAL_MS: u64 = 1000;

impl StateOwner {
    /// Where a service has outlier rules: the control nodes show each second that they agree, and the placement follows
    /// the verdicts.
    pub(super) fn update_placements(&mut self, now: u64) {
        if self.outlier_rules.is_empty() || now < self.placement_at {
            return;
        }
        self.placement_at = now + PLACEMENT_INTERVAL_MS;
        let is_coordinator = self.is_coordinator(now);
        // One control node shows it; another one does once that one's reads stay out.
        let last_read_at = self.gossip.last_quorum_read_at();
        let is_missing = last_read_at.is_none_or(|at| now > at + 2 * PLACEMENT_INTERVAL_MS);
        if is_coordinator || is_missing {
            self.propose_quorum_read(now);
        }
        let period = self.rpc.runtime().time_of_day().as_secs() as u32;
        self.detectors
            .values_mut()
            .for_each(|detector| detector.advance_clock(period));
        if is_coordinator {
            for operation in self.wanted_placements() {
                self.propose(operation);
            }
        }
    }

    /// The placements that the evidence asks for a second time.
    fn wanted_placements(&mut self) -> Vec<Operation> {
        let mut wanted = Vec::new();
        let services: Vec<String> = self.outlier_rules.keys().cloned().collect();
        for service in services {
            let Some(verdicts) = self.verdicts(&service) else {
                continue;
            };
            let is_unhealthy =
                |id: &String| verdicts.get(&endpoint_key(id)) == Some(&Verdict::Unhealthy);
            let ids = self
                .endpoints_of(&service)
                .map(|endpoint| endpoint.record.id.clone());
            let excluded: BTreeSet<String> = ids.filter(is_unhealthy).collect();
            let held = self
                .operations
                .placements
                .get(&service)
                .cloned()
                .unwrap_or_default();
            let before = self
                .wanted_exclusions
                .insert(service.clone(), excluded.clone());
            if excluded != held.excluded && before.as_ref() == Some(&excluded) {
                log::info!("state: The placement of {service} changes to exclude {excluded:?}.");
                wanted.push(Operation::SetPlacement {
                    service,
                    base: held.version,
                    excluded,
                });
            }
        }
        wanted
    }

    /// The endpoints of a service.
    pub(super) fn endpoints_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.gossip.endpoints().iter();
        endpoints.filter(move |endpoint| endpoint.record.service == service)
    }

    /// The verdicts on a service's endpoints; `None` without rules or evidence.
    pub(super) fn verdicts(&self, service: &str) -> Option<BTreeMap<u32, Verdict>> {
        let (rules, detector) = (
            self.outlier_rules.get(service)?,
            self.detectors.get(service)?,
        );
        let is_ready = |endpoint: &&Endpoint| endpoint.record.state == EndpointState::Ready;
        let ready = self.endpoints_of(service).filter(is_ready).count();
        let regions: BTreeSet<&String> = self.settings.zones.values().collect();
        Some(detector.verdicts(rules, ready, regions.len().max(1)))
    }
}
