//! Disks of core machines that come back damaged. A voter that has lost a table of its own learns before it votes; with
//! more than f of them, nobody answers from an empty state.

mod control_cluster;

use self::control_cluster::{config, simulate, ControlCluster, ControlNode};
use beechcroft_safeguards::{disable, Safeguard};
use beechcroft_storage::RecordStore;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Where a folder's log stands.
fn log(folder: &Path) -> PathBuf {
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

fn empty(folder: &Path) {
    fs::remove_dir_all(folder).unwrap();
    fs::create_dir(folder).unwrap();
}

/// Flips the first byte of a record's value wherever it stands in a control node's files; at how many places.
fn damage(node: &ControlNode, record: &str) -> usize {
    let (table, sound) = RecordStore::peek(node.folder.path());
    assert!(sound.is_empty(), "{sound}");
    let mut flipped = 0;
    for path in [node.folder.path().join("state"), log(node.folder.path())] {
        let mut bytes = fs::read(&path).unwrap();
        let value = &table[record];
        let places = bytes
            .windows(value.len())
            .enumerate()
            .filter(|(_, window)| window == value);
        let places: Vec<usize> = places.map(|(at, _)| at).collect();
        places.iter().for_each(|&at| bytes[at] ^= 0x10);
        flipped += places.len();
        fs::write(&path, bytes).unwrap();
    }
    flipped
}

fn names(core: &ControlCluster) -> Vec<Rc<ControlNode>> {
    core.nodes.borrow().clone()
}

/// Three control nodes, a configuration acknowledged, all killed, and the first `count` damaged.
async fn damaged(core: &ControlCluster, count: usize, record: &str) {
    assert_eq!(core.replace(0, &config(1, 0, "/first/")).await, Some(200));
    sleep(Duration::from_secs(1)).await;
    for node in names(core) {
        core.kill(&node);
    }
    for node in &names(core)[..count] {
        assert!(
            damage(node, record) > 0,
            "{record} is on the disk of {}",
            node.name
        );
    }
}

/// What control nodes that run answer for so long to reads and to an order on an empty state, and whether anyone took it.
async fn answers(
    core: &ControlCluster,
    nodes: &[Rc<ControlNode>],
    seconds: u64,
) -> BTreeSet<Option<u16>> {
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut seen = BTreeSet::new();
    while Instant::now() < until {
        for node in nodes {
            seen.insert(core.show(node).await.map(|(status, _)| status));
            let order = config(9, 0, "/on-nothing/");
            seen.insert(
                core.ask(node, "POST", "/config/replace", &order)
                    .await
                    .map(|(status, _)| status),
            );
        }
        sleep(Duration::from_millis(300)).await;
    }
    seen
}

fn only_errors(seen: &BTreeSet<Option<u16>>) -> bool {
    seen.iter()
        .all(|status| status.is_none_or(|status| status >= 500))
}

#[test]
fn two_damaged_of_three_and_the_third_down_answer_nothing_from_an_empty_state() {
    let two = |record: &'static str, bootstrap| {
        move |core: Rc<ControlCluster>| async move {
            damaged(&core, 2, record).await;
            let nodes = names(&core);
            nodes[..2]
                .iter()
                .for_each(|node| core.start(node, bootstrap));
            answers(&core, &nodes[..2], 12).await
        }
    };
    for record in ["register-0", "register-1", "identity"] {
        for bootstrap in [false, true] {
            let seen = simulate(3, 1, two(record, bootstrap));
            assert!(
                only_errors(&seen),
                "{record}, bootstrap {bootstrap}: {seen:?}"
            );
        }
    }
    let _out = disable(Some(Safeguard::CorruptionIsDiskLoss));
    let seen = simulate(3, 1, two("register-0", false));
    assert!(
        !only_errors(&seen),
        "without the guard an acknowledged configuration is unknown: {seen:?}"
    );
}

#[test]
fn three_damaged_disks_found_nothing_anew_whatever_the_settings_say() {
    let three = |core: Rc<ControlCluster>| async move {
        damaged(&core, 3, "identity").await;
        let nodes = names(&core);
        nodes.iter().for_each(|node| core.start(node, true));
        let first = answers(&core, &nodes, 10).await;
        // A second restart finds files that are whole again, and no voter in them.
        for node in &nodes {
            core.kill(node);
            core.start(node, true);
        }
        first
            .into_iter()
            .chain(answers(&core, &nodes, 10).await)
            .collect()
    };
    let seen = simulate(3, 1, three);
    assert!(only_errors(&seen), "{seen:?}");
    let _out = disable(Some(Safeguard::CorruptionIsDiskLoss));
    let seen: BTreeSet<Option<u16>> = simulate(3, 1, three);
    assert!(
        seen.contains(&Some(200)),
        "without the guard the system is founded a second time: {seen:?}"
    );
}

