//! Calls to a service that takes so many a second of all relays together. All relays come to the same wish within a
//! second of each other; if all then call at once, most are refused, and if the refused wait for a whole round, the wish
//! is never heard. Here each has its turn by its number, and those that were refused spread over a widening pause.

use std::time::Duration;

/// The service takes this many seconds' worth of calls at once after a pause; half of it is left to others.
const BURST_S: f64 = 1.0;
/// A round goes a little faster than the service takes calls, on what is left of the burst: those whom the news reached
/// late still find room (of 164 votes at 16 a second the last stands after 8.7 s; 9.9 s at the very rate, 8.3 s is least).
const PACE: f64 = 1.1;
/// What must be heard soon may come at this multiple of the rate: some of those whose turn it is may be dead, and a
/// refusal costs nothing but the call.
const HASTE: f64 = 2.0;
/// Calls of this time are kept back from a round that begins early, for those who call last.
const RESERVE_S: f64 = 0.5;
/// The pause after a first refusal is drawn from up to this; it doubles with each further one.
const AGAIN: Duration = Duration::from_secs(1);
/// Within this time relays hear of a matter, and come to think the same of it.
const SPREAD: Duration = Duration::from_secs(1);
/// For so long a wish to take something back must hold.
const SETTLE: Duration = Duration::from_millis(300);
/// For the service to gather its whole burst: twice a second's calls, as it takes no others meanwhile.
const GATHER_S: f64 = 2.0;

/// The turns of one relay.
#[derive(Clone, Copy, Debug)]
pub struct CallSchedule {
    /// Its number among the relays.
    place: u32,
    relays: u32,
    per_s: f64,
    /// Voices without which nothing comes of a call; 0 where that is not known.
    needed: u32,
}

impl CallSchedule {
    pub fn new(place: u32, relays: u32, per_s: f64, needed: u32) -> CallSchedule {
        CallSchedule {
            place,
            relays,
            per_s: per_s.max(0.1),
            needed,
        }
    }

    /// Whether the service takes a call of every relay at once. Then nobody needs a turn: a wish is called as it comes
    /// up, is taken back as it goes, and calls of one relay keep a round's distance, so that none is refused.
    fn is_small(&self) -> bool {
        f64::from(self.relays) <= self.per_s * BURST_S
    }

    /// The least time between two calls of one relay, of which so many call.
    pub fn min_interval(&self, voices: u32, least: Duration) -> Duration {
        let round = Duration::from_secs_f64(f64::from(voices.min(self.relays)) / self.per_s);
        if self.is_small() {
            round.max(least)
        } else {
            least
        }
    }

    /// Places from this one on speak last: without them the needed voices are not there.
    fn first_last(&self) -> u32 {
        self.needed
            .saturating_sub((self.per_s * RESERVE_S).ceil() as u32)
    }

    /// Whether this relay may speak before the matter is settled: a round takes long, and those who speak last decide.
    pub fn may_call_early(&self) -> bool {
        !self.is_small() && self.place < self.first_last()
    }

    fn line(&self, place: f64, pace: f64) -> Duration {
        Duration::from_secs_f64((place / (self.per_s * pace)).max(0.0))
    }

    /// How long those who speak last have before this relay does.
    fn behind_early(&self) -> Duration {
        self.line(f64::from(self.place) - f64::from(self.first_last()), 1.0)
    }

    /// How long a round is put off that follows another: where all those needed are hardly heard within a call's life, they
    /// are so only with the whole burst, which the service gathers while nobody calls.
    fn rest(&self, life: Duration) -> Duration {
        let hardly = self.line(f64::from(self.needed), 1.0) + SPREAD > life;
        Duration::from_secs_f64(if hardly { GATHER_S } else { 0.0 })
    }

    /// This relay's turn for a call that stands for `life`. Its round began at a time, perhaps behind another one; the
    /// matter is settled since a further time, or not yet. Where that is past the life of the round's first calls, a fresh
    /// one begins with the settling: what was said before is then said again.
    pub fn advance_slot(
        &self,
        began: Duration,
        behind: bool,
        settled: Option<Duration>,
        life: Duration,
    ) -> CallSlot {
        if self.is_small() {
            return CallSlot {
                not_before: settled.unwrap_or(began),
                repeat_before: Duration::ZERO,
            };
        }
        let began = if behind {
            began + self.rest(life)
        } else {
            began
        };
        let in_line = self.line(f64::from(self.place) - self.per_s * BURST_S, PACE);
        let Some(settled) = settled else {
            return CallSlot {
                not_before: began + in_line,
                repeat_before: Duration::ZERO,
            };
        };
        if settled + SPREAD > began + life {
            return CallSlot {
                not_before: settled + in_line,
                repeat_before: settled,
            };
        }
        let not_before = if self.may_call_early() {
            began + in_line
        } else {
            (began + in_line).max(settled + self.behind_early())
        };
        CallSlot {
            not_before,
            repeat_before: Duration::ZERO,
        }
    }

    /// The same for what cannot wait.
    pub fn urgent_slot(&self, wished: Duration) -> CallSlot {
        let in_line = self.line(f64::from(self.place) - self.per_s * BURST_S * HASTE, HASTE);
        CallSlot {
            not_before: wished + in_line,
            repeat_before: Duration::ZERO,
        }
    }

