//! A small table of records on disk: a write-ahead log and a snapshot. The only package that writes disk.
//!
//! ```no_run
//! use beechcroft_storage::RecordStore;
//!
//! # fn main() -> std::io::Result<()> {
//! let mut store = RecordStore::open("/var/lib/beechcroft".as_ref())?;
//! store.write(&[("identity".to_owned(), vec![1, 2, 3])])?; // synced once this returns
//! assert_eq!(store.table()["identity"], [1, 2, 3]);
//! # Ok(())
//! # }
//! ```
//!
//! # Files
//!
//! `docs/operators/system.md` states every byte.
//!
//! - `state`: the snapshot.
//! - `log-N/wal-1`: the log that okaywal writes, with the entries since the snapshot of number N.
//! - `mark`: the watermark, which is the number of the last entry that was synced.
//!
//! # Torn writes and corruption
//!
//! Entries are numbered without gaps, and an entry is written only once the one before it is synced. So the two cases
//! can be told apart: an unreadable end of the log beyond the watermark, with nothing readable behind it, was never
//! acknowledged and is cut off (a torn write). Everything else had been acknowledged and is [`Corruption`].
//!
//! okaywal writes, lays out and syncs the log. It is never asked to read one: its recovery ends at the first chunk
//! that it cannot read and names no place. The bytes are read here instead, as entries have heads and checksums of
//! their own.
//!
//! The watermark itself is not synced: it survives the end of the process, and a loss of power half a minute later.
//! One case is left: power is lost, and a byte of the very last entry is corrupted as well before the watermark has
//! reached the disk. Nothing cheaper than a second sync for each entry distinguishes that from a torn write.
//!
//! # Compaction
//!
//! Opening and compacting do the same: an empty log for the next number, synced; the snapshot of that number beside
//! the old one, synced, renamed, the folder synced; and only then is the old log removed. A snapshot therefore never
//! exists without its log, and a crash between any two steps leaves one complete table.

#![warn(missing_docs)]

mod corruption;
mod folder;
mod frame;
mod log_file;
mod replay;

pub use corruption::Corruption;
pub use folder::FolderContents;

use crate::folder::{is_format_001_log, log_folders};
use crate::log_file::LogFile;
use crate::replay::{snapshot_number, Replay};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The first bytes of a snapshot.
const SNAPSHOT_MAGIC: &[u8; 8] = b"BCHUT002";
/// What snapshots of all formats begin with.
const SNAPSHOT_MAGIC_PREFIX: &[u8] = b"BCHUT";
const SNAPSHOT_FILE: &str = "state";
const WATERMARK_FILE: &str = "mark";
/// The folder of a log is named so, followed by the number of its snapshot.
const LOG_FOLDER_PREFIX: &str = "log-";
/// The log's file in that folder.
const LOG_FILE: &str = "wal-1";
/// The copy that is kept of a corrupt snapshot.
const CORRUPT_SNAPSHOT_FILE: &str = "state.damaged";
/// The copy that is kept of a corrupt log.
const CORRUPT_LOG_FILE: &str = "log.damaged";
/// Bytes of log after which it is compacted into the snapshot.
const COMPACT_BYTES: u64 = 4 << 20;
/// The number of the first entry.
const FIRST_NUMBER: u64 = 1;

/// The latest value of each record, by name.
pub type Table = BTreeMap<String, Vec<u8>>;

/// A table of records that survives a loss of power.
pub struct RecordStore {
    folder: PathBuf,
    table: Table,
    /// The number of the last entry.
    last_number: u64,
    /// `None` after a write that failed, until the next write compacts.
    log: Option<LogFile>,
}

impl RecordStore {
    /// Opens a folder. An empty one gives an empty table.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidData`] names what is corrupt, and the folder is left as it is; other kinds are the disk's.
    pub fn open(folder: &Path) -> io::Result<RecordStore> {
        let replay = FolderContents::load(folder).replay();
        if !replay.corruption.is_empty() {
            return Err(io::Error::new(
                ErrorKind::InvalidData,
                replay.corruption.to_string(),
            ));
        }
        RecordStore::begin(folder, replay)
    }

    /// Opens a folder whatever is in it. `repair` is told what is corrupt and turns the table into one that is safe to
    /// use; its result is on disk before this returns. Copies of the corrupt files are kept in the folder.
    pub fn open_repaired(
        folder: &Path,
        repair: impl FnOnce(&Corruption, &mut Table),
    ) -> io::Result<RecordStore> {
        let mut replay = FolderContents::load(folder).replay();
        if !replay.corruption.is_empty() {
            keep_corrupt_files(folder)?;
            repair(&replay.corruption, &mut replay.table);
        }
        RecordStore::begin(folder, replay)
    }

