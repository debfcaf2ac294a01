//! All decisions of a relay.
//!
//! A front makes one [`Relay`] per relay with [`Relay::start`], calls [`Relay::clock`] with the time, then the
//! method of what happened, with its decoded fields; whatever the module wants done comes out through
//! [`Actions`](crate::Actions). Ids, settings and that trait are in `lib.rs`, histograms in `histogram.rs`.
//! A task runs through [`CHAIN`] inwards; what comes back runs through it outwards. [`Relay::permits`] is the one
//! gate of every dispatch, [`Relay::close`] the one place of nacks and terminations. Departures from the design
//! page are marked "departure" and argued in `docs/design.md`.

use crate::histogram::{Histogram, Tally};
use crate::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

// From the design page.
const TICK: Duration = Duration::from_millis(100);
const LOG_GAMMA: f64 = 9.21; // ln 10^4 ticks
const NATS_FLOOR: f64 = 4.0;
const VOTES_M: f64 = 2.0;
const MIN_OUTCOMES: u32 = 10;
const TRIAL_SHARE: f64 = 0.8;
const PEER_EVERY: u64 = 10; // ticks
const PEER_LAPSE: Duration = Duration::from_secs(3);
const PROCEED_VOICES: u32 = 3;
// Ours; the range over which each was seen not to matter is in docs/design.md.
const KEEP: f64 = 400.0; // outcomes held of the earlier build before halving
const CLEAR_NATS: f64 = 2.0; // a sum above this is no ground to go on
const SLOW_SHARE: f64 = 0.1; // of the earlier build's answers lie above the slow mark
const COLD_MARGIN: f64 = 0.7; // of what the rule on cold units would bear
const BUSY_RATIO: f64 = 0.5; // mean answer time over quoted time above which tasks are given up early
const ASIDE_SHARE: f64 = 0.3; // of a build's units may be set aside at once
const STREAK: u32 = 3; // failures in a row that set a unit aside
const VERSION: u8 = 1;

struct TrackFigures {
    effect: Effect,
    quoted: Duration,
    stretch: f64,
    late_pays: bool,
    utility: f64,
    times: Histogram,
    taken: VecDeque<Duration>,
    failures: Tally,
    slow: Tally,
}

struct Unit {
    id: UnitId,
    build: BuildId,
    zone: Option<ZoneId>,
    cell: CellId,
    nominal: f64,
    ready: bool,
    listed: bool,
    started: Option<Duration>,
    in_flight: u32,
    sent_cold: VecDeque<(Duration, f64)>,
    quiet_since: Duration,
    streak: u32,
    recent: Tally,
    away_until: Duration,
    away_for: Duration,
}

struct Task {
    id: TaskId,
    track: TrackId,
    tenant: Option<TenantId>,
    key: Option<Key>,
    work: f64,
    end: Duration,
    quoted: Duration,
    over: bool,
    tries: u32,
    out: Option<(DispatchNo, usize, Duration)>,
    ran: Option<(usize, Duration)>,
    failed_on: Option<usize>,
    chosen: usize,
    stream: bool,
}

struct Ended {
    unit: usize,
    outcome: Outcome,
    spent: Duration,
}

enum Flow {
    Pass,
    Keep,
    End,
}

type Inward = fn(&mut Relay, &mut Task, &mut dyn Actions) -> Flow;
type Outward = fn(&mut Relay, &mut Task, &Ended);
const CHAIN: [(Inward, Outward); 4] = [
    (Relay::admit, Relay::learn_times),
    (Relay::choose, Relay::judge),
    (Relay::check, Relay::watch_health),
    (Relay::send, Relay::came_back),
];

#[derive(Clone, Copy, Default)]
struct Cusum {
    w: f64,
    z: f64,
}

struct PeerEntry {
    at: Duration,
    build: BuildId,
    stage: Stage,
    bit: u8,
    divergence: f64,
    outcomes: u32,
}

struct News {
    build: BuildId,
    stage: Stage,
    phase: Phase,
    cap: f64,
}

