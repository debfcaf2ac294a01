//! Units: one actor for each, which alone speaks with it. A dispatch goes out as an HTTP call and comes back as
//! one outcome; `ConnectFailed`, `Full` and `Moot` only where it is proven that the task never ran.

use crate::wire::budget::{ANSWER_MAX, DIAL_PART, REPLACED, UNIT_CALLS};
use crate::wire::keep::Keep;
use crate::wire::link::{collect, Connector, HttpClient, NoRoom, NotQuiet, Room};
use crate::wire::sparse::{whole, Sparse};
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

pub const TXN: &str = "x-txn";
pub const REMAINING: &str = "x-remaining-ms";
pub const KEY: &str = "idempotency-key";
const TURNED_AWAY: &str = "x-turned-away";
const LOAD: &str = "x-pressure";

/// The fields of a load report that are used. Deployments name them differently.
#[derive(Deserialize)]
struct LoadForm {
    #[serde(alias = "rif", alias = "inflight")]
    held: Option<f64>,
}

pub type UnitMailbox = mpsc::UnboundedSender<UnitCommand>;

/// What all units' actors share.
#[derive(Clone)]
pub struct Shared {
    pub module: Mailbox,
    pub room: Room,
    pub dial_time_out: Duration,
    pub keep: Keep,
}

impl Shared {
    pub fn new(module: Mailbox, connections: usize, transport: &TransportSettings) -> Shared {
        Shared {
            module,
            room: Room::new(connections),
            dial_time_out: transport.connect_timeout,
            keep: Keep::new(transport.idle_close.mul_f64(IDLE_KEEP_FRACTION)),
        }
    }

    pub fn spawn(&self, listing: UnitEndpoint) -> UnitMailbox {
        let (sender, mailbox) = mpsc::unbounded_channel();
        let kept = self.keep.worth();
        let client = self.client(listing, kept);
        let actor = UnitActor {
            shared: self.clone(),
            listing,
            client,
            kept,
            orders: HashMap::new(),
        };
        tokio::spawn(actor.run(mailbox));
        sender
    }

    fn client(&self, listing: UnitEndpoint, kept: Duration) -> HttpClient {
        let Shared {
            room,
            dial_time_out,
            keep,
            ..
        } = self.clone();
        Connector {
            to: listing.address,
            time_out: dial_time_out,
            room,
            keep,
        }
        .client(kept)
    }
}

/// What a call under way is told.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    Proceed,
    Leave,
    Abandon,
}

struct UnitActor {
    shared: Shared,
    listing: UnitEndpoint,
    client: HttpClient,
    /// For how long it keeps idle connections.
    kept: Duration,
    orders: HashMap<(TaskId, u32), watch::Sender<Order>>,
}

