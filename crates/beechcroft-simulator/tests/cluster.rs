//! The checker detects every mutant and reports no violation for the unmodified system.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::scenario::Mutant;
use beechcroft_simulator::cluster::{simulate, Scenario};
use strum::IntoEnumIterator;

fn everything_scenario() -> Scenario {
    let text = include_str!("../../../examples/days/everything.toml");
    Scenario::read(text).expect("valid scenario")
}

/// The rule that a mutant is expected to violate.
fn expected_rule(mutant: Mutant) -> &'static str {
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
fn every_mutant_is_detected_and_the_unmodified_system_violates_no_rule() {
    let mut missed = Vec::new();
    let unmodified = simulate(&everything_scenario());
    assert_eq!(
        unmodified.verdict.violations,
        [],
        "{:?}",
        unmodified.verdict.violations
    );
    std::thread::scope(|scope| {
        let runs: Vec<_> = Mutant::iter()
            .map(|mutant| {
                // Without gossip no control node has quorum contact, so none would acknowledge the drain that proxies miss.
                let disabled_safeguard =
                    (mutant == Mutant::NoGossip).then_some(Safeguard::QuorumContactToServe);
                let mut scenario = Scenario {
                    mutant: Some(mutant),
                    disabled_safeguard,
                    ..everything_scenario()
                };
                // Only one machine stops, and only once: a higher rate ensures in-flight requests there under any seed.
                scenario.rate *= if mutant == Mutant::AbruptShutdown {
                    4.0
                } else {
                    1.0
                };
                (mutant, scope.spawn(move || simulate(&scenario)))
            })
            .collect();
        for (mutant, run) in runs {
            let violations = run
                .join()
                .expect("simulation thread does not panic")
                .verdict
                .violations;
            let rules: Vec<&str> = violations.iter().map(|violation| violation.rule).collect();
            if !rules.contains(&expected_rule(mutant)) {
                missed.push(format!(
                    "{mutant}: {} is not among the violated rules {rules:?}",
                    expected_rule(mutant)
                ));
            }
        }
    });
    assert!(missed.is_empty(), "{}", missed.join("\n"));
}

#[test]
fn no_drain_is_acknowledged_without_gossip() {
    let report = simulate(&Scenario {
        mutant: Some(Mutant::NoGossip),
        ..everything_scenario()
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
        "proxies that miss a change keep serving the old configuration: {rules:?}"
    );
    let contact_lost = 7000 + 2700; // ms: gossip stops at 7000, quorum contact lapses 2700 later
    let late_drains = report
        .history
        .units
        .values()
        .filter_map(|life| life.drain_acked)
        .filter(|at| *at > contact_lost);
    assert_eq!(late_drains.count(), 0);
}

#[test]
fn simulation_is_deterministic_for_a_seed() {
    let mut scenario = everything_scenario();
    scenario.seconds = 20.0;
    let (first, second) = (simulate(&scenario), simulate(&scenario));
    assert_eq!(first.counts, second.counts);
    assert!(first == second, "reports differ for the same seed");
}

#[test]
fn scenario_errors_name_the_key_and_line() {
    let error = |text: &str| Scenario::read(text).unwrap_err();
    assert!(error("name = \"a\"\nedgs = 3\n").contains("line 2"));
    assert!(error("name = \"a\"\nedgs = 3\n").contains("edgs"));
    assert!(error("name = \"a\"\nedges = 0\n").contains("edges"));
    assert!(
        error("name = \"a\"\n[[event]]\nat = 1.0\nwhat.kill = { no = \"edge\" }\n")
            .contains("line 4")
    );
    assert!(error(
        "name = \"a\"\n[[event]]\nat = 1.0\nwhat.cold = { service = \"b\", count = 1 }\n"
    )
    .contains("`b`"));
    assert!(error("name = \"a\"\n[[event]]\nat = 1.0\nwhat = \"rase\"\n").contains("rase"));
    assert!(error("name = \"a\nedges").contains("line"));
}

#[test]
fn connections_to_the_former_process_of_an_endpoint_are_not_reused() {
    let scenario = Scenario::read(include_str!("../../../examples/days/units-dark.toml")).unwrap();
    let report = simulate(&scenario);
    let restored = 8000 + 7000; // ms: traffic begins after 8 s, power returns 7 s later
    let ambiguous = report.history.attempts.values().filter(|attempt| {
        let status = attempt.answer.as_ref().and_then(|answer| answer.status);
        !attempt.is_idempotent
            && attempt.at >= restored
            && status.is_some_and(|status| status == 502 || status == 504)
    });
    assert_eq!(
        ambiguous.count(),
        0,
        "ambiguous writes after the endpoints are back"
    );
    assert_eq!(report.verdict.violations, []);
}