pub struct Relay {
    now: Duration,
    rng: Pcg64Mcg,
    me: PeerId,
    relays: f64,
    zone: Option<ZoneId>,
    tracks: Vec<TrackFigures>,
    quotas: Vec<f64>,
    tenant_rates: Vec<f64>,
    tenant_counts: Vec<f64>,
    over_worth: f64,
    margin: Duration,
    zone_penalty: f64,
    may_abandon: bool,
    tells: bool,
    asks_list: bool,
    hold_off: Duration,
    max_dispatches: u32,
    cold_from: f64,
    warm_up: Duration,
    cold_multiple: f64,
    overload_for: Duration,
    drain_grace: Duration,
    gate: GateMode,
    first_cap: f64,
    closed_stages: usize,
    free: f64,
    window: Duration,
    by_track: bool,
    forward_only: bool,
    forward_keys: HashSet<Key>,
    vote_renew: Duration,
    vote_gap: Duration,
    answer_wait: Duration,
    units: Vec<Unit>,
    index: HashMap<UnitId, usize>,
    tasks: HashMap<TaskId, Task>,
    in_flight: f64,
    limit: f64,
    time_ratio: f64,
    mean_work: f64,
    handled: f64,
    unit_rate: f64,
    news: Option<News>,
    exposed: BTreeMap<(BuildId, usize), VecDeque<Duration>>,
    lower_cap_at: Option<Duration>,
    sums: Vec<Cusum>,
    stage_outcomes: u32,
    tick_outcomes: f64,
    outcome_rate: f64,
    bit: u8,
    divergence: f64,
    peers: BTreeMap<PeerId, PeerEntry>,
    clear_since: Duration,
    ticks: u64,
    voted: Option<(BuildId, Stage, Vote)>,
    voted_at: Duration,
    vote_stands: bool,
    vote_waits: bool,
}

impl Relay {
    pub fn start(settings: &Settings, salt: u64, now: Duration, act: &mut dyn Actions) -> Relay {
        let relays = f64::from(settings.relays);
        let tracks = settings.tracks.iter().map(|track| TrackFigures {
            effect: track.effect,
            quoted: track.quoted,
            stretch: track.quoted_stretch,
            late_pays: track.late_utility > 0.0,
            utility: track.utility,
            times: Histogram::default(),
            taken: VecDeque::new(),
            failures: Tally::default(),
            slow: Tally::default(),
        });
        act.wake(TICK, Token(0));
        if settings.ask_for_list {
            act.follow_list();
        }
        Relay {
            now,
            rng: Pcg64Mcg::seed_from_u64(salt),
            me: settings.me,
            relays,
            zone: settings.zone,
            tracks: tracks.collect(),
            quotas: settings.tenant_quotas.iter().map(|quota| quota / relays).collect(),
            tenant_rates: vec![0.0; settings.tenant_quotas.len()],
            tenant_counts: vec![0.0; settings.tenant_quotas.len()],
            over_worth: settings.over_share_worth,
            margin: settings.granularity * 2,
            zone_penalty: if settings.cross_zone_charge > 0.0 { 2.0 } else { 0.0 },
            may_abandon: settings.may_abandon,
            tells: settings.may_tell_peers && settings.relays > 1,
            asks_list: settings.ask_for_list,
            hold_off: if settings.may_name_hold_off { settings.max_hold_off } else { Duration::ZERO },
            max_dispatches: settings.max_dispatches,
            cold_from: settings.cold_from,
            warm_up: settings.warm_up,
            cold_multiple: settings.fall_multiple * COLD_MARGIN,
            overload_for: settings.overload_for,
            drain_grace: settings.drain_grace,
            gate: settings.gate,
            first_cap: settings.stage_caps.first().copied().unwrap_or(0.0),
            closed_stages: settings.closed_stages,
            free: settings.exposure_free,
            window: settings.exposure_window,
            by_track: settings.exposure_by_track,
            forward_only: settings.forward_only,
            forward_keys: HashSet::new(),
            vote_renew: settings.vote_life.mul_f64(0.6),
            vote_gap: Duration::from_secs_f64(relays / settings.votes_per_s.max(0.1)).max(TICK * 2),
            answer_wait: settings.answer_wait + TICK,
            units: Vec::new(),
            index: HashMap::new(),
            tasks: HashMap::new(),
            in_flight: 0.0,
            limit: f64::INFINITY,
            time_ratio: 0.0,
            mean_work: 0.0,
            handled: 0.0,
            unit_rate: 0.0,
            news: None,
            exposed: BTreeMap::new(),
            lower_cap_at: None,
            sums: vec![Cusum::default(); settings.tracks.len() + 2],
            stage_outcomes: 0,
            tick_outcomes: 0.0,
            outcome_rate: 0.0,
            bit: 0,
            divergence: 0.0,
            peers: BTreeMap::new(),
            clear_since: now,
            ticks: 0,
            voted: None,
            voted_at: Duration::ZERO,
            vote_stands: false,
            vote_waits: false,
        }
    }

    pub fn clock(&mut self, now: Duration) {
        self.now = now;
    }

    // ---- The list ----

