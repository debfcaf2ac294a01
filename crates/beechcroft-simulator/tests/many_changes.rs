//! A thousand configuration changes while control nodes restart, lose their disks and are replaced. A returning node catches
//! up within a bound, no read returns a version older than one acknowledged before it, and neither values nor disk usage
//! grow with the number of changes.

mod control_cluster;

use self::control_cluster::{config, simulate, ControlCluster, ControlNode};
use beechcroft_storage::RecordStore;
use std::cell::{Cell, RefCell};
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// The route prefix that identifies a version in the configuration that is read.
fn path(version: u32) -> String {
    format!("/at-{version:06}/")
}

/// Applies changes one after the other, each based on the last acknowledged version, and checks that reads return no version
/// older than the one acknowledged before the read.
struct ChangeDriver {
    cluster: Rc<ControlCluster>,
    acknowledged: Cell<u32>,
    /// The longest time from first sending a change to its acknowledgement.
    slowest: Cell<Duration>,
    /// Reads that returned a version older than the acknowledged one, or an unexpected status.
    stale_reads: RefCell<Vec<String>>,
    reads: Cell<u32>,
    stopped: Cell<bool>,
}

impl ChangeDriver {
    /// Every `read_ms` milliseconds, one of the control nodes is read.
    fn new(cluster: &Rc<ControlCluster>, read_ms: u64) -> Rc<ChangeDriver> {
        let driver = ChangeDriver {
            cluster: cluster.clone(),
            acknowledged: Cell::new(0),
            slowest: Cell::default(),
            stale_reads: RefCell::default(),
            reads: Cell::new(0),
            stopped: Cell::new(false),
        };
        let driver = Rc::new(driver);
        spawn_local(driver.clone().read_periodically(read_ms));
        driver
    }

    async fn apply_next(&self) {
        let base = self.acknowledged.get();
        let began = Instant::now();
        let first = base as usize % self.cluster.nodes.borrow().len();
        let status = self
            .cluster
            .replace_config(first, &config(base + 1, base, &path(base + 1)))
            .await;
        assert_eq!(status, Some(200), "change {}", base + 1);
        self.acknowledged.set(base + 1);
        self.slowest.set(self.slowest.get().max(began.elapsed()));
    }

    async fn apply_until(&self, count: u32) {
        while self.acknowledged.get() < count {
            self.apply_next().await;
        }
    }

    /// Reads the control nodes in turn until stopped.
    async fn read_periodically(self: Rc<Self>, read_ms: u64) {
        let mut nth = 0;
        while !self.stopped.get() {
            sleep(Duration::from_millis(read_ms)).await;
            let nodes = self.cluster.nodes.borrow().clone();
            nth += 1;
            let (node, driver) = (nodes[nth % nodes.len()].clone(), self.clone());
            spawn_local(async move { driver.read(&node).await });
        }
    }

    async fn read(&self, node: &ControlNode) {
        let before = self.acknowledged.get();
        let Some((status, body)) = self.cluster.show(node).await else {
            return;
        };
        let text = String::from_utf8_lossy(&body);
        let shown = text
            .split("/at-")
            .nth(1)
            .and_then(|rest| rest[..6].parse::<u32>().ok());
        self.reads.set(self.reads.get() + 1);
        let valid = match (status, shown) {
            (200, Some(shown)) => shown >= before,
            (404, _) => before == 0,
            (status, _) => status >= 500,
        };
        if !valid {
            let message = format!(
                "{} returned version {shown:?} (status {status}) after {before} had been acknowledged",
                node.name
            );
            self.stale_reads.borrow_mut().push(message);
        }
    }

    /// Waits until a control node's disk holds its membership and the version acknowledged at the time of the call; returns
    /// the time this took. Panics after 60 s.
    async fn catch_up(&self, node: &ControlNode) -> Duration {
        let (began, expected) = (Instant::now(), self.acknowledged.get());
        let wait = async {
            while !has_caught_up(node, expected) {
                sleep(Duration::from_millis(25)).await;
            }
        };
        timeout(Duration::from_secs(60), wait)
            .await
            .unwrap_or_else(|_| {
                panic!(
                    "{} has not reached version {expected} after 60 s; (version, membership) on disk: {:?}",
                    node.name,
                    stored_state(node)
                )
            });
        began.elapsed()
    }
}

/// The newest version stored as chosen on a control node's disk, and whether the disk holds a membership.
fn stored_state(node: &ControlNode) -> (u32, bool) {
    let (table, damage) = RecordStore::peek(node.folder.path());
    assert!(damage.is_empty(), "{}: {damage}", node.name);
    let revision = table.get("chosen-0").and_then(|bytes| {
        beechcroft_consensus::encoding::decode::<beechcroft_consensus::Value>(bytes)
            .ok()
            .map(|value| value.revision)
    });
    (
        revision.unwrap_or_default().0 as u32,
        table.get("identity").is_some_and(|bytes| !bytes.is_empty()),
    )
}

fn has_caught_up(node: &ControlNode, expected: u32) -> bool {
    let (version, votes) = stored_state(node);
    version >= expected && votes
}

/// All files under a folder, including those of the log.
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

/// Sizes in bytes of a node's files, its table, and its stored configuration value.
fn sizes(node: &ControlNode) -> (u64, usize, usize) {
    let paths = files(node.folder.path());
    let on_disk = paths
        .iter()
        .map(|path| fs::metadata(path).unwrap().len())
        .sum();
    let (table, _) = RecordStore::peek(node.folder.path());
    let table_bytes = table
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    (on_disk, table_bytes, table["chosen-0"].len())
}

