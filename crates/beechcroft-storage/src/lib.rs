//! The only place of the system that writes disk: a small table of records, kept by a log and a snapshot.
//!
//! Files in the folder (`docs/operators/system.md` states every byte): `state`, the snapshot; `log-N/wal-1`, okaywal's
//! log of the entries since the snapshot numbered N; `mark`, the number of the last entry that was synced. Entries are
//! numbered without gaps, and one is written only once the one before it is synced. So what cannot be read is told apart:
//! an end beyond the mark, with nothing readable behind it, was never acknowledged, and is cut off (a torn end); all else
//! was, and is damage.
//!
//! okaywal writes, lays out and syncs the log; it is never asked to read one. Its recovery ends at the first chunk that
//! it cannot read and tells no place, so the bytes are read here: entries have heads and checksums of their own.
//!
//! The mark is not synced itself: it outlasts the process, and a loss of power half a minute later. What stays: power is
//! lost, and of the very last entry a byte is damaged as well before the mark has lasted. Nothing that costs less than a
//! second sync of each entry tells that from a torn end.
//!
//! Opening and compaction do the same: an empty log for the next number, synced; the snapshot of that number beside the
//! old one, synced, renamed, the folder synced; and only then is the old log removed. So a snapshot never stands without
//! its log, and a crash between any two steps leaves one whole table.

mod damage;
mod frame;

pub use damage::Damage;

use beechcroft_safeguards::Safeguard;
use frame::{sum_of, Frame};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const SNAPSHOT_MAGIC: &[u8; 8] = b"BCHUT002";
const SNAPSHOT: &str = "state";
/// The folder of a log, before the number of its snapshot.
const LOG: &str = "log-";
const MARK: &str = "mark";
/// Bytes of log after which it is folded into the snapshot.
const FOLD_BYTES: u64 = 4 << 20;
/// The log is laid out in zeros so far ahead: a sync then has no length to change.
const AHEAD_BYTES: u32 = 128 << 10;
/// Most bytes of okaywal's own before, between and behind entries.
const OKAYWAL_BYTES: usize = 64;
/// Entries are numbered from here.
const FIRST: u64 = 1;

/// The table: what is kept under each name.
pub type Table = BTreeMap<String, Vec<u8>>;

pub struct Cache {
    folder: PathBuf,
    table: Table,
    /// Number of the last entry.
    last: u64,
    log: Option<Log>,
}

struct Log {
    wal: WriteAheadLog,
    mark: File,
    written: u64,
}

/// okaywal only opens logs that are new: it has nothing to recover, and folding is ours.
#[derive(Debug)]
struct Nothing;

impl LogManager for Nothing {
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

/// A folder's files, as they are read.
#[derive(Clone, Debug, Default)]
pub struct Files {
    pub snapshot: Option<Vec<u8>>,
    pub log: Option<Vec<u8>>,
    pub mark: Option<Vec<u8>>,
    /// The number of the snapshot that the log was begun for; 0 without one.
    pub log_of: u64,
    /// A log of the format before this one is there.
    pub of_001: bool,
    /// What is there and cannot be read at all.
    pub unreadable: Vec<String>,
}

/// What they hold.
struct Found {
    table: Table,
    last: u64,
    damage: Damage,
}

impl Cache {
    /// Opens a folder. An empty one gives an empty table; damage is an error that names it, and nothing is changed.
    pub fn open(folder: &Path) -> io::Result<Cache> {
        let found = Files::load(folder).found();
        if !found.damage.is_none() {
            return Err(io::Error::new(
                ErrorKind::InvalidData,
                found.damage.to_string(),
            ));
        }
        Cache::begin(folder, found)
    }

    /// Opens a folder whatever is in it. `repair` is told of damage and makes the table such that it may be gone by; what
    /// it makes is on disk before this returns. The damaged files are kept beside.
    pub fn open_repaired(
        folder: &Path,
        repair: impl FnOnce(&Damage, &mut Table),
    ) -> io::Result<Cache> {
        let mut found = Files::load(folder).found();
        if !found.damage.is_none() {
            // Only for a person who looks into it.
            let _ = fs::copy(folder.join(SNAPSHOT), folder.join("state.damaged"));
            if let Some((_, newest)) = logs(folder)?.pop() {
                let _ = fs::copy(newest.join("wal-1"), folder.join("log.damaged"));
            }
            repair(&found.damage, &mut found.table);
        }
        Cache::begin(folder, found)
    }

