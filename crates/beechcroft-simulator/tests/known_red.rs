//! Scenarios that violate a rule because of a known defect that is not fixed yet. `KNOWN-RED.txt` lists each test of this
//! file. The change that fixes a defect also moves its scenario to `examples/days`.

use beechcroft_simulator::cluster::{simulate, Scenario};

#[test]
fn units_that_turn_cold_again_get_no_more_than_they_bear() {
    let text = include_str!("../../../examples/known-red/units-turn-cold-again.toml");
    let day = Scenario::read(text).unwrap();
    // The day as it was drawn, and with other seeds, as the violation depends on when heartbeats are sent.
    for seed in [day.seed, 2, 10, 12] {
        let report = simulate(&Scenario {
            seed,
            ..day.clone()
        });
        assert_eq!(report.verdict.violations, [], "seed {seed}");
    }
}
