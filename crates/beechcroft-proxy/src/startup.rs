//! Decides when a starting proxy may serve. Driven by the state owner; performs no I/O.
//!
//! A starting proxy has no state of its own, and the first values that it receives may come from a partitioned node with
//! stale ones. It therefore asks a control node for the revisions of the registers. The control node reads them from a
//! majority (a linearizable read), so they include every change that was acknowledged before the proxy asked. The proxy
//! serves once its values are at least as new. A control node without quorum contact rejects the call, and the proxy asks
//! the next one.

use beechcroft_consensus::{PerRegister, RegisterId, Revision};
use beechcroft_safeguards::Safeguard;

/// Interval between requests for the revisions, in milliseconds. Responses to earlier requests still count.
const REQUEST_INTERVAL_MS: u64 = 300;
/// A proxy that has values of all registers, but no confirmed revisions, serves with the newest ones after this time, in
/// milliseconds. While no majority can be read, none can acknowledge a change either. A proxy that kept waiting would not
/// serve at all after the permanent loss of most control nodes, or on the minority side of a partition.
const CONFIRMATION_TIMEOUT_MS: u64 = 4000;

/// Startup state of a proxy.
#[derive(Clone, Debug, Default)]
pub struct Startup {
    /// Time of the latest request for the revisions.
    requested_at: Option<u64>,
    /// Number of requests so far.
    requests: usize,
    /// Highest revisions that a majority has confirmed.
    confirmed: Option<PerRegister<Revision>>,
    /// Time since which the proxy has values of both registers.
    complete_since: Option<u64>,
}

impl Startup {
    /// Returns the index of the next request for the revisions, counted from 0, if one is due. The index selects the control
    /// node to ask.
    pub fn next_request(&mut self, now: u64) -> Option<usize> {
        let is_recent = self
            .requested_at
            .is_some_and(|at| now < at + REQUEST_INTERVAL_MS);
        if self.confirmed.is_some() || is_recent {
            return None;
        }
        self.requested_at = Some(now);
        self.requests += 1;
        Some(self.requests - 1)
    }

    /// Records revisions that a control node has read from a majority. The highest ones count.
    pub fn on_confirmed(&mut self, revisions: PerRegister<Revision>) {
        let mut confirmed = self.confirmed.unwrap_or_default();
        for (register, &revision) in revisions.iter() {
            confirmed[register] = confirmed[register].max(revision);
        }
        self.confirmed = Some(confirmed);
    }

    /// Whether the proxy may serve with values of these revisions.
    pub fn may_serve(&mut self, now: u64, revisions: PerRegister<Revision>) -> bool {
        if revisions
            .iter()
            .any(|(_, revision)| *revision == Revision::NONE)
        {
            return false;
        }
        let complete_since = *self.complete_since.get_or_insert(now);
        let is_reached =
            |register: RegisterId, confirmed: &Revision| revisions[register] >= *confirmed;
        let is_confirmed = self.confirmed.is_some_and(|confirmed| {
            confirmed
                .iter()
                .all(|(id, revision)| is_reached(id, revision))
        });
        let has_timed_out =
            self.confirmed.is_none() && now >= complete_since + CONFIRMATION_TIMEOUT_MS;
        is_confirmed || has_timed_out || !Safeguard::ConfirmedStart.is_enabled()
    }
}
