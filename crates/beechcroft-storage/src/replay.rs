//! Replay of a snapshot and its log into the table, with detection of corruption.

use crate::frame::Frame;
use crate::{Corruption, FolderContents, Table};
use crate::{FIRST_NUMBER, SNAPSHOT_MAGIC, SNAPSHOT_MAGIC_PREFIX};
use beechcroft_safeguards::Safeguard;

/// The most bytes that okaywal itself writes before, between and after entries.
const OKAYWAL_BYTES: usize = 64;

/// The result of replaying a folder.
pub(crate) struct Replay {
    pub(crate) table: Table,
    /// The number of the last entry that was read or is known to have been synced.
    pub(crate) last_number: u64,
    pub(crate) corruption: Corruption,
}

/// The number of a snapshot, if its head is intact.
pub(crate) fn snapshot_number(snapshot: &[u8]) -> Option<u64> {
    Some(Frame::decode(snapshot.strip_prefix(SNAPSHOT_MAGIC)?)?.number)
}

/// The number of a log, which is that of its first entry. That entry has no records.
fn first_number(log: &[u8]) -> Option<u64> {
    let (offset, first) = Frame::find(log, 0, 0)?;
    (offset < OKAYWAL_BYTES && first.records.is_empty()).then_some(first.number)
}

/// Whether a log contains at most its first entry, complete or torn.
fn is_new(log: &[u8]) -> bool {
    let end = Frame::find(log, 0, 0).map_or(0, |(offset, first)| offset + first.length);
    is_zeroed_from(log, end + OKAYWAL_BYTES)
}

/// Whether all bytes from an offset on are zero, that is, preallocated and never written.
fn is_zeroed_from(bytes: &[u8], from: usize) -> bool {
    bytes
        .get(from..)
        .unwrap_or_default()
        .iter()
        .all(|&byte| byte == 0)
}

impl Replay {
    /// Replays the files of a folder.
    pub(crate) fn new(contents: &FolderContents) -> Replay {
        let mut replay = Replay {
            table: Table::new(),
            last_number: 0,
            corruption: Corruption::default(),
        };
        for location in &contents.unreadable {
            replay.corruption.add_lost_entries(location.clone());
        }
        let synced = contents.synced_number();
        match (&contents.snapshot, &contents.log) {
            (Some(snapshot), _) => replay.read_snapshot(snapshot),
            (None, None) => replay.check_missing_files(contents, synced),
            (None, Some(log)) => {
                let is_first = contents.log_number == FIRST_NUMBER && synced <= FIRST_NUMBER;
                if is_first && is_new(log) {
                    return replay; // the first start was interrupted before its snapshot was in place
                }
                replay.add_lost_entries("state: the snapshot is missing");
            }
        }
        match &contents.log {
            Some(log) => replay.read_log(log, contents.snapshot.is_some(), synced),
            None if contents.snapshot.is_some() => {
                replay.add_lost_entries("log: the file is missing")
            }
            None => {}
        }
        if synced > replay.last_number {
            let from = replay.last_number + 1;
            replay.add_lost_entries(format!(
                "log: entries {from} to {synced} had been synced and are not there"
            ));
            replay.last_number = synced;
        }
        replay
    }

    fn add_lost_entries(&mut self, location: impl Into<String>) {
        self.corruption.add_lost_entries(location.into());
    }

    /// Handles a folder with neither a snapshot nor a log. It is new, unless the watermark, a log folder or a log of
    /// the previous format shows that it had contents.
    fn check_missing_files(&mut self, contents: &FolderContents, synced: u64) {
        if synced > 0 {
            self.add_lost_entries(format!(
                "state: the snapshot is missing, entry {synced} had been synced"
            ));
        } else if contents.log_number > FIRST_NUMBER {
            let number = contents.log_number;
            self.add_lost_entries(format!(
                "state: the snapshot is missing beside log-{number}"
            ));
        } else if contents.has_format_001_log {
            self.add_lost_entries("state: the snapshot is missing beside a log of format 001");
        }
    }

