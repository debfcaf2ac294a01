//! The log and its watermark, as they are written.

use crate::frame::{self, checksum};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// The log is laid out in zeros so far ahead: a sync then has no file length to change.
const PREALLOCATE_BYTES: u32 = 128 << 10;
/// okaywal's buffer.
const BUFFER_BYTES: usize = 8 << 10;

/// okaywal only opens logs that are new: it has nothing to recover, and compaction is the store's.
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

/// An open log.
pub(crate) struct LogFile {
    wal: WriteAheadLog,
    watermark: File,
    written_bytes: u64,
}

impl LogFile {
    /// Creates a log. Its first entry has the snapshot's number and no records.
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

    /// Bytes of entries since the log was created.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Appends an entry and syncs it.
    pub(crate) fn append(&mut self, entry: &[u8]) -> io::Result<()> {
        // okaywal panics where a write below an entry fails; to its caller that is a disk that refuses.
        let appended = catch_unwind(AssertUnwindSafe(|| {
            let mut writer = self.wal.begin_entry()?;
            writer.write_chunk(entry)?;
            writer.commit().map(drop)
        }));
        appended.unwrap_or_else(|_| Err(io::Error::other("the log could not take the entry")))?;
        self.written_bytes += entry.len() as u64;
        Ok(())
    }

    /// Records that an entry is synced. A watermark that is lost or torn only says less.
    pub(crate) fn set_watermark(&mut self, number: u64) {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.extend(checksum(&bytes).to_le_bytes());
        if let Err(e) = self.watermark.write_all_at(&bytes, 0) {
            log::info!("storage: The watermark was not written: {e}.");
        }
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        drop(self.wal.clone().shutdown());
    }
}
