//! How control nodes take a rollout on: the share of a service's requests in each stage, and when the next stage begins.
//! Rolling back is the proxies' vote and needs nothing from here but at the very end.

use crate::baseline::MIN_FAILURE_RATE;
use crate::{TrialCount, UNHEALTHY_SHARE};
use beechcroft::cusum::MIN_OUTCOMES;
use beechcroft::histogram::excess_over_median;
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

/// The share of requests that each stage after the canary sends to the new version. After the last one nothing goes to
/// the base version. The canary gets what the rules allow.
const STAGE_SHARES: [f64; 3] = [0.3, 0.6, 1.0];
/// The last stage: what still runs on the base version ends.
pub const LAST_STAGE: u8 = STAGE_SHARES.len() as u8;
/// The lowest share of the canary stage.
const MIN_CANARY_SHARE: f64 = 0.01;

/// The share of the ramp after which the canary stage is over.
const CANARY_RAMP_SHARE: f64 = 0.33;
/// The canary stage may last so much longer to bring its outcomes.
const CANARY_EXTENSION: f64 = 1.2;
/// The share of the ramp that each later stage lasts.
const STAGE_RAMP_SHARE: f64 = 0.1;
/// Outcomes over the fleet that the canary stage should bring.
const ENOUGH_TRIALS: u32 = 40;
/// Outcomes in a stage without which the rollout does not go on, unless the next stage could expose little anyway.
const MIN_TRIALS: u32 = 30;
/// Outcomes of the last stage, which brings most.
const MIN_LAST_TRIALS: u32 = 20;
/// How long the last stage waits for them, in milliseconds.
const MAX_LAST_WAIT_MS: u64 = 5000;
/// The least that the last stage lasts, in milliseconds.
const MIN_LAST_STAGE_MS: u64 = 1200;
/// How long the last stage waits for requests at the base version, in milliseconds.
const MAX_BASELINE_WAIT_MS: u64 = 2200;

/// Log-likelihood ratio of all outcomes above which a rollout waits for more, in nats.
const DOUBT_NATS: f64 = 2.0;
/// The base version's failure rate above which the versions cannot be told apart: a version counts as bad from twice
/// that rate on, and one that fails a fifth of its requests has to be noticed.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.1;
/// The share of `canaryMargin` that is used. The rest is for requests in flight and for updates that are late.
const MARGIN_SHARE: f64 = 0.8;
/// From the beginning of a stage until its first failures have rolled it back, in seconds: a stage, alarms, votes, a
/// round, an update.
const ROLLBACK_S: f64 = 3.5;
/// Without any reported outcome, a stage lasts so many stages before the service counts as hardly used.
const UNREPORTED_STAGES: f64 = 3.0;
/// The share of the base version's slots that the new version must have, for each request that it is going to get.
const MIN_SLOT_SHARE: f64 = 0.6;
/// Outcomes of each endpoint without which nothing is said of single ones.
const MIN_ENDPOINT_TRIALS: u32 = 4;
/// Endpoints below which nothing is said of single ones.
const MIN_ENDPOINTS: usize = 3;

/// The share of requests that a stage sends to the new version, by the `canaryShare` of the deployment. A canary at
/// that very share adds nothing to what a bad version may get, and brings its outcomes as soon as possible.
pub fn stage_share(stage: u8, canary_share: f64) -> f64 {
    match stage {
        0 => canary_share.clamp(MIN_CANARY_SHARE, STAGE_SHARES[0]),
        stage => STAGE_SHARES[usize::from(stage.min(LAST_STAGE)) - 1],
    }
}

/// Whether retries of a request whose first attempt went to the new version go there, too. They are no evidence, as a
/// request is one outcome, but they are requests that the version gets: with two of them a bad version gets three
/// times its share. The base version's endpoints run until the rollout is complete and take them.
pub fn canary_takes_retries(stage: Option<u8>) -> bool {
    !Safeguard::RetriesToBaseline.is_enabled() && stage == Some(LAST_STAGE)
}

