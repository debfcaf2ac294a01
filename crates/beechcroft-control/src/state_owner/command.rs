//! The commands of the state owner, and how to ask it.

use super::PROPOSAL_TIMEOUT_MS;
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

/// Whether something was done that may be acknowledged.
pub type Acknowledgement = Result<(), Error>;

/// What the state owner is asked or told.
pub enum Command {
    /// A gossip message has come.
    Message(SocketAddrV4, Box<Message>),
    /// A unit's heartbeat. If it tells of a drain, it is acknowledged once a majority of the control nodes stores it.
    Heartbeat {
        /// The record.
        record: EndpointRecord,
        /// Gets the acknowledgement.
        done: oneshot::Sender<Acknowledgement>,
    },
    /// A unit ends.
    Deregister {
        /// Its id.
        id: String,
        /// Gets the acknowledgement.
        done: oneshot::Sender<Acknowledgement>,
    },
    /// Another control node passes on a drain or an end.
    StoreEndpoint {
        /// The record.
        record: EndpointRecord,
        /// Told once it is stored.
        done: oneshot::Sender<()>,
    },
    /// A majority of the control nodes stores that an endpoint has reached a state.
    StoredByMajority {
        /// The endpoint's id.
        id: String,
        /// The state.
        state: EndpointState,
    },
    /// A consensus request for this node's replica.
    Consensus {
        /// The request.
        request: Request,
        /// Gets the response, once it may go out.
        response: oneshot::Sender<Response>,
    },
    /// A response to a request of this node's proposer.
    ConsensusResponse {
        /// The replica that was addressed.
        from: ReplicaId,
        /// The register of the request.
        register: RegisterId,
        /// The ballot of the request.
        ballot: Ballot,
        /// The response.
        response: Response,
    },
    /// A response to a fence of this node.
    FenceResponse {
        /// The epoch of the fence.
        epoch: Epoch,
        /// The response.
        response: Response,
    },
    /// A control node has answered an announcement of epochs.
    EpochsAnnounced {
        /// The node.
        to: String,
        /// What was announced.
        epochs: Epochs,
        /// Its answer.
        response: Response,
    },
    /// The replica's identity is on disk.
    IdentityStored,
    /// The replica's identity could not be written.
    IdentityNotStored,
    /// An operation is proposed.
    Propose {
        /// The register that it changes.
        register: RegisterId,
        /// The operation.
        operation: Operation,
        /// When it was read off its connection.
        received_at: Instant,
        /// Gets the outcome.
        outcome: oneshot::Sender<Outcome>,
    },
    /// A proxy votes to roll back.
    Rollback {
        /// The service.
        service: String,
        /// The rollout's id.
        rollout: u64,
    },
    /// The latest known value of a register is asked for.
    ReadRegister {
        /// The register.
        register: RegisterId,
        /// Gets the value.
        value: oneshot::Sender<Value>,
    },
    /// A register's value was fetched from a peer.
    RegisterFetched {
        /// The register.
        register: RegisterId,
        /// The value.
        value: Value,
    },
    /// The revisions of the registers are asked for, read from a majority.
    ReadRevisions(oneshot::Sender<Result<PerRegister<Revision>, Error>>),
    /// A read of the revisions has ended.
    RevisionsRead,
    /// A client asks where to go.
    Resolve {
        /// The client's region.
        region: String,
        /// Gets the addresses of proxies.
        addresses: oneshot::Sender<Vec<SocketAddrV4>>,
    },
    /// What the node knows is asked for, as text.
    Show(oneshot::Sender<String>),
    /// The evidence on an endpoint is asked for, as text.
    ShowEvidence {
        /// The endpoint's id.
        endpoint: String,
        /// Gets the text.
        text: oneshot::Sender<String>,
    },
    /// The seeds have changed.
    Seeds(Vec<SocketAddrV4>),
    /// The node is to shut down.
    ShutDown,
    /// Time has passed.
    Tick,
}

/// The queue of the state owner.
pub type CommandQueue = mpsc::UnboundedSender<Command>;

/// How long an answer is waited for beyond the time that a proposal has.
const ANSWER_MARGIN_MS: u64 = 200;

/// Sends a command that is answered, and waits for the answer.
///
/// # Errors
///
/// [`ErrorKind::NoQuorum`] if no answer comes in time. The command may have been carried out.
pub async fn ask_owner<T>(
    queue: &CommandQueue,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, Error> {
    let (sender, answer) = oneshot::channel();
    let within = Duration::from_millis(PROPOSAL_TIMEOUT_MS + ANSWER_MARGIN_MS);
    let no_answer = || Error::new(ErrorKind::NoQuorum, "no answer");
    queue.send(command(sender)).map_err(|_| no_answer())?;
    let answered = tokio::time::timeout(within, answer).await;
    answered.map_err(|_| no_answer())?.map_err(|_| no_answer())
}
