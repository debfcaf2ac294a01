//! Subsets of units as a fleet of relays takes them, and what evens their load out.

use beechcroft_fleet::load::{LoadEstimate, TypicalLoad};
use beechcroft_fleet::subset::{rank_units, subset_size, TaskRate};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const KEPT: Duration = Duration::from_millis(7500);

fn tags(count: u32, seed: u64) -> Vec<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    (0..count).map(|_| rng.random::<u32>() >> 8).collect()
}

#[test]
fn every_unit_is_kept_to_by_a_like_part_of_the_fleet() {
    for (relays, units, keeps) in [(100, 60, 8), (300, 150, 8), (300, 150, 20)] {
        let tags = tags(units, 5);
        let mut kept = vec![0u32; units as usize];
        for me in 0..relays {
            rank_units(me, &tags)
                .into_iter()
                .take(keeps)
                .for_each(|at| kept[at] += 1);
        }
        let mean = f64::from(relays) * keeps as f64 / f64::from(units);
        let (least, most) = (kept.iter().min().unwrap(), kept.iter().max().unwrap());
        // Four times the deviation of a fair draw.
        let off = 4.0 * mean.sqrt();
        assert!(
            f64::from(*least) > mean - off && f64::from(*most) < mean + off,
            "{mean}: {least} to {most}"
        );
    }
}

#[test]
fn a_relay_keeps_to_a_unit_that_it_meets_before_the_connection_is_dropped() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for per_s in [4.0, 6.0, 20.0, 60.0] {
        let width = subset_size(per_s, KEPT);
        let mut last = vec![f64::NEG_INFINITY; width];
        let (mut now, mut opened) = (0.0, 0);
        for _ in 0..20_000 {
            now -= rng.random::<f64>().max(1e-9).ln() / per_s;
            let at = rng.random_range(0..width);
            opened += u32::from(now > last[at] + KEPT.as_secs_f64());
            last[at] = now;
        }
        assert!(
            opened < 1000,
            "{per_s} a second to {width} units: {opened} of 20000 opened a connection"
        );
    }
}

/// The load of the units after a while: relays of uneven traffic, units that all do the same work a tick, reports that are
/// half a second late. The mean over time of what the fullest tenth hold.
fn fullest(heed: bool, seed: u64) -> f64 {
    const RELAYS: usize = 273;
    const UNITS: usize = 137;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let tags = tags(UNITS as u32, seed);
    let rates: Vec<f64> = (0..RELAYS)
        .map(|_| 2.0 + 8.0 * rng.random::<f64>().powi(2))
        .collect();
    let sets: Vec<Vec<usize>> = (0..RELAYS)
        .map(|me| {
            rank_units(me as u32, &tags)
                .into_iter()
                .take(subset_size(rates[me], KEPT))
                .collect()
        })
        .collect();
    // A unit ends two thirds of what the fleet sends at most, spread evenly, and a half more.
    let done = rates.iter().sum::<f64>() / UNITS as f64 * 0.1 * 1.5;
    let mut held = vec![0.0f64; UNITS];
    let mut late = vec![held.clone(); 5];
    let mut beliefs = vec![vec![LoadEstimate::default(); UNITS]; RELAYS];
    let mut usual = vec![TypicalLoad::default(); RELAYS];
    let mut sum = 0.0;
    for tick in 0..600u32 {
        let now = Duration::from_millis(100) * tick;
        for me in 0..RELAYS {
            let sends = rates[me] * 0.1;
            for _ in 0..sends as usize + usize::from(rng.random::<f64>() < sends.fract()) {
                let [one, two] =
                    [0; 2].map(|_: usize| sets[me][rng.random_range(0..sets[me].len())]);
                let believed = |at: usize| beliefs[me][at].at(now, usual[me].value());
                let at = if heed && believed(two) < believed(one) {
                    two
                } else {
                    one
                };
                held[at] += 1.0;
                let told = late[tick as usize % 5][at];
                beliefs[me][at].record(told, now, usual[me].value());
                usual[me].record(told);
            }
        }
        held.iter_mut()
            .for_each(|held| *held = (*held - done).max(0.0));
        late[tick as usize % 5] = held.clone();
        let mut sorted = held.clone();
        sorted.sort_by(f64::total_cmp);
        sum += sorted[UNITS * 9 / 10..].iter().sum::<f64>() / (UNITS - UNITS * 9 / 10) as f64;
    }
    sum / 600.0
}

#[test]
fn what_units_tell_evens_out_sets_that_are_uneven() {
    for seed in [1, 2, 3] {
        let (blind, heeding) = (fullest(false, seed), fullest(true, seed));
        assert!(
            heeding < blind / 3.0,
            "seed {seed}: the fullest tenth hold {heeding:.1}, else {blind:.1}"
        );
    }
}

#[test]
fn a_word_fades_and_a_rate_is_known_from_the_start_on() {
    let mut held = LoadEstimate::default();
    let at = Duration::from_secs;
    held.record(20.0, at(10), 2.0);
    assert_eq!(held.at(at(10), 2.0), 20.0);
    assert!(held.at(at(15), 2.0) < 9.0 && held.at(at(40), 2.0) < 2.1);
    assert_eq!(LoadEstimate::default().at(at(1), 3.0), 3.0); // nothing told: as the others
    let mut rate = TaskRate::default();
    (0..20).for_each(|_| rate.add(1.0, Duration::from_millis(100), at(10)));
    assert!((rate.per_s() - 10.0).abs() < 1e-9);
    (0..300).for_each(|_| rate.add(0.0, Duration::from_millis(100), at(10)));
    assert!(rate.per_s() < 1.0);
}

proptest! {
    /// A unit that goes leaves all others of a set where they are; one more takes its place.
    #[test]
    fn sets_move_by_one(me in 0u32..600, units in 2u32..160, gone in 0usize..160, keeps in 1usize..40) {
        let tags = tags(units, 9);
        let gone = gone % tags.len();
        let before: Vec<u32> = rank_units(me, &tags).into_iter().take(keeps).map(|at| tags[at]).collect();
        let mut left = tags.clone();
        left.remove(gone);
        let after: Vec<u32> = rank_units(me, &left).into_iter().take(keeps).map(|at| left[at]).collect();
        let kept: Vec<u32> = before.iter().copied().filter(|tag| *tag != tags[gone]).collect();
        prop_assert!(after.starts_with(&kept));
    }

    /// More tasks never make a set narrower; no rate and no unit at all are borne.
    #[test]
    fn sets_widen_with_traffic(per_s in 0.0f64..1e4, more in 0.0f64..100.0) {
        prop_assert!(subset_size(per_s, KEPT) <= subset_size(per_s + more, KEPT));
        prop_assert!(subset_size(0.0, Duration::ZERO) >= 2);
        prop_assert!(rank_units(1, &[]).is_empty());
    }
}

#[test]
fn a_figure_that_no_unit_can_hold_is_no_word() {
    use beechcroft_fleet::load::valid_load;
    assert_eq!(valid_load(3.9), Some(3.9));
    assert!([-1.0, 1e99, f64::INFINITY, f64::NAN]
        .iter()
        .all(|&odd| valid_load(odd).is_none()));
}
