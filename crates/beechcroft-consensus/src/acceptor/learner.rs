//! A node without a replica: it recovers its own after a lost disk, or takes over that of a node that is gone.

use super::{merge_registers, Acceptor, FormerReplica, Records, ReplicaIdentity, EPOCH_JITTER};
use crate::recovery::{Installation, RecoveredState, Recovery};
use crate::{
    Epoch, Epochs, InstalledEpochs, PerRegister, ReplicaEpoch, ReplicaId, Request, Response,
};
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;

impl Acceptor {
    /// The replica whose state this node keeps for other nodes, because it knows of no later epoch to be installed. It
    /// must take over no other replica meanwhile.
    pub fn retained_replica(&self) -> Option<&ReplicaId> {
        let former = &self.former.as_ref()?.identity;
        let is_superseded = self.installed_epoch(&former.replica) > former.epoch;
        (!is_superseded).then_some(&former.replica)
    }

    /// The request that a learner sends to all other nodes now, to recover its own replica after a lost disk or to take
    /// over the replica of a node that is gone. Repeated until this node holds the replica.
    ///
    /// `None` if this node holds a replica, keeps the state of another one ([`Acceptor::retained_replica`]), or has yet
    /// to store what it recovered.
    pub fn recovery_request(&mut self, replica: &str) -> Option<Request> {
        let is_retaining = self.retained_replica().is_some_and(|kept| kept != replica);
        if self.identity.is_some() || is_retaining {
            return None;
        }
        let recovery = self.recovery.take();
        let mut recovery = match recovery.filter(|recovery| recovery.replica == replica) {
            Some(recovery) => recovery,
            None => {
                let epochs = self.known_epochs_of_replicas();
                let latest = epochs.map_or(Epoch::default(), |epochs| epochs.latest(replica));
                let drawn = Epoch(2 + (self.salt >> 2));
                let is_above = drawn > latest;
                let epoch = if is_above {
                    drawn
                } else {
                    self.epoch_above(latest)
                };
                Recovery::new(replica, epoch)
            }
        };
        if let Some(installation) = &mut recovery.installation {
            if installation.is_stored && !installation.try_again() {
                recovery = Recovery::new(replica, self.epoch_above(recovery.epoch));
            }
        }
        let recovery = self.recovery.insert(recovery);
        let (replica, epoch, holder) =
            (recovery.replica.clone(), recovery.epoch, self.node.clone());
        match &recovery.installation {
            None => Some(Request::Fence {
                replica,
                epoch,
                holder,
            }),
            Some(installation) if installation.is_stored => Some(Request::Install {
                replica,
                epoch,
                holder,
            }),
            Some(_) => None,
        }
    }

    /// An epoch above another one, at a distance that depends on the salt, so that two nodes that drew the same epoch do
    /// not collide again.
    fn epoch_above(&self, epoch: Epoch) -> Epoch {
        Epoch(epoch.0 + 1 + self.salt % EPOCH_JITTER)
    }

    /// Handles the response to a recovery request for `requested_epoch`. Returns records to sync; once they are on disk,
    /// [`Acceptor::recovery_stored`] must be called. With the last of them, this node holds the replica and may vote.
    pub fn on_recovery_response(
        &mut self,
        requested_epoch: Epoch,
        response: Response,
    ) -> Option<Records> {
        let recovery = self.recovery.as_ref()?;
        let (replica, epoch) = (recovery.replica.clone(), recovery.epoch);
        let (Response::ReplicaState { epochs, .. }
        | Response::Installed { epochs, .. }
        | Response::KnownEpochs { epochs, .. }) = &response
        else {
            return None;
        };
        let known = epochs.get(&replica)?;
        let is_anothers = known.node != self.node && Safeguard::SingleSuccessor.is_enabled();
        let local_epochs = self.known_epochs_of_replicas();
        let local = local_epochs.map_or(Epoch::default(), |epochs| epochs.latest(&replica));
        let latest = known.epoch.max(local);
        if latest > epoch || known.epoch == epoch && is_anothers {
            // A later epoch is fenced, or another node has drawn the same one: start again above it.
            self.recovery = Some(Recovery::new(&replica, self.epoch_above(latest)));
            return None;
        }
        if requested_epoch != epoch {
            return None;
        }
        match response {
            Response::ReplicaState {
                sender,
                installed,
                replicas,
                epochs,
                registers,
            } => {
                let state = RecoveredState {
                    epoch: sender.epoch,
                    installed,
                    registers,
                };
                self.on_replica_state(sender.replica, state, replicas, &epochs)
            }
            Response::Installed {
                sender,
                epochs,
                installed,
            } => self.on_installed(sender, &epochs, &installed),
            _ => None,
        }
    }

