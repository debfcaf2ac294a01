//! The sign that the core agrees, which relays pass on with its age.

use beechcroft_consensus::Revision;
use beechcroft_gossip::{Action, Gossip, Member, MemberState, Message};
use beechcroft_safeguards::{disable, Safeguard};
use std::net::{Ipv4Addr, SocketAddrV4};

const PORT: u16 = 7540;

fn node(at: u8) -> Gossip {
    let me = Member {
        name: format!("node-{at}"),
        ip: Ipv4Addr::new(10, 0, 0, at),
        is_control: at == 1,
        is_quorum_member: at == 1,
        region: "north".into(),
        zone: "north-0".into(),
        ingress: None,
        control: None,
        incarnation: 1,
        version: 0,
        state: MemberState::Ready,
    };
    Gossip::new(
        me,
        PORT,
        vec![SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 3 - at), PORT)],
        u64::from(at),
    )
}

/// A letter of the core's machine, which has just shown that it agrees.
fn word(core: &mut Gossip, now: u64) -> Message {
    let mut out = Vec::new();
    core.record_quorum_read(now, Revision(0));
    core.tick(now, &mut out);
    let mut messages = out.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.next().expect("it knocks at its seed")
}

/// A relay hears the core at 1 s, stands still until 11 s and then finds a letter that was sent at 2 s, before or after its
/// first tick.
fn finds_old_word(tick_first: bool) -> Option<u64> {
    let (mut core, mut edge, mut out) = (node(1), node(2), Vec::new());
    let from = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), PORT);
    edge.tick(1000, &mut out);
    let first = word(&mut core, 1000);
    edge.on_message(1010, from, first, &mut out);
    assert_eq!(edge.last_quorum_read_at(), Some(1010));
    let lies = word(&mut core, 2000);
    if tick_first {
        edge.tick(11_000, &mut out);
    }
    edge.on_message(11_001, from, lies, &mut out);
    let found = edge.last_quorum_read_at();
    // Once it goes on as ever, it takes the next one.
    (11_040..12_000)
        .step_by(40)
        .for_each(|now| edge.tick(now, &mut out));
    let next = word(&mut core, 12_000);
    edge.on_message(12_000, from, next, &mut out);
    assert_eq!(edge.last_quorum_read_at(), Some(12_000));
    found
}

#[test]
fn a_relay_that_stood_still_takes_no_word_for_new_that_lay_unread() {
    for tick_first in [false, true] {
        assert_eq!(finds_old_word(tick_first), Some(1010));
        let _out = disable(Some(Safeguard::FreshQuorumReads));
        assert_eq!(finds_old_word(tick_first), Some(11_001));
    }
}
