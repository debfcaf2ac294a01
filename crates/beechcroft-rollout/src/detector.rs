//! The detector of bad versions: one proxy's part.

use crate::baseline::{slow_threshold, Baseline, MIN_FAILURE_RATE};
use crate::evidence::Evidence;
use beechcroft::cusum::{self, LOG_GAMMA, MIN_OUTCOMES};
use beechcroft::histogram::Histogram;
use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// M: the sum of weighted bits at which a proxy votes to roll back, where at least M proxies see canary outcomes.
const ALARMS_M: f64 = 2.0;
/// A little is lost in weighing: M bits of nearly equal weight count as M.
const ALARMS_TOLERANCE: f64 = 0.9;
/// The threshold of slowness is multiplied by this where a request had to wait at the endpoint, and where only the
/// service and not the route is known.
const LOADED_FACTOR: f64 = 2.0;
/// The weight of a tick in the rate of canary outcomes.
const RATE_WEIGHT: f64 = 0.05;
/// Outcomes that are added to the base version's, so that its rate over few outcomes is low.
const BASELINE_PRIOR: f64 = 20.0;
/// The divergence of a proxy that sees nothing: above 0, as it is divided by.
const MIN_DIVERGENCE: f64 = 1e-9;

/// Canary outcomes and the failures among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCount {
    /// Outcomes.
    pub trials: u32,
    /// Failures among them.
    pub failures: u32,
}

impl TrialCount {
    fn add(&mut self, is_failure: bool) {
        self.trials += 1;
        self.failures += u32::from(is_failure);
    }

    /// The evidence for a bad version, in nats, where the base version fails at this rate.
    pub(crate) fn nats(self, baseline_failure_rate: f64) -> f64 {
        let successes = self.trials.saturating_sub(self.failures);
        f64::from(self.failures) * cusum::log_ratio(baseline_failure_rate, true)
            + f64::from(successes) * cusum::log_ratio(baseline_failure_rate, false)
    }
}

/// What is counted of one endpoint of the new version: its short id and its outcomes.
pub type EndpointTrials = (u16, TrialCount);

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// The endpoint's short id, if it runs the version that is rolled out.
    pub canary_endpoint: Option<u16>,
    /// The route's number.
    pub route: u32,
    /// An error, or no valid response. Whether it came too late is judged here.
    pub is_failure: bool,
    /// From sending the request to the end.
    pub latency: Duration,
    /// The endpoint had a free slot: the latency is its own and no wait.
    pub had_free_slot: bool,
    /// No endpoint was sent the request before.
    pub is_first_attempt: bool,
    /// The endpoint said that it is warming up: its latency says nothing of the version.
    pub is_warming_up: bool,
    /// It failed only in that a hedged request was answered sooner.
    pub lost_to_hedge: bool,
}

/// A peer's report on the same stage of the same rollout.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Its alarm bit.
    pub is_alarmed: bool,
    /// Its divergence, in nats a tick.
    pub divergence: f64,
    /// Its canary outcomes.
    pub count: TrialCount,
    /// The same by endpoint.
    pub endpoints: Vec<EndpointTrials>,
    /// The base version's latencies over all routes of the service, by histogram bin.
    pub baseline_latencies: Vec<u32>,
}

/// The result of a tick: what the proxy reports, and whether it votes to roll back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DetectorStatus {
    /// The alarm bit.
    pub is_alarmed: bool,
    /// Expected log-likelihood ratio for each tick, in nats.
    pub divergence: f64,
    /// The base version's failure rate.
    pub baseline_failure_rate: f64,
    /// Canary outcomes of this stage.
    pub count: TrialCount,
    /// The same by endpoint.
    pub endpoints: Vec<EndpointTrials>,
    /// The base version's latencies here, by histogram bin.
    pub baseline_latencies: Vec<u32>,
    /// The weighted bits, or the evidence of all proxies together, ask for a rollback.
    pub wants_rollback: bool,
}

/// One proxy's judgement of one service.
#[derive(Debug, Default)]
pub struct CanaryDetector {
    /// The base version, by route.
    baselines: BTreeMap<u32, Baseline>,
    /// The base version's latencies on all routes, over all proxies that report.
    fleet_latencies: Histogram,
    canary: Option<Canary>,
}

