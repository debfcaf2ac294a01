//! Marks in the store that a task may have run, in which group, and for how long that holds. A single command sets a
//! mark and returns the previous one, so that of two relays at least one finds the other's mark.
//!
//! For a deduplicated task a mark that is found restricts it to its group and window; after the window the task is not
//! sent. For an unrepeatable task the mark is a claim: neither a mark that is found nor a missing reply is a permission
//! to send.

use crate::RelayIncarnation;
use beechcroft::{Effect, UnitId};
use std::time::Duration;

/// A task's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutionMark {
    pub owner: RelayIncarnation,
    /// The unit where the task may have run, if it had been sent when the mark was written.
    pub unit: Option<UnitId>,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// There was no mark; this relay's is now set.
    Claimed,
    /// There was a mark, which the store keeps for `remaining` more by its own clock.
    AlreadyMarked {
        mark: ExecutionMark,
        remaining: Duration,
    },
    /// The command was not sent, so nothing was written.
    NotSent,
    /// The command was sent, and no valid reply came in time.
    Unknown,
}

/// What a task may do after a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// No relay has sent the task, and the store has this relay's claim.
    Send,
    /// The store gives no information: the relay's own rules apply, as without a store.
    LocalRules,
    /// The task may have run on `unit`, at most `age` ago; only what its track allows for a repeat is allowed.
    Repeat { unit: UnitId, age: Duration },
    /// The task may have run, and must not be sent.
    Never,
}

/// How much longer than a task's window its mark is kept: a mark that expires too early would permit a second
/// execution.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(2);
/// How long the claim of an unrepeatable task is kept: longer than any client repeats a task.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(600);

/// How long the mark of a task with this effect is kept; `None` if it needs no mark.
pub fn retention(effect: Effect) -> Option<Duration> {
    match effect {
        Effect::Idempotent => None,
        Effect::Deduplicated { window, .. } => Some(window + RETENTION_MARGIN),
        Effect::Unrepeatable => Some(CLAIM_RETENTION),
    }
}

/// What a task with this effect may do after the given outcome; `waited` is how long the reply took.
pub fn permission(
    effect: Effect,
    outcome: ClaimOutcome,
    own: RelayIncarnation,
    waited: Duration,
) -> Permission {
    let (mark, remaining) = match outcome {
        ClaimOutcome::Claimed => return Permission::Send,
        ClaimOutcome::NotSent | ClaimOutcome::Unknown => return Permission::LocalRules,
        ClaimOutcome::AlreadyMarked { mark, remaining } => (mark, remaining),
    };
    match (effect, mark.unit) {
        (Effect::Idempotent, _) => Permission::LocalRules,
        (Effect::Unrepeatable, _) => Permission::Never,
        // This incarnation set the mark and has not sent the task: its own state is more accurate.
        (Effect::Deduplicated { .. }, None) if mark.owner == own => Permission::LocalRules,
        // Another relay was about to send it to an unknown unit.
        (Effect::Deduplicated { .. }, None) => Permission::Never,
        (Effect::Deduplicated { window, .. }, Some(unit)) => {
            // An upper bound; both times of the difference come from the store's clock.
            let age = (window + RETENTION_MARGIN).saturating_sub(remaining) + waited;
            match age < window {
                true => Permission::Repeat { unit, age },
                false => Permission::Never,
            }
        }
    }
}

/// The commands to the store, as far as their repetition is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Adds to a count.
    Count,
    /// Writes a transfer under its sequence number.
    Transfer,
    /// Writes a request for a transfer.
    TransferRequest,
    /// Sets a mark and returns the previous one.
    Claim,
    /// Writes where a marked task was sent.
    Sent,
    Read,
    Probe,
}

impl Command {
    /// Whether the command may be sent again if its reply is unknown. A claim may not, as its second reply would report
    /// the first one. A count may not, as it would count twice: that is on the safe side, but grows without bound while
    /// a store does not reply.
    pub fn may_repeat(self) -> bool {
        match self {
            Command::Transfer
            | Command::TransferRequest
            | Command::Sent
            | Command::Read
            | Command::Probe => true,
            Command::Claim | Command::Count => false,
        }
    }
}
