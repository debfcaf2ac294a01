//! A core machine's disk: what was synced stays, what was being written when power went is there or not. Syncs are
//! numbered over the world; any of them may hang or fail.

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

/// What the k-th sync of the world does instead of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncFailure {
    /// It is refused; nothing is written.
    Fails,
    /// It takes so long that its caller gives up, and is done then; what comes after it waits behind it.
    Hangs,
    /// It says that it is done and is not: a mutant, as no disk of the deployments does so.
    Lies,
}

/// The records that last.
pub type Table = BTreeMap<String, Vec<u8>>;

/// What a disk holds, and what it is doing.
#[derive(Default)]
pub struct State {
    /// What lasts.
    pub table: Table,
    /// Duration of a disk sync, in milliseconds.
    pub sync_ms: u64,
    /// Of the syncs that are under way: each may last or not if power goes.
    pending: BTreeMap<u64, Records>,
    next: u64,
    /// Records that cannot be read any more; each is seen at the next start of a process.
    damaged: BTreeSet<String>,
    /// Several writes wait for one sync.
    busy_until: Option<tokio::time::Instant>,
}

/// A machine's disk; it stays when processes end.
#[derive(Clone)]
pub struct MachineDisk {
    /// What it holds.
    pub state: Rc<RefCell<State>>,
    network: Network,
    /// By number of the sync.
    pub faults: Rc<RefCell<BTreeMap<u64, SyncFailure>>>,
    /// All syncs lie.
    pub liar: bool,
    /// A batch of records that is being written may last in part.
    pub torn: bool,
}

impl MachineDisk {
    /// An empty disk.
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

    /// Power goes: of what was being written, the earlier half is found there.
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

    /// Its process ends, and the machine does not: what was written is there.
    pub fn killed(&self) {
        let mut state = self.state.borrow_mut();
        let pending = std::mem::take(&mut state.pending);
        state.table.extend(pending.into_values().flatten());
        state.busy_until = None;
    }

    /// A record turns unreadable.
    pub fn damage(&self, record: &str) {
        self.state.borrow_mut().damaged.insert(record.to_owned());
    }

    /// What a process that starts goes by: the table, with what is damaged made good or given up.
    pub fn open(&self) -> Table {
        let mut state = self.state.borrow_mut();
        let damaged = std::mem::take(&mut state.damaged);
        beechcroft_control::disk::repair(|name| damaged.contains(name), &mut state.table);
        state.table.clone()
    }

    /// The disk is lost.
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
                // One sync after the other.
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
