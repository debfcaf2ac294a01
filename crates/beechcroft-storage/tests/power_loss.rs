//! Loss of power at each step of a write, a compaction and a first start. An acknowledged write must survive; any other
//! must be either complete or absent.

use beechcroft_storage::{RecordStore, Table};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

fn record(name: &str, value: &str) -> Vec<(String, Vec<u8>)> {
    vec![(name.to_owned(), value.as_bytes().to_vec())]
}

fn copy(from: &Path) -> TempDir {
    let to = TempDir::new().unwrap();
    copy_into(from, to.path());
    to
}

fn copy_into(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap().map(Result::unwrap) {
        match entry.file_type().unwrap().is_dir() {
            true => copy_into(&entry.path(), &to.join(entry.file_name())),
            false => drop(fs::copy(entry.path(), to.join(entry.file_name())).unwrap()),
        }
    }
}

/// The path of the log's folder, whose name ends with the number of the snapshot.
fn log_folder(folder: &Path) -> PathBuf {
    let mut paths = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    paths
        .find(|path| {
            path.file_name()
                .unwrap()
                .to_string_lossy()
                .starts_with("log-")
        })
        .unwrap()
}

/// The path of the log file.
fn log_file(folder: &Path) -> PathBuf {
    log_folder(folder).join("wal-1")
}

fn text(table: &Table, name: &str) -> Option<String> {
    table
        .get(name)
        .map(|value| String::from_utf8(value.clone()).unwrap())
}

/// Length of a log file without its preallocated zeros, in bytes.
fn used(path: &Path) -> usize {
    fs::read(path)
        .unwrap()
        .iter()
        .rposition(|&byte| byte != 0)
        .map_or(0, |last| last + 1)
}

#[test]
fn written_records_survive_each_restart() {
    let folder = TempDir::new().unwrap();
    for round in 0..5 {
        let mut store = RecordStore::open(folder.path()).unwrap();
        for past in 0..round {
            assert_eq!(
                text(store.table(), &format!("of {past}")),
                Some("kept".into())
            );
        }
        assert_eq!(
            text(store.table(), "again"),
            (round > 0).then(|| format!("{}", round - 1))
        );
        store
            .write(&record(&format!("of {round}"), "kept"))
            .unwrap();
        store.write(&record("again", &round.to_string())).unwrap();
    }
}

#[test]
fn a_write_torn_at_any_byte_loses_no_earlier_and_no_later_write() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    store.write(&record("first", "synced")).unwrap();
    let synced = used(&log_file(folder.path()));
    let watermark = fs::read(folder.path().join("mark")).unwrap();
    store.write(&record("second", "torn")).unwrap();
    drop(store);
    let end = used(&log_file(folder.path()));
    for cut in synced..=end {
        for garbage in [false, true] {
            let left = copy(folder.path());
            let path = log_file(left.path());
            // Power was lost before the write was synced, so the watermark does not cover it. The watermark itself may
            // be missing, torn or intact.
            match cut % 3 {
                0 => fs::remove_file(left.path().join("mark")).unwrap(),
                1 => fs::write(
                    left.path().join("mark"),
                    &watermark[..cut % watermark.len()],
                )
                .unwrap(),
                _ => fs::write(left.path().join("mark"), &watermark).unwrap(),
            }
            let mut bytes = fs::read(&path).unwrap();
            bytes[cut..end]
                .iter_mut()
                .for_each(|byte| *byte = if garbage { 0xa5 } else { 0 });
            fs::write(&path, &bytes).unwrap();
            let mut store = RecordStore::open(left.path()).unwrap();
            assert_eq!(
                text(store.table(), "first"),
                Some("synced".into()),
                "cut at {cut}"
            );
            assert!(
                matches!(
                    text(store.table(), "second").as_deref(),
                    None | Some("torn")
                ),
                "cut at {cut}"
            );
            store.write(&record("third", "after")).unwrap();
            drop(store);
            let store = RecordStore::open(left.path()).unwrap();
            assert_eq!(text(store.table(), "first"), Some("synced".into()));
            assert_eq!(
                text(store.table(), "third"),
                Some("after".into()),
                "written after a torn write, cut at {cut}"
            );
        }
    }
}

