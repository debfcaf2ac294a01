//! A key that becomes hot while units crash, regions are cut off and versions are rolled out: what its clients see.

use beechcroft_simulator::hot_key_study::*;

#[test]
fn one_seed_gives_the_same_night() {
    let study = HotKeyStudy::new(9, 0.3, Mode::Spread, InjectedFault::Crash, 5);
    let (one, two) = (simulate(study), simulate(study));
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
}

#[test]
fn a_write_lands_once_whatever_happens_to_the_set() {
    for trouble in INJECTED_FAULTS {
        let seen = simulate(HotKeyStudy::new(9, 0.5, Mode::Spread, trouble, 3));
        assert_eq!(
            (seen.duplicate_writes, seen.lost_writes),
            (0, 0),
            "{trouble:?}"
        );
        assert!(
            seen.acked_writes > 150,
            "{trouble:?}: {}",
            seen.acked_writes
        );
        assert_eq!(
            (seen.stale_reads, seen.regressed_reads),
            (0, 0),
            "{trouble:?}: older than what was seen"
        );
    }
}
