//! Checkpoints: records from which the next process of this node continues. A process that cannot read one starts
//! without it.
//!
//! Of all that checkpoints contain, only departures have been acknowledged to anybody. They are in the endpoint log first
//! (see the module `endpoint_log`), and stay there until a checkpoint that contains them is stored.

use super::endpoint_log::EndpointLog;
use super::{Command, StateOwner, ENDPOINT_LOG_KEY};
use beechcroft_consensus::{encoding, PerRegister, Records, RegisterId};
use beechcroft_gossip::Member;
use beechcroft_registry::EndpointRecord;
use beechcroft_storage::Table;
use serde::de::DeserializeOwned;
use tokio::task::spawn_local;

/// Keys of the latest values that are known to be chosen.
pub(super) const CHOSEN_KEYS: PerRegister<&str> = PerRegister(["chosen-0", "chosen-1"]);
/// Key of the registry of endpoints.
pub const ENDPOINTS_KEY: &str = "units";
/// Key of the table of members.
const MEMBERS_KEY: &str = "members";
/// Minimum interval between checkpoints of endpoints and members, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// The tables that a checkpoint contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckpointContent {
    /// Whether it contains the registry of endpoints.
    pub endpoints: bool,
    /// Whether it contains the table of members.
    pub members: bool,
}

impl CheckpointContent {
    fn is_empty(self) -> bool {
        self == CheckpointContent::default()
    }

    fn add(&mut self, other: CheckpointContent) {
        self.endpoints |= other.endpoints;
        self.members |= other.members;
    }
}

/// What the next checkpoint must contain, and when it may be written.
#[derive(Default)]
pub(super) struct Schedule {
    next_at: u64,
    /// Tables that have changed since the last checkpoint that contained them.
    pub(super) changed: CheckpointContent,
    /// Checkpoints are written one at a time, so that an earlier one never replaces a later one.
    is_writing: bool,
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
        let mut endpoints: Vec<EndpointRecord> = read(table, ENDPOINTS_KEY);
        let logged: Vec<EndpointRecord> = read(table, ENDPOINT_LOG_KEY);
        endpoints.extend(logged.iter().cloned());
        self.checkpoint.changed.endpoints |= !logged.is_empty();
        self.endpoint_log = EndpointLog::restored(logged);
        self.gossip
            .restore(now, read(table, MEMBERS_KEY), endpoints);
        for register in RegisterId::ALL {
            self.on_chosen(register, read(table, CHOSEN_KEYS[register]));
        }
    }

    /// Writes a checkpoint of the tables that have changed, if the last one is old enough.
    pub(super) fn write_checkpoint(&mut self, now: u64) {
        let content = self.checkpoint.changed;
        if now < self.checkpoint.next_at || self.checkpoint.is_writing || content.is_empty() {
            return;
        }
        self.checkpoint = Schedule {
            next_at: now + CHECKPOINT_INTERVAL_MS,
            changed: CheckpointContent::default(),
            is_writing: true,
        };
        if content.endpoints {
            self.endpoint_log.begin_checkpoint();
        }
        let records = self.checkpoint_records(now, content);
        let (disk, queue) = (self.disk.clone(), self.queue.clone());
        spawn_local(async move {
            let is_stored = disk.store(records).await;
            let _ = queue.send(Command::CheckpointWritten { content, is_stored });
        });
    }

    fn checkpoint_records(&self, now: u64, content: CheckpointContent) -> Records {
        let mut records = Records::new();
        if content.endpoints {
            let endpoints = self.gossip.endpoints();
            let ids = endpoints.iter().map(|endpoint| endpoint.record.id.as_str());
            let latest: Vec<EndpointRecord> =
                ids.filter_map(|id| endpoints.record(now, id)).collect();
            records.push((ENDPOINTS_KEY.to_owned(), encoding::encode(&latest)));
        }
        if content.members {
            let members: Vec<&Member> = self.gossip.members().collect();
            records.push((MEMBERS_KEY.to_owned(), encoding::encode(&members)));
        }
        records
    }

    /// Handles the end of a checkpoint's write. A table that could not be stored is written again.
    pub(super) fn on_checkpoint_written(&mut self, content: &CheckpointContent, is_stored: bool) {
        self.checkpoint.is_writing = false;
        if !is_stored {
            self.checkpoint.changed.add(*content);
        } else if content.endpoints {
            self.endpoint_log.end_checkpoint();
            self.write_endpoint_log();
        }
    }

    /// Writes records without waiting for the result. Nothing may be acknowledged on the strength of them.
    pub(super) fn write_unacknowledged(&self, records: Records) {
        let disk = self.disk.clone();
        spawn_local(async move { disk.store(records).await });
    }
}
