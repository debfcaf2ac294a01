//! What a core machine answers: to units and the operator, to clients that ask where to go, to other relays.

use crate::keeper::{Command, Queue, ORDER_MS};
use beechcroft_config::Config;
use beechcroft_consensus::{ConfigStore, Op, Orders, CONFIG, ORDERS};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_registry::{Note, State};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::calls::{self, Call as Known};
use beechcroft_transport::desk::{Answer, Call};
use beechcroft_transport::Ground;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How far the clocks of core machines may differ for a repeat to be known by the time of day.
pub const CLOCKS_APART_MS: u64 = 2000;

/// A unit's beat.
#[derive(Deserialize)]
struct Beat {
    address: SocketAddrV4,
    info: Info,
    status: Status,
}

#[derive(Deserialize)]
struct Info {
    service: String,
    version: String,
    zone: String,
    #[serde(default)]
    capacity: u16,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    state: String,
    sequence: u64,
    #[serde(default)]
    warmup_left_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Begin {
    service: String,
    target_version: String,
    #[serde(default)]
    ramp_s: f64,
}

/// Sends a command that is answered, and waits for it.
async fn through<T>(
    queue: &Queue,
    make: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, Error> {
    let (answer, told) = oneshot::channel();
    let within = Duration::from_millis(ORDER_MS + 200);
    let gone = || Error::new(ErrorKind::NoQuorum, "no answer");
    queue.send(make(answer)).map_err(|_| gone())?;
    tokio::time::timeout(within, told)
        .await
        .map_err(|_| gone())?
        .map_err(|_| gone())
}

fn invalid(e: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Invalid, e.to_string())
}

/// What the operator's and the units' desk stands on.
#[derive(Clone)]
pub struct Control {
    pub queue: Queue,
    pub ground: Ground,
    /// The same rollout asked for again within this time is a repeat.
    pub repeat_ms: u64,
}

pub async fn control(control: Control, call: Call) -> Answer {
    match answer(&control, call).await {
        Ok(answer) => answer,
        Err(fault) => fault.into(),
    }
}

async fn answer(control: &Control, call: Call) -> Result<Answer, Error> {
    let queue = &control.queue;
    let known = calls::find(&call.method, &call.path);
    match known.ok_or_else(|| {
        Error::new(
            ErrorKind::UnknownCall,
            format!("{} {}", call.method, call.path),
        )
    })? {
        Known::Beat(id) => {
            let beat: Beat = serde_json::from_slice(&call.body).map_err(invalid)?;
            let state = match beat.status.state.as_str() {
                "ready" => State::Ready,
                "draining" => State::Draining,
                other => return Err(invalid(format!("state `{other}`"))),
            };
            let note = Note {
                id,
                service: beat.info.service,
                version: beat.info.version,
                zone: beat.info.zone,
                address: beat.address,
                capacity: beat.info.capacity.max(1),
                state,
                sequence: beat.status.sequence,
                warm_left_ms: beat.status.warmup_left_ms.clamp(0.0, 1e9) as u32,
                age_ms: 0,
            };
            through(queue, |done| Command::Beat(note, done)).await??;
            Ok(Answer::json("{}"))
        }
        Known::Deregister(id) => {
            through(queue, |done| Command::Deregister(id, done)).await??;
            Ok(Answer::json("{}"))
        }
        Known::Replace => {
            let config = Config::read(&call.body)?;
            let (version, base) = (config.version, config.base_version);
            order(queue, CONFIG, Op::replace(version, base, &call.body), &call).await
        }
        Known::ShowConfig => {
            let value = through(queue, ask(CONFIG, Op::Read, call.read)).await??;
            let body = ConfigStore::decode(&value)?.body()?;
            if body.is_empty() {
                return Err(Error::new(ErrorKind::NotFound, "no configuration yet"));
            }
            Ok(Answer::json(body))
        }
        Known::BeginRollout => {
            let begin: Begin = serde_json::from_slice(&call.body).map_err(invalid)?;
            let ramp_ms = (begin.ramp_s.clamp(0.0, 1e6) * 1000.0) as u64;
            let (service, target) = (begin.service, begin.target_version);
            let (at_ms, repeat_ms) = (control.ground.wall().as_millis() as u64, control.repeat_ms);
            let op = Op::Begin {
                service,
                target,
                ramp_ms,
                at_ms,
                repeat_ms,
            };
            order(queue, ORDERS, op, &call).await
        }
        Known::ShowRollout(service) => {
            let value = through(queue, ask(ORDERS, Op::Read, call.read)).await??;
            let orders = Orders::decode(&value)?;
            let held = orders.rollouts.get(&service);
            let held = held.ok_or_else(|| {
                Error::new(ErrorKind::NotFound, format!("no rollout of {service}"))
            })?;
            let state = match held.stage {
                beechcroft_consensus::Stage::Active(_) => "active",
                beechcroft_consensus::Stage::Complete => "complete",
                beechcroft_consensus::Stage::Reverted => "reverted",
            };
            let body = serde_json::json!({ "state": state, "targetVersion": held.target });
            Ok(Answer::json(body.to_string()))
        }
        Known::BeginEvacuation(zone) => {
            order(queue, ORDERS, Op::Evacuate { zone, begin: true }, &call).await
        }
        Known::FinishEvacuation(zone) => {
            order(queue, ORDERS, Op::Evacuate { zone, begin: false }, &call).await
        }
        Known::Resolve | Known::Ready => Err(Error::new(ErrorKind::UnknownCall, call.path)),
    }
}

fn ask(
    register: usize,
    op: Op,
    read: Instant,
) -> impl FnOnce(oneshot::Sender<beechcroft_consensus::proposer::Answer>) -> Command {
    move |answer| Command::Order {
        register,
        op,
        read,
        answer,
    }
}

/// An order that builds on nothing is begun only while its caller waits here: one that has closed may have given the same
/// order, and later ones, elsewhere. What is dropped here the owner takes out of its queue.
async fn order(queue: &Queue, register: usize, op: Op, call: &Call) -> Result<Answer, Error> {
    let watched = !op.is_fenced() && Safeguard::CallerPresence.is_enabled();
    if watched && call.caller.is_gone().await {
        return Err(Error::new(
            ErrorKind::CallerGone,
            "keep the connection open until the answer has come",
        ));
    }
    tokio::select! {
        biased;
        () = call.caller.gone(), if watched => {
            return Err(Error::new(ErrorKind::NoQuorum, "the caller has closed its side"));
        }
        done = through(queue, ask(register, op, call.read)) => done??,
    };
    Ok(Answer::json("{}"))
}

/// Clients that ask where to go. `ttl_s`: how long an answer holds.
pub async fn directory(queue: Queue, ttl_s: f64, call: Call) -> Answer {
    if calls::find(&call.method, &call.path) != Some(Known::Resolve) {
        return ErrorKind::UnknownCall.into();
    }
    let (region, zone) = (
        call.query("region").unwrap_or("").to_owned(),
        call.query("zone").unwrap_or("").to_owned(),
    );
    match through(&queue, |answer| Command::Resolve {
        region,
        zone,
        answer,
    })
    .await
    {
        Ok(found) if !found.is_empty() => {
            let body = serde_json::json!({ "addresses": found, "ttlS": ttl_s });
            Answer::json(body.to_string())
        }
        _ => ErrorKind::NotReady.into(),
    }
}

/// Other relays.
pub async fn relays(queue: Queue, call: Call) -> Answer {
    let done = match call.path.as_str() {
        "/ask" => match postcard::from_bytes(&call.body) {
            Ok(ask) => through(&queue, |answer| Command::Ask(ask, answer))
                .await
                .map(|r| postcard::to_stdvec(&r)),
            Err(e) => Err(invalid(e)),
        },
        "/copy" => {
            let register = usize::from(call.body.first().copied().unwrap_or(0) & 1);
            through(&queue, |answer| Command::Copy(register, answer))
                .await
                .map(|v| postcard::to_stdvec(&v))
        }
        "/revisions" => match through(&queue, Command::Revisions).await {
            Ok(Ok(revisions)) => Ok(postcard::to_stdvec(&revisions)),
            Ok(Err(fault)) | Err(fault) => Err(fault),
        },
        "/unit" => match postcard::from_bytes(&call.body) {
            Ok(note) => through(&queue, |done| Command::Told(note, done))
                .await
                .map(|()| Ok(Vec::new())),
            Err(e) => Err(invalid(e)),
        },
        "/back" => match postcard::from_bytes::<(String, u64)>(&call.body) {
            Ok((service, begun)) => {
                let _ = queue.send(Command::Back { service, begun });
                Ok(Ok(Vec::new()))
            }
            Err(e) => Err(invalid(e)),
        },
        "/why" => {
            let unit = String::from_utf8_lossy(&call.body).into_owned();
            through(&queue, |answer| Command::Why(unit, answer))
                .await
                .map(|text| Ok(text.into_bytes()))
        }
        "/show" => through(&queue, Command::Show)
            .await
            .map(|text| Ok(text.into_bytes())),
        _ => Err(Error::new(ErrorKind::UnknownCall, call.path)),
    };
    match done {
        Ok(Ok(bytes)) => Answer::bytes(bytes),
        Ok(Err(e)) => invalid(e).into(),
        Err(fault) => fault.into(),
    }
}
