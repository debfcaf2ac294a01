//! A client's connection: request after request, each carried to a unit and answered. Read from top to bottom
//! as a request passes: its head, its route, its body, its offers, its answer.

use crate::guide::{Command, Queue};
use crate::offer::{self, push_part, write_within, Answer, Offer, Rest};
use crate::shared::{Phase, Shared};
use beechcroft_crossing::{Crossing, End, Next};
use beechcroft_hutbook::Stage;
use beechcroft_junction::{Table, Way};
use beechcroft_kinds::Kind;
use beechcroft_pace::{Side, Want, Why};
use beechcroft_pass::guard::{self, Ask, Framing, Read};
use beechcroft_pass::line::{Body, Line};
use beechcroft_ropes::conduct::SHARES;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Bodies up to this size are held, so that they can be offered again.
const HELD_BODY: usize = 64 << 10;
/// Of a repeatable request's aim that one unit may take before another is asked.
const PATIENCE: f64 = 0.8;
/// Where the client does not say how long it waits.
const BUDGET_MS: u64 = 30_000;
/// Part of its aim after which a client that was refused should come back.
const BACK_PART: f64 = 0.2;

/// What goes back to the client.
enum Final {
    Unit(Box<Answer>),
    Own(Kind, u64),
    /// The client has gone.
    Gone,
}

/// Serves one client's connection until it ends.
pub async fn client(shared: Rc<Shared>, guide: Queue, stream: tokio::net::TcpStream) {
    let mut line = Line::new(stream);
    while one(&shared, &guide, &mut line).await {
        line.rest();
    }
}

/// One request; whether another may follow.
async fn one(shared: &Rc<Shared>, guide: &Queue, line: &mut Line) -> bool {
    let limits = shared.table.borrow().as_ref().map(|table| table.limits.clone()).unwrap_or_default();
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
                    answer_own(line, Kind::TooSlow, 0, false).await;
                    return false;
                }
            },
        }
    };
    shared.under_way.set(shared.under_way.get() + 1);
    let again = request(shared, guide, line, ask, began, limits.max_body_bytes).await;
    shared.under_way.set(shared.under_way.get() - 1);
    again
}

async fn request(
    shared: &Rc<Shared>, guide: &Queue, line: &mut Line, ask: Ask, began: Instant, max_body: u64,
) -> bool {
    let keep = ask.keep && shared.phase.get() == Phase::Ready;
    let has_body = !matches!(ask.framing, None | Some(Framing::Length(0)));
    // A connection whose body was not read cannot carry another request.
    let refuse_keep = keep && !has_body;
    let table = shared.table.borrow().clone();
    let Some(table) = table.filter(|_| !matches!(shared.phase.get(), Phase::Coming | Phase::Closing)) else {
        let kind = if shared.phase.get() == Phase::Coming { Kind::NotYet } else { Kind::Leaving };
        answer_own(line, kind, 300, false).await;
        return false;
    };
    let Some((route, way)) = table.find(&ask.host, &ask.target) else {
        answer_own(line, Kind::NoRoute, 0, refuse_keep).await;
        return refuse_keep;
    };
    if matches!(ask.framing, Some(Framing::Length(length)) if length > max_body) {
        answer_own(line, Kind::BodyTooLarge, 0, false).await;
        return false;
    }
    let budget = ask.budget_ms.unwrap_or(BUDGET_MS).min(way.timeout_ms);
    let until = began + Duration::from_millis(budget);
    if ask.expects
        && has_body
        && line.unread().is_empty()
        && !write_within(line, b"HTTP/1.1 100 Continue\r\n\r\n", Duration::from_secs(1)).await
    {
        return false;
    }
    let mut body = Body::new(ask.framing);
    let mut held = Vec::new();
    while !body.done() && held.len() < HELD_BODY {
        match timeout_at(until, body.next(line, &mut held)).await {
            Ok(Ok(())) => {}
            Ok(Err(beechcroft_pass::line::Broken::Early)) => return false,
            Ok(Err(beechcroft_pass::line::Broken::Spoilt)) => {
                answer_own(line, Kind::Malformed, 0, false).await;
                return false;
            }
            Err(_) => {
                answer_own(line, Kind::TooSlow, 0, false).await;
                return false;
            }
        }
    }
    let more = (!body.done()).then_some(&mut body);
    let service = {
        let draw = shared.yard.borrow_mut().draw();
        way.service(draw)
    };
    let name = &table.services[service].name;
    let done = carry(shared, guide, line, &table, (route, way, service), &ask, &held, more, until).await;
    let keep = keep && body.done();
    match done {
        Final::Gone => false,
        Final::Own(kind, back_ms) => {
            log::debug!(
                "serve: {} {} at {name} ends as {kind:?}.",
                ask.id.as_deref().unwrap_or("-"),
                ask.target
            );
            answer_own(line, kind, back_ms, keep).await && keep
        }
        Final::Unit(answer) => pass_on(line, *answer, keep, until).await && keep,
    }
}

