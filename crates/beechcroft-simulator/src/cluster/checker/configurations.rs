//! Rules CONFIG and LOST: which configuration versions were acknowledged, applied and read back.

use super::{describe_attempt, matching_route, Checker};
use crate::cluster::history::{ClientAttempt, ConfigChange};
use std::collections::BTreeMap;

/// The observable routing of one attempt by a proxy.
struct RoutingEffect<'a> {
    at: u64,
    id: &'a str,
    attempt: &'a ClientAttempt,
    /// Service of the unit that it reached; `None` if the proxy responded that there is no route.
    service: Option<&'a str>,
}

impl<'a> Checker<'a> {
    /// Rules CONFIG and LOST: which configuration versions were acknowledged, applied and read back.
    pub(super) fn configurations(&mut self) {
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
                            describe_attempt(&[], id, attempt)
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
                        describe_attempt(&[], id, attempt)
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
                        describe_attempt(&[], id, attempt)
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
}
