//! Leases and fencing: when a proxy may choose the endpoint for a non-idempotent request.
//!
//! That a key has at most one endpoint at any time follows from two intervals alone. A proxy without a quorum read for
//! [`LEASE_MS`] stops choosing endpoints, and a key's new endpoint is used only [`FENCE_MS`] after the move was
//! learned, which is longer. By the time that any proxy uses the new endpoint, every proxy that may still have used the
//! old one has stopped. All times are of each proxy's own monotonic clock.

use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeSet, VecDeque};

/// Lease: time for which a proxy may use its placement after a quorum read from the control nodes, in milliseconds.
pub const LEASE_MS: u64 = 4000;
/// Fence: time for which requests for a moved key wait, in milliseconds. Longer than [`LEASE_MS`] and the delivery of
/// an update together.
pub const FENCE_MS: u64 = LEASE_MS + 1500;
/// Maximum number of former placements that are kept. When there are more, every key counts as moved.
const MAX_FORMER_PLACEMENTS: usize = 16;

/// Why a key has no endpoint at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The last quorum read is older than the lease.
    LeaseExpired,
    /// The key has moved recently and waits for the fence.
    Moving,
}

/// Checks whether a key's endpoint may be used.
///
/// `quorum_read_at` is the time of the last quorum read from the control nodes, `moved_at` the time at which a move of
/// this key was learned.
///
/// # Errors
///
/// Both errors may be retried: [`PlacementError::LeaseExpired`] at another proxy, [`PlacementError::Moving`] later.
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

/// A placement that has been replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FormerPlacement {
    /// When its successor was learned.
    replaced_at: u64,
    excluded: BTreeSet<String>,
}

/// A proxy's knowledge of the placements of a service: the endpoints that the newest one excludes, and those that
/// former ones excluded while other proxies may still use them. A proxy that learns of updates late may still use any
/// of the former placements, so all of them count, not only the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlacementHistory {
    version: u64,
    excluded: BTreeSet<String>,
    former: VecDeque<FormerPlacement>,
    /// When this proxy skipped a version of the placement, which may have moved any key.
    skipped_version_at: Option<u64>,
}

impl PlacementHistory {
    /// Learns the newest placement: its version, which increases by one with each placement, and the endpoints that it
    /// excludes. Older versions are ignored.
    pub fn learn(&mut self, now: u64, version: u64, excluded: &BTreeSet<String>) {
        if version <= self.version {
            return;
        }
        self.former
            .retain(|former| now < former.replaced_at + FENCE_MS);
        if version > self.version + 1 || self.former.len() >= MAX_FORMER_PLACEMENTS {
            self.skipped_version_at = Some(now);
        }
        let before = std::mem::replace(&mut self.excluded, excluded.clone());
        self.former.push_back(FormerPlacement {
            replaced_at: now,
            excluded: before,
        });
        if self.former.len() > MAX_FORMER_PLACEMENTS {
            self.former.pop_front();
        }
        self.version = version;
    }

    /// When the latest move that may have changed a key's endpoint was learned. `endpoint` returns the key's endpoint,
    /// given the excluded ones.
    pub fn moved_at<E: PartialEq>(&self, endpoint: impl Fn(&BTreeSet<String>) -> E) -> Option<u64> {
        let current = endpoint(&self.excluded);
        let considered = if Safeguard::EarlierPlacements.is_enabled() {
            MAX_FORMER_PLACEMENTS
        } else {
            1
        };
        let former = self.former.iter().rev().take(considered);
        let moved = former.filter(|former| endpoint(&former.excluded) != current);
        let skipped = self
            .skipped_version_at
            .filter(|_| Safeguard::UnseenPlacements.is_enabled());
        moved.map(|former| former.replaced_at).chain(skipped).max()
    }
}
