//! Outgoing HTTP connections: hyper-util's client over connections that are limited in number and time, and that are
//! reused only if no data is left unread on them.

use crate::wire::idle_timeout::IdleTimeout;
use crate::wire::limits::{BODY_READ_TIMEOUT, MAX_HEAD_BYTES, MAX_IDLE_PER_UNIT, QUOTA_TIMEOUT};
use crate::wire::rate_limited_log::error_chain;
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

/// A client with its pool of connections to one address.
pub type HttpClient = Client<Connector, Full<Bytes>>;

/// No connection could be opened although none was attempted: the relay's own descriptors are used up.
#[derive(Debug)]
pub struct QuotaExhausted;

impl std::fmt::Display for QuotaExhausted {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("no descriptor left for another connection")
    }
}

impl std::error::Error for QuotaExhausted {}

/// A pooled connection could not be reused: it was closed, or holds unread data beyond the previous response. Nothing
/// of the request was written.
#[derive(Debug)]
pub struct StaleConnection;

impl std::fmt::Display for StaleConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a kept-alive connection was closed or held unread data")
    }
}

impl std::error::Error for StaleConnection {}

/// Reads a body of at most `max` bytes. The sender writes all of it in one piece.
pub async fn collect(body: Incoming, max: usize) -> Result<Bytes, String> {
    let mut body = Limited::new(body, max);
    let mut collected = BytesMut::new();
    loop {
        match timeout(BODY_READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame
                .data_ref()
                .into_iter()
                .for_each(|data| collected.extend_from_slice(data)),
            Ok(Some(Err(error))) => return Err(error_chain(&*error)),
            Ok(None) => return Ok(collected.freeze()),
            Err(_) => return Err("stopped short".to_owned()),
        }
    }
}

/// A share of the descriptors, used by many connectors.
#[derive(Clone)]
pub struct ConnectionQuota {
    semaphore: Arc<Semaphore>,
    exhausted: watch::Sender<()>,
}

impl ConnectionQuota {
    /// A quota of so many connections.
    pub fn new(connections: usize) -> ConnectionQuota {
        ConnectionQuota {
            semaphore: Arc::new(Semaphore::new(connections)),
            exhausted: watch::Sender::new(()),
        }
    }

    /// Changes whenever a connection attempt found no free descriptor: holders of idle connections are to close them.
    pub fn exhaustion(&self) -> watch::Receiver<()> {
        self.exhausted.subscribe()
    }

    async fn acquire(self) -> Result<OwnedSemaphorePermit, QuotaExhausted> {
        if let Ok(permit) = self.semaphore.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.exhausted.send_replace(());
        let freed = timeout(QUOTA_TIMEOUT, self.semaphore.acquire_owned()).await;
        freed
            .map_err(|_| QuotaExhausted)?
            .map_err(|_| QuotaExhausted)
    }
}

/// Connects to one address, whatever the URI of the request is.
#[derive(Clone)]
pub struct Connector {
    /// The address.
    pub to: SocketAddr,
    /// Time for a connection to be established.
    pub connect_timeout: Duration,
    /// Where descriptors are taken from.
    pub quota: ConnectionQuota,
    /// Records how reused connections fare.
    pub idle_timeout: IdleTimeout,
}

impl Connector {
    async fn connect(self) -> Result<PooledConnection, Box<dyn std::error::Error + Send + Sync>> {
        let permit = self.quota.acquire().await?;
        let stream = timeout(self.connect_timeout, TcpStream::connect(self.to)).await??;
        stream.set_nodelay(true)?;
        let (stream, idle_timeout) = (TokioIo::new(stream), self.idle_timeout);
        Ok(PooledConnection {
            stream,
            last_read: None,
            idle_before: None,
            idle_timeout,
            _permit: permit,
        })
    }

    /// A client with its own pool. It does not retry requests by itself; an idle connection is closed after `timeout`.
    pub fn client(self, timeout: Duration) -> HttpClient {
        Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(timeout)
            .pool_max_idle_per_host(MAX_IDLE_PER_UNIT)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(self)
    }
}

impl tower_service::Service<Uri> for Connector {
    type Response = PooledConnection;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<PooledConnection, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, _: Uri) -> Self::Future {
        Box::pin(self.clone().connect())
    }
}

/// A connection that holds its share of the descriptors for as long as it is open.
pub struct PooledConnection {
    stream: TokioIo<TcpStream>,
    /// When data was last read, if that was after the last write: the next write begins another request.
    last_read: Option<Instant>,
    /// How long it was idle before a request of which no response was read yet.
    idle_before: Option<Duration>,
    idle_timeout: IdleTimeout,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Number of unread bytes, up to one; 0 at the end of the stream. Asks the kernel, as the runtime learns of
    /// arrived data only between its turns.
    fn peek(&self) -> io::Result<usize> {
        let socket = socket2::SockRef::from(self.stream.inner());
        socket.peek(&mut [std::mem::MaybeUninit::uninit()])
    }

    /// Whether there is neither unread data nor an end of the stream.
    fn has_no_unread_data(&self) -> bool {
        self.peek()
            .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether it was closed or reset. The check consumes the socket's error, so that a read then finds only the end.
    fn is_closed(&self) -> bool {
        self.peek().map_or_else(
            |error| error.kind() != io::ErrorKind::WouldBlock,
            |length| length == 0,
        )
    }
}

impl Connection for PooledConnection {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for PooledConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        let closed = self.idle_before.is_some() && self.is_closed();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(result) = &read {
            self.last_read = Some(Instant::now());
            let idle = self.idle_before.take();
            idle.into_iter().for_each(|idle| {
                self.idle_timeout
                    .record_reuse(idle, closed || result.is_err())
            });
        }
        read
    }
}

impl Write for PooledConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.last_read.is_some() && !self.has_no_unread_data() {
            return Poll::Ready(Err(io::Error::other(StaleConnection)));
        }
        self.idle_before = self
            .last_read
            .take()
            .map(|last_read| last_read.elapsed())
            .or(self.idle_before);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
