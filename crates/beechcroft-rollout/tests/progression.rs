//! How the core takes a rollout on, and what makes it wait.

use beechcroft_rollout::progression::{
    canary_takes_retries, decide, outlier_endpoint_evidence, stage_share, Decision, EarlierStages,
    StageEvidence, StageView, LAST_STAGE,
};
use beechcroft_rollout::TrialCount;
use beechcroft_safeguards::{disable, Safeguard};
use std::collections::BTreeMap;

fn view(stage: u8, stage_ms: u64) -> StageView {
    StageView {
        stage,
        stage_ms,
        ramp_ms: 15_000,
        trials: 100,
        requests: 1000,
        baseline_failure_rate: 0.01,
        canary_slots: 60,
        baseline_slots: 60,
        request_rate: 100.0,
        earlier_stages: Some(EarlierStages::default()),
        canary_share: 0.1,
        canary_margin: 50.0,
        ..StageView::default()
    }
}

#[test]
fn a_rollout_that_nothing_speaks_against_ends_within_its_ramp() {
    let (mut now, mut stage, mut began) = (0, 0, 0);
    loop {
        now += 200;
        match decide(view(stage, now - began)) {
            Decision::Hold => {}
            Decision::Advance(next) => (stage, began) = (next, now),
            Decision::Complete => break,
            Decision::Revert => panic!("nothing speaks against it"),
        }
        assert!(now < 15_000, "stage {stage}");
    }
    assert!(now < 11_000, "it leaves time for rounds of ballots: {now}");
}

#[test]
fn it_waits_on_an_alarm_on_failures_and_for_units_that_can_bear_the_next_share() {
    for stage in 0..LAST_STAGE {
        assert_ne!(decide(view(stage, 9_000)), Decision::Hold);
        assert_eq!(
            decide(StageView {
                is_alarmed: true,
                ..view(stage, 9_000)
            }),
            Decision::Hold
        );
        assert_eq!(
            decide(StageView {
                trials: 26,
                failures: 12,
                ..view(stage, 9_000)
            }),
            Decision::Hold
        );
        assert_eq!(
            decide(StageView {
                canary_slots: 4,
                ..view(stage, 9_000)
            }),
            Decision::Hold
        );
    }
    assert_eq!(
        decide(StageView {
            trials: 0,
            ..view(0, 9_000)
        }),
        Decision::Hold,
        "nothing was tried"
    );
}

#[test]
fn a_stage_that_nobody_has_told_of_does_not_go_on_and_little_traffic_may() {
    let few = |trials, asked, stage, stage_ms| {
        let rate = f64::from(asked) * 1000.0 / stage_ms as f64;
        decide(StageView {
            trials,
            requests: asked,
            request_rate: rate,
            ..view(stage, stage_ms)
        })
    };
    // 400 requests a second, of which nothing is told yet: stage 1 stays, then goes on.
    assert_eq!(few(0, 0, 1, 1_600), Decision::Hold);
    assert_ne!(few(60, 640, 1, 1_600), Decision::Hold);
    // Few outcomes, but so few requests that a bad version gets less than the margin.
    assert_ne!(few(6, 60, 0, 6_000), Decision::Hold);
    let doubt = StageView {
        trials: 6,
        failures: 2,
        baseline_failure_rate: 0.015,
        requests: 60,
        request_rate: 10.0,
        ..view(0, 6_000)
    };
    assert_eq!(decide(doubt), Decision::Hold);
    assert_eq!(
        few(20, 160, 1, 1_600),
        Decision::Hold,
        "100 a second are too many to guess"
    );
    // Nothing told at all: hardly anybody asks for it.
    assert_ne!(few(0, 0, 1, 4_600), Decision::Hold);
}

#[test]
fn the_last_stage_waits_for_open_requests_but_not_for_ever() {
    assert_eq!(
        decide(StageView {
            baseline_in_flight: 3,
            ..view(LAST_STAGE, 1_500)
        }),
        Decision::Hold
    );
    assert_eq!(decide(view(LAST_STAGE, 1_500)), Decision::Complete);
    assert_eq!(
        decide(StageView {
            baseline_in_flight: 3,
            ..view(LAST_STAGE, 2_500)
        }),
        Decision::Complete
    );
    assert_eq!(
        decide(StageView {
            trials: 3,
            ..view(LAST_STAGE, 2_500)
        }),
        Decision::Hold,
        "old units stop at once after it"
    );
    assert_eq!(
        decide(StageView {
            trials: 3,
            ..view(LAST_STAGE, 5_000)
        }),
        Decision::Complete
    );
}

