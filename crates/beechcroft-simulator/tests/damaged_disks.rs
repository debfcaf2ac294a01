//! Control nodes that restart with damaged disks. A voter that has lost one of its records recovers its state from the others
//! before it votes. If more than f voters are damaged, no node responds from an empty state.

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

/// Path of the write-ahead log in a node's folder.
fn log_path(folder: &Path) -> PathBuf {
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

fn clear_folder(folder: &Path) {
    fs::remove_dir_all(folder).unwrap();
    fs::create_dir(folder).unwrap();
}

/// Flips a bit in the first byte of every stored copy of a record's value; returns the number of copies.
fn damage(node: &ControlNode, record: &str) -> usize {
    let (table, damage) = RecordStore::peek(node.folder.path());
    assert!(damage.is_empty(), "{damage}");
    let mut flipped = 0;
    for path in [
        node.folder.path().join("state"),
        log_path(node.folder.path()),
    ] {
        let mut bytes = fs::read(&path).unwrap();
        let value = &table[record];
        let matches = bytes
            .windows(value.len())
            .enumerate()
            .filter(|(_, window)| window == value);
        let offsets: Vec<usize> = matches.map(|(at, _)| at).collect();
        offsets.iter().for_each(|&at| bytes[at] ^= 0x10);
        flipped += offsets.len();
        fs::write(&path, bytes).unwrap();
    }
    flipped
}

fn all_nodes(cluster: &ControlCluster) -> Vec<Rc<ControlNode>> {
    cluster.nodes.borrow().clone()
}

/// Waits for a configuration to be acknowledged, kills all nodes, and damages a record of the first `count` nodes.
async fn kill_and_damage(cluster: &ControlCluster, count: usize, record: &str) {
    assert_eq!(
        cluster.replace_config(0, &config(1, 0, "/first/")).await,
        Some(200)
    );
    sleep(Duration::from_secs(1)).await;
    for node in all_nodes(cluster) {
        cluster.kill(&node);
    }
    for node in &all_nodes(cluster)[..count] {
        assert!(
            damage(node, record) > 0,
            "{record} is not on the disk of {}",
            node.name
        );
    }
}

/// Statuses with which running nodes respond, for some seconds, to reads and to a configuration based on an empty state.
async fn response_statuses(
    cluster: &ControlCluster,
    nodes: &[Rc<ControlNode>],
    seconds: u64,
) -> BTreeSet<Option<u16>> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let mut statuses = BTreeSet::new();
    while Instant::now() < deadline {
        for node in nodes {
            statuses.insert(cluster.show(node).await.map(|(status, _)| status));
            let change = config(9, 0, "/on-nothing/");
            statuses.insert(
                cluster
                    .request(node, "POST", "/config/replace", &change)
                    .await
                    .map(|(status, _)| status),
            );
        }
        sleep(Duration::from_millis(300)).await;
    }
    statuses
}

fn only_errors(statuses: &BTreeSet<Option<u16>>) -> bool {
    statuses
        .iter()
        .all(|status| status.is_none_or(|status| status >= 500))
}

#[test]
fn two_damaged_of_three_nodes_give_no_response_from_an_empty_state() {
    let two_damaged = |record: &'static str, bootstrap| {
        move |cluster: Rc<ControlCluster>| async move {
            kill_and_damage(&cluster, 2, record).await;
            let nodes = all_nodes(&cluster);
            nodes[..2]
                .iter()
                .for_each(|node| cluster.start(node, bootstrap));
            response_statuses(&cluster, &nodes[..2], 12).await
        }
    };
    for record in ["register-0", "register-1", "identity"] {
        for bootstrap in [false, true] {
            let statuses = simulate(3, 1, two_damaged(record, bootstrap));
            assert!(
                only_errors(&statuses),
                "{record}, bootstrap {bootstrap}: {statuses:?}"
            );
        }
    }
    let _disabled = disable(Some(Safeguard::CorruptionIsDiskLoss));
    let statuses = simulate(3, 1, two_damaged("register-0", false));
    assert!(
        !only_errors(&statuses),
        "without the safeguard an acknowledged configuration is forgotten: {statuses:?}"
    );
}

