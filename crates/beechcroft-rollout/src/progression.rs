//! Progression of a rollout, decided by the control nodes: the share of requests in each stage, and when the next stage
//! begins. Rollbacks are voted for by the proxies; the control nodes revert a rollout only if it is overdue and still
//! in doubt.

use crate::baseline::MIN_FAILURE_RATE;
use crate::{TrialCount, UNHEALTHY_SHARE};
use beechcroft::cusum::MIN_OUTCOMES;
use beechcroft::histogram::excess_over_median;
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

/// Share of requests that each stage after the canary stage sends to the new version; in the last stage, all new
/// requests. The share of the canary stage is configured.
const STAGE_SHARES: [f64; 3] = [0.3, 0.6, 1.0];
/// The last stage, in which the requests in flight at the base version finish.
pub const LAST_STAGE: u8 = STAGE_SHARES.len() as u8;
/// Lower bound of the share of the canary stage.
const MIN_CANARY_SHARE: f64 = 0.01;

/// Fraction of the ramp time that the canary stage lasts.
const CANARY_RAMP_SHARE: f64 = 0.33;
/// The canary stage may be extended by this factor while it has too few outcomes.
const CANARY_EXTENSION: f64 = 1.2;
/// Fraction of the ramp time that each later stage lasts.
const STAGE_RAMP_SHARE: f64 = 0.1;
/// Outcomes at all proxies together after which the canary stage need not be extended.
const TARGET_TRIALS: u32 = 40;
/// Minimum number of outcomes in a stage, unless the next stage would expose few requests.
const MIN_TRIALS: u32 = 30;
/// Minimum number of outcomes in the last stage, which has the most traffic.
const MIN_LAST_TRIALS: u32 = 20;
/// Maximum time that the last stage waits for these outcomes, in milliseconds.
const MAX_LAST_TRIALS_WAIT_MS: u64 = 5000;
/// Minimum duration of the last stage, in milliseconds.
const MIN_LAST_STAGE_MS: u64 = 1200;
/// Maximum time that the last stage waits for requests in flight at the base version, in milliseconds.
const MAX_BASELINE_WAIT_MS: u64 = 2200;

/// Log-likelihood ratio of all outcomes, in nats, above which a rollout is in doubt and waits for more outcomes.
const DOUBT_NATS: f64 = 2.0;
/// Failure rate of the base version above which the two versions cannot be told apart: a version is bad from twice the
/// base version's rate on, and a version that fails a fifth of its requests must be detected.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.1;
/// Fraction of `canaryMargin` that is used. The rest is kept for requests in flight and for late updates.
const MARGIN_SHARE: f64 = 0.8;
/// Time from the beginning of a stage to the rollback that its first failures cause, in seconds. It includes the
/// alarms, the votes, a consensus round and the update of the proxies.
const ROLLBACK_DELAY_S: f64 = 3.5;
/// Multiple of a stage's duration after which a stage without any reported outcome is taken to have hardly any traffic.
const UNREPORTED_STAGE_FACTOR: f64 = 3.0;
/// Minimum slots of the new version, relative to those of the base version and to the share of requests in the next
/// stage.
const MIN_SLOT_SHARE: f64 = 0.6;
/// Minimum average number of outcomes per endpoint for excluding the excess of single endpoints.
const MIN_TRIALS_PER_ENDPOINT: u32 = 4;
/// Minimum number of endpoints for excluding the excess of single endpoints.
const MIN_ENDPOINTS: usize = 3;

/// The share of requests that a stage sends to the new version, given the deployment's `canaryShare`. The canary stage
/// uses exactly that share: this does not add to what a bad version may receive, and gathers outcomes as fast as
/// possible.
pub fn stage_share(stage: u8, canary_share: f64) -> f64 {
    match stage {
        0 => canary_share.clamp(MIN_CANARY_SHARE, STAGE_SHARES[0]),
        stage => STAGE_SHARES[usize::from(stage.min(LAST_STAGE)) - 1],
    }
}

/// Whether retries of a request whose first attempt went to the canary go there as well. Retries add no evidence,
/// because a request counts as one outcome, but they add to the requests that the canary receives: with two retries, a
/// bad version would receive three times its share. The base version's endpoints run until the rollout is complete and
/// take the retries.
pub fn canary_takes_retries(stage: Option<u8>) -> bool {
    !Safeguard::RetriesToBaseline.is_enabled() && stage == Some(LAST_STAGE)
}

