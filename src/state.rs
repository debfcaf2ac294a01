//! State of a relay: the parameters derived from the settings, and the records of units, tasks, the rollout, the
//! detector and the relay's own traffic, with the encoding of messages to peers. Decisions are made in
//! [`crate::decide`], the only user of these types.

use crate::cusum::Cusum;
use crate::histogram::{Histogram, Tally, Window};
use crate::*;
use beechcroft_fleet::call_schedule::CallSchedule;
use beechcroft_fleet::load::{LoadEstimate, TypicalLoad};
use beechcroft_fleet::subset::{TaskRate, IDLE_KEEP_FRACTION};
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Version of the message to peers; messages of another version are ignored.
const VERSION: u8 = 2;
/// Bytes that encode one outcome in a message to peers.
const OUTCOME_BYTES: usize = 5;
/// Bytes that encode a unit's short id in a message to peers.
const SHORT_ID_BYTES: usize = 3;
/// Length limit of a message to peers, in bytes.
const MAX_MESSAGE_BYTES: usize = 250;
/// Length limit of the list of ejected units in one message, in bytes: 60 units.
const MAX_SHORT_ID_BYTES: usize = 60 * SHORT_ID_BYTES;
/// A unit's slot is reused once the unit has been unlisted for this long: by then no open task refers to it.
const SLOT_REUSE_AFTER: Duration = Duration::from_secs(60);

/// The parameters that decisions use, derived from [`Settings`] at start.
pub struct Params {
    /// This relay's number within the tier.
    pub own_id: PeerId,
    /// Number of relays in the tier.
    pub relays: u32,
    /// The zone this relay runs in.
    pub zone: Option<ZoneId>,
    /// This relay's part of each tenant's quota, in tasks per second.
    pub quotas: Vec<f64>,
    /// Utility of a task above its tenant's quota, relative to one within it.
    pub over_quota_weight: f64,
    /// Allowance for rounding of times on the wire, which are a tick or two coarse.
    pub clock_slack: Duration,
    /// Whether this relay is one of those that receive every outcome and judge the build.
    pub is_judge: bool,
    /// Whether dispatches to another zone are charged.
    pub cross_zone_is_charged: bool,
    /// Whether dispatches may be cancelled.
    pub may_cancel: bool,
    /// Whether this relay sends messages to peers.
    pub messages_peers: bool,
    /// The `Retry-After` of a nack under overload; zero where a nack may not name one.
    pub retry_after: Duration,
    /// Dispatches per task, at most.
    pub max_dispatches: u32,
    /// Capacity of a unit at its start, as a share of its warm capacity.
    pub cold_capacity: f64,
    /// Time from a unit's start until it has its full capacity.
    pub warm_up: Duration,
    /// Multiple of its capacity at which a cold unit fails.
    pub overload_multiple: f64,
    /// How long a unit bears such an overload; the work sent to a cold unit is counted over this time.
    pub overload_duration: Duration,
    /// Time after a lowered exposure cap until dispatches are counted anew.
    pub drain_grace: Duration,
    /// How votes move a build.
    pub gate: GateMode,
    /// Whether units of the new build replace old ones instead of running beside them.
    pub in_place: bool,
    /// Exposure cap by stage, as a share of the traffic.
    pub stage_caps: Vec<f64>,
    /// By stage, the share of the fleet's units that runs the new build.
    pub stage_shares: Vec<f64>,
    /// Number of initial stages in which the new build gets idempotent tasks only.
    pub idempotent_only_stages: usize,
    /// Dispatches to the new build that are always permitted within the exposure window.
    pub exposure_allowance: f64,
    /// Time over which exposure is counted.
    pub exposure_window: Duration,
    /// Whether exposure is counted for each track on its own.
    pub exposure_by_track: bool,
    /// Whether a key that the new build has answered must not go back to an earlier one.
    pub forward_only: bool,
    /// How long a vote stands.
    pub vote_ttl: Duration,
    /// This relay's turns for votes to the platform.
    pub turns: CallSchedule,
    /// How long the platform's answer to a vote is awaited.
    pub vote_timeout: Duration,
    /// The share of wrong answers that clients report.
    pub complaint_share: f64,
    /// Cost of holding back a good build, relative to serving all traffic from an older one.
    pub delay_price: f64,
    /// How long an idle connection to a unit is kept.
    pub keep_idle_for: Duration,
}

/// What is known of one track of tasks.
pub struct TrackState {
    /// Whether a task of this track may run again.
    pub effect: Effect,
    /// Quoted response time of a task without own work.
    pub quoted_time: Duration,
    /// Growth of the quoted time, in seconds per second of the task's own work.
    pub quoted_time_per_work: f64,
    /// Whether an answer after the quoted time still has utility.
    pub late_has_utility: bool,
    /// Utility relative to that of the highest track.
    pub utility: f64,
    /// Response times of the earlier build, by machine type.
    pub latencies: BTreeMap<MachineTypeId, Histogram>,
    /// Tasks received.
    pub arrivals: Window,
    /// Failure rates of the earlier build by machine type: errors, then losses.
    pub failures: BTreeMap<MachineTypeId, [Baseline; 2]>,
    /// Answers of the earlier build during the trial, and those above the slow bin.
    pub slow: Tally,
    /// The bins above which an answer counts as slow, by machine type; taken before the trial.
    pub slow_bins: BTreeMap<MachineTypeId, usize>,
}

