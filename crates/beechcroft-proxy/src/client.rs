//! A client's connection: request after request, each forwarded to a unit and answered.
//!
//! To be read from top to bottom as a request passes: its head, its route, its body, its attempts, its response.

use crate::attempt::{push_body_part, write_paced, write_within, ResponseRest, UnitResponse};
use crate::forward::{forward_buffered, forward_streamed, ForwardRequest, ForwardResult};
use crate::shared::{Direction, Phase, Shared};
use crate::state_owner::CommandQueue;
use beechcroft_config::config::Limits;
use beechcroft_error::ErrorKind;
use beechcroft_hotkeys::{key_hash, SessionAffinity};
use beechcroft_routing::{CompiledRoute, RoutingTable};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::connection::{BodyError, BodyReader, Connection};
use beechcroft_transport::http_validation::{parse_request, Framing, Parsed, RequestHead};
use beechcroft_transport::Stream;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Bodies up to this size are buffered, so that they can be sent again. In bytes.
const MAX_BUFFERED_BODY: usize = 64 << 10;
/// How long a client waits that does not say so, in milliseconds.
const DEFAULT_BUDGET_MS: u64 = 30_000;
/// For a client to take a part of a unit's response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// For a client to take a response of the proxy's own.
const OWN_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// For a client to take 100.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(1);
/// After how long a client may come back to a proxy that does not serve, in milliseconds.
const NOT_SERVING_RETRY_MS: u64 = 300;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Serves one client's connection until it ends.
pub async fn serve(shared: Rc<Shared>, owner: CommandQueue, stream: Stream) {
    let mut connection = Connection::new(stream);
    let affinity = RefCell::default();
    while serve_request(&shared, &owner, &mut connection, &affinity).await {
        connection.release_buffer();
    }
}

/// Serves one request. Whether another one may follow.
async fn serve_request(
    shared: &Rc<Shared>,
    owner: &CommandQueue,
    connection: &mut Connection,
    affinity: &RefCell<SessionAffinity>,
) -> bool {
    let routes = shared.routes.borrow().clone();
    let limits = routes
        .map(|routes| routes.limits.clone())
        .unwrap_or_default();
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    if connection.unread().is_empty() {
        let read = timeout(idle_timeout, connection.read_more()).await;
        if !matches!(read, Ok(Ok(1..))) {
            return false;
        }
    }
    let started_at = Instant::now();
    let Some(head) = read_head(connection, &limits, started_at).await else {
        return false;
    };
    shared.in_flight.set(shared.in_flight.get() + 1);
    let request = ClientRequest {
        shared,
        owner,
        connection,
        affinity,
        head: &head,
        started_at,
    };
    let keep_alive = request.serve().await;
    shared.in_flight.set(shared.in_flight.get() - 1);
    keep_alive
}

/// Reads the head of a request. `None` if there is none that can be served.
async fn read_head(
    connection: &mut Connection,
    limits: &Limits,
    started_at: Instant,
) -> Option<RequestHead> {
    let deadline = started_at + Duration::from_millis(limits.header_timeout_ms);
    loop {
        match parse_request(connection.unread(), limits.max_header_bytes) {
            Parsed::Complete(head, length) => {
                connection.consume(length);
                return Some(head);
            }
            Parsed::Invalid(kind) => {
                respond(connection, kind, 0, false).await;
                return None;
            }
            Parsed::Incomplete => match timeout_at(deadline, connection.read_more()).await {
                Ok(Ok(1..)) => {}
                Ok(_) => return None,
                Err(_) => {
                    respond(connection, ErrorKind::RequestTimeout, 0, false).await;
                    return None;
                }
            },
        }
    }
}

/// A request whose head was read.
struct ClientRequest<'a> {
    shared: &'a Rc<Shared>,
    owner: &'a CommandQueue,
    connection: &'a mut Connection,
    affinity: &'a RefCell<SessionAffinity>,
    head: &'a RequestHead,
    started_at: Instant,
}

