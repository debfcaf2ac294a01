//! The actor that owns the [`Relay`]: it takes events from one mailbox in the order of their arrival and passes the
//! relay's actions to an [`Outbound`]. It makes no decisions itself.

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

/// The relay's clock: Unix time at start, monotonic from then on, so that it compares with times in the list and
/// never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            began: Instant::now(),
            unix,
        }
    }

    fn time_at(&self, instant: Instant) -> Duration {
        self.unix + instant.duration_since(self.began)
    }
}

/// The actor's state except for the relay, which acts on it.
struct ActorState<C: Outbound> {
    outbound: C,
    /// The actor's own mailbox; weak, so that it does not keep the actor running.
    mailbox: mpsc::WeakUnboundedSender<Event>,
    units: HashMap<UnitId, C::Unit>,
    tasks: OpenTasks<C::Unit>,
    timers: Timers,
    /// Time of the current event.
    now: Instant,
}

impl<C: Outbound> Actions for ActorState<C> {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration) {
        let (task, handle) = (task.clone(), self.units.get(unit));
        let Some((number, request)) = self.tasks.record_dispatch(&task, handle) else {
            return;
        };
        match handle {
            Some(handle) => {
                let dispatch = Dispatch {
                    task,
                    number,
                    request,
                    sent_at: self.now,
                    time_out,
                };
                self.outbound.send(handle, UnitCommand::Dispatch(dispatch));
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
    fn nack(&mut self, task: &TaskId, retry_after: Duration) {
        self.tasks.answer(task, TaskAnswer::Nacked(retry_after));
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
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        self.timers.add(self.now + after, timer);
    }
    fn watch_units(&mut self) {
        self.outbound.watch_units();
    }
    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

/// Runs one relay on the events of its mailbox.
pub struct RelayActor<C: Outbound> {
    relay: Relay,
    clock: Clock,
    actions: ActorState<C>,
}

impl<C: Outbound> RelayActor<C> {
    /// Starts a relay. `mailbox` must be the sender of the events that [`RelayActor::run`] receives.
    pub fn start(
        settings: &Settings,
        seed: u64,
        clock: Clock,
        outbound: C,
        mailbox: Mailbox,
    ) -> RelayActor<C> {
        let mut actions = ActorState {
            outbound,
            mailbox: mailbox.downgrade(),
            units: HashMap::new(),
            tasks: OpenTasks::default(),
            timers: Timers::default(),
            now: Instant::now(),
        };
        let relay = Relay::start(settings, seed, clock.time_at(actions.now), &mut actions);
        RelayActor {
            relay,
            clock,
            actions,
        }
    }

    /// Runs until every sender of the mailbox is gone.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        loop {
            self.fire_timers();
            let next = self
                .actions
                .timers
                .next()
                .unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = sleep_until(next) => {}
            }
        }
    }

    fn update_time(&mut self) {
        self.actions.now = Instant::now();
        self.relay.set_time(self.clock.time_at(self.actions.now));
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.actions.timers.take_due(now) {
            self.update_time();
            self.relay.timer_fired(timer, &mut self.actions);
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.update_time();
        let RelayActor { relay, actions, .. } = self;
        match event {
            Event::Task(task) => {
                let (id, track, hints) = (task.id.clone(), task.track, task.hints);
                let left = task.deadline.saturating_duration_since(actions.now);
                match actions.tasks.insert(task) {
                    Ok(()) => relay.task_received(
                        id,
                        track,
                        hints.tenant,
                        hints.key,
                        left,
                        hints.work,
                        actions,
                    ),
                    Err(duplicate) => {
                        warn!(task = %duplicate.id.0, "task {} is open already, the second was not taken", duplicate.id.0)
                    }
                }
            }
            Event::ClientDisconnected(task) => {
                if actions.tasks.client_disconnected(&task) {
                    relay.client_disconnected(&task, actions);
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
                    actions.tasks.answer(&task, TaskAnswer::Handled(response));
                }
                let settled = actions.tasks.dispatch_ended(&task, number);
                relay.dispatch_ended(&task, number, outcome, elapsed, settled, actions);
            }
            Event::UnitList(list) => self.update_list(list),
            Event::DiscoveryFailed => relay.discovery_failed(actions),
            Event::Rollout(rollout) => self.update_rollout(rollout),
            Event::VoteAnswered(outcome, rollout) => {
                rollout
                    .into_iter()
                    .for_each(|rollout| self.update_rollout(rollout));
                self.relay.vote_answered(outcome);
            }
            Event::Complaint(unit, track) => relay.complaint_received(&unit, track),
            Event::PeerMessage(from, message) => relay.peer_message_received(from, &message),
        }
    }

    fn update_rollout(
        &mut self,
        RolloutState {
            build,
            stage,
            phase,
            cap,
        }: RolloutState,
    ) {
        self.relay
            .rollout_updated(build, stage, phase, cap, &mut self.actions);
    }

    /// Passes the list to the relay, and each unit's endpoint to its connections.
    fn update_list(&mut self, list: UnitList) {
        let fleet = self.relay.fleet_mut();
        fleet.begin_update(list.is_snapshot);
        let mut previous = if list.is_snapshot {
            std::mem::take(&mut self.actions.units)
        } else {
            HashMap::new()
        };
        for entry in list.entries {
            let handle = previous
                .remove(&entry.unit)
                .or_else(|| self.actions.units.remove(&entry.unit));
            match (handle, entry.health) {
                (Some(unit), Health::Gone) => {
                    self.actions.outbound.send(&unit, UnitCommand::Remove)
                }
                (None, Health::Gone) => {}
                (Some(unit), _) => {
                    self.actions
                        .outbound
                        .send(&unit, UnitCommand::UpdateEndpoint(entry.endpoint));
                    self.actions.units.insert(entry.unit.clone(), unit);
                }
                (None, _) => {
                    let unit = self.actions.outbound.add_unit(entry.endpoint);
                    self.actions.units.insert(entry.unit.clone(), unit);
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
        // Units that a complete list leaves out are gone.
        previous
            .into_values()
            .for_each(|unit| self.actions.outbound.send(&unit, UnitCommand::Remove));
    }
}
