//! Recovery of a replica: what an acceptor collects before it votes under a new epoch.

use crate::register::{PerRegister, Register};
use crate::{Epoch, Epochs, ReplicaId};
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

/// The answers to a fence, until there are enough of them.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// The replica that is taken over.
    pub(crate) replica: ReplicaId,
    /// The epoch under which this node is going to hold it.
    pub(crate) epoch: Epoch,
    /// Everything that those who answered know of epochs.
    pub(crate) epochs: Epochs,
    states: BTreeMap<ReplicaId, RecoveredState>,
}

/// The state of a replica that has fenced the former epoch.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredState {
    /// The epoch under which its holder answered.
    pub(crate) epoch: Epoch,
    /// The epoch of the recovering replica that the holder knew before the fence, if it still knows.
    pub(crate) previous: Option<Epoch>,
    /// Its registers.
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

    /// Records the state of a replica, unless a later epoch of that replica has answered.
    pub(crate) fn record(&mut self, replica: ReplicaId, state: RecoveredState) {
        if self
            .states
            .get(&replica)
            .is_none_or(|held| held.epoch <= state.epoch)
        {
            self.states.insert(replica, state);
        }
    }

    /// The states to recover from, once there are `required` of them.
    ///
    /// A state does not count if another answer shows that its epoch is fenced: its holder may lack what was chosen
    /// since. The state of the recovering replica itself, as its former holder hands it over, counts only if as many
    /// of the others as are needed have fenced the very epoch in which that node held it: a node that held the
    /// replica in between would have asked one of them.
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
