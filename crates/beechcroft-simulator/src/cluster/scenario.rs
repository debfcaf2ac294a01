//! Simulation scenarios as read from a TOML file: the topology, the planned operations and the injected faults.
//! Validation errors name the key and the line. Rust fields that garde validates keep the names of their keys, as its
//! messages print them.

use super::disk::SyncFailure;
use super::network::PartitionKind;
use super::response_faults::ResponseFault;
use garde::Validate;
use serde::{Deserialize, Serialize};

/// A simulation run: topology, load, events and the faults that hold throughout.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Scenario {
    /// The name, as reports print it.
    #[garde(length(min = 1))]
    pub name: String,
    /// One sentence on what the scenario tests.
    #[serde(default, rename = "about")]
    pub description: String,
    /// The seed of every random number generator.
    #[serde(default = "one")]
    pub seed: u64,
    /// Number of regions, each of two zones.
    #[serde(default = "three")]
    #[garde(range(min = 1, max = 6))]
    pub regions: usize,
    /// Number of machines that run a proxy.
    #[serde(default = "nine")]
    #[garde(range(min = 1, max = 1000))]
    pub edges: usize,
    /// Number of machines that run a control node.
    #[serde(default = "three")]
    #[garde(range(min = 1, max = 9))]
    pub cores: usize,
    /// Number of units of each service.
    #[serde(default = "nine")]
    #[garde(range(min = 1, max = 500))]
    pub units: usize,
    /// Requests that a unit executes concurrently.
    #[serde(default = "four")]
    #[garde(range(min = 1, max = 64))]
    pub slots: usize,
    /// Lookups a second over all clients; a third as many writes and a sixth as many downloads come on top.
    #[serde(default = "rate")]
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub rate: f64,
    /// Seconds of traffic, which starts 8 s after the machines.
    #[serde(default = "seconds")]
    #[garde(range(min = 1.0, max = 3600.0))]
    pub seconds: f64,
    /// One-way latency within a region, in milliseconds.
    #[serde(default = "zone_ms")]
    pub zone_ms: u64,
    /// One-way latency between regions, in milliseconds.
    #[serde(default = "region_ms")]
    pub region_ms: u64,
    /// Duration of a disk sync, in milliseconds.
    #[serde(default = "zone_ms")]
    pub sync_ms: u64,
    /// Whether a power loss may leave any prefix of the records being written, rather than whole batches only.
    #[serde(default, rename = "torn")]
    pub torn_writes: bool,
    /// Share of datagrams that are lost.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.9))]
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.9))]
    pub twice: f64,
    /// The programs' default of `usualPlaces`: endpoints per key and region; 0 turns key affinity off.
    #[serde(default, rename = "places")]
    pub usual_places: usize,
    /// Whether services get outlier detection by default.
    #[serde(default, rename = "verdicts")]
    pub outlier_detection: bool,
    /// Whether to measure how long each proxy takes to apply a new configuration, by polling it.
    #[serde(default, rename = "spread")]
    pub measure_config_spread: bool,
    /// Whether to record which quorum membership each control node holds, by polling it.
    #[serde(default, rename = "memberships")]
    pub record_memberships: bool,
    /// Whether to measure how long each proxy takes from its start until it is ready, by polling it.
    #[serde(default, rename = "starts")]
    pub measure_readiness: bool,
    /// Datagrams that are lost, by their sequence number.
    #[serde(default, rename = "lost_letters")]
    pub lost_datagrams: Vec<u64>,
    /// Disk syncs that fail, by their sequence number.
    #[serde(default, rename = "syncs")]
    pub sync_faults: Vec<InjectedSyncFault>,
    /// Operations and faults, each at its time.
    #[serde(default)]
    #[garde(dive)]
    pub event: Vec<Event>,
    /// A deliberately broken part of the system, which the checker must find.
    #[serde(default)]
    pub mutant: Option<Mutant>,
    /// A safeguard that is disabled in the programs; tests check that its absence is found.
    #[serde(default, rename = "without")]
    pub disabled_safeguard: Option<beechcroft_safeguards::Safeguard>,
}

/// A disk sync that fails.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InjectedSyncFault {
    /// Its sequence number, from 1, over all disks.
    pub number: u64,
    /// How it fails.
    #[serde(rename = "does")]
    pub failure: SyncFailure,
}

