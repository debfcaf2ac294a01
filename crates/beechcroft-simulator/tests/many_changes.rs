//! A thousand changes, with core machines that restart, lose their disks and are replaced while they go on. Whoever
//! comes back is caught up within a bound; nobody shows what is older than what was acknowledged; and neither values nor
//! disks grow with the number of changes.

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

fn path(version: u32) -> String {
    format!("/at-{version:06}/")
}

/// Changes one after the other, each on top of the last acknowledged one, and readers that hold what they are shown
/// against what was acknowledged before they asked.
struct Changes {
    core: Rc<ControlCluster>,
    acknowledged: Cell<u32>,
    /// The longest time from an order's first sending to its acknowledgement.
    slowest: Cell<Duration>,
    older: RefCell<Vec<String>>,
    reads: Cell<u32>,
    ends: Cell<bool>,
}

impl Changes {
    /// `read_ms`: how often one of the machines is read.
    fn new(core: &Rc<ControlCluster>, read_ms: u64) -> Rc<Changes> {
        let changes = Changes {
            core: core.clone(),
            acknowledged: Cell::new(0),
            slowest: Cell::default(),
            older: RefCell::default(),
            reads: Cell::new(0),
            ends: Cell::new(false),
        };
        let changes = Rc::new(changes);
        spawn_local(changes.clone().read_on(read_ms));
        changes
    }

    async fn one(&self) {
        let base = self.acknowledged.get();
        let began = Instant::now();
        let first = base as usize % self.core.nodes.borrow().len();
        let taken = self
            .core
            .replace(first, &config(base + 1, base, &path(base + 1)))
            .await;
        assert_eq!(taken, Some(200), "change {}", base + 1);
        self.acknowledged.set(base + 1);
        self.slowest.set(self.slowest.get().max(began.elapsed()));
    }

    async fn until(&self, count: u32) {
        while self.acknowledged.get() < count {
            self.one().await;
        }
    }

    /// Asks every control node again and again.
    async fn read_on(self: Rc<Self>, read_ms: u64) {
        let mut nth = 0;
        while !self.ends.get() {
            sleep(Duration::from_millis(read_ms)).await;
            let nodes = self.core.nodes.borrow().clone();
            nth += 1;
            let (node, changes) = (nodes[nth % nodes.len()].clone(), self.clone());
            spawn_local(async move { changes.read(&node).await });
        }
    }

    async fn read(&self, node: &ControlNode) {
        let before = self.acknowledged.get();
        let Some((status, body)) = self.core.show(node).await else {
            return;
        };
        let text = String::from_utf8_lossy(&body);
        let shown = text
            .split("/at-")
            .nth(1)
            .and_then(|rest| rest[..6].parse::<u32>().ok());
        self.reads.set(self.reads.get() + 1);
        let fine = match (status, shown) {
            (200, Some(shown)) => shown >= before,
            (404, _) => before == 0,
            (status, _) => status >= 500,
        };
        if !fine {
            let said = format!(
                "{} shows {shown:?} ({status}), {before} was acknowledged before",
                node.name
            );
            self.older.borrow_mut().push(said);
        }
    }

    /// How long it takes, from now on, until a control node's disk says that it votes and holds what is acknowledged by now.
    async fn caught_up(&self, node: &ControlNode) -> Duration {
        let (began, due) = (Instant::now(), self.acknowledged.get());
        let wait = async {
            while !holds(node, due) {
                sleep(Duration::from_millis(25)).await;
            }
        };
        timeout(Duration::from_secs(60), wait)
            .await
            .unwrap_or_else(|_| {
                panic!(
                    "{} is not caught up with {due} after 60 s, and holds {:?}",
                    node.name,
                    held(node)
                )
            });
        began.elapsed()
    }
}

/// The newest version whose value a control node's disk holds as chosen, and whether it holds a membership.
fn held(node: &ControlNode) -> (u32, bool) {
    let (table, damage) = RecordStore::peek(node.folder.path());
    assert!(damage.is_empty(), "{}: {damage}", node.name);
    let revision = table.get("chosen-0").and_then(|held| {
        beechcroft_consensus::encoding::decode::<beechcroft_consensus::Value>(held)
            .ok()
            .map(|value| value.revision)
    });
    (
        revision.unwrap_or_default().0 as u32,
        table.get("identity").is_some_and(|held| !held.is_empty()),
    )
}

fn holds(node: &ControlNode, due: u32) -> bool {
    let (version, votes) = held(node);
    version >= due && votes
}

/// The files of a folder, those of its log among them.
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

/// Bytes of the files, of the table, and of the value of the configuration.
fn sizes(node: &ControlNode) -> (u64, usize, usize) {
    let all = files(node.folder.path());
    let on_disk = all
        .iter()
        .map(|path| fs::metadata(path).unwrap().len())
        .sum();
    let (table, _) = RecordStore::peek(node.folder.path());
    let all = table
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    (on_disk, all, table["chosen-0"].len())
}

