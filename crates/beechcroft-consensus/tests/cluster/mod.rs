//! A cluster of control nodes in one process, optionally with spare nodes that hold no replica. Every delivery of a
//! message and every sync is a numbered step, at which a fault can be injected. Clock, network and disks are simulated.
#![allow(dead_code)] // each test file uses a subset

use beechcroft_consensus::{
    Acceptor, Ballot, ConfigStore, Epochs, Operation, Proposer, RegisterId, Request, Response,
    Value,
};
use beechcroft_consensus::{Action, Epoch, Event, ProposalId, ReplicaEpoch, Revision};
use beechcroft_error::ErrorKind;
use std::collections::{BTreeMap, VecDeque};

pub type Table = BTreeMap<String, Vec<u8>>;

/// A fault that is injected at a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The message is dropped.
    Lost,
    /// The message is delivered twice.
    Twice,
    /// The message is delivered after all others that are in flight.
    Late,
    /// The receiver restarts just before the delivery and loses what was not synced.
    CrashBefore,
    /// The receiver restarts just after the delivery, before any of its writes is synced.
    CrashAfter,
    /// The receiver restarts and loses its disk.
    Wipe,
}

pub const ALL_FAULTS: [Fault; 6] = [
    Fault::Lost,
    Fault::Twice,
    Fault::Late,
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Wipe,
];

/// A message in flight, or a pending sync. Nodes are given by index.
#[derive(Clone, Debug)]
pub enum Message {
    Request {
        to: usize,
        from: usize,
        /// The addressed replica, from the sender's point of view.
        replica: String,
        request: Request,
    },
    Response {
        to: usize,
        replica: String,
        ballot: Ballot,
        register: RegisterId,
        response: Response,
    },
    RecoveryResponse {
        to: usize,
        epoch: Epoch,
        response: Response,
    },
    /// The response to an announcement of epochs.
    EpochsResponse {
        to: usize,
        from: usize,
        epochs: Epochs,
        response: Response,
    },
    /// Records reach the disk; only then is the response that depends on them sent.
    Sync {
        index: usize,
        incarnation: u64,
        records: Vec<(String, Vec<u8>)>,
        response_after: Option<Box<Message>>,
        /// The epoch of the recovery whose state the records hold.
        recovery: Option<Epoch>,
    },
}

/// A control node with its disk.
pub struct Node {
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub disk: Table,
    /// Incremented with each start of the node's process.
    pub incarnation: u64,
    pub is_running: bool,
    /// The node runs, but exchanges no messages with other nodes.
    pub is_partitioned: bool,
    /// The replica that the node is to recover or take over.
    pub wanted_replica: Option<String>,
    /// The epochs that the node knows of, independently of its acceptor.
    pub known_epochs: Epochs,
    /// The node holds a replica, and its identity is synced.
    pub is_voting: bool,
    /// The epochs that each other node has acknowledged.
    epochs_known_to: BTreeMap<usize, Epochs>,
}

/// A cluster of control nodes.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub tolerated_losses: usize,
    pub in_flight: VecDeque<Message>,
    pub now: u64,
    pub step_count: usize,
    /// A fault to inject, and the step at which to do so.
    pub fault: Option<(usize, Fault)>,
    rng_state: u64,
    /// Probability of a random fault at each step, in thousandths. At most `tolerated_losses` nodes are without their
    /// disk at a time.
    pub fault_permille: u64,
    /// The nodes that have lost their disks, in order.
    pub wiped_nodes: Vec<usize>,
    chosen: BTreeMap<Revision, Vec<u8>>,
    pub outcomes: BTreeMap<ProposalId, Result<Value, ErrorKind>>,
    /// The versions whose proposals were acknowledged.
    pub acknowledged: Vec<u32>,
    proposed_versions: BTreeMap<ProposalId, u32>,
}

pub fn node_name(index: usize) -> String {
    format!("node-{index}")
}

fn node_index(node_name: &str) -> usize {
    node_name["node-".len()..].parse().expect("a node's name")
}

