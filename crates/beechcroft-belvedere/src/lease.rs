//! When a relay may say where a request goes that must not run twice. One place for a key at any moment follows from
//! two spans alone: a relay that has heard nothing of the core for `HOLD_MS` says nothing any more, and a place that
//! has been moved is used only `FENCE_MS` after its move was learned, which is longer. So by the time anybody uses the
//! new place, whoever might still hold the old one has stopped. Clocks are each relay's own steady ones.

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
