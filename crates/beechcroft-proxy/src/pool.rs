//! Kept connections to units. A connection comes back only after a whole answer with nothing unread behind it,
//! and is used again only well inside the time for which the unit keeps it.

use beechcroft_safeguards::Safeguard;
use beechcroft_transport::line::Line;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Where the unit does not say how long it keeps an idle connection.
const KEEP_MS: u64 = 4000;
/// Part of the unit's own time for which a connection is used again; for a request that must not be lost, half.
const KEEP_PART: f64 = 0.7;

#[derive(Debug)]
struct Idle {
    line: Line,
    since: u64,
    keep_ms: u64,
}

#[derive(Debug, Default)]
struct Kept {
    idle: Vec<Idle>,
    /// Connections that are open, in use or idle.
    open: usize,
}

#[derive(Debug, Default)]
pub struct Pool(BTreeMap<Rc<str>, Kept>);

impl Pool {
    /// A connection that is surely alive. `sure`: the request may not run twice.
    pub fn take(&mut self, now: u64, unit: &str, sure: bool) -> Option<Line> {
        let kept = self.0.get_mut(unit)?;
        while let Some(Idle {
            line,
            since,
            keep_ms,
        }) = kept.idle.pop()
        {
            let age = now.saturating_sub(since);
            if age < if sure { keep_ms / 2 } else { keep_ms }
                && (line.clean() || !Safeguard::CleanConnections.is_enabled())
            {
                return Some(line);
            }
            kept.open -= 1;
        }
        None
    }

    /// Room for one more connection among `most`; it counts from now on.
    pub fn open(&mut self, unit: &Rc<str>, most: usize) -> bool {
        let kept = self.0.entry(unit.clone()).or_default();
        let room = kept.open < most.max(1);
        kept.open += usize::from(room);
        room
    }

    /// A connection to the unit has just broken: the idle ones beside it may lead to the same nothing.
    pub fn distrust(&mut self, unit: &str) {
        if let Some(kept) = self.0.get_mut(unit) {
            kept.open = kept.open.saturating_sub(kept.idle.len());
            kept.idle.clear();
        }
    }

    /// A connection is closed.
    pub fn closed(&mut self, unit: &str) {
        if let Some(kept) = self.0.get_mut(unit) {
            kept.open = kept.open.saturating_sub(1);
        }
    }

    /// A connection may be used again.
    pub fn keep(&mut self, now: u64, unit: &str, mut line: Line, keep_alive_s: Option<u64>) {
        let Some(kept) = self.0.get_mut(unit) else {
            return;
        };
        line.rest();
        let keep_ms = keep_alive_s.map_or(KEEP_MS, |s| (s as f64 * 1000.0 * KEEP_PART) as u64);
        kept.idle.push(Idle {
            line,
            since: now,
            keep_ms,
        });
    }

    /// Closes what has been idle for too long, and what belongs to units that get nothing more.
    pub fn sweep(&mut self, now: u64, mut used: impl FnMut(&str) -> bool) {
        self.0.retain(|unit, kept| {
            let used = used(unit);
            let before = kept.idle.len();
            kept.idle
                .retain(|idle| used && now.saturating_sub(idle.since) < idle.keep_ms);
            kept.open -= before - kept.idle.len();
            kept.open > 0
        });
    }
}
