//! The only place of the system that writes disk: a small table of records, kept by a log and a snapshot.
//!
//! Files in the folder (`docs/operators/system.md` states every byte): `state`, the snapshot; `log`, the entries since;
//! `mark`, the number of the last entry that was synced. Entries are numbered without gaps, and one is written only once
//! the one before it is synced. So what cannot be read is told apart: an end beyond the mark, with nothing readable
//! behind it, was never acknowledged, and is cut off (a torn end); all else was, and is damage.
//!
//! The mark is not synced itself: it outlasts the process, and a loss of power half a minute later. What stays: power is
//! lost, and of the very last entry a byte is damaged as well before the mark has lasted. Nothing that costs less than a
//! second sync of each entry tells that from a torn end.
//!
//! Opening and compaction do the same: a new snapshot beside the old one, synced, renamed, the folder synced, and the
//! same for an empty log. A log that begins before its snapshot's number is one whose replacement did not last: all of it
//! is in the snapshot. One that begins after it has lost its snapshot.

mod damage;
mod frame;

pub use damage::Damage;

use beechcroft_railing::{stands, Guard};
use frame::{sum_of, Frame};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const SNAPSHOT_MAGIC: &[u8; 8] = b"BCHUT002";
const LOG_MAGIC: &[u8; 8] = b"BCLOG002";
const SNAPSHOT: &str = "state";
const LOG: &str = "log";
const MARK: &str = "mark";
/// The log's magic, the number it begins after, and their checksum.
const LOG_HEAD: usize = 20;
/// Bytes of log after which it is folded into the snapshot.
const FOLD_BYTES: u64 = 4 << 20;
/// The log is laid out in zeros so far ahead: a sync then has no length to change.
const AHEAD_BYTES: u64 = 128 << 10;
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
    file: File,
    mark: File,
    end: u64,
    laid_out: u64,
}

