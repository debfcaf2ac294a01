//! The stream type that async-h1 reads from and writes to: cloned for the two directions, and counting what is read.

use crate::Stream;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much has been read since the current message began. async-h1 reads ahead into its own buffer and drops that
/// buffer with the message, so bytes after the message's end would be missing from the next message. Counting shows
/// whether that has happened.
#[derive(Debug, Default)]
struct ReadProgress {
    bytes_read: u64,
    /// Length of the head in bytes, once its end has been read.
    head_bytes: Option<u64>,
    /// How many of the last bytes match the beginning of [`HEAD_END`].
    matched: usize,
}

impl ReadProgress {
    fn add(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.head_bytes.is_some() {
                break;
            }
            self.matched = match *byte {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.matched == HEAD_END.len() {
                self.head_bytes = Some(self.bytes_read + at as u64 + 1);
            }
        }
        self.bytes_read += bytes.len() as u64;
    }
}

/// A connection that counts the bytes read of the current message. Clones share the connection and the count.
#[derive(Clone, Debug)]
pub struct HttpStream {
    stream: Arc<Stream>,
    progress: Arc<Mutex<ReadProgress>>,
}

impl HttpStream {
    /// Wraps a stream and disables Nagle's algorithm on it.
    pub fn new(stream: Stream) -> HttpStream {
        stream.set_nodelay();
        HttpStream {
            stream: Arc::new(stream),
            progress: Arc::default(),
        }
    }

    /// Restarts the count: the next byte read is the first of a new message.
    pub fn begin_message(&self) {
        *self.progress() = ReadProgress::default();
    }

    /// Whether exactly one head and a body of `body_bytes` have been read, and nothing after them.
    pub fn has_read_exactly(&self, body_bytes: usize) -> bool {
        let progress = self.progress();
        let expected = progress.head_bytes.map(|head| head + body_bytes as u64);
        expected == Some(progress.bytes_read)
    }

    /// Whether the connection may carry another message: nothing is unread, and the peer has not closed it.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Completes once the peer has closed the connection or the connection has broken.
    pub async fn closed_by_peer(&self) {
        self.stream.closed_by_peer().await
    }

    fn progress(&self) -> MutexGuard<'_, ReadProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for HttpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    if let Ok(read) = done {
                        self.progress().add(&buf[..read]);
                    }
                    return Poll::Ready(done);
                }
            }
        }
    }
}

impl AsyncWrite for HttpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}
