//! Dispatches to units: one actor for each unit, which alone connects to it. A dispatch is sent as an HTTP request and
//! ends with one outcome; `ConnectFailed`, `Full` and `Moot` are used only where it is certain that the task never
//! ran.

use crate::wire::connector::{
    collect, ConnectionQuota, Connector, HttpClient, QuotaExhausted, StaleConnection,
};
use crate::wire::idle_timeout::IdleTimeout;
use crate::wire::limits::{
    CONNECT_FRACTION, MAX_CALLS_PER_UNIT, MAX_RESPONSE_BODY_BYTES, MAX_STALE_RETRIES,
};
use crate::wire::rate_limited_log::{error_chain, RateLimitedLog};
use beechcroft::{Outcome, TaskId};
use beechcroft_core::list::UnitEndpoint;
use beechcroft_core::request::{TaskRequest, UnitResponse};
use beechcroft_core::{Dispatch, DispatchResult, Event, Mailbox, UnitCommand};
use beechcroft_fleet::load;
use beechcroft_fleet::subset::IDLE_KEEP_FRACTION;
use beechcroft_settings::TransportSettings;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{header, HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// Header with the id of a task.
pub const TXN: &str = "x-txn";
/// Header with the milliseconds that remain for a task.
pub const REMAINING: &str = "x-remaining-ms";
/// Header with the idempotency key of a task.
pub const KEY: &str = "idempotency-key";
const REJECTED: &str = "x-turned-away";
const LOAD_REPORT: &str = "x-pressure";

/// The fields of a load report that are used. Deployments name them differently.
#[derive(Deserialize)]
struct LoadReport {
    #[serde(alias = "rif", alias = "inflight")]
    held: Option<f64>,
}

/// Where commands for a unit's actor are sent.
pub type UnitMailbox = mpsc::UnboundedSender<UnitCommand>;

/// What the actors of all units share.
#[derive(Clone)]
pub struct UnitContext {
    /// The mailbox of the relay's actor.
    pub relay_events: Mailbox,
    /// Descriptors for connections to units.
    pub quota: ConnectionQuota,
    /// Time for a connection to be established.
    pub connect_timeout: Duration,
    /// How long idle connections are worth keeping.
    pub idle_timeout: IdleTimeout,
}

impl UnitContext {
    /// Allows so many connections to all units together.
    pub fn new(
        relay_events: Mailbox,
        connections: usize,
        transport: &TransportSettings,
    ) -> UnitContext {
        UnitContext {
            relay_events,
            quota: ConnectionQuota::new(connections),
            connect_timeout: transport.connect_timeout,
            idle_timeout: IdleTimeout::new(transport.idle_close.mul_f64(IDLE_KEEP_FRACTION)),
        }
    }

    /// Starts the actor of a unit.
    pub fn spawn(&self, endpoint: UnitEndpoint) -> UnitMailbox {
        let (sender, mailbox) = mpsc::unbounded_channel();
        let pool_timeout = self.idle_timeout.current();
        let client = self.client(endpoint, pool_timeout);
        let actor = UnitActor {
            context: self.clone(),
            endpoint,
            client,
            pool_timeout,
            signals: HashMap::new(),
        };
        tokio::spawn(actor.run(mailbox));
        sender
    }

    fn client(&self, endpoint: UnitEndpoint, pool_timeout: Duration) -> HttpClient {
        let UnitContext {
            quota,
            connect_timeout,
            idle_timeout,
            ..
        } = self.clone();
        Connector {
            to: endpoint.address,
            connect_timeout,
            quota,
            idle_timeout,
        }
        .client(pool_timeout)
    }
}

/// A signal to a call in flight.
#[derive(Clone, Copy, PartialEq)]
enum CallSignal {
    /// Continue.
    Proceed,
    /// The unit is draining: stop unless the request was written.
    Drain,
    /// Stop.
    Cancel,
}

struct UnitActor {
    context: UnitContext,
    endpoint: UnitEndpoint,
    client: HttpClient,
    /// How long the pool keeps idle connections.
    pool_timeout: Duration,
    signals: HashMap<(TaskId, u32), watch::Sender<CallSignal>>,
}

impl UnitActor {
    /// Runs until the mailbox is closed and no call is in flight.
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<UnitCommand>) {
        let log = RateLimitedLog::new("unit's answer");
        let mut calls = FuturesUnordered::new();
        let mut exhaustion = self.context.quota.exhaustion();
        let mut open = true;
        while open || !calls.is_empty() {
            tokio::select! {
                biased;
                message = mailbox.recv(), if open => match message {
                    Some(UnitCommand::UpdateEndpoint(endpoint)) => self.update_endpoint(endpoint),
                    Some(UnitCommand::Remove) => self.update_endpoint(UnitEndpoint { draining: true, ..self.endpoint }),
                    Some(UnitCommand::Cancel(task, number)) => {
                        if let Some(signal) = self.signals.get(&(task, number.0)) {
                            signal.send_replace(CallSignal::Cancel);
                        }
                    }
                    Some(UnitCommand::Dispatch(dispatch)) => calls.push(self.call(dispatch)),
                    None => open = false,
                },
                // Dropping a pool closes its idle connections; calls in flight keep theirs.
                Ok(()) = exhaustion.changed() => self.reset_pool(),
                Some((ended, warning)) = calls.next() => {
                    self.signals.remove(&(ended.task.clone(), ended.number.0));
                    warning.into_iter().for_each(|warning| log.warn(format!("{} {warning}", self.endpoint.address)));
                    let _ = self.context.relay_events.send(Event::DispatchEnded(ended));
                }
            }
        }
    }

    /// Replaces the pool, which closes its idle connections; calls in flight keep theirs.
    fn reset_pool(&mut self) {
        self.pool_timeout = self.context.idle_timeout.current();
        self.client = self.context.client(self.endpoint, self.pool_timeout);
    }

    /// A new address or start time means a new instance, which gets new connections.
    fn update_endpoint(&mut self, endpoint: UnitEndpoint) {
        let before = std::mem::replace(&mut self.endpoint, endpoint);
        if (endpoint.address, endpoint.started) != (before.address, before.started) {
            self.reset_pool();
        }
        if endpoint.draining {
            for signal in self.signals.values() {
                signal.send_replace(CallSignal::Drain);
            }
        }
    }

    fn call(
        &mut self,
        dispatch: Dispatch,
    ) -> impl std::future::Future<Output = (DispatchResult, Option<String>)> + use<> {
        if self.context.idle_timeout.current() != self.pool_timeout {
            self.reset_pool();
        }
        let too_many_calls = self.signals.len() >= MAX_CALLS_PER_UNIT;
        let (sender, signal) = watch::channel(if self.endpoint.draining {
            CallSignal::Drain
        } else {
            CallSignal::Proceed
        });
        self.signals
            .insert((dispatch.task.clone(), dispatch.number.0), sender);
        let (client, address) = (self.client.clone(), self.endpoint.address);
        async move {
            let Dispatch {
                task,
                number,
                request,
                sent_at,
                time_out,
            } = dispatch;
            let result = match encode(&request, address, time_out) {
                _ if too_many_calls => CallResult::of(Outcome::Moot),
                Ok(request) => exchange(client, request, signal, sent_at, time_out).await,
                Err(error) => CallResult::with_warning(Outcome::Moot, error.to_string()),
            };
            let CallResult {
                outcome,
                response,
                warning,
                load,
                ..
            } = result;
            (
                DispatchResult {
                    task,
                    number,
                    outcome,
                    response,
                    elapsed: sent_at.elapsed(),
                    reported_load: load,
                },
                warning,
            )
        }
    }
}

