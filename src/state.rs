//! Plain state: what the settings come down to, and records of units, tasks, builds and votes. No decisions.

use crate::cusum::Cusum;
use crate::histogram::{Histogram, Tally, Window};
use crate::*;
use beechcroft_fleet::call_schedule::CallSchedule;
use beechcroft_fleet::load::{LoadEstimate, TypicalLoad};
use beechcroft_fleet::subset::{TaskRate, IDLE_KEEP_FRACTION};
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Version of the message to peers.
const VERSION: u8 = 2;
/// Bytes that tell one outcome.
const TOLD: usize = 5;
/// Bytes that name one unit.
const TAG: usize = 3;
/// Bytes of the longest note, and of those units that one may name.
const LONGEST: usize = 250;
const TAGS: usize = 60 * TAG;
/// A unit gone for so long is named by no open task any more: its place may go to another.
const FORGET: Duration = Duration::from_secs(60);

/// What the settings come down to.
pub struct Figures {
    pub me: PeerId,
    pub relays: u32,
    pub zone: Option<ZoneId>,
    pub quotas: Vec<f64>, // this relay's part of each tenant's
    pub over_worth: f64,
    pub slack: Duration, // times on the wire are a tick or two coarse
    pub fuses: bool,     // one of the relays that are told every outcome
    pub zones_cost: bool,
    pub may_abandon: bool,
    pub tells: bool,
    pub hold_off: Duration,
    pub max_dispatches: u32,
    pub cold_from: f64,
    pub warm_up: Duration,
    pub fall_multiple: f64,
    pub overload_for: Duration,
    pub drain_grace: Duration,
    pub gate: GateMode,
    pub replace: bool,
    pub stage_caps: Vec<f64>,
    pub stage_shares: Vec<f64>,
    pub closed_stages: usize,
    pub free: f64,
    pub window: Duration,
    pub by_track: bool,
    pub forward_only: bool,
    pub vote_life: Duration,
    pub turns: CallSchedule, // at the platform
    pub answer_wait: Duration,
    pub complaint_share: f64,
    pub delay_price: f64,
    pub kept: Duration, // an idle connection to a unit
}

pub struct TrackState {
    pub effect: Effect,
    pub quoted: Duration,
    pub stretch: f64,
    pub late_pays: bool,
    pub utility: f64,                       // over the highest one
    pub times: BTreeMap<KindId, Histogram>, // of the earlier build's answers
    pub taken: Window,
    pub failures: BTreeMap<KindId, [Past; 2]>, // of the earlier build, by kind of machine: errors, losses
    pub slow: Tally,                           // answers above the mark, beside the trial
    pub marks: BTreeMap<KindId, usize>, // bins of the slowest answers before the trial, by kind of machine
}

/// Failures of the earlier build: their rate before the trial, and their count beside it.
#[derive(Clone, Copy, Default)]
pub struct Past {
    pub before: f64,
    pub beside: Tally,
}

impl Past {
    /// The mean good rate of several, by their trials.
    pub fn mean<'a>(pasts: impl Iterator<Item = &'a Past>) -> f64 {
        let weigh = |(good, all), past: &Past| {
            (
                good + past.good() * past.beside.trials,
                all + past.beside.trials,
            )
        };
        let (good, all) = pasts.fold((0.0, 0.0), weigh);
        good / f64::max(all, 1.0)
    }

    /// The good rate: before the trial or beside it, whichever is higher.
    pub fn good(&self) -> f64 {
        self.before.max(self.beside.rate())
    }
}

#[derive(Default)]
pub struct Unit {
    pub id: UnitId,
    pub tag: u32, // names it to peers in three bytes
    pub build: BuildId,
    pub zone: Option<ZoneId>,
    pub kind: KindId,
    pub cell: CellId,
    pub nominal: f64,
    pub ready: bool,
    pub listed: bool,
    pub gone_at: Option<Duration>, // since when it is not listed
    pub started: Option<Duration>,
    pub waiting: Vec<TaskId>,
    pub sent_cold: Window,
    pub quiet_since: Duration,
    pub since: Duration, // when what runs there was first listed
    pub streak: u32,
    pub sums: Vec<Cusum>, // its own part of the judge's
    pub recent: Tally,
    pub away_until: Duration,
    pub away_for: Duration,
    pub shunned_until: Duration, // by the word of peers
    pub rank: usize,             // for this relay, among its side
    pub near: bool,              // this relay keeps to it
    pub held: LoadEstimate,
}

