//! One attempt to forward a request to one unit: obtains a connection, sends the request, and reads the head and the body
//! of the response. Called by [`crate::forward`], which decides on retries and hedging.

use crate::shared::{Direction, Shared, PACED_CHUNK_BYTES};
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

/// Maximum size of a response body that is buffered completely before it is forwarded, in bytes. A buffered response
/// that breaks off can still be retried.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum number of responses to other requests that one attempt skips on its connection.
const MAX_FOREIGN_RESPONSES: usize = 3;
/// Connect timeout within the proxy's region. It must be short, because a unit without power does not even refuse the
/// connection.
const SAME_REGION_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Connect timeout to another region.
const CROSS_REGION_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Share of a unit's `maxConns` that all proxies together may use.
const CONNECTION_LIMIT_SHARE: f64 = 0.8;
/// Terminates a chunked body.
const FINAL_CHUNK: &[u8] = b"0\r\n\r\n";

/// A unit's response, either complete or with a part of its body still to be read.
pub struct UnitResponse {
    /// The validated status line and headers.
    pub head: ResponseHead,
    /// The buffered part of the body.
    pub body: Vec<u8>,
    /// The unread part of a body that is too large to be buffered.
    pub remaining_body: Option<RemainingBody>,
}

/// The unread part of a response body that is too large to be buffered.
pub struct RemainingBody {
    /// The connection to the unit, positioned behind the buffered part.
    pub connection: Connection,
    /// Decodes the framing of the body.
    pub reader: BodyReader,
    /// Returns the connection to the pool once the body is complete.
    pub slot: ConnectionSlot,
}

/// Accounts for one open connection in the unit's connection limit. Dropping it records the connection as closed, unless
/// the connection was returned to the pool.
pub struct ConnectionSlot {
    shared: Rc<Shared>,
    unit: Rc<str>,
    is_pooled: bool,
}

impl ConnectionSlot {
    /// Returns the connection to the pool if it stays open and nothing is unread behind this response. After a HEAD request
    /// the connection is closed: it is unknown whether a late response on it is followed by a body.
    pub fn release(
        mut self,
        connection: Connection,
        request: &RequestHead,
        response: &ResponseHead,
    ) {
        let is_closing = response.closes
            || response.framing == Some(Framing::UntilClose)
            || forbids_reuse(request);
        let is_clean = connection.is_reusable() || !Safeguard::CleanConnections.is_enabled();
        if !is_closing && is_clean {
            self.is_pooled = true;
            let now = self.shared.now();
            let mut pool = self.shared.pool.borrow_mut();
            pool.put(now, &self.unit, connection, response.keep_alive_s);
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if !self.is_pooled {
            self.shared.pool.borrow_mut().on_closed(&self.unit);
        }
    }
}

/// A request to be sent to one unit.
pub struct Attempt<'a> {
    /// The validated head of the client's request.
    pub request: &'a RequestHead,
    /// The buffered part of the request body.
    pub body: &'a [u8],
    /// The client's connection and the reader of its body, if the body is streamed instead of buffered completely.
    pub streamed_body: Option<(&'a mut Connection, &'a mut BodyReader)>,
    /// Id of the unit, sent in `Beechcroft-Target-Unit`.
    pub unit: Rc<str>,
    /// Address to connect to.
    pub address: SocketAddrV4,
    /// Whether the unit is in this proxy's region.
    pub is_same_region: bool,
    /// Limit of connections to the unit over all proxies.
    pub max_connections: u32,
    /// Whether the request is not idempotent and must not be executed twice.
    pub is_exclusive: bool,
    /// Time by which the response must be complete.
    pub deadline: Instant,
}

