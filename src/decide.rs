//! All decisions of the relay in service. The owner of [`Relay`] (`beechcroft-core`, or the adapter of the
//! simulator) sets the time with [`Relay::set_time`] and calls one method for each event; the relay acts through
//! [`Actions`].
//!
//! Tasks pass through the request stages of `PIPELINE` in order, their outcomes through the outcome stages in
//! reverse. Every dispatch passes `Relay::may_dispatch`, and every final answer other than a unit's own is given by
//! `Relay::finish`. Comments that begin with "Departure" mark where the code departs from the paper's mechanism
//! (`docs/design.md`).

mod choose;
mod judge;
mod vote;

use crate::cusum::{
    self, lateness_log_ratio, log_ratio, LOG_GAMMA, MIN_OUTCOMES, MIN_THRESHOLD_NATS,
};
use crate::histogram::{excess_over_median, Histogram, Tally, Window};
use crate::state::*;
use crate::*;
use beechcroft_fleet::call_schedule::CallTracker;
use beechcroft_fleet::subset;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

// The mechanism, from docs/design.md.

/// Interval between two evaluations of the sums.
const TICK: Duration = Duration::from_millis(100);
/// M: the weighted sum of alarm bits at which relays vote a build back. The design leaves it open; docs/design.md
/// says why it is not 2.
const ALARMS_M: f64 = 1.0;
/// Share of the exposure cap that is used where the task can also go to the earlier build.
const EXPOSURE_TARGET_SHARE: f64 = 0.8;
/// Interval between two messages to peers, in ticks.
const PEER_STATE_INTERVAL_TICKS: u64 = 10;
/// Time after which a peer's last state is disregarded.
const PEER_STATE_TTL: Duration = Duration::from_secs(3);
/// Number of relays, from number 0, that vote to advance where the first vote is enough.
const FIRST_VOTE_VOTERS: u32 = 3;
/// Number of relays, from number 0, that receive every outcome and judge the build.
const JUDGING_RELAYS: u32 = 5;

// Baselines and evidence.

/// Outcomes of the earlier build after which counts are halved, at low rates.
const MIN_BASELINE_WINDOW: f64 = 400.0;
/// Time that the outcomes held of the earlier build cover, at high rates.
const BASELINE_SPAN: Duration = Duration::from_secs(4);
/// Response times of the earlier build above which a slow bin can be set; with fewer there is no comparison.
const MIN_BASELINE_SAMPLES: f64 = 30.0;
/// Outcomes of a stage before a build may get all of the traffic; fewer before a stage with a lower cap.
const OUTCOMES_TO_ADVANCE: f64 = 50.0;
/// Share of a stage's units that must be listed before the stage may end.
const MIN_LISTED_SHARE: f64 = 0.5;
/// Sum, in nats, above which a build does not advance.
const CLEAR_SUM_NATS: f64 = 3.0;
/// Share of the earlier build's answers that lie above the slow bin.
const SLOW_SHARE: f64 = 0.1;
/// Multiple of the usual share of late dispatches that is not explained by chance.
const LOSS_RATE_FACTOR: f64 = 3.0;
/// Multiple of the earlier build's share of slow answers that makes a build slow.
const SLOW_RATE_FACTOR: f64 = 5.0;
/// Share that counts as high: of late tasks in a track or of a tenant while others have less than half of it, of
/// retries after an error that fail again, and of slow dispatches that are lost.
const HIGH_FAILURE_SHARE: f64 = 0.3;
/// Outcomes after which counts are halved where changes must show soon.
const RECENT_SAMPLES: f64 = 48.0;
/// Share of retries, or of waits for the whole quoted time, that are still made while they are mostly in vain, to
/// notice when that ends.
const PROBE_SHARE: f64 = 0.1;
/// Share of first dispatches past half of the quoted time from which on none is given up early.
const MAX_SLOW_SHARE: f64 = 0.05;
/// Number of wrong answers that one client's report may stand for, at most.
const MAX_COMPLAINT_WEIGHT: f64 = 2.0;
/// How long lateness of both builds is accepted at a delay price of 1, before the build is held responsible.
const LATENESS_LIMIT: Duration = Duration::from_secs(28);
/// Load relative to that before the trial above which lateness is no evidence.
const LOAD_INCREASE: f64 = 1.25;
/// Exposure cap below which a trial is too small to slow the earlier build.
const SMALL_CAP: f64 = 0.1;

