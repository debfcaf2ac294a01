//! The state of the consensus model: nodes with their disks, messages in flight, and the history that later outcomes
//! are checked against.
//!
//! States are hashed by the `Debug` text of their parts, and the hash of a [`Packet`] decides its place among the
//! messages in flight. Renaming a variant or field of `Packet` therefore changes the walk that a seed stands for.

use beechcroft_consensus::Epochs;
use beechcroft_consensus::{
    Acceptor, Ballot, ConfigStore, Operation, Outcome, Proposer, Request, Response, Value,
};
use beechcroft_consensus::{Epoch, ProposalId, Revision};
use beechcroft_error::ErrorKind;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub type Disk = BTreeMap<String, Vec<u8>>;

/// The name of a node, and of the replica that it holds first.
pub fn node_name(at: usize) -> String {
    format!("node-{at}")
}

pub fn node_index(node_name: &str) -> usize {
    node_name["node-".len()..].parse().expect("a node's name")
}

/// Hashes the `Debug` text of a value, because most types of the consensus package do not implement `Hash`.
pub fn debug_hash(value: &impl Debug) -> u64 {
    struct HashWriter(DefaultHasher);
    impl Write for HashWriter {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            self.0.write(text.as_bytes());
            Ok(())
        }
    }
    let mut into = HashWriter(DefaultHasher::new());
    write!(into, "{value:?}").expect("hashing does not fail");
    into.0.finish()
}

/// A part of a state with its hash, shared between successive states and copied on write.
#[derive(Clone)]
pub struct Hashed<T>(u64, Arc<T>);

impl<T: Debug + Clone> Hashed<T> {
    pub fn new(value: T) -> Hashed<T> {
        Hashed(debug_hash(&value), Arc::new(value))
    }

    pub fn hash(&self) -> u64 {
        self.0
    }

    pub fn update<R>(&mut self, update_value: impl FnOnce(&mut T) -> R) -> R {
        let result = update_value(Arc::make_mut(&mut self.1));
        self.0 = debug_hash(&*self.1);
        result
    }
}

impl<T> std::ops::Deref for Hashed<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.1
    }
}

impl<T: Debug> Debug for Hashed<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.1.fmt(f)
    }
}

#[derive(Clone, Debug)]
pub enum Packet {
    /// A request of a round, to the holder of a replica.
    Request {
        to: usize,
        from: usize,
        replica: String,
        request: Request,
    },
    /// The response to a request of a round.
    Response {
        to: usize,
        from: usize,
        replica: String,
        ballot: Ballot,
        response: Response,
    },
    /// A fence request or an announcement of epochs.
    Fence {
        to: usize,
        from: usize,
        request: Request,
    },
    /// The response to a fence request or an announcement of epochs.
    Fenced {
        to: usize,
        from: usize,
        epoch: Epoch,
        response: Response,
    },
}

impl Packet {
    /// The sender and the receiver.
    pub fn link(&self) -> (usize, usize) {
        match self {
            Packet::Request { to, from, .. }
            | Packet::Response { to, from, .. }
            | Packet::Fence { to, from, .. }
            | Packet::Fenced { to, from, .. } => (*from, *to),
        }
    }
}

/// A node with its disk.
#[derive(Clone, Debug)]
pub struct Machine {
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub disk: Disk,
    /// How often the process was restarted.
    pub starts: u64,
    /// The node's monotonic clock, in milliseconds.
    pub now: u64,
    /// The replicas and their holders as reported by other nodes, while this node holds no replica.
    pub told: Option<(Vec<String>, Epochs)>,
    /// Whether the node holds a replica and votes for it.
    pub votes: bool,
    /// Former contents of the disk: at the bootstrap, and when the disk was lost.
    pub old_disks: [Option<Disk>; 2],
}

impl Machine {
    /// The holder of a replica, from this node's point of view.
    pub fn holder(&self, replica: &str) -> usize {
        let epochs = self.acceptor.identity().map(|identity| &identity.epochs);
        let epochs = epochs.or(self.told.as_ref().map(|(_, epochs)| epochs));
        let holder = epochs.and_then(|epochs| epochs.get(replica));
        holder.map_or_else(|| node_index(replica), |known| node_index(&known.node))
    }
}

/// A proposed change or read, with what was known when it was proposed.
#[derive(Clone, Debug)]
pub struct Given {
    pub op: Operation,
    /// The highest revision that any earlier outcome had reported.
    pub floor: Revision,
    /// A retry of a change that was acknowledged before.
    pub taken: bool,
    /// The outcome is known.
    pub answered: bool,
}

