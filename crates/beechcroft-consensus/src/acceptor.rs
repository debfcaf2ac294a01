//! The acceptor: what a replica has promised and accepted, and how it recovers from a lost disk.

use crate::encoding::{self, DecodeError};
use crate::recovery::{RecoveredState, Recovery};
use crate::{
    AcceptedValue, Ballot, Epoch, Epochs, NodeId, PerRegister, PromisedValue, Register, RegisterId,
    ReplicaEpoch, ReplicaId, Request, Response, Value,
};
use beechcroft_safeguards::Safeguard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The key of the record that holds a [`ReplicaIdentity`]. An empty record says that there was one.
pub const IDENTITY_KEY: &str = "identity";
/// The key of the record that holds the identity that this node had before it was deposed.
pub const FORMER_IDENTITY_KEY: &str = "former";
/// The keys of the records that hold a [`Register`] each.
pub const REGISTER_KEYS: PerRegister<&str> = PerRegister(["register-0", "register-1"]);
/// Two nodes that draw the same epoch draw the next ones at most so far apart.
const EPOCH_JITTER: u64 = 1021;

/// A record: its key and its bytes.
pub type Record = (String, Vec<u8>);

/// Records that must be synced before a response goes out.
pub type Records = Vec<Record>;

/// Which replica a node holds. It is on disk before the node votes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The replica.
    pub replica: ReplicaId,
    /// The epoch under which this node holds it.
    pub epoch: Epoch,
    /// All replicas of the quorum.
    pub replicas: Vec<ReplicaId>,
    /// What this node knows of the epochs of all replicas.
    pub epochs: Epochs,
}

impl ReplicaIdentity {
    fn replica_epoch(&self) -> ReplicaEpoch {
        ReplicaEpoch {
            replica: self.replica.clone(),
            epoch: self.epoch,
        }
    }

    /// Whether another node holds the replica by now.
    fn is_deposed(&self) -> bool {
        Safeguard::DeposedIsSilent.is_enabled() && self.epochs.is_fenced(&self.replica, self.epoch)
    }
}

/// A record on disk that this version of the program cannot read.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableRecord {
    /// Its key.
    pub key: String,
    /// Why it cannot be read.
    pub error: DecodeError,
}

impl fmt::Display for UnreadableRecord {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.error)
    }
}

/// What a node held as it was deposed, until it holds a replica again: for the node that takes the replica over.
#[derive(Clone, Debug)]
struct FormerReplica {
    identity: ReplicaIdentity,
    registers: PerRegister<Register>,
}

/// How the known epoch of a replica changed last.
#[derive(Clone, Copy, Debug)]
struct EpochChange {
    current: Epoch,
    previous: Epoch,
}

/// A node's part as an acceptor.
///
/// # A lost disk
///
/// A node with an empty disk, where the system has run before, is a learner. It draws an epoch above all that are
/// known of its replica and asks the others to fence the former one ([`Acceptor::fence_request`]). It votes again once n - f
/// replicas with intact disks have done so and it holds the highest promise and the highest accepted value among
/// them ([`Acceptor::on_fence_response`]). Any majority shares a replica with those n - f. So a round that relies on
/// a promise of the former epoch is rejected by one of its own majority, and a value that the former epoch helped to
/// choose is among the states collected.
///
/// # Takeover
///
/// A holder that is asked to let its own replica be taken over stops voting and hands over what it holds. Its state
/// is one of the n - f if none of the others knows of an epoch in between: the new holder then continues where the
/// former one ended, and f others suffice to show that nobody else did.
#[derive(Clone, Debug)]
pub struct Acceptor {
    node: NodeId,
    /// How many replicas may be lost at once (f).
    tolerated_losses: usize,
    identity: Option<ReplicaIdentity>,
    unreadable: Vec<UnreadableRecord>,
    /// Invariant: empty while there is no identity, but for what a recovery has collected.
    registers: PerRegister<Register>,
    former: Option<FormerReplica>,
    /// The last change of each replica's epoch that this process saw.
    epoch_changes: BTreeMap<ReplicaId, EpochChange>,
    salt: u64,
    recovery: Option<Recovery>,
}

/// What a disk holds.
struct StoredState {
    identity: Option<ReplicaIdentity>,
    former: Option<ReplicaIdentity>,
    registers: PerRegister<Register>,
    unreadable: Vec<UnreadableRecord>,
}

