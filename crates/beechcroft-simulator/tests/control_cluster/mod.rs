//! A cluster of control nodes without proxies or endpoints. Each runs the unmodified program on a folder of real files, so that
//! tests read and damage the stored bytes. Time and the duration of a disk sync are simulated.

#![allow(dead_code)] // Each test program uses a part of this module.

use beechcroft_config::ServiceDefaults;
use beechcroft_config::Settings;
use beechcroft_consensus::Register;
use beechcroft_consensus::{encoding, Ballot, Records};
use beechcroft_control::disk::{self, Disk, SimulatedDisk};
use beechcroft_simulator::cluster::network::{Host, Network};
use beechcroft_simulator::cluster::process::Process;
use beechcroft_simulator::cluster::{http::call, world::CONTROL_PORT};
use beechcroft_storage::{RecordStore, Table};
use beechcroft_transport::lifecycle::Environment;
use beechcroft_transport::rpc::paths;
use beechcroft_transport::Runtime;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Port of a node's internal API.
const INTERNAL_PORT: u16 = 7540;

/// Whether the disk fails a write of these records.
type RejectsWrite = fn(&Records) -> bool;

/// The disk of a control node, backed by a folder. The store is absent while the node is down.
pub struct NodeDisk {
    store: RefCell<Option<RecordStore>>,
    /// Duration of a sync in milliseconds.
    pub sync_ms: Cell<u64>,
    /// When the last queued sync completes.
    free_at: Cell<Instant>,
    /// Selects the writes that fail.
    pub rejects_write: Cell<RejectsWrite>,
    /// Bytes of record names and values written.
    pub written: Cell<u64>,
    /// Whether a write replaced a register's promised ballot by a lower one.
    pub promise_regressed: Cell<bool>,
}

fn promised_ballots(table: &Table) -> [Ballot; 2] {
    ["register-0", "register-1"].map(|name| {
        let register = table
            .get(name)
            .and_then(|held| encoding::decode::<Register>(held).ok());
        register.unwrap_or_default().promised
    })
}

struct DiskHandle(Rc<NodeDisk>);