pub struct Task {
    pub id: TaskId,
    pub track: TrackId,
    pub key: Option<Key>,
    pub work: f64, // over the mean
    pub end: Duration,
    pub quoted: Duration,
    pub over_share: bool,
    pub tenant: Option<TenantId>,
    pub tries: u32,
    pub out: Option<(DispatchNo, usize, Duration)>,
    pub ran: Option<(usize, Duration)>,
    pub failed_on: Option<usize>,
    pub erred: bool, // its last dispatch was answered with an error
    pub chosen: usize,
    pub stream: bool,
}

pub struct PeerEntry {
    pub at: Duration,
    pub build: BuildId,
    pub stage: Stage,
    pub bit: bool,
    pub on: bool,
    pub divergence: f64,
    pub outcomes: u32,
    pub taken: f64, // tasks, over the last while
    pub time_ratio: f64,
}

#[derive(Clone, Copy, PartialEq)]
pub struct News {
    pub build: BuildId,
    pub stage: Stage,
    pub phase: Phase,
    pub cap: f64,
}

impl News {
    /// The cap and stage of a build on trial by this news; none for a build that is not.
    pub fn cap_of(&self, build: BuildId, first_cap: f64) -> Option<(f64, usize)> {
        match (build.cmp(&self.build), self.phase) {
            (Ordering::Less, _) | (Ordering::Equal, Phase::Released) => None,
            (Ordering::Equal, _) => Some((self.cap, self.stage.0)),
            (Ordering::Greater, _) => Some((first_cap, 0)),
        }
    }

    pub fn is_on_trial(self) -> bool {
        self.phase == Phase::OnTrial
    }

    /// On trial or released: the build may still go on, or back by a vote.
    pub fn is_live(&self) -> bool {
        matches!(self.phase, Phase::OnTrial | Phase::Released)
    }
}

/// What the CUSUM and the fusion know of the build they judge.
#[derive(Default)]
pub struct Judge {
    pub sums: Vec<Cusum>, // errors of each track and of all, losses, slow answers
    pub outcomes: u32,    // of this stage
    pub tick_outcomes: f64,
    pub outcome_rate: f64,
    pub on_trial: bool,       // seen so by this relay
    pub ambient: f64, // CUSUM of late answers by the earlier build against the time before the trial
    pub surge: [f64; 2], // CUSUMs of the earlier build's errors and losses against their own good rates
    pub excused_at: Duration, // when lateness last proved nothing
    pub held: Duration,  // for how long, on balance, the earlier build has been late
    pub load_before: f64, // tasks taken a second before the trial
    pub busy_before: bool, // tasks were shed before the trial
    pub bit: bool,
    pub on: bool, // the build may go on, by what this relay knows
    pub divergence: f64,
    pub stage_at: Duration, // when this relay heard of the stage
    pub clear_since: Duration,
    pub untold: Vec<u8>,
}

/// What this relay measures of its own traffic.
#[derive(Default)]
pub struct Meter {
    pub in_flight: f64,
    pub limit: f64, // of open tasks
    pub time_ratio: f64,
    pub busy_at: Option<Duration>, // when tasks were last shed for load
    pub keep: f64,                 // outcomes held of the earlier build before halving
    pub mean_work: f64,
    pub handled: f64,
    pub served_rate: f64,   // work a second
    pub arrived: f64,       // tasks of this tick
    pub rate: TaskRate,     // of tasks
    pub usual: TypicalLoad, // held by units
    pub mean_quoted: f64,   // seconds
    pub bore: (f64, f64), // work that a warm unit was seen to bear from here, and in how many seconds
    pub tenants: Vec<(f64, f64)>,
    pub again: Tally,  // repeats after an error, and those that failed once more
    pub slower: Tally, // first dispatches that took more than half of the quoted time
    pub lost: Tally,   // and of those, waited for all of it, the ones that timed out
    pub misses: [Vec<Tally>; 2], // of quoted times, by track and by tenant
}

