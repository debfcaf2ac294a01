//! Paces the calls of all relays to a service with a shared rate limit; the root library uses it for votes to the
//! platform.
//!
//! All relays want to make the same call within about a second of each other. If all called at once, most calls would
//! be rejected, and if the rejected relays all waited for a full round, the quorum would never be reached. Each relay
//! therefore calls in a time slot given by its number, and those that are rejected retry after a random delay whose
//! upper bound grows with each rejection.
//!
//! A *round* is one call by every relay at the service's rate. A *decision* is what the calls are about; it is
//! *settled* once a relay has the evidence to call for it. [`CallSchedule`] computes when a relay may call,
//! [`CallTracker`] keeps what it called for last and whether another call is due.

use std::time::Duration;

/// The service's burst allowance, in seconds of calls at its rate, that this schedule uses; the service allows twice as
/// much after a pause, and the other half is left to other callers.
const BURST_S: f64 = 1.0;
/// Speed of a round relative to the service's rate. Slightly above 1, it uses what is left of the burst allowance, so
/// that relays that learn of a decision late still find capacity. With 164 votes at 16 a second the last vote stands
/// after 8.7 s; at 1.0 it stood after 9.9 s, and 8.3 s is the minimum.
const ROUND_SPEED: f64 = 1.1;
/// Speed of an urgent round relative to the service's rate: some relays whose slot it is may be dead, and a rejection
/// costs no more than the call.
const URGENT_SPEED: f64 = 2.0;
/// Seconds of calls held back for the last relays of a round that begins before the decision is settled.
const RESERVE_S: f64 = 0.5;
/// Upper bound of the random delay after a first rejection; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time within which all relays learn of a decision and reach the same conclusion about it.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// How long a relay must want to withdraw a call before it does so.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(300);
/// Seconds in which the service regains its whole burst allowance, two seconds of calls, while nobody calls it.
const BURST_REFILL_S: f64 = 2.0;

/// The time slots in which one relay may call.
#[derive(Clone, Copy, Debug)]
pub struct CallSchedule {
    /// This relay's number, from 0.
    position: u32,
    relays: u32,
    /// Calls a second that the service accepts from all relays together.
    per_s: f64,
    /// The number of calls that take effect together; 0 if unknown.
    quorum: u32,
}

impl CallSchedule {
    /// The schedule of relay number `position` of `relays`, for a service that accepts `per_s` calls a second and acts
    /// on `quorum` of them (0 if unknown).
    pub fn new(position: u32, relays: u32, per_s: f64, quorum: u32) -> CallSchedule {
        CallSchedule {
            position,
            relays,
            per_s: per_s.max(0.1),
            quorum,
        }
    }

    /// Whether the service accepts a call of every relay at once. If so, slots are not needed: relays call and withdraw
    /// immediately, and each spaces its own calls by the length of a round, so that none is rejected.
    fn is_small(&self) -> bool {
        f64::from(self.relays) <= self.per_s * BURST_S
    }

    /// The minimum interval between two calls of one relay if `callers` relays call; never below `min`.
    pub fn min_interval(&self, callers: u32, min: Duration) -> Duration {
        let round = Duration::from_secs_f64(f64::from(callers.min(self.relays)) / self.per_s);
        if self.is_small() {
            round.max(min)
        } else {
            min
        }
    }

    /// The lowest position that calls last: relays below it do not reach the quorum on their own.
    fn first_late_position(&self) -> u32 {
        self.quorum
            .saturating_sub((self.per_s * RESERVE_S).ceil() as u32)
    }

    /// Whether this relay may call before the decision is settled. A round takes long, and early calls cannot reach the
    /// quorum: the late ones decide.
    pub fn may_call_early(&self) -> bool {
        !self.is_small() && self.position < self.first_late_position()
    }

    /// The time until `calls` calls have been made at `speed` times the service's rate.
    fn time_for(&self, calls: f64, speed: f64) -> Duration {
        Duration::from_secs_f64((calls / (self.per_s * speed)).max(0.0))
    }

    /// The delay of this relay's slot after that of the first late position.
    fn late_offset(&self) -> Duration {
        self.time_for(
            f64::from(self.position) - f64::from(self.first_late_position()),
            1.0,
        )
    }

