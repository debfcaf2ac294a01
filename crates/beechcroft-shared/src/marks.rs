//! Marks: that a task may have run, in which group and for how long that holds. One command sets a mark and tells the one
//! that was there, so that of two relays one at least finds the other's.
//!
//! For a deduplicated task a mark that is found keeps it to its group and window, and past the window it is not sent. For an
//! unrepeatable task the mark is a claim: one that is found is never a permission, and neither is silence.

use crate::RelayIncarnation;
use beechcroft::{Effect, UnitId};
use std::time::Duration;

/// What lies in the store for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutionMark {
    pub owner: RelayIncarnation,
    /// Where it may have run, if it was sent by then.
    pub unit: Option<UnitId>,
}

/// What came of asking the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// No mark was there; ours is now.
    Claimed,
    /// A mark was there, and is kept for `remaining` more by the store's own clock.
    AlreadyMarked {
        mark: ExecutionMark,
        remaining: Duration,
    },
    /// Nothing was written: the command never left.
    NotSent,
    /// It was written, and no reply that can be believed came in time.
    Unknown,
}

/// What a task may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Leave {
    /// Nobody has sent it; the store knows that this relay is about to.
    Free,
    /// The store has nothing to say: by this relay's own rules, as without a store.
    Alone,
    /// It may have run there, so long ago at most; only what its track allows for a repeat.
    Repeat { unit: UnitId, age: Duration },
    /// It may have run, and must not be sent.
    Never,
}

/// What is kept for a window is kept a little longer: a mark that went too early would be a permission.
pub const KEPT_BEYOND: Duration = Duration::from_secs(2);
/// For how long a claim on an unrepeatable task is kept: longer than any client repeats one.
pub const CLAIM_KEPT: Duration = Duration::from_secs(600);

/// For how long a mark of such a task is to be kept; none where it needs no mark.
pub fn kept(effect: Effect) -> Option<Duration> {
    match effect {
        Effect::Idempotent => None,
        Effect::Deduplicated { window, .. } => Some(window + KEPT_BEYOND),
        Effect::Unrepeatable => Some(CLAIM_KEPT),
    }
}

/// What a task of this effect may do, given what was found; `waited` is how long the reply took.
pub fn leave(effect: Effect, found: ClaimOutcome, me: RelayIncarnation, waited: Duration) -> Leave {
    let (mark, remaining) = match found {
        ClaimOutcome::Claimed => return Leave::Free,
        ClaimOutcome::NotSent | ClaimOutcome::Unknown => return Leave::Alone,
        ClaimOutcome::AlreadyMarked { mark, remaining } => (mark, remaining),
    };
    match (effect, mark.unit) {
        (Effect::Idempotent, _) => Leave::Alone,
        (Effect::Unrepeatable, _) => Leave::Never,
        // This very run marked it and has not sent it: its own memory knows better.
        (Effect::Deduplicated { .. }, None) if mark.owner == me => Leave::Alone,
        // Somebody was about to send it, to a place that is not known.
        (Effect::Deduplicated { .. }, None) => Leave::Never,
        (Effect::Deduplicated { window, .. }, Some(unit)) => {
            // By the store's clock alone, which both sides of the difference come from, and at its oldest.
            let age = (window + KEPT_BEYOND).saturating_sub(remaining) + waited;
            match age < window {
                true => Leave::Repeat { unit, age },
                false => Leave::Never,
            }
        }
    }
}

/// A command as far as its repetition goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Adds to a count.
    Count,
    /// Writes a gift under its number.
    Gift,
    Wish,
    /// Sets a mark and tells the one before.
    Claim,
    /// Says where a marked task was sent.
    Sent,
    Read,
    Probe,
}

impl Command {
    /// Whether it may be sent again where its reply is unknown. A claim may not: its second reply tells of its first. A
    /// count may not: it would count twice, which is careful, but grows without a bound while a store answers nothing.
    pub fn may_repeat(self) -> bool {
        match self {
            Command::Gift | Command::Wish | Command::Sent | Command::Read | Command::Probe => true,
            Command::Claim | Command::Count => false,
        }
    }
}
