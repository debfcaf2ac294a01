//! A socket as async-h1 wants it: cloned for its two directions.

use crate::Stream;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What was read of the message that is under way. async-h1 reads ahead into a buffer of its own, which it drops with
/// the message: what lay in it behind the message's end would be missing from the next one.
#[derive(Debug, Default)]
struct Tally {
    read: u64,
    /// Bytes of the head, once its end was read.
    head: Option<u64>,
    /// Bytes of the head's end that the last ones read may be.
    matched: usize,
}

impl Tally {
    fn add(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.head.is_some() {
                break;
            }
            self.matched = match *byte {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.matched == HEAD_END.len() {
                self.head = Some(self.read + at as u64 + 1);
            }
        }
        self.read += bytes.len() as u64;
    }
}

/// A connection, and what was read of the message that is under way on it.
#[derive(Clone, Debug)]
pub struct Wire(pub Arc<Stream>, Arc<Mutex<Tally>>);

impl Wire {
    pub fn new(stream: Stream) -> Wire {
        stream.prompt();
        Wire(Arc::new(stream), Arc::default())
    }

    /// A message is to be read from here on.
    pub fn begin(&self) {
        *self.tally() = Tally::default();
    }

    /// Whether a head and a body of so many bytes were read, and nothing behind them.
    pub fn read_just(&self, body: usize) -> bool {
        let tally = self.tally();
        tally
            .head
            .is_some_and(|head| tally.read == head + body as u64)
    }

    fn tally(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.1.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing is unread and the other side has not closed.
    pub fn clean(&self) -> bool {
        let mut byte = [0; 1];
        matches!(self.0.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    if let Ok(read) = done {
                        self.tally().add(&buf[..read]);
                    }
                    return Poll::Ready(done);
                }
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shut())
    }
}
