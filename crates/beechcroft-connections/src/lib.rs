//! The state of clients' connections: which ones wait, are read, are rejected or are closed.
//!
//! The package does no I/O: time and events come in, actions go out. An idle connection costs one slot and no timer of
//! its own; one timing wheel serves all timeouts. `docs/design/connections.md` gives the reasons.
//!
//! The caller is the relay's socket layer. It keeps the sockets by [`Id`], reports [`Event`]s and carries out
//! [`Actions`]. The id of a closed connection is never used again, so a late event for it has no effect.

mod list;
mod wheel;

use list::{Links, List, STATE_LINKS};
use slotmap::{new_key_type, SlotMap};
use std::time::Duration;
use wheel::Wheel;

new_key_type! {
    /// A connection: its position in the slab, and how often that position has been used.
    pub struct Id;
}

/// All timeouts are rounded up to this: coarse enough for a single timer, and fine compared to the shortest timeout of
/// 0.15 s.
pub const TICK: Duration = Duration::from_millis(50);
/// The most connections that one call closes; [`ConnectionTable::has_pending_work`] tells whether others are due.
/// Closing one takes about 10 µs, so tasks are delayed by 2 ms at most.
pub const CLOSE_BATCH: usize = 128;
/// Estimated user memory of a parked connection in bytes: its slot here, its socket's entry at the caller, and the
/// allocator's overhead. The lab measures it (`docs/results/connections.md`).
pub const PARKED_CONNECTION_BYTES: usize = 256;
/// The shortest delay that a rejected client is given; with a shorter one it would only wait in the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Interval over which the rate of started reads is measured.
const READ_RATE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits that apply to all connections. Timeouts count from the event that they refer to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Whether a connection is parked between tasks. If not, the code that serves it keeps it from opening to closing.
    pub park: bool,
    /// Maximum number of open connections.
    pub max_open: usize,
    /// Maximum number of connections that wait for a request.
    pub max_idle: usize,
    /// Timeout for the first byte of a new connection.
    pub first_byte_timeout: Duration,
    /// Timeout for the next request after a response.
    pub idle_timeout: Duration,
    /// Timeout for a complete request head.
    pub head_timeout: Duration,
    /// When `head_timeout` starts.
    pub head_timeout_start: HeadTimeoutStart,
    /// Connections past their timeout that are closed in a second, provided that all can be closed within
    /// `max_close_delay`.
    pub expire_per_s: u32,
    /// The longest delay, apart from a tick, between a connection's timeout and its closing.
    pub max_close_delay: Duration,
    /// Maximum number of connections whose heads are read at once.
    pub max_concurrent_reads: usize,
    /// How long a connection counts towards `max_concurrent_reads`; if its head is incomplete by then, nothing more has
    /// arrived that could be read.
    pub read_slot_timeout: Duration,
    /// How long a connection with a request may wait to be read; later, no response would come in time.
    pub queue_timeout: Duration,
    /// The longest delay that a rejected client may be given; zero if none may be stated.
    pub max_retry_after: Duration,
    /// The relay is under connection pressure while more connections than this are open.
    pub pressure_threshold: usize,
    /// Under pressure, and if there is no capacity for a new connection, a connection that has waited for a request for
    /// this long may be closed.
    pub evict_after: Duration,
    /// After the relay starts draining, how long a connection without any request so far may take to send one.
    pub drain_timeout: Duration,
    /// How long a rejected connection is kept open, so that its client can read the response.
    pub linger_timeout: Duration,
}

/// When the timeout for a request head starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadTimeoutStart {
    /// When the connection is opened or its previous response ends: idle time and a slow head share one timeout.
    Idle,
    /// At the first byte of the head.
    FirstByte,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Open, and nothing has arrived yet.
    Fresh,
    /// Waits for the next request, and is not being served.
    Parked,
    /// Has a request and is queued to be read.
    Waking,
    /// Is being served.
    Active(ServingPhase),
    /// Rejected; kept until its client has read the response.
    Closing,
}

