//! Rollouts: base versions, progression of the stages, and rollback.

use super::StateOwner;
use beechcroft_consensus::{Operation, Rollout, Stage};
use beechcroft_gossip::AlarmUpdate;
use beechcroft_registry::EndpointState;
use beechcroft_rollout::progression::{
    decide, outlier_endpoint_evidence, Decision, EarlierStages, StageView,
};
use beechcroft_rollout::TrialCount;
use std::collections::BTreeMap;

/// How long a service's endpoints are watched before its base version is recorded, in milliseconds.
const BASE_VERSION_DELAY_MS: u64 = 1200;
/// Minimum period over which the request rate of an alarm update is computed, in milliseconds. A shorter period would
/// give a meaningless rate.
const MIN_RATE_MS: u32 = 500;

/// The stage of a rollout as observed by this control node.
#[derive(Clone, Copy)]
pub(super) struct ObservedStage {
    rollout: u64,
    stage: u8,
    /// Time at which this node first observed the stage.
    since: u64,
    /// Totals of the earlier stages, if this node has observed all of them.
    earlier: Option<EarlierStages>,
    /// Totals of the earlier stages and this one.
    totals: Option<EarlierStages>,
}

impl ObservedStage {
    /// The observation of a rollout that is now in `stage`, given the previous observation.
    fn next(
        previous: Option<ObservedStage>,
        rollout: &Rollout,
        stage: u8,
        now: u64,
    ) -> ObservedStage {
        let previous = previous.filter(|observed| observed.rollout == rollout.id);
        if let Some(current) = previous.filter(|observed| observed.stage == stage) {
            return current;
        }
        let previous_totals = previous
            .filter(|observed| observed.stage + 1 == stage)
            .and_then(|observed| observed.totals);
        let earlier = if stage == 0 {
            Some(EarlierStages::default())
        } else {
            previous_totals
        };
        ObservedStage {
            rollout: rollout.id,
            stage,
            since: now,
            earlier,
            totals: None,
        }
    }
}

impl StateOwner {
    /// Records the base version of each service that has none: the version that most of its ready endpoints run.
    pub(super) fn record_base_versions(&mut self, now: u64) {
        let versions = self.versions_without_base();
        self.base_version_missing_since
            .retain(|service, _| versions.contains_key(service));
        // The coordinator records it; any other node does if the coordinator has not done so for some time.
        let grace = if self.is_coordinator(now) {
            0
        } else {
            3 * BASE_VERSION_DELAY_MS
        };
        let mut due = Vec::new();
        for (service, counts) in versions {
            let since = *self
                .base_version_missing_since
                .entry(service.clone())
                .or_insert(now);
            let is_due = now >= since + grace + BASE_VERSION_DELAY_MS;
            let most_common = counts
                .into_iter()
                .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
            if let Some((version, _)) = most_common.filter(|_| is_due) {
                due.push(Operation::SetBaseVersion { service, version });
            }
        }
        if !due.is_empty() {
            self.base_version_missing_since
                .values_mut()
                .for_each(|since| *since = now);
        }
        for operation in due {
            self.propose(operation);
        }
    }

    /// Number of ready endpoints by version, for each configured service without a base version.
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

    /// Advances rollouts if this node is the coordinator. All control nodes keep the totals of each stage, so that any
    /// of them can continue as the coordinator.
    pub(super) fn advance_rollouts(&mut self, now: u64) {
        let is_coordinator = self.is_coordinator(now);
        let mut due = Vec::new();
        for (service, rollout) in &self.operations.rollouts {
            let Stage::Active(stage) = rollout.stage else {
                continue;
            };
            let previous = self.observed_stages.get(service).copied();
            let observed = ObservedStage::next(previous, rollout, stage, now);
            let view = self.stage_view(now, service, rollout, &observed);
            let totals = observed.earlier.map(|_| view.totals());
            self.observed_stages
                .insert(service.clone(), ObservedStage { totals, ..observed });
            if !is_coordinator {
                continue;
            }
            let to = match decide(view) {
                Decision::Hold => continue,
                Decision::Advance(stage) => Stage::Active(stage),
                Decision::Complete => Stage::Complete,
                Decision::Revert => Stage::Reverted,
            };
            log::info!(
                "state: Moving the rollout of {service} from stage {stage} to {to:?}: {view:?}."
            );
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

    /// The reports of all proxies on a rollout's stage, summed, with the capacity of the endpoints of both versions.
    fn stage_view(
        &self,
        now: u64,
        service: &str,
        rollout: &Rollout,
        observed: &ObservedStage,
    ) -> StageView {
        let bounds = &self.settings.bounds;
        let mut view = StageView {
            stage: observed.stage,
            stage_ms: now - observed.since,
            ramp_ms: rollout.ramp_ms,
            earlier_stages: observed.earlier,
            canary_share: bounds.canary_share,
            canary_margin: bounds.canary_margin,
            ..StageView::default()
        };
        let is_current = |update: &&AlarmUpdate| {
            (update.rollout, update.stage) == (observed.rollout, observed.stage)
        };
        let updates: Vec<&AlarmUpdate> = self
            .gossip
            .alarms(now, service)
            .filter(is_current)
            .collect();
        add_updates(&mut view, &updates);
        self.add_slots(&mut view, now, service, &rollout.target);
        view
    }

    /// Adds the capacity of the ready and warm endpoints of both versions.
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

    /// Rolls back a rollout on the vote of a proxy.
    pub(super) fn on_rollback(&mut self, service: &str, id: u64) {
        // The proxy sends its vote to every control node. Those in contact with a majority carry it out; one that is
        // not must not do so later, once it is in contact again.
        if !self.has_quorum_contact(self.now()) {
            return;
        }
        let rollout = self
            .operations
            .rollouts
            .get(service)
            .filter(|rollout| rollout.id == id);
        let Some(from) = rollout.map(|rollout| rollout.stage) else {
            return;
        };
        if !matches!(from, Stage::Active(_)) {
            return;
        }
        log::info!("state: Rolling back the rollout of {service}.");
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

/// Adds the reports of proxies to a view of a rollout's stage.
fn add_updates(view: &mut StageView, updates: &[&AlarmUpdate]) {
    let mut endpoints = BTreeMap::<u16, TrialCount>::new();
    for update in updates {
        view.trials += update.trials;
        view.failures += update.failures;
        view.requests += update.requests;
        // An update is up to a second old, so the rate is computed over the period that the update itself states.
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
    // A control node that has just started does not know the age of the stage, so the median of the proxies' ages
    // counts if it is greater.
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
