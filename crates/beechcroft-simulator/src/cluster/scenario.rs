//! A day of the world's own, as a file says it: what stands there, what is planned, what goes wrong. Read with its
//! checks; a fault is named by key and line.

use super::disk::SyncFailure;
use super::network::PartitionKind;
use super::response_faults::ResponseFault;
use garde::Validate;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Scenario {
    #[garde(length(min = 1))]
    pub name: String,
    /// What goes wrong, in a sentence.
    #[serde(default)]
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    #[serde(default = "three")]
    #[garde(range(min = 1, max = 6))]
    pub regions: usize,
    #[serde(default = "nine")]
    #[garde(range(min = 1, max = 1000))]
    pub edges: usize,
    #[serde(default = "three")]
    #[garde(range(min = 1, max = 9))]
    pub cores: usize,
    /// Of each service.
    #[serde(default = "nine")]
    #[garde(range(min = 1, max = 500))]
    pub units: usize,
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
    #[serde(default = "zone_ms")]
    pub zone_ms: u64,
    #[serde(default = "region_ms")]
    pub region_ms: u64,
    #[serde(default = "zone_ms")]
    pub sync_ms: u64,
    /// When power goes, of the records that were being written any first part may be found there, not batches alone.
    #[serde(default)]
    pub torn: bool,
    /// Of datagrams.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.9))]
    pub loss: f64,
    #[serde(default)]
    #[garde(range(min = 0.0, max = 0.9))]
    pub twice: f64,
    /// Flags of the programs.
    #[serde(default)]
    pub places: usize,
    #[serde(default)]
    pub verdicts: bool,
    /// Each edge machine is asked until it goes by a new configuration, to see how long that takes.
    #[serde(default)]
    pub spread: bool,
    /// Each core machine is asked which membership it holds, to see when one changes hands.
    #[serde(default)]
    pub memberships: bool,
    /// Each edge machine is asked from its start on until it is ready, to see how long that takes.
    #[serde(default)]
    pub starts: bool,
    /// By number: datagrams that are lost, syncs that do something else.
    #[serde(default)]
    pub lost_letters: Vec<u64>,
    #[serde(default)]
    pub syncs: Vec<SyncFault>,
    #[serde(default)]
    #[garde(dive)]
    pub event: Vec<Event>,
    /// Of the system's parts, one that is broken: the checker must find it.
    #[serde(default)]
    pub mutant: Option<Mutant>,
    /// Of the control side's guards, one that is taken out of the programs' own text: tests must find it missing.
    #[serde(default)]
    pub without: Option<beechcroft_safeguards::Safeguard>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SyncFault {
    pub number: u64,
    pub does: SyncFailure,
}

#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Event {
    /// Seconds from the start of traffic.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    pub what: What,
}

/// What meets a machine in trouble, and as it returns.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Meets {
    /// A change of the configuration is sent to that machine first, during its trouble and as it returns.
    Change,
    /// Two of them at once each time, the other one to another machine.
    Race,
    /// A change is sent to it alone, again and again until it answers.
    Hard,
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
pub enum After {
    /// A change was acknowledged.
    #[default]
    Acked,
    /// A change was sent, acknowledged or not.
    Sent,
    /// A client's write was answered with success.
    Taken,
    /// An evacuation was acknowledged; it is taken back 8 s after the machines return.
    Evacuated,
    /// A unit's word that it leaves was acknowledged.
    Drained,
}

