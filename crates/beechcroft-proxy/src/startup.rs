//! When a proxy that starts may serve. No I/O: times and answers in, decisions out.
//!
//! A proxy that starts has no state of its own. The values that reach it first may come from a node that is cut off. So
//! it asks a control node for the registers' revisions, which that one reads from a majority (a linearizable read):
//! whatever was acknowledged before the proxy asked is counted in. It serves once it holds values that are no older. A
//! control node without contact rejects the call, and the next one is asked.

use beechcroft_consensus::{PerRegister, RegisterId, Revision};
use beechcroft_safeguards::Safeguard;

/// Between two questions, in milliseconds. Answers to earlier ones still count.
const ASK_INTERVAL_MS: u64 = 300;
/// With values at hand and nobody to confirm them, a proxy serves with the newest it has after so long, in milliseconds.
/// While no majority can be read, none can acknowledge a change either, and a proxy that waited for one would serve
/// nobody: after most of the control nodes are lost for good, and on the small side of a partition.
const UNCONFIRMED_MS: u64 = 4000;

/// The state of a start.
#[derive(Clone, Debug, Default)]
pub struct Startup {
    asked_at: Option<u64>,
    questions: usize,
    confirmed: Option<PerRegister<Revision>>,
    /// Since when it holds values of both registers.
    held_since: Option<u64>,
}

impl Startup {
    /// Whether a control node is to be asked now, and which one: the number of questions before this one.
    pub fn next_question(&mut self, now: u64) -> Option<usize> {
        let is_recent = self.asked_at.is_some_and(|at| now < at + ASK_INTERVAL_MS);
        if self.confirmed.is_some() || is_recent {
            return None;
        }
        self.asked_at = Some(now);
        self.questions += 1;
        Some(self.questions - 1)
    }

    /// A control node has read these revisions from a majority. The highest ones count.
    pub fn on_confirmed(&mut self, revisions: PerRegister<Revision>) {
        let mut confirmed = self.confirmed.unwrap_or_default();
        for (register, &revision) in revisions.iter() {
            confirmed[register] = confirmed[register].max(revision);
        }
        self.confirmed = Some(confirmed);
    }

    /// Whether this proxy may serve with what it holds.
    pub fn may_serve(&mut self, now: u64, held: PerRegister<Revision>) -> bool {
        if held.iter().any(|(_, revision)| *revision == Revision::NONE) {
            return false;
        }
        let since = *self.held_since.get_or_insert(now);
        let is_held = |register: RegisterId, least: &Revision| held[register] >= *least;
        let is_confirmed = self
            .confirmed
            .is_some_and(|confirmed| confirmed.iter().all(|(id, least)| is_held(id, least)));
        let has_waited = self.confirmed.is_none() && now >= since + UNCONFIRMED_MS;
        is_confirmed || has_waited || !Safeguard::ConfirmedStart.is_enabled()
    }
}