/// What is known of a rollout's stage over all proxies.
#[derive(Clone, Copy, Debug, Default)]
pub struct StageView {
    /// The stage.
    pub stage: u8,
    /// Since the stage began, as this control node knows, in milliseconds.
    pub stage_ms: u64,
    /// How long the whole rollout may take, in milliseconds.
    pub ramp_ms: u64,
    /// Outcomes in this stage.
    pub trials: u32,
    /// Failures among them.
    pub failures: u32,
    /// Requests to the service in this stage, of either version.
    pub requests: u32,
    /// Requests to the service a second.
    pub request_rate: f64,
    /// Evidence in nats that a few endpoints contribute beyond the median one: see [`outlier_endpoint_evidence`].
    pub outlier_endpoint_nats: f64,
    /// The base version's failure rate: the mean of what proxies report.
    pub baseline_failure_rate: f64,
    /// Some proxy has set its alarm.
    pub is_alarmed: bool,
    /// Slots of ready endpoints of the new version that are not warming up.
    pub canary_slots: u32,
    /// The same of the base version.
    pub baseline_slots: u32,
    /// Requests in flight at the base version.
    pub baseline_in_flight: u32,
    /// What the stages before this one came to; `None` if this control node has not seen them.
    pub earlier_stages: Option<EarlierStages>,
    /// `canaryShare` of the deployment.
    pub canary_share: f64,
    /// `canaryMargin` of the deployment.
    pub canary_margin: f64,
}

/// What the stages of a rollout came to that are over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EarlierStages {
    /// The evidence for a bad version.
    pub evidence: StageEvidence,
    /// Requests to the service.
    pub requests: f64,
    /// Those of them that were the new version's share.
    pub canary_requests: f64,
    /// The highest number of requests a second.
    pub peak_rate: f64,
    /// How long they lasted, in milliseconds.
    pub duration_ms: u64,
}

/// Evidence for a bad version, in nats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageEvidence {
    /// By the base version's failure rate as it was known.
    pub by_baseline: f64,
    /// By the lowest failure rate that a version is taken to have.
    pub by_lowest_rate: f64,
}

/// What a few endpoints contribute to the evidence beyond the median one, in nats. As in the proxies, that is the
/// endpoints' own and not the version's: a quarter of them may be unhealthy.
pub fn outlier_endpoint_evidence(
    endpoints: &BTreeMap<u16, TrialCount>,
    baseline_failure_rate: f64,
) -> f64 {
    let trials: u32 = endpoints.values().map(|count| count.trials).sum();
    let is_known =
        endpoints.len() >= MIN_ENDPOINTS && trials >= MIN_ENDPOINT_TRIALS * endpoints.len() as u32;
    if !is_known || !Safeguard::UnhealthyEndpointsExcused.is_enabled() {
        return 0.0;
    }
    let few = (endpoints.len() as f64 * UNHEALTHY_SHARE).ceil() as usize;
    let parts = endpoints
        .values()
        .map(|count| count.nats(baseline_failure_rate).max(0.0));
    excess_over_median(parts.collect(), few)
}

impl StageView {
    fn nats(&self, baseline_failure_rate: f64) -> f64 {
        let count = TrialCount {
            trials: self.trials,
            failures: self.failures,
        };
        count.nats(baseline_failure_rate) - self.outlier_endpoint_nats
    }

    /// The evidence of this stage on top of what those before it left. As in the paper's running sum, outcomes that
    /// speak for the version do not outweigh later ones.
    fn evidence(&self) -> StageEvidence {
        let earlier = match self.earlier_stages {
            Some(earlier) if Safeguard::EvidenceOfAllStages.is_enabled() => earlier.evidence,
            _ => StageEvidence::default(),
        };
        StageEvidence {
            by_baseline: earlier.by_baseline.max(0.0) + self.nats(self.baseline_failure_rate),
            by_lowest_rate: earlier.by_lowest_rate.max(0.0) + self.nats(MIN_FAILURE_RATE),
        }
    }

    /// Whether what has been counted speaks for a bad version, though not yet enough to roll back.
    fn is_in_doubt(&self) -> bool {
        self.evidence().by_baseline > DOUBT_NATS
    }

    /// Whether the remaining stages no longer fit into the ramp. A good version has missed its term then, and a bad one
    /// that gets too few requests for a vote need not stay for ever.
    fn is_overdue(&self) -> bool {
        let Some(earlier) = self.earlier_stages else {
            return false;
        };
        let stages_left = f64::from(LAST_STAGE.saturating_sub(self.stage + 1));
        let stages_ms = (stages_left * STAGE_RAMP_SHARE * self.ramp_ms as f64) as u64;
        let last_ms = if self.stage < LAST_STAGE {
            MIN_LAST_STAGE_MS
        } else {
            0
        };
        earlier.duration_ms + self.stage_ms + stages_ms + last_ms > self.ramp_ms
    }

    /// Whether the base version itself fails so often that a bad version would look the same.
    fn is_baseline_unhealthy(&self) -> bool {
        Safeguard::HealthyBaseline.is_enabled()
            && self.baseline_failure_rate > MAX_BASELINE_FAILURE_RATE
    }

