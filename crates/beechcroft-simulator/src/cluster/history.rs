//! What crossed the network: all that the checker knows. Times are milliseconds since the world's beginning.

use std::collections::BTreeMap;

/// A try of a client: each carries an id of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAttempt {
    /// When, in milliseconds.
    pub at: u64,
    /// The client's request that it is a try of, and which try.
    pub request: u64,
    /// Which attempt of the request, from 0.
    pub attempt_number: u32,
    /// The name of its route.
    pub route: String,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it may be executed more than once.
    pub is_idempotent: bool,
    /// The edge machine that it went to, and where the client is.
    pub edge: String,
    /// The region.
    pub region: String,
    /// When its client gives up, in milliseconds.
    pub deadline: u64,
    /// How it ended, once it has.
    pub answer: Option<ClientResponse>,
}

/// How an attempt ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientResponse {
    /// When, in milliseconds.
    pub at: u64,
    /// None: the connection closed, or was given up, with no whole answer.
    pub status: Option<u16>,
    /// The unit's seal.
    pub seal: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The attempt's id.
    pub id: Option<String>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// The whole request had been read off the connection, as far as the client can tell: it was written whole.
    pub request_sent: bool,
    /// The client's own deadline ended it.
    pub timed_out: bool,
}

/// What came to a unit.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRequest {
    /// When, in milliseconds.
    pub at: u64,
    /// The unit.
    pub unit: String,
    /// The proxy that sent it.
    pub edge: String,
    /// The attempt's id.
    pub id: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the unit began to work on it; one that is turned away is not run.
    pub was_executed: bool,
    /// It was meant for another unit, and turned away as such.
    pub was_misdirected: bool,
    /// What the unit answered, if it did.
    pub status: Option<u16>,
    /// It was cold at that moment.
    pub is_cold: bool,
    /// It broke off, or said something else than an answer.
    pub response_failed: bool,
}

/// A unit's life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointLifetime {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
    /// When it began, in milliseconds.
    pub began: u64,
    /// When it ended, in milliseconds.
    pub ended: Option<u64>,
    /// When a control node acknowledged that it leaves.
    pub drain_acked: Option<u64>,
    /// Of the service's configuration: requests a second that it bears while cold.
    pub cold_capacity: f64,
}

/// A configuration that an operator sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    /// The version.
    pub version: u32,
    /// The version that it builds on.
    pub base: u32,
    /// When, in milliseconds.
    pub at: u64,
    /// When it was acknowledged, in milliseconds.
    pub acked: Option<u64>,
    /// Ended by a 4xx.
    pub rejected_with: Option<u16>,
    /// Whether it has to be taken, its base given.
    pub valid: bool,
    /// Route name to path prefix and the services it may go to.
    pub routes: BTreeMap<String, Route>,
    /// The body.
    pub body: Vec<u8>,
    /// When a clear answer came.
    pub ended: Option<u64>,
    /// Sent again after its acknowledgement: when, when it was answered, and how.
    pub repeats: Vec<(u64, u64, u16)>,
}

/// A route of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The beginning of its paths.
    pub prefix: String,
    /// The services that it goes to.
    pub services: Vec<String>,
    /// Its home regions.
    pub homes: Vec<String>,
}

/// An order on a zone, or a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// What it is.
    pub what: OperationKind,
    /// When, in milliseconds.
    pub at: u64,
    /// When it was acknowledged, in milliseconds.
    pub acked: Option<u64>,
    /// When a clear answer came, or the operator gave it up.
    pub ended: Option<u64>,
}

/// What an operation asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationKind {
    /// A zone is evacuated, or taken back.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it begins.
        begin: bool,
    },
    /// A version is rolled out.
    Rollout {
        /// The service.
        service: String,
        /// The version.
        target: String,
        /// Whether it has to be rolled back.
        bad: bool,
        /// When it ends, in milliseconds.
        until: u64,
    },
}

/// Trouble on a machine, on the core (`core`), or everywhere (`*`), from one time to another.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// The machine.
    pub on: String,
    /// When it began, in milliseconds.
    pub from: u64,
    /// When it ends, in milliseconds.
    pub until: u64,
    /// What it is, in words.
    pub description: String,
    /// A SIGTERM or a start that the platform planned: no excuse for a request that is lost.
    pub planned: bool,
}

/// A program that panicked, or ended by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessFailure {
    /// When, in milliseconds.
    pub at: u64,
    /// The machine.
    pub on: String,
    /// What it is, in words.
    pub description: String,
}

/// What a control node was asked by a unit, an operator or a client, and what it answered.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlExchange {
    /// The control node.
    pub control_node: String,
    /// When, in milliseconds.
    pub at: u64,
    /// When it ends, in milliseconds.
    pub until: u64,
    /// Method and path; a heartbeat that tells of a drain ends in ` draining`.
    pub request: String,
    /// None: no whole answer in time.
    pub status: Option<u16>,
}

/// All that crossed the network, as units, clients and operators saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Attempts by id.
    pub attempts: BTreeMap<String, ClientAttempt>,
    /// Requests that came to units, in their order.
    pub endpoint_requests: Vec<EndpointRequest>,
    /// Units by id.
    pub units: BTreeMap<String, EndpointLifetime>,
    /// Configurations that were sent, in their order.
    pub configs: Vec<ConfigChange>,
    /// Operations that were sent, in their order.
    pub operations: Vec<Operation>,
    /// Faults that were injected.
    pub injected_faults: Vec<InjectedFault>,
    /// Programs that panicked or ended by themselves.
    pub process_failures: Vec<ProcessFailure>,
    /// SIGTERM of an edge machine, and when its process was gone.
    pub proxy_shutdowns: Vec<(String, u64, u64)>,
    /// The configuration as read back at the end, if it came; and states of rollouts.
    pub read_back: Option<Vec<u8>>,
    /// When it was asked for.
    pub read_at: u64,
    /// The state of the last rollout of each service, as read back.
    pub rollouts: BTreeMap<String, String>,
    /// Datagrams were lost, or disks failed, by chance: no time counts as settled.
    pub has_random_faults: bool,
    /// The day's end, in ms.
    pub end: u64,
    /// After a closing fault: when the machines were back.
    pub closing: Option<u64>,
    /// Successes on connections where no request was waiting.
    pub unsolicited_responses: u64,
    /// What it is, in words.
    pub control_exchanges: Vec<ControlExchange>,
    /// Edge machine, start of its process, when it first said that it is ready: if the scenario asks for it.
    pub ready: Vec<(String, u64, u64)>,
}
