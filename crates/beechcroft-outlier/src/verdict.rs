//! The verdict on one endpoint, from the counts of all regions.

use crate::OutcomeCounts;
use beechcroft::cusum::{Cusum, MIN_THRESHOLD_NATS};
use beechcroft_config::config::OutlierRules;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of periods of each proxy that are retained.
pub(crate) const RETAINED_PERIODS: usize = 48;
/// Number of periods without a successful contact after which an endpoint is unreachable from a region.
pub(crate) const UNREACHABLE_PERIODS: usize = 2;
/// Age, in periods before the latest one reported, beyond which an observation no longer counts.
pub(crate) const STALE_PERIODS: u32 = 6;
/// Minimum number of outcomes in a region for an alarm.
const MIN_OUTCOMES: u32 = 8;
/// Failure rate of a healthy endpoint, as a fraction of the unhealthy rate in the rules.
const HEALTHY_SHARE: f64 = 0.2;
/// Lower bound of the failure rate that is assumed for a healthy endpoint.
const MIN_HEALTHY_RATE: f64 = 0.005;
/// Bounds of the unhealthy failure rate in the rules.
const ERROR_SHARE_BOUNDS: (f64, f64) = (0.02, 0.9);
/// Maximum of a region's CUSUM, in multiples of the alarm threshold, so that it returns below the threshold within a
/// few healthy periods.
const CUSUM_CAP: f64 = 4.0;
/// Number of failures that an invalid response counts as.
const INVALID_WEIGHT: u32 = 2;
/// Periods for which an endpoint stays ejected after it was last unhealthy. Doubles with each further ejection.
const EJECTION_PERIODS: u32 = 3;
/// Maximum number of doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Number of periods after which one past ejection no longer counts.
const EJECTION_MEMORY_PERIODS: usize = 20;

/// The verdict on an endpoint, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// It may get requests.
    Healthy,
    /// It is unreachable from some regions only. Those regions avoid it; the others use it.
    PathLost,
    /// It is ejected in all regions.
    Unhealthy,
}

/// One proxy's observations of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyHistory {
    pub(crate) region: String,
    pub(crate) incarnation: u64,
    pub(crate) periods: BTreeMap<u32, OutcomeCounts>,
}

/// All proxies' observations of one endpoint.
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

    /// The first retained period, from which the CUSUMs are computed.
    fn first_period(&self, now: u32) -> u32 {
        let histories = self.proxies.values();
        let first = histories
            .filter_map(|history| history.periods.keys().next())
            .min();
        first
            .copied()
            .unwrap_or(now)
            .min(now)
            .max(now.saturating_sub(RETAINED_PERIODS as u32))
    }

    /// The counts of each region, period by period.
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

/// The counts of one endpoint, summed over a region's proxies.
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

    /// The sum over the last `periods` periods up to and including `index`, or over fewer at the beginning.
    fn recent(sums: &[RegionCounts], index: usize, periods: usize) -> RegionCounts {
        let first = (index + 1).saturating_sub(periods);
        sums[first..=index]
            .iter()
            .fold(RegionCounts::default(), |all, sum| RegionCounts {
                bad: all.bad + sum.bad,
                good: all.good + sum.good,
                reached: all.reached + sum.reached,
                unreachable: all.unreachable + sum.unreachable,
            })
    }
}

/// Log-likelihood ratios of an outcome, in nats: unhealthy over healthy failure rate.
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

/// The result of all regions for one endpoint and one period.
struct PeriodResult {
    is_unhealthy: bool,
    is_path_lost: bool,
}

/// Evaluates one period: advances each region's CUSUM, and weights the regions' alarms by the requests that recently
/// reached the endpoint.
fn evaluate_period(
    regions: &BTreeMap<&str, Vec<RegionCounts>>,
    cusums: &mut [Cusum],
    ratios: &Ratios,
    required: usize,
    index: usize,
) -> PeriodResult {
    let (mut alarms, mut alarmed_weight, mut total_weight) = (0, 0.0, 0.0);
    let (mut unreachable_regions, mut reaching_regions) = (0, 0);
    for (sums, cusum) in regions.values().zip(cusums) {
        cusum.z =
            f64::from(sums[index].bad) * ratios.bad + f64::from(sums[index].good) * ratios.good;
        cusum.tick();
        cusum.w = cusum.w.min(CUSUM_CAP * MIN_THRESHOLD_NATS);
        let recent = RegionCounts::recent(sums, index, STALE_PERIODS as usize);
        let latest = RegionCounts::recent(sums, index, UNREACHABLE_PERIODS);
        total_weight += f64::from(recent.reached);
        if cusum.w > MIN_THRESHOLD_NATS && recent.reached >= MIN_OUTCOMES {
            alarms += 1;
            alarmed_weight += f64::from(recent.reached);
        }
        unreachable_regions += usize::from(latest.unreachable >= 2 && latest.reached == 0);
        reaching_regions += usize::from(latest.reached > 0);
    }
    let is_failing = alarms >= required && alarmed_weight * 2.0 >= total_weight;
    let is_unreachable = unreachable_regions >= required && reaching_regions == 0;
    PeriodResult {
        is_unhealthy: is_failing || is_unreachable,
        is_path_lost: unreachable_regions > 0 && !is_unreachable,
    }
}

/// The verdict on an endpoint; `regions` is the number of regions with proxies. It depends on the latest period in
/// which the endpoint was unhealthy, and on how often it became unhealthy.
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
    for index in 0..=end {
        let result = evaluate_period(&by_region, &mut cusums, &ratios, required, index);
        is_path_lost = result.is_path_lost;
        if result.is_unhealthy {
            if !was_unhealthy {
                onsets.push(index);
            }
            last_unhealthy = Some(index);
        }
        was_unhealthy = result.is_unhealthy;
    }
    match last_unhealthy {
        Some(index) if end < index + ejection_periods(&onsets, end) => Verdict::Unhealthy,
        _ if is_path_lost => Verdict::PathLost,
        _ => Verdict::Healthy,
    }
}

/// The number of periods for which an endpoint stays ejected. It grows with the number of recent ejections; past ones
/// are forgotten one by one as time passes.
fn ejection_periods(onsets: &[usize], end: usize) -> usize {
    let forgotten = |index: usize| (end - index) / EJECTION_MEMORY_PERIODS;
    let remembered = onsets
        .iter()
        .enumerate()
        .filter(|&(nth, &index)| onsets.len() - nth > forgotten(index));
    let doublings = (remembered.count() as u32)
        .saturating_sub(1)
        .min(MAX_EJECTION_DOUBLINGS);
    (EJECTION_PERIODS << doublings) as usize
}
