//! What is left after a loss of power, at each step at which it may come. A write that was acknowledged must be
//! there; one that was not may be there whole or not at all.

use beechcroft_cache::{Cache, Table};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

fn record(name: &str, value: &str) -> Vec<(String, Vec<u8>)> {
    vec![(name.to_owned(), value.as_bytes().to_vec())]
}

fn copy(from: &Path) -> TempDir {
    let to = TempDir::new().unwrap();
    for entry in fs::read_dir(from).unwrap().map(Result::unwrap) {
        fs::copy(entry.path(), to.path().join(entry.file_name())).unwrap();
    }
    to
}

fn log(folder: &Path) -> PathBuf {
    let mut paths = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    paths.find(|path| path.file_name().unwrap().to_string_lossy().starts_with("wal-")).unwrap()
}

fn text(table: &Table, name: &str) -> Option<String> {
    table.get(name).map(|value| String::from_utf8(value.clone()).unwrap())
}

/// The last byte of the log that is not of the preallocated rest.
fn used(path: &Path) -> usize {
    fs::read(path).unwrap().iter().rposition(|&byte| byte != 0).map_or(0, |last| last + 1)
}

#[test]
fn what_was_written_is_there_after_each_restart() {
    let folder = TempDir::new().unwrap();
    for round in 0..5 {
        let mut cache = Cache::open(folder.path()).unwrap();
        for past in 0..round {
            assert_eq!(text(cache.table(), &format!("of {past}")), Some("kept".into()));
        }
        assert_eq!(text(cache.table(), "again"), (round > 0).then(|| format!("{}", round - 1)));
        cache.write(&record(&format!("of {round}"), "kept")).unwrap();
        cache.write(&record("again", &round.to_string())).unwrap();
    }
}

#[test]
fn a_write_torn_at_any_byte_leaves_all_before_it_and_what_follows_is_kept() {
    let folder = TempDir::new().unwrap();
    let mut cache = Cache::open(folder.path()).unwrap();
    cache.write(&record("first", "synced")).unwrap();
    let synced = used(&log(folder.path()));
    cache.write(&record("second", "torn")).unwrap();
    drop(cache);
    let whole = used(&log(folder.path()));
    for cut in synced..=whole {
        for garbage in [false, true] {
            let left = copy(folder.path());
            let path = log(left.path());
            let mut bytes = fs::read(&path).unwrap();
            bytes[cut..whole].iter_mut().for_each(|byte| *byte = if garbage { 0xa5 } else { 0 });
            fs::write(&path, &bytes).unwrap();
            let mut cache = Cache::open(left.path()).unwrap();
            assert_eq!(text(cache.table(), "first"), Some("synced".into()), "cut at {cut}");
            assert!(matches!(text(cache.table(), "second").as_deref(), None | Some("torn")), "cut at {cut}");
            cache.write(&record("third", "after")).unwrap();
            drop(cache);
            let cache = Cache::open(left.path()).unwrap();
            assert_eq!(text(cache.table(), "first"), Some("synced".into()));
            assert_eq!(
                text(cache.table(), "third"),
                Some("after".into()),
                "written behind a torn end, cut at {cut}"
            );
        }
    }
}

#[test]
fn a_log_that_is_cut_short_or_absent_leaves_the_snapshot() {
    let folder = TempDir::new().unwrap();
    let mut cache = Cache::open(folder.path()).unwrap();
    cache.write(&record("old", "in the snapshot")).unwrap();
    drop(cache);
    drop(Cache::open(folder.path()).unwrap());
    let length = fs::metadata(log(folder.path())).unwrap().len();
    for left in (0..64).chain([length - 1]) {
        let lost = copy(folder.path());
        fs::File::options().write(true).open(log(lost.path())).unwrap().set_len(left).unwrap();
        let cache = Cache::open(lost.path()).unwrap();
        assert_eq!(text(cache.table(), "old"), Some("in the snapshot".into()), "{left} bytes of log");
    }
    let lost = copy(folder.path());
    fs::remove_file(log(lost.path())).unwrap();
    assert_eq!(text(Cache::open(lost.path()).unwrap().table(), "old"), Some("in the snapshot".into()));
}

