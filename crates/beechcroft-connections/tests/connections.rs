//! Random sequences of events checked against the invariants, and the difficult cases one by one.

use beechcroft_connections::{
    Actions, CloseOutcome, CloseReason, ConnectionTable, Event, HeadTimeoutStart, Id, Limits,
    ServingPhase, State, CLOSE_BATCH, TICK,
};
use expect_test::expect;
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits() -> Limits {
    Limits {
        park: true,
        max_open: 20_000,
        max_idle: 20_000,
        first_byte_timeout: ms(2000),
        idle_timeout: ms(10_000),
        head_timeout: ms(2100),
        head_timeout_start: HeadTimeoutStart::FirstByte,
        expire_per_s: 1000,
        max_close_delay: ms(4000),
        max_concurrent_reads: 64,
        read_slot_timeout: ms(50),
        queue_timeout: ms(500),
        max_retry_after: ms(1500),
        pressure_threshold: usize::MAX,
        evict_after: ms(150),
        drain_timeout: ms(1000),
        linger_timeout: ms(500),
    }
}

/// What the caller knows of one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Known {
    Idle {
        since: Duration,
        answered: bool,
    },
    Queued {
        since: Duration,
    },
    /// Being read; `since` is when its request arrived.
    Head {
        since: Duration,
    },
    Task,
    Closing {
        since: Duration,
    },
}

/// The caller: carries out actions on a model, and fails if one is not allowed.
#[derive(Default)]
struct Model {
    now: Duration,
    known: BTreeMap<Id, Known>,
    /// Connections with a request, in the order of their requests.
    queue: VecDeque<Id>,
    /// Connections on which data has arrived that was not reported.
    arrived: Vec<Id>,
    served: Vec<Id>,
    rejected: Vec<(Id, Duration)>,
    closed: Vec<(Id, CloseReason)>,
}

impl Actions for Model {
    fn serve(&mut self, id: Id, asked_at: Duration, _last: bool) {
        assert_eq!(
            self.queue.pop_front(),
            Some(id),
            "not the first in the queue"
        );
        assert_eq!(
            self.known.insert(id, Known::Head { since: asked_at }),
            Some(Known::Queued { since: asked_at })
        );
        self.served.push(id);
    }
    fn reject(&mut self, id: Id, retry_after: Duration) {
        assert_eq!(
            self.queue.pop_front(),
            Some(id),
            "not the first in the queue"
        );
        let before = self.known.insert(id, Known::Closing { since: self.now });
        assert!(
            matches!(before, Some(Known::Queued { since }) if self.now >= since + limits().queue_timeout)
        );
        self.rejected.push((id, retry_after));
    }
    fn close_if_idle(&mut self, id: Id, reason: CloseReason) -> CloseOutcome {
        assert!(
            matches!(self.known[&id], Known::Idle { .. }),
            "closed: {:?}",
            self.known[&id]
        );
        if let Some(index) = self.arrived.iter().position(|&other| other == id) {
            self.arrived.swap_remove(index);
            self.enqueue(id);
            return CloseOutcome::Readable;
        }
        self.known.remove(&id);
        self.closed.push((id, reason));
        CloseOutcome::Closed
    }
    fn force_close(&mut self, id: Id, reason: CloseReason) {
        let known = self.known.remove(&id).expect("closed twice");
        match reason {
            CloseReason::HeadLate => {
                assert!(
                    matches!(known, Known::Head { since } if self.now >= since + ms(900)),
                    "{known:?} at {:?}",
                    self.now
                );
            }
            CloseReason::TurnedAway => assert!(matches!(known, Known::Closing { .. })),
            CloseReason::Left => assert_ne!(known, Known::Task),
            _ => panic!("closed by force for {reason:?}"),
        }
        self.queue.retain(|&other| other != id);
        self.closed.push((id, reason));
    }
}

impl Model {
    fn enqueue(&mut self, id: Id) {
        self.known.insert(id, Known::Queued { since: self.now });
        self.queue.push_back(id);
    }

