//! The attempts of one request: at one endpoint, at another one if `beechcroft-retry` says so, and a hedged one beside the
//! first if that takes longer than nearly all do and another endpoint has a free slot. Nothing here delays a response.

use crate::attempt::{Attempt, UnitResponse};
use crate::shared::Shared;
use crate::state_owner::{Command, CommandQueue};
use beechcroft_balancer::{CanaryQuota, KeyAffinity, Pick, PickError, PickRequest, VersionClass};
use beechcroft_config::config::{RouteType, Service};
use beechcroft_error::ErrorKind;
use beechcroft_hotkeys::SessionAffinity;
use beechcroft_outlier::placement::{check_placement, PlacementError};
use beechcroft_outlier::OutcomeCounts;
use beechcroft_retry::{AttemptOutcome, Decision, RetryState};
use beechcroft_rollout::progression::{canary_takes_retries, stage_share, LAST_STAGE};
use beechcroft_rollout::{short_id, RequestOutcome};
use beechcroft_routing::{CompiledRoute, RoutingTable};
use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::{RequestHead, UnitLoad};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// A hedged attempt begins after this share of the latency target at the earliest.
const MIN_HEDGE_SHARE: f64 = 0.25;
/// A hedged attempt begins after this share of the latency target at the latest.
const MAX_HEDGE_SHARE: f64 = 0.6;
/// A client that was rejected should come back after this share of the latency target.
const RETRY_AFTER_SHARE: f64 = 0.2;
/// With less than this left, no further endpoint is tried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Bytes of a next request that are read while this one is forwarded.
const MAX_READ_AHEAD: usize = 64 << 10;

/// What goes back to the client.
pub enum ForwardResult {
    /// A unit's response.
    Unit(Box<UnitResponse>),
    /// A response of the proxy's own.
    Own {
        /// Why.
        kind: ErrorKind,
        /// After how long the client may come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The client has gone.
    ClientGone,
}

/// A request whose body is buffered, or has begun to come.
pub struct ForwardRequest<'a> {
    /// The routes that it was matched against.
    pub routes: &'a RoutingTable,
    /// The index of its route.
    pub route_index: usize,
    /// Its route.
    pub route: &'a CompiledRoute,
    /// The index of its service.
    pub service_index: usize,
    /// Its head.
    pub head: &'a RequestHead,
    /// Its body, as far as it is buffered.
    pub body: &'a [u8],
    /// By then the response must be complete.
    pub deadline: Instant,
    /// Its key, where its service serves keys at few endpoints.
    pub key: Option<u64>,
    /// The keys that the client's connection is bound to.
    pub affinity: &'a RefCell<SessionAffinity>,
}

impl ForwardRequest<'_> {
    fn service(&self) -> &Service {
        &self.routes.services[self.service_index]
    }

    fn service_name(&self) -> &str {
        &self.service().name
    }

    fn has_time(&self) -> bool {
        Instant::now() + MIN_TIME_LEFT < self.deadline
    }

    fn reject(&self, kind: ErrorKind) -> ForwardResult {
        let retry_after_ms = (self.route.latency_target_ms as f64 * RETRY_AFTER_SHARE) as u64;
        ForwardResult::Own {
            kind,
            retry_after_ms,
        }
    }

    /// Whether the agreed placement says where the request may go.
    fn is_placed(&self) -> bool {
        !self.route.is_idempotent() && self.service().unfit.is_some()
    }
}

/// An attempt that has ended.
struct EndedAttempt {
    unit: Rc<str>,
    result: Result<UnitResponse, AttemptOutcome>,
}

/// An attempt that did not bring the request's response. A failure of the unit's own comes with its response.
struct FailedAttempt {
    outcome: AttemptOutcome,
    response: Option<Box<UnitResponse>>,
}

/// An endpoint that was picked for an attempt.
struct AttemptPlan {
    pick: Pick,
    class: VersionClass,
    /// No endpoint has got the request before.
    is_first: bool,
    /// Another attempt is under way.
    is_hedge: bool,
}

/// A request among its attempts.
struct Forwarding<'a> {
    shared: &'a Rc<Shared>,
    owner: &'a CommandQueue,
    request: &'a ForwardRequest<'a>,
    retry: RetryState,
    tried: Vec<Rc<str>>,
    class: VersionClass,
    /// An endpoint has got the request, whatever came of that.
    has_arrived: bool,
}