#[test]
fn a_truncated_or_missing_log_is_reported_and_the_snapshot_is_still_read() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    store.write(&record("old", "in the snapshot")).unwrap();
    drop(store);
    drop(RecordStore::open(folder.path()).unwrap());
    let length = fs::metadata(log_file(folder.path())).unwrap().len();
    // Without the first entry it is unknown whether the log contained others.
    let first = used(&log_file(folder.path())) as u64;
    for left in (0..first + 64).chain([length - 1]) {
        let lost = copy(folder.path());
        fs::File::options()
            .write(true)
            .open(log_file(lost.path()))
            .unwrap()
            .set_len(left)
            .unwrap();
        let (table, corruption) = RecordStore::peek(lost.path());
        assert_eq!(
            text(&table, "old"),
            Some("in the snapshot".into()),
            "{left} bytes of log"
        );
        // The bytes that okaywal writes after the entry are not needed to read it.
        let (least, most) = (first - 16, first);
        assert!(
            corruption.is_empty() || left < most,
            "{left} of {first} bytes of log: {corruption}"
        );
        assert!(
            !corruption.is_empty() || left >= least,
            "{left} of {first} bytes of log: the loss is not reported"
        );
        assert_eq!(
            RecordStore::open(lost.path()).is_ok(),
            corruption.is_empty(),
            "{left} bytes of log"
        );
    }
    let lost = copy(folder.path());
    fs::remove_file(log_file(lost.path())).unwrap();
    let error = RecordStore::open(lost.path())
        .err()
        .expect("a missing log is an error")
        .to_string();
    assert!(error.contains("log: the file is missing"), "{error}");
    assert_eq!(
        text(&RecordStore::peek(lost.path()).0, "old"),
        Some("in the snapshot".into())
    );
}

/// Reproduces each state that a loss of power may leave during a compaction, which creates the new log, writes the new
/// snapshot to a temporary file, syncs and renames it, syncs the folder and removes the old log. A rename and a removal
/// that did not reach the disk are included.
#[test]
fn a_compaction_interrupted_at_any_step_leaves_the_table_whole() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    for n in 0..20 {
        store
            .write(&record(&format!("n{}", n % 7), &n.to_string()))
            .unwrap();
    }
    let expected = store.table().clone();
    drop(store);
    let before = copy(folder.path());
    drop(RecordStore::open(folder.path()).unwrap());
    let after = copy(folder.path());

    let snapshot = fs::read(after.path().join("state")).unwrap();
    let new_log = log_folder(after.path()).file_name().unwrap().to_owned();
    let empty_log = fs::read(log_file(after.path())).unwrap();
    let check_table = |folder: &Path, state: &str| {
        let store = RecordStore::open(folder).unwrap();
        assert_eq!(*store.table(), expected, "{state}");
    };
    let with_new_log = |bytes: &[u8]| {
        let left = copy(before.path());
        fs::create_dir(left.path().join(&new_log)).unwrap();
        fs::write(left.path().join(&new_log).join("wal-1"), bytes).unwrap();
        left
    };
    for cut in (0..200).chain((200..empty_log.len()).step_by(4093)) {
        let left = with_new_log(&empty_log[..cut]);
        check_table(left.path(), &format!("the new log torn at {cut}"));
    }
    let left = copy(before.path());
    fs::create_dir(left.path().join(&new_log)).unwrap();
    check_table(left.path(), "the new log's folder is empty");
    for cut in (0..snapshot.len()).step_by(7) {
        let left = with_new_log(&empty_log);
        fs::write(left.path().join("state-new"), &snapshot[..cut]).unwrap();
        check_table(left.path(), &format!("the new snapshot torn at {cut}"));
    }
    let left = with_new_log(&empty_log);
    fs::write(left.path().join("state-new"), &snapshot).unwrap();
    check_table(left.path(), "not renamed yet");
    let left = with_new_log(&empty_log);
    fs::write(left.path().join("state"), &snapshot).unwrap();
    check_table(left.path(), "renamed, the old log still there");
    let left = copy(before.path());
    copy_into(after.path(), left.path());
    check_table(
        left.path(),
        "compacted, but the removal of the old log did not reach the disk",
    );
}

