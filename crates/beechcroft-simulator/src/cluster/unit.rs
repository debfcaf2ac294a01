//! A unit of the simulated cluster: it sends heartbeats, serves requests, and records each of them.

use super::history::EndpointRequest;
use super::http::header;
use super::response_faults::ResponseFault;
use super::world::{World, CONTROL_PORT, UNIT_PORT};
use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::{self, Parsed, RequestHead};
use beechcroft_transport::Runtime;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// How often a unit sends a heartbeat, in milliseconds.
const HEARTBEAT_MS: u64 = 1000;
/// How often a unit looks whether it has something new to report, in milliseconds.
const REPORT_CHECK_MS: u64 = 50;
/// Idle timeout of a unit's connections.
const IDLE: Duration = Duration::from_secs(15);
/// Time budget of a request that names none, in milliseconds.
const DEFAULT_BUDGET_MS: u64 = 10_000;
/// Queue length per slot.
const QUEUE_PER_SLOT: usize = 3;
/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Status of a unit whose queue is full.
const UNAVAILABLE: &str = "503 Service Unavailable";
/// Bytes of a response that is not HTTP.
const NOT_HTTP: &[u8] = b"\x16\x03\x01 this is no answer\r\n\r\n";

/// Faults of a unit.
#[derive(Clone, Debug, Default)]
pub struct Impairment {
    /// Share of requests that fail with a 500 after execution.
    pub failure_rate: f64,
    /// Factor on the service time; below 1 has no effect.
    pub slowdown: f64,
    /// Share of responses that are lost after execution.
    pub response_loss_rate: f64,
    /// Share of responses that are not HTTP.
    pub malformed_response_rate: f64,
    /// Whether health checks report the opposite of the truth.
    pub inverts_health: bool,
    /// A response fault, and the share of responses that have it.
    pub wrong: Option<(ResponseFault, f64)>,
}

/// Parameters of a new unit.
pub struct UnitSpec {
    /// Its id.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Software version.
    pub version: String,
    /// Its zone.
    pub zone: String,
    /// Address of its host.
    pub ip: Ipv4Addr,
    /// Number of requests that it executes concurrently.
    pub slots: usize,
    /// Mean service time, in milliseconds.
    pub work_ms: f64,
    /// Size of a response body, in bytes.
    pub response_bytes: usize,
}

/// State of a unit, shared by its process and the run.
pub struct Unit {
    /// Its id.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Software version.
    pub version: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub at: SocketAddrV4,
    /// Number of requests that it executes concurrently.
    pub slots: usize,
    /// Mean service time, in milliseconds.
    pub work_ms: f64,
    /// Size of a response body, in bytes.
    pub bytes: usize,
    /// Until when it is cold, in milliseconds.
    pub cold_until: Cell<u64>,
    /// The same as it announces it in heartbeats, shortly before it becomes cold.
    pub told_cold: Cell<u64>,
    /// Whether it drains.
    pub draining: Cell<bool>,
    /// Whether it sends heartbeats.
    pub sends_heartbeats: Cell<bool>,
    /// Its current faults.
    pub impairment: RefCell<Impairment>,
    sequence: Cell<u64>,
    free: Semaphore,
    waiting: Cell<usize>,
}

impl Unit {
    /// Creates a unit whose process has not started.
    pub fn new(spec: UnitSpec) -> Unit {
        Unit {
            id: spec.id,
            service: spec.service,
            version: spec.version,
            zone: spec.zone,
            at: SocketAddrV4::new(spec.ip, UNIT_PORT),
            slots: spec.slots,
            work_ms: spec.work_ms,
            bytes: spec.response_bytes,
            cold_until: Cell::new(0),
            told_cold: Cell::new(0),
            draining: Cell::new(false),
            sends_heartbeats: Cell::new(true),
            impairment: RefCell::default(),
            sequence: Cell::new(0),
            free: Semaphore::new(spec.slots),
            waiting: Cell::new(0),
        }
    }

    /// Remaining warm-up time that it reports, in milliseconds.
    fn warm_left(&self, now: u64) -> u64 {
        self.cold_until
            .get()
            .max(self.told_cold.get())
            .saturating_sub(now)
    }

    fn load(&self) -> String {
        let running = self.slots - self.free.available_permits().min(self.slots);
        format!("{running},{},{}", self.waiting.get(), self.slots)
    }

