//! The verdict on one endpoint, from the counts of all regions.

use crate::OutcomeCounts;
use beechcroft::cusum::{Cusum, MIN_THRESHOLD_NATS};
use beechcroft_config::config::OutlierRules;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Periods of each proxy that are kept.
pub(crate) const KEPT_PERIODS: usize = 48;
/// Periods without reaching an endpoint after which a region has lost it.
pub(crate) const LOST_PERIODS: usize = 2;
/// What a proxy observed so many periods before the latest one heard is no evidence any more.
pub(crate) const STALE_PERIODS: u32 = 6;
/// Outcomes in a region below which it raises no alarm.
const MIN_OUTCOMES: u32 = 8;
/// Of the failure rate that a rule names, what a healthy endpoint may show.
const HEALTHY_SHARE: f64 = 0.2;
/// The lowest failure rate that a healthy endpoint is taken to have.
const MIN_HEALTHY_RATE: f64 = 0.005;
/// The bounds of the failure rate that a rule may name.
const ERROR_SHARE_BOUNDS: (f64, f64) = (0.02, 0.9);
/// The sum is capped at so many thresholds, so that what is over is forgotten within a few good periods.
const CUSUM_CAP: f64 = 4.0;
/// What an invalid response counts for, in failures.
const INVALID_WEIGHT: u32 = 2;
/// Periods for which an endpoint stays ejected after it was last bad. Doubles with each ejection.
const EJECTION_PERIODS: u32 = 3;
/// How often that doubles at most.
const EJECTION_DOUBLINGS: u32 = 4;
/// Periods after which one ejection is forgotten.
const FORGET_PERIODS: usize = 20;

/// The verdict on an endpoint, the better ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// It may get requests.
    Healthy,
    /// Some regions cannot reach it and others can. Those avoid it; nobody else does.
    PathLost,
    /// It is ejected.
    Unhealthy,
}

/// What one proxy has observed of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyHistory {
    pub(crate) region: String,
    pub(crate) incarnation: u64,
    pub(crate) periods: BTreeMap<u32, OutcomeCounts>,
}

/// What all proxies have observed of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    proxies: BTreeMap<String, ProxyHistory>,
}

impl Evidence {
    pub(crate) fn proxies(&self) -> impl Iterator<Item = (&String, &ProxyHistory)> {
        self.proxies.iter()
    }

    pub(crate) fn history_mut(&mut self, proxy: &str) -> &mut ProxyHistory {
        self.proxies.entry(proxy.to_owned()).or_default()
    }

    /// The period to judge from.
    fn first_period(&self, now: u32) -> u32 {
        let histories = self.proxies.values();
        let first = histories
            .filter_map(|history| history.periods.keys().next())
            .min();
        first
            .copied()
            .unwrap_or(now)
            .min(now)
            .max(now.saturating_sub(KEPT_PERIODS as u32))
    }

    /// The sums of each region, period by period.
    fn by_region(
        &self,
        rules: &OutlierRules,
        first: u32,
        now: u32,
    ) -> BTreeMap<&str, Vec<RegionCounts>> {
        let length = (now - first) as usize + 1;
        let mut regions: BTreeMap<&str, Vec<RegionCounts>> = BTreeMap::new();
        for history in self.proxies.values() {
            let sums = regions
                .entry(&history.region)
                .or_insert_with(|| vec![RegionCounts::default(); length]);
            for (&period, counts) in history.periods.range(first..=now) {
                sums[(period - first) as usize].add(counts, rules);
            }
        }
        regions
    }
}

/// What a region's proxies counted of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct RegionCounts {
    bad: u32,
    good: u32,
    reached: u32,
    unreachable: u32,
}

impl RegionCounts {
    fn add(&mut self, counts: &OutcomeCounts, rules: &OutlierRules) {
        let late = if rules.late_times > 0.0 {
            u32::from(counts.late)
        } else {
            0
        };
        let invalid = u32::from(counts.invalid) * INVALID_WEIGHT;
        self.bad += u32::from(counts.errors) + invalid + late;
        self.good += u32::from(counts.responses).saturating_sub(late);
        self.reached += counts.reached();
        self.unreachable += u32::from(counts.unreachable);
    }

    /// The sum over the periods up to `at`, no more than `periods` of them.
    fn recent(sums: &[RegionCounts], at: usize, periods: usize) -> RegionCounts {
        let first = (at + 1).saturating_sub(periods);
        sums[first..=at]
            .iter()
            .fold(RegionCounts::default(), |all, sum| RegionCounts {
                bad: all.bad + sum.bad,
                good: all.good + sum.good,
                reached: all.reached + sum.reached,
                unreachable: all.unreachable + sum.unreachable,
            })
    }
}

