//! The checker finds every broken part, and finds nothing in the sound system.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::scenario::Mutant;
use beechcroft_simulator::cluster::{simulate, Scenario};
use strum::IntoEnumIterator;

fn everything() -> Scenario {
    let text = include_str!("../../../examples/days/everything.toml");
    Scenario::read(text).expect("a sound scenario")
}

/// The rule that a broken part breaks.
fn rule(mutant: Mutant) -> &'static str {
    match mutant {
        Mutant::TruncatedBodies => "MIXED",
        Mutant::AlteredPaths => "UNASKED",
        Mutant::DuplicateWrites => "TWICE",
        Mutant::FalseNotExecuted => "REFUSED",
        Mutant::RejectsValidRequests => "DENIED",
        Mutant::NoGossip => "DRAIN",
        Mutant::AbruptShutdown | Mutant::FalseSync => "LOST",
        Mutant::ExcessiveRetries => "BUDGET",
        Mutant::UncontrolledCanary => "EXPOSURE",
        Mutant::IgnoresWarmup => "FAILBACK",
        Mutant::IgnoresHomeRegions => "HOME",
        Mutant::IgnoresEvacuation => "EVAC",
        Mutant::ConfigRollback | Mutant::AcceptsConflicts => "CONFIG",
        Mutant::NoRecovery => "RECOVER",
        Mutant::IgnoresTargetUnit => "ROUTE",
        Mutant::RejectsRepeats => "CONFIG",
        Mutant::UnresponsiveControl => "Acks",
        Mutant::TaskPanic | Mutant::UnexpectedExit => "Fault",
    }
}

#[test]
fn every_broken_part_is_found_and_the_sound_system_breaks_no_rule() {
    let mut missed = Vec::new();
    let sound = simulate(&everything());
    assert_eq!(
        sound.verdict.violations,
        [],
        "{:?}",
        sound.verdict.violations
    );
    std::thread::scope(|scope| {
        let plays: Vec<_> = Mutant::iter()
            .map(|mutant| {
                // Without datagrams no control node is in contact, and none would acknowledge a drain that edges never hear of.
                let without =
                    (mutant == Mutant::NoGossip).then_some(Safeguard::QuorumContactToServe);
                let mut scenario = Scenario {
                    mutant: Some(mutant),
                    disabled_safeguard: without,
                    ..everything()
                };
                // One machine stops once: requests must be under way there at that moment, whatever the seed.
                scenario.rate *= if mutant == Mutant::AbruptShutdown {
                    4.0
                } else {
                    1.0
                };
                (mutant, scope.spawn(move || simulate(&scenario)))
            })
            .collect();
        for (mutant, played) in plays {
            let violations = played.join().expect("a day that ends").verdict.violations;
            let rules: Vec<&str> = violations.iter().map(|violation| violation.rule).collect();
            if !rules.contains(&rule(mutant)) {
                missed.push(format!(
                    "{mutant}: {} is not found among {rules:?}",
                    rule(mutant)
                ));
            }
        }
    });
    assert!(missed.is_empty(), "{}", missed.join("\n"));
}

#[test]
fn where_no_letters_come_no_drain_is_acknowledged() {
    let report = simulate(&Scenario {
        mutant: Some(Mutant::NoGossip),
        ..everything()
    });
    let rules: Vec<&str> = report
        .verdict
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect();
    assert!(!rules.contains(&"DRAIN"), "{rules:?}");
    assert!(
        rules.contains(&"CONFIG"),
        "edges that hear nothing of a change go by the old one: {rules:?}"
    );
    let since = 7000 + 2700; // datagrams stop; contact lapses
    let left = report
        .history
        .units
        .values()
        .filter_map(|life| life.drain_acked)
        .filter(|at| *at > since);
    assert_eq!(left.count(), 0);
}

#[test]
fn one_seed_plays_the_same_day_to_the_byte() {
    let mut scenario = everything();
    scenario.seconds = 20.0;
    let (one, two) = (simulate(&scenario), simulate(&scenario));
    assert_eq!(one.counts, two.counts);
    assert!(one == two, "the same wires, try by try");
}

#[test]
fn faults_of_a_scenario_are_named_by_key_and_line() {
    let said = |text: &str| Scenario::read(text).unwrap_err();
    assert!(said("name = \"a\"\nedgs = 3\n").contains("line 2"));
    assert!(said("name = \"a\"\nedgs = 3\n").contains("edgs"));
    assert!(said("name = \"a\"\nedges = 0\n").contains("edges"));
    assert!(
        said("name = \"a\"\n[[event]]\nat = 1.0\nwhat.kill = { no = \"edge\" }\n")
            .contains("line 4")
    );
    assert!(said(
        "name = \"a\"\n[[event]]\nat = 1.0\nwhat.cold = { service = \"b\", count = 1 }\n"
    )
    .contains("`b`"));
    assert!(said("name = \"a\"\n[[event]]\nat = 1.0\nwhat = \"rase\"\n").contains("rase"));
    assert!(said("name = \"a\nedges").contains("line"));
}

#[test]
fn nothing_is_sent_on_connections_to_a_unit_that_came_back_as_another() {
    let scenario = Scenario::read(include_str!("../../../examples/days/units-dark.toml")).unwrap();
    let report = simulate(&scenario);
    let back = 8000 + 7000; // ms: traffic begins after 8 s, power returns 7 s later
    let unclear = report.history.attempts.values().filter(|asked| {
        let status = asked.answer.as_ref().and_then(|answer| answer.status);
        !asked.is_idempotent
            && asked.at >= back
            && status.is_some_and(|status| status == 502 || status == 504)
    });
    assert_eq!(
        unclear.count(),
        0,
        "writes that end unclear after the units are back"
    );
    assert_eq!(report.verdict.violations, []);
}
