//! Verdicts: whether a unit is fit, drawn from what relays of all regions saw of it, by what its service says unfit
//! means. The same evidence gives the same verdict on every relay: nothing else goes in but the service's rules.
//! No I/O, no clock: time is counted in the periods (seconds) that relays number.

pub mod lease;

use beechcroft::cusum::{Cusum, NATS_FLOOR};
use beechcroft_config::config::Unfit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Periods of each relay that are kept.
const KEPT: usize = 48;
/// Periods over which a region that reaches a unit no more has lost it.
const LOST: usize = 2;
/// Without a later word for this long by the latest one heard, what a relay saw is no evidence any more.
const STALE: u32 = 6;
/// Outcomes in a region below which it sets no bit.
const LEAST: u32 = 8;
/// Of the rates that a rule names, what a good unit may show.
const GOOD_PART: f64 = 0.2;
/// Periods that a unit stays set aside after it was last bad; doubled with each time it was, up to this many times.
const HOLD: u32 = 3;
const HOLD_DOUBLINGS: u32 = 4;
/// Periods after which one time is forgotten.
const FORGET: usize = 20;

/// What one relay saw of one unit in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Whole answers, late ones among them.
    pub answers: u16,
    /// Later than the rule's multiple of the aim.
    pub late: u16,
    pub errors: u16,
    /// Bytes that are no answer, or that no unit sealed.
    pub wrong: u16,
    /// A connection did not come up, or nothing came at all.
    pub unreachable: u16,
}

impl Count {
    pub fn is_bad(&self) -> bool {
        self.late + self.errors + self.wrong + self.unreachable > 0
    }

    fn bad(&self) -> u32 {
        [self.late, self.errors, self.wrong, self.unreachable]
            .iter()
            .map(|&count| u32::from(count))
            .sum()
    }

    fn reached(&self) -> u32 {
        u32::from(self.answers) + u32::from(self.errors) + u32::from(self.wrong)
    }
}

/// What one relay saw of a service's units in one period, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub relay: String,
    pub region: String,
    pub incarnation: u64,
    pub number: u32,
    pub service: String,
    /// By the unit's short name.
    pub units: Vec<(u32, Count)>,
}

impl Word {
    /// A relay that reaches hardly any unit is cut off itself: its word is about its own link.
    pub fn is_cut_off(&self) -> bool {
        let lost = self
            .units
            .iter()
            .filter(|(_, count)| count.unreachable > 0 && count.reached() == 0)
            .count();
        lost > 2 && lost * 2 > self.units.len()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    Fit,
    /// Some regions cannot reach it, others can: those go round it, nobody else judges.
    LostPath,
    Unfit,
}

/// A relay's periods on one unit.
#[derive(Clone, Debug, Default)]
struct Seen {
    region: String,
    incarnation: u64,
    periods: BTreeMap<u32, Count>,
}

/// The evidence on one service's units.
#[derive(Clone, Debug, Default)]
pub struct Bench {
    units: BTreeMap<u32, BTreeMap<String, Seen>>,
    /// The latest number heard of each relay, with its incarnation: a word is counted once.
    heard: BTreeMap<String, (u64, u32)>,
    /// The period by this relay's own clock: time goes on also while nobody has anything to tell.
    clock: u32,
}

/// Bad outcomes that a relay must lately have seen of a unit itself before it speaks of it unasked: any unit fails now
/// and then, and at ninety relays a word on each such failure is all that goes between regions.
const WORTH: f32 = 2.0;
/// Part of them that is still counted a period later.
const FADES: f32 = 0.9;
/// Units in one word, the worst first: where more are bad, it is not they.
const TOLD: usize = 8;

/// What a relay has seen itself, and what of that it tells.
#[derive(Clone, Debug, Default)]
pub struct Own(BTreeMap<u32, f32>);

impl Own {
    /// The counts of one period that go into a word. `asked`: units that others said something bad of.
    pub fn tells(&mut self, counts: Vec<(u32, Count)>, asked: &BTreeSet<u32>) -> Vec<(u32, Count)> {
        self.0.values_mut().for_each(|bad| *bad *= FADES);
        for (unit, count) in counts.iter().filter(|(_, count)| count.is_bad()) {
            *self.0.entry(*unit).or_default() += count.bad() as f32;
        }
        self.0.retain(|_, bad| *bad > 0.1);
        let held = |unit: &u32| self.0.get(unit).copied().unwrap_or(0.0);
        let mut told: Vec<(u32, Count)> = counts
            .into_iter()
            .filter(|(unit, count)| asked.contains(unit) || count.is_bad() && held(unit) >= WORTH)
            .collect();
        told.sort_by(|a, b| held(&b.0).total_cmp(&held(&a.0)).then(a.0.cmp(&b.0)));
        told.truncate(TOLD);
        told
    }
}

/// A unit's name in words.
pub fn short(id: &str) -> u32 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |sum: u64, b| {
        (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    }) as u32
}

