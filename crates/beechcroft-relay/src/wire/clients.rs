//! Clients: axum in front. A request is decoded once into a task, its answer encoded once. Connections are kept in
//! [`crate::wire::lot`] and served in [`crate::wire::serving`].

use crate::life::phases::{Life, Phase};
use crate::wire::budget::{BODY_MAX, BODY_WAIT, HINT_MAX, TXN_MAX};
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

/// What the front knows of the deployment.
pub struct Front {
    tracks: Vec<(String, Effect)>,
    tenants: Vec<String>,
    /// No client of this deployment waits longer.
    longest_wait: Duration,
    module: Mailbox,
    life: Life,
}

impl Front {
    pub fn new(names: &NamedSettings, module: Mailbox, life: Life) -> Front {
        let effects = names.settings.tracks.iter().map(|track| track.effect);
        let tracks = names.tracks.iter().cloned().zip(effects).collect();
        let longest_wait = names.transport.max_client_wait;
        Front {
            tracks,
            tenants: names.tenants.clone(),
            longest_wait,
            module,
            life,
        }
    }
}

/// What a client's request says of its task.
#[derive(Debug)]
pub struct Asked {
    pub id: TaskId,
    pub track: TrackId,
    pub hints: Hints,
    pub remaining: Duration,
    txn: HeaderValue,
    idempotency_key: Option<HeaderValue>,
}

/// Why a request is no task: 4xx at once.
#[derive(Debug)]
pub struct Fault {
    status: StatusCode,
    what: &'static str,
    /// The method that would do, where another was used.
    allow: Option<&'static str>,
}

impl Fault {
    fn new(status: StatusCode, what: &'static str) -> Fault {
        Fault {
            status,
            what,
            allow: None,
        }
    }

    fn encode(self) -> Response {
        let response = with(
            plain(self.status, self.what),
            header::ALLOW,
            self.allow.map(HeaderValue::from_static),
        );
        // What follows on this connection, a body that was not read above all, is not to be believed.
        with(
            response,
            header::CONNECTION,
            Some(HeaderValue::from_static("close")),
        )
    }
}

impl Front {
    pub fn decode(&self, head: &Parts) -> Result<Asked, Fault> {
        let bad = |what| Fault::new(StatusCode::BAD_REQUEST, what);
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        // Beside one, hyper takes a Content-Length away: whoever is behind may see another end of the body.
        if head.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Fault::new(
                StatusCode::LENGTH_REQUIRED,
                "Transfer-Encoding: not taken",
            ));
        }
        let lane = text(LANE).ok_or(bad("X-Lane: missing or malformed"))?;
        let track = self.tracks.iter().position(|(name, _)| name == lane);
        let track = track.ok_or(Fault::new(StatusCode::NOT_FOUND, "X-Lane: unknown"))?;
        if head.uri.path().split('/').nth(1) != Some(lane) {
            return Err(Fault::new(
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
            let fault = Fault::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method: not that of the track",
            );
            return Err(Fault {
                allow: Some(method),
                ..fault
            });
        }
        let txn = text(TXN).filter(|txn| (1..=TXN_MAX).contains(&txn.len()));
        let txn = txn.ok_or(bad("X-Txn: missing or malformed"))?;
        let remaining =
            text(REMAINING).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let remaining = remaining.and_then(|text| text.parse::<u32>().ok()); // some 49 days at most
        let remaining = remaining.ok_or(bad("X-Remaining-Ms: missing or malformed"))?;
        let remaining = Duration::from_millis(remaining.into());
        if remaining > self.longest_wait && !self.longest_wait.is_zero() {
            return Err(bad("X-Remaining-Ms: longer than any client waits"));
        }
        let idempotency_key = head.headers.get(KEY).filter(|key| !key.is_empty()).cloned();
        if matches!(effect, Effect::Deduplicated { .. }) && idempotency_key.is_none() {
            return Err(bad("Idempotency-Key: missing"));
        }
        Ok(Asked {
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

    /// The further figures, named as on the simulator's wire; others are passed over.
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
                    let place = self.tenants.iter().position(|tenant| tenant == name)?;
                    hints.tenant = Some(TenantId(place));
                }
                ("route_key", key) => hints.key = Some(Key(key.parse().ok()?)),
                ("work_hint_s", work) => {
                    let work = Duration::try_from_secs_f64(work.parse().ok()?).ok()?;
                    hints.work = Some(work).filter(|&work| work <= HINT_MAX);
                    hints.work?;
                }
                _ => {}
            }
        }
        Some(hints)
    }
}

