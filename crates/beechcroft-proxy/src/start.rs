//! What a relay may begin with. No I/O: times and answers in, decisions out.
//!
//! A relay that starts has no state of its own. The copies that reach it first may come from a machine that is cut off, so
//! it asks a hut for the registers' revisions, which the hut reads from a majority (a linearizable read): whatever was
//! acknowledged before the relay asked is counted in. It begins once it holds copies that are no older. A hut without
//! contact refuses, and the next one is asked.

use beechcroft_safeguards::Safeguard;

/// Between two asks. The earlier ones are still waited for.
const ASK_EVERY_MS: u64 = 300;
/// With copies at hand and nobody to confirm them, a relay begins with the newest it has after so long. While no majority
/// can be read none can acknowledge a change either, and a relay that waited for one would serve nobody: after a loss of
/// most of the core for good, and on the small side of a cut.
const UNCONFIRMED_MS: u64 = 4000;

#[derive(Clone, Debug, Default)]
pub struct Start {
    asked_at: Option<u64>,
    asks: usize,
    confirmed: Option<[u64; 2]>,
    /// Since when it holds copies of both registers.
    held_since: Option<u64>,
}

impl Start {
    /// Whether a hut is to be asked now, and for which time.
    pub fn asks(&mut self, now: u64) -> Option<usize> {
        if self.confirmed.is_some() || self.asked_at.is_some_and(|at| now < at + ASK_EVERY_MS) {
            return None;
        }
        self.asked_at = Some(now);
        self.asks += 1;
        Some(self.asks - 1)
    }

    /// A hut has read these revisions from a majority; the latest word counts.
    pub fn confirmed(&mut self, revisions: [u64; 2]) {
        let held = self.confirmed.unwrap_or_default();
        self.confirmed = Some([held[0].max(revisions[0]), held[1].max(revisions[1])]);
    }

    /// Whether this relay may begin with what it holds.
    pub fn may_begin(&mut self, now: u64, held: [u64; 2]) -> bool {
        if held.contains(&0) {
            return false;
        }
        let since = *self.held_since.get_or_insert(now);
        let confirmed = self
            .confirmed
            .is_some_and(|least| held[0] >= least[0] && held[1] >= least[1]);
        confirmed
            || !Safeguard::ConfirmedStart.is_enabled()
            || (self.confirmed.is_none() && now >= since + UNCONFIRMED_MS)
    }
}
