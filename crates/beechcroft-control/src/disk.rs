//! The disk writer: a thread that owns the data folder, writes all waiting records with one sync, and reports when they
//! are stored.

use beechcroft_consensus::{
    Records, FORMER_IDENTITY_KEY, IDENTITY_KEY, REGISTER_KEYS, UNINSTALLED_KEY,
};
use beechcroft_safeguards::Safeguard;
use beechcroft_storage::{RecordStore, Table};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use tokio::sync::oneshot;

/// Keys of the records without which a replica must not vote.
const REPLICA_RECORDS: [&str; 4] = [
    IDENTITY_KEY,
    REGISTER_KEYS.0[0],
    REGISTER_KEYS.0[1],
    UNINSTALLED_KEY,
];

/// Removes corrupt records, so that the rest of the table is safe to use. Returns whether the disk counts as lost.
///
/// Corrupt checkpoints are only dropped. If a record of the replica is corrupt, all records of the replica are removed
/// and an empty identity is stored, which marks that the node held a replica. Such a node does not bootstrap, and votes
/// again only after it has recovered from the other replicas.
pub fn repair(is_corrupt: impl Fn(&str) -> bool, table: &mut Table) -> bool {
    table.retain(|name, _| !is_corrupt(name));
    let is_lost = REPLICA_RECORDS.iter().any(|name| is_corrupt(name))
        && Safeguard::CorruptionIsDiskLoss.is_enabled();
    if is_lost {
        for name in REPLICA_RECORDS.iter().chain([&FORMER_IDENTITY_KEY]) {
            table.remove(*name);
        }
        table.insert(IDENTITY_KEY.into(), Vec::new());
    }
    is_lost
}

/// Opens a data folder. Corrupt records are logged and removed by [`repair`].
pub fn open(folder: &Path) -> io::Result<RecordStore> {
    RecordStore::open_repaired(folder, |corruption, table| {
        for place in corruption.locations() {
            log::error!("disk: {}/{place}.", folder.display());
        }
        if repair(|name| corruption.affects(name), table) {
            log::error!(
                "disk: This counts as a lost disk: the node recovers from the others before it votes."
            );
        }
    })
}

/// Handle to the disk writer. Clones share the same writer.
#[derive(Clone)]
pub struct Disk(Writer);

#[derive(Clone)]
enum Writer {
    Thread(mpsc::Sender<WriteJob>),
    Simulated(Rc<dyn SimulatedDisk>),
}

/// Records to write, and the sender that reports whether they are stored.
struct WriteJob {
    records: Records,
    stored: oneshot::Sender<bool>,
}

/// Replacement for the disk writer in a simulation.
pub trait SimulatedDisk {
    /// Writes and syncs records. Resolves to whether they are stored.
    fn store(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>>;
}

impl Disk {
    /// Opens the folder and starts the writer thread. Returns the records that the folder holds.
    pub fn open(folder: PathBuf) -> io::Result<(Disk, Table)> {
        let store = open(&folder)?;
        let table = store.table().clone();
        let (queue, jobs) = mpsc::channel();
        let thread = std::thread::Builder::new().name("disk".into());
        thread.spawn(move || write_jobs(store, jobs))?;
        Ok((Disk(Writer::Thread(queue)), table))
    }

    /// Wraps the disk of a simulation.
    pub fn simulated(disk: Rc<dyn SimulatedDisk>) -> Disk {
        Disk(Writer::Simulated(disk))
    }

    /// Writes and syncs records. Returns whether they are stored.
    pub async fn store(&self, records: Records) -> bool {
        if records.is_empty() {
            return true;
        }
        match &self.0 {
            Writer::Simulated(disk) => disk.store(records).await,
            Writer::Thread(queue) => {
                let (stored, result) = oneshot::channel();
                let sent = queue.send(WriteJob { records, stored });
                sent.is_ok() && result.await.unwrap_or(false)
            }
        }
    }
}

/// Body of the writer thread: writes all waiting jobs with one sync, until every [`Disk`] handle is dropped.
fn write_jobs(mut store: RecordStore, jobs: mpsc::Receiver<WriteJob>) {
    while let Ok(WriteJob {
        mut records,
        stored,
    }) = jobs.recv()
    {
        let mut waiting = vec![stored];
        while let Ok(job) = jobs.try_recv() {
            records.extend(job.records);
            waiting.push(job.stored);
        }
        let written = store.write(&records);
        if let Err(e) = &written {
            log::warn!("disk: Writing failed: {e}.");
        }
        for stored in waiting {
            let _ = stored.send(written.is_ok());
        }
    }
}