/// The rollout that is judged.
#[derive(Debug, Default)]
struct Canary {
    rollout: u64,
    stage: u8,
    /// The evidence by route, and of all routes under `None`.
    evidence: BTreeMap<Option<u32>, Evidence>,
    count: TrialCount,
    endpoints: BTreeMap<u16, TrialCount>,
    /// Endpoints whose last outcome here was a failure: further failures there say nothing new.
    failing: BTreeSet<u16>,
    outcomes_this_tick: f64,
    outcome_rate: f64,
    divergence: f64,
    is_alarmed: bool,
    /// The evidence of all proxies together, and the counts that it contains.
    fleet_evidence: Evidence,
    fleet_counts: BTreeMap<u16, TrialCount>,
}

impl CanaryDetector {
    /// A rollout is in this stage. Counts of an earlier stage do not count for it; the evidence does.
    pub fn set_stage(&mut self, rollout: u64, stage: u8) {
        match &mut self.canary {
            Some(canary) if canary.rollout == rollout => {
                if canary.stage != stage {
                    canary.stage = stage;
                    canary.count = TrialCount::default();
                    canary.endpoints.clear();
                    canary.fleet_counts.clear();
                }
            }
            _ => {
                self.canary = Some(Canary {
                    rollout,
                    stage,
                    ..Canary::default()
                })
            }
        }
    }

    /// No rollout is under way.
    pub fn end_rollout(&mut self) {
        self.canary = None;
    }

    /// What nearly all responses of the base version take on a route, once enough are known.
    pub fn p95_latency(&self, route: u32) -> Option<Duration> {
        self.baselines.get(&route)?.p95_latency()
    }

    /// Records an outcome.
    ///
    /// A late response of the base version counts as its failure too, so that both versions are judged by the same
    /// measure. Where a request had to wait for a slot, lateness up to twice the threshold is the load's: once all
    /// requests go to the new endpoints, there is nothing beside them that bears the same.
    ///
    /// Of each request only the first attempt counts, for either version. An error that the request itself causes
    /// follows it from endpoint to endpoint, and a hedged request is dropped as soon as the other one is answered.
    /// The sum takes outcomes to be independent.
    pub fn record(&mut self, outcome: RequestOutcome) {
        let is_excused = outcome.is_warming_up && Safeguard::SlowStartExcused.is_enabled();
        let is_retry = !outcome.is_first_attempt && Safeguard::FirstAttemptsOnly.is_enabled();
        if is_retry || is_excused && outcome.lost_to_hedge {
            return;
        }
        let is_slow = || {
            self.slow_threshold(&outcome)
                .is_some_and(|from| outcome.latency > from)
        };
        let is_failure = outcome.is_failure || !is_excused && is_slow();
        let baseline = self.baselines.entry(outcome.route).or_default();
        let Some(endpoint) = outcome.canary_endpoint else {
            let latency = (!is_excused).then_some(outcome.latency);
            baseline.record(is_failure, latency);
            return;
        };
        let nats = cusum::log_ratio(baseline.failure_rate(), is_failure);
        if let Some(canary) = &mut self.canary {
            canary.record(endpoint, outcome.route, is_failure, nats);
        }
    }

    /// From which latency on an outcome is a failure. Where this proxy knows too little of the route, all proxies
    /// together know the service: routes differ, so the threshold is twice as high.
    fn slow_threshold(&self, outcome: &RequestOutcome) -> Option<Duration> {
        let route = self
            .baselines
            .get(&outcome.route)
            .and_then(Baseline::slow_threshold);
        if let Some(threshold) = route {
            let factor = if outcome.had_free_slot {
                1.0
            } else {
                LOADED_FACTOR
            };
            return Some(threshold.mul_f64(factor));
        }
        let fleet = slow_threshold(&self.fleet_latencies);
        fleet
            .filter(|_| Safeguard::SharedSlowThreshold.is_enabled())
            .map(|threshold| threshold.mul_f64(LOADED_FACTOR))
    }

    /// The base version's failure rate over all routes, as they were used.
    fn baseline_failure_rate(&self) -> f64 {
        let (mut failures, mut trials) = (0.0, 0.0);
        for baseline in self.baselines.values() {
            failures += baseline.failures().failures;
            trials += baseline.failures().trials;
        }
        (failures / (trials + BASELINE_PRIOR)).max(MIN_FAILURE_RATE)
    }

