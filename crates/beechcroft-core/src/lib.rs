//! The module's actor with its open tasks and timers, and what every front and follower tells it. It decides nothing, and
//! knows no socket: who carries the module's actions out is [`Outbound`].

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

pub type Mailbox = mpsc::UnboundedSender<Event>;

/// Everything that the module is told.
pub enum Event {
    Task(NewTask),
    ClientDisconnected(TaskId),
    DispatchEnded(DispatchResult),
    UnitList(UnitList),
    DiscoveryFailed,
    Rollout(RolloutState),
    VoteAnswered(Outcome, Option<RolloutState>),
    Complaint(UnitId, TrackId),
    PeerMessage(PeerId, Vec<u8>),
}

/// How a dispatch ended.
pub struct DispatchResult {
    pub task: TaskId,
    pub number: DispatchNo,
    pub outcome: Outcome,
    pub response: Option<UnitResponse>,
    pub elapsed: Duration,
    /// How many tasks the unit told that it holds.
    pub reported_load: Option<f64>,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    pub build: BuildId,
    pub stage: Stage,
    pub phase: Phase,
    pub cap: f64,
}

/// A vote to be cast.
#[derive(Clone, Copy, Debug)]
pub struct Ballot {
    pub build: BuildId,
    pub stage: Stage,
    pub vote: Vote,
}

/// What a unit's carrier is told.
pub enum UnitCommand {
    UpdateEndpoint(UnitEndpoint),
    /// No longer on the list.
    Remove,
    Dispatch(Dispatch),
    Cancel(TaskId, DispatchNo),
}

pub struct Dispatch {
    pub task: TaskId,
    pub number: DispatchNo,
    pub request: Arc<TaskRequest>,
    pub sent_at: Instant,
    pub time_out: Duration,
}

/// What carries the module's actions out, over whatever wires there are. Nothing here waits.
pub trait Outbound: Send + 'static {
    /// What a dispatch to a unit is handed to.
    type Unit: Clone + Send;

    /// Takes up a unit that was listed.
    fn add_unit(&mut self, listing: UnitEndpoint) -> Self::Unit;
    fn send(&mut self, unit: &Self::Unit, what: UnitCommand);
    /// To one relay of the tier, or to all.
    fn send_to_peers(&mut self, peer: Option<PeerId>, note: &[u8]);
    /// To the platform, if there is one.
    fn cast_vote(&mut self, ballot: Ballot);
    /// Follows the list, where that is not being done.
    fn watch_units(&mut self);
}