/// What is planned, and what goes wrong. `on`: machines whose name begins so, a zone or a region; `leader`: the core
/// machine that acknowledged last; `reader`: the one whose directory was read last.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// A configuration with so many routes more; `drop`: and without one that was added before.
    Config {
        #[serde(default)]
        routes: usize,
        #[serde(default)]
        drop: bool,
    },
    /// One that changes something else than routes' prefixes.
    Alter {
        change: Change,
    },
    /// Trouble of a core machine, and what it is sent meanwhile and as it returns.
    Met {
        by: Meets,
        what: Box<What>,
    },
    /// Two of them at once on the same version, sent to different control nodes.
    Race,
    /// Two of them at once, different ones under the same number.
    Twins,
    Invalid,
    Rollout {
        service: String,
        #[serde(default)]
        fails: f64,
        #[serde(default)]
        slow: f64,
        #[serde(default = "ramp")]
        ramp_s: f64,
    },
    Evacuate {
        zone: String,
        for_s: f64,
    },
    /// Units say that they leave, are acknowledged, and end.
    Drain {
        service: String,
        count: usize,
    },
    /// Units that are new and cold.
    Add {
        service: String,
        count: usize,
    },
    /// Units end without a word; their addresses go to another service's after 2 s if `reuse`.
    Crash {
        service: String,
        count: usize,
        #[serde(default)]
        reuse: bool,
    },
    /// Units are ill for a while.
    Ill {
        service: String,
        count: usize,
        for_s: f64,
        #[serde(default)]
        fails: f64,
        #[serde(default)]
        slow: f64,
        #[serde(default)]
        loses: f64,
        #[serde(default)]
        spoils: f64,
        #[serde(default)]
        lies: bool,
    },
    /// A part of the answers of units is wrong for a while.
    Answers {
        service: String,
        count: usize,
        for_s: f64,
        part: f64,
        wrong: ResponseFault,
    },
    /// Units lose power without a word, and come back at their addresses under other names.
    Dark {
        service: String,
        count: usize,
        for_s: f64,
    },
    /// Units go down and up by turns.
    Flap {
        service: String,
        count: usize,
        for_s: f64,
        every_s: f64,
    },
    /// Units turn cold.
    Cold {
        service: String,
        count: usize,
    },
    /// Processes are killed, and started again after a while.
    Kill {
        on: String,
        #[serde(default = "down")]
        down_s: f64,
    },
    /// SIGTERM; then a new start.
    Term {
        on: String,
    },
    Freeze {
        on: String,
        for_s: f64,
    },
    /// Machines lose power, and have it again after a while.
    Power {
        on: String,
        #[serde(default = "down")]
        down_s: f64,
    },
    /// The same, and their disks are lost.
    Wipe {
        on: String,
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Processes are killed, and a record on their disks cannot be read any more as they start again.
    Damage {
        on: String,
        record: String,
        #[serde(default = "down")]
        down_s: f64,
    },
    /// A core machine is gone for good; an empty one comes at another address.
    Replace {
        on: String,
    },
    Cut {
        from: String,
        to: String,
        for_s: f64,
        #[serde(default)]
        one_way: bool,
        #[serde(default)]
        how: PartitionKind,
    },
    SlowDisk {
        on: String,
        sync_ms: u64,
        for_s: f64,
    },
    Loss {
        part: f64,
        for_s: f64,
    },
    Skew {
        on: String,
        ms: i64,
    },
    /// So many times the requests for a while.
    Burst {
        times: f64,
        for_s: f64,
    },
    /// Many changes, one each so many ms. Parts of them: whose answers are lost on their way, that race another one on
    /// the same version, after which the newest one is sent again.
    Storm {
        count: usize,
        every_ms: u64,
        #[serde(default)]
        lost: f64,
        #[serde(default)]
        races: f64,
        #[serde(default)]
        again: f64,
    },
    /// Answers to the operators are lost on their way.
    Unheard {
        part: f64,
        for_s: f64,
    },
    /// The settings name other seeds, the core machines called `first` before the others; so many edge machines are
    /// killed and started anew.
    Seeds {
        first: String,
        #[serde(default)]
        restart: usize,
    },
    /// SIGTERM to one machine after the other; `remove`: a new one starts elsewhere first, and the old one leaves for
    /// good.
    Roll {
        on: String,
        #[serde(default)]
        remove: bool,
        every_s: f64,
    },
    /// A share of the machines is killed at once.
    Herd {
        on: String,
        share: f64,
        #[serde(default)]
        power: bool,
        #[serde(default = "down")]
        down_s: f64,
    },
    /// Machines are killed, or lose power, so many ms after something; disks of `wipe` are lost. `closing`: the end of
    /// the day is judged as after a closing fault.
    Strike {
        on: String,
        #[serde(default)]
        after: After,
        #[serde(default)]
        wait_ms: u64,
        #[serde(default)]
        power: bool,
        #[serde(default)]
        wipe: Option<String>,
        #[serde(default = "down")]
        down_s: f64,
        #[serde(default)]
        closing: bool,
    },
    /// Every machine loses power, or every process is killed, right after a configuration was acknowledged.
    Closing {
        #[serde(default)]
        power: bool,
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
    HalfBodies,
    /// An edge changes the path on its way to the unit.
    OtherPaths,
    /// What must not run twice is sent to a second unit as well.
    SecondCopies,
    /// A 504 is handed to the client as 503.
    FalsePromises,
    /// Proper requests are answered 403.
    Denies,
    /// News among proxies never come: drains, evacuations, configurations.
    NoNews,
    /// Requests are broken off at SIGTERM.
    HastyEnds,
    /// Every repeatable request is sent five times.
    ManyTries,
    /// No trial is ever voted back, and it gets all requests.
    BlindTrials,
    /// Cold units are sent to like warm ones.
    ColdIsWarm,
    /// Homes are not heeded.
    Homeless,
    /// Evacuations are not heeded.
    StaysThere,
    /// Disks say that they have synced and have not.
    LyingDisks,
    /// A proxy goes back to an older configuration.
    GoesBack,
    /// Two configurations on the same version are both acknowledged.
    BothWin,
    /// Nothing is served after a loss of power.
    StaysDown,
    /// Requests go to units whose address another service has now, without naming the unit.
    AnyUnit,
    /// A control node takes a configuration once, and refuses it when it is sent again.
    TakesOnce,
    /// A control node is silent to every order.
    Mute,
    /// A task of an edge panics; the others go on.
    Panics,
    /// An edge ends by itself, as if all were well.
    Quits,
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
        let service = match &event.what {
            What::Rollout { service, .. }
            | What::Drain { service, .. }
            | What::Add { service, .. } => service,
            What::Crash { service, .. }
            | What::Ill { service, .. }
            | What::Cold { service, .. } => service,
            What::Flap { service, .. }
            | What::Dark { service, .. }
            | What::Answers { service, .. } => service,
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
