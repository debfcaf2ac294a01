//! Changes to synced files. Each loss must be reported as corruption: a record that the corruption does not affect must
//! have the value that was written last.

use beechcroft_safeguards::{disable, Safeguard};
use beechcroft_storage::{Corruption, FolderContents, RecordStore, Table};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

const FILES: [&str; 3] = ["state", "log", "mark"];

fn file(files: &mut FolderContents, nth: usize) -> &mut Option<Vec<u8>> {
    match nth {
        0 => &mut files.snapshot,
        1 => &mut files.log,
        _ => &mut files.watermark,
    }
}

/// The path of a folder's log file.
fn log_file(folder: &Path) -> PathBuf {
    let mut paths = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let folder = paths
        .find(|path| {
            path.file_name()
                .unwrap()
                .to_string_lossy()
                .starts_with("log-")
        })
        .unwrap();
    folder.join("wal-1")
}

fn write(store: &mut RecordStore, records: &[(&str, &str)]) {
    let records = records
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.as_bytes().to_vec()));
    store.write(&records.collect::<Vec<_>>()).unwrap();
}

/// A folder with records only in the snapshot, only in the log, and in both.
fn folder() -> (TempDir, Table) {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    write(
        &mut store,
        &[("identity", "who votes"), ("units", "before")],
    );
    write(
        &mut store,
        &[
            ("register-0", "an older value"),
            ("chosen-0", "an older one"),
        ],
    );
    drop(store);
    let mut store = RecordStore::open(folder.path()).unwrap();
    write(
        &mut store,
        &[("register-0", "promised"), ("register-1", "promised")],
    );
    write(&mut store, &[("register-0", "accepted")]);
    write(&mut store, &[("chosen-0", "accepted"), ("units", "after")]);
    write(&mut store, &[("register-1", "accepted")]);
    // Keeps only a little of the preallocated zeros, so that each read is faster.
    let bytes = fs::read(log_file(folder.path())).unwrap();
    fs::write(log_file(folder.path()), &bytes[..used(&bytes) + 600]).unwrap();
    (folder, store.table().clone())
}

fn used(bytes: &[u8]) -> usize {
    bytes
        .iter()
        .rposition(|&byte| byte != 0)
        .map_or(0, |last| last + 1)
}

/// Checks that each record that the corruption does not affect has its expected value, and that no record is affected
/// without a reported fault. `change` describes what was done to the files.
fn check_records(
    files: &FolderContents,
    expected: &Table,
    change: &str,
) -> Result<Corruption, String> {
    let (table, corruption) = files.read();
    for name in [
        "identity",
        "register-0",
        "register-1",
        "chosen-0",
        "units",
        "members",
    ] {
        if !corruption.affects(name) && table.get(name) != expected.get(name) {
            let text = table
                .get(name)
                .map(|value| String::from_utf8_lossy(value).into_owned());
            return Err(format!(
                "{change}: silent loss: {name} is {text:?} ({corruption})"
            ));
        }
        if corruption.affects(name) && corruption.is_empty() {
            return Err(format!(
                "{change}: {name} is affected, but no fault is reported"
            ));
        }
    }
    Ok(corruption)
}

/// Changes each file in many ways and returns how many changes were tried and how many were reported, or the first
/// change with a silent loss.
fn each_change() -> Result<(usize, usize), String> {
    let (folder, expected) = folder();
    each_change_of(&FolderContents::load(folder.path()), &expected, usize::MAX)
}

/// The same after a loss of power in which the watermark was lost, for all bytes before the last entry.
fn each_change_before_the_last_entry() -> Result<(usize, usize), String> {
    let (folder, expected) = folder();
    let files = FolderContents {
        watermark: None,
        ..FolderContents::load(folder.path())
    };
    let log = files.log.as_ref().unwrap();
    let last = log
        .windows(10)
        .rposition(|window| window == b"register-1")
        .unwrap()
        - 20;
    each_change_of(&files, &expected, last)
}

