//! The disk writer on a folder of real files: corrupt records, failed writes, and the size of the folder.

use beechcroft_consensus::Records;
use beechcroft_control::disk::Disk;
use beechcroft_storage::RecordStore;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Records of a replica and one checkpoint, each with its own key in its value.
fn records(value: &str) -> Records {
    let keys = ["identity", "register-0", "register-1", "units"];
    keys.iter()
        .map(|key| ((*key).to_owned(), format!("{key} {value}").into_bytes()))
        .collect()
}

fn store(disk: &Disk, records: Records) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(disk.store(records))
}

/// All files in a folder and its subfolders, which hold the log.
fn files(folder: &Path) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                files(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

/// Flips one bit of the last occurrence of `value` in each file.
fn flip_bit(folder: &Path, value: &str) {
    for path in files(folder) {
        let mut bytes = fs::read(&path).unwrap();
        if let Some(at) = bytes
            .windows(value.len())
            .rposition(|window| window == value.as_bytes())
        {
            bytes[at] ^= 1;
        }
        fs::write(path, bytes).unwrap();
    }
}

/// Opens the folder again. The writer holds the folder until its last handle is dropped.
fn reopen(folder: &Path, disk: Disk) -> (Disk, beechcroft_storage::Table) {
    drop(disk);
    Disk::open(folder.to_owned()).unwrap()
}

/// The disk counts as lost at the start that finds the corrupt record and at the next one, which reads the repaired
/// folder.
#[test]
fn corrupt_replica_record_counts_as_lost_disk_and_corrupt_checkpoint_does_not() {
    for (value, is_lost) in [
        ("register-0 stored", true),
        ("register-1 stored", true),
        ("identity stored", true),
        ("units stored", false),
    ] {
        let folder = TempDir::new().unwrap();
        let (disk, table) = Disk::open(folder.path().to_owned()).unwrap();
        assert!(table.is_empty());
        assert!(store(&disk, records("stored")));
        drop(disk);
        flip_bit(folder.path(), value);
        let (disk, first) = Disk::open(folder.path().to_owned()).unwrap();
        let (_disk, second) = reopen(folder.path(), disk);
        for table in [first, second] {
            assert_eq!(table["identity"].is_empty(), is_lost, "{value}");
            assert_eq!(
                !table.contains_key("register-0") && !table.contains_key("register-1"),
                is_lost,
                "{value}"
            );
            assert_eq!(table.contains_key("units"), is_lost, "{value}");
        }
        assert!(
            folder.path().join("log.damaged").exists(),
            "the corrupt log is kept for inspection"
        );
    }
}

#[test]
fn failed_write_is_reported_and_later_writes_succeed() {
    let folder = TempDir::new().unwrap();
    let (disk, _) = Disk::open(folder.path().to_owned()).unwrap();
    assert!(store(&disk, records("before")));
    assert!(
        store(&disk, vec![("units".into(), vec![7; 5 << 20])]),
        "large enough that the next write compacts the log"
    );
    let away = TempDir::new().unwrap();
    let hidden = away.path().join("hidden");
    fs::rename(folder.path(), &hidden).unwrap();
    assert!(!store(&disk, records("failed")));
    fs::rename(&hidden, folder.path()).unwrap();
    assert!(store(&disk, records("after")));
    assert_eq!(
        RecordStore::peek(folder.path()).0["register-0"],
        b"register-0 after"
    );
}

#[test]
fn folder_size_stays_bounded_over_a_thousand_writes() {
    let folder = TempDir::new().unwrap();
    let (disk, _) = Disk::open(folder.path().to_owned()).unwrap();
    let value = vec![3; 2000];
    let mut sizes = Vec::new();
    let began = Instant::now();
    for nth in 0..1000_u32 {
        let value = [&value[..], &nth.to_le_bytes()].concat();
        assert!(store(
            &disk,
            vec![
                ("register-0".into(), value.clone()),
                ("chosen-0".into(), value)
            ]
        ));
        if nth == 99 || nth == 999 {
            sizes.push(
                files(folder.path())
                    .iter()
                    .map(|path| fs::metadata(path).unwrap().len())
                    .sum::<u64>(),
            );
        }
    }
    let each: Duration = began.elapsed() / 1000;
    println!("bytes in files after 100 and 1000 synced writes: {sizes:?}; {each:?} per write");
    assert!(sizes.iter().all(|size| *size < 5 << 20), "{sizes:?}");
}
