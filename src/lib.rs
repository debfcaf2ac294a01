//! beechcroft: a front tier that watches over software updates.
//!
//! Each relay takes tasks, dispatches them to units, judges a build on trial by what comes back, and votes.
//! All decisions are made in [`decide`]; this file is its interface: the ids, the [`Settings`] handed in at
//! start, and [`Actions`], the trait through which the module acts. A front (the bench's adapter today) calls
//! the methods of [`decide::Relay`] with decoded fields and carries out what comes through [`Actions`].

use smol_str::SmolStr;
use std::time::Duration;

pub mod cusum;
pub mod decide;
pub mod histogram;
pub mod state;

/// A task, as its client's front names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskId(pub SmolStr);

/// A unit: a server process that tasks are dispatched to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnitId(pub SmolStr);

/// A build of the units' software; later builds are higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BuildId(pub u16);

/// A track: position in [`Settings::tracks`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackId(pub usize);

/// A tenant: position in [`Settings::tenant_quotas`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// A zone: position in the front's own list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// A kind of machine: position in the front's own list of kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// A cell: a small set of units that share knowledge of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u64);

/// A relay of the same tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// What a task is about; tasks with one key are related.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// The number of a task's dispatch, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchNo(pub u32);

/// A stage of a build's rollout, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stage(pub usize);

/// Marks a wake-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// The units among which repeats of a deduplicated task are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// Whether a task may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated { scope: DedupScope, window: Duration },
    Unrepeatable,
}

/// One track of tasks.
#[derive(Clone, Debug)]
pub struct Track {
    pub effect: Effect,
    pub quoted_time: Duration,
    pub utility: f64,
    /// Share of the utility that an answer after the quoted time still earns.
    pub late_utility: f64,
    /// The quoted time grows by this multiple of the task's own work.
    pub quoted_time_per_work: f64,
}

/// How votes move a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateMode {
    FirstVote,
    VoteCount,
    Automatic,
}

/// What the front is told at start. The module turns it into the few figures it uses and keeps none of it.
#[derive(Clone, Debug)]
pub struct Settings {
    pub own_id: PeerId,
    pub relays: u32,
    pub zone: Option<ZoneId>,
    pub tracks: Vec<Track>,
    pub tenant_quotas: Vec<f64>,
    pub over_quota_weight: f64,
    pub clock_granularity: Duration,
    pub cross_zone_charge: f64,
    pub discovery_on_request: bool,
    pub may_message_peers: bool,
    pub may_cancel: bool,
    pub may_set_retry_after: bool,
    pub max_dispatches: u32,
    pub max_retry_after: Duration,
    pub drain_grace: Duration,
    /// After which a unit may close an idle connection.
    pub idle_close: Duration,
    pub cold_capacity: f64,
    pub warm_up: Duration,
    pub overload_multiple: f64,
    pub overload_duration: Duration,
    pub gate: GateMode,
    pub in_place: bool,
    pub stage_caps: Vec<f64>,
    /// By stage, the part of the fleet's places that runs the new build; none where that is not stated.
    pub stage_shares: Vec<f64>,
    pub idempotent_only_stages: usize,
    pub exposure_allowance: f64,
    pub exposure_window: Duration,
    pub exposure_by_track: bool,
    pub forward_only: bool,
    pub vote_timeout: Duration,
    pub vote_ttl: Duration,
    pub votes_per_s: f64,
    /// Votes that take a build a stage further; 0 where that is not stated.
    pub votes_to_advance: u32,
    /// Points lost if all were served by an older build than the newest good one.
    pub delay_price: f64,
    /// The share of wrong answers that clients report.
    pub complaint_share: f64,
}

/// What the list says of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Ready,
    Draining,
    Gone,
}

/// How a dispatch, a probe or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimeOut,
    ConnectFailed,
    Reset,
    Abandoned,
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the task never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    Reverting,
    Released,
    Withdrawn,
}

/// What a vote asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    Nothing,
    On,
    Hold,
    Back,
}

/// Everything the module can do.
pub trait Actions {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration);
    fn nack(&mut self, task: &TaskId, hold_off: Duration);
    fn terminate(&mut self, task: &TaskId);
    fn cancel(&mut self, task: &TaskId, dispatch: DispatchNo);
    /// To one relay of the tier, or to all.
    fn send_to_peers(&mut self, peer: Option<PeerId>, payload: &[u8]);
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote);
    fn set_timer(&mut self, after: Duration, token: TimerId);
    fn watch_units(&mut self);
    fn log(&mut self, line: &str);
}
