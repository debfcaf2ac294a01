//! Checkpoints: records from which the next process of this node starts sooner. Nothing is acknowledged on the strength
//! of a checkpoint, and a process that cannot read one starts without it.

use super::StateOwner;
use beechcroft_consensus::{encoding, PerRegister, Records, RegisterId};
use beechcroft_gossip::Member;
use beechcroft_registry::EndpointRecord;
use beechcroft_storage::Table;
use serde::de::DeserializeOwned;
use tokio::task::spawn_local;

/// Keys of the latest values that are known to be chosen.
pub(super) const CHOSEN_KEYS: PerRegister<&str> = PerRegister(["chosen-0", "chosen-1"]);
/// Key of the registry of endpoints.
const ENDPOINTS_KEY: &str = "units";
/// Key of the table of members.
const MEMBERS_KEY: &str = "members";
/// Minimum interval between checkpoints of endpoints and members, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Content of the next checkpoint, and the earliest time at which it may be written.
#[derive(Default)]
pub(super) struct Schedule {
    next_at: u64,
    pub(super) endpoints_changed: bool,
    pub(super) members_changed: bool,
}

/// Reads a checkpoint. Returns the default if it is missing or unreadable.
fn read<T: DeserializeOwned + Default>(table: &Table, key: &str) -> T {
    let Some(bytes) = table.get(key) else {
        return T::default();
    };
    encoding::decode(bytes).unwrap_or_else(|e| {
        log::error!("state: {key} on disk is left out: {e}.");
        T::default()
    })
}

impl StateOwner {
    /// Restores the members, the endpoints and the chosen values that an earlier process of this node has stored.
    pub(super) fn restore(&mut self, table: &Table) {
        for record in self.acceptor.unreadable_records() {
            log::error!(
                "state: On disk, {record}. This counts as a lost disk: the node recovers before it votes."
            );
        }
        let now = self.now();
        self.gossip
            .restore(now, read(table, MEMBERS_KEY), read(table, ENDPOINTS_KEY));
        for register in RegisterId::ALL {
            self.on_chosen(register, read(table, CHOSEN_KEYS[register]));
        }
    }

    /// Writes a checkpoint of the tables that have changed, if the last one is old enough.
    pub(super) fn write_checkpoint(&mut self, now: u64) {
        let Schedule {
            next_at,
            endpoints_changed,
            members_changed,
        } = self.checkpoint;
        if now < next_at || !(endpoints_changed || members_changed) {
            return;
        }
        self.checkpoint = Schedule {
            next_at: now + CHECKPOINT_INTERVAL_MS,
            ..Schedule::default()
        };
        let mut records = Records::new();
        if endpoints_changed {
            let endpoints = self.gossip.endpoints();
            let ids = endpoints.iter().map(|endpoint| endpoint.record.id.as_str());
            let latest: Vec<EndpointRecord> =
                ids.filter_map(|id| endpoints.record(now, id)).collect();
            records.push((ENDPOINTS_KEY.to_owned(), encoding::encode(&latest)));
        }
        if members_changed {
            let members: Vec<&Member> = self.gossip.members().collect();
            records.push((MEMBERS_KEY.to_owned(), encoding::encode(&members)));
        }
        self.write_unacknowledged(records);
    }

    /// Writes records without waiting for the result. Nothing may be acknowledged on the strength of them.
    pub(super) fn write_unacknowledged(&self, records: Records) {
        let disk = self.disk.clone();
        spawn_local(async move { disk.store(records).await });
    }
}