/// Forwards a request whose body is buffered: it may be retried.
pub async fn forward_buffered(
    shared: &Rc<Shared>,
    owner: &CommandQueue,
    request: &ForwardRequest<'_>,
    client: &mut Connection,
) -> ForwardResult {
    let is_idempotent = request.route.is_idempotent();
    let max_attempts = request.route.max_attempts;
    let mut forwarding = Forwarding::new(shared, owner, request, is_idempotent, max_attempts);
    // Once an attempt has brought the response, those still under way were slower.
    let is_answered = Cell::new(false);
    let start = |plan| make_attempt(shared, request, plan, &is_answered, !is_idempotent, None);
    let mut attempts = FuturesUnordered::new();
    match forwarding.pick() {
        Ok(pick) => attempts.push(start(forwarding.plan(pick))),
        Err(kind) => return request.reject(kind),
    }
    let mut hedge_at = forwarding.hedge_at();
    let mut client_gone = std::pin::pin!(closed_by_client(client));
    loop {
        let hedge_due = async {
            match hedge_at {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        let ended = tokio::select! {
            biased;
            Some(ended) = attempts.next() => ended,
            () = &mut client_gone => return ForwardResult::ClientGone,
            () = hedge_due => {
                match forwarding.pick_hedge() {
                    Some(pick) => {
                        hedge_at = None;
                        let plan = AttemptPlan { is_hedge: true, ..forwarding.plan(pick) };
                        attempts.push(start(plan));
                    }
                    None => hedge_at = forwarding.hedge_at(),
                }
                continue;
            }
        };
        let failed = match forwarding.attempt_ended(ended) {
            Ok(response) => {
                is_answered.set(true);
                return ForwardResult::Unit(response);
            }
            Err(failed) => failed,
        };
        if !attempts.is_empty() {
            forwarding.retry.hedged_attempt_ended(failed.outcome);
            continue;
        }
        match forwarding.decide(failed) {
            Ok(pick) => {
                attempts.push(start(forwarding.plan(pick)));
                hedge_at = forwarding.hedge_at();
            }
            Err(result) => return result,
        }
    }
}

/// Forwards a request whose body is too large to be buffered: it can be sent once.
pub async fn forward_streamed(
    shared: &Rc<Shared>,
    owner: &CommandQueue,
    request: &ForwardRequest<'_>,
    client: (&mut Connection, &mut BodyReader),
) -> ForwardResult {
    let mut forwarding = Forwarding::new(shared, owner, request, false, 1);
    let pick = match forwarding.pick() {
        Ok(pick) => pick,
        Err(kind) => return request.reject(kind),
    };
    let (plan, is_answered) = (forwarding.plan(pick), Cell::new(false));
    let ended = make_attempt(shared, request, plan, &is_answered, true, Some(client)).await;
    match forwarding.attempt_ended(ended) {
        Ok(response)
        | Err(FailedAttempt {
            response: Some(response),
            ..
        }) => ForwardResult::Unit(response),
        // What was read of the body cannot be read again, so nothing but a response is left.
        Err(FailedAttempt {
            outcome,
            response: None,
        }) => match forwarding.retry.attempt_ended(outcome, false, || false) {
            Decision::Respond(kind) => request.reject(kind),
            Decision::Retry | Decision::ForwardFailure => request.reject(ErrorKind::ResponseLost),
        },
    }
}

impl<'a> Forwarding<'a> {
    fn new(
        shared: &'a Rc<Shared>,
        owner: &'a CommandQueue,
        request: &'a ForwardRequest<'a>,
        is_idempotent: bool,
        max_attempts: u32,
    ) -> Forwarding<'a> {
        shared.record_request(request.service_name());
        Forwarding {
            shared,
            owner,
            request,
            retry: RetryState::new(is_idempotent, max_attempts),
            tried: Vec::new(),
            class: version_class(shared, request.service_name()),
            has_arrived: false,
        }
    }

    /// The request's key with the endpoints that serve it: the usual ones, or more if it is hot.
    fn key_affinity(&self) -> Option<KeyAffinity> {
        let key = self.request.key?;
        let service = self.request.service();
        let hot_keys = self.shared.hot_keys.borrow();
        let spread = hot_keys
            .get(&service.name)
            .and_then(|detector| detector.spread(key));
        let now = self.shared.now();
        Some(KeyAffinity {
            key,
            spread: spread.unwrap_or(service.usual_places),
            is_hot: spread.is_some(),
            bound_endpoint: self.request.affinity.borrow().endpoint(now, key),
            is_exclusive: !self.request.route.is_idempotent(),
        })
    }

    /// Why a request that must not be executed twice may not go anywhere now: this proxy has not heard of the control
    /// nodes for so long that others may send it elsewhere, or its key was just moved and others may not know yet.
    fn placement_error(&self) -> Option<ErrorKind> {
        if !self.request.is_placed() {
            return None;
        }
        let quorum_read_at = self.shared.quorum_read_at.get();
        let checked = check_placement(self.shared.now(), quorum_read_at, self.moved_at());
        checked.err().map(|error| match error {
            PlacementError::LeaseExpired => ErrorKind::NoQuorumContact,
            PlacementError::Moving => ErrorKind::PlacementChanging,
        })
    }

    /// When this proxy learned that the request's key has moved, if that is recent.
    fn moved_at(&self) -> Option<u64> {
        let (key, service) = (self.request.key?, self.request.service_name());
        let placements = self.shared.placements.borrow();
        let balancer = self.shared.balancer.borrow();
        placements.get(service)?.moved_at(|excluded| {
            balancer.exclusive_endpoint(service, key, |id| excluded.contains(id))
        })
    }

    fn pick_request(&self) -> PickRequest<'_> {
        let route = self.request.route;
        PickRequest {
            class: self.class,
            home_regions: &route.home_regions,
            priority: route.priority,
            is_bulk: route.route_type == RouteType::Download,
            follows_placement: self.request.is_placed(),
            key: self.key_affinity(),
            tried: &self.tried,
        }
    }

    /// The endpoint for the next attempt, or why there is none.
    fn pick(&mut self) -> Result<Pick, ErrorKind> {
        let service = self.request.service_name();
        if let Some(kind) = self.placement_error() {
            return Err(self.retry.no_endpoint_error(kind));
        }
        let stage = self.shared.rollout_stage(service);
        let is_retry = !self.tried.is_empty();
        if is_retry && self.class == VersionClass::Canary && !canary_takes_retries(stage) {
            self.class = VersionClass::Base;
        }
        // In the last stage there may be no endpoint of the base version left to take a retry.
        let is_last_stage = stage == Some(LAST_STAGE);
        let mut may_fall_back = is_last_stage && is_retry && self.class == VersionClass::Base;
        loop {
            let now = self.shared.now();
            let mut balancer = self.shared.balancer.borrow_mut();
            let picked = balancer.pick(now, service, &self.pick_request());
            drop(balancer);
            match picked {
                Ok(pick) => {
                    self.retry.attempt_started();
                    self.tried.push(pick.id.clone());
                    return Ok(pick);
                }
                Err(_) if self.class == VersionClass::Canary && !is_last_stage => {
                    self.class = VersionClass::Base;
                    self.shared.with_canary_quota(service, CanaryQuota::refund);
                }
                Err(_) if may_fall_back => {
                    self.class = VersionClass::Canary;
                    may_fall_back = false;
                }
                Err(PickError::Overloaded) => {
                    return Err(self.retry.no_endpoint_error(ErrorKind::Overloaded));
                }
                Err(PickError::NoEndpoint) => {
                    return Err(self.retry.no_endpoint_error(ErrorKind::NoEndpoint));
                }
            }
        }
    }

    /// When a hedged attempt may begin: after what nearly all requests of the route take.
    fn hedge_at(&self) -> Option<Instant> {
        let target_ms = self.request.route.latency_target_ms as f64;
        if !self.retry.may_hedge() || target_ms <= 0.0 {
            return None;
        }
        let detectors = self.shared.canary_detectors.borrow();
        let detector = detectors.get(self.request.service_name());
        let route = self.request.route_index as u32;
        let usual = detector.and_then(|detector| detector.p95_latency(route));
        let (least, most) = (MIN_HEDGE_SHARE * target_ms, MAX_HEDGE_SHARE * target_ms);
        let delay_ms = usual.map_or(most, |usual| {
            (usual.as_secs_f64() * 1000.0).clamp(least, most)
        });
        Some(Instant::now() + Duration::from_millis(delay_ms as u64))
    }

    fn plan(&self, pick: Pick) -> AttemptPlan {
        AttemptPlan {
            pick,
            class: self.class,
            is_first: !self.has_arrived,
            is_hedge: false,
        }
    }

    /// The endpoint of a hedged attempt, if one has a free slot and the budget a retry.
    fn pick_hedge(&mut self) -> Option<Pick> {
        let service = self.request.service_name();
        let stage = self.shared.rollout_stage(service);
        let class = if canary_takes_retries(stage) {
            self.class
        } else {
            VersionClass::Base
        };
        let wanted = PickRequest {
            class,
            ..self.pick_request()
        };
        let balancer = self.shared.balancer.borrow();
        let has_free_slot = balancer.has_free_slot(self.shared.now(), service, &wanted);
        drop((balancer, wanted));
        let is_allowed = has_free_slot && self.retry.may_hedge() && self.request.has_time();
        if !is_allowed || !self.shared.try_retry(service) {
            return None;
        }
        self.class = class;
        self.has_arrived = true;
        self.pick().ok()
    }

    /// The request's response, or how the attempt failed.
    fn attempt_ended(&mut self, ended: EndedAttempt) -> Result<Box<UnitResponse>, FailedAttempt> {
        let EndedAttempt { unit, result } = ended;
        let failed = match result {
            Ok(response) if response.head.status >= 500 && response.rest.is_none() => {
                let response = Some(Box::new(response));
                FailedAttempt {
                    outcome: AttemptOutcome::Failed,
                    response,
                }
            }
            Ok(response) => return Ok(Box::new(response)),
            Err(outcome) => FailedAttempt {
                outcome,
                response: None,
            },
        };
        self.has_arrived |= failed.outcome.may_have_executed();
        if failed.outcome == AttemptOutcome::WrongEndpoint {
            let _ = self.owner.send(Command::EndpointReplaced(unit));
        }
        Err(failed)
    }

    /// The endpoint of a retry, or what goes back to the client.
    fn decide(&mut self, failed: FailedAttempt) -> Result<Pick, ForwardResult> {
        let FailedAttempt { outcome, response } = failed;
        let request = self.request;
        let budget = || self.shared.try_retry(request.service_name());
        match self
            .retry
            .attempt_ended(outcome, request.has_time(), budget)
        {
            Decision::Retry => self.pick().map_err(|kind| match response {
                // A failure of the unit's own is better than a rejection that comes after it.
                Some(response) => ForwardResult::Unit(response),
                None => request.reject(kind),
            }),
            Decision::ForwardFailure => {
                let response = response.expect("a failure that is forwarded has a response");
                Err(ForwardResult::Unit(response))
            }
            Decision::Respond(kind) => Err(request.reject(kind)),
        }
    }
}