/// A compaction: beside, synced, renamed, folder synced, old log removed, new log begun. Each state that a loss
/// of power may leave in between, a rename and a removal that did not last among them.
#[test]
fn a_compaction_interrupted_at_any_step_leaves_the_table_whole() {
    let folder = TempDir::new().unwrap();
    let mut cache = Cache::open(folder.path()).unwrap();
    for n in 0..20 {
        cache.write(&record(&format!("n{}", n % 7), &n.to_string())).unwrap();
    }
    let expected = cache.table().clone();
    drop(cache);
    let before = copy(folder.path());
    drop(Cache::open(folder.path()).unwrap());
    let after = copy(folder.path());

    let snapshot = fs::read(after.path().join("state")).unwrap();
    let old_log = fs::read(log(before.path())).unwrap();
    let whole = |left: &Path, said: &str| {
        let cache = Cache::open(left).unwrap();
        assert_eq!(*cache.table(), expected, "{said}");
    };
    for cut in (0..snapshot.len()).step_by(7) {
        let left = copy(before.path());
        fs::write(left.path().join("state-new"), &snapshot[..cut]).unwrap();
        whole(left.path(), &format!("the new snapshot torn at {cut}"));
    }
    let left = copy(before.path());
    fs::write(left.path().join("state-new"), &snapshot).unwrap();
    whole(left.path(), "not renamed yet");
    let left = copy(before.path());
    fs::write(left.path().join("state"), &snapshot).unwrap();
    whole(left.path(), "renamed, the old log still there");
    let left = copy(after.path());
    fs::write(log(left.path()), &old_log).unwrap();
    whole(left.path(), "the old log is back, its removal did not last");
    let left = copy(after.path());
    fs::remove_file(log(left.path())).unwrap();
    whole(left.path(), "no log begun yet");
}

#[test]
fn a_damaged_snapshot_is_said_and_not_taken_for_an_empty_disk() {
    let folder = TempDir::new().unwrap();
    let mut cache = Cache::open(folder.path()).unwrap();
    cache.write(&record("a", "b")).unwrap();
    drop(cache);
    drop(Cache::open(folder.path()).unwrap());
    let path = folder.path().join("state");
    let sound = fs::read(&path).unwrap();
    for at in 0..sound.len() {
        let mut bytes = sound.clone();
        bytes[at] ^= 0x40;
        fs::write(&path, &bytes).unwrap();
        let said = Cache::open(folder.path()).err().expect("damage is an error").to_string();
        assert!(said.contains("snapshot is damaged"), "byte {at}: {said}");
    }
}

#[test]
fn the_log_is_folded_before_it_fills_the_disk() {
    let folder = TempDir::new().unwrap();
    let mut cache = Cache::open(folder.path()).unwrap();
    let large = vec![7; 300_000];
    for n in 0..60u32 {
        cache.write(&[("large".to_owned(), [&large[..], &n.to_le_bytes()[..]].concat())]).unwrap();
        let size: u64 =
            fs::read_dir(folder.path()).unwrap().map(|e| e.unwrap().metadata().unwrap().len()).sum();
        assert!(size < 8 << 20, "{size} bytes after {n} writes");
    }
    drop(cache);
    let cache = Cache::open(folder.path()).unwrap();
    assert_eq!(cache.table()["large"][300_000..], 59u32.to_le_bytes());
}

#[test]
fn a_peek_changes_nothing() {
    let folder = TempDir::new().unwrap();
    let mut cache = Cache::open(folder.path()).unwrap();
    cache.write(&record("a", "b")).unwrap();
    let files = || {
        let mut all: Vec<_> = fs::read_dir(folder.path()).unwrap().map(|e| e.unwrap().path()).collect();
        all.sort();
        all.into_iter().map(|path| (path.clone(), fs::read(path).unwrap())).collect::<Vec<_>>()
    };
    let before = files();
    assert_eq!(text(&Cache::peek(folder.path()).unwrap(), "a"), Some("b".into()));
    assert_eq!(files(), before);
}