impl UnitActor {
    /// Until nobody holds the mailbox and no call is open.
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<UnitCommand>) {
        let odd = Sparse::new("unit's answer");
        let mut calls = FuturesUnordered::new();
        let mut shortage = self.shared.room.shortage();
        let mut open = true;
        while open || !calls.is_empty() {
            tokio::select! {
                biased;
                message = mailbox.recv(), if open => match message {
                    Some(UnitCommand::UpdateEndpoint(listing)) => self.listed(listing),
                    Some(UnitCommand::Remove) => self.listed(UnitEndpoint { draining: true, ..self.listing }),
                    Some(UnitCommand::Cancel(task, no)) => {
                        if let Some(order) = self.orders.get(&(task, no.0)) {
                            order.send_replace(Order::Abandon);
                        }
                    }
                    Some(UnitCommand::Dispatch(dispatch)) => calls.push(self.call(dispatch)),
                    None => open = false,
                },
                // A pool that is dropped closes its idle connections; the calls under way keep theirs.
                Ok(()) = shortage.changed() => self.renew(),
                Some((ended, oddity)) = calls.next() => {
                    self.orders.remove(&(ended.task.clone(), ended.number.0));
                    oddity.into_iter().for_each(|oddity| odd.warn(format!("{} {oddity}", self.listing.address)));
                    let _ = self.shared.module.send(Event::DispatchEnded(ended));
                }
            }
        }
    }

    /// Leaves what is idle behind; what is under way keeps its connection.
    fn renew(&mut self) {
        self.kept = self.shared.keep.worth();
        self.client = self.shared.client(self.listing, self.kept);
    }

    /// A new address or start is a new machine: its connections are new ones.
    fn listed(&mut self, listing: UnitEndpoint) {
        let before = std::mem::replace(&mut self.listing, listing);
        if (listing.address, listing.started) != (before.address, before.started) {
            self.renew();
        }
        if listing.draining {
            for order in self.orders.values() {
                order.send_replace(Order::Leave);
            }
        }
    }

    fn call(
        &mut self,
        dispatch: Dispatch,
    ) -> impl std::future::Future<Output = (DispatchResult, Option<String>)> + use<> {
        if self.shared.keep.worth() != self.kept {
            self.renew();
        }
        let spent_room = self.orders.len() >= UNIT_CALLS;
        let (order, told) = watch::channel(if self.listing.draining {
            Order::Leave
        } else {
            Order::Proceed
        });
        self.orders
            .insert((dispatch.task.clone(), dispatch.number.0), order);
        let (client, address) = (self.client.clone(), self.listing.address);
        async move {
            let Dispatch {
                task,
                number: no,
                request: call,
                sent_at: at,
                time_out,
            } = dispatch;
            let got = match encode(&call, address, time_out) {
                _ if spent_room => Got::of(Outcome::Moot),
                Ok(request) => exchange(client, request, told, at, time_out).await,
                Err(error) => Got::odd(Outcome::Moot, error.to_string()),
            };
            let Got {
                outcome,
                reply,
                oddity,
                held,
                ..
            } = got;
            (
                DispatchResult {
                    task,
                    number: no,
                    outcome,
                    response: reply,
                    elapsed: at.elapsed(),
                    reported_load: held,
                },
                oddity,
            )
        }
    }
}

/// What came of a call.
struct Got {
    outcome: Outcome,
    reply: Option<UnitResponse>,
    oddity: Option<String>,
    /// How many tasks the unit told that it holds.
    held: Option<f64>,
    /// Nothing was written, as the connection was unfit to be used again.
    unwritten: bool,
}

impl Got {
    fn of(outcome: Outcome) -> Got {
        Got {
            outcome,
            reply: None,
            oddity: None,
            held: None,
            unwritten: false,
        }
    }

    fn odd(outcome: Outcome, oddity: String) -> Got {
        Got {
            oddity: Some(oddity),
            ..Got::of(outcome)
        }
    }
}

fn encode(
    call: &TaskRequest,
    address: SocketAddr,
    wait: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = call
        .target
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri: Uri = format!("http://{address}{path}").parse()?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .header(TXN, &call.txn)
        .header(REMAINING, wait.as_millis() as u64);
    for (name, value) in [
        (KEY, &call.idempotency_key),
        (header::CONTENT_TYPE.as_str(), &call.content_type),
    ] {
        request = value
            .iter()
            .fold(request, |request, value| request.header(name, value));
    }
    request.body(Full::new(call.body.clone()))
}

/// One call. Where a kept connection was found unfit before anything of the request was written, another one takes it.
async fn exchange(
    client: HttpClient,
    request: Request<Full<Bytes>>,
    mut told: watch::Receiver<Order>,
    at: Instant,
    time_out: Duration,
) -> Got {
    for _ in 0..REPLACED {
        match attempt(&client, request.clone(), &mut told, at, time_out).await {
            // The others that ended with it are seen to have by the next turn.
            Got {
                unwritten: true, ..
            } => tokio::task::yield_now().await,
            got => return got,
        }
    }
    attempt(&client, request, &mut told, at, time_out).await
}

