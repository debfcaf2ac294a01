//! One attempt of a request at a unit: a connection, the request out, the response's head and its body.

use crate::shared::{Direction, Shared, PIECE_BYTES};
use beechcroft_retry::{classify, AttemptOutcome, AttemptResponse, ResponseClass};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::{
    parse_response, Framing, Parsed, RequestHead, ResponseHead, UnitLoad,
};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Responses up to this size are buffered until they are complete, so that one that breaks off can be retried. In bytes.
pub const MAX_BUFFERED_RESPONSE: usize = 64 << 10;
/// Responses to other requests that are skipped on one connection.
const MAX_FOREIGN_RESPONSES: usize = 3;
/// For a connection in this region to be established. A unit without power says nothing.
const NEAR_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// For a connection to another region to be established.
const FAR_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The share of a unit's connections that all proxies use together.
const CONNECTIONS_SHARE: f64 = 0.8;
/// The last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A unit's response: complete, or its beginning with the rest still to come.
pub struct UnitResponse {
    /// The head.
    pub head: ResponseHead,
    /// The body, as far as it is buffered.
    pub body: Vec<u8>,
    /// The rest of a body that is too large to be buffered.
    pub rest: Option<ResponseRest>,
}

/// The rest of a response that is too large to be buffered.
pub struct ResponseRest {
    /// The connection to the unit.
    pub connection: Connection,
    /// The reader of the body.
    pub body: BodyReader,
    /// The connection's slot.
    pub slot: ConnectionSlot,
}

/// A connection that counts at its unit until it is kept or closed.
pub struct ConnectionSlot {
    shared: Rc<Shared>,
    unit: Rc<str>,
    is_kept: bool,
}

impl ConnectionSlot {
    /// Keeps the connection if nothing but this response is under way on it. After a HEAD request it is not kept: whether a
    /// body follows a late response to one cannot be told.
    pub fn keep(mut self, connection: Connection, request: &RequestHead, response: &ResponseHead) {
        let ends = response.closes
            || response.framing == Some(Framing::UntilClose)
            || forbids_reuse(request);
        let is_clean = connection.is_reusable() || !Safeguard::CleanConnections.is_enabled();
        if !ends && is_clean {
            self.is_kept = true;
            let now = self.shared.now();
            let mut pool = self.shared.pool.borrow_mut();
            pool.keep(now, &self.unit, connection, response.keep_alive_s);
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if !self.is_kept {
            self.shared.pool.borrow_mut().on_closed(&self.unit);
        }
    }
}

/// What is sent to a unit.
pub struct Attempt<'a> {
    /// The head of the client's request.
    pub request: &'a RequestHead,
    /// The body, as far as it is buffered.
    pub body: &'a [u8],
    /// The client's own connection, where more of the body is to come from it.
    pub streamed_body: Option<(&'a mut Connection, &'a mut BodyReader)>,
    /// The unit's id.
    pub unit: Rc<str>,
    /// The unit's address.
    pub address: SocketAddrV4,
    /// Whether the unit is in this proxy's region.
    pub is_near: bool,
    /// Connections to the unit, over all proxies.
    pub max_connections: u32,
    /// Whether the request must not be executed twice.
    pub is_exclusive: bool,
    /// By then the response must be complete.
    pub deadline: Instant,
}

