//! How a rollout advances through its stages, and what holds or reverts it.

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
fn a_rollout_without_failures_completes_within_its_ramp() {
    let (mut now, mut stage, mut stage_start) = (0, 0, 0);
    loop {
        now += 200;
        match decide(view(stage, now - stage_start)) {
            Decision::Hold => {}
            Decision::Advance(next) => (stage, stage_start) = (next, now),
            Decision::Complete => break,
            Decision::Revert => panic!("there were no failures"),
        }
        assert!(now < 15_000, "stage {stage}");
    }
    assert!(now < 11_000, "no time left for consensus rounds: {now}");
}

#[test]
fn a_rollout_holds_on_alarms_on_failures_and_on_missing_capacity() {
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
        "there are no canary outcomes"
    );
}

#[test]
fn an_unreported_stage_holds_and_a_low_traffic_service_advances() {
    let decide_for = |trials, requests, stage, stage_ms| {
        let rate = f64::from(requests) * 1000.0 / stage_ms as f64;
        decide(StageView {
            trials,
            requests,
            request_rate: rate,
            ..view(stage, stage_ms)
        })
    };
    // 400 requests per second: stage 1 holds until the first reports arrive, then advances.
    assert_eq!(decide_for(0, 0, 1, 1_600), Decision::Hold);
    assert_ne!(decide_for(60, 640, 1, 1_600), Decision::Hold);
    // Few outcomes, but so few requests that a bad version would receive less than the margin.
    assert_ne!(decide_for(6, 60, 0, 6_000), Decision::Hold);
    let in_doubt = StageView {
        trials: 6,
        failures: 2,
        baseline_failure_rate: 0.015,
        requests: 60,
        request_rate: 10.0,
        ..view(0, 6_000)
    };
    assert_eq!(decide(in_doubt), Decision::Hold);
    assert_eq!(
        decide_for(20, 160, 1, 1_600),
        Decision::Hold,
        "100 requests per second are too many to advance on few outcomes"
    );
    // No reports at all for three stage durations: the service has hardly any traffic.
    assert_ne!(decide_for(0, 0, 1, 4_600), Decision::Hold);
}

#[test]
fn the_last_stage_waits_for_requests_in_flight_for_a_limited_time() {
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
        "the base endpoints stop right after the last stage"
    );
    assert_eq!(
        decide(StageView {
            trials: 3,
            ..view(LAST_STAGE, 5_000)
        }),
        Decision::Complete
    );
}

/// Simulates a service with 13 requests per second whose new version fails 0.62 of its requests, while the base version
/// has the given failure rate. Returns the requests that the new version receives, and the limit. In the scenario
/// that this reproduces, endpoints of the base version were unhealthy and its measured failure rate was 0.066.
fn canary_exposure(baseline_failure_rate: f64) -> (f64, f64) {
    let (rate, ramp_ms) = (13.0, 10_000_u64);
    let (mut earlier, mut stage, mut stage_start, mut received) =
        (EarlierStages::default(), 0, 0, 0.0);
    for now in (0..ramp_ms).step_by(200) {
        // The combined evidence of all proxies causes a rollback at 9.21 nats and ten outcomes; 2.5 s later no request
        // reaches the new version.
        let stage_ms = now - stage_start;
        // Reports are up to a second old.
        let requests = rate * stage_ms.saturating_sub(800) as f64 / 1000.0;
        let trials = requests * stage_share(stage, 0.1);
        let view = StageView {
            stage,
            stage_ms,
            ramp_ms,
            trials: trials as u32,
            failures: (trials * 0.62) as u32,
            requests: requests as u32,
            request_rate: rate,
            baseline_failure_rate,
            canary_slots: 36,
            baseline_slots: 36,
            earlier_stages: Some(earlier),
            canary_share: 0.1,
            canary_margin: 50.0,
            ..StageView::default()
        };
        received += rate * stage_share(stage, 0.1) * 0.2;
        if let Decision::Advance(next) = decide(view) {
            (earlier, stage, stage_start) = (view.totals(), next, now);
        }
    }
    (received, 0.1 * rate * ramp_ms as f64 / 1000.0 + 50.0)
}