#[test]
fn three_damaged_nodes_do_not_bootstrap_a_new_cluster() {
    let three_damaged = |cluster: Rc<ControlCluster>| async move {
        kill_and_damage(&cluster, 3, "identity").await;
        let nodes = all_nodes(&cluster);
        nodes.iter().for_each(|node| cluster.start(node, true));
        let first = response_statuses(&cluster, &nodes, 10).await;
        // At the second restart the files are valid again, but contain no membership.
        for node in &nodes {
            cluster.kill(node);
            cluster.start(node, true);
        }
        first
            .into_iter()
            .chain(response_statuses(&cluster, &nodes, 10).await)
            .collect()
    };
    let statuses = simulate(3, 1, three_damaged);
    assert!(only_errors(&statuses), "{statuses:?}");
    let _disabled = disable(Some(Safeguard::CorruptionIsDiskLoss));
    let statuses: BTreeSet<Option<u16>> = simulate(3, 1, three_damaged);
    assert!(
        statuses.contains(&Some(200)),
        "without the safeguard a second cluster is bootstrapped: {statuses:?}"
    );
}

/// Starts a damaged and an intact voter, then the third. Returns whether the first two gave only errors, the status of a
/// configuration sent after the third start, and the time from then until the damaged voter votes again.
async fn recover_one_of_three(
    cluster: Rc<ControlCluster>,
    record: &str,
) -> (bool, Option<u16>, Duration) {
    kill_and_damage(&cluster, 1, record).await;
    let nodes = all_nodes(&cluster);
    nodes[..2]
        .iter()
        .for_each(|node| cluster.start(node, false));
    let alone = response_statuses(&cluster, &nodes[..2], 10).await;
    cluster.start(&nodes[2], false);
    let began = Instant::now();
    let change = config(2, 1, "/second/");
    let status = cluster.replace_config(0, &change).await;
    // Once the damaged node votes again, a change is accepted although one of the other nodes is down.
    while fs::read(log_path(nodes[0].folder.path()))
        .unwrap()
        .windows(10)
        .all(|w| w != b"register-0")
    {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the damaged node does not vote again within 20 s"
        );
        sleep(Duration::from_millis(10)).await;
    }
    let recovery = began.elapsed();
    cluster.kill(&nodes[1]);
    assert_eq!(
        cluster.replace_config(0, &config(3, 2, "/third/")).await,
        Some(200)
    );
    for node in [&nodes[0], &nodes[2]] {
        assert_eq!(
            cluster.show(node).await,
            Some((200, config(3, 2, "/third/")))
        );
    }
    (only_errors(&alone), status, recovery)
}

#[test]
fn a_damaged_voter_votes_only_after_two_intact_voters_fenced_its_former_epoch() {
    for record in ["register-0", "register-1", "identity"] {
        let (only_errors, status, recovery) =
            simulate(3, 1, |cluster| recover_one_of_three(cluster, record));
        assert!(
            only_errors,
            "{record}: an intact and a damaged voter form no majority"
        );
        assert_eq!(status, Some(200), "{record}");
        println!("{record}: votes again {recovery:?} after the start of the second intact voter");
        assert!(recovery < Duration::from_secs(3), "{record}: {recovery:?}");
    }
}

