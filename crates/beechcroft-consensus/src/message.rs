//! Messages between a proposer or a recovering node and the acceptors.
//!
//! They travel between control nodes in postcard form (`POST /ask`): the order of variants and fields is their
//! encoding. `beechcroft-control/tests/compatibility` pins it.

use crate::register::{Ballot, PerRegister, Register, RegisterId, Value};
use crate::{Epoch, Epochs, NodeId, ReplicaEpoch, ReplicaId};
use serde::{Deserialize, Serialize};

/// A request to an acceptor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Phase 1: promise to accept nothing under a lower ballot, and report the latest accepted value.
    Prepare {
        /// The register.
        register: RegisterId,
        /// The round's ballot.
        ballot: Ballot,
        /// The ballot of the value that the proposer holds itself: that value need not be sent again.
        known: Ballot,
    },
    /// Phase 2: accept a value.
    Accept {
        /// The register.
        register: RegisterId,
        /// The round's ballot.
        ballot: Ballot,
        /// The value to accept.
        value: Value,
        /// The promises that the round is based on.
        quorum: Vec<ReplicaEpoch>,
    },
    /// Phase 2 for an acceptor that holds the value already: accept it under this ballot, too.
    Confirm {
        /// The register.
        register: RegisterId,
        /// The round's ballot.
        ballot: Ballot,
        /// The ballot under which the value was accepted before.
        accepted: Ballot,
        /// The promises that the round is based on.
        quorum: Vec<ReplicaEpoch>,
    },
    /// A replica's disk was lost, or its node is gone for good: reject rounds that rely on an earlier epoch of it.
    Fence {
        /// The replica.
        replica: ReplicaId,
        /// Its new epoch.
        epoch: Epoch,
        /// The node that takes the replica over in this epoch.
        holder: NodeId,
    },
    /// What the sender knows of epochs.
    AnnounceEpochs {
        /// The replica that the sender holds.
        sender: Option<ReplicaEpoch>,
        /// Everything that it knows.
        epochs: Epochs,
    },
}

impl Request {
    /// The register and ballot of a request that belongs to a round.
    pub fn round(&self) -> Option<(RegisterId, Ballot)> {
        match self {
            Request::Prepare {
                register, ballot, ..
            }
            | Request::Accept {
                register, ballot, ..
            }
            | Request::Confirm {
                register, ballot, ..
            } => Some((*register, *ballot)),
            Request::Fence { .. } | Request::AnnounceEpochs { .. } => None,
        }
    }
}

/// The latest accepted value of an acceptor, in a promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromisedValue {
    /// The ballot under which it was accepted.
    pub ballot: Ballot,
    /// The value; `None` where the proposer said that it holds the value of this ballot.
    pub value: Option<Value>,
}

/// An acceptor's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Nothing will be accepted under a lower ballot.
    Promise {
        /// The replica that the responder holds. It need not be the one that was addressed.
        replica: ReplicaId,
        /// The epoch of its disk.
        epoch: Epoch,
        /// What it accepted last.
        accepted: Option<PromisedValue>,
    },
    /// The value is accepted.
    Accepted {
        /// The replica that the responder holds.
        replica: ReplicaId,
        /// The epoch of its disk.
        epoch: Epoch,
        /// What the responder knows of epochs: acceptances of fenced epochs do not count beside this one.
        epochs: Epochs,
    },
    /// A higher ballot was promised, or the round relies on a fenced epoch.
    Rejected {
        /// The highest ballot promised.
        promised: Ballot,
        /// What the responder knows of epochs.
        epochs: Epochs,
    },
    /// The answer to a fence: everything that the replica holds.
    ReplicaState {
        /// The replica that the responder holds, and in which epoch.
        sender: ReplicaEpoch,
        /// The highest epoch of the fenced replica that the responder knew before this fence, if it still knows.
        previous: Option<Epoch>,
        /// All replicas of the quorum.
        replicas: Vec<ReplicaId>,
        /// What the responder knows of epochs.
        epochs: Epochs,
        /// Its registers.
        registers: PerRegister<Register>,
    },
    /// The responder holds no replica, or does not vote yet.
    Learner,
    /// The answer to an announcement.
    KnownEpochs {
        /// All replicas of the quorum.
        replicas: Vec<ReplicaId>,
        /// What the responder knows of epochs.
        epochs: Epochs,
    },
}