impl Bench {
    /// Takes a word, in any order, any number of times. Numbers are seconds of a common clock, roughly; a relay
    /// that wakes with old ones is not heard.
    pub fn hear(&mut self, word: &Word) {
        let latest = self
            .heard
            .values()
            .map(|&(_, number)| number)
            .max()
            .unwrap_or(0);
        if word.is_cut_off() || word.number + STALE < latest {
            return;
        }
        let held = self
            .heard
            .entry(word.relay.clone())
            .or_insert((word.incarnation, word.number));
        if word.incarnation < held.0 {
            return;
        }
        *held = (*held).max((word.incarnation, word.number));
        for &(unit, count) in &word.units {
            let seen = self
                .units
                .entry(unit)
                .or_default()
                .entry(word.relay.clone())
                .or_default();
            if word.incarnation > seen.incarnation {
                *seen = Seen {
                    region: word.region.clone(),
                    incarnation: word.incarnation,
                    periods: BTreeMap::new(),
                };
            }
            seen.periods.insert(word.number, count);
            while seen.periods.len() > KEPT {
                seen.periods.pop_first();
            }
        }
    }

    /// Units that some relay has lately said something bad of: whoever sends to them tells what it sees.
    pub fn asked(&self) -> BTreeSet<u32> {
        let now = self.now();
        let lately = |seen: &Seen| {
            seen.periods
                .range(now.saturating_sub(STALE)..)
                .any(|(_, count)| count.is_bad())
        };
        self.units
            .iter()
            .filter(|(_, relays)| relays.values().any(lately))
            .map(|(&unit, _)| unit)
            .collect()
    }

    /// The latest period that any relay has told of.
    fn now(&self) -> u32 {
        self.heard
            .values()
            .map(|&(_, number)| number)
            .max()
            .unwrap_or(0)
            .max(self.clock)
    }

    /// Another period has begun.
    pub fn pass(&mut self, clock: u32) {
        self.clock = self.clock.max(clock);
    }

    /// What relays have told of a unit, a line each, the latest periods first.
    pub fn evidence(&self, unit: u32) -> Vec<String> {
        let relays = self.units.get(&unit).into_iter().flatten();
        relays
            .map(|(relay, seen)| {
                let last = seen.periods.iter().rev().take(5).map(|(period, c)| {
                    let Count { answers, late, errors, wrong, unreachable } = c;
                    format!("{period}: {answers} answers, {late} late, {errors} errors, {wrong} wrong, {unreachable} unreachable")
                });
                format!("{} {relay}: {}", seen.region, last.collect::<Vec<_>>().join("; "))
            })
            .collect()
    }

    /// A unit is gone for good.
    pub fn forget(&mut self, known: impl Fn(u32) -> bool) {
        self.units.retain(|&unit, _| known(unit));
    }

    /// The verdicts on all units that there is evidence on. `units`: how many the service has. No more than the
    /// rule's share is ever set aside: past it nobody is, as it is not they. `regions`: how many the relays are in.
    pub fn verdicts(&self, rules: &Unfit, units: usize, regions: usize) -> BTreeMap<u32, Verdict> {
        let now = self.now();
        let mut all: BTreeMap<u32, Verdict> = self
            .units
            .iter()
            .map(|(&unit, relays)| (unit, verdict(relays, rules, regions, now)))
            .collect();
        let unfit = all
            .values()
            .filter(|&&verdict| verdict == Verdict::Unfit)
            .count();
        if unfit as f64 > rules.most_aside * units as f64 {
            all.values_mut()
                .for_each(|verdict| *verdict = (*verdict).min(Verdict::LostPath));
        }
        all
    }

    /// The verdict on one unit, before it is asked how many of its service are unfit.
    pub fn verdict(&self, unit: u32, rules: &Unfit, regions: usize) -> Verdict {
        self.units.get(&unit).map_or(Verdict::Fit, |relays| {
            verdict(relays, rules, regions, self.now())
        })
    }

    /// Whether a region is among those that cannot reach a unit.
    pub fn is_lost_from(&self, unit: u32, region: &str) -> bool {
        let now = self.now();
        let Some(relays) = self.units.get(&unit) else {
            return false;
        };
        let here = relays.values().filter(|seen| seen.region == region);
        let counts = here.flat_map(|seen| {
            seen.periods
                .range(now.saturating_sub(LOST as u32 - 1)..)
                .map(|(_, c)| c)
        });
        let (lost, reached) = counts.fold((0, 0), |(l, r), c| {
            (l + u32::from(c.unreachable), r + c.reached())
        });
        lost >= 2 && reached == 0
    }
}

