//! Epochs: the incarnation of each replica's disk, and the node that holds the replica.

use crate::{NodeId, ReplicaId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The incarnation of a replica's disk. It increases when the disk is lost and when another node takes over the
/// replica.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of every replica when the system starts for the first time.
    pub const FIRST: Epoch = Epoch(1);
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A replica in one of its epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaEpoch {
    /// The replica's name.
    pub replica: ReplicaId,
    /// The incarnation of its disk.
    pub epoch: Epoch,
}

/// The latest known epoch of a replica, and the node that holds the replica in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The latest known epoch. All earlier epochs are fenced.
    pub epoch: Epoch,
    /// The node that votes for the replica in that epoch.
    pub node: NodeId,
}

/// The latest known epoch and holder of each replica. Merging is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epochs(BTreeMap<ReplicaId, Holder>);

impl Epochs {
    /// Creates an empty map, without any replica.
    pub fn new() -> Epochs {
        Epochs::default()
    }

    /// The epochs at the first start of the system: each replica is held by the node that it is named after.
    pub fn initial(replicas: &[ReplicaId]) -> Epochs {
        let holder = |replica: &ReplicaId| Holder {
            epoch: Epoch::FIRST,
            node: replica.clone(),
        };
        replicas
            .iter()
            .map(|replica| (replica.clone(), holder(replica)))
            .collect()
    }

    /// The latest known epoch and holder of a replica.
    pub fn get(&self, replica: &str) -> Option<&Holder> {
        self.0.get(replica)
    }

    /// The latest known epoch of a replica. For an unknown replica, the default epoch, which is below all others.
    pub fn latest(&self, replica: &str) -> Epoch {
        self.get(replica)
            .map_or(Epoch::default(), |known| known.epoch)
    }

    /// The node that holds a replica. For an unknown replica, the node that it is named after.
    pub fn holder(&self, replica: &str) -> NodeId {
        self.get(replica)
            .map_or_else(|| replica.to_owned(), |known| known.node.clone())
    }

    /// Whether a later epoch of the replica is known. Promises and acceptances of a fenced epoch may be lost.
    pub fn is_fenced(&self, replica: &str, epoch: Epoch) -> bool {
        self.latest(replica) > epoch
    }

    /// Merges the epochs known to another node. Returns whether any of them was new.
    pub fn merge(&mut self, other: &Epochs) -> bool {
        let mut is_changed = false;
        for (replica, theirs) in &other.0 {
            let known = self.0.entry(replica.clone()).or_default();
            if known.epoch < theirs.epoch {
                known.clone_from(theirs);
                is_changed = true;
            }
        }
        is_changed
    }

    /// Iterates over the replicas with their latest epochs and holders.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Holder)> {
        self.0.iter()
    }

    /// Removes all replicas.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

impl FromIterator<(ReplicaId, Holder)> for Epochs {
    fn from_iter<I: IntoIterator<Item = (ReplicaId, Holder)>>(holders: I) -> Epochs {
        Epochs(holders.into_iter().collect())
    }
}

/// The latest epoch of each replica that is known to be installed: recorded by a quorum before its holder votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstalledEpochs(BTreeMap<ReplicaId, Epoch>);

impl InstalledEpochs {
    /// Creates an empty map, without any replica.
    pub fn new() -> InstalledEpochs {
        InstalledEpochs::default()
    }

    /// The latest installed epoch of a replica, if one is known.
    pub fn get(&self, replica: &str) -> Option<Epoch> {
        self.0.get(replica).copied()
    }

    /// Records that an epoch is installed, unless a later one is known.
    pub fn record(&mut self, replica: &str, epoch: Epoch) {
        let known = self.0.entry(replica.to_owned()).or_default();
        *known = epoch.max(*known);
    }

    /// Merges the installed epochs known to another node.
    pub fn merge(&mut self, other: &InstalledEpochs) {
        for (replica, epoch) in &other.0 {
            self.record(replica, *epoch);
        }
    }
}

impl FromIterator<(ReplicaId, Epoch)> for InstalledEpochs {
    fn from_iter<I: IntoIterator<Item = (ReplicaId, Epoch)>>(epochs: I) -> InstalledEpochs {
        InstalledEpochs(epochs.into_iter().collect())
    }
}