impl Figures {
    pub fn new(settings: &Settings, fusers: u32) -> Figures {
        let relays = f64::from(settings.relays);
        Figures {
            me: settings.me,
            relays: settings.relays,
            zone: settings.zone,
            quotas: settings
                .tenant_quotas
                .iter()
                .map(|quota| quota / relays)
                .collect(),
            over_worth: settings.over_share_worth,
            slack: settings.granularity * 2,
            fuses: settings.me.0 < fusers,
            zones_cost: settings.cross_zone_charge > 0.0,
            may_abandon: settings.may_abandon,
            tells: settings.may_tell_peers && settings.relays > 1,
            hold_off: if settings.may_name_hold_off {
                settings.max_hold_off
            } else {
                Duration::ZERO
            },
            max_dispatches: settings.max_dispatches,
            cold_from: settings.cold_from,
            warm_up: settings.warm_up,
            fall_multiple: settings.fall_multiple,
            overload_for: settings.overload_for,
            drain_grace: settings.drain_grace,
            gate: settings.gate,
            replace: settings.replace,
            stage_caps: settings.stage_caps.clone(),
            stage_shares: settings.stage_shares.clone(),
            closed_stages: settings.closed_stages,
            free: settings.exposure_free,
            window: settings.exposure_window,
            by_track: settings.exposure_by_track,
            forward_only: settings.forward_only,
            vote_life: settings.vote_life,
            turns: CallSchedule::new(
                settings.me.0,
                settings.relays,
                settings.votes_per_s,
                settings.on_votes,
            ),
            answer_wait: settings.answer_wait,
            complaint_share: settings.complaint_share,
            delay_price: settings.delay_price,
            kept: settings.idle_close.mul_f64(IDLE_KEEP_FRACTION),
        }
    }

    /// The cap of the first stage, in which a build not yet announced counts.
    pub fn first_cap(&self) -> f64 {
        self.stage_caps.first().copied().unwrap_or(0.0)
    }

    /// The counter of rule 5 that a track falls under.
    pub fn counted(&self, track: TrackId) -> usize {
        if self.by_track {
            track.0
        } else {
            0
        }
    }
}

impl TrackState {
    pub fn all(tracks: &[Track]) -> Vec<TrackState> {
        let top = tracks
            .iter()
            .map(|track| track.utility)
            .fold(1e-9, f64::max);
        tracks
            .iter()
            .map(|track| TrackState::new(track, top))
            .collect()
    }

    /// `top` is the highest utility of any track.
    fn new(track: &Track, top: f64) -> TrackState {
        TrackState {
            effect: track.effect,
            quoted: track.quoted,
            stretch: track.quoted_stretch,
            late_pays: track.late_utility > 0.0,
            utility: track.utility / top,
            times: BTreeMap::new(),
            taken: Window::default(),
            failures: BTreeMap::new(),
            slow: Tally::default(),
            marks: BTreeMap::new(),
        }
    }

    /// Keeps what the earlier build did under the full load, before the trial takes some of it.
    pub fn trial_begins(&mut self, slow_share: f64) {
        self.marks = self
            .times
            .iter()
            .map(|(&kind, times)| (kind, times.bin_at(slow_share)))
            .collect();
        self.failures
            .values_mut()
            .flatten()
            .for_each(|past| past.before = past.beside.rate());
        self.slow = Tally::default();
    }

    /// The mark of slow answers on a kind of machine, set late where it becomes known only now.
    pub fn slow_mark(&mut self, kind: KindId, slow_share: f64, least: f64) -> Option<usize> {
        let times = self
            .times
            .get(&kind)
            .filter(|times| f64::from(times.total()) > least);
        let late = times.map(|times| times.bin_at(slow_share));
        self.marks.get(&kind).copied().or_else(|| {
            self.marks.extend(late.map(|mark| (kind, mark)));
            late
        })
    }

    /// The time above which no more than `share` of the answers of the slowest kind lie.
    pub fn slowest(&self, share: f64) -> Duration {
        let edges = self
            .times
            .values()
            .map(|times| Histogram::edge(times.bin_at(share)));
        edges.max().unwrap_or_default()
    }

