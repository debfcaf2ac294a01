//! Units that answer for another request, for nobody, twice, late or in part: no answer reaches a caller that is not
//! its own, and nothing that may have run is sent again.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::whole::scenario::{Event, What};
use beechcroft_simulator::whole::wrongs::Wrong;
use beechcroft_simulator::whole::{play, Report, Scenario};
use strum::IntoEnumIterator;

/// A short day on which half of the answers of most units are wrong in one way.
fn day(wrong: Wrong, seed: u64) -> Scenario {
    let mut day = Scenario::read("name = \"answers\"").unwrap();
    (day.seed, day.edges, day.units, day.rate, day.seconds) = (seed, 3, 6, 60.0, 8.0);
    for service in ["boards", "ledger", "archive"] {
        let what = What::Answers {
            service: service.into(),
            count: 4,
            for_s: 6.0,
            part: 0.3,
            wrong,
        };
        day.event.push(Event { at: 0.5, what });
    }
    day
}

fn rules(report: &Report) -> Vec<&'static str> {
    report
        .verdict
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn whatever_units_answer_each_answer_is_its_callers_and_no_write_runs_twice() {
    let wrongs: Vec<Wrong> = Wrong::iter().collect();
    for some in wrongs.chunks(2) {
        std::thread::scope(|scope| {
            let plays: Vec<_> = some
                .iter()
                .map(|wrong| (wrong, scope.spawn(|| play(&day(*wrong, 1)))))
                .collect();
            for (wrong, played) in plays {
                let report = played.join().expect("a day that ends");
                assert_eq!(report.verdict.breaches, [], "{wrong}");
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
            Wrong::NamelessRefusal,
            "TWICE",
        ),
        (
            Safeguard::UnidentifiedResponses,
            Wrong::LateNamelessRefusal,
            "TWICE",
        ),
        (
            Safeguard::UnidentifiedResponses,
            Wrong::NamelessElsewhere,
            "TWICE",
        ),
        (
            Safeguard::UnidentifiedResponses,
            Wrong::NamelessFailure,
            "MIXED",
        ),
        (Safeguard::ForeignResponses, Wrong::StrangeRefusal, "TWICE"),
        (Safeguard::ForeignResponses, Wrong::StrangeSuccess, "MIXED"),
        (Safeguard::MaybeExecuted, Wrong::CutAnswer, "TWICE"),
    ] {
        let report = play(&Scenario {
            without: Some(guard),
            ..day(wrong, 1)
        });
        assert!(
            rules(&report).contains(&rule),
            "{guard} and {wrong}: {:?}",
            rules(&report)
        );
    }
}