    fn open(&mut self, table: &mut ConnectionTable) -> Option<Id> {
        let id = table.open(self.now, self)?;
        self.known.insert(
            id,
            Known::Idle {
                since: self.now,
                answered: false,
            },
        );
        Some(id)
    }

    fn report(&mut self, table: &mut ConnectionTable, event: Event) {
        let now = self.now;
        table.handle(now, event, self);
    }

    /// A request arrives, and the caller reports it.
    fn request_arrives(&mut self, table: &mut ConnectionTable, id: Id) {
        self.enqueue(id);
        self.report(table, Event::Readable(id));
    }

    /// The head of a served connection is complete.
    fn head_read(&mut self, table: &mut ConnectionTable, id: Id) {
        self.known.insert(id, Known::Task);
        self.report(table, Event::HeadRead(id));
    }

    fn respond(&mut self, table: &mut ConnectionTable, id: Id) {
        self.known.insert(
            id,
            Known::Idle {
                since: self.now,
                answered: true,
            },
        );
        self.report(table, Event::Returned(id));
    }

    fn tick(&mut self, table: &mut ConnectionTable) {
        self.now += TICK;
        self.report(table, Event::Tick);
        while table.has_pending_work() {
            self.report(table, Event::Tick);
        }
    }

    fn ticks(&mut self, table: &mut ConnectionTable, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick(table);
        }
    }

    /// The table agrees with what the caller knows, and no connection has exceeded its timeout.
    fn check(&self, table: &ConnectionTable, limits: &Limits) {
        table.assert_invariants();
        assert_eq!(
            table.state_counts().open(),
            self.known.len(),
            "a connection was lost"
        );
        let slack = TICK * 2;
        for (&id, &known) in &self.known {
            let state = table.state(id).expect("a connection was lost");
            let deadline = match known {
                Known::Idle { since, answered } => {
                    assert!(matches!(state, State::Fresh | State::Parked));
                    let keep = if answered {
                        limits.idle_timeout
                    } else {
                        limits.first_byte_timeout
                    };
                    since + keep + limits.max_close_delay
                }
                Known::Queued { since } => {
                    assert_eq!(state, State::Waking);
                    since + limits.queue_timeout
                }
                Known::Head { since } => {
                    assert_eq!(state, State::Active(ServingPhase::Head));
                    since + limits.head_timeout
                }
                Known::Task => {
                    assert_eq!(state, State::Active(ServingPhase::Task));
                    continue;
                }
                Known::Closing { since } => {
                    assert_eq!(state, State::Closing);
                    since + limits.linger_timeout
                }
            };
            assert!(
                self.now <= deadline + slack,
                "{id:?} {known:?} at {:?}: past its timeout",
                self.now
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    /// Data arrives and is not reported yet.
    Arrive(usize),
    /// A request arrives and is reported.
    Request(usize),
    ClientCloses(usize),
    HeadRead(usize),
    Respond(usize),
    /// A served connection ends.
    End(usize),
    /// Late events for a closed connection.
    Stale(usize),
    DescriptorsExhausted,
    Drain,
    Tick(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Open),
        4 => any::<usize>().prop_map(Step::Arrive),
        6 => any::<usize>().prop_map(Step::Request),
        1 => any::<usize>().prop_map(Step::ClientCloses),
        6 => any::<usize>().prop_map(Step::HeadRead),
        6 => any::<usize>().prop_map(Step::Respond),
        1 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Stale),
        1 => Just(Step::DescriptorsExhausted),
        1 => (0..40u8).prop_map(|n| if n == 0 { Step::Drain } else { Step::Tick(n) }),
        6 => (1..4u8).prop_map(Step::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_connection_is_lost_or_closed_during_a_task_and_timeouts_and_queue_order_hold(
        steps in prop::collection::vec(step(), 1..300),
        most in 1usize..40, most_idle in 1usize..40, crowd in 5usize..60, at_once in 1usize..6,
        rate in 1u32..50, late in 200u64..3000,
    ) {
        let limits = Limits {
            max_open: most, max_idle: most_idle, pressure_threshold: crowd, max_concurrent_reads: at_once, expire_per_s: rate, max_close_delay: ms(late), ..limits()
        };
        let mut table = ConnectionTable::new(limits);
        let mut model = Model::default();
        let mut closed_ids = Vec::new();
        for step in steps {
            let choose = |model: &Model, n: usize, matching: fn(&Known) -> bool| {
                let candidates: Vec<Id> = model.known.iter().filter(|(_, known)| matching(known)).map(|(&id, _)| id).collect();
                (!candidates.is_empty()).then(|| candidates[n % candidates.len()])
            };
            let idle = |known: &Known| matches!(known, Known::Idle { .. });
            match step {
                Step::Open => {
                    let has_capacity = table.has_capacity(model.now);
                    let opened = model.open(&mut table).is_some();
                    prop_assert!(has_capacity || !opened, "opened without capacity");
                }
                Step::Arrive(n) => {
                    let id = choose(&model, n, idle);
                    let id = id.filter(|id| !model.arrived.contains(id));
                    model.arrived.extend(id);
                }
                Step::Request(n) => if let Some(id) = choose(&model, n, idle) {
                    model.arrived.retain(|&other| other != id);
                    model.request_arrives(&mut table, id);
                },
                Step::ClientCloses(n) => if let Some(id) = choose(&model, n, |known| !matches!(known, Known::Task | Known::Head { .. })) {
                    model.arrived.retain(|&other| other != id);
                    model.report(&mut table, Event::ClientClosed(id));
                    prop_assert!(!model.known.contains_key(&id));
                    closed_ids.push(id);
                },
                Step::HeadRead(n) => if let Some(id) = choose(&model, n, |known| matches!(known, Known::Head { .. })) {
                    model.head_read(&mut table, id);
                },
                Step::Respond(n) => if let Some(id) = choose(&model, n, |known| *known == Known::Task) {
                    model.respond(&mut table, id);
                },
                Step::End(n) => if let Some(id) = choose(&model, n, |known| matches!(known, Known::Task | Known::Head { .. })) {
                    model.known.remove(&id);
                    model.report(&mut table, Event::Ended(id));
                    closed_ids.push(id);
                },
                // Events that were still queued when the connection was closed and its slot was reused.
                Step::Stale(n) => if let Some(&id) = closed_ids.get(n % closed_ids.len().max(1)) {
                    for event in [Event::Readable, Event::ClientClosed, Event::HeadRead, Event::Returned, Event::Ended] {
                        model.report(&mut table, event(id));
                    }
                },
                Step::DescriptorsExhausted => model.report(&mut table, Event::DescriptorsExhausted),
                Step::Drain => model.report(&mut table, Event::Drain),
                Step::Tick(n) => (0..n).for_each(|_| model.tick(&mut table)),
            }
            model.arrived.retain(|id| matches!(model.known.get(id), Some(Known::Idle { .. })));
            model.check(&table, &limits);
            prop_assert!(table.state_counts().idle() <= most_idle && table.state_counts().open() <= most);
        }
        // Every connection is closed in the end.
        for id in model.known.iter().filter(|(_, known)| **known == Known::Task).map(|(&id, _)| id).collect::<Vec<_>>() {
            model.respond(&mut table, id);
        }
        model.ticks(&mut table, ms(60_000));
        prop_assert!(model.known.is_empty() && !table.needs_ticks());
    }
}

#[test]
fn connections_opened_in_one_second_are_closed_at_a_bounded_rate_and_in_time() {
    let limits = limits();
    let (mut table, mut model) = (ConnectionTable::new(limits), Model::default());
    for nth in 0..17_000 {
        model.now = Duration::from_micros(nth * 58);
        model.open(&mut table).unwrap();
    }
    let mut most = 0;
    for _ in 0..200 {
        let before = model.closed.len();
        model.tick(&mut table);
        most = most.max(model.closed.len() - before);
        // All are closed within 4 s of their timeouts; 17,000 in 4 s are 213 a tick.
        let last = limits.first_byte_timeout + ms(1000) + limits.max_close_delay + TICK;
        assert!(
            model.now <= last || model.known.is_empty(),
            "{} are late",
            model.known.len()
        );
    }
    assert_eq!(model.closed.len(), 17_000);
    assert!(model
        .closed
        .iter()
        .all(|(_, reason)| *reason == CloseReason::Expired));
    assert!((50..=214).contains(&most), "{most} closed in one tick");
}

#[test]
fn a_burst_of_requests_is_read_in_order_a_few_at_once_and_late_ones_are_rejected() {
    let (mut table, mut model) = (ConnectionTable::new(limits()), Model::default());
    let ids: Vec<Id> = (0..10_000)
        .map(|_| model.open(&mut table).unwrap())
        .collect();
    for &id in &ids {
        model.request_arrives(&mut table, id);
    }
    assert_eq!(model.served, ids[..64]);
    // In each tick all heads that are being read are completed and answered.
    for _ in 0..40 {
        // 64 are being read, and 64 more were a tick ago.
        assert!(table.state_counts().head <= 128);
        for id in std::mem::take(&mut model.served) {
            model.head_read(&mut table, id);
            model.respond(&mut table, id);
        }
        model.tick(&mut table);
        model.check(&table, &limits());
    }
    let rejected = model.rejected.len();
    let answered = table.state_counts().parked;
    assert_eq!(table.state_counts().waking, 0);
    assert!(
        rejected > 0 && rejected + answered == 10_000,
        "{rejected} rejected, {answered} answered"
    );
    assert!(model
        .rejected
        .iter()
        .all(|(_, retry_after)| *retry_after == ms(1500)));
}

#[test]
fn a_first_byte_without_more_does_not_block_the_queue_and_is_closed_in_time() {
    let limits = Limits {
        max_concurrent_reads: 2,
        ..limits()
    };
    let (mut table, mut model) = (ConnectionTable::new(limits), Model::default());
    let [slow, slower, quick] = [(); 3].map(|()| model.open(&mut table).unwrap());
    for id in [slow, slower, quick] {
        model.request_arrives(&mut table, id);
    }
    assert_eq!(model.served, [slow, slower]);
    model.ticks(&mut table, ms(100));
    assert_eq!(model.served, [slow, slower, quick]);
    model.head_read(&mut table, quick);
    model.ticks(&mut table, ms(1900));
    assert_eq!(table.state_counts().head, 2);
    model.ticks(&mut table, ms(150));
    assert_eq!(
        model.closed,
        [
            (slow, CloseReason::HeadLate),
            (slower, CloseReason::HeadLate)
        ]
    );
}

#[test]
fn the_longest_idle_connections_are_evicted_and_never_one_with_a_task_or_a_partial_head() {
    let limits = Limits {
        max_open: 4,
        ..limits()
    };
    let (mut table, mut model) = (ConnectionTable::new(limits), Model::default());
    let [task, half, old, young] = [(); 4].map(|()| {
        model.now += ms(10);
        model.open(&mut table).unwrap()
    });
    model.request_arrives(&mut table, task);
    model.request_arrives(&mut table, half);
    model.head_read(&mut table, task);
    assert!(!table.has_capacity(model.now) && model.open(&mut table).is_none()); // all are too recent to be evicted
    model.ticks(&mut table, ms(200));
    let first = model.open(&mut table).unwrap();
    assert_eq!(model.closed, [(old, CloseReason::Room)]);
    model.arrived.push(young); // data has arrived that was not reported
    model.report(&mut table, Event::DescriptorsExhausted);
    assert_eq!(
        model.known.get(&young),
        Some(&Known::Head { since: model.now })
    );
    model.report(&mut table, Event::DescriptorsExhausted);
    model.report(&mut table, Event::DescriptorsExhausted);
    assert_eq!(
        model.closed,
        [(old, CloseReason::Room), (first, CloseReason::Room)]
    );
    assert!(!table.has_capacity(model.now + ms(500)) || table.state_counts().open() < 4);
    assert_eq!(table.state_counts().task + table.state_counts().head, 3);
}

#[test]
fn draining_closes_answered_connections_serves_requests_and_waits_a_second_for_a_first_request() {
    let (mut table, mut model) = (ConnectionTable::new(limits()), Model::default());
    let ids: Vec<Id> = (0..5000).map(|_| model.open(&mut table).unwrap()).collect();
    let (answered, fresh) = ids.split_at(4000);
    for &id in answered {
        model.request_arrives(&mut table, id);
        model.head_read(&mut table, id);
        model.respond(&mut table, id);
    }
    model.arrived = answered[..10].to_vec(); // their requests arrive together with the signal
    model.report(&mut table, Event::Drain);
    model.now += TICK;
    model.report(&mut table, Event::Tick);
    assert_eq!(model.closed.len(), CLOSE_BATCH - 10); // other work runs between batches
    while table.has_pending_work() {
        model.report(&mut table, Event::Tick);
    }
    assert_eq!(model.closed.len(), 3990);
    assert_eq!(
        (table.state_counts().head, table.state_counts().fresh),
        (10, fresh.len())
    );
    model.ticks(&mut table, ms(1100));
    assert_eq!(
        (table.state_counts().fresh, table.state_counts().head),
        (0, 0)
    );
}

#[test]
fn without_parking_idle_time_and_head_share_a_timeout_and_pressure_closes_idle_connections() {
    let limits = Limits {
        park: false,
        first_byte_timeout: ms(2100),
        idle_timeout: ms(2100),
        head_timeout_start: HeadTimeoutStart::Idle,
        max_close_delay: ms(300),
        pressure_threshold: 3,
        ..limits()
    };
    let (mut table, mut log) = (ConnectionTable::new(limits), Log::default());
    let ids: Vec<Id> = (0..5)
        .map(|_| table.open(log.now, &mut log).unwrap())
        .collect();
    table.handle(log.now, Event::HeadRead(ids[0]), &mut log);
    table.handle(log.now + ms(100), Event::HeadStarted(ids[1]), &mut log);
    for nth in 1..=45 {
        log.now = TICK * nth;
        table.handle(log.now, Event::Tick, &mut log);
    }
    expect![[r#"
        150 ms close 3 Crowded
        150 ms close 4 Crowded
        2100 ms cut 2 HeadLate
        2100 ms close 5 Expired
    "#]]
    .assert_eq(&log.text);
    assert_eq!(table.state_counts().task, 1);
}

/// Records all actions as lines of text.
#[derive(Default)]
struct Log {
    now: Duration,
    text: String,
}

impl Log {
    fn line(&mut self, action: String) {
        self.text += &format!("{} ms {action}\n", self.now.as_millis());
    }
}

/// The position of a connection in the slab.
fn position(id: Id) -> u64 {
    use slotmap::Key;
    id.data().as_ffi() & 0xffff_ffff
}

impl Actions for Log {
    fn serve(&mut self, id: Id, _asked_at: Duration, last: bool) {
        self.line(format!("serve {} {last}", position(id)));
    }
    fn reject(&mut self, id: Id, retry_after: Duration) {
        self.line(format!("turn away {} {retry_after:?}", position(id)));
    }
    fn close_if_idle(&mut self, id: Id, reason: CloseReason) -> CloseOutcome {
        self.line(format!("close {} {reason:?}", position(id)));
        CloseOutcome::Closed
    }
    fn force_close(&mut self, id: Id, reason: CloseReason) {
        self.line(format!("cut {} {reason:?}", position(id)));
    }
}
