//! Long runs of outlier ejection with the observations of all regions combined, and of the placement of requests that must
//! not execute twice.

use beechcroft_config::config::{OutlierPreset, OutlierRules};
use beechcroft_simulator::outlier_study::*;

#[test]
fn short_blackouts_and_lost_reports_eject_no_healthy_endpoint() {
    let rules = OutlierRules::from(OutlierPreset::Lookup);
    let study = LongStudy {
        proxies: 9,
        units: 50,
        rate: 30.0,
        errors: 0.0005,
        seconds: 20_000,
        blackout_period_s: 30,
        loss: 0.01,
        seed: 4,
    };
    assert_eq!(simulate_long_term(&rules, study), (0, 0));
    let (ejections, _) = simulate_long_term(
        &rules,
        LongStudy {
            errors: 0.3,
            seconds: 100,
            ..study
        },
    );
    assert!(
        ejections > 1000,
        "endpoints that fail 30% of their requests are ejected: {ejections} ejections"
    );
}

#[test]
fn no_two_proxies_place_a_key_differently_during_a_partition() {
    let mut unprotected_ms = 0;
    for seed in 0..300 {
        assert_eq!(conflicting_placement_ms(30, seed, true), 0, "seed {seed}");
        unprotected_ms += conflicting_placement_ms(30, seed, false);
    }
    assert!(
        unprotected_ms > 100_000,
        "without lease and fencing, placements conflict: {unprotected_ms} ms"
    );
}