#[test]
fn a_damaged_auxiliary_record_is_dropped_and_the_voter_keeps_voting() {
    for record in ["chosen-0", "members"] {
        simulate(3, 1, |cluster| async move {
            kill_and_damage(&cluster, 3, record).await;
            let nodes = all_nodes(&cluster);
            nodes[..2]
                .iter()
                .for_each(|node| cluster.start(node, false));
            let began = Instant::now();
            assert_eq!(
                cluster.replace_config(0, &config(2, 1, "/second/")).await,
                Some(200),
                "{record}"
            );
            println!(
                "{record}: a change is accepted {:?} after the start",
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
fn a_disk_in_another_format_version_is_restored_from_the_other_nodes() {
    simulate(3, 1, |cluster| async move {
        kill_and_damage(&cluster, 0, "identity").await;
        let nodes = all_nodes(&cluster);
        clear_folder(nodes[0].folder.path());
        fs::write(nodes[0].folder.path().join("state"), b"BCHUT001 and so on").unwrap();
        fs::write(nodes[0].folder.path().join("wal-1"), b"okw\0\0").unwrap();
        nodes.iter().for_each(|node| cluster.start(node, true));
        sleep(Duration::from_secs(3)).await;
        cluster.kill(&nodes[2]);
        assert_eq!(
            cluster.replace_config(0, &config(2, 1, "/second/")).await,
            Some(200)
        );
    });
}

/// Whether some disk holds a register without the identity under which its promise was given.
fn register_without_identity(cluster: &ControlCluster) -> bool {
    let read_table = |node: &Rc<ControlNode>| RecordStore::peek(node.folder.path()).0;
    all_nodes(cluster).iter().map(read_table).any(|table| {
        !table.contains_key("identity")
            && (table.contains_key("register-0") || table.contains_key("register-1"))
    })
}

async fn change_with_rejected_identity(cluster: Rc<ControlCluster>) -> bool {
    cluster.replace_config(0, &config(1, 0, "/first/")).await;
    register_without_identity(&cluster)
}

#[test]
fn no_response_before_the_identity_is_stored() {
    let register_stored_first = || {
        simulate(3, 1, |cluster| async move {
            // All nodes restart with empty disks, and the first node's disk fails every write that contains an identity.
            for node in all_nodes(&cluster) {
                cluster.kill(&node);
                clear_folder(node.folder.path());
            }
            let nodes = all_nodes(&cluster);
            nodes[0]
                .disk
                .rejects_write
                .set(|records| records.iter().any(|(name, _)| name == "identity"));
            nodes.iter().for_each(|node| cluster.start(node, true));
            sleep(Duration::from_secs(4)).await;
            change_with_rejected_identity(cluster).await
        })
    };
    assert!(!register_stored_first());
    let _disabled = disable(Some(Safeguard::IdentityBeforeResponse));
    assert!(
        register_stored_first(),
        "without the safeguard a promise is stored without the voter's identity"
    );
}

#[test]
fn rewriting_an_identity_does_not_lower_a_promise() {
    simulate(3, 1, |cluster| async move {
        assert_eq!(
            cluster.replace_config(0, &config(1, 0, "/first/")).await,
            Some(200)
        );
        let nodes = all_nodes(&cluster);
        cluster.kill(&nodes[0]);
        clear_folder(nodes[0].folder.path());
        cluster.start(&nodes[0], false);
        // Its disk fails writes of the identity that it learns up to version 19, while changes continue.
        let identity: fn(&beechcroft_consensus::Records) -> bool = |records| {
            records
                .iter()
                .any(|(name, value)| name == "identity" && !value.is_empty())
        };
        nodes[0].disk.rejects_write.set(identity);
        for version in 2..40 {
            if version == 20 {
                nodes[0].disk.rejects_write.set(|_| false);
            }
            let change = config(version, version - 1, &format!("/{version}/"));
            assert_eq!(
                cluster.replace_config(version as usize, &change).await,
                Some(200)
            );
        }
        sleep(Duration::from_secs(2)).await;
        let table = RecordStore::peek(nodes[0].folder.path()).0;
        assert!(
            table.get("identity").is_some_and(|bytes| !bytes.is_empty()),
            "the node holds no membership again"
        );
        assert!(
            nodes.iter().all(|node| !node.disk.promise_regressed.get()),
            "a stored promise was lowered"
        );
    });
}

/// Whether a change is acknowledged while the disks of a majority fail writes of registers, and lost after all nodes restart.
async fn acknowledged_change_is_lost(cluster: Rc<ControlCluster>) -> bool {
    assert_eq!(
        cluster.replace_config(0, &config(1, 0, "/first/")).await,
        Some(200)
    );
    let nodes = all_nodes(&cluster);
    let rejects_write: fn(&beechcroft_consensus::Records) -> bool = |records| {
        records
            .iter()
            .any(|(name, _)| name != "units" && name != "members")
    };
    nodes[..2]
        .iter()
        .for_each(|node| node.disk.rejects_write.set(rejects_write));
    let response = cluster
        .request(
            &nodes[0],
            "POST",
            "/config/replace",
            &config(2, 1, "/second/"),
        )
        .await;
    nodes.iter().for_each(|node| cluster.kill(node));
    nodes
        .iter()
        .for_each(|node| node.disk.rejects_write.set(|_| false));
    nodes[..2]
        .iter()
        .for_each(|node| cluster.start(node, false));
    sleep(Duration::from_secs(4)).await;
    let read = cluster.show(&nodes[0]).await.map(|(_, body)| body);
    response.is_some_and(|(status, _)| status == 200) && read != Some(config(2, 1, "/second/"))
}

#[test]
fn no_change_is_acknowledged_if_a_majority_of_disks_reject_it() {
    assert!(!simulate(3, 1, acknowledged_change_is_lost));
    let _disabled = disable(Some(Safeguard::SyncBeforeResponse));
    assert!(
        simulate(3, 1, acknowledged_change_is_lost),
        "without the safeguard an acknowledged change is lost"
    );
}

#[test]
fn scenario_with_a_damaged_record_on_each_control_node_violates_no_rule() {
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
    let acknowledged = report
        .history
        .configs
        .iter()
        .filter(|sent| sent.acked.is_some())
        .count();
    let killed = report
        .history
        .injected_faults
        .iter()
        .filter(|fault| fault.description == "killed" && fault.on != "core");
    assert_eq!((acknowledged, killed.count()), (6, 5));
    assert_eq!(report.verdict.violations, []);
    assert_eq!(report.unacknowledged, Vec::<String>::new());
}