/// A service of 13 requests a second, whose new version fails 0.62 of what it gets, as the world's day has it: endpoints of
/// the earlier version were ill, and its rate of failures as it is known is 0.066.
fn exposed(good: f64) -> (f64, f64) {
    let (rate, ramp_ms) = (13.0, 10_000_u64);
    let (mut before, mut stage, mut since, mut got) = (EarlierStages::default(), 0, 0, 0.0);
    for now in (0..ramp_ms).step_by(200) {
        // The sum over all proxies votes back on 9.21 nats and ten outcomes; 2.5 s later nothing arrives.
        let ms = now - since;
        // A sign is up to a second old.
        let asked = rate * ms.saturating_sub(800) as f64 / 1000.0;
        let trials = asked * stage_share(stage, 0.1);
        let view = StageView {
            stage,
            stage_ms: ms,
            ramp_ms,
            trials: trials as u32,
            failures: (trials * 0.62) as u32,
            requests: asked as u32,
            request_rate: rate,
            baseline_failure_rate: good,
            canary_slots: 36,
            baseline_slots: 36,
            earlier_stages: Some(before),
            canary_share: 0.1,
            canary_margin: 50.0,
            ..StageView::default()
        };
        got += rate * stage_share(stage, 0.1) * 0.2;
        if let Decision::Advance(next) = decide(view) {
            (before, stage, since) = (view.totals(), next, now);
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
        decide(StageView {
            baseline_failure_rate: 0.5,
            trials: 100,
            failures: 50,
            ..view(0, 9_000)
        }),
        Decision::Hold
    );
    let _out = disable(Some(Safeguard::HealthyBaseline));
    assert_ne!(
        decide(StageView {
            baseline_failure_rate: 0.5,
            trials: 100,
            failures: 50,
            ..view(0, 9_000)
        }),
        Decision::Hold
    );
}

#[test]
fn few_outcomes_are_judged_by_the_lowest_rate() {
    let thin = StageView {
        trials: 4,
        failures: 2,
        requests: 53,
        request_rate: 13.0,
        baseline_failure_rate: 0.066,
        ..view(0, 6_000)
    };
    assert_eq!(decide(thin), Decision::Hold);
    let _out = disable(Some(Safeguard::SmallSampleLowestRate));
    assert_ne!(
        decide(thin),
        Decision::Hold,
        "two failures of four look bearable"
    );
}

#[test]
fn evidence_against_a_version_outlives_the_stage_that_brought_it() {
    let first = StageView {
        trials: 40,
        failures: 4,
        baseline_failure_rate: 0.04,
        ..view(0, 9_000)
    };
    let next = StageView {
        trials: 40,
        failures: 4,
        baseline_failure_rate: 0.04,
        earlier_stages: Some(first.totals()),
        ..view(1, 3_000)
    };
    assert_ne!(decide(first), Decision::Hold);
    assert_eq!(decide(next), Decision::Hold);
    let _out = disable(Some(Safeguard::EvidenceOfAllStages));
    assert_ne!(decide(next), Decision::Hold);
    drop(_out);
    // And what spoke for it does not outweigh what comes later.
    let fine = StageView {
        trials: 400,
        ..view(0, 9_000)
    };
    let bad = StageView {
        trials: 30,
        failures: 6,
        earlier_stages: Some(fine.totals()),
        ..view(1, 3_000)
    };
    assert_eq!(decide(bad), Decision::Hold);
}

#[test]
fn what_a_version_got_in_earlier_stages_counts_to_what_it_may_get() {
    let before = EarlierStages {
        evidence: StageEvidence::default(),
        requests: 120.0,
        canary_requests: 40.0,
        peak_rate: 13.0,
        duration_ms: 4_000,
    };
    let thin = StageView {
        trials: 5,
        requests: 15,
        request_rate: 13.0,
        earlier_stages: Some(before),
        ..view(1, 2_000)
    };
    assert_eq!(decide(thin), Decision::Hold);
    assert_eq!(
        decide(StageView {
            earlier_stages: None,
            ..thin
        }),
        Decision::Hold,
        "nobody knows what it got"
    );
    let _out = disable(Some(Safeguard::ExposureOfAllStages));
    assert_ne!(decide(thin), Decision::Hold);
}

#[test]
fn a_trial_has_the_share_that_the_deployment_allows_and_never_more() {
    for allowed in [0.02, 0.05, 0.1] {
        assert!(stage_share(0, allowed) <= allowed);
    }
    assert!((stage_share(LAST_STAGE, 0.1) - 1.0).abs() < 1e-9);
}

#[test]
fn a_few_ill_units_keep_no_good_version_from_its_end_and_a_bad_version_is_no_few_units() {
    let units = |fails: fn(u16) -> u32| -> BTreeMap<u16, TrialCount> {
        (0..12)
            .map(|unit| {
                (
                    unit,
                    TrialCount {
                        trials: 10,
                        failures: fails(unit),
                    },
                )
            })
            .collect()
    };
    let ends = |units: &BTreeMap<u16, TrialCount>| {
        let failures = units.values().map(|count| count.failures).sum();
        let of_few = outlier_endpoint_evidence(units, 0.03);
        decide(StageView {
            trials: 120,
            failures,
            baseline_failure_rate: 0.03,
            outlier_endpoint_nats: of_few,
            ..view(LAST_STAGE, 3_000)
        })
    };
    let crashed = units(|unit| if unit < 3 { 6 } else { 0 });
    assert_eq!(ends(&crashed), Decision::Complete);
    assert_eq!(
        ends(&units(|_| 2)),
        Decision::Hold,
        "a fifth fails on all units"
    );
    let _out = disable(Some(Safeguard::UnhealthyEndpointsExcused));
    assert_eq!(ends(&crashed), Decision::Hold);
}

#[test]
fn a_rollout_still_in_doubt_when_its_time_is_over_goes_back() {
    // Six outcomes of a service that is hardly asked: too few for any vote.
    let thin = StageView {
        trials: 6,
        failures: 3,
        requests: 60,
        request_rate: 4.0,
        baseline_failure_rate: 0.015,
        ..view(0, 10_000)
    };
    assert_eq!(
        decide(thin),
        Decision::Hold,
        "two steps and the last stage still fit"
    );
    let late = StageView {
        stage_ms: 11_000,
        ..thin
    };
    assert_eq!(decide(late), Decision::Revert);
    assert_ne!(
        decide(StageView {
            failures: 0,
            ..late
        }),
        Decision::Revert,
        "nothing speaks against it"
    );
    let _out = disable(Some(Safeguard::RevertWhenInDoubt));
    assert_eq!(
        decide(late),
        Decision::Hold,
        "without the guard it stays for ever"
    );
}

/// A service of 8.4 requests a second whose new version fails 0.64, and whose few outcomes happen to look bearable: what
/// the version is offered until it is back, where each request may be offered three times.
fn offered_thinly() -> (f64, f64) {
    let (rate, fails, ramp_ms) = (8.4, 0.64_f64, 10_000);
    let told = [(4_200_u64, 3, 0), (1_400, 2, 0), (1_000, 1, 0)];
    let (mut before, mut got, mut asked) = (EarlierStages::default(), 0.0, 0.0);
    let mut last = 0.0;
    for stage in 0..=LAST_STAGE {
        // In the last stage come ten outcomes, and the time until news of the way back is everywhere.
        let took = told
            .get(usize::from(stage))
            .map_or(10.0 / rate + 3.5, |told| told.0 as f64 / 1000.0);
        let further = if canary_takes_retries(Some(stage)) {
            fails + fails * fails
        } else {
            0.0
        };
        last = rate * took * stage_share(stage, 0.1) * (1.0 + further);
        (got, asked) = (got + last, asked + rate * took);
        let Some(&(stage_ms, trials, failures)) = told.get(usize::from(stage)) else {
            break;
        };
        let view = StageView {
            stage_ms,
            ramp_ms,
            trials,
            failures,
            requests: (rate * (took - 0.8)) as u32,
            request_rate: rate,
            earlier_stages: Some(before),
            ..view(stage, stage_ms)
        };
        assert_eq!(
            decide(view),
            Decision::Advance(stage + 1),
            "so little is at stake: {view:?}"
        );
        before = view.totals();
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
    let told = |trials, failures| StageView {
        trials,
        failures,
        requests: 20,
        request_rate: 6.0,
        ramp_ms: 10_000,
        ..view(0, 4_000)
    };
    assert_eq!(decide(told(1, 0)), Decision::Advance(1));
    assert_eq!(
        decide(told(1, 1)),
        Decision::Hold,
        "all that is known speaks against it"
    );
    assert_eq!(decide(told(3, 1)), Decision::Hold);
    // Nothing told in the next stage, and one failure in the one before.
    let before = Some(told(1, 1).totals());
    assert_eq!(
        decide(StageView {
            earlier_stages: before,
            stage: 1,
            requests: 4,
            ..told(0, 0)
        }),
        Decision::Hold
    );
    // Enough outcomes outweigh it.
    assert_eq!(
        decide(StageView {
            requests: 400,
            ..told(40, 1)
        }),
        Decision::Advance(1)
    );
    let _out = disable(Some(Safeguard::SmallSampleLowestRate));
    assert_eq!(decide(told(1, 1)), Decision::Advance(1));
}
