//! The scenarios that stand in `examples/days`: each is sound, names what goes wrong, and breaks no rule.

use beechcroft_simulator::cluster::{simulate, Scenario};

fn days() -> Vec<Scenario> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/days");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let read = |file: &std::path::PathBuf| {
        Scenario::read(&std::fs::read_to_string(file).unwrap())
            .map_err(|said| format!("{file:?}: {said}"))
    };
    files.iter().map(|file| read(file).unwrap()).collect()
}

#[test]
fn every_day_is_named_for_what_goes_wrong_and_no_rule_breaks_on_it() {
    let days = days();
    assert!(days.len() >= 30, "{}", days.len());
    assert!(days.iter().all(|day| day.description.len() > 10));
    let names: std::collections::BTreeSet<&str> =
        days.iter().map(|day| day.name.as_str()).collect();
    assert_eq!(names.len(), days.len());
    // Large ones are for the lab.
    let small: Vec<Scenario> = days.into_iter().filter(|day| day.edges <= 30).collect();
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    for some in small.chunks(threads) {
        std::thread::scope(|scope| {
            let plays: Vec<_> = some
                .iter()
                .map(|day| (day, scope.spawn(|| simulate(day))))
                .collect();
            for (day, played) in plays {
                let report = played.join().expect("a day that ends");
                assert_eq!(report.verdict.violations, [], "{}", day.name);
                assert_eq!(
                    report.unacknowledged,
                    [] as [String; 0],
                    "{}: orders",
                    day.name
                );
                let verdict = &report.verdict;
                assert!(
                    verdict.served * 100 > verdict.requests * 90,
                    "{}: {verdict:?}",
                    day.name
                );
            }
        });
    }
}
