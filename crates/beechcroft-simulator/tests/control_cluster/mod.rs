//! Core machines alone, the program as it is, on folders of real files: what is written, damaged and read is bytes.
//! Time is the world's, and so is what a sync takes.

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

type Refuses = fn(&Records) -> bool;

/// The disk of a control node: a folder.
pub struct MachineDisk {
    store: RefCell<Option<RecordStore>>,
    pub sync_ms: Cell<u64>,
    free_at: Cell<Instant>,
    /// Writes that fail.
    pub refuses: Cell<Refuses>,
    pub written: Cell<u64>,
    /// Whether a write took a register back behind what it had promised.
    pub went_back: Cell<bool>,
}

fn promised(table: &Table) -> [Ballot; 2] {
    ["register-0", "register-1"].map(|name| {
        let register = table
            .get(name)
            .and_then(|held| encoding::decode::<Register>(held).ok());
        register.unwrap_or_default().promised
    })
}

struct Writes(Rc<MachineDisk>);

impl SimulatedDisk for Writes {
    fn store(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>> {
        let disk = self.0.clone();
        Box::pin(async move {
            let done =
                disk.free_at.get().max(Instant::now()) + Duration::from_millis(disk.sync_ms.get());
            disk.free_at.set(done);
            sleep_until(done).await;
            if disk.refuses.get()(&records) {
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
            let before = promised(store.table());
            let kept = store.write(&records).is_ok();
            let back = before
                .iter()
                .zip(promised(store.table()))
                .any(|(before, after)| *before > after);
            disk.went_back.set(disk.went_back.get() || back);
            kept
        })
    }
}

pub struct ControlNode {
    pub name: String,
    pub ip: Ipv4Addr,
    pub folder: TempDir,
    pub disk: Rc<MachineDisk>,
    process: RefCell<Option<Process>>,
}

pub struct ControlCluster {
    pub network: Network,
    runtime: Runtime,
    pub nodes: RefCell<Vec<Rc<ControlNode>>>,
    losses: usize,
    next: Cell<u8>,
}

/// Plays a day of a core of so many, the first start behind it.
pub fn simulate<T, F: Future<Output = T>>(
    count: usize,
    seed: u64,
    day: impl FnOnce(Rc<ControlCluster>) -> F,
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
            place(&network, operator, "operator", 0);
            let runtime = Runtime::simulated(Rc::new(network.host_network(operator)));
            let losses = (count - 1) / 2;
            let core = ControlCluster {
                network,
                runtime,
                nodes: RefCell::default(),
                losses,
                next: Cell::new(0),
            };
            (0..count).for_each(|_| core.add());
            let core = Rc::new(core);
            core.nodes
                .borrow()
                .iter()
                .for_each(|node| core.start(node, true));
            sleep(Duration::from_secs(5)).await;
            day(core).await
        }))
}

fn place(network: &Network, ip: Ipv4Addr, name: &str, region: u8) {
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

/// A folder in memory where there is one: what a sync takes is the world's.
fn folder() -> TempDir {
    let memory = Path::new("/dev/shm");
    if memory.is_dir() {
        TempDir::new_in(memory)
    } else {
        TempDir::new()
    }
    .unwrap()
}

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
    /// A machine more, not started.
    pub fn add(&self) {
        let node = self.machine();
        self.nodes.borrow_mut().push(node);
    }

    /// Another, empty machine in the place of the nth.
    #[allow(dead_code)]
    pub fn replace_machine(&self, nth: usize) {
        let node = self.machine();
        self.nodes.borrow_mut()[nth] = node;
    }

    fn machine(&self) -> Rc<ControlNode> {
        let nth = self.next.get();
        self.next.set(nth + 1);
        let (name, ip) = (format!("core-{nth}"), Ipv4Addr::new(10, 2, 0, nth + 1));
        place(&self.network, ip, &name, nth % 3);
        let disk = MachineDisk {
            store: RefCell::default(),
            sync_ms: Cell::new(2),
            free_at: Cell::new(Instant::now()),
            refuses: Cell::new(|_| false),
            written: Cell::new(0),
            went_back: Cell::new(false),
        };
        let (folder, disk, process) = (folder(), Rc::new(disk), RefCell::default());
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
             internalPorts = [7540, 7555]\nseedNodes = [{}]\nbootstrap = {bootstrap}\nquorumMember = true\n\
             dataDir = \"/none\"\nheartbeatMs = 1000\n[zones]\n{}\n[listen]\ncontrol = \"{}:{CONTROL_PORT}\"\n\
             [limits]\nlinkMbps = 1000.0\n[faultTolerance]\nnodeLosses = {}\n[bounds]\nretryExtra = 50.0\ngraceS = 6.0\n",
            node.name,
            node.ip,
            seeds.join(","),
            zones.join("\n"),
            node.ip,
            self.losses
        );
        Settings::read(&text).expect("sound settings")
    }

    /// Opens the folder as the program does, and runs.
    pub fn start(&self, node: &Rc<ControlNode>, bootstrap: bool) {
        let settings = self.settings(node, bootstrap);
        let runtime = Runtime::simulated(Rc::new(self.network.host_network(node.ip)));
        let (told, seeds) = mpsc::unbounded_channel();
        let environment = Environment {
            runtime,
            shutdown: Box::pin(std::future::pending()),
            seeds,
        };
        let store = disk::open(node.folder.path()).expect("it opens whatever is in it");
        let table = store.table().clone();
        *node.disk.store.borrow_mut() = Some(store);
        node.disk.free_at.set(Instant::now());
        let disk = Disk::simulated(Rc::new(Writes(node.disk.clone())));
        let main = async move {
            let _kept = told;
            beechcroft_control::run::run(
                settings,
                ServiceDefaults::default(),
                environment,
                disk,
                table,
            )
            .await
            .expect("it runs");
        };
        *node.process.borrow_mut() = Some(Process::start(&self.network, node.ip, main));
    }

    pub fn kill(&self, node: &ControlNode) {
        if let Some(process) = node.process.borrow_mut().take() {
            process.kill();
        }
        self.network.remove_process(node.ip);
        *node.disk.store.borrow_mut() = None;
    }

    /// What one control node answers an operator.
    pub async fn ask(
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

    pub async fn show(&self, node: &ControlNode) -> Option<(u16, Vec<u8>)> {
        self.ask(node, "GET", "/config/show", b"").await
    }

    /// Sends a configuration to one control node after the other, from the nth on, until one ends it.
    pub async fn replace(&self, nth: usize, body: &[u8]) -> Option<u16> {
        let until = Instant::now() + Duration::from_secs(30);
        let mut nth = nth;
        while Instant::now() < until {
            let nodes = self.nodes.borrow().clone();
            let to = SocketAddrV4::new(nodes[nth % nodes.len()].ip, CONTROL_PORT);
            let within = Duration::from_millis(1000);
            match call(&self.runtime, to, "POST", "/config/replace", body, within).await {
                Some((status, _)) if status < 500 => return Some(status),
                _ => sleep(Duration::from_millis(100)).await,
            }
            nth += 1;
        }
        None
    }
}
