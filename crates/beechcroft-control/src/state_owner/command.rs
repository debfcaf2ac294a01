//! Commands to the state owner, and the call that sends a command and awaits its answer.

use super::{CheckpointContent, PROPOSAL_TIMEOUT_MS};
use beechcroft_consensus::{
    Ballot, Epoch, Epochs, Operation, Outcome, PerRegister, RegisterId, ReplicaId, Request,
    Response, Revision, Value,
};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_gossip::Message;
use beechcroft_registry::{EndpointRecord, EndpointState};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Outcome of a heartbeat or deregistration: `Ok` if it may be acknowledged to the unit.
pub type Acknowledgement = Result<(), Error>;

/// A request to the state owner, or an event that it must handle.
pub enum Command {
    /// A gossip message was received from this address.
    Message(SocketAddrV4, Box<Message>),
    /// Records a unit's heartbeat. If the unit is draining, the heartbeat is acknowledged once a majority of the
    /// control nodes has that on disk.
    Heartbeat {
        /// Record of the endpoint as of this heartbeat.
        record: EndpointRecord,
        /// Receives the acknowledgement.
        done: oneshot::Sender<Acknowledgement>,
    },
    /// Marks a unit as gone on its own request, acknowledged once a majority of the control nodes has that on disk.
    Deregister {
        /// Id of the endpoint.
        id: String,
        /// Receives the acknowledgement.
        done: oneshot::Sender<Acknowledgement>,
    },
    /// Stores a draining or gone endpoint on behalf of another control node.
    StoreEndpoint {
        /// Record of the endpoint.
        record: EndpointRecord,
        /// Receives whether the record is on this node's disk.
        stored: oneshot::Sender<bool>,
    },
    /// The write of the endpoint log that was in progress has ended.
    EndpointLogWritten {
        /// Whether it is on disk.
        is_stored: bool,
    },
    /// The write of a checkpoint has ended.
    CheckpointWritten {
        /// What the checkpoint contained.
        content: CheckpointContent,
        /// Whether it is on disk.
        is_stored: bool,
    },
    /// A majority of the control nodes has the state of an endpoint on disk.
    StoredByMajority {
        /// Id of the endpoint.
        id: String,
        /// State that is stored.
        state: EndpointState,
    },
    /// Handles a consensus request for this node's replica.
    Consensus {
        /// Request of the proposer.
        request: Request,
        /// Receives the response once the records that it depends on are on disk.
        response: oneshot::Sender<Response>,
    },
    /// A replica has responded to a request of this node's proposer.
    ConsensusResponse {
        /// Replica that the request was addressed to.
        from: ReplicaId,
        /// Register of the request.
        register: RegisterId,
        /// Ballot of the request.
        ballot: Ballot,
        /// Response of the replica's holder.
        response: Response,
    },
    /// A control node has responded to a request for this node's recovery or takeover of a replica.
    RecoveryResponse {
        /// Epoch that the request named.
        epoch: Epoch,
        /// Response of the control node.
        response: Response,
    },
    /// A control node has responded to an announcement of epochs.
    EpochsAnnounced {
        /// Name of the control node.
        to: String,
        /// Epochs that were announced to it.
        epochs: Epochs,
        /// Response of the control node.
        response: Response,
    },
    /// The identity of this node's replica, or of the one that it is to hold, is on disk.
    IdentityStored,
    /// The identity could not be written.
    IdentityNotStored,
    /// Proposes an operation.
    Propose {
        /// Register that the operation applies to.
        register: RegisterId,
        /// Operation to apply.
        operation: Operation,
        /// Time at which the request was read from its connection.
        received_at: Instant,
        /// Receives the outcome. Dropping the receiver cancels the proposal if it has not begun a round.
        outcome: oneshot::Sender<Outcome>,
    },
    /// Rolls back a rollout on the vote of a proxy.
    Rollback {
        /// Service of the rollout.
        service: String,
        /// Id of the rollout.
        rollout: u64,
    },
    /// Returns the latest chosen value of a register that this node knows of.
    ReadRegister {
        /// Register to read.
        register: RegisterId,
        /// Receives the value.
        value: oneshot::Sender<Value>,
    },
    /// The value of a register was fetched from a peer.
    RegisterFetched {
        /// Register that was fetched.
        register: RegisterId,
        /// Fetched value.
        value: Value,
    },
    /// Returns the revisions of the registers as read from a majority.
    ReadRevisions(oneshot::Sender<Result<PerRegister<Revision>, Error>>),
    /// The read of the revisions that was in progress has ended.
    RevisionsRead,
    /// Returns the addresses of the proxies that clients of a region should use.
    Resolve {
        /// Region of the client.
        region: String,
        /// Receives the addresses.
        addresses: oneshot::Sender<Vec<SocketAddrV4>>,
    },
    /// Describes the state of the node as text.
    Show(oneshot::Sender<String>),
    /// Describes the evidence on an endpoint as text.
    ShowEvidence {
        /// Id of the endpoint.
        endpoint: String,
        /// Receives the text.
        text: oneshot::Sender<String>,
    },
    /// Replaces the seeds of gossip.
    Seeds(Vec<SocketAddrV4>),
    /// Begins the shutdown of the node.
    ShutDown,
    /// Runs the periodic tasks that are due.
    Tick,
}

/// Sender of the state owner's queue.
pub type CommandQueue = mpsc::UnboundedSender<Command>;

/// How much longer than the time limit of a proposal a caller waits for the answer, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 200;

/// Sends a command to the state owner and waits for the answer.
///
/// # Errors
///
/// [`ErrorKind::NoQuorum`] if no answer arrives in time. The command may still have been carried out.
pub async fn ask_owner<T>(
    queue: &CommandQueue,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, Error> {
    let (sender, answer) = oneshot::channel();
    let timeout = Duration::from_millis(PROPOSAL_TIMEOUT_MS + ANSWER_MARGIN_MS);
    let no_answer = || Error::new(ErrorKind::NoQuorum, "no answer");
    queue.send(command(sender)).map_err(|_| no_answer())?;
    let answered = tokio::time::timeout(timeout, answer).await;
    answered.map_err(|_| no_answer())?.map_err(|_| no_answer())
}
