//! Rollouts: base versions, how a rollout goes on, and its rollback.

use super::StateOwner;
use beechcroft_consensus::{Operation, Rollout, Stage};
use beechcroft_gossip::AlarmUpdate;
use beechcroft_registry::EndpointState;
use beechcroft_rollout::progression::{
    decide, outlier_endpoint_evidence, Decision, EarlierStages, StageView,
};
use beechcroft_rollout::TrialCount;
use std::collections::BTreeMap;

/// For how long a service's endpoints are watched before its base version is recorded, in milliseconds.
const BASE_VERSION_DELAY_MS: u64 = 1200;
/// An alarm update younger than this says nothing of the request rate, in milliseconds.
const MIN_RATE_MS: u32 = 500;

/// What this control node has seen of a rollout's stage.
#[derive(Clone, Copy)]
pub(super) struct StageSeen {
    rollout: u64,
    stage: u8,
    since: u64,
    /// What the earlier stages came to, if this node saw them.
    earlier: Option<EarlierStages>,
    /// What they come to together with this one.
    totals: Option<EarlierStages>,
}

impl StageSeen {
    /// The stage that a rollout is in now, after what was seen before.
    fn next(seen: Option<StageSeen>, rollout: &Rollout, stage: u8, now: u64) -> StageSeen {
        let seen = seen.filter(|seen| seen.rollout == rollout.id);
        if let Some(seen) = seen.filter(|seen| seen.stage == stage) {
            return seen;
        }
        let last = seen
            .filter(|seen| seen.stage + 1 == stage)
            .and_then(|seen| seen.totals);
        let earlier = if stage == 0 {
            Some(EarlierStages::default())
        } else {
            last
        };
        StageSeen {
            rollout: rollout.id,
            stage,
            since: now,
            earlier,
            totals: None,
        }
    }
}

impl StateOwner {
    /// Records the version that each service runs before any rollout: what most of its endpoints ran when they were first
    /// seen.
    pub(super) fn record_base_versions(&mut self, now: u64) {
        let versions = self.versions_without_base();
        self.without_base_version
            .retain(|service, _| versions.contains_key(service));
        // One control node does it; another one does once that one has not.
        let grace = if self.is_coordinator(now) {
            0
        } else {
            3 * BASE_VERSION_DELAY_MS
        };
        let mut due = Vec::new();
        for (service, counts) in versions {
            let since = *self
                .without_base_version
                .entry(service.clone())
                .or_insert(now);
            let is_due = now >= since + grace + BASE_VERSION_DELAY_MS;
            let most = counts
                .into_iter()
                .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
            if let Some((version, _)) = most.filter(|_| is_due) {
                due.push(Operation::SetBaseVersion { service, version });
            }
        }
        if !due.is_empty() {
            self.without_base_version
                .values_mut()
                .for_each(|since| *since = now);
        }
        for operation in due {
            self.propose(operation);
        }
    }

    /// Of each service without a base version: how many ready endpoints run which version.
    fn versions_without_base(&self) -> BTreeMap<String, BTreeMap<String, usize>> {
        let mut versions: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for endpoint in self.gossip.endpoints().iter() {
            let record = &endpoint.record;
            let is_configured = self.services.contains(&record.service);
            let has_base = self.operations.base_versions.contains_key(&record.service);
            if record.state == EndpointState::Ready && is_configured && !has_base {
                let counts = versions.entry(record.service.clone()).or_default();
                *counts.entry(record.version.clone()).or_default() += 1;
            }
        }
        versions
    }

    /// One of the control nodes advances rollouts; another one does once that one is gone or without contact. All of them
    /// see what each stage comes to.
    pub(super) fn advance_rollouts(&mut self, now: u64) {
        let is_coordinator = self.is_coordinator(now);
        let mut due = Vec::new();
        for (service, rollout) in &self.operations.rollouts {
            let Stage::Active(stage) = rollout.stage else {
                continue;
            };
            let seen = self.stages.get(service).copied();
            let seen = StageSeen::next(seen, rollout, stage, now);
            let view = self.stage_view(now, service, rollout, &seen);
            let totals = seen.earlier.map(|_| view.totals());
            self.stages
                .insert(service.clone(), StageSeen { totals, ..seen });
            if !is_coordinator {
                continue;
            }
            let to = match decide(view) {
                Decision::Hold => continue,
                Decision::Advance(stage) => Stage::Active(stage),
                Decision::Complete => Stage::Complete,
                Decision::Revert => Stage::Reverted,
            };
            log::info!("state: The rollout of {service} goes from {stage} to {to:?}: {view:?}.");
            due.push(Operation::AdvanceRollout {
                service: service.clone(),
                rollout: rollout.id,
                from: rollout.stage,
                to,
            });
        }
        for operation in due {
            self.propose(operation);
        }
    }

