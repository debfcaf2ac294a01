//! The acceptor: the promises and accepted values of a replica, and its recovery after a lost disk.
//!
//! `beechcroft-control` drives it: it passes in the requests that the node receives, syncs the returned records, and
//! only then sends the response.

mod fencing;
mod learner;

use crate::encoding::{self, DecodeError};
use crate::recovery::Recovery;
use crate::{
    AcceptedValue, Ballot, Epoch, Epochs, NodeId, PerRegister, PromisedValue, Register, RegisterId,
    ReplicaEpoch, ReplicaId, Request, Response, Value,
};
use beechcroft_safeguards::Safeguard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The key of the record that holds the [`ReplicaIdentity`]. An empty record means that the node was deposed.
pub const IDENTITY_KEY: &str = "identity";
/// The key of the record that holds the identity of this node before it was deposed.
pub const FORMER_IDENTITY_KEY: &str = "former";
/// The key of the record that holds the installed epoch of each replica whose latest known epoch is not known to be
/// installed. A disk without it knows of no such replica.
pub const UNINSTALLED_KEY: &str = "uninstalled";
/// The key of the record of each [`Register`].
pub const REGISTER_KEYS: PerRegister<&str> = PerRegister(["register-0", "register-1"]);
/// Upper bound of the random distance between the next epochs of two nodes that drew the same epoch.
const EPOCH_JITTER: u64 = 1021;

/// The key and the bytes of a record on disk.
pub type Record = (String, Vec<u8>);

/// Records that must be synced before the response that they belong to is sent.
pub type Records = Vec<Record>;

/// Which replica a node holds. Synced to disk before the node votes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The replica that the node holds.
    pub replica: ReplicaId,
    /// The epoch in which the node holds it.
    pub epoch: Epoch,
    /// All replicas of the system.
    pub replicas: Vec<ReplicaId>,
    /// The latest epochs that the node knows of.
    pub epochs: Epochs,
}

impl ReplicaIdentity {
    fn replica_epoch(&self) -> ReplicaEpoch {
        ReplicaEpoch {
            replica: self.replica.clone(),
            epoch: self.epoch,
        }
    }

    /// Whether another node has taken over the replica.
    fn is_deposed(&self) -> bool {
        Safeguard::DeposedIsSilent.is_enabled() && self.epochs.is_fenced(&self.replica, self.epoch)
    }
}

/// A record on disk that this version of the program cannot read.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableRecord {
    /// The record's key.
    pub key: String,
    /// Why it could not be decoded.
    pub error: DecodeError,
}

impl fmt::Display for UnreadableRecord {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.error)
    }
}

/// The state of a replica that this node does not vote for: it was deposed, or it has yet to install its epoch. The state
/// is kept until the node holds a replica again, so that another node that takes over the replica can still fetch it.
#[derive(Clone, Debug)]
struct FormerReplica {
    identity: ReplicaIdentity,
    registers: PerRegister<Register>,
}

/// The acceptor role of a node: holds at most one replica and votes for it.
///
/// # Recovery from a lost disk
///
/// A node whose disk is empty although the system has run before is a learner: it does not vote. It draws an epoch
/// above all known epochs of its replica and asks the other nodes to fence the former epoch. Once n - f replicas with
/// intact disks have done so, it adopts the highest promise and the highest accepted value among them and writes them
/// to its disk. Any majority shares a replica with those n - f. Therefore a round that relies on a promise of the former
/// epoch is rejected by a member of its own majority, and a value that the former epoch helped to choose is among the
/// collected states.
///
/// Before it votes, it has n - f replicas record that the new epoch is installed ([`Request::Install`]). An epoch that is
/// only fenced has never voted: the attempt may be given up, repeated by the same node or another, or lost with its
/// node's disk, and the state of the former holder stays as good as it was.
///
/// # Takeover
///
/// A holder that receives a fence request for its own replica stops voting and hands over its state. That state
/// counts as one of the n - f if none of the other responders knows of a later installed epoch: one of any f others
/// would know. The new holder then continues from the state of the former one, which also records the installation in
/// place of one of the n - f. A former holder may take its replica back in the same way, from its own state.
///
/// [`Acceptor::recovery_request`], [`Acceptor::on_recovery_response`] and [`Acceptor::recovery_stored`] drive both.
#[derive(Clone, Debug)]
pub struct Acceptor {
    node: NodeId,
    /// How many replicas may be lost at the same time (f).
    tolerated_losses: usize,
    identity: Option<ReplicaIdentity>,
    unreadable: Vec<UnreadableRecord>,
    /// Invariant: empty while there is no identity, except for the state that a recovery has merged so far.
    registers: PerRegister<Register>,
    former: Option<FormerReplica>,
    /// The installed epoch of each replica whose latest known epoch is not known to be installed. Invariant: lower than
    /// the latest known epoch.
    uninstalled: BTreeMap<ReplicaId, Epoch>,
    /// Whether the record of `uninstalled` is or may be on disk.
    has_uninstalled_record: bool,
    /// Random per process: see [`Acceptor::new`].
    salt: u64,
    recovery: Option<Recovery>,
}