fn wipe(node: &ControlNode) {
    fs::remove_dir_all(node.folder.path()).unwrap();
    fs::create_dir(node.folder.path()).unwrap();
}

/// Bounds on catching up after a restart, after the loss of a disk, after replacement, and after all nodes restart at once on
/// slow disks. A restarted node learns of later changes from the first gossip messages. A node without its disk asks the
/// others every 0.3 s to fence its former epoch. A membership is handed to another node after 2.5 s. On slow disks a
/// consensus round takes four syncs of 60 ms.
const CATCH_UP_BOUNDS: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(4),
];

/// Takes down `together` nodes at a time while changes continue, and brings them back with their disks, then without them,
/// then as new nodes; finally restarts all nodes at once on slow disks. Returns the longest catch-up time of each kind.
async fn inject_faults(
    cluster: &Rc<ControlCluster>,
    driver: &Rc<ChangeDriver>,
    together: usize,
) -> [Duration; 4] {
    let nodes = || cluster.nodes.borrow().clone();
    let mut worst = [Duration::ZERO; 4];
    for (round, worst) in worst.iter_mut().take(3).enumerate() {
        for first in (0..nodes().len()).step_by(together) {
            let down: Vec<usize> = (first..nodes().len()).take(together).collect();
            let goal = driver.acknowledged.get() + 20;
            down.iter().for_each(|&nth| cluster.kill(&nodes()[nth]));
            driver.apply_until(goal).await;
            for &nth in &down {
                match round {
                    0 => {}
                    1 => wipe(&nodes()[nth]),
                    _ => cluster.replace_node(nth),
                }
                cluster.start(&nodes()[nth], false);
            }
            let others = driver.clone();
            let later_changes = spawn_local(async move { others.apply_until(goal + 40).await });
            for &nth in &down {
                *worst = driver.catch_up(&nodes()[nth]).await.max(*worst);
            }
            later_changes.await.unwrap();
        }
    }
    for _ in 0..3 {
        for node in nodes() {
            cluster.kill(&node);
            node.disk.sync_ms.set(60);
        }
        nodes().iter().for_each(|node| cluster.start(node, false));
        for node in nodes() {
            worst[3] = worst[3].max(driver.catch_up(&node).await);
        }
        driver.apply_until(driver.acknowledged.get() + 20).await;
        nodes().iter().for_each(|node| node.disk.sync_ms.set(2));
    }
    worst
}

/// Applies `count` changes with injected faults among them. One node is read every `read_ms` milliseconds, and more than
/// `min_reads` reads must be answered.
fn run_changes(
    count: u32,
    node_count: usize,
    together: usize,
    (read_ms, min_reads): (u64, u32),
    seed: u64,
) {
    simulate(node_count, seed, |cluster| async move {
        // Gossip datagrams announce members and newer values: 10% are lost and 5% are duplicated.
        (
            cluster.network.state().loss,
            cluster.network.state().duplication,
        ) = (0.1, 0.05);
        let driver = ChangeDriver::new(&cluster, read_ms);
        let nodes = || cluster.nodes.borrow().clone();
        driver.apply_until(100).await;
        let early_sizes: Vec<_> = nodes().iter().map(|node| sizes(node)).collect();
        let worst = inject_faults(&cluster, &driver, together).await;
        driver.apply_until(count).await;
        sleep(Duration::from_secs(3)).await;
        let late_sizes: Vec<_> = nodes().iter().map(|node| sizes(node)).collect();
        driver.stopped.set(true);
        let count = driver.acknowledged.get();
        println!("{node_count} nodes, {together} at a time, seed {seed}");
        println!(
            "bytes of files, table and value after 100 changes {early_sizes:?}, after {count} {late_sizes:?}"
        );
        println!("longest catch-up with disk, without disk, as a new node, all restarted at once: {worst:?}");
        let written: u64 = nodes().iter().map(|node| node.disk.written.get()).sum();
        let per_change = written / u64::from(count) / nodes().len() as u64;
        println!("{per_change} bytes written on each disk per change, including concurrent reads");
        println!(
            "slowest acknowledgement {:?}, {} reads",
            driver.slowest.get(),
            driver.reads.get()
        );
        assert_eq!(*driver.stale_reads.borrow(), Vec::<String>::new());
        assert!(
            driver.reads.get() > min_reads,
            "{} reads",
            driver.reads.get()
        );
        assert!(
            worst
                .iter()
                .zip(CATCH_UP_BOUNDS)
                .all(|(took, bound)| *took < bound),
            "{worst:?}"
        );
        assert!(
            driver.slowest.get() < Duration::from_secs(8),
            "{:?}",
            driver.slowest.get()
        );
        for (files, table, value) in late_sizes {
            // A value contains the history of accepted versions, which is limited to 512 entries.
            assert!(
                files < 5 << 20 && table < 40_000 && value < 16_000,
                "{files} {table} {value}"
            );
        }
    });
}

#[test]
fn one_node_at_a_time_restarts_loses_its_disk_and_is_replaced_over_a_thousand_changes() {
    run_changes(1000, 3, 1, (40, 10_000), 4);
}
#[test]
fn two_of_five_nodes_at_a_time_restart_lose_their_disks_and_are_replaced_during_changes() {
    run_changes(700, 5, 2, (200, 1000), 2);
}
