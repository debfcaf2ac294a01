//! The lot: where clients' connections are accepted, and parked while nothing is asked on them. Parked sockets lie in an
//! epoll of their own, which the runtime watches as one descriptor, so that each costs neither a task nor a timer. Which
//! of them is served, answered or closed is `beechcroft-connections`' to say; this carries it out.

use crate::wire::budget::{ACCEPTS, ACCEPT_PAUSE, PROBES, PROBE_GAP};
use crate::wire::serving::{serve, Gate, LotMailbox, Stage, Told};
use crate::wire::sparse::Sparse;
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

/// Wake-ups taken in one turn, so that a burst of them lets others have theirs.
const WAKES: usize = 1024;
/// What one that was turned away may send in a turn, to be thrown away.
const DRAIN: usize = 64 * 1024;

/// A connection's socket, with whom it lies.
enum Held {
    /// Nobody watches it: something has arrived, or it was accepted this moment.
    Here(TcpStream),
    /// Parked in the epoll.
    Watched(TcpStream),
    Served(AbortHandle, Arc<Gate>),
    /// Answered and shut for writing; what it still sends is thrown away.
    TurnedAway(TcpStream),
}

/// What came of a look at a socket.
enum Look {
    Asks,
    Nothing,
    Left,
}

fn look(stream: &TcpStream) -> Look {
    match stream.peek(&mut [0]) {
        Ok(0) => Look::Left,
        Ok(_) => Look::Asks,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            Look::Nothing
        }
        Err(_) => Look::Left,
    }
}

/// Reads and throws away; whether the client may still send.
fn drain(mut stream: &TcpStream) -> bool {
    let mut room = [0; 4096];
    for _ in 0..DRAIN / room.len() {
        match stream.read(&mut room) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
    true
}

/// What the runtime is to watch for something to read.
fn owned<T: AsRawFd>(inner: T) -> io::Result<AsyncFd<T>> {
    // SAFETY: only called with a listener and an epoll, which own their descriptor and never give it up or another one.
    unsafe { AsyncFd::register_with_interest(inner, Readiness::READABLE) }.map_err(io::Error::from)
}

fn token(id: Id) -> Token {
    Token(id.data().as_ffi() as usize)
}

/// The sockets, and what serves them: carries actions out.
struct Sockets {
    registry: mio::Registry,
    held: SecondaryMap<Id, Held>,
    router: Router,
    park: bool,
    leave: watch::Sender<bool>,
    mailbox: LotMailbox,
    began: Instant,
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
        let gate = Gate::new(id, arrived, self.park, self.mailbox.clone());
        let stream = match tokio::net::TcpStream::from_std(stream) {
            Ok(stream) => stream,
            Err(error) => {
                warn!(connection = id.data().as_ffi(), reason = %error, "clients: a connection could not be served: {error}");
                return drop(self.mailbox.send(Told::Of(Event::Ended(id))));
            }
        };
        let serving = serve(
            stream,
            gate.clone(),
            self.router.clone(),
            last,
            self.leave.subscribe(),
        );
        self.held
            .insert(id, Held::Served(tokio::spawn(serving).abort_handle(), gate));
    }

    /// Parks one that waits; what to tell of it, where something has come already.
    fn park(&mut self, id: Id, stream: TcpStream) -> Option<Event> {
        // Whatever comes from now on wakes it; what has come before does so at once.
        let watched = self.watch(id, &stream);
        self.held.insert(id, Held::Watched(stream));
        watched.is_err().then_some(Event::ClientClosed(id))
    }

    /// What a wake-up means.
    fn woken(&mut self, id: Id) -> Option<Event> {
        match self.held.get(id)? {
            Held::Watched(stream) => match look(stream) {
                Look::Asks => Some(Event::Readable(id)),
                Look::Left => Some(Event::ClientClosed(id)),
                Look::Nothing => None,
            },
            Held::TurnedAway(stream) => (!drain(stream)).then_some(Event::ClientClosed(id)),
            Held::Here(_) | Held::Served(..) => None,
        }
    }
}

impl Actions for Sockets {
    fn serve(&mut self, id: Id, asked_at: Duration, last: bool) {
        match self.held.remove(id) {
            Some(Held::Watched(stream)) => {
                let _ = self.registry.deregister(&mut SourceFd(&stream.as_raw_fd()));
                self.serve(id, stream, Some(self.began + asked_at), last);
            }
            Some(Held::Here(stream)) => self.serve(id, stream, Some(self.began + asked_at), last),
            Some(Held::Served(..) | Held::TurnedAway(_)) | None => {}
        }
    }