// Load.

/// Multiple of a tenant's quota up to which its tasks do not count as excess.
const QUOTA_MARGIN: f64 = 1.1;
/// Gain by which the mean work follows a task's hint.
const MEAN_WORK_GAIN: f64 = 0.02;
/// Time that the arrival rate and the work rate of warm units cover.
const RATE_SPAN: Duration = Duration::from_secs(10);
/// Share of what the rule on cold units permits that is used.
const COLD_MARGIN: f64 = 0.7;
/// Mean response time over quoted time above which tasks are shed.
const OVERLOAD_LATENCY_RATIO: f64 = 0.5;
/// Time for which load counts as being shed after it was.
const SHEDDING_SPAN: Duration = Duration::from_secs(2);

// Choice and ejection of units.

/// Share of a build's units that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.3;
/// Multiple of another unit's tasks in flight from which a task goes to that other unit, of whichever build.
const CROWDED_FACTOR: f64 = 2.0;
/// Probability of a streak under the fleet's own failure rate below which the streak is the unit's fault.
const MAX_STREAK_PROBABILITY: f64 = 0.001;
/// Consecutive failures before a unit can be ejected for its streak.
const EJECTION_STREAK: u32 = 3;
/// Tasks in flight that a unit of this zone may have more than one in another zone.
const CROSS_ZONE_PENALTY: f64 = 2.0;

// Votes.

/// Share of a vote's lifetime after which it is cast again.
const VOTE_RENEWAL_SHARE: f64 = 0.6;

type DynActions<'a> = &'a mut dyn Actions;

type RequestStage = fn(&mut Relay, &mut Task, DynActions) -> Flow;
type OutcomeStage = fn(&mut Relay, &OutcomeReport);
/// The stages of a relay: what is done with a task before its dispatch, and what is learned from its outcome.
const PIPELINE: [(RequestStage, OutcomeStage); 3] = [
    (Relay::admit, Relay::update_latencies),
    (Relay::choose_unit, Relay::record_evidence),
    (Relay::dispatch, Relay::update_ejection),
];

/// One relay of the tier: the only place where decisions are made. It does no I/O and reads no clock.
pub struct Relay {
    now: Duration,
    rng: Pcg64Mcg,
    params: Params,
    tracks: Vec<TrackState>,
    fleet: Fleet,
    tasks: HashMap<TaskId, Task>,
    meter: Meter,
    rollout: Option<RolloutState>,
    exposure: Exposure,
    detector: Detector,
    peers: Peers,
    ballot: CallTracker<Vote>,
    ticks: u64,
}

impl Relay {
    /// Starts a relay that knows no unit and no build yet. `seed` is that of its random numbers.
    pub fn start(settings: &Settings, seed: u64, now: Duration, actions: DynActions) -> Relay {
        actions.set_timer(TICK, TimerId(0));
        if settings.discovery_on_request {
            actions.watch_units();
        }
        Relay {
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            params: Params::new(settings, JUDGING_RELAYS),
            tracks: TrackState::from_tracks(&settings.tracks),
            fleet: Fleet::default(),
            tasks: HashMap::new(),
            meter: Meter::new(settings),
            rollout: None,
            exposure: Exposure::default(),
            detector: Detector::new(settings.tracks.len(), now),
            peers: Peers::default(),
            ballot: CallTracker::default(),
            ticks: 0,
        }
    }

    /// Sets the time of the events that follow; it must not go back.
    pub fn set_time(&mut self, now: Duration) {
        (self.now, self.fleet.now) = (now, now);
    }

