//! A key that becomes hot while units crash, regions are cut off and versions are rolled out: what its clients see.

use beechcroft_simulator::hot_key_study::*;

#[test]
fn one_seed_gives_the_same_night() {
    let study = HotKeyStudy::new(9, 0.3, Mode::Spread, Trouble::Crash, 5);
    let (one, two) = (play(study), play(study));
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
}

#[test]
fn a_write_lands_once_whatever_happens_to_the_set() {
    for trouble in TROUBLES {
        let seen = play(HotKeyStudy::new(9, 0.5, Mode::Spread, trouble, 3));
        assert_eq!((seen.writes_twice, seen.writes_lost), (0, 0), "{trouble:?}");
        assert!(
            seen.writes_acked > 150,
            "{trouble:?}: {}",
            seen.writes_acked
        );
        assert_eq!(
            (seen.stale, seen.back),
            (0, 0),
            "{trouble:?}: older than what was seen"
        );
    }
}