/// Makes an attempt. Load balancer and detectors learn how it ended, even if it is dropped.
async fn make_attempt<'a>(
    shared: &'a Rc<Shared>,
    request: &'a ForwardRequest<'a>,
    plan: AttemptPlan,
    is_answered: &Cell<bool>,
    is_exclusive: bool,
    streamed_body: Option<(&mut Connection, &mut BodyReader)>,
) -> EndedAttempt {
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
        is_near: is_same_region,
        max_connections: request.service().max_conns,
        is_exclusive,
        deadline: request.deadline,
    };
    let result = attempt.make(shared, &mut load).await;
    let end = match &result {
        Ok(response) if response.head.status >= 500 => AttemptEnd::Without(AttemptOutcome::Failed),
        Ok(_) => AttemptEnd::Response,
        Err(outcome) => AttemptEnd::Without(*outcome),
    };
    match end {
        AttemptEnd::Response => {
            shared.record_latency(request.service_name(), tracker.started_at.elapsed());
            if let Some(key) = request.key {
                let fresh_ms = request.service().fresh_ms;
                let mut affinity = request.affinity.borrow_mut();
                affinity.on_response(shared.now(), key, &unit, fresh_ms);
            }
        }
        AttemptEnd::Without(AttemptOutcome::NotSent | AttemptOutcome::Unclear) => {
            shared.pool.borrow_mut().close_idle(&unit);
        }
        AttemptEnd::Without(_) => {}
    }
    tracker.end = Some(end);
    tracker.load = load;
    tracker.had_free_slot =
        has_free_slot && load.is_none_or(|load| load.running + load.waiting <= load.slots);
    drop(tracker);
    if end == AttemptEnd::Without(AttemptOutcome::Rejected) {
        shared
            .balancer
            .borrow_mut()
            .mark_full(shared.now(), request.service_name(), &unit);
    }
    EndedAttempt { unit, result }
}

