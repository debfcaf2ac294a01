//! The only place of the system that writes disk: a small table of records, kept by okaywal and a snapshot.
//!
//! Files in the folder (`docs/operators/system.md` states every byte): `state`, the snapshot, and okaywal's
//! `wal-N`. Each record written carries a number that rises; a snapshot says up to which number it holds them.
//! Opening and compaction do the same: read the snapshot, read the log's records after it, write a new
//! snapshot beside the old one, sync it, rename it, sync the folder, and only then start an empty log. So the
//! log never grows behind a torn end, and a crash between any two steps leaves one whole table.

use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

const MAGIC: &[u8; 8] = b"BCHUT001";
const SNAPSHOT: &str = "state";
const BESIDE: &str = "state-new";
/// Bytes of log after which it is folded into the snapshot.
const FOLD_BYTES: usize = 4 << 20;

/// The table: what is kept under each name.
pub type Table = BTreeMap<String, Vec<u8>>;

pub struct Cache {
    folder: PathBuf,
    table: Table,
    /// Number of the last record.
    last: u64,
    wal: Option<WriteAheadLog>,
    written: usize,
}

/// Takes the log's records in order; whatever cannot be read whole was never acknowledged, and ends it.
#[derive(Debug, Default)]
struct Reader {
    records: Arc<Mutex<Vec<Vec<u8>>>>,
    torn: bool,
}

impl LogManager for Reader {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        if self.torn {
            return Ok(());
        }
        match entry.read_all_chunks() {
            Ok(Some(chunks)) => self.records.lock().expect("one thread").extend(chunks),
            Ok(None) | Err(_) => self.torn = true,
        }
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> io::Result<()> {
        Ok(())
    }
}

impl Cache {
    /// Opens a folder. An empty one gives an empty table.
    pub fn open(folder: &Path) -> io::Result<Cache> {
        fs::create_dir_all(folder)?;
        let mut cache =
            Cache { folder: folder.to_owned(), table: Table::new(), last: 0, wal: None, written: 0 };
        cache.read_snapshot()?;
        cache.read_log();
        cache.fold()?;
        Ok(cache)
    }

