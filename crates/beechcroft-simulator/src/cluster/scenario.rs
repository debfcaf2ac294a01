//! A day of the world's own, as a file says it: what stands there, what is planned, what goes wrong. Read with its
//! checks; a fault is named by key and line.

use super::disk::SyncFailure;
use super::network::PartitionKind;
use super::response_faults::ResponseFault;
use garde::Validate;
use serde::{Deserialize, Serialize};

/// What is played.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Scenario {
    /// Its name.
    #[garde(length(min = 1))]
    pub name: String,
    /// What goes wrong, in a sentence.
    #[serde(default, rename = "about")]
    pub description: String,
    /// The seed of all random numbers.
    #[serde(default = "one")]
    pub seed: u64,
    /// Regions.
    #[serde(default = "three")]
    #[garde(range(min = 1, max = 6))]
    pub regions: usize,
    /// Machines that run a proxy.
    #[serde(default = "nine")]
    #[garde(range(min = 1, max = 1000))]
    pub edges: usize,
    /// Machines that run a control node.
    #[serde(default = "three")]
    #[garde(range(min = 1, max = 9))]
    pub cores: usize,
    /// Of each service.
    #[serde(default = "nine")]
    #[garde(range(min = 1, max = 500))]
    pub units: usize,
    /// Requests that a unit executes at once.
    #[serde(default = "four")]
    #[garde(range(min = 1, max = 64))]
    pub slots: usize,
    /// Requests a second: look-ups; a third as many writes, a sixth downloads.
    #[serde(default = "rate")]
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub rate: f64,
    /// From the start of traffic, which comes 8 s after that of the machines.
    #[serde(default = "seconds")]
    #[garde(range(min = 1.0, max = 3600.0))]
    pub seconds: f64,
    /// One way within a region, in milliseconds.
    #[serde(default = "zone_ms")]
    pub zone_ms: u64,
    /// One way between regions, in milliseconds.
    #[serde(default = "region_ms")]
    pub region_ms: u64,
    /// How long a sync takes, in milliseconds.
    #[serde(default = "zone_ms")]
    pub sync_ms: u64,
    /// When power goes, of the records that were being written any first part may be found there, not batches alone.
    #[serde(default, rename = "torn")]
    pub torn_writes: bool,
    /// Of datagrams.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.9))]
    pub loss: f64,
    /// Part of datagrams that come twice.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.9))]
    pub twice: f64,
    /// Flags of the programs.
    #[serde(default, rename = "places")]
    pub usual_places: usize,
    /// Whether services get outlier rules by default.
    #[serde(default, rename = "verdicts")]
    pub outlier_detection: bool,
    /// Each edge machine is asked until it goes by a new configuration, to see how long that takes.
    #[serde(default, rename = "spread")]
    pub measure_config_spread: bool,
    /// Each core machine is asked which membership it holds, to see when one changes hands.
    #[serde(default, rename = "memberships")]
    pub record_memberships: bool,
    /// Each edge machine is asked from its start on until it is ready, to see how long that takes.
    #[serde(default, rename = "starts")]
    pub measure_readiness: bool,
    /// By number: datagrams that are lost, syncs that do something else.
    #[serde(default, rename = "lost_letters")]
    pub lost_datagrams: Vec<u64>,
    /// Syncs that fail, by number.
    #[serde(default, rename = "syncs")]
    pub sync_faults: Vec<InjectedSyncFault>,
    /// What happens.
    #[serde(default)]
    #[garde(dive)]
    pub event: Vec<Event>,
    /// Of the system's parts, one that is broken: the checker must find it.
    #[serde(default)]
    pub mutant: Option<Mutant>,
    /// Of the control side's guards, one that is taken out of the programs' own text: tests must find it missing.
    #[serde(default, rename = "without")]
    pub disabled_safeguard: Option<beechcroft_safeguards::Safeguard>,
}

/// What one sync does instead of its work.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InjectedSyncFault {
    /// Its number, from 1, over all disks.
    pub number: u64,
    /// What it does.
    #[serde(rename = "does")]
    pub failure: SyncFailure,
}