    /// The mean good rate of failures of either kind over several tracks, 1% at least.
    pub fn good_rate(tracks: &[TrackState]) -> f64 {
        let pasts = || tracks.iter().flat_map(|track| track.failures.values());
        let of = |which: usize| Past::mean(pasts().map(move |past| &past[which]));
        (of(0) + of(1)).max(0.01)
    }

    pub fn past(&self, kind: KindId) -> [Past; 2] {
        self.failures.get(&kind).copied().unwrap_or_default()
    }
}

/// What peers last told.
#[derive(Default)]
pub struct Peers(pub BTreeMap<PeerId, PeerEntry>);

impl Peers {
    pub fn heard(&self, now: Duration, lapse: Duration) -> impl Iterator<Item = &PeerEntry> {
        self.0.values().filter(move |peer| now < peer.at + lapse)
    }
}

impl PeerEntry {
    /// The message's form: version, build, stage, bits, I, outcomes of the stage, tasks taken, time ratio; what
    /// follows is handed back. One of another form is none.
    pub fn decode(payload: &[u8], at: Duration) -> Option<(PeerEntry, &[u8])> {
        let &[VERSION, b0, b1, stage, bits @ 0..=3, i0, i1, i2, i3, n0, n1, t0, t1, time, ref rest @ ..] =
            payload
        else {
            return None;
        };
        let divergence = f64::from(f32::from_be_bytes([i0, i1, i2, i3]));
        let (build, stage) = (BuildId(u16::from_be_bytes([b0, b1])), Stage(stage.into()));
        let (outcomes, taken) = (
            u16::from_be_bytes([n0, n1]).into(),
            u16::from_be_bytes([t0, t1]).into(),
        );
        let (bit, on, time_ratio) = (bits & 1 > 0, bits & 2 > 0, f64::from(time) / 100.0);
        let sound = divergence.is_finite() && divergence >= 0.0;
        sound.then_some((
            PeerEntry {
                at,
                build,
                stage,
                bit,
                on,
                divergence,
                outcomes,
                taken,
                time_ratio,
            },
            rest,
        ))
    }

    /// Notes of this entry with tags of units, or with outcomes, as many as they take.
    pub fn notes(&self, tags: &[u8], told: &[u8]) -> Vec<Vec<u8>> {
        let head = [&self.encode()[..], &[(tags.len() / TAG) as u8], tags].concat();
        let mut notes: Vec<Vec<u8>> = told
            .chunks((LONGEST - head.len()) / TOLD * TOLD)
            .map(|part| [&head[..], part].concat())
            .collect();
        if notes.is_empty() {
            notes.push(head);
        }
        notes
    }

    pub fn encode(&self) -> Vec<u8> {
        let build = self.build.0.to_be_bytes();
        let divergence = (self.divergence as f32).to_be_bytes();
        let outcomes = u16::try_from(self.outcomes)
            .unwrap_or(u16::MAX)
            .to_be_bytes();
        let stage = u8::try_from(self.stage.0).unwrap_or(u8::MAX);
        let bits = u8::from(self.bit) + 2 * u8::from(self.on);
        let (taken, time) = (
            (self.taken as u16).to_be_bytes(),
            (self.time_ratio * 100.0) as u8,
        );
        [
            &[VERSION],
            &build[..],
            &[stage, bits],
            &divergence,
            &outcomes,
            &taken,
            &[time],
        ]
        .concat()
    }
}

/// The outcomes in the order of their codes.
const CODES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimeOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Abandoned,
    Outcome::Moot,
];

impl Task {
    pub fn new(
        id: TaskId,
        track: TrackId,
        key: Option<Key>,
        end: Duration,
        quoted: Duration,
    ) -> Task {
        Task {
            id,
            track,
            key,
            work: 1.0,
            end,
            quoted,
            over_share: false,
            tenant: None,
            tries: 0,
            out: None,
            ran: None,
            failed_on: None,
            erred: false,
            chosen: 0,
            stream: false,
        }
    }
}

impl Meter {
    /// Work over the mean of what came before; 1 where no hint is given.
    pub fn relative_work(&mut self, hint: f64, part: f64) -> f64 {
        if hint <= 0.0 {
            return 1.0;
        }
        self.mean_work = if self.mean_work > 0.0 {
            self.mean_work + (hint - self.mean_work) * part
        } else {
            hint
        };
        hint / self.mean_work
    }

