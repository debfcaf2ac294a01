//! Quorum reads, which nodes disseminate with their age: the evidence that the control nodes agree.

use beechcroft_consensus::Revision;
use beechcroft_gossip::{Action, Gossip, Member, MemberState, Message};
use beechcroft_safeguards::{disable, Safeguard};
use std::net::{Ipv4Addr, SocketAddrV4};

const PORT: u16 = 7540;

/// Node 1 is a control node, node 2 a proxy. Each has the other as its seed.
fn node(number: u8) -> Gossip {
    let local = Member {
        name: format!("node-{number}"),
        ip: Ipv4Addr::new(10, 0, 0, number),
        is_control: number == 1,
        is_quorum_member: number == 1,
        region: "north".into(),
        zone: "north-0".into(),
        ingress: None,
        control: None,
        incarnation: 1,
        version: 0,
        state: MemberState::Ready,
    };
    Gossip::new(
        local,
        PORT,
        vec![SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 3 - number), PORT)],
        u64::from(number),
    )
}

/// A message of the control node that carries a quorum read of this moment.
fn message_with_quorum_read(control_node: &mut Gossip, now: u64) -> Message {
    let mut actions = Vec::new();
    control_node.record_quorum_read(now, Revision(0));
    control_node.tick(now, &mut actions);
    let mut messages = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.next().expect("a ping to the seed")
}

/// A proxy receives a quorum read at 1 s and is stalled until 11 s. It then reads a message that was sent at 2 s,
/// before or after its first tick. Returns the time of the quorum read that it holds afterwards.
fn quorum_read_after_stall(tick_first: bool) -> Option<u64> {
    let (mut control_node, mut proxy, mut actions) = (node(1), node(2), Vec::new());
    let from = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), PORT);
    proxy.tick(1000, &mut actions);
    let first = message_with_quorum_read(&mut control_node, 1000);
    proxy.on_message(1010, from, first, &mut actions);
    assert_eq!(proxy.last_quorum_read_at(), Some(1010));
    let delayed = message_with_quorum_read(&mut control_node, 2000);
    if tick_first {
        proxy.tick(11_000, &mut actions);
    }
    proxy.on_message(11_001, from, delayed, &mut actions);
    let held = proxy.last_quorum_read_at();
    // After some time without a stall, the proxy accepts quorum reads again.
    (11_040..12_000)
        .step_by(40)
        .for_each(|now| proxy.tick(now, &mut actions));
    let next = message_with_quorum_read(&mut control_node, 12_000);
    proxy.on_message(12_000, from, next, &mut actions);
    assert_eq!(proxy.last_quorum_read_at(), Some(12_000));
    held
}

#[test]
fn stalled_proxy_ignores_quorum_reads_that_waited_unread() {
    for tick_first in [false, true] {
        assert_eq!(quorum_read_after_stall(tick_first), Some(1010));
        let _disabled = disable(Some(Safeguard::FreshQuorumReads));
        assert_eq!(quorum_read_after_stall(tick_first), Some(11_001));
    }
}