#[test]
fn a_rate_learned_while_units_are_ill_takes_no_bad_version_through_its_stages() {
    let (received, allowed) = canary_exposure(0.066);
    assert!(
        received <= allowed,
        "{received:.0} requests where {allowed:.0} are allowed"
    );
    // With an unhealthy base version, the two cannot be told apart, and the rollout holds.
    let (received, allowed) = canary_exposure(0.5);
    assert!(
        received <= allowed,
        "{received:.0} requests where {allowed:.0} are allowed"
    );
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
    let few_outcomes = StageView {
        trials: 4,
        failures: 2,
        requests: 53,
        request_rate: 13.0,
        baseline_failure_rate: 0.066,
        ..view(0, 6_000)
    };
    assert_eq!(decide(few_outcomes), Decision::Hold);
    let _out = disable(Some(Safeguard::SmallSampleLowestRate));
    assert_ne!(
        decide(few_outcomes),
        Decision::Hold,
        "two failures among four outcomes are not enough evidence"
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
    // Earlier successes do not outweigh later failures.
    let good = StageView {
        trials: 400,
        ..view(0, 9_000)
    };
    let bad = StageView {
        trials: 30,
        failures: 6,
        earlier_stages: Some(good.totals()),
        ..view(1, 3_000)
    };
    assert_eq!(decide(bad), Decision::Hold);
}

#[test]
fn what_a_version_got_in_earlier_stages_counts_to_what_it_may_get() {
    let earlier = EarlierStages {
        evidence: StageEvidence::default(),
        requests: 120.0,
        canary_requests: 40.0,
        peak_rate: 13.0,
        duration_ms: 4_000,
    };
    let few_outcomes = StageView {
        trials: 5,
        requests: 15,
        request_rate: 13.0,
        earlier_stages: Some(earlier),
        ..view(1, 2_000)
    };
    assert_eq!(decide(few_outcomes), Decision::Hold);
    assert_eq!(
        decide(StageView {
            earlier_stages: None,
            ..few_outcomes
        }),
        Decision::Hold,
        "the requests in earlier stages are unknown"
    );
    let _out = disable(Some(Safeguard::ExposureOfAllStages));
    assert_ne!(decide(few_outcomes), Decision::Hold);
}

#[test]
fn the_canary_stage_never_exceeds_the_configured_share() {
    for canary_share in [0.02, 0.05, 0.1] {
        assert!(stage_share(0, canary_share) <= canary_share);
    }
    assert!((stage_share(LAST_STAGE, 0.1) - 1.0).abs() < 1e-9);
}

#[test]
fn a_few_unhealthy_endpoints_do_not_hold_a_rollout_but_failures_at_all_endpoints_do() {
    let endpoints = |failures: fn(u16) -> u32| -> BTreeMap<u16, TrialCount> {
        (0..12)
            .map(|endpoint| {
                (
                    endpoint,
                    TrialCount {
                        trials: 10,
                        failures: failures(endpoint),
                    },
                )
            })
            .collect()
    };
    let decide_last_stage = |endpoints: &BTreeMap<u16, TrialCount>| {
        let failures = endpoints.values().map(|count| count.failures).sum();
        let outlier_endpoint_nats = outlier_endpoint_evidence(endpoints, 0.03);
        decide(StageView {
            trials: 120,
            failures,
            baseline_failure_rate: 0.03,
            outlier_endpoint_nats,
            ..view(LAST_STAGE, 3_000)
        })
    };
    let crashed = endpoints(|endpoint| if endpoint < 3 { 6 } else { 0 });
    assert_eq!(decide_last_stage(&crashed), Decision::Complete);
    assert_eq!(
        decide_last_stage(&endpoints(|_| 2)),
        Decision::Hold,
        "a fifth of the requests fails at every endpoint"
    );
    let _out = disable(Some(Safeguard::UnhealthyEndpointsExcused));
    assert_eq!(decide_last_stage(&crashed), Decision::Hold);
}

#[test]
fn a_rollout_still_in_doubt_when_its_time_is_over_goes_back() {
    // Six outcomes of a low-traffic service are too few for a vote.
    let few_outcomes = StageView {
        trials: 6,
        failures: 3,
        requests: 60,
        request_rate: 4.0,
        baseline_failure_rate: 0.015,
        ..view(0, 10_000)
    };
    assert_eq!(
        decide(few_outcomes),
        Decision::Hold,
        "two stages and the last one still fit into the ramp"
    );
    let overdue = StageView {
        stage_ms: 11_000,
        ..few_outcomes
    };
    assert_eq!(decide(overdue), Decision::Revert);
    assert_ne!(
        decide(StageView {
            failures: 0,
            ..overdue
        }),
        Decision::Revert,
        "there is no evidence against it"
    );
    let _out = disable(Some(Safeguard::RevertWhenInDoubt));
    assert_eq!(
        decide(overdue),
        Decision::Hold,
        "without the safeguard it holds indefinitely"
    );
}

/// Simulates a service with 8.4 requests per second whose new version fails 0.64 of its requests. Its few reported
/// outcomes contain no failure. Each request may be attempted three times. Returns the requests that the new version
/// receives until it is rolled back, and the limit.
fn exposure_with_few_outcomes() -> (f64, f64) {
    let (rate, failure_rate, ramp_ms) = (8.4, 0.64_f64, 10_000);
    let reported = [(4_200_u64, 3, 0), (1_400, 2, 0), (1_000, 1, 0)];
    let (mut earlier, mut received, mut requests) = (EarlierStages::default(), 0.0, 0.0);
    let mut last_received = 0.0;
    for stage in 0..=LAST_STAGE {
        // The last stage lasts for ten outcomes, and until the rollback has reached every proxy.
        let duration_s = reported
            .get(usize::from(stage))
            .map_or(10.0 / rate + 3.5, |stage| stage.0 as f64 / 1000.0);
        let retries = if canary_takes_retries(Some(stage)) {
            failure_rate + failure_rate * failure_rate
        } else {
            0.0
        };
        last_received = rate * duration_s * stage_share(stage, 0.1) * (1.0 + retries);
        (received, requests) = (received + last_received, requests + rate * duration_s);
        let Some(&(stage_ms, trials, failures)) = reported.get(usize::from(stage)) else {
            break;
        };
        let view = StageView {
            stage_ms,
            ramp_ms,
            trials,
            failures,
            requests: (rate * (duration_s - 0.8)) as u32,
            request_rate: rate,
            earlier_stages: Some(earlier),
            ..view(stage, stage_ms)
        };
        assert_eq!(
            decide(view),
            Decision::Advance(stage + 1),
            "the exposure is low: {view:?}"
        );
        earlier = view.totals();
    }
    assert!(
        last_received > received / 2.0,
        "the last stage has most of the requests: {last_received:.0} of {received:.0}"
    );
    (received, 0.1 * requests + 50.0)
}

#[test]
fn retries_do_not_raise_the_requests_to_a_bad_version_above_the_limit() {
    let (received, allowed) = exposure_with_few_outcomes();
    assert!(
        received <= allowed,
        "{received:.0} requests where {allowed:.0} are allowed"
    );
    let _out = disable(Some(Safeguard::RetriesToBaseline));
    let (received, allowed) = exposure_with_few_outcomes();
    assert!(
        received > allowed,
        "the retries of the last stage go to it: {received:.0}, {allowed:.0} allowed"
    );
}

/// The exposure is estimated from the request rate so far, which may triple a second later.
#[test]
fn a_failure_among_few_outcomes_holds_the_rollout_even_at_low_exposure() {
    let low_traffic = |trials, failures| StageView {
        trials,
        failures,
        requests: 20,
        request_rate: 6.0,
        ramp_ms: 10_000,
        ..view(0, 4_000)
    };
    assert_eq!(decide(low_traffic(1, 0)), Decision::Advance(1));
    assert_eq!(
        decide(low_traffic(1, 1)),
        Decision::Hold,
        "the only outcome is evidence against it"
    );
    assert_eq!(decide(low_traffic(3, 1)), Decision::Hold);
    // No outcomes in this stage, and one failure in the stage before.
    let earlier_stages = Some(low_traffic(1, 1).totals());
    assert_eq!(
        decide(StageView {
            earlier_stages,
            stage: 1,
            requests: 4,
            ..low_traffic(0, 0)
        }),
        Decision::Hold
    );
    // Enough successes outweigh one failure.
    assert_eq!(
        decide(StageView {
            requests: 400,
            ..low_traffic(40, 1)
        }),
        Decision::Advance(1)
    );
    let _out = disable(Some(Safeguard::SmallSampleLowestRate));
    assert_eq!(decide(low_traffic(1, 1)), Decision::Advance(1));
}