/// A folder's files, as they are read.
#[derive(Clone, Debug, Default)]
pub struct Files {
    pub snapshot: Option<Vec<u8>>,
    pub log: Option<Vec<u8>>,
    pub mark: Option<Vec<u8>>,
    /// A log of the format before this one is there.
    pub of_001: bool,
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
        let found = Files::load(folder)?.found();
        if !found.damage.is_none() {
            return Err(io::Error::new(ErrorKind::InvalidData, found.damage.to_string()));
        }
        Cache::begin(folder, found)
    }

    /// Opens a folder whatever is in it. `repair` is told of damage and makes the table such that it may be gone by; what
    /// it makes is on disk before this returns. The damaged files are kept beside.
    pub fn open_repaired(folder: &Path, repair: impl FnOnce(&Damage, &mut Table)) -> io::Result<Cache> {
        let mut found = Files::load(folder)?.found();
        if !found.damage.is_none() {
            for name in [SNAPSHOT, LOG] {
                // Only for a person who looks into it.
                let _ = fs::copy(folder.join(name), folder.join(format!("{name}.damaged")));
            }
            repair(&found.damage, &mut found.table);
        }
        Cache::begin(folder, found)
    }

    fn begin(folder: &Path, found: Found) -> io::Result<Cache> {
        fs::create_dir_all(folder)?;
        let Found { table, last, .. } = found;
        let mut cache = Cache { folder: folder.to_owned(), table, last, log: None };
        cache.fold()?;
        for old in fs::read_dir(folder)?.filter_map(Result::ok) {
            if is_of_001(&old.file_name().to_string_lossy()) {
                fs::remove_file(old.path())?;
            }
        }
        Ok(cache)
    }

    /// Reads a folder and changes nothing in it.
    pub fn peek(folder: &Path) -> io::Result<(Table, Damage)> {
        Ok(Files::load(folder)?.read())
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Keeps records; once it returns they outlast a loss of power. One sync for all of them. After an error none of
    /// them is in the table, and on disk are all of them or none.
    pub fn write(&mut self, records: &[(String, Vec<u8>)]) -> io::Result<()> {
        if self.log.as_ref().is_none_or(|log| log.end > FOLD_BYTES) {
            self.fold()?;
        }
        let log = self.log.as_mut().ok_or_else(|| io::Error::other("the log is closed"))?;
        self.last += 1;
        let entry = frame::write(self.last, records.iter().map(|(name, value)| (&name[..], &value[..])));
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

    /// Writes the table as a snapshot and starts an empty log.
    fn fold(&mut self) -> io::Result<()> {
        self.log = None;
        // Above all that the log may hold: it begins before its snapshot from here on.
        self.last += 1;
        let records = self.table.iter().map(|(name, value)| (&name[..], &value[..]));
        let snapshot = [&SNAPSHOT_MAGIC[..], &frame::write(self.last, records)].concat();
        let mut empty = [&LOG_MAGIC[..], &self.last.to_le_bytes()].concat();
        empty.extend(sum_of(&empty).to_le_bytes());
        empty.resize(AHEAD_BYTES as usize, 0);
        // A snapshot never stands without a log: without one, nobody would know what has come since.
        if self.folder.join(LOG).exists() {
            self.replace(SNAPSHOT, &snapshot)?;
            self.replace(LOG, &empty)?;
        } else {
            self.replace(LOG, &empty)?;
            self.replace(SNAPSHOT, &snapshot)?;
        }
        let file = File::options().write(true).open(self.folder.join(LOG))?;
        let mark = File::options().create(true).truncate(false).write(true).open(self.folder.join(MARK))?;
        let mut log = Log { file, mark, end: LOG_HEAD as u64, laid_out: AHEAD_BYTES };
        log.mark(self.last);
        self.log = Some(log);
        Ok(())
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
    fn append(&mut self, entry: &[u8]) -> io::Result<()> {
        let end = self.end + entry.len() as u64;
        if end > self.laid_out {
            let to = end.next_multiple_of(AHEAD_BYTES);
            self.file.write_all_at(&vec![0; (to - self.laid_out) as usize], self.laid_out)?;
            self.laid_out = to;
        }
        self.file.write_all_at(entry, self.end)?;
        self.file.sync_data()?;
        self.end = end;
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

/// Files of the format before this one.
fn is_of_001(name: &str) -> bool {
    name.starts_with("wal-")
}

fn file(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(name)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(io::Error::new(e.kind(), format!("{name}: {e}"))),
    }
}

impl Files {
    pub fn load(folder: &Path) -> io::Result<Files> {
        let names = fs::read_dir(folder).into_iter().flatten().filter_map(Result::ok);
        let of_001 = names.into_iter().any(|entry| is_of_001(&entry.file_name().to_string_lossy()));
        let (snapshot, log, mark) = (file(folder, SNAPSHOT)?, file(folder, LOG)?, file(folder, MARK)?);
        Ok(Files { snapshot, log, mark, of_001 })
    }

    /// The table, and what of it is lost.
    pub fn read(&self) -> (Table, Damage) {
        let found = self.found();
        (found.table, found.damage)
    }

    /// The number of the last entry known to be synced; 0 if the mark does not say.
    fn marked(&self) -> u64 {
        let (number, sum) = match self.mark.as_ref().and_then(|mark| mark.split_last_chunk::<4>()) {
            Some((number, sum)) if stands(Guard::SyncedMark) => (number, sum),
            _ => return 0,
        };
        let number = number.try_into().ok().filter(|_| sum_of(number) == u32::from_le_bytes(*sum));
        number.map_or(0, u64::from_le_bytes)
    }

    fn found(&self) -> Found {
        let mut found = Found { table: Table::new(), last: 0, damage: Damage::default() };
        let mark = self.marked();
        let begins = self.log.as_deref().and_then(begins_after);
        match (&self.snapshot, &self.log) {
            (None, None) => {
                if mark > 0 {
                    found
                        .damage
                        .entries(format!("state: the snapshot is missing, entry {mark} had been synced"));
                } else if self.of_001 {
                    found.damage.entries("state: the snapshot is missing beside a log of format 001".into());
                }
            }
            // The first start ended between its log and its snapshot.
            (None, Some(log)) if begins == Some(FIRST) && mark <= FIRST && is_blank(&log[LOG_HEAD..]) => {}
            (None, Some(_)) => found.damage.entries("state: the snapshot is missing".into()),
            (Some(bytes), _) => found.snapshot(bytes),
        }
        let held = found.last;
        match (&self.log, begins) {
            (None, _) if self.snapshot.is_none() => {}
            (None, _) => found.damage.entries("log: the file is missing".into()),
            (Some(_), None) => {
                found.damage.entries("log at 0: the head is damaged or of another version".into())
            }
            // All of it is in the snapshot.
            (Some(_), Some(begins)) if self.snapshot.is_some() && begins < held => {}
            (Some(log), Some(begins)) => {
                if begins > held
                    && self.snapshot.is_some()
                    && found.damage.is_none()
                    && stands(Guard::EntriesWithoutGaps)
                {
                    found.damage.entries(format!(
                        "state: the snapshot is of entry {held}, and the log begins after {begins}: it is an older one"
                    ));
                }
                found.last = begins;
                found.log(log, mark);
            }
        }
        if mark > found.last {
            let from = found.last + 1;
            found.damage.entries(format!("log: entries {from} to {mark} had been synced and are not there"));
            found.last = mark;
        }
        found
    }
}

fn begins_after(log: &[u8]) -> Option<u64> {
    let (head, sum) = log.get(..LOG_HEAD)?.split_last_chunk::<4>()?;
    let number = head.strip_prefix(LOG_MAGIC)?.try_into().ok()?;
    (sum_of(head) == u32::from_le_bytes(*sum)).then(|| u64::from_le_bytes(number))
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
                self.take("state", "the snapshot is damaged", SNAPSHOT_MAGIC.len(), rest, frame);
            }
            None => {
                self.damage.entries(format!("state at {}: the snapshot is damaged", SNAPSHOT_MAGIC.len()))
            }
        }
    }

    /// Takes the log's entries.
    fn log(&mut self, log: &[u8], mark: u64) {
        let mut at = LOG_HEAD;
        while at < log.len() && !(log[at] == 0 && is_blank(&log[at..])) {
            let next = self.last + 1;
            let frame = Frame::read(&log[at..]).filter(|frame| frame.number == next);
            let (length, sound) =
                frame.as_ref().map_or((1, false), |f| (f.length, f.parts.iter().all(|part| part.sound)));
            if !sound {
                let later = Frame::find(log, at.saturating_add(length).min(log.len()), next);
                let later = later.filter(|_| stands(Guard::EntriesWithoutGaps));
                if later.is_none() && next > mark {
                    log::info!("cache: The log ends torn at byte {at}: entry {next} was never acknowledged.");
                    return;
                }
                match (frame, later) {
                    (Some(frame), _) => {
                        self.take("log", "the entry is damaged", at, &log[at..], frame);
                        at = at.saturating_add(length);
                    }
                    (None, Some((place, later))) => {
                        let to = later.number - 1;
                        self.damage.entries(format!("log at {at}: entries {next} to {to} are damaged"));
                        (at, self.last) = (place, to);
                    }
                    (None, None) => {
                        self.damage.entries(format!("log at {at}: entries {next} to {mark} are damaged"));
                        self.last = mark;
                        return;
                    }
                }
            } else if let Some(frame) = frame {
                self.take("log", "", at, &log[at..], frame);
                at += length;
            }
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
                self.damage.record(format!("{file} at {at}: {said}: record {name} of entry {number}"), name);
                self.table.remove(&part.name);
            }
        }
    }
}
