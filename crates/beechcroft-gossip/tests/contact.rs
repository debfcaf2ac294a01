//! Quorum contact of control nodes under partitions in one or both directions, stalled processes, restarts and lost
//! datagrams.

use beechcroft_gossip::CONTACT_TIMEOUT_MS;
use beechcroft_gossip::{Action, Gossip, Member, MemberState, Message, Quorum};
use beechcroft_safeguards::{disable, Safeguard};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

const TICK_MS: u64 = 40;
/// One-way latency of each link, in milliseconds.
const LATENCY_MS: u64 = 40;

/// Control nodes and the network between them. Time is the test's own.
struct Cluster {
    nodes: Vec<Gossip>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    /// Messages in flight: arrival time, sender, receiver, message.
    in_flight: VecDeque<(u64, usize, usize, Message)>,
    now: u64,
    /// Sender and receiver of each direction in which messages are dropped.
    blocked: Vec<(usize, usize)>,
    /// Nodes whose processes are stalled.
    stalled: Vec<usize>,
    /// Messages lost per thousand.
    loss_per_mille: u64,
    /// State of the random number generator.
    random_state: u64,
    bytes: u64,
}

fn member(index: usize) -> Member {
    Member {
        name: format!("control-{index}"),
        ip: Ipv4Addr::new(10, 0, 0, index as u8 + 1),
        is_control: true,
        is_quorum_member: true,
        region: ["north", "south", "east"][index % 3].into(),
        zone: "z".into(),
        ingress: None,
        control: None,
        incarnation: 1,
        version: 0,
        state: MemberState::Ready,
    }
}

impl Cluster {
    fn new(count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            nodes: Vec::new(),
            by_address: BTreeMap::new(),
            in_flight: VecDeque::new(),
            now: 10_000,
            blocked: Vec::new(),
            stalled: Vec::new(),
            loss_per_mille: 0,
            random_state: seed * 7919 + 1,
            bytes: 0,
        };
        for index in 0..count {
            let mut node = Gossip::new(member(index), 7540, Vec::new(), seed * 31 + index as u64);
            node.restore(cluster.now, (0..count).map(member).collect(), Vec::new());
            let local = node.local().clone();
            cluster.by_address.insert(node.address(&local), index);
            cluster.nodes.push(node);
        }
        cluster
    }

    /// The quorum as seen by one node.
    fn quorum(&self, local: usize) -> Quorum {
        let others = (0..self.nodes.len())
            .filter(|index| *index != local)
            .map(|index| format!("control-{index}"))
            .collect();
        Quorum {
            others,
            required: self.nodes.len() / 2,
            includes_local: true,
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % below
    }

    fn send(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            let Some(&to) = self.by_address.get(&to) else {
                continue;
            };
            self.bytes += postcard::to_stdvec(&message).unwrap().len() as u64;
            let is_lost = self.random(1000) < self.loss_per_mille;
            if !is_lost && !self.blocked.contains(&(from, to)) {
                self.in_flight
                    .push_back((self.now + LATENCY_MS, from, to, message));
            }
        }
    }

    /// Advances the clock. `on_tick` receives the time and whether each node has quorum contact.
    fn advance(&mut self, ms: u64, mut on_tick: impl FnMut(u64, &[bool])) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            let now = self.now;
            let is_due = |message: &(u64, usize, usize, Message), stalled: &[usize]| {
                message.0 <= now && !stalled.contains(&message.2)
            };
            // Messages to a stalled node wait in its socket.
            while let Some(position) = self
                .in_flight
                .iter()
                .position(|message| is_due(message, &self.stalled))
            {
                let (_, from, to, message) = self.in_flight.remove(position).unwrap();
                let mut actions = Vec::new();
                let from = SocketAddrV4::new(self.nodes[from].local().ip, 7540);
                self.nodes[to].on_message(now, from, message, &mut actions);
                self.send(to, actions);
            }
            for index in 0..self.nodes.len() {
                if self.stalled.contains(&index) {
                    continue;
                }
                let (mut actions, quorum) = (Vec::new(), self.quorum(index));
                self.nodes[index].tick(now, &mut actions);
                self.nodes[index].ping_quorum(now, &quorum, &mut actions);
                self.send(index, actions);
            }
            let contact: Vec<bool> = (0..self.nodes.len())
                .map(|index| self.nodes[index].has_quorum_contact(now, &self.quorum(index)))
                .collect();
            on_tick(now, &contact);
        }
    }

    fn has_contact(&self, index: usize) -> bool {
        self.nodes[index].has_quorum_contact(self.now, &self.quorum(index))
    }
}

/// Isolates node 0 in the given directions. Returns how long it keeps contact; `None` if it never loses it.
fn time_to_contact_loss(outbound: bool, inbound: bool) -> Option<u64> {
    let mut cluster = Cluster::new(3, 7);
    cluster.advance(3000, |_, _| ());
    assert!(cluster.has_contact(0));
    for other in 1..3 {
        cluster.blocked.extend(outbound.then_some((0, other)));
        cluster.blocked.extend(inbound.then_some((other, 0)));
    }
    let (blocked_at, mut lost_after) = (cluster.now, None);
    cluster.advance(20_000, |now, contact| {
        assert!(contact[1] && contact[2], "the majority keeps contact");
        match (contact[0], lost_after) {
            (false, None) => lost_after = Some(now - blocked_at),
            (true, Some(ms)) => {
                panic!("contact at {now} while isolated, after it was lost within {ms} ms")
            }
            _ => {}
        }
    });
    if lost_after.is_some() {
        cluster.blocked.clear();
        cluster.advance(600, |_, _| ());
        assert!(
            cluster.has_contact(0),
            "contact is restored within 600 ms of the partition's end"
        );
    }
    lost_after
}

