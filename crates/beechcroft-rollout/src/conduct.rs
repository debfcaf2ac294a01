//! How the core takes a rollout on: which share of a service's requests a stage gives to the new version, and
//! when the next one begins. Going back is the proxy relays' vote, and needs nothing from here.

use crate::{Count, ILL_SHARE};
use beechcroft::cusum::{log_ratio, MIN_OUTCOMES};
use beechcroft::histogram::excess;
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

/// The part of requests that a stage after the trial sends to the new version; after the last one nothing goes to
/// the old. The trial has what the rule allows for all.
const SHARES: [f64; 3] = [0.3, 0.6, 1.0];
/// The last stage: what still runs on the earlier version ends.
pub const LAST: u8 = SHARES.len() as u8;

/// The part of requests that a stage sends to the new version, by the `canaryShare` of the deployment. A trial at that
/// very share adds nothing to what a bad version may get, and brings its outcomes as soon as may be.
pub fn share(stage: u8, canary_share: f64) -> f64 {
    match stage {
        0 => canary_share.clamp(0.01, SHARES[0]),
        stage => SHARES[usize::from(stage.min(LAST)) - 1],
    }
}

/// Whether further tries of a request whose first offer went to the new version go there too, by the stage. They are no
/// evidence, as a request is one outcome, but they are requests that the version gets: with two of them a bad one
/// gets three times what its share says. The earlier version's units run until the rollout is complete and take them.
pub fn takes_further_tries(stage: Option<u8>) -> bool {
    !Safeguard::RetriesToBaseline.is_enabled() && stage == Some(LAST)
}

/// By when, of the ramp, the trial is over; the steps after it share what is left.
const TRIAL_PART: f64 = 0.33;
const STEP_PART: f64 = 0.1;
/// Outcomes over the fleet that a trial should bring; it is given a fifth longer to bring them.
const ENOUGH: u32 = 40;

/// What is known of a rollout over all relays.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    pub stage: u8,
    /// Since this stage began, as this core machine knows.
    pub stage_ms: u64,
    pub ramp_ms: u64,
    /// Outcomes in this stage, over all relays that tell.
    pub trials: u32,
    pub failures: u32,
    /// Requests to the service in this stage, of either version, and how many of them come in a second.
    pub asked: u32,
    pub rate: f64,
    /// Evidence in nats that a few units bring beyond the median one (see [`excess_of_few`]).
    pub of_few: f64,
    /// The earlier version's rate of failures, the mean of what relays tell.
    pub good: f64,
    /// A relay has its alarm set.
    pub alarm: bool,
    /// Slots of warm ready units of the new and of the old version.
    pub new_slots: u32,
    pub old_slots: u32,
    /// Requests still open at the old version.
    pub old_open: u32,
    /// What the stages before this one came to; none if this core machine has not seen them.
    pub before: Option<Before>,
    /// `canaryShare` and `canaryMargin` of the deployment.
    pub canary_share: f64,
    pub canary_margin: f64,
}

/// What the stages of a rollout came to that are over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Before {
    /// Evidence for a bad version, in nats: by the earlier version's rate as it was known, and by the lowest rate.
    pub nats: [f64; 2],
    /// Requests to the service, and those of them that were the new version's share.
    pub asked: f64,
    pub exposed: f64,
    /// The most requests a second.
    pub rate: f64,
    /// How long they lasted.
    pub ms: u64,
}

/// Log likelihood ratio of all outcomes above which a rollout waits for more.
const CLEAR_NATS: f64 = 2.0;
/// Outcomes in a stage without which it does not go on, unless what the next one could expose is little anyway.
const SOME: u32 = 30;
/// Outcomes of the last stage, which brings most, and how long it waits for them.
const LAST_SOME: u32 = 20;
const LAST_MS: u64 = 5000;
/// The lowest rate of failures that the mechanism takes a version to have.
const LOWEST: f64 = 0.01;
/// The earlier version's rate above which the versions cannot be told apart: a version counts as bad from twice that
/// rate on, and one that fails a fifth of what it is asked has to be seen.
const ILL: f64 = 0.1;
/// The part of `canaryMargin` that the core reckons with; the rest is for requests under way and news that is late.
const OF_MARGIN: f64 = 0.8;
/// From the beginning of a stage until its first failures have brought it back: a step, signs, votes, a round, news.
const BACK_S: f64 = 3.5;
/// Without any outcome told, a stage lasts so many steps before the service counts as hardly asked.
const UNTOLD_STEPS: f64 = 3.0;

/// The least that the last stage lasts.
const LAST_LEAST_MS: u64 = 1200;
/// Outcomes of each unit without which nothing is said of single ones.
const OF_EACH: u32 = 4;

/// What the core counts as the units' own and not the version's, as the relays do: a quarter of them may be ill.
pub fn excess_of_few(units: &BTreeMap<u16, Count>, good: f64) -> f64 {
    let trials: u32 = units.values().map(|count| count.trials).sum();
    if !Safeguard::UnhealthyEndpointsExcused.is_enabled()
        || units.len() < 3
        || trials < OF_EACH * units.len() as u32
    {
        return 0.0;
    }
    let few = (units.len() as f64 * ILL_SHARE).ceil() as usize;
    excess(
        units
            .values()
            .map(|count| nats(*count, good).max(0.0))
            .collect(),
        few,
    )
}

