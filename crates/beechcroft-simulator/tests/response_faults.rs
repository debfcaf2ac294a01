//! Endpoints whose responses belong to another request or carry no identity, or come twice, late or truncated. No response
//! may reach another request's caller, and no request that may have executed may be retried.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::response_faults::ResponseFault;
use beechcroft_simulator::cluster::scenario::{Event, EventKind};
use beechcroft_simulator::cluster::{simulate, Report, Scenario};
use strum::IntoEnumIterator;

/// A short scenario in which four endpoints of each service give faulty responses of one kind to 30% of their requests.
fn faulty_scenario(fault: ResponseFault, seed: u64) -> Scenario {
    let mut scenario = Scenario::read("name = \"answers\"").unwrap();
    (
        scenario.seed,
        scenario.edges,
        scenario.units,
        scenario.rate,
        scenario.seconds,
    ) = (seed, 3, 6, 60.0, 8.0);
    for service in ["boards", "ledger", "archive"] {
        let kind = EventKind::FaultyResponses {
            service: service.into(),
            count: 4,
            for_s: 6.0,
            part: 0.3,
            fault,
        };
        scenario.event.push(Event { at: 0.5, kind });
    }
    scenario
}

fn violated_rules(report: &Report) -> Vec<&'static str> {
    report
        .verdict
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn faulty_responses_reach_no_other_caller_and_repeat_no_write() {
    let response_faults: Vec<ResponseFault> = ResponseFault::iter().collect();
    for batch in response_faults.chunks(2) {
        std::thread::scope(|scope| {
            let runs: Vec<_> = batch
                .iter()
                .map(|fault| (fault, scope.spawn(|| simulate(&faulty_scenario(*fault, 1)))))
                .collect();
            for (fault, run) in runs {
                let report = run.join().expect("simulation thread does not panic");
                assert_eq!(report.verdict.violations, [], "{fault}");
                let verdict = &report.verdict;
                assert!(
                    verdict.served * 100 > verdict.requests * 60,
                    "{fault}: {verdict:?}"
                );
            }
        });
    }
}

/// Safeguards whose absence the simulator detects: with one disabled, a response fault violates a rule.
#[test]
fn without_its_safeguard_each_response_fault_violates_a_rule() {
    for (safeguard, fault, rule) in [
        (
            Safeguard::UnidentifiedResponses,
            ResponseFault::UnidentifiedRejection,
            "TWICE",
        ),
        (
            Safeguard::UnidentifiedResponses,
            ResponseFault::LateUnidentifiedRejection,
            "TWICE",
        ),
        (
            Safeguard::UnidentifiedResponses,
            ResponseFault::UnidentifiedMisdirected,
            "TWICE",
        ),
        (
            Safeguard::UnidentifiedResponses,
            ResponseFault::UnidentifiedFailure,
            "MIXED",
        ),
        (
            Safeguard::ForeignResponses,
            ResponseFault::ForeignRejection,
            "TWICE",
        ),
        (
            Safeguard::ForeignResponses,
            ResponseFault::ForeignSuccess,
            "MIXED",
        ),
        (
            Safeguard::MaybeExecuted,
            ResponseFault::ClosedDuringResponse,
            "TWICE",
        ),
    ] {
        let report = simulate(&Scenario {
            disabled_safeguard: Some(safeguard),
            ..faulty_scenario(fault, 1)
        });
        assert!(
            violated_rules(&report).contains(&rule),
            "{safeguard} and {fault}: {:?}",
            violated_rules(&report)
        );
    }
}
