//! How the core takes a rollout on, and what makes it wait.

use beechcroft_rollout::conduct::{
    conduct, excess_of_few, share, takes_further_tries, Before, Next, View, LAST,
};
use beechcroft_rollout::Count;
use beechcroft_safeguards::{disable, Safeguard};
use std::collections::BTreeMap;

fn view(stage: u8, stage_ms: u64) -> View {
    View {
        stage,
        stage_ms,
        ramp_ms: 15_000,
        trials: 100,
        asked: 1000,
        good: 0.01,
        new_slots: 60,
        old_slots: 60,
        rate: 100.0,
        before: Some(Before::default()),
        canary_share: 0.1,
        canary_margin: 50.0,
        ..View::default()
    }
}

#[test]
fn a_rollout_that_nothing_speaks_against_ends_within_its_ramp() {
    let (mut now, mut stage, mut began) = (0, 0, 0);
    loop {
        now += 200;
        match conduct(view(stage, now - began)) {
            Next::Stay => {}
            Next::On(next) => (stage, began) = (next, now),
            Next::Complete => break,
            Next::Back => panic!("nothing speaks against it"),
        }
        assert!(now < 15_000, "stage {stage}");
    }
    assert!(now < 11_000, "it leaves time for rounds of ballots: {now}");
}

#[test]
fn it_waits_on_an_alarm_on_failures_and_for_units_that_can_bear_the_next_share() {
    for stage in 0..LAST {
        assert_ne!(conduct(view(stage, 9_000)), Next::Stay);
        assert_eq!(
            conduct(View {
                alarm: true,
                ..view(stage, 9_000)
            }),
            Next::Stay
        );
        assert_eq!(
            conduct(View {
                trials: 26,
                failures: 12,
                ..view(stage, 9_000)
            }),
            Next::Stay
        );
        assert_eq!(
            conduct(View {
                new_slots: 4,
                ..view(stage, 9_000)
            }),
            Next::Stay
        );
    }
    assert_eq!(
        conduct(View {
            trials: 0,
            ..view(0, 9_000)
        }),
        Next::Stay,
        "nothing was tried"
    );
}

#[test]
fn a_stage_that_nobody_has_told_of_does_not_go_on_and_little_traffic_may() {
    let few = |trials, asked, stage, stage_ms| {
        let rate = f64::from(asked) * 1000.0 / stage_ms as f64;
        conduct(View {
            trials,
            asked,
            rate,
            ..view(stage, stage_ms)
        })
    };
    // 400 requests a second, of which nothing is told yet: stage 1 stays, then goes on.
    assert_eq!(few(0, 0, 1, 1_600), Next::Stay);
    assert_ne!(few(60, 640, 1, 1_600), Next::Stay);
    // Few outcomes, but so few requests that a bad version gets less than the margin.
    assert_ne!(few(6, 60, 0, 6_000), Next::Stay);
    let doubt = View {
        trials: 6,
        failures: 2,
        good: 0.015,
        asked: 60,
        rate: 10.0,
        ..view(0, 6_000)
    };
    assert_eq!(conduct(doubt), Next::Stay);
    assert_eq!(
        few(20, 160, 1, 1_600),
        Next::Stay,
        "100 a second are too many to guess"
    );
    // Nothing told at all: hardly anybody asks for it.
    assert_ne!(few(0, 0, 1, 4_600), Next::Stay);
}

#[test]
fn the_last_stage_waits_for_open_requests_but_not_for_ever() {
    assert_eq!(
        conduct(View {
            old_open: 3,
            ..view(LAST, 1_500)
        }),
        Next::Stay
    );
    assert_eq!(conduct(view(LAST, 1_500)), Next::Complete);
    assert_eq!(
        conduct(View {
            old_open: 3,
            ..view(LAST, 2_500)
        }),
        Next::Complete
    );
    assert_eq!(
        conduct(View {
            trials: 3,
            ..view(LAST, 2_500)
        }),
        Next::Stay,
        "old units stop at once after it"
    );
    assert_eq!(
        conduct(View {
            trials: 3,
            ..view(LAST, 5_000)
        }),
        Next::Complete
    );
}