impl SimulatedDisk for DiskHandle {
    fn store(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>> {
        let disk = self.0.clone();
        Box::pin(async move {
            let done =
                disk.free_at.get().max(Instant::now()) + Duration::from_millis(disk.sync_ms.get());
            disk.free_at.set(done);
            sleep_until(done).await;
            if disk.rejects_write.get()(&records) {
                return false;
            }
            let bytes: usize = records
                .iter()
                .map(|(name, value)| name.len() + value.len())
                .sum();
            disk.written.set(disk.written.get() + bytes as u64);
            let mut store = disk.store.borrow_mut();
            let Some(store) = store.as_mut() else {
                return false;
            };
            let before = promised_ballots(store.table());
            let stored = store.write(&records).is_ok();
            let regressed = before
                .iter()
                .zip(promised_ballots(store.table()))
                .any(|(before, after)| *before > after);
            disk.promise_regressed
                .set(disk.promise_regressed.get() || regressed);
            stored
        })
    }
}

/// A control node: its address, its data folder and, while it runs, its process.
pub struct ControlNode {
    pub name: String,
    pub ip: Ipv4Addr,
    pub folder: TempDir,
    pub disk: Rc<NodeDisk>,
    process: RefCell<Option<Process>>,
}

/// A control cluster on a simulated network, with the operator's connection to it.
pub struct ControlCluster {
    pub network: Network,
    runtime: Runtime,
    pub nodes: RefCell<Vec<Rc<ControlNode>>>,
    /// Number of node losses the cluster is configured to tolerate.
    tolerated_losses: usize,
    /// Index of the next node to be created; indices are not reused.
    next_index: Cell<u8>,
}

/// Starts a control cluster of `count` nodes, waits 5 s of simulated time, and runs `test` on it.
pub fn simulate<T, F: Future<Output = T>>(
    count: usize,
    seed: u64,
    test: impl FnOnce(Rc<ControlCluster>) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime
        .unwrap()
        .block_on(LocalSet::new().run_until(async move {
            let network = Network::new(seed, 1, 20);
            spawn_local(network.clone().run());
            let operator = Ipv4Addr::new(10, 250, 0, 1);
            add_host(&network, operator, "operator", 0);
            let runtime = Runtime::simulated(Rc::new(network.host_network(operator)));
            let tolerated_losses = (count - 1) / 2;
            let cluster = ControlCluster {
                network,
                runtime,
                nodes: RefCell::default(),
                tolerated_losses,
                next_index: Cell::new(0),
            };
            (0..count).for_each(|_| cluster.add_node());
            let cluster = Rc::new(cluster);
            cluster
                .nodes
                .borrow()
                .iter()
                .for_each(|node| cluster.start(node, true));
            sleep(Duration::from_secs(5)).await;
            test(cluster).await
        }))
}

fn add_host(network: &Network, ip: Ipv4Addr, name: &str, region: u8) {
    let (region, zone) = (format!("region-{region}"), format!("zone-{region}a"));
    network.state().hosts.insert(
        ip,
        Host {
            name: name.into(),
            region,
            zone,
            ..Host::default()
        },
    );
}

/// Uses memory-backed storage where available, because the duration of a sync is simulated.
fn data_folder() -> TempDir {
    let shared_memory = Path::new("/dev/shm");
    if shared_memory.is_dir() {
        TempDir::new_in(shared_memory)
    } else {
        TempDir::new()
    }
    .unwrap()
}

/// The body of a configuration with one route, whose path prefix is `path`.
pub fn config(version: u32, base: u32, path: &str) -> Vec<u8> {
    let body = serde_json::json!({"version": format!("{version:08x}"), "baseVersion": format!("{base:08x}"),
        "services": [{"name": "boards", "healthPath": "/health", "maxConns": 110}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "virtualHosts": [{"hostname": "range.example", "pathRules": [{"name": "a", "pathPrefix": path,
            "routeType": "idempotent", "timeoutMs": 5000, "targetMs": 400, "priority": 1, "service": "boards",
            "retries": 2, "homeRegions": []}]}]});
    body.to_string().into_bytes()
}

impl ControlCluster {
    /// Adds a node without starting it.
    pub fn add_node(&self) {
        let node = self.new_node();
        self.nodes.borrow_mut().push(node);
    }

    /// Replaces the node at index `nth` by a new one with an empty disk, without starting it.
    pub fn replace_node(&self, nth: usize) {
        let node = self.new_node();
        self.nodes.borrow_mut()[nth] = node;
    }

    fn new_node(&self) -> Rc<ControlNode> {
        let nth = self.next_index.get();
        self.next_index.set(nth + 1);
        let (name, ip) = (format!("core-{nth}"), Ipv4Addr::new(10, 2, 0, nth + 1));
        add_host(&self.network, ip, &name, nth % 3);
        let disk = NodeDisk {
            store: RefCell::default(),
            sync_ms: Cell::new(2),
            free_at: Cell::new(Instant::now()),
            rejects_write: Cell::new(|_| false),
            written: Cell::new(0),
            promise_regressed: Cell::new(false),
        };
        let (folder, disk, process) = (data_folder(), Rc::new(disk), RefCell::default());
        Rc::new(ControlNode {
            name,
            ip,
            folder,
            disk,
            process,
        })
    }

    fn settings(&self, node: &ControlNode, bootstrap: bool) -> Settings {
        let nodes = self.nodes.borrow();
        let seeds: Vec<String> = nodes
            .iter()
            .take(3)
            .map(|node| format!("\"{}:{CONTROL_PORT}\"", node.ip))
            .collect();
        let inner = self.network.state();
        let Host { zone, region, .. } = &inner.hosts[&node.ip];
        let zones: Vec<String> = (0..3)
            .map(|r| format!("zone-{r}a = \"region-{r}\""))
            .collect();
        let text = format!(
            "nodeName = \"{}\"\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPorts = [{INTERNAL_PORT}, 7555]\nseedNodes = [{}]\nbootstrap = {bootstrap}\nquorumMember = true\n\
             dataDir = \"/none\"\nheartbeatMs = 1000\n[zones]\n{}\n[listen]\ncontrol = \"{}:{CONTROL_PORT}\"\n\
             [limits]\nlinkMbps = 1000.0\n[faultTolerance]\nnodeLosses = {}\n[bounds]\nretryExtra = 50.0\ngraceS = 6.0\n",
            node.name,
            node.ip,
            seeds.join(","),
            zones.join("\n"),
            node.ip,
            self.tolerated_losses
        );
        Settings::read(&text).expect("valid settings")
    }

    /// Opens the node's folder as the program does at start-up, and runs the control node.
    pub fn start(&self, node: &Rc<ControlNode>, bootstrap: bool) {
        let settings = self.settings(node, bootstrap);
        let runtime = Runtime::simulated(Rc::new(self.network.host_network(node.ip)));
        let (seed_sender, seeds) = mpsc::unbounded_channel();
        let environment = Environment {
            runtime,
            shutdown: Box::pin(std::future::pending()),
            seeds,
        };
        let store =
            disk::open(node.folder.path()).expect("damaged data does not prevent opening the disk");
        let table = store.table().clone();
        *node.disk.store.borrow_mut() = Some(store);
        node.disk.free_at.set(Instant::now());
        let disk = Disk::simulated(Rc::new(DiskHandle(node.disk.clone())));
        let main = async move {
            // The channel stays open while the node runs.
            let _seed_sender = seed_sender;
            beechcroft_control::run::run(
                settings,
                ServiceDefaults::default(),
                environment,
                disk,
                table,
            )
            .await
            .expect("control node runs without error");
        };
        *node.process.borrow_mut() = Some(Process::start(&self.network, node.ip, main));
    }

    /// Ends the node's process without a shutdown and closes its disk.
    pub fn kill(&self, node: &ControlNode) {
        if let Some(process) = node.process.borrow_mut().take() {
            process.kill();
        }
        self.network.remove_process(node.ip);
        *node.disk.store.borrow_mut() = None;
    }

    /// Sends an operator's request to one control node; `None` without a response within 4 s.
    pub async fn request(
        &self,
        node: &ControlNode,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let to = SocketAddrV4::new(node.ip, CONTROL_PORT);
        call(
            &self.runtime,
            to,
            method,
            path,
            body,
            Duration::from_secs(4),
        )
        .await
    }

    /// Reads the current configuration from one control node.
    pub async fn show(&self, node: &ControlNode) -> Option<(u16, Vec<u8>)> {
        self.request(node, "GET", "/config/show", b"").await
    }

    /// The state that one running control node shows to the operator; empty without a response.
    pub async fn show_state(&self, node: &ControlNode) -> String {
        let to = SocketAddrV4::new(node.ip, INTERNAL_PORT);
        let response = call(
            &self.runtime,
            to,
            "POST",
            paths::SHOW,
            b"",
            Duration::from_secs(1),
        );
        let (_, text) = response.await.unwrap_or_default();
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Sends a configuration to the control nodes in turn, beginning with index `nth`, until one responds with a status
    /// below 500; gives up after 30 s.
    pub async fn replace_config(&self, nth: usize, body: &[u8]) -> Option<u16> {
        let deadline = Instant::now() + Duration::from_secs(30);
        let mut nth = nth;
        while Instant::now() < deadline {
            let nodes = self.nodes.borrow().clone();
            let to = SocketAddrV4::new(nodes[nth % nodes.len()].ip, CONTROL_PORT);
            let timeout = Duration::from_millis(1000);
            match call(&self.runtime, to, "POST", "/config/replace", body, timeout).await {
                Some((status, _)) if status < 500 => return Some(status),
                _ => sleep(Duration::from_millis(100)).await,
            }
            nth += 1;
        }
        None
    }
}
