//! When a relay may say where a request goes that must not run twice. One place for a key at any moment follows from
//! two spans alone: a relay that has heard nothing of the core for `HOLD_MS` says nothing any more, and a place that
//! has been moved is used only `FENCE_MS` after its move was learned, which is longer. So by the time anybody uses the
//! new place, whoever might still hold the old one has stopped. Clocks are each relay's own steady ones.

use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeSet, VecDeque};

/// A relay goes on with the placement that it holds for so long after the core last showed that it agrees.
pub const HOLD_MS: u64 = 4000;
/// Longer than [`HOLD_MS`] and the way of news from the core's decision on.
pub const FENCE_MS: u64 = HOLD_MS + 1500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// Nothing has been heard of the core for too long.
    OutOfTouch,
    /// The key's place was moved just now.
    Moving,
}

/// `touched_at`: when the core last showed that it agrees; `moved_at`: when a move of this key's place was learned.
pub fn may_place(now: u64, touched_at: Option<u64>, moved_at: Option<u64>) -> Result<(), Bar> {
    if touched_at.is_none_or(|at| now > at + HOLD_MS) {
        return Err(Bar::OutOfTouch);
    }
    match moved_at {
        Some(at) if now < at + FENCE_MS => Err(Bar::Moving),
        _ => Ok(()),
    }
}

/// Placements gone by of late that are kept; with more than these, every key counts as moved.
const KEPT: usize = 16;

/// What one relay knows of the placements of a service: which units the newest leaves out, and which those before it did
/// for as long as another relay may still go by them. One of whose successor it heard late is as much in force elsewhere
/// as the newest, so all of them count, not the last alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Moves {
    version: u64,
    aside: BTreeSet<String>,
    /// Placements before, each with the time at which the one after it was learned.
    before: VecDeque<(u64, BTreeSet<String>)>,
    /// When a placement was learned after one that this relay has never seen, and which may have moved any key.
    unseen_at: Option<u64>,
}

impl Moves {
    /// The newest placement: its number, which rises by one with each, and the units that it leaves out.
    pub fn learn(&mut self, now: u64, version: u64, aside: &BTreeSet<String>) {
        if version <= self.version {
            return;
        }
        self.before.retain(|(at, _)| now < at + FENCE_MS);
        if version > self.version + 1 || self.before.len() >= KEPT {
            self.unseen_at = Some(now);
        }
        self.before
            .push_back((now, std::mem::replace(&mut self.aside, aside.clone())));
        if self.before.len() > KEPT {
            self.before.pop_front();
        }
        self.version = version;
    }

    /// When the latest move was learned that may have changed a key's place. `place`: where the key goes if these units
    /// are left out.
    pub fn moved_at<P: PartialEq>(&self, place: impl Fn(&BTreeSet<String>) -> P) -> Option<u64> {
        let current = place(&self.aside);
        let counted = if Safeguard::EarlierPlacements.is_enabled() {
            KEPT
        } else {
            1
        };
        let before = self.before.iter().rev().take(counted);
        let moved = before
            .filter(|(_, aside)| place(aside) != current)
            .map(|(at, _)| *at);
        moved
            .chain(
                self.unseen_at
                    .filter(|_| Safeguard::UnseenPlacements.is_enabled()),
            )
            .max()
    }
}
