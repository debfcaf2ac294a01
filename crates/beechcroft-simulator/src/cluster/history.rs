//! What crossed the network: all that the checker knows. Times are milliseconds since the world's beginning.

use std::collections::BTreeMap;

/// A try of a client: each carries an id of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAttempt {
    pub at: u64,
    /// The client's request that it is a try of, and which try.
    pub request: u64,
    pub try_: u32,
    pub route: String,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub repeatable: bool,
    /// The edge machine that it went to, and where the client is.
    pub edge: String,
    pub region: String,
    pub deadline: u64,
    pub answer: Option<ClientResponse>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ClientResponse {
    pub at: u64,
    /// None: the connection closed, or was given up, with no whole answer.
    pub status: Option<u16>,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    pub id: Option<String>,
    pub retry_after: Option<f64>,
    /// The whole request had been read off the connection, as far as the client can tell: it was written whole.
    pub written: bool,
    /// The client's own deadline ended it.
    pub gave_up: bool,
}

/// What came to a unit.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRequest {
    pub at: u64,
    pub unit: String,
    pub edge: String,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    /// Whether the unit began to work on it; one that is turned away is not run.
    pub ran: bool,
    /// It was meant for another unit, and turned away as such.
    pub elsewhere: bool,
    /// What the unit answered, if it did.
    pub status: Option<u16>,
    /// It was cold at that moment.
    pub cold: bool,
    /// It broke off, or said something else than an answer.
    pub broke: bool,
}

/// A unit's life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointLifetime {
    pub service: String,
    pub version: String,
    pub zone: String,
    pub region: String,
    pub began: u64,
    pub ended: Option<u64>,
    /// When a control node acknowledged that it leaves.
    pub left_acked: Option<u64>,
    /// Of the service's configuration: requests a second that it bears while cold.
    pub bears: f64,
}

/// A configuration that an operator sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub version: u32,
    pub base: u32,
    pub at: u64,
    pub acked: Option<u64>,
    /// Ended by a 4xx.
    pub refused: Option<u16>,
    pub valid: bool,
    /// Route name to path prefix and the services it may go to.
    pub routes: BTreeMap<String, Route>,
    pub body: Vec<u8>,
    /// When a clear answer came.
    pub ended: Option<u64>,
    /// Sent again after its acknowledgement: when, when it was answered, and how.
    pub again: Vec<(u64, u64, u16)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub prefix: String,
    pub services: Vec<String>,
    pub homes: Vec<String>,
}

/// An order on a zone, or a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub what: What,
    pub at: u64,
    pub acked: Option<u64>,
    /// When a clear answer came, or the operator gave it up.
    pub ended: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Evacuate {
        zone: String,
        begin: bool,
    },
    Rollout {
        service: String,
        target: String,
        bad: bool,
        until: u64,
    },
}

/// Trouble on a machine, on the core (`core`), or everywhere (`*`), from one time to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub on: String,
    pub from: u64,
    pub until: u64,
    pub said: String,
    /// A SIGTERM or a start that the platform planned: no excuse for a request that is lost.
    pub planned: bool,
}

/// A program that panicked, or ended by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: u64,
    pub on: String,
    pub said: String,
}

/// What a control node was asked by a unit, an operator or a client, and what it answered.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlExchange {
    pub control_node: String,
    pub at: u64,
    pub until: u64,
    /// Method and path; a heartbeat that tells of a drain ends in ` draining`.
    pub what: String,
    /// None: no whole answer in time.
    pub status: Option<u16>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub asked: BTreeMap<String, ClientAttempt>,
    pub came: Vec<EndpointRequest>,
    pub units: BTreeMap<String, EndpointLifetime>,
    pub configs: Vec<Sent>,
    pub orders: Vec<Order>,
    pub troubles: Vec<Trouble>,
    pub faults: Vec<Fault>,
    /// SIGTERM of an edge machine, and when its process was gone.
    pub leaves: Vec<(String, u64, u64)>,
    /// The configuration as read back at the end, if it came; and states of rollouts.
    pub read_back: Option<Vec<u8>>,
    /// When it was asked for.
    pub read_at: u64,
    pub rollouts: BTreeMap<String, String>,
    /// Datagrams were lost, or disks failed, by chance: no time counts as settled.
    pub flawed: bool,
    /// The day's end, in ms.
    pub end: u64,
    /// After a closing fault: when the machines were back.
    pub closing: Option<u64>,
    /// Successes on connections where no request was waiting.
    pub unasked_answers: u64,
    pub said: Vec<ControlExchange>,
    /// Edge machine, start of its process, when it first said that it is ready: if the scenario asks for it.
    pub ready: Vec<(String, u64, u64)>,
}
