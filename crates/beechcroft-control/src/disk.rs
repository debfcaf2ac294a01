//! The thread that owns the disk: it writes what waits together, with one sync, and says when it lasts.

use beechcroft_safeguards::Safeguard;
use beechcroft_storage::{Cache, Table};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use tokio::sync::oneshot;

pub type Records = Vec<(String, Vec<u8>)>;

/// What a voter stands on, and what a machine without a membership may hand over of a former one.
const STANDS_ON: [&str; 4] = ["identity", "register-0", "register-1", "former"];

/// Makes a table of which records are damaged such that a hut may go by it. A help that is damaged is dropped. A voter that
/// has lost a table counts as one that has lost its disk: an identity that is kept and empty says that there was one. Such
/// a machine founds no voters, and votes again once it has learned from the others. Whether it is so.
pub fn repair(damaged: impl Fn(&str) -> bool, table: &mut Table) -> bool {
    table.retain(|name, _| !damaged(name));
    let lost = STANDS_ON[..3].iter().any(|name| damaged(name))
        && Safeguard::CorruptionIsDiskLoss.is_enabled();
    if lost {
        STANDS_ON.iter().for_each(|name| drop(table.remove(*name)));
        table.insert("identity".into(), Vec::new());
    }
    lost
}

/// Opens a folder; damage is named, and made good as far as this machine alone can.
pub fn open(folder: &Path) -> io::Result<Cache> {
    Cache::open_repaired(folder, |damage, table| {
        for place in damage.places() {
            log::error!("disk: {}/{place}.", folder.display());
        }
        if repair(|name| damage.of(name), table) {
            log::error!(
                "disk: This counts as a lost disk: the machine learns from the others before it votes."
            );
        }
    })
}

/// The queue of the disk's owner.
#[derive(Clone)]
pub struct Disk(Owner);

#[derive(Clone)]
enum Owner {
    Thread(mpsc::Sender<(Records, oneshot::Sender<bool>)>),
    World(Rc<dyn Keeps>),
}

/// A disk in a world.
pub trait Keeps {
    /// Whether the records last.
    fn keep(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>>;
}

impl Disk {
    /// Opens the folder and starts the owner; what the folder held comes back.
    pub fn open(folder: PathBuf) -> io::Result<(Disk, Table)> {
        let mut cache = open(&folder)?;
        let table = cache.table().clone();
        let (queue, jobs) = mpsc::channel::<(Records, oneshot::Sender<bool>)>();
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || {
                while let Ok((mut records, asked)) = jobs.recv() {
                    let mut waiting = vec![asked];
                    while let Ok((more, asked)) = jobs.try_recv() {
                        records.extend(more);
                        waiting.push(asked);
                    }
                    let kept = cache.write(&records);
                    if let Err(e) = &kept {
                        log::warn!("disk: Writing failed: {e}.");
                    }
                    for asked in waiting {
                        let _ = asked.send(kept.is_ok());
                    }
                }
            })?;
        Ok((Disk(Owner::Thread(queue)), table))
    }

    pub fn world(disk: Rc<dyn Keeps>) -> Disk {
        Disk(Owner::World(disk))
    }

    /// Whether the records are on disk to stay.
    pub async fn keep(&self, records: Records) -> bool {
        if records.is_empty() {
            return true;
        }
        match &self.0 {
            Owner::World(disk) => disk.keep(records).await,
            Owner::Thread(queue) => {
                let (asked, told) = oneshot::channel();
                queue.send((records, asked)).is_ok() && told.await.unwrap_or(false)
            }
        }
    }
}
