//! Clients' requests: decodes each once into a task and encodes its answer, behind an axum router. The connections are
//! managed in [`crate::wire::connection_manager`] and served in [`crate::wire::connection`].

use crate::lifecycle::phases::{Lifecycle, Phase};
use crate::wire::limits::{BODY_TIMEOUT, MAX_REQUEST_BODY_BYTES, MAX_TXN_BYTES, MAX_WORK_HINT};
use crate::wire::units::{KEY, REMAINING, TXN};
use axum::body::{Body, HttpBody};
use axum::extract::{Request, State};
use axum::response::Response;
use axum::routing::get;
use axum::Router;
use beechcroft::{Effect, Key, TaskId, TenantId, TrackId};
use beechcroft_core::request::{TaskAnswer, TaskRequest};
use beechcroft_core::tasks::{Hints, NewTask};
use beechcroft_core::{Event, Mailbox};
use beechcroft_settings::NamedSettings;
use http::request::Parts;
use http::{header, HeaderMap, HeaderName, HeaderValue, StatusCode};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

const LANE: &str = "x-lane";
const LABELS: &str = "x-labels";

/// What is needed to decode requests: the names of the deployment and the relay's actor.
pub struct Frontend {
    tracks: Vec<(String, Effect)>,
    tenants: Vec<String>,
    /// No client of this deployment waits longer; zero if unknown.
    max_client_wait: Duration,
    relay_events: Mailbox,
    lifecycle: Lifecycle,
}

impl Frontend {
    /// Uses the names of the settings, and sends tasks to the relay's actor.
    pub fn new(names: &NamedSettings, relay_events: Mailbox, lifecycle: Lifecycle) -> Frontend {
        let effects = names.settings.tracks.iter().map(|track| track.effect);
        let tracks = names.tracks.iter().cloned().zip(effects).collect();
        let max_client_wait = names.transport.max_client_wait;
        Frontend {
            tracks,
            tenants: names.tenants.clone(),
            max_client_wait,
            relay_events,
            lifecycle,
        }
    }
}

/// What the head of a client's request says of its task.
#[derive(Debug)]
pub struct TaskHead {
    /// Id of the task.
    pub id: TaskId,
    /// Its track.
    pub track: TrackId,
    /// Its hints.
    pub hints: Hints,
    /// How long the client waits for the answer.
    pub remaining: Duration,
    txn: HeaderValue,
    idempotency_key: Option<HeaderValue>,
}

/// Why a request is rejected with a 4xx status at once.
#[derive(Debug)]
pub struct RequestError {
    status: StatusCode,
    message: &'static str,
    /// The method to use, where another was used.
    allow: Option<&'static str>,
}

impl RequestError {
    fn new(status: StatusCode, message: &'static str) -> RequestError {
        RequestError {
            status,
            message,
            allow: None,
        }
    }

    fn encode(self) -> Response {
        let response = with_header(
            text_response(self.status, self.message),
            header::ALLOW,
            self.allow.map(HeaderValue::from_static),
        );
        // The connection is closed: what follows on it, above all a body that was not read, cannot be trusted.
        with_header(
            response,
            header::CONNECTION,
            Some(HeaderValue::from_static("close")),
        )
    }
}

impl Frontend {
    /// Decodes the head of a request.
    pub fn decode(&self, head: &Parts) -> Result<TaskHead, RequestError> {
        let bad = |message| RequestError::new(StatusCode::BAD_REQUEST, message);
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        // hyper removes a Content-Length that comes with a Transfer-Encoding: a server behind this one could see
        // another end of the body.
        if head.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(RequestError::new(
                StatusCode::LENGTH_REQUIRED,
                "Transfer-Encoding: not taken",
            ));
        }
        let lane = text(LANE).ok_or(bad("X-Lane: missing or malformed"))?;
        let track = self.tracks.iter().position(|(name, _)| name == lane);
        let track = track.ok_or(RequestError::new(StatusCode::NOT_FOUND, "X-Lane: unknown"))?;
        if head.uri.path().split('/').nth(1) != Some(lane) {
            return Err(RequestError::new(
                StatusCode::NOT_FOUND,
                "path: its first part is not X-Lane",
            ));
        }
        let effect = self.tracks[track].1;
        let method = if effect == Effect::Idempotent {
            "GET"
        } else {
            "POST"
        };
        if head.method != method {
            let error = RequestError::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method: not that of the track",
            );
            return Err(RequestError {
                allow: Some(method),
                ..error
            });
        }
        let txn = text(TXN).filter(|txn| (1..=MAX_TXN_BYTES).contains(&txn.len()));
        let txn = txn.ok_or(bad("X-Txn: missing or malformed"))?;
        let remaining =
            text(REMAINING).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let remaining = remaining.and_then(|text| text.parse::<u32>().ok()); // about 49 days at most
        let remaining = remaining.ok_or(bad("X-Remaining-Ms: missing or malformed"))?;
        let remaining = Duration::from_millis(remaining.into());
        if remaining > self.max_client_wait && !self.max_client_wait.is_zero() {
            return Err(bad("X-Remaining-Ms: longer than any client waits"));
        }
        let idempotency_key = head.headers.get(KEY).filter(|key| !key.is_empty()).cloned();
        if matches!(effect, Effect::Deduplicated { .. }) && idempotency_key.is_none() {
            return Err(bad("Idempotency-Key: missing"));
        }
        Ok(TaskHead {
            id: TaskId(SmolStr::new(txn)),
            track: TrackId(track),
            hints: self
                .hints(&head.headers)
                .ok_or(bad("X-Labels: malformed"))?,
            remaining,
            txn: head.headers[TXN].clone(),
            idempotency_key,
        })
    }

    /// The optional labels, named as on the simulator's wire; unknown ones are ignored.
    fn hints(&self, headers: &HeaderMap) -> Option<Hints> {
        let mut hints = Hints::default();
        let Some(labels) = headers.get(LABELS) else {
            return Some(hints);
        };
        for label in labels
            .to_str()
            .ok()?
            .split(',')
            .filter(|label| !label.is_empty())
        {
            match label.trim().split_once('=')? {
                ("client_group", "0") => {}
                ("client_group", name) => {
                    let index = self.tenants.iter().position(|tenant| tenant == name)?;
                    hints.tenant = Some(TenantId(index));
                }
                ("route_key", key) => hints.key = Some(Key(key.parse().ok()?)),
                ("work_hint_s", work) => {
                    let work = Duration::try_from_secs_f64(work.parse().ok()?).ok()?;
                    hints.work = Some(work).filter(|&work| work <= MAX_WORK_HINT);
                    hints.work?;
                }
                _ => {}
            }
        }
        Some(hints)
    }
}

