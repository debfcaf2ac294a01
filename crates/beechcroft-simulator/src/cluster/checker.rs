//! The checker: verifies the rules of RULES against the recorded history alone. It knows nothing of the internal state
//! of the programs. For each rule it counts the violations and describes the first one.

mod configurations;
mod forwarding;
mod operations;
mod responses;

use super::history::{ClientAttempt, ConfigChange, EndpointRequest, History, OperationKind};
use std::collections::BTreeMap;

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
}

/// The route of a configuration that matches a path: the one with the longest prefix.
fn matching_route<'c>(config: &'c ConfigChange, path: &str) -> Option<&'c super::history::Route> {
    let fits = config
        .routes
        .values()
        .filter(|route| path.starts_with(&route.prefix));
    fits.max_by_key(|route| route.prefix.len())
}

/// Describes the course of one attempt: how it was sent, the given arrivals at units, and its answer.
fn describe_attempt(runs: &[&EndpointRequest], id: &str, attempt: &ClientAttempt) -> String {
    let mut example = format!(
        "{id}: {} {} sent by a client of {} to {} at {} ms",
        attempt.method, attempt.path, attempt.region, attempt.edge, attempt.at
    );
    for arrival in runs {
        let end = match (arrival.was_executed, arrival.status) {
            (false, _) => "turned away".to_owned(),
            (true, Some(status)) => format!("ran, answered {status}"),
            (true, None) => "ran, no answer".to_owned(),
        };
        example += &format!("; at {} ms at unit {}: {end}", arrival.at, arrival.unit);
    }
    match &attempt.answer {
        Some(answer) => match answer.status {
            Some(status) => example += &format!("; the client got {status} at {} ms", answer.at),
            None => example += &format!("; the client got no answer, by {} ms", answer.at),
        },
        None => example += "; no end was seen",
    }
    example
}