    fn reject(&mut self, id: Id, hold_off: Duration) {
        let (Some(Held::Watched(stream)) | Some(Held::Here(stream))) = self.held.remove(id) else {
            return;
        };
        trace!(connection = id.data().as_ffi(), "turned away");
        let after = match hold_off.is_zero() {
            true => String::new(),
            false => format!("retry-after: {:.3}\r\n", hold_off.as_secs_f64()),
        };
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{after}connection: close\r\ncontent-length: 7\r\n"
        );
        drain(&stream);
        // A few hundred bytes on a connection that waited: its send buffer is empty.
        let _ = (&stream).write_all(format!("{head}\r\nnacked\n").as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let again = self.registry.reregister(
            &mut SourceFd(&stream.as_raw_fd()),
            token(id),
            Interest::READABLE,
        );
        if again.is_err() {
            let _ = self.watch(id, &stream); // it was not watched before
        }
        self.held.insert(id, Held::TurnedAway(stream));
    }

    fn close_if_idle(&mut self, id: Id, why: CloseReason) -> CloseOutcome {
        let asks = match self.held.get(id) {
            Some(Held::Watched(stream) | Held::Here(stream)) => matches!(look(stream), Look::Asks),
            Some(Held::Served(_, gate)) => gate.stage() != Stage::Rest,
            Some(Held::TurnedAway(_)) | None => false,
        };
        if asks {
            return CloseOutcome::Readable;
        }
        self.force_close(id, why);
        CloseOutcome::Closed
    }

    fn force_close(&mut self, id: Id, why: CloseReason) {
        trace!(connection = id.data().as_ffi(), reason = ?why, "closed");
        if let Some(Held::Served(serving, _)) = self.held.remove(id) {
            serving.abort();
        }
    }
}

/// How many connections are open, for who waits for their end.
#[derive(Clone, Default)]
pub struct Open(Arc<AtomicUsize>);

impl Open {
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

pub struct Lot {
    all: ConnectionTable,
    sockets: Sockets,
    listener: AsyncFd<TcpListener>,
    wakes: AsyncFd<mio::Poll>,
    told: mpsc::UnboundedReceiver<Told>,
    events: mio::Events,
    probe: Option<TcpKeepalive>,
    open: Open,
    odd: Sparse,
    /// No connection is accepted until then.
    pause: Option<Instant>,
    /// Whether more wake-ups may lie in the epoll.
    woken: bool,
    /// Whether more connections may wait to be accepted.
    waiting: bool,
    shown: StateCounts,
}

impl Lot {
    /// `probe` is for how long a client may be silent before its machine is asked after; zero asks nobody.
    pub fn new(
        listener: TcpListener,
        limits: Limits,
        probe: Duration,
        router: Router,
    ) -> io::Result<Lot> {
        let parked = mio::Poll::new()?;
        let registry = parked.registry().try_clone()?;
        let wakes = owned(parked)?;
        let (mailbox, told) = mpsc::unbounded_channel();
        listener.set_nonblocking(true)?;
        let probe = (!probe.is_zero()).then(|| {
            TcpKeepalive::new()
                .with_time(probe)
                .with_interval(PROBE_GAP.min(probe))
                .with_retries(PROBES)
        });
        Ok(Lot {
            all: ConnectionTable::new(limits),
            sockets: Sockets {
                registry,
                held: SecondaryMap::new(),
                router,
                park: limits.park,
                leave: watch::Sender::new(false),
                mailbox,
                began: Instant::now(),
            },
            listener: owned(listener)?,
            wakes,
            told,
            events: mio::Events::with_capacity(WAKES),
            probe,
            open: Open::default(),
            odd: Sparse::new("clients"),
            pause: None,
            woken: false,
            waiting: false,
            shown: StateCounts::default(),
        })
    }

    pub fn open(&self) -> Open {
        self.open.clone()
    }

