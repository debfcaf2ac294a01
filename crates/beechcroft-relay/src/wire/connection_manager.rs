//! Accepts clients' connections, and parks those that are idle. Parked sockets are registered with an epoll instance
//! of their own, which the runtime watches as one descriptor, so that a parked connection costs neither a task nor a
//! timer. `beechcroft-connections` decides which connection is served, rejected or closed; this module carries it out.

use crate::wire::connection::{serve, ConnectionReport, ExchangeState, ManagerMailbox, Stage};
use crate::wire::limits::{ACCEPTS_PER_TURN, ACCEPT_PAUSE, KEEPALIVE_INTERVAL, KEEPALIVE_RETRIES};
use crate::wire::rate_limited_log::RateLimitedLog;
use axum::Router;
use beechcroft_connections::{
    Actions, CloseOutcome, CloseReason, ConnectionTable, Event, Id, Limits, StateCounts, TICK,
};
use mio::unix::SourceFd;
use mio::{Interest, Token};
use slotmap::{Key, KeyData, SecondaryMap};
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::unix::AsyncFd;
use tokio::io::Interest as Readiness;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant, MissedTickBehavior};
use tracing::{debug, trace, warn};

/// Wake-ups handled in one turn, so that a burst of them does not delay the rest.
const MAX_WAKEUPS_PER_TURN: usize = 1024;
/// Bytes of a rejected client that are discarded in one turn.
const MAX_DISCARD_BYTES: usize = 64 * 1024;

/// A connection's socket, by what is being done with it.
enum Socket {
    /// Not registered: data has arrived, or it was accepted just now.
    Unwatched(TcpStream),
    /// Parked, and registered with the epoll instance.
    Parked(TcpStream),
    Served(AbortHandle, Arc<ExchangeState>),
    /// Answered with a rejection and shut down for writing; what it still sends is discarded.
    Rejected(TcpStream),
}

/// State of a socket, without reading from it.
enum Peek {
    Readable,
    Empty,
    Closed,
}

fn peek(stream: &TcpStream) -> Peek {
    match stream.peek(&mut [0]) {
        Ok(0) => Peek::Closed,
        Ok(_) => Peek::Readable,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            Peek::Empty
        }
        Err(_) => Peek::Closed,
    }
}