    fn begin(folder: &Path, found: Found) -> io::Result<Cache> {
        fs::create_dir_all(folder)?;
        let Found { table, last, .. } = found;
        let mut cache = Cache {
            folder: folder.to_owned(),
            table,
            last,
            log: None,
        };
        cache.fold()?;
        for old in fs::read_dir(folder)?.filter_map(Result::ok) {
            if is_of_001(&old.file_name().to_string_lossy()) {
                fs::remove_file(old.path())?;
            }
        }
        Ok(cache)
    }

    /// Reads a folder and changes nothing in it.
    pub fn peek(folder: &Path) -> (Table, Damage) {
        Files::load(folder).read()
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Keeps records; once it returns they outlast a loss of power. One sync for all of them. After an error none of
    /// them is in the table, and on disk are all of them or none.
    pub fn write(&mut self, records: &[(String, Vec<u8>)]) -> io::Result<()> {
        if records.len() > usize::from(u16::MAX) || records.iter().any(|(name, _)| name.len() > 255)
        {
            return Err(io::Error::new(
                ErrorKind::InvalidInput,
                "too many records, or too long a name",
            ));
        }
        if self.log.as_ref().is_none_or(|log| log.written > FOLD_BYTES) {
            self.fold()?;
        }
        let log = self
            .log
            .as_mut()
            .ok_or_else(|| io::Error::other("the log is closed"))?;
        self.last += 1;
        let entry = frame::write(
            self.last,
            records.iter().map(|(name, value)| (&name[..], &value[..])),
        );
        if let Err(e) = log.append(&entry) {
            // Nothing may be written behind what may have torn, and what a failed sync left is not to be trusted.
            self.log = None;
            return Err(e);
        }
        log.mark(self.last);
        for (name, value) in records {
            self.table.insert(name.clone(), value.clone());
        }
        Ok(())
    }

    /// Starts an empty log and writes the table as its snapshot.
    fn fold(&mut self) -> io::Result<()> {
        self.log = None;
        // okaywal would make a folder anew where this one is gone, with the disk that it was on perhaps.
        File::open(&self.folder)?;
        // Above all that the old log may hold.
        self.last += 1;
        let folder = self.folder.join(format!("{LOG}{}", self.last));
        if folder.exists() {
            fs::remove_dir_all(&folder)?; // of a fold that did not come to its end
        }
        let begun = self.begin_log(&folder);
        if begun.is_err() {
            // A full disk is left as full as it was, unless the snapshot is there already.
            let snapshot = fs::read(self.folder.join(SNAPSHOT)).unwrap_or_default();
            if number_of(&snapshot) != Some(self.last) {
                let _ = fs::remove_dir_all(&folder);
            }
        }
        self.log = Some(begun?);
        for (number, old) in logs(&self.folder)? {
            if number != self.last {
                fs::remove_dir_all(old)?;
            }
        }
        Ok(())
    }

    fn begin_log(&self, folder: &Path) -> io::Result<Log> {
        let mut log = Log::begin(folder, &self.folder.join(MARK), self.last)?;
        File::open(&self.folder)?.sync_all()?;
        let records = self
            .table
            .iter()
            .map(|(name, value)| (&name[..], &value[..]));
        let snapshot = [&SNAPSHOT_MAGIC[..], &frame::write(self.last, records)].concat();
        self.replace(SNAPSHOT, &snapshot)?;
        log.mark(self.last);
        Ok(log)
    }

    /// A file is there whole or as it was.
    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
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

impl Log {
    /// A new log, whose first entry has its snapshot's number and no records.
    fn begin(folder: &Path, mark: &Path, number: u64) -> io::Result<Log> {
        let wal = Configuration::default_for(folder)
            .preallocate_bytes(AHEAD_BYTES)
            .checkpoint_after_bytes(u64::MAX)
            .buffer_bytes(8 << 10)
            .open(Nothing)?;
        let mark = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(mark)?;
        let mut log = Log {
            wal,
            mark,
            written: 0,
        };
        log.append(&frame::write(number, std::iter::empty()))?;
        File::open(folder)?.sync_all()?;
        Ok(log)
    }

    fn append(&mut self, entry: &[u8]) -> io::Result<()> {
        // okaywal panics where a write fails under an entry; to us that is a disk that refuses.
        let done = catch_unwind(AssertUnwindSafe(|| {
            let mut writer = self.wal.begin_entry()?;
            writer.write_chunk(entry)?;
            writer.commit().map(drop)
        }));
        done.unwrap_or_else(|_| Err(io::Error::other("the log could not take the entry")))?;
        self.written += entry.len() as u64;
        Ok(())
    }

    /// Says that an entry is synced. A mark that is lost or torn only says less.
    fn mark(&mut self, number: u64) {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.extend(sum_of(&bytes).to_le_bytes());
        if let Err(e) = self.mark.write_all_at(&bytes, 0) {
            log::info!("cache: The mark was not written: {e}.");
        }
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        drop(self.wal.clone().shutdown());
    }
}

/// The logs of a folder, the newest last.
fn logs(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let number = |path: PathBuf| {
        let number = path
            .file_name()?
            .to_str()?
            .strip_prefix(LOG)?
            .parse()
            .ok()?;
        Some((number, path))
    };
    let mut logs: Vec<_> = fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter_map(|entry| number(entry.path()))
        .collect();
    logs.sort();
    Ok(logs)
}

/// Files of the format before this one.
fn is_of_001(name: &str) -> bool {
    name.starts_with("wal-")
}

impl Files {
    pub fn load(folder: &Path) -> Files {
        let names = fs::read_dir(folder)
            .into_iter()
            .flatten()
            .filter_map(Result::ok);
        let of_001 = names
            .into_iter()
            .any(|entry| is_of_001(&entry.file_name().to_string_lossy()));
        let mut unreadable = Vec::new();
        let mut file = |path: PathBuf| match fs::read(&path) {
            Ok(bytes) => Some(bytes),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => {
                let name = path.strip_prefix(folder).unwrap_or(&path);
                unreadable.push(format!("{}: {e}", name.display()));
                None
            }
        };
        // In this order a folder that is written meanwhile is read as whole: a mark never says more than a log that is read
        // after it.
        let mark = file(folder.join(MARK));
        let mut snapshot = file(folder.join(SNAPSHOT));
        loop {
            let held = snapshot.as_deref().and_then(number_of);
            // The snapshot's own log; without either, the newest says what there was.
            let mut logs = logs(folder).unwrap_or_default();
            let own = logs.iter().position(|(number, _)| Some(*number) == held);
            let log = own.map(|at| logs.swap_remove(at)).or_else(|| logs.pop());
            let (log_of, log) = log.map_or((0, None), |(number, path)| {
                (number, file(path.join("wal-1")))
            });
            // Another one, if it was folded meanwhile.
            let again = file(folder.join(SNAPSHOT));
            if again == snapshot {
                return Files {
                    snapshot,
                    log,
                    log_of,
                    mark,
                    of_001,
                    unreadable,
                };
            }
            snapshot = again;
        }
    }

    /// The table, and what of it is lost.
    pub fn read(&self) -> (Table, Damage) {
        let found = self.found();
        (found.table, found.damage)
    }

    /// The number of the last entry known to be synced; 0 if the mark does not say.
    fn marked(&self) -> u64 {
        let (number, sum) = match self
            .mark
            .as_ref()
            .and_then(|mark| mark.split_last_chunk::<4>())
        {
            Some((number, sum)) if Safeguard::SyncedWatermark.is_enabled() => (number, sum),
            _ => return 0,
        };
        let number = number
            .try_into()
            .ok()
            .filter(|_| sum_of(number) == u32::from_le_bytes(*sum));
        number.map_or(0, u64::from_le_bytes)
    }

    fn found(&self) -> Found {
        let mut found = Found {
            table: Table::new(),
            last: 0,
            damage: Damage::default(),
        };
        self.unreadable
            .iter()
            .for_each(|place| found.damage.entries(place.clone()));
        let mark = self.marked();
        let begins = self.log.as_deref().and_then(begins_after);
        match (&self.snapshot, &self.log) {
            (None, None) => {
                if mark > 0 {
                    found.damage.entries(format!(
                        "state: the snapshot is missing, entry {mark} had been synced"
                    ));
                } else if self.log_of > FIRST {
                    found.damage.entries(format!(
                        "state: the snapshot is missing beside log-{}",
                        self.log_of
                    ));
                } else if self.of_001 {
                    found.damage.entries(
                        "state: the snapshot is missing beside a log of format 001".into(),
                    );
                }
            }
            // The first start ended before its snapshot was there.
            (None, Some(log)) if self.log_of == FIRST && mark <= FIRST && is_begun(log) => {
                return found
            }
            (None, Some(_)) => found
                .damage
                .entries("state: the snapshot is missing".into()),
            (Some(bytes), _) => found.snapshot(bytes),
        }
        let held = found.last;
        match (&self.log, begins) {
            (None, _) if self.snapshot.is_none() => {}
            (None, _) => found.damage.entries("log: the file is missing".into()),
            (Some(_), None) => found
                .damage
                .entries("log at 0: its first entry is damaged or of another version".into()),
            (Some(log), Some(begins)) => {
                let known = self.snapshot.is_some() && found.damage.is_none();
                if begins != held && known && Safeguard::ContiguousEntries.is_enabled() {
                    let older = if begins > held { "state" } else { "log" };
                    found.damage.entries(format!(
                        "{older}: the snapshot is of entry {held}, and the log begins after {begins}: it is an older one"
                    ));
                }
                found.last = begins.max(held);
                found.log(log, mark);
            }
        }
        if mark > found.last {
            let from = found.last + 1;
            found.damage.entries(format!(
                "log: entries {from} to {mark} had been synced and are not there"
            ));
            found.last = mark;
        }
        found
    }
}

/// The snapshot's number, if its head is sound.
fn number_of(snapshot: &[u8]) -> Option<u64> {
    Some(Frame::read(snapshot.strip_prefix(SNAPSHOT_MAGIC)?)?.number)
}

/// The number that a log begins after: of its first entry, which has no records.
fn begins_after(log: &[u8]) -> Option<u64> {
    let (at, first) = Frame::find(log, 0, 0)?;
    (at < OKAYWAL_BYTES && first.parts.is_empty()).then_some(first.number)
}

/// Whether nothing but its beginning was ever written to a log, and that perhaps not whole.
fn is_begun(log: &[u8]) -> bool {
    let end = Frame::find(log, 0, 0).map_or(0, |(at, first)| at + first.length);
    is_blank(log.get(end + OKAYWAL_BYTES..).unwrap_or_default())
}

fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|&byte| byte == 0)
}

impl Found {
    fn snapshot(&mut self, bytes: &[u8]) {
        let Some(rest) = bytes.strip_prefix(SNAPSHOT_MAGIC) else {
            let said = match bytes.get(..SNAPSHOT_MAGIC.len()).filter(|magic| magic.starts_with(b"BCHUT")) {
                Some(magic) => format!(
                    "state at 0: the snapshot is damaged or of another version of the program: format {}",
                    magic.escape_ascii()
                ),
                None => "state at 0: the snapshot is damaged: it does not begin as one".into(),
            };
            return self.damage.entries(said);
        };
        match Frame::read(rest) {
            Some(frame) => {
                self.take(
                    "state",
                    "the snapshot is damaged",
                    SNAPSHOT_MAGIC.len(),
                    rest,
                    frame,
                );
            }
            None => self.damage.entries(format!(
                "state at {}: the snapshot is damaged",
                SNAPSHOT_MAGIC.len()
            )),
        }
    }

