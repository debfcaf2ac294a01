//! The module's actor, the only owner of [`Relay`]: events come in by one mailbox in the order of their arrival,
//! actions go out to the carrier. It decides nothing.

use crate::call::Answer;
use crate::list::List;
use crate::tasks::Tasks;
use crate::timers::Timers;
use crate::{Ballot, Carrier, Dispatch, Ended, Event, Mailbox, News, ToUnit};
use beechcroft::decide::Relay;
use beechcroft::*;
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

/// The module's clock: Unix time at start, then monotonic, so that it fits the list's and never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            began: Instant::now(),
            unix,
        }
    }

    fn at(&self, instant: Instant) -> Duration {
        self.unix + instant.duration_since(self.began)
    }
}

/// What the module acts through.
struct Hands<C: Carrier> {
    carrier: C,
    /// Its own, which it must not keep open.
    mailbox: mpsc::WeakUnboundedSender<Event>,
    known: HashMap<UnitId, C::Unit>,
    tasks: Tasks<C::Unit>,
    timers: Timers,
    /// The time of the event at hand.
    now: Instant,
}

impl<C: Carrier> Actions for Hands<C> {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration) {
        let (task, known) = (task.clone(), self.known.get(unit));
        let Some((no, call)) = self.tasks.sent(&task, known) else {
            return;
        };
        match known {
            Some(unit) => {
                let dispatch = Dispatch {
                    task,
                    no,
                    call,
                    at: self.now,
                    time_out,
                };
                self.carrier.send(unit, ToUnit::Dispatch(dispatch));
            }
            None => {
                warn!(task = %task.0, unit = %unit.0, "dispatch of {} to {}, which is not listed", task.0, unit.0);
                let (outcome, spent) = (Outcome::Moot, Duration::ZERO);
                let ended = Event::Ended(Ended {
                    task,
                    no,
                    outcome,
                    reply: None,
                    spent,
                    held: None,
                });
                if let Some(mailbox) = self.mailbox.upgrade() {
                    let _ = mailbox.send(ended);
                }
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
            self.carrier
                .send(unit, ToUnit::Abandon(task.clone(), dispatch));
        }
    }
    fn tell(&mut self, peer: Option<PeerId>, payload: &[u8]) {
        self.carrier.tell(peer, payload);
    }
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote) {
        self.carrier.cast(Ballot { build, stage, vote });
    }
    fn wake(&mut self, after: Duration, token: Token) {
        self.timers.add(self.now + after, token);
    }
    fn follow_list(&mut self) {
        self.carrier.follow();
    }
    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

pub struct ModuleActor<C: Carrier> {
    relay: Relay,
    clock: Clock,
    hands: Hands<C>,
}

impl<C: Carrier> ModuleActor<C> {
    /// `mailbox` is the one whose events it will run on.
    pub fn start(
        settings: &Settings,
        seed: u64,
        clock: Clock,
        carrier: C,
        mailbox: Mailbox,
    ) -> ModuleActor<C> {
        let mut hands = Hands {
            carrier,
            mailbox: mailbox.downgrade(),
            known: HashMap::new(),
            tasks: Tasks::default(),
            timers: Timers::default(),
            now: Instant::now(),
        };
        let relay = Relay::start(settings, seed, clock.at(hands.now), &mut hands);
        ModuleActor {
            relay,
            clock,
            hands,
        }
    }

    /// Until nobody is left who could tell it anything.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        loop {
            self.wake();
            let next = self
                .hands
                .timers
                .next()
                .unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
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
                    Ok(()) => relay.task_taken(
                        id,
                        track,
                        hints.tenant,
                        hints.key,
                        left,
                        hints.work,
                        hands,
                    ),
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
            Event::Ended(Ended {
                task,
                no,
                outcome,
                reply,
                spent,
                held,
            }) => {
                held.into_iter()
                    .for_each(|held| relay.load_told(&task, no, held));
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

    fn news(
        &mut self,
        News {
            build,
            stage,
            phase,
            cap,
        }: News,
    ) {
        self.relay
            .build_news(build, stage, phase, cap, &mut self.hands);
    }

    /// Tells the module of the list, and each unit's actor of its own entry.
    fn list(&mut self, list: List) {
        let fleet = self.relay.list();
        fleet.begins(list.whole);
        let mut before = if list.whole {
            std::mem::take(&mut self.hands.known)
        } else {
            HashMap::new()
        };
        for entry in list.entries {
            let known = before
                .remove(&entry.unit)
                .or_else(|| self.hands.known.remove(&entry.unit));
            match (known, entry.health) {
                (Some(unit), Health::Gone) => self.hands.carrier.send(&unit, ToUnit::Gone),
                (None, Health::Gone) => {}
                (Some(unit), _) => {
                    self.hands
                        .carrier
                        .send(&unit, ToUnit::Listed(entry.listing));
                    self.hands.known.insert(entry.unit.clone(), unit);
                }
                (None, _) => {
                    let unit = self.hands.carrier.unit(entry.listing);
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
        before
            .into_values()
            .for_each(|unit| self.hands.carrier.send(&unit, ToUnit::Gone));
    }
}
