//! Scenarios that break a rule for a fault that is known and not mended yet. `KNOWN-RED.txt` names each test of this file;
//! a scenario moves to `examples/days` with the change that mends it.

use beechcroft_simulator::cluster::{simulate, Scenario};

#[test]
fn units_that_turn_cold_again_get_no_more_than_they_bear() {
    let text = include_str!("../../../examples/known-red/units-turn-cold-again.toml");
    let report = simulate(&Scenario::read(text).unwrap());
    assert_eq!(report.verdict.violations, []);
}
