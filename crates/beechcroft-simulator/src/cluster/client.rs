//! Clients of one zone: they resolve the directory, send requests to proxies and retry them as PROTOCOL specifies.

use super::history::{ClientAttempt, ClientResponse};
use super::http::{header, read_response};
use super::world::{World, DIRECTORY_PORT};
use beechcroft_transport::connection::Connection;
use beechcroft_transport::http_validation;
use beechcroft_transport::Runtime;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Maximum attempts of one request.
const ATTEMPTS: u32 = 4;

/// State shared by the clients of one zone.
pub struct Clients {
    /// Zone of the clients.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Network of the clients' host.
    pub runtime: Runtime,
    /// Addresses of proxies from the last directory response.
    pub found: RefCell<Vec<SocketAddrV4>>,
    idle: RefCell<BTreeMap<SocketAddrV4, Vec<Connection>>>,
}

impl Clients {
    /// Creates clients that have not resolved the directory yet.
    pub fn new(zone: &str, region: &str, runtime: Runtime) -> Clients {
        let (found, idle) = (RefCell::default(), RefCell::default());
        Clients {
            zone: zone.into(),
            region: region.into(),
            runtime,
            found,
            idle,
        }
    }

    /// Resolves the directory repeatedly, each time after the TTL of the last response.
    pub async fn resolve(self: Rc<Self>, world: Rc<World>) {
        loop {
            let path = format!(
                "/resolve?name=range.example&region={}&zone={}",
                self.region, self.zone
            );
            let mut ttl_s = 1.0;
            let mut cores = world.cores.borrow().clone();
            let hosts = |core: &Ipv4Addr| {
                world
                    .network
                    .state()
                    .hosts
                    .get(core)
                    .is_none_or(|host| host.region != self.region)
            };
            cores.sort_by_key(hosts);
            for core in cores.into_iter().take(3) {
                let to = SocketAddrV4::new(core, DIRECTORY_PORT);
                let ask = ("GET", path.as_str(), "");
                let done = world
                    .call_control(&self.runtime, to, ask, b"", Duration::from_secs(1))
                    .await;
                let Some((200, body)) = done else { continue };
                let Ok(answer) = serde_json::from_slice::<serde_json::Value>(&body) else {
                    continue;
                };
                let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
                let found: Vec<SocketAddrV4> = addresses
                    .iter()
                    .filter_map(|at| at.as_str()?.parse().ok())
                    .collect();
                if found.is_empty() {
                    continue;
                }
                world.reader.set(Some(core));
                ttl_s = answer["ttlS"].as_f64().unwrap_or(1.0).clamp(0.2, 5.0);
                self.idle.borrow_mut().retain(|at, _| found.contains(at));
                *self.found.borrow_mut() = found;
                break;
            }
            sleep(Duration::from_secs_f64(ttl_s)).await;
        }
    }
}

/// A kind of request that clients send.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name of the expected route.
    pub route: String,
    /// Path prefix of the requests.
    pub prefix: String,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Timeout of the client, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body of non-idempotent requests, in bytes.
    pub body: usize,
}

/// Sends one request of a client, with retries.
pub async fn request(world: Rc<World>, clients: Rc<Clients>, kind: RequestKind) {
    let request = world.number();
    let began = world.now();
    let deadline = began + kind.deadline_ms;
    let mut failed_at: Option<SocketAddrV4> = None;
    for attempt_number in 0..ATTEMPTS {
        let left = deadline.saturating_sub(world.now());
        if left < 20 {
            return;
        }
        let found = clients.found.borrow().clone();
        let usable: Vec<SocketAddrV4> = found
            .iter()
            .copied()
            .filter(|at| Some(*at) != failed_at || found.len() == 1)
            .collect();
        if usable.is_empty() {
            sleep(Duration::from_millis(200)).await;
            continue;
        }
        let to = usable[(world.draw() * usable.len() as f64) as usize % usable.len()];
        let id = format!("{:08x}{attempt_number:02x}", request);
        let method = if kind.is_idempotent { "GET" } else { "POST" };
        let attempt = ClientAttempt {
            at: world.now(),
            request,
            attempt_number,
            route: kind.route.clone(),
            method,
            path: format!("{}{:x}", kind.prefix, request % 512),
            body: vec![b'a' + (request % 26) as u8; if kind.is_idempotent { 0 } else { kind.body }],
            is_idempotent: kind.is_idempotent,
            edge: world.name_of(*to.ip()),
            region: clients.region.clone(),
            deadline,
            answer: None,
        };
        let answer = record_attempt(&world, &clients, to, &id, attempt, left).await;
        let status = answer.status;
        let back = answer.retry_after;
        if !kind.is_idempotent && status == Some(200) {
            world.taken.set(world.taken.get() + 1);
        }
        let again = match status {
            Some(200..=299 | 400 | 401 | 404 | 413 | 431) => false,
            Some(408 | 421 | 429 | 503) => true,
            _ => kind.is_idempotent,
        };
        if !again {
            return;
        }
        if status.is_none() {
            failed_at = Some(to);
        }
        let left = deadline.saturating_sub(world.now()) as f64;
        let wait = back.map_or(0.0, |s| s * 1000.0).min(left / 3.0) + world.draw() * 30.0;
        sleep(Duration::from_millis(wait as u64)).await;
    }
}