    /// What all proxies report of a rollout's stage, and the endpoints of both versions.
    fn stage_view(
        &self,
        now: u64,
        service: &str,
        rollout: &Rollout,
        seen: &StageSeen,
    ) -> StageView {
        let bounds = &self.settings.bounds;
        let mut view = StageView {
            stage: seen.stage,
            stage_ms: now - seen.since,
            ramp_ms: rollout.ramp_ms,
            earlier_stages: seen.earlier,
            canary_share: bounds.canary_share,
            canary_margin: bounds.canary_margin,
            ..StageView::default()
        };
        let is_current =
            |update: &&AlarmUpdate| (update.rollout, update.stage) == (seen.rollout, seen.stage);
        let updates: Vec<&AlarmUpdate> = self
            .gossip
            .alarms(now, service)
            .filter(is_current)
            .collect();
        add_updates(&mut view, &updates);
        self.add_slots(&mut view, now, service, &rollout.target);
        view
    }

    fn add_slots(&self, view: &mut StageView, now: u64, service: &str, target: &str) {
        for endpoint in self.endpoints_of(service) {
            let record = &endpoint.record;
            if record.state != EndpointState::Ready || endpoint.warmup_ends_at > now {
                continue;
            }
            let slots = match record.version == target {
                true => &mut view.canary_slots,
                false => &mut view.baseline_slots,
            };
            *slots += u32::from(record.capacity);
        }
    }

    /// A proxy votes to roll back.
    pub(super) fn on_rollback(&mut self, service: &str, id: u64) {
        // The proxy has sent its vote to every control node: one that reaches a majority carries it out, and none does
        // later when it is back.
        if !self.has_quorum_contact(self.now()) {
            return;
        }
        let rollout = self
            .operations
            .rollouts
            .get(service)
            .filter(|held| held.id == id);
        let Some(from) = rollout.map(|held| held.stage) else {
            return;
        };
        if !matches!(from, Stage::Active(_)) {
            return;
        }
        log::info!("state: The rollout of {service} is rolled back.");
        let to = Stage::Reverted;
        let service = service.to_owned();
        self.propose(Operation::AdvanceRollout {
            service,
            rollout: id,
            from,
            to,
        });
    }
}

/// Sums what proxies report.
fn add_updates(view: &mut StageView, updates: &[&AlarmUpdate]) {
    let mut endpoints = BTreeMap::<u16, TrialCount>::new();
    for update in updates {
        view.trials += update.trials;
        view.failures += update.failures;
        view.requests += update.requests;
        // An update is up to a second old: what it counts came in the time that it states.
        let counted_ms = f64::from(update.stage_ms.max(MIN_RATE_MS));
        view.request_rate += f64::from(update.requests) / counted_ms * 1000.0;
        for count in &update.endpoints {
            let sum = endpoints.entry(count.endpoint).or_default();
            sum.trials += u32::from(count.trials);
            sum.failures += u32::from(count.failures);
        }
        view.is_alarmed |= update.is_alarmed;
        view.baseline_in_flight += update.baseline_in_flight;
        view.baseline_failure_rate += f64::from(update.baseline_failure_rate);
    }
    // A control node that was just started does not know how long a stage has lasted; most proxies do.
    let mut ages: Vec<u64> = updates
        .iter()
        .map(|update| u64::from(update.stage_ms))
        .collect();
    ages.sort_unstable();
    view.stage_ms = view
        .stage_ms
        .max(ages.get(ages.len() / 2).copied().unwrap_or(0));
    view.baseline_failure_rate /= f64::max(updates.len() as f64, 1.0);
    view.outlier_endpoint_nats = outlier_endpoint_evidence(&endpoints, view.baseline_failure_rate);
}