#[test]
fn isolated_node_loses_contact_in_time_whichever_direction_is_blocked() {
    for (outbound, inbound) in [(true, true), (true, false), (false, true)] {
        let lost_after = time_to_contact_loss(outbound, inbound).expect("contact is lost");
        assert!(
            lost_after <= CONTACT_TIMEOUT_MS + 2 * TICK_MS,
            "{lost_after} ms, outbound blocked: {outbound}, inbound blocked: {inbound}"
        );
    }
}

#[test]
fn inbound_messages_alone_are_no_contact() {
    let _disabled = disable(Some(Safeguard::TwoWayContact));
    assert_eq!(
        time_to_contact_loss(true, false),
        None,
        "without the safeguard, inbound messages count as contact"
    );
}

/// Stalls node 0 and isolates it meanwhile. Returns whether the messages that waited in its socket count as contact
/// once it resumes.
fn has_contact_by_messages_from_before_a_stall() -> bool {
    let mut cluster = Cluster::new(3, 3);
    cluster.advance(3000, |_, _| ());
    cluster.stalled = vec![0];
    cluster.advance(400, |_, _| ());
    cluster.blocked = vec![(0, 1), (1, 0), (0, 2), (2, 0)];
    cluster.advance(20_000, |_, _| ());
    cluster.stalled.clear();
    cluster.advance(TICK_MS, |_, _| ());
    cluster.has_contact(0)
}

#[test]
fn stalled_node_has_no_contact_until_a_new_ping_is_answered() {
    assert!(!has_contact_by_messages_from_before_a_stall());
    let _disabled = disable(Some(Safeguard::TwoWayContact));
    assert!(
        has_contact_by_messages_from_before_a_stall(),
        "without the safeguard, messages from before the stall count as contact"
    );
}

#[test]
fn pongs_for_an_earlier_process_are_no_contact() {
    let mut cluster = Cluster::new(3, 5);
    cluster.advance(3000, |_, _| ());
    // The new process starts while pongs for the earlier one are in flight, and receives nothing else.
    let late_messages: Vec<_> = cluster
        .in_flight
        .iter()
        .filter(|message| message.2 == 0)
        .cloned()
        .collect();
    let mut node = Gossip::new(member(0), 7540, Vec::new(), 999);
    node.restore(cluster.now, (0..3).map(member).collect(), Vec::new());
    let (quorum, mut actions) = (cluster.quorum(0), Vec::new());
    node.ping_quorum(cluster.now, &quorum, &mut actions);
    for (_, from, _, message) in late_messages {
        let from = SocketAddrV4::new(cluster.nodes[from].local().ip, 7540);
        node.on_message(cluster.now, from, message, &mut actions);
    }
    assert!(!node.has_quorum_contact(cluster.now, &quorum));
}

#[test]
fn contact_survives_datagram_loss_and_one_node_that_is_down() {
    for (count, seed) in [(3, 1), (3, 2), (5, 3), (5, 4), (18, 5)] {
        let mut cluster = Cluster::new(count, seed);
        cluster.loss_per_mille = 30;
        cluster.advance(2000, |_, _| ());
        // One node is down all the time.
        let down = count - 1;
        cluster.stalled = vec![down];
        cluster.blocked = (0..down).map(|other| (other, down)).collect();
        let mut lost = 0;
        cluster.advance(if count > 5 { 30_000 } else { 300_000 }, |_, contact| {
            lost += contact[..down].iter().filter(|held| !**held).count()
        });
        assert_eq!(lost, 0, "{count} control nodes, seed {seed}");
    }
}

#[test]
fn at_most_one_side_of_a_partition_has_contact() {
    let mut cluster = Cluster::new(5, 11);
    cluster.advance(3000, |_, _| ());
    for (one, two) in [(0, 2), (0, 3), (0, 4), (1, 2), (1, 3), (1, 4)] {
        cluster.blocked.extend([(one, two), (two, one)]);
    }
    cluster.advance(CONTACT_TIMEOUT_MS + 100, |_, _| ());
    cluster.advance(10_000, |_, contact| {
        assert_eq!(contact, [false, false, true, true, true])
    });
}

#[test]
fn quorum_pings_take_little_bandwidth() {
    for (count, limit) in [(3, 400), (5, 800), (18, 3400)] {
        let mut cluster = Cluster::new(count, 1);
        let mut in_flight = Vec::new();
        let mut bytes = 0;
        for tick in 0..500 {
            let now = 10_000 + tick * TICK_MS;
            let due: Vec<(u64, usize, usize, Message)> = std::mem::take(&mut in_flight);
            for index in 0..count {
                let (mut actions, quorum) = (Vec::new(), cluster.quorum(index));
                cluster.nodes[index].ping_quorum(now, &quorum, &mut actions);
                for (_, from, _, message) in due.iter().filter(|message| message.2 == index) {
                    let from = SocketAddrV4::new(cluster.nodes[*from].local().ip, 7540);
                    cluster.nodes[index].on_message(now, from, message.clone(), &mut actions);
                }
                for action in actions {
                    let Action::Send { to, message } = action else {
                        continue;
                    };
                    bytes += postcard::to_stdvec(&message).unwrap().len();
                    in_flight.push((now, index, cluster.by_address[&to], message));
                }
            }
        }
        let bytes_per_s = bytes / count / 20;
        println!("{count} control nodes: {bytes_per_s} bytes/s per node");
        assert!(
            bytes_per_s < limit,
            "{count} control nodes: {bytes_per_s} bytes/s per node, limit {limit}"
        );
    }
}