/// Reads and discards; returns whether the client may still send.
fn discard(mut stream: &TcpStream) -> bool {
    let mut buffer = [0; 4096];
    for _ in 0..MAX_DISCARD_BYTES / buffer.len() {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
    true
}

/// Registers a descriptor with the runtime for readiness to read.
fn async_fd<T: AsRawFd>(inner: T) -> io::Result<AsyncFd<T>> {
    // SAFETY: only called with a listener and an epoll instance, which own their descriptor and never change it.
    unsafe { AsyncFd::register_with_interest(inner, Readiness::READABLE) }.map_err(io::Error::from)
}

fn token(id: Id) -> Token {
    Token(id.data().as_ffi() as usize)
}

/// The sockets and the tasks that serve them: carries out the actions of the connection table.
struct Sockets {
    registry: mio::Registry,
    by_id: SecondaryMap<Id, Socket>,
    router: Router,
    park: bool,
    draining: watch::Sender<bool>,
    mailbox: ManagerMailbox,
    started: Instant,
}

impl Sockets {
    fn watch(&self, id: Id, stream: &TcpStream) -> io::Result<()> {
        self.registry.register(
            &mut SourceFd(&stream.as_raw_fd()),
            token(id),
            Interest::READABLE,
        )
    }

    fn serve(&mut self, id: Id, stream: TcpStream, arrived: Option<Instant>, last: bool) {
        let exchange = ExchangeState::new(id, arrived, self.park, self.mailbox.clone());
        let stream = match tokio::net::TcpStream::from_std(stream) {
            Ok(stream) => stream,
            Err(error) => {
                warn!(connection = id.data().as_ffi(), reason = %error, "clients: a connection could not be served: {error}");
                return drop(self.mailbox.send(ConnectionReport::Event(Event::Ended(id))));
            }
        };
        let serving = serve(
            stream,
            exchange.clone(),
            self.router.clone(),
            last,
            self.draining.subscribe(),
        );
        self.by_id.insert(
            id,
            Socket::Served(tokio::spawn(serving).abort_handle(), exchange),
        );
    }

    /// Parks a connection that waits; returns an event if it could not be registered.
    fn park(&mut self, id: Id, stream: TcpStream) -> Option<Event> {
        // Data that arrives after the registration wakes it; data that arrived before does so at once.
        let registered = self.watch(id, &stream);
        self.by_id.insert(id, Socket::Parked(stream));
        registered.is_err().then_some(Event::ClientClosed(id))
    }

    /// The event that a wake-up stands for.
    fn on_wakeup(&mut self, id: Id) -> Option<Event> {
        match self.by_id.get(id)? {
            Socket::Parked(stream) => match peek(stream) {
                Peek::Readable => Some(Event::Readable(id)),
                Peek::Closed => Some(Event::ClientClosed(id)),
                Peek::Empty => None,
            },
            Socket::Rejected(stream) => (!discard(stream)).then_some(Event::ClientClosed(id)),
            Socket::Unwatched(_) | Socket::Served(..) => None,
        }
    }
}

impl Actions for Sockets {
    fn serve(&mut self, id: Id, readable_at: Duration, last: bool) {
        match self.by_id.remove(id) {
            Some(Socket::Parked(stream)) => {
                let _ = self.registry.deregister(&mut SourceFd(&stream.as_raw_fd()));
                self.serve(id, stream, Some(self.started + readable_at), last);
            }
            Some(Socket::Unwatched(stream)) => {
                self.serve(id, stream, Some(self.started + readable_at), last)
            }
            Some(Socket::Served(..) | Socket::Rejected(_)) | None => {}
        }
    }

    fn reject(&mut self, id: Id, retry_after: Duration) {
        let (Some(Socket::Parked(stream)) | Some(Socket::Unwatched(stream))) =
            self.by_id.remove(id)
        else {
            return;
        };
        trace!(connection = id.data().as_ffi(), "turned away");
        let retry_after_header = match retry_after.is_zero() {
            true => String::new(),
            false => format!("retry-after: {:.3}\r\n", retry_after.as_secs_f64()),
        };
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{retry_after_header}connection: close\r\ncontent-length: 7\r\n"
        );
        discard(&stream);
        // A few hundred bytes on a connection that was idle: its send buffer is empty, so the write is not cut short.
        let _ = (&stream).write_all(format!("{head}\r\nnacked\n").as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let reregistered = self.registry.reregister(
            &mut SourceFd(&stream.as_raw_fd()),
            token(id),
            Interest::READABLE,
        );
        if reregistered.is_err() {
            let _ = self.watch(id, &stream); // it was not registered before
        }
        self.by_id.insert(id, Socket::Rejected(stream));
    }

    fn close_if_idle(&mut self, id: Id, reason: CloseReason) -> CloseOutcome {
        let readable = match self.by_id.get(id) {
            Some(Socket::Parked(stream) | Socket::Unwatched(stream)) => {
                matches!(peek(stream), Peek::Readable)
            }
            Some(Socket::Served(_, exchange)) => exchange.stage() != Stage::Rest,
            Some(Socket::Rejected(_)) | None => false,
        };
        if readable {
            return CloseOutcome::Readable;
        }
        self.force_close(id, reason);
        CloseOutcome::Closed
    }

    fn force_close(&mut self, id: Id, reason: CloseReason) {
        trace!(connection = id.data().as_ffi(), reason = ?reason, "closed");
        if let Some(Socket::Served(serving, _)) = self.by_id.remove(id) {
            serving.abort();
        }
    }
}

/// How many connections are open, for the shutdown to wait for their end.
#[derive(Clone, Default)]
pub struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Accepts, parks, serves and closes clients' connections.
pub struct ConnectionManager {
    table: ConnectionTable,
    sockets: Sockets,
    listener: AsyncFd<TcpListener>,
    parked: AsyncFd<mio::Poll>,
    reports: mpsc::UnboundedReceiver<ConnectionReport>,
    events: mio::Events,
    keepalive: Option<TcpKeepalive>,
    open: OpenCount,
    log: RateLimitedLog,
    /// No connection is accepted until then.
    accept_pause: Option<Instant>,
    /// Whether there may be more wake-ups in the epoll instance.
    may_have_wakeups: bool,
    /// Whether more connections may wait to be accepted.
    may_have_connections: bool,
    logged_counts: StateCounts,
}

impl ConnectionManager {
    /// `keepalive` is how long a client may be silent before the kernel sends keep-alive probes; zero sends none.
    pub fn new(
        listener: TcpListener,
        limits: Limits,
        keepalive: Duration,
        router: Router,
    ) -> io::Result<ConnectionManager> {
        let parked = mio::Poll::new()?;
        let registry = parked.registry().try_clone()?;
        let parked = async_fd(parked)?;
        let (mailbox, reports) = mpsc::unbounded_channel();
        listener.set_nonblocking(true)?;
        let keepalive = (!keepalive.is_zero()).then(|| {
            TcpKeepalive::new()
                .with_time(keepalive)
                .with_interval(KEEPALIVE_INTERVAL.min(keepalive))
                .with_retries(KEEPALIVE_RETRIES)
        });
        Ok(ConnectionManager {
            table: ConnectionTable::new(limits),
            sockets: Sockets {
                registry,
                by_id: SecondaryMap::new(),
                router,
                park: limits.park,
                draining: watch::Sender::new(false),
                mailbox,
                started: Instant::now(),
            },
            listener: async_fd(listener)?,
            parked,
            reports,
            events: mio::Events::with_capacity(MAX_WAKEUPS_PER_TURN),
            keepalive,
            open: OpenCount::default(),
            log: RateLimitedLog::new("clients"),
            accept_pause: None,
            may_have_wakeups: false,
            may_have_connections: false,
            logged_counts: StateCounts::default(),
        })
    }

    /// A counter that is kept up to date.
    pub fn open_count(&self) -> OpenCount {
        self.open.clone()
    }

    /// Runs until dropped. `leaving` resolves once the relay shuts down: idle connections are closed then, and new
    /// ones get one response each.
    pub async fn run(mut self, leaving: impl std::future::Future<Output = ()>) {
        let mut leaving = std::pin::pin!(leaving);
        let mut is_draining = false;
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let now = Instant::now();
            let accept_pause = self.accept_pause.filter(|&accept_pause| accept_pause > now);
            let can_accept =
                accept_pause.is_none() && self.table.has_capacity(now - self.sockets.started);
            let has_work = self.may_have_wakeups
                || self.table.has_pending_work()
                || (self.may_have_connections && can_accept);
            tokio::select! {
                biased;
                () = &mut leaving, if !is_draining => {
                    is_draining = true;
                    self.sockets.draining.send_replace(true);
                    self.handle_event(Event::Drain);
                }
                report = self.reports.recv() => report.into_iter().for_each(|report| self.handle_report(report)),
                ready = self.parked.readable() => if let Ok(mut ready) = ready {
                    ready.clear_ready();
                    self.may_have_wakeups = true;
                },
                _ = ticks.tick(), if self.table.needs_ticks() || self.logged_counts != self.table.state_counts() => self.tick(),
                ready = async { self.listener.readable().await.map(|mut ready| ready.clear_ready()) }, if can_accept && !self.may_have_connections => {
                    self.may_have_connections = ready.is_ok();
                }
                () = sleep_until(accept_pause.unwrap_or(now)), if accept_pause.is_some() => {}
                () = tokio::task::yield_now(), if has_work => {
                    if self.may_have_wakeups {
                        self.poll_parked();
                    }
                    if self.table.has_pending_work() {
                        self.tick();
                    }
                    if self.may_have_connections && can_accept {
                        self.may_have_connections = self.accept();
                    }
                }
            }
            self.open
                .0
                .store(self.table.state_counts().open(), Ordering::Relaxed);
        }
    }

    fn now(&self) -> Duration {
        self.sockets.started.elapsed()
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        self.table.handle(now, event, &mut self.sockets);
    }

    fn handle_report(&mut self, report: ConnectionReport) {
        match report {
            ConnectionReport::Event(event) => {
                if let Event::Ended(id) = event {
                    self.sockets.by_id.remove(id);
                }
                self.handle_event(event);
            }
            // A connection that was closed in the meantime is not parked.
            ConnectionReport::Returned(id, stream) => {
                if self.sockets.by_id.contains_key(id) {
                    let event = self.sockets.park(id, stream);
                    self.handle_event(Event::Returned(id));
                    event.into_iter().for_each(|event| self.handle_event(event));
                }
            }
        }
    }

    fn tick(&mut self) {
        // Handles pending reports first: no connection is closed on an outdated state.
        while let Ok(report) = self.reports.try_recv() {
            self.handle_report(report);
        }
        let was_under_pressure = self.table.is_under_pressure();
        self.handle_event(Event::Tick);
        if self.table.is_under_pressure() && !was_under_pressure {
            let open = self.table.state_counts().open();
            self.log
                .warn(format!("{open} connections are open, idle ones are closed"));
        }
        self.log_counts();
    }

    /// Handles the wake-ups of one turn.
    fn poll_parked(&mut self) {
        self.may_have_wakeups = match self
            .parked
            .get_mut()
            .poll(&mut self.events, Some(Duration::ZERO))
        {
            Ok(()) => self.events.iter().count() == MAX_WAKEUPS_PER_TURN,
            Err(error) => error.kind() == ErrorKind::Interrupted,
        };
        let ids: Vec<Id> = self
            .events
            .iter()
            .map(|event| KeyData::from_ffi(event.token().0 as u64).into())
            .collect();
        for id in ids {
            let event = self.sockets.on_wakeup(id);
            event.into_iter().for_each(|event| self.handle_event(event));
        }
    }

    /// Accepts connections until there is none, the limit is reached, or the turn is over; returns whether there may
    /// be more.
    fn accept(&mut self) -> bool {
        for _ in 0..ACCEPTS_PER_TURN {
            if !self.table.has_capacity(self.now()) {
                return true;
            }
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => self.on_accepted(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) => {
                    self.log.warn(format!("accept: {error}"));
                    self.accept_pause = Some(Instant::now() + ACCEPT_PAUSE);
                    self.handle_event(Event::DescriptorsExhausted);
                    return true;
                }
            }
        }
        true
    }

    fn on_accepted(&mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        if let Some(keepalive) = &self.keepalive {
            let _ = SockRef::from(&stream).set_tcp_keepalive(keepalive);
        }
        let now = self.now();
        let Some(id) = self.table.open(now, &mut self.sockets) else {
            return;
        };
        if !self.sockets.park {
            let last = *self.sockets.draining.borrow();
            return self.sockets.serve(id, stream, None, last);
        }
        let event = match peek(&stream) {
            Peek::Readable => {
                self.sockets.by_id.insert(id, Socket::Unwatched(stream));
                Some(Event::Readable(id))
            }
            Peek::Empty => self.sockets.park(id, stream),
            Peek::Closed => {
                self.sockets.by_id.insert(id, Socket::Unwatched(stream));
                Some(Event::ClientClosed(id))
            }
        };
        event.into_iter().for_each(|event| self.handle_event(event));
    }

    /// Logs how many connections are in each state, when that has changed.
    fn log_counts(&mut self) {
        let counts = self.table.state_counts();
        if counts != self.logged_counts {
            self.logged_counts = counts;
            let StateCounts {
                fresh,
                parked,
                waking,
                head,
                task,
                rest,
                closing,
            } = counts;
            debug!(
                target: "beechcroft::connections",
                open = counts.open(), fresh, parked, waking, head, task, rest, closing,
                "connections: {} open, {parked} parked, {waking} waking, {task} with a task", counts.open()
            );
        }
    }
}
