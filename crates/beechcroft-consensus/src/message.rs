//! Messages between a proposer or a recovering node and the acceptors.
//!
//! Control nodes exchange them as postcard (`POST /ask`), so the order of variants and fields is part of the wire
//! format. `beechcroft-control/tests/compatibility` pins it.

use crate::register::{Ballot, PerRegister, Register, RegisterId, Value};
use crate::{Epoch, Epochs, InstalledEpochs, NodeId, ReplicaEpoch, ReplicaId};
use serde::{Deserialize, Serialize};

/// A request to an acceptor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Phase 1: promise not to accept anything under a lower ballot, and report the latest accepted value.
    Prepare {
        /// The register that the round changes.
        register: RegisterId,
        /// The round's ballot.
        ballot: Ballot,
        /// The ballot of the value that the proposer's own acceptor holds; the acceptor need not send that value.
        known: Ballot,
    },
    /// Phase 2: accept a value.
    Accept {
        /// The register that the round changes.
        register: RegisterId,
        /// The round's ballot.
        ballot: Ballot,
        /// The value to accept.
        value: Value,
        /// The promises that the round relies on.
        quorum: Vec<ReplicaEpoch>,
    },
    /// Phase 2 for an acceptor that already holds the value: accept it under this ballot as well.
    Confirm {
        /// The register that the round changes.
        register: RegisterId,
        /// The round's ballot.
        ballot: Ballot,
        /// The ballot under which the value was accepted before.
        accepted: Ballot,
        /// The promises that the round relies on.
        quorum: Vec<ReplicaEpoch>,
    },
    /// Reject rounds that rely on an earlier epoch of a replica, because its disk or its node was lost.
    Fence {
        /// The replica whose earlier epochs are fenced.
        replica: ReplicaId,
        /// The new epoch of the replica.
        epoch: Epoch,
        /// The node that takes over the replica in this epoch.
        holder: NodeId,
    },
    /// Announces the epochs that the sender knows of, and asks for those of the receiver.
    AnnounceEpochs {
        /// The replica that the sender holds; `None` for a learner.
        sender: Option<ReplicaEpoch>,
        /// The epochs that the sender knows of.
        epochs: Epochs,
    },
    /// Record that an epoch of a replica is installed. Its holder has the state of the replica on disk, and votes once
    /// enough nodes have recorded this.
    Install {
        /// The replica whose epoch is installed.
        replica: ReplicaId,
        /// The epoch that was fenced for before.
        epoch: Epoch,
        /// The node that holds the replica in this epoch.
        holder: NodeId,
    },
}

impl Request {
    /// The register and ballot of a request that belongs to a round; `None` for other requests.
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
            Request::Fence { .. } | Request::AnnounceEpochs { .. } | Request::Install { .. } => {
                None
            }
        }
    }
}

/// The latest accepted value of an acceptor, as part of a promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromisedValue {
    /// The ballot under which the value was accepted.
    pub ballot: Ballot,
    /// The value; `None` if the proposer already holds the value of this ballot ([`Request::Prepare`], `known`).
    pub value: Option<Value>,
}

/// An acceptor's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The acceptor will not accept anything under a lower ballot.
    Promise {
        /// The replica that the responder holds, which is not necessarily the one that was addressed.
        replica: ReplicaId,
        /// The epoch of the responder's replica.
        epoch: Epoch,
        /// The latest accepted value.
        accepted: Option<PromisedValue>,
    },
    /// The acceptor has accepted the value.
    Accepted {
        /// The replica that the responder holds.
        replica: ReplicaId,
        /// The epoch of the responder's replica.
        epoch: Epoch,
        /// The epochs that the responder knows of. Acceptances of epochs fenced by these do not count.
        epochs: Epochs,
    },
    /// The acceptor has promised a higher ballot, or the round relies on a fenced epoch.
    Rejected {
        /// The highest ballot promised.
        promised: Ballot,
        /// The epochs that the responder knows of.
        epochs: Epochs,
    },
    /// The response to [`Request::Fence`]: the complete state of the responder's replica.
    ReplicaState {
        /// The replica that the responder holds, and its epoch.
        sender: ReplicaEpoch,
        /// The latest epoch of the fenced replica that the responder knows to be installed. Earlier releases sent `None`
        /// if they did not know, as after a restart.
        installed: Option<Epoch>,
        /// All replicas of the system.
        replicas: Vec<ReplicaId>,
        /// The epochs that the responder knows of.
        epochs: Epochs,
        /// The registers of the responder.
        registers: PerRegister<Register>,
    },
    /// The responder holds no replica, so it does not vote.
    Learner,
    /// The response to [`Request::AnnounceEpochs`], and to [`Request::Install`] of an epoch that is already fenced.
    KnownEpochs {
        /// All replicas of the system.
        replicas: Vec<ReplicaId>,
        /// The epochs that the responder knows of.
        epochs: Epochs,
    },
    /// The responder has recorded that the epoch is installed: the response to [`Request::Install`].
    Installed {
        /// The replica that the responder holds, or held until it was fenced, and its epoch.
        sender: ReplicaEpoch,
        /// The epochs that the responder knows of.
        epochs: Epochs,
        /// The installed epochs that the responder knows of.
        installed: InstalledEpochs,
    },
}
