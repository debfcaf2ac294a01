//! Traffic that a faulty version of a low-traffic service receives over all stages of its rollout.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::{simulate, Scenario};

/// The example scenario under another seed. With this seed every health report up to the last stage favors the faulty
/// version, so only the routing of retries to the baseline version keeps it within its traffic share.
fn low_traffic_rollout() -> Scenario {
    let example = include_str!("../../../examples/days/rollout-bad-of-a-thin-service.toml");
    Scenario {
        seed: 7063,
        ..Scenario::read(example).unwrap()
    }
}

#[test]
fn retries_to_the_baseline_keep_a_faulty_version_within_its_exposure() {
    let report = simulate(&low_traffic_rollout());
    assert_eq!(report.verdict.violations, []);
}

#[test]
fn without_retries_to_the_baseline_a_faulty_version_exceeds_its_exposure() {
    let scenario = Scenario {
        disabled_safeguard: Some(Safeguard::RetriesToBaseline),
        ..low_traffic_rollout()
    };
    let violations = simulate(&scenario).verdict.violations;
    assert!(
        violations
            .iter()
            .any(|violation| violation.rule == "EXPOSURE"),
        "{violations:?}"
    );
}
