//! HTTP API for units and the operator.

use crate::state_owner::{ask_owner, Command, CommandQueue};
use beechcroft_config::Config;
use beechcroft_consensus::{ConfigStore, Operation, OperationsState, RegisterId, Stage};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_registry::{EndpointRecord, EndpointState};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::calls::ApiCall;
use beechcroft_transport::server::{Request, Response};
use beechcroft_transport::Runtime;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Maximum difference between the clocks of two control nodes at which a repeated request is still recognised by its
/// time of day, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 2000;
/// Upper bound to which the warm-up in a heartbeat is clamped, in milliseconds.
const MAX_WARMUP_MS: f64 = 1e9;
/// Upper bound to which the ramp of a rollout is clamped, in seconds.
const MAX_RAMP_S: f64 = 1e6;

/// JSON body of a heartbeat.
#[derive(Deserialize)]
struct HeartbeatBody {
    address: SocketAddrV4,
    info: UnitInfo,
    status: UnitStatus,
}

#[derive(Deserialize)]
struct UnitInfo {
    service: String,
    version: String,
    zone: String,
    #[serde(default)]
    capacity: u16,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct UnitStatus {
    state: String,
    sequence: u64,
    #[serde(default)]
    warmup_left_ms: f64,
}

impl HeartbeatBody {
    fn into_record(self, id: String) -> Result<EndpointRecord, Error> {
        let state = match self.status.state.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            other => return Err(invalid(format!("state `{other}`"))),
        };
        Ok(EndpointRecord {
            id,
            service: self.info.service,
            version: self.info.version,
            zone: self.info.zone,
            address: self.address,
            capacity: self.info.capacity.max(1),
            state,
            sequence: self.status.sequence,
            warmup_left_ms: self.status.warmup_left_ms.clamp(0.0, MAX_WARMUP_MS) as u32,
            age_ms: 0,
        })
    }
}

/// JSON body of a call that begins a rollout.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RolloutBody {
    service: String,
    target_version: String,
    #[serde(default)]
    ramp_s: f64,
}

/// An error that rejects a malformed request.
pub(crate) fn invalid(e: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Invalid, e.to_string())
}

fn empty_object() -> Response {
    Response::json("{}")
}

/// Handler for the calls of units and the operator.
#[derive(Clone)]
pub struct ControlApi {
    /// Queue of the state owner that carries out the calls.
    pub queue: CommandQueue,
    /// Source of the time of day that rollouts are stamped with.
    pub runtime: Runtime,
    /// Time within which a second request for the same rollout counts as a repeat, in milliseconds.
    pub repeat_ms: u64,
}

impl ControlApi {
    /// Handles a request. Errors become responses with the status of their kind.
    pub async fn handle(self, request: Request) -> Response {
        self.dispatch(request).await.unwrap_or_else(Response::from)
    }