/// Tells the module that the client left, unless the answer came first.
struct Waiting {
    module: Mailbox,
    id: Option<TaskId>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let left = self.id.take();
        left.into_iter()
            .for_each(|id| drop(self.module.send(Event::ClientDisconnected(id))));
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// The response with a header, if there is one.
fn with(mut response: Response, name: HeaderName, value: Option<HeaderValue>) -> Response {
    response
        .headers_mut()
        .extend(value.map(|value| (name, value)));
    response
}

fn encode(answer: TaskAnswer) -> Response {
    match answer {
        TaskAnswer::Handled(reply) => with(
            Response::new(Body::from(reply.body)),
            header::CONTENT_TYPE,
            reply.content_type,
        ),
        TaskAnswer::Nacked(hold_off) => {
            let after = HeaderValue::try_from(format!("{:.3}", hold_off.as_secs_f64())).ok();
            let after = after.filter(|_| !hold_off.is_zero());
            with(
                plain(StatusCode::SERVICE_UNAVAILABLE, "nacked\n"),
                header::RETRY_AFTER,
                after,
            )
        }
        TaskAnswer::Terminated => plain(StatusCode::BAD_GATEWAY, "terminated\n"),
    }
}

/// When something of a request had arrived, which may be before its head was read.
#[derive(Clone, Copy, Debug)]
pub struct Arrived(pub Instant);

/// Dropped when the client closes its connection, which tells the module.
async fn task(State(front): State<Arc<Front>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let arrived = head
        .extensions
        .get()
        .map_or_else(Instant::now, |&Arrived(at)| at);
    let asked = match front.decode(&head) {
        Ok(asked) => asked,
        Err(fault) => return fault.encode(),
    };
    let abandon_at = arrived + asked.remaining;
    let too_long =
        || Fault::new(StatusCode::PAYLOAD_TOO_LARGE, "body: too long or broken").encode();
    if body.size_hint().lower() > BODY_MAX as u64 {
        return too_long();
    }
    let until = abandon_at.min(arrived + BODY_WAIT);
    let body = match tokio::time::timeout_at(until, axum::body::to_bytes(body, BODY_MAX)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return too_long(),
        Err(_) => {
            return Fault::new(StatusCode::REQUEST_TIMEOUT, "body: did not arrive in time").encode()
        }
    };
    let call = Arc::new(TaskRequest {
        method: head.method,
        target: head.uri,
        txn: asked.txn,
        idempotency_key: asked.idempotency_key,
        content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
        body,
    });
    let (answer, answered) = oneshot::channel();
    let (id, track, hints) = (asked.id.clone(), asked.track, asked.hints);
    let taken = NewTask {
        id,
        track,
        hints,
        deadline: abandon_at,
        request: call,
        answer,
    };
    if front.module.send(Event::Task(taken)).is_err() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    let mut waiting = Waiting {
        module: front.module.clone(),
        id: Some(asked.id),
    };
    let answer = answered.await;
    waiting.id = None;
    // No answer: the module did not take it, as a task with this id is open.
    answer.map_or_else(
        |_| Fault::new(StatusCode::CONFLICT, "X-Txn: such a task is open").encode(),
        encode,
    )
}

async fn healthz(State(front): State<Arc<Front>>) -> Response {
    match front.life.now() {
        Phase::Serving => plain(StatusCode::OK, "serving\n"),
        _ => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n"),
    }
}

/// What answers the requests of all connections.
pub fn router(front: Front) -> Router {
    Router::new()
        .route("/healthz", get(healthz))
        .fallback(task)
        .with_state(Arc::new(front))
}