fn nats(count: Count, good: f64) -> f64 {
    let fine = count.trials.saturating_sub(count.failures);
    f64::from(count.failures) * log_ratio(good, true) + f64::from(fine) * log_ratio(good, false)
}

impl View {
    fn nats(&self, good: f64) -> f64 {
        nats(
            Count {
                trials: self.trials,
                failures: self.failures,
            },
            good,
        ) - self.of_few
    }

    /// The evidence of this stage on top of what those before it left; as in the paper's running sum, outcomes that
    /// speak for the version do not outweigh later ones.
    fn evidence(&self) -> [f64; 2] {
        let before = match self.before {
            Some(before) if Safeguard::EvidenceOfAllStages.is_enabled() => {
                before.nats.map(|nats| nats.max(0.0))
            }
            _ => [0.0; 2],
        };
        [
            before[0] + self.nats(self.good),
            before[1] + self.nats(LOWEST),
        ]
    }

    /// Whether what has been counted so far speaks for a bad version, though not yet enough to go back.
    fn is_doubtful(&self) -> bool {
        self.evidence()[0] > CLEAR_NATS
    }

    /// Whether the stages that are left no longer fit into the ramp: a good version has missed its term then, and a bad
    /// one that too few requests come to for a vote need not stay for ever.
    fn is_too_late(&self) -> bool {
        let Some(before) = self.before else {
            return false;
        };
        let steps =
            f64::from(LAST.saturating_sub(self.stage + 1)) * STEP_PART * self.ramp_ms as f64;
        let last = if self.stage < LAST { LAST_LEAST_MS } else { 0 };
        before.ms + self.stage_ms + steps as u64 + last > self.ramp_ms
    }

    /// Whether the earlier version fails so often itself that a bad one could pass for its like.
    fn is_earlier_ill(&self) -> bool {
        Safeguard::HealthyBaseline.is_enabled() && self.good > ILL
    }

    /// Whether a bad version could do little harm in the next stage: what it has got, what the next stage would give
    /// it until it is back, and the outcomes that takes stay within what the rule allows for as many requests.
    /// Outcomes that are few are judged by the lowest rate: a rate learned while units are ill excuses what it must not.
    /// And nothing may speak against the version: how little is at stake is reckoned by the requests that came so far, and
    /// three times as many may come a second later. One failure of a few outcomes is 1.8 nats.
    fn risks_little(&self, passed: f64) -> bool {
        let Some(before) = self.before else {
            return false;
        };
        let told = self.asked > 0 || passed >= UNTOLD_STEPS * STEP_PART;
        if !told || Safeguard::SmallSampleLowestRate.is_enabled() && self.evidence()[1] > 0.0 {
            return false;
        }
        let before = if Safeguard::ExposureOfAllStages.is_enabled() {
            before
        } else {
            Before::default()
        };
        let asked = before.asked + f64::from(self.asked);
        let got = before.exposed + f64::from(self.asked) * share(self.stage, self.canary_share);
        let soon = self.rate.max(before.rate) * BACK_S;
        let most = got + soon * share(self.stage + 1, self.canary_share) + f64::from(MIN_OUTCOMES);
        most <= self.canary_share * (asked + soon) + OF_MARGIN * self.canary_margin
    }

    /// What the stages up to this one came to, for the next.
    pub fn over(&self) -> Before {
        let before = self.before.unwrap_or_default();
        let [nats, lowest] = self.evidence();
        let asked = self.rate * self.stage_ms as f64 / 1000.0;
        Before {
            nats: [nats, lowest],
            asked: before.asked + asked,
            exposed: before.exposed + asked * share(self.stage, self.canary_share),
            rate: before.rate.max(self.rate),
            ms: before.ms + self.stage_ms,
        }
    }
}

/// What the rollout does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Stay,
    On(u8),
    Complete,
    /// Back to the earlier version: what the rollout was given is over, and it is still in doubt.
    Back,
}

pub fn conduct(view: View) -> Next {
    let passed = view.stage_ms as f64 / view.ramp_ms.max(1) as f64;
    // Nothing goes on over an alarm, nor to units that could not carry what the next stage brings.
    let share = share(view.stage + 1, view.canary_share);
    let bears =
        f64::from(view.new_slots) >= 0.6 * share * f64::from(view.old_slots.max(view.new_slots));
    if view.is_doubtful() && view.is_too_late() && Safeguard::RevertWhenInDoubt.is_enabled() {
        return Next::Back;
    }
    if view.alarm || view.is_doubtful() || view.is_earlier_ill() || !bears {
        return Next::Stay;
    }
    match view.stage {
        0 => {
            let waited =
                passed >= TRIAL_PART * 1.2 && (view.trials >= SOME || view.risks_little(passed));
            if passed >= TRIAL_PART && (view.trials >= ENOUGH || waited) && view.trials > 0 {
                Next::On(1)
            } else {
                Next::Stay
            }
        }
        LAST => {
            let ended =
                view.old_open == 0 && view.stage_ms >= LAST_LEAST_MS || view.stage_ms >= 2200;
            if ended && (view.trials >= LAST_SOME || view.stage_ms >= LAST_MS) {
                Next::Complete
            } else {
                Next::Stay
            }
        }
        stage => {
            if passed >= STEP_PART && (view.trials >= SOME || view.risks_little(passed)) {
                Next::On(stage + 1)
            } else {
                Next::Stay
            }
        }
    }
}