impl Node {
    fn new(acceptor: Acceptor, proposer: Proposer, disk: Table) -> Node {
        let is_voting = acceptor.identity().is_some();
        let (wanted_replica, known_epochs) = (None, Epochs::new());
        Node {
            acceptor,
            proposer,
            disk,
            incarnation: 0,
            is_running: true,
            is_partitioned: false,
            wanted_replica,
            known_epochs,
            is_voting,
            epochs_known_to: BTreeMap::new(),
        }
    }
}

impl Cluster {
    /// Creates a cluster of `count` nodes, each of which holds one replica.
    pub fn new(count: usize, seed: u64) -> Cluster {
        let names: Vec<String> = (0..count).map(node_name).collect();
        let tolerated_losses = count / 2;
        let nodes = (0..count)
            .map(|index| {
                let mut acceptor =
                    Acceptor::new(&node_name(index), tolerated_losses, 1, &Table::new());
                let disk: Table = acceptor.bootstrap(names.clone()).into_iter().collect();
                let mut proposer = Proposer::new(seed * 31 + index as u64);
                proposer.set_replicas(&names, 0);
                Node::new(acceptor, proposer, disk)
            })
            .collect();
        Cluster {
            nodes,
            tolerated_losses,
            in_flight: VecDeque::new(),
            now: 0,
            step_count: 0,
            fault: None,
            rng_state: seed,
            fault_permille: 0,
            wiped_nodes: Vec::new(),
            chosen: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            acknowledged: Vec::new(),
            proposed_versions: BTreeMap::new(),
        }
    }

