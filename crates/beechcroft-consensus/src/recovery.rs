//! Recovery of a replica: what a node without a replica collects from the others before it votes in a new epoch.
//!
//! A recovery has two phases. In the first, other nodes fence the earlier epochs and respond with their states. In the
//! second, they record that the new epoch is installed. Only then does the node vote. An epoch that was fenced but not
//! installed has never voted, so it takes nothing away from the epoch before it.

use crate::register::{PerRegister, Register};
use crate::{Epoch, Epochs, InstalledEpochs, ReplicaEpoch, ReplicaId};
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

/// How often the requests of the second phase are sent before the recovery starts again in a higher epoch.
const MAX_INSTALL_ATTEMPTS: u32 = 5;

/// A recovery in progress.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// The replica that is recovered or taken over.
    pub(crate) replica: ReplicaId,
    /// The epoch in which this node will hold the replica.
    pub(crate) epoch: Epoch,
    /// The merged epochs of all responders.
    pub(crate) epochs: Epochs,
    /// The states of the other replicas.
    states: BTreeMap<ReplicaId, RecoveredState>,
    /// The states of former holders of the recovering replica, by their epochs.
    handed_over: BTreeMap<Epoch, RecoveredState>,
    /// The second phase, once it has begun.
    pub(crate) installation: Option<Installation>,
}

/// The state of a responder, which has fenced the former epochs of the recovering replica.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredState {
    /// The epoch of the responder's own replica.
    pub(crate) epoch: Epoch,
    /// The latest epoch of the recovering replica that the responder knows to be installed; `None` if it does not
    /// know.
    pub(crate) installed: Option<Epoch>,
    /// The registers of the responder.
    pub(crate) registers: PerRegister<Register>,
}

impl RecoveredState {
    /// Whether the responder voted for the recovering replica. Otherwise it has only prepared to.
    fn has_voted(&self) -> bool {
        self.installed >= Some(self.epoch)
    }
}

/// The states from which a replica is recovered.
#[derive(Debug)]
pub(crate) struct SufficientStates<'a> {
    /// The states to merge.
    pub(crate) states: Vec<&'a RecoveredState>,
    /// The epoch of the former holder, if its state is needed.
    pub(crate) holder: Option<Epoch>,
    /// The latest epoch before this recovery that any responder knows to be installed.
    pub(crate) installed: Epoch,
}

/// The second phase of a recovery: others record that the epoch is installed.
#[derive(Clone, Debug)]
pub(crate) struct Installation {
    /// The epoch of the former holder whose state was handed over; its response counts as well.
    holder: Option<Epoch>,
    /// Whether the former holder, which may be this node, has recorded the installation.
    is_holder_done: bool,
    /// The other replicas that have recorded the installation, with their epochs.
    replicas: BTreeMap<ReplicaId, Epoch>,
    /// The installed epochs that the responders know of.
    pub(crate) installed: InstalledEpochs,
    /// Whether the recovered state is on disk. Nothing is requested before.
    pub(crate) is_stored: bool,
    attempts: u32,
}

impl Installation {
    /// `is_local_holder`: this node is the former holder whose state is used.
    pub(crate) fn new(holder: Option<Epoch>, is_local_holder: bool) -> Installation {
        Installation {
            holder,
            is_holder_done: is_local_holder,
            replicas: BTreeMap::new(),
            installed: InstalledEpochs::new(),
            is_stored: false,
            attempts: 0,
        }
    }

    /// Counts an attempt. Returns whether there may be another one in this epoch.
    pub(crate) fn try_again(&mut self) -> bool {
        self.attempts += 1;
        self.attempts <= MAX_INSTALL_ATTEMPTS
    }
}

impl Recovery {
    pub(crate) fn new(replica: &str, epoch: Epoch) -> Recovery {
        Recovery {
            replica: replica.to_owned(),
            epoch,
            epochs: Epochs::new(),
            states: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            installation: None,
        }
    }

    /// Merges the epochs that a responder knows of.
    pub(crate) fn merge_epochs(&mut self, epochs: &Epochs) {
        if !Safeguard::MergedEpochs.is_enabled() {
            if self.installation.is_some() {
                return;
            }
            self.epochs.clear();
        }
        self.epochs.merge(epochs);
    }

