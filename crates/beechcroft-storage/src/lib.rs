//! A small durable key-value table, kept as a snapshot and a write-ahead log. No other package of the control plane
//! writes to disk.
//!
//! ```no_run
//! use beechcroft_storage::RecordStore;
//!
//! # fn main() -> std::io::Result<()> {
//! let mut store = RecordStore::open("/var/lib/beechcroft".as_ref())?;
//! store.write(&[("identity".to_owned(), vec![1, 2, 3])])?; // synced when this returns
//! assert_eq!(store.table()["identity"], [1, 2, 3]);
//! # Ok(())
//! # }
//! ```
//!
//! # Files
//!
//! `docs/operators/system.md` specifies the format of each file.
//!
//! - `state`: the snapshot.
//! - `log-N/wal-1`: the log, written by okaywal, with the entries since the snapshot with number N.
//! - `mark`: the watermark, that is, the number of the last synced entry.
//!
//! # Torn writes and corruption
//!
//! Entries are numbered without gaps, and an entry is written only after the one before it has been synced. This
//! distinguishes two cases: an unreadable end of the log beyond the watermark, with nothing readable after it, was
//! never acknowledged and is discarded (a torn write). Any other unreadable data was acknowledged and is
//! [`Corruption`].
//!
//! okaywal preallocates, writes and syncs the log, but never reads it: its recovery stops at the first chunk that it
//! cannot read and does not report where. This package decodes the log itself, as entries have their own heads and
//! checksums.
//!
//! The watermark itself is not synced. It survives the end of the process at once, and a loss of power after about half
//! a minute. One case remains undetected: power is lost before the watermark has reached the disk, and a byte of the
//! last entry is corrupted as well. Only a second sync for each entry could distinguish that from a torn write.
//!
//! # Compaction
//!
//! Opening a store compacts it. A compaction creates an empty log for the next number and syncs it; writes the snapshot
//! with that number to a temporary file, syncs it, renames it over the old one and syncs the folder; and only then
//! removes the old log. A snapshot therefore never exists without its log, and a crash between any two steps leaves one
//! complete table.

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
/// The common prefix of the first bytes of snapshots of all formats.
const SNAPSHOT_MAGIC_PREFIX: &[u8] = b"BCHUT";
const SNAPSHOT_FILE: &str = "state";
const WATERMARK_FILE: &str = "mark";
/// The prefix of a log folder's name; the number of its snapshot follows.
const LOG_FOLDER_PREFIX: &str = "log-";
/// The name of the log file in its folder.
const LOG_FILE: &str = "wal-1";
/// The name of the copy that is kept of a corrupt snapshot.
const CORRUPT_SNAPSHOT_FILE: &str = "state.damaged";
/// The name of the copy that is kept of a corrupt log.
const CORRUPT_LOG_FILE: &str = "log.damaged";
/// Size of the log, in bytes, above which the next write compacts it first.
const COMPACT_BYTES: u64 = 4 << 20;
/// The number of the first entry.
const FIRST_NUMBER: u64 = 1;

/// The latest value of each record, by name.
pub type Table = BTreeMap<String, Vec<u8>>;

/// A table of records that survives a loss of power.
pub struct RecordStore {
    folder: PathBuf,
    table: Table,
    /// The number of the last entry or snapshot.
    last_number: u64,
    /// `None` after a failed write, until the next write compacts the store.
    log: Option<LogFile>,
}

impl RecordStore {
    /// Opens a data folder and compacts it. An empty or missing folder gives an empty table.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidData`] if the folder is corrupt: the error lists the faults, and the folder is unchanged.
    /// Other kinds are I/O errors.
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

    /// Opens a folder even if it is corrupt. `repair` is then called with the corruption and the remaining table, and
    /// must make the table safe to use; the result is on disk before this returns. Copies of the corrupt files are kept
    /// in the folder.
    ///
    /// # Errors
    ///
    /// I/O errors only.
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

    /// Reads a folder without changing it, and returns its table and its corruption.
    pub fn peek(folder: &Path) -> (Table, Corruption) {
        FolderContents::load(folder).read()
    }

    /// The current records.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Writes records as one log entry with one sync. Once this returns, they survive a loss of power. After an error,
    /// none of them is in the table, and either all or none are on disk.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] if there are more than 65535 records or a name is longer than 255 bytes; otherwise
    /// an I/O error, after which the next write compacts the store first.
    pub fn write(&mut self, records: &[(String, Vec<u8>)]) -> io::Result<()> {
        let has_long_name = records
            .iter()
            .any(|(name, _)| name.len() > usize::from(u8::MAX));
        if records.len() > usize::from(u16::MAX) || has_long_name {
            let error = "more than 65535 records, or a record name longer than 255 bytes";
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
            .ok_or_else(|| io::Error::other("the log is not open"))?;
        self.last_number += 1;
        let framed = records.iter().map(|(name, value)| (&name[..], &value[..]));
        if let Err(e) = log.append(&frame::encode(self.last_number, framed)) {
            // Nothing may be written after an entry that may be torn, and the state of the file after a failed sync is
            // unknown.
            self.log = None;
            return Err(e);
        }
        log.set_watermark(self.last_number);
        for (name, value) in records {
            self.table.insert(name.clone(), value.clone());
        }
        Ok(())
    }

    /// Writes the table as a new snapshot with an empty log, and removes the old log.
    fn compact(&mut self) -> io::Result<()> {
        self.log = None;
        // Fails if the folder is missing. okaywal would create it again, even if the disk that it was on has been
        // unmounted.
        File::open(&self.folder)?;
        // Above every number in the old log, including that of an entry whose write failed.
        self.last_number += 1;
        let log_folder = self
            .folder
            .join(format!("{LOG_FOLDER_PREFIX}{}", self.last_number));
        if log_folder.exists() {
            fs::remove_dir_all(&log_folder)?; // left by an incomplete compaction
        }
        let log = self.begin_log(&log_folder);
        if log.is_err() {
            // Free the space again, as the disk may be full, unless the new snapshot is already in place.
            let snapshot = fs::read(self.folder.join(SNAPSHOT_FILE)).unwrap_or_default();
            if snapshot_number(&snapshot) != Some(self.last_number) {
                let _ = fs::remove_dir_all(&log_folder);
            }
        }
        self.log = Some(log?);
        for (number, old) in log_folders(&self.folder)? {
            if number != self.last_number {
                fs::remove_dir_all(old)?;
            }
        }
        Ok(())
    }

    /// Creates a log for the next number, and replaces the snapshot by one of the table with that number.
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

    /// Replaces a file atomically and durably: after a crash it has either the old content or the new.
    fn replace_file(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}-new"));
        let mut file = File::create(&temporary)?;
        let written = file.write_all(bytes).and_then(|()| file.sync_all());
        if let Err(e) = written {
            let _ = fs::remove_file(&temporary); // frees the space again, as the disk may be full
            return Err(e);
        }
        drop(file);
        fs::rename(&temporary, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()
    }
}

/// Copies the corrupt files for an operator to examine. Failures to copy are ignored.
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