/// Leaves the log unchanged from the offset `until` on.
fn each_change_of(
    intact: &FolderContents,
    expected: &Table,
    until: usize,
) -> Result<(usize, usize), String> {
    let (mut tried, mut reported) = (0, 0);
    for (nth, name) in FILES.iter().enumerate() {
        let Some(bytes) = file(&mut intact.clone(), nth).clone() else {
            continue;
        };
        let is_whole_file = until == usize::MAX || *name != "log";
        let until = if is_whole_file { bytes.len() } else { until };
        let mut check = |changed: Option<Vec<u8>>, change: &str| {
            let mut files = intact.clone();
            *file(&mut files, nth) = changed;
            tried += 1;
            check_records(&files, expected, change)
                .map(|corruption| reported += usize::from(!corruption.is_empty()))
        };
        for at in 0..until {
            for flip in [0x01, 0x02, 0x40, 0xff] {
                let mut changed = bytes.clone();
                changed[at] ^= flip;
                check(
                    Some(changed),
                    &format!("{name}: byte {at} flipped by {flip:x}"),
                )?;
            }
            if is_whole_file {
                check(
                    Some(bytes[..at].to_vec()),
                    &format!("{name}: cut short at {at}"),
                )?;
            }
            for length in [2, 5, 16, 64, 512] {
                let end = (at + length).min(until);
                for fill in [0, 0xff, 2] {
                    let mut changed = bytes.clone();
                    changed[at..end].fill(fill);
                    check(
                        Some(changed),
                        &format!("{name}: {fill:x} from {at} to {end}"),
                    )?;
                }
            }
        }
        check(None, &format!("{name} is missing"))?;
    }
    Ok((tried, reported))
}

#[test]
fn every_change_of_one_file_is_reported_or_harmless() {
    let (tried, reported) = each_change().unwrap();
    println!("{tried} changes, {reported} of them reported");
    // Half of the log is preallocated space, where changes are harmless.
    assert!(reported > tried / 3, "{reported} of {tried}");
}

#[test]
fn without_the_watermark_corruption_at_the_end_passes_for_a_torn_write() {
    let _disabled = disable(Some(Safeguard::SyncedWatermark));
    let error = each_change().unwrap_err();
    assert!(error.contains("silent loss"), "{error}");
}

#[test]
fn after_losing_the_watermark_corruption_before_the_last_entry_is_still_reported() {
    let (tried, reported) = each_change_before_the_last_entry().unwrap();
    println!("{tried} changes, {reported} of them reported");
    assert!(reported > tried / 2, "{reported} of {tried}");
    let _disabled = disable(Some(Safeguard::ContiguousEntries));
    let error = each_change_before_the_last_entry().unwrap_err();
    assert!(error.contains("silent loss"), "{error}");
}

/// Copies the folder before each write, then combines one file of each copy with the newest other files. Returns how
/// many combinations were reported, or the first with a silent loss.
fn each_older_file() -> Result<usize, String> {
    let folder = TempDir::new().unwrap();
    let mut copies = Vec::new();
    let mut expected = Table::new();
    for round in 0..4 {
        let mut store = RecordStore::open(folder.path()).unwrap();
        for nth in 0..3 {
            copies.push(FolderContents::load(folder.path()));
            write(&mut store, &[("register-0", &format!("{round} {nth}"))]);
            if nth == 1 {
                write(&mut store, &[("identity", &format!("{round}"))]);
            }
        }
        expected = store.table().clone();
    }
    let newest = FolderContents::load(folder.path());
    let mut reported = 0;
    for (nth, copy) in copies.iter().enumerate() {
        for (at, name) in FILES.iter().enumerate() {
            let mut files = newest.clone();
            *file(&mut files, at) = file(&mut copy.clone(), at).clone();
            let corruption =
                check_records(&files, &expected, &format!("{name} is the copy {nth}"))?;
            reported += usize::from(!corruption.is_empty());
        }
    }
    Ok(reported)
}

#[test]
fn a_stale_copy_of_one_file_is_reported_or_harmless() {
    assert!(each_older_file().unwrap() > 10);
}

#[test]
fn without_the_watermark_a_stale_copy_is_used() {
    let _disabled = disable(Some(Safeguard::SyncedWatermark));
    let error = each_older_file().unwrap_err();
    assert!(error.contains("silent loss"), "{error}");
}

#[test]
fn a_stale_snapshot_is_reported_even_without_the_watermark() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    write(&mut store, &[("register-0", "an older value")]);
    drop(RecordStore::open(folder.path()).unwrap());
    let older = fs::read(folder.path().join("state")).unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    write(&mut store, &[("register-0", "promised")]);
    drop(RecordStore::open(folder.path()).unwrap());
    fs::write(folder.path().join("state"), older).unwrap();
    fs::remove_file(folder.path().join("mark")).unwrap();
    let error = RecordStore::open(folder.path())
        .err()
        .expect("a stale snapshot is an error")
        .to_string();
    assert!(error.contains("stale copy"), "{error}");
    let _disabled = disable(Some(Safeguard::ContiguousEntries));
    assert_eq!(
        RecordStore::open(folder.path()).unwrap().table()["register-0"],
        b"an older value"
    );
}