/// Failures of the earlier build: their rate before the trial, and their count during it.
#[derive(Clone, Copy, Default)]
pub struct Baseline {
    /// Failure rate when the trial began.
    pub before_trial: f64,
    /// Outcomes counted beside the trial.
    pub during_trial: Tally,
}

impl Baseline {
    /// The mean failure rate of several baselines, weighted by their outcomes.
    pub fn mean_failure_rate<'a>(baselines: impl Iterator<Item = &'a Baseline>) -> f64 {
        let weigh = |(rate, all), baseline: &Baseline| {
            (
                rate + baseline.failure_rate() * baseline.during_trial.trials,
                all + baseline.during_trial.trials,
            )
        };
        let (rate, all) = baselines.fold((0.0, 0.0), weigh);
        rate / f64::max(all, 1.0)
    }

    /// The failure rate before or during the trial, whichever is higher.
    pub fn failure_rate(&self) -> f64 {
        self.before_trial.max(self.during_trial.rate())
    }
}

/// One unit, as listed by discovery and as observed by this relay.
#[derive(Default)]
pub struct Unit {
    /// Its id in the list.
    pub id: UnitId,
    /// A hash of the id that fits three bytes; names the unit in messages to peers.
    pub short_id: u32,
    /// The build it runs.
    pub build: BuildId,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its type of machine.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
    /// Capacity when warm, relative to a unit of size 1.
    pub capacity: f64,
    /// Whether new tasks may be dispatched to it.
    pub ready: bool,
    /// Whether the list names it.
    pub listed: bool,
    /// When it was first missing from the list.
    pub unlisted_at: Option<Duration>,
    /// Start of its process, if listed.
    pub started: Option<Duration>,
    /// Tasks of this relay in flight there.
    pub in_flight: Vec<TaskId>,
    /// Work dispatched to it, relative to the mean task.
    pub sent_work: Window,
    /// When it last answered, or the first of the tasks in flight was sent.
    pub last_answer_at: Duration,
    /// When the process that runs there now was first listed.
    pub first_listed_at: Duration,
    /// Consecutive failures.
    pub failure_streak: u32,
    /// Its own contribution to each of the detector's sums.
    pub cusums: Vec<Cusum>,
    /// Its recent outcomes.
    pub recent_outcomes: Tally,
    /// End of its ejection by this relay.
    pub ejected_until: Duration,
    /// Length of the last ejection; doubles each time until the unit answers again.
    pub ejected_for: Duration,
    /// End of its ejection by peers.
    pub peer_ejected_until: Duration,
    /// Its rank in this relay's order of the units of its side (trial or earlier build).
    pub rank: usize,
    /// Whether it belongs to the subset that this relay uses.
    pub in_subset: bool,
    /// The number of tasks it holds, from its own load reports.
    pub reported_load: LoadEstimate,
}

/// One open task.
pub struct Task {
    /// Its id.
    pub id: TaskId,
    /// Its track.
    pub track: TrackId,
    /// What it is about, where its client says so.
    pub key: Option<Key>,
    /// Its work relative to the mean task.
    pub work: f64,
    /// When its client gives up.
    pub deadline: Duration,
    /// End of the quoted time.
    pub quoted_deadline: Duration,
    /// Whether it exceeds its tenant's quota.
    pub over_quota: bool,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Number of dispatches so far.
    pub dispatches: u32,
    /// The dispatch in flight: its number, the unit's slot, and when it was sent.
    pub in_flight: Option<(DispatchNo, usize, Duration)>,
    /// The first dispatch that may have run: the unit's slot and when it was sent.
    pub may_have_run: Option<(usize, Duration)>,
    /// Slot of the unit of the last dispatch that ended.
    pub failed_on: Option<usize>,
    /// Whether the last dispatch was answered with an error.
    pub last_errored: bool,
    /// Slot of the unit chosen for the next dispatch.
    pub chosen: usize,
    /// Whether the response has started to stream to the client.
    pub response_started: bool,
}

/// The state that a relay last sent to its peers.
pub struct PeerState {
    /// When it was received.
    pub received_at: Duration,
    /// The build it is about.
    pub build: BuildId,
    /// The stage it is about.
    pub stage: Stage,
    /// The alarm bit.
    pub alarm: bool,
    /// Whether, as far as that relay knows, the build may advance.
    pub can_advance: bool,
    /// Divergence I, by which the alarm is weighted.
    pub divergence: f64,
    /// Outcomes of the build in this stage.
    pub outcomes: u32,
    /// Tasks received in the last 2 s.
    pub arrivals: f64,
    /// Mean response time over quoted time.
    pub latency_ratio: f64,
}

/// Where the newest build stands, as the platform last said.
#[derive(Clone, Copy, PartialEq)]
pub struct RolloutState {
    /// The build that is rolled out.
    pub build: BuildId,
    /// Its stage.
    pub stage: Stage,
    /// Its phase.
    pub phase: Phase,
    /// The share of the traffic that may go to it.
    pub cap: f64,
}

impl RolloutState {
    /// The exposure cap and stage of a build that is not fully released; none for one that has no cap.
    pub fn cap_of(&self, build: BuildId, first_cap: f64) -> Option<(f64, usize)> {
        match (build.cmp(&self.build), self.phase) {
            (Ordering::Less, _) | (Ordering::Equal, Phase::Released) => None,
            (Ordering::Equal, _) => Some((self.cap, self.stage.0)),
            (Ordering::Greater, _) => Some((first_cap, 0)),
        }
    }

