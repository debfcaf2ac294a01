//! The subsets of units that a fleet of relays uses, and how load reports even out their load.

use beechcroft_fleet::load::{LoadEstimate, TypicalLoad};
use beechcroft_fleet::subset::{rank_units, subset_size, TaskRate};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const KEEP_TIME: Duration = Duration::from_millis(7500);

fn unit_keys(count: u32, seed: u64) -> Vec<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    (0..count).map(|_| rng.random::<u32>() >> 8).collect()
}

#[test]
fn every_unit_is_used_by_a_similar_part_of_the_fleet() {
    for (relays, units, subset_len) in [(100, 60, 8), (300, 150, 8), (300, 150, 20)] {
        let keys = unit_keys(units, 5);
        let mut users = vec![0u32; units as usize];
        for relay in 0..relays {
            rank_units(relay, &keys)
                .into_iter()
                .take(subset_len)
                .for_each(|unit| users[unit] += 1);
        }
        let mean = f64::from(relays) * subset_len as f64 / f64::from(units);
        let (min, max) = (users.iter().min().unwrap(), users.iter().max().unwrap());
        // Four standard deviations of a random draw.
        let tolerance = 4.0 * mean.sqrt();
        assert!(
            f64::from(*min) > mean - tolerance && f64::from(*max) < mean + tolerance,
            "{mean}: {min} to {max}"
        );
    }
}

#[test]
fn a_relay_reuses_its_connections_before_they_are_closed_for_idleness() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for per_s in [4.0, 6.0, 20.0, 60.0] {
        let size = subset_size(per_s, KEEP_TIME);
        let mut last = vec![f64::NEG_INFINITY; size];
        let (mut now, mut connects) = (0.0, 0);
        for _ in 0..20_000 {
            now -= rng.random::<f64>().max(1e-9).ln() / per_s;
            let at = rng.random_range(0..size);
            connects += u32::from(now > last[at] + KEEP_TIME.as_secs_f64());
            last[at] = now;
        }
        assert!(
            connects < 1000,
            "{per_s} tasks a second to {size} units: {connects} of 20000 tasks opened a connection"
        );
    }
}

/// The mean number of tasks held by the most loaded tenth of the units over a minute. Relays have uneven traffic, all
/// units complete the same work a tick, and load reports are half a second late. With `use_reports` a relay sends to
/// the less loaded of two units, else to a random one.
fn mean_top_decile_load(use_reports: bool, seed: u64) -> f64 {
    const RELAYS: usize = 273;
    const UNITS: usize = 137;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let keys = unit_keys(UNITS as u32, seed);
    let rates: Vec<f64> = (0..RELAYS)
        .map(|_| 2.0 + 8.0 * rng.random::<f64>().powi(2))
        .collect();
    let subsets: Vec<Vec<usize>> = (0..RELAYS)
        .map(|relay| {
            rank_units(relay as u32, &keys)
                .into_iter()
                .take(subset_size(rates[relay], KEEP_TIME))
                .collect()
        })
        .collect();
    // Each unit completes 1.5 times its even share of what the fleet sends.
    let completed = rates.iter().sum::<f64>() / UNITS as f64 * 0.1 * 1.5;
    let mut held = vec![0.0f64; UNITS];
    let mut delayed = vec![held.clone(); 5];
    let mut estimates = vec![vec![LoadEstimate::default(); UNITS]; RELAYS];
    let mut typical = vec![TypicalLoad::default(); RELAYS];
    let mut sum = 0.0;
    for tick in 0..600u32 {
        let now = Duration::from_millis(100) * tick;
        for relay in 0..RELAYS {
            let sends = rates[relay] * 0.1;
            for _ in 0..sends as usize + usize::from(rng.random::<f64>() < sends.fract()) {
                let [one, two] = [0; 2]
                    .map(|_: usize| subsets[relay][rng.random_range(0..subsets[relay].len())]);
                let estimated = |at: usize| estimates[relay][at].at(now, typical[relay].value());
                let at = if use_reports && estimated(two) < estimated(one) {
                    two
                } else {
                    one
                };
                held[at] += 1.0;
                let report = delayed[tick as usize % 5][at];
                estimates[relay][at].record(report, now, typical[relay].value());
                typical[relay].record(report);
            }
        }
        held.iter_mut()
            .for_each(|held| *held = (*held - completed).max(0.0));
        delayed[tick as usize % 5] = held.clone();
        let mut sorted = held.clone();
        sorted.sort_by(f64::total_cmp);
        sum += sorted[UNITS * 9 / 10..].iter().sum::<f64>() / (UNITS - UNITS * 9 / 10) as f64;
    }
    sum / 600.0
}

#[test]
fn load_reports_even_out_uneven_subsets() {
    for seed in [1, 2, 3] {
        let (without, with) = (
            mean_top_decile_load(false, seed),
            mean_top_decile_load(true, seed),
        );
        assert!(
            with < without / 3.0,
            "seed {seed}: the most loaded tenth hold {with:.1} tasks, without reports {without:.1}"
        );
    }
}

#[test]
fn a_load_report_decays_and_a_task_rate_is_known_from_the_start() {
    let mut held = LoadEstimate::default();
    let at = Duration::from_secs;
    held.record(20.0, at(10), 2.0);
    assert_eq!(held.at(at(10), 2.0), 20.0);
    assert!(held.at(at(15), 2.0) < 9.0 && held.at(at(40), 2.0) < 2.1);
    assert_eq!(LoadEstimate::default().at(at(1), 3.0), 3.0); // no report: as the other units
    let mut rate = TaskRate::default();
    (0..20).for_each(|_| rate.add(1.0, Duration::from_millis(100), at(10)));
    assert!((rate.per_s() - 10.0).abs() < 1e-9);
    (0..300).for_each(|_| rate.add(0.0, Duration::from_millis(100), at(10)));
    assert!(rate.per_s() < 1.0);
}

proptest! {
    /// When a unit leaves, the other units of a subset keep their order, and one more unit is added at the end.
    #[test]
    fn a_removed_unit_changes_one_place_of_a_subset(me in 0u32..600, units in 2u32..160, removed in 0usize..160, subset_len in 1usize..40) {
        let keys = unit_keys(units, 9);
        let removed = removed % keys.len();
        let before: Vec<u32> = rank_units(me, &keys).into_iter().take(subset_len).map(|at| keys[at]).collect();
        let mut remaining = keys.clone();
        remaining.remove(removed);
        let after: Vec<u32> = rank_units(me, &remaining).into_iter().take(subset_len).map(|at| remaining[at]).collect();
        let kept: Vec<u32> = before.iter().copied().filter(|key| *key != keys[removed]).collect();
        prop_assert!(after.starts_with(&kept));
    }

    /// More tasks never make a subset smaller. A rate of zero and an empty list of units are handled.
    #[test]
    fn subsets_grow_with_traffic(per_s in 0.0f64..1e4, more in 0.0f64..100.0) {
        prop_assert!(subset_size(per_s, KEEP_TIME) <= subset_size(per_s + more, KEEP_TIME));
        prop_assert!(subset_size(0.0, Duration::ZERO) >= 2);
        prop_assert!(rank_units(1, &[]).is_empty());
    }
}

#[test]
fn a_load_that_no_unit_can_hold_is_discarded() {
    use beechcroft_fleet::load::valid_load;
    assert_eq!(valid_load(3.9), Some(3.9));
    assert!([-1.0, 1e99, f64::INFINITY, f64::NAN]
        .iter()
        .all(|&odd| valid_load(odd).is_none()));
}