    /// Reads a folder and changes nothing in it.
    pub fn peek(folder: &Path) -> io::Result<Table> {
        let mut cache =
            Cache { folder: folder.to_owned(), table: Table::new(), last: 0, wal: None, written: 0 };
        cache.read_snapshot()?;
        let copy = folder.join("peek");
        fs::create_dir_all(&copy)?;
        for path in cache.logs()? {
            fs::copy(&path, copy.join(path.file_name().unwrap_or_default()))?;
        }
        let folder = std::mem::replace(&mut cache.folder, copy.clone());
        cache.read_log();
        cache.folder = folder;
        fs::remove_dir_all(&copy)?;
        Ok(cache.table)
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Keeps records; once it returns they outlast a loss of power. One sync for all of them.
    pub fn write(&mut self, records: &[(String, Vec<u8>)]) -> io::Result<()> {
        if self.wal.is_none() || self.written > FOLD_BYTES {
            self.fold()?;
        }
        if let Err(e) = self.append(records) {
            // Nothing may be written behind what may have torn.
            self.wal = None;
            return Err(e);
        }
        for (name, value) in records {
            self.table.insert(name.clone(), value.clone());
        }
        Ok(())
    }

    fn append(&mut self, records: &[(String, Vec<u8>)]) -> io::Result<()> {
        let wal = self.wal.as_ref().ok_or_else(|| io::Error::other("the log is closed"))?;
        let mut entry = wal.begin_entry()?;
        for (name, value) in records {
            self.last += 1;
            let record = encode(self.last, name, value);
            self.written += record.len();
            entry.write_chunk(&record)?;
        }
        entry.commit()?;
        Ok(())
    }

    fn read_snapshot(&mut self) -> io::Result<()> {
        let bytes = match fs::read(self.folder.join(SNAPSHOT)) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
            Err(e) => return Err(e),
        };
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "state: the snapshot is damaged");
        let rest = bytes.strip_prefix(MAGIC).ok_or_else(damaged)?;
        let (sum, rest) = rest.split_first_chunk::<4>().ok_or_else(damaged)?;
        if sum_of(rest) != u32::from_le_bytes(*sum) {
            return Err(damaged());
        }
        let (last, mut rest) = rest.split_first_chunk::<8>().ok_or_else(damaged)?;
        self.last = u64::from_le_bytes(*last);
        while !rest.is_empty() {
            let (length, after) = rest.split_first_chunk::<4>().ok_or_else(damaged)?;
            let record = after.get(..u32::from_le_bytes(*length) as usize).ok_or_else(damaged)?;
            let (_, name, value) = decode(record).ok_or_else(damaged)?;
            self.table.insert(name, value);
            rest = &after[record.len()..];
        }
        Ok(())
    }

    /// Takes what the log holds beyond the snapshot.
    fn read_log(&mut self) {
        let reader = Reader::default();
        let records = reader.records.clone();
        // An error here is a torn end: all that was synced has been handed over before it.
        match config(&self.folder).open(reader) {
            Ok(wal) => drop(wal.shutdown()),
            Err(e) => log::info!("cache: The log ends torn: {e}."),
        }
        for record in records.lock().expect("one thread").iter() {
            if let Some((number, name, value)) = decode(record).filter(|&(number, ..)| number > self.last) {
                self.last = number;
                self.table.insert(name, value);
            }
        }
    }

    fn logs(&self) -> io::Result<Vec<PathBuf>> {
        let entries = fs::read_dir(&self.folder)?.filter_map(Result::ok).map(|entry| entry.path());
        Ok(entries
            .filter(|p| p.file_name().is_some_and(|n| n.to_string_lossy().starts_with("wal-")))
            .collect())
    }

    /// Writes the table as a snapshot and starts an empty log.
    fn fold(&mut self) -> io::Result<()> {
        if let Some(wal) = self.wal.take() {
            drop(wal.shutdown());
        }
        let mut body = self.last.to_le_bytes().to_vec();
        for (name, value) in &self.table {
            let record = encode(0, name, value);
            body.extend((record.len() as u32).to_le_bytes());
            body.extend(record);
        }
        let beside = self.folder.join(BESIDE);
        let mut file = File::create(&beside)?;
        file.write_all(MAGIC)?;
        file.write_all(&sum_of(&body).to_le_bytes())?;
        file.write_all(&body)?;
        file.sync_all()?;
        drop(file);
        fs::rename(&beside, self.folder.join(SNAPSHOT))?;
        File::open(&self.folder)?.sync_all()?;
        for old in self.logs()? {
            fs::remove_file(old)?;
        }
        self.written = 0;
        self.wal = Some(config(&self.folder).open(Reader::default())?);
        Ok(())
    }
}

fn config(folder: &Path) -> Configuration {
    // Folding is ours, so okaywal is never to check-point by itself.
    Configuration::default_for(folder)
        .preallocate_bytes(128 << 10)
        .checkpoint_after_bytes(u64::MAX)
        .buffer_bytes(8 << 10)
}

fn encode(number: u64, name: &str, value: &[u8]) -> Vec<u8> {
    let mut record = number.to_le_bytes().to_vec();
    record.push(name.len() as u8);
    record.extend(name.as_bytes());
    record.extend(value);
    record.extend(sum_of(&record).to_le_bytes());
    record
}

fn decode(record: &[u8]) -> Option<(u64, String, Vec<u8>)> {
    let (body, sum) = record.split_last_chunk::<4>()?;
    if sum_of(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    let (number, rest) = body.split_first_chunk::<8>()?;
    let (&length, rest) = rest.split_first()?;
    let name = String::from_utf8(rest.get(..usize::from(length))?.to_vec()).ok()?;
    Some((u64::from_le_bytes(*number), name, rest[usize::from(length)..].to_vec()))
}

/// CRC-32C, as okaywal uses for its chunks.
fn sum_of(bytes: &[u8]) -> u32 {
    crc32c::crc32c(bytes)
}
