//! Rules on rollouts, on the acknowledgement of operations, and on the programs themselves: EXPOSURE, Acks, LOST and Fault.

use super::{describe_attempt, Checker};
use crate::cluster::history::{EndpointRequest, OperationKind};

impl Checker<'_> {
    /// Rule EXPOSURE: the requests that a faulty version gets.
    pub(super) fn rollouts(&mut self) {
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
                            describe_attempt(&[arrival], &arrival.id, attempt)
                        )
                    });
                }
            }
        }
    }

    /// Rule Acks: valid operations that wait too long while the core is stable. Rule LOST: rollouts that no control node
    /// knows any more.
    pub(super) fn acks(&mut self) {
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
    pub(super) fn faults(&mut self) {
        for fault in &self.history.process_failures {
            self.violation("Fault", || {
                format!("{} at {} ms: {}", fault.on, fault.at, fault.description)
            });
        }
    }
}
