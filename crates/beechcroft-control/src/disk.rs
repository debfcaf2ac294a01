//! The thread that owns the disk: it writes what waits together, with one sync, and says when it is stored.

use beechcroft_consensus::{Records, FORMER_IDENTITY_KEY, IDENTITY_KEY, REGISTER_KEYS};
use beechcroft_safeguards::Safeguard;
use beechcroft_storage::{RecordStore, Table};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use tokio::sync::oneshot;

/// The records that a replica relies on.
const REPLICA_RECORDS: [&str; 3] = [IDENTITY_KEY, REGISTER_KEYS.0[0], REGISTER_KEYS.0[1]];

/// Turns a table with corrupt records into one that is safe to use. Whether that counts as a lost disk.
///
/// A corrupt record that only saves time is dropped. A replica that has lost a record counts as one that has lost its
/// disk: an identity that is kept and empty says that there was one. Such a node bootstraps nothing, and votes again
/// once it has recovered from the others.
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

/// Opens a folder. Corruption is logged, and repaired as far as this node alone can.
pub fn open(folder: &Path) -> io::Result<RecordStore> {
    RecordStore::open_repaired(folder, |corruption, table| {
        for place in corruption.places() {
            log::error!("disk: {}/{place}.", folder.display());
        }
        if repair(|name| corruption.affects(name), table) {
            log::error!(
                "disk: This counts as a lost disk: the node recovers from the others before it votes."
            );
        }
    })
}

/// The queue of the disk's owner. Clones share it.
#[derive(Clone)]
pub struct Disk(Owner);

#[derive(Clone)]
enum Owner {
    Thread(mpsc::Sender<WriteJob>),
    Simulated(Rc<dyn SimulatedDisk>),
}

/// Records to write, and who waits for that.
struct WriteJob {
    records: Records,
    stored: oneshot::Sender<bool>,
}

/// A disk in a simulation.
pub trait SimulatedDisk {
    /// Writes and syncs records. Whether they are stored.
    fn store(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>>;
}

impl Disk {
    /// Opens the folder and starts the owner. What the folder held comes back.
    pub fn open(folder: PathBuf) -> io::Result<(Disk, Table)> {
        let store = open(&folder)?;
        let table = store.table().clone();
        let (queue, jobs) = mpsc::channel();
        let thread = std::thread::Builder::new().name("disk".into());
        thread.spawn(move || write_jobs(store, jobs))?;
        Ok((Disk(Owner::Thread(queue)), table))
    }

    /// A disk in a simulation.
    pub fn simulated(disk: Rc<dyn SimulatedDisk>) -> Disk {
        Disk(Owner::Simulated(disk))
    }

    /// Writes and syncs records. Whether they are stored.
    pub async fn store(&self, records: Records) -> bool {
        if records.is_empty() {
            return true;
        }
        match &self.0 {
            Owner::Simulated(disk) => disk.store(records).await,
            Owner::Thread(queue) => {
                let (stored, result) = oneshot::channel();
                let sent = queue.send(WriteJob { records, stored });
                sent.is_ok() && result.await.unwrap_or(false)
            }
        }
    }
}

/// Writes jobs until the queue is dropped: all that wait together, with one sync.
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
