//! Outgoing HTTP connections: hyper-util's client over connections that are bounded, timed and without delay, and
//! that carry another request only where nothing is left of the answer before.

use crate::wire::budget::{ANSWER_GAP, HEAD_MAX, KEEP_IDLE, ROOM_WAIT};
use crate::wire::keep::Keep;
use crate::wire::sparse::whole;
use bytes::{Bytes, BytesMut};
use http::Uri;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

pub type HttpClient = Client<Connector, Full<Bytes>>;

/// Why there was no connection although nobody was asked: our own descriptors are spent.
#[derive(Debug)]
pub struct NoRoom;

impl std::fmt::Display for NoRoom {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        to.write_str("no descriptor left for another connection")
    }
}

impl std::error::Error for NoRoom {}

/// Why a kept connection took no further request: it had ended, or more lay on it than belonged to the answer before.
/// Nothing of the request was written.
#[derive(Debug)]
pub struct NotQuiet;

impl std::fmt::Display for NotQuiet {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        to.write_str("a kept connection was not quiet")
    }
}

impl std::error::Error for NotQuiet {}

/// A body of so many bytes at most. Whoever answers writes all of it in one go.
pub async fn collect(body: Incoming, most: usize) -> Result<Bytes, String> {
    let mut body = Limited::new(body, most);
    let mut all = BytesMut::new();
    loop {
        match timeout(ANSWER_GAP, body.frame()).await {
            Ok(Some(Ok(frame))) => frame
                .data_ref()
                .into_iter()
                .for_each(|data| all.extend_from_slice(data)),
            Ok(Some(Err(error))) => return Err(whole(&*error)),
            Ok(None) => return Ok(all.freeze()),
            Err(_) => return Err("stopped short".to_owned()),
        }
    }
}

/// A part of the descriptors, shared by many connectors.
#[derive(Clone)]
pub struct Room {
    free: Arc<Semaphore>,
    short: watch::Sender<()>,
}

impl Room {
    pub fn new(connections: usize) -> Room {
        Room {
            free: Arc::new(Semaphore::new(connections)),
            short: watch::Sender::new(()),
        }
    }

    /// Changes whenever a connect found no room: those who hold idle connections are to drop them.
    pub fn shortage(&self) -> watch::Receiver<()> {
        self.short.subscribe()
    }

    async fn take(self) -> Result<OwnedSemaphorePermit, NoRoom> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.short.send_replace(());
        let freed = timeout(ROOM_WAIT, self.free.acquire_owned()).await;
        freed.map_err(|_| NoRoom)?.map_err(|_| NoRoom)
    }
}

/// Connects to one address, whatever the request's own says.
#[derive(Clone)]
pub struct Connector {
    pub to: SocketAddr,
    pub time_out: Duration,
    pub room: Room,
    pub keep: Keep,
}

impl Connector {
    async fn connect(self) -> Result<Link, Box<dyn std::error::Error + Send + Sync>> {
        let permit = self.room.take().await?;
        let stream = timeout(self.time_out, TcpStream::connect(self.to)).await??;
        stream.set_nodelay(true)?;
        let (stream, keep) = (TokioIo::new(stream), self.keep);
        Ok(Link {
            stream,
            heard: None,
            lay: None,
            keep,
            _permit: permit,
        })
    }

    /// A client of its own pool. It resends nothing by itself; a kept connection is dropped after `keep`.
    pub fn client(self, keep: Duration) -> HttpClient {
        Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(keep)
            .pool_max_idle_per_host(KEEP_IDLE)
            .http1_max_buf_size(HEAD_MAX)
            .build(self)
    }
}

impl tower_service::Service<Uri> for Connector {
    type Response = Link;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Link, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, _: Uri) -> Self::Future {
        Box::pin(self.clone().connect())
    }
}

/// A connection that holds its part of the descriptors for as long as it is open.
pub struct Link {
    stream: TokioIo<TcpStream>,
    /// When something was last read, if that was since the last write: the next one begins another request.
    heard: Option<Instant>,
    /// How long it lay idle before a request of which no answer was read yet.
    lay: Option<Duration>,
    keep: Keep,
    _permit: OwnedSemaphorePermit,
}

impl Link {
    /// How much is to be read, 0 at the end; asked of the kernel, as the runtime learns of what has arrived only
    /// between its turns.
    fn peek(&self) -> io::Result<usize> {
        let socket = socket2::SockRef::from(self.stream.inner());
        socket.peek(&mut [std::mem::MaybeUninit::uninit()])
    }

    /// Whether nothing is to be read, not even an end.
    fn is_quiet(&self) -> bool {
        self.peek()
            .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether it has ended or was reset; asking takes the error away, so that a read finds the end only.
    fn has_ended(&self) -> bool {
        self.peek().map_or_else(
            |error| error.kind() != io::ErrorKind::WouldBlock,
            |length| length == 0,
        )
    }
}

impl Connection for Link {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        let ended = self.lay.is_some() && self.has_ended();
        let read = Pin::new(&mut self.stream).poll_read(context, into);
        if let Poll::Ready(came) = &read {
            self.heard = Some(Instant::now());
            let lay = self.lay.take();
            lay.into_iter()
                .for_each(|lay| self.keep.reused(lay, ended || came.is_err()));
        }
        read
    }
}

impl Write for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.heard.is_some() && !self.is_quiet() {
            return Poll::Ready(Err(io::Error::other(NotQuiet)));
        }
        self.lay = self.heard.take().map(|heard| heard.elapsed()).or(self.lay);
        Pin::new(&mut self.stream).poll_write(context, from)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