impl Attempt<'_> {
    /// Makes the attempt: the unit's response, or how the attempt ended. `load` gets what the unit reports of its load.
    pub async fn make(
        &mut self,
        shared: &Rc<Shared>,
        load: &mut Option<UnitLoad>,
    ) -> Result<UnitResponse, AttemptOutcome> {
        let (mut connection, slot) = self.connect(shared).await?;
        self.send(&mut connection).await?;
        let (head, not_executed) = self.read_final_head(&mut connection).await?;
        *load = head.load;
        let mut body = BodyReader::new(head.framing);
        let buffered = self
            .buffer_body(shared, &mut connection, &mut body, head.framing)
            .await?;
        let rest = if body.is_done() {
            slot.keep(connection, self.request, &head);
            None
        } else {
            Some(ResponseRest {
                connection,
                body,
                slot,
            })
        };
        match not_executed {
            Some(outcome) => Err(outcome),
            None => Ok(UnitResponse {
                head,
                body: buffered,
                rest,
            }),
        }
    }

    /// A kept connection, or a new one.
    async fn connect(
        &self,
        shared: &Rc<Shared>,
    ) -> Result<(Connection, ConnectionSlot), AttemptOutcome> {
        let now = shared.now();
        let slot = || ConnectionSlot {
            shared: shared.clone(),
            unit: self.unit.clone(),
            is_kept: false,
        };
        let kept = shared
            .pool
            .borrow_mut()
            .take(now, &self.unit, self.is_exclusive);
        if let Some(connection) = kept {
            return Ok((connection, slot()));
        }
        let all = f64::from(self.max_connections) * CONNECTIONS_SHARE;
        let limit = (all / shared.proxies.get() as f64) as usize;
        if !shared.pool.borrow_mut().try_open(&self.unit, limit) {
            return Err(AttemptOutcome::NotSent);
        }
        let slot = slot();
        let within = if self.is_near {
            NEAR_CONNECT_TIMEOUT
        } else {
            FAR_CONNECT_TIMEOUT
        };
        let until = (Instant::now() + within).min(self.deadline);
        match timeout_at(until, shared.runtime.connect(self.address)).await {
            Ok(Ok(stream)) => Ok((Connection::new(stream), slot)),
            _ => Err(AttemptOutcome::NotSent),
        }
    }

    /// The head of the request as it goes to the unit.
    fn outgoing_head(&self) -> Vec<u8> {
        let RequestHead {
            method,
            target,
            forwarded_headers,
            framing,
            ..
        } = self.request;
        let left_ms = self
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let mut bytes = Vec::with_capacity(256 + forwarded_headers.len() + self.body.len());
        bytes.extend(method.as_bytes());
        bytes.push(b' ');
        bytes.extend(target.as_bytes());
        bytes.extend(b" HTTP/1.1\r\n");
        bytes.extend(forwarded_headers);
        bytes.extend(format!("Beechcroft-Time-Budget: {left_ms}\r\n").as_bytes());
        bytes.extend(format!("Beechcroft-Target-Unit: {}\r\n", self.unit).as_bytes());
        let is_buffered = self.streamed_body.is_none();
        let length = match framing {
            Some(_) if is_buffered => Some(self.body.len() as u64),
            Some(Framing::Length(length)) => Some(*length),
            _ => None,
        };
        if let Some(length) = length {
            bytes.extend(format!("Content-Length: {length}\r\n").as_bytes());
        } else if framing.is_some() {
            bytes.extend(b"Transfer-Encoding: chunked\r\n");
        }
        bytes.extend(b"\r\n");
        bytes
    }

    /// Sends the request.
    async fn send(&mut self, connection: &mut Connection) -> Result<(), AttemptOutcome> {
        let mut bytes = self.outgoing_head();
        let is_streamed = self.streamed_body.is_some();
        let is_chunked = is_streamed && self.request.framing == Some(Framing::Chunked);
        push_body_part(&mut bytes, self.body, is_chunked);
        let sent = self.send_first_bytes(connection, &bytes).await?;
        let deadline = self.deadline;
        let rest = async {
            let outcome = match Safeguard::PartialSend.is_enabled() {
                true => AttemptOutcome::Unclear,
                false => AttemptOutcome::NotSent,
            };
            connection
                .write(&bytes[sent..])
                .await
                .map_err(|_| outcome)?;
            self.stream_body(connection, is_chunked).await
        };
        timeout_at(deadline, rest)
            .await
            .map_err(|_| AttemptOutcome::TimedOut)?
    }

    /// Sends as much as goes out at once. If not even the first bytes leave, nothing has been sent.
    async fn send_first_bytes(
        &self,
        connection: &Connection,
        bytes: &[u8],
    ) -> Result<usize, AttemptOutcome> {
        loop {
            if timeout_at(self.deadline, connection.stream.writable())
                .await
                .is_err()
            {
                return Err(AttemptOutcome::NotSent);
            }
            match connection.stream.try_write(bytes) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(AttemptOutcome::NotSent),
                Ok(sent) => return Ok(sent),
            }
        }
    }

    /// Passes on what comes of the body from the client.
    async fn stream_body(
        &mut self,
        connection: &mut Connection,
        is_chunked: bool,
    ) -> Result<(), AttemptOutcome> {
        let Some((client, body)) = &mut self.streamed_body else {
            return Ok(());
        };
        let (mut part, mut bytes) = (Vec::new(), Vec::new());
        while !body.is_done() {
            part.clear();
            bytes.clear();
            body.read(client, &mut part)
                .await
                .map_err(|_| AttemptOutcome::Unclear)?;
            push_body_part(&mut bytes, &part, is_chunked);
            connection
                .write(&bytes)
                .await
                .map_err(|_| AttemptOutcome::Unclear)?;
        }
        if is_chunked {
            connection
                .write(LAST_CHUNK)
                .await
                .map_err(|_| AttemptOutcome::Unclear)?;
        }
        Ok(())
    }

    /// Reads heads until the final one for this request, and skips those for others. With it, the outcome of a request that
    /// was not executed.
    async fn read_final_head(
        &self,
        connection: &mut Connection,
    ) -> Result<(ResponseHead, Option<AttemptOutcome>), AttemptOutcome> {
        let attempt_id = self.request.attempt_id.as_deref().unwrap_or_default();
        let mut foreign = 0;
        loop {
            let head = self.read_head(connection).await?;
            match classify(attempt_id, &attempt_response(&head)) {
                ResponseClass::Interim => {}
                ResponseClass::Foreign => {
                    foreign += 1;
                    let has_end =
                        head.framing != Some(Framing::UntilClose) && !forbids_reuse(self.request);
                    if foreign > MAX_FOREIGN_RESPONSES || !has_end {
                        return Err(AttemptOutcome::Unclear);
                    }
                    self.skip_body(connection, head.framing).await?;
                }
                ResponseClass::Unusable => return Err(AttemptOutcome::Unclear),
                ResponseClass::NotExecuted(outcome) => return Ok((head, Some(outcome))),
                ResponseClass::Final => return Ok((head, None)),
            }
        }
    }

    async fn read_head(&self, connection: &mut Connection) -> Result<ResponseHead, AttemptOutcome> {
        loop {
            if !connection.unread().is_empty() {
                match parse_response(connection.unread(), &self.request.method) {
                    Parsed::Complete(head, length) => {
                        connection.consume(length);
                        return Ok(head);
                    }
                    Parsed::Incomplete => {}
                    Parsed::Invalid(_) => return Err(AttemptOutcome::Unclear),
                }
            }
            match timeout_at(self.deadline, connection.read_more()).await {
                Err(_) => return Err(AttemptOutcome::TimedOut),
                Ok(Ok(0) | Err(_)) => return Err(AttemptOutcome::Unclear),
                Ok(Ok(_)) => {}
            }
        }
    }

    async fn read_body_part(
        &self,
        connection: &mut Connection,
        body: &mut BodyReader,
        out: &mut Vec<u8>,
    ) -> Result<(), AttemptOutcome> {
        match timeout_at(self.deadline, body.read(connection, out)).await {
            Err(_) => Err(AttemptOutcome::TimedOut),
            Ok(Err(_)) => Err(AttemptOutcome::Unclear),
            Ok(Ok(())) => Ok(()),
        }
    }

    async fn skip_body(
        &self,
        connection: &mut Connection,
        framing: Option<Framing>,
    ) -> Result<(), AttemptOutcome> {
        let (mut body, mut skipped) = (BodyReader::new(framing), Vec::new());
        while !body.is_done() {
            skipped.clear();
            self.read_body_part(connection, &mut body, &mut skipped)
                .await?;
        }
        Ok(())
    }

    /// Buffers the body of a response up to a size.
    async fn buffer_body(
        &self,
        shared: &Shared,
        connection: &mut Connection,
        body: &mut BodyReader,
        framing: Option<Framing>,
    ) -> Result<Vec<u8>, AttemptOutcome> {
        let is_small = matches!(
            framing,
            Some(Framing::Length(length)) if length <= 2 * PIECE_BYTES as u64
        );
        // Over a thin link, buffering a large response would take as long again as sending it.
        let is_paced = !is_small && shared.has_thin_link();
        let limit = if is_paced {
            2 * PIECE_BYTES
        } else {
            MAX_BUFFERED_RESPONSE
        };
        let mut buffered = Vec::new();
        while !body.is_done() && buffered.len() < limit {
            let before = buffered.len();
            self.read_body_part(connection, body, &mut buffered).await?;
            if !is_small {
                shared.pace(Direction::In, buffered.len() - before).await;
            }
        }
        Ok(buffered)
    }
}

