//! One connection while hyper serves it. Where connections are parked that is from its first waiting byte to the end of
//! its answer: then it is taken back out of hyper, with whatever hyper read beyond the answer, and given to the lot.

use crate::wire::budget::HEAD_MAX;
use crate::wire::clients::Arrived;
use crate::wire::sparse::whole;
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

/// What who serves a connection tells the lot.
pub enum Told {
    Of(Event),
    /// Answered in full, with nothing read beyond.
    Returned(Id, std::net::TcpStream),
}

pub type LotMailbox = mpsc::UnboundedSender<Told>;

/// How far the exchange on a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Between requests, nothing read.
    Rest,
    /// A head has begun.
    Head,
    /// A request is open.
    Task,
    /// Its answer is with hyper, not yet all with the kernel.
    Answered,
}

const STAGES: [Stage; 4] = [Stage::Rest, Stage::Head, Stage::Task, Stage::Answered];

/// The one place where a connection's stage is kept. All run on one thread; the atomics are what tokio's tasks ask for.
pub struct Gate {
    id: Id,
    stage: AtomicU8,
    /// Whether it is given back once it is answered.
    park: bool,
    /// Its next answer is its last.
    last: AtomicBool,
    /// When what is being read had arrived, if that is known.
    arrived: Mutex<Option<Instant>>,
    lot: LotMailbox,
}

impl Gate {
    /// Of a connection that has asked since `arrived`, or rests.
    pub fn new(id: Id, arrived: Option<Instant>, park: bool, lot: LotMailbox) -> Arc<Gate> {
        let stage = if arrived.is_some() {
            Stage::Head
        } else {
            Stage::Rest
        };
        let (stage, last) = (AtomicU8::new(stage as u8), AtomicBool::new(false));
        Arc::new(Gate {
            id,
            stage,
            park,
            last,
            arrived: Mutex::new(arrived),
            lot,
        })
    }

    pub fn stage(&self) -> Stage {
        STAGES[self.stage.load(Ordering::Relaxed) as usize]
    }

    fn enter(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    fn tell(&self, event: fn(Id) -> Event) {
        let _ = self.lot.send(Told::Of(event(self.id)));
    }

    fn arrived(&self) -> Option<Instant> {
        self.arrived
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    fn read(&self) {
        if self.stage() == Stage::Rest {
            self.enter(Stage::Head);
            self.tell(Event::HeadStarted);
        }
    }

    fn head_read(&self, head: &Request<Incoming>) {
        self.enter(Stage::Task);
        self.tell(Event::HeadRead);
        if head.version() < Version::HTTP_11 || says_close(head.headers()) {
            self.last.store(true, Ordering::Relaxed);
        }
    }

    fn flushed(&self) {
        if self.stage() == Stage::Answered {
            self.enter(Stage::Rest);
            if !self.park {
                self.tell(Event::Answered);
            }
        }
    }

    /// Whether it rests, is to be given back, and may go on to another request.
    fn is_free(&self) -> bool {
        self.park && self.stage() == Stage::Rest && !self.last.load(Ordering::Relaxed)
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut words = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    words.any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// An answer's body; dropped once hyper has taken all of it, or given it up.
struct Ending {
    body: Body,
    gate: Arc<Gate>,
}

impl HttpBody for Ending {
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

impl Drop for Ending {
    fn drop(&mut self) {
        self.gate.enter(Stage::Answered);
    }
}

/// A socket that begins with what was read of it before.
struct Io {
    stream: TcpStream,
    ahead: Bytes,
    gate: Arc<Gate>,
}

impl hyper::rt::Read for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let most = buf.remaining().min(self.ahead.len());
            buf.put_slice(&self.ahead.split_to(most));
            return Poll::Ready(Ok(()));
        }
        let mut room = [const { MaybeUninit::uninit() }; HEAD_MAX];
        let most = buf.remaining().min(HEAD_MAX);
        let mut read = ReadBuf::uninit(&mut room[..most]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        if !read.filled().is_empty() {
            self.gate.read();
        }
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Io {
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
        self.gate.flushed();
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Tells the lot that a connection ended, however that came about, unless it was given back.
struct Ends(Option<Arc<Gate>>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0
            .take()
            .into_iter()
            .for_each(|gate| gate.tell(Event::Ended));
    }
}

/// Serves a connection until it ends or is given back. Where `last`, its next answer is its last; `leave` tells once that
/// the relay leaves, which makes it so.
pub async fn serve(
    stream: TcpStream,
    gate: Arc<Gate>,
    router: Router,
    last: bool,
    mut leave: watch::Receiver<bool>,
) {
    let mut ends = Ends(Some(gate.clone()));
    let mut io = Io {
        stream,
        ahead: Bytes::new(),
        gate: gate.clone(),
    };
    loop {
        let (router, own) = (router.clone(), gate.clone());
        let service =
            service_fn(move |request| Box::pin(answer(router.clone(), own.clone(), request)));
        let mut builder = http1::Builder::new();
        builder.keep_alive(!last).max_buf_size(HEAD_MAX);
        let mut connection = builder.serve_connection(io, service);
        let (mut leaves, mut told, mut heard) = (*leave.borrow(), last, true);
        let is_free = loop {
            let turn = poll_fn(|cx| loop {
                if let Poll::Ready(ended) = Pin::new(&mut connection).poll(cx) {
                    // The reason is put into words only where somebody reads it.
                    let reason = || {
                        ended
                            .err()
                            .map_or("closed".to_owned(), |error| whole(&error))
                    };
                    trace!(connection = gate.id.data().as_ffi(), stage = ?gate.stage(), reason = reason(), "ended");
                    return Poll::Ready(false);
                }
                // Earlier, hyper would close it at once, though a request may be on the way.
                if leaves && !told && gate.stage() >= Stage::Task {
                    told = true;
                    gate.last.store(true, Ordering::Relaxed);
                    Pin::new(&mut connection).graceful_shutdown();
                } else if gate.is_free() {
                    return Poll::Ready(true);
                } else {
                    return Poll::Pending;
                }
            });
            tokio::select! {
                biased;
                is_free = turn => break is_free,
                changed = leave.changed(), if heard => (leaves, heard) = (*leave.borrow(), changed.is_ok()),
            }
        };
        if !is_free {
            return;
        }
        let parts = connection.into_parts();
        io = parts.io;
        io.ahead = [parts.read_buf, io.ahead].concat().into();
        if io.ahead.is_empty() {
            ends.0 = None;
            return match io.stream.into_std() {
                Ok(stream) => drop(gate.lot.send(Told::Returned(gate.id, stream))),
                Err(_) => gate.tell(Event::Ended),
            };
        }
        // More than the answered request has been read: the next one has begun.
        gate.tell(Event::Answered);
        gate.read();
    }
}

/// One request of a connection.
async fn answer(
    mut router: Router,
    gate: Arc<Gate>,
    mut request: Request<Incoming>,
) -> Result<Response<Ending>, Infallible> {
    gate.head_read(&request);
    if let Some(at) = gate.arrived() {
        request.extensions_mut().insert(Arrived(at));
    }
    let answer = router.call(request).await?;
    if says_close(answer.headers()) {
        gate.last.store(true, Ordering::Relaxed);
    }
    Ok(answer.map(|body| Ending { body, gate }))
}
