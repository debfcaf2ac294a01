//! Named safeguards of the control plane, which tests can disable one at a time.
//!
//! The code that upholds a guarantee checks whether its safeguard is enabled:
//!
//! ```
//! use beechcroft_safeguards::Safeguard;
//!
//! let (ballot, promised) = (3, 5);
//! let is_stale = ballot < promised && Safeguard::StaleBallots.is_enabled();
//! assert!(is_stale);
//! ```
//!
//! In release programs every safeguard is always enabled, and the check is a constant. Tests and the simulator are
//! built with the feature `removable`: they disable one safeguard on their own thread and must then observe that the
//! guarantee is broken. `docs/design/control.md` lists the guarantee and the test of each safeguard.

#![warn(missing_docs)]

/// A safeguard of the control plane.
///
/// With the feature `removable`, variants are serialized and printed in snake case. The names of earlier releases are
/// still accepted, because simulator scenarios saved as TOML use them.
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
pub enum Safeguard {
    // Quorum contact.
    /// Every placement that may still be in force elsewhere counts when a key's owner is compared,
    /// not the latest one alone.
    #[cfg_attr(feature = "removable", serde(alias = "earlier_moves"))]
    EarlierPlacements,
    /// After a placement that a proxy never saw, it treats every key as moved.
    #[cfg_attr(feature = "removable", serde(alias = "unseen_moves"))]
    UnseenPlacements,
    /// A proxy that was stalled ignores quorum reads announced in messages that may have waited
    /// unread.
    #[cfg_attr(feature = "removable", serde(alias = "fresh_touches"))]
    FreshQuorumReads,
    /// A control node without quorum contact acknowledges no heartbeat, drain or deregistration and
    /// accepts no operation.
    #[cfg_attr(feature = "removable", serde(alias = "contact_to_serve"))]
    QuorumContactToServe,
    /// Contact counts only answers to pings, dated by the time at which the ping was sent.
    TwoWayContact,
    /// A drain or deregistration is acknowledged once a majority of the control nodes stores it.
    #[cfg_attr(feature = "removable", serde(alias = "drain_held_by_majority"))]
    DrainOnMajority,
    /// As [`Safeguard::DrainOnMajority`], for a drain that the receiving control node already knows.
    #[cfg_attr(feature = "removable", serde(alias = "repeated_drain_held"))]
    RepeatedDrainOnMajority,
    /// A control node counts as one that stores a drain or deregistration only once that is on its disk.
    DepartureOnDisk,
    /// A control node puts a new or longer warm-up of a known endpoint on its disk as soon as it learns of it.
    WarmupOnDisk,
    /// A starting proxy becomes ready only once it has the revisions that a majority confirms.
    ConfirmedStart,
    /// A control node that hears from no peer names no proxy to clients.
    #[cfg_attr(feature = "removable", serde(alias = "heard_before_resolve"))]
    PeersHeardBeforeResolve,

    // Operations and their retries.
    /// An operation whose caller has closed its connection is not started.
    #[cfg_attr(feature = "removable", serde(alias = "gone_callers"))]
    CallerPresence,
    /// An unconditional operation starts no consensus round once its caller may have turned to another node.
    #[cfg_attr(feature = "removable", serde(alias = "order_limit"))]
    UnconditionalDeadline,
    /// Operations that waited while the process was stalled are rejected.
    #[cfg_attr(feature = "removable", serde(alias = "stood_still"))]
    StallRejection,
    /// A version counts as a repeat only with the body that was committed under it.
    #[cfg_attr(feature = "removable", serde(alias = "same_body"))]
    RepeatHasSameBody,
    /// A version from before the recorded history is not rejected as a conflict.
    ForgottenVersions,
    /// A rejection is reported only once the value that it is based on is chosen.
    #[cfg_attr(feature = "removable", serde(alias = "confirmed_refusals"))]
    CommittedRejections,
    /// An acceptor accepts nothing under a lower ballot than it has promised.
    #[cfg_attr(feature = "removable", serde(alias = "prior_ballots"))]
    StaleBallots,
    /// A reverted rollout starts again when it is requested again.
    #[cfg_attr(feature = "removable", serde(alias = "begun_anew"))]
    RolloutRestart,
    /// A rollout request repeated shortly after the rollout was reverted does not start it again.
    RepeatWindow,
    /// A vote to roll back applies even if the rollout has just advanced.
    #[cfg_attr(feature = "removable", serde(alias = "votes_meet_any_stage"))]
    RollbackFromAnyStage,
    /// A value that cannot be decoded is never treated as an empty one.
    #[cfg_attr(feature = "removable", serde(alias = "unreadable_values"))]
    UndecodableValues,
    /// A repeated configuration that this node knows to be chosen is confirmed without a round.
    #[cfg_attr(feature = "removable", serde(alias = "taken_is_taken"))]
    KnownChosenRepeat,