/// A first start creates the log, syncs its folder, writes the snapshot to a temporary file, renames it and writes the
/// watermark. Nothing is acknowledged before the end of it, so a start that was interrupted must not be reported as
/// corruption.
#[test]
fn a_first_start_interrupted_at_any_step_can_be_repeated() {
    let done = TempDir::new().unwrap();
    drop(RecordStore::open(done.path()).unwrap());
    let (snapshot, empty) = (
        fs::read(done.path().join("state")).unwrap(),
        fs::read(log_file(done.path())).unwrap(),
    );
    let folder = log_folder(done.path()).file_name().unwrap().to_owned();
    let with_log = |log: &[u8]| {
        let left = TempDir::new().unwrap();
        fs::create_dir(left.path().join(&folder)).unwrap();
        fs::write(left.path().join(&folder).join("wal-1"), log).unwrap();
        left
    };
    let check_empty = |left: &TempDir, state: &str| {
        assert_eq!(
            *RecordStore::open(left.path()).unwrap().table(),
            Table::new(),
            "{state}"
        );
    };
    for cut in (0..200).chain([empty.len() / 2]) {
        check_empty(&with_log(&empty[..cut]), &format!("the log torn at {cut}"));
    }
    check_empty(&with_log(&empty), "no snapshot yet");
    let left = with_log(&empty);
    fs::write(left.path().join("state-new"), &snapshot).unwrap();
    check_empty(&left, "the snapshot is not renamed yet");
    fs::write(left.path().join("state"), &snapshot).unwrap();
    check_empty(&left, "no watermark yet");
}

#[test]
fn a_corrupt_snapshot_is_reported_and_not_taken_for_an_empty_folder() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    store.write(&record("a", "b")).unwrap();
    drop(store);
    drop(RecordStore::open(folder.path()).unwrap());
    let path = folder.path().join("state");
    let intact = fs::read(&path).unwrap();
    for at in 0..intact.len() {
        let mut bytes = intact.clone();
        bytes[at] ^= 0x40;
        fs::write(&path, &bytes).unwrap();
        let error = RecordStore::open(folder.path())
            .err()
            .expect("a corrupt snapshot is an error")
            .to_string();
        assert!(error.contains("snapshot is damaged"), "byte {at}: {error}");
    }
}

#[test]
fn the_log_is_compacted_before_it_fills_the_disk() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    let large = vec![7; 300_000];
    for n in 0..60u32 {
        store
            .write(&[(
                "large".to_owned(),
                [&large[..], &n.to_le_bytes()[..]].concat(),
            )])
            .unwrap();
        let size: u64 = [folder.path().join("state"), log_file(folder.path())]
            .iter()
            .map(|path| fs::metadata(path).unwrap().len())
            .sum();
        assert!(size < 8 << 20, "{size} bytes after {n} writes");
    }
    drop(store);
    let store = RecordStore::open(folder.path()).unwrap();
    assert_eq!(store.table()["large"][300_000..], 59u32.to_le_bytes());
}

#[test]
fn peek_does_not_change_the_folder() {
    let folder = TempDir::new().unwrap();
    let mut store = RecordStore::open(folder.path()).unwrap();
    store.write(&record("a", "b")).unwrap();
    let files = || {
        let all = [
            folder.path().join("state"),
            folder.path().join("mark"),
            log_file(folder.path()),
        ];
        assert_eq!(fs::read_dir(folder.path()).unwrap().count(), all.len());
        all.into_iter()
            .map(|path| (path.clone(), fs::read(path).unwrap()))
            .collect::<Vec<_>>()
    };
    let before = files();
    assert_eq!(
        text(&RecordStore::peek(folder.path()).0, "a"),
        Some("b".into())
    );
    assert_eq!(files(), before);
}
