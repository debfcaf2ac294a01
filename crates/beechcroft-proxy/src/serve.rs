//! A client's connection: request after request, each carried to a unit and answered. Read from top to bottom
//! as a request passes: its head, its route, its body, its offers, its answer.

use crate::carry::{self, Final, Task};
use crate::guide::Queue;
use crate::offer::{push_part, write_paced, write_within, Answer, Rest};
use crate::shared::{Phase, Shared};
use beechcroft_error::ErrorKind;
use beechcroft_hotkeys::{key_of, Pins};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::guard::{self, Ask, Framing, Read};
use beechcroft_transport::line::{Body, Line};
use beechcroft_transport::Stream;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Bodies up to this size are held, so that they can be offered again.
const HELD_BODY: usize = 64 << 10;
/// Where the client does not say how long it waits.
const BUDGET_MS: u64 = 30_000;
/// Serves one client's connection until it ends.
pub async fn client(shared: Rc<Shared>, guide: Queue, stream: Stream) {
    let mut line = Line::new(stream);
    let pins = RefCell::default();
    while one(&shared, &guide, &mut line, &pins).await {
        line.rest();
    }
}

/// One request; whether another may follow.
async fn one(shared: &Rc<Shared>, guide: &Queue, line: &mut Line, pins: &RefCell<Pins>) -> bool {
    let limits = shared
        .table
        .borrow()
        .as_ref()
        .map(|table| table.limits.clone())
        .unwrap_or_default();
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    if line.unread().is_empty() && !matches!(timeout(idle, line.fill()).await, Ok(Ok(1..))) {
        return false;
    }
    let began = Instant::now();
    let head_until = began + Duration::from_millis(limits.header_timeout_ms);
    let ask = loop {
        match guard::ask(line.unread(), limits.max_header_bytes) {
            Read::Whole(ask, length) => {
                line.consume(length);
                break ask;
            }
            Read::Bad(kind) => {
                answer_own(line, kind, 0, false).await;
                return false;
            }
            Read::More => match timeout_at(head_until, line.fill()).await {
                Ok(Ok(1..)) => {}
                Ok(_) => return false,
                Err(_) => {
                    answer_own(line, ErrorKind::RequestTimeout, 0, false).await;
                    return false;
                }
            },
        }
    };
    shared.under_way.set(shared.under_way.get() + 1);
    let again = request(shared, guide, line, ask, began, limits.max_body_bytes, pins).await;
    shared.under_way.set(shared.under_way.get() - 1);
    again
}

async fn request(
    shared: &Rc<Shared>,
    guide: &Queue,
    line: &mut Line,
    ask: Ask,
    began: Instant,
    max_body: u64,
    pins: &RefCell<Pins>,
) -> bool {
    let keep = ask.keep && shared.phase.get() == Phase::Ready;
    let has_body = !matches!(ask.framing, None | Some(Framing::Length(0)));
    // A connection whose body was not read cannot carry another request.
    let refuse_keep = keep && (!has_body || !Safeguard::UnreadRequestBody.is_enabled());
    let table = shared.table.borrow().clone();
    let Some(table) =
        table.filter(|_| !matches!(shared.phase.get(), Phase::Coming | Phase::Closing))
    else {
        let kind = if shared.phase.get() == Phase::Coming {
            ErrorKind::NotReady
        } else {
            ErrorKind::ShuttingDown
        };
        answer_own(line, kind, 300, false).await;
        return false;
    };
    let Some((route, way)) = table.find(&ask.host, &ask.target) else {
        answer_own(line, ErrorKind::NoRoute, 0, refuse_keep).await;
        return refuse_keep;
    };
    if ask.id.as_deref().is_none_or(str::is_empty) && Safeguard::AttemptIdRequired.is_enabled() {
        // No unit runs it, and no answer to it could be told from another's.
        answer_own(line, ErrorKind::Malformed, 0, refuse_keep).await;
        return refuse_keep;
    }
    if matches!(ask.framing, Some(Framing::Length(length)) if length > max_body) {
        answer_own(line, ErrorKind::BodyTooLarge, 0, false).await;
        return false;
    }
    let budget = ask.budget_ms.unwrap_or(BUDGET_MS).min(way.timeout_ms);
    let until = began + Duration::from_millis(budget);
    if ask.expects
        && has_body
        && line.unread().is_empty()
        && !write_within(
            line,
            b"HTTP/1.1 100 Continue\r\n\r\n",
            Duration::from_secs(1),
        )
        .await
    {
        return false;
    }
    let mut body = Body::new(ask.framing);
    let mut held = Vec::new();
    while !body.done() && held.len() < HELD_BODY {
        match timeout_at(until, body.next(line, &mut held)).await {
            Ok(Ok(())) => {}
            Ok(Err(beechcroft_transport::line::Broken::Early)) => return false,
            Ok(Err(beechcroft_transport::line::Broken::Spoilt)) => {
                answer_own(line, ErrorKind::Malformed, 0, false).await;
                return false;
            }
            Err(_) => {
                answer_own(line, ErrorKind::RequestTimeout, 0, false).await;
                return false;
            }
        }
    }
    let more = (!body.done()).then_some(&mut body);
    let service = {
        let draw = shared.yard.borrow_mut().draw();
        way.service(draw)
    };
    let key = (table.services[service].usual_places > 0).then(|| {
        let key = key_of(
            &table.services[service].name,
            way.key(&ask.target, |name| ask.header(name)).as_bytes(),
        );
        if way.repeatable() {
            let mut crowds = shared.crowds.borrow_mut();
            crowds
                .entry(table.services[service].name.clone())
                .or_default()
                .saw(key);
        }
        key
    });
    let task = Task {
        table: &table,
        route,
        way,
        service,
        ask: &ask,
        held: &held,
        until,
        key,
        pins,
    };
    let done = match more {
        Some(body) => carry::streamed(shared, guide, &task, (line, body)).await,
        None => carry::held(shared, guide, &task, line).await,
    };
    let keep = keep && body.done();
    match done {
        Final::Gone => false,
        Final::Own(kind, back_ms) => {
            log::debug!(
                "serve: {} {} ends as {kind:?}.",
                ask.id.as_deref().unwrap_or("-"),
                ask.target
            );
            answer_own(line, kind, back_ms, keep).await && keep
        }
        Final::Unit(answer) => pass_on(shared, line, &ask, *answer, keep, until).await && keep,
    }
}

