//! What a node knows of the epochs of all replicas, and its responses to nodes that recover or take over one.

use super::{Acceptor, Records};
use crate::{Epoch, Epochs, Holder, InstalledEpochs, NodeId, ReplicaId, Response};
use beechcroft_safeguards::Safeguard;

impl Acceptor {
    /// The epochs that this node knows of, as the holder or the former holder of a replica.
    pub(super) fn known_epochs_of_replicas(&self) -> Option<&Epochs> {
        let identity = self.identity.as_ref().or(self.former_identity())?;
        Some(&identity.epochs)
    }

    /// The latest epoch of a replica that this node knows to be installed.
    pub(super) fn installed_epoch(&self, replica: &str) -> Epoch {
        let latest = || {
            let epochs = self.known_epochs_of_replicas();
            epochs.map_or(Epoch::default(), |epochs| epochs.latest(replica))
        };
        let uninstalled = self.uninstalled.get(replica).copied();
        uninstalled.unwrap_or_else(latest)
    }

    /// The latest installed epoch of each replica that this node knows of.
    fn installed_epochs(&self) -> InstalledEpochs {
        let epochs = self.known_epochs_of_replicas();
        let replicas = epochs.into_iter().flat_map(Epochs::iter);
        replicas
            .map(|(replica, _)| (replica.clone(), self.installed_epoch(replica)))
            .collect()
    }

    /// Records that an epoch of a replica is installed. Returns whether that was new.
    pub(super) fn record_installed(&mut self, replica: &str, epoch: Epoch) -> bool {
        let latest = self
            .known_epochs_of_replicas()
            .map_or(Epoch::default(), |epochs| epochs.latest(replica));
        let Some(installed) = self.uninstalled.get_mut(replica) else {
            return false;
        };
        if epoch <= *installed {
            return false;
        }
        *installed = epoch;
        if epoch >= latest {
            self.uninstalled.remove(replica);
        }
        true
    }

    /// Records the installed epochs among `epochs` where the latest known epoch is a later one.
    pub(super) fn record_uninstalled(&mut self, before: &Epochs) {
        let epochs = self.known_epochs_of_replicas();
        let replicas: Vec<(ReplicaId, Epoch)> = epochs
            .into_iter()
            .flat_map(Epochs::iter)
            .map(|(replica, holder)| (replica.clone(), holder.epoch))
            .collect();
        for (replica, latest) in replicas {
            let installed = before.latest(&replica);
            if installed < latest {
                self.uninstalled.entry(replica).or_insert(installed);
            }
        }
        self.has_uninstalled_record |= !self.uninstalled.is_empty();
    }

    /// Fences the earlier epochs of a replica and responds with this node's state, as the holder of another replica or
    /// as the (former) holder of the fenced one.
    pub(super) fn on_fence(
        &mut self,
        replica: ReplicaId,
        epoch: Epoch,
        holder: NodeId,
    ) -> (Response, Records) {
        if !self.knows_replica(&replica) {
            return (self.known_epochs(), Vec::new());
        }
        let records = self.fence(&replica, epoch, holder);
        let (identity, registers) = match (&self.identity, &self.former) {
            (Some(identity), _) => (identity, &self.registers),
            (None, Some(former)) if former.identity.replica == replica => {
                (&former.identity, &former.registers)
            }
            _ => return (Response::Learner, Vec::new()),
        };
        let response = Response::ReplicaState {
            sender: identity.replica_epoch(),
            installed: Some(self.installed_epoch(&replica)),
            replicas: identity.replicas.clone(),
            epochs: identity.epochs.clone(),
            registers: registers.clone(),
        };
        (response, records)
    }

    /// Records that an epoch is installed, unless a later one is fenced or another node has drawn the same one.
    ///
    /// A node that was deposed responds for its former replica until it knows of the successor's epoch to be installed:
    /// the successor learns from it what it has recorded.
    pub(super) fn on_install(
        &mut self,
        replica: ReplicaId,
        epoch: Epoch,
        holder: NodeId,
    ) -> (Response, Records) {
        if !self.knows_replica(&replica) && !self.responds_for_former_replica() {
            return (self.known_epochs(), Vec::new());
        }
        self.fence(&replica, epoch, holder.clone());
        let Some(identity) = self.identity.as_ref().or(self.former_identity()) else {
            return (Response::Learner, Vec::new());
        };
        let sender = identity.replica_epoch();
        let epochs = identity.epochs.clone();
        let is_later = epochs.latest(&replica) > epoch;
        let is_anothers =
            epochs.holder(&replica) != holder && Safeguard::SingleSuccessor.is_enabled();
        if is_later || is_anothers {
            let response = Response::KnownEpochs {
                replicas: identity.replicas.clone(),
                epochs,
            };
            return (response, self.identity_records());
        }
        self.record_installed(&replica, epoch);
        let response = Response::Installed {
            sender,
            epochs,
            installed: self.installed_epochs(),
        };
        (response, self.identity_records())
    }

    /// Whether this node voted for its former replica, and knows of no later epoch of it to be installed.
    fn responds_for_former_replica(&self) -> bool {
        self.former_identity()
            .is_some_and(|former| self.installed_epoch(&former.replica) == former.epoch)
    }

    /// Whether this node can fence a replica: it holds another one, or is a holder of this one.
    fn knows_replica(&self, replica: &ReplicaId) -> bool {
        let former = self.former_identity();
        let is_former = former.is_some_and(|former| former.replica == *replica);
        self.replicas().contains(replica) || is_former
    }

    /// Fences the earlier epochs of a replica. Returns the records to sync.
    fn fence(&mut self, replica: &ReplicaId, epoch: Epoch, holder: NodeId) -> Records {
        let fence = Holder {
            epoch,
            node: holder,
        };
        self.merge_epochs(&Epochs::from_iter([(replica.clone(), fence)]));
        self.identity_records()
    }

    pub(super) fn known_epochs(&self) -> Response {
        match &self.identity {
            Some(identity) => Response::KnownEpochs {
                replicas: identity.replicas.clone(),
                epochs: identity.epochs.clone(),
            },
            None => Response::Learner,
        }
    }
}
