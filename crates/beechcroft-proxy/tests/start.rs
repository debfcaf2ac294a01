//! What a relay may begin with when the first machine that it reaches is cut off.

use beechcroft_proxy::start::Start;
use beechcroft_safeguards::{disable, Safeguard};

#[test]
fn copies_that_no_majority_confirms_are_not_gone_by() {
    let mut start = Start::default();
    assert_eq!(start.asks(100), Some(0));
    assert!(!start.may_begin(110, [3, 1]), "from whoever answered first");
    assert_eq!(start.asks(200), None, "the first hut has some time");
    assert_eq!(start.asks(400), Some(1), "then the next one is asked too");
    start.confirmed([4, 1]);
    assert!(!start.may_begin(450, [3, 1]), "a newer one holds");
    assert!(start.may_begin(500, [4, 1]));
    assert_eq!(start.asks(900), None);
}

#[test]
fn without_the_guard_a_relay_begins_with_what_a_machine_that_is_cut_off_hands_out() {
    let mut start = Start::default();
    assert!(!start.may_begin(100, [3, 1]));
    let _out = disable(Some(Safeguard::ConfirmedStart));
    assert!(start.may_begin(100, [3, 1]));
}

#[test]
fn with_most_of_the_core_lost_a_relay_begins_with_the_newest_copy_in_time() {
    let mut start = Start::default();
    let begins = (0..200).map(|nth| 100 + nth * 50).find(|&now| {
        start.asks(now);
        start.may_begin(now, if now < 1000 { [0, 0] } else { [3, 1] })
    });
    assert_eq!(begins, Some(5000), "four seconds after it has copies");
}

#[test]
fn a_relay_that_knows_of_a_newer_configuration_waits_for_it() {
    let mut start = Start::default();
    start.may_begin(100, [3, 1]);
    start.confirmed([4, 1]);
    assert!(!start.may_begin(60_000, [3, 1]));
    // A late, older answer takes nothing back.
    start.confirmed([3, 1]);
    assert!(!start.may_begin(60_100, [3, 1]));
    assert!(start.may_begin(60_200, [5, 2]));
}
