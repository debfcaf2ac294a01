//! Startup of a proxy whose first values may come from a partitioned node: it must not serve with values older than those
//! that a majority had acknowledged, and it must not wait forever.

use beechcroft_consensus::{PerRegister, Revision};
use beechcroft_proxy::startup::Startup;
use beechcroft_safeguards::{disable, Safeguard};

fn revisions(config: u64, operations: u64) -> PerRegister<Revision> {
    PerRegister([Revision(config), Revision(operations)])
}

#[test]
fn unconfirmed_values_are_not_served() {
    let mut startup = Startup::default();
    assert_eq!(startup.next_request(100), Some(0));
    assert!(
        !startup.may_serve(110, revisions(3, 1)),
        "no majority has confirmed the values"
    );
    assert_eq!(
        startup.next_request(200),
        None,
        "the first control node may still respond"
    );
    assert_eq!(
        startup.next_request(400),
        Some(1),
        "then the next one is asked too"
    );
    startup.on_confirmed(revisions(4, 1));
    assert!(
        !startup.may_serve(450, revisions(3, 1)),
        "a newer configuration is confirmed"
    );
    assert!(startup.may_serve(500, revisions(4, 1)));
    assert_eq!(startup.next_request(900), None);
}

#[test]
fn without_the_safeguard_a_proxy_serves_with_values_of_a_partitioned_node() {
    let mut startup = Startup::default();
    assert!(!startup.may_serve(100, revisions(3, 1)));
    let _disabled = disable(Some(Safeguard::ConfirmedStart));
    assert!(startup.may_serve(100, revisions(3, 1)));
}

#[test]
fn without_a_majority_a_proxy_serves_with_the_newest_values_after_a_timeout() {
    let mut startup = Startup::default();
    let served_at = (0..200).map(|tick| 100 + tick * 50).find(|&now| {
        startup.next_request(now);
        startup.may_serve(
            now,
            if now < 1000 {
                revisions(0, 0)
            } else {
                revisions(3, 1)
            },
        )
    });
    assert_eq!(
        served_at,
        Some(5000),
        "four seconds after the proxy has values"
    );
}

#[test]
fn proxy_that_knows_of_a_newer_configuration_waits_for_it() {
    let mut startup = Startup::default();
    startup.may_serve(100, revisions(3, 1));
    startup.on_confirmed(revisions(4, 1));
    assert!(!startup.may_serve(60_000, revisions(3, 1)));
    // A late response with older revisions does not lower the confirmed ones.
    startup.on_confirmed(revisions(3, 1));
    assert!(!startup.may_serve(60_100, revisions(3, 1)));
    assert!(startup.may_serve(60_200, revisions(5, 2)));
}
