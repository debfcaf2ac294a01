//! One round of a ballot, from its proposer's point of view: the promises, acceptances and rejections received so far.

use crate::proposer::PendingOperation;
use crate::register::AcceptedValue;
use crate::{Ballot, Epoch, Epochs, Millis, PromisedValue, ReplicaEpoch, ReplicaId, Value};
use beechcroft_error::Error;
use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, BTreeSet};

/// An operation in a round's batch, with the result that is reported if the round succeeds.
#[derive(Clone, Debug)]
pub(crate) struct AppliedOperation {
    pub(crate) pending: PendingOperation,
    pub(crate) result: Result<(), Error>,
}

/// A promise that a round has received.
#[derive(Clone, Copy, Debug)]
struct Promise {
    /// The epoch in which the replica promised.
    epoch: Epoch,
    /// The ballot of the replica's latest accepted value.
    accepted: Ballot,
}

/// The value that the round asks the acceptors to accept.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) value: Value,
    /// The replicas that have accepted the value, each with the epoch in which it did.
    accepted_by: BTreeMap<ReplicaId, Epoch>,
}

/// A round in progress.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub(crate) ballot: Ballot,
    pub(crate) started_at: Millis,
    promises: BTreeMap<ReplicaId, Promise>,
    /// The accepted value with the highest ballot among the promises.
    pub(crate) highest_accepted: Option<AcceptedValue>,
    /// The latest accepted value of this node's own acceptor when the round began; the others need not send it.
    local: Option<AcceptedValue>,
    /// `None` until a majority has promised (phase 1).
    pub(crate) proposal: Option<Proposal>,
    /// The epochs that acceptors reported with their acceptances.
    epochs: Epochs,
    rejected_by: BTreeSet<ReplicaId>,
    /// The operations that are part of the proposed value.
    pub(crate) batch: Vec<AppliedOperation>,
}

impl Round {
    pub(crate) fn new(ballot: Ballot, started_at: Millis, local: Option<AcceptedValue>) -> Round {
        Round {
            ballot,
            started_at,
            promises: BTreeMap::new(),
            highest_accepted: None,
            local,
            proposal: None,
            epochs: Epochs::new(),
            rejected_by: BTreeSet::new(),
            batch: Vec::new(),
        }
    }

    /// Records a promise and returns the number of promises. Ignores a promise that omits a value which this node does
    /// not hold.
    pub(crate) fn record_promise(
        &mut self,
        replica: ReplicaId,
        epoch: Epoch,
        accepted: Option<PromisedValue>,
    ) -> usize {
        let ballot = accepted
            .as_ref()
            .map_or(Ballot::default(), |accepted| accepted.ballot);
        let value = match accepted {
            None => None,
            Some(PromisedValue {
                value: Some(value), ..
            }) => Some(value),
            Some(PromisedValue { value: None, .. }) => match &self.local {
                Some(local) if local.ballot == ballot => Some(local.value.clone()),
                _ => return self.promises.len(),
            },
        };
        self.promises.insert(
            replica,
            Promise {
                epoch,
                accepted: ballot,
            },
        );
        let is_highest = self
            .highest_accepted
            .as_ref()
            .is_none_or(|held| ballot > held.ballot);
        if let Some(value) = value.filter(|_| is_highest) {
            self.highest_accepted = Some(AcceptedValue { ballot, value });
        }
        self.promises.len()
    }

    /// The promises that the round relies on.
    pub(crate) fn quorum(&self) -> Vec<ReplicaEpoch> {
        let promise = |(replica, promise): (&ReplicaId, &Promise)| ReplicaEpoch {
            replica: replica.clone(),
            epoch: promise.epoch,
        };
        self.promises.iter().map(promise).collect()
    }

    /// Whether a replica reported in its promise that its latest accepted value has this ballot.
    pub(crate) fn holds(&self, replica: &str, ballot: Ballot) -> bool {
        self.promises
            .get(replica)
            .is_some_and(|promise| promise.accepted == ballot)
    }

    /// Begins phase 2 with a value.
    pub(crate) fn propose(&mut self, value: Value) {
        self.proposal = Some(Proposal {
            value,
            accepted_by: BTreeMap::new(),
        });
    }

    /// Records an acceptance and returns the number of acceptances that count.
    ///
    /// An acceptance of a fenced epoch does not count, because it is lost with the disk. Any majority contains a
    /// replica that has fenced that epoch, so one of the acceptances reports the later epoch.
    pub(crate) fn record_acceptance(
        &mut self,
        replica: ReplicaId,
        epoch: Epoch,
        epochs: &Epochs,
    ) -> usize {
        let Some(proposal) = &mut self.proposal else {
            return 0;
        };
        proposal.accepted_by.insert(replica, epoch);
        self.epochs.merge(epochs);
        let counts = |(replica, epoch): &(&ReplicaId, &Epoch)| {
            !Safeguard::FencedAcceptances.is_enabled() || !self.epochs.is_fenced(replica, **epoch)
        };
        proposal.accepted_by.iter().filter(counts).count()
    }

    /// Records a rejection and returns the number of replicas that have rejected.
    pub(crate) fn record_rejection(&mut self, replica: &str) -> usize {
        self.rejected_by.insert(replica.to_owned());
        self.rejected_by.len()
    }
}
