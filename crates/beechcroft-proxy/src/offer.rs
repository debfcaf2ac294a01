//! One offer of a request to a unit: a connection, the bytes out, the answer's head and its body.

use crate::shared::{Shared, PIECE};
use beechcroft_retry::{heard, End, Head, Heard};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::guard::{self, Ask, Framing, Read, Reply};
use beechcroft_transport::line::{Body, Line};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Answers up to this size are held until they are whole, so that one that breaks off can be asked for again.
pub const HELD_BYTES: usize = 64 << 10;
/// Answers to other requests that are read over on one connection.
const STRAYS: usize = 3;
/// For a connection to come up: in this region, and further off. A unit that is dark says nothing.
const CONNECT: [Duration; 2] = [Duration::from_millis(80), Duration::from_millis(250)];
/// Of a unit's connections that all relays use together.
const CONNS_PART: f64 = 0.8;

/// A unit's answer: whole, or a beginning with the rest still to come.
pub struct Answer {
    pub reply: Reply,
    pub body: Vec<u8>,
    pub rest: Option<Rest>,
}

/// The rest of an answer that is too large to be held.
pub struct Rest {
    pub line: Line,
    pub body: Body,
    pub guard: Slot,
}

/// A connection that counts at its unit until it is kept or closed.
pub struct Slot {
    shared: Rc<Shared>,
    unit: Rc<str>,
    kept: bool,
}

impl Slot {
    /// The connection may be used again, if nothing but this answer is under way on it. After a HEAD it may not: of an
    /// answer to it that came late, one could not tell whether a body follows.
    pub fn keep(mut self, line: Line, ask: &Ask, reply: &Reply) {
        let ends = reply.close || reply.framing == Some(Framing::Close) || is_head(ask);
        if !ends && (line.clean() || !Safeguard::CleanConnections.is_enabled()) {
            self.kept = true;
            let now = self.shared.now();
            self.shared
                .pool
                .borrow_mut()
                .keep(now, &self.unit, line, reply.keep_alive_s);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.kept {
            self.shared.pool.borrow_mut().closed(&self.unit);
        }
    }
}

/// What is offered.
pub struct Offer<'a> {
    pub ask: &'a Ask,
    pub body: &'a [u8],
    /// The client's own connection, where more of the body is to come from it.
    pub more: Option<(&'a mut Line, &'a mut Body)>,
    pub unit: Rc<str>,
    pub address: SocketAddrV4,
    pub near: bool,
    pub max_conns: u32,
    pub sure: bool,
    pub until: Instant,
}

/// The unit's answer, or how the offer ended; with it, how many requests the unit
/// says it has, and its slots.
pub async fn make(
    shared: &Rc<Shared>,
    offer: &mut Offer<'_>,
    told: &mut Option<(u32, u32)>,
) -> Result<Answer, End> {
    let (mut line, slot) = connect(shared, offer).await?;
    send(&mut line, offer).await?;
    let mut strays = 0;
    let (reply, not_run) = loop {
        let reply = read_head(&mut line, &offer.ask.method, offer.until).await?;
        match heard(offer.ask.id.as_deref().unwrap_or_default(), &head(&reply)) {
            Heard::Interim => {}
            Heard::Stray => {
                // Late: it belongs to nobody here.
                strays += 1;
                if strays > STRAYS || reply.framing == Some(Framing::Close) || is_head(offer.ask) {
                    return Err(End::Unclear);
                }
                let mut body = Body::new(reply.framing);
                let mut over = Vec::new();
                while !body.done() {
                    over.clear();
                    part(&mut body, &mut line, &mut over, offer.until).await?;
                }
            }
            Heard::Unclear => return Err(End::Unclear),
            Heard::NotRun(end) => break (reply, Some(end)),
            Heard::Answer => break (reply, None),
        }
    };
    *told = reply
        .load
        .map(|(running, waiting, slots)| (running + waiting, slots));
    let mut body = Body::new(reply.framing);
    let mut held = Vec::new();
    let large =
        !matches!(reply.framing, Some(Framing::Length(length)) if length <= 2 * PIECE as u64);
    // Over a thin link, holding a large answer would take as long again as sending it.
    let most = if large && shared.is_thin() {
        2 * PIECE
    } else {
        HELD_BYTES
    };
    while !body.done() && held.len() < most {
        let before = held.len();
        part(&mut body, &mut line, &mut held, offer.until).await?;
        if large {
            shared.turn(false, held.len() - before).await;
        }
    }
    let rest = if body.done() {
        slot.keep(line, offer.ask, &reply);
        None
    } else {
        Some(Rest {
            line,
            body,
            guard: slot,
        })
    };
    match not_run {
        Some(end) => Err(end),
        None => Ok(Answer {
            reply,
            body: held,
            rest,
        }),
    }
}

fn head(reply: &Reply) -> Head<'_> {
    let Reply {
        status,
        not_executed,
        sealed,
        encoded,
        ..
    } = *reply;
    Head {
        id: reply.id.as_deref(),
        status,
        not_executed,
        sealed,
        encoded,
    }
}

fn is_head(ask: &Ask) -> bool {
    ask.method == "HEAD" && Safeguard::NoReuseAfterHead.is_enabled()
}