    // Replica membership.
    /// An acceptor rejects a proposal whose quorum includes a promise from a fenced epoch.
    FencedPromises,
    /// A proposer does not count an acceptance from a fenced epoch.
    FencedAcceptances,
    /// A learner does not count the state of a replica whose epoch another answer shows to be
    /// fenced.
    #[cfg_attr(feature = "removable", serde(alias = "fenced_copies"))]
    FencedReplicaStates,
    /// A learner counts the former holder's state only if no other node knows an installed epoch in between.
    #[cfg_attr(feature = "removable", serde(alias = "handed_over_once"))]
    SingleHandover,
    /// A recovered or taken over replica votes only once a quorum has recorded that its epoch is installed.
    InstalledBeforeVote,
    /// A holder that learns of a later epoch of its replica stops voting.
    DeposedIsSilent,
    /// An epoch that is recorded for another node is not taken over.
    #[cfg_attr(feature = "removable", serde(alias = "one_taker"))]
    SingleSuccessor,
    /// Epochs are announced to each control node until it confirms that it knows them.
    #[cfg_attr(feature = "removable", serde(alias = "epochs_told"))]
    EpochsAnnounced,
    /// A node that shuts down exits once its replica is taken over or every live replica holds its
    /// state.
    #[cfg_attr(feature = "removable", serde(alias = "leaves_last"))]
    HandoverBeforeExit,
    /// A learner continues with the epochs known to all nodes that answered.
    MergedEpochs,
    /// A response counts for the replica that the responder holds, not for the one that was
    /// addressed.
    #[cfg_attr(feature = "removable", serde(alias = "own_membership"))]
    ResponderReplica,

    // State on disk.
    /// An unreadable end of the log is a torn write only beyond the last entry known to be synced.
    #[cfg_attr(feature = "removable", serde(alias = "synced_mark"))]
    SyncedWatermark,
    /// A missing or unreadable entry before a later one is corruption.
    #[cfg_attr(feature = "removable", serde(alias = "entries_without_gaps"))]
    ContiguousEntries,
    /// A replica with corrupt records counts as one that lost its disk: it recovers before it votes
    /// and never bootstraps.
    #[cfg_attr(feature = "removable", serde(alias = "damage_is_a_lost_disk"))]
    CorruptionIsDiskLoss,
    /// A value in another format version is an error, never an empty value.
    #[cfg_attr(feature = "removable", serde(alias = "version_of_values"))]
    ValueFormat,
    /// No response goes out before the records it depends on are synced.
    #[cfg_attr(feature = "removable", serde(alias = "answer_after_sync"))]
    SyncBeforeResponse,
    /// No response goes out under an identity that is not on disk.
    #[cfg_attr(feature = "removable", serde(alias = "identity_before_answers"))]
    IdentityBeforeResponse,

    // Matching of responses to requests.
    /// An RPC accepts only the response that carries its id.
    #[cfg_attr(feature = "removable", serde(alias = "call_ids"))]
    RpcIds,
    /// An RPC connection is reused only if nothing was read beyond its response.
    #[cfg_attr(feature = "removable", serde(alias = "errand_read_ahead"))]
    ClientReadAhead,
    /// A server closes a connection on which it has read into the next call.
    #[cfg_attr(feature = "removable", serde(alias = "desk_read_ahead"))]
    ServerReadAhead,
    /// A request without an attempt id is not forwarded: no response could be matched to it.
    #[cfg_attr(feature = "removable", serde(alias = "own_id"))]
    AttemptIdRequired,
    /// A response without an attempt id belongs to no request.
    #[cfg_attr(feature = "removable", serde(alias = "nameless_answers"))]
    UnidentifiedResponses,
    /// A response with another attempt id is skipped.
    #[cfg_attr(feature = "removable", serde(alias = "strange_answers"))]
    ForeignResponses,
    /// A rejection is believed only with the status of an error.
    #[cfg_attr(feature = "removable", serde(alias = "refusal_status"))]
    RejectionStatus,
    /// A request that was sent in part may have been executed.
    #[cfg_attr(feature = "removable", serde(alias = "partly_sent"))]
    PartialSend,
    /// A connection is reused only after a complete response with nothing after it.
    CleanConnections,
    /// A non-idempotent request that may have been executed is not retried.
    #[cfg_attr(feature = "removable", serde(alias = "maybe_run"))]
    MaybeExecuted,
    /// After a HEAD request a connection is not reused: the length of a late response on it is
    /// unknown.
    #[cfg_attr(feature = "removable", serde(alias = "head_leaves_none"))]
    NoReuseAfterHead,
    /// A response that carries two different attempt ids is rejected.
    #[cfg_attr(feature = "removable", serde(alias = "two_owners"))]
    ConflictingAttemptIds,
    /// A response that is cut off on its way to a client does not look complete.
    #[cfg_attr(feature = "removable", serde(alias = "broken_off"))]
    TruncatedResponse,
    /// A client connection on which a request body was not read to its end carries no further request.
    #[cfg_attr(feature = "removable", serde(alias = "unread_body"))]
    UnreadRequestBody,