    /// Counts whether a first dispatch took more than half of the quoted time, and of those that did and were waited
    /// for all of it, whether they were lost. What ended otherwise tells neither.
    pub fn paced(&mut self, outcome: Outcome, spent: Duration, quoted: Duration, keep: [f64; 2]) {
        let (lost, slow) = (outcome == Outcome::TimeOut, spent * 2 > quoted);
        if outcome == Outcome::Ok || lost {
            self.slower.add(lost || slow, keep[0]);
        }
        let waited = spent * 4 > quoted * 3 || !lost;
        if (outcome == Outcome::Ok || lost) && slow && waited {
            self.lost.add(lost, keep[1]);
        }
    }

    /// Whether few first dispatches take more than half of the quoted time, and most of those never end.
    pub fn loses(&self, few: f64, most: f64) -> bool {
        self.slower.rate() < few && self.lost.rate() > most
    }

    /// Counts whether a task missed its quoted time.
    pub fn missed(&mut self, track: TrackId, tenant: Option<TenantId>, late: bool, keep: f64) {
        let [tracks, tenants] = &mut self.misses;
        let kinds = tracks.get_mut(track.0).into_iter();
        let kinds = kinds.chain(tenant.and_then(|tenant| tenants.get_mut(tenant.0)));
        kinds.for_each(|tally| tally.add(late, keep));
    }

    pub fn new(settings: &Settings) -> Meter {
        let tenants = vec![(0.0, 0.0); settings.tenant_quotas.len()];
        let misses =
            [settings.tracks.len(), tenants.len()].map(|kinds| vec![Tally::default(); kinds]);
        Meter {
            limit: f64::INFINITY,
            tenants,
            misses,
            ..Meter::default()
        }
    }

    /// The misses of a task's track and of its tenant, each with the fewest that another has.
    pub fn missing(
        &self,
        track: TrackId,
        tenant: Option<TenantId>,
    ) -> impl Iterator<Item = (f64, f64)> + '_ {
        let own = [Some(track.0), tenant.map(|tenant| tenant.0)];
        self.misses.iter().zip(own).filter_map(|(all, own)| {
            Some((
                all.get(own?)?.rate(),
                all.iter().map(Tally::rate).fold(1.0, f64::min),
            ))
        })
    }

    /// Counts a task of a tenant; whether it is past the tenant's quota, by a draw and some margin.
    pub fn over_share(
        &mut self,
        tenant: Option<TenantId>,
        quotas: &[f64],
        margin: f64,
        draw: f64,
    ) -> bool {
        tenant.is_some_and(|TenantId(tenant)| {
            let (rate, count) = &mut self.tenants[tenant];
            *count += 1.0;
            draw > margin * quotas[tenant] / rate.max(1e-9)
        })
    }

    /// Whether tasks have been shed for load within a span.
    pub fn shed_within(&self, span: Duration, now: Duration) -> bool {
        self.busy_at.is_some_and(|at| now < at + span)
    }

    /// Takes up how an answer's time compares with the quoted one, by `part` of the difference.
    pub fn answered(&mut self, spent: Duration, quoted: Duration, part: f64) {
        let quoted = quoted.as_secs_f64();
        self.mean_quoted += (quoted - self.mean_quoted) * part;
        self.time_ratio += ((spent.as_secs_f64() / quoted).min(1.0) - self.time_ratio) * part;
    }

    /// Counts work that a unit bore in a tick; halved once it covers `hold`.
    fn bears(&mut self, work: f64, tick: Duration, hold: Duration) {
        self.bore = (
            self.bore.0 + work * tick.as_secs_f64(),
            self.bore.1 + tick.as_secs_f64(),
        );
        if self.bore.1 > hold.as_secs_f64() {
            self.bore = (self.bore.0 / 2.0, self.bore.1 / 2.0);
        }
    }

    /// Takes up a tick's counts, each rate by `part` of the difference; units of this size bore it.
    pub fn tick(&mut self, tick: Duration, part: f64, size: f64, hold: Duration) {
        let per_s = std::mem::take(&mut self.handled) / tick.as_secs_f64();
        self.served_rate += (per_s - self.served_rate) * part;
        for (rate, count) in &mut self.tenants {
            *rate += (std::mem::take(count) / tick.as_secs_f64() - *rate) * part;
        }
        self.bears(per_s / size, tick, hold);
    }
}

