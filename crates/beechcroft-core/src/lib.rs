//! The module's actor with its open tasks and timers, and what every front and follower tells it. It decides nothing, and
//! knows no socket: who carries the module's actions out is a [`Carrier`].

pub mod call;
pub mod list;
pub mod module;
pub mod tasks;
mod timers;

use beechcroft::{
    BuildId, DispatchNo, Outcome, PeerId, Phase, Stage, TaskId, TrackId, UnitId, Vote,
};
use call::{Call, Reply};
use list::{List, Listing};
use std::sync::Arc;
use std::time::Duration;
use tasks::Taken;
use tokio::sync::mpsc;
use tokio::time::Instant;

pub type Mailbox = mpsc::UnboundedSender<Event>;

/// Everything that the module is told.
pub enum Event {
    Task(Taken),
    Left(TaskId),
    Ended(Ended),
    List(List),
    ListFailed,
    News(News),
    VoteAnswered(Outcome, Option<News>),
    Complaint(UnitId, TrackId),
    Note(PeerId, Vec<u8>),
}

/// How a dispatch ended.
pub struct Ended {
    pub task: TaskId,
    pub no: DispatchNo,
    pub outcome: Outcome,
    pub reply: Option<Reply>,
    pub spent: Duration,
    /// How many tasks the unit told that it holds.
    pub held: Option<f64>,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
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
pub enum ToUnit {
    Listed(Listing),
    /// No longer on the list.
    Gone,
    Dispatch(Dispatch),
    Abandon(TaskId, DispatchNo),
}

pub struct Dispatch {
    pub task: TaskId,
    pub no: DispatchNo,
    pub call: Arc<Call>,
    pub at: Instant,
    pub time_out: Duration,
}

/// What carries the module's actions out, over whatever wires there are. Nothing here waits.
pub trait Carrier: Send + 'static {
    /// What a dispatch to a unit is handed to.
    type Unit: Clone + Send;

    /// Takes up a unit that was listed.
    fn unit(&mut self, listing: Listing) -> Self::Unit;
    fn send(&mut self, unit: &Self::Unit, what: ToUnit);
    /// To one relay of the tier, or to all.
    fn tell(&mut self, peer: Option<PeerId>, note: &[u8]);
    /// To the platform, if there is one.
    fn cast(&mut self, ballot: Ballot);
    /// Follows the list, where that is not being done.
    fn follow(&mut self);
}