/// The decoded records of a node's disk.
struct StoredState {
    identity: Option<ReplicaIdentity>,
    former: Option<ReplicaIdentity>,
    uninstalled: Option<BTreeMap<ReplicaId, Epoch>>,
    registers: PerRegister<Register>,
    unreadable: Vec<UnreadableRecord>,
}

impl StoredState {
    fn read(table: &BTreeMap<String, Vec<u8>>) -> StoredState {
        let mut unreadable = Vec::new();
        let identity = read_identity(table, IDENTITY_KEY, &mut unreadable);
        let former = read_identity(table, FORMER_IDENTITY_KEY, &mut unreadable);
        let uninstalled = table.get(UNINSTALLED_KEY);
        let uninstalled =
            uninstalled.and_then(|bytes| read_record(UNINSTALLED_KEY, bytes, &mut unreadable));
        let registers = REGISTER_KEYS.0.map(|key| {
            let stored = table.get(key);
            stored
                .and_then(|bytes| read_record(key, bytes, &mut unreadable))
                .unwrap_or_default()
        });
        StoredState {
            identity,
            former,
            uninstalled,
            registers: PerRegister(registers),
            unreadable,
        }
    }
}

/// Reads an identity. `None` if the record is missing, unreadable, or empty (the node was deposed).
fn read_identity(
    table: &BTreeMap<String, Vec<u8>>,
    key: &str,
    unreadable: &mut Vec<UnreadableRecord>,
) -> Option<ReplicaIdentity> {
    let bytes = table.get(key).filter(|bytes| !bytes.is_empty())?;
    read_record(key, bytes, unreadable)
}

fn read_record<T: serde::de::DeserializeOwned>(
    key: &str,
    bytes: &[u8],
    unreadable: &mut Vec<UnreadableRecord>,
) -> Option<T> {
    match encoding::decode(bytes) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            unreadable.push(UnreadableRecord {
                key: key.to_owned(),
                error,
            });
            None
        }
    }
}

fn record<T: Serialize>(key: &str, value: &T) -> Record {
    (key.to_owned(), encoding::encode(value))
}

impl Acceptor {
    /// Creates an acceptor from the records of its disk (`table`).
    ///
    /// `tolerated_losses` is the number of replicas that may be lost at the same time (f). `salt` must be random per
    /// process, so that a disk that is lost twice does not get the same epoch again.
    pub fn new(
        node: &str,
        tolerated_losses: usize,
        salt: u64,
        table: &BTreeMap<String, Vec<u8>>,
    ) -> Acceptor {
        let StoredState {
            identity,
            former,
            uninstalled,
            registers,
            unreadable,
        } = StoredState::read(table);
        // A single unreadable record counts as a lost disk: the remaining ones may not be consistent with it.
        let identity = identity.filter(|_| unreadable.is_empty());
        let former = former.filter(|_| unreadable.is_empty());
        let former = former.map(|identity| FormerReplica {
            identity,
            registers: registers.clone(),
        });
        // A node without a replica starts with empty registers: what it accepted after another node had taken over
        // its replica was not chosen by a majority, and may have a higher ballot than the chosen value.
        let registers = if identity.is_some() {
            registers
        } else {
            PerRegister::default()
        };
        Acceptor {
            node: node.to_owned(),
            tolerated_losses,
            identity,
            unreadable,
            registers,
            former,
            has_uninstalled_record: uninstalled.is_some(),
            uninstalled: uninstalled.unwrap_or_default(),
            salt,
            recovery: None,
        }
    }