/// The units that the list names, or named of late. Places keep their numbers while anyone may refer to them.
#[derive(Default)]
pub struct Fleet {
    pub(crate) now: Duration,
    pub(crate) units: Vec<Unit>,
    pub(crate) index: HashMap<UnitId, usize>,
    tags: HashMap<u32, usize>,
    pub(crate) ranked: bool,
}

impl Fleet {
    pub fn begins(&mut self, whole: bool) {
        self.units
            .iter_mut()
            .filter(|_| whole)
            .for_each(|unit| unit.listed = false);
    }

    // Called at one place, from the line of the list that has the same fields.
    #[allow(clippy::too_many_arguments)]
    pub fn entry(
        &mut self,
        id: UnitId,
        build: BuildId,
        zone: Option<ZoneId>,
        kind: KindId,
        cell: CellId,
        health: Health,
        nominal: f64,
        started: Option<Duration>,
    ) {
        let at = self
            .index
            .get(&id)
            .copied()
            .unwrap_or_else(|| self.place(id));
        let unit = &mut self.units[at];
        if started != unit.started || build != unit.build {
            // A new process, perhaps another machine under an old id: what was learned is void.
            let (id, tag, waiting) = (unit.id.clone(), unit.tag, std::mem::take(&mut unit.waiting));
            let sent_cold = std::mem::take(&mut unit.sent_cold);
            *unit = Unit {
                id,
                tag,
                waiting,
                sent_cold,
                quiet_since: self.now,
                since: self.now,
                ..Unit::default()
            };
        }
        (unit.build, unit.zone, unit.cell, unit.nominal) = (build, zone, cell, nominal.max(0.01));
        unit.kind = kind;
        (unit.started, unit.ready, unit.listed) =
            (started, health == Health::Ready, health != Health::Gone);
        unit.gone_at = unit.gone_at.filter(|_| !unit.listed);
    }

    /// A place for a unit not known: that of one long gone, or a new one.
    fn place(&mut self, id: UnitId) -> usize {
        let hash = |sum: u32, &byte: &u8| (sum ^ u32::from(byte)).wrapping_mul(16_777_619);
        let tag = id.0.as_bytes().iter().fold(2_166_136_261, hash) >> 8;
        let now = self.now;
        let gone = |unit: &Unit| {
            unit.waiting.is_empty() && unit.gone_at.is_some_and(|at| now > at + FORGET)
        };
        let at = self.units.iter().position(gone).unwrap_or(self.units.len());
        if at == self.units.len() {
            self.units.push(Unit::default());
        }
        let before = std::mem::replace(
            &mut self.units[at],
            Unit {
                id: id.clone(),
                tag,
                ..Unit::default()
            },
        );
        self.index.remove(&before.id);
        if self.tags.get(&before.tag) == Some(&at) {
            self.tags.remove(&before.tag);
        }
        self.index.insert(id, at);
        self.tags.insert(tag, at);
        at
    }

    /// How many places are kept.
    pub fn places(&self) -> usize {
        self.units.len()
    }

    /// The units to which new work may go, as far as the list tells.
    pub fn ready(&self) -> impl Iterator<Item = &Unit> {
        self.units.iter().filter(|unit| unit.ready)
    }

    /// The units of a build to which new work may go, as far as the list tells.
    pub fn ready_of(&self, build: BuildId) -> impl Iterator<Item = &Unit> {
        self.ready().filter(move |unit| unit.build == build)
    }

