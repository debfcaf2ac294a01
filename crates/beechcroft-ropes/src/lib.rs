//! The rollout in the system. [`Judge`] runs in each proxy relay: the design's CUSUM on its own trial outcomes,
//! one bit and one divergence to its peers, a vote back when the weighted bits reach M. [`conduct`] runs on the
//! core machines: it takes a rollout on from stage to stage while nothing speaks against it. No I/O.
//!
//! The mechanism is `beechcroft`'s own (`src/cusum.rs`); `docs/design/ropes.md` argues each departure.

pub mod conduct;

use beechcroft::cusum::{self, Cusum, LOG_GAMMA, MIN_OUTCOMES};
use beechcroft::histogram::{Histogram, Tally};
use std::collections::BTreeMap;
use std::time::Duration;

/// M: weighted bits at which a relay votes back, where as many relays see trial outcomes.
const ALARMS_M: f64 = 2.0;
/// Outcomes of the earlier build held before halving.
const KEEP: f64 = 600.0;
/// Outcomes of the earlier build on a route without which its own slowness is not known.
const BASELINE: u32 = 30;
/// Of the earlier build's answers lie above the mark from which an answer may be slow.
const SLOW_SHARE: f64 = 0.05;
/// Times that mark is well slower.
const WELL_SLOWER: f64 = 1.5;
/// Ticks over which the rate of trial outcomes is taken.
const RATE_PART: f64 = 0.05;

/// What a relay has counted on one route in a stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub trials: u32,
    pub failures: u32,
}

#[derive(Clone, Debug, Default)]
struct Past {
    failures: Tally,
    times: Histogram,
}

impl Past {
    fn good(&self) -> f64 {
        self.failures.rate().max(0.01)
    }

    /// From when on an answer is well slower than the earlier build's.
    fn slow_from(&self) -> Option<Duration> {
        let known = self.times.total() >= BASELINE;
        known.then(|| Histogram::edge(self.times.bin_at(SLOW_SHARE)).mul_f64(WELL_SLOWER))
    }
}

/// A peer's word: its alarm and divergence, and what it has counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Word {
    pub alarm: bool,
    pub divergence: f64,
    pub count: Count,
}

/// One relay's judgement of one service.
#[derive(Debug, Default)]
pub struct Judge {
    /// Of the earlier build, by route.
    past: BTreeMap<u32, Past>,
    trial: Option<Trial>,
}

#[derive(Debug, Default)]
struct Trial {
    begun: u64,
    stage: u8,
    /// By route, and of all under none.
    sums: BTreeMap<Option<u32>, Cusum>,
    count: Count,
    tick_outcomes: f64,
    rate: f64,
    divergence: f64,
    bit: bool,
    /// What all relays together have counted, as far as they tell: W of the whole fleet.
    fleet: Cusum,
    told: Count,
}

/// What a tick comes to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stand {
    pub bit: bool,
    pub divergence: f64,
    pub count: Count,
    /// The weighted bits, or the evidence of all together, ask for the build's return.
    pub back: bool,
}

impl Judge {
    /// A rollout stands at that stage; what was counted before it does not count for it.
    pub fn stage(&mut self, begun: u64, stage: u8) {
        match &mut self.trial {
            Some(trial) if trial.begun == begun => {
                if trial.stage != stage {
                    trial.stage = stage;
                    (trial.count, trial.told) = (Count::default(), Count::default());
                }
            }
            _ => self.trial = Some(Trial { begun, stage, ..Trial::default() }),
        }
    }

    pub fn ends(&mut self) {
        self.trial = None;
    }

    /// One outcome. A late answer of the earlier build counts as its failure too, so that the same word is
    /// judged by the same rate.
    pub fn outcome(&mut self, trial: bool, route: u32, failed: bool, spent: Duration) {
        let past = self.past.entry(route).or_default();
        let slow = !failed && past.slow_from().is_some_and(|from| spent > from);
        if !trial {
            past.failures.add(failed || slow, KEEP);
            if !failed {
                past.times.add(spent, KEEP as u32);
            }
            return;
        }
        let Some(trial) = &mut self.trial else { return };
        let ratio = cusum::log_ratio(past.good(), failed || slow);
        for sum in [None, Some(route)] {
            trial.sums.entry(sum).or_default().z += ratio;
        }
        trial.count.trials += 1;
        trial.count.failures += u32::from(failed || slow);
        trial.tick_outcomes += 1.0;
    }

    /// The good rate over all routes, as they were used.
    fn good(&self) -> f64 {
        let (failures, trials) = self
            .past
            .values()
            .fold((0.0, 0.0), |(f, t), past| (f + past.failures.failures, t + past.failures.trials));
        (failures / (trials + 20.0)).max(0.01)
    }

    /// The design's tick. `peers`: what the others' signs say, of the same rollout and stage.
    pub fn tick(&mut self, peers: &[Word]) -> Option<Stand> {
        let good = self.good();
        let trial = self.trial.as_mut()?;
        trial.sums.values_mut().for_each(Cusum::tick);
        trial.rate += (std::mem::take(&mut trial.tick_outcomes) - trial.rate) * RATE_PART;
        trial.divergence = cusum::divergence(good, trial.rate);
        let largest = peers.iter().map(|peer| peer.divergence).fold(trial.divergence.max(1e-9), f64::max);
        // Only relays that see trial outcomes can set a bit: with fewer than M of them, those must suffice.
        let seeing = peers.iter().filter(|peer| peer.count.trials > 0).count() + usize::from(trial.count.trials > 0);
        let alarms_m = ALARMS_M.min(seeing.max(1) as f64);
        let worst = trial.sums.values().map(|sum| sum.w).fold(0.0, f64::max);
        let threshold = cusum::threshold(trial.divergence / largest, alarms_m);
        trial.bit = trial.count.trials >= MIN_OUTCOMES && worst > threshold;
        let bits = peers.iter().map(|peer| (peer.alarm, peer.divergence)).chain([(trial.bit, trial.divergence)]);
        let fused = cusum::fuse(bits, largest);
        // Departure: evidence too thin for any relay alone is summed over what all have counted.
        let all = peers.iter().map(|peer| peer.count).chain([trial.count]);
        let all = all.fold(Count::default(), |sum, count| Count {
            trials: sum.trials + count.trials,
            failures: sum.failures + count.failures,
        });
        let failures = all.failures.saturating_sub(trial.told.failures);
        let trials = all.trials.saturating_sub(trial.told.trials).max(failures);
        if trials > 0 {
            trial.fleet.z = f64::from(failures) * cusum::log_ratio(good, true)
                + f64::from(trials - failures) * cusum::log_ratio(good, false);
            trial.fleet.tick();
            trial.told =
                Count { trials: all.trials.max(trial.told.trials), failures: all.failures.max(trial.told.failures) };
        }
        let together = all.trials >= MIN_OUTCOMES && trial.fleet.w > LOG_GAMMA;
        // A little is lost in weighing: M bits of nearly equal weight are M.
        let back = fused >= alarms_m * 0.9 || together;
        Some(Stand { bit: trial.bit, divergence: trial.divergence, count: trial.count, back })
    }
}
