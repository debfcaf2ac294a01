//! All decisions of a relay: [`Relay::clock`] and the method of what happened in, [`Actions`] out. A task runs
//! through `CHAIN`, in and out; `Relay::permits` is the one gate, `Relay::close` the one end.

mod choose;
mod judge;
mod vote;

use crate::cusum::{self, lateness, log_ratio, LOG_GAMMA, MIN_OUTCOMES, NATS_FLOOR};
use crate::histogram::{excess, Histogram, Tally, Window};
use crate::state::*;
use crate::*;
use beechcroft_fleet::call_schedule::CallTracker;
use beechcroft_fleet::subset;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

// From the design page.
const TICK: Duration = Duration::from_millis(100);
const ALARMS_M: f64 = 1.0; // open in the design; why not 2 is in docs/design.md
const TRIAL_SHARE: f64 = 0.8;
const TELL_EVERY: u64 = 10; // ticks
const PEER_LAPSE: Duration = Duration::from_secs(3);
const PROCEED_VOICES: u32 = 3;
const FUSERS: u32 = 5; // relays, from number 0, that are told every outcome

const KEEP: f64 = 400.0; // outcomes held of the earlier build before halving, at least
const KEEP_FOR: Duration = Duration::from_secs(4); // of outcomes held where they are many
const BASELINE: f64 = 30.0; // outcomes of the earlier build without which there is nothing to compare with
const EVIDENCE: f64 = 50.0; // outcomes before all of the traffic may go to a build
const LISTED: f64 = 0.5; // of a stage's units that must be listed before it may end
const CLEAR_NATS: f64 = 3.0; // a sum above this is no ground to go on
const SLOW_SHARE: f64 = 0.1; // of the earlier build's answers lie above the slow mark
const LATE_TIMES: f64 = 3.0; // times the usual share of late dispatches is no chance
const SLOW_TIMES: f64 = 5.0; // times the earlier build's share of slow answers makes a slow build
const APART: f64 = 0.3; // of a kind's tasks late, of another's under half of that; of repeats, slow ones
const LATELY: f64 = 48.0; // outcomes held of what must be known soon
const VAIN_TRIES: f64 = 0.1; // of what is mostly in vain, repeats or long waits, is done to see it pass
const SLOWER: f64 = 0.05; // of answers past half their quoted time: from there on none is given up sooner
const FLAG_WEIGHT: f64 = 2.0; // wrong answers that one report may speak for
const HOLD: Duration = Duration::from_secs(28); // at a price of 1, how long lateness of both is borne
const LOADED: f64 = 1.25; // times the load before the trial
const SMALL_CAP: f64 = 0.1; // below this share a trial is too small to slow the earlier build
const QUOTA_MARGIN: f64 = 1.1; // of a tenant's quota that is not yet excess
const WORK_PART: f64 = 0.02; // of a hint by which the mean work follows it
const BORE_FOR: Duration = Duration::from_secs(10); // of work done that is held before halving
const COLD_MARGIN: f64 = 0.7; // of what the rule on cold units would bear
const BUSY_RATIO: f64 = 0.5; // mean answer time over quoted time above which tasks are given up early
const BUSY_FOR: Duration = Duration::from_secs(2); // for which having shed tasks counts
const ASIDE_SHARE: f64 = 0.3; // of a build's units may be set aside at once
const CROWDED: f64 = 2.0; // times another unit's open tasks from which a task goes there
const RARE: f64 = 0.001; // chance of a streak by the fleet's own failures from which it is the unit's
const STREAK: u32 = 3; // failures in a row that set a unit aside
const RENEW: f64 = 0.6; // of a vote's life, after which it is cast again
const ZONE_PENALTY: f64 = 2.0; // open tasks more before a crossing pays

type Act<'a> = &'a mut dyn Actions;

type Inward = fn(&mut Relay, &mut Task, Act) -> Flow;
type Outward = fn(&mut Relay, &Ended);
const CHAIN: [(Inward, Outward); 3] = [
    (Relay::admit, Relay::learn_times),
    (Relay::choose, Relay::judge),
    (Relay::send, Relay::watch_health),
];

pub struct Relay {
    now: Duration,
    rng: Pcg64Mcg,
    fig: Figures,
    tracks: Vec<TrackState>,
    fleet: Fleet,
    tasks: HashMap<TaskId, Task>,
    meter: Meter,
    news: Option<News>,
    exposure: Exposure,
    judge: Judge,
    peers: Peers,
    voice: CallTracker<Vote>,
    ticks: u64,
}

impl Relay {
    pub fn start(settings: &Settings, salt: u64, now: Duration, act: Act) -> Relay {
        act.wake(TICK, Token(0));
        if settings.ask_for_list {
            act.follow_list();
        }
        Relay {
            now,
            rng: Pcg64Mcg::seed_from_u64(salt),
            fig: Figures::new(settings, FUSERS),
            tracks: TrackState::all(&settings.tracks),
            fleet: Fleet::default(),
            tasks: HashMap::new(),
            meter: Meter::new(settings),
            news: None,
            exposure: Exposure::default(),
            judge: Judge::new(settings.tracks.len(), now),
            peers: Peers::default(),
            voice: CallTracker::default(),
            ticks: 0,
        }
    }

