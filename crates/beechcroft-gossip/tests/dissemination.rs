//! Dissemination among nodes in one process, over links that delay and lose datagrams, with nodes that are isolated,
//! restarted and added. Time is the test's own; a failing test prints its seed.

use beechcroft_gossip::{Action, Gossip, Member, MemberState, Message};
use beechcroft_registry::{EndpointRecord, EndpointState};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

const PORT: u16 = 7540;
const TICK_MS: u64 = 40;

/// A message in flight: arrival time (reversed, so that the earliest is on top of the heap), receiver, sender, and the
/// key in `Network::messages`.
type InFlight = (std::cmp::Reverse<u64>, usize, usize, Vec<u8>);

struct Network {
    nodes: Vec<Gossip>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    in_flight: BinaryHeap<InFlight>,
    messages: BTreeMap<u64, Message>,
    /// Key of the latest message.
    last_key: u64,
    now: u64,
    /// State of the random number generator.
    random_state: u64,
    /// Messages lost per thousand.
    loss_per_mille: u64,
    /// Whether each node is isolated: it neither receives nor sends anything.
    isolated: Vec<bool>,
    sent: u64,
    bytes: u64,
}

/// The names are part of the fixture: rendezvous hashing assigns watchers by them.
fn member(index: usize, incarnation: u64) -> Member {
    let region = ["north", "south", "east"][index % 3];
    Member {
        name: format!("relay-{index}"),
        ip: Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8 + 1),
        is_control: index < 3,
        is_quorum_member: index < 3,
        region: region.into(),
        zone: format!("{region}-{}", index % 2),
        ingress: None,
        control: None,
        incarnation,
        version: 0,
        state: MemberState::Ready,
    }
}

fn record(unit: usize, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{unit:08x}"),
        service: format!("service-{}", unit % 3),
        version: "v1".into(),
        zone: "north-0".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, unit as u8), 8080),
        capacity: 6,
        state,
        sequence,
        warmup_left_ms: 0,
        age_ms: 0,
    }
}

impl Network {
    fn new(nodes: usize, seed: u64) -> Network {
        let mut network = Network {
            nodes: Vec::new(),
            by_address: BTreeMap::new(),
            in_flight: BinaryHeap::new(),
            messages: BTreeMap::new(),
            last_key: 0,
            now: 10_000,
            random_state: seed * 7919 + 1,
            loss_per_mille: 20,
            isolated: Vec::new(),
            sent: 0,
            bytes: 0,
        };
        (0..nodes).for_each(|_| network.add_node());
        network
    }

    fn add_node(&mut self) {
        let index = self.nodes.len();
        self.nodes.push(self.new_node(index));
        self.isolated.push(false);
        let local = self.nodes[index].local().clone();
        let address = self.nodes[index].address(&local);
        self.by_address.insert(address, index);
    }

    /// A new process of a node, which knows only the seeds.
    fn new_node(&self, index: usize) -> Gossip {
        let seeds = (0..3)
            .map(|seed| SocketAddrV4::new(member(seed, 0).ip, 8544))
            .collect();
        Gossip::new(
            member(index, self.now),
            PORT,
            seeds,
            self.random_state ^ index as u64,
        )
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
            let size = postcard::to_stdvec(&message).unwrap().len() as u64;
            assert!(size < 1450, "a datagram of {size} bytes");
            (self.sent, self.bytes) = (self.sent + 1, self.bytes + size);
            let Some(&to) = self.by_address.get(&to) else {
                continue;
            };
            let crosses_regions = self.nodes[to].local().region != self.nodes[from].local().region;
            let delay = if crosses_regions {
                20 + self.random(5)
            } else {
                1
            };
            if self.random(1000) < self.loss_per_mille || self.isolated[from] || self.isolated[to] {
                continue;
            }
            self.last_key += 1;
            self.messages.insert(self.last_key, message);
            let in_flight = (
                std::cmp::Reverse(self.now + delay),
                to,
                from,
                self.last_key.to_le_bytes().to_vec(),
            );
            self.in_flight.push(in_flight);
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        while self
            .in_flight
            .peek()
            .is_some_and(|message| message.0 .0 <= self.now)
        {
            let (_, to, from, key) = self.in_flight.pop().unwrap();
            let message = self
                .messages
                .remove(&u64::from_le_bytes(key.try_into().unwrap()))
                .unwrap();
            if self.isolated[to] {
                continue;
            }
            let sender = self.nodes[from].local().clone();
            let address = self.nodes[from].address(&sender);
            let mut actions = Vec::new();
            self.nodes[to].on_message(self.now, address, message, &mut actions);
            self.send(to, actions);
        }
        for index in 0..self.nodes.len() {
            let mut actions = Vec::new();
            self.nodes[index].tick(self.now, &mut actions);
            self.send(index, actions);
        }
    }

    fn run(&mut self, ms: u64) {
        (0..ms / TICK_MS).for_each(|_| self.tick());
    }