    /// Whether the build is on trial.
    pub fn is_on_trial(self) -> bool {
        self.phase == Phase::OnTrial
    }

    /// Whether the build is on trial or released, so that votes can still move it.
    pub fn is_live(&self) -> bool {
        matches!(self.phase, Phase::OnTrial | Phase::Released)
    }
}

/// The evidence about the build that is judged.
#[derive(Default)]
pub struct Detector {
    /// CUSUMs of errors by track, of all errors, of losses, and of slow answers, in this order.
    pub cusums: Vec<Cusum>,
    /// Outcomes of the build in this stage.
    pub outcomes: u32,
    /// Outcomes of the build in the current tick.
    pub tick_outcomes: f64,
    /// Mean outcomes of the build per tick.
    pub outcome_rate: f64,
    /// Whether this relay has seen the build on trial.
    pub seen_on_trial: bool,
    /// CUSUM of late answers by the earlier build, against the time before the trial.
    pub baseline_lateness: f64,
    /// CUSUMs of the earlier build's errors and losses, against their own usual rates.
    pub baseline_surge: [f64; 2],
    /// When lateness was last disregarded as evidence.
    pub excused_at: Duration,
    /// For how long, on balance, the earlier build has been late.
    pub late_for: Duration,
    /// Tasks per second and unit before the trial.
    pub load_before: f64,
    /// Whether load was shed when the trial began.
    pub shedding_before: bool,
    /// The alarm bit.
    pub alarm: bool,
    /// Whether, as far as this relay knows, the build may advance.
    pub can_advance: bool,
    /// Divergence I, by which the alarm is weighted.
    pub divergence: f64,
    /// When this relay heard of the stage.
    pub stage_started_at: Duration,
    /// Since when no alarm has been raised anywhere.
    pub clear_since: Duration,
    /// Encoded outcomes that peers have not been sent yet.
    pub unsent_outcomes: Vec<u8>,
}

/// Measurements of this relay's own traffic.
#[derive(Default)]
pub struct Meter {
    /// Dispatches in flight.
    pub in_flight: f64,
    /// Limit of dispatches in flight, above which new tasks are shed.
    pub in_flight_limit: f64,
    /// Mean response time over quoted time.
    pub latency_ratio: f64,
    /// When tasks were last shed for load.
    pub last_shed_at: Option<Duration>,
    /// Outcomes of the earlier build that are held before their counts are halved.
    pub baseline_window: f64,
    /// Mean work hint, in seconds.
    pub mean_work: f64,
    /// Work completed in the current tick, relative to the mean task.
    pub completed_work: f64,
    /// Work completed per second, relative to the mean task.
    pub work_rate: f64,
    /// Tasks received in the current tick.
    pub arrivals: f64,
    /// Tasks received per second.
    pub arrival_rate: TaskRate,
    /// Tasks that units usually hold, from their load reports.
    pub usual_load: TypicalLoad,
    /// Mean quoted time, in seconds.
    pub mean_quoted_s: f64,
    /// Work that a warm unit of size 1 was seen to do for this relay, and in how many seconds.
    pub warm_unit_work: (f64, f64),
    /// For each tenant, tasks per second and tasks of the current tick.
    pub tenant_rates: Vec<(f64, f64)>,
    /// Dispatches after an error, and those that failed again.
    pub repeated_errors: Tally,
    /// First dispatches, and those that took more than half of the quoted time.
    pub slow_first: Tally,
    /// First dispatches that took more than half of the quoted time, and those of them that timed out.
    pub slow_lost: Tally,
    /// Tasks and those that missed the quoted time, by track and by tenant.
    pub late: [Vec<Tally>; 2],
}

impl Params {
    /// Derives the parameters; relays below number `judges` judge the build.
    pub fn new(settings: &Settings, judges: u32) -> Params {
        let relays = f64::from(settings.relays);
        Params {
            own_id: settings.own_id,
            relays: settings.relays,
            zone: settings.zone,
            quotas: settings
                .tenant_quotas
                .iter()
                .map(|quota| quota / relays)
                .collect(),
            over_quota_weight: settings.over_quota_weight,
            clock_slack: settings.clock_granularity * 2,
            is_judge: settings.own_id.0 < judges,
            cross_zone_is_charged: settings.cross_zone_charge > 0.0,
            may_cancel: settings.may_cancel,
            messages_peers: settings.may_message_peers && settings.relays > 1,
            retry_after: if settings.may_set_retry_after {
                settings.max_retry_after
            } else {
                Duration::ZERO
            },
            max_dispatches: settings.max_dispatches,
            cold_capacity: settings.cold_capacity,
            warm_up: settings.warm_up,
            overload_multiple: settings.overload_multiple,
            overload_duration: settings.overload_duration,
            drain_grace: settings.drain_grace,
            gate: settings.gate,
            in_place: settings.in_place,
            stage_caps: settings.stage_caps.clone(),
            stage_shares: settings.stage_shares.clone(),
            idempotent_only_stages: settings.idempotent_only_stages,
            exposure_allowance: settings.exposure_allowance,
            exposure_window: settings.exposure_window,
            exposure_by_track: settings.exposure_by_track,
            forward_only: settings.forward_only,
            vote_ttl: settings.vote_ttl,
            turns: CallSchedule::new(
                settings.own_id.0,
                settings.relays,
                settings.votes_per_s,
                settings.votes_to_advance,
            ),
            vote_timeout: settings.vote_timeout,
            complaint_share: settings.complaint_share,
            delay_price: settings.delay_price,
            keep_idle_for: settings.idle_close.mul_f64(IDLE_KEEP_FRACTION),
        }
    }

