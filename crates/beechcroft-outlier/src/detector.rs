//! The detector merges the observations of all proxies on the endpoints of one service.

use crate::verdict::{
    verdict, Evidence, Verdict, RETAINED_PERIODS, STALE_PERIODS, UNREACHABLE_PERIODS,
};
use crate::{EndpointKey, Observation, OutcomeCounts};
use beechcroft_config::config::OutlierRules;
use std::collections::{BTreeMap, BTreeSet};

/// Number of periods of each proxy in [`OutlierDetector::evidence_lines`].
const DISPLAYED_PERIODS: usize = 5;

/// The evidence on the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    endpoints: BTreeMap<EndpointKey, Evidence>,
    /// The incarnation and the latest period of each proxy, which bound the observations that count.
    latest_reports: BTreeMap<String, (u64, u32)>,
    /// The current period by this node's own clock. It lets time pass while no proxy reports anything.
    clock: u32,
}

impl OutlierDetector {
    /// Merges an observation. Observations may be merged in any order and repeatedly. Those of an isolated proxy are
    /// ignored, as are those that are stale because the proxy was suspended.
    pub fn merge(&mut self, observation: &Observation) {
        let latest = self
            .latest_reports
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
        let latest_report = self
            .latest_reports
            .entry(proxy.clone())
            .or_insert((incarnation, period));
        if incarnation < latest_report.0 {
            return;
        }
        *latest_report = (*latest_report).max((incarnation, period));
        for &(endpoint, counts) in &observation.endpoints {
            let evidence = self.endpoints.entry(endpoint).or_default();
            evidence.merge(proxy, region, incarnation, period, counts);
        }
    }

    /// The endpoints of which some proxy has recently reported a failure. All proxies that send requests to them report
    /// their observations of them.
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
        self.latest_reports
            .values()
            .map(|&(_, period)| period)
            .max()
            .unwrap_or(0)
            .max(self.clock)
    }

    /// Advances this node's clock to a period.
    pub fn advance_clock(&mut self, period: u32) {
        self.clock = self.clock.max(period);
    }

    /// The evidence on an endpoint as text: one line per proxy, the latest periods first.
    pub fn evidence_lines(&self, endpoint: EndpointKey) -> Vec<String> {
        let proxies = self
            .endpoints
            .get(&endpoint)
            .into_iter()
            .flat_map(Evidence::proxies);
        proxies
            .map(|(proxy, history)| {
                let latest = history.periods.iter().rev().take(DISPLAYED_PERIODS);
                let periods: Vec<String> = latest
                    .map(|(period, counts)| format_counts(*period, counts))
                    .collect();
                format!("{} {proxy}: {}", history.region, periods.join("; "))
            })
            .collect()
    }

    /// Removes the evidence on all endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.endpoints.retain(|&endpoint, _| is_known(endpoint));
    }

    /// The verdicts on all endpoints with evidence.
    ///
    /// `endpoints` is the number of endpoints of the service, `regions` the number of regions with proxies. If more
    /// endpoints would be ejected than the rules allow, none is: so many unhealthy endpoints indicate another cause.
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

    /// The verdict on one endpoint, without the limit on the share of ejected endpoints.
    pub fn verdict(&self, endpoint: EndpointKey, rules: &OutlierRules, regions: usize) -> Verdict {
        let evidence = self.endpoints.get(&endpoint);
        evidence.map_or(Verdict::Healthy, |evidence| {
            verdict(evidence, rules, regions, self.now())
        })
    }

    /// Whether the proxies of a region have recently failed to reach an endpoint.
    pub fn is_unreachable_from(&self, endpoint: EndpointKey, region: &str) -> bool {
        let Some(evidence) = self.endpoints.get(&endpoint) else {
            return false;
        };
        let first = self.now().saturating_sub(UNREACHABLE_PERIODS as u32 - 1);
        let histories = evidence.proxies().map(|(_, history)| history);
        let in_region = histories.filter(|history| history.region == region);
        let counts =
            in_region.flat_map(|history| history.periods.range(first..).map(|(_, counts)| counts));
        let (unreachable, reached) = counts.fold((0, 0), |(unreachable, reached), counts| {
            (
                unreachable + u32::from(counts.unreachable),
                reached + counts.reached(),
            )
        });
        unreachable >= 2 && reached == 0
    }
}

fn format_counts(period: u32, counts: &OutcomeCounts) -> String {
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
    /// Adds a proxy's counts of one period. A later incarnation of the proxy replaces the counts of the earlier one.
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
        while history.periods.len() > RETAINED_PERIODS {
            history.periods.pop_first();
        }
    }

    /// Whether any proxy has recently reported a failure.
    fn has_failures(&self, now: u32) -> bool {
        let first = now.saturating_sub(STALE_PERIODS);
        let mut recent = self
            .proxies()
            .flat_map(|(_, history)| history.periods.range(first..));
        recent.any(|(_, counts)| counts.has_failures())
    }
}