/// How an attempt ended: with a response that is no failure, or without one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptEnd {
    Response,
    Without(AttemptOutcome),
}

impl AttemptEnd {
    /// Whether the end speaks against the endpoint, if it says anything of it.
    fn speaks_against_endpoint(self) -> Option<bool> {
        match self {
            AttemptEnd::Response => Some(false),
            AttemptEnd::Without(outcome) => match outcome {
                AttemptOutcome::Rejected
                | AttemptOutcome::WrongEndpoint
                | AttemptOutcome::Failed => None,
                AttemptOutcome::NotSent | AttemptOutcome::Unclear | AttemptOutcome::TimedOut => {
                    Some(true)
                }
            },
        }
    }

    /// Whether the end is a failure of the endpoint's version, if it says anything of it.
    fn is_version_failure(self) -> Option<bool> {
        match self {
            AttemptEnd::Response | AttemptEnd::Without(AttemptOutcome::TimedOut) => Some(false),
            AttemptEnd::Without(AttemptOutcome::Unclear | AttemptOutcome::Failed) => Some(true),
            AttemptEnd::Without(_) => None,
        }
    }
}

/// An attempt that is under way. When it is dropped, load balancer and detectors learn how it ended.
struct AttemptTracker<'a> {
    shared: &'a Rc<Shared>,
    request: &'a ForwardRequest<'a>,
    unit: Rc<str>,
    class: VersionClass,
    is_first: bool,
    is_hedge: bool,
    /// The endpoint was warming up when it got the request.
    is_warming_up: bool,
    started_at: Instant,
    /// Whether another attempt has brought the response.
    is_answered: &'a Cell<bool>,
    /// `None` if the attempt was dropped.
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

    /// Whether the endpoint was silent until another one, asked later, had answered. That speaks against the endpoint and
    /// against its version.
    fn lost_to_hedge(&self) -> bool {
        self.end.is_none() && !self.is_hedge && self.is_answered.get()
    }

    /// Where the service has outlier rules, what was observed of the endpoint is evidence for all proxies.
    fn count(&self) {
        let service = self.request.service();
        let Some(rules) = &service.unfit else { return };
        let latency_ms = self.started_at.elapsed().as_secs_f64() * 1000.0;
        let late_ms = rules.late_times * self.request.route.latency_target_ms as f64;
        let is_late = rules.late_times > 0.0 && latency_ms > late_ms;
        let mut outcome_counts = self.shared.outcome_counts.borrow_mut();
        let of_service = outcome_counts.entry(service.name.clone()).or_default();
        let counts: &mut OutcomeCounts = of_service.entry(self.unit.clone()).or_default();
        let increment = |count: &mut u16| *count = count.saturating_add(1);
        match self.end {
            Some(AttemptEnd::Response) => {
                increment(&mut counts.responses);
                if is_late {
                    increment(&mut counts.late);
                }
            }
            Some(AttemptEnd::Without(AttemptOutcome::Failed)) => increment(&mut counts.errors),
            Some(AttemptEnd::Without(AttemptOutcome::Unclear)) => increment(&mut counts.invalid),
            Some(AttemptEnd::Without(AttemptOutcome::NotSent | AttemptOutcome::TimedOut)) => {
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
        let against_endpoint = match self.end {
            Some(end) => end.speaks_against_endpoint(),
            None => lost_to_hedge.then_some(true),
        };
        let reported = self.load.map(|load| load.running + load.waiting);
        let now = self.shared.now();
        let mut balancer = self.shared.balancer.borrow_mut();
        balancer.request_ended(now, service, &self.unit, reported, against_endpoint);
        drop(balancer);
        self.count();
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

/// The version that a request goes to.
fn version_class(shared: &Shared, service: &str) -> VersionClass {
    let Some(stage) = shared.rollout_stage(service) else {
        return VersionClass::Base;
    };
    let share = stage_share(stage, shared.settings.bounds.canary_share);
    match shared.with_canary_quota(service, |quota| quota.try_take(share)) {
        true => VersionClass::Canary,
        false => VersionClass::Base,
    }
}

/// Ends once the client has closed its side. Bytes of a next request are kept.
async fn closed_by_client(client: &mut Connection) {
    loop {
        match client.read_more().await {
            Ok(0) | Err(_) => return,
            Ok(_) if client.unread().len() > MAX_READ_AHEAD => pending().await,
            Ok(_) => {}
        }
    }
}