    pub fn clock(&mut self, now: Duration) {
        (self.now, self.fleet.now) = (now, now);
    }

    pub fn list(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    // Called at one place, from the event that has the same fields.
    #[allow(clippy::too_many_arguments)]
    pub fn task_taken(
        &mut self,
        id: TaskId,
        track: TrackId,
        tenant: Option<TenantId>,
        key: Option<Key>,
        left: Duration,
        work: Option<Duration>,
        act: Act,
    ) {
        let work = work.map_or(0.0, |work| work.as_secs_f64());
        let relative = self.meter.relative_work(work, WORK_PART);
        let (quotas, draw) = (&self.fig.quotas, self.rng.random());
        let over_share = self.meter.over_share(tenant, quotas, QUOTA_MARGIN, draw);
        let state = &mut self.tracks[track.0];
        state.taken.add(self.now, 1.0, self.fig.window);
        self.meter.arrived += 1.0;
        let quoted = (state.quoted + Duration::from_secs_f64(work * state.stretch)).min(left);
        let by = |span: Duration| (self.now + span).saturating_sub(self.fig.slack);
        let mut task = Task::new(id, track, key, by(left), by(quoted));
        (task.work, task.over_share, task.tenant) = (relative, over_share, tenant);
        self.run_chain(task, act);
    }

    fn run_chain(&mut self, mut task: Task, act: Act) {
        for (inward, _) in CHAIN {
            match inward(self, &mut task, act) {
                Flow::Pass => {}
                Flow::Keep => return drop(self.tasks.insert(task.id.clone(), task)),
                Flow::End => return self.close(task, act),
            }
        }
    }

    /// The one place of final answers: a nack where trying again is harmless, else a termination.
    fn close(&mut self, task: Task, act: Act) {
        let harmless = match self.tracks[task.track.0].effect {
            Effect::Idempotent
            | Effect::Deduplicated {
                group: Group::All, ..
            } => true,
            Effect::Deduplicated { .. } | Effect::Unrepeatable => task.ran.is_none(),
        };
        let busy = self.meter.time_ratio > BUSY_RATIO || self.now + self.fig.slack >= task.quoted;
        match harmless {
            true => act.nack(
                &task.id,
                if busy {
                    self.fig.hold_off
                } else {
                    Duration::ZERO
                },
            ),
            false => act.terminate(&task.id),
        }
    }

    pub fn load_told(&mut self, id: &TaskId, dispatch: DispatchNo, held: f64) {
        let out = self.tasks.get(id).and_then(|task| task.out);
        for (_, at, _) in out.into_iter().filter(|(number, ..)| *number == dispatch) {
            self.fleet.units[at]
                .held
                .record(held, self.now, self.meter.usual.value());
            self.meter.usual.record(held);
        }
    }

    pub fn dispatch_ended(
        &mut self,
        id: &TaskId,
        dispatch: DispatchNo,
        outcome: Outcome,
        spent: Duration,
        settled: bool,
        act: Act,
    ) {
        let Some(mut task) = self.tasks.remove(id) else {
            return;
        };
        let Some((_, unit, sent)) = task.out.take_if(|(number, ..)| *number == dispatch) else {
            return drop(self.tasks.insert(id.clone(), task));
        };
        let at = &mut self.fleet.units[unit];
        at.waiting.retain(|waiting| waiting != id);
        let (build, cold, ran) = (
            at.build,
            at.is_cold(sent, self.fig.warm_up),
            !outcome.never_ran(),
        );
        let seen = if sent < at.since {
            Outcome::Moot
        } else {
            outcome
        }; // of what ran there before
        let (track, repeat, apart) = (task.track, task.failed_on.is_some(), self.is_apart(&task));
        self.meter.in_flight -= 1.0;
        if ran && !repeat {
            self.meter.missed(
                track,
                task.tenant,
                outcome != Outcome::Ok || self.now > task.quoted,
                LATELY,
            );
            self.meter
                .paced(outcome, spent, self.tracks[track.0].quoted, [KEEP, LATELY]);
        }
        self.learn(
            &Ended {
                unit,
                track,
                outcome: seen,
                spent,
                cold,
                repeat,
                flagged: false,
                apart,
            },
            true,
        );
        if outcome == Outcome::Ok {
            self.meter.handled += task.work;
            let forward =
                self.fig.forward_only && self.news.is_some_and(|news| news.build == build);
            self.exposure
                .forward_keys
                .extend(task.key.filter(|_| forward));
        }
        if task.erred && ran {
            self.meter.again.add(outcome == Outcome::Error, LATELY);
        }
        (task.failed_on, task.erred) = (Some(unit), outcome == Outcome::Error);
        task.ran = task.ran.or(ran.then_some((unit, sent)));
        if !settled {
            self.run_chain(task, act);
        }
    }

    /// Whether its track or tenant is late everywhere, others not: it proves nothing, and yields first.
    fn is_apart(&self, task: &Task) -> bool {
        self.meter
            .missing(task.track, task.tenant)
            .any(|(own, best)| own > APART && best < own / 2.0)
    }

    fn watch_health(&mut self, ended: &Ended) {
        let unit = &mut self.fleet.units[ended.unit];
        // A task that failed elsewhere before may fail anywhere: no evidence about this unit.
        let telling = |failed: &bool| !failed || !ended.repeat && !ended.apart;
        let Some(failed) = ended.failed().filter(telling) else {
            return;
        };
        unit.recent.add(failed, LATELY / 2.0);
        if matches!(ended.outcome, Outcome::Ok | Outcome::Error) {
            unit.quiet_since = self.now;
        }
        if !failed {
            (unit.streak, unit.away_for) = (0, Duration::ZERO);
            return;
        }
        unit.streak += 1;
        // What the whole fleet fails at is not the unit's fault.
        let usual = TrackState::good_rate(&self.tracks);
        let often = unit.recent.failures >= 4.0 && unit.recent.rate() > 0.2 + 1.5 * usual;
        let streak = unit.streak >= STREAK && usual.powi(unit.streak as i32) < RARE;
        if !(streak || often) || self.now < unit.away_until {
            return;
        }
        // No more than a share of a build's units, as beyond that it is not they; but all that run nothing.
        let of_build = || self.fleet.ready_of(self.fleet.units[ended.unit].build);
        let aside = of_build().filter(|unit| self.now < unit.away_until).count() as f64;
        let many = aside + 1.0 > ASIDE_SHARE * of_build().count() as f64;
        if !many || ended.outcome == Outcome::ConnectFailed {
            let unit = &mut self.fleet.units[ended.unit];
            unit.away_for = (unit.away_for * 2).clamp(TICK * 10, TICK * 80);
            unit.away_until = self.now + unit.away_for;
            unit.recent = Tally::default();
        }
    }

    fn learn_times(&mut self, ended: &Ended) {
        // A time-out of a unit that still answers others shows load as a slow answer does.
        let silent = self.fleet.units[ended.unit].streak >= STREAK;
        if matches!(ended.outcome, Outcome::Ok | Outcome::TimeOut) && !silent && !ended.apart {
            let part = 1.0 / (self.meter.keep / KEEP_FOR.as_secs_f64() / 2.0).max(20.0);
            let quoted = self.tracks[ended.track.0].quoted; // however early its client gave up
            let spent = if ended.outcome == Outcome::Ok {
                ended.spent
            } else {
                quoted
            };
            self.meter.answered(spent, quoted, part);
        }
        let Unit { build, kind, .. } = self.fleet.units[ended.unit];
        if ended.outcome == Outcome::Ok && self.cap_of(build).is_none() {
            let times = self.tracks[ended.track.0].times.entry(kind).or_default();
            times.add(ended.spent, self.meter.keep as u32);
        }
    }

    pub fn stream_began(&mut self, id: &TaskId) {
        self.tasks
            .get_mut(id)
            .into_iter()
            .for_each(|task| task.stream = true);
    }

    pub fn client_left(&mut self, id: &TaskId, act: Act) {
        let task = self
            .tasks
            .get(id)
            .filter(|task| self.fig.may_abandon && !task.stream);
        task.and_then(|task| task.out)
            .into_iter()
            .for_each(|(dispatch, ..)| act.abandon(id, dispatch));
    }

    pub fn woken(&mut self, _token: Token, act: Act) {
        act.wake(TICK, Token(0));
        self.ticks += 1;
        self.measure();
        self.run_cusum();
        let fused = self.fuse();
        self.judge.clear_since = if fused > 0.0 {
            self.now
        } else {
            self.judge.clear_since
        };
        self.cast(fused, act);
        if (self.ticks + u64::from(self.fig.me.0)).is_multiple_of(TELL_EVERY) {
            self.tell(act);
        }
    }

    fn measure(&mut self) {
        self.rank();
        self.meter.keep = KEEP.max(self.fleet_rate() * KEEP_FOR.as_secs_f64());
        let near = self.fleet.ready().filter(|unit| unit.near);
        let size: f64 = near.map(|unit| unit.nominal).sum();
        let count = self.fleet.ready().count().max(1) as f64;
        let meter = &mut self.meter;
        meter.tick(TICK, 0.1, size.max(0.01), BORE_FOR);
        meter
            .rate
            .add(std::mem::take(&mut meter.arrived), TICK, BORE_FOR);
        // Little's law: open tasks that end in that part of their quoted times, or its part of two a unit.
        let part = (count * 2.0 / f64::from(self.fig.relays)).max(1.0);
        meter.limit = (meter.limit * 1.03 + 0.1 * part).min(count * 16.0);
        if meter.time_ratio > BUSY_RATIO {
            meter.limit = (meter.served_rate * BUSY_RATIO * meter.mean_quoted).max(part);
            meter.busy_at = Some(self.now);
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
