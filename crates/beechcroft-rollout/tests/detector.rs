//! Detection of bad versions, at one proxy and at a fleet of proxies that exchange reports.

use beechcroft_rollout::{CanaryDetector, DetectorStatus, PeerReport, RequestOutcome};
use beechcroft_safeguards::{disable, Safeguard};
use std::time::Duration;

const ENDPOINTS: u16 = 16;

fn outcome(canary_endpoint: Option<u16>, is_failure: bool, latency_ms: u64) -> RequestOutcome {
    RequestOutcome {
        canary_endpoint,
        route: 0,
        is_failure,
        latency: Duration::from_millis(latency_ms),
        had_free_slot: true,
        is_first_attempt: true,
        is_warming_up: false,
        lost_to_hedge: false,
    }
}

/// A fleet of proxies that report to each other every tenth tick.
struct Fleet {
    detectors: Vec<CanaryDetector>,
    reports: Vec<PeerReport>,
    random_state: u64,
    canary_latency_ms: u64,
}

impl Fleet {
    fn new(proxies: usize) -> Fleet {
        let mut fleet = Fleet {
            detectors: Vec::new(),
            reports: vec![PeerReport::default(); proxies],
            random_state: 7,
            canary_latency_ms: 70,
        };
        for _ in 0..proxies {
            let mut detector = CanaryDetector::default();
            (0..200).for_each(|n| detector.record(outcome(None, n % 100 == 0, 60 + n % 40)));
            detector.set_stage(1, 0);
            fleet.detectors.push(detector);
        }
        fleet
    }

    fn draw(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 40) as f64 / (1u64 << 24) as f64
    }

    /// The number of ticks until a proxy votes to roll back, at most `max_ticks`. `outcomes_per_tick` are the canary
    /// outcomes of each proxy, `failure_rate` is the failure rate of an endpoint.
    fn ticks_until_rollback(
        &mut self,
        max_ticks: u32,
        outcomes_per_tick: f64,
        failure_rate: impl Fn(u16) -> f64,
    ) -> Option<u32> {
        for tick in 0..max_ticks {
            for index in 0..self.detectors.len() {
                if self.draw() < outcomes_per_tick {
                    let endpoint = (self.draw() * f64::from(ENDPOINTS)) as u16;
                    let is_failure = self.draw() < failure_rate(endpoint);
                    self.detectors[index].record(outcome(
                        Some(endpoint),
                        is_failure,
                        self.canary_latency_ms,
                    ));
                }
                let peers: Vec<PeerReport> = (0..self.reports.len())
                    .filter(|&peer| peer != index)
                    .map(|peer| self.reports[peer].clone())
                    .collect();
                let status = self.detectors[index].tick(&peers).unwrap();
                if status.wants_rollback {
                    return Some(tick);
                }
                if tick % 10 == index as u32 % 10 {
                    let DetectorStatus {
                        is_alarmed,
                        divergence,
                        count,
                        endpoints,
                        baseline_latencies,
                        ..
                    } = status;
                    self.reports[index] = PeerReport {
                        is_alarmed,
                        divergence,
                        count,
                        endpoints,
                        baseline_latencies,
                    };
                }
            }
        }
        None
    }
}

#[test]
fn a_bad_version_is_rolled_back_by_many_proxies_and_by_few() {
    for (proxies, outcomes_per_tick) in [(9, 0.5), (90, 0.05), (1, 0.8), (8, 0.06)] {
        let ticks = Fleet::new(proxies).ticks_until_rollback(300, outcomes_per_tick, |_| 0.45);
        assert!(
            ticks.is_some_and(|ticks| ticks < 150),
            "{proxies} proxies: {ticks:?}"
        );
    }
}

#[test]
fn a_good_version_is_not_rolled_back_by_any_number_of_proxies() {
    for proxies in [1, 9, 90] {
        assert_eq!(
            Fleet::new(proxies).ticks_until_rollback(300, 0.5, |_| 0.01),
            None,
            "{proxies} proxies"
        );
    }
}

#[test]
fn a_few_crashing_endpoints_do_not_cause_a_rollback() {
    for proxies in [1, 9, 90] {
        let rollback = Fleet::new(proxies).ticks_until_rollback(300, 0.5, |endpoint| {
            if endpoint < 4 {
                1.0
            } else {
                0.01
            }
        });
        assert_eq!(rollback, None, "{proxies} proxies");
    }
}

#[test]
fn responses_much_slower_than_the_base_versions_count_as_failures() {
    let mut detector = CanaryDetector::default();
    (0..200).for_each(|n| detector.record(outcome(None, false, 60 + n % 40)));
    detector.set_stage(1, 0);
    let mut wants_rollback = false;
    for n in 0..200u64 {
        let latency_ms = if n % 2 == 0 { 600 } else { 70 };
        detector.record(outcome(Some((n % 16) as u16), false, latency_ms));
        wants_rollback |= detector.tick(&[]).unwrap().wants_rollback;
    }
    assert!(wants_rollback);
}