    /// The exposure cap of the first stage, which also holds for a build that is not announced yet.
    pub fn first_cap(&self) -> f64 {
        self.stage_caps.first().copied().unwrap_or(0.0)
    }

    /// Index of the exposure counter (rule 5) that a track falls under.
    pub fn exposure_counter(&self, track: TrackId) -> usize {
        if self.exposure_by_track {
            track.0
        } else {
            0
        }
    }
}

impl TrackState {
    /// The state of all tracks, in their order.
    pub fn from_tracks(tracks: &[Track]) -> Vec<TrackState> {
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
            quoted_time: track.quoted_time,
            quoted_time_per_work: track.quoted_time_per_work,
            late_has_utility: track.late_utility > 0.0,
            utility: track.utility / top,
            latencies: BTreeMap::new(),
            arrivals: Window::default(),
            failures: BTreeMap::new(),
            slow: Tally::default(),
            slow_bins: BTreeMap::new(),
        }
    }

    /// Saves the slow bins and failure rates of the earlier build before the trial takes some of its load.
    pub fn start_trial(&mut self, slow_share: f64) {
        self.slow_bins = self
            .latencies
            .iter()
            .map(|(&machine_type, latencies)| (machine_type, latencies.tail_bin(slow_share)))
            .collect();
        self.failures
            .values_mut()
            .flatten()
            .for_each(|baseline| baseline.before_trial = baseline.during_trial.rate());
        self.slow = Tally::default();
    }

    /// The bin above which answers of a machine type are slow. Where the trial began with no more than `least`
    /// times of it, the bin is set as soon as there are more.
    pub fn slow_bin(
        &mut self,
        machine_type: MachineTypeId,
        slow_share: f64,
        least: f64,
    ) -> Option<usize> {
        let latencies = self
            .latencies
            .get(&machine_type)
            .filter(|latencies| f64::from(latencies.total()) > least);
        let current = latencies.map(|latencies| latencies.tail_bin(slow_share));
        self.slow_bins.get(&machine_type).copied().or_else(|| {
            self.slow_bins
                .extend(current.map(|bin| (machine_type, bin)));
            current
        })
    }

    /// The response time of the slowest machine type that at most `share` of its answers exceed.
    pub fn slowest(&self, share: f64) -> Duration {
        let edges = self
            .latencies
            .values()
            .map(|latencies| Histogram::edge(latencies.tail_bin(share)));
        edges.max().unwrap_or_default()
    }

    /// The rate of errors and losses together, as a mean over tracks; at least 1%, the lowest rate that
    /// [`crate::cusum::log_ratio`] takes.
    pub fn baseline_failure_rate(tracks: &[TrackState]) -> f64 {
        let baselines = || tracks.iter().flat_map(|track| track.failures.values());
        let mean = |which: usize| {
            Baseline::mean_failure_rate(baselines().map(move |baseline| &baseline[which]))
        };
        (mean(0) + mean(1)).max(0.01)
    }

    /// The earlier build's errors and losses on a machine type.
    pub fn baseline(&self, machine_type: MachineTypeId) -> [Baseline; 2] {
        self.failures
            .get(&machine_type)
            .copied()
            .unwrap_or_default()
    }
}

/// The last state that each peer sent.
#[derive(Default)]
pub struct Peers(pub BTreeMap<PeerId, PeerState>);

impl Peers {
    /// The states received within the last `ttl`.
    pub fn live(&self, now: Duration, ttl: Duration) -> impl Iterator<Item = &PeerState> {
        self.0
            .values()
            .filter(move |peer| now < peer.received_at + ttl)
    }
}

impl PeerState {
    /// Decodes a message: version, build, stage, bits, divergence, outcomes of the stage, arrivals, latency ratio.
    /// Returns the rest of the payload too; `None` for a message of another version or form.
    pub fn decode(payload: &[u8], received_at: Duration) -> Option<(PeerState, &[u8])> {
        let &[VERSION, b0, b1, stage, bits @ 0..=3, i0, i1, i2, i3, n0, n1, t0, t1, ratio, ref rest @ ..] =
            payload
        else {
            return None;
        };
        let divergence = f64::from(f32::from_be_bytes([i0, i1, i2, i3]));
        let (build, stage) = (BuildId(u16::from_be_bytes([b0, b1])), Stage(stage.into()));
        let (outcomes, arrivals) = (
            u16::from_be_bytes([n0, n1]).into(),
            u16::from_be_bytes([t0, t1]).into(),
        );
        let (alarm, can_advance) = (bits & 1 > 0, bits & 2 > 0);
        let latency_ratio = f64::from(ratio) / 100.0;
        let is_valid = divergence.is_finite() && divergence >= 0.0;
        is_valid.then_some((
            PeerState {
                received_at,
                build,
                stage,
                alarm,
                can_advance,
                divergence,
                outcomes,
                arrivals,
                latency_ratio,
            },
            rest,
        ))
    }