    /// Shuns the units that a note names until then; hands back what follows them there.
    pub fn shun<'a>(&mut self, rest: &'a [u8], until: Duration) -> &'a [u8] {
        let Some((&count, rest)) = rest.split_first() else {
            return rest;
        };
        let (tags, told) = rest.split_at(rest.len().min(usize::from(count) * TAG));
        for tag in tags.chunks_exact(TAG) {
            let at = self
                .tags
                .get(&tag.iter().fold(0, |sum, &byte| sum << 8 | u32::from(byte)));
            at.into_iter()
                .for_each(|&at| self.units[at].shunned_until = until);
        }
        told
    }

    /// The tags of units, as many as a note takes.
    pub fn tags<'a>(units: impl Iterator<Item = &'a Unit>) -> Vec<u8> {
        units
            .flat_map(|unit| unit.tag.to_be_bytes()[1..].to_vec())
            .take(TAGS)
            .collect()
    }

    /// An outcome as peers tell it: tag; track and outcome; bin of the time and marks.
    pub fn told(&self, ended: &Ended) -> [u8; TOLD] {
        let [_, t0, t1, t2] = self.units[ended.unit].tag.to_be_bytes();
        let code = CODES
            .iter()
            .position(|&code| code == ended.outcome)
            .unwrap_or_default() as u8;
        let marks = u8::from(ended.cold) + 2 * u8::from(ended.repeat) + 4 * u8::from(ended.flagged);
        let track = ended.track.0.min(15) as u8 + 16 * u8::from(ended.apart);
        let bin = Histogram::bin(ended.spent) as u8;
        [t0, t1, t2, track << 3 | code, marks << 5 | bin]
    }

    /// What a peer told, as far as its units are known here.
    pub fn heard<'a>(
        &'a self,
        payload: &'a [u8],
        tracks: usize,
    ) -> impl Iterator<Item = Ended> + 'a {
        payload.chunks_exact(TOLD).filter_map(move |told| {
            let tag = u32::from_be_bytes([0, told[0], told[1], told[2]]);
            let (track, outcome) = (
                TrackId((told[3] >> 3 & 15).into()),
                CODES[usize::from(told[3] & 7)],
            );
            let (spent, marks) = (Histogram::time_in((told[4] & 31).into()), told[4] >> 5);
            let (cold, repeat, flagged) = (marks & 1 > 0, marks & 2 > 0, marks & 4 > 0);
            let apart = told[3] & 128 > 0;
            let unit = *self.tags.get(&tag).filter(|_| track.0 < tracks)?;
            Some(Ended {
                unit,
                track,
                outcome,
                spent,
                cold,
                repeat,
                flagged,
                apart,
            })
        })
    }

    pub fn ends(&mut self) {
        self.ranked = false;
        for unit in self.units.iter_mut().filter(|unit| !unit.listed) {
            unit.ready = false;
            unit.gone_at.get_or_insert(self.now);
        }
    }
}

impl Exposure {
    /// A build is offered: what was counted of those before it is asked for no more.
    pub fn starts(&mut self, build: BuildId) {
        self.forward_keys.clear();
        self.sent.retain(|&(of, _), _| of >= build);
    }
}

/// What rule 5 is counted by.
#[derive(Default)]
pub struct Exposure {
    /// Dispatches to each build on trial, of each track or of all.
    pub sent: BTreeMap<(BuildId, usize), Window>,
    pub lower_cap_at: Option<Duration>,
    /// Keys that the newest build has answered, where they may not go back.
    pub forward_keys: HashSet<Key>,
}

impl Group {
    /// Whether a repeat of what went to one unit is dropped by the other.
    pub fn joins(self, one: &Unit, other: &Unit) -> bool {
        match self {
            Group::All => true,
            Group::Zone => one.zone == other.zone,
            Group::Cell => one.cell == other.cell && one.zone == other.zone,
        }
    }
}

impl Unit {
    pub fn is_cold(&self, now: Duration, warm_up: Duration) -> bool {
        self.started.is_some_and(|started| now < started + warm_up)
    }

    /// What it could do for sure at a time, of what it can do warm.
    pub fn warmth(&self, at: Duration, fig: &Figures) -> f64 {
        let Some(started) = self.started.filter(|_| self.is_cold(at, fig.warm_up)) else {
            return 1.0;
        };
        let part = at.saturating_sub(started).as_secs_f64() / fig.warm_up.as_secs_f64();
        fig.cold_from + (1.0 - fig.cold_from) * part.min(1.0)
    }

