//! Connections on which the proxy forwards requests: a socket with its read buffer, and a body reader that checks each
//! body against the framing in its head.

use crate::http_validation::Framing;
use crate::Stream;
use std::io;

/// Buffer space reserved for each further read of a message, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Buffer space reserved for the first read, in bytes: enough for a head or a small response.
const FIRST_READ_BYTES: usize = 4 << 10;
/// The longest chunk-size line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The longest trailer line, in bytes.
const MAX_TRAILER_LINE_BYTES: usize = 8 << 10;
/// The line terminator of HTTP/1.1.
const LINE_END: &[u8] = b"\r\n";

/// A connection to a client or to a unit.
#[derive(Debug)]
pub struct Connection {
    /// The socket, or its simulated counterpart.
    pub stream: Stream,
    buffer: Vec<u8>,
    /// Length of the consumed prefix of the buffer, in bytes.
    consumed: usize,
}

impl Connection {
    /// Wraps a stream and disables Nagle's algorithm on it.
    pub fn new(stream: Stream) -> Connection {
        stream.set_nodelay();
        Connection {
            stream,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// Bytes that have been read but not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks unread bytes as consumed.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed += bytes;
        if self.consumed == self.buffer.len() {
            self.consumed = 0;
            self.buffer.clear();
        }
    }

    /// Frees the read buffer of an idle connection, unless it holds unread bytes.
    pub fn release_buffer(&mut self) {
        if self.unread().is_empty() {
            (self.buffer, self.consumed) = (Vec::new(), 0);
        }
    }

    /// Reads more bytes into the buffer. Returns 0 once the peer has closed the connection.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        if self.buffer.capacity() == self.buffer.len() {
            let bytes = if self.buffer.is_empty() {
                FIRST_READ_BYTES
            } else {
                READ_BYTES
            };
            self.buffer.reserve(bytes);
        }
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Whether the connection may carry another request: nothing is unread, and the peer has not closed it.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let would_block = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.unread().is_empty() && self.stream.try_read(&mut byte).is_err_and(would_block)
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// What the body reader expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// This many more bytes of a body with a stated length.
    Length(u64),
    ChunkSize,
    /// This many more bytes of the current chunk.
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    /// All bytes until the peer closes the connection.
    UntilClose,
    Done,
}

/// Reads one body from a connection and counts its bytes.
#[derive(Debug)]
pub struct BodyReader {
    state: BodyState,
    bytes_read: u64,
}

/// A body does not match the framing in its head, or its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The connection ended before the body was complete.
    Truncated,
    /// The chunked encoding is invalid.
    Malformed,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Truncated => "the connection ended before the body",
            BodyError::Malformed => "the body is malformed",
        })
    }
}

impl std::error::Error for BodyError {}

impl BodyReader {
    /// A reader of a body with this framing; `None` for no body.
    pub fn new(framing: Option<Framing>) -> BodyReader {
        let state = match framing {
            None | Some(Framing::Length(0)) => BodyState::Done,
            Some(Framing::Length(length)) => BodyState::Length(length),
            Some(Framing::Chunked) => BodyState::ChunkSize,
            Some(Framing::UntilClose) => BodyState::UntilClose,
        };
        BodyReader {
            state,
            bytes_read: 0,
        }
    }

    /// Whether the body has been read to its end.
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Bytes of the body that have been read.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Appends the next part of the body to `out`. Reads from the socket only if the buffer holds nothing of the body.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body is cut off or malformed.
    pub async fn read(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        loop {
            let length_before = out.len();
            self.take_unread(connection, out)?;
            if self.is_done() || out.len() > length_before {
                return Ok(());
            }
            match connection.read_more().await {
                Ok(0) if self.state == BodyState::UntilClose => {
                    self.state = BodyState::Done;
                    return Ok(());
                }
                Ok(0) | Err(_) => return Err(BodyError::Truncated),
                Ok(_) => {}
            }
        }
    }

    /// Decodes as much of the body as the buffer holds.
    fn take_unread(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        loop {
            let made_progress = match self.state {
                BodyState::Done => false,
                BodyState::Length(remaining) | BodyState::ChunkData(remaining) => {
                    self.take_data(connection, out, remaining)
                }
                BodyState::UntilClose => {
                    let bytes = connection.unread().len();
                    self.take_bytes(connection, out, bytes);
                    false
                }
                BodyState::ChunkSize => self.take_chunk_size(connection)?,
                BodyState::ChunkEnd => self.take_chunk_end(connection)?,
                BodyState::Trailer => self.take_trailer(connection)?,
            };
            if !made_progress {
                return Ok(());
            }
        }
    }

    fn take_bytes(&mut self, connection: &mut Connection, out: &mut Vec<u8>, bytes: usize) {
        out.extend(&connection.unread()[..bytes]);
        connection.consume(bytes);
        self.bytes_read += bytes as u64;
    }

    fn take_data(
        &mut self,
        connection: &mut Connection,
        out: &mut Vec<u8>,
        remaining: u64,
    ) -> bool {
        let bytes = (connection.unread().len() as u64).min(remaining) as usize;
        if bytes == 0 {
            return false;
        }
        self.take_bytes(connection, out, bytes);
        let remaining = remaining - bytes as u64;
        self.state = match (self.state, remaining) {
            (BodyState::Length(_), 0) => BodyState::Done,
            (BodyState::Length(_), remaining) => BodyState::Length(remaining),
            (_, 0) => BodyState::ChunkEnd,
            (_, remaining) => BodyState::ChunkData(remaining),
        };
        true
    }

    fn take_chunk_size(&mut self, connection: &mut Connection) -> Result<bool, BodyError> {
        match httparse::parse_chunk_size(connection.unread()) {
            Ok(httparse::Status::Complete((bytes, size))) => {
                connection.consume(bytes);
                self.state = if size == 0 {
                    BodyState::Trailer
                } else {
                    BodyState::ChunkData(size)
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if connection.unread().len() < MAX_CHUNK_LINE_BYTES => {
                Ok(false)
            }
            _ => Err(BodyError::Malformed),
        }
    }

    fn take_chunk_end(&mut self, connection: &mut Connection) -> Result<bool, BodyError> {
        let Some(end) = connection.unread().get(..LINE_END.len()) else {
            return Ok(false);
        };
        if end != LINE_END {
            return Err(BodyError::Malformed);
        }
        connection.consume(LINE_END.len());
        self.state = BodyState::ChunkSize;
        Ok(true)
    }

    /// Skips one trailer line. The empty line ends the trailers and the body.
    fn take_trailer(&mut self, connection: &mut Connection) -> Result<bool, BodyError> {
        let unread = connection.unread();
        let Some(line_bytes) = unread
            .windows(LINE_END.len())
            .position(|pair| pair == LINE_END)
        else {
            return match unread.len() > MAX_TRAILER_LINE_BYTES {
                true => Err(BodyError::Malformed),
                false => Ok(false),
            };
        };
        connection.consume(line_bytes + LINE_END.len());
        if line_bytes == 0 {
            self.state = BodyState::Done;
        }
        Ok(true)
    }
}