/// The result of a call.
struct CallResult {
    outcome: Outcome,
    response: Option<UnitResponse>,
    warning: Option<String>,
    /// Number of tasks that the unit reports to hold.
    load: Option<f64>,
    /// Nothing was written, as the pooled connection could not be reused.
    unwritten: bool,
}

impl CallResult {
    fn of(outcome: Outcome) -> CallResult {
        CallResult {
            outcome,
            response: None,
            warning: None,
            load: None,
            unwritten: false,
        }
    }

    fn with_warning(outcome: Outcome, warning: String) -> CallResult {
        CallResult {
            warning: Some(warning),
            ..CallResult::of(outcome)
        }
    }
}

fn encode(
    task: &TaskRequest,
    address: SocketAddr,
    time_out: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = task
        .target
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri: Uri = format!("http://{address}{path}").parse()?;
    let mut request = Request::builder()
        .method(task.method.clone())
        .uri(uri)
        .header(TXN, &task.txn)
        .header(REMAINING, time_out.as_millis() as u64);
    for (name, value) in [
        (KEY, &task.idempotency_key),
        (header::CONTENT_TYPE.as_str(), &task.content_type),
    ] {
        request = value
            .iter()
            .fold(request, |request, value| request.header(name, value));
    }
    request.body(Full::new(task.body.clone()))
}

/// Makes one call. If a pooled connection turns out stale before anything of the request was written, another one is
/// used.
async fn exchange(
    client: HttpClient,
    request: Request<Full<Bytes>>,
    mut signal: watch::Receiver<CallSignal>,
    sent_at: Instant,
    time_out: Duration,
) -> CallResult {
    for _ in 0..MAX_STALE_RETRIES {
        match attempt(&client, request.clone(), &mut signal, sent_at, time_out).await {
            // By the next turn the runtime has noticed the other connections that were closed along with it.
            CallResult {
                unwritten: true, ..
            } => tokio::task::yield_now().await,
            result => return result,
        }
    }
    attempt(&client, request, &mut signal, sent_at, time_out).await
}

