//! Rules on the requests that arrive at units: UNASKED, ROUTE, DRAIN, HOME, EVAC, BUDGET and FAILBACK.

use super::{describe_attempt, matching_route, Checker};
use crate::cluster::history::OperationKind;
use std::collections::{BTreeMap, BTreeSet};

impl Checker<'_> {
    /// Rules UNASKED, ROUTE, DRAIN, HOME and EVAC: the requests that arrived at units.
    pub(super) fn arrivals(&mut self) {
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
            let example = || describe_attempt(&[arrival], &arrival.id, attempt);
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

    /// Rule BUDGET: arrivals beyond the first of each attempt, over sliding windows.
    pub(super) fn budget(&mut self) {
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
    pub(super) fn cold(&mut self) {
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
}
