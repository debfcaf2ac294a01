//! The relay's timers, by time and, at equal times, in the order in which they were set.

use beechcroft::TimerId;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The timers that have not fired yet.
#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(Instant, u64), TimerId>,
    /// How many have been set.
    count: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn add(&mut self, at: Instant, timer: TimerId) {
        self.count += 1;
        self.due.insert((at, self.count), timer);
    }

    /// When the next timer fires.
    pub fn next(&self) -> Option<Instant> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due.
    pub fn take_due(&mut self, now: Instant) -> Option<TimerId> {
        let first = self
            .due
            .first_entry()
            .filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }
}