    /// Encodes this state followed by the short ids of ejected units and by outcomes, in as many messages as the
    /// outcomes need; at least one.
    pub fn messages(&self, short_ids: &[u8], outcomes: &[u8]) -> Vec<Vec<u8>> {
        let head = [
            &self.encode()[..],
            &[(short_ids.len() / SHORT_ID_BYTES) as u8],
            short_ids,
        ]
        .concat();
        let mut messages: Vec<Vec<u8>> = outcomes
            .chunks((MAX_MESSAGE_BYTES - head.len()) / OUTCOME_BYTES * OUTCOME_BYTES)
            .map(|part| [&head[..], part].concat())
            .collect();
        if messages.is_empty() {
            messages.push(head);
        }
        messages
    }

    /// Encodes this state in the form that [`PeerState::decode`] reads.
    pub fn encode(&self) -> Vec<u8> {
        let build = self.build.0.to_be_bytes();
        let divergence = (self.divergence as f32).to_be_bytes();
        let outcomes = u16::try_from(self.outcomes)
            .unwrap_or(u16::MAX)
            .to_be_bytes();
        let stage = u8::try_from(self.stage.0).unwrap_or(u8::MAX);
        let bits = u8::from(self.alarm) + 2 * u8::from(self.can_advance);
        let (arrivals, ratio) = (
            (self.arrivals as u16).to_be_bytes(),
            (self.latency_ratio * 100.0) as u8,
        );
        [
            &[VERSION],
            &build[..],
            &[stage, bits],
            &divergence,
            &outcomes,
            &arrivals,
            &[ratio],
        ]
        .concat()
    }
}

/// The outcomes in the order of their codes in messages to peers.
const OUTCOME_CODES: [Outcome; 8] = [
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
    /// A task that has not been dispatched yet.
    pub fn new(
        id: TaskId,
        track: TrackId,
        key: Option<Key>,
        deadline: Duration,
        quoted_deadline: Duration,
    ) -> Task {
        Task {
            id,
            track,
            key,
            work: 1.0,
            deadline,
            quoted_deadline,
            over_quota: false,
            tenant: None,
            dispatches: 0,
            in_flight: None,
            may_have_run: None,
            failed_on: None,
            last_errored: false,
            chosen: 0,
            response_started: false,
        }
    }
}

impl Meter {
    /// A task's work relative to the mean of earlier hints, which follows by `gain`; 1 for a task without a hint.
    pub fn relative_work(&mut self, hint: f64, gain: f64) -> f64 {
        if hint <= 0.0 {
            return 1.0;
        }
        self.mean_work = if self.mean_work > 0.0 {
            self.mean_work + (hint - self.mean_work) * gain
        } else {
            hint
        };
        hint / self.mean_work
    }

    /// Counts whether a first dispatch took more than half of the quoted time and, of the slow ones that were
    /// waited for to the end, whether they were lost. Dispatches that ended otherwise say nothing about either.
    pub fn record_first_dispatch(
        &mut self,
        outcome: Outcome,
        elapsed: Duration,
        quoted_time: Duration,
        keep: [f64; 2],
    ) {
        let (lost, slow) = (outcome == Outcome::TimeOut, elapsed * 2 > quoted_time);
        if outcome == Outcome::Ok || lost {
            self.slow_first.add(lost || slow, keep[0]);
        }
        let waited = elapsed * 4 > quoted_time * 3 || !lost;
        if (outcome == Outcome::Ok || lost) && slow && waited {
            self.slow_lost.add(lost, keep[1]);
        }
    }

    /// Whether few first dispatches take more than half of the quoted time, and most of those are lost.
    pub fn slow_are_mostly_lost(&self, few: f64, most: f64) -> bool {
        self.slow_first.rate() < few && self.slow_lost.rate() > most
    }

    /// Counts whether a task missed its quoted time, for its track and its tenant.
    pub fn record_lateness(
        &mut self,
        track: TrackId,
        tenant: Option<TenantId>,
        late: bool,
        keep: f64,
    ) {
        let [tracks, tenants] = &mut self.late;
        let tallies = tracks.get_mut(track.0).into_iter();
        let tallies = tallies.chain(tenant.and_then(|tenant| tenants.get_mut(tenant.0)));
        tallies.for_each(|tally| tally.add(late, keep));
    }

    /// Nothing measured yet, and no limit on dispatches in flight.
    pub fn new(settings: &Settings) -> Meter {
        let tenant_rates = vec![(0.0, 0.0); settings.tenant_quotas.len()];
        let late =
            [settings.tracks.len(), tenant_rates.len()].map(|count| vec![Tally::default(); count]);
        Meter {
            in_flight_limit: f64::INFINITY,
            tenant_rates,
            late,
            ..Meter::default()
        }
    }

