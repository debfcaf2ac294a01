//! The module's actor, the only owner of [`Relay`]: events come in by one mailbox in the order of their arrival,
//! actions go out to the mailboxes of those whom they concern. It decides nothing.

use crate::memory::list::{ListMailbox, ToList};
use crate::memory::tasks::{Taken, Tasks};
use crate::memory::timers::Timers;
use crate::wire::discovery::List;
use crate::wire::peers::Peers;
use crate::wire::platform::{Ballot, PlatformMailbox, ToPlatform};
use crate::wire::units::{Dispatch, Shared, ToUnit, UnitMailbox};
use crate::wire::{Answer, Reply};
use beechcroft::decide::Relay;
use beechcroft::*;
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

pub type Mailbox = mpsc::UnboundedSender<Event>;

/// Everything that the module is told.
pub enum Event {
    Task(Taken),
    Left(TaskId),
    Ended(Ended),
    List(List),
    ListFailed,
    News(News),
    VoteAnswered(Outcome, Option<News>),
    Complaint(UnitId, TrackId),
    Note(PeerId, Vec<u8>),
}

/// How a dispatch ended.
pub struct Ended {
    pub task: TaskId,
    pub no: DispatchNo,
    pub outcome: Outcome,
    pub reply: Option<Reply>,
    pub spent: Duration,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    pub build: BuildId,
    pub stage: Stage,
    pub phase: Phase,
    pub cap: f64,
}

/// The module's clock: Unix time at start, then monotonic, so that it fits the list's and never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix }
    }

    fn at(&self, instant: Instant) -> Duration {
        self.unix + instant.duration_since(self.began)
    }
}

/// What carries the module's actions out.
pub struct Hands {
    units: Shared,
    list: ListMailbox,
    platform: Option<PlatformMailbox>,
    peers: Peers,
    known: HashMap<UnitId, UnitMailbox>,
    tasks: Tasks,
    timers: Timers,
    /// The time of the event at hand.
    now: Instant,
}

impl Hands {
    pub fn new(units: Shared, list: ListMailbox, platform: Option<PlatformMailbox>, peers: Peers) -> Hands {
        Hands {
            units,
            list,
            platform,
            peers,
            known: HashMap::new(),
            tasks: Tasks::default(),
            timers: Timers::default(),
            now: Instant::now(),
        }
    }
}

impl Actions for Hands {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration) {
        let (task, mailbox) = (task.clone(), self.known.get(unit));
        let Some((no, call)) = self.tasks.sent(&task, mailbox) else { return };
        match mailbox {
            Some(mailbox) => {
                let dispatch = Dispatch { task, no, call, at: self.now, time_out };
                let _ = mailbox.send(ToUnit::Dispatch(dispatch));
            }
            None => {
                warn!(task = %task.0, unit = %unit.0, "dispatch of {} to {}, which is not listed", task.0, unit.0);
                let (outcome, spent) = (Outcome::Moot, Duration::ZERO);
                let _ = self.units.module.send(Event::Ended(Ended { task, no, outcome, reply: None, spent }));
            }
        }
    }
    fn nack(&mut self, task: &TaskId, hold_off: Duration) {
        self.tasks.answer(task, Answer::Nacked(hold_off));
    }
    fn terminate(&mut self, task: &TaskId) {
        self.tasks.answer(task, Answer::Terminated);
    }
    fn abandon(&mut self, task: &TaskId, dispatch: DispatchNo) {
        if let Some(unit) = self.tasks.out(task, dispatch) {
            let _ = unit.send(ToUnit::Abandon(task.clone(), dispatch));
        }
    }
    fn tell(&mut self, peer: Option<PeerId>, payload: &[u8]) {
        self.peers.tell(peer, payload);
    }
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote) {
        if let Some(platform) = &self.platform {
            let _ = platform.send(ToPlatform::Cast(Ballot { build, stage, vote }));
        }
    }
    fn wake(&mut self, after: Duration, token: Token) {
        self.timers.add(self.now + after, token);
    }
    fn follow_list(&mut self) {
        let _ = self.list.send(ToList::Follow);
    }
    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