/// Log-likelihood ratios of outcomes, in nats: of a rate that is unhealthy over one that is healthy.
struct Ratios {
    bad: f64,
    good: f64,
}

impl Ratios {
    fn new(rules: &OutlierRules) -> Ratios {
        let unhealthy = rules
            .error_share
            .clamp(ERROR_SHARE_BOUNDS.0, ERROR_SHARE_BOUNDS.1);
        let healthy = (unhealthy * HEALTHY_SHARE).max(MIN_HEALTHY_RATE);
        Ratios {
            bad: (unhealthy / healthy).ln(),
            good: ((1.0 - unhealthy) / (1.0 - healthy)).ln(),
        }
    }
}

/// What the regions together say of an endpoint in one period.
struct PeriodResult {
    is_unhealthy: bool,
    is_path_lost: bool,
}

/// Judges one period: advances each region's CUSUM, and weighs their one-bit alarms by what they reached lately.
fn judge_period(
    regions: &BTreeMap<&str, Vec<RegionCounts>>,
    cusums: &mut [Cusum],
    ratios: &Ratios,
    required: usize,
    at: usize,
) -> PeriodResult {
    let (mut alarms, mut alarmed_weight, mut total_weight) = (0, 0.0, 0.0);
    let (mut lost, mut reaching) = (0, 0);
    for (sums, cusum) in regions.values().zip(cusums) {
        cusum.z = f64::from(sums[at].bad) * ratios.bad + f64::from(sums[at].good) * ratios.good;
        cusum.tick();
        cusum.w = cusum.w.min(CUSUM_CAP * MIN_THRESHOLD_NATS);
        let recent = RegionCounts::recent(sums, at, STALE_PERIODS as usize);
        let latest = RegionCounts::recent(sums, at, LOST_PERIODS);
        total_weight += f64::from(recent.reached);
        if cusum.w > MIN_THRESHOLD_NATS && recent.reached >= MIN_OUTCOMES {
            alarms += 1;
            alarmed_weight += f64::from(recent.reached);
        }
        lost += usize::from(latest.unreachable >= 2 && latest.reached == 0);
        reaching += usize::from(latest.reached > 0);
    }
    let is_failing = alarms >= required && alarmed_weight * 2.0 >= total_weight;
    let is_gone = lost >= required && reaching == 0;
    PeriodResult {
        is_unhealthy: is_failing || is_gone,
        is_path_lost: lost > 0 && !is_gone,
    }
}

/// The verdict on an endpoint. `regions` is how many there are. What counts is the latest period in which the endpoint
/// was unhealthy, and how often it became so.
pub(crate) fn verdict(
    evidence: &Evidence,
    rules: &OutlierRules,
    regions: usize,
    now: u32,
) -> Verdict {
    let first = evidence.first_period(now);
    let by_region = evidence.by_region(rules, first, now);
    let required = rules.regions.min(regions).max(1);
    let ratios = Ratios::new(rules);
    let mut cusums = vec![Cusum::default(); by_region.len()];
    let (mut onsets, mut last_unhealthy) = (Vec::new(), None);
    let (mut was_unhealthy, mut is_path_lost) = (false, false);
    let end = (now - first) as usize;
    for at in 0..=end {
        let result = judge_period(&by_region, &mut cusums, &ratios, required, at);
        is_path_lost = result.is_path_lost;
        if result.is_unhealthy {
            if !was_unhealthy {
                onsets.push(at);
            }
            last_unhealthy = Some(at);
        }
        was_unhealthy = result.is_unhealthy;
    }
    match last_unhealthy {
        Some(at) if end < at + ejection_periods(&onsets, end) => Verdict::Unhealthy,
        _ if is_path_lost => Verdict::PathLost,
        _ => Verdict::Healthy,
    }
}

/// For how many periods an endpoint stays ejected. Each ejection counts, the older the less: after a while one is
/// forgotten.
fn ejection_periods(onsets: &[usize], end: usize) -> usize {
    let forgotten = |at: usize| (end - at) / FORGET_PERIODS;
    let remembered = onsets
        .iter()
        .enumerate()
        .filter(|&(nth, &at)| onsets.len() - nth > forgotten(at));
    let doublings = (remembered.count() as u32)
        .saturating_sub(1)
        .min(EJECTION_DOUBLINGS);
    (EJECTION_PERIODS << doublings) as usize
}