    /// The fleet, for updates from discovery.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Takes a task. `left` is the time until its client gives up, `work` the client's estimate of its work.
    // Called at one place, from the event that has the same fields.
    #[allow(clippy::too_many_arguments)]
    pub fn task_received(
        &mut self,
        id: TaskId,
        track: TrackId,
        tenant: Option<TenantId>,
        key: Option<Key>,
        left: Duration,
        work: Option<Duration>,
        actions: DynActions,
    ) {
        let work_s = work.map_or(0.0, |work| work.as_secs_f64());
        let relative = self.meter.relative_work(work_s, MEAN_WORK_GAIN);
        let (quotas, draw) = (&self.params.quotas, self.rng.random());
        let over_quota = self.meter.is_over_quota(tenant, quotas, QUOTA_MARGIN, draw);
        let state = &mut self.tracks[track.0];
        state
            .arrivals
            .add(self.now, 1.0, self.params.exposure_window);
        self.meter.arrivals += 1.0;
        let quoted_time = (state.quoted_time
            + Duration::from_secs_f64(work_s * state.quoted_time_per_work))
        .min(left);
        let deadline = |span: Duration| (self.now + span).saturating_sub(self.params.clock_slack);
        let mut task = Task::new(id, track, key, deadline(left), deadline(quoted_time));
        (task.work, task.over_quota, task.tenant) = (relative, over_quota, tenant);
        self.run_pipeline(task, actions);
    }

    /// Runs the request stages until the task is dispatched or answered.
    fn run_pipeline(&mut self, mut task: Task, actions: DynActions) {
        for (stage, _) in PIPELINE {
            match stage(self, &mut task, actions) {
                Flow::Continue => {}
                Flow::Dispatched => return drop(self.tasks.insert(task.id.clone(), task)),
                Flow::Finish => return self.finish(task, actions),
            }
        }
    }

    /// Gives the final answer of a task that no unit has handled: a nack where its client can safely try again,
    /// else a termination.
    fn finish(&mut self, task: Task, actions: DynActions) {
        let safe_to_retry = match self.tracks[task.track.0].effect {
            Effect::Idempotent
            | Effect::Deduplicated {
                scope: DedupScope::All,
                ..
            } => true,
            Effect::Deduplicated { .. } | Effect::Unrepeatable => task.may_have_run.is_none(),
        };
        let overloaded = self.meter.latency_ratio > OVERLOAD_LATENCY_RATIO
            || self.now + self.params.clock_slack >= task.quoted_deadline;
        match safe_to_retry {
            true => actions.nack(
                &task.id,
                if overloaded {
                    self.params.retry_after
                } else {
                    Duration::ZERO
                },
            ),
            false => actions.terminate(&task.id),
        }
    }

    /// Takes a unit's report, sent with its response, of how many tasks it holds.
    pub fn load_reported(&mut self, id: &TaskId, dispatch: DispatchNo, held: f64) {
        let in_flight = self.tasks.get(id).and_then(|task| task.in_flight);
        for (_, at, _) in in_flight
            .into_iter()
            .filter(|(number, ..)| *number == dispatch)
        {
            self.fleet.units[at].reported_load.record(
                held,
                self.now,
                self.meter.usual_load.value(),
            );
            self.meter.usual_load.record(held);
        }
    }

    /// Takes the end of a dispatch; `settled` if the client has its answer or has left. A task that is not settled
    /// goes through the pipeline again.
    pub fn dispatch_ended(
        &mut self,
        id: &TaskId,
        dispatch: DispatchNo,
        outcome: Outcome,
        elapsed: Duration,
        settled: bool,
        actions: DynActions,
    ) {
        let Some(mut task) = self.tasks.remove(id) else {
            return;
        };
        let Some((_, slot, sent_at)) = task.in_flight.take_if(|(number, ..)| *number == dispatch)
        else {
            return drop(self.tasks.insert(id.clone(), task));
        };
        let unit = &mut self.fleet.units[slot];
        unit.in_flight.retain(|in_flight| in_flight != id);
        let (build, cold, ran) = (
            unit.build,
            unit.is_cold(sent_at, self.params.warm_up),
            !outcome.never_ran(),
        );
        // An outcome of the process that ran there before is no evidence about the present one.
        let observed = if sent_at < unit.first_listed_at {
            Outcome::Moot
        } else {
            outcome
        };
        let (track, is_retry, late_everywhere) = (
            task.track,
            task.failed_on.is_some(),
            self.is_late_everywhere(&task),
        );
        self.meter.in_flight -= 1.0;
        if ran && !is_retry {
            self.meter.record_lateness(
                track,
                task.tenant,
                outcome != Outcome::Ok || self.now > task.quoted_deadline,
                RECENT_SAMPLES,
            );
            self.meter.record_first_dispatch(
                outcome,
                elapsed,
                self.tracks[track.0].quoted_time,
                [MIN_BASELINE_WINDOW, RECENT_SAMPLES],
            );
        }
        self.record_outcome(
            &OutcomeReport {
                unit: slot,
                track,
                outcome: observed,
                elapsed,
                cold,
                is_retry,
                wrong_answer: false,
                late_everywhere,
            },
            true,
        );
        if outcome == Outcome::Ok {
            self.meter.completed_work += task.work;
            let forward = self.params.forward_only
                && self.rollout.is_some_and(|rollout| rollout.build == build);
            self.exposure
                .forward_keys
                .extend(task.key.filter(|_| forward));
        }
        if task.last_errored && ran {
            self.meter
                .repeated_errors
                .add(outcome == Outcome::Error, RECENT_SAMPLES);
        }
        (task.failed_on, task.last_errored) = (Some(slot), outcome == Outcome::Error);
        task.may_have_run = task.may_have_run.or(ran.then_some((slot, sent_at)));
        if !settled {
            self.run_pipeline(task, actions);
        }
    }