    pub fn list_begins(&mut self, whole: bool) {
        if whole {
            self.units.iter_mut().for_each(|unit| unit.listed = false);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn unit_listed(
        &mut self,
        id: UnitId,
        build: BuildId,
        zone: Option<ZoneId>,
        cell: CellId,
        health: Health,
        nominal: f64,
        started: Option<Duration>,
    ) {
        let now = self.now;
        let at = *self.index.entry(id.clone()).or_insert_with(|| {
            self.units.push(Unit {
                id,
                build,
                zone,
                cell,
                nominal,
                ready: false,
                listed: false,
                started,
                in_flight: 0,
                sent_cold: VecDeque::new(),
                quiet_since: now,
                streak: 0,
                recent: Tally::default(),
                away_until: Duration::ZERO,
                away_for: TICK * 10,
            });
            self.units.len() - 1
        });
        let unit = &mut self.units[at];
        if started != unit.started || build != unit.build {
            // A new process, perhaps another machine under an old id: what was learned is void.
            (unit.streak, unit.recent, unit.away_until) = (0, Tally::default(), Duration::ZERO);
            unit.quiet_since = now;
        }
        (unit.build, unit.zone, unit.cell, unit.nominal) = (build, zone, cell, nominal.max(0.01));
        (unit.started, unit.ready, unit.listed) = (started, health == Health::Ready, health != Health::Gone);
    }

    pub fn list_ends(&mut self, _act: &mut dyn Actions) {
        self.units.iter_mut().filter(|unit| !unit.listed).for_each(|unit| unit.ready = false);
    }

    pub fn list_failed(&mut self, act: &mut dyn Actions) {
        if self.asks_list {
            act.follow_list();
        }
    }

    // ---- Tasks ----

    #[allow(clippy::too_many_arguments)]
    pub fn task_taken(
        &mut self,
        id: TaskId,
        track: TrackId,
        tenant: Option<TenantId>,
        key: Option<Key>,
        left: Duration,
        work: Option<Duration>,
        act: &mut dyn Actions,
    ) {
        let work = work.map_or(0.0, |work| work.as_secs_f64());
        self.mean_work += (work - self.mean_work) * 0.02;
        let relative = if work > 0.0 { (work / self.mean_work.max(work * 0.02)).max(0.2) } else { 1.0 };
        let figures = &mut self.tracks[track.0];
        figures.taken.push_back(self.now);
        let quoted = figures.quoted + Duration::from_secs_f64(work * figures.stretch);
        let over = tenant.is_some_and(|TenantId(tenant)| {
            self.tenant_counts[tenant] += 1.0;
            self.rng.random::<f64>() > 1.1 * self.quotas[tenant] / self.tenant_rates[tenant].max(1e-9)
        });
        let task = Task {
            id,
            track,
            tenant,
            key,
            work: relative,
            end: (self.now + left).saturating_sub(self.margin),
            quoted: self.now + quoted.min(left).saturating_sub(self.margin),
            over,
            tries: 0,
            out: None,
            ran: None,
            failed_on: None,
            chosen: 0,
            stream: false,
        };
        self.run_chain(task, act);
    }

    fn run_chain(&mut self, mut task: Task, act: &mut dyn Actions) {
        for (inward, _) in CHAIN {
            match inward(self, &mut task, act) {
                Flow::Pass => {}
                Flow::Keep => {
                    self.tasks.insert(task.id.clone(), task);
                    return;
                }
                Flow::End => return self.close(task, act),
            }
        }
    }

    /// The one place of final answers by this relay: a nack where trying again is harmless, else a termination.
    fn close(&mut self, task: Task, act: &mut dyn Actions) {
        let harmless = match self.tracks[task.track.0].effect {
            Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. } => true,
            Effect::Deduplicated { .. } | Effect::Unrepeatable => task.ran.is_none(),
        };
        if !harmless {
            return act.terminate(&task.id);
        }
        // Busy or past its quoted time, another try now would only add load.
        let busy = self.time_ratio > BUSY_RATIO || self.now + self.margin >= task.quoted;
        act.nack(&task.id, if busy { self.hold_off } else { Duration::ZERO });
    }

    /// Stage 1: gives up early what load leaves no room for, least utility first.
    fn admit(&mut self, task: &mut Task, _act: &mut dyn Actions) -> Flow {
        let track = &self.tracks[task.track.0];
        if self.now >= if track.late_pays { task.end } else { task.quoted } {
            return Flow::End;
        }
        let top = self.tracks.iter().map(|track| track.utility).fold(0.0, f64::max).max(1e-9);
        let worth = track.utility * if task.over { self.over_worth } else { 1.0 } / top;
        if task.tries == 0 && self.in_flight >= self.limit * (0.6 + 0.4 * worth) {
            return Flow::End;
        }
        Flow::Pass
    }

    /// Stage 2: two random choices by in-flight count, with the trial build under its share of the allowance.
    fn choose(&mut self, task: &mut Task, _act: &mut dyn Actions) -> Flow {
        let aside: Vec<bool> = (0..self.units.len()).map(|at| self.is_aside(at)).collect();
        let mut able: Vec<usize> =
            (0..self.units.len()).filter(|&at| self.permits(task, at, false)).collect();
        let prefer = |able: &mut Vec<usize>, wanted: &dyn Fn(usize) -> bool| {
            if able.iter().any(|&at| wanted(at)) {
                able.retain(|&at| wanted(at));
            }
        };
        let failed_on = task.failed_on;
        let cap = |at: usize| self.cap_of(self.units[at].build);
        prefer(&mut able, &|at| self.permits(task, at, true));
        prefer(&mut able, &|at| !aside[at]);
        prefer(&mut able, &|at| failed_on.is_none_or(|failed| failed != at && cap(at).is_none()));
        if able.is_empty() {
            return Flow::End;
        }
        let first = able[self.rng.random_range(0..able.len())];
        let second = able[self.rng.random_range(0..able.len())];
        let burden = |at: usize| {
            let unit = &self.units[at];
            let away = if unit.zone == self.zone { 0.0 } else { self.zone_penalty };
            (f64::from(unit.in_flight) + 1.0 + away) / unit.nominal
        };
        task.chosen = if burden(second) < burden(first) { second } else { first };
        Flow::Pass
    }

    /// Stage 3: the rules, for whatever unit was chosen.
    fn check(&mut self, task: &mut Task, _act: &mut dyn Actions) -> Flow {
        if self.permits(task, task.chosen, false) {
            Flow::Pass
        } else {
            Flow::End
        }
    }

    /// Stage 4: counts the dispatch and sends it.
    fn send(&mut self, task: &mut Task, act: &mut dyn Actions) -> Flow {
        let track = &self.tracks[task.track.0];
        let quoted_left = task.quoted.saturating_sub(self.now);
        let again = task.tries + 1 < self.max_dispatches && track.effect != Effect::Unrepeatable;
        let typical = Histogram::edge(track.times.bin_at(0.25));
        let time_out = if again && quoted_left > typical * 2 && track.times.total() > 20 {
            quoted_left - typical
        } else if track.late_pays {
            task.end.saturating_sub(self.now)
        } else {
            quoted_left
        };
        let unit = &mut self.units[task.chosen];
        if unit.in_flight == 0 {
            unit.quiet_since = self.now;
        }
        unit.in_flight += 1;
        if unit.started.is_some_and(|started| self.now < started + self.warm_up) {
            unit.sent_cold.push_back((self.now, task.work));
        }
        let build = unit.build;
        if self.cap_of(build).is_some() {
            let track = if self.by_track { task.track.0 } else { 0 };
            self.exposed.entry((build, track)).or_default().push_back(self.now);
        }
        self.in_flight += 1.0;
        task.out = Some((DispatchNo(task.tries), task.chosen, self.now));
        task.tries += 1;
        act.dispatch(&task.id, &self.units[task.chosen].id, time_out.max(Duration::from_micros(1)));
        Flow::Keep
    }

    /// The one gate of every dispatch. `as_share` asks for the design's share of the exposure, not all of it.
    fn permits(&self, task: &Task, at: usize, as_share: bool) -> bool {
        let (unit, track) = (&self.units[at], &self.tracks[task.track.0]);
        if !unit.ready || task.out.is_some() || task.tries >= self.max_dispatches || self.now >= task.end {
            return false;
        }
        let repeat = task.ran.is_none_or(|(ran_at, since)| match track.effect {
            Effect::Idempotent => true,
            Effect::Unrepeatable => false,
            Effect::Deduplicated { group, window } => {
                let first = &self.units[ran_at];
                let same = match group {
                    Group::All => true,
                    Group::Zone => first.zone == unit.zone,
                    Group::Cell => first.cell == unit.cell && first.zone == unit.zone,
                };
                same && self.now + self.margin < since + window
            }
        });
        repeat && self.cold_room(unit, task.work) && self.exposure_room(task, unit.build, as_share)
    }

    /// Rule 4. What warm units bear from this relay, learned, times what is left of a cold unit's capacity.
    fn cold_room(&self, unit: &Unit, work: f64) -> bool {
        let Some(started) = unit.started.filter(|&started| self.now < started + self.warm_up) else {
            return true;
        };
        let age = self.now.saturating_sub(started + self.overload_for / 2).as_secs_f64();
        let part = self.cold_from + (1.0 - self.cold_from) * (age / self.warm_up.as_secs_f64()).min(1.0);
        let span = self.overload_for.as_secs_f64();
        let budget = self.cold_multiple * part * self.unit_rate * unit.nominal * span;
        let recent = unit.sent_cold.iter().rev().take_while(|(at, _)| *at + self.overload_for >= self.now);
        let sent: f64 = recent.map(|(_, work)| work).sum();
        sent + work <= budget.max(1.0)
    }

    /// The cap and stage of a build on trial; none for a build that is not.
    fn cap_of(&self, build: BuildId) -> Option<(f64, usize)> {
        let Some(news) = &self.news else {
            let lowest = self.units.iter().filter(|unit| unit.listed).map(|unit| unit.build).min();
            return (lowest != Some(build)).then_some((self.first_cap, 0));
        };
        match (build.cmp(&news.build), news.phase) {
            (std::cmp::Ordering::Less, _) | (std::cmp::Ordering::Equal, Phase::Released) => None,
            (std::cmp::Ordering::Equal, Phase::OnTrial) => Some((news.cap, news.stage.0)),
            (std::cmp::Ordering::Equal, _) => Some((0.0, 0)),
            (std::cmp::Ordering::Greater, _) => Some((self.first_cap, 0)),
        }
    }

    /// Rule 5. Sends are kept a little longer and tasks a little shorter than the window, as ticks are coarse.
    fn exposure_room(&self, task: &Task, build: BuildId, as_share: bool) -> bool {
        let track = &self.tracks[task.track.0];
        if self.forward_only && task.key.is_some_and(|key| self.forward_keys.contains(&key)) {
            let trial = self.news.as_ref().filter(|n| matches!(n.phase, Phase::OnTrial | Phase::Released));
            if trial.is_some_and(|news| build < news.build) {
                return false;
            }
        }
        let Some((cap, stage)) = self.cap_of(build) else { return true };
        if cap <= 0.0 || (stage < self.closed_stages && track.effect != Effect::Idempotent) {
            return false;
        }
        let within = |times: &VecDeque<Duration>, span: Duration| {
            times.iter().rev().take_while(|&&at| at + span > self.now).count() as f64
        };
        let (of, taken): (usize, f64) = if self.by_track {
            (task.track.0, within(&track.taken, self.window - self.margin))
        } else {
            (0, self.tracks.iter().map(|track| within(&track.taken, self.window - self.margin)).sum())
        };
        let sent = self.exposed.get(&(build, of)).map_or(0.0, |sent| within(sent, self.window + self.margin));
        let share = if as_share { TRIAL_SHARE } else { 1.0 };
        sent + 1.0 <= share * (self.free + cap * taken)
    }

    /// Whether a unit is out of favour: set aside for failures, or silent while work waits there.
    fn is_aside(&self, at: usize) -> bool {
        let unit = &self.units[at];
        let back = unit.streak >= STREAK && unit.in_flight > 0;
        let silent = unit.in_flight >= 2 && self.now > unit.quiet_since + self.silence();
        self.now < unit.away_until || back || silent
    }

    fn silence(&self) -> Duration {
        let slowest = self.tracks.iter().map(|track| Histogram::edge(track.times.bin_at(0.02))).max();
        slowest.unwrap_or_default().max(TICK * 3)
    }

    #[allow(clippy::too_many_arguments)]
    pub fn dispatch_ended(
        &mut self,
        id: &TaskId,
        dispatch: DispatchNo,
        _unit: &UnitId,
        outcome: Outcome,
        spent: Duration,
        settled: bool,
        _load: Load,
        act: &mut dyn Actions,
    ) {
        let Some(mut task) = self.tasks.remove(id) else { return };
        let Some((_, unit, _)) = task.out.filter(|(number, ..)| *number == dispatch) else {
            self.tasks.insert(id.clone(), task);
            return;
        };
        let ended = Ended { unit, outcome, spent };
        for (_, outward) in CHAIN.iter().rev() {
            outward(self, &mut task, &ended);
        }
        if !settled {
            self.run_chain(task, act);
        }
    }

    fn came_back(&mut self, task: &mut Task, ended: &Ended) {
        let unit = &mut self.units[ended.unit];
        unit.in_flight = unit.in_flight.saturating_sub(1);
        self.in_flight -= 1.0;
        let sent = task.out.take().map_or(self.now, |(_, _, at)| at);
        if ended.outcome != Outcome::Ok {
            task.failed_on = Some(ended.unit);
            if !ended.outcome.never_ran() && task.ran.is_none() {
                task.ran = Some((ended.unit, sent));
            }
        }
    }

    fn watch_health(&mut self, _task: &mut Task, ended: &Ended) {
        let floor = self.room_aside(self.units[ended.unit].build);
        let unit = &mut self.units[ended.unit];
        let failed = match ended.outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::TimeOut | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Full | Outcome::Abandoned | Outcome::Moot => return,
        };
        unit.recent.add(failed, 24.0);
        if !failed {
            (unit.streak, unit.away_for, unit.quiet_since) = (0, TICK * 10, self.now);
            return;
        }
        if ended.outcome == Outcome::Error {
            unit.quiet_since = self.now;
        }
        unit.streak += 1;
        let often = unit.recent.failures >= 4.0 && unit.recent.rate() > 0.2;
        if (unit.streak >= STREAK || often) && floor && self.now >= unit.away_until {
            unit.away_until = self.now + unit.away_for;
            unit.away_for = (unit.away_for * 2).min(TICK * 80);
            unit.recent = Tally::default();
        }
    }