    /// The body of its response to a request, and the seal, by which the checker recognises it.
    pub fn answer_to(unit: &str, id: &str, bytes: usize) -> (Vec<u8>, String) {
        let text = format!("{unit} answers {id}. ");
        let body: Vec<u8> = text.bytes().cycle().take(bytes).collect();
        let seal = format!("{unit}.{id}.{bytes}");
        (body, seal)
    }

    /// Draws the fault of the next response, if any.
    fn draw_response_fault(&self, world: &World) -> Option<ResponseFault> {
        let faulty = self.impairment.borrow().wrong;
        faulty
            .filter(|(_, part)| world.draw() < *part)
            .map(|(fault, _)| fault)
    }

    fn health_response(&self, impairment: &Impairment, now: u64) -> String {
        let is_healthy = impairment.failure_rate < 0.5 && !self.draining.get();
        let status = if is_healthy != impairment.inverts_health {
            "200 OK"
        } else {
            UNAVAILABLE
        };
        format!(
            "HTTP/1.1 {status}\r\nContent-Length: 0\r\nBeechcroft-Unit-Id: {}\r\nBeechcroft-Unit-Load: {}\r\nBeechcroft-Warmup-Remaining: {}\r\n\r\n",
            self.id,
            self.load(),
            self.warm_left(now),
        )
    }

    /// The status with which it rejects a request before it waits for a slot, if it does.
    fn rejection(&self, request: &UnitRequest) -> Option<&'static str> {
        if request.is_for_another(self) {
            return Some("421 Misdirected Request");
        }
        if request.attempt_id().is_empty() {
            return Some("400 Bad Request");
        }
        let is_full = self.waiting.get() >= self.slots * QUEUE_PER_SLOT;
        is_full.then_some(UNAVAILABLE)
    }

    fn rejection_response(&self, status: &str, attempt_id: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nBeechcroft-Attempt-Id: {attempt_id}\r\nBeechcroft-Not-Executed: 1\r\nBeechcroft-Unit-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.load()
        )
    }

    /// Waits for a free slot; `None` if none became free before the deadline.
    async fn acquire_slot(&self, deadline: Instant) -> Option<SemaphorePermit<'_>> {
        self.waiting.set(self.waiting.get() + 1);
        let slot = timeout_at(deadline, self.free.acquire()).await;
        self.waiting.set(self.waiting.get() - 1);
        slot.ok()?.ok()
    }

    /// Executes a request; returns whether it finished before the deadline.
    async fn work(
        &self,
        world: &World,
        impairment: &Impairment,
        is_cold: bool,
        deadline: Instant,
    ) -> bool {
        let cold_times = if is_cold { 2.0 } else { 1.0 };
        let times = impairment.slowdown.max(1.0) * cold_times;
        let work_ms = self.work_ms * (0.5 + world.exp(0.5)) * times;
        let work = sleep(Duration::from_millis(work_ms as u64));
        timeout_at(deadline, work).await.is_ok()
    }

    /// Encodes the response to an executed request.
    fn response(&self, attempt_id: &str, status: u16, reason: &str) -> Vec<u8> {
        let is_success = status == 200;
        let bytes = if is_success { self.bytes } else { 0 };
        let (body, seal) = Unit::answer_to(&self.id, attempt_id, bytes);
        let seal = if is_success {
            format!("Beechcroft-Server-Seal: {seal}\r\n")
        } else {
            String::new()
        };
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nBeechcroft-Attempt-Id: {attempt_id}\r\n{seal}Beechcroft-Unit-Load: {}\r\nKeep-Alive: timeout=15\r\nContent-Length: {}\r\n\r\n",
            self.load(),
            body.len()
        );
        let mut response = head.into_bytes();
        response.extend(body);
        response
    }
}

/// Runs a unit's process.
pub async fn run(world: Rc<World>, unit: Rc<Unit>) {
    let runtime = Runtime::simulated(Rc::new(world.network.host_network(*unit.at.ip())));
    spawn_local(send_heartbeats(
        world.clone(),
        unit.clone(),
        runtime.clone(),
    ));
    let Ok(mut listener) = runtime.listen(unit.at).await else {
        return;
    };
    while let Ok((stream, from)) = listener.accept().await {
        let std::net::SocketAddr::V4(from) = from else {
            continue;
        };
        let (world, unit) = (world.clone(), unit.clone());
        spawn_local(async move {
            let mut line = Connection::new(stream);
            let edge = world.name_of(*from.ip());
            while serve(&world, &unit, &edge, &mut line).await {}
        });
    }
}