/// Offers a request to units until it has an answer.
async fn carry(
    shared: &Rc<Shared>, guide: &Queue, line: &mut Line, table: &Table,
    (route, way, service): (usize, &Way, usize), ask: &Ask, held: &[u8], more: Option<&mut Body>,
    until: Instant,
) -> Final {
    let service = &table.services[service];
    let name = service.name.as_str();
    shared.first_try(name);
    // A body that is streamed cannot be sent twice.
    let repeatable = way.repeatable() && more.is_none();
    let mut crossing = Crossing::new(repeatable, if more.is_some() { 1 } else { way.tries });
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut more = more;
    let mut side = side_of(shared, name);
    let back_ms = (way.target_ms as f64 * BACK_PART) as u64;
    loop {
        let chosen = {
            let want = Want { side, homes: &way.homes, priority: way.priority, tried: &tried };
            let mut yard = shared.yard.borrow_mut();
            let chosen = yard.choose(shared.now(), name, &want);
            match chosen {
                Ok((unit, address)) => {
                    yard.opened(name, &unit);
                    Ok((unit, address))
                }
                Err(why) => Err(why),
            }
        };
        let (unit, address) = match chosen {
            Ok(chosen) => chosen,
            Err(_) if side == Side::Trial && !all_to_trial(shared, name) => {
                side = Side::Base;
                if let Some(share) = shared.shares.borrow_mut().get_mut(name) {
                    share.give_back();
                }
                continue;
            }
            Err(why) => {
                let kind = crossing.no_unit(if why == Why::Full { Kind::Full } else { Kind::NoUnit });
                return Final::Own(kind, back_ms);
            }
        };
        let now = Instant::now();
        let patience =
            Duration::from_millis((way.target_ms as f64 * PATIENCE) as u64).max(Duration::from_millis(100));
        let offer_until =
            if crossing.has_more() && way.target_ms > 0 { until.min(now + patience) } else { until };
        crossing.offered();
        let mut told = None;
        let mut offer = Offer {
            ask,
            body: held,
            more: None,
            unit: unit.clone(),
            address,
            max_conns: service.max_conns,
            sure: !repeatable,
            until: offer_until,
        };
        let open = Open { shared, service: name, unit: &unit, end: (None, None) };
        let done = match more.as_deref_mut() {
            Some(body) => {
                offer.more = Some((line, body));
                Some(offer::make(shared, &mut offer, &mut told).await)
            }
            None => tokio::select! {
                biased;
                done = offer::make(shared, &mut offer, &mut told) => Some(done),
                () = gone(line) => None,
            },
        };
        let spent = now.elapsed();
        let (end, answer) = match done {
            None => return Final::Gone,
            Some(Ok(answer)) if answer.reply.status >= 500 && answer.rest.is_none() => {
                (Some(End::Failed), Some(answer))
            }
            Some(Ok(answer)) => (None, Some(answer)),
            Some(Err(end)) => (Some(end), None),
        };
        let ill = match end {
            None => Some(false),
            Some(End::Refused | End::Elsewhere | End::Failed) => None,
            Some(_) => Some(true),
        };
        open.ends(told, ill);
        let failed = matches!(end, Some(End::Unclear | End::Slow | End::Failed));
        if failed || end.is_none() {
            let mut judges = shared.judges.borrow_mut();
            let on_trial = (side == Side::Trial).then(|| beechcroft_ropes::short(&unit));
            judges.entry(name.to_owned()).or_default().outcome(on_trial, route as u32, failed, spent);
        }
        let Some(end) = end else { return Final::Unit(Box::new(answer.expect("no end, so an answer"))) };
        match end {
            End::Refused => shared.yard.borrow_mut().is_full(shared.now(), name, &unit),
            End::Elsewhere => drop(guide.send(Command::Ended(unit.clone()))),
            _ => {}
        }
        let time = Instant::now() + Duration::from_millis(5) < until;
        match crossing.ended(end, time, || shared.further_try(name)) {
            Next::Again => {}
            Next::PassOn => {
                return Final::Unit(Box::new(answer.expect("a failure that is passed on is an answer")))
            }
            Next::Answer(kind) => return Final::Own(kind, back_ms),
        }
        tried.push(unit);
        if side == Side::Trial && !all_to_trial(shared, name) {
            side = Side::Base; // further tries are no trial
        }
    }
}

