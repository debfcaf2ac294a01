//! When a proxy may decide which endpoint a non-idempotent request goes to: leases and fencing.
//!
//! That a key has one endpoint at any moment follows from two spans alone. A proxy that has seen no quorum read for
//! [`LEASE_MS`] decides nothing any more, and an endpoint to which a key has moved is used only [`FENCE_MS`] after the
//! move was learned, which is longer. So by the time that anybody uses the new endpoint, whoever might still use the
//! old one has stopped. Clocks are each proxy's own steady ones.

use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeSet, VecDeque};

/// For how long a proxy continues with its placement after the control nodes last showed that they agree, in
/// milliseconds.
pub const LEASE_MS: u64 = 4000;
/// For how long a moved key waits, in milliseconds: longer than [`LEASE_MS`] and the time that an update takes.
pub const FENCE_MS: u64 = LEASE_MS + 1500;
/// Former placements that are kept. With more than these, every key counts as moved.
const KEPT_PLACEMENTS: usize = 16;

/// Why a key has no endpoint now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The control nodes have not been heard of for too long.
    LeaseExpired,
    /// The key was moved just now.
    Moving,
}

/// Whether a key's endpoint may be used.
///
/// `quorum_read_at` is when the control nodes last showed that they agree, `moved_at` when a move of this key was
/// learned.
///
/// # Errors
///
/// Both are worth a retry: [`PlacementError::LeaseExpired`] at another proxy, [`PlacementError::Moving`] later.
pub fn check_placement(
    now: u64,
    quorum_read_at: Option<u64>,
    moved_at: Option<u64>,
) -> Result<(), PlacementError> {
    if quorum_read_at.is_none_or(|at| now > at + LEASE_MS) {
        return Err(PlacementError::LeaseExpired);
    }
    match moved_at {
        Some(at) if now < at + FENCE_MS => Err(PlacementError::Moving),
        _ => Ok(()),
    }
}

/// A placement that was replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FormerPlacement {
    /// When the one after it was learned.
    replaced_at: u64,
    excluded: BTreeSet<String>,
}

/// What one proxy knows of a service's placements: which endpoints the newest one excludes, and which those before it
/// did for as long as another proxy may still use them. A placement whose successor was learned late is as much in
/// force elsewhere as the newest one, so all of them count, not the last one alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlacementHistory {
    version: u64,
    excluded: BTreeSet<String>,
    former: VecDeque<FormerPlacement>,
    /// When a placement was learned after one that this proxy never saw, and which may have moved any key.
    unseen_at: Option<u64>,
}

impl PlacementHistory {
    /// Learns the newest placement: its version, which rises by one with each, and the endpoints that it excludes.
    pub fn learn(&mut self, now: u64, version: u64, excluded: &BTreeSet<String>) {
        if version <= self.version {
            return;
        }
        self.former
            .retain(|former| now < former.replaced_at + FENCE_MS);
        if version > self.version + 1 || self.former.len() >= KEPT_PLACEMENTS {
            self.unseen_at = Some(now);
        }
        let before = std::mem::replace(&mut self.excluded, excluded.clone());
        self.former.push_back(FormerPlacement {
            replaced_at: now,
            excluded: before,
        });
        if self.former.len() > KEPT_PLACEMENTS {
            self.former.pop_front();
        }
        self.version = version;
    }

    /// When the latest move was learned that may have changed a key's endpoint. `endpoint`: where the key goes if these
    /// endpoints are excluded.
    pub fn moved_at<E: PartialEq>(&self, endpoint: impl Fn(&BTreeSet<String>) -> E) -> Option<u64> {
        let current = endpoint(&self.excluded);
        let counted = if Safeguard::EarlierPlacements.is_enabled() {
            KEPT_PLACEMENTS
        } else {
            1
        };
        let former = self.former.iter().rev().take(counted);
        let moved = former.filter(|former| endpoint(&former.excluded) != current);
        let unseen = self
            .unseen_at
            .filter(|_| Safeguard::UnseenPlacements.is_enabled());
        moved.map(|former| former.replaced_at).chain(unseen).max()
    }
}