/// One try of a call. Dropping it, on order or when its time is over, closes its connection or gives up connecting.
async fn attempt(
    client: &HttpClient,
    mut request: Request<Full<Bytes>>,
    told: &mut watch::Receiver<Order>,
    at: Instant,
    time_out: Duration,
) -> Got {
    let connection = capture_connection(&mut request);
    let answered = async { read(client.request(request).await).await };
    // A task that waits for no connection beyond a part of its time can still be sent elsewhere.
    let undialled = async {
        sleep_until(at + time_out.mul_f64(DIAL_PART)).await;
        if is_written(&connection) {
            std::future::pending().await
        }
    };
    // In this order: what is over or called off is never written, even if the connection comes up this moment.
    tokio::select! {
        biased;
        outcome = called_off(told, &connection) => Got::of(outcome),
        () = sleep_until(at + time_out) => match is_written(&connection) {
            true => Got::of(Outcome::TimeOut),
            false => Got::of(Outcome::ConnectFailed),
        },
        () = undialled => Got::of(Outcome::ConnectFailed),
        got = answered => got,
    }
}

/// Whether the request may have been written: it has been given to a connection.
fn is_written(connection: &CaptureConnection) -> bool {
    connection.connection_metadata().is_some()
}

/// Ends once the call is abandoned, or its unit is listed as leaving before anything was written.
async fn called_off(told: &mut watch::Receiver<Order>, connection: &CaptureConnection) -> Outcome {
    loop {
        match *told.borrow_and_update() {
            Order::Abandon => return Outcome::Abandoned,
            Order::Leave if !is_written(connection) => return Outcome::ConnectFailed,
            Order::Leave | Order::Proceed => {}
        }
        if told.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn read(answer: Result<Response<Incoming>, hyper_util::client::legacy::Error>) -> Got {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return of_error(&error),
    };
    let (head, body) = answer.into_parts();
    let outcome = of_status(head.status, &head.headers);
    let held = head
        .headers
        .get(LOAD)
        .and_then(|value| held_by(value.as_bytes()));
    // Whatever came, the body is read to its end, so that the connection can be kept.
    let got = match collect(body, ANSWER_MAX).await {
        Ok(body) if outcome == Outcome::Ok => {
            let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
            Got {
                reply: Some(UnitResponse { body, content_type }),
                ..Got::of(outcome)
            }
        }
        Err(error) if outcome == Outcome::Ok => Got::odd(Outcome::Reset, format!("body: {error}")),
        _ if head.status == StatusCode::INTERNAL_SERVER_ERROR || outcome == Outcome::Full => {
            Got::of(outcome)
        }
        _ => Got::odd(outcome, format!("unexpected status {}", head.status)),
    };
    Got { held, ..got }
}

/// How many tasks a load report says that the unit holds; one that cannot be read, or says nonsense, says nothing.
pub fn held_by(report: &[u8]) -> Option<f64> {
    let report: LoadForm = serde_json::from_slice(report).ok()?;
    report.held.and_then(load::valid_load)
}

/// The outcome that a status proves; any but the protocol's is an error, which may have run.
pub fn of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let turned_away = headers.get(TURNED_AWAY).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            Outcome::Full
        }
        _ => Outcome::Error,
    }
}

fn cause<'a, T: std::error::Error + 'static>(
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

/// Whether a kept connection refused the request unwritten.
fn is_not_quiet(error: &hyper_util::client::legacy::Error) -> bool {
    let inner = cause::<std::io::Error>(error).and_then(std::io::Error::get_ref);
    inner.is_some_and(|inner| inner.is::<NotQuiet>())
}

/// What a failed call proves. hyper calls a request canceled only where it hands it back unwritten. A log line is worth
/// what cannot be read and our own shortage, not what the network does.
fn of_error(error: &hyper_util::client::legacy::Error) -> Got {
    if let Some(short) = cause::<NoRoom>(error) {
        return Got::odd(Outcome::Moot, short.to_string());
    }
    let handed_back = cause::<hyper::Error>(error).is_some_and(hyper::Error::is_canceled);
    if handed_back || is_not_quiet(error) {
        return Got {
            unwritten: true,
            ..Got::of(Outcome::ConnectFailed)
        };
    }
    if error.is_connect() {
        return Got::of(Outcome::ConnectFailed);
    }
    let unreadable = cause::<hyper::Error>(error).filter(|error| error.is_parse());
    Got {
        oddity: unreadable.map(|error| whole(error)),
        ..Got::of(Outcome::Reset)
    }
}