/// The progress of a connection that is being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingPhase {
    /// A request head has begun.
    Head,
    /// A task is in progress.
    Task,
    /// Between requests; only if connections are not parked.
    Rest,
}

/// What the caller reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Data can be read on a connection that is not being served.
    Readable(Id),
    /// The client closed the connection, and nothing is left to read.
    ClientClosed(Id),
    /// The first byte of a head was read; only reported if the connection was not queued before.
    HeadStarted(Id),
    /// The head is complete: from here on a task is in progress.
    HeadRead(Id),
    /// The response is complete, and the connection stays with the code that serves it.
    Answered(Id),
    /// The response is complete, nothing was read beyond the request, and the connection is given back to be parked.
    Returned(Id),
    /// The connection ended while it was served.
    Ended(Id),
    /// The process ran out of descriptors, although the limits were observed.
    DescriptorsExhausted,
    /// The relay shuts down.
    Drain,
    /// Time has passed. Report it each [`TICK`] while [`ConnectionTable::needs_ticks`], and again while
    /// [`ConnectionTable::has_pending_work`].
    Tick,
}

/// Why a connection is closed. The variants' names are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its idle timeout passed.
    Expired,
    /// The relay is under connection pressure.
    Crowded,
    /// Its place is needed for another connection, or too many are idle.
    Room,
    /// The relay shuts down.
    Leaving,
    /// Its head was not complete in time.
    HeadLate,
    /// It was rejected, and its client had time to read the response.
    TurnedAway,
    /// Its client closed it.
    Left,
}

/// The result of [`Actions::close_if_idle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseOutcome {
    Closed,
    /// It stays open: data had arrived on it.
    Readable,
}

/// What the caller carries out.
pub trait Actions {
    /// Serves a connection whose request has waited since `asked_at`. If `last`, its next response is its last.
    fn serve(&mut self, id: Id, asked_at: Duration, last: bool);
    /// Responds at once that the relay is overloaded, with a delay for the retry unless `retry_after` is zero, and
    /// discards what the client still sends.
    fn reject(&mut self, id: Id, retry_after: Duration);
    /// Closes a connection that is parked or between requests, unless data has arrived on it.
    fn close_if_idle(&mut self, id: Id, reason: CloseReason) -> CloseOutcome;
    /// Closes a connection in any state.
    fn force_close(&mut self, id: Id, reason: CloseReason);
}

/// One connection. A parked connection needs nothing else in this package.
struct Slot {
    state: State,
    /// Whether any request on it was answered.
    answered: bool,
    /// Whether it counts towards `Limits::max_concurrent_reads`.
    is_reading: bool,
    /// When it entered its state.
    since: Duration,
    /// Tick, rounded up, by which its head must be complete.
    head_deadline: u32,
    /// Tick of its next timeout, or one of `wheel::NOT_ARMED` and `wheel::OVERDUE`.
    due: u32,
    links: [Links; 2],
}

/// How many connections are in each state; the fields are named after the states and the serving phases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    pub fresh: usize,
    pub parked: usize,
    pub waking: usize,
    pub head: usize,
    pub task: usize,
    pub rest: usize,
    pub closing: usize,
}

impl StateCounts {
    /// All open connections.
    pub fn open(&self) -> usize {
        self.fresh + self.parked + self.waking + self.head + self.task + self.rest + self.closing
    }

    /// Connections that wait for a request.
    pub fn idle(&self) -> usize {
        self.fresh + self.parked + self.rest
    }

    fn of(&mut self, state: State) -> &mut usize {
        match state {
            State::Fresh => &mut self.fresh,
            State::Parked => &mut self.parked,
            State::Waking => &mut self.waking,
            State::Active(ServingPhase::Head) => &mut self.head,
            State::Active(ServingPhase::Task) => &mut self.task,
            State::Active(ServingPhase::Rest) => &mut self.rest,
            State::Closing => &mut self.closing,
        }
    }
}