/// What happens at one time.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Event {
    /// Seconds from the start of traffic.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// What meets a machine in trouble, and as it returns.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ConcurrentChange {
    /// A change of the configuration is sent to that machine first, during its trouble and as it returns.
    #[serde(rename = "change")]
    SingleChange,
    /// Two of them at once each time, the other one to another machine.
    #[serde(rename = "race")]
    ConflictingChanges,
    /// A change is sent to it alone, again and again until it answers.
    #[serde(rename = "hard")]
    PersistentChange,
    /// Units of its zone leave soon after it is back.
    Drain,
}

/// What a configuration changes besides its routes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A route goes to another service.
    #[default]
    Route,
    /// A route is split between two services, by other weights each time.
    Weights,
    /// The routes' time-outs.
    Timeout,
    /// The time after which idle connections are closed.
    Idle,
}

/// The moment right after which a strike comes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultTrigger {
    /// A change was acknowledged.
    #[default]
    #[serde(rename = "acked")]
    ConfigAcknowledged,
    /// A change was sent, acknowledged or not.
    #[serde(rename = "sent")]
    ConfigSent,
    /// A client's write was answered with success.
    #[serde(rename = "taken")]
    WriteSucceeded,
    /// An evacuation was acknowledged; it is taken back 8 s after the machines return.
    #[serde(rename = "evacuated")]
    EvacuationAcknowledged,
    /// A unit's word that it leaves was acknowledged.
    #[serde(rename = "drained")]
    DrainAcknowledged,
}