/// Sends a unit's answer on as it is. Whether the connection is still sound.
async fn pass_on(
    shared: &Shared,
    line: &mut Line,
    ask: &Ask,
    answer: Answer,
    keep: bool,
    until: Instant,
) -> bool {
    let Answer { reply, body, rest } = answer;
    let mut bytes = Vec::with_capacity(256 + reply.lines.len() + body.len());
    bytes.extend(format!("HTTP/1.1 {} {}\r\n", reply.status, reply.reason).as_bytes());
    bytes.extend(&reply.lines);
    let chunked = rest.is_some() && !matches!(reply.framing, Some(Framing::Length(_)));
    match (reply.framing, &rest) {
        _ if matches!(reply.status, 204 | 304) => {}
        (Some(Framing::Length(length)), Some(_)) => {
            bytes.extend(format!("Content-Length: {length}\r\n").as_bytes())
        }
        (_, Some(_)) => bytes.extend(b"Transfer-Encoding: chunked\r\n"),
        (_, None) => bytes.extend(format!("Content-Length: {}\r\n", body.len()).as_bytes()),
    }
    bytes.extend(if keep {
        &b"\r\n"[..]
    } else {
        &b"Connection: close\r\n\r\n"[..]
    });
    push_part(&mut bytes, &body, chunked);
    drop(body);
    let patience = Duration::from_secs(10);
    if !write_paced(shared, line, &bytes, patience).await {
        return false;
    }
    let Some(Rest {
        line: mut unit,
        body: mut left,
        guard,
        ..
    }) = rest
    else {
        return true;
    };
    let mut some = Vec::new();
    while !left.done() {
        some.clear();
        bytes.clear();
        // What breaks off here must not look whole: the connection is closed without its end.
        if !matches!(
            timeout_at(until, left.next(&mut unit, &mut some)).await,
            Ok(Ok(()))
        ) {
            if Safeguard::TruncatedResponse.is_enabled() {
                return false;
            }
            break;
        }
        shared.turn(false, some.len()).await;
        push_part(&mut bytes, &some, chunked);
        if !write_paced(shared, line, &bytes, patience).await {
            return false;
        }
    }
    guard.keep(unit, ask, &reply);
    !chunked || write_paced(shared, line, b"0\r\n\r\n", patience).await
}

/// An answer of the system's own.
async fn answer_own(line: &mut Line, kind: ErrorKind, back_ms: u64, keep: bool) -> bool {
    let (status, body) = (kind.status(), format!("{kind}\n"));
    let mut text = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if kind.promises_not_executed() && back_ms > 0 {
        text += &format!("Retry-After: {:.3}\r\n", back_ms as f64 / 1000.0);
    }
    if !keep {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    text += &body;
    write_within(line, text.as_bytes(), Duration::from_secs(5)).await
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