/// A violation of a safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Breach {
    /// Two values were chosen for one revision.
    TwoValues,
    /// Two changes of the same base version were acknowledged.
    BothAcknowledged,
    /// An operation returned an older revision than one that was reported before it began.
    ReadsBack,
    /// The retry of an acknowledged change was rejected.
    RepeatRefused,
    /// Two nodes voted for one replica in one epoch.
    TwoHolders,
    /// An acknowledged change is missing in the value that acknowledged it.
    Unread,
}

/// What has happened so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All proposed changes and reads; the id of a proposal is its index plus one.
    pub given: Vec<Given>,
    /// The chosen values of each revision.
    pub chosen: BTreeMap<Revision, BTreeSet<Vec<u8>>>,
    /// The highest revision that an outcome has reported.
    pub floor: Revision,
    /// Acknowledged versions with their base versions.
    pub acked: BTreeMap<u32, u32>,
    /// The node that votes for a replica in an epoch.
    pub votes: BTreeMap<(String, Epoch), usize>,
    pub breaches: BTreeSet<Breach>,
    /// Replicas that were taken over by another node.
    pub replaced: BTreeSet<String>,
    /// Replicas whose holder has handed over its state itself.
    pub handed_over: BTreeSet<String>,
    pub read_after_replacement: bool,
    pub acked_after_replacement: bool,
    pub repeat_acked: bool,
}

impl History {
    pub fn record_proposal(&mut self, op: Operation, taken: bool) -> ProposalId {
        let floor = self.floor;
        self.given.push(Given {
            op,
            floor,
            taken,
            answered: false,
        });
        self.given.len() as u64
    }

    pub fn record_chosen(&mut self, value: &Value) {
        let values = self.chosen.entry(value.revision).or_default();
        values.insert(value.bytes.clone());
        if values.len() > 1 {
            self.breaches.insert(Breach::TwoValues);
        }
    }

    /// Checks the outcome of a proposal against what was known when it was proposed.
    pub fn record_outcome(&mut self, id: u64, outcome: &Outcome) {
        let index = id as usize - 1;
        self.given[index].answered = true;
        let given = self.given[index].clone();
        match outcome {
            Ok(value) => {
                self.record_chosen(value);
                if value.revision < given.floor {
                    self.breaches.insert(Breach::ReadsBack);
                }
                self.floor = self.floor.max(value.revision);
                let store = ConfigStore::decode(value).expect("a chosen value is decodable");
                if let Operation::ReplaceConfig { version, base, .. } = given.op {
                    self.repeat_acked |= given.taken;
                    if self
                        .acked
                        .iter()
                        .any(|(other, known_base)| *other != version && *known_base == base)
                    {
                        self.breaches.insert(Breach::BothAcknowledged);
                    }
                    self.acked.insert(version, base);
                    if store.version < version {
                        self.breaches.insert(Breach::Unread);
                    }
                    self.acked_after_replacement |= !self.replaced.is_empty();
                } else {
                    self.read_after_replacement |=
                        !self.replaced.is_empty() && given.floor > Revision(0);
                }
            }
            Err(error) if given.taken && error.kind != ErrorKind::NoQuorum => {
                self.breaches.insert(Breach::RepeatRefused);
            }
            Err(_) => {}
        }
    }
}

/// How often each kind of fault and of other optional action may still occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    pub message_losses: u8,
    pub restarts: u8,
    pub disk_losses: u8,
    /// Restarts of a node with a former state of its disk.
    pub disk_restores: u8,
    /// Fence requests, each sent to all other nodes.
    pub fence_requests: u8,
    pub announcements: u8,
    /// Restarts of all nodes at once, with their disks.
    pub power_outages: u8,
    pub ticks: u8,
    pub changes: u8,
    pub retries: u8,
    pub reads: u8,
}

#[derive(Clone, Debug)]
pub struct State {
    pub machines: Vec<Hashed<Machine>>,
    /// Messages in flight, in the order of their hashes. Any of them may be delivered next.
    pub in_flight: Vec<Hashed<Packet>>,
    pub history: Hashed<History>,
    pub budget: FaultBudget,
}

impl State {
    pub fn send(&mut self, packet: Packet) {
        let packet = Hashed::new(packet);
        let at = self
            .in_flight
            .partition_point(|other| other.hash() < packet.hash());
        self.in_flight.insert(at, packet);
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, into: &mut H) {
        self.machines
            .iter()
            .for_each(|machine| into.write_u64(machine.hash()));
        into.write_usize(self.in_flight.len());
        self.in_flight
            .iter()
            .for_each(|packet| into.write_u64(packet.hash()));
        into.write_u64(self.history.hash());
        self.budget.hash(into);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        let parts = |state: &State| {
            let machines: Vec<u64> = state.machines.iter().map(Hashed::hash).collect();
            let in_flight: Vec<u64> = state.in_flight.iter().map(Hashed::hash).collect();
            (machines, in_flight, state.history.hash(), state.budget)
        };
        parts(self) == parts(other)
    }
}

impl Eq for State {}
