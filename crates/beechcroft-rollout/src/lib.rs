//! The rollout in the system. [`Judge`] runs in each proxy relay: the design's CUSUM on its own trial outcomes,
//! one bit and one divergence to its peers, a vote back when the weighted bits reach M. [`conduct`] runs on the
//! core machines: it takes a rollout on from stage to stage while nothing speaks against it. No I/O.
//!
//! The mechanism is `beechcroft`'s own (`src/cusum.rs`); `docs/design/rollout.md` argues each departure.

pub mod conduct;

use beechcroft::cusum::{self, Cusum, LOG_GAMMA, MIN_OUTCOMES};
use beechcroft::histogram::{excess, Histogram, Tally};
use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, BTreeSet};
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
/// Times that, where the request had to wait at the unit.
const LOADED: f64 = 2.0;
/// Of the units on trial may be ill at once without the build being blamed.
const ILL_SHARE: f64 = 0.25;
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
        slow_from(&self.times)
    }
}

fn slow_from(times: &Histogram) -> Option<Duration> {
    let known = times.total() >= BASELINE;
    known.then(|| Histogram::edge(times.bin_at(SLOW_SHARE)).mul_f64(WELL_SLOWER))
}

/// What is counted of one unit of the version on trial.
pub type Unit = (u16, Count);

/// How a request at a unit ended.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The unit's short name, if it runs the version on trial.
    pub on_trial: Option<u16>,
    pub route: u32,
    /// An error, or no sound answer. How late it came is judged here.
    pub failed: bool,
    pub spent: Duration,
    /// The unit had a slot free: what it took is its own time and no wait.
    pub free: bool,
    /// No unit was offered the request before.
    pub first: bool,
    /// The unit said that it is slow from its start: how long it took says nothing of the build.
    pub cold: bool,
    /// It failed only in that an offer beside it was answered sooner.
    pub beaten: bool,
}

/// A peer's word: its alarm and divergence, and what it has counted, by unit.
#[derive(Clone, Debug, Default)]
pub struct Word {
    pub alarm: bool,
    pub divergence: f64,
    pub count: Count,
    pub units: Vec<Unit>,
    /// How long answers of the earlier build took, on all routes of the service together.
    pub times: Vec<u32>,
}

/// One relay's judgement of one service.
#[derive(Debug, Default)]
pub struct Judge {
    /// Of the earlier build, by route.
    past: BTreeMap<u32, Past>,
    /// Of the earlier build over all relays that tell, on all routes.
    past_of_all: Histogram,
    trial: Option<Trial>,
}

/// A sum, and each unit's part of it. What a few units bring beyond the median one is theirs, not the build's:
/// a build is the same on all of them, a crash is not.
#[derive(Debug, Default)]
struct Sum {
    all: Cusum,
    units: BTreeMap<u16, Cusum>,
}

impl Sum {
    fn add(&mut self, unit: u16, ratio: f64) {
        self.all.z += ratio;
        self.units.entry(unit).or_default().z += ratio;
    }

    fn tick(&mut self) {
        self.all.tick();
        self.units.values_mut().for_each(Cusum::tick);
    }

    fn w(&self) -> f64 {
        let few = match self.units.len() {
            0..3 => 0,
            units => (units as f64 * ILL_SHARE).ceil() as usize,
        };
        self.all.w
            - excess(
                self.units.values().map(|unit| unit.w.max(0.0)).collect(),
                few,
            )
    }
}

#[derive(Debug, Default)]
struct Trial {
    begun: u64,
    stage: u8,
    /// By route, and of all under none.
    sums: BTreeMap<Option<u32>, Sum>,
    count: Count,
    units: BTreeMap<u16, Count>,
    /// Units whose last outcome here was a failure: what follows on them tells nothing new.
    failing: BTreeSet<u16>,
    tick_outcomes: f64,
    rate: f64,
    divergence: f64,
    bit: bool,
    /// The same sum over what all relays together have counted, and how far it has been counted.
    fleet: Sum,
    told: BTreeMap<u16, Count>,
}