/// Whether one whole voter and one damaged one took an order, what followed once the third was there, and when.
async fn one_of_three(core: Rc<ControlCluster>, record: &str) -> (bool, Option<u16>, Duration) {
    damaged(&core, 1, record).await;
    let nodes = names(&core);
    nodes[..2].iter().for_each(|node| core.start(node, false));
    let alone = answers(&core, &nodes[..2], 10).await;
    core.start(&nodes[2], false);
    let began = Instant::now();
    let order = config(2, 1, "/second/");
    let taken = core.replace(0, &order).await;
    // The damaged one votes again: without one of the others the order after it is taken.
    while fs::read(log(nodes[0].folder.path()))
        .unwrap()
        .windows(10)
        .all(|w| w != b"register-0")
    {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the damaged one never votes again"
        );
        sleep(Duration::from_millis(10)).await;
    }
    let votes = began.elapsed();
    core.kill(&nodes[1]);
    assert_eq!(core.replace(0, &config(3, 2, "/third/")).await, Some(200));
    for node in [&nodes[0], &nodes[2]] {
        assert_eq!(core.show(node).await, Some((200, config(3, 2, "/third/"))));
    }
    (only_errors(&alone), taken, votes)
}

#[test]
fn a_damaged_voter_votes_only_once_two_whole_ones_have_fenced_its_former_epoch() {
    for record in ["register-0", "register-1", "identity"] {
        let (silent, taken, votes) = simulate(3, 1, |core| one_of_three(core, record));
        assert!(
            silent,
            "{record}: one whole voter and a damaged one are no majority"
        );
        assert_eq!(taken, Some(200), "{record}");
        println!("{record}: votes again {votes:?} after the second whole voter's start");
        assert!(votes < Duration::from_secs(3), "{record}: {votes:?}");
    }
}

#[test]
fn a_damaged_help_is_dropped_and_the_voter_votes_on() {
    for record in ["chosen-0", "members"] {
        simulate(3, 1, |core| async move {
            damaged(&core, 3, record).await;
            let nodes = names(&core);
            nodes[..2].iter().for_each(|node| core.start(node, false));
            let began = Instant::now();
            assert_eq!(
                core.replace(0, &config(2, 1, "/second/")).await,
                Some(200),
                "{record}"
            );
            println!(
                "{record}: an order is taken {:?} after the start",
                began.elapsed()
            );
            assert!(
                began.elapsed() < Duration::from_secs(6),
                "{record}: {:?}",
                began.elapsed()
            );
        });
    }
}

#[test]
fn a_disk_of_another_version_of_the_program_is_made_good_from_the_others() {
    simulate(3, 1, |core| async move {
        damaged(&core, 0, "identity").await;
        let nodes = names(&core);
        empty(nodes[0].folder.path());
        fs::write(nodes[0].folder.path().join("state"), b"BCHUT001 and so on").unwrap();
        fs::write(nodes[0].folder.path().join("wal-1"), b"okw\0\0").unwrap();
        nodes.iter().for_each(|node| core.start(node, true));
        sleep(Duration::from_secs(3)).await;
        core.kill(&nodes[2]);
        assert_eq!(core.replace(0, &config(2, 1, "/second/")).await, Some(200));
    });
}

/// A register is on some disk without the identity under which it was promised.
fn register_without_identity(core: &ControlCluster) -> bool {
    let reads = |node: &Rc<ControlNode>| RecordStore::peek(node.folder.path()).0;
    names(core).iter().map(reads).any(|table| {
        !table.contains_key("identity")
            && (table.contains_key("register-0") || table.contains_key("register-1"))
    })
}

async fn identity_refused(core: Rc<ControlCluster>) -> bool {
    core.replace(0, &config(1, 0, "/first/")).await;
    register_without_identity(&core)
}

#[test]
fn an_answer_waits_for_the_identity_that_the_disk_refused() {
    let refusing = || {
        simulate(3, 1, |core| async move {
            // All begin again on empty disks, and the first one's refuses the first write of an identity alone.
            for node in names(&core) {
                core.kill(&node);
                empty(node.folder.path());
            }
            let nodes = names(&core);
            nodes[0]
                .disk
                .refuses
                .set(|records| records.iter().any(|(name, _)| name == "identity"));
            nodes.iter().for_each(|node| core.start(node, true));
            sleep(Duration::from_secs(4)).await;
            identity_refused(core).await
        })
    };
    assert!(!refusing());
    let _out = disable(Some(Safeguard::IdentityBeforeResponse));
    assert!(
        refusing(),
        "without the guard a promise stands on a disk that does not know whose it is"
    );
}