/// All client connections of one relay.
pub struct ConnectionTable {
    limits: Limits,
    slots: SlotMap<Id, Slot>,
    counts: StateCounts,
    /// Connections that wait for a request, the longest waiting first.
    idle: List,
    /// Connections queued to be read, in the order of their requests.
    waking: List,
    /// Idle connections past their timeout, in the order of their timeouts.
    overdue: List,
    wheel: Wheel,
    /// Buffer for the connections due in a tick, kept to avoid an allocation.
    due_buffer: Vec<Id>,
    /// The number of slots with `is_reading` set.
    reading: usize,
    /// When draining began.
    draining_since: Option<Duration>,
    /// How many overdue connections may be closed now, and the rate at which this grows, a second.
    close_tokens: f64,
    expiry_rate: f64,
    last_tick: Duration,
    /// Reads started since `read_rate_since`, and the rate a second in the interval before it.
    reads_started: f64,
    read_rate: f64,
    read_rate_since: Duration,
    /// Whether there was connection pressure at the last check.
    under_pressure: bool,
    pending_work: bool,
}

impl ConnectionTable {
    /// An empty table.
    pub fn new(limits: Limits) -> ConnectionTable {
        ConnectionTable {
            limits,
            // Allocated in full: untouched pages are not resident, while growing would briefly need two slabs.
            slots: SlotMap::with_capacity_and_key(limits.max_open.min(1 << 20)),
            counts: StateCounts::default(),
            idle: List::default(),
            waking: List::default(),
            overdue: List::default(),
            wheel: Wheel::default(),
            due_buffer: Vec::new(),
            reading: 0,
            draining_since: None,
            close_tokens: 0.0,
            expiry_rate: 0.0,
            last_tick: Duration::ZERO,
            reads_started: 0.0,
            read_rate: 0.0,
            read_rate_since: Duration::ZERO,
            under_pressure: false,
            pending_work: false,
        }
    }

    /// How many connections are in each state.
    pub fn state_counts(&self) -> StateCounts {
        self.counts
    }

    /// The state of a connection, or `None` if it was closed.
    pub fn state(&self, id: Id) -> Option<State> {
        self.slots.get(id).map(|slot| slot.state)
    }

    /// Whether the last call left work undone; the caller reports [`Event::Tick`] again without waiting.
    pub fn has_pending_work(&self) -> bool {
        self.pending_work
    }

    /// Whether any timeout can pass, so that [`Event::Tick`] is needed.
    pub fn needs_ticks(&self) -> bool {
        !self.slots.is_empty()
    }

    /// Whether another connection can be accepted: there is a free place, or one can be freed.
    pub fn has_capacity(&self, now: Duration) -> bool {
        self.counts.open() < self.limits.max_open || self.evictable(now).is_some()
    }

    /// The connection that has waited longest for a request, if it has done so for `Limits::evict_after`.
    fn evictable(&self, now: Duration) -> Option<Id> {
        let first = self.idle.first()?;
        (now >= self.slots[first].since + self.limits.evict_after).then_some(first)
    }

    /// Adds a connection that was opened. The caller keeps its socket by the id, and reports [`Event::Readable`] if
    /// data has arrived. `None` if there is no capacity; the caller should then not accept any connections.
    pub fn open(&mut self, now: Duration, actions: &mut impl Actions) -> Option<Id> {
        while self.counts.open() >= self.limits.max_open {
            let evictable = self.evictable(now)?;
            self.close_idle(now, evictable, CloseReason::Room, actions);
        }
        let state = if self.limits.park {
            State::Fresh
        } else {
            State::Active(ServingPhase::Rest)
        };
        let id = self.slots.insert(Slot {
            state,
            answered: false,
            is_reading: false,
            since: now,
            head_deadline: 0,
            due: wheel::NOT_ARMED,
            links: Default::default(),
        });
        *self.counts.of(state) += 1;
        self.await_request(now, id);
        self.enforce_max_idle(now, actions);
        // If too many connections are idle, the new one itself may have been closed.
        self.slots.contains_key(id).then_some(id)
    }

