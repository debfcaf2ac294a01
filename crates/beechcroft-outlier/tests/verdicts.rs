//! Verdicts on endpoints from the observations of six proxies in three regions, period by period.

use beechcroft_config::config::{Config, OutlierRules};
use beechcroft_outlier::{Observation, ObservationFilter, OutcomeCounts, OutlierDetector, Verdict};

const ENDPOINTS: u32 = 20;
const REGIONS: [&str; 3] = ["north", "south", "east"];

fn rules(preset: &str) -> OutlierRules {
    let body = format!(
        r#"{{"version":"00000001","services":[{{"name":"s","unfit":{preset}}}],"virtualHosts":[]}}"#
    );
    Config::read(body.as_bytes()).unwrap().services[0]
        .unfit
        .clone()
        .unwrap()
}

fn good() -> OutcomeCounts {
    OutcomeCounts {
        responses: 6,
        ..OutcomeCounts::default()
    }
}

/// Merges the observations of six proxies, two per region. `counts` returns the counts for a proxy, a period and an
/// endpoint. Returns the verdict on endpoint 0 after each period.
fn verdicts_on_first(
    rules: &OutlierRules,
    periods: u32,
    counts: impl Fn(usize, u32, u32) -> Option<OutcomeCounts>,
) -> Vec<Verdict> {
    let mut detector = OutlierDetector::default();
    let mut verdicts = Vec::new();
    for period in 1..=periods {
        for proxy in 0..6 {
            detector.merge(&observation(proxy, period, &counts));
        }
        verdicts.push(
            detector
                .verdicts(rules, ENDPOINTS as usize, 3)
                .get(&0)
                .copied()
                .unwrap_or(Verdict::Healthy),
        );
    }
    verdicts
}

fn observation(
    proxy: usize,
    period: u32,
    counts: &impl Fn(usize, u32, u32) -> Option<OutcomeCounts>,
) -> Observation {
    let endpoints = (0..ENDPOINTS)
        .filter_map(|endpoint| Some((endpoint, counts(proxy, period, endpoint)?)))
        .collect();
    let region = REGIONS[proxy % 3].into();
    Observation {
        proxy: format!("proxy-{proxy}"),
        region,
        incarnation: 1,
        period: 100 + period,
        service: "s".into(),
        endpoints,
    }
}

fn failing() -> OutcomeCounts {
    OutcomeCounts {
        responses: 3,
        errors: 3,
        ..OutcomeCounts::default()
    }
}

#[test]
fn an_endpoint_that_fails_in_two_regions_is_ejected_in_all() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let two = verdicts_on_first(&rules, 6, |proxy, _, endpoint| {
        Some(if endpoint == 0 && proxy % 3 < 2 {
            failing()
        } else {
            good()
        })
    });
    assert_eq!(two[3], Verdict::Unhealthy);
    let one = verdicts_on_first(&rules, 20, |proxy, _, endpoint| {
        Some(if endpoint == 0 && proxy % 3 == 0 {
            failing()
        } else {
            good()
        })
    });
    assert!(
        one.iter().all(|&verdict| verdict == Verdict::Healthy),
        "errors in one region only are caused by its clients: {one:?}"
    );
}