    /// The replica that this node holds; `None` while it is a learner.
    pub fn identity(&self) -> Option<&ReplicaIdentity> {
        self.identity.as_ref()
    }

    /// The identity of this node before it was deposed, with the epochs that it knows of.
    pub fn former_identity(&self) -> Option<&ReplicaIdentity> {
        self.former.as_ref().map(|former| &former.identity)
    }

    /// Records on disk that could not be decoded. If there are any, the disk counts as lost.
    pub fn unreadable_records(&self) -> &[UnreadableRecord] {
        &self.unreadable
    }

    /// All replicas of the system; empty while this node holds no replica.
    pub fn replicas(&self) -> &[ReplicaId] {
        self.identity
            .as_ref()
            .map_or(&[], |identity| &identity.replicas)
    }

    /// The highest ballot number promised in any register.
    pub fn highest_ballot_number(&self) -> u64 {
        self.registers
            .iter()
            .map(|(_, register)| register.promised.number)
            .max()
            .unwrap_or(0)
    }

    /// The promise and the accepted value of a register.
    pub fn register(&self, register: RegisterId) -> &Register {
        &self.registers[register]
    }

    /// The current contents of all records of this acceptor.
    pub fn records(&self) -> Records {
        let (identity, former, registers) = match (&self.identity, &self.former) {
            (Some(identity), _) => (encoding::encode(identity), Vec::new(), &self.registers),
            (None, Some(former)) => (
                Vec::new(),
                encoding::encode(&former.identity),
                &former.registers,
            ),
            (None, None) => return Vec::new(),
        };
        let mut records: Records = registers
            .iter()
            .map(|(id, register)| record(REGISTER_KEYS[id], register))
            .collect();
        records.push((IDENTITY_KEY.to_owned(), identity));
        records.push((FORMER_IDENTITY_KEY.to_owned(), former));
        records.extend(self.uninstalled_record());
        records
    }

    /// The record of the epochs that are not known to be installed, unless there are none and there were none before.
    fn uninstalled_record(&self) -> Option<Record> {
        let is_needed = self.has_uninstalled_record || !self.uninstalled.is_empty();
        is_needed.then(|| record(UNINSTALLED_KEY, &self.uninstalled))
    }

    /// Initializes the acceptor at the first start of the whole system: the node holds the replica named after it.
    /// Returns the records to sync.
    pub fn bootstrap(&mut self, replicas: Vec<ReplicaId>) -> Records {
        let epochs = Epochs::initial(&replicas);
        let replica = self.node.clone();
        let identity = ReplicaIdentity {
            replica,
            epoch: Epoch::FIRST,
            replicas,
            epochs,
        };
        let records = vec![record(IDENTITY_KEY, &identity)];
        self.identity = Some(identity);
        records
    }

    /// Merges the epochs known to another node. If this node's replica has a later epoch, the node is deposed and
    /// stops voting. Returns the records to sync if any epoch was new.
    pub fn merge_epochs(&mut self, epochs: &Epochs) -> Option<Records> {
        let (identity, is_deposed) = match (&mut self.identity, &mut self.former) {
            (Some(identity), _) => (identity, false),
            (None, Some(former)) => (&mut former.identity, true),
            (None, None) => return None,
        };
        let before = identity.epochs.clone();
        if !identity.epochs.merge(epochs) {
            return None;
        }
        self.record_uninstalled(&before);
        (!is_deposed).then(|| self.identity_records())
    }

    /// The records of the node's identity. Deposes the node first if another node has taken over its replica.
    fn identity_records(&mut self) -> Records {
        if let Some(identity) = self.identity.take_if(|identity| identity.is_deposed()) {
            let registers = std::mem::take(&mut self.registers);
            self.former = Some(FormerReplica {
                identity,
                registers,
            });
        }
        match &self.identity {
            Some(identity) => {
                let identity = record(IDENTITY_KEY, identity);
                [identity]
                    .into_iter()
                    .chain(self.uninstalled_record())
                    .collect()
            }
            None => self.records(),
        }
    }

