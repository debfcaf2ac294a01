//! An attempt whose outcome is recorded: in the load balancer, as evidence for outlier detection, and in the detector of
//! bad versions. [`crate::forward`] plans attempts and decides what follows from their results.

use crate::attempt::{Attempt, UnitResponse};
use crate::forward::ForwardRequest;
use crate::shared::Shared;
use beechcroft_balancer::{Pick, VersionClass};
use beechcroft_outlier::OutcomeCounts;
use beechcroft_retry::AttemptOutcome;
use beechcroft_rollout::{short_id, RequestOutcome};
use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::UnitLoad;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// A finished attempt and the unit that it was made at.
pub(crate) struct FinishedAttempt {
    pub(crate) unit: Rc<str>,
    pub(crate) result: Result<UnitResponse, AttemptOutcome>,
}

/// A planned attempt at a picked endpoint.
pub(crate) struct AttemptPlan {
    pub(crate) pick: Pick,
    pub(crate) class: VersionClass,
    /// Whether no endpoint can have received the request before.
    pub(crate) is_first: bool,
    /// Whether the attempt runs in parallel to another one.
    pub(crate) is_hedge: bool,
}

/// Makes an attempt. Its outcome is recorded in the load balancer and the detectors, even if the future is dropped.
pub(crate) async fn make_attempt<'a>(
    shared: &'a Rc<Shared>,
    request: &'a ForwardRequest<'a>,
    plan: AttemptPlan,
    is_answered: &Cell<bool>,
    is_exclusive: bool,
    streamed_body: Option<(&mut Connection, &mut BodyReader)>,
) -> FinishedAttempt {
    let Pick {
        id: unit,
        address,
        has_free_slot,
        is_same_region,
    } = plan.pick.clone();
    let mut tracker = AttemptTracker::new(shared, request, plan, is_answered);
    let mut load = None;
    let mut attempt = Attempt {
        request: request.head,
        body: request.body,
        streamed_body,
        unit: unit.clone(),
        address,
        is_same_region,
        max_connections: request.service().max_conns,
        is_exclusive,
        deadline: request.deadline,
    };
    let result = attempt.make(shared, &mut load).await;
    let end = match &result {
        Ok(response) if response.head.status >= 500 => AttemptEnd::Failure(AttemptOutcome::Failed),
        Ok(_) => AttemptEnd::Success,
        Err(outcome) => AttemptEnd::Failure(*outcome),
    };
    match end {
        AttemptEnd::Success => {
            shared.record_latency(request.service_name(), tracker.started_at.elapsed());
            if let Some(key) = request.key {
                let fresh_ms = request.service().fresh_ms;
                let mut affinity = request.affinity.borrow_mut();
                affinity.on_response(shared.now(), key, &unit, fresh_ms);
            }
        }
        AttemptEnd::Failure(AttemptOutcome::NotSent | AttemptOutcome::Unclear) => {
            shared.pool.borrow_mut().close_idle(&unit);
        }
        AttemptEnd::Failure(_) => {}
    }
    tracker.end = Some(end);
    tracker.load = load;
    tracker.had_free_slot =
        has_free_slot && load.is_none_or(|load| load.running + load.waiting <= load.slots);
    drop(tracker);
    if end == AttemptEnd::Failure(AttemptOutcome::Rejected) {
        shared
            .balancer
            .borrow_mut()
            .mark_full(shared.now(), request.service_name(), &unit);
    }
    FinishedAttempt { unit, result }
}

/// How an attempt ended: with a response of a status below 500, or with a failure.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptEnd {
    Success,
    Failure(AttemptOutcome),
}

impl AttemptEnd {
    /// Whether this counts as a failure of the endpoint. `None` if it says nothing about the endpoint.
    fn is_endpoint_failure(self) -> Option<bool> {
        match self {
            AttemptEnd::Success => Some(false),
            AttemptEnd::Failure(outcome) => match outcome {
                AttemptOutcome::Rejected
                | AttemptOutcome::WrongEndpoint
                | AttemptOutcome::Failed => None,
                AttemptOutcome::NotSent | AttemptOutcome::Unclear | AttemptOutcome::TimedOut => {
                    Some(true)
                }
            },
        }
    }

    /// Whether this counts as a failure of the endpoint's version. `None` if it says nothing about the version.
    fn is_version_failure(self) -> Option<bool> {
        match self {
            AttemptEnd::Success | AttemptEnd::Failure(AttemptOutcome::TimedOut) => Some(false),
            AttemptEnd::Failure(AttemptOutcome::Unclear | AttemptOutcome::Failed) => Some(true),
            AttemptEnd::Failure(_) => None,
        }
    }
}