async fn connect(shared: &Rc<Shared>, offer: &Offer<'_>) -> Result<(Line, Slot), End> {
    let now = shared.now();
    let slot = || Slot {
        shared: shared.clone(),
        unit: offer.unit.clone(),
        kept: false,
    };
    if let Some(line) = shared.pool.borrow_mut().take(now, &offer.unit, offer.sure) {
        return Ok((line, slot()));
    }
    let most = (f64::from(offer.max_conns) * CONNS_PART / shared.edges.get() as f64) as usize;
    if !shared.pool.borrow_mut().open(&offer.unit, most) {
        return Err(End::NotSent);
    }
    let slot = slot();
    let until = (Instant::now() + CONNECT[usize::from(!offer.near)]).min(offer.until);
    match timeout_at(until, shared.ground.connect(offer.address)).await {
        Ok(Ok(stream)) => Ok((Line::new(stream), slot)),
        _ => Err(End::NotSent),
    }
}

async fn send(line: &mut Line, offer: &mut Offer<'_>) -> Result<(), End> {
    let ask = offer.ask;
    let left = offer
        .until
        .saturating_duration_since(Instant::now())
        .as_millis();
    let mut bytes = Vec::with_capacity(256 + ask.lines.len() + offer.body.len());
    bytes.extend(ask.method.as_bytes());
    bytes.push(b' ');
    bytes.extend(ask.target.as_bytes());
    bytes.extend(b" HTTP/1.1\r\n");
    bytes.extend(&ask.lines);
    bytes.extend(
        format!(
            "Beechcroft-Time-Budget: {left}\r\nBeechcroft-Target-Unit: {}\r\n",
            offer.unit
        )
        .as_bytes(),
    );
    let whole = offer.more.is_none();
    match ask.framing {
        None => {}
        Some(_) if whole => {
            bytes.extend(format!("Content-Length: {}\r\n", offer.body.len()).as_bytes())
        }
        Some(Framing::Length(length)) => {
            bytes.extend(format!("Content-Length: {length}\r\n").as_bytes())
        }
        Some(_) => bytes.extend(b"Transfer-Encoding: chunked\r\n"),
    }
    bytes.extend(b"\r\n");
    let chunked = !whole && ask.framing == Some(Framing::Chunked);
    push_part(&mut bytes, offer.body, chunked);
    // If not even the first bytes leave, nothing has been sent.
    let first = loop {
        if timeout_at(offer.until, line.stream.writable())
            .await
            .is_err()
        {
            return Err(End::NotSent);
        }
        match line.stream.try_write(&bytes) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err(End::NotSent),
            Ok(sent) => break sent,
        }
    };
    let until = offer.until;
    let rest = async {
        let part_left = if Safeguard::PartialSend.is_enabled() {
            End::Unclear
        } else {
            End::NotSent
        };
        line.write(&bytes[first..]).await.map_err(|_| part_left)?;
        let Some((client, body)) = &mut offer.more else {
            return Ok(());
        };
        let mut some = Vec::new();
        while !body.done() {
            some.clear();
            body.next(client, &mut some)
                .await
                .map_err(|_| End::Unclear)?;
            bytes.clear();
            push_part(&mut bytes, &some, chunked);
            line.write(&bytes).await.map_err(|_| End::Unclear)?;
        }
        if chunked {
            line.write(b"0\r\n\r\n").await.map_err(|_| End::Unclear)?;
        }
        Ok(())
    };
    timeout_at(until, rest).await.map_err(|_| End::Slow)?
}

/// Bytes of a body as they go out.
pub fn push_part(out: &mut Vec<u8>, part: &[u8], chunked: bool) {
    if part.is_empty() {
        return;
    }
    if chunked {
        out.extend(format!("{:x}\r\n", part.len()).as_bytes());
    }
    out.extend(part);
    if chunked {
        out.extend(b"\r\n");
    }
}

async fn read_head(line: &mut Line, method: &str, until: Instant) -> Result<Reply, End> {
    loop {
        if !line.unread().is_empty() {
            match guard::reply(line.unread(), method) {
                Read::Whole(reply, length) => {
                    line.consume(length);
                    return Ok(reply);
                }
                Read::More => {}
                Read::Bad(_) => return Err(End::Unclear),
            }
        }
        match timeout_at(until, line.fill()).await {
            Err(_) => return Err(End::Slow),
            Ok(Ok(0) | Err(_)) => return Err(End::Unclear),
            Ok(Ok(_)) => {}
        }
    }
}

async fn part(
    body: &mut Body,
    line: &mut Line,
    out: &mut Vec<u8>,
    until: Instant,
) -> Result<(), End> {
    match timeout_at(until, body.next(line, out)).await {
        Err(_) => Err(End::Slow),
        Ok(Err(_)) => Err(End::Unclear),
        Ok(Ok(())) => Ok(()),
    }
}

/// Writes a large answer in pieces, each in its turn.
pub async fn write_paced(shared: &Shared, line: &mut Line, bytes: &[u8], within: Duration) -> bool {
    if !shared.is_thin() || bytes.len() <= 2 * PIECE {
        return write_within(line, bytes, within).await;
    }
    for piece in bytes.chunks(PIECE) {
        shared.turn(true, piece.len()).await;
        if !write_within(line, piece, within).await {
            return false;
        }
    }
    true
}

/// Waits no longer than that for a client to take bytes.
pub async fn write_within(line: &mut Line, bytes: &[u8], within: Duration) -> bool {
    matches!(timeout(within, line.write(bytes)).await, Ok(Ok(())))
}
