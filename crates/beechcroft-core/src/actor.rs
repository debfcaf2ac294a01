//! The module's actor, the only owner of [`Relay`]: events come in by one mailbox in the order of their arrival,
//! actions go out to the carrier. It decides nothing.

use crate::list::UnitList;
use crate::request::TaskAnswer;
use crate::tasks::OpenTasks;
use crate::timers::Timers;
use crate::{
    Ballot, Dispatch, DispatchResult, Event, Mailbox, Outbound, RolloutState, UnitCommand,
};
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
struct Hands<C: Outbound> {
    outbound: C,
    /// Its own, which it must not keep open.
    mailbox: mpsc::WeakUnboundedSender<Event>,
    known: HashMap<UnitId, C::Unit>,
    tasks: OpenTasks<C::Unit>,
    timers: Timers,
    /// The time of the event at hand.
    now: Instant,
}

impl<C: Outbound> Actions for Hands<C> {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration) {
        let (task, known) = (task.clone(), self.known.get(unit));
        let Some((number, request)) = self.tasks.record_dispatch(&task, known) else {
            return;
        };
        match known {
            Some(unit) => {
                let dispatch = Dispatch {
                    task,
                    number,
                    request,
                    sent_at: self.now,
                    time_out,
                };
                self.outbound.send(unit, UnitCommand::Dispatch(dispatch));
            }
            None => {
                warn!(task = %task.0, unit = %unit.0, "dispatch of {} to {}, which is not listed", task.0, unit.0);
                let (outcome, elapsed) = (Outcome::Moot, Duration::ZERO);
                let ended = Event::DispatchEnded(DispatchResult {
                    task,
                    number,
                    outcome,
                    response: None,
                    elapsed,
                    reported_load: None,
                });
                if let Some(mailbox) = self.mailbox.upgrade() {
                    let _ = mailbox.send(ended);
                }
            }
        }
    }
    fn nack(&mut self, task: &TaskId, hold_off: Duration) {
        self.tasks.answer(task, TaskAnswer::Nacked(hold_off));
    }
    fn terminate(&mut self, task: &TaskId) {
        self.tasks.answer(task, TaskAnswer::Terminated);
    }
    fn cancel(&mut self, task: &TaskId, dispatch: DispatchNo) {
        if let Some(unit) = self.tasks.dispatched_to(task, dispatch) {
            self.outbound
                .send(unit, UnitCommand::Cancel(task.clone(), dispatch));
        }
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, payload: &[u8]) {
        self.outbound.send_to_peers(peer, payload);
    }
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote) {
        self.outbound.cast_vote(Ballot { build, stage, vote });
    }
    fn set_timer(&mut self, after: Duration, token: TimerId) {
        self.timers.add(self.now + after, token);
    }
    fn watch_units(&mut self) {
        self.outbound.watch_units();
    }
    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

pub struct RelayActor<C: Outbound> {
    relay: Relay,
    clock: Clock,
    hands: Hands<C>,
}

impl<C: Outbound> RelayActor<C> {
    /// `mailbox` is the one whose events it will run on.
    pub fn start(
        settings: &Settings,
        seed: u64,
        clock: Clock,
        outbound: C,
        mailbox: Mailbox,
    ) -> RelayActor<C> {
        let mut hands = Hands {
            outbound,
            mailbox: mailbox.downgrade(),
            known: HashMap::new(),
            tasks: OpenTasks::default(),
            timers: Timers::default(),
            now: Instant::now(),
        };
        let relay = Relay::start(settings, seed, clock.at(hands.now), &mut hands);
        RelayActor {
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
        self.relay.set_time(self.clock.at(self.hands.now));
    }

    fn wake(&mut self) {
        let now = Instant::now();
        while let Some(token) = self.hands.timers.take_due(now) {
            self.tick();
            self.relay.timer_fired(token, &mut self.hands);
        }
    }

    fn event(&mut self, event: Event) {
        self.tick();
        let RelayActor { relay, hands, .. } = self;
        match event {
            Event::Task(taken) => {
                let (id, track, hints) = (taken.id.clone(), taken.track, taken.hints);
                let left = taken.deadline.saturating_duration_since(hands.now);
                match hands.tasks.insert(taken) {
                    Ok(()) => relay.task_received(
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
            Event::ClientDisconnected(task) => {
                if hands.tasks.client_disconnected(&task) {
                    relay.client_disconnected(&task, hands);
                }
            }
            Event::DispatchEnded(DispatchResult {
                task,
                number,
                outcome,
                response,
                elapsed,
                reported_load,
            }) => {
                reported_load
                    .into_iter()
                    .for_each(|load| relay.load_reported(&task, number, load));
                if let Some(response) = response {
                    hands.tasks.answer(&task, TaskAnswer::Handled(response));
                }
                let settled = hands.tasks.dispatch_ended(&task, number);
                relay.dispatch_ended(&task, number, outcome, elapsed, settled, hands);
            }
            Event::UnitList(list) => self.list(list),
            Event::DiscoveryFailed => relay.discovery_failed(hands),
            Event::Rollout(news) => self.news(news),
            Event::VoteAnswered(outcome, news) => {
                news.into_iter().for_each(|news| self.news(news));
                self.relay.vote_answered(outcome);
            }
            Event::Complaint(unit, track) => relay.complaint_received(&unit, track),
            Event::PeerMessage(from, note) => relay.peer_message_received(from, &note),
        }
    }

    fn news(
        &mut self,
        RolloutState {
            build,
            stage,
            phase,
            cap,
        }: RolloutState,
    ) {
        self.relay
            .rollout_updated(build, stage, phase, cap, &mut self.hands);
    }

    /// Tells the module of the list, and each unit's actor of its own entry.
    fn list(&mut self, list: UnitList) {
        let fleet = self.relay.fleet_mut();
        fleet.begin_update(list.is_snapshot);
        let mut before = if list.is_snapshot {
            std::mem::take(&mut self.hands.known)
        } else {
            HashMap::new()
        };
        for entry in list.entries {
            let known = before
                .remove(&entry.unit)
                .or_else(|| self.hands.known.remove(&entry.unit));
            match (known, entry.health) {
                (Some(unit), Health::Gone) => self.hands.outbound.send(&unit, UnitCommand::Remove),
                (None, Health::Gone) => {}
                (Some(unit), _) => {
                    self.hands
                        .outbound
                        .send(&unit, UnitCommand::UpdateEndpoint(entry.endpoint));
                    self.hands.known.insert(entry.unit.clone(), unit);
                }
                (None, _) => {
                    let unit = self.hands.outbound.add_unit(entry.endpoint);
                    self.hands.known.insert(entry.unit.clone(), unit);
                }
            }
            fleet.update_unit(
                entry.unit,
                entry.build,
                entry.zone,
                entry.machine_type,
                entry.cell,
                entry.health,
                entry.capacity,
                entry.endpoint.started,
            );
        }
        fleet.finish_update();
        // What a whole list leaves out is gone.
        before
            .into_values()
            .for_each(|unit| self.hands.outbound.send(&unit, UnitCommand::Remove));
    }
}