    /// Whether a task's track or tenant is late on all units while others are not. Such a task is no evidence about
    /// units or builds, and is shed first.
    fn is_late_everywhere(&self, task: &Task) -> bool {
        self.meter
            .late_rates(task.track, task.tenant)
            .any(|(own, best)| own > HIGH_FAILURE_SHARE && best < own / 2.0)
    }

    /// Ejects the unit after a streak of failures, or many recent ones, that the fleet's own failure rate does not
    /// explain. The first ejection lasts 1 s; each further one without an answer in between twice as long, up to 8
    /// s.
    fn update_ejection(&mut self, report: &OutcomeReport) {
        let unit = &mut self.fleet.units[report.unit];
        // A task that failed elsewhere before may fail on any unit: its failure is no evidence about this one.
        let is_evidence = |failed: &bool| !failed || !report.is_retry && !report.late_everywhere;
        let Some(failed) = report.failed().filter(is_evidence) else {
            return;
        };
        unit.recent_outcomes.add(failed, RECENT_SAMPLES / 2.0);
        if matches!(report.outcome, Outcome::Ok | Outcome::Error) {
            unit.last_answer_at = self.now;
        }
        if !failed {
            (unit.failure_streak, unit.ejected_for) = (0, Duration::ZERO);
            return;
        }
        unit.failure_streak += 1;
        // Failures that the whole fleet has are not the unit's fault.
        let usual = TrackState::baseline_failure_rate(&self.tracks);
        let often =
            unit.recent_outcomes.failures >= 4.0 && unit.recent_outcomes.rate() > 0.2 + 1.5 * usual;
        let streak = unit.failure_streak >= EJECTION_STREAK
            && usual.powi(unit.failure_streak as i32) < MAX_STREAK_PROBABILITY;
        if !(streak || often) || self.now < unit.ejected_until {
            return;
        }
        // Where more than a share of a build's units fail, the cause is not in the units. Units that refuse
        // connections run nothing, so any number of them may be ejected.
        let of_build = || self.fleet.ready_of(self.fleet.units[report.unit].build);
        let ejected = of_build()
            .filter(|unit| self.now < unit.ejected_until)
            .count() as f64;
        let too_many = ejected + 1.0 > MAX_EJECTED_SHARE * of_build().count() as f64;
        if !too_many || report.outcome == Outcome::ConnectFailed {
            let unit = &mut self.fleet.units[report.unit];
            unit.ejected_for = (unit.ejected_for * 2).clamp(TICK * 10, TICK * 80);
            unit.ejected_until = self.now + unit.ejected_for;
            unit.recent_outcomes = Tally::default();
        }
    }

