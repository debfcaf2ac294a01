//! The checker: verifies the rules of RULES against the recorded history alone. It knows nothing of the internal state
//! of the programs. For each rule it counts the violations and describes the first one.

use super::history::{ClientAttempt, ConfigChange, EndpointRequest, History, OperationKind};
use super::response_faults::STRAY;
use super::unit::Unit;
use std::collections::{BTreeMap, BTreeSet};

/// Time limits and shares that the rules allow.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// For this long after a fault a machine still counts as not in contact.
    pub contact_ms: u64,
    /// Time from a configuration's acknowledgement until every proxy in contact must apply it.
    pub apply_ms: u64,
    /// Time within which an operation must be acknowledged while the core is stable.
    pub ack_ms: u64,
    /// For this long the effects of an older configuration may follow those of a newer one.
    pub revert_ms: u64,
    /// Time from a drain's acknowledgement until no request may reach the unit.
    pub drain_ms: u64,
    /// Time from an evacuation's acknowledgement until no request may reach the zone.
    pub evacuate_ms: u64,
    /// Time from the 50th failure of a faulty version until it may get no request.
    pub rollback_ms: u64,
    /// Time that a proxy has after SIGTERM to finish its requests in flight.
    pub grace_ms: u64,
    /// An attempt that ends within this time without having reached a unit does not count as lost.
    pub loss_slack_ms: u64,
    /// Time from the restart after a final fault until requests must be served again.
    pub recovery_ms: u64,
    /// Retries per request over the window.
    pub retry_budget: f64,
    /// Length of the window of the retry budget.
    pub retry_window_ms: u64,
    /// Additional retries over the window.
    pub retry_extra: f64,
    /// Share of a service's requests that a faulty version may get.
    pub canary_share: f64,
    /// Additional requests that it may get.
    pub canary_margin: f64,
    /// Factor on the rate that a cold unit can serve.
    pub warmup_excess: f64,
    /// Additional requests a second that a cold unit may get.
    pub warmup_margin: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact_ms: 4000,
            apply_ms: 2000,
            ack_ms: 6000,
            revert_ms: 250,
            drain_ms: 2000,
            evacuate_ms: 5000,
            rollback_ms: 5000,
            grace_ms: 6000,
            loss_slack_ms: 200,
            recovery_ms: 15_000,
            retry_budget: 0.2,
            retry_window_ms: 10_000,
            retry_extra: 50.0,
            canary_share: 0.1,
            canary_margin: 50.0,
            warmup_excess: 1.5,
            warmup_margin: 5.0,
        }
    }
}

/// A rule that was violated, how often, and an example.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule's name in RULES.
    pub rule: &'static str,
    /// Number of violations.
    pub count: usize,
    /// Description of the first request or operation that violated it.
    pub example: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Violated rules, by name.
    pub violations: Vec<Violation>,
    /// Client requests, each with all its attempts counted once.
    pub requests: usize,
    /// Requests that were answered with a 2xx status.
    pub served: usize,
    /// Rollouts of good versions that did not complete, and of faulty ones that were not reverted.
    pub missed_rollouts: Vec<String>,
    /// Median latency of served requests from their first attempt, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the same.
    pub p99_ms: u64,
}

/// The observable routing of one attempt by a proxy.
struct RoutingEffect<'a> {
    at: u64,
    id: &'a str,
    attempt: &'a ClientAttempt,
    /// Service of the unit that it reached; `None` if the proxy responded that there is no route.
    service: Option<&'a str>,
}

struct Checker<'a> {
    history: &'a History,
    bounds: &'a Bounds,
    /// Requests that arrived at units, by attempt id.
    runs: BTreeMap<&'a str, Vec<&'a EndpointRequest>>,
    found: BTreeMap<&'static str, Violation>,
}