    /// The share of late tasks in a track and of a tenant, each with the lowest share among all tracks or tenants.
    pub fn late_rates(
        &self,
        track: TrackId,
        tenant: Option<TenantId>,
    ) -> impl Iterator<Item = (f64, f64)> + '_ {
        let own = [Some(track.0), tenant.map(|tenant| tenant.0)];
        self.late.iter().zip(own).filter_map(|(all, own)| {
            Some((
                all.get(own?)?.rate(),
                all.iter().map(Tally::rate).fold(1.0, f64::min),
            ))
        })
    }

    /// Counts a task of a tenant and decides by `draw` (0 to 1) whether it counts as above the quota: at a rate
    /// above `margin` times the quota, so many tasks do that the rest fits.
    pub fn is_over_quota(
        &mut self,
        tenant: Option<TenantId>,
        quotas: &[f64],
        margin: f64,
        draw: f64,
    ) -> bool {
        tenant.is_some_and(|TenantId(tenant)| {
            let (rate, count) = &mut self.tenant_rates[tenant];
            *count += 1.0;
            draw > margin * quotas[tenant] / rate.max(1e-9)
        })
    }

    /// Whether tasks have been shed for load within a span.
    pub fn shed_within(&self, span: Duration, now: Duration) -> bool {
        self.last_shed_at.is_some_and(|at| now < at + span)
    }

    /// Averages the response time relative to the quoted time, and the quoted time itself, by `gain`.
    pub fn record_latency(&mut self, elapsed: Duration, quoted_time: Duration, gain: f64) {
        let quoted_s = quoted_time.as_secs_f64();
        self.mean_quoted_s += (quoted_s - self.mean_quoted_s) * gain;
        self.latency_ratio +=
            ((elapsed.as_secs_f64() / quoted_s).min(1.0) - self.latency_ratio) * gain;
    }

    /// Counts the work per second that a unit of size 1 did in a tick; the counts are halved once they cover
    /// `span`.
    fn record_warm_work(&mut self, work_per_s: f64, tick: Duration, span: Duration) {
        self.warm_unit_work = (
            self.warm_unit_work.0 + work_per_s * tick.as_secs_f64(),
            self.warm_unit_work.1 + tick.as_secs_f64(),
        );
        if self.warm_unit_work.1 > span.as_secs_f64() {
            self.warm_unit_work = (self.warm_unit_work.0 / 2.0, self.warm_unit_work.1 / 2.0);
        }
    }

    /// Ends a tick: averages its rates by `gain`. `capacity` is that of the units that did the work.
    pub fn tick(&mut self, tick: Duration, gain: f64, capacity: f64, span: Duration) {
        let per_s = std::mem::take(&mut self.completed_work) / tick.as_secs_f64();
        self.work_rate += (per_s - self.work_rate) * gain;
        for (rate, count) in &mut self.tenant_rates {
            *rate += (std::mem::take(count) / tick.as_secs_f64() - *rate) * gain;
        }
        self.record_warm_work(per_s / capacity, tick, span);
    }
}

/// The units that the list names, or named in the last minute. A unit keeps its slot number while anything may
/// refer to it.
#[derive(Default)]
pub struct Fleet {
    pub(crate) now: Duration,
    pub(crate) units: Vec<Unit>,
    pub(crate) index: HashMap<UnitId, usize>,
    by_short_id: HashMap<u32, usize>,
    pub(crate) ranked: bool,
}

impl Fleet {
    /// Begins an update of the list. Units that a complete list does not name are gone.
    pub fn begin_update(&mut self, is_snapshot: bool) {
        self.units
            .iter_mut()
            .filter(|_| is_snapshot)
            .for_each(|unit| unit.listed = false);
    }

    /// Takes an entry of the list. Must be called between `begin_update` and `finish_update`.
    // Every caller decodes an entry of a list that has the same fields.
    #[allow(clippy::too_many_arguments)]
    pub fn update_unit(
        &mut self,
        id: UnitId,
        build: BuildId,
        zone: Option<ZoneId>,
        machine_type: MachineTypeId,
        cell: CellId,
        health: Health,
        capacity: f64,
        started: Option<Duration>,
    ) {
        let at = self
            .index
            .get(&id)
            .copied()
            .unwrap_or_else(|| self.slot_for(id));
        let unit = &mut self.units[at];
        if started != unit.started || build != unit.build {
            // A new process, perhaps on another machine under the same id: its history does not apply.
            let (id, short_id) = (unit.id.clone(), unit.short_id);
            let in_flight = std::mem::take(&mut unit.in_flight);
            let sent_work = std::mem::take(&mut unit.sent_work);
            *unit = Unit {
                id,
                short_id,
                in_flight,
                sent_work,
                last_answer_at: self.now,
                first_listed_at: self.now,
                ..Unit::default()
            };
        }
        (unit.build, unit.zone, unit.cell) = (build, zone, cell);
        unit.capacity = capacity.max(0.01);
        unit.machine_type = machine_type;
        (unit.started, unit.ready, unit.listed) =
            (started, health == Health::Ready, health != Health::Gone);
        unit.unlisted_at = unit.unlisted_at.filter(|_| !unit.listed);
    }

    /// A slot for a new unit: that of a unit unlisted long ago, else one more.
    fn slot_for(&mut self, id: UnitId) -> usize {
        let hash = |sum: u32, &byte: &u8| (sum ^ u32::from(byte)).wrapping_mul(16_777_619);
        let short_id = id.0.as_bytes().iter().fold(2_166_136_261, hash) >> 8;
        let now = self.now;
        let gone = |unit: &Unit| {
            unit.in_flight.is_empty()
                && unit
                    .unlisted_at
                    .is_some_and(|at| now > at + SLOT_REUSE_AFTER)
        };
        let at = self.units.iter().position(gone).unwrap_or(self.units.len());
        if at == self.units.len() {
            self.units.push(Unit::default());
        }
        let before = std::mem::replace(
            &mut self.units[at],
            Unit {
                id: id.clone(),
                short_id,
                ..Unit::default()
            },
        );
        self.index.remove(&before.id);
        if self.by_short_id.get(&before.short_id) == Some(&at) {
            self.by_short_id.remove(&before.short_id);
        }
        self.index.insert(id, at);
        self.by_short_id.insert(short_id, at);
        at
    }

    /// How many slots are kept, those of units that are gone included.
    pub fn slot_count(&self) -> usize {
        self.units.len()
    }