    /// Handles a request. Returns the response and the records that must be synced before it is sent.
    pub fn step(&mut self, request: Request) -> (Response, Records) {
        match request {
            Request::Prepare {
                register,
                ballot,
                known,
            } => self.on_prepare(register, ballot, known),
            Request::Accept {
                register,
                ballot,
                value,
                quorum,
            } => self.on_accept(register, ballot, &quorum, |_| Some(value)),
            Request::Confirm {
                register,
                ballot,
                accepted,
                quorum,
            } => self.on_accept(register, ballot, &quorum, |held| {
                let held = held
                    .accepted
                    .as_ref()
                    .filter(|held| held.ballot == accepted)?;
                Some(held.value.clone())
            }),
            Request::Fence {
                replica,
                epoch,
                holder,
            } => self.on_fence(replica, epoch, holder),
            Request::AnnounceEpochs { sender, epochs } => {
                let mut records = self.merge_epochs(&epochs).unwrap_or_default();
                // Only a node that votes names its replica.
                if sender.is_some_and(|sender| self.record_installed(&sender.replica, sender.epoch))
                {
                    records = self.identity_records();
                }
                (self.known_epochs(), records)
            }
            Request::Install {
                replica,
                epoch,
                holder,
            } => self.on_install(replica, epoch, holder),
        }
    }

    fn on_prepare(
        &mut self,
        register: RegisterId,
        ballot: Ballot,
        known: Ballot,
    ) -> (Response, Records) {
        let Some(identity) = &self.identity else {
            return (Response::Learner, Vec::new());
        };
        let held = &mut self.registers[register];
        if ballot <= held.promised {
            return (rejection(identity, held), Vec::new());
        }
        held.promised = ballot;
        let accepted = held.accepted.as_ref().map(|accepted| PromisedValue {
            ballot: accepted.ballot,
            value: (accepted.ballot != known).then(|| accepted.value.clone()),
        });
        let ReplicaEpoch { replica, epoch } = identity.replica_epoch();
        let response = Response::Promise {
            replica,
            epoch,
            accepted,
        };
        (response, vec![record(REGISTER_KEYS[register], held)])
    }

    /// Accepts a value under a ballot, unless a higher ballot was promised or the round relies on a fenced epoch.
    fn on_accept(
        &mut self,
        register: RegisterId,
        ballot: Ballot,
        quorum: &[ReplicaEpoch],
        value: impl FnOnce(&Register) -> Option<Value>,
    ) -> (Response, Records) {
        let Some(identity) = &self.identity else {
            return (Response::Learner, Vec::new());
        };
        let held = &mut self.registers[register];
        let is_fenced = Safeguard::FencedPromises.is_enabled()
            && quorum
                .iter()
                .any(|promise| identity.epochs.is_fenced(&promise.replica, promise.epoch));
        let is_stale = Safeguard::StaleBallots.is_enabled() && ballot < held.promised;
        let value = if is_stale || is_fenced {
            None
        } else {
            value(held)
        };
        let Some(value) = value else {
            return (rejection(identity, held), Vec::new());
        };
        held.promised = ballot;
        held.accepted = Some(AcceptedValue { ballot, value });
        let ReplicaEpoch { replica, epoch } = identity.replica_epoch();
        let response = Response::Accepted {
            replica,
            epoch,
            epochs: identity.epochs.clone(),
        };
        (response, vec![record(REGISTER_KEYS[register], held)])
    }
}

fn rejection(identity: &ReplicaIdentity, register: &Register) -> Response {
    Response::Rejected {
        promised: register.promised,
        epochs: identity.epochs.clone(),
    }
}

/// Raises the promise and the accepted value of each register to the higher of the two.
fn merge_registers(held: &mut PerRegister<Register>, theirs: &PerRegister<Register>) {
    for (held, (_, theirs)) in held.values_mut().zip(theirs.iter()) {
        held.promised = held.promised.max(theirs.promised);
        let ballot =
            |register: &Register| register.accepted.as_ref().map(|accepted| accepted.ballot);
        if ballot(theirs) > ballot(held) {
            held.accepted.clone_from(&theirs.accepted);
        }
    }
}
