//! The guards of the control side, each by a name: the line that keeps a promise asks whether its guard stands. In a
//! program it always does. Tests and the world take one out, and must then find the promise broken.

/// A guard; `docs/design/control.md` says which promise it keeps and which test finds it missing.
#[cfg_attr(
    feature = "removable",
    derive(serde::Deserialize, serde::Serialize, strum::EnumIter, strum::Display)
)]
#[cfg_attr(feature = "removable", serde(rename_all = "snake_case"), strum(serialize_all = "snake_case"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    // Contact with a majority.
    // Orders and their repeats.
    // Membership of the quorum.
    /// A voter accepts nothing of a round that stands on a promise of a fenced epoch.
    FencedPromises,
    /// A proposer does not count an acceptance of an epoch that has been fenced.
    FencedAcceptances,
    // State on disk.
    // Answers and their owners.
    /// A relay's call takes only the answer that names it.
    CallIds,
    /// A call's connection is kept only if nothing was read behind its answer.
    ErrandReadAhead,
    /// A desk ends a connection on which it has read into a next call.
    DeskReadAhead,
    /// A request without an attempt id is not offered: no answer could be told to be its own.
    OwnId,
    /// An answer without an attempt id is nobody's.
    NamelessAnswers,
    /// An answer with another attempt id is read over.
    StrangeAnswers,
    /// A refusal is believed with the status of one only.
    RefusalStatus,
    /// What has left in part may have run.
    PartlySent,
    /// A connection is kept only after a whole answer with nothing behind it.
    CleanConnections,
    /// What may have run and must not run twice is not offered again.
    MaybeRun,
    /// After a HEAD a connection is not kept: how long a late answer on it is cannot be told.
    HeadLeavesNone,
    /// An answer that names two owners is none.
    TwoOwners,
    /// An answer that breaks off under way to a client does not look whole.
    BrokenOff,
    /// A client's connection whose body was not read carries no other request.
    UnreadBody,
}

/// Whether a guard stands.
#[cfg(not(feature = "removable"))]
#[inline(always)]
pub const fn stands(_: Guard) -> bool {
    true
}

#[cfg(feature = "removable")]
pub use removable::{stands, without, Without};

#[cfg(feature = "removable")]
mod removable {
    use super::Guard;
    use std::cell::Cell;

    thread_local! {
        static TAKEN_OUT: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    /// Whether a guard stands on this thread.
    pub fn stands(guard: Guard) -> bool {
        TAKEN_OUT.get() != Some(guard)
    }

    /// Until it is dropped, a guard is out on this thread.
    #[must_use]
    pub struct Without(Option<Guard>);

    /// Takes a guard out on this thread; none puts all back.
    pub fn without(guard: Option<Guard>) -> Without {
        Without(TAKEN_OUT.replace(guard))
    }

    impl Drop for Without {
        fn drop(&mut self) {
            TAKEN_OUT.set(self.0);
        }
    }
}