fn attempt_response(head: &ResponseHead) -> AttemptResponse<'_> {
    AttemptResponse {
        attempt_id: head.attempt_id.as_deref(),
        status: head.status,
        not_executed: head.not_executed,
        is_sealed: head.is_sealed,
        is_encoded: head.is_encoded,
    }
}

/// Whether the connection of a HEAD request is not used again.
fn forbids_reuse(request: &RequestHead) -> bool {
    request.method == "HEAD" && Safeguard::NoReuseAfterHead.is_enabled()
}

/// Appends a part of a body as it goes out.
pub fn push_body_part(out: &mut Vec<u8>, part: &[u8], is_chunked: bool) {
    if part.is_empty() {
        return;
    }
    if is_chunked {
        out.extend(format!("{:x}\r\n", part.len()).as_bytes());
    }
    out.extend(part);
    if is_chunked {
        out.extend(b"\r\n");
    }
}

/// Writes a response to a client, a large one in pieces that are paced. Whether the client took it.
pub async fn write_paced(
    shared: &Shared,
    connection: &mut Connection,
    bytes: &[u8],
    within: Duration,
) -> bool {
    if !shared.has_thin_link() || bytes.len() <= 2 * PIECE_BYTES {
        return write_within(connection, bytes, within).await;
    }
    for piece in bytes.chunks(PIECE_BYTES) {
        shared.pace(Direction::Out, piece.len()).await;
        if !write_within(connection, piece, within).await {
            return false;
        }
    }
    true
}

/// Writes bytes to a client. Whether the client took them in time.
pub async fn write_within(connection: &mut Connection, bytes: &[u8], within: Duration) -> bool {
    matches!(timeout(within, connection.write(bytes)).await, Ok(Ok(())))
}