impl StoredState {
    fn read(table: &BTreeMap<String, Vec<u8>>) -> StoredState {
        let mut unreadable = Vec::new();
        let identity = read_identity(table, IDENTITY_KEY, &mut unreadable);
        let former = read_identity(table, FORMER_IDENTITY_KEY, &mut unreadable);
        let registers = REGISTER_KEYS.0.map(|key| {
            let stored = table.get(key);
            stored
                .and_then(|bytes| read_record(key, bytes, &mut unreadable))
                .unwrap_or_default()
        });
        StoredState {
            identity,
            former,
            registers: PerRegister(registers),
            unreadable,
        }
    }
}

/// An identity, unless there is none or the node was deposed.
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
    /// An acceptor with what its disk holds.
    ///
    /// `tolerated_losses` is how many replicas may be lost at once. `salt` is drawn by each process, so that two
    /// epochs of a disk that was lost twice do not get the same number.
    pub fn new(
        node: &str,
        tolerated_losses: usize,
        salt: u64,
        table: &BTreeMap<String, Vec<u8>>,
    ) -> Acceptor {
        let StoredState {
            identity,
            former,
            registers,
            unreadable,
        } = StoredState::read(table);
        // One unreadable record is a lost disk: what the others hold was perhaps never promised together with it.
        let identity = identity.filter(|_| unreadable.is_empty());
        let former = former.filter(|_| unreadable.is_empty());
        let former = former.map(|identity| FormerReplica {
            identity,
            registers: registers.clone(),
        });
        // A node without a replica brings nothing into the next one: what it accepted after it had lost its own was
        // read from no majority, and may have a higher ballot than what was chosen.
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
            epoch_changes: BTreeMap::new(),
            salt,
            recovery: None,
        }
    }

    /// The replica that this node holds; `None` while it is a learner.
    pub fn identity(&self) -> Option<&ReplicaIdentity> {
        self.identity.as_ref()
    }

    /// The replica that this node held before it was deposed, as it knows it.
    pub fn former_identity(&self) -> Option<&ReplicaIdentity> {
        self.former.as_ref().map(|former| &former.identity)
    }

    /// The records on disk that this version of the program could not read.
    pub fn unreadable_records(&self) -> &[UnreadableRecord] {
        &self.unreadable
    }

    /// All replicas of the quorum; none while this node holds no replica.
    pub fn replicas(&self) -> &[ReplicaId] {
        self.identity
            .as_ref()
            .map_or(&[], |identity| &identity.replicas)
    }

    /// The highest ballot number promised.
    pub fn highest_ballot_number(&self) -> u64 {
        self.registers
            .iter()
            .map(|(_, register)| register.promised.number)
            .max()
            .unwrap_or(0)
    }

    /// What was promised and accepted in a register.
    pub fn register(&self, register: RegisterId) -> &Register {
        &self.registers[register]
    }

    /// All records of this acceptor as they are now.
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
        records
    }

    /// At the first start of the whole system: this node holds the replica that is named after it.
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

    /// The request that a learner sends to all other nodes: to recover its own replica after a lost disk, or to take
    /// over one whose node is gone for good. `None` if this node holds a replica.
    pub fn fence_request(&mut self, replica: &str) -> Option<Request> {
        if self.identity.is_some() {
            return None;
        }
        if self
            .recovery
            .as_ref()
            .is_none_or(|recovery| recovery.replica != replica)
        {
            let epoch = Epoch(2 + (self.salt >> 2));
            self.recovery = Some(Recovery::new(replica, epoch));
        }
        let recovery = self.recovery.as_ref()?;
        Some(Request::Fence {
            replica: recovery.replica.clone(),
            epoch: recovery.epoch,
            holder: self.node.clone(),
        })
    }

    /// Takes an answer to a fence with `requested_epoch`. Once there are enough, this node holds the replica, and
    /// the records are returned that must be synced before it votes.
    pub fn on_fence_response(
        &mut self,
        requested_epoch: Epoch,
        response: Response,
    ) -> Option<Records> {
        let Response::ReplicaState {
            sender,
            previous,
            replicas,
            epochs,
            registers,
        } = response
        else {
            return None;
        };
        let recovery = self.recovery.as_mut()?;
        let known = epochs.get(&recovery.replica)?;
        let is_anothers = known.node != self.node && Safeguard::SingleSuccessor.is_enabled();
        if known.epoch > recovery.epoch || known.epoch == recovery.epoch && is_anothers {
            // Others know a later epoch, or this one as another node's: start again above it, each node at a
            // distance of its own.
            let epoch = Epoch(known.epoch.0 + 1 + self.salt % EPOCH_JITTER);
            *recovery = Recovery::new(&recovery.replica, epoch);
            return None;
        }
        if requested_epoch != recovery.epoch || !replicas.contains(&recovery.replica) {
            return None;
        }
        if !Safeguard::MergedEpochs.is_enabled() {
            recovery.epochs.clear();
        }
        recovery.epochs.merge(&epochs);
        let state = RecoveredState {
            epoch: sender.epoch,
            previous,
            registers,
        };
        recovery.record(sender.replica, state);
        for state in recovery.sufficient_states(replicas.len() - self.tolerated_losses)? {
            merge_registers(&mut self.registers, &state.registers);
        }
        let Recovery {
            replica,
            epoch,
            epochs,
            ..
        } = self.recovery.take()?;
        self.identity = Some(ReplicaIdentity {
            replica,
            epoch,
            replicas,
            epochs,
        });
        self.former = None;
        Some(self.records())
    }

    /// Takes over what another node knows of epochs. A node whose replica has a later epoch elsewhere stops voting.
    /// Returns the records to sync, if anything was new.
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
        for (replica, holder) in identity.epochs.iter() {
            let (current, previous) = (holder.epoch, before.latest(replica));
            if previous < current {
                self.epoch_changes
                    .insert(replica.clone(), EpochChange { current, previous });
            }
        }
        (!is_deposed).then(|| self.identity_records())
    }

    /// The records that say which replica this node holds. If another node holds it by now, this one stops voting.
    fn identity_records(&mut self) -> Records {
        if let Some(identity) = self.identity.take_if(|identity| identity.is_deposed()) {
            let registers = std::mem::take(&mut self.registers);
            self.former = Some(FormerReplica {
                identity,
                registers,
            });
        }
        match &self.identity {
            Some(identity) => vec![record(IDENTITY_KEY, identity)],
            None => self.records(),
        }
    }

    /// Handles a request: the response, and the records that must be synced before it is sent.
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
            Request::AnnounceEpochs { epochs, .. } => {
                let records = self.merge_epochs(&epochs).unwrap_or_default();
                (self.known_epochs(), records)
            }
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

    /// Accepts a value under a ballot, unless a higher one was promised or the round relies on a fenced epoch.
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

    /// A replica is to be taken over: hands over what this node has, as the holder of another one or of that very
    /// one.
    fn on_fence(
        &mut self,
        replica: ReplicaId,
        epoch: Epoch,
        holder: NodeId,
    ) -> (Response, Records) {
        let is_former = self
            .former_identity()
            .is_some_and(|held| held.replica == replica);
        if !self.replicas().contains(&replica) && !is_former {
            return (self.known_epochs(), Vec::new());
        }
        let fence = crate::Holder {
            epoch,
            node: holder,
        };
        self.merge_epochs(&Epochs::from_iter([(replica.clone(), fence)]));
        let records = self.identity_records();
        let (identity, registers) = match (&self.identity, &self.former) {
            (Some(identity), _) => (identity, &self.registers),
            (None, Some(former)) if former.identity.replica == replica => {
                (&former.identity, &former.registers)
            }
            _ => return (Response::Learner, Vec::new()),
        };
        let current = identity.epochs.latest(&replica);
        let change = self
            .epoch_changes
            .get(&replica)
            .filter(|change| change.current == current);
        let response = Response::ReplicaState {
            sender: identity.replica_epoch(),
            previous: change.map(|change| change.previous),
            replicas: identity.replicas.clone(),
            epochs: identity.epochs.clone(),
            registers: registers.clone(),
        };
        (response, records)
    }

    fn known_epochs(&self) -> Response {
        match &self.identity {
            Some(identity) => Response::KnownEpochs {
                replicas: identity.replicas.clone(),
                epochs: identity.epochs.clone(),
            },
            None => Response::Learner,
        }
    }
}

fn rejection(identity: &ReplicaIdentity, register: &Register) -> Response {
    Response::Rejected {
        promised: register.promised,
        epochs: identity.epochs.clone(),
    }
}

/// Raises each register to the highest promise and the highest accepted value of both.
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