    /// The units that the list shows as ready for new tasks.
    pub fn ready(&self) -> impl Iterator<Item = &Unit> {
        self.units.iter().filter(|unit| unit.ready)
    }

    /// The units of a build that the list shows as ready for new tasks.
    pub fn ready_of(&self, build: BuildId) -> impl Iterator<Item = &Unit> {
        self.ready().filter(move |unit| unit.build == build)
    }

    /// Ejects the units that a peer's message names until a time; returns what follows them in the message.
    pub fn apply_peer_ejections<'a>(&mut self, rest: &'a [u8], until: Duration) -> &'a [u8] {
        let Some((&count, rest)) = rest.split_first() else {
            return rest;
        };
        let (short_ids, outcomes) =
            rest.split_at(rest.len().min(usize::from(count) * SHORT_ID_BYTES));
        for bytes in short_ids.chunks_exact(SHORT_ID_BYTES) {
            let at = self.by_short_id.get(
                &bytes
                    .iter()
                    .fold(0, |sum, &byte| sum << 8 | u32::from(byte)),
            );
            at.into_iter()
                .for_each(|&at| self.units[at].peer_ejected_until = until);
        }
        outcomes
    }

    /// The encoded short ids of units, as many as a message takes.
    pub fn short_ids<'a>(units: impl Iterator<Item = &'a Unit>) -> Vec<u8> {
        units
            .flat_map(|unit| unit.short_id.to_be_bytes()[1..].to_vec())
            .take(MAX_SHORT_ID_BYTES)
            .collect()
    }

    /// Encodes an outcome for peers: the unit's short id in three bytes; one bit for `late_everywhere`, four for
    /// the track and three for the outcome; three bits for the other flags and five for the bin of the response
    /// time.
    pub fn encode_outcome(&self, report: &OutcomeReport) -> [u8; OUTCOME_BYTES] {
        let [_, id0, id1, id2] = self.units[report.unit].short_id.to_be_bytes();
        let code = OUTCOME_CODES
            .iter()
            .position(|&code| code == report.outcome)
            .unwrap_or_default() as u8;
        let flags = u8::from(report.cold)
            + 2 * u8::from(report.is_retry)
            + 4 * u8::from(report.wrong_answer);
        let track = report.track.0.min(15) as u8 + 16 * u8::from(report.late_everywhere);
        let bin = Histogram::bin(report.elapsed) as u8;
        [id0, id1, id2, track << 3 | code, flags << 5 | bin]
    }

    /// Decodes a peer's outcomes; those of units or tracks that are not known here are left out.
    pub fn decode_outcomes<'a>(
        &'a self,
        payload: &'a [u8],
        tracks: usize,
    ) -> impl Iterator<Item = OutcomeReport> + 'a {
        payload
            .chunks_exact(OUTCOME_BYTES)
            .filter_map(move |encoded| {
                let short_id = u32::from_be_bytes([0, encoded[0], encoded[1], encoded[2]]);
                let (track, outcome) = (
                    TrackId((encoded[3] >> 3 & 15).into()),
                    OUTCOME_CODES[usize::from(encoded[3] & 7)],
                );
                let elapsed = Histogram::bin_midpoint((encoded[4] & 31).into());
                let flags = encoded[4] >> 5;
                let (cold, is_retry, wrong_answer) = (flags & 1 > 0, flags & 2 > 0, flags & 4 > 0);
                let late_everywhere = encoded[3] & 128 > 0;
                let unit = *self
                    .by_short_id
                    .get(&short_id)
                    .filter(|_| track.0 < tracks)?;
                Some(OutcomeReport {
                    unit,
                    track,
                    outcome,
                    elapsed,
                    cold,
                    is_retry,
                    wrong_answer,
                    late_everywhere,
                })
            })
    }

    /// Ends an update of the list: units that are not listed get no new tasks.
    pub fn finish_update(&mut self) {
        self.ranked = false;
        for unit in self.units.iter_mut().filter(|unit| !unit.listed) {
            unit.ready = false;
            unit.unlisted_at.get_or_insert(self.now);
        }
    }
}

impl Exposure {
    /// Starts counting for a new build; the counts of earlier ones are not needed any more.
    pub fn start_build(&mut self, build: BuildId) {
        self.forward_keys.clear();
        self.sent.retain(|&(of, _), _| of >= build);
    }
}

/// The counts by which rule 5, the exposure cap, is kept.
#[derive(Default)]
pub struct Exposure {
    /// Dispatches to each build on trial, by exposure counter.
    pub sent: BTreeMap<(BuildId, usize), Window>,
    /// When the counts are cleared for a lowered cap.
    pub lower_cap_at: Option<Duration>,
    /// Keys that the newest build has answered, where these must not go back to an earlier build.
    pub forward_keys: HashSet<Key>,
}

impl DedupScope {
    /// Whether `other` drops repeats of a task that was sent to `one`.
    pub fn covers(self, one: &Unit, other: &Unit) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.zone == other.zone,
            DedupScope::Cell => one.cell == other.cell && one.zone == other.zone,
        }
    }
}

impl Unit {
    /// Whether its process started less than `warm_up` ago.
    pub fn is_cold(&self, now: Duration, warm_up: Duration) -> bool {
        self.started.is_some_and(|started| now < started + warm_up)
    }