/// What a tick comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stand {
    pub bit: bool,
    pub divergence: f64,
    pub good: f64,
    pub count: Count,
    pub units: Vec<Unit>,
    pub times: Vec<u32>,
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
                    trial.count = Count::default();
                    (trial.units, trial.told) = (BTreeMap::new(), BTreeMap::new());
                }
            }
            _ => {
                self.trial = Some(Trial {
                    begun,
                    stage,
                    ..Trial::default()
                })
            }
        }
    }

    pub fn ends(&mut self) {
        self.trial = None;
    }

    /// What nearly all of the earlier build's answers on a route take, once enough are known.
    pub fn usual(&self, route: u32) -> Option<Duration> {
        let past = self
            .past
            .get(&route)
            .filter(|past| past.times.total() >= BASELINE)?;
        Some(Histogram::edge(past.times.bin_at(SLOW_SHARE)))
    }

    /// One outcome. A late answer of the earlier build counts as its failure too, so that the same word is
    /// judged by the same rate. Where a request had to wait for a slot, lateness is the load's up to twice the
    /// mark: once all goes to the new units, there is nothing beside them that bears the same.
    ///
    /// Of a request the first offer counts alone, of either build: an error that the request brings itself follows it
    /// from unit to unit, and an offer beside a slow one is dropped as soon as that one is answered. The sum takes
    /// outcomes to be independent.
    pub fn outcome(&mut self, outcome: Outcome) {
        let Outcome {
            on_trial,
            route,
            failed,
            spent,
            free,
            first,
            cold,
            beaten,
        } = outcome;
        let cold = cold && Safeguard::SlowStartExcused.is_enabled();
        if Safeguard::FirstAttemptsOnly.is_enabled() && !first || cold && beaten {
            return;
        }
        let past = self.past.entry(route).or_default();
        let times = if free { 1.0 } else { LOADED };
        // Where this relay knows the route too little, all relays know the service: routes differ, so twice the mark.
        let of_all = || {
            slow_from(&self.past_of_all)
                .filter(|_| Safeguard::SharedSlowThreshold.is_enabled())
                .map(|from| from.mul_f64(LOADED))
        };
        let slow_from = past
            .slow_from()
            .map(|from| from.mul_f64(times))
            .or_else(of_all);
        let failed = failed || !cold && slow_from.is_some_and(|from| spent > from);
        let Some(unit) = on_trial else {
            past.failures.add(failed, KEEP);
            if !cold {
                past.times.add(spent, KEEP as u32);
            }
            return;
        };
        let Some(trial) = &mut self.trial else { return };
        // A streak on one unit counts once: it is the unit that fails, until it answers again.
        let streak = failed && !trial.failing.insert(unit);
        if !failed {
            trial.failing.remove(&unit);
        }
        if streak {
            return;
        }
        let ratio = cusum::log_ratio(past.good(), failed);
        for sum in [None, Some(route)] {
            trial.sums.entry(sum).or_default().add(unit, ratio);
        }
        for count in [&mut trial.count, trial.units.entry(unit).or_default()] {
            count.trials += 1;
            count.failures += u32::from(failed);
        }
        trial.tick_outcomes += 1.0;
    }

    /// The good rate over all routes, as they were used.
    fn good(&self) -> f64 {
        let (failures, trials) = self.past.values().fold((0.0, 0.0), |(f, t), past| {
            (f + past.failures.failures, t + past.failures.trials)
        });
        (failures / (trials + 20.0)).max(0.01)
    }

    /// The design's tick. `peers`: what the others' signs say, of the same rollout and stage.
    pub fn tick(&mut self, peers: &[Word]) -> Option<Stand> {
        let good = self.good();
        let mut own = Histogram::default();
        self.past
            .values()
            .for_each(|past| own.join(past.times.counts()));
        let trial = self.trial.as_mut()?;
        let times = own.counts().to_vec();
        peers.iter().for_each(|peer| own.join(&peer.times));
        self.past_of_all = own;
        trial.sums.values_mut().for_each(Sum::tick);
        trial.rate += (std::mem::take(&mut trial.tick_outcomes) - trial.rate) * RATE_PART;
        trial.divergence = cusum::divergence(good, trial.rate);
        let largest = peers
            .iter()
            .map(|peer| peer.divergence)
            .fold(trial.divergence.max(1e-9), f64::max);
        // Only relays that see trial outcomes can set a bit: with fewer than M of them, those must suffice.
        let seeing = peers.iter().filter(|peer| peer.count.trials > 0).count()
            + usize::from(trial.count.trials > 0);
        let alarms_m = ALARMS_M.min(seeing.max(1) as f64);
        let worst = trial.sums.values().map(Sum::w).fold(0.0, f64::max);
        let threshold = cusum::threshold(trial.divergence / largest, alarms_m);
        trial.bit = trial.count.trials >= MIN_OUTCOMES && worst > threshold;
        let bits = peers
            .iter()
            .map(|peer| (peer.alarm, peer.divergence))
            .chain([(trial.bit, trial.divergence)]);
        let fused = cusum::fuse(bits, largest);
        let together = trial.together(good, peers);
        // A little is lost in weighing: M bits of nearly equal weight are M.
        let back = fused >= alarms_m * 0.9 || together;
        let units = trial
            .units
            .iter()
            .map(|(&unit, &count)| (unit, count))
            .collect();
        Some(Stand {
            bit: trial.bit,
            divergence: trial.divergence,
            good,
            count: trial.count,
            units,
            times,
            back,
        })
    }
}

impl Trial {
    /// Departure: evidence too thin for any relay alone is summed over what all have counted, unit by unit.
    fn together(&mut self, good: f64, peers: &[Word]) -> bool {
        let mut all: BTreeMap<u16, Count> = self.units.clone();
        for &(unit, count) in peers.iter().flat_map(|peer| &peer.units) {
            let sum = all.entry(unit).or_default();
            (sum.trials, sum.failures) = (sum.trials + count.trials, sum.failures + count.failures);
        }
        for (&unit, &count) in &all {
            let told = self.told.entry(unit).or_default();
            let failures = count.failures.saturating_sub(told.failures);
            let fine = count
                .trials
                .saturating_sub(told.trials)
                .saturating_sub(failures);
            let ratio = f64::from(failures) * cusum::log_ratio(good, true)
                + f64::from(fine) * cusum::log_ratio(good, false);
            self.fleet.add(unit, ratio);
            // A peer that lapsed is not counted again when it is heard again.
            *told = Count {
                trials: count.trials.max(told.trials),
                failures: count.failures.max(told.failures),
            };
        }
        self.fleet.tick();
        let trials: u32 = all.values().map(|count| count.trials).sum();
        trials >= MIN_OUTCOMES && self.fleet.w() > LOG_GAMMA
    }
}

/// A unit's short name in signs.
pub fn short(id: &str) -> u16 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |sum: u64, b| {
        (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    }) as u16
}