    /// Creates a cluster with additional nodes that hold no replica and have empty disks.
    pub fn with_spares(count: usize, spares: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(count, seed);
        for index in count..count + spares {
            let acceptor = Acceptor::new(
                &node_name(index),
                cluster.tolerated_losses,
                seed * 8 + 4 * index as u64,
                &Table::new(),
            );
            let proposer = Proposer::new(seed * 31 + index as u64);
            cluster
                .nodes
                .push(Node::new(acceptor, proposer, Table::new()));
        }
        cluster
    }

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % below
    }

    /// Carries out the actions of a node's proposer.
    pub fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, request } => {
                    for replica in to {
                        let to = self.holder(index, &replica);
                        self.in_flight.push_back(Message::Request {
                            to,
                            from: index,
                            replica,
                            request: request.clone(),
                        });
                    }
                }
                Action::Complete { id, outcome } => {
                    if outcome.is_ok() {
                        self.acknowledged.extend(self.proposed_versions.get(&id));
                    }
                    self.outcomes
                        .insert(id, outcome.map_err(|error| error.kind));
                }
                Action::Chosen {
                    register: RegisterId::Config,
                    value,
                } => {
                    // The safety property: at most one value is chosen for each revision.
                    let held = self
                        .chosen
                        .entry(value.revision)
                        .or_insert_with(|| value.bytes.clone());
                    assert_eq!(
                        *held, value.bytes,
                        "two values are chosen for revision {}",
                        value.revision
                    );
                }
                Action::Chosen { .. } => {}
            }
        }
    }

    /// The holder of a replica, from a node's point of view.
    pub fn holder(&self, index: usize, replica: &str) -> usize {
        let node = &self.nodes[index];
        let known = node
            .acceptor
            .identity()
            .map_or(&node.known_epochs, |identity| &identity.epochs);
        node_index(
            known
                .get(replica)
                .map_or(replica, |known| known.node.as_str()),
        )
    }

    /// Has a node propose a configuration with a deadline of 60 s.
    pub fn propose_config(&mut self, index: usize, id: ProposalId, version: u32, base: u32) {
        let operation = Operation::replace_config(
            version,
            base,
            format!("version {version} by {id}").as_bytes(),
        );
        self.proposed_versions.insert(id, version);
        let mut actions = Vec::new();
        let deadline = self.now + 60_000;
        self.step_proposer(
            index,
            Event::Propose {
                id,
                register: RegisterId::Config,
                operation,
                deadline,
            },
            &mut actions,
        );
        self.apply_actions(index, actions);
    }

    /// Passes an event to a node's proposer.
    pub fn step_proposer(&mut self, index: usize, event: Event, actions: &mut Vec<Action>) {
        let Node {
            acceptor, proposer, ..
        } = &mut self.nodes[index];
        proposer.step(
            self.now,
            event,
            &|register| acceptor.register(register).accepted.clone(),
            actions,
        );
    }

    /// Restarts a node, with its disk or without (`wiped`).
    pub fn restart(&mut self, index: usize, wiped: bool) {
        let (tolerated_losses, salt) = (self.tolerated_losses, self.random_below(1 << 30) + 2);
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        if wiped {
            let held = node
                .acceptor
                .identity()
                .map(|identity| identity.replica.clone());
            node.wanted_replica = held.or(node.wanted_replica.take());
            node.disk.clear();
        }
        node.known_epochs.clear();
        node.epochs_known_to.clear();
        node.acceptor = Acceptor::new(&node_name(index), tolerated_losses, salt, &node.disk);
        node.proposer = Proposer::new(salt * 977 + index as u64);
        node.proposer.set_replicas(
            node.acceptor.replicas(),
            node.acceptor.highest_ballot_number(),
        );
        node.is_voting = node.acceptor.identity().is_some();
        self.in_flight.retain(
            |message| !matches!(message, Message::Sync { index: target, .. } if *target == index),
        );
        if wiped {
            self.wiped_nodes.push(index);
        }
    }

    /// Delivers the next message, or injects the fault that is due. Returns false if no message is in flight.
    pub fn step(&mut self) -> bool {
        let Some(message) = self.in_flight.pop_front() else {
            return false;
        };
        let step = self.step_count;
        self.step_count += 1;
        let mut fault = self
            .fault
            .filter(|(fault_step, _)| *fault_step == step)
            .map(|(_, fault)| fault);
        if self.fault_permille > 0 && self.random_below(1000) < self.fault_permille {
            fault = Some(ALL_FAULTS[self.random_below(ALL_FAULTS.len() as u64) as usize]);
        }
        let to = match &message {
            Message::Request { to, .. }
            | Message::Response { to, .. }
            | Message::RecoveryResponse { to, .. }
            | Message::EpochsResponse { to, .. } => *to,
            Message::Sync { index, .. } => *index,
        };
        let is_partitioned = match &message {
            Message::Request { to, from, .. } => {
                to != from && (self.nodes[*to].is_partitioned || self.nodes[*from].is_partitioned)
            }
            Message::Sync { .. } | Message::Response { .. } => false,
            Message::RecoveryResponse { to, .. } | Message::EpochsResponse { to, .. } => {
                self.nodes[*to].is_partitioned
            }
        };
        if !self.nodes[to].is_running || is_partitioned {
            return true;
        }
        let is_sync = matches!(message, Message::Sync { .. });
        match fault {
            None => self.deliver(message),
            // Message faults do not apply to syncs.
            Some(Fault::Lost | Fault::Twice | Fault::Late) if is_sync => self.deliver(message),
            Some(Fault::Lost) => {}
            Some(Fault::Twice) => {
                self.in_flight.push_back(message.clone());
                self.deliver(message);
            }
            Some(Fault::Late) => self.in_flight.push_back(message),
            Some(Fault::CrashBefore) => self.restart(to, false),
            Some(Fault::CrashAfter) => {
                self.deliver(message);
                self.restart(to, false);
            }
            Some(Fault::Wipe) => {
                // Lose a disk only while fewer nodes than are tolerated have yet to recover. A node whose identity is not
                // on its disk has yet to recover: a restart would make it a learner again.
                let learners = self.nodes.iter().filter(|node| !node.is_voting).count();
                let wiped = learners < self.tolerated_losses || !self.nodes[to].is_voting;
                self.restart(to, wiped);
            }
        }
        true
    }

    /// Delivers a message without injecting a fault.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                to,
                from,
                replica,
                request,
            } => {
                let (response, records) = self.nodes[to].acceptor.step(request.clone());
                self.stop_proposer_if_deposed(to);
                let reply = match request {
                    Request::AnnounceEpochs { epochs, .. } => Message::EpochsResponse {
                        to: from,
                        from: to,
                        epochs,
                        response,
                    },
                    Request::Confirm {
                        register, ballot, ..
                    }
                    | Request::Prepare {
                        register, ballot, ..
                    }
                    | Request::Accept {
                        register, ballot, ..
                    } => Message::Response {
                        to: from,
                        replica,
                        ballot,
                        register,
                        response,
                    },
                    Request::Fence { epoch, .. } | Request::Install { epoch, .. } => {
                        Message::RecoveryResponse {
                            to: from,
                            epoch,
                            response,
                        }
                    }
                };
                let incarnation = self.nodes[to].incarnation;
                let response_after = Some(Box::new(reply));
                self.in_flight.push_back(Message::Sync {
                    index: to,
                    incarnation,
                    records,
                    response_after,
                    recovery: None,
                });
            }
            Message::EpochsResponse {
                to,
                from,
                epochs,
                response,
            } => {
                self.nodes[to].epochs_known_to.insert(from, epochs);
                if let Response::KnownEpochs { epochs, .. } = response {
                    self.merge_epochs(to, &epochs);
                }
            }
            Message::Response {
                to,
                replica,
                ballot,
                register,
                response,
            } => {
                if let Response::Accepted { epochs, .. } | Response::Rejected { epochs, .. } =
                    &response
                {
                    self.merge_epochs(to, epochs);
                }
                let mut actions = Vec::new();
                let event = Event::Response {
                    from: replica,
                    register,
                    ballot,
                    response,
                };
                self.step_proposer(to, event, &mut actions);
                self.apply_actions(to, actions);
            }
            Message::RecoveryResponse {
                to,
                epoch,
                response,
            } => {
                let acceptor = &mut self.nodes[to].acceptor;
                if let Some(records) = acceptor.on_recovery_response(epoch, response) {
                    let node = &mut self.nodes[to];
                    let incarnation = node.incarnation;
                    self.in_flight.push_back(Message::Sync {
                        index: to,
                        incarnation,
                        records,
                        response_after: None,
                        recovery: node.acceptor.recovery_epoch(),
                    });
                }
            }
            Message::Sync {
                index,
                incarnation,
                records,
                response_after,
                recovery,
            } => {
                if self.nodes[index].incarnation == incarnation {
                    let node = &mut self.nodes[index];
                    node.disk.extend(records);
                    if recovery.is_some() && recovery == node.acceptor.recovery_epoch() {
                        node.acceptor.recovery_stored();
                        self.send_recovery_request(index);
                    }
                    let node = &mut self.nodes[index];
                    if node.acceptor.identity().is_some() && !node.is_voting {
                        node.is_voting = true;
                        node.proposer.set_replicas(
                            node.acceptor.replicas(),
                            node.acceptor.highest_ballot_number(),
                        );
                    }
                    self.in_flight
                        .extend(response_after.map(|response_after| *response_after));
                }
            }
        }
    }

    /// Merges epochs into a node's knowledge, which may depose it.
    pub fn merge_epochs(&mut self, index: usize, known_epochs: &Epochs) {
        let node = &mut self.nodes[index];
        node.known_epochs.merge(known_epochs);
        let Some(records) = node.acceptor.merge_epochs(known_epochs) else {
            return;
        };
        let incarnation = node.incarnation;
        self.in_flight.push_back(Message::Sync {
            index,
            incarnation,
            records,
            response_after: None,
            recovery: None,
        });
        self.stop_proposer_if_deposed(index);
    }

    /// Clears the replicas of a deposed node's proposer, so that it starts no rounds.
    fn stop_proposer_if_deposed(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.is_voting && node.acceptor.identity().is_none() {
            node.is_voting = false;
            node.proposer.set_replicas(&[], 0);
        }
    }

    /// Has the last three of five nodes respond to a fence request, so that the acceptor takes over a replica.
    pub fn take_over(&mut self, acceptor: &mut Acceptor, replica: &str) {
        while let Some(request) = acceptor.recovery_request(replica) {
            let (Request::Fence { epoch, .. } | Request::Install { epoch, .. }) = request else {
                panic!("{request:?}")
            };
            for from in [2, 3, 4] {
                let (response, _) = self.nodes[from].acceptor.step(request.clone());
                acceptor.on_recovery_response(epoch, response);
            }
            acceptor.recovery_stored();
        }
    }

    /// Stops a node's process; the disk stays intact.
    pub fn stop(&mut self, index: usize) {
        self.restart(index, false);
        self.nodes[index].is_running = false;
    }

    /// Delivers all messages and advances the clock by 300 ms, the given number of times.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let mut steps = 0;
            while self.step() {
                steps += 1;
                assert!(steps < 100_000, "the cluster keeps sending messages");
            }
            self.now += 300;
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
    }

    /// Runs the timers of a node: its rounds, its pending recovery and its announcements of epochs.
    pub fn tick(&mut self, index: usize) {
        if !self.nodes[index].is_running {
            return;
        }
        let mut actions = Vec::new();
        self.step_proposer(index, Event::Tick, &mut actions);
        self.apply_actions(index, actions);
        let all = self.nodes.len();
        let node = &mut self.nodes[index];
        let wanted_replica = node.wanted_replica.clone();
        let request = match (node.acceptor.identity(), wanted_replica) {
            (Some(identity), _) if node.is_voting => {
                let sender = Some(ReplicaEpoch {
                    replica: identity.replica.clone(),
                    epoch: identity.epoch,
                });
                let is_initial = identity
                    .epochs
                    .iter()
                    .all(|(_, known)| known.epoch == Epoch::FIRST);
                (!is_initial).then(|| Request::AnnounceEpochs {
                    sender,
                    epochs: identity.epochs.clone(),
                })
            }
            (None, Some(_)) => return self.send_recovery_request(index),
            _ => None,
        };
        let Some(request) = request else { return };
        let is_up_to_date = |to: &usize| match &request {
            Request::AnnounceEpochs { epochs, .. } => node.epochs_known_to.get(to) == Some(epochs),
            _ => false,
        };
        let to: Vec<usize> = (0..all)
            .filter(|to| *to != index && !is_up_to_date(to))
            .collect();
        for to in to {
            self.in_flight.push_back(Message::Request {
                to,
                from: index,
                replica: String::new(),
                request: request.clone(),
            });
        }
    }

    /// Sends the request that a node's recovery needs now to all others.
    fn send_recovery_request(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(wanted_replica) = node.wanted_replica.clone() else {
            return;
        };
        let Some(request) = node.acceptor.recovery_request(&wanted_replica) else {
            return;
        };
        for to in (0..self.nodes.len()).filter(|to| *to != index) {
            self.in_flight.push_back(Message::Request {
                to,
                from: index,
                replica: String::new(),
                request: request.clone(),
            });
        }
    }

    /// Disables faults, lets the cluster settle and reads the configuration at a node.
    pub fn read(&mut self, index: usize) -> ConfigStore {
        self.fault_permille = 0;
        self.fault = None;
        self.settle(20);
        let id = 1_000_000 + index as u64;
        let mut actions = Vec::new();
        let event = Event::Propose {
            id,
            register: RegisterId::Config,
            operation: Operation::Read,
            deadline: u64::MAX,
        };
        self.step_proposer(index, event, &mut actions);
        self.apply_actions(index, actions);
        self.settle(20);
        let value = self.outcomes.get(&id).cloned();
        let value = value.unwrap_or_else(|| {
            panic!(
                "node-{index} got no outcome for its read: {:#?}",
                self.describe()
            )
        });
        let value = value.expect("a read without faults succeeds");
        ConfigStore::decode(&value).expect("the value is decodable")
    }

    /// One line for each node with its status and replica, for failure messages.
    pub fn describe(&self) -> Vec<String> {
        let describe = |node: &Node| {
            let identity = node
                .acceptor
                .identity()
                .map(|identity| (&identity.replica, identity.epoch));
            let former = node
                .acceptor
                .former_identity()
                .map(|identity| (&identity.replica, identity.epoch));
            let Node {
                is_running,
                is_voting,
                wanted_replica,
                ..
            } = node;
            format!("running {is_running}, voting {is_voting}, holds {identity:?}, formerly {former:?}, wants {wanted_replica:?}")
        };
        self.nodes.iter().map(describe).collect()
    }

    /// Asserts that every running voter reads a version at least as high as each acknowledged one.
    pub fn check_acknowledged(&mut self, context: &str) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_voting || !self.nodes[index].is_running {
                continue;
            }
            let store = self.read(index);
            for version in self.acknowledged.clone() {
                assert!(
                    store.version >= version,
                    "{context}: version {version} was acknowledged, node-{index} reads {}",
                    store.version
                );
            }
        }
    }
}
