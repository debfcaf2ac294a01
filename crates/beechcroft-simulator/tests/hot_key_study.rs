//! Client-visible consistency of a hot key while endpoints crash, regions are partitioned and versions are rolled out.

use beechcroft_simulator::hot_key_study::*;

#[test]
fn simulation_is_deterministic_for_a_seed() {
    let study = HotKeyStudy::new(9, 0.3, Mode::Spread, InjectedFault::Crash, 5);
    let (first, second) = (simulate(study), simulate(study));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn writes_execute_exactly_once_under_every_injected_fault() {
    for fault in INJECTED_FAULTS {
        let outcome = simulate(HotKeyStudy::new(9, 0.5, Mode::Spread, fault, 3));
        assert_eq!(
            (outcome.duplicate_writes, outcome.lost_writes),
            (0, 0),
            "{fault:?}"
        );
        assert!(
            outcome.acked_writes > 150,
            "{fault:?}: {}",
            outcome.acked_writes
        );
        assert_eq!(
            (outcome.stale_reads, outcome.regressed_reads),
            (0, 0),
            "{fault:?}: (stale reads, reads that regressed)"
        );
    }
}