/// A service of 13 requests a second, whose new version fails 0.62 of what it gets, as the world's day has it: units of
/// the earlier version were ill, and its rate of failures as it is known is 0.066.
fn exposed(good: f64) -> (f64, f64) {
    let (rate, ramp_ms) = (13.0, 10_000_u64);
    let (mut before, mut stage, mut since, mut got) = (Before::default(), 0, 0, 0.0);
    for now in (0..ramp_ms).step_by(200) {
        // The sum over all relays votes back on 9.21 nats and ten outcomes; 2.5 s later nothing arrives.
        let ms = now - since;
        // A sign is up to a second old.
        let asked = rate * ms.saturating_sub(800) as f64 / 1000.0;
        let trials = asked * share(stage, 0.1);
        let view = View {
            stage,
            stage_ms: ms,
            ramp_ms,
            trials: trials as u32,
            failures: (trials * 0.62) as u32,
            asked: asked as u32,
            rate,
            good,
            new_slots: 36,
            old_slots: 36,
            before: Some(before),
            canary_share: 0.1,
            canary_margin: 50.0,
            ..View::default()
        };
        got += rate * share(stage, 0.1) * 0.2;
        if let Next::On(next) = conduct(view) {
            (before, stage, since) = (view.over(), next, now);
        }
    }
    (got, 0.1 * rate * ramp_ms as f64 / 1000.0 + 50.0)
}

#[test]
fn a_rate_learned_while_units_are_ill_takes_no_bad_version_through_its_stages() {
    let (got, may) = exposed(0.066);
    assert!(got <= may, "{got:.0} requests where {may:.0} are allowed");
    // Ill altogether: the two are alike, and nothing goes on.
    let (got, may) = exposed(0.5);
    assert!(got <= may, "{got:.0} requests where {may:.0} are allowed");
    assert_eq!(
        conduct(View {
            good: 0.5,
            trials: 100,
            failures: 50,
            ..view(0, 9_000)
        }),
        Next::Stay
    );
    let _out = disable(Some(Safeguard::HealthyBaseline));
    assert_ne!(
        conduct(View {
            good: 0.5,
            trials: 100,
            failures: 50,
            ..view(0, 9_000)
        }),
        Next::Stay
    );
}

#[test]
fn few_outcomes_are_judged_by_the_lowest_rate() {
    let thin = View {
        trials: 4,
        failures: 2,
        asked: 53,
        rate: 13.0,
        good: 0.066,
        ..view(0, 6_000)
    };
    assert_eq!(conduct(thin), Next::Stay);
    let _out = disable(Some(Safeguard::SmallSampleLowestRate));
    assert_ne!(
        conduct(thin),
        Next::Stay,
        "two failures of four look bearable"
    );
}

#[test]
fn evidence_against_a_version_outlives_the_stage_that_brought_it() {
    let first = View {
        trials: 40,
        failures: 4,
        good: 0.04,
        ..view(0, 9_000)
    };
    let next = View {
        trials: 40,
        failures: 4,
        good: 0.04,
        before: Some(first.over()),
        ..view(1, 3_000)
    };
    assert_ne!(conduct(first), Next::Stay);
    assert_eq!(conduct(next), Next::Stay);
    let _out = disable(Some(Safeguard::EvidenceOfAllStages));
    assert_ne!(conduct(next), Next::Stay);
    drop(_out);
    // And what spoke for it does not outweigh what comes later.
    let fine = View {
        trials: 400,
        ..view(0, 9_000)
    };
    let bad = View {
        trials: 30,
        failures: 6,
        before: Some(fine.over()),
        ..view(1, 3_000)
    };
    assert_eq!(conduct(bad), Next::Stay);
}

#[test]
fn what_a_version_got_in_earlier_stages_counts_to_what_it_may_get() {
    let before = Before {
        nats: [0.0; 2],
        asked: 120.0,
        exposed: 40.0,
        rate: 13.0,
        ms: 4_000,
    };
    let thin = View {
        trials: 5,
        asked: 15,
        rate: 13.0,
        before: Some(before),
        ..view(1, 2_000)
    };
    assert_eq!(conduct(thin), Next::Stay);
    assert_eq!(
        conduct(View {
            before: None,
            ..thin
        }),
        Next::Stay,
        "nobody knows what it got"
    );
    let _out = disable(Some(Safeguard::ExposureOfAllStages));
    assert_ne!(conduct(thin), Next::Stay);
}

#[test]
fn a_trial_has_the_share_that_the_deployment_allows_and_never_more() {
    for allowed in [0.02, 0.05, 0.1] {
        assert!(share(0, allowed) <= allowed);
    }
    assert!((share(LAST, 0.1) - 1.0).abs() < 1e-9);
}

#[test]
fn a_few_ill_units_keep_no_good_version_from_its_end_and_a_bad_version_is_no_few_units() {
    let units = |fails: fn(u16) -> u32| -> BTreeMap<u16, Count> {
        (0..12)
            .map(|unit| {
                (
                    unit,
                    Count {
                        trials: 10,
                        failures: fails(unit),
                    },
                )
            })
            .collect()
    };
    let ends = |units: &BTreeMap<u16, Count>| {
        let failures = units.values().map(|count| count.failures).sum();
        let of_few = excess_of_few(units, 0.03);
        conduct(View {
            trials: 120,
            failures,
            good: 0.03,
            of_few,
            ..view(LAST, 3_000)
        })
    };
    let crashed = units(|unit| if unit < 3 { 6 } else { 0 });
    assert_eq!(ends(&crashed), Next::Complete);
    assert_eq!(
        ends(&units(|_| 2)),
        Next::Stay,
        "a fifth fails on all units"
    );
    let _out = disable(Some(Safeguard::UnhealthyEndpointsExcused));
    assert_eq!(ends(&crashed), Next::Stay);
}

