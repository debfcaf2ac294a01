//! Recovery of a replica: the states that an acceptor collects from the others before it votes in a new epoch.

use crate::register::{PerRegister, Register};
use crate::{Epoch, Epochs, ReplicaId};
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

/// The collected responses to a fence request, until there are enough of them.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// The replica that is recovered or taken over.
    pub(crate) replica: ReplicaId,
    /// The epoch in which this node will hold the replica.
    pub(crate) epoch: Epoch,
    /// The merged epochs of all responders.
    pub(crate) epochs: Epochs,
    states: BTreeMap<ReplicaId, RecoveredState>,
}

/// The state of a responder, which has fenced the former epoch of the recovering replica.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredState {
    /// The epoch of the responder's own replica.
    pub(crate) epoch: Epoch,
    /// The latest epoch of the recovering replica that the responder knew of before the fence, if still known.
    pub(crate) previous: Option<Epoch>,
    /// The registers of the responder.
    pub(crate) registers: PerRegister<Register>,
}

impl Recovery {
    pub(crate) fn new(replica: &str, epoch: Epoch) -> Recovery {
        let (epochs, states) = (Epochs::new(), BTreeMap::new());
        Recovery {
            replica: replica.to_owned(),
            epoch,
            epochs,
            states,
        }
    }

    /// Records the state of a replica, unless a later epoch of the same replica has already responded.
    pub(crate) fn record(&mut self, replica: ReplicaId, state: RecoveredState) {
        if self
            .states
            .get(&replica)
            .is_none_or(|held| held.epoch <= state.epoch)
        {
            self.states.insert(replica, state);
        }
    }

    /// The states to recover from; `None` until there are `required` of them.
    ///
    /// A state does not count if another response shows that its epoch is fenced, because its holder may lack values
    /// chosen since then. The state of the recovering replica itself, handed over by its former holder, counts only if
    /// enough of the others knew of no later epoch than that holder's before they fenced it: a node that held the
    /// replica in between would have sent a fence request to one of them.
    pub(crate) fn sufficient_states(&self, required: usize) -> Option<Vec<&RecoveredState>> {
        let counts = |(replica, state): &(&ReplicaId, &RecoveredState)| {
            **replica != self.replica && !self.is_fenced(replica, state.epoch)
        };
        let mut states: Vec<&RecoveredState> = self
            .states
            .iter()
            .filter(counts)
            .map(|(_, state)| state)
            .collect();
        let handed_over = self
            .states
            .get(&self.replica)
            .filter(|_| states.len() < required);
        if let Some(handed_over) = handed_over {
            let is_latest = |state: &RecoveredState| {
                let previous = state.previous;
                !Safeguard::SingleHandover.is_enabled()
                    || previous.is_some_and(|previous| previous <= handed_over.epoch)
            };
            states.retain(|state| is_latest(state));
            states.extend(Some(handed_over).filter(|state| is_latest(state)));
        }
        (states.len() >= required).then_some(states)
    }

    fn is_fenced(&self, replica: &str, epoch: Epoch) -> bool {
        Safeguard::FencedReplicaStates.is_enabled() && self.epochs.is_fenced(replica, epoch)
    }
}