    /// Runs until a condition holds on all nodes that are not isolated, and panics if that takes longer than
    /// `limit_ms`. Returns how long it took, in milliseconds.
    fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Gossip) -> bool) -> u64 {
        let began = self.now;
        while (0..self.nodes.len()).any(|index| !self.isolated[index] && !holds(&self.nodes[index]))
        {
            assert!(self.now < began + limit_ms, "not within {limit_ms} ms");
            self.tick();
        }
        self.now - began
    }

    /// Delivers a unit's heartbeat to a control node, which flushes its queue at once if `flush` is set.
    fn heartbeat(&mut self, control_node: usize, record: EndpointRecord, flush: bool) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[control_node].record_heartbeat(now, record);
        if flush {
            self.nodes[control_node].flush_now(now, &mut actions);
        }
        self.send(control_node, actions);
    }
}

fn sees_all_live(count: usize) -> impl Fn(&Gossip) -> bool {
    move |gossip| gossip.live_members().count() == count - 1
}

#[test]
fn nodes_that_know_three_seeds_find_all_others() {
    for (nodes, limit_ms) in [(12, 1500), (93, 3000)] {
        for seed in 1..4 {
            let mut network = Network::new(nodes, seed);
            network.run_until(limit_ms, sees_all_live(nodes));
        }
    }
}

#[test]
fn drain_reaches_every_node_well_within_two_seconds_despite_loss() {
    for (nodes, loss_per_mille) in [(12, 20), (12, 200), (93, 20), (93, 200)] {
        for seed in 1..6 {
            let mut network = Network::new(nodes, seed);
            network.loss_per_mille = loss_per_mille;
            for unit in 0..40 {
                network.heartbeat(unit % 3, record(unit, EndpointState::Ready, 1), false);
            }
            network.run(5000);
            network.heartbeat(1, record(7, EndpointState::Draining, 2), true);
            let is_drain_known = |gossip: &Gossip| {
                !gossip.is_endpoint_ready("i-00000007") && gossip.is_endpoint_ready("i-00000008")
            };
            let elapsed = network.run_until(1500, is_drain_known);
            assert!(elapsed <= 1200, "{nodes} nodes, seed {seed}: {elapsed} ms");
        }
    }
}

#[test]
fn isolated_or_restarted_node_catches_up() {
    for seed in 1..6 {
        let mut network = Network::new(12, seed);
        (0..40).for_each(|unit| {
            network.heartbeat(unit % 3, record(unit, EndpointState::Ready, 1), false)
        });
        network.run(3000);
        network.isolated[7] = true;
        network.run(4000);
        assert!(
            network.nodes[0].member("relay-7").unwrap().state == MemberState::Down,
            "seed {seed}: the isolated node is reported as down"
        );
        (0..10).for_each(|unit| {
            network.heartbeat(unit % 3, record(unit, EndpointState::Draining, 2), true)
        });
        network.run(2000);
        assert!(
            network.nodes[7].is_endpoint_ready("i-00000003"),
            "the isolated node cannot know of the drain"
        );
        network.isolated[7] = false;
        network.run_until(2500, |gossip| {
            (0..10).all(|unit| !gossip.is_endpoint_ready(&format!("i-{unit:08x}")))
        });
        network.run_until(2500, sees_all_live(12));
        // A new process of the node starts empty, and its report must win over those on its earlier incarnation.
        network.nodes[7] = network.new_node(7);
        network.run_until(2500, |gossip| gossip.endpoints().iter().count() == 40);
        network.run_until(2500, sees_all_live(12));
    }
}

#[test]
fn isolated_node_is_reported_down_and_its_own_false_reports_are_refuted() {
    for nodes in [12, 93] {
        let mut network = Network::new(nodes, 3);
        network.run(4000);
        network.isolated[5] = true;
        network.run_until(3500, |gossip| {
            gossip
                .member("relay-5")
                .is_some_and(|m| m.state == MemberState::Down)
        });
        network.run(5000);
        network.isolated[5] = false;
        network.run_until(4000, sees_all_live(nodes));
    }
}

#[test]
fn members_and_endpoints_converge_after_half_of_the_nodes_were_isolated() {
    let mut network = Network::new(12, 9);
    (0..20)
        .for_each(|unit| network.heartbeat(unit % 3, record(unit, EndpointState::Ready, 1), false));
    network.run(3000);
    // The second half of the nodes is isolated for so long that all of them count as down.
    (6..12).for_each(|index| network.isolated[index] = true);
    network.run(8000);
    network.heartbeat(0, record(3, EndpointState::Draining, 5), true);
    (6..12).for_each(|index| network.isolated[index] = false);
    network.run_until(4000, sees_all_live(12));
    network.run_until(1000, |gossip| !gossip.is_endpoint_ready("i-00000003"));
}