/// An operation or a fault at a point in time.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Event {
    /// Seconds from the start of traffic.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    /// Operations and faults, each at its time.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// Operations that run during a core machine's fault and as it recovers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ConcurrentChange {
    /// A configuration change is sent to that machine first, once during its fault and once as it recovers.
    #[serde(rename = "change")]
    SingleChange,
    /// Two conflicting changes each time, the second one sent to another machine.
    #[serde(rename = "race")]
    ConflictingChanges,
    /// A change is sent to that machine only, and repeated until it responds.
    #[serde(rename = "hard")]
    PersistentChange,
    /// Units of its zone drain soon after it has recovered.
    Drain,
}

/// The setting that a configuration change modifies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A route's target service.
    #[default]
    Route,
    /// The weights of a route that is split between two services.
    Weights,
    /// The routes' timeouts.
    Timeout,
    /// The idle timeout of connections.
    Idle,
}

/// What triggers a [`EventKind::TriggeredFault`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultTrigger {
    /// A configuration change was acknowledged.
    #[default]
    #[serde(rename = "acked")]
    ConfigAcknowledged,
    /// A configuration change was sent, acknowledged or not.
    #[serde(rename = "sent")]
    ConfigSent,
    /// A client's write succeeded.
    #[serde(rename = "taken")]
    WriteSucceeded,
    /// An evacuation was acknowledged; it is reverted 8 s after the machines return.
    #[serde(rename = "evacuated")]
    EvacuationAcknowledged,
    /// A unit's drain was acknowledged.
    #[serde(rename = "drained")]
    DrainAcknowledged,
    /// Two units deregistered in turn without a drain, the second was acknowledged, and both serve on without heartbeats.
    #[serde(rename = "deregistered")]
    DeregistrationAcknowledged,
}

