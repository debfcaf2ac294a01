//! Loading the files of a data folder.

use crate::frame::checksum;
use crate::replay::{snapshot_number, Replay};
use crate::{Corruption, Table, LOG_FILE, LOG_FOLDER_PREFIX, SNAPSHOT_FILE, WATERMARK_FILE};
use beechcroft_safeguards::Safeguard;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// The bytes of a data folder's files.
#[derive(Clone, Debug, Default)]
pub struct FolderContents {
    /// The snapshot file; `None` if it is missing or unreadable.
    pub snapshot: Option<Vec<u8>>,
    /// The log file; `None` if it is missing or unreadable.
    pub log: Option<Vec<u8>>,
    /// The watermark file; `None` if it is missing or unreadable.
    pub watermark: Option<Vec<u8>>,
    /// The number of the snapshot that the log was created for; 0 without a log.
    pub log_number: u64,
    /// Whether the folder contains a log of the previous format, 001.
    pub has_format_001_log: bool,
    /// Files that exist but cannot be read, each with its error.
    pub unreadable: Vec<String>,
}

/// The log folders with their numbers, the newest last.
pub(crate) fn log_folders(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let numbered = |path: PathBuf| {
        let name = path.file_name()?.to_str()?;
        let number = name.strip_prefix(LOG_FOLDER_PREFIX)?.parse().ok()?;
        Some((number, path))
    };
    let paths = fs::read_dir(folder)?
        .filter_map(Result::ok)
        .map(|entry| entry.path());
    let mut folders: Vec<(u64, PathBuf)> = paths.filter_map(numbered).collect();
    folders.sort();
    Ok(folders)
}

/// Whether a file name is that of a log of the previous format, 001.
pub(crate) fn is_format_001_log(name: &str) -> bool {
    name.starts_with("wal-")
}

impl FolderContents {
    /// Reads all files of a folder, which may be written to at the same time.
    pub fn load(folder: &Path) -> FolderContents {
        let entries = fs::read_dir(folder)
            .into_iter()
            .flatten()
            .filter_map(Result::ok);
        let has_format_001_log = entries
            .into_iter()
            .any(|entry| is_format_001_log(&entry.file_name().to_string_lossy()));
        let mut unreadable = Vec::new();
        let mut read = |path: PathBuf| match fs::read(&path) {
            Ok(bytes) => Some(bytes),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => {
                let name = path.strip_prefix(folder).unwrap_or(&path);
                unreadable.push(format!("{}: {e}", name.display()));
                None
            }
        };
        // The order makes the read consistent while the folder is written to: a watermark never exceeds the last entry
        // of a log that is read after it.
        let watermark = read(folder.join(WATERMARK_FILE));
        let mut snapshot = read(folder.join(SNAPSHOT_FILE));
        loop {
            let number = snapshot.as_deref().and_then(snapshot_number);
            // The log that belongs to the snapshot. Without a readable snapshot, the newest log shows what existed.
            let mut folders = log_folders(folder).unwrap_or_default();
            let own = folders
                .iter()
                .position(|(log_number, _)| Some(*log_number) == number);
            let log = own
                .map(|at| folders.swap_remove(at))
                .or_else(|| folders.pop());
            let (log_number, log) = log.map_or((0, None), |(number, path)| {
                (number, read(path.join(LOG_FILE)))
            });
            // The snapshot has changed if the folder was compacted during the read: try again with the new one.
            let snapshot_now = read(folder.join(SNAPSHOT_FILE));
            if snapshot_now == snapshot {
                return FolderContents {
                    snapshot,
                    log,
                    watermark,
                    log_number,
                    has_format_001_log,
                    unreadable,
                };
            }
            snapshot = snapshot_now;
        }
    }

    /// Replays the files into the table of records, and reports what of it is lost.
    pub fn read(&self) -> (Table, Corruption) {
        let replay = self.replay();
        (replay.table, replay.corruption)
    }

    pub(crate) fn replay(&self) -> Replay {
        Replay::new(self)
    }

    /// The number of the last entry known to be synced; 0 if the watermark is missing or corrupt.
    pub(crate) fn synced_number(&self) -> u64 {
        if !Safeguard::SyncedWatermark.is_enabled() {
            return 0;
        }
        let split = self
            .watermark
            .as_ref()
            .and_then(|bytes| bytes.split_last_chunk::<4>());
        let Some((number, sum)) = split else { return 0 };
        let is_intact = checksum(number) == u32::from_le_bytes(*sum);
        let number = number.try_into().ok().filter(|_| is_intact);
        number.map_or(0, u64::from_le_bytes)
    }
}
