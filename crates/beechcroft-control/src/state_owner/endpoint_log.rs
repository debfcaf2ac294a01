//! The endpoint log: records of endpoints that must outlive this process and that the registry on disk may lack.
//!
//! The registry of endpoints is too large to be written for each change. Departures, and warm-ups of units that are
//! already known, are therefore written as a record of their own at once, and dropped from it, in memory and then on
//! disk, once a checkpoint of the registry contains them. A record that stayed on disk could bring an endpoint back after
//! the registry has expired it.

use super::{Command, StateOwner};
use beechcroft_consensus::encoding;
use beechcroft_registry::EndpointRecord;
use beechcroft_safeguards::Safeguard;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Key of the endpoint log.
pub const ENDPOINT_LOG_KEY: &str = "units-log";

/// Endpoints that the registry on disk may lack, and the writes that put them on disk.
#[derive(Default)]
pub(super) struct EndpointLog {
    /// Records that no stored checkpoint of the registry contains, in the order of their arrival.
    records: Vec<EndpointRecord>,
    /// Number of records at the front that the checkpoint in progress contains.
    in_checkpoint: usize,
    /// Whether the records have changed since the last write began, or that write failed.
    is_changed: bool,
    /// Receivers of the result of the next write.
    waiting: Vec<oneshot::Sender<bool>>,
    /// Writes are made one at a time, so that an earlier one never replaces a later one. A write contains all records
    /// that have arrived during the previous one.
    is_writing: bool,
}

impl EndpointLog {
    /// The log of an earlier process. The registry on disk may lack its records, so the next write must contain them.
    pub(super) fn restored(records: Vec<EndpointRecord>) -> EndpointLog {
        EndpointLog {
            records,
            ..EndpointLog::default()
        }
    }

    /// Adds a record to the next write. `stored` receives the result of that write.
    fn add(&mut self, record: EndpointRecord, stored: Option<oneshot::Sender<bool>>) {
        let is_superseded = |known: &EndpointRecord| {
            known.id == record.id
                && known.state >= record.state
                && known.sequence >= record.sequence
        };
        if !self.records.iter().any(is_superseded) {
            self.records.push(record);
        }
        self.is_changed = true;
        self.waiting.extend(stored);
    }

    /// Notes that a checkpoint is written that contains all records so far.
    pub(super) fn begin_checkpoint(&mut self) {
        self.in_checkpoint = self.records.len();
    }

    /// Drops the records that a checkpoint contains which has been stored.
    pub(super) fn end_checkpoint(&mut self) {
        self.is_changed |= self.in_checkpoint > 0;
        self.records.drain(..self.in_checkpoint);
        self.in_checkpoint = 0;
    }
}

impl StateOwner {
    /// Writes an endpoint's record to disk at once. `stored` receives whether it is there.
    pub(super) fn log_endpoint(
        &mut self,
        record: EndpointRecord,
        stored: Option<oneshot::Sender<bool>>,
    ) {
        self.checkpoint.changed.endpoints = true;
        self.endpoint_log.add(record, stored);
        self.write_endpoint_log();
    }

    /// Writes a new or longer warm-up of a known endpoint to disk. If it were lost with this process, proxies would send
    /// the unit more than it bears until its next heartbeat has reached them.
    pub(super) fn store_warmup(&mut self, now: u64, id: &str) {
        if !Safeguard::WarmupOnDisk.is_enabled() {
            return;
        }
        if let Some(record) = self.gossip.endpoints().record(now, id) {
            self.log_endpoint(record, None);
        }
    }

    /// Begins a write of the log if it has changed and no write is in progress.
    pub(super) fn write_endpoint_log(&mut self) {
        if self.endpoint_log.is_writing || !self.endpoint_log.is_changed {
            return;
        }
        (self.endpoint_log.is_writing, self.endpoint_log.is_changed) = (true, false);
        let waiting = std::mem::take(&mut self.endpoint_log.waiting);
        let bytes = encoding::encode(&self.endpoint_log.records);
        let (disk, queue) = (self.disk.clone(), self.queue.clone());
        spawn_local(async move {
            let is_stored = disk.store(vec![(ENDPOINT_LOG_KEY.to_owned(), bytes)]).await;
            for stored in waiting {
                let _ = stored.send(is_stored);
            }
            let _ = queue.send(Command::EndpointLogWritten { is_stored });
        });
    }

    /// Handles the end of a write of the log. A failed one is repeated after the next checkpoint, or for the next record.
    pub(super) fn on_endpoint_log_written(&mut self, is_stored: bool) {
        self.endpoint_log.is_writing = false;
        if is_stored || !self.endpoint_log.waiting.is_empty() {
            self.write_endpoint_log();
        } else {
            self.endpoint_log.is_changed = true;
            self.checkpoint.changed.endpoints = true;
        }
    }
}