/// Checks every rule against what clients, units and the operator saw.
pub fn check_history(history: &History, bounds: &Bounds) -> Verdict {
    let mut runs: BTreeMap<&str, Vec<&EndpointRequest>> = BTreeMap::new();
    for arrival in &history.endpoint_requests {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    let mut checker = Checker {
        history,
        bounds,
        runs,
        found: BTreeMap::new(),
    };
    checker.answers();
    checker.arrivals();
    checker.configurations();
    checker.budget();
    checker.cold();
    checker.rollouts();
    checker.denied();
    checker.recovery();
    checker.faults();
    checker.acks();
    let mut verdict = Verdict {
        violations: checker.found.into_values().collect(),
        ..Verdict::default()
    };
    summarize_requests(history, &mut verdict);
    verdict
}

fn summarize_requests(history: &History, verdict: &mut Verdict) {
    let mut requests: BTreeMap<u64, (u64, Option<u64>)> = BTreeMap::new();
    for attempt in history
        .attempts
        .values()
        .filter(|attempt| !attempt.route.starts_with("probe"))
    {
        let request = requests
            .entry(attempt.request)
            .or_insert((attempt.at, None));
        request.0 = request.0.min(attempt.at);
        let answer = attempt.answer.as_ref();
        if let Some(at) = answer
            .filter(|a| a.status.is_some_and(|s| s / 100 == 2))
            .map(|a| a.at)
        {
            request.1 = Some(at);
        }
    }
    let mut took: Vec<u64> = requests
        .values()
        .filter_map(|(from, at)| Some((*at)? - from))
        .collect();
    took.sort_unstable();
    let at = |part: f64| {
        took.get(((took.len() as f64 - 1.0) * part) as usize)
            .copied()
            .unwrap_or(0)
    };
    (verdict.requests, verdict.served) = (requests.len(), took.len());
    (verdict.p50_ms, verdict.p99_ms) = (at(0.5), at(0.99));
    for order in &history.operations {
        let OperationKind::Rollout {
            service,
            target,
            bad,
            ..
        } = &order.what
        else {
            continue;
        };
        let state = history
            .rollouts
            .get(service)
            .map_or("nothing", String::as_str);
        let wanted = if *bad { "reverted" } else { "complete" };
        if order.acked.is_some() && state != wanted {
            verdict
                .missed_rollouts
                .push(format!("{service} {target}: {state}, not {wanted}"));
        }
    }
}

impl<'a> Checker<'a> {
    fn violation(&mut self, rule: &'static str, example: impl FnOnce() -> String) {
        match self.found.get_mut(rule) {
            Some(violation) => violation.count += 1,
            None => drop(self.found.insert(
                rule,
                Violation {
                    rule,
                    count: 1,
                    example: example(),
                },
            )),
        }
    }

    /// Whether a machine was in contact at a time, that is, without a recent fault of its own, of the core or everywhere.
    fn in_touch(&self, machine: &str, at: u64) -> bool {
        let from = at.saturating_sub(self.bounds.contact_ms);
        let touches = |on: &str| on == "*" || on == "core" || on == machine;
        !self
            .history
            .injected_faults
            .iter()
            .any(|t| touches(&t.on) && t.from <= at && t.until >= from)
    }

    /// Whether a machine had no unplanned fault of its own over a time span and shortly before it.
    fn is_calm(&self, machine: &str, from: u64, to: u64) -> bool {
        let from = from.saturating_sub(self.bounds.contact_ms);
        let touches = |on: &str| on == "*" || on == machine;
        let unplanned = self.history.injected_faults.iter().filter(|t| !t.planned);
        !unplanned
            .into_iter()
            .any(|t| touches(&t.on) && t.from <= to && t.until >= from)
    }

    fn runs(&self, id: &str) -> Vec<&'a EndpointRequest> {
        self.runs.get(id).cloned().unwrap_or_default()
    }

    /// Describes the course of one attempt.
    fn describe(&self, id: &str, attempt: &ClientAttempt) -> String {
        let mut example = format!(
            "{id}: {} {} sent by a client of {} to {} at {} ms",
            attempt.method, attempt.path, attempt.region, attempt.edge, attempt.at
        );
        for arrival in self.runs(id) {
            let end = match (arrival.was_executed, arrival.status) {
                (false, _) => "turned away".to_owned(),
                (true, Some(status)) => format!("ran, answered {status}"),
                (true, None) => "ran, no answer".to_owned(),
            };
            example += &format!("; at {} ms at unit {}: {end}", arrival.at, arrival.unit);
        }
        match &attempt.answer {
            Some(answer) => match answer.status {
                Some(status) => {
                    example += &format!("; the client got {status} at {} ms", answer.at)
                }
                None => example += &format!("; the client got no answer, by {} ms", answer.at),
            },
            None => example += "; no end was seen",
        }
        example
    }

    /// Rules MIXED, TWICE, REFUSED and LOST: the responses to clients.
    fn answers(&mut self) {
        if self.history.unsolicited_responses > 0 {
            let times = self.history.unsolicited_responses;
            self.violation("MIXED", || {
                format!("{times} answers on connections where no request was waiting")
            });
        }
        for (id, attempt) in &self.history.attempts {
            let runs: Vec<&EndpointRequest> = self
                .runs(id)
                .into_iter()
                .filter(|arrival| arrival.was_executed)
                .collect();
            if !attempt.is_idempotent && runs.len() > 1 {
                self.violation("TWICE", || {
                    describe_attempt(self.history, &runs, id, attempt)
                });
            }
            let Some(answer) = &attempt.answer else {
                continue;
            };
            let strange = answer.id.as_ref().is_some_and(|of| of != id);
            if strange || answer.body.starts_with(STRAY.as_bytes()) {
                self.violation("MIXED", || {
                    let of = answer.id.clone().unwrap_or("nobody".into());
                    format!(
                        "an answer to {of}: {}",
                        describe_attempt(self.history, &runs, id, attempt)
                    )
                });
            }
            match answer.status {
                Some(status @ (429 | 503 | 408 | 421))
                    if !attempt.is_idempotent && !runs.is_empty() =>
                {
                    self.violation("REFUSED", || {
                        format!(
                            "{status} for what ran: {}",
                            describe_attempt(self.history, &runs, id, attempt)
                        )
                    });
                }
                Some(200..=299) => {
                    let sound = answer.seal.as_ref().is_some_and(|seal| {
                        let mut parts = seal.split('.');
                        let (unit, of, bytes) = (parts.next(), parts.next(), parts.next());
                        let bytes = bytes.and_then(|b| b.parse().ok()).unwrap_or(usize::MAX);
                        of == Some(id.as_str())
                            && bytes == answer.body.len()
                            && Unit::answer_to(unit.unwrap_or(""), id, bytes).0 == answer.body
                    });
                    let failed = runs
                        .iter()
                        .all(|arrival| arrival.status.is_some_and(|s| s >= 400));
                    if !sound || failed {
                        self.violation("MIXED", || {
                            let seal = answer.seal.clone().unwrap_or("no seal".into());
                            format!(
                                "{seal}, {} bytes: {}",
                                answer.body.len(),
                                describe_attempt(self.history, &runs, id, attempt)
                            )
                        });
                    }
                }
                None if answer.request_sent && !answer.timed_out => {
                    self.lost(id, attempt, answer.at, &runs)
                }
                _ => {}
            }
        }
    }

    /// Rule LOST: a connection that closed without a complete response, around a planned operation.
    fn lost(&mut self, id: &str, attempt: &ClientAttempt, ended: u64, runs: &[&EndpointRequest]) {
        let arrivals = self.runs(id);
        let broke = arrivals.iter().any(|arrival| arrival.response_failed);
        // A request that was never forwarded may have met a connection that was just being closed.
        if arrivals.is_empty() && ended <= attempt.at + self.bounds.loss_slack_ms {
            return;
        }
        let bounds = self.bounds;
        let leaving = self.history.proxy_shutdowns.iter().any(|(edge, from, _)| {
            *edge == attempt.edge && ended >= *from && ended <= from + bounds.grace_ms + 1000
        });
        let changing = self
            .history
            .configs
            .iter()
            .filter(|c| c.rejected_with.is_none())
            .any(|config| {
                let until = config.acked.unwrap_or(config.at) + bounds.apply_ms + 1000;
                ended >= config.at && ended <= until
            });
        let calm = self.is_calm(&attempt.edge, attempt.at, ended);
        if !broke && calm && (leaving || changing) && ended < attempt.deadline {
            let why = if leaving {
                "around its SIGTERM"
            } else {
                "around a configuration"
            };
            self.violation("LOST", || {
                format!(
                    "{why}: {}",
                    describe_attempt(self.history, runs, id, attempt)
                )
            });
        }
    }

    /// Rules UNASKED, ROUTE, DRAIN, HOME and EVAC: the requests that arrived at units.
    fn arrivals(&mut self) {
        for arrival in &self.history.endpoint_requests {
            if arrival.was_misdirected {
                continue;
            }
            let Some(attempt) = self.history.attempts.get(&arrival.id) else {
                if arrival.was_executed {
                    self.violation("UNASKED", || {
                        format!(
                            "no client sent id {}, which ran at {}",
                            arrival.id, arrival.unit
                        )
                    });
                }
                continue;
            };
            let same = (arrival.method.as_str(), &arrival.path, &arrival.body)
                == (attempt.method, &attempt.path, &attempt.body);
            if arrival.was_executed && !same {
                self.violation("UNASKED", || {
                    format!(
                        "{} {} ran at {} as {} {}",
                        attempt.method, attempt.path, arrival.unit, arrival.method, arrival.path
                    )
                });
                continue;
            }
            let Some(unit) = self.history.units.get(&arrival.unit) else {
                continue;
            };
            let example = || describe_attempt(self.history, &[arrival], &arrival.id, attempt);
            let routes: Vec<_> = self
                .history
                .configs
                .iter()
                .filter_map(|c| matching_route(c, &arrival.path))
                .collect();
            if arrival.was_executed
                && !routes
                    .iter()
                    .any(|route| route.services.contains(&unit.service))
            {
                self.violation("ROUTE", || {
                    format!("{} was never allowed there: {}", unit.service, example())
                });
            }
            if arrival.was_executed
                && routes
                    .iter()
                    .all(|r| !r.homes.is_empty() && !r.homes.contains(&unit.region))
            {
                self.violation("HOME", || {
                    format!("a unit of {}: {}", unit.region, example())
                });
            }
            let touched = self.in_touch(&attempt.edge, arrival.at);
            if let Some(left) = unit
                .drain_acked
                .filter(|left| arrival.at > left + self.bounds.drain_ms)
            {
                if touched {
                    self.violation("DRAIN", || {
                        format!("{} ms after it left: {}", arrival.at - left, example())
                    });
                }
            }
            if touched && self.is_evacuated(&unit.zone, arrival.at) {
                self.violation("EVAC", || {
                    format!("{} is evacuated: {}", unit.zone, example())
                });
            }
        }
    }

    /// Whether a zone's evacuation was acknowledged long enough ago, and has not been ended since.
    fn is_evacuated(&self, zone: &str, at: u64) -> bool {
        let mut since = None;
        for order in &self.history.operations {
            let OperationKind::Evacuate { zone: of, begin } = &order.what else {
                continue;
            };
            if of != zone || order.at > at {
                continue;
            }
            since = if *begin { order.acked } else { None };
        }
        since.is_some_and(|acked| at > acked + self.bounds.evacuate_ms)
    }

    /// Rules CONFIG and LOST: which configuration versions were acknowledged, applied and read back.
    /// Rule CONFIG and rule LOST.
    fn configurations(&mut self) {
        self.invalid_configs_acknowledged();
        self.conflicting_configs_acknowledged();
        self.repeats_rejected();
        self.config_versions_applied();
        self.config_read_back();
    }

    fn acknowledged_configs(&self) -> Vec<&'a ConfigChange> {
        let configs = self.history.configs.iter();
        configs.filter(|config| config.acked.is_some()).collect()
    }

    fn invalid_configs_acknowledged(&mut self) {
        let history = self.history;
        for config in history
            .configs
            .iter()
            .filter(|config| !config.valid && config.acked.is_some())
        {
            self.violation("CONFIG", || {
                format!("invalid version {:08x} is acknowledged", config.version)
            });
        }
    }

    fn conflicting_configs_acknowledged(&mut self) {
        let acked = self.acknowledged_configs();
        for (nth, one) in acked.iter().enumerate() {
            if acked[nth + 1..]
                .iter()
                .any(|two| two.base == one.base && two.body != one.body)
            {
                self.violation("CONFIG", || {
                    format!("two changes on {:08x} are both acknowledged", one.base)
                });
            }
        }
    }

    /// Rule CONFIG: an acknowledged configuration is sent again and rejected, without another change in between.
    fn repeats_rejected(&mut self) {
        let history = self.history;
        for config in &history.configs {
            for &(from, to, status) in config
                .repeats
                .iter()
                .filter(|(_, _, status)| *status >= 400)
            {
                // Any other change in flight since the acknowledgement may have replaced it.
                let since = config.acked.unwrap_or(from);
                let other = |c: &&ConfigChange| {
                    c.body != config.body
                        && c.at <= to
                        && c.ended.is_none_or(|ended| ended >= since)
                };
                let others = history
                    .configs
                    .iter()
                    .filter(other)
                    .any(|c| c.rejected_with.is_none());
                if !others && from >= since {
                    let version = config.version;
                    self.violation("CONFIG", || {
                        format!(
                            "{version:08x}, acknowledged at {since} ms, is sent again at {from} ms: {status}"
                        )
                    });
                }
            }
        }
    }

    /// When the processes of each machine restarted. A kill, a power loss or a shutdown ends a process; a partition or a
    /// freeze does not.
    fn process_starts(&self) -> BTreeMap<&'a str, Vec<u64>> {
        let history = self.history;
        let mut lives: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        let ends = |said: &str| {
            matches!(
                said,
                "killed" | "no power" | "SIGTERM" | "started" | "the closing fault"
            )
        };
        for fault in history
            .injected_faults
            .iter()
            .filter(|fault| ends(&fault.description))
        {
            lives.entry(&fault.on).or_default().push(fault.from);
        }
        lives
    }

    /// The effects that show which configuration a proxy applied, sorted by time: requests that reached a unit, and
    /// responses that there is no route.
    fn routing_effects(&self) -> Vec<RoutingEffect<'a>> {
        let history = self.history;
        let mut events: Vec<RoutingEffect> = Vec::new();
        for arrival in history
            .endpoint_requests
            .iter()
            .filter(|arrival| arrival.was_executed)
        {
            if let (Some(attempt), Some(unit)) = (
                history.attempts.get(&arrival.id),
                history.units.get(&arrival.unit),
            ) {
                events.push(RoutingEffect {
                    at: arrival.at,
                    id: &arrival.id,
                    attempt,
                    service: Some(&unit.service),
                });
            }
        }
        for (id, attempt) in &history.attempts {
            let answer = attempt.answer.as_ref();
            if let Some(at) = answer
                .filter(|a| a.status == Some(404) && a.seal.is_none())
                .map(|a| a.at)
            {
                events.push(RoutingEffect {
                    at,
                    id,
                    attempt,
                    service: None,
                });
            }
        }
        events.sort_by_key(|event| event.at);
        events
    }

    /// Rule CONFIG: a proxy applies only configurations that were not rejected, never an older one than before, and each
    /// acknowledged one in time.
    fn config_versions_applied(&mut self) {
        let history = self.history;
        // By edge: the newest version whose effect was observed, and when.
        let mut seen: BTreeMap<&str, (u32, u64)> = BTreeMap::new();
        let lives = self.process_starts();
        let may: Vec<&ConfigChange> = history
            .configs
            .iter()
            .filter(|c| c.valid && c.rejected_with.is_none())
            .collect();
        let events = self.routing_effects();
        for effect in events {
            let RoutingEffect {
                at,
                id,
                attempt,
                service,
            } = effect;
            let allows =
                |config: &ConfigChange| match (matching_route(config, &attempt.path), service) {
                    (Some(route), Some(service)) => route.services.iter().any(|of| of == service),
                    (None, None) => true,
                    _ => false,
                };
            let versions: Vec<u32> = may
                .iter()
                .filter(|c| allows(c))
                .map(|c| c.version)
                .collect();
            let any = history.configs.iter().any(allows);
            if versions.is_empty() {
                if any {
                    self.violation("CONFIG", || {
                        format!(
                            "only a refused configuration allows it: {}",
                            describe_attempt(history, &[], id, attempt)
                        )
                    });
                }
                continue;
            }
            let (oldest, newest) = (versions[0], versions[versions.len() - 1]);
            // The proxy must apply at least what was acknowledged long enough before the attempt was sent.
            let due = |c: &&ConfigChange| {
                c.acked
                    .is_some_and(|acked| attempt.at > acked + self.bounds.apply_ms)
            };
            let least = history
                .configs
                .iter()
                .filter(due)
                .map(|c| c.version)
                .max()
                .unwrap_or(0);
            if newest < least && self.in_touch(&attempt.edge, attempt.at) {
                self.violation("CONFIG", || {
                    format!(
                        "as only up to {newest:08x}, though {least:08x} holds: {}",
                        describe_attempt(history, &[], id, attempt)
                    )
                });
            }
            let life_from = [attempt.edge.as_str(), "*"]
                .into_iter()
                .filter_map(|on| lives.get(on))
                .flatten();
            let life_from = life_from
                .filter(|&&from| from <= at)
                .max()
                .copied()
                .unwrap_or(0);
            let held = seen.entry(&attempt.edge).or_insert((0, 0));
            if held.1 < life_from {
                *held = (0, 0);
            }
            let (version, since) = *held;
            if newest < version && attempt.at > since + self.bounds.revert_ms {
                self.violation("CONFIG", || {
                    format!(
                        "{} goes back from {version:08x} to {newest:08x}: {}",
                        attempt.edge,
                        describe_attempt(history, &[], id, attempt)
                    )
                });
            }
            let held = seen.get_mut(attempt.edge.as_str()).expect("put there");
            if oldest > held.0 {
                *held = (oldest, at);
            }
        }
    }

    fn config_read_back(&mut self) {
        let history = self.history;
        let acked = self.acknowledged_configs();
        // Only what was acknowledged before the read counts, unless the read failed.
        let before = |c: &&&ConfigChange| {
            history.read_back.is_none() || c.acked.is_some_and(|at| at < history.read_at)
        };
        let newest = acked.iter().filter(before).map(|c| c.version).max();
        let Some(newest) = newest else { return };
        match &history.read_back {
            None => self.violation("LOST", || "the configuration is not read back".into()),
            Some(body) => {
                let sent = history.configs.iter().find(|c| c.body == *body);
                match sent {
                    None => self.violation("CONFIG", || "what is read back was never sent".into()),
                    Some(sent) if sent.version < newest => {
                        let version = sent.version;
                        self.violation("LOST", || {
                            format!("{version:08x} is read back, {newest:08x} was acknowledged")
                        });
                    }
                    Some(sent) if sent.rejected_with.is_some() || !sent.valid => {
                        let version = sent.version;
                        self.violation("CONFIG", || {
                            format!("refused version {version:08x} is read back")
                        });
                    }
                    Some(_) => {}
                }
            }
        }
    }

    /// Rule BUDGET: arrivals beyond the first of each attempt, over sliding windows.
    fn budget(&mut self) {
        let window = self.bounds.retry_window_ms;
        let mut again: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        let mut attempt_times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        let mut first = BTreeSet::new();
        let service = |unit: &str| {
            self.history
                .units
                .get(unit)
                .map(|life| life.service.as_str())
        };
        for arrival in &self.history.endpoint_requests {
            let Some(service) = service(&arrival.unit) else {
                continue;
            };
            if !first.insert((&arrival.id, service)) {
                again.entry(service).or_default().push(arrival.at);
            }
        }
        for attempt in self.history.attempts.values() {
            let route = self
                .history
                .configs
                .iter()
                .find_map(|c| matching_route(c, &attempt.path));
            for service in route.iter().flat_map(|route| &route.services) {
                attempt_times.entry(service).or_default().push(attempt.at);
            }
        }
        attempt_times
            .values_mut()
            .for_each(|times| times.sort_unstable());
        let within = |times: &[u64], from: u64, to: u64| {
            times.partition_point(|&at| at < to) - times.partition_point(|&at| at < from)
        };
        let mut worst: Vec<(String, usize, f64)> = Vec::new();
        for (service, times) in &again {
            let none = Vec::new();
            let requests = attempt_times.get(service).unwrap_or(&none);
            for &at in times {
                let count = within(times, at, at + window);
                let most = [0, window / 2, window]
                    .map(|back| {
                        within(
                            requests,
                            at.saturating_sub(back),
                            (at + window).saturating_sub(back),
                        )
                    })
                    .into_iter()
                    .max()
                    .unwrap_or(0);
                let bound = self.bounds.retry_budget * most as f64 + self.bounds.retry_extra;
                if count as f64 > bound {
                    worst.push((format!("{service} from {at} ms"), count, bound));
                }
            }
        }
        for (said, count, bound) in worst {
            self.violation("BUDGET", || {
                format!("{said}: {count} further arrivals in a window, {bound:.0} allowed")
            });
        }
    }

    /// Rule FAILBACK: requests that were sent and arrived at a cold unit within the same second.
    fn cold(&mut self) {
        let mut by_unit: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        for arrival in self
            .history
            .endpoint_requests
            .iter()
            .filter(|arrival| arrival.is_cold && !arrival.was_misdirected)
        {
            let Some(attempt) = self.history.attempts.get(&arrival.id) else {
                continue;
            };
            by_unit
                .entry(&arrival.unit)
                .or_default()
                .push((arrival.at, attempt.at));
        }
        let mut found = Vec::new();
        for (unit, times) in by_unit {
            let cold_capacity = self
                .history
                .units
                .get(unit)
                .map_or(0.0, |life| life.cold_capacity);
            let bound = cold_capacity * self.bounds.warmup_excess + self.bounds.warmup_margin;
            for &(_, at) in &times {
                let inside = |&&(arrival, sent): &&(u64, u64)| sent >= at && arrival < at + 1000;
                let count = times.iter().filter(inside).count();
                if count as f64 > bound {
                    found.push(format!(
                        "{unit}: {count} requests in the second from {at} ms, {bound:.1} allowed"
                    ));
                }
            }
        }
        for said in found {
            self.violation("FAILBACK", || said);
        }
    }

    /// Rule EXPOSURE: the requests that a faulty version gets.
    fn rollouts(&mut self) {
        let history = self.history;
        for order in &history.operations {
            let OperationKind::Rollout {
                service,
                target,
                bad: true,
                until,
            } = &order.what
            else {
                continue;
            };
            let of = |arrival: &&EndpointRequest| {
                history
                    .units
                    .get(&arrival.unit)
                    .filter(|unit| unit.service == *service)
            };
            let span = |arrival: &&EndpointRequest| {
                arrival.at >= order.at && arrival.at <= *until && !arrival.was_misdirected
            };
            let all: Vec<&EndpointRequest> = history
                .endpoint_requests
                .iter()
                .filter(span)
                .filter(|arrival| of(arrival).is_some())
                .collect();
            let is_new = |arrival: &&&EndpointRequest| {
                of(arrival).is_some_and(|unit| unit.version == *target)
            };
            let touched = |arrival: &&&EndpointRequest| self.in_touch(&arrival.edge, arrival.at);
            let new: Vec<&&EndpointRequest> = all.iter().filter(is_new).filter(touched).collect();
            let bound = self.bounds.canary_share * all.len() as f64 + self.bounds.canary_margin;
            if new.len() as f64 > bound {
                let (count, of) = (new.len(), all.len());
                self.violation("EXPOSURE", || {
                    format!("{service} {target}: {count} of {of} requests, {bound:.0} allowed")
                });
            }
            let bad: Vec<u64> = new
                .iter()
                .filter(|c| c.status.is_none_or(|s| s >= 500))
                .map(|c| c.at)
                .collect();
            let Some(&fiftieth) = bad.get(49) else {
                continue;
            };
            for arrival in new {
                let Some(attempt) = history.attempts.get(&arrival.id) else {
                    continue;
                };
                if attempt.at > fiftieth + self.bounds.rollback_ms {
                    self.violation("EXPOSURE", || {
                        format!(
                            "{} ms after the 50th bad answer: {}",
                            attempt.at - fiftieth,
                            describe_attempt(history, &[arrival], &arrival.id, attempt)
                        )
                    });
                }
            }
        }
    }

    /// Rule DENIED: rejections of valid requests by the system itself.
    fn denied(&mut self) {
        let history = self.history;
        let mut denied = Vec::new();
        for (id, attempt) in history
            .attempts
            .iter()
            .filter(|(_, attempt)| !attempt.route.starts_with("probe"))
        {
            let Some(status) = attempt.answer.as_ref().and_then(|answer| answer.status) else {
                continue;
            };
            let own = (300..500).contains(&status) && !matches!(status, 408 | 409 | 421 | 429);
            let of_a_unit = self
                .runs(id)
                .iter()
                .any(|arrival| arrival.status == Some(status));
            if own && !of_a_unit && self.in_touch(&attempt.edge, attempt.at) {
                denied.push((id, attempt));
            }
        }
        if denied.len() > 5 + history.attempts.len() / 500 {
            for (id, attempt) in denied {
                self.violation("DENIED", || describe_attempt(history, &[], id, attempt));
            }
        }
    }

    /// Rule Acks: valid operations that wait too long while the core is stable. Rule LOST: rollouts that no control node
    /// knows any more.
    fn acks(&mut self) {
        let history = self.history;
        let configs = history
            .configs
            .iter()
            .filter(|c| c.valid && c.rejected_with.is_none())
            .map(|c| {
                let most = self.bounds.ack_ms + 3 * c.routes.len() as u64;
                (
                    format!("configuration {:08x}", c.version),
                    c.at,
                    c.acked,
                    most,
                )
            });
        let orders = history.operations.iter().map(|order| {
            let until = order.acked.or(order.ended);
            (
                format!("{:?}", order.what),
                order.at,
                until,
                self.bounds.ack_ms,
            )
        });
        let waits: Vec<(String, u64, Option<u64>, u64)> = configs.chain(orders).collect();
        let unsettles = |on: &str, said: &str| on == "*" || on == "core" || said == "cut off";
        let mut unsettled: Vec<(u64, u64)> = history
            .injected_faults
            .iter()
            .filter(|t| unsettles(&t.on, &t.description))
            .map(|t| (t.from, t.until + self.bounds.contact_ms))
            .collect();
        unsettled.sort_unstable();
        for (said, at, until, most) in waits.into_iter().filter(|_| !history.has_random_faults) {
            let until = until.unwrap_or(history.end);
            let mut from = at;
            for &(begins, ends) in unsettled.iter().chain(&[(until, until)]) {
                if begins.min(until) > from + most {
                    self.violation("Acks", || {
                        format!("{said}: none from {from} to {begins} ms, in a settled time")
                    });
                    break;
                }
                from = from.max(ends);
            }
        }
        for order in history
            .operations
            .iter()
            .filter(|order| order.acked.is_some())
        {
            let OperationKind::Rollout {
                service, target, ..
            } = &order.what
            else {
                continue;
            };
            if history
                .rollouts
                .get(service)
                .is_some_and(|state| state == "gone")
            {
                self.violation("LOST", || {
                    format!("the rollout of {service} to {target} is gone")
                });
            }
        }
    }

    /// Rule Fault: a program that panicked or exited unexpectedly, whatever faults were injected.
    fn faults(&mut self) {
        for fault in &self.history.process_failures {
            self.violation("Fault", || {
                format!("{} at {} ms: {}", fault.on, fault.at, fault.description)
            });
        }
    }

    /// Rule RECOVER: requests are served again after a final fault.
    fn recovery(&mut self) {
        let Some(back) = self.history.closing else {
            return;
        };
        let part = |from: u64, to: u64| {
            let all = self
                .history
                .attempts
                .values()
                .filter(|a| a.at >= from && a.at < to);
            let tries: Vec<&ClientAttempt> = all.collect();
            let fine = |a: &&&ClientAttempt| {
                a.answer
                    .as_ref()
                    .is_some_and(|b| b.status.is_some_and(|s| s / 100 == 2))
            };
            (
                tries.len(),
                tries.iter().filter(fine).count() as f64 / tries.len().max(1) as f64,
            )
        };
        let (_, before) = part(0, back.saturating_sub(3000));
        let (count, after) = part(back + self.bounds.recovery_ms, u64::MAX);
        if before >= 0.25 && count > 20 && after < 0.25 {
            self.violation("RECOVER", || {
                format!("{:.0}% of {count} tries are served", after * 100.0)
            });
        }
    }
}

/// The route of a configuration that matches a path: the one with the longest prefix.
fn matching_route<'c>(config: &'c ConfigChange, path: &str) -> Option<&'c super::history::Route> {
    let fits = config
        .routes
        .values()
        .filter(|route| path.starts_with(&route.prefix));
    fits.max_by_key(|route| route.prefix.len())
}

fn describe_attempt(
    history: &History,
    runs: &[&EndpointRequest],
    id: &str,
    attempt: &ClientAttempt,
) -> String {
    let runs: BTreeMap<&str, Vec<&EndpointRequest>> = BTreeMap::from([(id, runs.to_vec())]);
    let bounds = Bounds::default();
    Checker {
        history,
        bounds: &bounds,
        runs,
        found: BTreeMap::new(),
    }
    .describe(id, attempt)
}
