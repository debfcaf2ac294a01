//! Writing the log and its watermark.

use crate::frame::{self, checksum};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// How far ahead the log is preallocated with zeros, in bytes, so that a sync need not update the file's length.
const PREALLOCATE_BYTES: u32 = 128 << 10;
/// Size of okaywal's write buffer, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// okaywal opens only new logs, so it has nothing to recover; the store does its own compaction.
#[derive(Debug)]
struct NoRecovery;

impl LogManager for NoRecovery {
    fn recover(&mut self, _: &mut Entry<'_>) -> io::Result<()> {
        Ok(())
    }

    fn checkpoint_to(
        &mut self,
        _: EntryId,
        _: &mut SegmentReader,
        _: &WriteAheadLog,
    ) -> io::Result<()> {
        Ok(())
    }
}

/// An open log with its watermark file.
pub(crate) struct LogFile {
    wal: WriteAheadLog,
    watermark: File,
    written_bytes: u64,
}

impl LogFile {
    /// Creates a log in a new folder and syncs it. Its first entry has the snapshot's number and no records.
    pub(crate) fn create(folder: &Path, watermark: &Path, number: u64) -> io::Result<LogFile> {
        let wal = Configuration::default_for(folder)
            .preallocate_bytes(PREALLOCATE_BYTES)
            .checkpoint_after_bytes(u64::MAX)
            .buffer_bytes(BUFFER_BYTES)
            .open(NoRecovery)?;
        let watermark = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(watermark)?;
        let mut log = LogFile {
            wal,
            watermark,
            written_bytes: 0,
        };
        log.append(&frame::encode(number, std::iter::empty()))?;
        File::open(folder)?.sync_all()?;
        Ok(log)
    }

    /// Bytes of entries written since the log was created.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Appends an entry and syncs it.
    pub(crate) fn append(&mut self, entry: &[u8]) -> io::Result<()> {
        // okaywal panics if a write fails inside an entry. The caller gets an I/O error instead.
        let appended = catch_unwind(AssertUnwindSafe(|| {
            let mut writer = self.wal.begin_entry()?;
            writer.write_chunk(entry)?;
            writer.commit().map(drop)
        }));
        appended.unwrap_or_else(|_| Err(io::Error::other("writing the log entry failed")))?;
        self.written_bytes += entry.len() as u64;
        Ok(())
    }

    /// Records that an entry is synced. Failures are only logged: a lost or torn watermark is safe, as it then covers
    /// fewer entries.
    pub(crate) fn set_watermark(&mut self, number: u64) {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.extend(checksum(&bytes).to_le_bytes());
        if let Err(e) = self.watermark.write_all_at(&bytes, 0) {
            log::info!("storage: Writing the watermark failed: {e}.");
        }
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        drop(self.wal.clone().shutdown());
    }
}