    fn begin(folder: &Path, replay: Replay) -> io::Result<RecordStore> {
        fs::create_dir_all(folder)?;
        let Replay {
            table, last_number, ..
        } = replay;
        let mut store = RecordStore {
            folder: folder.to_owned(),
            table,
            last_number,
            log: None,
        };
        store.compact()?;
        for old in fs::read_dir(folder)?.filter_map(Result::ok) {
            if is_format_001_log(&old.file_name().to_string_lossy()) {
                fs::remove_file(old.path())?;
            }
        }
        Ok(store)
    }

    /// Reads a folder without changing it.
    pub fn peek(folder: &Path) -> (Table, Corruption) {
        FolderContents::load(folder).read()
    }

    /// The records.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Writes records with one sync for all of them. Once it returns, they survive a loss of power. After an error
    /// none of them is in the table, and either all or none are on disk.
    pub fn write(&mut self, records: &[(String, Vec<u8>)]) -> io::Result<()> {
        let has_long_name = records
            .iter()
            .any(|(name, _)| name.len() > usize::from(u8::MAX));
        if records.len() > usize::from(u16::MAX) || has_long_name {
            let error = "too many records, or too long a name";
            return Err(io::Error::new(ErrorKind::InvalidInput, error));
        }
        if self
            .log
            .as_ref()
            .is_none_or(|log| log.written_bytes() > COMPACT_BYTES)
        {
            self.compact()?;
        }
        let log = self
            .log
            .as_mut()
            .ok_or_else(|| io::Error::other("the log is closed"))?;
        self.last_number += 1;
        let framed = records.iter().map(|(name, value)| (&name[..], &value[..]));
        if let Err(e) = log.append(&frame::encode(self.last_number, framed)) {
            // Nothing may be written behind what may be torn, and what a failed sync left is not to be trusted.
            self.log = None;
            return Err(e);
        }
        log.set_watermark(self.last_number);
        for (name, value) in records {
            self.table.insert(name.clone(), value.clone());
        }
        Ok(())
    }

    /// Starts an empty log and writes the table as its snapshot.
    fn compact(&mut self) -> io::Result<()> {
        self.log = None;
        // okaywal would create the folder anew where it is gone, perhaps with the disk that it was on.
        File::open(&self.folder)?;
        // Above every number that the old log may hold.
        self.last_number += 1;
        let log_folder = self
            .folder
            .join(format!("{LOG_FOLDER_PREFIX}{}", self.last_number));
        if log_folder.exists() {
            fs::remove_dir_all(&log_folder)?; // of a compaction that did not complete
        }
        let begun = self.begin_log(&log_folder);
        if begun.is_err() {
            // A full disk is left as full as it was, unless the new snapshot is in place already.
            let snapshot = fs::read(self.folder.join(SNAPSHOT_FILE)).unwrap_or_default();
            if snapshot_number(&snapshot) != Some(self.last_number) {
                let _ = fs::remove_dir_all(&log_folder);
            }
        }
        self.log = Some(begun?);
        for (number, old) in log_folders(&self.folder)? {
            if number != self.last_number {
                fs::remove_dir_all(old)?;
            }
        }
        Ok(())
    }

    fn begin_log(&self, log_folder: &Path) -> io::Result<LogFile> {
        let watermark = self.folder.join(WATERMARK_FILE);
        let mut log = LogFile::create(log_folder, &watermark, self.last_number)?;
        File::open(&self.folder)?.sync_all()?;
        let records = self
            .table
            .iter()
            .map(|(name, value)| (&name[..], &value[..]));
        let snapshot = [
            &SNAPSHOT_MAGIC[..],
            &frame::encode(self.last_number, records),
        ]
        .concat();
        self.replace_file(SNAPSHOT_FILE, &snapshot)?;
        log.set_watermark(self.last_number);
        Ok(log)
    }

    /// Replaces a file atomically: it is complete or as it was before.
    fn replace_file(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let beside = self.folder.join(format!("{name}-new"));
        let mut file = File::create(&beside)?;
        let written = file.write_all(bytes).and_then(|()| file.sync_all());
        if let Err(e) = written {
            let _ = fs::remove_file(&beside); // a full disk is left as full as it was
            return Err(e);
        }
        drop(file);
        fs::rename(&beside, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()
    }
}

/// Copies what is corrupt, for a person to look at. A copy that fails is not needed.
fn keep_corrupt_files(folder: &Path) -> io::Result<()> {
    let _ = fs::copy(
        folder.join(SNAPSHOT_FILE),
        folder.join(CORRUPT_SNAPSHOT_FILE),
    );
    if let Some((_, newest)) = log_folders(folder)?.pop() {
        let _ = fs::copy(newest.join(LOG_FILE), folder.join(CORRUPT_LOG_FILE));
    }
    Ok(())
}