#[test]
fn random_changes_of_many_bytes_are_reported_or_harmless() {
    let (folder, expected) = folder();
    let intact = FolderContents::load(folder.path());
    bolero::check!()
        .with_type::<(u8, Vec<(u16, u8)>)>()
        .with_iterations(20_000)
        .for_each(|(nth, changes)| {
            let mut files = intact.clone();
            let bytes = file(&mut files, usize::from(nth % 3)).as_mut().unwrap();
            for &(offset, value) in changes {
                let offset = usize::from(offset) % bytes.len();
                bytes[offset] = value;
            }
            check_records(&files, &expected, FILES[usize::from(nth % 3)]).unwrap();
        });
}

#[test]
fn a_fault_is_reported_with_file_offset_and_record() {
    let (folder, _) = folder();
    let path = log_file(folder.path());
    let mut bytes = fs::read(&path).unwrap();
    let at = bytes
        .windows(5)
        .position(|window| window == b"after")
        .unwrap();
    bytes[at] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let (table, corruption) = RecordStore::peek(folder.path());
    let error = corruption.to_string();
    assert!(
        error.contains(&format!("log at {at}: ")) && error.contains("record units of entry"),
        "{error}"
    );
    // The other record of the entry and the entries before and after it are not affected.
    assert!(
        corruption.affects("units")
            && !corruption.affects("chosen-0")
            && !corruption.affects("register-1")
            && !corruption.affects("identity")
    );
    assert_eq!(
        table.get("units"),
        None,
        "an older value must not be returned"
    );
    assert_eq!(
        RecordStore::open(folder.path())
            .err()
            .map(|e| e.to_string()),
        Some(error)
    );
}

#[test]
fn records_written_after_a_lost_entry_are_not_affected() {
    let (folder, _) = folder();
    let path = log_file(folder.path());
    let mut bytes = fs::read(&path).unwrap();
    let at = bytes
        .windows(8)
        .position(|window| window == b"promised")
        .unwrap();
    bytes[at - 30..at + 8].fill(0xee);
    fs::write(&path, &bytes).unwrap();
    let (table, corruption) = RecordStore::peek(folder.path());
    assert!(!corruption.is_empty(), "an entry is lost");
    assert_eq!(table["register-0"], b"accepted");
    assert!(
        !corruption.affects("register-0") && !corruption.affects("register-1"),
        "both were written since: {corruption}"
    );
    assert!(
        corruption.affects("identity") && corruption.affects("members"),
        "the lost entry may have contained them: {corruption}"
    );
}

#[test]
fn a_folder_of_another_format_version_is_rejected() {
    let folder = TempDir::new().unwrap();
    fs::write(
        folder.path().join("state"),
        b"BCHUT001\x12\x34\x56\x78 and its records",
    )
    .unwrap();
    fs::write(folder.path().join("wal-1"), b"okw\0\0").unwrap();
    let error = RecordStore::open(folder.path())
        .err()
        .expect("the folder must be rejected")
        .to_string();
    assert!(
        error.contains("another version of the program: format BCHUT001"),
        "{error}"
    );
    assert!(RecordStore::peek(folder.path()).1.affects("identity"));
    fs::remove_file(folder.path().join("state")).unwrap();
    let error = RecordStore::open(folder.path())
        .err()
        .expect("the folder must be rejected")
        .to_string();
    assert!(error.contains("format 001"), "{error}");
}

#[test]
fn an_unreadable_file_is_corruption_and_not_an_empty_folder() {
    for name in ["state", "log-1/wal-1"] {
        let folder = TempDir::new().unwrap();
        fs::create_dir_all(folder.path().join(name)).unwrap();
        let (table, corruption) = RecordStore::peek(folder.path());
        assert!(table.is_empty() && corruption.affects("identity"), "{name}");
        assert!(!corruption.is_empty(), "{name}: {corruption}");
        assert!(RecordStore::open(folder.path()).is_err(), "{name}");
    }
}