/// The state of a rollout's stage, aggregated over all proxies.
#[derive(Clone, Copy, Debug, Default)]
pub struct StageView {
    /// The current stage, from 0 (canary).
    pub stage: u8,
    /// Time since the stage began as observed by this control node, in milliseconds.
    pub stage_ms: u64,
    /// Maximum duration of the whole rollout, in milliseconds.
    pub ramp_ms: u64,
    /// Canary outcomes in this stage.
    pub trials: u32,
    /// Failures among the outcomes of this stage.
    pub failures: u32,
    /// Requests to the service in this stage, to either version.
    pub requests: u32,
    /// Requests to the service per second.
    pub request_rate: f64,
    /// Evidence that a minority of endpoints contributes beyond the median endpoint, in nats. See
    /// [`outlier_endpoint_evidence`].
    pub outlier_endpoint_nats: f64,
    /// The base version's failure rate: the mean of the proxies' reports.
    pub baseline_failure_rate: f64,
    /// Whether any proxy has raised its alarm.
    pub is_alarmed: bool,
    /// Slots of the new version's endpoints that are ready and not warming up.
    pub canary_slots: u32,
    /// Slots of the base version's endpoints that are ready and not warming up.
    pub baseline_slots: u32,
    /// Requests in flight at the base version.
    pub baseline_in_flight: u32,
    /// Totals of the earlier stages; `None` if this control node did not observe them.
    pub earlier_stages: Option<EarlierStages>,
    /// The deployment's `canaryShare`.
    pub canary_share: f64,
    /// The deployment's `canaryMargin`, in requests.
    pub canary_margin: f64,
}

/// Totals over the completed stages of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EarlierStages {
    /// The evidence for a bad version at the end of these stages.
    pub evidence: StageEvidence,
    /// Requests to the service, to either version.
    pub requests: f64,
    /// Requests to the new version, by the share of each stage.
    pub canary_requests: f64,
    /// The highest request rate of any stage, in requests per second.
    pub peak_rate: f64,
    /// Total duration of these stages, in milliseconds.
    pub duration_ms: u64,
}

/// Evidence for a bad version, in nats, under two assumptions about the base version's failure rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageEvidence {
    /// Given the reported failure rate of the base version.
    pub by_baseline: f64,
    /// Given the lowest failure rate that is assumed for any version.
    pub by_lowest_rate: f64,
}

/// The evidence that a minority of endpoints contributes beyond the median endpoint, in nats. As in the proxies, this
/// excess is attributed to the endpoints and not to the version: a quarter of them may be unhealthy.
pub fn outlier_endpoint_evidence(
    endpoints: &BTreeMap<u16, TrialCount>,
    baseline_failure_rate: f64,
) -> f64 {
    let trials: u32 = endpoints.values().map(|count| count.trials).sum();
    let has_enough_trials = endpoints.len() >= MIN_ENDPOINTS
        && trials >= MIN_TRIALS_PER_ENDPOINT * endpoints.len() as u32;
    if !has_enough_trials || !Safeguard::UnhealthyEndpointsExcused.is_enabled() {
        return 0.0;
    }
    let minority = (endpoints.len() as f64 * UNHEALTHY_SHARE).ceil() as usize;
    let parts = endpoints
        .values()
        .map(|count| count.evidence_nats(baseline_failure_rate).max(0.0));
    excess_over_median(parts.collect(), minority)
}

impl StageView {
    fn evidence_nats(&self, baseline_failure_rate: f64) -> f64 {
        let count = TrialCount {
            trials: self.trials,
            failures: self.failures,
        };
        count.evidence_nats(baseline_failure_rate) - self.outlier_endpoint_nats
    }

    /// The evidence of this stage added to that of the earlier stages. As in the paper's running sum, evidence in
    /// favour of the version is cut off at 0 between stages, so that it does not outweigh later failures.
    fn evidence(&self) -> StageEvidence {
        let earlier = match self.earlier_stages {
            Some(earlier) if Safeguard::EvidenceOfAllStages.is_enabled() => earlier.evidence,
            _ => StageEvidence::default(),
        };
        StageEvidence {
            by_baseline: earlier.by_baseline.max(0.0)
                + self.evidence_nats(self.baseline_failure_rate),
            by_lowest_rate: earlier.by_lowest_rate.max(0.0) + self.evidence_nats(MIN_FAILURE_RATE),
        }
    }

