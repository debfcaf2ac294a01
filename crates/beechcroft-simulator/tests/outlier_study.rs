//! Verdicts of all regions together, and the placement of requests that must not run twice, over long runs.

use beechcroft_config::config::{OutlierPreset, OutlierRules};
use beechcroft_simulator::outlier_study::*;

#[test]
fn brief_losses_of_sight_and_lost_words_set_no_sound_unit_aside_but_losses_everywhere_would() {
    let rules = OutlierRules::from(OutlierPreset::Lookup);
    let long = LongStudy {
        proxies: 9,
        units: 50,
        rate: 30.0,
        errors: 0.0005,
        seconds: 20_000,
        blackout_period_s: 30,
        loss: 0.01,
        seed: 4,
    };
    assert_eq!(simulate_long_term(&rules, long), (0, 0));
    let (wrong, _) = simulate_long_term(
        &rules,
        LongStudy {
            errors: 0.3,
            seconds: 100,
            ..long
        },
    );
    assert!(
        wrong > 1000,
        "units that fail a third of their requests are seen: {wrong}"
    );
}

#[test]
fn no_two_relays_place_a_key_differently_whoever_is_cut_off() {
    let mut without = 0;
    for seed in 0..300 {
        assert_eq!(conflicting_placement_ms(30, seed, true), 0, "seed {seed}");
        without += conflicting_placement_ms(30, seed, false);
    }
    assert!(
        without > 100_000,
        "without lease and fence they do: {without}"
    );
}