    /// Records how the response time compares with the quoted time and, for the earlier build, the response time
    /// itself.
    fn update_latencies(&mut self, report: &OutcomeReport) {
        // A time-out on a unit that still answers other tasks shows load, as a slow answer does.
        let silent = self.fleet.units[report.unit].failure_streak >= EJECTION_STREAK;
        if matches!(report.outcome, Outcome::Ok | Outcome::TimeOut)
            && !silent
            && !report.late_everywhere
        {
            let gain =
                1.0 / (self.meter.baseline_window / BASELINE_SPAN.as_secs_f64() / 2.0).max(20.0);
            // The quoted time of the track counts, however early the task's client gave up.
            let quoted_time = self.tracks[report.track.0].quoted_time;
            let elapsed = if report.outcome == Outcome::Ok {
                report.elapsed
            } else {
                quoted_time
            };
            self.meter.record_latency(elapsed, quoted_time, gain);
        }
        let Unit {
            build,
            machine_type,
            ..
        } = self.fleet.units[report.unit];
        if report.outcome == Outcome::Ok && self.exposure_cap(build).is_none() {
            let latencies = self.tracks[report.track.0]
                .latencies
                .entry(machine_type)
                .or_default();
            latencies.add(report.elapsed, self.meter.baseline_window as u32);
        }
    }

    /// Notes that a unit has begun to answer a task: its dispatch is not cancelled any more.
    pub fn response_started(&mut self, id: &TaskId) {
        self.tasks
            .get_mut(id)
            .into_iter()
            .for_each(|task| task.response_started = true);
    }

    /// Cancels the dispatch of a task whose client has left, where that is possible.
    pub fn client_disconnected(&mut self, id: &TaskId, actions: DynActions) {
        let task = self
            .tasks
            .get(id)
            .filter(|task| self.params.may_cancel && !task.response_started);
        task.and_then(|task| task.in_flight)
            .into_iter()
            .for_each(|(dispatch, ..)| actions.cancel(id, dispatch));
    }

    /// Runs a tick: updates rates and sums, and sends a vote and the state for peers when these are due.
    pub fn timer_fired(&mut self, _timer: TimerId, actions: DynActions) {
        actions.set_timer(TICK, TimerId(0));
        self.ticks += 1;
        self.update_meter();
        self.update_cusums();
        let fused = self.fused_alarm();
        self.detector.clear_since = if fused > 0.0 {
            self.now
        } else {
            self.detector.clear_since
        };
        self.update_vote(fused, actions);
        // Offset by the relay's number, so that relays do not all send at once.
        if (self.ticks + u64::from(self.params.own_id.0)).is_multiple_of(PEER_STATE_INTERVAL_TICKS)
        {
            self.send_peer_state(actions);
        }
    }

    /// Updates the rates, the limit of dispatches in flight, and the exposure counts at the end of a tick.
    fn update_meter(&mut self) {
        self.rank_units();
        self.meter.baseline_window =
            MIN_BASELINE_WINDOW.max(self.fleet_arrival_rate() * BASELINE_SPAN.as_secs_f64());
        let subset = self.fleet.ready().filter(|unit| unit.in_subset);
        let capacity: f64 = subset.map(|unit| unit.capacity).sum();
        let count = self.fleet.ready().count().max(1) as f64;
        let meter = &mut self.meter;
        meter.tick(TICK, 0.1, capacity.max(0.01), RATE_SPAN);
        meter
            .arrival_rate
            .add(std::mem::take(&mut meter.arrivals), TICK, RATE_SPAN);
        // `part` is this relay's part of two tasks per unit. Without overload, the limit grows by 3% and a tenth of
        // `part` a tick, up to 16 tasks per unit. Under overload, Little's law gives the number in flight whose
        // response time is the permitted part of the quoted time, at least `part`.
        let part = (count * 2.0 / f64::from(self.params.relays)).max(1.0);
        meter.in_flight_limit = (meter.in_flight_limit * 1.03 + 0.1 * part).min(count * 16.0);
        if meter.latency_ratio > OVERLOAD_LATENCY_RATIO {
            meter.in_flight_limit =
                (meter.work_rate * OVERLOAD_LATENCY_RATIO * meter.mean_quoted_s).max(part);
            meter.last_shed_at = Some(self.now);
        }
        if self
            .exposure
            .lower_cap_at
            .take_if(|at| self.now >= *at)
            .is_some()
        {
            self.exposure.sent.values_mut().for_each(Window::clear);
        }
    }
}