#[test]
fn queueing_delay_is_attributed_to_load_and_not_to_the_version() {
    let mut detector = CanaryDetector::default();
    (0..200).for_each(|n| detector.record(outcome(None, false, 60 + n % 40)));
    detector.set_stage(1, 3);
    for n in 0..400u64 {
        let queued = RequestOutcome {
            had_free_slot: false,
            ..outcome(
                Some((n % 16) as u16),
                false,
                if n % 6 == 0 { 220 } else { 90 },
            )
        };
        detector.record(queued);
        assert!(!detector.tick(&[]).unwrap().wants_rollback, "after {n}");
    }
}

/// Three requests fail at every endpoint, with three attempts each; all other requests succeed. Returns whether that
/// causes a rollback.
fn requests_failing_everywhere_cause_rollback() -> bool {
    let mut detector = CanaryDetector::default();
    (0..400).for_each(|n| detector.record(outcome(None, n % 100 == 0, 60 + n % 40)));
    detector.set_stage(1, 3);
    let mut wants_rollback = false;
    for n in 0..48u16 {
        detector.record(outcome(Some(n % ENDPOINTS), false, 70));
        wants_rollback |= detector.tick(&[]).unwrap().wants_rollback;
    }
    for attempt in 0..9u16 {
        detector.record(RequestOutcome {
            is_first_attempt: attempt % 3 == 0,
            ..outcome(Some(attempt), true, 70)
        });
        wants_rollback |= detector.tick(&[]).unwrap().wants_rollback;
    }
    wants_rollback
}

#[test]
fn a_request_that_fails_at_every_endpoint_counts_once() {
    assert!(!requests_failing_everywhere_cause_rollback());
    let _out = disable(Some(Safeguard::FirstAttemptsOnly));
    assert!(
        requests_failing_everywhere_cause_rollback(),
        "without the safeguard they cause a rollback"
    );
}

#[test]
fn a_cancelled_hedged_attempt_is_no_evidence_against_the_version() {
    let run = || {
        let mut detector = CanaryDetector::default();
        (0..400).for_each(|n| detector.record(outcome(None, n % 100 == 0, 60 + n % 40)));
        detector.set_stage(1, 3);
        (0..200u16).any(|n| {
            detector.record(outcome(Some(n % ENDPOINTS), false, 70));
            // One request in eight is slow and is answered just after its hedged attempt is sent.
            if n % 8 == 0 {
                detector.record(RequestOutcome {
                    is_first_attempt: false,
                    ..outcome(Some((n / 8 + 5) % ENDPOINTS), true, 2)
                });
            }
            detector.tick(&[]).unwrap().wants_rollback
        })
    };
    assert!(!run());
    let _out = disable(Some(Safeguard::FirstAttemptsOnly));
    assert!(run(), "without the safeguard a good version is rolled back");
}

#[test]
fn a_slow_version_of_a_low_traffic_service_is_rolled_back_by_the_shared_threshold() {
    // Nine proxies with ten responses of the base version each: a threshold of their own would need thirty.
    let run = |latency_ms: u64| {
        let mut fleet = Fleet::new(9);
        for detector in &mut fleet.detectors {
            *detector = CanaryDetector::default();
            (0..10).for_each(|n| detector.record(outcome(None, false, 60 + n * 4)));
            detector.set_stage(1, 0);
        }
        fleet.canary_latency_ms = latency_ms;
        fleet.ticks_until_rollback(300, 0.04, |_| 0.0)
    };
    assert!(run(420).is_some_and(|ticks| ticks < 200), "{:?}", run(420));
    assert_eq!(run(70), None, "an equally fast version is not rolled back");
    assert_eq!(
        run(140),
        None,
        "latencies 1.5 times as high are within the differences between routes"
    );
    let _out = disable(Some(Safeguard::SharedSlowThreshold));
    assert_eq!(
        run(420),
        None,
        "without the safeguard no proxy has a threshold"
    );
}

#[test]
fn latency_during_slow_start_does_not_cause_a_rollback_but_errors_do() {
    let run = |is_failure: bool, latency_ms: u64| {
        let mut detector = CanaryDetector::default();
        (0..200).for_each(|n| detector.record(outcome(None, false, 60 + n % 40)));
        detector.set_stage(1, 0);
        (0..60u16).any(|n| {
            let lost_to_hedge = !is_failure && n % 5 == 0;
            let attempt = outcome(Some(n % ENDPOINTS), is_failure || lost_to_hedge, latency_ms);
            detector.record(RequestOutcome {
                is_warming_up: true,
                lost_to_hedge,
                ..attempt
            });
            detector.tick(&[]).unwrap().wants_rollback
        })
    };
    assert!(!run(false, 260));
    assert!(
        run(true, 70),
        "errors count against the version even during slow start"
    );
    let _out = disable(Some(Safeguard::SlowStartExcused));
    assert!(
        run(false, 260),
        "without the safeguard a good version is rolled back"
    );
}
