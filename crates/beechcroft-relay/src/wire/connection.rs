//! One client's connection while hyper serves it. Where idle connections are parked, that is from the first unread
//! byte to the end of the response: then the socket is taken back from hyper, with whatever hyper has read beyond the
//! request, and returned to the connection manager.

use crate::wire::clients::ArrivedAt;
use crate::wire::limits::MAX_HEAD_BYTES;
use crate::wire::rate_limited_log::error_chain;
use axum::body::{Body, HttpBody};
use axum::Router;
use beechcroft_connections::{Event, Id};
use bytes::Bytes;
use http::{header, HeaderMap, Request, Response, Version};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::rt::ReadBufCursor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use slotmap::Key;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tower_service::Service;
use tracing::trace;

/// What the task that serves a connection reports to the connection manager.
pub enum ConnectionReport {
    /// An event for the connection table.
    Event(Event),
    /// Answered in full, with nothing read beyond the request.
    Returned(Id, std::net::TcpStream),
}

/// Where reports for the connection manager are sent.
pub type ManagerMailbox = mpsc::UnboundedSender<ConnectionReport>;

/// How far the exchange on a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Between requests; nothing was read.
    Rest,
    /// A part of a head was read.
    Head,
    /// A request is open.
    Task,
    /// hyper has the response, but has not written all of it to the kernel.
    Answered,
}

const STAGES: [Stage; 4] = [Stage::Rest, Stage::Head, Stage::Task, Stage::Answered];

/// The stage of a connection's exchange. Everything runs on one thread; the atomics are there because tokio's tasks
/// must be `Send`.
pub struct ExchangeState {
    id: Id,
    stage: AtomicU8,
    /// Whether the connection is returned to the manager once it is idle.
    park: bool,
    /// Whether it is closed after the next response.
    last: AtomicBool,
    /// When the data that is being read arrived, if that is known.
    arrived: Mutex<Option<Instant>>,
    manager: ManagerMailbox,
}

impl ExchangeState {
    /// For a connection that has unread data since `arrived`, or that is idle.
    pub fn new(
        id: Id,
        arrived: Option<Instant>,
        park: bool,
        manager: ManagerMailbox,
    ) -> Arc<ExchangeState> {
        let stage = if arrived.is_some() {
            Stage::Head
        } else {
            Stage::Rest
        };
        let (stage, last) = (AtomicU8::new(stage as u8), AtomicBool::new(false));
        Arc::new(ExchangeState {
            id,
            stage,
            park,
            last,
            arrived: Mutex::new(arrived),
            manager,
        })
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        STAGES[self.stage.load(Ordering::Relaxed) as usize]
    }