fn wipe(node: &ControlNode) {
    fs::remove_dir_all(node.folder.path()).unwrap();
    fs::create_dir(node.folder.path()).unwrap();
}

/// Restarted, wiped, replaced, all restarted at once on slow disks. A restarted one hears of later changes with the first
/// datagrams; one without its disk asks the others to fence its former epoch every 0.3 s; a membership is given to another
/// machine after 2.5 s; on slow disks a round takes four syncs of 60 ms.
const BOUNDS: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(4),
];

/// Machines go down for a while of changes, so many at a time, and come back with their disks, without them, and as other
/// machines; then all at once, on slow disks. How long it took at most until one was caught up, of each kind.
async fn trouble(
    core: &Rc<ControlCluster>,
    changes: &Rc<Changes>,
    together: usize,
) -> [Duration; 4] {
    let nodes = || core.nodes.borrow().clone();
    let mut worst = [Duration::ZERO; 4];
    for (round, worst) in worst.iter_mut().take(3).enumerate() {
        for first in (0..nodes().len()).step_by(together) {
            let down: Vec<usize> = (first..nodes().len()).take(together).collect();
            let goal = changes.acknowledged.get() + 20;
            down.iter().for_each(|&nth| core.kill(&nodes()[nth]));
            changes.until(goal).await;
            for &nth in &down {
                match round {
                    0 => {}
                    1 => wipe(&nodes()[nth]),
                    _ => core.replace_machine(nth),
                }
                core.start(&nodes()[nth], false);
            }
            let others = changes.clone();
            let on = spawn_local(async move { others.until(goal + 40).await });
            for &nth in &down {
                *worst = changes.caught_up(&nodes()[nth]).await.max(*worst);
            }
            on.await.unwrap();
        }
    }
    for _ in 0..3 {
        for node in nodes() {
            core.kill(&node);
            node.disk.sync_ms.set(60);
        }
        nodes().iter().for_each(|node| core.start(node, false));
        for node in nodes() {
            worst[3] = worst[3].max(changes.caught_up(&node).await);
        }
        changes.until(changes.acknowledged.get() + 20).await;
        nodes().iter().for_each(|node| node.disk.sync_ms.set(2));
    }
    worst
}

/// So many changes with all that trouble among them; one of the machines is read so often, and so many reads are answered
/// at least.
fn changes(count: u32, machines: usize, together: usize, (read_ms, least): (u64, u32), seed: u64) {
    simulate(machines, seed, |core| async move {
        // Of the datagrams, which tell who is there and who has newer values, one in ten is lost, and one in twenty comes twice.
        (core.network.state().loss, core.network.state().duplication) = (0.1, 0.05);
        let changes = Changes::new(&core, read_ms);
        let nodes = || core.nodes.borrow().clone();
        changes.until(100).await;
        let early: Vec<_> = nodes().iter().map(|node| sizes(node)).collect();
        let worst = trouble(&core, &changes, together).await;
        changes.until(count).await;
        sleep(Duration::from_secs(3)).await;
        let late: Vec<_> = nodes().iter().map(|node| sizes(node)).collect();
        changes.ends.set(true);
        let count = changes.acknowledged.get();
        println!("{machines} machines, {together} at a time, seed {seed}");
        println!(
            "bytes of files, table and value after 100 changes {early:?}, after {count} {late:?}"
        );
        println!("caught up with disk, without, as another machine, all at once: {worst:?}");
        let written: u64 = nodes().iter().map(|node| node.disk.written.get()).sum();
        let each = written / u64::from(count) / nodes().len() as u64;
        println!("{each} bytes written on each disk for a change and the reads beside it");
        println!(
            "slowest acknowledgement {:?}, {} reads",
            changes.slowest.get(),
            changes.reads.get()
        );
        assert_eq!(*changes.older.borrow(), Vec::<String>::new());
        assert!(changes.reads.get() > least, "{} reads", changes.reads.get());
        assert!(
            worst.iter().zip(BOUNDS).all(|(took, bound)| *took < bound),
            "{worst:?}"
        );
        assert!(
            changes.slowest.get() < Duration::from_secs(8),
            "{:?}",
            changes.slowest.get()
        );
        for (files, table, value) in late {
            // A value grows with the history of versions taken, which holds 512 of them.
            assert!(
                files < 5 << 20 && table < 40_000 && value < 16_000,
                "{files} {table} {value}"
            );
        }
    });
}

#[test]
fn each_core_machine_restarts_loses_its_disk_and_is_replaced_over_a_thousand_changes() {
    changes(1000, 3, 1, (40, 10_000), 4);
}
#[test]
fn two_of_five_machines_at_a_time_restart_lose_their_disks_and_are_replaced_while_changes_go_on() {
    changes(700, 5, 2, (200, 1000), 2);
}
