//! Detection of bad versions at one proxy: the statistics of the base version, the CUSUM evidence against the canary,
//! and the vote to roll back.

use crate::baseline::{slow_threshold, Baseline, MIN_FAILURE_RATE};
use crate::evidence::Evidence;
use beechcroft::cusum::{self, LOG_GAMMA, MIN_OUTCOMES};
use beechcroft::histogram::Histogram;
use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// M: the sum of weighted alarm bits at which a proxy votes to roll back. Where fewer than M proxies see canary
/// outcomes, their number takes its place.
const REQUIRED_ALARMS_M: f64 = 2.0;
/// Fraction of M that is sufficient: M bits of nearly equal weight sum to slightly less than M.
const REQUIRED_ALARMS_SHARE: f64 = 0.9;
/// Multiplier of the slow threshold for requests that waited for a slot at the endpoint, and for the threshold of the
/// whole service, which applies while this proxy has too few samples of the route.
const RELAXED_SLOW_FACTOR: f64 = 2.0;
/// Weight of one tick in the exponentially weighted average of canary outcomes per tick.
const RATE_EWMA_WEIGHT: f64 = 0.05;
/// Successes added to the base version's outcomes, so that its estimated failure rate stays low while there are few of
/// them.
const BASELINE_PRIOR_SUCCESSES: f64 = 20.0;
/// Lower bound of a proxy's own divergence. It is above 0 because divergences are divided by the largest one.
const MIN_DIVERGENCE: f64 = 1e-9;

/// Number of canary outcomes, and of failures among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCount {
    /// All outcomes, successful or failed.
    pub trials: u32,
    /// Failed outcomes.
    pub failures: u32,
}

impl TrialCount {
    fn add(&mut self, is_failure: bool) {
        self.trials += 1;
        self.failures += u32::from(is_failure);
    }

    /// The log-likelihood ratio of these outcomes, in nats, given the base version's failure rate. Positive values are
    /// evidence for a bad version.
    pub(crate) fn evidence_nats(self, baseline_failure_rate: f64) -> f64 {
        let successes = self.trials.saturating_sub(self.failures);
        f64::from(self.failures) * cusum::log_ratio(baseline_failure_rate, true)
            + f64::from(successes) * cusum::log_ratio(baseline_failure_rate, false)
    }
}

/// The outcomes of one canary endpoint, with its [`short_id`](crate::short_id).
pub type EndpointTrials = (u16, TrialCount);

/// The outcome of one attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// The endpoint's short id if it runs the canary version; `None` for the base version.
    pub canary_endpoint: Option<u16>,
    /// The route's index in the routing table.
    pub route: u32,
    /// Whether the attempt ended with an error or without a valid response. Slow responses are detected here.
    pub is_failure: bool,
    /// Time from sending the request to its end.
    pub latency: Duration,
    /// Whether the endpoint had a free slot, so that the latency contains no queueing delay.
    pub had_free_slot: bool,
    /// Whether this is the request's first attempt.
    pub is_first_attempt: bool,
    /// Whether the endpoint reported that it was warming up; its latency then says nothing about the version.
    pub is_warming_up: bool,
    /// Whether the attempt failed only because a hedged attempt was answered first.
    pub lost_to_hedge: bool,
}

/// The report of another proxy on the same stage of the same rollout.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Whether the proxy's own evidence exceeds its alarm threshold.
    pub is_alarmed: bool,
    /// The proxy's divergence, in nats per tick.
    pub divergence: f64,
    /// The proxy's canary outcomes in this stage.
    pub count: TrialCount,
    /// The same outcomes by endpoint.
    pub endpoints: Vec<EndpointTrials>,
    /// Latency counts of the base version over all routes of the service, by histogram bin.
    pub baseline_latencies: Vec<u32>,
}

/// The result of a tick: the report for the other proxies, and the vote.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DetectorStatus {
    /// Whether this proxy's own evidence exceeds its alarm threshold.
    pub is_alarmed: bool,
    /// Expected log-likelihood ratio of a bad version per tick, in nats.
    pub divergence: f64,
    /// The base version's failure rate over all routes.
    pub baseline_failure_rate: f64,
    /// Canary outcomes in this stage.
    pub count: TrialCount,
    /// The same outcomes by endpoint.
    pub endpoints: Vec<EndpointTrials>,
    /// This proxy's latency counts of the base version, by histogram bin.
    pub baseline_latencies: Vec<u32>,
    /// Whether to vote for a rollback: the weighted alarm bits reach M, or the combined evidence of all proxies exceeds
    /// its threshold.
    pub wants_rollback: bool,
}