#[test]
fn an_identity_that_is_written_again_takes_no_promise_back() {
    simulate(3, 1, |core| async move {
        assert_eq!(core.replace(0, &config(1, 0, "/first/")).await, Some(200));
        let nodes = names(&core);
        core.kill(&nodes[0]);
        empty(nodes[0].folder.path());
        core.start(&nodes[0], false);
        // What it learns is refused for a while, and orders go on meanwhile.
        let identity: fn(&beechcroft_consensus::Records) -> bool = |records| {
            records
                .iter()
                .any(|(name, value)| name == "identity" && !value.is_empty())
        };
        nodes[0].disk.refuses.set(identity);
        for version in 2..40 {
            if version == 20 {
                nodes[0].disk.refuses.set(|_| false);
            }
            let order = config(version, version - 1, &format!("/{version}/"));
            assert_eq!(core.replace(version as usize, &order).await, Some(200));
        }
        sleep(Duration::from_secs(2)).await;
        let table = RecordStore::peek(nodes[0].folder.path()).0;
        assert!(
            table.get("identity").is_some_and(|held| !held.is_empty()),
            "it votes again"
        );
        assert!(
            nodes.iter().all(|node| !node.disk.went_back.get()),
            "a promise was taken back on disk"
        );
    });
}

/// A majority's disks refuse a register; what is acknowledged then is gone after a restart of all.
async fn refused_and_acknowledged(core: Rc<ControlCluster>) -> bool {
    assert_eq!(core.replace(0, &config(1, 0, "/first/")).await, Some(200));
    let nodes = names(&core);
    let refuses: fn(&beechcroft_consensus::Records) -> bool = |records| {
        records
            .iter()
            .any(|(name, _)| name != "units" && name != "members")
    };
    nodes[..2]
        .iter()
        .for_each(|node| node.disk.refuses.set(refuses));
    let answer = core
        .ask(
            &nodes[0],
            "POST",
            "/config/replace",
            &config(2, 1, "/second/"),
        )
        .await;
    nodes.iter().for_each(|node| core.kill(node));
    nodes
        .iter()
        .for_each(|node| node.disk.refuses.set(|_| false));
    nodes[..2].iter().for_each(|node| core.start(node, false));
    sleep(Duration::from_secs(4)).await;
    let read = core.show(&nodes[0]).await.map(|(_, body)| body);
    answer.is_some_and(|(status, _)| status == 200) && read != Some(config(2, 1, "/second/"))
}

#[test]
fn nothing_is_acknowledged_that_a_majority_of_the_disks_refused() {
    assert!(!simulate(3, 1, refused_and_acknowledged));
    let _out = disable(Some(Safeguard::SyncBeforeResponse));
    assert!(
        simulate(3, 1, refused_and_acknowledged),
        "without the guard it is acknowledged and gone"
    );
}

#[test]
fn a_day_on_which_each_core_machine_loses_a_record_breaks_no_rule() {
    let mut text =
        String::from("name = \"records\"\nseconds = 50.0\nedges = 4\nunits = 4\nrate = 20.0\n");
    for (nth, record) in ["register-0", "identity", "register-1", "chosen-0", "units"]
        .iter()
        .enumerate()
    {
        let (at, on) = (1.0 + 9.0 * nth as f64, nth % 3);
        text += &format!(
            "[[event]]\nat = {at:.1}\nwhat.damage = {{ on = \"core-{on}\", record = \"{record}\" }}\n"
        );
        text += &format!(
            "[[event]]\nat = {:.1}\nwhat.config = {{ routes = 1 }}\n",
            at + 0.5
        );
    }
    let report = beechcroft_simulator::cluster::simulate(
        &beechcroft_simulator::cluster::Scenario::read(&text).unwrap(),
    );
    let taken = report
        .history
        .configs
        .iter()
        .filter(|sent| sent.acked.is_some())
        .count();
    let killed = report
        .history
        .injected_faults
        .iter()
        .filter(|trouble| trouble.description == "killed" && trouble.on != "core");
    assert_eq!((taken, killed.count()), (6, 5));
    assert_eq!(report.verdict.violations, []);
    assert_eq!(report.unacknowledged, Vec::<String>::new());
}
