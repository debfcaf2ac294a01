//! The recorded history of a run: what crossed the network, which is all that the checker knows. Times are in
//! milliseconds since the start of the simulation.

use std::collections::BTreeMap;

/// One attempt of a client's request; each attempt has its own id.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAttempt {
    /// Time, in milliseconds.
    pub at: u64,
    /// The client's request that the attempt belongs to.
    pub request: u64,
    /// Number of the attempt within the request, from 0.
    pub attempt_number: u32,
    /// Name of the route.
    pub route: String,
    /// HTTP method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// The edge machine that it was sent to.
    pub edge: String,
    /// Region.
    pub region: String,
    /// The client's deadline, in milliseconds.
    pub deadline: u64,
    /// The outcome, once there is one.
    pub answer: Option<ClientResponse>,
}

/// The outcome of an attempt as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientResponse {
    /// Time, in milliseconds.
    pub at: u64,
    /// The status; `None` if the connection closed or the client gave up before a complete response.
    pub status: Option<u16>,
    /// The unit's seal on its response.
    pub seal: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The attempt's id, as the response names it.
    pub id: Option<String>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the request was written completely.
    pub request_sent: bool,
    /// Whether the client's own deadline ended the attempt.
    pub timed_out: bool,
}

/// A request that arrived at a unit.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRequest {
    /// Time, in milliseconds.
    pub at: u64,
    /// The unit.
    pub unit: String,
    /// The proxy that sent it.
    pub edge: String,
    /// The attempt's id, as the response names it.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the unit began to execute it; a rejected request is not executed.
    pub was_executed: bool,
    /// Whether it named another unit as its target, and was rejected for that.
    pub was_misdirected: bool,
    /// Status of the unit's response, if it sent one.
    pub status: Option<u16>,
    /// Whether the unit was cold at that time.
    pub is_cold: bool,
    /// Whether the unit broke off, or sent something that is not a valid response.
    pub response_failed: bool,
}

/// The lifetime of a unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointLifetime {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// The zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Start, in milliseconds.
    pub began: u64,
    /// End, in milliseconds.
    pub ended: Option<u64>,
    /// When a control node acknowledged its drain.
    pub drain_acked: Option<u64>,
    /// Requests a second that it can serve while cold, as the service's configuration says.
    pub cold_capacity: f64,
}

/// A configuration that the operator sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    /// The version.
    pub version: u32,
    /// The base version.
    pub base: u32,
    /// Time, in milliseconds.
    pub at: u64,
    /// When it was acknowledged, in milliseconds, if it was.
    pub acked: Option<u64>,
    /// The 4xx status that rejected it.
    pub rejected_with: Option<u16>,
    /// Whether it must be accepted, provided that its base is current.
    pub valid: bool,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// The body.
    pub body: Vec<u8>,
    /// When a final response came.
    pub ended: Option<u64>,
    /// Repeats after the acknowledgement: when sent, when responded to, and the status.
    pub repeats: Vec<(u64, u64, u16)>,
}

/// A route of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Path prefix.
    pub prefix: String,
    /// Target services.
    pub services: Vec<String>,
    /// Home regions; empty if any region may serve it.
    pub homes: Vec<String>,
}

/// An operation on a zone, or a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// What it asks for.
    pub what: OperationKind,
    /// Time, in milliseconds.
    pub at: u64,
    /// When it was acknowledged, in milliseconds, if it was.
    pub acked: Option<u64>,
    /// When a final response came, or the operator gave up.
    pub ended: Option<u64>,
}

/// What an operation asks for. The Debug text appears in violations of `Acks`.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationKind {
    /// Begins or ends the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        begin: bool,
    },
    /// Rolls out a new version.
    Rollout {
        /// The service.
        service: String,
        /// The version.
        target: String,
        /// Whether the version is faulty, so that it must be reverted.
        bad: bool,
        /// End, in milliseconds.
        until: u64,
    },
}

/// A fault on a machine, on the core (`core`) or everywhere (`*`), with its time span.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// The machine.
    pub on: String,
    /// Start, in milliseconds.
    pub from: u64,
    /// End, in milliseconds.
    pub until: u64,
    /// Description.
    pub description: String,
    /// Whether it is a planned SIGTERM or start, which does not excuse a lost request.
    pub planned: bool,
}

/// A program that panicked or exited unexpectedly.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessFailure {
    /// Time, in milliseconds.
    pub at: u64,
    /// The machine.
    pub on: String,
    /// Description.
    pub description: String,
}

/// A call of a unit, operator or client to a control node, with its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlExchange {
    /// The control node.
    pub control_node: String,
    /// Time, in milliseconds.
    pub at: u64,
    /// End, in milliseconds.
    pub until: u64,
    /// Method and path; a heartbeat that announces a drain ends in ` draining`.
    pub request: String,
    /// The status; `None` without a complete response in time.
    pub status: Option<u16>,
}

/// Everything that crossed the network, as units, clients and the operator saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Attempts by id.
    pub attempts: BTreeMap<String, ClientAttempt>,
    /// Requests that arrived at units, in order.
    pub endpoint_requests: Vec<EndpointRequest>,
    /// Units by id.
    pub units: BTreeMap<String, EndpointLifetime>,
    /// Configurations that were sent, in order.
    pub configs: Vec<ConfigChange>,
    /// Operations that were sent, in order.
    pub operations: Vec<Operation>,
    /// Faults that were injected.
    pub injected_faults: Vec<InjectedFault>,
    /// Programs that panicked or exited unexpectedly.
    pub process_failures: Vec<ProcessFailure>,
    /// Shutdowns of edge machines: name, time of SIGTERM, time when the process was gone.
    pub proxy_shutdowns: Vec<(String, u64, u64)>,
    /// The configuration as read back at the end, if that succeeded.
    pub read_back: Option<Vec<u8>>,
    /// When it was read back.
    pub read_at: u64,
    /// The state of the last rollout of each service, as read back.
    pub rollouts: BTreeMap<String, String>,
    /// Whether datagrams were lost or disks failed at random throughout: then acknowledgement times are not checked.
    pub has_random_faults: bool,
    /// End of the run, in milliseconds.
    pub end: u64,
    /// After a final fault: when the machines had restarted.
    pub closing: Option<u64>,
    /// Responses on connections without a request in flight.
    pub unsolicited_responses: u64,
    /// Description.
    pub control_exchanges: Vec<ControlExchange>,
    /// Readiness of edge machines, if measured: name, process start, first time ready.
    pub ready: Vec<(String, u64, u64)>,
}