    /// The mechanism's tick. `peers`: the reports of other proxies on the same stage of the same rollout. `None` while
    /// no rollout is under way.
    pub fn tick(&mut self, peers: &[PeerReport]) -> Option<DetectorStatus> {
        let baseline_failure_rate = self.baseline_failure_rate();
        let mut latencies = Histogram::default();
        for baseline in self.baselines.values() {
            latencies.merge(baseline.latencies().counts());
        }
        let canary = self.canary.as_mut()?;
        let baseline_latencies = latencies.counts().to_vec();
        for peer in peers {
            latencies.merge(&peer.baseline_latencies);
        }
        self.fleet_latencies = latencies;
        let wants_rollback = canary.tick(baseline_failure_rate, peers);
        Some(DetectorStatus {
            is_alarmed: canary.is_alarmed,
            divergence: canary.divergence,
            baseline_failure_rate,
            count: canary.count,
            endpoints: canary
                .endpoints
                .iter()
                .map(|(&id, &count)| (id, count))
                .collect(),
            baseline_latencies,
            wants_rollback,
        })
    }
}

impl Canary {
    fn record(&mut self, endpoint: u16, route: u32, is_failure: bool, nats: f64) {
        // A streak at one endpoint counts once: it is the endpoint that fails, until it answers again.
        let is_streak = is_failure && !self.failing.insert(endpoint);
        if !is_failure {
            self.failing.remove(&endpoint);
        }
        if is_streak {
            return;
        }
        for scope in [None, Some(route)] {
            self.evidence.entry(scope).or_default().add(endpoint, nats);
        }
        self.count.add(is_failure);
        self.endpoints.entry(endpoint).or_default().add(is_failure);
        self.outcomes_this_tick += 1.0;
    }

    /// Advances the sums and sets the bit. Whether the proxy votes to roll back.
    fn tick(&mut self, baseline_failure_rate: f64, peers: &[PeerReport]) -> bool {
        self.evidence.values_mut().for_each(Evidence::tick);
        let outcomes = std::mem::take(&mut self.outcomes_this_tick);
        self.outcome_rate += (outcomes - self.outcome_rate) * RATE_WEIGHT;
        self.divergence = cusum::divergence(baseline_failure_rate, self.outcome_rate);
        let own = self.divergence.max(MIN_DIVERGENCE);
        let largest = peers.iter().map(|peer| peer.divergence).fold(own, f64::max);
        let alarms_m = ALARMS_M.min(self.seeing_proxies(peers) as f64);
        let worst = self
            .evidence
            .values()
            .map(Evidence::sum)
            .fold(0.0, f64::max);
        let threshold = cusum::threshold(self.divergence / largest, alarms_m);
        self.is_alarmed = self.count.trials >= MIN_OUTCOMES && worst > threshold;
        let bits = peers.iter().map(|peer| (peer.is_alarmed, peer.divergence));
        let bits = bits.chain([(self.is_alarmed, self.divergence)]);
        let fused = cusum::fuse(bits, largest);
        let is_fleet_alarmed = self.add_fleet_evidence(baseline_failure_rate, peers);
        fused >= alarms_m * ALARMS_TOLERANCE || is_fleet_alarmed
    }

    /// Only proxies that see canary outcomes can set a bit: where there are fewer than M, those must suffice.
    fn seeing_proxies(&self, peers: &[PeerReport]) -> usize {
        let seeing = peers.iter().filter(|peer| peer.count.trials > 0).count();
        (seeing + usize::from(self.count.trials > 0)).max(1)
    }

    /// A departure from the paper: evidence too thin for any proxy alone is summed over what all of them have counted,
    /// endpoint by endpoint. Whether it is enough to roll back.
    fn add_fleet_evidence(&mut self, baseline_failure_rate: f64, peers: &[PeerReport]) -> bool {
        let mut counts: BTreeMap<u16, TrialCount> = self.endpoints.clone();
        for &(endpoint, count) in peers.iter().flat_map(|peer| &peer.endpoints) {
            let sum = counts.entry(endpoint).or_default();
            sum.trials += count.trials;
            sum.failures += count.failures;
        }
        for (&endpoint, &count) in &counts {
            let counted = self.fleet_counts.entry(endpoint).or_default();
            let failures = count.failures.saturating_sub(counted.failures);
            let new = TrialCount {
                trials: count.trials.saturating_sub(counted.trials),
                failures,
            };
            self.fleet_evidence
                .add(endpoint, new.nats(baseline_failure_rate));
            // A peer whose report lapsed is not counted again when it is heard again.
            counted.trials = counted.trials.max(count.trials);
            counted.failures = counted.failures.max(count.failures);
        }
        self.fleet_evidence.tick();
        let trials: u32 = counts.values().map(|count| count.trials).sum();
        trials >= MIN_OUTCOMES && self.fleet_evidence.sum() > LOG_GAMMA
    }
}
