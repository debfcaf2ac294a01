//! The hard cases, each as relays of three regions see it, period by period.

use beechcroft_config::config::{Config, Unfit};
use beechcroft_outlier::{Bench, Count, Own, Verdict, Word};

const UNITS: u32 = 20;
const REGIONS: [&str; 3] = ["north", "south", "east"];

fn rules(said: &str) -> Unfit {
    let body = format!(
        r#"{{"version":"00000001","services":[{{"name":"s","unfit":{said}}}],"virtualHosts":[]}}"#
    );
    Config::read(body.as_bytes()).unwrap().services[0]
        .unfit
        .clone()
        .unwrap()
}

fn good() -> Count {
    Count {
        answers: 6,
        ..Count::default()
    }
}

/// Six relays, two a region, tell what `sees` says; the verdict on unit 0 after each period.
fn play(
    rules: &Unfit,
    periods: u32,
    sees: impl Fn(usize, u32, u32) -> Option<Count>,
) -> Vec<Verdict> {
    let mut bench = Bench::default();
    let mut verdicts = Vec::new();
    for number in 1..=periods {
        for relay in 0..6 {
            bench.hear(&word(relay, number, &sees));
        }
        verdicts.push(
            bench
                .verdicts(rules, UNITS as usize, 3)
                .get(&0)
                .copied()
                .unwrap_or(Verdict::Fit),
        );
    }
    verdicts
}

fn word(relay: usize, number: u32, sees: &impl Fn(usize, u32, u32) -> Option<Count>) -> Word {
    let units = (0..UNITS)
        .filter_map(|unit| Some((unit, sees(relay, number, unit)?)))
        .collect();
    let region = REGIONS[relay % 3].into();
    Word {
        relay: format!("relay-{relay}"),
        region,
        incarnation: 1,
        number: 100 + number,
        service: "s".into(),
        units,
    }
}

fn failing() -> Count {
    Count {
        answers: 3,
        errors: 3,
        ..Count::default()
    }
}

#[test]
fn a_grey_unit_is_unfit_for_all_once_two_regions_see_it() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let two = play(&rules, 6, |relay, _, unit| {
        Some(if unit == 0 && relay % 3 < 2 {
            failing()
        } else {
            good()
        })
    });
    assert_eq!(two[3], Verdict::Unfit);
    let one = play(&rules, 20, |relay, _, unit| {
        Some(if unit == 0 && relay % 3 == 0 {
            failing()
        } else {
            good()
        })
    });
    assert!(
        one.iter().all(|&verdict| verdict == Verdict::Fit),
        "one region's errors are its callers': {one:?}"
    );
}