    /// Never more than a share of a build's units are set aside: beyond that it is not the units.
    fn room_aside(&self, build: BuildId) -> bool {
        let of_build = || self.units.iter().filter(|unit| unit.ready && unit.build == build);
        let aside = of_build().filter(|unit| self.now < unit.away_until).count() as f64;
        aside + 1.0 <= ASIDE_SHARE * of_build().count() as f64
    }

    /// Evidence: what trial units do against what the earlier build's do at the same time.
    fn judge(&mut self, task: &mut Task, ended: &Ended) {
        let unit = &self.units[ended.unit];
        let failed = match ended.outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::TimeOut | Outcome::Reset => true,
            // Full queues and failed connects speak of load or a machine, not of the build.
            Outcome::Full | Outcome::ConnectFailed | Outcome::Abandoned | Outcome::Moot => return,
        };
        let cold = unit.started.is_some_and(|started| self.now < started + self.warm_up);
        if (cold && ended.outcome == Outcome::TimeOut) || unit.streak >= STREAK {
            return; // departure: cold or silent units are no evidence against a build
        }
        let judged = self.judged() == Some(unit.build);
        let all = self.tracks.len();
        let track = &mut self.tracks[task.track.0];
        let slow = Histogram::bin(ended.spent) > track.times.bin_at(SLOW_SHARE);
        if !judged {
            if self.news.as_ref().is_some_and(|news| unit.build <= news.build) {
                track.failures.add(failed, KEEP);
                if !failed && track.times.total() > 20 {
                    track.slow.add(slow, KEEP);
                }
            }
            return;
        }
        let ratio = log_ratio(track.failures.rate(), failed);
        let slow_ratio = log_ratio(track.slow.rate(), slow);
        let compared = track.slow.trials > 50.0 && !cold && !failed;
        let overall = log_ratio(self.good_rate(), failed);
        self.sums[task.track.0].z += ratio;
        self.sums[all].z += overall;
        if compared && self.news.as_ref().is_some_and(|news| news.phase == Phase::OnTrial) {
            self.sums[all + 1].z += slow_ratio;
        }
        self.stage_outcomes += 1;
        self.tick_outcomes += 1.0;
    }

    fn learn_times(&mut self, task: &mut Task, ended: &Ended) {
        if ended.outcome != Outcome::Ok {
            return;
        }
        let quoted = self.tracks[task.track.0].quoted.as_secs_f64();
        self.time_ratio += (ended.spent.as_secs_f64() / quoted - self.time_ratio) * 0.05;
        self.handled += task.work;
        let build = self.units[ended.unit].build;
        if self.cap_of(build).is_none() {
            self.tracks[task.track.0].times.add(ended.spent, KEEP as u32);
        }
        if self.forward_only && self.news.as_ref().is_some_and(|news| news.build == build) {
            self.forward_keys.extend(task.key);
        }
    }

    pub fn stream_began(&mut self, id: &TaskId, _dispatch: DispatchNo) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.stream = true;
        }
    }

    pub fn client_left(&mut self, id: &TaskId, act: &mut dyn Actions) {
        let Some(task) = self.tasks.get(id) else { return };
        match task.out {
            Some((dispatch, ..)) if self.may_abandon && !task.stream => act.abandon(id, dispatch),
            Some(_) => {}
            None => drop(self.tasks.remove(id)),
        }
    }

    pub fn probed(&mut self, _unit: &UnitId, _outcome: Outcome, _spent: Duration, _load: Load) {}

    // ---- The build ----

    /// The build that the CUSUM judges: the newest one told of, on trial or released.
    fn judged(&self) -> Option<BuildId> {
        let news = self.news.as_ref()?;
        matches!(news.phase, Phase::OnTrial | Phase::Released).then_some(news.build)
    }

    fn good_rate(&self) -> f64 {
        let sum = |of: fn(&Tally) -> f64| self.tracks.iter().map(|track| of(&track.failures)).sum::<f64>();
        sum(|tally| tally.failures) / (sum(|tally| tally.trials) + 20.0)
    }

    pub fn build_news(
        &mut self,
        build: BuildId,
        stage: Stage,
        phase: Phase,
        cap: f64,
        _since: Duration,
        act: &mut dyn Actions,
    ) {
        let last = self.news.replace(News { build, stage, phase, cap });
        let Some(last) = last else { return };
        if last.build != build {
            self.sums.fill(Cusum::default());
            self.forward_keys.clear();
            self.bit = 0;
        }
        if cap < last.cap && last.build == build {
            self.lower_cap_at = Some(self.now + self.drain_grace);
        }
        if (last.build, last.stage, last.phase) != (build, stage, phase) {
            if (last.build, last.stage) != (build, stage) {
                self.stage_outcomes = 0;
                self.clear_since = self.now;
            }
            (self.voted, self.vote_stands) = (None, false);
            act.log(&format!("build {} stage {} {phase:?} cap {cap}", build.0, stage.0));
        }
    }

    pub fn complaint(&mut self, unit: &UnitId, track: TrackId, _since: Duration) {
        let Some(&at) = self.index.get(unit) else { return };
        let build = self.units[at].build;
        let (judged, all) = (self.judged() == Some(build), self.tracks.len());
        let good = self.good_rate();
        let tally = &mut self.tracks[track.0].failures;
        if judged {
            // The answer was counted as good when it came; both counts are set right.
            self.sums[track.0].z += log_ratio(tally.rate(), true) - log_ratio(tally.rate(), false);
            self.sums[all].z += log_ratio(good, true) - log_ratio(good, false);
        } else {
            tally.failures += 1.0;
        }
    }

    pub fn platform_saw(&mut self, _build: BuildId, _track: TrackId, _dispatches: f64, _not_ok: f64) {}

    pub fn note_from(&mut self, from: PeerId, payload: &[u8]) {
        let &[VERSION, b0, b1, stage, bit @ 0..=2, i0, i1, i2, i3, n0, n1] = payload else { return };
        let divergence = f64::from(f32::from_be_bytes([i0, i1, i2, i3]));
        if !divergence.is_finite() || divergence < 0.0 {
            return;
        }
        let entry = PeerEntry {
            at: self.now,
            build: BuildId(u16::from_be_bytes([b0, b1])),
            stage: Stage(stage.into()),
            bit,
            divergence,
            outcomes: u16::from_be_bytes([n0, n1]).into(),
        };
        self.peers.insert(from, entry);
    }

    pub fn woken(&mut self, _token: Token, act: &mut dyn Actions) {
        act.wake(TICK, Token(0));
        self.ticks += 1;
        self.measure();
        self.run_cusum();
        let fused = self.fuse();
        if fused > 0.0 {
            self.clear_since = self.now;
        }
        self.cast(fused, act);
        if self.tells && (self.ticks + u64::from(self.me.0)).is_multiple_of(PEER_EVERY) {
            self.tell(act);
        }
    }

    /// Once a tick: rates, the limit on open tasks, and counters of the windows.
    fn measure(&mut self) {
        let ready = self.units.iter().filter(|unit| unit.ready);
        let size: f64 = ready.map(|unit| unit.nominal).sum::<f64>().max(0.01);
        let per_s = self.handled / TICK.as_secs_f64() / size;
        self.handled = 0.0;
        self.unit_rate = (self.unit_rate * 0.999).max(self.unit_rate * 0.95 + per_s * 0.05);
        for (rate, count) in self.tenant_rates.iter_mut().zip(&mut self.tenant_counts) {
            *rate += (*count / TICK.as_secs_f64() - *rate) * 0.1;
            *count = 0.0;
        }
        let units = self.units.iter().filter(|unit| unit.ready).count().max(1) as f64;
        let (least, most) = (units, units * 16.0);
        self.limit = if self.time_ratio > BUSY_RATIO {
            (self.limit.min(self.in_flight.max(least)) * 0.95).max(least)
        } else {
            (self.limit * 1.03 + 0.5).min(most)
        };
        if self.lower_cap_at.is_some_and(|at| self.now >= at) {
            self.lower_cap_at = None;
            self.exposed.clear();
        }
        let keep = self.window + self.margin * 2;
        let now = self.now;
        let trim = |times: &mut VecDeque<Duration>| {
            while times.front().is_some_and(|&at| at + keep < now) {
                times.pop_front();
            }
        };
        self.exposed.values_mut().for_each(trim);
        self.tracks.iter_mut().for_each(|track| trim(&mut track.taken));
        for unit in &mut self.units {
            while unit.sent_cold.front().is_some_and(|&(at, _)| at + self.overload_for < now) {
                unit.sent_cold.pop_front();
            }
        }
    }

    fn run_cusum(&mut self) {
        for sum in &mut self.sums {
            sum.w = sum.w.max(0.0) + sum.z;
            sum.z = 0.0;
        }
        self.outcome_rate += (self.tick_outcomes - self.outcome_rate) * 0.1;
        self.tick_outcomes = 0.0;
        let good = self.good_rate().max(0.01);
        let bad = bad_rate(good);
        let per_outcome = bad * (bad / good).ln() + (1.0 - bad) * ((1.0 - bad) / (1.0 - good)).ln();
        self.divergence = self.outcome_rate * per_outcome;
        let w = self.sums.iter().map(|sum| sum.w).fold(0.0, f64::max);
        let weight = self.divergence / self.largest().max(1e-9);
        let threshold = (LOG_GAMMA / VOTES_M * weight).max(NATS_FLOOR);
        self.bit = match () {
            () if self.stage_outcomes < MIN_OUTCOMES => 0,
            () if w > LOG_GAMMA => 2,
            () if w > threshold => 1,
            () => 0,
        };
    }

    fn live_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        let judged = self.judged();
        let live = self.peers.values().filter(|peer| self.now < peer.at + PEER_LAPSE);
        live.filter(move |peer| Some(peer.build) == judged)
    }

    fn largest(&self) -> f64 {
        self.live_peers().map(|peer| peer.divergence).fold(self.divergence, f64::max)
    }

    /// The weighted sum of alarm bits. Departure: an alarm past ln gamma, the paper's threshold for a single
    /// sensor, counts M by itself, so that a lone or well-informed relay is heard.
    fn fuse(&self) -> f64 {
        let largest = self.largest().max(1e-9);
        let own = (self.bit, self.divergence);
        let bits = self.live_peers().map(|peer| (peer.bit, peer.divergence)).chain([own]);
        bits.map(|(bit, divergence)| match bit {
            0 => 0.0,
            1 => (divergence / largest).max(NATS_FLOOR * VOTES_M / LOG_GAMMA),
            _ => VOTES_M,
        })
        .sum()
    }

    fn tell(&mut self, act: &mut dyn Actions) {
        let Some(news) = &self.news else { return };
        let build = news.build.0.to_be_bytes();
        let divergence = (self.divergence as f32).to_be_bytes();
        let outcomes = (self.stage_outcomes.min(u16::MAX.into()) as u16).to_be_bytes();
        let head = [VERSION, build[0], build[1], news.stage.0.min(255) as u8, self.bit];
        act.tell_peers(&[&head[..], &divergence, &outcomes].concat());
    }

    /// Which vote this relay stands for.
    fn stance(&self, fused: f64) -> Vote {
        let Some(news) = &self.news else { return Vote::Nothing };
        if !matches!(news.phase, Phase::OnTrial | Phase::Released) {
            return Vote::Nothing;
        }
        if fused >= VOTES_M {
            return Vote::Back;
        }
        if news.phase == Phase::Released {
            return Vote::Nothing;
        }
        if self.gate == GateMode::Automatic {
            return if self.bit > 0 { Vote::Hold } else { Vote::Nothing };
        }
        if self.gate == GateMode::FirstVoice && self.me.0 >= PROCEED_VOICES {
            return Vote::Nothing;
        }
        let trial = self.units.iter().filter(|unit| unit.ready && unit.build == news.build);
        let youngest = trial.map(|unit| self.now.saturating_sub(unit.started.unwrap_or_default())).min();
        let Some(youngest) = youngest else { return Vote::Nothing };
        let seen: u32 =
            self.live_peers().filter(|peer| peer.stage == news.stage).map(|peer| peer.outcomes).sum();
        let worst = self.sums.iter().map(|sum| sum.w).fold(0.0, f64::max);
        let clear = fused <= 0.0 && worst < CLEAR_NATS && self.now >= self.clear_since + youngest;
        if clear && seen + self.stage_outcomes >= MIN_OUTCOMES {
            Vote::On
        } else {
            Vote::Nothing
        }
    }

    fn cast(&mut self, fused: f64, act: &mut dyn Actions) {
        let Some(news) = &self.news else { return };
        let wanted = (news.build, news.stage, self.stance(fused));
        let since = self.now.saturating_sub(self.voted_at);
        if self.vote_waits && since < self.answer_wait || since < self.vote_gap {
            return;
        }
        self.vote_waits = false;
        let standing = self.voted.unwrap_or((news.build, news.stage, Vote::Nothing));
        let same = standing == wanted;
        if same && (wanted.2 == Vote::Nothing || (self.vote_stands && since < self.vote_renew)) {
            return;
        }
        if !same {
            let worst = self.sums.iter().map(|sum| sum.w).fold(0.0, f64::max);
            act.log(&format!(
                "build {} stage {} vote {:?} bit {} fused {fused:.2} sum {worst:.1} outcomes {}",
                wanted.0 .0, wanted.1 .0, wanted.2, self.bit, self.stage_outcomes
            ));
        }
        (self.voted, self.voted_at) = (Some(wanted), self.now);
        (self.vote_waits, self.vote_stands) = (true, false);
        act.vote(wanted.0, wanted.1, wanted.2);
    }

    pub fn vote_answered(&mut self, outcome: Outcome) {
        self.vote_waits = false;
        self.vote_stands = outcome == Outcome::Ok;
    }
}

fn bad_rate(good: f64) -> f64 {
    (2.0 * good).max(good + 0.05).min(0.98)
}

/// The bad-to-good log likelihood ratio of one outcome (the paper prints the inverse; see docs/design.md).
fn log_ratio(good: f64, failed: bool) -> f64 {
    let good = good.clamp(0.01, 0.45);
    let bad = bad_rate(good);
    if failed {
        (bad / good).ln()
    } else {
        ((1.0 - bad) / (1.0 - good)).ln()
    }
}
