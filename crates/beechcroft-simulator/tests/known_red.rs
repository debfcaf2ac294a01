//! Scenarios that violate a rule because of a known defect that is not fixed yet. `KNOWN-RED.txt` lists each test of this
//! file. The change that fixes a defect also moves its scenario to `examples/days`.

use beechcroft_simulator::cluster::{simulate, Scenario};

#[test]
fn units_that_turn_cold_again_get_no_more_than_they_bear() {
    let text = include_str!("../../../examples/known-red/units-turn-cold-again.toml");
    let report = simulate(&Scenario::read(text).unwrap());
    assert_eq!(report.verdict.violations, []);
}