#[test]
fn a_folder_that_is_written_during_a_read_shows_no_corruption() {
    // Combines files of different times in the order in which they are read: the watermark, a snapshot, and the log of
    // that snapshot.
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    let mut steps = vec![FolderContents::load(folder.path())];
    for nth in 0..12 {
        write(&mut store, &[("register-0", &nth.to_string())]);
        steps.push(FolderContents::load(folder.path()));
        if nth % 4 == 3 {
            drop(store);
            store = RecordStore::open(folder.path()).unwrap();
            steps.push(FolderContents::load(folder.path()));
        }
    }
    let mut read = 0;
    for (first, watermark) in steps.iter().enumerate() {
        for (second, snapshot) in steps.iter().enumerate().skip(first) {
            for log in steps[second..]
                .iter()
                .filter(|later| later.log_number == snapshot.log_number)
            {
                let (watermark, log, snapshot) = (
                    watermark.watermark.clone(),
                    log.log.clone(),
                    snapshot.snapshot.clone(),
                );
                let (_, corruption) = FolderContents {
                    snapshot,
                    log,
                    watermark,
                    ..FolderContents::default()
                }
                .read();
                assert!(corruption.is_empty(), "{corruption}");
                read += 1;
            }
        }
    }
    assert!(read > 100, "{read}");
}

#[test]
fn a_repair_is_durable_and_copies_of_the_corrupt_files_are_kept() {
    let (folder, _) = folder();
    let path = folder.path().join("state");
    let damaged = fs::read(&path).map(|mut bytes| {
        bytes[10] ^= 1;
        bytes
    });
    fs::write(&path, damaged.as_ref().unwrap()).unwrap();
    let repair = |corruption: &Corruption, table: &mut Table| {
        assert!(corruption.affects("identity"));
        table.insert("identity".into(), b"repaired".to_vec());
    };
    drop(RecordStore::open_repaired(folder.path(), repair).unwrap());
    let again = RecordStore::open(folder.path()).unwrap();
    assert_eq!(again.table()["identity"], b"repaired");
    assert_eq!(
        again.table()["register-0"],
        b"accepted",
        "an intact record must be kept"
    );
    assert_eq!(
        fs::read(folder.path().join("state.damaged")).unwrap(),
        damaged.unwrap()
    );
}

#[test]
fn writes_fail_while_the_folder_is_unavailable_and_succeed_afterwards() {
    let (folder, mut expected) = folder();
    let mut store = RecordStore::open(folder.path()).unwrap();
    let other_folder = TempDir::new().unwrap();
    // The large entry makes the next write compact, which fails while a file is in the folder's place.
    write(&mut store, &[("units", &"x".repeat(5 << 20))]);
    let hidden = other_folder.path().join("hidden");
    fs::rename(folder.path(), &hidden).unwrap();
    fs::write(folder.path(), b"").unwrap();
    for _ in 0..3 {
        let refused = store.write(&[("register-0".into(), b"refused".to_vec())]);
        assert!(refused.is_err());
        assert_eq!(store.table()["register-0"], b"accepted");
    }
    fs::remove_file(folder.path()).unwrap();
    fs::rename(&hidden, folder.path()).unwrap();
    write(&mut store, &[("register-0", "taken"), ("units", "small")]);
    expected.insert("register-0".into(), b"taken".to_vec());
    expected.insert("units".into(), b"small".to_vec());
    drop(store);
    assert_eq!(*RecordStore::open(folder.path()).unwrap().table(), expected);
}

#[test]
fn a_folder_with_only_an_empty_log_folder_is_not_taken_for_a_new_one() {
    let (folder, _) = folder();
    for file in [
        folder.path().join("state"),
        folder.path().join("mark"),
        log_file(folder.path()),
    ] {
        fs::remove_file(file).unwrap();
    }
    let error = RecordStore::open(folder.path())
        .err()
        .expect("the folder must be rejected")
        .to_string();
    assert!(
        error.contains("the snapshot is missing beside log-"),
        "{error}"
    );
}

#[test]
fn failed_compactions_leave_no_files_behind() {
    let (folder, mut expected) = folder();
    let mut store = RecordStore::open(folder.path()).unwrap();
    write(&mut store, &[("units", &"x".repeat(5 << 20))]);
    let names = || {
        let names = fs::read_dir(folder.path())
            .unwrap()
            .map(|entry| entry.unwrap().file_name());
        let mut names: Vec<_> = names.filter(|name| name != "state-new").collect();
        names.sort();
        names
    };
    let before = names();
    fs::create_dir(folder.path().join("state-new")).unwrap(); // makes writing a snapshot fail
    for _ in 0..5 {
        assert!(store
            .write(&[("register-0".into(), b"refused".to_vec())])
            .is_err());
        assert_eq!(names(), before);
    }
    fs::remove_dir(folder.path().join("state-new")).unwrap();
    write(&mut store, &[("register-0", "taken"), ("units", "small")]);
    expected.insert("register-0".into(), b"taken".to_vec());
    expected.insert("units".into(), b"small".to_vec());
    drop(store);
    assert_eq!(*RecordStore::open(folder.path()).unwrap().table(), expected);
}