    /// Guaranteed capacity at a time, as a share of the warm capacity.
    pub fn warm_fraction(&self, at: Duration, params: &Params) -> f64 {
        let Some(started) = self.started.filter(|_| self.is_cold(at, params.warm_up)) else {
            return 1.0;
        };
        let part = at.saturating_sub(started).as_secs_f64() / params.warm_up.as_secs_f64();
        params.cold_capacity + (1.0 - params.cold_capacity) * part.min(1.0)
    }

    /// A number from 0 to 1 that is fixed for this unit and relay, and evenly spread over the relays.
    pub fn lottery_draw(&self, relay: PeerId) -> f64 {
        let mixed =
            (self.short_id ^ relay.0.wrapping_mul(2_654_435_761)).wrapping_mul(2_246_822_519);
        f64::from(mixed ^ mixed >> 15) / f64::from(u32::MAX)
    }

    /// Counts a dispatch to this unit.
    pub fn record_dispatch(&mut self, id: &TaskId, now: Duration, work: f64, keep: Duration) {
        if self.in_flight.is_empty() {
            self.last_answer_at = now;
        }
        self.in_flight.push(id.clone());
        self.sent_work.add(now, work, keep);
    }
}

impl Detector {
    /// No evidence yet. There is one sum for each track's errors, one for all errors, one for losses and one for
    /// slow answers.
    pub fn new(tracks: usize, now: Duration) -> Detector {
        let cusums = vec![Cusum::default(); tracks + 3];
        Detector {
            cusums,
            stage_started_at: now,
            clear_since: now,
            load_before: f64::INFINITY,
            ..Detector::default()
        }
    }

    /// The log line of a vote, with the largest sum and its index.
    pub fn log_line(
        &self,
        rollout: RolloutState,
        vote: Vote,
        fused: f64,
        (sum, index): (f64, usize),
    ) -> String {
        let Detector {
            alarm,
            outcomes,
            baseline_lateness,
            baseline_surge: [errors, losses],
            ..
        } = self;
        let head = format!(
            "build {} stage {} vote {vote:?} bit {}",
            rollout.build.0,
            rollout.stage.0,
            u8::from(*alarm)
        );
        let late = format!("late {baseline_lateness:.1} surge {errors:.1} {losses:.1}");
        format!("{head} fused {fused:.2} sum {index} {sum:.1} {late} outcomes {outcomes}")
    }

    /// Starts over for a new build, with the load per unit and whether load was shed before its trial.
    pub fn start_build(&mut self, load: f64, shedding: bool) {
        self.cusums.fill(Cusum::default());
        (self.alarm, self.load_before, self.shedding_before) = (false, load, shedding);
    }

    /// Ends a tick, in which the earlier build was `late` or not. Its lateness decays by the factor `decay`, the
    /// outcome rate is averaged by `gain`.
    pub fn tick(&mut self, late: bool, tick: Duration, decay: f64, gain: f64) {
        self.late_for = if late {
            self.late_for + tick
        } else {
            self.late_for.saturating_sub(tick)
        };
        self.baseline_lateness *= decay;
        self.outcome_rate += (std::mem::take(&mut self.tick_outcomes) - self.outcome_rate) * gain;
    }

    /// Starts counting for a new stage. The sums continue, as they are about the build.
    pub fn start_stage(&mut self, now: Duration) {
        (self.outcomes, self.stage_started_at, self.clear_since) = (0, now, now);
        self.can_advance = false;
        (self.baseline_lateness, self.late_for) = (0.0, Duration::ZERO);
    }

    /// The state that this relay sends to its peers.
    pub fn peer_state(
        &self,
        rollout: RolloutState,
        now: Duration,
        arrivals: f64,
        latency_ratio: f64,
    ) -> PeerState {
        let Detector {
            alarm,
            can_advance,
            divergence,
            outcomes,
            ..
        } = *self;
        PeerState {
            received_at: now,
            build: rollout.build,
            stage: rollout.stage,
            alarm,
            can_advance,
            divergence,
            outcomes,
            arrivals,
            latency_ratio,
        }
    }
}

/// How a dispatch ended, for the outcome stages of the pipeline and for peers.
#[derive(Clone, Copy)]
pub struct OutcomeReport {
    /// Slot of the unit.
    pub unit: usize,
    /// The task's track.
    pub track: TrackId,
    /// The outcome.
    pub outcome: Outcome,
    /// Time from the dispatch to its end.
    pub elapsed: Duration,
    /// Whether the unit was warming up when the task was sent.
    pub cold: bool,
    /// Whether the task had failed elsewhere before.
    pub is_retry: bool,
    /// Whether this is a client's report of a wrong answer.
    pub wrong_answer: bool,
    /// Whether tasks of the same track or tenant are late on all units.
    pub late_everywhere: bool,
}

impl OutcomeReport {
    /// Whether the dispatch failed; `None` for outcomes that say nothing about the unit: a full queue shows load,
    /// and a cancelled or moot dispatch shows nothing.
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
    pub fn wrong_answer(unit: usize, track: TrackId) -> OutcomeReport {
        let (outcome, elapsed) = (Outcome::Ok, Duration::ZERO);
        OutcomeReport {
            unit,
            track,
            outcome,
            elapsed,
            cold: false,
            is_retry: false,
            wrong_answer: true,
            late_everywhere: false,
        }
    }
}

/// What a request stage of the pipeline decides about a task.
pub enum Flow {
    /// The next stage is run.
    Continue,
    /// The task has been dispatched; it stays open.
    Dispatched,
    /// The task gets its final answer.
    Finish,
}