    /// Records the state of a responder, unless a later epoch of the same replica has already responded.
    pub(crate) fn record_state(&mut self, replica: ReplicaId, state: RecoveredState) {
        if replica == self.replica {
            self.handed_over.insert(state.epoch, state);
            return;
        }
        let held = self.states.get(&replica);
        if held.is_none_or(|held| held.epoch <= state.epoch) {
            self.states.insert(replica, state);
        }
    }

    /// The states to recover from; `None` until there are `required` of them. `local` is the state of this node, if it
    /// is a former holder of the replica.
    ///
    /// A state does not count if another response shows that its epoch is fenced, because its holder may lack values
    /// chosen since then. If one state of another replica is missing, the state of the last holder that voted takes its
    /// place, provided that no responder knows of a later epoch to be installed. If one does, the state of the node
    /// that was about to hold the replica in that epoch is needed too, since it may have been completed.
    pub(crate) fn sufficient_states<'a>(
        &'a self,
        required: usize,
        local: Option<&'a RecoveredState>,
    ) -> Option<SufficientStates<'a>> {
        let others = self.states.iter();
        let counted = others.filter(|(replica, state)| !self.is_fenced(replica, state.epoch));
        let mut states: Vec<&RecoveredState> = counted.map(|(_, state)| state).collect();
        let mut former: BTreeMap<Epoch, &RecoveredState> = self
            .handed_over
            .iter()
            .map(|(epoch, state)| (*epoch, state))
            .collect();
        former.extend(local.map(|state| (state.epoch, state)));
        let responders = || self.states.values().chain(former.values().copied());
        let installed = responders().filter_map(|state| state.installed).max();
        let installed = installed.unwrap_or_default();
        let is_known = responders().all(|state| state.installed.is_some());
        if let Some((holder, successor)) = usable_states(&former, installed, is_known) {
            let is_sufficient = states.len() + 1 >= required;
            states.push(holder);
            states.extend(successor);
            return is_sufficient.then_some(SufficientStates {
                states,
                holder: Some(holder.epoch),
                installed: holder.epoch,
            });
        }
        (states.len() >= required).then_some(SufficientStates {
            states,
            holder: None,
            installed,
        })
    }

    /// Records that a responder has recorded the installation. Returns whether enough of them have: `required` other
    /// replicas, or one less and the former holder. A replica does not count in an epoch that is over, because its
    /// present holder need not know of the installation.
    pub(crate) fn record_installed(
        &mut self,
        sender: ReplicaEpoch,
        installed: &InstalledEpochs,
        required: usize,
    ) -> bool {
        let Some(installation) = &mut self.installation else {
            return false;
        };
        installation.installed.merge(installed);
        if sender.replica == self.replica {
            installation.is_holder_done |= installation.holder == Some(sender.epoch);
        } else {
            let known = installation.replicas.entry(sender.replica).or_default();
            *known = sender.epoch.max(*known);
        }
        let latest = &installation.installed;
        let replicas = installation.replicas.iter();
        let replicas = replicas.filter(|(replica, epoch)| latest.get(replica) <= Some(**epoch));
        let recorded = replicas.count() + usize::from(installation.is_holder_done);
        recorded >= required || !Safeguard::InstalledBeforeVote.is_enabled()
    }

    fn is_fenced(&self, replica: &str, epoch: Epoch) -> bool {
        Safeguard::FencedReplicaStates.is_enabled() && self.epochs.is_fenced(replica, epoch)
    }
}

/// The state of the last holder that voted, if no epoch after its own is installed; otherwise, beside it, the state of
/// the node that was about to vote in that epoch. `None` if a state is missing.
fn usable_states<'a>(
    former: &BTreeMap<Epoch, &'a RecoveredState>,
    installed: Epoch,
    is_known: bool,
) -> Option<(&'a RecoveredState, Option<&'a RecoveredState>)> {
    if !Safeguard::SingleHandover.is_enabled() {
        return former.values().next_back().map(|holder| (*holder, None));
    }
    let holder = *former.values().rfind(|state| state.has_voted())?;
    if !is_known {
        return None;
    }
    if installed <= holder.epoch {
        return Some((holder, None));
    }
    let successor = *former.get(&installed)?;
    (successor.installed == Some(holder.epoch)).then_some((holder, Some(successor)))
}