#[test]
fn a_rollout_still_in_doubt_when_its_time_is_over_goes_back() {
    // Six outcomes of a service that is hardly asked: too few for any vote.
    let thin = View {
        trials: 6,
        failures: 3,
        asked: 60,
        rate: 4.0,
        good: 0.015,
        ..view(0, 10_000)
    };
    assert_eq!(
        conduct(thin),
        Next::Stay,
        "two steps and the last stage still fit"
    );
    let late = View {
        stage_ms: 11_000,
        ..thin
    };
    assert_eq!(conduct(late), Next::Back);
    assert_ne!(
        conduct(View {
            failures: 0,
            ..late
        }),
        Next::Back,
        "nothing speaks against it"
    );
    let _out = disable(Some(Safeguard::RevertWhenInDoubt));
    assert_eq!(
        conduct(late),
        Next::Stay,
        "without the guard it stays for ever"
    );
}

/// A service of 8.4 requests a second whose new version fails 0.64, and whose few outcomes happen to look bearable: what
/// the version is offered until it is back, where each request may be offered three times.
fn offered_thinly() -> (f64, f64) {
    let (rate, fails, ramp_ms) = (8.4, 0.64_f64, 10_000);
    let told = [(4_200_u64, 3, 0), (1_400, 2, 0), (1_000, 1, 0)];
    let (mut before, mut got, mut asked) = (Before::default(), 0.0, 0.0);
    let mut last = 0.0;
    for stage in 0..=LAST {
        // In the last stage come ten outcomes, and the time until news of the way back is everywhere.
        let took = told
            .get(usize::from(stage))
            .map_or(10.0 / rate + 3.5, |told| told.0 as f64 / 1000.0);
        let further = if takes_further_tries(Some(stage)) {
            fails + fails * fails
        } else {
            0.0
        };
        last = rate * took * share(stage, 0.1) * (1.0 + further);
        (got, asked) = (got + last, asked + rate * took);
        let Some(&(stage_ms, trials, failures)) = told.get(usize::from(stage)) else {
            break;
        };
        let view = View {
            stage_ms,
            ramp_ms,
            trials,
            failures,
            asked: (rate * (took - 0.8)) as u32,
            rate,
            before: Some(before),
            ..view(stage, stage_ms)
        };
        assert_eq!(
            conduct(view),
            Next::On(stage + 1),
            "so little is at stake: {view:?}"
        );
        before = view.over();
    }
    assert!(
        last > got / 2.0,
        "the last stage brings most: {last:.0} of {got:.0}"
    );
    (got, 0.1 * asked + 50.0)
}

#[test]
fn further_tries_of_requests_bring_a_bad_version_no_more_than_its_share() {
    let (got, may) = offered_thinly();
    assert!(got <= may, "{got:.0} requests where {may:.0} are allowed");
    let _out = disable(Some(Safeguard::RetriesToBaseline));
    let (got, may) = offered_thinly();
    assert!(
        got > may,
        "the last stage's further tries go to it: {got:.0}, {may:.0} allowed"
    );
}

/// What is at stake is reckoned by the requests that came so far; three times as many may come a second later.
#[test]
fn a_failure_of_few_outcomes_waits_for_more_however_little_seems_at_stake() {
    let told = |trials, failures| View {
        trials,
        failures,
        asked: 20,
        rate: 6.0,
        ramp_ms: 10_000,
        ..view(0, 4_000)
    };
    assert_eq!(conduct(told(1, 0)), Next::On(1));
    assert_eq!(
        conduct(told(1, 1)),
        Next::Stay,
        "all that is known speaks against it"
    );
    assert_eq!(conduct(told(3, 1)), Next::Stay);
    // Nothing told in the next stage, and one failure in the one before.
    let before = Some(told(1, 1).over());
    assert_eq!(
        conduct(View {
            before,
            stage: 1,
            asked: 4,
            ..told(0, 0)
        }),
        Next::Stay
    );
    // Enough outcomes outweigh it.
    assert_eq!(
        conduct(View {
            asked: 400,
            ..told(40, 1)
        }),
        Next::On(1)
    );
    let _out = disable(Some(Safeguard::SmallSampleLowestRate));
    assert_eq!(conduct(told(1, 1)), Next::On(1));
}