    /// Records the state of a responder to a fence request. Once there are enough, this node keeps the merged state as
    /// that of a replica that it does not vote for yet.
    fn on_replica_state(
        &mut self,
        sender: ReplicaId,
        state: RecoveredState,
        replicas: Vec<ReplicaId>,
        epochs: &Epochs,
    ) -> Option<Records> {
        let required = replicas.len() - self.tolerated_losses;
        let local = self.local_state();
        let recovery = self.recovery.as_mut()?;
        if recovery.installation.is_some() || !replicas.contains(&recovery.replica) {
            return None;
        }
        recovery.merge_epochs(epochs);
        recovery.record_state(sender, state);
        let sufficient = recovery.sufficient_states(required, local.as_ref())?;
        let (holder, installed) = (sufficient.holder, sufficient.installed);
        let mut registers = PerRegister::default();
        for state in sufficient.states {
            merge_registers(&mut registers, &state.registers);
        }
        let is_local_holder = holder.is_some() && holder == local.map(|state| state.epoch);
        recovery.installation = Some(Installation::new(holder, is_local_holder));
        let mut identity = ReplicaIdentity {
            replica: recovery.replica.clone(),
            epoch: recovery.epoch,
            replicas,
            epochs: recovery.epochs.clone(),
        };
        if let Some(former) = &self.former {
            identity.epochs.merge(&former.identity.epochs);
        }
        let replica = identity.replica.clone();
        self.former = Some(FormerReplica {
            identity,
            registers,
        });
        self.uninstalled.remove(&replica);
        if !is_local_holder {
            self.uninstalled.insert(replica, installed);
            self.has_uninstalled_record = true;
        }
        Some(self.records())
    }

    /// The state of this node, if it is a former holder of the replica that it recovers.
    fn local_state(&self) -> Option<RecoveredState> {
        let replica = &self.recovery.as_ref()?.replica;
        let former = self.former.as_ref()?;
        (former.identity.replica == *replica).then(|| RecoveredState {
            epoch: former.identity.epoch,
            installed: Some(self.installed_epoch(replica)),
            registers: former.registers.clone(),
        })
    }

    /// The epoch in which this node is to hold a replica, while it recovers it or takes it over.
    pub fn recovery_epoch(&self) -> Option<Epoch> {
        self.recovery.as_ref().map(|recovery| recovery.epoch)
    }

    /// The records of the last response are on disk. Requests that rely on them may be sent from now on.
    pub fn recovery_stored(&mut self) {
        let installation = self.recovery.as_mut().and_then(|r| r.installation.as_mut());
        if let Some(installation) = installation {
            installation.is_stored = true;
        }
    }

    /// Records that a responder has recorded the installation of this node's epoch. Once enough have, this node holds
    /// the replica.
    fn on_installed(
        &mut self,
        sender: ReplicaEpoch,
        epochs: &Epochs,
        installed: &InstalledEpochs,
    ) -> Option<Records> {
        let recovery = self.recovery.as_mut()?;
        recovery.merge_epochs(epochs);
        let replicas = &self.former.as_ref()?.identity.replicas;
        let required = replicas.len() - self.tolerated_losses;
        if !recovery.record_installed(sender, installed, required) {
            return None;
        }
        let FormerReplica {
            mut identity,
            registers,
        } = self.former.take()?;
        let Recovery {
            replica,
            epoch,
            epochs,
            installation,
            ..
        } = self.recovery.take()?;
        identity.epochs.merge(&epochs);
        self.identity = Some(identity);
        self.registers = registers;
        let mut installed = installation?.installed;
        installed.record(&replica, epoch);
        self.uninstalled = self.uninstalled_among(&installed);
        self.has_uninstalled_record |= !self.uninstalled.is_empty();
        Some(self.records())
    }

    /// The replicas whose latest known epoch is later than the installed one.
    fn uninstalled_among(&self, installed: &InstalledEpochs) -> BTreeMap<ReplicaId, Epoch> {
        let epochs = self.known_epochs_of_replicas();
        let replicas = epochs.into_iter().flat_map(Epochs::iter);
        let installed = |replica: &ReplicaId| installed.get(replica).unwrap_or_default();
        replicas
            .filter(|(replica, holder)| installed(replica) < holder.epoch)
            .map(|(replica, _)| (replica.clone(), installed(replica)))
            .collect()
    }
}