    /// Whether the new version has the slots for what the next stage sends it.
    fn has_capacity(&self) -> bool {
        let share = stage_share(self.stage + 1, self.canary_share);
        let slots = self.baseline_slots.max(self.canary_slots);
        f64::from(self.canary_slots) >= MIN_SLOT_SHARE * share * f64::from(slots)
    }

    /// The share of the ramp that this stage has lasted.
    fn elapsed(&self) -> f64 {
        self.stage_ms as f64 / self.ramp_ms.max(1) as f64
    }

    /// Whether a bad version could do little harm in the next stage: what it has got, what the next stage would give it
    /// until it is rolled back, and the outcomes that takes stay within what the rules allow for as many requests.
    ///
    /// Few outcomes are judged by the lowest rate: a rate learned while endpoints are unhealthy excuses what it must
    /// not. And nothing may speak against the version: what is at stake is estimated from the requests so far, and
    /// three times as many may come a second later. One failure among a few outcomes is 1.8 nats.
    fn risks_little(&self) -> bool {
        let Some(earlier) = self.earlier_stages else {
            return false;
        };
        let is_reported =
            self.requests > 0 || self.elapsed() >= UNREPORTED_STAGES * STAGE_RAMP_SHARE;
        let speaks_against = self.evidence().by_lowest_rate > 0.0;
        if !is_reported || speaks_against && Safeguard::SmallSampleLowestRate.is_enabled() {
            return false;
        }
        let earlier = match Safeguard::ExposureOfAllStages.is_enabled() {
            true => earlier,
            false => EarlierStages::default(),
        };
        let share = |stage| stage_share(stage, self.canary_share);
        let requests = earlier.requests + f64::from(self.requests);
        let exposed = earlier.canary_requests + f64::from(self.requests) * share(self.stage);
        let expected = self.request_rate.max(earlier.peak_rate) * ROLLBACK_S;
        let worst = exposed + expected * share(self.stage + 1) + f64::from(MIN_OUTCOMES);
        worst <= self.canary_share * (requests + expected) + MARGIN_SHARE * self.canary_margin
    }

    /// What the stages up to and with this one came to, for the next stage.
    pub fn totals(&self) -> EarlierStages {
        let earlier = self.earlier_stages.unwrap_or_default();
        let requests = self.request_rate * self.stage_ms as f64 / 1000.0;
        EarlierStages {
            evidence: self.evidence(),
            requests: earlier.requests + requests,
            canary_requests: earlier.canary_requests
                + requests * stage_share(self.stage, self.canary_share),
            peak_rate: earlier.peak_rate.max(self.request_rate),
            duration_ms: earlier.duration_ms + self.stage_ms,
        }
    }

    /// Whether the stage has lasted and shown enough for the next one.
    fn is_stage_done(&self) -> bool {
        let elapsed = self.elapsed();
        match self.stage {
            0 => {
                let is_extended = elapsed >= CANARY_RAMP_SHARE * CANARY_EXTENSION
                    && (self.trials >= MIN_TRIALS || self.risks_little());
                let is_enough = self.trials >= ENOUGH_TRIALS || is_extended;
                elapsed >= CANARY_RAMP_SHARE && is_enough && self.trials > 0
            }
            LAST_STAGE => {
                let is_drained = self.baseline_in_flight == 0 && self.stage_ms >= MIN_LAST_STAGE_MS;
                let has_ended = is_drained || self.stage_ms >= MAX_BASELINE_WAIT_MS;
                has_ended && (self.trials >= MIN_LAST_TRIALS || self.stage_ms >= MAX_LAST_WAIT_MS)
            }
            _ => elapsed >= STAGE_RAMP_SHARE && (self.trials >= MIN_TRIALS || self.risks_little()),
        }
    }
}

/// What a rollout does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It stays in its stage.
    Hold,
    /// It enters this stage.
    Advance(u8),
    /// The new version becomes the base version.
    Complete,
    /// Back to the base version: the rollout's time is over, and it is still in doubt.
    Revert,
}

/// Decides on a rollout. Nothing goes on over an alarm, nor to endpoints that could not carry the next stage.
pub fn decide(view: StageView) -> Decision {
    if view.is_in_doubt() && view.is_overdue() && Safeguard::RevertWhenInDoubt.is_enabled() {
        return Decision::Revert;
    }
    let is_blocked = view.is_alarmed
        || view.is_in_doubt()
        || view.is_baseline_unhealthy()
        || !view.has_capacity();
    if is_blocked || !view.is_stage_done() {
        return Decision::Hold;
    }
    match view.stage {
        LAST_STAGE => Decision::Complete,
        stage => Decision::Advance(stage + 1),
    }
}