/// Detects a bad version of one service from the outcomes at one proxy.
#[derive(Debug, Default)]
pub struct CanaryDetector {
    /// Statistics of the base version, by route.
    baselines: BTreeMap<u32, Baseline>,
    /// Latencies of the base version on all routes, summed over all reporting proxies.
    fleet_latencies: Histogram,
    canary: Option<Canary>,
}

/// The state of the current rollout.
#[derive(Debug, Default)]
struct Canary {
    rollout: u64,
    stage: u8,
    /// The evidence by route; the key `None` holds the evidence of all routes together.
    evidence: BTreeMap<Option<u32>, Evidence>,
    count: TrialCount,
    endpoints: BTreeMap<u16, TrialCount>,
    /// Endpoints whose latest outcome was a failure. Further failures there add no evidence.
    failing: BTreeSet<u16>,
    outcomes_this_tick: f64,
    outcome_rate: f64,
    divergence: f64,
    is_alarmed: bool,
    /// The combined evidence of all proxies, and the counts that it already includes.
    fleet_evidence: Evidence,
    fleet_counts: BTreeMap<u16, TrialCount>,
}

impl CanaryDetector {
    /// Sets the rollout and its stage. A new stage resets the counts but keeps the evidence; a new rollout resets both.
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

    /// Discards the state of the rollout.
    pub fn end_rollout(&mut self) {
        self.canary = None;
    }

    /// The 95th percentile of the base version's latency on a route; `None` while there are too few samples.
    pub fn p95_latency(&self, route: u32) -> Option<Duration> {
        self.baselines.get(&route)?.p95_latency()
    }

