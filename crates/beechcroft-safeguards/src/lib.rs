//! The guards of the control side, each by a name: the line that keeps a promise asks whether its guard stands. In a
//! program it always does. Tests and the world take one out, and must then find the promise broken.

/// A guard; `docs/design/control.md` says which promise it keeps and which test finds it missing.
#[cfg_attr(
    feature = "removable",
    derive(serde::Deserialize, serde::Serialize, strum::EnumIter, strum::Display)
)]
#[cfg_attr(
    feature = "removable",
    serde(rename_all = "snake_case"),
    strum(serialize_all = "snake_case")
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    // Contact with a majority.
    /// A key's place counts as moved by each placement that may still be in force elsewhere, not by the last alone.
    EarlierMoves,
    /// After a placement that it has never seen, a relay takes every key for moved.
    UnseenMoves,
    /// A relay that stood still takes no sign of the core's agreement from letters that may have lain unread.
    FreshTouches,
    /// A hut without contact acknowledges no beat, drain or end, and takes no order.
    ContactToServe,
    /// Contact counts only answers to pings, from the time at which the ping was sent.
    TwoWayContact,
    /// A drain or an end is acknowledged once a majority of the core holds it.
    DrainHeldByMajority,
    /// The same when the drain is not new to the hut that is told of it.
    RepeatedDrainHeld,
    /// A relay that starts is ready once it holds what a majority confirms.
    ConfirmedStart,
    /// A hut that hears nobody sends no client anywhere.
    HeardBeforeResolve,
    // Orders and their repeats.
    /// An order whose caller has gone is not begun.
    GoneCallers,
    /// An order that has no base to build on enters no round once its caller may have gone elsewhere.
    OrderLimit,
    /// What came while the process stood still is turned away.
    StoodStill,
    /// A version is a repeat only with the very body that was taken under it.
    SameBody,
    /// A version from before what the history holds is not refused.
    ForgottenVersions,
    /// A refusal is told only once the value that it speaks of is confirmed.
    ConfirmedRefusals,
    /// A voter accepts nothing under an earlier ballot than it has promised.
    PriorBallots,
    /// A rollout that was reverted is begun anew when it is asked for anew.
    BegunAnew,
    /// A rollout that is sent again soon after it was reverted is not begun anew.
    RepeatWindow,
    /// A vote to revert a rollout holds though a step was taken just before it.
    VotesMeetAnyStage,
    /// A value that cannot be read is not taken for an empty one.
    UnreadableValues,
    /// What a machine knows to be chosen it confirms without a round.
    TakenIsTaken,
    // Membership of the quorum.
    /// A voter accepts nothing of a round that stands on a promise of a fenced epoch.
    FencedPromises,
    /// A proposer does not count an acceptance of an epoch that has been fenced.
    FencedAcceptances,
    /// A learner does not count a copy by an epoch that another of its copies knows to be over.
    FencedCopies,
    /// A learner takes the former holder's own copy only if no other knows of an epoch between.
    HandedOverOnce,
    /// A holder that hears of a later epoch of its membership is a voter no more.
    DeposedIsSilent,
    /// An epoch that is recorded as another machine's is not taken.
    OneTaker,
    /// Epochs are told to each core machine until it says that it knows them.
    EpochsTold,
    /// A machine that leaves ends once its membership is taken, or every voter that is up holds what it holds.
    LeavesLast,
    /// A learner goes on with what all that answered know of epochs.
    MergedEpochs,
    /// What a machine says counts for the membership that it holds, not for the one that it was asked for.
    OwnMembership,
    // State on disk.
    /// An end of the log that cannot be read is torn only beyond the last entry that is known to be synced.
    SyncedMark,
    /// Entries are numbered: what is missing or unreadable before a later one is damage.
    EntriesWithoutGaps,
    /// A voter whose tables are damaged has lost its disk: it learns before it votes, and founds nothing.
    DamageIsALostDisk,
    /// A value of another version of the program is an error, and no empty value.
    VersionOfValues,
    /// Nothing is answered that is not on disk.
    AnswerAfterSync,
    /// Nothing is answered under an identity that is not on disk.
    IdentityBeforeAnswers,
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
    // Rollouts.
    /// What earlier stages left of evidence against a version is not forgotten when a stage begins.
    EvidenceOfAllStages,
    /// Few outcomes are judged by the lowest rate of failures.
    FewOutcomesByLowestRate,
    /// What a version got in earlier stages counts to what it may get.
    ExposureOfAllStages,
    /// No stage begins while the earlier version fails so often that a bad one would pass for its like.
    EarlierVersionWell,
    /// Of a request only its first offer is evidence on a version.
    FirstOffersOnly,
    /// What a request is offered further is no trial in any stage, while the earlier version can take it.
    FurtherTriesToEarlier,
    /// That a unit is slow from its start is not held against its version.
    ColdIsNoBuild,
    /// What a few units bring beyond the median one keeps no version from its end.
    IllUnitsAreNoVersion,
    /// A rollout that is still in doubt when its time is over goes back.
    DoubtAtTheEnd,
    /// A relay that knows too little of the earlier version takes the slow mark from what all know.
    SlowMarkOfAll,
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
