//! The detector: the evidence on one service's endpoints.

use crate::verdict::{verdict, Evidence, Verdict, KEPT_PERIODS, LOST_PERIODS, STALE_PERIODS};
use crate::{EndpointKey, Observation, OutcomeCounts};
use beechcroft_config::config::OutlierRules;
use std::collections::{BTreeMap, BTreeSet};

/// Periods that [`OutlierDetector::evidence_lines`] shows of each proxy.
const SHOWN_PERIODS: usize = 5;

/// The evidence on one service's endpoints.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    endpoints: BTreeMap<EndpointKey, Evidence>,
    /// The incarnation and the latest period heard of each proxy: an observation counts once.
    heard: BTreeMap<String, (u64, u32)>,
    /// The period by this node's own clock: time passes while nobody reports anything, too.
    clock: u32,
}

impl OutlierDetector {
    /// Merges an observation. They may come in any order and any number of times. Those of a proxy that is cut off, or
    /// that has just woken with old ones, do not count.
    pub fn merge(&mut self, observation: &Observation) {
        let latest = self
            .heard
            .values()
            .map(|&(_, period)| period)
            .max()
            .unwrap_or(0);
        if observation.is_proxy_isolated() || observation.period + STALE_PERIODS < latest {
            return;
        }
        let Observation {
            proxy,
            region,
            incarnation,
            period,
            ..
        } = observation;
        let (incarnation, period) = (*incarnation, *period);
        let held = self
            .heard
            .entry(proxy.clone())
            .or_insert((incarnation, period));
        if incarnation < held.0 {
            return;
        }
        *held = (*held).max((incarnation, period));
        for &(endpoint, counts) in &observation.endpoints {
            let evidence = self.endpoints.entry(endpoint).or_default();
            evidence.merge(proxy, region, incarnation, period, counts);
        }
    }

    /// Endpoints that some proxy has lately reported: whoever sends requests to them reports what it observes.
    pub fn suspected_endpoints(&self) -> BTreeSet<EndpointKey> {
        let now = self.now();
        let is_suspect = |(_, evidence): &(&EndpointKey, &Evidence)| evidence.has_failures(now);
        self.endpoints
            .iter()
            .filter(is_suspect)
            .map(|(&endpoint, _)| endpoint)
            .collect()
    }

    /// The latest period that any proxy has reported or this node's clock has reached.
    fn now(&self) -> u32 {
        self.heard
            .values()
            .map(|&(_, period)| period)
            .max()
            .unwrap_or(0)
            .max(self.clock)
    }

    /// This node's clock has reached a period.
    pub fn advance_clock(&mut self, period: u32) {
        self.clock = self.clock.max(period);
    }

    /// What proxies have reported of an endpoint: a line for each, the latest periods first.
    pub fn evidence_lines(&self, endpoint: EndpointKey) -> Vec<String> {
        let proxies = self
            .endpoints
            .get(&endpoint)
            .into_iter()
            .flat_map(Evidence::proxies);
        proxies
            .map(|(proxy, history)| {
                let latest = history.periods.iter().rev().take(SHOWN_PERIODS);
                let shown: Vec<String> = latest
                    .map(|(period, counts)| show(*period, counts))
                    .collect();
                format!("{} {proxy}: {}", history.region, shown.join("; "))
            })
            .collect()
    }

    /// Keeps the endpoints that are still known.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.endpoints.retain(|&endpoint, _| is_known(endpoint));
    }

    /// The verdicts on all endpoints with evidence.
    ///
    /// `endpoints` is how many the service has, `regions` how many regions the proxies are in. Where more would be
    /// ejected than the rules allow, none is: the endpoints are not the cause then.
    pub fn verdicts(
        &self,
        rules: &OutlierRules,
        endpoints: usize,
        regions: usize,
    ) -> BTreeMap<EndpointKey, Verdict> {
        let now = self.now();
        let mut verdicts: BTreeMap<EndpointKey, Verdict> = self
            .endpoints
            .iter()
            .map(|(&endpoint, evidence)| (endpoint, verdict(evidence, rules, regions, now)))
            .collect();
        let ejected = verdicts
            .values()
            .filter(|&&verdict| verdict == Verdict::Unhealthy)
            .count();
        if ejected as f64 > rules.most_aside * endpoints as f64 {
            for verdict in verdicts.values_mut() {
                *verdict = (*verdict).min(Verdict::PathLost);
            }
        }
        verdicts
    }

    /// The verdict on one endpoint, before the share of ejected endpoints is limited.
    pub fn verdict(&self, endpoint: EndpointKey, rules: &OutlierRules, regions: usize) -> Verdict {
        let evidence = self.endpoints.get(&endpoint);
        evidence.map_or(Verdict::Healthy, |evidence| {
            verdict(evidence, rules, regions, self.now())
        })
    }

    /// Whether a region is among those that cannot reach an endpoint.
    pub fn is_unreachable_from(&self, endpoint: EndpointKey, region: &str) -> bool {
        let Some(evidence) = self.endpoints.get(&endpoint) else {
            return false;
        };
        let first = self.now().saturating_sub(LOST_PERIODS as u32 - 1);
        let histories = evidence.proxies().map(|(_, history)| history);
        let here = histories.filter(|history| history.region == region);
        let counts =
            here.flat_map(|history| history.periods.range(first..).map(|(_, counts)| counts));
        let (lost, reached) = counts.fold((0, 0), |(lost, reached), counts| {
            (
                lost + u32::from(counts.unreachable),
                reached + counts.reached(),
            )
        });
        lost >= 2 && reached == 0
    }
}

fn show(period: u32, counts: &OutcomeCounts) -> String {
    let OutcomeCounts {
        responses,
        late,
        errors,
        invalid,
        unreachable,
    } = counts;
    format!(
        "{period}: {responses} answers, {late} late, {errors} errors, {invalid} wrong, {unreachable} unreachable"
    )
}

impl Evidence {
    /// Adds a proxy's counts of one period. A later incarnation of the proxy starts anew.
    fn merge(
        &mut self,
        proxy: &str,
        region: &str,
        incarnation: u64,
        period: u32,
        counts: OutcomeCounts,
    ) {
        let history = self.history_mut(proxy);
        if incarnation > history.incarnation {
            history.region = region.to_owned();
            history.incarnation = incarnation;
            history.periods.clear();
        }
        history.periods.insert(period, counts);
        while history.periods.len() > KEPT_PERIODS {
            history.periods.pop_first();
        }
    }

    /// Whether some proxy has lately seen a failure.
    fn has_failures(&self, now: u32) -> bool {
        let first = now.saturating_sub(STALE_PERIODS);
        let mut recent = self
            .proxies()
            .flat_map(|(_, history)| history.periods.range(first..));
        recent.any(|(_, counts)| counts.has_failures())
    }
}