    /// Records the outcome of an attempt.
    ///
    /// Slow responses count as failures for the base version as well, so that both versions are measured alike. For
    /// requests that had to wait for a slot, the slow threshold is doubled: the delay is caused by load, and once all
    /// requests go to the new endpoints, no base endpoints under the same load are left for comparison.
    ///
    /// Only the first attempt of a request counts, for either version, since the CUSUM assumes independent outcomes: an
    /// error that is caused by the request itself repeats at every endpoint, and a hedged attempt is cancelled as soon
    /// as the other one is answered.
    pub fn record(&mut self, outcome: RequestOutcome) {
        let is_excused = outcome.is_warming_up && Safeguard::SlowStartExcused.is_enabled();
        let is_retry = !outcome.is_first_attempt && Safeguard::FirstAttemptsOnly.is_enabled();
        if is_retry || is_excused && outcome.lost_to_hedge {
            return;
        }
        let is_slow = || {
            self.slow_threshold(&outcome)
                .is_some_and(|threshold| outcome.latency > threshold)
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

    /// The latency above which an outcome is a failure. While this proxy has too few samples of the route, the
    /// latencies of the whole service at all proxies apply, with a doubled threshold because routes differ.
    fn slow_threshold(&self, outcome: &RequestOutcome) -> Option<Duration> {
        let route_threshold = self
            .baselines
            .get(&outcome.route)
            .and_then(Baseline::slow_threshold);
        if let Some(threshold) = route_threshold {
            let factor = if outcome.had_free_slot {
                1.0
            } else {
                RELAXED_SLOW_FACTOR
            };
            return Some(threshold.mul_f64(factor));
        }
        let fleet = slow_threshold(&self.fleet_latencies);
        fleet
            .filter(|_| Safeguard::SharedSlowThreshold.is_enabled())
            .map(|threshold| threshold.mul_f64(RELAXED_SLOW_FACTOR))
    }

    /// The base version's failure rate over all routes, weighted by their number of outcomes.
    fn baseline_failure_rate(&self) -> f64 {
        let (mut failures, mut trials) = (0.0, 0.0);
        for baseline in self.baselines.values() {
            failures += baseline.failures().failures;
            trials += baseline.failures().trials;
        }
        (failures / (trials + BASELINE_PRIOR_SUCCESSES)).max(MIN_FAILURE_RATE)
    }

    /// Advances the detector by one tick. `peers` are the reports of other proxies on the same stage of the same
    /// rollout. Returns `None` while there is no rollout.
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
        // Consecutive failures at one endpoint count once: they indicate a failed endpoint until it succeeds again.
        let is_repeated_failure = is_failure && !self.failing.insert(endpoint);
        if !is_failure {
            self.failing.remove(&endpoint);
        }
        if is_repeated_failure {
            return;
        }
        for scope in [None, Some(route)] {
            self.evidence.entry(scope).or_default().add(endpoint, nats);
        }
        self.count.add(is_failure);
        self.endpoints.entry(endpoint).or_default().add(is_failure);
        self.outcomes_this_tick += 1.0;
    }

    /// Advances the CUSUMs and updates the alarm bit. Returns whether to vote for a rollback.
    fn tick(&mut self, baseline_failure_rate: f64, peers: &[PeerReport]) -> bool {
        self.evidence.values_mut().for_each(Evidence::tick);
        let outcomes = std::mem::take(&mut self.outcomes_this_tick);
        self.outcome_rate += (outcomes - self.outcome_rate) * RATE_EWMA_WEIGHT;
        self.divergence = cusum::divergence(baseline_failure_rate, self.outcome_rate);
        let own_divergence = self.divergence.max(MIN_DIVERGENCE);
        let max_divergence = peers
            .iter()
            .map(|peer| peer.divergence)
            .fold(own_divergence, f64::max);
        let alarms_m = REQUIRED_ALARMS_M.min(self.observing_proxies(peers) as f64);
        let max_evidence = self
            .evidence
            .values()
            .map(Evidence::sum)
            .fold(0.0, f64::max);
        let threshold = cusum::threshold(self.divergence / max_divergence, alarms_m);
        self.is_alarmed = self.count.trials >= MIN_OUTCOMES && max_evidence > threshold;
        let alarms = peers.iter().map(|peer| (peer.is_alarmed, peer.divergence));
        let alarms = alarms.chain([(self.is_alarmed, self.divergence)]);
        let weighted_alarms = cusum::fuse(alarms, max_divergence);
        let is_fleet_evidence_sufficient = self.add_fleet_evidence(baseline_failure_rate, peers);
        weighted_alarms >= alarms_m * REQUIRED_ALARMS_SHARE || is_fleet_evidence_sufficient
    }

    /// The number of proxies that see canary outcomes. Only those can raise an alarm, so it bounds M.
    fn observing_proxies(&self, peers: &[PeerReport]) -> usize {
        let observing = peers.iter().filter(|peer| peer.count.trials > 0).count();
        (observing + usize::from(self.count.trials > 0)).max(1)
    }

    /// Sums the evidence of all proxies by endpoint, and returns whether it suffices for a rollback. This departs from
    /// the paper: it catches evidence that is too thin at each single proxy.
    fn add_fleet_evidence(&mut self, baseline_failure_rate: f64, peers: &[PeerReport]) -> bool {
        let mut counts: BTreeMap<u16, TrialCount> = self.endpoints.clone();
        for &(endpoint, count) in peers.iter().flat_map(|peer| &peer.endpoints) {
            let sum = counts.entry(endpoint).or_default();
            sum.trials += count.trials;
            sum.failures += count.failures;
        }
        for (&endpoint, &count) in &counts {
            let included = self.fleet_counts.entry(endpoint).or_default();
            let failures = count.failures.saturating_sub(included.failures);
            let new = TrialCount {
                trials: count.trials.saturating_sub(included.trials),
                failures,
            };
            self.fleet_evidence
                .add(endpoint, new.evidence_nats(baseline_failure_rate));
            // Keeps the maximum, so that a peer whose report has expired is not counted twice when it reports again.
            included.trials = included.trials.max(count.trials);
            included.failures = included.failures.max(count.failures);
        }
        self.fleet_evidence.tick();
        let trials: u32 = counts.values().map(|count| count.trials).sum();
        trials >= MIN_OUTCOMES && self.fleet_evidence.sum() > LOG_GAMMA
    }
}
