//! The rollout in the system. [`Judge`] runs in each proxy relay: the design's CUSUM on its own trial outcomes,
//! one bit and one divergence to its peers, a vote back when the weighted bits reach M. [`conduct`] runs on the
//! core machines: it takes a rollout on from stage to stage while nothing speaks against it. No I/O.
//!
//! The mechanism is `beechcroft`'s own (`src/cusum.rs`); `docs/design/ropes.md` argues each departure.

pub mod conduct;

use beechcroft::cusum::{self, Cusum, LOG_GAMMA, MIN_OUTCOMES};
use beechcroft::histogram::{excess, Histogram, Tally};
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
        let known = self.times.total() >= BASELINE;
        known.then(|| Histogram::edge(self.times.bin_at(SLOW_SHARE)).mul_f64(WELL_SLOWER))
    }
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
}

/// A peer's word: its alarm and divergence, and what it has counted, by unit.
#[derive(Clone, Debug, Default)]
pub struct Word {
    pub alarm: bool,
    pub divergence: f64,
    pub count: Count,
    pub units: Vec<Unit>,
}

/// One relay's judgement of one service.
#[derive(Debug, Default)]
pub struct Judge {
    /// Of the earlier build, by route.
    past: BTreeMap<u32, Past>,
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
        self.all.w - excess(self.units.values().map(|unit| unit.w.max(0.0)).collect(), few)
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
            _ => self.trial = Some(Trial { begun, stage, ..Trial::default() }),
        }
    }

    pub fn ends(&mut self) {
        self.trial = None;
    }

    /// What nearly all of the earlier build's answers on a route take, once enough are known.
    pub fn usual(&self, route: u32) -> Option<Duration> {
        let past = self.past.get(&route).filter(|past| past.times.total() >= BASELINE)?;
        Some(Histogram::edge(past.times.bin_at(SLOW_SHARE)))
    }

    /// One outcome. A late answer of the earlier build counts as its failure too, so that the same word is
    /// judged by the same rate. Where a request had to wait for a slot, lateness is the load's up to twice the
    /// mark: once all goes to the new units, there is nothing beside them that bears the same.
    pub fn outcome(&mut self, outcome: Outcome) {
        let Outcome { on_trial, route, failed, spent, free } = outcome;
        let past = self.past.entry(route).or_default();
        let times = if free { 1.0 } else { LOADED };
        let failed = failed || past.slow_from().is_some_and(|from| spent > from.mul_f64(times));
        let Some(unit) = on_trial else {
            past.failures.add(failed, KEEP);
            past.times.add(spent, KEEP as u32);
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
        trial.sums.values_mut().for_each(Sum::tick);
        trial.rate += (std::mem::take(&mut trial.tick_outcomes) - trial.rate) * RATE_PART;
        trial.divergence = cusum::divergence(good, trial.rate);
        let largest = peers.iter().map(|peer| peer.divergence).fold(trial.divergence.max(1e-9), f64::max);
        // Only relays that see trial outcomes can set a bit: with fewer than M of them, those must suffice.
        let seeing =
            peers.iter().filter(|peer| peer.count.trials > 0).count() + usize::from(trial.count.trials > 0);
        let alarms_m = ALARMS_M.min(seeing.max(1) as f64);
        let worst = trial.sums.values().map(Sum::w).fold(0.0, f64::max);
        let threshold = cusum::threshold(trial.divergence / largest, alarms_m);
        trial.bit = trial.count.trials >= MIN_OUTCOMES && worst > threshold;
        let bits =
            peers.iter().map(|peer| (peer.alarm, peer.divergence)).chain([(trial.bit, trial.divergence)]);
        let fused = cusum::fuse(bits, largest);
        let together = trial.together(good, peers);
        // A little is lost in weighing: M bits of nearly equal weight are M.
        let back = fused >= alarms_m * 0.9 || together;
        let units = trial.units.iter().map(|(&unit, &count)| (unit, count)).collect();
        Some(Stand { bit: trial.bit, divergence: trial.divergence, good, count: trial.count, units, back })
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
            let fine = count.trials.saturating_sub(told.trials).saturating_sub(failures);
            let ratio = f64::from(failures) * cusum::log_ratio(good, true)
                + f64::from(fine) * cusum::log_ratio(good, false);
            self.fleet.add(unit, ratio);
            // A peer that lapsed is not counted again when it is heard again.
            *told =
                Count { trials: count.trials.max(told.trials), failures: count.failures.max(told.failures) };
        }
        self.fleet.tick();
        let trials: u32 = all.values().map(|count| count.trials).sum();
        trials >= MIN_OUTCOMES && self.fleet.w() > LOG_GAMMA
    }
}