    async fn dispatch(&self, request: Request) -> Result<Response, Error> {
        let call = ApiCall::parse(&request.method, &request.path).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownCall,
                format!("{} {}", request.method, request.path),
            )
        })?;
        match call {
            ApiCall::Heartbeat(id) => self.heartbeat(id, &request).await,
            ApiCall::Deregister(id) => self.deregister(id).await,
            ApiCall::ReplaceConfig => self.replace_config(&request).await,
            ApiCall::ShowConfig => self.show_config(&request).await,
            ApiCall::BeginRollout => self.begin_rollout(&request).await,
            ApiCall::ShowRollout(service) => self.show_rollout(&service, &request).await,
            ApiCall::BeginEvacuation(zone) => self.set_evacuation(zone, true, &request).await,
            ApiCall::FinishEvacuation(zone) => self.set_evacuation(zone, false, &request).await,
            ApiCall::Resolve | ApiCall::Ready => {
                Err(Error::new(ErrorKind::UnknownCall, request.path))
            }
        }
    }

    async fn heartbeat(&self, id: String, request: &Request) -> Result<Response, Error> {
        let body: HeartbeatBody = serde_json::from_slice(&request.body).map_err(invalid)?;
        let record = body.into_record(id)?;
        ask_owner(&self.queue, |done| Command::Heartbeat { record, done }).await??;
        Ok(empty_object())
    }

    async fn deregister(&self, id: String) -> Result<Response, Error> {
        ask_owner(&self.queue, |done| Command::Deregister { id, done }).await??;
        Ok(empty_object())
    }

    async fn replace_config(&self, request: &Request) -> Result<Response, Error> {
        let config = Config::read(&request.body)?;
        let operation =
            Operation::replace_config(config.version, config.base_version, &request.body);
        self.propose(operation, request).await
    }

    async fn show_config(&self, request: &Request) -> Result<Response, Error> {
        let value = self.read(RegisterId::Config, request).await?;
        let body = ConfigStore::decode(&value)?.body()?;
        if body.is_empty() {
            return Err(Error::new(ErrorKind::NotFound, "no configuration yet"));
        }
        Ok(Response::json(body))
    }

    async fn begin_rollout(&self, request: &Request) -> Result<Response, Error> {
        let body: RolloutBody = serde_json::from_slice(&request.body).map_err(invalid)?;
        let operation = Operation::BeginRollout {
            service: body.service,
            target: body.target_version,
            ramp_ms: (body.ramp_s.clamp(0.0, MAX_RAMP_S) * 1000.0) as u64,
            at_ms: self.runtime.time_of_day().as_millis() as u64,
            repeat_ms: self.repeat_ms,
        };
        self.propose(operation, request).await
    }

    async fn show_rollout(&self, service: &str, request: &Request) -> Result<Response, Error> {
        let value = self.read(RegisterId::Operations, request).await?;
        let operations = OperationsState::decode(&value)?;
        let rollout = operations
            .rollouts
            .get(service)
            .ok_or_else(|| Error::new(ErrorKind::NotFound, format!("no rollout of {service}")))?;
        let state = match rollout.stage {
            Stage::Active(_) => "active",
            Stage::Complete => "complete",
            Stage::Reverted => "reverted",
        };
        let body = serde_json::json!({ "state": state, "targetVersion": rollout.target });
        Ok(Response::json(body.to_string()))
    }

    async fn set_evacuation(
        &self,
        zone: String,
        is_evacuated: bool,
        request: &Request,
    ) -> Result<Response, Error> {
        self.propose(Operation::SetEvacuation { zone, is_evacuated }, request)
            .await
    }

    /// Reads a register linearizably, by a consensus round.
    async fn read(
        &self,
        register: RegisterId,
        request: &Request,
    ) -> Result<beechcroft_consensus::Value, Error> {
        let received_at = request.received_at;
        let read = |outcome| Command::Propose {
            register,
            operation: Operation::Read,
            received_at,
            outcome,
        };
        ask_owner(&self.queue, read).await?
    }

    /// Proposes an operation and waits for its outcome.
    ///
    /// An unconditional operation is started only while its caller keeps the connection open: a caller that has closed
    /// it may have sent the same operation, and later ones, to another control node. When this future drops the
    /// receiver of the outcome, the state owner cancels the proposal.
    async fn propose(&self, operation: Operation, request: &Request) -> Result<Response, Error> {
        let requires_caller = !operation.is_conditional() && Safeguard::CallerPresence.is_enabled();
        if requires_caller && request.caller.is_disconnected().await {
            let detail = "keep the connection open until the answer has come";
            return Err(Error::new(ErrorKind::CallerGone, detail));
        }
        let (register, received_at) = (operation.register(), request.received_at);
        let command = |outcome| Command::Propose {
            register,
            operation,
            received_at,
            outcome,
        };
        tokio::select! {
            biased;
            () = request.caller.disconnected(), if requires_caller => {
                Err(Error::new(ErrorKind::NoQuorum, "the caller has closed its side"))
            }
            outcome = ask_owner(&self.queue, command) => {
                outcome??;
                Ok(empty_object())
            }
        }
    }
}
