//! Consensus on the control state: single-decree Paxos, run again for each change of a register.
//!
//! There is no standing leader: whichever control node an operation reaches runs a round. A control node drives two
//! state machines of this package, neither of which does any I/O; time and messages go in, messages and records to
//! sync come out:
//!
//! - [`Proposer`] runs this node's rounds. It takes an [`Event`] and gives [`Action`]s.
//! - [`Acceptor`] is this node's replica. It takes a [`Request`] and gives a [`Response`] with the [`Records`] that
//!   must be synced before the response is sent.
//!
//! # Registers
//!
//! Two registers are agreed on independently ([`RegisterId`]): the operator's configuration ([`ConfigStore`]), and
//! rollouts, evacuations, base versions and placements ([`OperationsState`]). A round reads the newest accepted
//! [`Value`] from a majority, applies the pending operations to it, and has a majority accept the result under the
//! round's [`Ballot`]. A value that a majority accepted is chosen and survives any tolerated loss. An operation that
//! changes nothing is confirmed by a round as well, so that its outcome is always based on a chosen value.
//!
//! # Lost disks
//!
//! A replica that loses its disk loses its promises. Each incarnation of a replica's disk has an [`Epoch`]. An empty
//! replica fences its former epoch at the others before it votes again; [`Acceptor`] describes how, and why no round
//! can rely on a promise of the former epoch.
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
    IDENTITY_KEY, REGISTER_KEYS,
};
pub use config_store::ConfigStore;
pub use epoch::{Epoch, Epochs, Holder, ReplicaEpoch};
pub use message::{PromisedValue, Request, Response};
pub use operation::{Digest, Operation};
pub use operations_state::{Admission, OperationsState, Placement, Rollout, Stage};
pub use proposer::{Action, Event, LocalAccepted, Outcome, ProposalId, Proposer};
pub use register::{AcceptedValue, Ballot, PerRegister, Register, RegisterId, Revision, Value};

/// Milliseconds of a node's own steady clock.
pub type Millis = u64;

/// The name of a machine, as its settings state it.
pub type NodeId = String;

/// The name of a replica: one of the 2f + 1 seats of the quorum. It is named after the node that held it first and
/// keeps its name when another node takes it over.
pub type ReplicaId = String;