/// A unit's short name in signs.
pub fn short(id: &str) -> u16 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |sum: u64, b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
        as u16
}

#[cfg(test)]
mod tests {
    use super::*;

    const UNITS: u16 = 16;

    fn ended(on_trial: Option<u16>, failed: bool, ms: u64) -> Outcome {
        Outcome { on_trial, route: 0, failed, spent: Duration::from_millis(ms), free: true }
    }

    /// A fleet of judges that tell each other every tenth tick; how many ticks until one votes back.
    struct Fleet {
        judges: Vec<Judge>,
        told: Vec<Word>,
        drawn: u64,
    }

    impl Fleet {
        fn new(relays: usize) -> Fleet {
            let mut fleet = Fleet { judges: Vec::new(), told: vec![Word::default(); relays], drawn: 7 };
            for _ in 0..relays {
                let mut judge = Judge::default();
                (0..200).for_each(|n| judge.outcome(ended(None, n % 100 == 0, 60 + n % 40)));
                judge.stage(1, 0);
                fleet.judges.push(judge);
            }
            fleet
        }

        fn draw(&mut self) -> f64 {
            self.drawn =
                self.drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (self.drawn >> 40) as f64 / (1u64 << 24) as f64
        }

        /// `each`: trial outcomes a relay and tick. `fails`: of a unit, its rate of failures.
        fn ticks_to_back(&mut self, most: u32, each: f64, fails: impl Fn(u16) -> f64) -> Option<u32> {
            for tick in 0..most {
                for at in 0..self.judges.len() {
                    if self.draw() < each {
                        let unit = (self.draw() * f64::from(UNITS)) as u16;
                        let failed = self.draw() < fails(unit);
                        self.judges[at].outcome(ended(Some(unit), failed, 70));
                    }
                    let peers: Vec<Word> = (0..self.told.len())
                        .filter(|&peer| peer != at)
                        .map(|peer| self.told[peer].clone())
                        .collect();
                    let stand = self.judges[at].tick(&peers).unwrap();
                    if stand.back {
                        return Some(tick);
                    }
                    if tick % 10 == at as u32 % 10 {
                        let Stand { bit, divergence, count, units, .. } = stand;
                        self.told[at] = Word { alarm: bit, divergence, count, units };
                    }
                }
            }
            None
        }
    }

    #[test]
    fn a_bad_build_is_voted_back_by_many_relays_and_by_few() {
        for (relays, each) in [(9, 0.5), (90, 0.05), (1, 0.8), (8, 0.06)] {
            let ticks = Fleet::new(relays).ticks_to_back(300, each, |_| 0.45);
            assert!(ticks.is_some_and(|ticks| ticks < 150), "{relays} relays: {ticks:?}");
        }
    }

    #[test]
    fn a_good_build_is_left_alone_for_half_a_minute_whatever_the_number_of_relays() {
        for relays in [1, 9, 90] {
            assert_eq!(Fleet::new(relays).ticks_to_back(300, 0.5, |_| 0.01), None, "{relays} relays");
        }
    }

    #[test]
    fn a_few_units_that_crash_do_not_take_the_build_with_them() {
        for relays in [1, 9, 90] {
            let back = Fleet::new(relays).ticks_to_back(300, 0.5, |unit| if unit < 4 { 1.0 } else { 0.01 });
            assert_eq!(back, None, "{relays} relays");
        }
    }

    #[test]
    fn answers_well_slower_than_the_earlier_builds_are_failures() {
        let mut judge = Judge::default();
        (0..200).for_each(|n| judge.outcome(ended(None, false, 60 + n % 40)));
        judge.stage(1, 0);
        let mut back = false;
        for n in 0..200u64 {
            let spent = if n % 2 == 0 { 600 } else { 70 };
            judge.outcome(ended(Some((n % 16) as u16), false, spent));
            back |= judge.tick(&[]).unwrap().back;
        }
        assert!(back);
    }

    #[test]
    fn a_wait_for_a_slot_is_the_loads_and_not_the_builds() {
        let mut judge = Judge::default();
        (0..200).for_each(|n| judge.outcome(ended(None, false, 60 + n % 40)));
        judge.stage(1, 3);
        for n in 0..400u64 {
            let waited = Outcome {
                free: false,
                ..ended(Some((n % 16) as u16), false, if n % 6 == 0 { 220 } else { 90 })
            };
            judge.outcome(waited);
            assert!(!judge.tick(&[]).unwrap().back, "after {n}");
        }
    }
}