#[test]
fn late_heartbeat_does_not_revive_an_endpoint_that_is_gone() {
    let mut network = Network::new(12, 4);
    network.heartbeat(0, record(1, EndpointState::Ready, 1), false);
    network.run(2000);
    network.nodes[0].mark_endpoint_gone("i-00000001");
    network.run_until(1500, |gossip| !gossip.is_endpoint_ready("i-00000001"));
    network.heartbeat(1, record(1, EndpointState::Ready, 9), true);
    network.run(2000);
    assert!(network
        .nodes
        .iter()
        .all(|gossip| !gossip.is_endpoint_ready("i-00000001")));
}

#[test]
fn bandwidth_per_node_hardly_grows_with_the_number_of_nodes() {
    let mut bytes_per_s = Vec::new();
    for nodes in [12, 93, 300] {
        let mut network = Network::new(nodes, 2);
        (0..40).for_each(|unit| {
            network.heartbeat(unit % 3, record(unit, EndpointState::Ready, 1), false)
        });
        network.run(10_000);
        (network.sent, network.bytes) = (0, 0);
        for sequence in 2..6 {
            (0..40).for_each(|unit| {
                network.heartbeat(
                    unit % 3,
                    record(unit, EndpointState::Ready, sequence),
                    false,
                )
            });
            network.run(1500);
        }
        bytes_per_s.push(network.bytes as f64 / 6.0 / nodes as f64);
    }
    assert!(
        bytes_per_s[2] < bytes_per_s[0] * 2.0,
        "bytes/s per node with 12, 93 and 300 nodes: {bytes_per_s:?}"
    );
    assert!(
        bytes_per_s[0] < 6000.0,
        "bytes/s per node with 12, 93 and 300 nodes: {bytes_per_s:?}"
    );
}

#[test]
fn each_node_sends_few_messages_per_ping_interval() {
    let mut network = Network::new(93, 5);
    network.run(4000);
    (network.sent, network.bytes) = (0, 0);
    network.run(4000);
    // Pings to the watched nodes and to a random one, and the responses; there are no updates.
    let messages = network.sent as f64 / 93.0 / 10.0;
    assert!(
        messages < 14.0,
        "{messages} messages per node and ping interval"
    );
}

/// With a third of all messages lost, watchers report live nodes as down, learn of the refutation, and report them
/// again. The traffic that this causes must stay bounded by itself, and must end once the links work again.
#[test]
fn false_down_reports_stay_bounded_under_loss_and_updates_still_arrive() {
    let mut network = Network::new(93, 8);
    network.loss_per_mille = 350;
    network.run(8000);
    (network.sent, network.bytes) = (0, 0);
    network.run(8000);
    let bytes_per_s_lossy = network.bytes as f64 / 8.0 / 93.0;
    assert!(
        bytes_per_s_lossy < 9000.0,
        "{bytes_per_s_lossy} bytes/s per node while a third of the messages is lost"
    );
    let down_reports: usize = network
        .nodes
        .iter()
        .map(|r| r.members().filter(|m| m.state == MemberState::Down).count())
        .sum();
    assert!(
        down_reports < 93 * 4,
        "{down_reports} entries of live nodes as down, over all nodes"
    );
    network.loss_per_mille = 20;
    network.run_until(6000, sees_all_live(93));
    (network.sent, network.bytes) = (0, 0);
    network.run(5000);
    let bytes_per_s_recovered = network.bytes as f64 / 5.0 / 93.0;
    assert!(
        bytes_per_s_recovered < 2500.0,
        "{bytes_per_s_recovered} bytes/s per node once the links work again"
    );
}

#[test]
fn longer_warmup_than_known_is_disseminated_at_once() {
    let mut node = Gossip::new(member(0, 1), PORT, Vec::new(), 5);
    node.restore(10_000, vec![member(1, 1)], Vec::new());
    // Returns whether the heartbeat was sent on.
    let mut heartbeat = |now: u64, sequence: u64, warmup_left_ms: u32| {
        node.record_heartbeat(
            now,
            EndpointRecord {
                warmup_left_ms,
                ..record(1, EndpointState::Ready, sequence)
            },
        );
        let mut actions = Vec::new();
        // Enough ticks for each transmission of the update, so that none is left for the next heartbeat.
        (1..4).for_each(|nth| node.tick(now + nth * 100, &mut actions));
        actions.iter().any(|action| {
            matches!(action, Action::Send { message, .. }
                if message.items.iter().any(|item| !matches!(item, beechcroft_gossip::Item::Member(_))))
        })
    };
    assert!(
        heartbeat(10_000, 1, 3000),
        "a new endpoint that is warming up"
    );
    assert!(!heartbeat(11_000, 2, 1990), "the warm-up ends as known");
    assert!(
        heartbeat(12_000, 3, 3800),
        "the warm-up ends later than known"
    );
    assert!(!heartbeat(13_000, 5, 2810), "the warm-up ends as known");
}