/// What a region's relays counted of a unit, period by period.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    bad: u32,
    fine: u32,
    reached: u32,
    unreachable: u32,
}

impl Sum {
    fn add(&mut self, count: &Count, rules: &Unfit) {
        let late = if rules.late_times > 0.0 {
            u32::from(count.late)
        } else {
            0
        };
        self.bad += u32::from(count.errors) + u32::from(count.wrong) * 2 + late;
        self.fine += u32::from(count.answers).saturating_sub(late);
        self.reached += count.reached();
        self.unreachable += u32::from(count.unreachable);
    }
}

/// Sums of the last periods up to one.
fn lately(sums: &[Sum], at: usize, periods: usize) -> Sum {
    let from = (at + 1).saturating_sub(periods);
    sums[from..=at].iter().fold(Sum::default(), |all, sum| Sum {
        bad: all.bad + sum.bad,
        fine: all.fine + sum.fine,
        reached: all.reached + sum.reached,
        unreachable: all.unreachable + sum.unreachable,
    })
}

fn by_region<'a>(
    relays: &'a BTreeMap<String, Seen>,
    rules: &Unfit,
    first: u32,
    now: u32,
) -> BTreeMap<&'a str, Vec<Sum>> {
    let length = (now - first) as usize + 1;
    let mut regions: BTreeMap<&str, Vec<Sum>> = BTreeMap::new();
    for seen in relays.values() {
        let sums = regions
            .entry(&seen.region)
            .or_insert_with(|| vec![Sum::default(); length]);
        for (&period, count) in seen.periods.range(first..=now) {
            sums[(period - first) as usize].add(count, rules);
        }
    }
    regions
}

/// `regions`: how many there are. The latest period at which the unit was unfit counts, and how often it became so.
fn verdict(relays: &BTreeMap<String, Seen>, rules: &Unfit, regions: usize, now: u32) -> Verdict {
    let first = relays
        .values()
        .filter_map(|seen| seen.periods.keys().next())
        .min()
        .copied()
        .unwrap_or(now);
    let first = first.min(now).max(now.saturating_sub(KEPT as u32));
    let sums = by_region(relays, rules, first, now);
    let needed = rules.regions.min(regions).max(1);
    let share = rules.error_share.clamp(0.02, 0.9);
    let good = (share * GOOD_PART).max(0.005);
    let (bad, fine) = ((share / good).ln(), ((1.0 - share) / (1.0 - good)).ln());
    let mut cusums = vec![Cusum::default(); sums.len()];
    let (mut history, mut last, mut before, mut lost_path) = (Vec::new(), None, false, false);
    for at in 0..=(now - first) as usize {
        // One bit a region, weighted by what its relays have seen lately.
        let (mut bits, mut weight, mut all) = (0, 0.0, 0.0);
        let (mut lost, mut sighted) = (0, 0);
        for (sums, cusum) in sums.values().zip(&mut cusums) {
            cusum.z = f64::from(sums[at].bad) * bad + f64::from(sums[at].fine) * fine;
            cusum.tick();
            cusum.w = cusum.w.min(4.0 * NATS_FLOOR); // what is over is forgotten in a few good periods
            let seen = lately(sums, at, STALE as usize);
            let now = lately(sums, at, LOST);
            all += f64::from(seen.reached);
            if cusum.w > NATS_FLOOR && seen.reached >= LEAST {
                (bits, weight) = (bits + 1, weight + f64::from(seen.reached));
            }
            lost += usize::from(now.unreachable >= 2 && now.reached == 0);
            sighted += usize::from(now.reached > 0);
        }
        let ill = bits >= needed && weight * 2.0 >= all;
        let gone = lost >= needed && sighted == 0;
        lost_path = lost > 0 && !gone;
        if ill || gone {
            if !before {
                history.push(at);
            }
            last = Some(at);
        }
        before = ill || gone;
    }
    // Each time counts, the older the less: after a while one is forgotten.
    let end = (now - first) as usize;
    let forgotten = |at: usize| (end - at) / FORGET;
    let times = history
        .iter()
        .enumerate()
        .filter(|&(nth, &at)| history.len() - nth > forgotten(at))
        .count() as u32;
    let hold = (HOLD << times.saturating_sub(1).min(HOLD_DOUBLINGS)) as usize;
    match last {
        Some(at) if end < at + hold => Verdict::Unfit,
        _ if lost_path => Verdict::LostPath,
        _ => Verdict::Fit,
    }
}
