//! beechcroft: a front tier that watches over software updates.
//!
//! Each relay takes tasks, dispatches them to units, judges a build on trial by their outcomes, and votes on it.
//! All decisions are made in [`decide`]; this file is its interface: the ids, the [`Settings`] that it is started
//! with, and [`Actions`], the trait through which it acts. `beechcroft-core` (a relay on sockets) and
//! `beechcroft-adapter` (the simulator's wire) call the methods of [`decide::Relay`] with decoded fields and carry
//! out the actions.

use smol_str::SmolStr;
use std::time::Duration;

pub mod cusum;
pub mod decide;
pub mod histogram;
pub mod state;

/// Id of a task, as its client gives it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskId(pub SmolStr);

/// Id of a unit: a server process that tasks are dispatched to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnitId(pub SmolStr);

/// Number of a build of the units' software; later builds have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BuildId(pub u16);

/// Position of a track in [`Settings::tracks`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackId(pub usize);

/// Position of a tenant in [`Settings::tenant_quotas`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Position of a zone in the caller's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// Position of a machine type in the caller's list of machine types.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// Number of a cell: a small set of units that share what they know of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u64);

/// Number of a relay of the same tier, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// What a task is about; tasks with the same key are related.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// Number of a dispatch of a task, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchNo(pub u32);

/// A stage of a build's rollout, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stage(pub usize);

/// Identifies a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// The units among which repeats of a deduplicated task are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All units.
    All,
    /// The units of one zone.
    Zone,
    /// The units of one cell.
    Cell,
}

/// Whether a task may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running it again does no harm.
    Idempotent,
    /// Units of the scope drop a repeat that comes within the window.
    Deduplicated {
        /// The units that drop it.
        scope: DedupScope,
        /// Time after the first dispatch in which they do.
        window: Duration,
    },
    /// It must not run twice.
    Unrepeatable,
}

/// One track: tasks of the same kind.
#[derive(Clone, Debug)]
pub struct Track {
    /// Whether its tasks may run again.
    pub effect: Effect,
    /// The response time quoted to clients for a task without own work.
    pub quoted_time: Duration,
    /// Value of an answer within the quoted time.
    pub utility: f64,
    /// Share of the utility that an answer after the quoted time still has.
    pub late_utility: f64,
    /// Growth of the quoted time, in seconds per second of the task's own work.
    pub quoted_time_per_work: f64,
}

/// How votes move a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateMode {
    /// The first vote advances it.
    FirstVote,
    /// A number of votes advances it.
    VoteCount,
    /// It advances by itself unless votes hold it.
    Automatic,
}

/// The settings that a relay is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This relay's number.
    pub own_id: PeerId,
    /// Number of relays in the tier.
    pub relays: u32,
    /// The zone this relay runs in, if it is one of those listed.
    pub zone: Option<ZoneId>,
    /// All tracks.
    pub tracks: Vec<Track>,
    /// Quota of each tenant over the whole tier, in tasks per second.
    pub tenant_quotas: Vec<f64>,
    /// Utility of a task above its tenant's quota, relative to one within it.
    pub over_quota_weight: f64,
    /// Granularity of times on the wire.
    pub clock_granularity: Duration,
    /// Charge for a dispatch to another zone; only whether it is above 0 matters.
    pub cross_zone_charge: f64,
    /// Whether discovery sends the list only on request.
    pub discovery_on_request: bool,
    /// Whether relays may send messages to each other.
    pub may_message_peers: bool,
    /// Whether a dispatch may be cancelled.
    pub may_cancel: bool,
    /// Whether a nack may say when to try again.
    pub may_set_retry_after: bool,
    /// Dispatches per task, at most.
    pub max_dispatches: u32,
    /// The longest time that a nack may name.
    pub max_retry_after: Duration,
    /// Time that a draining unit, or a lowered exposure cap, leaves for what is under way.
    pub drain_grace: Duration,
    /// Time after which a unit may close an idle connection.
    pub idle_close: Duration,
    /// Capacity of a unit at its start, as a share of its warm capacity.
    pub cold_capacity: f64,
    /// Time from a unit's start until it has its full capacity.
    pub warm_up: Duration,
    /// Multiple of its capacity at which a cold unit fails.
    pub overload_multiple: f64,
    /// How long a unit bears such an overload.
    pub overload_duration: Duration,
    /// How votes move a build.
    pub gate: GateMode,
    /// Whether units of a new build replace old ones instead of running beside them.
    pub in_place: bool,
    /// By stage, the share of the traffic that the new build may get.
    pub stage_caps: Vec<f64>,
    /// By stage, the share of the fleet's units that runs the new build; empty where that is not stated.
    pub stage_shares: Vec<f64>,
    /// Number of initial stages in which the new build gets idempotent tasks only.
    pub idempotent_only_stages: usize,
    /// Dispatches to the new build that are permitted within the exposure window, whatever its cap.
    pub exposure_allowance: f64,
    /// Time over which exposure is counted.
    pub exposure_window: Duration,
    /// Whether exposure is counted for each track on its own.
    pub exposure_by_track: bool,
    /// Whether a key that the new build has answered must not go back to an earlier one.
    pub forward_only: bool,
    /// How long the platform's answer to a vote is awaited.
    pub vote_timeout: Duration,
    /// How long a vote stands.
    pub vote_ttl: Duration,
    /// Votes per second that the platform takes of all relays together.
    pub votes_per_s: f64,
    /// Votes that advance a build by a stage; 0 where that is not stated.
    pub votes_to_advance: u32,
    /// Points lost if all tasks were served by an older build than the newest good one.
    pub delay_price: f64,
    /// The share of wrong answers that clients report.
    pub complaint_share: f64,
}

/// State of a unit in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes new tasks.
    Ready,
    /// It takes no new tasks and finishes those it has.
    Draining,
    /// It is not there any more.
    Gone,
}

/// How a dispatch or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Ok,
    /// It was answered with an error.
    Error,
    /// It was rejected for lack of room.
    Full,
    /// It was not answered in time.
    TimeOut,
    /// There was no connection.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    Reset,
    /// It was cancelled.
    Abandoned,
    /// It was not sent, or was about something that has changed since.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the task never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It gets a share of the traffic.
    OnTrial,
    /// It is being rolled back.
    Reverting,
    /// It gets all of the traffic.
    Released,
    /// It has been rolled back.
    Withdrawn,
}

/// What a vote asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Nothing; takes an earlier vote back.
    Nothing,
    /// The build is to advance by a stage.
    On,
    /// The build is to stay in its stage.
    Hold,
    /// The build is to be rolled back.
    Back,
}

/// The actions of a relay. None of them blocks.
pub trait Actions {
    /// Sends a task to a unit; its end is reported with the number of the dispatch, counted from 0.
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration);
    /// Answers that trying again does no harm; `retry_after` is zero where no time is named.
    fn nack(&mut self, task: &TaskId, retry_after: Duration);
    /// Answers that the task may or may not have run.
    fn terminate(&mut self, task: &TaskId);
    /// Cancels a dispatch.
    fn cancel(&mut self, task: &TaskId, dispatch: DispatchNo);
    /// Sends a message to one relay of the tier, or to all.
    fn send_to_peers(&mut self, peer: Option<PeerId>, payload: &[u8]);
    /// Casts a vote.
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote);
    /// Sets a timer.
    fn set_timer(&mut self, after: Duration, timer: TimerId);
    /// Follows the list of units.
    fn watch_units(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