#[test]
fn late_responses_eject_an_endpoint_under_the_lookup_preset_only() {
    let late = |_: usize, _: u32, endpoint: u32| {
        Some(if endpoint == 0 {
            OutcomeCounts {
                responses: 6,
                late: 5,
                ..OutcomeCounts::default()
            }
        } else {
            good()
        })
    };
    assert_eq!(
        *verdicts_on_first(&rules(r#"{"preset":"lookup"}"#), 6, late)
            .last()
            .unwrap(),
        Verdict::Unhealthy
    );
    for preset in ["record", "download"] {
        let rules = rules(&format!(r#"{{"preset":"{preset}"}}"#));
        assert!(
            verdicts_on_first(&rules, 30, late)
                .iter()
                .all(|&verdict| verdict == Verdict::Healthy),
            "{preset}"
        );
    }
}

#[test]
fn no_endpoint_is_ejected_when_the_whole_service_is_late() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let all = |_: usize, _: u32, _: u32| {
        Some(OutcomeCounts {
            responses: 6,
            late: 5,
            ..OutcomeCounts::default()
        })
    };
    assert!(verdicts_on_first(&rules, 20, all)
        .iter()
        .all(|&verdict| verdict != Verdict::Unhealthy));
}

#[test]
fn an_endpoint_unreachable_from_one_region_has_lost_its_path_and_from_all_is_ejected() {
    let rules = rules(r#"{"preset":"record"}"#);
    let unreachable = OutcomeCounts {
        unreachable: 3,
        ..OutcomeCounts::default()
    };
    let from_one = |proxy: usize, _: u32, endpoint: u32| {
        Some(if endpoint == 0 && proxy % 3 == 1 {
            unreachable
        } else {
            good()
        })
    };
    assert_eq!(
        *verdicts_on_first(&rules, 5, from_one).last().unwrap(),
        Verdict::PathLost
    );
    let mut detector = OutlierDetector::default();
    (1..4).for_each(|period| {
        (0..6).for_each(|proxy| detector.merge(&observation(proxy, period, &from_one)))
    });
    assert!(detector.is_unreachable_from(0, "south") && !detector.is_unreachable_from(0, "north"));
    let from_all =
        |_: usize, _: u32, endpoint: u32| Some(if endpoint == 0 { unreachable } else { good() });
    assert_eq!(
        *verdicts_on_first(&rules, 5, from_all).last().unwrap(),
        Verdict::Unhealthy
    );
}

#[test]
fn a_region_that_cannot_reach_a_whole_service_ejects_no_endpoint() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    for length in [1, 20] {
        let partition = |proxy: usize, period: u32, _: u32| {
            let is_partitioned = proxy % 3 == 2 && (5..5 + length).contains(&period);
            Some(if is_partitioned {
                OutcomeCounts {
                    unreachable: 3,
                    ..OutcomeCounts::default()
                }
            } else {
                good()
            })
        };
        let verdicts = verdicts_on_first(&rules, 30, partition);
        assert!(
            verdicts.iter().all(|&verdict| verdict == Verdict::Healthy),
            "{length}: {verdicts:?}"
        );
    }
}

#[test]
fn a_momentary_outage_does_not_eject_an_endpoint() {
    let rules = rules(r#"{"preset":"record"}"#);
    let outage = |_: usize, period: u32, endpoint: u32| {
        let count = if endpoint == 0 && period == 5 {
            OutcomeCounts {
                responses: 5,
                unreachable: 1,
                ..OutcomeCounts::default()
            }
        } else {
            good()
        };
        Some(count)
    };
    assert!(verdicts_on_first(&rules, 15, outage)
        .iter()
        .all(|&verdict| verdict == Verdict::Healthy));
}

#[test]
fn a_flapping_endpoint_is_ejected_longer_each_time_and_recovers_gradually() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let flaps = |_: usize, period: u32, endpoint: u32| {
        Some(if endpoint == 0 && period < 60 && period % 18 < 2 {
            failing()
        } else {
            good()
        })
    };
    let verdicts = verdicts_on_first(&rules, 220, flaps);
    let ejected_periods = |from: usize, to: usize| {
        verdicts[from..to]
            .iter()
            .filter(|&&verdict| verdict == Verdict::Unhealthy)
            .count()
    };
    assert!(
        ejected_periods(0, 18) < ejected_periods(36, 54),
        "{} then {}",
        ejected_periods(0, 18),
        ejected_periods(36, 54)
    );
    assert_eq!(
        ejected_periods(150, 220),
        0,
        "it has been healthy since period 60"
    );
}

#[test]
fn the_same_evidence_gives_the_same_verdicts_in_any_order_and_with_duplicates() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let counts = |proxy: usize, period: u32, endpoint: u32| {
        Some(if endpoint < 2 && (proxy + period as usize) % 4 < 2 {
            failing()
        } else {
            good()
        })
    };
    let mut observations: Vec<Observation> = (1..6)
        .flat_map(|n| (0..6).map(move |proxy| observation(proxy, n, &counts)))
        .collect();
    let mut one = OutlierDetector::default();
    observations
        .iter()
        .for_each(|observation| one.merge(observation));
    let mut draw = 7u64;
    for _ in 0..20 {
        for at in (1..observations.len()).rev() {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            observations.swap(at, (draw >> 33) as usize % (at + 1));
        }
        let mut other = OutlierDetector::default();
        observations
            .iter()
            .chain(&observations[..9])
            .for_each(|observation| other.merge(observation));
        assert_eq!(one.verdicts(&rules, 20, 3), other.verdicts(&rules, 20, 3));
    }
}

#[test]
fn stale_observations_of_a_resumed_proxy_are_ignored() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let mut detector = OutlierDetector::default();
    let healthy = |_: usize, _: u32, _: u32| Some(good());
    (1..40).for_each(|n| (0..5).for_each(|proxy| detector.merge(&observation(proxy, n, &healthy))));
    let failing_first =
        |_: usize, _: u32, endpoint: u32| Some(if endpoint == 0 { failing() } else { good() });
    (1..10).for_each(|n| detector.merge(&observation(5, n, &failing_first)));
    assert_eq!(
        detector.verdicts(&rules, 20, 3).get(&0),
        Some(&Verdict::Healthy)
    );
}

#[test]
fn sparse_failures_do_not_eject_an_endpoint() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let sparse = |proxy: usize, _: u32, endpoint: u32| {
        (endpoint == 0 && proxy == 0).then_some(OutcomeCounts {
            responses: 0,
            errors: 1,
            ..OutcomeCounts::default()
        })
    };
    assert!(verdicts_on_first(&rules, 3, sparse)
        .iter()
        .all(|&verdict| verdict == Verdict::Healthy));
    let noise = |proxy: usize, period: u32, endpoint: u32| {
        let bad = (proxy as u32 * 31 + period * 17 + endpoint * 7).is_multiple_of(29);
        Some(if bad {
            OutcomeCounts {
                responses: 5,
                errors: 1,
                ..OutcomeCounts::default()
            }
        } else {
            good()
        })
    };
    assert!(verdicts_on_first(&rules, 120, noise)
        .iter()
        .all(|&verdict| verdict == Verdict::Healthy));
}

