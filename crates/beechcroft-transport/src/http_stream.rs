//! A connection as async-h1 wants it: cloned for its two directions.

use crate::Stream;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much was read of the current message. async-h1 reads ahead into a buffer of its own, which it drops with the
/// message: what lay in it behind the message's end would be missing from the next one.
#[derive(Debug, Default)]
struct ReadProgress {
    bytes_read: u64,
    /// Bytes of the head, once its end was read.
    head_bytes: Option<u64>,
    /// How many of the last bytes may be the beginning of the head's end.
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

/// A connection that counts what is read of the current message. Clones share it.
#[derive(Clone, Debug)]
pub struct HttpStream {
    stream: Arc<Stream>,
    progress: Arc<Mutex<ReadProgress>>,
}

impl HttpStream {
    /// Takes a connection over.
    pub fn new(stream: Stream) -> HttpStream {
        stream.set_nodelay();
        HttpStream {
            stream: Arc::new(stream),
            progress: Arc::default(),
        }
    }

    /// A message is to be read from here on.
    pub fn begin_message(&self) {
        *self.progress() = ReadProgress::default();
    }

    /// Whether a head and a body of so many bytes were read, and nothing behind them.
    pub fn has_read_exactly(&self, body_bytes: usize) -> bool {
        let progress = self.progress();
        let expected = progress.head_bytes.map(|head| head + body_bytes as u64);
        expected == Some(progress.bytes_read)
    }

    /// Whether nothing is unread and the peer has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends once the peer has closed or broken the connection.
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