/// An attempt in flight. When it is dropped, its outcome is recorded in the load balancer and the detectors.
struct AttemptTracker<'a> {
    shared: &'a Rc<Shared>,
    request: &'a ForwardRequest<'a>,
    unit: Rc<str>,
    class: VersionClass,
    is_first: bool,
    is_hedge: bool,
    /// Whether the endpoint was warming up when the attempt started.
    is_warming_up: bool,
    started_at: Instant,
    /// Whether another attempt has returned the response.
    is_answered: &'a Cell<bool>,
    /// How the attempt ended; `None` if it was dropped before its end.
    end: Option<AttemptEnd>,
    load: Option<UnitLoad>,
    had_free_slot: bool,
}

impl<'a> AttemptTracker<'a> {
    fn new(
        shared: &'a Rc<Shared>,
        request: &'a ForwardRequest<'a>,
        plan: AttemptPlan,
        is_answered: &'a Cell<bool>,
    ) -> AttemptTracker<'a> {
        let AttemptPlan {
            pick: Pick { id: unit, .. },
            class,
            is_first,
            is_hedge,
        } = plan;
        let service = request.service_name();
        let now = shared.now();
        let mut balancer = shared.balancer.borrow_mut();
        balancer.request_started(service, &unit);
        let upstream = balancer.upstream_mut(service, &unit);
        let is_warming_up = upstream.is_some_and(|upstream| upstream.warmup_ends_at > now);
        drop(balancer);
        AttemptTracker {
            shared,
            request,
            unit,
            class,
            is_first,
            is_hedge,
            is_warming_up,
            started_at: Instant::now(),
            is_answered,
            end: None,
            load: None,
            had_free_slot: true,
        }
    }

    /// Whether a hedged attempt that started later returned the response first. This counts as a failure of the endpoint
    /// and of its version.
    fn lost_to_hedge(&self) -> bool {
        self.end.is_none() && !self.is_hedge && self.is_answered.get()
    }

    /// Counts the outcome as evidence for outlier detection, which all proxies share, if the service has outlier rules.
    fn record_outcome_count(&self) {
        let service = self.request.service();
        let Some(rules) = &service.unfit else { return };
        let latency_ms = self.started_at.elapsed().as_secs_f64() * 1000.0;
        let late_ms = rules.late_times * self.request.route.latency_target_ms as f64;
        let is_late = rules.late_times > 0.0 && latency_ms > late_ms;
        let mut outcome_counts = self.shared.outcome_counts.borrow_mut();
        let service_counts = outcome_counts.entry(service.name.clone()).or_default();
        let counts: &mut OutcomeCounts = service_counts.entry(self.unit.clone()).or_default();
        let increment = |count: &mut u16| *count = count.saturating_add(1);
        match self.end {
            Some(AttemptEnd::Success) => {
                increment(&mut counts.responses);
                if is_late {
                    increment(&mut counts.late);
                }
            }
            Some(AttemptEnd::Failure(AttemptOutcome::Failed)) => increment(&mut counts.errors),
            Some(AttemptEnd::Failure(AttemptOutcome::Unclear)) => increment(&mut counts.invalid),
            Some(AttemptEnd::Failure(AttemptOutcome::NotSent | AttemptOutcome::TimedOut)) => {
                increment(&mut counts.unreachable);
            }
            None if self.lost_to_hedge() && is_late => increment(&mut counts.late),
            _ => {}
        }
    }
}

impl Drop for AttemptTracker<'_> {
    fn drop(&mut self) {
        let service = self.request.service_name();
        let lost_to_hedge = self.lost_to_hedge();
        let endpoint_failed = match self.end {
            Some(end) => end.is_endpoint_failure(),
            None => lost_to_hedge.then_some(true),
        };
        let reported_load = self.load.map(|load| load.running + load.waiting);
        let now = self.shared.now();
        let mut balancer = self.shared.balancer.borrow_mut();
        balancer.request_ended(now, service, &self.unit, reported_load, endpoint_failed);
        drop(balancer);
        self.record_outcome_count();
        let is_failure = match self.end {
            Some(end) => end.is_version_failure(),
            None => lost_to_hedge.then_some(true),
        };
        let Some(is_failure) = is_failure else { return };
        let is_canary = self.class == VersionClass::Canary;
        let outcome = RequestOutcome {
            canary_endpoint: is_canary.then(|| short_id(&self.unit)),
            route: self.request.route_index as u32,
            is_failure,
            latency: self.started_at.elapsed(),
            had_free_slot: self.had_free_slot,
            is_first_attempt: self.is_first,
            is_warming_up: self.is_warming_up,
            lost_to_hedge,
        };
        let mut detectors = self.shared.canary_detectors.borrow_mut();
        detectors
            .entry(service.to_owned())
            .or_default()
            .record(outcome);
    }
}