async fn send_heartbeats(world: Rc<World>, unit: Rc<Unit>, runtime: Runtime) {
    let first = world.draw();
    sleep(Duration::from_millis(
        (first * HEARTBEAT_MS as f64) as u64 / 4,
    ))
    .await;
    while unit.sends_heartbeats.get() {
        let draining = unit.draining.get();
        if send_heartbeat(&world, &unit, &runtime).await && draining {
            let mut history = world.history.borrow_mut();
            let now = world.now();
            if let Some(life) = history.units.get_mut(&unit.id) {
                life.drain_acked.get_or_insert(now);
            }
        }
        let told = unit.told_cold.get();
        for _ in 0..HEARTBEAT_MS / REPORT_CHECK_MS {
            sleep(Duration::from_millis(REPORT_CHECK_MS)).await;
            if unit.draining.get() != draining || unit.told_cold.get() != told {
                break;
            }
        }
    }
}

async fn send_heartbeat(world: &World, unit: &Unit, runtime: &Runtime) -> bool {
    unit.sequence.set(unit.sequence.get() + 1);
    let left = unit.warm_left(world.now());
    let body = serde_json::json!({
        "address": unit.at.to_string(),
        "info": {"service": unit.service, "version": unit.version, "zone": unit.zone, "capacity": unit.slots},
        "status": {"state": if unit.draining.get() { "draining" } else { "ready" },
                   "sequence": unit.sequence.get(), "warmupLeftMs": left},
    });
    let path = format!("/units/{}/heartbeat", unit.id);
    let cores = world.cores.borrow().clone();
    let from = (world.draw() * cores.len() as f64) as usize;
    for nth in 0..cores.len() {
        let to = SocketAddrV4::new(cores[(from + nth) % cores.len()], CONTROL_PORT);
        let ask = (
            "POST",
            path.as_str(),
            if unit.draining.get() { " draining" } else { "" },
        );
        let done = world
            .call_control(
                runtime,
                to,
                ask,
                body.to_string().as_bytes(),
                Duration::from_secs(1),
            )
            .await;
        if done.is_some_and(|(status, _)| status == 200) {
            return true;
        }
    }
    false
}

/// Deregisters a unit; returns whether a control node acknowledged that.
pub async fn deregister(world: &World, unit: &Unit) -> bool {
    let runtime = Runtime::simulated(Rc::new(world.network.host_network(*unit.at.ip())));
    let path = format!("/units/{}/deregister", unit.id);
    let cores = world.cores.borrow().clone();
    for core in cores {
        let to = SocketAddrV4::new(core, CONTROL_PORT);
        let done = world
            .call_control(
                &runtime,
                to,
                ("POST", &path, ""),
                b"",
                Duration::from_secs(1),
            )
            .await;
        if done.is_some_and(|(status, _)| status == 200) {
            return true;
        }
    }
    false
}

/// Serves one request on a connection; returns whether the connection can be reused.
async fn serve(
    world: &Rc<World>,
    unit: &Rc<Unit>,
    edge: &str,
    connection: &mut Connection,
) -> bool {
    let fault = unit.draw_response_fault(world);
    if let Some(fault) = fault.filter(|fault| fault.is_at_request()) {
        fault.request(world, connection).await;
        return false;
    }
    let Some((request, body)) = read_request(connection).await else {
        return false;
    };
    let impairment = unit.impairment.borrow().clone();
    if request.head.target == "/health" {
        let response = unit.health_response(&impairment, world.now());
        return connection.write(response.as_bytes()).await.is_ok();
    }
    let entry = record(world, unit, edge, &request, body);
    if let Some(status) = unit.rejection(&request) {
        let response = unit.rejection_response(status, &request.attempt_id());
        return connection.write(response.as_bytes()).await.is_ok();
    }
    let budget_ms = request.head.budget_ms.unwrap_or(DEFAULT_BUDGET_MS);
    let deadline = Instant::now() + Duration::from_millis(budget_ms);
    let Some(slot) = unit.acquire_slot(deadline).await else {
        let response = unit.rejection_response(UNAVAILABLE, &request.attempt_id());
        return connection.write(response.as_bytes()).await.is_ok();
    };
    let is_cold = {
        let entry = &mut world.history.borrow_mut().endpoint_requests[entry];
        entry.was_executed = true;
        entry.is_cold
    };
    let in_time = unit.work(world, &impairment, is_cold, deadline).await;
    drop(slot);
    respond(Execution {
        world,
        unit,
        connection,
        attempt_id: &request.attempt_id(),
        entry,
        impairment: &impairment,
        fault,
        in_time,
    })
    .await
}