/// A planned operation or an injected fault. `on` selects machines by name prefix, zone or region; `leader` is the core
/// machine that acknowledged last, `reader` the one whose directory was read last.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EventKind {
    /// Replaces the configuration by one with added routes.
    Config {
        /// Number of routes to add.
        #[serde(default)]
        routes: usize,
        /// Whether to remove a route that was added before.
        #[serde(default)]
        drop: bool,
    },
    /// Replaces the configuration by one that changes a setting other than route prefixes.
    #[serde(rename = "alter")]
    ChangeSettings {
        /// The setting that changes.
        change: Change,
    },
    /// A fault of a core machine, with operations during it and as the machine recovers.
    #[serde(rename = "met")]
    FaultWithChanges {
        /// The concurrent operations.
        #[serde(rename = "by")]
        concurrent_change: ConcurrentChange,
        /// Operations and faults, each at its time.
        #[serde(rename = "what")]
        fault: Box<EventKind>,
    },
    /// Two configuration changes at once on the same base version, sent to different control nodes.
    #[serde(rename = "race")]
    ConflictingConfigs,
    /// Two different configurations at once under the same version.
    #[serde(rename = "twins")]
    SameVersionTwice,
    /// Sends a configuration that must be rejected.
    #[serde(rename = "invalid")]
    InvalidConfig,
    /// Rolls out a new version.
    Rollout {
        /// The service.
        service: String,
        /// Share of requests that fail.
        #[serde(default, rename = "fails")]
        failure_rate: f64,
        /// Factor on the service time.
        #[serde(default, rename = "slow")]
        slowdown: f64,
        /// Duration of the traffic ramp, in seconds.
        #[serde(default = "ramp")]
        ramp_s: f64,
    },
    /// Evacuates a zone for some time.
    Evacuate {
        /// The zone.
        zone: String,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Units announce that they drain, and end once that is acknowledged.
    #[serde(rename = "drain")]
    DrainUnits {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
    },
    /// Starts new units, which warm up first.
    #[serde(rename = "add")]
    AddUnits {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
    },
    /// Units end without deregistering.
    #[serde(rename = "crash")]
    CrashUnits {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
        /// Whether units of another service start at their addresses 2 s later.
        #[serde(default)]
        reuse: bool,
    },
    /// Units are degraded for some time.
    #[serde(rename = "ill")]
    ImpairUnits {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
        /// Duration, in seconds.
        for_s: f64,
        /// Share of requests that fail.
        #[serde(default, rename = "fails")]
        failure_rate: f64,
        /// Factor on the service time.
        #[serde(default, rename = "slow")]
        slowdown: f64,
        /// Share of responses that are lost.
        #[serde(default, rename = "loses")]
        response_loss_rate: f64,
        /// Share of responses that are not HTTP.
        #[serde(default, rename = "spoils")]
        malformed_response_rate: f64,
        /// Whether health checks report the opposite of the truth.
        #[serde(default, rename = "lies")]
        inverts_health: bool,
    },
    /// A share of the responses of some units is faulty for some time.
    #[serde(rename = "answers")]
    FaultyResponses {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
        /// Duration, in seconds.
        for_s: f64,
        /// The share.
        part: f64,
        /// The kind of fault.
        #[serde(rename = "wrong")]
        fault: ResponseFault,
    },
    /// Units lose power, and restart at the same addresses under new ids.
    #[serde(rename = "dark")]
    UnitPowerLoss {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Units go down and up repeatedly.
    #[serde(rename = "flap")]
    FlapUnits {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
        /// Duration, in seconds.
        for_s: f64,
        /// Interval, in seconds.
        every_s: f64,
    },
    /// Makes units cold again.
    #[serde(rename = "cold")]
    CoolUnits {
        /// The service.
        service: String,
        /// Number of them.
        count: usize,
    },
    /// Kills processes, and restarts them later.
    Kill {
        /// The machines.
        on: String,
        /// Downtime, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Sends SIGTERM, then starts the process again.
    #[serde(rename = "term")]
    Restart {
        /// The machines.
        on: String,
    },
    /// Suspends processes for some time.
    Freeze {
        /// The machines.
        on: String,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Machines lose power for some time.
    #[serde(rename = "power")]
    PowerLoss {
        /// The machines.
        on: String,
        /// Downtime, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Machines lose power and the contents of their disks.
    #[serde(rename = "wipe")]
    DiskLoss {
        /// The machines.
        on: String,
        /// Downtime, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Processes are killed, and a record on their disks is unreadable when they restart.
    #[serde(rename = "damage")]
    DamagedRecord {
        /// The machines.
        on: String,
        /// The record's key.
        record: String,
        /// Downtime, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Core machines are removed; each is replaced by an empty one at another address.
    #[serde(rename = "replace")]
    ReplaceMachine {
        /// The machines.
        on: String,
    },
    /// Machines cannot reach each other for some time.
    #[serde(rename = "cut")]
    Partition {
        /// One side of the partition.
        from: String,
        /// The other side; `*` is everything else.
        to: String,
        /// Duration, in seconds.
        for_s: f64,
        /// Whether only traffic from `from` to `to` is affected.
        #[serde(default)]
        one_way: bool,
        /// How the partition shows to both sides.
        #[serde(default)]
        how: PartitionKind,
    },
    /// Disk syncs take longer for some time.
    SlowDisk {
        /// The machines.
        on: String,
        /// Duration of a disk sync, in milliseconds.
        sync_ms: u64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Datagrams are lost for some time.
    #[serde(rename = "loss")]
    DatagramLoss {
        /// The share.
        part: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Wall clocks are off from now on.
    #[serde(rename = "skew")]
    ClockSkew {
        /// The machines.
        on: String,
        /// Clock error, in milliseconds.
        ms: i64,
    },
    /// A higher request rate for some time.
    Burst {
        /// Factor on the request rate.
        times: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Many configuration changes at a fixed interval.
    /// The shares below apply to the changes.
    #[serde(rename = "storm")]
    ChangeStorm {
        /// Number of them.
        count: usize,
        /// Interval, in milliseconds.
        every_ms: u64,
        /// Share whose responses are lost.
        #[serde(default)]
        lost: f64,
        /// Share that conflict with another change on the same base version.
        #[serde(default)]
        races: f64,
        /// Share after which the newest acknowledged change is sent again.
        #[serde(default)]
        again: f64,
    },
    /// Responses to the operator are lost.
    #[serde(rename = "unheard")]
    LostOperatorResponses {
        /// The share.
        part: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Changes the seed nodes in the settings: the core machines that match `first` come first.
    /// Some proxies are killed and restarted with the new seeds.
    #[serde(rename = "seeds")]
    ChangeSeeds {
        /// The control nodes to list first.
        first: String,
        /// Number of proxies to restart.
        #[serde(default)]
        restart: usize,
    },
    /// Sends SIGTERM to one machine after the other.
    /// With `remove`, a new machine starts elsewhere first, and the old one does not return.
    #[serde(rename = "roll")]
    RollingRestart {
        /// The machines.
        on: String,
        /// Whether each machine is replaced by a new one.
        #[serde(default)]
        remove: bool,
        /// Interval, in seconds.
        every_s: f64,
    },
    /// A share of the machines goes down at once.
    #[serde(rename = "herd")]
    MassFailure {
        /// The machines.
        on: String,
        /// The share.
        share: f64,
        /// Whether the machines lose power; otherwise their processes are killed.
        #[serde(default)]
        power: bool,
        /// Downtime, in seconds.
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Machines go down a fixed time after a trigger.
    /// With `closing`, the end of the run is checked for recovery as after a final fault.
    #[serde(rename = "strike")]
    TriggeredFault {
        /// The machines.
        on: String,
        /// The trigger.
        #[serde(default)]
        after: FaultTrigger,
        /// Delay after the trigger, in milliseconds.
        #[serde(default)]
        wait_ms: u64,
        /// Whether the machines lose power; otherwise their processes are killed.
        #[serde(default)]
        power: bool,
        /// Machines whose disk contents are lost.
        #[serde(default)]
        wipe: Option<String>,
        /// Downtime, in seconds.
        #[serde(default = "down")]
        down_s: f64,
        /// Whether the end of the run is checked for recovery.
        #[serde(default)]
        closing: bool,
    },
    /// All machines go down right after a configuration was acknowledged.
    #[serde(rename = "closing")]
    FinalFault {
        /// Whether the machines lose power; otherwise their processes are killed.
        #[serde(default)]
        power: bool,
        /// Machines whose disk contents are lost.
        #[serde(default)]
        wipe: Option<String>,
    },
}

/// Deliberately broken parts of the system; each violates at least one rule of the checker.
#[derive(
    Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, strum::EnumIter, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mutant {
    /// A proxy sends the first half of a body as if it were complete.
    #[serde(rename = "half_bodies")]
    #[strum(serialize = "half_bodies")]
    TruncatedBodies,
    /// A proxy changes the path of a request.
    #[serde(rename = "other_paths")]
    #[strum(serialize = "other_paths")]
    AlteredPaths,
    /// A proxy sends a non-idempotent request to a second unit as well.
    #[serde(rename = "second_copies")]
    #[strum(serialize = "second_copies")]
    DuplicateWrites,
    /// A proxy replaces a 5xx response, after execution, by a 503, which says that nothing was executed.
    #[serde(rename = "false_promises")]
    #[strum(serialize = "false_promises")]
    FalseNotExecuted,
    /// A proxy responds to valid requests with 403.
    #[serde(rename = "denies")]
    #[strum(serialize = "denies")]
    RejectsValidRequests,
    /// Gossip is lost: proxies hear of no drain, evacuation or configuration.
    #[serde(rename = "no_news")]
    #[strum(serialize = "no_news")]
    NoGossip,
    /// A proxy aborts requests in flight at SIGTERM.
    #[serde(rename = "hasty_ends")]
    #[strum(serialize = "hasty_ends")]
    AbruptShutdown,
    /// A proxy sends every idempotent request five times.
    #[serde(rename = "many_tries")]
    #[strum(serialize = "many_tries")]
    ExcessiveRetries,
    /// A canary is never reverted, and gets all requests.
    #[serde(rename = "blind_trials")]
    #[strum(serialize = "blind_trials")]
    UncontrolledCanary,
    /// Cold units get as many requests as warm ones.
    #[serde(rename = "cold_is_warm")]
    #[strum(serialize = "cold_is_warm")]
    IgnoresWarmup,
    /// Home regions are ignored.
    #[serde(rename = "homeless")]
    #[strum(serialize = "homeless")]
    IgnoresHomeRegions,
    /// Evacuations are ignored.
    #[serde(rename = "stays_there")]
    #[strum(serialize = "stays_there")]
    IgnoresEvacuation,
    /// Disks report a sync that did not happen.
    #[serde(rename = "lying_disks")]
    #[strum(serialize = "lying_disks")]
    FalseSync,
    /// A proxy applies an older configuration again.
    #[serde(rename = "goes_back")]
    #[strum(serialize = "goes_back")]
    ConfigRollback,
    /// Two configurations on the same base version are both acknowledged.
    #[serde(rename = "both_win")]
    #[strum(serialize = "both_win")]
    AcceptsConflicts,
    /// Nothing restarts after a power loss.
    #[serde(rename = "stays_down")]
    #[strum(serialize = "stays_down")]
    NoRecovery,
    /// Requests omit the target unit, and reach units of other services at reused addresses.
    #[serde(rename = "any_unit")]
    #[strum(serialize = "any_unit")]
    IgnoresTargetUnit,
    /// A control node rejects an acknowledged configuration when it is sent again.
    #[serde(rename = "takes_once")]
    #[strum(serialize = "takes_once")]
    RejectsRepeats,
    /// A control node never responds to operations.
    #[serde(rename = "mute")]
    #[strum(serialize = "mute")]
    UnresponsiveControl,
    /// One task of a proxy panics; the others continue.
    #[serde(rename = "panics")]
    #[strum(serialize = "panics")]
    TaskPanic,
    /// A proxy exits unexpectedly, without an error.
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
    /// Serializes the scenario to TOML.
    pub fn text(&self) -> String {
        toml::to_string(self).expect("plain data")
    }

    /// Parses a scenario file; an error names the key and the line.
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