    /// Until dropped. `leaving` ends once the relay leaves: kept connections close then, new ones get one answer each.
    pub async fn run(mut self, leaving: impl std::future::Future<Output = ()>) {
        let mut leaving = std::pin::pin!(leaving);
        let mut leaves = false;
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let now = Instant::now();
            let pause = self.pause.filter(|&pause| pause > now);
            let has_room = pause.is_none() && self.all.has_capacity(now - self.sockets.began);
            let at_once = self.woken || self.all.has_pending_work() || (self.waiting && has_room);
            tokio::select! {
                biased;
                () = &mut leaving, if !leaves => {
                    leaves = true;
                    self.sockets.leave.send_replace(true);
                    self.tell(Event::Drain);
                }
                told = self.told.recv() => told.into_iter().for_each(|told| self.told(told)),
                ready = self.wakes.readable() => if let Ok(mut ready) = ready {
                    ready.clear_ready();
                    self.woken = true;
                },
                _ = ticks.tick(), if self.all.needs_ticks() || self.shown != self.all.state_counts() => self.tick(),
                ready = async { self.listener.readable().await.map(|mut ready| ready.clear_ready()) }, if has_room && !self.waiting => {
                    self.waiting = ready.is_ok();
                }
                () = sleep_until(pause.unwrap_or(now)), if pause.is_some() => {}
                () = tokio::task::yield_now(), if at_once => {
                    if self.woken {
                        self.wake();
                    }
                    if self.all.has_pending_work() {
                        self.tick();
                    }
                    if self.waiting && has_room {
                        self.waiting = self.accept();
                    }
                }
            }
            self.open
                .0
                .store(self.all.state_counts().open(), Ordering::Relaxed);
        }
    }

    fn now(&self) -> Duration {
        self.sockets.began.elapsed()
    }

    fn tell(&mut self, event: Event) {
        let now = self.now();
        self.all.handle(now, event, &mut self.sockets);
    }

    fn told(&mut self, told: Told) {
        match told {
            Told::Of(event) => {
                if let Event::Ended(id) = event {
                    self.sockets.held.remove(id);
                }
                self.tell(event);
            }
            // One that was cut meanwhile is not parked.
            Told::Returned(id, stream) => {
                if self.sockets.held.contains_key(id) {
                    let event = self.sockets.park(id, stream);
                    self.tell(Event::Returned(id));
                    event.into_iter().for_each(|event| self.tell(event));
                }
            }
        }
    }

    fn tick(&mut self) {
        // Nobody is cut for what was told already.
        while let Ok(told) = self.told.try_recv() {
            self.told(told);
        }
        let crowded = self.all.is_under_pressure();
        self.tell(Event::Tick);
        if self.all.is_under_pressure() && !crowded {
            let open = self.all.state_counts().open();
            self.odd
                .warn(format!("{open} connections are open, idle ones are closed"));
        }
        self.show();
    }

    /// Takes the wake-ups of a turn.
    fn wake(&mut self) {
        self.woken = match self
            .wakes
            .get_mut()
            .poll(&mut self.events, Some(Duration::ZERO))
        {
            Ok(()) => self.events.iter().count() == WAKES,
            Err(error) => error.kind() == ErrorKind::Interrupted,
        };
        let ids: Vec<Id> = self
            .events
            .iter()
            .map(|event| KeyData::from_ffi(event.token().0 as u64).into())
            .collect();
        for id in ids {
            let event = self.sockets.woken(id);
            event.into_iter().for_each(|event| self.tell(event));
        }
    }

    /// Takes connections until there is none, no room, or others are due; whether there may be more.
    fn accept(&mut self) -> bool {
        for _ in 0..ACCEPTS {
            if !self.all.has_capacity(self.now()) {
                return true;
            }
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => self.opened(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) => {
                    self.odd.warn(format!("accept: {error}"));
                    self.pause = Some(Instant::now() + ACCEPT_PAUSE);
                    self.tell(Event::DescriptorsExhausted);
                    return true;
                }
            }
        }
        true
    }

    fn opened(&mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        if let Some(probe) = &self.probe {
            let _ = SockRef::from(&stream).set_tcp_keepalive(probe);
        }
        let now = self.now();
        let Some(id) = self.all.open(now, &mut self.sockets) else {
            return;
        };
        if !self.sockets.park {
            let last = *self.sockets.leave.borrow();
            return self.sockets.serve(id, stream, None, last);
        }
        let event = match look(&stream) {
            Look::Asks => {
                self.sockets.held.insert(id, Held::Here(stream));
                Some(Event::Readable(id))
            }
            Look::Nothing => self.sockets.park(id, stream),
            Look::Left => {
                self.sockets.held.insert(id, Held::Here(stream));
                Some(Event::ClientClosed(id))
            }
        };
        event.into_iter().for_each(|event| self.tell(event));
    }

    /// Says how many connections are in each state, as that changes.
    fn show(&mut self) {
        let fill = self.all.state_counts();
        if fill != self.shown {
            self.shown = fill;
            let StateCounts {
                fresh,
                parked,
                waking,
                head,
                task,
                rest,
                closing,
            } = fill;
            debug!(
                target: "beechcroft::connections",
                open = fill.open(), fresh, parked, waking, head, task, rest, closing,
                "connections: {} open, {parked} parked, {waking} waking, {task} with a task", fill.open()
            );
        }
    }
}