    /// Whether there is evidence for a bad version, though not enough to roll back.
    fn is_in_doubt(&self) -> bool {
        self.evidence().by_baseline > DOUBT_NATS
    }

    /// Whether the remaining stages no longer fit into the ramp time. At that point a good version has missed its
    /// deadline, and a bad version with too few requests for a vote must not stay in place indefinitely.
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

    /// Whether the base version fails so often that a bad version could not be told apart from it.
    fn is_baseline_unhealthy(&self) -> bool {
        Safeguard::HealthyBaseline.is_enabled()
            && self.baseline_failure_rate > MAX_BASELINE_FAILURE_RATE
    }

    /// Whether the new version has enough slots for its share of requests in the next stage.
    fn has_capacity(&self) -> bool {
        let share = stage_share(self.stage + 1, self.canary_share);
        let slots = self.baseline_slots.max(self.canary_slots);
        f64::from(self.canary_slots) >= MIN_SLOT_SHARE * share * f64::from(slots)
    }

    /// The duration of this stage so far, as a fraction of the ramp time.
    fn elapsed(&self) -> f64 {
        self.stage_ms as f64 / self.ramp_ms.max(1) as f64
    }

    /// Whether a bad version would receive few requests even in the next stage: the requests that it has received,
    /// those that it would receive until it is rolled back, and the minimum number of outcomes for an alarm must stay
    /// within the limit for the total number of requests.
    ///
    /// Small samples are judged by the lowest failure rate, because a rate measured while endpoints were unhealthy
    /// would excuse too many failures. There must also be no evidence against the version at all: the exposure is
    /// estimated from the request rate so far, and the rate may triple a second later. One failure among a few outcomes
    /// is 1.8 nats.
    fn has_low_exposure(&self) -> bool {
        let Some(earlier) = self.earlier_stages else {
            return false;
        };
        let is_reported =
            self.requests > 0 || self.elapsed() >= UNREPORTED_STAGE_FACTOR * STAGE_RAMP_SHARE;
        let has_adverse_evidence = self.evidence().by_lowest_rate > 0.0;
        if !is_reported || has_adverse_evidence && Safeguard::SmallSampleLowestRate.is_enabled() {
            return false;
        }
        let earlier = match Safeguard::ExposureOfAllStages.is_enabled() {
            true => earlier,
            false => EarlierStages::default(),
        };
        let share = |stage| stage_share(stage, self.canary_share);
        let requests = earlier.requests + f64::from(self.requests);
        let exposed = earlier.canary_requests + f64::from(self.requests) * share(self.stage);
        let expected = self.request_rate.max(earlier.peak_rate) * ROLLBACK_DELAY_S;
        let worst_case = exposed + expected * share(self.stage + 1) + f64::from(MIN_OUTCOMES);
        worst_case <= self.canary_share * (requests + expected) + MARGIN_SHARE * self.canary_margin
    }

    /// The totals up to and including this stage, for the next stage.
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

    /// Whether the stage has lasted long enough and has enough outcomes for the next stage.
    fn is_stage_done(&self) -> bool {
        let elapsed = self.elapsed();
        match self.stage {
            0 => {
                let is_extended = elapsed >= CANARY_RAMP_SHARE * CANARY_EXTENSION
                    && (self.trials >= MIN_TRIALS || self.has_low_exposure());
                let has_enough_trials = self.trials >= TARGET_TRIALS || is_extended;
                elapsed >= CANARY_RAMP_SHARE && has_enough_trials && self.trials > 0
            }
            LAST_STAGE => {
                let is_drained = self.baseline_in_flight == 0 && self.stage_ms >= MIN_LAST_STAGE_MS;
                let has_ended = is_drained || self.stage_ms >= MAX_BASELINE_WAIT_MS;
                has_ended
                    && (self.trials >= MIN_LAST_TRIALS || self.stage_ms >= MAX_LAST_TRIALS_WAIT_MS)
            }
            _ => {
                elapsed >= STAGE_RAMP_SHARE
                    && (self.trials >= MIN_TRIALS || self.has_low_exposure())
            }
        }
    }
}

/// The next step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Stay in the current stage.
    Hold,
    /// Enter this stage.
    Advance(u8),
    /// Complete the rollout: the new version becomes the base version.
    Complete,
    /// Return to the base version: the rollout is overdue and still in doubt.
    Revert,
}

/// Decides the next step of a rollout. A rollout does not advance while a proxy has raised an alarm, or if the new
/// version's endpoints lack the capacity for the next stage.
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
