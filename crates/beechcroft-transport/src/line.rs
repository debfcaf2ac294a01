//! A connection that carries requests: unread bytes beside the socket, bodies counted as they pass.

use crate::guard::Framing;
use crate::Stream;
use std::io;

/// Bytes read at a time.
const READ: usize = 16 << 10;
/// A line that states a chunk's size may not be longer.
const CHUNK_LINE: usize = 256;

#[derive(Debug)]
pub struct Line {
    pub stream: Stream,
    buf: Vec<u8>,
    from: usize,
}

impl Line {
    pub fn new(stream: Stream) -> Line {
        stream.prompt();
        Line {
            stream,
            buf: Vec::new(),
            from: 0,
        }
    }

    pub fn unread(&self) -> &[u8] {
        &self.buf[self.from..]
    }

    pub fn consume(&mut self, bytes: usize) {
        self.from += bytes;
        if self.from == self.buf.len() {
            self.from = 0;
            self.buf.clear();
        }
    }

    /// Gives back the memory of an idle connection.
    pub fn rest(&mut self) {
        if self.unread().is_empty() {
            (self.buf, self.from) = (Vec::new(), 0);
        }
    }

    /// Reads more; 0 once the other side has closed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.from > 0 {
            self.buf.drain(..self.from);
            self.from = 0;
        }
        if self.buf.capacity() == self.buf.len() {
            // A head or a small answer first; more for what goes on.
            self.buf
                .reserve(if self.buf.is_empty() { 4 << 10 } else { READ });
        }
        self.stream.read_buf(&mut self.buf).await
    }

    /// Whether nothing is unread and the other side has not closed: only then may a request go on it.
    pub fn clean(&self) -> bool {
        let mut byte = [0; 1];
        self.unread().is_empty()
            && matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// Where a body stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Left(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Close,
    Done,
}

/// Reads one body off a line and counts it.
#[derive(Debug)]
pub struct Body {
    at: At,
    pub read: u64,
}

/// The body is not what its head says, or the connection broke.
#[derive(Debug, PartialEq, Eq)]
pub enum Broken {
    /// It ended before its end.
    Early,
    /// Its bytes are not in the protocol.
    Spoilt,
}

impl Body {
    pub fn new(framing: Option<Framing>) -> Body {
        let at = match framing {
            None | Some(Framing::Length(0)) => At::Done,
            Some(Framing::Length(length)) => At::Left(length),
            Some(Framing::Chunked) => At::ChunkSize,
            Some(Framing::Close) => At::Close,
        };
        Body { at, read: 0 }
    }

    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Appends some of the body to `out`; reads from the socket only if nothing of it is there yet.
    pub async fn next(&mut self, line: &mut Line, out: &mut Vec<u8>) -> Result<(), Broken> {
        loop {
            let before = out.len();
            self.take(line, out)?;
            if self.done() || out.len() > before {
                return Ok(());
            }
            match line.fill().await {
                Ok(0) if self.at == At::Close => {
                    self.at = At::Done;
                    return Ok(());
                }
                Ok(0) | Err(_) => return Err(Broken::Early),
                Ok(_) => {}
            }
        }
    }

    /// Takes what is there.
    fn take(&mut self, line: &mut Line, out: &mut Vec<u8>) -> Result<(), Broken> {
        loop {
            match self.at {
                At::Done => return Ok(()),
                At::Left(left) | At::ChunkData(left) => {
                    let some = (line.unread().len() as u64).min(left) as usize;
                    if some == 0 {
                        return Ok(());
                    }
                    out.extend(&line.unread()[..some]);
                    line.consume(some);
                    self.read += some as u64;
                    let left = left - some as u64;
                    self.at = match (self.at, left) {
                        (At::Left(_), 0) => At::Done,
                        (At::Left(_), left) => At::Left(left),
                        (_, 0) => At::ChunkEnd,
                        (_, left) => At::ChunkData(left),
                    };
                }
                At::Close => {
                    let some = line.unread().len();
                    out.extend(line.unread());
                    line.consume(some);
                    self.read += some as u64;
                    return Ok(());
                }
                At::ChunkSize => match httparse::parse_chunk_size(line.unread()) {
                    Ok(httparse::Status::Complete((bytes, size))) => {
                        line.consume(bytes);
                        self.at = if size == 0 {
                            At::Trailer
                        } else {
                            At::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if line.unread().len() < CHUNK_LINE => {
                        return Ok(())
                    }
                    _ => return Err(Broken::Spoilt),
                },
                At::ChunkEnd => {
                    if line.unread().len() < 2 {
                        return Ok(());
                    }
                    if &line.unread()[..2] != b"\r\n" {
                        return Err(Broken::Spoilt);
                    }
                    line.consume(2);
                    self.at = At::ChunkSize;
                }
                At::Trailer => {
                    // Trailers are read over; the empty line ends them.
                    let Some(end) = line.unread().windows(2).position(|pair| pair == b"\r\n")
                    else {
                        if line.unread().len() > 8 << 10 {
                            return Err(Broken::Spoilt);
                        }
                        return Ok(());
                    };
                    line.consume(end + 2);
                    if end == 0 {
                        self.at = At::Done;
                    }
                }
            }
        }
    }
}
