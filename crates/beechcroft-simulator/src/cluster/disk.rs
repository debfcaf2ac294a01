//! A core machine's disk: synced records are durable; of records being written when power is lost, some are kept. Syncs
//! are numbered over all disks, and any of them may hang or fail.

use super::network::Network;
use beechcroft_consensus::Records;
use beechcroft_control::disk::SimulatedDisk;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How a sync fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncFailure {
    /// It returns an error, and nothing is written.
    Fails,
    /// It takes 3 s longer, so that its caller gives up first; later syncs wait for it.
    Hangs,
    /// It reports success without writing. Only a mutant does so, as no disk in a deployment does.
    Lies,
}

/// Durable records by name.
pub type Table = BTreeMap<String, Vec<u8>>;

/// Contents and activity of a disk.
#[derive(Default)]
pub struct State {
    /// Durable records.
    pub table: Table,
    /// Duration of a disk sync, in milliseconds.
    pub sync_ms: u64,
    /// Records of syncs in progress, each kept or lost if power fails.
    pending: BTreeMap<u64, Records>,
    next: u64,
    /// Unreadable records; they are found at the next start of a process.
    damaged: BTreeSet<String>,
    /// End of the last queued sync.
    busy_until: Option<tokio::time::Instant>,
}

/// A machine's disk; it outlives processes.
#[derive(Clone)]
pub struct MachineDisk {
    /// Contents and activity.
    pub state: Rc<RefCell<State>>,
    network: Network,
    /// Sync failures by sequence number.
    pub faults: Rc<RefCell<BTreeMap<u64, SyncFailure>>>,
    /// Whether every sync reports success without writing.
    pub liar: bool,
    /// Whether a power loss may keep part of a batch.
    pub torn: bool,
}

impl MachineDisk {
    /// Creates an empty disk.
    pub fn new(
        network: &Network,
        sync_ms: u64,
        faults: Rc<RefCell<BTreeMap<u64, SyncFailure>>>,
        liar: bool,
    ) -> MachineDisk {
        let state = Rc::new(RefCell::new(State {
            sync_ms: sync_ms.max(1),
            ..State::default()
        }));
        MachineDisk {
            state,
            network: network.clone(),
            faults,
            liar,
            torn: false,
        }
    }

    /// Loses power: the earlier half of the syncs in progress is kept, or any prefix of their records if writes are torn.
    pub fn power_lost(&self) {
        let mut state = self.state.borrow_mut();
        let pending = std::mem::take(&mut state.pending);
        if self.torn {
            let records: Vec<_> = pending.into_values().flatten().collect();
            let lasts = (state.next.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize
                % (records.len() + 1);
            state.table.extend(records.into_iter().take(lasts));
        } else {
            let lasts = pending.len() / 2;
            state
                .table
                .extend(pending.into_values().take(lasts).flatten());
        }
        state.busy_until = None;
    }

    /// Kills the process but not the machine: everything written is kept.
    pub fn killed(&self) {
        let mut state = self.state.borrow_mut();
        let pending = std::mem::take(&mut state.pending);
        state.table.extend(pending.into_values().flatten());
        state.busy_until = None;
    }

    /// Makes a record unreadable.
    pub fn damage(&self, record: &str) {
        self.state.borrow_mut().damaged.insert(record.to_owned());
    }

    /// Reads the records at a process start, with damaged ones repaired or dropped.
    pub fn open(&self) -> Table {
        let mut state = self.state.borrow_mut();
        let damaged = std::mem::take(&mut state.damaged);
        beechcroft_control::disk::repair(|name| damaged.contains(name), &mut state.table);
        state.table.clone()
    }

    /// Loses the contents.
    pub fn wipe(&self) {
        let mut state = self.state.borrow_mut();
        (state.table, state.pending) = (Table::new(), BTreeMap::new());
        state.damaged.clear();
    }
}

impl SimulatedDisk for MachineDisk {
    fn store(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>> {
        let disk = self.clone();
        Box::pin(async move {
            let number = {
                let mut inner = disk.network.state();
                inner.counts.syncs += 1;
                inner.counts.syncs
            };
            let fault = disk.faults.borrow().get(&number).copied();
            let liar = disk.liar || fault == Some(SyncFailure::Lies);
            let (nth, wait) = {
                let mut state = disk.state.borrow_mut();
                state.next += 1;
                let nth = state.next;
                if !liar {
                    state.pending.insert(nth, records);
                }
                // Syncs run one after the other.
                let now = tokio::time::Instant::now();
                let from = state.busy_until.map_or(now, |until| until.max(now));
                let hangs = Duration::from_secs(if fault == Some(SyncFailure::Hangs) {
                    3
                } else {
                    0
                });
                let done = from + Duration::from_millis(state.sync_ms) + hangs;
                state.busy_until = Some(done);
                (nth, done - now)
            };
            sleep(wait).await;
            if fault == Some(SyncFailure::Fails) {
                disk.state.borrow_mut().pending.remove(&nth);
                return false;
            }
            let mut state = disk.state.borrow_mut();
            if let Some(records) = state.pending.remove(&nth) {
                state.table.extend(records);
            }
            true
        })
    }
}