/// Reports that the client disconnected, unless its answer came first.
struct DisconnectGuard {
    relay_events: Mailbox,
    id: Option<TaskId>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let id = self.id.take();
        id.into_iter()
            .for_each(|id| drop(self.relay_events.send(Event::ClientDisconnected(id))));
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// Adds a header to the response, if there is a value.
fn with_header(mut response: Response, name: HeaderName, value: Option<HeaderValue>) -> Response {
    response
        .headers_mut()
        .extend(value.map(|value| (name, value)));
    response
}

fn encode(answer: TaskAnswer) -> Response {
    match answer {
        TaskAnswer::Handled(response) => with_header(
            Response::new(Body::from(response.body)),
            header::CONTENT_TYPE,
            response.content_type,
        ),
        TaskAnswer::Nacked(retry_after) => {
            let value = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())).ok();
            let value = value.filter(|_| !retry_after.is_zero());
            with_header(
                text_response(StatusCode::SERVICE_UNAVAILABLE, "nacked\n"),
                header::RETRY_AFTER,
                value,
            )
        }
        TaskAnswer::Terminated => text_response(StatusCode::BAD_GATEWAY, "terminated\n"),
    }
}

/// When the first byte of a request arrived, which may be before its head was read.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedAt(pub Instant);

/// Handles a task. The future is dropped when the client closes its connection, which reports the disconnect.
async fn handle_task(State(frontend): State<Arc<Frontend>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let arrived = head
        .extensions
        .get()
        .map_or_else(Instant::now, |&ArrivedAt(at)| at);
    let task = match frontend.decode(&head) {
        Ok(task) => task,
        Err(error) => return error.encode(),
    };
    let abandon_at = arrived + task.remaining;
    let too_long =
        || RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "body: too long or broken").encode();
    if body.size_hint().lower() > MAX_REQUEST_BODY_BYTES as u64 {
        return too_long();
    }
    let until = abandon_at.min(arrived + BODY_TIMEOUT);
    let body =
        match tokio::time::timeout_at(until, axum::body::to_bytes(body, MAX_REQUEST_BODY_BYTES))
            .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return too_long(),
            Err(_) => {
                return RequestError::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "body: did not arrive in time",
                )
                .encode()
            }
        };
    let request = Arc::new(TaskRequest {
        method: head.method,
        target: head.uri,
        txn: task.txn,
        idempotency_key: task.idempotency_key,
        content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
        body,
    });
    let (answer, answered) = oneshot::channel();
    let (id, track, hints) = (task.id.clone(), task.track, task.hints);
    let new_task = NewTask {
        id,
        track,
        hints,
        deadline: abandon_at,
        request,
        answer,
    };
    if frontend.relay_events.send(Event::Task(new_task)).is_err() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    let mut guard = DisconnectGuard {
        relay_events: frontend.relay_events.clone(),
        id: Some(task.id),
    };
    let answer = answered.await;
    guard.id = None;
    // No answer: the relay's actor did not accept the task, as one with this id is open.
    answer.map_or_else(
        |_| RequestError::new(StatusCode::CONFLICT, "X-Txn: such a task is open").encode(),
        encode,
    )
}

async fn healthz(State(frontend): State<Arc<Frontend>>) -> Response {
    match frontend.lifecycle.phase() {
        Phase::Serving => text_response(StatusCode::OK, "serving\n"),
        _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not serving\n"),
    }
}

/// The router for the requests of all connections.
pub fn router(frontend: Frontend) -> Router {
    Router::new()
        .route("/healthz", get(healthz))
        .fallback(handle_task)
        .with_state(Arc::new(frontend))
}