impl Attempt<'_> {
    /// Makes the attempt and returns the unit's response. `load` is set to the load that the unit reports, also when the
    /// attempt fails.
    ///
    /// # Errors
    ///
    /// The outcome of an attempt without a response to the request.
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
        let remaining_body = if body.is_done() {
            slot.release(connection, self.request, &head);
            None
        } else {
            Some(RemainingBody {
                connection,
                reader: body,
                slot,
            })
        };
        match not_executed {
            Some(outcome) => Err(outcome),
            None => Ok(UnitResponse {
                head,
                body: buffered,
                remaining_body,
            }),
        }
    }

    /// Takes a connection from the pool, or opens one within the connection limit.
    async fn connect(
        &self,
        shared: &Rc<Shared>,
    ) -> Result<(Connection, ConnectionSlot), AttemptOutcome> {
        let now = shared.now();
        let slot = || ConnectionSlot {
            shared: shared.clone(),
            unit: self.unit.clone(),
            is_pooled: false,
        };
        let pooled = shared
            .pool
            .borrow_mut()
            .checkout(now, &self.unit, self.is_exclusive);
        if let Some(connection) = pooled {
            return Ok((connection, slot()));
        }
        let all_proxies = f64::from(self.max_connections) * CONNECTION_LIMIT_SHARE;
        let limit = (all_proxies / shared.proxies.get() as f64) as usize;
        if !shared.pool.borrow_mut().try_open(&self.unit, limit) {
            return Err(AttemptOutcome::NotSent);
        }
        let slot = slot();
        let connect_timeout = if self.is_same_region {
            SAME_REGION_CONNECT_TIMEOUT
        } else {
            CROSS_REGION_CONNECT_TIMEOUT
        };
        let connect_deadline = (Instant::now() + connect_timeout).min(self.deadline);
        match timeout_at(connect_deadline, shared.runtime.connect(self.address)).await {
            Ok(Ok(stream)) => Ok((Connection::new(stream), slot)),
            _ => Err(AttemptOutcome::NotSent),
        }
    }

    /// Encodes the head of the request for the unit.
    fn outgoing_head(&self) -> Vec<u8> {
        let RequestHead {
            method,
            target,
            forwarded_headers,
            framing,
            ..
        } = self.request;
        let remaining_ms = self
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let mut bytes = Vec::with_capacity(256 + forwarded_headers.len() + self.body.len());
        bytes.extend(method.as_bytes());
        bytes.push(b' ');
        bytes.extend(target.as_bytes());
        bytes.extend(b" HTTP/1.1\r\n");
        bytes.extend(forwarded_headers);
        bytes.extend(format!("Beechcroft-Time-Budget: {remaining_ms}\r\n").as_bytes());
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

    /// Sends the head and the body of the request.
    async fn send(&mut self, connection: &mut Connection) -> Result<(), AttemptOutcome> {
        let mut bytes = self.outgoing_head();
        let is_streamed = self.streamed_body.is_some();
        let is_chunked = is_streamed && self.request.framing == Some(Framing::Chunked);
        push_body_part(&mut bytes, self.body, is_chunked);
        let sent = self.send_first_bytes(connection, &bytes).await?;
        let deadline = self.deadline;
        let send_rest = async {
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
        timeout_at(deadline, send_rest)
            .await
            .map_err(|_| AttemptOutcome::TimedOut)?
    }

    /// Writes as many bytes as the socket accepts at once and returns their number. As long as this fails, no byte has left
    /// the proxy and the request is safe to retry.
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

    /// Forwards the body from the client to the unit as it arrives.
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
                .write(FINAL_CHUNK)
                .await
                .map_err(|_| AttemptOutcome::Unclear)?;
        }
        Ok(())
    }

    /// Reads response heads until the final one for this request. Skips interim responses and a few responses to other
    /// requests. If the unit states that it did not execute the request, the outcome is returned along with the head.
    async fn read_final_head(
        &self,
        connection: &mut Connection,
    ) -> Result<(ResponseHead, Option<AttemptOutcome>), AttemptOutcome> {
        let attempt_id = self.request.attempt_id.as_deref().unwrap_or_default();
        let mut foreign_responses = 0;
        loop {
            let head = self.read_head(connection).await?;
            match classify(attempt_id, &attempt_response(&head)) {
                ResponseClass::Interim => {}
                ResponseClass::Foreign => {
                    foreign_responses += 1;
                    let is_delimited =
                        head.framing != Some(Framing::UntilClose) && !forbids_reuse(self.request);
                    if foreign_responses > MAX_FOREIGN_RESPONSES || !is_delimited {
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

    /// Buffers the response body up to a limit that depends on the speed of the link.
    async fn buffer_body(
        &self,
        shared: &Shared,
        connection: &mut Connection,
        body: &mut BodyReader,
        framing: Option<Framing>,
    ) -> Result<Vec<u8>, AttemptOutcome> {
        let is_small = matches!(
            framing,
            Some(Framing::Length(length)) if length <= 2 * PACED_CHUNK_BYTES as u64
        );
        // On a slow link, reading a large response completely before forwarding it would double its latency.
        let is_paced = !is_small && shared.has_slow_link();
        let limit = if is_paced {
            2 * PACED_CHUNK_BYTES
        } else {
            MAX_BUFFERED_RESPONSE_BYTES
        };
        let mut buffered = Vec::new();
        while !body.is_done() && buffered.len() < limit {
            let before = buffered.len();
            self.read_body_part(connection, body, &mut buffered).await?;
            if !is_small {
                shared
                    .pace(Direction::FromUnits, buffered.len() - before)
                    .await;
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

/// Whether the connection must not be reused after this request because its method is HEAD.
fn forbids_reuse(request: &RequestHead) -> bool {
    request.method == "HEAD" && Safeguard::NoReuseAfterHead.is_enabled()
}

/// Appends a part of a body to the bytes to send, encoded as a chunk if `is_chunked`. An empty part appends nothing,
/// because an empty chunk would end the body.
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

/// Writes bytes to a client, in paced chunks if they are many and the link is slow. `write_timeout` applies to each write.
/// Returns whether every write succeeded in time.
pub async fn write_paced(
    shared: &Shared,
    connection: &mut Connection,
    bytes: &[u8],
    write_timeout: Duration,
) -> bool {
    if !shared.has_slow_link() || bytes.len() <= 2 * PACED_CHUNK_BYTES {
        return write_with_timeout(connection, bytes, write_timeout).await;
    }
    for chunk in bytes.chunks(PACED_CHUNK_BYTES) {
        shared.pace(Direction::ToClients, chunk.len()).await;
        if !write_with_timeout(connection, chunk, write_timeout).await {
            return false;
        }
    }
    true
}

/// Writes bytes to a client. Returns whether the write succeeded in time.
pub async fn write_with_timeout(
    connection: &mut Connection,
    bytes: &[u8],
    write_timeout: Duration,
) -> bool {
    matches!(
        timeout(write_timeout, connection.write(bytes)).await,
        Ok(Ok(()))
    )
}
