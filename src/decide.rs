//! All decisions of a relay. A front makes a [`Relay`] by [`Relay::start`], calls [`Relay::clock`] with the
//! time, then the method of what happened; what to do comes out through [`Actions`]. Interface and ids are
//! in `lib.rs`, state in `state.rs`, measures in `histogram.rs`. A task runs through [`CHAIN`] inwards, what
//! comes back outwards. [`Relay::permits`] is the one gate of dispatches, [`Relay::close`] the one place of
//! final answers. `docs/design.md` argues each departure.

use crate::cusum::{self, lateness, log_ratio, LOG_GAMMA, MIN_OUTCOMES, NATS_FLOOR};
use crate::histogram::{excess, Histogram, Tally, Window};
use crate::state::*;
use crate::*;
use beechcroft_fleet::subset;
use beechcroft_fleet::turns::Voice;
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

// Ours; the range over which each was seen not to matter is in docs/design.md.
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
const CHAIN: [(Inward, Outward); 3] =
    [(Relay::admit, Relay::learn_times), (Relay::choose, Relay::judge), (Relay::send, Relay::watch_health)];

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
    voice: Voice<Vote>,
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
            voice: Voice::default(),
            ticks: 0,
        }
    }

    pub fn clock(&mut self, now: Duration) {
        (self.now, self.fleet.now) = (now, now);
    }

    pub fn list(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    pub fn task_taken(
        &mut self, id: TaskId, track: TrackId, tenant: Option<TenantId>, key: Option<Key>, left: Duration,
        work: Option<Duration>, act: Act,
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
            Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. } => true,
            Effect::Deduplicated { .. } | Effect::Unrepeatable => task.ran.is_none(),
        };
        let busy = self.meter.time_ratio > BUSY_RATIO || self.now + self.fig.slack >= task.quoted;
        match harmless {
            true => act.nack(&task.id, if busy { self.fig.hold_off } else { Duration::ZERO }),
            false => act.terminate(&task.id),
        }
    }

    /// Stage 1: gives up early what load leaves no room for, least utility first.
    fn admit(&mut self, task: &mut Task, _act: Act) -> Flow {
        let track = &self.tracks[task.track.0];
        let share = if task.over_share { self.fig.over_worth } else { 1.0 };
        let share = if self.is_apart(task) { 0.0 } else { share };
        let room = self.meter.limit * (0.6 + 0.4 * track.utility) * (0.3 + 0.7 * share);
        let crowded = task.tries == 0 && self.meter.in_flight >= room;
        let vain = task.erred && self.meter.again.rate() > APART && self.rng.random::<f64>() > VAIN_TRIES;
        if crowded || vain || self.now >= if track.late_pays { task.end } else { task.quoted } {
            return Flow::End;
        }
        Flow::Pass
    }

    /// Stage 2: a build at random, then two random choices by in-flight count among its units.
    fn choose(&mut self, task: &mut Task, _act: Act) -> Flow {
        if !self.fleet.ranked {
            self.rank();
        }
        let (chance, one, two, three): (f64, u32, u32, u32) = self.rng.random();
        let mut able: Vec<usize> =
            (0..self.fleet.units.len()).filter(|&at| self.permits(task, at, false)).collect();
        let on_trial = |at: usize| self.cap_of(self.fleet.units[at].build).is_some();
        // A trial unit is to bear what one of the full fleet bears: so many tasks try it. Those that may
        // get nothing now, cold ones above all, leave no larger share to the others.
        let ready = |trial: bool| -> f64 {
            let units = able.iter().filter(|&&at| on_trial(at) == trial).map(|&at| &self.fleet.units[at]);
            units.filter(|unit| !self.is_aside(unit)).map(|unit| unit.warmth(self.now, &self.fig)).sum()
        };
        let (new, old) = (ready(true), ready(false));
        // The busier, the more evenly both sides bear it: what is let in then fits old and new together.
        let busy = (self.meter.time_ratio / BUSY_RATIO * 2.0 - 1.0).clamp(0.0, 1.0);
        let places = old.max(new) + old.min(new) * if self.fig.replace { 1.0 } else { busy };
        let to_trial = task.failed_on.is_none() && chance * places < new;
        // Preferences in order of weight; one that nothing meets is dropped.
        let mut prefer = |wanted: &dyn Fn(usize) -> bool| {
            if able.iter().any(|&at| wanted(at)) {
                able.retain(|&at| wanted(at));
            }
        };
        prefer(&|at| !on_trial(at) || self.permits(task, at, true));
        prefer(&|at| !self.is_aside(&self.fleet.units[at]));
        prefer(&|at| task.failed_on != Some(at));
        let either = able.clone();
        let Some(&third) = either.get(three as usize % either.len().max(1)) else { return Flow::End };
        // Departure: of either build it keeps to as many as its tasks keep connections to.
        let part = (new / places.max(new)).clamp(0.0, 1.0);
        let width = |part: f64| subset::width(self.meter.rate.per_s() * part, self.fig.kept);
        able.retain(|&at| on_trial(at) == to_trial);
        // Where it keeps to a part of them, its own tasks there are the fewest: what units tell counts.
        let kept = width(if to_trial { part } else { 1.0 - part });
        let (thin, usual) = (kept < able.len(), self.meter.usual.value());
        if thin {
            able.sort_by_key(|&at| self.fleet.units[at].rank);
            able.truncate(kept);
        }
        able.extend(able.is_empty().then_some(third));
        let [first, second] = [one, two].map(|nth| able[nth as usize % able.len()]);
        let burden = |at: usize| {
            let unit = &self.fleet.units[at];
            let away = if unit.zone != self.fig.zone && self.fig.zones_cost { ZONE_PENALTY } else { 0.0 };
            let others = if thin { unit.held.now(self.now, usual) } else { 0.0 };
            (unit.waiting.len() as f64 + 1.0 + away + others)
                / (unit.nominal * unit.warmth(self.now, &self.fig))
        };
        let least = if burden(second) < burden(first) { second } else { first };
        // Whatever overloads one side, small units or a share too large, tasks then go to either.
        task.chosen = if burden(least) > CROWDED * burden(third) { third } else { least };
        Flow::Pass
    }

    /// Ranks the units of either side for this relay, and tells which it keeps to.
    fn rank(&mut self) {
        let width = subset::width(self.meter.rate.per_s(), self.fig.kept);
        for on_trial in [false, true] {
            let of = |unit: &Unit| unit.ready && self.cap_of(unit.build).is_some() == on_trial;
            let units = &self.fleet.units;
            let places: Vec<usize> = (0..units.len()).filter(|&at| of(&units[at])).collect();
            let tags: Vec<u32> = places.iter().map(|&at| units[at].tag).collect();
            for (rank, nth) in subset::order(self.fig.me.0, &tags).into_iter().enumerate() {
                let unit = &mut self.fleet.units[places[nth]];
                (unit.rank, unit.near) = (rank, rank < width);
            }
        }
        self.fleet.ranked = true;
    }

    /// Stage 3: passes the gate, counts the dispatch and sends it.
    fn send(&mut self, task: &mut Task, act: Act) -> Flow {
        if !self.permits(task, task.chosen, false) {
            return Flow::End;
        }
        let track = &self.tracks[task.track.0];
        let time_out = if track.late_pays { task.end } else { task.quoted }.saturating_sub(self.now);
        // Departure: where few take half of it and most of those are lost, another unit can still answer.
        let repeatable = track.effect != Effect::Unrepeatable;
        let early = repeatable && task.tries == 0 && self.meter.loses(SLOWER, APART);
        let time_out = if early && self.rng.random::<f64>() > VAIN_TRIES { time_out / 2 } else { time_out };
        let on_trial = self.cap_of(self.fleet.units[task.chosen].build).is_some();
        let keep = self.fig.window + self.fig.slack * 2;
        let unit = &mut self.fleet.units[task.chosen];
        unit.sent(&task.id, self.now, task.work, self.fig.overload_for);
        if on_trial {
            let counter = (unit.build, self.fig.counted(task.track));
            self.exposure.sent.entry(counter).or_default().add(self.now, 1.0, keep);
        }
        self.meter.in_flight += 1.0;
        task.out = Some((DispatchNo(task.tries), task.chosen, self.now));
        task.tries += 1;
        act.dispatch(&task.id, &unit.id, time_out.max(Duration::from_millis(1)));
        Flow::Keep
    }

    /// The one gate of every dispatch. `as_share` asks for the design's share of the exposure, not all of it.
    fn permits(&self, task: &Task, at: usize, as_share: bool) -> bool {
        let (unit, track) = (&self.fleet.units[at], &self.tracks[task.track.0]);
        let open = task.out.is_none() && task.tries < self.fig.max_dispatches && self.now < task.end;
        let repeat = task.ran.is_none_or(|(ran_at, since)| match track.effect {
            Effect::Idempotent => true,
            Effect::Unrepeatable => false,
            Effect::Deduplicated { group, window } => {
                group.joins(&self.fleet.units[ran_at], unit) && self.now + self.fig.slack < since + window
            }
        });
        let room = || self.cold_room(unit, task.work) && self.exposure_room(task, unit.build, as_share);
        unit.ready && open && repeat && room()
    }

    /// Rule 4. What warm units bear from here, times what a cold one can do of it; below one task, by lot.
    fn cold_room(&self, unit: &Unit, work: f64) -> bool {
        if !unit.is_cold(self.now, self.fig.warm_up) {
            return true;
        }
        let span = self.fig.overload_for;
        let (work_done, secs) = self.meter.bore;
        let warm = work_done / secs.max(0.1) * unit.nominal * span.as_secs_f64();
        let warm = if unit.near { warm } else { 0.0 }; // others keep to it
        let half_ago = self.now.saturating_sub(span / 2);
        let part = COLD_MARGIN * self.fig.fall_multiple * unit.warmth(half_ago, &self.fig);
        let budget = (part * warm).max(1.0 / f64::from(self.fig.relays));
        let one = if unit.lot(self.fig.me) < budget { 1.0 } else { 0.0 };
        unit.sent_cold.sum(self.now, span) + work <= budget.max(one)
    }

    /// The cap and stage of a build on trial, else none; before any news all but the lowest are.
    fn cap_of(&self, build: BuildId) -> Option<(f64, usize)> {
        let first_cap = self.fig.first_cap();
        let listed = || self.fleet.units.iter().filter(|unit| unit.listed).map(|unit| unit.build);
        match &self.news {
            Some(news) => news.cap_of(build, first_cap),
            None => (listed().min() != Some(build)).then_some((first_cap, 0)),
        }
    }

    /// Rule 5. Sends are kept a little longer, tasks a little shorter than the window: ticks are coarse.
    fn exposure_room(&self, task: &Task, build: BuildId, as_share: bool) -> bool {
        let Figures { window, by_track, free, slack, .. } = self.fig;
        let forward = task.key.is_some_and(|key| self.exposure.forward_keys.contains(&key));
        if forward && self.news.is_some_and(|news| news.is_live() && build < news.build) {
            return false;
        }
        let Some((cap, stage)) = self.cap_of(build) else { return true };
        let track = &self.tracks[task.track.0];
        if cap <= 0.0 || (stage < self.fig.closed_stages && track.effect != Effect::Idempotent) {
            return false;
        }
        let counter = (build, self.fig.counted(task.track));
        let of = if by_track { std::slice::from_ref(track) } else { &self.tracks[..] };
        let taken: f64 = of.iter().map(|track| track.taken.sum(self.now, window.saturating_sub(slack))).sum();
        let sent = self.exposure.sent.get(&counter).map_or(0.0, |sent| sent.sum(self.now, window + slack));
        sent + 1.0 <= if as_share { TRIAL_SHARE } else { 1.0 } * (free + cap * taken)
    }

    /// Whether a unit is out of favour: set aside here or by peers' word, on probation, or silent.
    fn is_aside(&self, unit: &Unit) -> bool {
        let on_probation = unit.streak >= STREAK && !unit.waiting.is_empty();
        let slowest = || self.tracks.iter().map(|track| track.slowest(0.02)).fold(TICK * 3, Duration::max);
        let silent = unit.waiting.len() >= 2 && self.now > unit.quiet_since + slowest();
        self.now < unit.away_until.max(unit.shunned_until) || on_probation || silent
    }

    /// A unit told with its answer to a dispatch how many tasks it holds.
    pub fn load_told(&mut self, id: &TaskId, dispatch: DispatchNo, held: f64) {
        let out = self.tasks.get(id).and_then(|task| task.out);
        for (_, at, _) in out.into_iter().filter(|(number, ..)| *number == dispatch) {
            self.fleet.units[at].held.tells(held, self.now, self.meter.usual.value());
            self.meter.usual.tells(held);
        }
    }

    pub fn dispatch_ended(
        &mut self, id: &TaskId, dispatch: DispatchNo, outcome: Outcome, spent: Duration, settled: bool,
        act: Act,
    ) {
        let Some(mut task) = self.tasks.remove(id) else { return };
        let Some((_, unit, sent)) = task.out.take_if(|(number, ..)| *number == dispatch) else {
            return drop(self.tasks.insert(id.clone(), task));
        };
        let at = &mut self.fleet.units[unit];
        at.waiting.retain(|waiting| waiting != id);
        let (build, cold, ran) = (at.build, at.is_cold(sent, self.fig.warm_up), !outcome.never_ran());
        let seen = if sent < at.since { Outcome::Moot } else { outcome }; // of what ran there before
        let (track, repeat, apart) = (task.track, task.failed_on.is_some(), self.is_apart(&task));
        self.meter.in_flight -= 1.0;
        if ran && !repeat {
            self.meter.missed(track, task.tenant, outcome != Outcome::Ok || self.now > task.quoted, LATELY);
            self.meter.paced(outcome, spent, self.tracks[track.0].quoted, [KEEP, LATELY]);
        }
        self.learn(&Ended { unit, track, outcome: seen, spent, cold, repeat, flagged: false, apart }, true);
        if outcome == Outcome::Ok {
            self.meter.handled += task.work;
            let forward = self.fig.forward_only && self.news.is_some_and(|news| news.build == build);
            self.exposure.forward_keys.extend(task.key.filter(|_| forward));
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
        self.meter.missing(task.track, task.tenant).any(|(own, best)| own > APART && best < own / 2.0)
    }

    fn watch_health(&mut self, ended: &Ended) {
        let unit = &mut self.fleet.units[ended.unit];
        // A task that failed elsewhere before may fail anywhere: no evidence about this unit.
        let telling = |failed: &bool| !failed || !ended.repeat && !ended.apart;
        let Some(failed) = ended.failed().filter(telling) else { return };
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

    /// Evidence: what trial units do against what the earlier build's do; failed connects speak of machines.
    fn judge(&mut self, ended: &Ended) {
        if ended.repeat || ended.apart && ended.outcome != Outcome::Error {
            return; // what failed elsewhere before may fail anywhere
        }
        let unit = &self.fleet.units[ended.unit];
        let Some(failed) = ended.failed().filter(|_| ended.outcome != Outcome::ConnectFailed) else { return };
        let late = ended.outcome == Outcome::TimeOut;
        if (ended.cold && late) || unit.streak > STREAK {
            return; // departure: cold or silent units are no evidence against a build
        }
        // Departure: lateness under more load, of both builds, or after the release proves nothing.
        if self.judge.ambient > NATS_FLOOR || self.load() > LOADED * self.judge.load_before {
            self.judge.excused_at = self.now;
        }
        let excused = !self.news.is_some_and(News::is_on_trial)
            || self.now.saturating_sub(ended.spent) <= self.judge.excused_at;
        let (build, kind, judged) = (unit.build, unit.kind, self.judged() == Some(unit.build));
        let (all, keep) = (self.tracks.len(), self.meter.keep);
        let track = &mut self.tracks[ended.track.0];
        let slow = track
            .slow_mark(kind, SLOW_SHARE, BASELINE)
            .filter(|_| !failed)
            .map(|mark| Histogram::bin(ended.spent) > mark);
        // Departure: errors and losses have good rates of their own, so that neither hides the other.
        let kinds = [ended.outcome == Outcome::Error, failed && ended.outcome != Outcome::Error];
        if !judged {
            if self.news.is_some_and(|news| build <= news.build) {
                let pasts = track.failures.entry(kind).or_default();
                for ((past, failed), surge) in pasts.iter_mut().zip(kinds).zip(&mut self.judge.surge) {
                    // Departure: while the earlier build's failures rise, a build's prove nothing.
                    *surge = (*surge + log_ratio(past.good(), failed)).clamp(0.0, LOG_GAMMA);
                    past.beside.add(failed, if *surge > NATS_FLOOR { KEEP } else { keep });
                }
                slow.into_iter().for_each(|slow| track.slow.add(slow, keep));
                // Departure: the earlier build's own lateness, against the time before the trial.
                let ratio = lateness(pasts[1].before + SLOW_SHARE, LATE_TIMES, late || slow == Some(true));
                self.judge.ambient = (self.judge.ambient + ratio).clamp(0.0, LOG_GAMMA);
            }
            return;
        }
        let (pasts, good_slow) = (track.past(kind), track.slow.rate().max(SLOW_SHARE));
        let error = log_ratio(pasts[0].good(), kinds[0]);
        let loss = lateness(pasts[1].good(), LATE_TIMES, kinds[1]);
        let [errors, losses] = self.judge.surge.map(|surge| surge < NATS_FLOOR);
        if errors {
            self.blame(ended.unit, ended.track.0, error);
            self.blame(ended.unit, all, error);
            self.judge.outcomes += 1;
        }
        if losses && !(excused && late) {
            self.blame(ended.unit, all + 1, loss);
        }
        if let Some(slow) = slow.filter(|_| !excused && !ended.cold) {
            self.blame(ended.unit, all + 2, lateness(good_slow, SLOW_TIMES, slow));
        }
        self.judge.tick_outcomes += 1.0;
    }

    fn blame(&mut self, unit: usize, sum: usize, ratio: f64) {
        let own = &mut self.fleet.units[unit].sums;
        own.resize(self.judge.sums.len(), cusum::Cusum::default());
        own[sum].z += ratio;
        self.judge.sums[sum].z += ratio;
    }

    fn learn_times(&mut self, ended: &Ended) {
        // A time-out of a unit that still answers others shows load as a slow answer does.
        let silent = self.fleet.units[ended.unit].streak >= STREAK;
        if matches!(ended.outcome, Outcome::Ok | Outcome::TimeOut) && !silent && !ended.apart {
            let part = 1.0 / (self.meter.keep / KEEP_FOR.as_secs_f64() / 2.0).max(20.0);
            let quoted = self.tracks[ended.track.0].quoted; // however early its client gave up
            let spent = if ended.outcome == Outcome::Ok { ended.spent } else { quoted };
            self.meter.answered(spent, quoted, part);
        }
        let Unit { build, kind, .. } = self.fleet.units[ended.unit];
        if ended.outcome == Outcome::Ok && self.cap_of(build).is_none() {
            let times = self.tracks[ended.track.0].times.entry(kind).or_default();
            times.add(ended.spent, self.meter.keep as u32);
        }
    }

    pub fn stream_began(&mut self, id: &TaskId) {
        self.tasks.get_mut(id).into_iter().for_each(|task| task.stream = true);
    }

    pub fn client_left(&mut self, id: &TaskId, act: Act) {
        let task = self.tasks.get(id).filter(|task| self.fig.may_abandon && !task.stream);
        task.and_then(|task| task.out).into_iter().for_each(|(dispatch, ..)| act.abandon(id, dispatch));
    }

    /// The build that is judged: one seen on trial here, else there is nothing to compare it with.
    fn judged(&self) -> Option<BuildId> {
        self.news.filter(|news| news.is_live() && self.judge.on_trial).map(|news| news.build)
    }

    /// Tasks taken over the last two seconds.
    fn taken(&self) -> f64 {
        self.tracks.iter().map(|track| track.taken.sum(self.now, TICK * 20)).sum()
    }

    /// Tasks a second of all relays that are heard.
    fn fleet_rate(&self) -> f64 {
        (self.taken() + self.peers.heard(self.now, PEER_LAPSE).map(|peer| peer.taken).sum::<f64>())
            / (TICK * 20).as_secs_f64()
    }

    /// Tasks a second for each place; earlier units that do not answer are none, the judged build's own are.
    fn load(&self) -> f64 {
        let place = |unit: &&Unit| match (Some(unit.build) == self.judged(), self.cap_of(unit.build)) {
            (true, cap) => self.fig.replace || cap.is_none(),
            (false, cap) => cap.is_none() && !self.is_aside(unit),
        };
        self.fleet_rate() / self.fleet.ready().filter(place).count().max(1) as f64
    }

    pub fn build_news(&mut self, build: BuildId, stage: Stage, phase: Phase, cap: f64, act: Act) {
        let news = News { build, stage, phase, cap };
        let same = self.news.is_some_and(|last| last.build == build);
        self.judge.on_trial = phase == Phase::OnTrial || (same && self.judge.on_trial);
        let Some(last) = self.news.replace(news).filter(|&last| last != news) else { return };
        if last.build != build {
            self.judge.starts(self.load(), self.meter.shed_within(BUSY_FOR, self.now));
            self.tracks.iter_mut().for_each(|track| track.trial_begins(SLOW_SHARE));
            self.exposure.starts(build);
        } else if cap < last.cap {
            self.exposure.lower_cap_at = Some(self.now + self.fig.drain_grace);
        }
        if (last.build, last.stage) != (build, stage) {
            self.judge.stage_begins(self.now);
        }
        self.voice.forget();
        if self.fig.fuses {
            act.log(&format!("build {} stage {} {phase:?} cap {cap}", build.0, stage.0));
        }
    }

    pub fn complaint(&mut self, unit: &UnitId, track: TrackId) {
        let at = self.fleet.index.get(unit).copied();
        at.into_iter().for_each(|at| self.learn(&Ended::report(at, track), true));
    }

    /// The chain's outward way, for this relay's own outcomes and, departure, for those that peers tell.
    fn learn(&mut self, ended: &Ended, own: bool) {
        match ended.flagged {
            true => self.flagged(ended.unit, ended.track),
            false => CHAIN.iter().rev().for_each(|(_, outward)| outward(self, ended)),
        }
        let tell = own && self.fig.tells;
        self.judge.untold.extend(tell.then(|| self.fleet.told(ended)).into_iter().flatten());
    }

    fn flagged(&mut self, at: usize, track: TrackId) {
        let Unit { build, kind, .. } = self.fleet.units[at];
        if self.judged() != Some(build) {
            self.tracks[track.0].failures.entry(kind).or_default()[0].beside.failures += 1.0;
            return;
        }
        // Departure: it was counted as good; where only a share is reported, each report speaks for more.
        let wrong = (1.0 / self.fig.complaint_share.max(0.01)).clamp(1.0, FLAG_WEIGHT);
        let good = self.tracks[track.0].past(kind)[0].good();
        let ratio = (log_ratio(good, true) - log_ratio(good, false)) * wrong;
        [track.0, self.tracks.len()].iter().for_each(|&sum| self.blame(at, sum, ratio));
    }

    pub fn note_from(&mut self, from: PeerId, payload: &[u8]) {
        let Some((entry, rest)) = PeerEntry::decode(payload, self.now) else { return };
        if !self.fig.fuses && from.0 < FUSERS {
            self.meter.time_ratio += (entry.time_ratio - self.meter.time_ratio) * 0.5;
        }
        self.peers.0.insert(from, entry);
        let told = self.fleet.shun(rest, self.now + TICK * TELL_EVERY as u32 * 3 / 2);
        let told: Vec<Ended> = self.fleet.heard(told, self.tracks.len()).collect();
        told.iter().for_each(|ended| self.learn(ended, false));
    }

    pub fn woken(&mut self, _token: Token, act: Act) {
        act.wake(TICK, Token(0));
        self.ticks += 1;
        self.measure();
        self.run_cusum();
        let fused = self.fuse();
        self.judge.clear_since = if fused > 0.0 { self.now } else { self.judge.clear_since };
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
        meter.rate.add(std::mem::take(&mut meter.arrived), TICK, BORE_FOR);
        // Little's law: open tasks that end in that part of their quoted times, or its part of two a unit.
        let part = (count * 2.0 / f64::from(self.fig.relays)).max(1.0);
        meter.limit = (meter.limit * 1.03 + 0.1 * part).min(count * 16.0);
        if meter.time_ratio > BUSY_RATIO {
            meter.limit = (meter.served_rate * BUSY_RATIO * meter.mean_quoted).max(part);
            meter.busy_at = Some(self.now);
        }
        if self.exposure.lower_cap_at.take_if(|at| self.now >= *at).is_some() {
            self.exposure.sent.values_mut().for_each(Window::clear);
        }
    }

    fn run_cusum(&mut self) {
        let busy = self.is_busy();
        let judge = &mut self.judge;
        let units = self.fleet.units.iter_mut().flat_map(|unit| &mut unit.sums);
        for sum in judge.sums.iter_mut().chain(units) {
            sum.tick();
        }
        judge.tick(busy || judge.ambient > NATS_FLOOR, TICK, 0.97, 0.1); // it fades where none answers
        let rate = if self.fig.fuses { judge.outcome_rate } else { 0.0 }; // the others' is weighed there
        let good = TrackState::good_rate(&self.tracks);
        self.judge.divergence = cusum::divergence(good, rate);
        let weight = self.judge.divergence / self.largest();
        let threshold = cusum::threshold(weight, ALARMS_M);
        // Departure: the build may slow both; the dearer a good one lost, the longer that is borne.
        let held =
            self.judge.held > HOLD.mul_f64(self.fig.delay_price) && self.news.is_some_and(News::is_on_trial);
        let alarm = || self.judge.outcomes >= MIN_OUTCOMES && self.worst().0 > threshold;
        self.judge.bit = self.fig.fuses && (held || alarm());
    }

    /// The largest sum, and which. Departure: what the worst units bring beyond the median one is left out.
    fn worst(&self) -> (f64, usize) {
        let trial = || self.judged().into_iter().flat_map(|build| self.fleet.ready_of(build));
        let count = trial().count();
        // After the release nothing runs beside: what half of the units do not show is not the build's.
        let share = if self.news.is_some_and(News::is_on_trial) { ASIDE_SHARE / 2.0 } else { 0.5 };
        let few = ((count as f64 * share) as usize).max(usize::from(count >= 3));
        let own = |at: usize| trial().filter_map(|unit| Some(unit.sums.get(at)?.w)).collect();
        // Fewer than 3 units may be slow machines all, so that only errors and reports count.
        let late = [self.tracks.len() + 1, self.tracks.len() + 2];
        let sums = self.judge.sums.iter().enumerate().filter(|(at, _)| count >= 3 || !late.contains(at));
        let sums = sums.map(|(at, sum)| (sum.w - excess(own(at), few), at));
        sums.fold((0.0, 0), |most, sum| if sum.0 > most.0 { sum } else { most })
    }

    fn live_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        let judged = self.judged();
        self.peers.heard(self.now, PEER_LAPSE).filter(move |peer| Some(peer.build) == judged)
    }

    fn largest(&self) -> f64 {
        self.live_peers().map(|peer| peer.divergence).fold(self.judge.divergence.max(1e-9), f64::max)
    }

    /// The weighted sum of alarm bits.
    fn fuse(&self) -> f64 {
        let own = (self.judge.bit, self.judge.divergence);
        let bits = self.live_peers().map(|peer| (peer.bit, peer.divergence)).chain([own]);
        cusum::fuse(bits, self.largest())
    }

    /// Departure: each relay tells its outcomes to the first few, which count them as their own and tell all
    /// their bits, I and units set aside. Messages grow with relays, not with their square.
    fn tell(&mut self, act: Act) {
        let untold = std::mem::take(&mut self.judge.untold);
        let Some(news) = self.news.filter(|_| self.fig.tells) else { return };
        let entry = self.judge.entry(news, self.now, self.taken(), self.meter.time_ratio);
        let all_fuse = self.fig.relays <= FUSERS;
        let fusers = (0..FUSERS).filter(|&fuser| fuser != self.fig.me.0).map(|fuser| Some(PeerId(fuser)));
        let to: Vec<Option<PeerId>> = if all_fuse { vec![None] } else { fusers.collect() };
        for note in entry.notes(&[], &untold) {
            to.iter().for_each(|&peer| act.tell(peer, &note));
        }
        if !all_fuse && self.fig.fuses {
            let units = self.fleet.ready().filter(|unit| self.now < unit.away_until);
            entry.notes(&Fleet::tags(units), &[]).iter().for_each(|note| act.tell(None, note));
        }
    }

    /// Whether tasks have been shed of late, and were not before the trial.
    fn is_busy(&self) -> bool {
        !self.judge.busy_before && self.meter.shed_within(BUSY_FOR, self.now)
    }

    /// Which vote this relay stands for, and whether the evidence is in: else it is one ahead of it.
    fn stance(&mut self, news: News, fused: f64) -> (Vote, bool) {
        self.judge.on = self.may_go_on(news, fused);
        match news.phase {
            Phase::OnTrial | Phase::Released if fused >= ALARMS_M => return (Vote::Back, true),
            Phase::OnTrial => {}
            _ => return (Vote::Nothing, true),
        }
        let fusers = || self.live_peers().filter(|peer| peer.stage == news.stage && peer.outcomes > 0);
        let most = fusers().filter(|peer| peer.on).count() * 2 > fusers().count();
        let on = if self.fig.fuses { self.judge.on } else { fused <= 0.0 && most };
        let vote = match self.fig.gate {
            GateMode::Automatic if self.judge.bit => Vote::Hold,
            GateMode::FirstVoice if on && self.fig.me.0 < PROCEED_VOICES => Vote::On,
            // Departure: a round of votes takes long: those without whom it is not one vote ahead of it.
            GateMode::ByCount if on || self.fig.turns.is_early() && self.is_unharmed(fused) => Vote::On,
            _ => Vote::Nothing,
        };
        (vote, on || vote == Vote::Hold)
    }

    /// Whether nothing speaks against the build so far.
    fn is_unharmed(&self, fused: f64) -> bool {
        fused <= 0.0 && !self.judge.bit && self.worst().0 < CLEAR_NATS
    }

    /// Whether the build may go on to its next stage, by what this relay knows.
    fn may_go_on(&self, news: News, fused: f64) -> bool {
        let trial = self.fleet.ready_of(news.build);
        let youngest = trial.map(|unit| self.now.saturating_sub(unit.started.unwrap_or_default())).min();
        let Some(youngest) = youngest else { return false };
        // Departure: a stage most of whose units the list does not show yet has shown nothing.
        let earlier = self.fleet.ready().filter(|unit| unit.build < news.build).count();
        let (seen, share) =
            (self.fleet.ready_of(news.build).count(), self.fig.stage_shares.get(news.stage.0));
        let places = if self.fig.replace { earlier + seen } else { earlier.max(seen) } as f64;
        if (seen as f64) < share.unwrap_or(&0.0) * places * LISTED {
            return false;
        }
        // Departure: the last stage, with the earlier units still standing by, is the cheap place to wait.
        let last = news.stage.0 == self.fig.stage_caps.len().saturating_sub(1) && !self.fig.replace;
        let wait = if last { self.fig.warm_up + TICK * 10 } else { Duration::ZERO };
        // Departure: nothing goes on while tasks are shed, both are late, or what fails proves nothing.
        let calm = !self.is_busy() && self.judge.ambient < NATS_FLOOR || news.cap < SMALL_CAP;
        let calm = calm && self.judge.surge.iter().all(|&surge| surge < NATS_FLOOR);
        let clear = calm && fused <= 0.0 && self.worst().0 < CLEAR_NATS && youngest >= wait;
        // Departure: the more the next stage exposes, the more outcomes it takes.
        let next = *self.fig.stage_caps.get(news.stage.0 + 1).unwrap_or(&1.0);
        let enough = f64::from(self.judge.outcomes) >= EVIDENCE * next;
        clear && enough && self.now >= self.judge.clear_since + youngest.min(self.fig.warm_up)
    }

    fn cast(&mut self, fused: f64, act: Act) {
        let Some(news) = self.news else { return };
        let (vote, settled) = self.stance(news, fused);
        // Where one voice is enough, hundreds need not speak; the platform takes so many votes of all.
        let voices = if self.fig.gate == GateMode::FirstVoice { FUSERS } else { self.fig.relays };
        let wished = self.voice.wishes(Some(vote).filter(|&vote| vote != Vote::Nothing), self.now);
        let (turns, life) = (&self.fig.turns, self.fig.vote_life);
        let settled = self.voice.settles(settled, self.now, life);
        let turn = match vote {
            Vote::Back => turns.in_haste(wished),
            Vote::Nothing => turns.back(wished),
            _ => turns.forward(self.judge.stage_at, news.stage.0 > 0, settled, life),
        };
        let ahead = vote == Vote::On && settled.is_none();
        let renew = if ahead { Duration::MAX } else { turns.renew(life, RENEW) };
        let wait = self.fig.answer_wait + TICK;
        if self.fig.me.0 >= voices
            || !self.voice.is_due(turn, self.now, wait, turns.gap(voices, TICK * 2), renew)
        {
            return;
        }
        if self.voice.said().unwrap_or(Vote::Nothing) != vote && self.fig.fuses {
            act.log(&self.judge.line(news, vote, fused, self.worst()));
        }
        self.voice.calls(self.now);
        act.vote(news.build, news.stage, vote);
    }

    pub fn list_failed(&self, act: Act) {
        act.follow_list();
    }

    pub fn vote_answered(&mut self, outcome: Outcome) {
        let draw = self.rng.random();
        match outcome {
            Outcome::Ok => self.voice.taken(),
            Outcome::Moot => self.voice.refused(self.now, |_| self.fig.vote_life), // the news is on its way
            _ => self.voice.refused(self.now, |times| self.fig.turns.again(times, draw)),
        }
    }
}