    /// Takes the log's entries. Between them stand bytes of okaywal's own.
    fn log(&mut self, log: &[u8], mark: u64) {
        let mut at = 0;
        while let Some((place, frame)) = Frame::find(log, at, self.last) {
            let (next, end) = (
                self.last + 1,
                place.saturating_add(frame.length).min(log.len()),
            );
            if frame.number > next && Safeguard::ContiguousEntries.is_enabled() {
                let to = frame.number - 1;
                self.damage
                    .entries(format!("log at {at}: entries {next} to {to} are damaged"));
            }
            if !frame.parts.iter().all(|part| part.sound) && frame.number > mark {
                let later = Frame::find(log, end, frame.number);
                if later
                    .filter(|_| Safeguard::ContiguousEntries.is_enabled())
                    .is_none()
                {
                    break;
                }
            }
            self.take("log", "the entry is damaged", place, &log[place..], frame);
            at = end;
        }
        let next = self.last + 1;
        if mark > self.last {
            self.damage
                .entries(format!("log at {at}: entries {next} to {mark} are damaged"));
            self.last = mark;
        } else if !is_blank(log.get(at + OKAYWAL_BYTES..).unwrap_or_default()) {
            log::info!(
                "cache: The log ends torn behind byte {at}: entry {next} was never acknowledged."
            );
        }
    }

    fn take(&mut self, file: &str, said: &str, at: usize, bytes: &[u8], frame: Frame) {
        self.last = frame.number;
        for part in frame.parts {
            if part.sound {
                self.damage.written(&part.name);
                self.table.insert(part.name, bytes[part.at].to_vec());
            } else {
                let (at, number, name) = (at + part.at.start, frame.number, &part.name);
                self.damage.record(
                    format!("{file} at {at}: {said}: record {name} of entry {number}"),
                    name,
                );
                self.table.remove(&part.name);
            }
        }
    }
}