pub struct ModuleActor {
    relay: Relay,
    clock: Clock,
    hands: Hands,
}

impl ModuleActor {
    pub fn start(settings: &Settings, seed: u64, clock: Clock, mut hands: Hands) -> ModuleActor {
        hands.now = Instant::now();
        let relay = Relay::start(settings, seed, clock.at(hands.now), &mut hands);
        ModuleActor { relay, clock, hands }
    }

    /// Until nobody is left who could tell it anything.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        loop {
            self.wake();
            let next = self.hands.timers.next().unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.event(event),
                    None => return,
                },
                () = sleep_until(next) => {}
            }
        }
    }

    fn tick(&mut self) {
        self.hands.now = Instant::now();
        self.relay.clock(self.clock.at(self.hands.now));
    }

    fn wake(&mut self) {
        let now = Instant::now();
        while let Some(token) = self.hands.timers.take_due(now) {
            self.tick();
            self.relay.woken(token, &mut self.hands);
        }
    }

    fn event(&mut self, event: Event) {
        self.tick();
        let ModuleActor { relay, hands, .. } = self;
        match event {
            Event::Task(taken) => {
                let (id, track, hints) = (taken.id.clone(), taken.track, taken.hints);
                let left = taken.abandon_at.saturating_duration_since(hands.now);
                match hands.tasks.take(taken) {
                    Ok(()) => relay.task_taken(id, track, hints.tenant, hints.key, left, hints.work, hands),
                    Err(twin) => {
                        warn!(task = %twin.id.0, "task {} is open already, the second was not taken", twin.id.0)
                    }
                }
            }
            Event::Left(task) => {
                if hands.tasks.left(&task) {
                    relay.client_left(&task, hands);
                }
            }
            Event::Ended(Ended { task, no, outcome, reply, spent }) => {
                if let Some(reply) = reply {
                    hands.tasks.answer(&task, Answer::Handled(reply));
                }
                let settled = hands.tasks.ended(&task, no);
                relay.dispatch_ended(&task, no, outcome, spent, settled, hands);
            }
            Event::List(list) => self.list(list),
            Event::ListFailed => relay.list_failed(hands),
            Event::News(news) => self.news(news),
            Event::VoteAnswered(outcome, news) => {
                news.into_iter().for_each(|news| self.news(news));
                self.relay.vote_answered(outcome);
            }
            Event::Complaint(unit, track) => relay.complaint(&unit, track),
            Event::Note(from, note) => relay.note_from(from, &note),
        }
    }

    fn news(&mut self, News { build, stage, phase, cap }: News) {
        self.relay.build_news(build, stage, phase, cap, &mut self.hands);
    }

    /// Tells the module of the list, and each unit's actor of its own entry.
    fn list(&mut self, list: List) {
        let fleet = self.relay.list();
        fleet.begins(list.whole);
        let mut before = if list.whole { std::mem::take(&mut self.hands.known) } else { HashMap::new() };
        for entry in list.entries {
            let known = before.remove(&entry.unit).or_else(|| self.hands.known.remove(&entry.unit));
            match (known, entry.health) {
                (Some(unit), Health::Gone) => drop(unit.send(ToUnit::Gone)),
                (None, Health::Gone) => {}
                (Some(unit), _) => {
                    let _ = unit.send(ToUnit::Listed(entry.listing));
                    self.hands.known.insert(entry.unit.clone(), unit);
                }
                (None, _) => {
                    let unit = self.hands.units.spawn(entry.listing);
                    self.hands.known.insert(entry.unit.clone(), unit);
                }
            }
            fleet.entry(
                entry.unit,
                entry.build,
                entry.zone,
                entry.kind,
                entry.cell,
                entry.health,
                entry.nominal,
                entry.listing.started,
            );
        }
        fleet.ends();
        // What a whole list leaves out is gone.
        before.into_values().for_each(|unit| drop(unit.send(ToUnit::Gone)));
    }
}
