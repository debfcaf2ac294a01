//! When the store is not worth waiting for. A task waits a stated small part of its quoted time; after several such waits in
//! vain nobody waits for a while, and then one does, to see.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waits {
    /// Of its quoted time, what a task may wait.
    pub part: f64,
    /// And never longer than this.
    pub most: Duration,
    /// Waits in vain, one after another or among the last ten, after which nobody waits.
    pub vain: u32,
    /// For how long nobody waits at first; doubled each time that a probe is in vain.
    pub pause: Duration,
    pub pause_most: Duration,
}

/// Waits that are looked back on.
const LAST: u32 = 10;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Tasks wait. A bit for each of the last waits, set where it was in vain.
    Closed { vain: u32 },
    /// Nobody waits until then.
    Open { until: Duration, pause: Duration },
    /// One waits, since then, to see whether the store is back.
    Probing { since: Duration, pause: Duration },
}

/// A breaker between tasks and the store.
#[derive(Debug)]
pub struct Breaker {
    waits: Waits,
    state: State,
}

/// Whether a task may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum May {
    /// For so long at most.
    Wait(Duration),
    /// The same, to see whether the store is back.
    Probe(Duration),
    /// Not at all.
    GoOn,
}

impl Breaker {
    pub fn new(waits: Waits) -> Breaker {
        Breaker {
            waits,
            state: State::Closed { vain: 0 },
        }
    }

    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// A task is about to ask. `lot` in 0..1 spreads the ends of pauses, so that relays do not probe together.
    pub fn ask(&mut self, now: Duration, quoted: Duration, lot: f64) -> May {
        let wait = quoted.mul_f64(self.waits.part).min(self.waits.most);
        match self.state {
            State::Closed { .. } => May::Wait(wait),
            State::Open { until, pause }
                if now >= until + pause.mul_f64(lot.clamp(0.0, 1.0) / 4.0) =>
            {
                self.state = State::Probing { since: now, pause };
                May::Probe(wait)
            }
            // A probe whose end was never told is not waited for for ever.
            State::Probing { since, pause } if now >= since + self.waits.most + pause => {
                self.state = State::Probing { since: now, pause };
                May::Probe(wait)
            }
            State::Open { .. } | State::Probing { .. } => May::GoOn,
        }
    }

    /// A wait ended: with a reply, or in vain.
    pub fn ended(&mut self, now: Duration, answered: bool) {
        match self.state {
            State::Closed { vain } => {
                let vain = ((vain << 1) | u32::from(!answered)) & ((1 << LAST) - 1);
                self.state = State::Closed { vain };
                if vain.count_ones() >= self.waits.vain {
                    self.open(now, self.waits.pause);
                }
            }
            State::Probing { .. } if answered => self.state = State::Closed { vain: 0 },
            State::Probing { pause, .. } => self.open(now, (pause * 2).min(self.waits.pause_most)),
            // A wait from before it opened.
            State::Open { .. } => {}
        }
    }

    /// The connection is gone: nobody waits for what cannot come.
    pub fn lost(&mut self, now: Duration) {
        if let State::Closed { .. } = self.state {
            self.open(now, self.waits.pause);
        }
    }

    fn open(&mut self, now: Duration, pause: Duration) {
        self.state = State::Open {
            until: now + pause,
            pause,
        };
    }
}
