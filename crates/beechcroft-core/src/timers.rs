//! Wake-ups that the module asked for, by time and, at one time, in the order of asking.

use beechcroft::TimerId;
use std::collections::BTreeMap;
use tokio::time::Instant;

#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(Instant, u64), TimerId>,
    asked: u64,
}

impl Timers {
    pub fn add(&mut self, at: Instant, token: TimerId) {
        self.asked += 1;
        self.due.insert((at, self.asked), token);
    }

    pub fn next(&self) -> Option<Instant> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    pub fn take_due(&mut self, now: Instant) -> Option<TimerId> {
        let first = self
            .due
            .first_entry()
            .filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }
}
