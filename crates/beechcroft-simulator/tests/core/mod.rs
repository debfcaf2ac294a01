//! Core machines alone, the program as it is, on folders of real files: what is written, damaged and read is bytes.
//! Time is the world's, and so is what a sync takes.

use beechcroft_config::ServiceDefaults;
use beechcroft_config::Settings;
use beechcroft_consensus::Register;
use beechcroft_consensus::{encoding, Ballot, Records};
use beechcroft_control::disk::{self, Disk, SimulatedDisk};
use beechcroft_simulator::whole::actors::{call, CONTROL};
use beechcroft_simulator::whole::fabric::{Fabric, Spot};
use beechcroft_simulator::whole::process::Process;
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

/// The disk of a hut: a folder.
pub struct Plate {
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

struct Writes(Rc<Plate>);

impl SimulatedDisk for Writes {
    fn store(&self, records: Records) -> Pin<Box<dyn Future<Output = bool>>> {
        let plate = self.0.clone();
        Box::pin(async move {
            let done = plate.free_at.get().max(Instant::now())
                + Duration::from_millis(plate.sync_ms.get());
            plate.free_at.set(done);
            sleep_until(done).await;
            if plate.refuses.get()(&records) {
                return false;
            }
            let bytes: usize = records
                .iter()
                .map(|(name, value)| name.len() + value.len())
                .sum();
            plate.written.set(plate.written.get() + bytes as u64);
            let mut store = plate.store.borrow_mut();
            let Some(store) = store.as_mut() else {
                return false;
            };
            let before = promised(store.table());
            let kept = store.write(&records).is_ok();
            let back = before
                .iter()
                .zip(promised(store.table()))
                .any(|(before, after)| *before > after);
            plate.went_back.set(plate.went_back.get() || back);
            kept
        })
    }
}

pub struct Hut {
    pub name: String,
    pub ip: Ipv4Addr,
    pub folder: TempDir,
    pub plate: Rc<Plate>,
    process: RefCell<Option<Process>>,
}

pub struct Core {
    pub fabric: Fabric,
    runtime: Runtime,
    pub huts: RefCell<Vec<Rc<Hut>>>,
    losses: usize,
    next: Cell<u8>,
}

/// Plays a day of a core of so many, the first start behind it.
pub fn play<T, F: Future<Output = T>>(
    count: usize,
    seed: u64,
    day: impl FnOnce(Rc<Core>) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime
        .unwrap()
        .block_on(LocalSet::new().run_until(async move {
            let fabric = Fabric::new(seed, 1, 20);
            spawn_local(fabric.clone().run());
            let operator = Ipv4Addr::new(10, 250, 0, 1);
            place(&fabric, operator, "operator", 0);
            let runtime = Runtime::simulated(Rc::new(fabric.seat(operator)));
            let losses = (count - 1) / 2;
            let core = Core {
                fabric,
                runtime,
                huts: RefCell::default(),
                losses,
                next: Cell::new(0),
            };
            (0..count).for_each(|_| core.add());
            let core = Rc::new(core);
            core.huts
                .borrow()
                .iter()
                .for_each(|hut| core.start(hut, true));
            sleep(Duration::from_secs(5)).await;
            day(core).await
        }))
}

fn place(fabric: &Fabric, ip: Ipv4Addr, name: &str, region: u8) {
    let (region, zone) = (format!("region-{region}"), format!("zone-{region}a"));
    fabric.with().spots.insert(
        ip,
        Spot {
            name: name.into(),
            region,
            zone,
            ..Spot::default()
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

impl Core {
    /// A machine more, not started.
    pub fn add(&self) {
        let hut = self.machine();
        self.huts.borrow_mut().push(hut);
    }

    /// Another, empty machine in the place of the nth.
    #[allow(dead_code)]
    pub fn replace_machine(&self, nth: usize) {
        let hut = self.machine();
        self.huts.borrow_mut()[nth] = hut;
    }

    fn machine(&self) -> Rc<Hut> {
        let nth = self.next.get();
        self.next.set(nth + 1);
        let (name, ip) = (format!("core-{nth}"), Ipv4Addr::new(10, 2, 0, nth + 1));
        place(&self.fabric, ip, &name, nth % 3);
        let plate = Plate {
            store: RefCell::default(),
            sync_ms: Cell::new(2),
            free_at: Cell::new(Instant::now()),
            refuses: Cell::new(|_| false),
            written: Cell::new(0),
            went_back: Cell::new(false),
        };
        let (folder, plate, process) = (folder(), Rc::new(plate), RefCell::default());
        Rc::new(Hut {
            name,
            ip,
            folder,
            plate,
            process,
        })
    }

    fn settings(&self, hut: &Hut, bootstrap: bool) -> Settings {
        let huts = self.huts.borrow();
        let seeds: Vec<String> = huts
            .iter()
            .take(3)
            .map(|hut| format!("\"{}:{CONTROL}\"", hut.ip))
            .collect();
        let inner = self.fabric.with();
        let Spot { zone, region, .. } = &inner.spots[&hut.ip];
        let zones: Vec<String> = (0..3)
            .map(|r| format!("zone-{r}a = \"region-{r}\""))
            .collect();
        let text = format!(
            "nodeName = \"{}\"\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPorts = [7540, 7555]\nseedNodes = [{}]\nbootstrap = {bootstrap}\nquorumMember = true\n\
             dataDir = \"/none\"\nheartbeatMs = 1000\n[zones]\n{}\n[listen]\ncontrol = \"{}:{CONTROL}\"\n\
             [limits]\nlinkMbps = 1000.0\n[faultTolerance]\nnodeLosses = {}\n[bounds]\nretryExtra = 50.0\ngraceS = 6.0\n",
            hut.name,
            hut.ip,
            seeds.join(","),
            zones.join("\n"),
            hut.ip,
            self.losses
        );
        Settings::read(&text).expect("sound settings")
    }

    /// Opens the folder as the program does, and runs.
    pub fn start(&self, hut: &Rc<Hut>, bootstrap: bool) {
        let settings = self.settings(hut, bootstrap);
        let runtime = Runtime::simulated(Rc::new(self.fabric.seat(hut.ip)));
        let (told, seeds) = mpsc::unbounded_channel();
        let environment = Environment {
            runtime,
            shutdown: Box::pin(std::future::pending()),
            seeds,
        };
        let store = disk::open(hut.folder.path()).expect("it opens whatever is in it");
        let table = store.table().clone();
        *hut.plate.store.borrow_mut() = Some(store);
        hut.plate.free_at.set(Instant::now());
        let disk = Disk::simulated(Rc::new(Writes(hut.plate.clone())));
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
        *hut.process.borrow_mut() = Some(Process::start(&self.fabric, hut.ip, main));
    }

    pub fn kill(&self, hut: &Hut) {
        if let Some(process) = hut.process.borrow_mut().take() {
            process.kill();
        }
        self.fabric.forget(hut.ip);
        *hut.plate.store.borrow_mut() = None;
    }

    /// What one hut answers an operator.
    pub async fn ask(
        &self,
        hut: &Hut,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let to = SocketAddrV4::new(hut.ip, CONTROL);
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

    pub async fn show(&self, hut: &Hut) -> Option<(u16, Vec<u8>)> {
        self.ask(hut, "GET", "/config/show", b"").await
    }

    /// Sends a configuration to one hut after the other, from the nth on, until one ends it.
    pub async fn replace(&self, nth: usize, body: &[u8]) -> Option<u16> {
        let until = Instant::now() + Duration::from_secs(30);
        let mut nth = nth;
        while Instant::now() < until {
            let huts = self.huts.borrow().clone();
            let to = SocketAddrV4::new(huts[nth % huts.len()].ip, CONTROL);
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