    // Shutdown of a proxy.
    /// A draining proxy takes no request that it cannot answer before it exits.
    DrainAdmission,
    /// Requests that are in flight near the end of the grace period are answered, not cut off.
    AnswerBeforeExit,

    // Rollouts.
    /// Evidence against a version from earlier stages is kept when a stage begins.
    EvidenceOfAllStages,
    /// Few outcomes are judged by the lowest failure rate.
    #[cfg_attr(feature = "removable", serde(alias = "few_outcomes_by_lowest_rate"))]
    SmallSampleLowestRate,
    /// Requests that a version received in earlier stages count towards its exposure limit.
    ExposureOfAllStages,
    /// No stage begins while the baseline fails so often that a bad version would look the same.
    #[cfg_attr(feature = "removable", serde(alias = "earlier_version_well"))]
    HealthyBaseline,
    /// Only the first attempt of a request is evidence about a version.
    #[cfg_attr(feature = "removable", serde(alias = "first_offers_only"))]
    FirstAttemptsOnly,
    /// Retries go to the baseline in every stage while it can take them.
    #[cfg_attr(feature = "removable", serde(alias = "further_tries_to_earlier"))]
    RetriesToBaseline,
    /// Slowness of an endpoint that is warming up is not held against its version.
    #[cfg_attr(feature = "removable", serde(alias = "cold_is_no_build"))]
    SlowStartExcused,
    /// What a few endpoints contribute beyond the median one does not block a version.
    #[cfg_attr(feature = "removable", serde(alias = "ill_units_are_no_version"))]
    UnhealthyEndpointsExcused,
    /// A rollout without a clear result at the end of its time is reverted.
    #[cfg_attr(feature = "removable", serde(alias = "doubt_at_the_end"))]
    RevertWhenInDoubt,
    /// A proxy that knows too little of the baseline uses the slowness threshold of the whole
    /// fleet.
    #[cfg_attr(feature = "removable", serde(alias = "slow_mark_of_all"))]
    SharedSlowThreshold,
}

#[cfg(not(feature = "removable"))]
impl Safeguard {
    /// Whether the safeguard is enabled. Always true without the feature `removable`.
    #[inline(always)]
    pub const fn is_enabled(self) -> bool {
        true
    }
}

#[cfg(feature = "removable")]
pub use removable::{disable, Disabled};

#[cfg(feature = "removable")]
mod removable {
    use super::Safeguard;
    use std::cell::Cell;

    thread_local! {
        static DISABLED: Cell<Option<Safeguard>> = const { Cell::new(None) };
    }

    impl Safeguard {
        /// Whether the safeguard is enabled on this thread.
        pub fn is_enabled(self) -> bool {
            DISABLED.get() != Some(self)
        }
    }

    /// A guard that keeps a safeguard disabled on this thread. Dropping it restores the previous state.
    #[must_use]
    pub struct Disabled {
        previous: Option<Safeguard>,
    }

    /// Disables one safeguard on this thread, in place of any other; `None` enables all of them.
    pub fn disable(safeguard: Option<Safeguard>) -> Disabled {
        Disabled {
            previous: DISABLED.replace(safeguard),
        }
    }

    impl Drop for Disabled {
        fn drop(&mut self) {
            DISABLED.set(self.previous);
        }
    }
}
