//! Placements: the endpoints that are excluded from non-idempotent requests, which the control nodes decide from the
//! verdicts of outlier detection.

use super::StateOwner;
use beechcroft_consensus::Operation;
use beechcroft_outlier::{endpoint_key, Verdict};
use beechcroft_registry::{Endpoint, EndpointState};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between decisions on placements, in milliseconds.
const PLACEMENT_INTERVAL_MS: u64 = 1000;

impl StateOwner {
    /// Changes placements according to the verdicts, and refreshes the quorum read that proxies need to rely on a
    /// placement. Does nothing while no service has outlier rules.
    pub(super) fn update_placements(&mut self, now: u64) {
        if self.outlier_rules.is_empty() || now < self.next_placement_at {
            return;
        }
        self.next_placement_at = now + PLACEMENT_INTERVAL_MS;
        let is_coordinator = self.is_coordinator(now);
        // The coordinator proposes the quorum read; any other node does if the coordinator's reads fail to appear.
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
            for operation in self.due_placements() {
                self.propose(operation);
            }
        }
    }

    /// Operations for the placements that must change, according to this look at the verdicts and the previous one.
    fn due_placements(&mut self) -> Vec<Operation> {
        let mut due = Vec::new();
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
            let current = self
                .operations
                .placements
                .get(&service)
                .cloned()
                .unwrap_or_default();
            let previous = self
                .pending_exclusions
                .insert(service.clone(), excluded.clone());
            if excluded != current.excluded && previous.as_ref() == Some(&excluded) {
                log::info!("state: Changing the placement of {service} to exclude {excluded:?}.");
                due.push(Operation::SetPlacement {
                    service,
                    base: current.version,
                    excluded,
                });
            }
        }
        due
    }

    /// The endpoints of a service in any state.
    pub(super) fn endpoints_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.gossip.endpoints().iter();
        endpoints.filter(move |endpoint| endpoint.record.service == service)
    }

    /// The verdicts on a service's endpoints, by endpoint key; `None` if there are no outlier rules or no observations.
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