    /// A number from 0 to 1 for this unit at one relay, evenly spread over relays.
    pub fn lot(&self, me: PeerId) -> f64 {
        let mixed = (self.tag ^ me.0.wrapping_mul(2_654_435_761)).wrapping_mul(2_246_822_519);
        f64::from(mixed ^ mixed >> 15) / f64::from(u32::MAX)
    }

    /// Counts a dispatch that leaves for this unit.
    pub fn sent(&mut self, id: &TaskId, now: Duration, work: f64, keep: Duration) {
        if self.waiting.is_empty() {
            self.quiet_since = now;
        }
        self.waiting.push(id.clone());
        self.sent_cold.add(now, work, keep);
    }
}

impl Judge {
    pub fn new(tracks: usize, now: Duration) -> Judge {
        let sums = vec![Cusum::default(); tracks + 3];
        Judge {
            sums,
            stage_at: now,
            clear_since: now,
            load_before: f64::INFINITY,
            ..Judge::default()
        }
    }

    /// The log line of a vote.
    pub fn line(&self, news: News, vote: Vote, fused: f64, (sum, of): (f64, usize)) -> String {
        let Judge {
            bit,
            outcomes,
            ambient,
            surge: [errors, losses],
            ..
        } = self;
        let head = format!(
            "build {} stage {} vote {vote:?} bit {}",
            news.build.0,
            news.stage.0,
            u8::from(*bit)
        );
        let late = format!("late {ambient:.1} surge {errors:.1} {losses:.1}");
        format!("{head} fused {fused:.2} sum {of} {sum:.1} {late} outcomes {outcomes}")
    }

    /// A new build is offered: nothing is known of it.
    pub fn starts(&mut self, load: f64, busy: bool) {
        self.sums.fill(Cusum::default());
        (self.bit, self.load_before, self.busy_before) = (false, load, busy);
    }

    /// A tick passed, in which lateness held the build or not; it fades, and rates follow by `part`.
    pub fn tick(&mut self, held: bool, tick: Duration, fade: f64, part: f64) {
        self.held = if held {
            self.held + tick
        } else {
            self.held.saturating_sub(tick)
        };
        self.ambient *= fade;
        self.outcome_rate += (std::mem::take(&mut self.tick_outcomes) - self.outcome_rate) * part;
    }

    /// A stage begins.
    pub fn stage_begins(&mut self, now: Duration) {
        (self.outcomes, self.stage_at, self.clear_since, self.on) = (0, now, now, false);
        (self.ambient, self.held) = (0.0, Duration::ZERO);
    }

    /// What this relay tells its peers.
    pub fn entry(&self, news: News, at: Duration, taken: f64, time_ratio: f64) -> PeerEntry {
        let Judge {
            bit,
            on,
            divergence,
            outcomes,
            ..
        } = *self;
        PeerEntry {
            at,
            build: news.build,
            stage: news.stage,
            bit,
            on,
            divergence,
            outcomes,
            taken,
            time_ratio,
        }
    }
}

/// How a dispatch ended, as the chain takes it outwards and peers tell it.
#[derive(Clone, Copy)]
pub struct Ended {
    pub unit: usize,
    pub track: TrackId,
    pub outcome: Outcome,
    pub spent: Duration,
    pub cold: bool,
    pub repeat: bool,  // the task had failed elsewhere before
    pub flagged: bool, // a client found the answer wrong
    pub apart: bool,   // tasks of its kind are late everywhere
}

impl Ended {
    /// Whether it failed; none where it says nothing: full queues speak of load, the others of nothing.
    pub fn failed(&self) -> Option<bool> {
        match self.outcome {
            Outcome::Ok => Some(false),
            Outcome::Error | Outcome::TimeOut | Outcome::ConnectFailed | Outcome::Reset => {
                Some(true)
            }
            Outcome::Full | Outcome::Abandoned | Outcome::Moot => None,
        }
    }

    /// A client's report of a wrong answer.
    pub fn report(unit: usize, track: TrackId) -> Ended {
        let (outcome, spent) = (Outcome::Ok, Duration::ZERO);
        Ended {
            unit,
            track,
            outcome,
            spent,
            cold: false,
            repeat: false,
            flagged: true,
            apart: false,
        }
    }
}

/// What an inward stage does with a task.
pub enum Flow {
    Pass,
    Keep,
    End,
}
