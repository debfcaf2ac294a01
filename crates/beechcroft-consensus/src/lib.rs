//! Consensus on the control state: single-decree Paxos, run again for each change of a register.
//!
//! There is no elected leader: the control node that receives an operation runs a round for it. Each control node
//! drives two state machines. Neither performs I/O: they take the time and messages, and return messages to send and
//! records to sync.
//!
//! - [`Proposer`] runs this node's rounds. It takes an [`Event`] and returns [`Action`]s.
//! - [`Acceptor`] is this node's replica. It takes a [`Request`] and returns a [`Response`], with the [`Records`] that
//!   must be synced before the response is sent.
//!
//! # Registers
//!
//! Two registers are agreed on independently ([`RegisterId`]): the operator's configuration ([`ConfigStore`]), and
//! rollouts, evacuations, base versions and placements ([`OperationsState`]). A round reads the newest accepted
//! [`Value`] from a majority, applies the pending operations to it, and has a majority accept the result under the
//! round's [`Ballot`]. A value that a majority accepted is chosen, and survives the loss of up to f of 2f + 1 replicas.
//! An operation that changes nothing is confirmed by a round as well, so that its outcome is based on a chosen value.
//!
//! # Lost disks
//!
//! A replica that loses its disk loses its promises. Each incarnation of a replica's disk has an [`Epoch`]. A replica
//! with an empty disk has the others fence its former epoch before it votes again; [`Acceptor`] describes how, and why
//! no round can rely on a promise made in the former epoch.
//!
//! The argument for safety is in `docs/design/consensus.md`. Phases and names follow Lamport, "Paxos Made Simple"
//! (2001), sections 2.2 and 2.3.

#![warn(missing_docs)]

mod acceptor;
mod config_store;
pub mod encoding;
mod epoch;
mod message;
mod operation;
mod operations_state;
mod proposer;
mod recovery;
mod register;
mod round;

pub use acceptor::{
    Acceptor, Record, Records, ReplicaIdentity, UnreadableRecord, FORMER_IDENTITY_KEY,
    IDENTITY_KEY, REGISTER_KEYS, UNINSTALLED_KEY,
};
pub use config_store::ConfigStore;
pub use epoch::{Epoch, Epochs, Holder, InstalledEpochs, ReplicaEpoch};
pub use message::{PromisedValue, Request, Response};
pub use operation::{Digest, Operation};
pub use operations_state::{Admission, OperationsState, Placement, Rollout, Stage};
pub use proposer::{Action, Event, LocalAccepted, Outcome, ProposalId, Proposer};
pub use register::{AcceptedValue, Ballot, PerRegister, Register, RegisterId, Revision, Value};

/// Milliseconds on a node's own monotonic clock.
pub type Millis = u64;

/// The name of a control node, as configured in its settings.
pub type NodeId = String;

/// The name of one of the 2f + 1 replicas. A replica is named after the node that held it first, and keeps that name
/// when another node takes it over.
pub type ReplicaId = String;