    fn read_snapshot(&mut self, bytes: &[u8]) {
        let Some(rest) = bytes.strip_prefix(SNAPSHOT_MAGIC) else {
            let magic = bytes.get(..SNAPSHOT_MAGIC.len());
            return match magic.filter(|magic| magic.starts_with(SNAPSHOT_MAGIC_PREFIX)) {
                Some(magic) => self.add_lost_entries(format!(
                    "state at 0: the snapshot is damaged or of another version of the program: format {}",
                    magic.escape_ascii()
                )),
                None => self
                    .add_lost_entries("state at 0: the snapshot is damaged: unknown first bytes"),
            };
        };
        let offset = SNAPSHOT_MAGIC.len();
        match Frame::decode(rest) {
            Some(frame) => self.apply("state", "the snapshot is damaged", offset, rest, frame),
            None => self.add_lost_entries(format!("state at {offset}: the snapshot is damaged")),
        }
    }

    fn read_log(&mut self, log: &[u8], has_snapshot: bool, synced: u64) {
        let snapshot_number = self.last_number;
        let Some(log_number) = first_number(log) else {
            return self
                .add_lost_entries("log at 0: its first entry is damaged or of another version");
        };
        let is_known = has_snapshot && self.corruption.is_empty();
        if log_number != snapshot_number && is_known && Safeguard::ContiguousEntries.is_enabled() {
            let stale_file = if log_number > snapshot_number {
                "state"
            } else {
                "log"
            };
            self.add_lost_entries(format!(
                "{stale_file}: stale copy: the snapshot is of entry {snapshot_number}, the log begins after {log_number}"
            ));
        }
        self.last_number = log_number.max(snapshot_number);
        self.read_entries(log, synced);
    }

    /// Applies the log's entries, skipping the bytes that okaywal writes between them.
    fn read_entries(&mut self, log: &[u8], synced: u64) {
        let mut at = 0;
        while let Some((offset, frame)) = Frame::find(log, at, self.last_number) {
            let next = self.last_number + 1;
            let end = offset.saturating_add(frame.length).min(log.len());
            if frame.number > next && Safeguard::ContiguousEntries.is_enabled() {
                let to = frame.number - 1;
                self.add_lost_entries(format!("log at {at}: entries {next} to {to} are damaged"));
            }
            let is_intact = frame.records.iter().all(|record| record.is_intact);
            if !is_intact && frame.number > synced && !has_later_entry(log, end, &frame) {
                break; // a torn write, which was never acknowledged
            }
            self.apply("log", "the entry is damaged", offset, &log[offset..], frame);
            at = end;
        }
        let next = self.last_number + 1;
        if synced > self.last_number {
            self.add_lost_entries(format!(
                "log at {at}: entries {next} to {synced} are damaged"
            ));
            self.last_number = synced;
        } else if !is_zeroed_from(log, at + OKAYWAL_BYTES) {
            log::info!(
                "storage: The log ends torn behind byte {at}: entry {next} was never acknowledged."
            );
        }
    }

    /// Applies the intact records of a frame at this offset of a file, and records the others as lost.
    fn apply(&mut self, file: &str, fault: &str, offset: usize, bytes: &[u8], frame: Frame) {
        self.last_number = frame.number;
        for record in frame.records {
            if record.is_intact {
                self.corruption.record_written(&record.name);
                self.table.insert(record.name, bytes[record.range].to_vec());
            } else {
                let (at, number) = (offset + record.range.start, frame.number);
                let name = &record.name;
                let location = format!("{file} at {at}: {fault}: record {name} of entry {number}");
                self.corruption.add_lost_record(location, name);
                self.table.remove(name);
            }
        }
    }
}

/// Whether an entry that is not intact is followed by a later one, in which case it cannot be a torn write.
fn has_later_entry(log: &[u8], from: usize, frame: &Frame) -> bool {
    Safeguard::ContiguousEntries.is_enabled() && Frame::find(log, from, frame.number).is_some()
}