/// A request that a unit has read.
struct UnitRequest {
    head: RequestHead,
    /// The raw head, as not all headers are parsed.
    text: String,
}

impl UnitRequest {
    fn attempt_id(&self) -> String {
        self.head.attempt_id.clone().unwrap_or_default()
    }

    /// Whether it names another unit as its target.
    fn is_for_another(&self, unit: &Unit) -> bool {
        header(&self.text, "beechcroft-target-unit").is_some_and(|target| target != unit.id)
    }
}

/// Reads a request with its body; `None` if the connection must be closed.
async fn read_request(connection: &mut Connection) -> Option<(UnitRequest, Vec<u8>)> {
    let request = loop {
        match http_validation::parse_request(connection.unread(), MAX_HEAD_BYTES) {
            Parsed::Complete(head, length) => {
                let text = String::from_utf8_lossy(&connection.unread()[..length]).into_owned();
                connection.consume(length);
                break UnitRequest { head, text };
            }
            Parsed::Invalid(_) => return None,
            Parsed::Incomplete => {}
        }
        match timeout(IDLE, connection.read_more()).await {
            Ok(Ok(1..)) => {}
            _ => return None,
        }
    };
    let mut reader = BodyReader::new(request.head.framing);
    let mut body = Vec::new();
    while !reader.is_done() {
        reader.read(connection, &mut body).await.ok()?;
    }
    Some((request, body))
}

/// Records that a request arrived; returns its index in the history.
fn record(world: &World, unit: &Unit, edge: &str, request: &UnitRequest, body: Vec<u8>) -> usize {
    let now = world.now();
    let mut history = world.history.borrow_mut();
    history.endpoint_requests.push(EndpointRequest {
        at: now,
        unit: unit.id.clone(),
        edge: edge.to_owned(),
        id: request.attempt_id(),
        method: request.head.method.clone(),
        path: request.head.target.clone(),
        body,
        was_executed: false,
        was_misdirected: request.is_for_another(unit),
        status: None,
        is_cold: unit.cold_until.get() > now,
        response_failed: false,
    });
    history.endpoint_requests.len() - 1
}

/// An executed request that awaits its response.
struct Execution<'a> {
    world: &'a World,
    unit: &'a Unit,
    connection: &'a mut Connection,
    attempt_id: &'a str,
    /// Its index in the history.
    entry: usize,
    impairment: &'a Impairment,
    fault: Option<ResponseFault>,
    /// Whether it finished before its deadline.
    in_time: bool,
}

impl Execution<'_> {
    fn record(&self, is_broken: bool, status: Option<u16>) {
        let entry = &mut self.world.history.borrow_mut().endpoint_requests[self.entry];
        (entry.response_failed, entry.status) = (is_broken, status);
    }
}

/// Responds to an executed request; returns whether the connection can be reused.
async fn respond(execution: Execution<'_>) -> bool {
    let Execution {
        world,
        unit,
        impairment,
        ..
    } = execution;
    if world.draw() < impairment.response_loss_rate {
        execution.record(true, None);
        return false;
    }
    if world.draw() < impairment.malformed_response_rate {
        execution.record(true, None);
        let _ = execution.connection.write(NOT_HTTP).await;
        return false;
    }
    let has_failed = !execution.in_time || world.draw() < impairment.failure_rate;
    let (status, reason) = match (execution.in_time, has_failed) {
        (false, _) => (504, "Gateway Timeout"),
        (true, true) => (500, "Internal Server Error"),
        (true, false) => (200, "OK"),
    };
    execution.record(execution.fault.is_some(), Some(status));
    let response = unit.response(execution.attempt_id, status, reason);
    match execution.fault {
        Some(fault) => {
            let id = execution.attempt_id;
            fault
                .answer(world, &unit.draining, execution.connection, id, &response)
                .await
        }
        None => execution.connection.write(&response).await.is_ok() && !unit.draining.get(),
    }
}