/// Sends one request without retries to one edge machine.
pub async fn ask_at(
    world: &Rc<World>,
    clients: &Rc<Clients>,
    kind: &RequestKind,
    to: SocketAddrV4,
) -> Option<u16> {
    let request = world.number();
    let id = format!("{request:08x}00");
    let attempt = ClientAttempt {
        at: world.now(),
        request,
        attempt_number: 0,
        route: kind.route.clone(),
        method: "GET",
        path: format!("{}{:x}", kind.prefix, request % 512),
        body: Vec::new(),
        is_idempotent: true,
        edge: world.name_of(*to.ip()),
        region: clients.region.clone(),
        deadline: world.now() + kind.deadline_ms,
        answer: None,
    };
    record_attempt(world, clients, to, &id, attempt, kind.deadline_ms)
        .await
        .status
}

/// Sends an attempt, and records it at once and its outcome when it ends.
async fn record_attempt(
    world: &Rc<World>,
    clients: &Rc<Clients>,
    to: SocketAddrV4,
    id: &str,
    attempt: ClientAttempt,
    left_ms: u64,
) -> ClientResponse {
    let begun = attempt.clone();
    world
        .history
        .borrow_mut()
        .attempts
        .insert(id.to_owned(), begun);
    let response = send_attempt(world, clients, to, id, &attempt, left_ms).await;
    if let Some(attempt) = world.history.borrow_mut().attempts.get_mut(id) {
        attempt.answer = Some(response.clone());
    }
    response
}

async fn send_attempt(
    world: &Rc<World>,
    clients: &Rc<Clients>,
    to: SocketAddrV4,
    id: &str,
    attempt: &ClientAttempt,
    left: u64,
) -> ClientResponse {
    let end = Instant::now() + Duration::from_millis(left);
    let none = |request_sent: bool, timed_out: bool| ClientResponse {
        at: world.now(),
        status: None,
        seal: None,
        body: Vec::new(),
        id: None,
        retry_after: None,
        request_sent,
        timed_out,
    };
    let kept = clients.idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
    let kept = kept.filter(Connection::is_reusable);
    let mut line = match kept {
        Some(line) => line,
        None => match timeout(Duration::from_secs(1), clients.runtime.connect(to)).await {
            Ok(Ok(stream)) => Connection::new(stream),
            _ => return none(false, false),
        },
    };
    let length = if attempt.is_idempotent {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", attempt.body.len())
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: range.example\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: {left}\r\n{length}\r\n",
        attempt.method, attempt.path
    );
    let mut bytes = head.into_bytes();
    bytes.extend(&attempt.body);
    if line.write(&bytes).await.is_err() {
        return none(false, false);
    }
    let Ok(read) = timeout_at(end, read_response(&mut line, attempt.method)).await else {
        return none(true, true);
    };
    let Some((reply, body)) = read else {
        return none(true, false);
    };
    let text = String::from_utf8_lossy(&reply.forwarded_headers).into_owned();
    let answered = ClientResponse {
        at: world.now(),
        status: Some(reply.status),
        seal: header(&text, "beechcroft-server-seal").map(str::to_owned),
        body,
        id: reply.attempt_id.clone(),
        retry_after: header(&text, "retry-after").and_then(|s| s.parse().ok()),
        request_sent: true,
        timed_out: false,
    };
    if !reply.closes && reply.framing != Some(http_validation::Framing::UntilClose) {
        if !line.unread().is_empty() {
            world.history.borrow_mut().unsolicited_responses += 1;
        } else {
            clients.idle.borrow_mut().entry(to).or_default().push(line);
        }
    }
    answered
}