impl ClientRequest<'_> {
    /// Serves the request. Whether another one may follow on the connection.
    async fn serve(mut self) -> bool {
        let phase = self.shared.phase.get();
        let keep_alive = self.head.keep_alive && phase == Phase::Ready;
        let has_body = !matches!(self.head.framing, None | Some(Framing::Length(0)));
        // A connection whose body was not read cannot carry another request.
        let may_skip_body = !has_body || !Safeguard::UnreadRequestBody.is_enabled();
        let keep_after_rejection = keep_alive && may_skip_body;
        let routes = self.shared.routes.borrow().clone();
        let is_serving = !matches!(phase, Phase::Starting | Phase::Closing);
        let Some(routes) = routes.filter(|_| is_serving) else {
            return self.reject_not_serving(phase).await;
        };
        let Some((route_index, route)) = routes.find(&self.head.host, &self.head.target) else {
            return self.reject(ErrorKind::NoRoute, keep_after_rejection).await;
        };
        let has_id = self
            .head
            .attempt_id
            .as_deref()
            .is_some_and(|id| !id.is_empty());
        if !has_id && Safeguard::AttemptIdRequired.is_enabled() {
            // No unit executes it, and no response to it could be told from another one.
            return self
                .reject(ErrorKind::Malformed, keep_after_rejection)
                .await;
        }
        let max_body = routes.limits.max_body_bytes;
        if matches!(self.head.framing, Some(Framing::Length(length)) if length > max_body) {
            return self.reject(ErrorKind::BodyTooLarge, false).await;
        }
        if self.head.expects_continue && has_body && !self.send_continue().await {
            return false;
        }
        let budget_ms = self
            .head
            .budget_ms
            .unwrap_or(DEFAULT_BUDGET_MS)
            .min(route.timeout_ms);
        let deadline = self.started_at + Duration::from_millis(budget_ms);
        let mut body = BodyReader::new(self.head.framing);
        let Some(buffered) = self.buffer_body(&mut body, deadline).await else {
            return false;
        };
        let service_index = route.pick_service(self.shared.balancer.borrow_mut().draw());
        let request = ForwardRequest {
            routes: &routes,
            route_index,
            route,
            service_index,
            head: self.head,
            body: &buffered,
            deadline,
            key: self.key(&routes, route, service_index),
            affinity: self.affinity,
        };
        let result = if body.is_done() {
            forward_buffered(self.shared, self.owner, &request, self.connection).await
        } else {
            let client = (&mut *self.connection, &mut body);
            forward_streamed(self.shared, self.owner, &request, client).await
        };
        let keep_alive = keep_alive && body.is_done();
        self.finish(result, deadline, keep_alive).await
    }

    /// Logs how the request ends, where that is not with a unit's response.
    fn log_end(&self, kind: ErrorKind) {
        let id = self.head.attempt_id.as_deref().unwrap_or("-");
        log::debug!("client: {id} {} ends as {kind:?}.", self.head.target);
    }

    async fn reject(&mut self, kind: ErrorKind, keep_alive: bool) -> bool {
        self.log_end(kind);
        respond(self.connection, kind, 0, keep_alive).await;
        keep_alive
    }

    async fn reject_not_serving(&mut self, phase: Phase) -> bool {
        let kind = match phase {
            Phase::Starting => ErrorKind::NotReady,
            _ => ErrorKind::ShuttingDown,
        };
        self.log_end(kind);
        respond(self.connection, kind, NOT_SERVING_RETRY_MS, false).await;
        false
    }

    /// Asks for the body, unless some of it has come. Whether the client is still there.
    async fn send_continue(&mut self) -> bool {
        !self.connection.unread().is_empty()
            || write_within(self.connection, CONTINUE, CONTINUE_TIMEOUT).await
    }

    /// Buffers the body up to a size. `None` if the request cannot be served.
    async fn buffer_body(&mut self, body: &mut BodyReader, deadline: Instant) -> Option<Vec<u8>> {
        let mut buffered = Vec::new();
        while !body.is_done() && buffered.len() < MAX_BUFFERED_BODY {
            let kind = match timeout_at(deadline, body.read(self.connection, &mut buffered)).await {
                Ok(Ok(())) => continue,
                Ok(Err(BodyError::Truncated)) => return None,
                Ok(Err(BodyError::Malformed)) => ErrorKind::Malformed,
                Err(_) => ErrorKind::RequestTimeout,
            };
            respond(self.connection, kind, 0, false).await;
            return None;
        }
        Some(buffered)
    }

    /// The request's key, where its service serves keys at few endpoints. A lookup is counted.
    fn key(
        &self,
        routes: &RoutingTable,
        route: &CompiledRoute,
        service_index: usize,
    ) -> Option<u64> {
        let service = &routes.services[service_index];
        if service.usual_places == 0 {
            return None;
        }
        let key = route.key(&self.head.target, |name| self.head.header(name));
        let key = key_hash(&service.name, key.as_bytes());
        if route.is_idempotent() {
            let mut hot_keys = self.shared.hot_keys.borrow_mut();
            hot_keys
                .entry(service.name.clone())
                .or_default()
                .record_lookup(key);
        }
        Some(key)
    }

    /// Sends the response. Whether another request may follow.
    async fn finish(self, result: ForwardResult, deadline: Instant, keep_alive: bool) -> bool {
        match result {
            ForwardResult::ClientGone => false,
            ForwardResult::Own {
                kind,
                retry_after_ms,
            } => {
                self.log_end(kind);
                respond(self.connection, kind, retry_after_ms, keep_alive).await && keep_alive
            }
            ForwardResult::Unit(response) => {
                self.forward_response(*response, deadline, keep_alive).await && keep_alive
            }
        }
    }

    /// Sends a unit's response as it is. Whether the connection is still intact.
    async fn forward_response(
        self,
        response: UnitResponse,
        deadline: Instant,
        keep_alive: bool,
    ) -> bool {
        let (mut bytes, is_chunked) = outgoing_response_head(&response, keep_alive);
        let UnitResponse { head, body, rest } = response;
        push_body_part(&mut bytes, &body, is_chunked);
        drop(body);
        if !write_paced(self.shared, self.connection, &bytes, WRITE_TIMEOUT).await {
            return false;
        }
        let Some(ResponseRest {
            connection: mut unit,
            mut body,
            slot,
        }) = rest
        else {
            return true;
        };
        let mut part = Vec::new();
        while !body.is_done() {
            part.clear();
            bytes.clear();
            let read = timeout_at(deadline, body.read(&mut unit, &mut part)).await;
            if !matches!(read, Ok(Ok(()))) {
                // What breaks off here must not look complete: the connection is closed without its end.
                if Safeguard::TruncatedResponse.is_enabled() {
                    return false;
                }
                break;
            }
            self.shared.pace(Direction::In, part.len()).await;
            push_body_part(&mut bytes, &part, is_chunked);
            if !write_paced(self.shared, self.connection, &bytes, WRITE_TIMEOUT).await {
                return false;
            }
        }
        slot.keep(unit, self.head, &head);
        !is_chunked || write_paced(self.shared, self.connection, LAST_CHUNK, WRITE_TIMEOUT).await
    }
}

