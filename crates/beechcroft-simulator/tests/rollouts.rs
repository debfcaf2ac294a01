//! What a bad version of a service that is hardly asked gets, over all its stages.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::{simulate, Scenario};

/// The kept day with other draws: on these all that is told up to the last stage speaks for the version, and nothing but
/// where further tries go keeps it within its share.
fn thin() -> Scenario {
    let day = include_str!("../../../examples/days/rollout-bad-of-a-thin-service.toml");
    Scenario {
        seed: 7063,
        ..Scenario::read(day).unwrap()
    }
}

#[test]
fn with_further_tries_at_the_earlier_version_a_bad_one_gets_what_it_may() {
    let report = simulate(&thin());
    assert_eq!(report.verdict.violations, []);
}

#[test]
fn with_further_tries_in_the_last_stage_a_bad_version_gets_more_than_it_may() {
    let day = Scenario {
        disabled_safeguard: Some(Safeguard::RetriesToBaseline),
        ..thin()
    };
    let violations = simulate(&day).verdict.violations;
    assert!(
        violations
            .iter()
            .any(|violation| violation.rule == "EXPOSURE"),
        "{violations:?}"
    );
}