/// One attempt of a call. Dropping it, on a signal or on its time-out, closes its connection or gives up connecting.
async fn attempt(
    client: &HttpClient,
    mut request: Request<Full<Bytes>>,
    signal: &mut watch::Receiver<CallSignal>,
    sent_at: Instant,
    time_out: Duration,
) -> CallResult {
    let connection = capture_connection(&mut request);
    let answered = async { read(client.request(request).await).await };
    // Ends the wait for a connection after a fraction of the time-out, so that the task can still be sent elsewhere.
    let not_connected_in_time = async {
        sleep_until(sent_at + time_out.mul_f64(CONNECT_FRACTION)).await;
        if is_written(&connection) {
            std::future::pending().await
        }
    };
    // In this order: a call that is over or cancelled is never written, even if the connection is established at this
    // moment.
    tokio::select! {
        biased;
        outcome = cancelled(signal, &connection) => CallResult::of(outcome),
        () = sleep_until(sent_at + time_out) => match is_written(&connection) {
            true => CallResult::of(Outcome::TimeOut),
            false => CallResult::of(Outcome::ConnectFailed),
        },
        () = not_connected_in_time => CallResult::of(Outcome::ConnectFailed),
        result = answered => result,
    }
}

/// Whether the request may have been written: it was assigned to a connection.
fn is_written(connection: &CaptureConnection) -> bool {
    connection.connection_metadata().is_some()
}

/// Returns once the call is cancelled, or once its unit is draining and nothing was written.
async fn cancelled(
    signal: &mut watch::Receiver<CallSignal>,
    connection: &CaptureConnection,
) -> Outcome {
    loop {
        match *signal.borrow_and_update() {
            CallSignal::Cancel => return Outcome::Abandoned,
            CallSignal::Drain if !is_written(connection) => return Outcome::ConnectFailed,
            CallSignal::Drain | CallSignal::Proceed => {}
        }
        if signal.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn read(answer: Result<Response<Incoming>, hyper_util::client::legacy::Error>) -> CallResult {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return result_of_error(&error),
    };
    let (head, body) = answer.into_parts();
    let outcome = outcome_of_status(head.status, &head.headers);
    let load = head
        .headers
        .get(LOAD_REPORT)
        .and_then(|value| load_in_report(value.as_bytes()));
    // The body is read to its end in any case, so that the connection can be reused.
    let result = match collect(body, MAX_RESPONSE_BODY_BYTES).await {
        Ok(body) if outcome == Outcome::Ok => {
            let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
            CallResult {
                response: Some(UnitResponse { body, content_type }),
                ..CallResult::of(outcome)
            }
        }
        Err(error) if outcome == Outcome::Ok => {
            CallResult::with_warning(Outcome::Reset, format!("body: {error}"))
        }
        _ if head.status == StatusCode::INTERNAL_SERVER_ERROR || outcome == Outcome::Full => {
            CallResult::of(outcome)
        }
        _ => CallResult::with_warning(outcome, format!("unexpected status {}", head.status)),
    };
    CallResult { load, ..result }
}

/// The number of tasks that the unit holds by its load report; none if the report cannot be decoded or its number is
/// not plausible.
pub fn load_in_report(report: &[u8]) -> Option<f64> {
    let report: LoadReport = serde_json::from_slice(report).ok()?;
    report.held.and_then(load::valid_load)
}

/// The outcome that a status proves. Any status that the protocol does not define is an error, after which the task
/// may have run.
pub fn outcome_of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let rejected = headers.get(REJECTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn find_cause<'a, T: std::error::Error + 'static>(
    error: &'a (dyn std::error::Error + 'static),
) -> Option<&'a T> {
    let mut next = Some(error);
    while let Some(error) = next {
        if let Some(found) = error.downcast_ref() {
            return Some(found);
        }
        next = error.source();
    }
    None
}

/// Whether a pooled connection rejected the request before anything was written.
fn is_stale_connection(error: &hyper_util::client::legacy::Error) -> bool {
    let inner = find_cause::<std::io::Error>(error).and_then(std::io::Error::get_ref);
    inner.is_some_and(|inner| inner.is::<StaleConnection>())
}

/// The outcome that a failed call proves. hyper calls a request canceled only where it returns it unwritten. Responses
/// that cannot be parsed and the relay's own shortage of descriptors are logged; network faults are not.
fn result_of_error(error: &hyper_util::client::legacy::Error) -> CallResult {
    if let Some(exhausted) = find_cause::<QuotaExhausted>(error) {
        return CallResult::with_warning(Outcome::Moot, exhausted.to_string());
    }
    let returned_unwritten =
        find_cause::<hyper::Error>(error).is_some_and(hyper::Error::is_canceled);
    if returned_unwritten || is_stale_connection(error) {
        return CallResult {
            unwritten: true,
            ..CallResult::of(Outcome::ConnectFailed)
        };
    }
    if error.is_connect() {
        return CallResult::of(Outcome::ConnectFailed);
    }
    let parse_error = find_cause::<hyper::Error>(error).filter(|error| error.is_parse());
    CallResult {
        warning: parse_error.map(|error| error_chain(error)),
        ..CallResult::of(Outcome::Reset)
    }
}