/// What is planned, and what goes wrong. `on`: machines whose name begins so, a zone or a region; `leader`: the core
/// machine that acknowledged last; `reader`: the one whose directory was read last.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EventKind {
    /// A configuration with so many routes more; `drop`: and without one that was added before.
    Config {
        /// Routes that are added.
        #[serde(default)]
        routes: usize,
        /// Whether one that was added before is left out.
        #[serde(default)]
        drop: bool,
    },
    /// One that changes something else than routes' prefixes.
    #[serde(rename = "alter")]
    ChangeSettings {
        /// What it changes.
        change: Change,
    },
    /// Trouble of a core machine, and what it is sent meanwhile and as it returns.
    #[serde(rename = "met")]
    FaultWithChanges {
        /// What meets the machine.
        #[serde(rename = "by")]
        concurrent_change: ConcurrentChange,
        /// What happens.
        #[serde(rename = "what")]
        fault: Box<EventKind>,
    },
    /// Two of them at once on the same version, sent to different control nodes.
    #[serde(rename = "race")]
    ConflictingConfigs,
    /// Two of them at once, different ones under the same number.
    #[serde(rename = "twins")]
    SameVersionTwice,
    /// A configuration that has to be refused.
    #[serde(rename = "invalid")]
    InvalidConfig,
    /// A version is rolled out.
    Rollout {
        /// The service.
        service: String,
        /// Part of requests that fail.
        #[serde(default, rename = "fails")]
        failure_rate: f64,
        /// Times the time that a request should take.
        #[serde(default, rename = "slow")]
        slowdown: f64,
        /// The ramp, in seconds.
        #[serde(default = "ramp")]
        ramp_s: f64,
    },
    /// A zone is evacuated for a while.
    Evacuate {
        /// The zone.
        zone: String,
        /// How long, in seconds.
        for_s: f64,
    },
    /// Units say that they leave, are acknowledged, and end.
    #[serde(rename = "drain")]
    DrainUnits {
        /// The service.
        service: String,
        /// How many.
        count: usize,
    },
    /// Units that are new and cold.
    #[serde(rename = "add")]
    AddUnits {
        /// The service.
        service: String,
        /// How many.
        count: usize,
    },
    /// Units end without a word; their addresses go to another service's after 2 s if `reuse`.
    #[serde(rename = "crash")]
    CrashUnits {
        /// The service.
        service: String,
        /// How many.
        count: usize,
        /// Whether units of another service start at their addresses.
        #[serde(default)]
        reuse: bool,
    },
    /// Units are ill for a while.
    #[serde(rename = "ill")]
    ImpairUnits {
        /// The service.
        service: String,
        /// How many.
        count: usize,
        /// How long, in seconds.
        for_s: f64,
        /// Part of requests that fail.
        #[serde(default, rename = "fails")]
        failure_rate: f64,
        /// Times the time that a request should take.
        #[serde(default, rename = "slow")]
        slowdown: f64,
        /// Part of responses that are lost.
        #[serde(default, rename = "loses")]
        response_loss_rate: f64,
        /// Part of responses that are not HTTP.
        #[serde(default, rename = "spoils")]
        malformed_response_rate: f64,
        /// Whether health checks say the opposite.
        #[serde(default, rename = "lies")]
        inverts_health: bool,
    },
    /// A part of the answers of units is wrong for a while.
    #[serde(rename = "answers")]
    FaultyResponses {
        /// The service.
        service: String,
        /// How many.
        count: usize,
        /// How long, in seconds.
        for_s: f64,
        /// The part.
        part: f64,
        /// What is wrong.
        #[serde(rename = "wrong")]
        fault: ResponseFault,
    },
    /// Units lose power without a word, and come back at their addresses under other names.
    #[serde(rename = "dark")]
    UnitPowerLoss {
        /// The service.
        service: String,
        /// How many.
        count: usize,
        /// How long, in seconds.
        for_s: f64,
    },
    /// Units go down and up by turns.
    #[serde(rename = "flap")]
    FlapUnits {
        /// The service.
        service: String,
        /// How many.
        count: usize,
        /// How long, in seconds.
        for_s: f64,
        /// The time between two of them, in seconds.
        every_s: f64,
    },
    /// Units turn cold.
    #[serde(rename = "cold")]
    CoolUnits {
        /// The service.
        service: String,
        /// How many.
        count: usize,
    },
    /// Processes are killed, and started again after a while.
    Kill {
        /// The machines.
        on: String,
        /// How long they are down, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// SIGTERM; then a new start.
    #[serde(rename = "term")]
    Restart {
        /// The machines.
        on: String,
    },
    /// Processes do nothing for a while.
    Freeze {
        /// The machines.
        on: String,
        /// How long, in seconds.
        for_s: f64,
    },
    /// Machines lose power, and have it again after a while.
    #[serde(rename = "power")]
    PowerLoss {
        /// The machines.
        on: String,
        /// How long they are down, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// The same, and their disks are lost.
    #[serde(rename = "wipe")]
    DiskLoss {
        /// The machines.
        on: String,
        /// How long they are down, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Processes are killed, and a record on their disks cannot be read any more as they start again.
    #[serde(rename = "damage")]
    DamagedRecord {
        /// The machines.
        on: String,
        /// The record's key.
        record: String,
        /// How long they are down, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// A core machine is gone for good; an empty one comes at another address.
    #[serde(rename = "replace")]
    ReplaceMachine {
        /// The machines.
        on: String,
    },
    /// Machines cannot reach each other for a while.
    #[serde(rename = "cut")]
    Partition {
        /// The one side.
        from: String,
        /// The other side; `*`: all others.
        to: String,
        /// How long, in seconds.
        for_s: f64,
        /// Whether only what goes from the one to the other is lost.
        #[serde(default)]
        one_way: bool,
        /// What those whom it parts see of it.
        #[serde(default)]
        how: PartitionKind,
    },
    /// Syncs take longer for a while.
    SlowDisk {
        /// The machines.
        on: String,
        /// How long a sync takes, in milliseconds.
        sync_ms: u64,
        /// How long, in seconds.
        for_s: f64,
    },
    /// Datagrams are lost for a while.
    #[serde(rename = "loss")]
    DatagramLoss {
        /// The part.
        part: f64,
        /// How long, in seconds.
        for_s: f64,
    },
    /// Clocks are wrong from now on.
    #[serde(rename = "skew")]
    ClockSkew {
        /// The machines.
        on: String,
        /// By how much, in milliseconds.
        ms: i64,
    },
    /// So many times the requests for a while.
    Burst {
        /// Times the usual rate.
        times: f64,
        /// How long, in seconds.
        for_s: f64,
    },
    /// Many changes, one each so many ms. Parts of them: whose answers are lost on their way, that race another one on
    /// the same version, after which the newest one is sent again.
    #[serde(rename = "storm")]
    ChangeStorm {
        /// How many.
        count: usize,
        /// The time between two of them, in milliseconds.
        every_ms: u64,
        /// Part whose responses are lost.
        #[serde(default)]
        lost: f64,
        /// Part that race another one.
        #[serde(default)]
        races: f64,
        /// Part after which the newest one is sent again.
        #[serde(default)]
        again: f64,
    },
    /// Answers to the operators are lost on their way.
    #[serde(rename = "unheard")]
    LostOperatorResponses {
        /// The part.
        part: f64,
        /// How long, in seconds.
        for_s: f64,
    },
    /// The settings name other seeds, the core machines called `first` before the others; so many edge machines are
    /// killed and started anew.
    #[serde(rename = "seeds")]
    ChangeSeeds {
        /// The control nodes that come first.
        first: String,
        /// Proxies that start by the new seeds.
        #[serde(default)]
        restart: usize,
    },
    /// SIGTERM to one machine after the other; `remove`: a new one starts elsewhere first, and the old one leaves for
    /// good.
    #[serde(rename = "roll")]
    RollingRestart {
        /// The machines.
        on: String,
        /// Whether each is replaced for good.
        #[serde(default)]
        remove: bool,
        /// The time between two of them, in seconds.
        every_s: f64,
    },
    /// A share of the machines is killed at once.
    #[serde(rename = "herd")]
    MassFailure {
        /// The machines.
        on: String,
        /// The share of them.
        share: f64,
        /// Whether they lose power; else processes are killed.
        #[serde(default)]
        power: bool,
        /// How long they are down, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Machines are killed, or lose power, so many ms after something; disks of `wipe` are lost. `closing`: the end of
    /// the day is judged as after a closing fault.
    #[serde(rename = "strike")]
    TriggeredFault {
        /// The machines.
        on: String,
        /// After what it comes.
        #[serde(default)]
        after: FaultTrigger,
        /// How long after that, in milliseconds.
        #[serde(default)]
        wait_ms: u64,
        /// Whether they lose power; else processes are killed.
        #[serde(default)]
        power: bool,
        /// Machines that lose their disks.
        #[serde(default)]
        wipe: Option<String>,
        /// How long they are down, in seconds.
        #[serde(default = "down")]
        down_s: f64,
        /// Whether the end is judged as after a closing fault.
        #[serde(default)]
        closing: bool,
    },
    /// Every machine loses power, or every process is killed, right after a configuration was acknowledged.
    #[serde(rename = "closing")]
    FinalFault {
        /// Whether they lose power; else processes are killed.
        #[serde(default)]
        power: bool,
        /// Machines that lose their disks.
        #[serde(default)]
        wipe: Option<String>,
    },
}

/// Broken parts, one for each rule.
#[derive(
    Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, strum::EnumIter, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mutant {
    /// An edge answers with the first half of the body as if it were whole.
    #[serde(rename = "half_bodies")]
    #[strum(serialize = "half_bodies")]
    TruncatedBodies,
    /// An edge changes the path on its way to the unit.
    #[serde(rename = "other_paths")]
    #[strum(serialize = "other_paths")]
    AlteredPaths,
    /// What must not run twice is sent to a second unit as well.
    #[serde(rename = "second_copies")]
    #[strum(serialize = "second_copies")]
    DuplicateWrites,
    /// A 504 is handed to the client as 503.
    #[serde(rename = "false_promises")]
    #[strum(serialize = "false_promises")]
    FalseNotExecuted,
    /// Proper requests are answered 403.
    #[serde(rename = "denies")]
    #[strum(serialize = "denies")]
    RejectsValidRequests,
    /// News among proxies never come: drains, evacuations, configurations.
    #[serde(rename = "no_news")]
    #[strum(serialize = "no_news")]
    NoGossip,
    /// Requests are broken off at SIGTERM.
    #[serde(rename = "hasty_ends")]
    #[strum(serialize = "hasty_ends")]
    AbruptShutdown,
    /// Every repeatable request is sent five times.
    #[serde(rename = "many_tries")]
    #[strum(serialize = "many_tries")]
    ExcessiveRetries,
    /// No trial is ever voted back, and it gets all requests.
    #[serde(rename = "blind_trials")]
    #[strum(serialize = "blind_trials")]
    UncontrolledCanary,
    /// Cold units are sent to like warm ones.
    #[serde(rename = "cold_is_warm")]
    #[strum(serialize = "cold_is_warm")]
    IgnoresWarmup,
    /// Homes are not heeded.
    #[serde(rename = "homeless")]
    #[strum(serialize = "homeless")]
    IgnoresHomeRegions,
    /// Evacuations are not heeded.
    #[serde(rename = "stays_there")]
    #[strum(serialize = "stays_there")]
    IgnoresEvacuation,
    /// Disks say that they have synced and have not.
    #[serde(rename = "lying_disks")]
    #[strum(serialize = "lying_disks")]
    FalseSync,
    /// A proxy goes back to an older configuration.
    #[serde(rename = "goes_back")]
    #[strum(serialize = "goes_back")]
    ConfigRollback,
    /// Two configurations on the same version are both acknowledged.
    #[serde(rename = "both_win")]
    #[strum(serialize = "both_win")]
    AcceptsConflicts,
    /// Nothing is served after a loss of power.
    #[serde(rename = "stays_down")]
    #[strum(serialize = "stays_down")]
    NoRecovery,
    /// Requests go to units whose address another service has now, without naming the unit.
    #[serde(rename = "any_unit")]
    #[strum(serialize = "any_unit")]
    IgnoresTargetUnit,
    /// A control node takes a configuration once, and refuses it when it is sent again.
    #[serde(rename = "takes_once")]
    #[strum(serialize = "takes_once")]
    RejectsRepeats,
    /// A control node is silent to every order.
    #[serde(rename = "mute")]
    #[strum(serialize = "mute")]
    UnresponsiveControl,
    /// A task of an edge panics; the others go on.
    #[serde(rename = "panics")]
    #[strum(serialize = "panics")]
    TaskPanic,
    /// An edge ends by itself, as if all were well.
    #[serde(rename = "quits")]
    #[strum(serialize = "quits")]
    UnexpectedExit,
}

fn one() -> u64 {
    1
}
fn three() -> usize {
    3
}
fn four() -> usize {
    4
}
fn nine() -> usize {
    9
}
fn rate() -> f64 {
    60.0
}
fn seconds() -> f64 {
    20.0
}
fn zone_ms() -> u64 {
    1
}
fn region_ms() -> u64 {
    20
}
fn ramp() -> f64 {
    10.0
}
fn down() -> f64 {
    1.0
}

impl Scenario {
    /// As a file says it.
    pub fn text(&self) -> String {
        toml::to_string(self).expect("plain data")
    }

    /// Reads a file's text; a fault names key and line.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        scenario
            .validate()
            .map_err(|report| report.to_string().trim_end().to_owned())?;
        for event in &scenario.event {
            scenario.check(event)?;
        }
        Ok(scenario)
    }

    fn check(&self, event: &Event) -> Result<(), String> {
        let known = |service: &str| {
            super::services::SERVICES
                .iter()
                .any(|held| held.0 == service)
        };
        let service = match &event.kind {
            EventKind::Rollout { service, .. }
            | EventKind::DrainUnits { service, .. }
            | EventKind::AddUnits { service, .. } => service,
            EventKind::CrashUnits { service, .. }
            | EventKind::ImpairUnits { service, .. }
            | EventKind::CoolUnits { service, .. } => service,
            EventKind::FlapUnits { service, .. }
            | EventKind::UnitPowerLoss { service, .. }
            | EventKind::FaultyResponses { service, .. } => service,
            _ => return Ok(()),
        };
        match known(service) {
            true => Ok(()),
            false => Err(format!(
                "event at {}: service `{service}` is not known",
                event.at
            )),
        }
    }
}
