//! Rules on the responses to clients: MIXED, TWICE, REFUSED, LOST, DENIED and RECOVER.

use super::{describe_attempt, Checker};
use crate::cluster::history::{ClientAttempt, EndpointRequest};
use crate::cluster::response_faults::STRAY;
use crate::cluster::unit::Unit;

impl Checker<'_> {
    /// Rules MIXED, TWICE, REFUSED and LOST: the responses to clients.
    pub(super) fn answers(&mut self) {
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
                self.violation("TWICE", || describe_attempt(&runs, id, attempt));
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
                        describe_attempt(&runs, id, attempt)
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
                            describe_attempt(&runs, id, attempt)
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
                                describe_attempt(&runs, id, attempt)
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
                format!("{why}: {}", describe_attempt(runs, id, attempt))
            });
        }
    }

    /// Rule DENIED: rejections of valid requests by the system itself.
    pub(super) fn denied(&mut self) {
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
                self.violation("DENIED", || describe_attempt(&[], id, attempt));
            }
        }
    }

    /// Rule RECOVER: requests are served again after a final fault.
    pub(super) fn recovery(&mut self) {
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