    /// When a call is taken back that is wished no more. Those who spoke early let theirs stand, as nothing comes of them
    /// alone; the others go in line, so that a matter that wavers costs no call.
    pub fn withdrawal_slot(&self, wished: Duration) -> CallSlot {
        if self.is_small() {
            return CallSlot {
                not_before: wished,
                repeat_before: Duration::ZERO,
            };
        }
        let not_before = if self.may_call_early() {
            Duration::MAX
        } else {
            wished + self.behind_early().max(SETTLE)
        };
        CallSlot {
            not_before,
            repeat_before: Duration::ZERO,
        }
    }

    /// How long a relay waits that was refused so many times in a row; `draw` is from 0 to 1. A round of all is enough.
    pub fn retry_delay(&self, refused: u32, draw: f64) -> Duration {
        let round = Duration::from_secs_f64(f64::from(self.relays) / self.per_s);
        if self.is_small() {
            return round;
        }
        let round = round.max(AGAIN);
        let most = (AGAIN * (1 << refused.saturating_sub(1).min(8))).min(round);
        most.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// After which time a call that stands for `life` is renewed: by `part` of it, but not before a round is through. Where
    /// a round takes longer than a call stands, the needed ones all stand only at the end of each.
    pub fn renewal_interval(&self, life: Duration, part: f64) -> Duration {
        if self.is_small() {
            return life.mul_f64(part);
        }
        let voices = if self.needed > 0 {
            self.needed
        } else {
            self.relays
        };
        life.mul_f64(part)
            .max(Duration::from_secs_f64(f64::from(voices) / self.per_s))
    }
}

/// When a relay may call, and since when what it said counts as said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallSlot {
    pub not_before: Duration,
    pub repeat_before: Duration,
}

/// How the last call fared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Silent,
    /// Called, not answered.
    Asked,
    Stands,
    /// And not to call again before.
    Refused(Duration),
}

/// What one relay has called for, and what it wishes now.
#[derive(Clone, Copy, Debug)]
pub struct CallTracker<W> {
    wish: Option<W>,
    /// When the wish came up.
    wished: Duration,
    /// When what it is about was first settled.
    settled: Option<Duration>,
    said: Option<W>,
    at: Duration,
    state: State,
    /// How many times in a row.
    refused: u32,
}

impl<W> Default for CallTracker<W> {
    fn default() -> CallTracker<W> {
        let at = Duration::ZERO;
        CallTracker {
            wish: None,
            wished: at,
            settled: None,
            said: None,
            at,
            state: State::Silent,
            refused: 0,
        }
    }
}

impl<W: Copy + PartialEq> CallTracker<W> {
    /// The matter changed: what was said of the former one holds no more. No call follows another any faster for it.
    pub fn reset(&mut self) {
        *self = CallTracker {
            at: self.at,
            ..CallTracker::default()
        };
    }

    /// Notes a wish; none where nothing is to be called for. Since when it is wished.
    pub fn set_desired(&mut self, wish: Option<W>, now: Duration) -> Duration {
        if wish != self.wish {
            (self.wish, self.wished) = (wish, now);
        }
        self.wished
    }

    /// Since when the matter is settled. That it wavers for less than `life` begins no new round.
    pub fn note_settled(
        &mut self,
        settled: bool,
        now: Duration,
        life: Duration,
    ) -> Option<Duration> {
        if settled && self.settled.is_none_or(|at| now > at + life) {
            self.settled = Some(now);
        }
        self.settled.filter(|_| settled)
    }

    /// Whether the call is to be made now, its turn being given. It is one if the wish differs from what was said, was
    /// refused or has to be renewed; none is made while one waits for its answer, nor sooner than `gap` after another.
    pub fn is_due(
        &self,
        turn: CallSlot,
        now: Duration,
        wait: Duration,
        gap: Duration,
        renew: Duration,
    ) -> bool {
        let since = now.saturating_sub(self.at);
        if since < gap || self.state == State::Asked && since < wait {
            return false;
        }
        match self.state {
            State::Refused(until) if self.wish == self.said => now >= until,
            _ if self.wish != self.said || self.wish.is_some() && self.at < turn.repeat_before => {
                now >= turn.not_before
            }
            State::Stands => self.wish.is_some() && since >= renew,
            State::Asked | State::Silent | State::Refused(_) => self.wish.is_some(), // the answer was lost
        }
    }

    /// What was said last, and stands as far as is known.
    pub fn last_call(&self) -> Option<W> {
        self.said
    }

    pub fn record_sent(&mut self, now: Duration) {
        (self.said, self.at, self.state) = (self.wish, now, State::Asked);
    }

    pub fn record_accepted(&mut self) {
        (self.state, self.refused) = (State::Stands, 0);
    }

    /// Refused, or lost; `pause` tells the wait by how many times in a row.
    pub fn record_rejected(&mut self, now: Duration, pause: impl FnOnce(u32) -> Duration) {
        self.refused += 1;
        self.state = State::Refused(now + pause(self.refused));
    }
}