#[test]
fn errors_in_outlier_rules_name_the_field_or_value() {
    let error_of = |rules: &str| {
        let body = format!(
            r#"{{"version":"00000001","services":[{{"name":"s","unfit":{rules}}}],"virtualHosts":[]}}"#
        );
        Config::read(body.as_bytes()).unwrap_err().to_string()
    };
    assert!(error_of(r#"{"preset":"board"}"#).contains("board"));
    assert!(error_of(r#"{"errorShare":2.0}"#).contains("error_share"));
    assert!(error_of(r#"{"regions":0}"#).contains("regions"));
}

#[test]
fn a_proxy_reports_only_repeated_failures_and_suspected_endpoints() {
    let mut filter = ObservationFilter::default();
    let one_failure = |endpoint| {
        (
            endpoint,
            OutcomeCounts {
                responses: 9,
                errors: 1,
                ..OutcomeCounts::default()
            },
        )
    };
    assert!(
        filter
            .select(vec![one_failure(1), one_failure(2)], &[].into())
            .is_empty(),
        "single failures are not reported"
    );
    assert_eq!(
        filter.select(vec![one_failure(3), (4, good())], &[4].into()),
        [(4, good())],
        "suspected endpoints are reported"
    );
    assert_eq!(
        filter
            .select(vec![one_failure(3), one_failure(3)], &[].into())
            .len(),
        2
    );
    let many_failing = (0..50)
        .map(|endpoint| {
            (
                endpoint,
                OutcomeCounts {
                    errors: 5,
                    ..OutcomeCounts::default()
                },
            )
        })
        .collect();
    assert!(
        filter.select(many_failing, &[].into()).len() <= 8,
        "an observation is bounded however many endpoints fail"
    );
}

#[test]
fn an_ejection_ends_by_the_clock_without_further_reports() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let mut detector = OutlierDetector::default();
    let failing_first = |_: usize, _: u32, endpoint: u32| {
        (endpoint == 0).then_some(OutcomeCounts {
            responses: 2,
            errors: 4,
            ..OutcomeCounts::default()
        })
    };
    for period in 1..=10 {
        (0..6).for_each(|proxy| detector.merge(&observation(proxy, period, &failing_first)));
    }
    assert_eq!(
        detector.verdicts(&rules, 20, 3).get(&0),
        Some(&Verdict::Unhealthy)
    );
    detector.advance_clock(100 + 30);
    assert_eq!(
        detector.verdicts(&rules, 20, 3).get(&0),
        Some(&Verdict::Healthy),
        "its ejection has ended by the clock"
    );
}