    /// The delay before a round that directly follows another. If a quorum of calls barely fits within `lifetime`, the
    /// time for which a call stands, the round needs the whole burst allowance, which refills only while nobody calls.
    fn delay_after_round(&self, lifetime: Duration) -> Duration {
        let is_tight = self.time_for(f64::from(self.quorum), 1.0) + PROPAGATION_TIME > lifetime;
        Duration::from_secs_f64(if is_tight { BURST_REFILL_S } else { 0.0 })
    }

    /// This relay's slot for a call that stands for `lifetime`. The round began at `began`, directly after another one
    /// if `follows_round`; the decision is settled since `settled`, or not yet. If it is settled only after the round's
    /// first calls have expired, a new round begins then, and calls made before are repeated.
    pub fn advance_slot(
        &self,
        began: Duration,
        follows_round: bool,
        settled: Option<Duration>,
        lifetime: Duration,
    ) -> CallSlot {
        if self.is_small() {
            return CallSlot {
                not_before: settled.unwrap_or(began),
                repeat_before: Duration::ZERO,
            };
        }
        let began = if follows_round {
            began + self.delay_after_round(lifetime)
        } else {
            began
        };
        let offset = self.time_for(f64::from(self.position) - self.per_s * BURST_S, ROUND_SPEED);
        let Some(settled) = settled else {
            return CallSlot {
                not_before: began + offset,
                repeat_before: Duration::ZERO,
            };
        };
        if settled + PROPAGATION_TIME > began + lifetime {
            return CallSlot {
                not_before: settled + offset,
                repeat_before: settled,
            };
        }
        let not_before = if self.may_call_early() {
            began + offset
        } else {
            (began + offset).max(settled + self.late_offset())
        };
        CallSlot {
            not_before,
            repeat_before: Duration::ZERO,
        }
    }

    /// This relay's slot for an urgent call that it has wanted to make since `desired_since`.
    pub fn urgent_slot(&self, desired_since: Duration) -> CallSlot {
        let offset = self.time_for(
            f64::from(self.position) - self.per_s * BURST_S * URGENT_SPEED,
            URGENT_SPEED,
        );
        CallSlot {
            not_before: desired_since + offset,
            repeat_before: Duration::ZERO,
        }
    }

    /// The slot for withdrawing a call that is no longer wanted since `desired_since`. Relays that called early do not
    /// withdraw, as their calls have no effect on their own; the others wait for their slot, so that a decision that
    /// flaps costs no calls.
    pub fn withdrawal_slot(&self, desired_since: Duration) -> CallSlot {
        if self.is_small() {
            return CallSlot {
                not_before: desired_since,
                repeat_before: Duration::ZERO,
            };
        }
        let not_before = if self.may_call_early() {
            Duration::MAX
        } else {
            desired_since + self.late_offset().max(WITHDRAWAL_DELAY)
        };
        CallSlot {
            not_before,
            repeat_before: Duration::ZERO,
        }
    }

    /// The delay before a retry after `rejections` consecutive rejections, at most the length of a round; `jitter` is
    /// between 0 and 1.
    pub fn retry_delay(&self, rejections: u32, jitter: f64) -> Duration {
        let round = Duration::from_secs_f64(f64::from(self.relays) / self.per_s);
        if self.is_small() {
            return round;
        }
        let round = round.max(INITIAL_RETRY_DELAY);
        let max = (INITIAL_RETRY_DELAY * (1 << rejections.saturating_sub(1).min(8))).min(round);
        max.mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// The interval after which a call that stands for `lifetime` is renewed: `fraction` of the lifetime, but no less
    /// than a round. If a round takes longer than the lifetime, a quorum of calls stands only at the end of each round.
    pub fn renewal_interval(&self, lifetime: Duration, fraction: f64) -> Duration {
        if self.is_small() {
            return lifetime.mul_f64(fraction);
        }
        let callers = if self.quorum > 0 {
            self.quorum
        } else {
            self.relays
        };
        lifetime
            .mul_f64(fraction)
            .max(Duration::from_secs_f64(f64::from(callers) / self.per_s))
    }
}

/// When a relay may call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallSlot {
    /// The earliest time of a call whose content is new or has to be repeated.
    pub not_before: Duration,
    /// Calls made before this time no longer count and are repeated.
    pub repeat_before: Duration,
}