/// A request that is open at a unit: the yard is told of its end, even if it is dropped.
struct Open<'a> {
    shared: &'a Rc<Shared>,
    service: &'a str,
    unit: &'a Rc<str>,
    end: (Option<u32>, Option<bool>),
}

impl Open<'_> {
    fn ends(mut self, told: Option<u32>, ill: Option<bool>) {
        self.end = (told, ill);
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let (told, ill) = self.end;
        self.shared.yard.borrow_mut().closed(self.shared.now(), self.service, self.unit, told, ill);
    }
}

/// Which version a request goes to.
fn side_of(shared: &Shared, service: &str) -> Side {
    let orders = shared.orders.borrow();
    match orders.rollouts.get(service).map(|rollout| rollout.stage) {
        Some(Stage::Active(stage)) => {
            let share = SHARES[usize::from(stage).min(SHARES.len() - 1)];
            let mut shares = shared.shares.borrow_mut();
            if shares.entry(service.to_owned()).or_default().take(share) {
                Side::Trial
            } else {
                Side::Base
            }
        }
        _ => Side::Base,
    }
}

fn all_to_trial(shared: &Shared, service: &str) -> bool {
    let orders = shared.orders.borrow();
    let stage = orders.rollouts.get(service).map(|rollout| rollout.stage);
    matches!(stage, Some(Stage::Active(stage)) if SHARES[usize::from(stage).min(SHARES.len() - 1)] >= 1.0)
}

/// Returns once the client has closed its side; bytes of a next request are kept.
async fn gone(line: &mut Line) {
    loop {
        match line.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) if line.unread().len() > 64 << 10 => std::future::pending().await,
            Ok(_) => {}
        }
    }
}

/// Sends a unit's answer on as it is. Whether the connection is still sound.
async fn pass_on(line: &mut Line, answer: Answer, keep: bool, until: Instant) -> bool {
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
    bytes.extend(if keep { &b"\r\n"[..] } else { &b"Connection: close\r\n\r\n"[..] });
    push_part(&mut bytes, &body, chunked);
    drop(body);
    let patience = Duration::from_secs(10);
    if !write_within(line, &bytes, patience).await {
        return false;
    }
    let Some(Rest { line: mut unit, body: mut left, guard, .. }) = rest else { return true };
    let mut some = Vec::new();
    while !left.done() {
        some.clear();
        bytes.clear();
        // What breaks off here must not look whole: the connection is closed without its end.
        if !matches!(timeout_at(until, left.next(&mut unit, &mut some)).await, Ok(Ok(()))) {
            return false;
        }
        push_part(&mut bytes, &some, chunked);
        if !write_within(line, &bytes, patience).await {
            return false;
        }
    }
    guard.keep(unit, &reply);
    !chunked || write_within(line, b"0\r\n\r\n", patience).await
}

/// An answer of the system's own.
async fn answer_own(line: &mut Line, kind: Kind, back_ms: u64, keep: bool) -> bool {
    let (status, body) = (kind.status(), format!("{kind}\n"));
    let mut text = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if kind.promises() && back_ms > 0 {
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