    fn enter(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    fn report(&self, event: fn(Id) -> Event) {
        let _ = self.manager.send(ConnectionReport::Event(event(self.id)));
    }

    fn take_arrived(&self) -> Option<Instant> {
        self.arrived
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    fn bytes_read(&self) {
        if self.stage() == Stage::Rest {
            self.enter(Stage::Head);
            self.report(Event::HeadStarted);
        }
    }

    fn head_read(&self, head: &Request<Incoming>) {
        self.enter(Stage::Task);
        self.report(Event::HeadRead);
        if head.version() < Version::HTTP_11 || has_connection_close(head.headers()) {
            self.last.store(true, Ordering::Relaxed);
        }
    }

    fn flushed(&self) {
        if self.stage() == Stage::Answered {
            self.enter(Stage::Rest);
            if !self.park {
                self.report(Event::Answered);
            }
        }
    }

    /// Whether it is idle, is to be returned to the manager, and may carry another request.
    fn can_be_parked(&self) -> bool {
        self.park && self.stage() == Stage::Rest && !self.last.load(Ordering::Relaxed)
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The body of a response; dropped once hyper has taken all of it, or has given it up.
struct ResponseBody {
    body: Body,
    exchange: Arc<ExchangeState>,
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        HttpBody::size_hint(&self.body)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.exchange.enter(Stage::Answered);
    }
}

/// A socket whose reads begin with data that was read from it before.
struct PrefixedStream {
    stream: TcpStream,
    prefix: Bytes,
    exchange: Arc<ExchangeState>,
}

impl hyper::rt::Read for PrefixedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.prefix.is_empty() {
            let length = buf.remaining().min(self.prefix.len());
            buf.put_slice(&self.prefix.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let mut buffer = [const { MaybeUninit::uninit() }; MAX_HEAD_BYTES];
        let length = buf.remaining().min(MAX_HEAD_BYTES);
        let mut read = ReadBuf::uninit(&mut buffer[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        if !read.filled().is_empty() {
            self.exchange.bytes_read();
        }
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for PrefixedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    /// hyper flushes only once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.exchange.flushed();
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Reports that a connection ended, for whatever reason, unless it was returned to the manager.
struct EndGuard(Option<Arc<ExchangeState>>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0
            .take()
            .into_iter()
            .for_each(|exchange| exchange.report(Event::Ended));
    }
}

/// Serves a connection until it ends or is returned to the manager. If `last`, it is closed after the next response;
/// `drain` becomes true once the relay shuts down, which has the same effect.
pub async fn serve(
    stream: TcpStream,
    exchange: Arc<ExchangeState>,
    router: Router,
    last: bool,
    mut drain: watch::Receiver<bool>,
) {
    let mut end_guard = EndGuard(Some(exchange.clone()));
    let mut io = PrefixedStream {
        stream,
        prefix: Bytes::new(),
        exchange: exchange.clone(),
    };
    loop {
        let (router, own) = (router.clone(), exchange.clone());
        let service = service_fn(move |request| {
            Box::pin(handle_request(router.clone(), own.clone(), request))
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(!last).max_buf_size(MAX_HEAD_BYTES);
        let mut connection = builder.serve_connection(io, service);
        let (mut is_draining, mut shutdown_sent, mut watching) = (*drain.borrow(), last, true);
        let can_be_parked = loop {
            let turn = poll_fn(|cx| loop {
                if let Poll::Ready(ended) = Pin::new(&mut connection).poll(cx) {
                    // The reason is formatted only if the log level is enabled.
                    let reason = || {
                        ended
                            .err()
                            .map_or("closed".to_owned(), |error| error_chain(&error))
                    };
                    trace!(connection = exchange.id.data().as_ffi(), stage = ?exchange.stage(), reason = reason(), "ended");
                    return Poll::Ready(false);
                }
                // Not earlier: hyper would close an idle connection at once, though a request may be on its way.
                if is_draining && !shutdown_sent && exchange.stage() >= Stage::Task {
                    shutdown_sent = true;
                    exchange.last.store(true, Ordering::Relaxed);
                    Pin::new(&mut connection).graceful_shutdown();
                } else if exchange.can_be_parked() {
                    return Poll::Ready(true);
                } else {
                    return Poll::Pending;
                }
            });
            tokio::select! {
                biased;
                can_be_parked = turn => break can_be_parked,
                changed = drain.changed(), if watching => (is_draining, watching) = (*drain.borrow(), changed.is_ok()),
            }
        };
        if !can_be_parked {
            return;
        }
        let parts = connection.into_parts();
        io = parts.io;
        io.prefix = [parts.read_buf, io.prefix].concat().into();
        if io.prefix.is_empty() {
            end_guard.0 = None;
            return match io.stream.into_std() {
                Ok(stream) => drop(
                    exchange
                        .manager
                        .send(ConnectionReport::Returned(exchange.id, stream)),
                ),
                Err(_) => exchange.report(Event::Ended),
            };
        }
        // Data beyond the answered request has been read: the next request has begun.
        exchange.report(Event::Answered);
        exchange.bytes_read();
    }
}

/// Handles one request of a connection.
async fn handle_request(
    mut router: Router,
    exchange: Arc<ExchangeState>,
    mut request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    exchange.head_read(&request);
    if let Some(at) = exchange.take_arrived() {
        request.extensions_mut().insert(ArrivedAt(at));
    }
    let response = router.call(request).await?;
    if has_connection_close(response.headers()) {
        exchange.last.store(true, Ordering::Relaxed);
    }
    Ok(response.map(|body| ResponseBody { body, exchange }))
}
