//! The actor that owns a relay's decisions ([`beechcroft::decide::Relay`]) with its open tasks and timers, and the
//! events that it receives. It makes no decisions and opens no sockets: an [`Outbound`] carries out its actions.

pub mod actor;
pub mod list;
pub mod request;
pub mod tasks;
mod timers;

use beechcroft::{
    BuildId, DispatchNo, Outcome, PeerId, Phase, Stage, TaskId, TrackId, UnitId, Vote,
};
use list::{UnitEndpoint, UnitList};
use request::{TaskRequest, UnitResponse};
use std::sync::Arc;
use std::time::Duration;
use tasks::NewTask;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Where events for the actor are sent.
pub type Mailbox = mpsc::UnboundedSender<Event>;

/// An event for the actor.
pub enum Event {
    /// A client has sent a task.
    Task(NewTask),
    /// A client that waited for the answer of a task has left.
    ClientDisconnected(TaskId),
    /// A dispatch has ended.
    DispatchEnded(DispatchResult),
    /// Discovery has sent the list of units, or its changes.
    UnitList(UnitList),
    /// Following the list has failed.
    DiscoveryFailed,
    /// The platform has said where the newest build stands.
    Rollout(RolloutState),
    /// The platform has answered a vote, perhaps with the state of the newest build.
    VoteAnswered(Outcome, Option<RolloutState>),
    /// A client has reported a wrong answer of a unit.
    Complaint(UnitId, TrackId),
    /// A relay of the tier has sent a message.
    PeerMessage(PeerId, Vec<u8>),
}

/// How a dispatch ended.
pub struct DispatchResult {
    /// The task.
    pub task: TaskId,
    /// Number of the dispatch.
    pub number: DispatchNo,
    /// The outcome.
    pub outcome: Outcome,
    /// The unit's response, if the outcome is `Ok`.
    pub response: Option<UnitResponse>,
    /// Time from the dispatch to its end.
    pub elapsed: Duration,
    /// Number of tasks that the unit holds, by its load report.
    pub reported_load: Option<f64>,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The build.
    pub build: BuildId,
    /// Its stage.
    pub stage: Stage,
    /// Its phase.
    pub phase: Phase,
    /// The share of the traffic that may go to it.
    pub cap: f64,
}

/// A vote to cast.
#[derive(Clone, Copy, Debug)]
pub struct Ballot {
    /// The build it is about.
    pub build: BuildId,
    /// The stage it is about.
    pub stage: Stage,
    /// What it asks for.
    pub vote: Vote,
}

/// A command to the connections of one unit.
pub enum UnitCommand {
    /// The unit was listed again, perhaps with another endpoint.
    UpdateEndpoint(UnitEndpoint),
    /// The unit is not listed any more.
    Remove,
    /// Sends it a task.
    Dispatch(Dispatch),
    /// Cancels a dispatch.
    Cancel(TaskId, DispatchNo),
}

/// A task that is sent to a unit.
pub struct Dispatch {
    /// The task.
    pub task: TaskId,
    /// Number of the dispatch.
    pub number: DispatchNo,
    /// The request to forward.
    pub request: Arc<TaskRequest>,
    /// When it was dispatched; the time-out counts from then.
    pub sent_at: Instant,
    /// Time after which the dispatch is given up.
    pub time_out: Duration,
}

/// Carries out the actor's actions. No method blocks.
pub trait Outbound: Send + 'static {
    /// Handle of a unit's connections.
    type Unit: Clone + Send;

    /// Adds a unit that was listed for the first time.
    fn add_unit(&mut self, endpoint: UnitEndpoint) -> Self::Unit;
    /// Sends a command to the connections of a unit.
    fn send(&mut self, unit: &Self::Unit, command: UnitCommand);
    /// Sends a message to one relay of the tier, or to all.
    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]);
    /// Casts a vote at the platform, if there is one.
    fn cast_vote(&mut self, ballot: Ballot);
    /// Follows the list of units, unless it is being followed.
    fn watch_units(&mut self);
}