/// The state of the last call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum CallState {
    /// No call was made.
    #[default]
    Idle,
    /// Sent, not answered yet.
    Pending,
    Accepted,
    /// Rejected or lost; not to be retried before this time.
    Rejected(Duration),
}

/// What one relay last called for, and what it wants to call for now.
#[derive(Clone, Copy, Debug)]
pub struct CallTracker<W> {
    desired: Option<W>,
    /// Since when `desired` has its value.
    desired_since: Duration,
    /// When the decision became settled.
    settled: Option<Duration>,
    last_call: Option<W>,
    /// When the last call was made.
    called_at: Duration,
    state: CallState,
    /// Consecutive rejections.
    rejections: u32,
}

impl<W> Default for CallTracker<W> {
    fn default() -> CallTracker<W> {
        let start = Duration::ZERO;
        CallTracker {
            desired: None,
            desired_since: start,
            settled: None,
            last_call: None,
            called_at: start,
            state: CallState::Idle,
            rejections: 0,
        }
    }
}

impl<W: Copy + PartialEq> CallTracker<W> {
    /// Starts over for another decision, to which earlier calls do not apply. The time of the last call is kept, so
    /// that the minimum interval between calls holds.
    pub fn reset(&mut self) {
        *self = CallTracker {
            called_at: self.called_at,
            ..CallTracker::default()
        };
    }

    /// Sets what the relay wants to call for, `None` for nothing. Returns since when it has wanted this.
    pub fn set_desired(&mut self, desired: Option<W>, now: Duration) -> Duration {
        if desired != self.desired {
            (self.desired, self.desired_since) = (desired, now);
        }
        self.desired_since
    }

    /// Notes whether the decision is settled, and returns since when it is. If it becomes unsettled for less than
    /// `lifetime`, no new round begins.
    pub fn note_settled(
        &mut self,
        settled: bool,
        now: Duration,
        lifetime: Duration,
    ) -> Option<Duration> {
        if settled && self.settled.is_none_or(|at| now > at + lifetime) {
            self.settled = Some(now);
        }
        self.settled.filter(|_| settled)
    }

    /// Whether to call now, given the slot. A call is due if its content differs from the last call, was rejected, was
    /// not answered within `answer_timeout`, or is older than `renewal_interval`. No call is made while another waits
    /// for its answer, or within `min_interval` of the last call.
    pub fn is_due(
        &self,
        slot: CallSlot,
        now: Duration,
        answer_timeout: Duration,
        min_interval: Duration,
        renewal_interval: Duration,
    ) -> bool {
        let elapsed = now.saturating_sub(self.called_at);
        if elapsed < min_interval || self.state == CallState::Pending && elapsed < answer_timeout {
            return false;
        }
        match self.state {
            CallState::Rejected(until) if self.desired == self.last_call => now >= until,
            _ if self.desired != self.last_call
                || self.desired.is_some() && self.called_at < slot.repeat_before =>
            {
                now >= slot.not_before
            }
            CallState::Accepted => self.desired.is_some() && elapsed >= renewal_interval,
            // A pending call that gets here was not answered in time.
            CallState::Pending | CallState::Idle | CallState::Rejected(_) => self.desired.is_some(),
        }
    }

    /// The content of the last call.
    pub fn last_call(&self) -> Option<W> {
        self.last_call
    }

    /// Records that a call for the desired content was sent.
    pub fn record_sent(&mut self, now: Duration) {
        (self.last_call, self.called_at, self.state) = (self.desired, now, CallState::Pending);
    }

    /// Records that the last call was accepted.
    pub fn record_accepted(&mut self) {
        (self.state, self.rejections) = (CallState::Accepted, 0);
    }

    /// Records that the last call was rejected or lost. `delay` gives the delay before a retry, from the number of
    /// consecutive rejections.
    pub fn record_rejected(&mut self, now: Duration, delay: impl FnOnce(u32) -> Duration) {
        self.rejections += 1;
        self.state = CallState::Rejected(now + delay(self.rejections));
    }
}
