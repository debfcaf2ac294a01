//! Units that answer for another request, for nobody, twice, late or in part: no answer reaches a caller that is not
//! its own, and nothing that may have run is sent again.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::response_faults::ResponseFault;
use beechcroft_simulator::cluster::scenario::{Event, EventKind};
use beechcroft_simulator::cluster::{simulate, Report, Scenario};
use strum::IntoEnumIterator;

/// A short day on which half of the answers of most units are wrong in one way.
fn day(wrong: ResponseFault, seed: u64) -> Scenario {
    let mut day = Scenario::read("name = \"answers\"").unwrap();
    (day.seed, day.edges, day.units, day.rate, day.seconds) = (seed, 3, 6, 60.0, 8.0);
    for service in ["boards", "ledger", "archive"] {
        let what = EventKind::FaultyResponses {
            service: service.into(),
            count: 4,
            for_s: 6.0,
            part: 0.3,
            fault: wrong,
        };
        day.event.push(Event {
            at: 0.5,
            kind: what,
        });
    }
    day
}

fn rules(report: &Report) -> Vec<&'static str> {
    report
        .verdict
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn whatever_units_answer_each_answer_is_its_callers_and_no_write_runs_twice() {
    let response_faults: Vec<ResponseFault> = ResponseFault::iter().collect();
    for some in response_faults.chunks(2) {
        std::thread::scope(|scope| {
            let plays: Vec<_> = some
                .iter()
                .map(|wrong| (wrong, scope.spawn(|| simulate(&day(*wrong, 1)))))
                .collect();
            for (wrong, played) in plays {
                let report = played.join().expect("a day that ends");
                assert_eq!(report.verdict.violations, [], "{wrong}");
                let verdict = &report.verdict;
                assert!(
                    verdict.served * 100 > verdict.requests * 60,
                    "{wrong}: {verdict:?}"
                );
            }
        });
    }
}

/// Guards that the world can miss: with one out, a wrong of units breaks a rule.
#[test]
fn without_its_guard_each_wrong_reaches_a_caller_or_runs_a_write_twice() {
    for (guard, wrong, rule) in [
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
            disabled_safeguard: Some(guard),
            ..day(wrong, 1)
        });
        assert!(
            rules(&report).contains(&rule),
            "{guard} and {wrong}: {:?}",
            rules(&report)
        );
    }
}
