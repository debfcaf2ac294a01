//! A circuit breaker between tasks and the store. A task waits for the store for a small fraction of its quoted time.
//! After several failed waits no task waits for a while; then a single one probes whether the store is back.

use std::time::Duration;

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// The fraction of its quoted time that a task may wait.
    pub wait_fraction: f64,
    /// The longest that any task may wait.
    pub max_wait: Duration,
    /// Failed waits among the last ten at which the breaker opens.
    pub failure_threshold: u32,
    /// How long the breaker stays open at first; doubled by each failed probe.
    pub open_time: Duration,
    /// Upper bound of the doubled time.
    pub max_open_time: Duration,
}

/// Number of past waits that count.
const WINDOW: u32 = 10;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Tasks wait. `failures` has a bit for each of the last waits, set if the wait failed.
    Closed { failures: u32 },
    /// No task waits before `until`.
    Open {
        until: Duration,
        open_time: Duration,
    },
    /// A single task has waited since `since`, as a probe.
    HalfOpen {
        since: Duration,
        open_time: Duration,
    },
}

/// A circuit breaker between tasks and the store.
#[derive(Debug)]
pub struct Breaker {
    config: BreakerConfig,
    state: State,
}

/// Whether a task may wait for the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may wait for at most this long.
    Wait(Duration),
    /// The same, as a probe whether the store is back.
    Probe(Duration),
    /// It goes on without the store.
    Skip,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(config: BreakerConfig) -> Breaker {
        Breaker {
            config,
            state: State::Closed { failures: 0 },
        }
    }

    /// Whether tasks skip the store, apart from probes.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// Decides for a task with the given quoted time. `jitter` in 0..1 delays the end of the open state by up to a
    /// quarter, so that relays do not probe together.
    pub fn admit(&mut self, now: Duration, quoted: Duration, jitter: f64) -> Admission {
        let wait = quoted
            .mul_f64(self.config.wait_fraction)
            .min(self.config.max_wait);
        match self.state {
            State::Closed { .. } => Admission::Wait(wait),
            State::Open { until, open_time }
                if now >= until + open_time.mul_f64(jitter.clamp(0.0, 1.0) / 4.0) =>
            {
                self.state = State::HalfOpen {
                    since: now,
                    open_time,
                };
                Admission::Probe(wait)
            }
            // A probe whose result was never reported does not block further ones.
            State::HalfOpen { since, open_time }
                if now >= since + self.config.max_wait + open_time =>
            {
                self.state = State::HalfOpen {
                    since: now,
                    open_time,
                };
                Admission::Probe(wait)
            }
            State::Open { .. } | State::HalfOpen { .. } => Admission::Skip,
        }
    }

    /// Records that a wait ended, with a reply or without one.
    pub fn record_result(&mut self, now: Duration, answered: bool) {
        match self.state {
            State::Closed { failures } => {
                let failures = ((failures << 1) | u32::from(!answered)) & ((1 << WINDOW) - 1);
                self.state = State::Closed { failures };
                if failures.count_ones() >= self.config.failure_threshold {
                    self.open(now, self.config.open_time);
                }
            }
            State::HalfOpen { .. } if answered => self.state = State::Closed { failures: 0 },
            State::HalfOpen { open_time, .. } => {
                self.open(now, (open_time * 2).min(self.config.max_open_time));
            }
            // The wait began before the breaker opened.
            State::Open { .. } => {}
        }
    }

    /// Records that the connection was lost: no task waits for a reply that cannot come.
    pub fn record_disconnect(&mut self, now: Duration) {
        if let State::Closed { .. } = self.state {
            self.open(now, self.config.open_time);
        }
    }

    fn open(&mut self, now: Duration, open_time: Duration) {
        self.state = State::Open {
            until: now + open_time,
            open_time,
        };
    }
}