#[test]
fn late_is_unfit_for_a_board_and_only_late_for_an_archive() {
    let late = |_: usize, _: u32, unit: u32| {
        Some(if unit == 0 {
            Count {
                answers: 6,
                late: 5,
                ..Count::default()
            }
        } else {
            good()
        })
    };
    assert_eq!(
        *play(&rules(r#"{"preset":"lookup"}"#), 6, late)
            .last()
            .unwrap(),
        Verdict::Unfit
    );
    for preset in ["record", "download"] {
        let rules = rules(&format!(r#"{{"preset":"{preset}"}}"#));
        assert!(
            play(&rules, 30, late)
                .iter()
                .all(|&verdict| verdict == Verdict::Fit),
            "{preset}"
        );
    }
}

#[test]
fn a_whole_service_that_is_late_is_overloaded_and_nobody_is_unfit() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let all = |_: usize, _: u32, _: u32| {
        Some(Count {
            answers: 6,
            late: 5,
            ..Count::default()
        })
    };
    assert!(play(&rules, 20, all)
        .iter()
        .all(|&verdict| verdict != Verdict::Unfit));
}

#[test]
fn a_unit_unreachable_from_one_region_is_a_lost_path_and_from_all_it_is_unfit() {
    let rules = rules(r#"{"preset":"record"}"#);
    let dark = Count {
        unreachable: 3,
        ..Count::default()
    };
    let from_one = |relay: usize, _: u32, unit: u32| {
        Some(if unit == 0 && relay % 3 == 1 {
            dark
        } else {
            good()
        })
    };
    assert_eq!(
        *play(&rules, 5, from_one).last().unwrap(),
        Verdict::LostPath
    );
    let mut bench = Bench::default();
    (1..4).for_each(|number| (0..6).for_each(|relay| bench.hear(&word(relay, number, &from_one))));
    assert!(bench.is_lost_from(0, "south") && !bench.is_lost_from(0, "north"));
    let from_all = |_: usize, _: u32, unit: u32| Some(if unit == 0 { dark } else { good() });
    assert_eq!(*play(&rules, 5, from_all).last().unwrap(), Verdict::Unfit);
}

#[test]
fn a_region_that_loses_sight_of_a_whole_service_judges_nobody() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    for length in [1, 20] {
        let cut = |relay: usize, number: u32, _: u32| {
            let lost = relay % 3 == 2 && (5..5 + length).contains(&number);
            Some(if lost {
                Count {
                    unreachable: 3,
                    ..Count::default()
                }
            } else {
                good()
            })
        };
        let seen = play(&rules, 30, cut);
        assert!(
            seen.iter().all(|&verdict| verdict == Verdict::Fit),
            "{length}: {seen:?}"
        );
    }
}

#[test]
fn an_outage_of_a_moment_is_no_verdict() {
    let rules = rules(r#"{"preset":"record"}"#);
    let blink = |_: usize, number: u32, unit: u32| {
        let count = if unit == 0 && number == 5 {
            Count {
                answers: 5,
                unreachable: 1,
                ..Count::default()
            }
        } else {
            good()
        };
        Some(count)
    };
    assert!(play(&rules, 15, blink)
        .iter()
        .all(|&verdict| verdict == Verdict::Fit));
}

#[test]
fn a_unit_that_goes_up_and_down_is_held_off_longer_each_time_and_forgiven_by_degrees() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let flaps = |_: usize, number: u32, unit: u32| {
        Some(if unit == 0 && number < 60 && number % 18 < 2 {
            failing()
        } else {
            good()
        })
    };
    let seen = play(&rules, 220, flaps);
    let aside = |from: usize, to: usize| {
        seen[from..to]
            .iter()
            .filter(|&&verdict| verdict == Verdict::Unfit)
            .count()
    };
    assert!(
        aside(0, 18) < aside(36, 54),
        "{} then {}",
        aside(0, 18),
        aside(36, 54)
    );
    assert_eq!(aside(150, 220), 0, "it is well since period 60");
}

#[test]
fn the_same_evidence_gives_the_same_verdict_in_any_order_and_however_often() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let sees = |relay: usize, number: u32, unit: u32| {
        Some(if unit < 2 && (relay + number as usize) % 4 < 2 {
            failing()
        } else {
            good()
        })
    };
    let mut words: Vec<Word> = (1..6)
        .flat_map(|n| (0..6).map(move |relay| word(relay, n, &sees)))
        .collect();
    let mut one = Bench::default();
    words.iter().for_each(|word| one.hear(word));
    let mut draw = 7u64;
    for _ in 0..20 {
        for at in (1..words.len()).rev() {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            words.swap(at, (draw >> 33) as usize % (at + 1));
        }
        let mut other = Bench::default();
        words
            .iter()
            .chain(&words[..9])
            .for_each(|word| other.hear(word));
        assert_eq!(one.verdicts(&rules, 20, 3), other.verdicts(&rules, 20, 3));
    }
}

#[test]
fn a_relay_that_wakes_with_old_evidence_is_not_heard() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let mut bench = Bench::default();
    let fine = |_: usize, _: u32, _: u32| Some(good());
    (1..40).for_each(|n| (0..5).for_each(|relay| bench.hear(&word(relay, n, &fine))));
    let ill = |_: usize, _: u32, unit: u32| Some(if unit == 0 { failing() } else { good() });
    (1..10).for_each(|n| bench.hear(&word(5, n, &ill)));
    assert_eq!(bench.verdicts(&rules, 20, 3).get(&0), Some(&Verdict::Fit));
}

#[test]
fn thin_evidence_is_none_and_a_sound_unit_is_left_alone_for_minutes() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let thin = |relay: usize, _: u32, unit: u32| {
        (unit == 0 && relay == 0).then_some(Count {
            answers: 0,
            errors: 1,
            ..Count::default()
        })
    };
    assert!(play(&rules, 3, thin)
        .iter()
        .all(|&verdict| verdict == Verdict::Fit));
    let noise = |relay: usize, number: u32, unit: u32| {
        let bad = (relay as u32 * 31 + number * 17 + unit * 7).is_multiple_of(29);
        Some(if bad {
            Count {
                answers: 5,
                errors: 1,
                ..Count::default()
            }
        } else {
            good()
        })
    };
    assert!(play(&rules, 120, noise)
        .iter()
        .all(|&verdict| verdict == Verdict::Fit));
}

#[test]
fn faults_in_the_words_of_a_service_are_named() {
    let said = |said: &str| {
        let body = format!(
            r#"{{"version":"00000001","services":[{{"name":"s","unfit":{said}}}],"virtualHosts":[]}}"#
        );
        Config::read(body.as_bytes()).unwrap_err().to_string()
    };
    assert!(said(r#"{"preset":"board"}"#).contains("board"));
    assert!(said(r#"{"errorShare":2.0}"#).contains("error_share"));
    assert!(said(r#"{"regions":0}"#).contains("regions"));
}

#[test]
fn a_relay_speaks_of_failures_only_where_it_saw_more_than_one_or_was_asked() {
    let mut own = Own::default();
    let one = |unit| {
        (
            unit,
            Count {
                answers: 9,
                errors: 1,
                ..Count::default()
            },
        )
    };
    assert!(
        own.tells(vec![one(1), one(2)], &[].into()).is_empty(),
        "any unit fails now and then"
    );
    assert_eq!(
        own.tells(vec![one(3), (4, good())], &[4].into()),
        [(4, good())],
        "what others ask about is told"
    );
    assert_eq!(own.tells(vec![one(3), one(3)], &[].into()).len(), 2);
    let many = (0..50)
        .map(|unit| {
            (
                unit,
                Count {
                    errors: 5,
                    ..Count::default()
                },
            )
        })
        .collect();
    assert!(
        own.tells(many, &[].into()).len() <= 8,
        "a word stays short however many units fail"
    );
}

#[test]
fn a_verdict_is_taken_back_though_nobody_has_anything_to_tell_any_more() {
    let rules = rules(r#"{"preset":"lookup"}"#);
    let mut bench = Bench::default();
    let ill = |_: usize, _: u32, unit: u32| {
        (unit == 0).then_some(Count {
            answers: 2,
            errors: 4,
            ..Count::default()
        })
    };
    for number in 1..=10 {
        (0..6).for_each(|relay| bench.hear(&word(relay, number, &ill)));
    }
    assert_eq!(bench.verdicts(&rules, 20, 3).get(&0), Some(&Verdict::Unfit));
    bench.pass(100 + 30);
    assert_eq!(
        bench.verdicts(&rules, 20, 3).get(&0),
        Some(&Verdict::Fit),
        "its hold-off has passed by the clock"
    );
}