/// The head of a unit's response as it goes to the client, and whether its body is chunked.
fn outgoing_response_head(response: &UnitResponse, keep_alive: bool) -> (Vec<u8>, bool) {
    let UnitResponse { head, body, rest } = response;
    let mut bytes = Vec::with_capacity(256 + head.forwarded_headers.len() + body.len());
    bytes.extend(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
    bytes.extend(&head.forwarded_headers);
    let has_length = matches!(head.framing, Some(Framing::Length(_)));
    let is_chunked = rest.is_some() && !has_length;
    if !matches!(head.status, 204 | 304) {
        let length = match (head.framing, rest) {
            (Some(Framing::Length(length)), Some(_)) => Some(length),
            (_, Some(_)) => None,
            (_, None) => Some(body.len() as u64),
        };
        match length {
            Some(length) => bytes.extend(format!("Content-Length: {length}\r\n").as_bytes()),
            None => bytes.extend(b"Transfer-Encoding: chunked\r\n"),
        }
    }
    bytes.extend(if keep_alive {
        &b"\r\n"[..]
    } else {
        &b"Connection: close\r\n\r\n"[..]
    });
    (bytes, is_chunked)
}

/// Sends a response of the proxy's own. Whether the client took it.
async fn respond(
    connection: &mut Connection,
    kind: ErrorKind,
    retry_after_ms: u64,
    keep_alive: bool,
) -> bool {
    let (status, body) = (kind.status(), format!("{kind}\n"));
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    text += &format!(
        "Content-Type: text/plain\r\nContent-Length: {}\r\n",
        body.len()
    );
    if kind.promises_not_executed() && retry_after_ms > 0 {
        text += &format!("Retry-After: {:.3}\r\n", retry_after_ms as f64 / 1000.0);
    }
    if !keep_alive {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    text += &body;
    write_within(connection, text.as_bytes(), OWN_WRITE_TIMEOUT).await
}

fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Gateway Timeout",
    }
}
