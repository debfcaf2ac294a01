//! The scenarios in `examples/days`: each is valid, describes its fault, and runs without a rule violation.

use beechcroft_simulator::cluster::{simulate, Scenario};

fn example_scenarios() -> Vec<Scenario> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/days");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let read = |file: &std::path::PathBuf| {
        Scenario::read(&std::fs::read_to_string(file).unwrap())
            .map_err(|error| format!("{file:?}: {error}"))
    };
    files.iter().map(|file| read(file).unwrap()).collect()
}

#[test]
fn every_example_scenario_is_described_and_violates_no_rule() {
    let scenarios = example_scenarios();
    assert!(scenarios.len() >= 30, "{}", scenarios.len());
    assert!(scenarios
        .iter()
        .all(|scenario| scenario.description.len() > 10));
    let names: std::collections::BTreeSet<&str> = scenarios
        .iter()
        .map(|scenario| scenario.name.as_str())
        .collect();
    assert_eq!(names.len(), scenarios.len());
    // Scenarios with more than 30 proxies are left to the lab.
    let small: Vec<Scenario> = scenarios
        .into_iter()
        .filter(|scenario| scenario.edges <= 30)
        .collect();
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    for batch in small.chunks(threads) {
        std::thread::scope(|scope| {
            let runs: Vec<_> = batch
                .iter()
                .map(|scenario| (scenario, scope.spawn(|| simulate(scenario))))
                .collect();
            for (scenario, run) in runs {
                let report = run.join().expect("simulation thread does not panic");
                assert_eq!(report.verdict.violations, [], "{}", scenario.name);
                assert_eq!(
                    report.unacknowledged,
                    [] as [String; 0],
                    "{}: unacknowledged operations",
                    scenario.name
                );
                let verdict = &report.verdict;
                assert!(
                    verdict.served * 100 > verdict.requests * 90,
                    "{}: {verdict:?}",
                    scenario.name
                );
            }
        });
    }
}