    /// Handles an event. Events for connections that were closed, or that do not fit the state, have no effect.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut impl Actions) {
        match event {
            Event::Readable(id) => self.enqueue(now, id),
            Event::ClientClosed(id) => {
                if matches!(
                    self.state(id),
                    Some(State::Fresh | State::Parked | State::Waking | State::Closing)
                ) {
                    self.remove(id);
                    actions.force_close(id, CloseReason::Left);
                }
            }
            Event::HeadStarted(id) => {
                if self.state(id) == Some(State::Active(ServingPhase::Rest)) {
                    self.start_head(now, id);
                }
            }
            Event::HeadRead(id) => {
                if matches!(self.state(id), Some(State::Active(_))) {
                    self.set_state(now, id, State::Active(ServingPhase::Task));
                }
            }
            Event::Answered(id) => {
                self.finish_response(now, id, State::Active(ServingPhase::Rest));
            }
            Event::Returned(id) => self.finish_response(now, id, State::Parked),
            Event::Ended(id) => drop(self.remove(id)),
            Event::DescriptorsExhausted => {
                if let Some(first) = self.idle.first() {
                    self.close_idle(now, first, CloseReason::Room, actions);
                }
            }
            Event::Drain => self.drain(now),
            Event::Tick => self.tick(now, actions),
        }
        self.enforce_max_idle(now, actions);
        self.start_reads(now, actions);
    }

    /// The response is complete: the connection waits for the next request, in the given state.
    fn finish_response(&mut self, now: Duration, id: Id, state: State) {
        if let Some(State::Active(_)) = self.state(id) {
            self.set_state(now, id, state);
            self.slots[id].answered = true;
            self.await_request(now, id);
        }
    }

    /// Data arrived on an idle connection: queues it to be read. From now on it is owed a response.
    fn enqueue(&mut self, now: Duration, id: Id) {
        if matches!(self.state(id), Some(State::Fresh | State::Parked)) {
            let head_deadline = self.head_deadline(now, id);
            self.set_state(now, id, State::Waking);
            self.slots[id].head_deadline = head_deadline;
            self.waking.push(&mut self.slots, STATE_LINKS, id);
        }
    }

    /// The tick by which a head must be complete that starts now, on a connection that was idle until now.
    fn head_deadline(&self, now: Duration, id: Id) -> u32 {
        let start = match self.limits.head_timeout_start {
            HeadTimeoutStart::Idle => self.slots[id].since,
            HeadTimeoutStart::FirstByte => now,
        };
        let deadline = start + self.limits.head_timeout;
        wheel::ticks_ceil(match self.draining_since {
            Some(_) => deadline.min(now + self.limits.drain_timeout),
            None => deadline,
        })
    }

    /// Lets a connection wait for a request, starting now.
    fn await_request(&mut self, now: Duration, id: Id) {
        self.idle.push(&mut self.slots, STATE_LINKS, id);
        let slot = &self.slots[id];
        let until = match (self.draining_since, slot.answered) {
            (Some(_), true) => now, // closed in the next tick
            (Some(_), false) => now + self.limits.drain_timeout,
            (None, true) => now + self.limits.idle_timeout,
            (None, false) => now + self.limits.first_byte_timeout,
        };
        self.wheel
            .arm(&mut self.slots, id, wheel::ticks_ceil(until));
    }

    /// Removes a connection from all lists and sets its state.
    fn set_state(&mut self, now: Duration, id: Id, state: State) {
        self.unlink(id);
        let slot = &mut self.slots[id];
        *self.counts.of(slot.state) -= 1;
        *self.counts.of(state) += 1;
        slot.state = state;
        slot.since = now;
    }

    /// Removes a connection from all lists and from the wheel, and frees its read slot.
    fn unlink(&mut self, id: Id) {
        match self.slots[id].state {
            State::Fresh | State::Parked | State::Active(ServingPhase::Rest) => {
                self.idle.remove(&mut self.slots, STATE_LINKS, id);
            }
            State::Waking => self.waking.remove(&mut self.slots, STATE_LINKS, id),
            State::Active(_) | State::Closing => {}
        }
        if self.slots[id].due == wheel::OVERDUE {
            self.overdue.remove(&mut self.slots, wheel::TIMER_LINKS, id);
            self.slots[id].due = wheel::NOT_ARMED;
        }
        self.wheel.disarm(&mut self.slots, id);
        if std::mem::take(&mut self.slots[id].is_reading) {
            self.reading -= 1;
        }
    }

    /// Removes a connection from the table, if it is there.
    fn remove(&mut self, id: Id) -> Option<Slot> {
        self.slots.contains_key(id).then(|| self.unlink(id));
        let slot = self.slots.remove(id)?;
        *self.counts.of(slot.state) -= 1;
        Some(slot)
    }

    /// Closes an idle connection, unless data turns out to have arrived on it.
    fn close_idle(
        &mut self,
        now: Duration,
        id: Id,
        reason: CloseReason,
        actions: &mut impl Actions,
    ) {
        match actions.close_if_idle(id, reason) {
            CloseOutcome::Closed => drop(self.remove(id)),
            CloseOutcome::Readable if self.state(id) == Some(State::Active(ServingPhase::Rest)) => {
                self.start_head(now, id)
            }
            CloseOutcome::Readable => self.enqueue(now, id),
        }
    }

    /// The code that serves a connection reads a head, or is about to.
    fn start_head(&mut self, now: Duration, id: Id) {
        let head_deadline = self.head_deadline(now, id);
        self.set_state(now, id, State::Active(ServingPhase::Head));
        self.slots[id].head_deadline = head_deadline;
        self.wheel.arm(&mut self.slots, id, head_deadline);
    }

    /// Closes the longest idle connections while there are more than `Limits::max_idle`.
    fn enforce_max_idle(&mut self, now: Duration, actions: &mut impl Actions) {
        while self.counts.idle() > self.limits.max_idle {
            let Some(first) = self.idle.first() else {
                return;
            };
            self.close_idle(now, first, CloseReason::Room, actions);
        }
    }

    /// Serves queued connections in the order of their requests, up to `Limits::max_concurrent_reads`.
    fn start_reads(&mut self, now: Duration, actions: &mut impl Actions) {
        while self.reading < self.limits.max_concurrent_reads {
            let Some(id) = self.waking.first() else {
                return;
            };
            let asked_at = self.slots[id].since;
            self.set_state(now, id, State::Active(ServingPhase::Head));
            let slot = &mut self.slots[id];
            slot.is_reading = true;
            let until =
                wheel::ticks_ceil(now + self.limits.read_slot_timeout).min(slot.head_deadline);
            self.wheel.arm(&mut self.slots, id, until);
            self.reading += 1;
            self.reads_started += 1.0;
            actions.serve(id, asked_at, self.draining_since.is_some());
        }
    }

    /// Starts draining: idle connections with an answered request are closed at once, those without any request get
    /// `Limits::drain_timeout` to send one.
    fn drain(&mut self, now: Duration) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(now);
        let drain_deadline = wheel::ticks_ceil(now + self.limits.drain_timeout);
        let ids: Vec<Id> = self.slots.keys().collect();
        for id in ids {
            let slot = &self.slots[id];
            let due = match slot.state {
                State::Fresh | State::Parked | State::Active(ServingPhase::Rest)
                    if slot.answered =>
                {
                    wheel::ticks_ceil(now)
                }
                State::Fresh | State::Parked | State::Active(ServingPhase::Rest) => {
                    slot.due.min(drain_deadline)
                }
                State::Active(ServingPhase::Head) => {
                    self.slots[id].head_deadline = self.slots[id].head_deadline.min(drain_deadline);
                    self.slots[id].due.min(drain_deadline)
                }
                State::Waking | State::Active(ServingPhase::Task) | State::Closing => continue,
            };
            // Overdue connections stay overdue.
            if self.wheel.is_armed(&self.slots, id) {
                self.wheel.arm(&mut self.slots, id, due);
            }
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut impl Actions) {
        self.pending_work = false;
        self.reject_waiting(now, actions);
        self.run_timers(now, actions);
        self.close_overdue(now, actions);
        self.relieve_pressure(now, actions);
        if now >= self.read_rate_since + READ_RATE_INTERVAL {
            self.read_rate = self.reads_started / (now - self.read_rate_since).as_secs_f64();
            (self.reads_started, self.read_rate_since) = (0.0, now);
        }
        self.last_tick = now;
    }

    /// Rejects connections that have been queued for so long that no response would come in time.
    fn reject_waiting(&mut self, now: Duration, actions: &mut impl Actions) {
        let retry_after = self.retry_after();
        for _ in 0..CLOSE_BATCH {
            let Some(id) = self.waking.first() else {
                return;
            };
            if now < self.slots[id].since + self.limits.queue_timeout {
                return;
            }
            self.set_state(now, id, State::Closing);
            self.wheel.arm(
                &mut self.slots,
                id,
                wheel::ticks_ceil(now + self.limits.linger_timeout),
            );
            actions.reject(id, retry_after);
        }
        self.pending_work = true;
    }

    /// The time until the present queue will have been read at the present rate, within the limits for a stated delay.
    fn retry_after(&self) -> Duration {
        let delay_s = self.waking.len() as f64 / self.read_rate.max(1.0);
        let delay = Duration::try_from_secs_f64(delay_s).unwrap_or(Duration::MAX);
        delay.max(MIN_RETRY_AFTER).min(self.limits.max_retry_after)
    }

    /// Handles the timeouts that are due: idle connections become overdue, connections with a late head are closed.
    fn run_timers(&mut self, now: Duration, actions: &mut impl Actions) {
        let until = wheel::ticks_floor(now);
        let mut due = std::mem::take(&mut self.due_buffer);
        self.wheel.take_due(&mut self.slots, until, &mut due);
        for id in due.drain(..) {
            let slot = &mut self.slots[id];
            match slot.state {
                State::Fresh | State::Parked | State::Active(ServingPhase::Rest) => {
                    slot.due = wheel::OVERDUE;
                    self.overdue.push(&mut self.slots, wheel::TIMER_LINKS, id);
                }
                State::Active(ServingPhase::Head) if slot.head_deadline > until => {
                    // Its read slot is free again, but it may still complete its head until the deadline.
                    if std::mem::take(&mut slot.is_reading) {
                        self.reading -= 1;
                    }
                    let head_deadline = slot.head_deadline;
                    self.wheel.arm(&mut self.slots, id, head_deadline);
                }
                State::Active(ServingPhase::Head) => {
                    self.remove(id);
                    actions.force_close(id, CloseReason::HeadLate);
                }
                State::Closing => {
                    self.remove(id);
                    actions.force_close(id, CloseReason::TurnedAway);
                }
                // Never on the wheel.
                State::Waking | State::Active(ServingPhase::Task) => {}
            }
        }
        self.due_buffer = due;
    }

    /// Closes overdue connections at a limited rate that still closes all of them in time: with `n` overdue it is at
    /// least `n / max_close_delay`, and it does not fall while any are left.
    fn close_overdue(&mut self, now: Duration, actions: &mut impl Actions) {
        if self.overdue.len() == 0 {
            (self.close_tokens, self.expiry_rate) = (0.0, 0.0);
            return;
        }
        let max_close_delay = match self.draining_since {
            Some(_) => TICK, // the platform ends the process after a fixed time
            None => self.limits.max_close_delay,
        };
        let min_rate =
            self.overdue.len() as f64 / max_close_delay.as_secs_f64().max(TICK.as_secs_f64());
        self.expiry_rate = self
            .expiry_rate
            .max(min_rate)
            .max(self.limits.expire_per_s.into());
        self.close_tokens += self.expiry_rate
            * now
                .saturating_sub(self.last_tick)
                .min(max_close_delay)
                .as_secs_f64();
        for _ in 0..CLOSE_BATCH {
            if self.close_tokens < 1.0 {
                return;
            }
            let Some(id) = self.overdue.first() else {
                return;
            };
            self.close_tokens -= 1.0;
            let reason = if self.draining_since.is_some() {
                CloseReason::Leaving
            } else {
                CloseReason::Expired
            };
            self.close_idle(now, id, reason, actions);
        }
        self.pending_work = true;
    }

    /// Under connection pressure, closes connections that have been idle for `Limits::evict_after`.
    fn relieve_pressure(&mut self, now: Duration, actions: &mut impl Actions) {
        for _ in 0..CLOSE_BATCH {
            self.under_pressure = self.draining_since.is_none()
                && self.counts.open() > self.limits.pressure_threshold;
            if !self.under_pressure {
                return;
            }
            let Some(id) = self.evictable(now) else {
                return;
            };
            self.close_idle(now, id, CloseReason::Crowded, actions);
        }
        self.pending_work = true;
    }

    /// Whether more than `Limits::pressure_threshold` connections were open at the last tick, and the relay does not
    /// drain.
    pub fn is_under_pressure(&self) -> bool {
        self.under_pressure
    }

    /// Panics if an invariant is violated; for tests. Each list holds exactly the connections of its state, once and in
    /// order; the counts are correct; every connection that is neither queued nor in a task has a timeout.
    pub fn assert_invariants(&self) {
        let mut counts = StateCounts::default();
        let [idle, waking, overdue] = [&self.idle, &self.waking, &self.overdue];
        let (mut reading, mut idle_len, mut waking_len, mut overdue_len) = (0, 0, 0, 0);
        for (id, slot) in &self.slots {
            *counts.of(slot.state) += 1;
            reading += usize::from(slot.is_reading);
            let is_armed = self.wheel.is_armed(&self.slots, id);
            let is_overdue = slot.due == wheel::OVERDUE;
            overdue_len += usize::from(is_overdue);
            match slot.state {
                State::Fresh | State::Parked | State::Active(ServingPhase::Rest) => {
                    idle_len += 1;
                    assert!(
                        is_armed != is_overdue,
                        "{id:?} {:?}: must either have a timeout or be overdue",
                        slot.state
                    );
                }
                State::Waking => waking_len += 1,
                State::Active(ServingPhase::Head) | State::Closing => {
                    assert!(is_armed, "{id:?}: no timeout is set")
                }
                State::Active(ServingPhase::Task) => {
                    assert!(!is_armed, "{id:?}: a timeout is set during a task")
                }
            }
            assert!(!slot.is_reading || slot.state == State::Active(ServingPhase::Head));
        }
        assert_eq!(counts, self.counts);
        assert_eq!(reading, self.reading);
        assert_eq!(
            (idle_len, waking_len, overdue_len),
            (idle.len(), waking.len(), overdue.len())
        );
        for (list, links) in [
            (idle, STATE_LINKS),
            (waking, STATE_LINKS),
            (overdue, wheel::TIMER_LINKS),
        ] {
            assert_eq!(list.ids(&self.slots, links).count(), list.len());
        }
        let since = |id: Id| self.slots[id].since;
        for list in [idle, waking] {
            let order: Vec<_> = list.ids(&self.slots, STATE_LINKS).map(since).collect();
            assert!(order.is_sorted(), "a list is not ordered by time");
        }
    }
}
