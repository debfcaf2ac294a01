//! A simulation run: the real programs on simulated machines, with units, clients and an operator, and the operations
//! and faults of the scenario. The same scenario and seed give the same run.

mod events;
mod faults;
mod machine_events;
mod manual;
pub mod membership_watch;
mod operator;
mod operator_events;
mod unit_events;

pub use manual::{run_manual, ManualRun};

use super::checker::{check_history, Bounds, Verdict};
use super::client::{self, Clients, RequestKind};
use super::disk::{MachineDisk, SyncFailure};
use super::history::{self, ConfigChange, EndpointLifetime, InjectedFault, Operation};
use super::http::call;
use super::mutants;
use super::network::{Counts, Cut, Host, Network, PartitionKind};
use super::process::{self, Process};
use super::scenario::{Event, EventKind, Mutant, Scenario};
use super::services::SERVICES;
use super::unit::{self, Impairment, Unit, UnitSpec};
use super::world::{World, CONTROL_PORT, DIRECTORY_PORT, INGRESS_PORT, READINESS_PORT};
use beechcroft_config::ServiceDefaults;
use beechcroft_config::Settings;
use beechcroft_control::disk::Disk;
use beechcroft_transport::lifecycle::Environment;
use beechcroft_transport::Runtime;
use operator::{Aim, OperatorLog};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

const INTERNAL_PORTS: [u16; 2] = [7540, 7555];
/// Time from the start of the machines to the start of traffic, in seconds.
const TRAFFIC_DELAY_S: f64 = 8.0;
const GRACE_S: f64 = 6.0;
const COLD_MS: u64 = 3000;
/// Time from a unit's announcement that it will be cold until it is, in milliseconds.
const COLD_NOTICE_MS: u64 = 800;
/// How long the operator repeats an operation, and how long pending ones are waited for at the end, in milliseconds.
const ACK_MS: u64 = 6000;

/// The report of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The scenario's name.
    pub name: String,
    /// Result of the checker.
    pub verdict: Verdict,
    /// Network counters.
    pub counts: Counts,
    /// Bytes a second that edge machines sent: mean and maximum.
    pub edge_bytes: (f64, f64),
    /// For each acknowledged configuration that added a route: milliseconds until the last edge machine applied it.
    pub config_spread_ms: Vec<u64>,
    /// Changes of the quorum membership that core machines report, if recorded.
    pub memberships: Vec<membership_watch::Held>,
    /// Shutdowns of core machines: name, time of SIGTERM, time when the process was gone.
    pub core_shutdowns: Vec<(String, u64, u64)>,
    /// Simulated time, in seconds.
    pub simulated_s: f64,
    /// Operations that were never acknowledged.
    pub unacknowledged: Vec<String>,
    /// The recorded history.
    pub history: history::History,
}

struct Machine {
    name: String,
    ip: Ipv4Addr,
    region: String,
    zone: String,
    core: bool,
    disk: Option<MachineDisk>,
    process: RefCell<Option<Process>>,
    term: RefCell<Option<Arc<Notify>>>,
    /// Whether its process got SIGTERM.
    told: Rc<Cell<bool>>,
    /// Until when an event keeps it down, in milliseconds.
    down_until: Cell<u64>,
    gone: Cell<bool>,
    /// Sends changed seed nodes to its process.
    reseed: RefCell<Option<mpsc::UnboundedSender<Vec<SocketAddrV4>>>>,
}

struct RunningEndpoint {
    unit: Rc<Unit>,
    process: RefCell<Option<Process>>,
}

struct ClusterRun {
    scenario: Scenario,
    world: Rc<World>,
    machines: RefCell<Vec<Rc<Machine>>>,
    units: RefCell<Vec<Rc<RunningEndpoint>>>,
    /// Version that the units of each service run.
    versions: RefCell<BTreeMap<String, String>>,
    clients: Vec<Rc<Clients>>,
    operator_log: RefCell<OperatorLog>,
    syncs: Rc<RefCell<BTreeMap<u64, SyncFailure>>>,
    times: Cell<f64>,
    next_ip: Cell<u32>,
    /// Operations in flight.
    orders: Cell<usize>,
    /// The core machine that acknowledged an operation last.
    leader: RefCell<Option<Ipv4Addr>>,
    /// Share of responses to the operator that are lost.
    answers_lost: Cell<f64>,
    /// Whether traffic has ended, and with it the planned operations.
    over: Cell<bool>,
    /// Seed nodes in the settings, once they were changed.
    seeds: RefCell<Option<Vec<SocketAddrV4>>>,
    unacknowledged: RefCell<Vec<String>>,
    config_spread_ms: RefCell<Vec<u64>>,
    memberships: RefCell<Vec<membership_watch::Held>>,
    core_shutdowns: RefCell<Vec<(String, u64, u64)>>,
    down_for_good: Cell<bool>,
}

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Report {
    run_simulation(scenario, run)
}

/// Runs a future on a paused clock, which advances only when every task waits, with the scenario's safeguard disabled.
fn run_simulation<T, F>(scenario: &Scenario, body: impl FnOnce(Scenario) -> F) -> T
where
    F: std::future::Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without sockets");
    let scenario = scenario.clone();
    let _out = beechcroft_safeguards::disable(scenario.disabled_safeguard);
    runtime.block_on(LocalSet::new().run_until(async move { body(scenario).await }))
}

fn zone_name(region: usize, zone: usize) -> String {
    format!("zone-{region}{}", ['a', 'b'][zone])
}

async fn run(scenario: Scenario) -> Report {
    start_cluster(scenario).run_traffic().await
}

/// Starts machines and units.
fn start_cluster(scenario: Scenario) -> Rc<ClusterRun> {
    process::record_panics();
    let network = Network::new(scenario.seed, scenario.zone_ms, scenario.region_ms);
    {
        let mut inner = network.state();
        (inner.loss, inner.duplication) = (scenario.loss, scenario.twice);
        inner.lost_datagrams = scenario.lost_datagrams.clone();
    }
    spawn_local(network.clone().run());
    let world = World::new(network.clone(), scenario.seed);
    let mut clients = Vec::new();
    for region in 0..scenario.regions {
        for zone in 0..2 {
            let ip = Ipv4Addr::new(10, 200, region as u8, zone as u8 + 1);
            let (name, zone) = (format!("clients-{region}{zone}"), zone_name(region, zone));
            let region = format!("region-{region}");
            place(&network, ip, &name, &region, &zone);
            let runtime = Runtime::simulated(Rc::new(network.host_network(ip)));
            clients.push(Rc::new(Clients::new(&zone, &region, runtime)));
        }
    }
    place(
        &network,
        operator(),
        "operator",
        "region-0",
        &zone_name(0, 0),
    );
    let syncs = scenario
        .sync_faults
        .iter()
        .map(|fault| (fault.number, fault.failure))
        .collect();
    let cluster_run = Rc::new(ClusterRun {
        world: world.clone(),
        machines: RefCell::default(),
        units: RefCell::default(),
        versions: RefCell::default(),
        clients,
        operator_log: RefCell::default(),
        syncs: Rc::new(RefCell::new(syncs)),
        times: Cell::new(1.0),
        next_ip: Cell::new(1),
        orders: Cell::new(0),
        leader: RefCell::default(),
        answers_lost: Cell::new(0.0),
        over: Cell::new(false),
        seeds: RefCell::default(),
        unacknowledged: RefCell::default(),
        config_spread_ms: RefCell::default(),
        memberships: RefCell::default(),
        core_shutdowns: RefCell::default(),
        down_for_good: Cell::new(false),
        scenario,
    });
    cluster_run.clone().start_machines();
    cluster_run.start_units();
    cluster_run
}

/// Polls an edge machine from its own host until it is ready, and records how long that took.
async fn ready(world: Rc<World>, machine: Rc<Machine>) {
    let runtime = Runtime::simulated(Rc::new(world.network.host_network(machine.ip)));
    let (at, within) = (
        SocketAddrV4::new(machine.ip, READINESS_PORT),
        Duration::from_secs(1),
    );
    let began = world.now();
    while world.now() < began + 20_000 {
        if let Some((200, _)) = call(&runtime, at, "GET", "/ready", b"", within).await {
            let now = world.now();
            world
                .history
                .borrow_mut()
                .ready
                .push((machine.name.clone(), began, now));
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn operator() -> Ipv4Addr {
    Ipv4Addr::new(10, 250, 0, 1)
}

fn place(network: &Network, ip: Ipv4Addr, name: &str, region: &str, zone: &str) {
    let host = Host {
        name: name.into(),
        region: region.into(),
        zone: zone.into(),
        ..Host::default()
    };
    network.state().hosts.insert(ip, host);
}

impl ClusterRun {
    fn now(&self) -> u64 {
        self.world.now()
    }

    fn record_fault(&self, on: &str, from: u64, until: u64, said: &str) {
        let mut history = self.world.history.borrow_mut();
        let mut note = |on: &str| {
            let planned = matches!(said, "SIGTERM" | "started");
            history.injected_faults.push(InjectedFault {
                on: on.into(),
                from,
                until,
                description: said.into(),
                planned,
            });
        };
        note(on);
        let machines = self.machines.borrow();
        if machines
            .iter()
            .any(|machine| machine.core && machine.name == on)
        {
            note("core");
        }
    }

    // ---- machines

    fn machine(&self, at: usize, core: bool) -> Rc<Machine> {
        let (region, zone) = (at % self.scenario.regions, at / self.scenario.regions % 2);
        // Machines are spread over regions first, then over zones.
        let nth = self.next_ip.get();
        self.next_ip.set(nth + 1);
        let ip = Ipv4Addr::new(
            10,
            if core { 2 } else { 1 },
            (nth / 250) as u8,
            (nth % 250) as u8 + 1,
        );
        let name = format!("{}-{at}", if core { "core" } else { "edge" });
        let (region, zone) = (format!("region-{region}"), zone_name(region, zone));
        place(&self.world.network, ip, &name, &region, &zone);
        let liar = self.scenario.mutant == Some(Mutant::FalseSync);
        let disk = core.then(|| {
            let mut disk = MachineDisk::new(
                &self.world.network,
                self.scenario.sync_ms,
                self.syncs.clone(),
                liar,
            );
            disk.torn = self.scenario.torn_writes;
            disk
        });
        let machine = Machine {
            name,
            ip,
            region,
            zone,
            core,
            disk,
            process: RefCell::default(),
            term: RefCell::default(),
            told: Rc::default(),
            down_until: Cell::new(0),
            gone: Cell::new(false),
            reseed: RefCell::default(),
        };
        Rc::new(machine)
    }

    fn start_machines(self: Rc<Self>) {
        let cores: Vec<Rc<Machine>> = (0..self.scenario.cores)
            .map(|at| self.machine(at, true))
            .collect();
        let edges: Vec<Rc<Machine>> = (0..self.scenario.edges)
            .map(|at| self.machine(at, false))
            .collect();
        *self.world.cores.borrow_mut() = cores.iter().map(|core| core.ip).collect();
        let all: Vec<Rc<Machine>> = cores.into_iter().chain(edges).collect();
        *self.machines.borrow_mut() = all.clone();
        for machine in all {
            self.start(&machine, true);
        }
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> Settings {
        let first = || {
            self.world
                .cores
                .borrow()
                .iter()
                .map(|ip| SocketAddrV4::new(*ip, CONTROL_PORT))
                .collect()
        };
        let seeds = self.seeds.borrow().clone().unwrap_or_else(first);
        let seeds: Vec<String> = seeds
            .iter()
            .take(3)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let Machine {
            name,
            ip,
            zone,
            region,
            core,
            ..
        } = machine;
        let listen = match core {
            true => {
                format!("control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"")
            }
            false => {
                format!("ingress = \"{ip}:{INGRESS_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"")
            }
        };
        let dir = if *core { "dataDir = \"/none\"\n" } else { "" };
        let zones: Vec<String> = (0..self.scenario.regions)
            .flat_map(|r| (0..2).map(move |z| format!("{} = \"region-{r}\"", zone_name(r, z))))
            .collect();
        let losses = (self.scenario.cores - 1) / 2;
        let text = format!(
            "nodeName = \"{name}\"\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPorts = [{}, {}]\nseedNodes = [{}]\nbootstrap = {bootstrap}\nquorumMember = {core}\n{dir}\
             heartbeatMs = 1000\n[zones]\n{}\n[listen]\n{listen}\n[limits]\nlinkMbps = 1000.0\n\
             [faultTolerance]\nnodeLosses = {losses}\n[bounds]\nretryExtra = 50.0\ngraceS = {GRACE_S}\n",
            INTERNAL_PORTS[0],
            INTERNAL_PORTS[1],
            seeds.join(","),
            zones.join("\n"),
        );
        Settings::read(&text).expect("the world's own settings")
    }

    /// Starts a machine's process. `bootstrap` is set at the first start of the cluster.
    fn start(&self, machine: &Rc<Machine>, bootstrap: bool) {
        // A second process would exit at once, as the port is in use, and leave the first one running.
        let runs = machine
            .process
            .borrow()
            .as_ref()
            .is_some_and(|process| !process.is_over());
        if machine.gone.get() || self.down_for_good.get() || runs {
            return;
        }
        let settings = self.settings(machine, bootstrap);
        let usual = ServiceDefaults {
            usual_places: self.scenario.usual_places,
            outlier_detection: self.scenario.outlier_detection,
        };
        let runtime = Runtime::simulated(Rc::new(self.world.network.host_network(machine.ip)));
        let (told, seeds) = mpsc::unbounded_channel();
        let term = Arc::new(Notify::new());
        let waits = term.clone();
        let left = async move { waits.notified().await };
        let outside = Environment {
            runtime: runtime.clone(),
            shutdown: Box::pin(left),
            seeds,
        };
        *machine.term.borrow_mut() = Some(term);
        let (world, mutant, name) = (
            self.world.clone(),
            self.scenario.mutant,
            machine.name.clone(),
        );
        let faulty = world.clone();
        let ip = machine.ip;
        let disk = machine.disk.clone();
        machine.told.set(false);
        let told_to_leave = machine.told.clone();
        *machine.reseed.borrow_mut() = Some(told.clone());
        let main = async move {
            let _kept = told;
            let done = match disk {
                Some(disk) => {
                    let table = disk.open();
                    let disk = Disk::simulated(Rc::new(disk));
                    if let Some(
                        Mutant::AcceptsConflicts
                        | Mutant::RejectsRepeats
                        | Mutant::UnresponsiveControl,
                    ) = mutant
                    {
                        spawn_local(mutants::control_node(
                            world,
                            runtime,
                            SocketAddrV4::new(ip, CONTROL_PORT),
                            mutant,
                        ));
                    }
                    beechcroft_control::run::run(settings, usual, outside, disk, table).await
                }
                None => {
                    if let Some(mutant) = mutant {
                        spawn_local(mutants::edge(
                            world,
                            runtime,
                            SocketAddrV4::new(ip, INGRESS_PORT),
                            mutant,
                        ));
                    }
                    let run = beechcroft_proxy::run::run(settings, usual, outside);
                    match mutant {
                        Some(Mutant::UnexpectedExit) => tokio::select! {
                            done = run => done,
                            () = sleep(Duration::from_secs(12)) => Ok(()),
                        },
                        _ => run.await,
                    }
                }
            };
            let said = match done {
                Ok(()) if told_to_leave.get() => return,
                Ok(()) => "it ended by itself".to_owned(),
                Err(said) => format!("it ended: {said}"),
            };
            log::error!("range: {name}: {said}");
            faulty
                .history
                .borrow_mut()
                .process_failures
                .push(history::ProcessFailure {
                    at: faulty.now(),
                    on: name,
                    description: said,
                });
        };
        *machine.process.borrow_mut() = Some(Process::start(&self.world.network, ip, main));
        if self.scenario.measure_readiness && !machine.core {
            spawn_local(ready(self.world.clone(), machine.clone()));
        }
    }

    /// Machines by name prefix, zone or region; `leader` is the core machine that acknowledged last, `reader` the one whose
    /// directory was read last.
    fn machines_matching(&self, on: &str) -> Vec<Rc<Machine>> {
        let on = &self.resolve_selector(on);
        let inner = self.world.network.state();
        let is =
            |machine: &&Rc<Machine>| inner.hosts.get(&machine.ip).is_some_and(|host| host.is(on));
        self.machines
            .borrow()
            .iter()
            .filter(|m| !m.gone.get())
            .filter(is)
            .cloned()
            .collect()
    }

    fn kill(&self, machine: &Machine) {
        if let Some(process) = machine.process.borrow_mut().take() {
            process.kill();
        }
        self.world.network.remove_process(machine.ip);
        if let Some(disk) = &machine.disk {
            disk.killed();
        }
    }

    fn power(&self, machine: &Machine, on: bool) {
        if let Some(host) = self.world.network.state().hosts.get_mut(&machine.ip) {
            host.is_powered_off = !on;
        }
        if !on {
            if let Some(disk) = &machine.disk {
                disk.power_lost();
            }
            self.kill(machine);
        }
    }

    // ---- units

    fn start_unit(
        &self,
        service: &str,
        version: &str,
        zone_at: usize,
        ip: Option<Ipv4Addr>,
        cold: bool,
        ill: Impairment,
    ) {
        let &(_, work, bytes, bears) = SERVICES
            .iter()
            .find(|held| held.0 == service)
            .expect("services are checked");
        let number = self.world.number();
        let id = format!("i-{number:05x}");
        let (region, zone) = (
            zone_at % self.scenario.regions,
            zone_at / self.scenario.regions % 2,
        );
        let (region, zone) = (format!("region-{region}"), zone_name(region, zone));
        let nth = self.next_ip.get();
        self.next_ip.set(nth + 1);
        let ip = ip.unwrap_or(Ipv4Addr::new(
            10,
            128,
            (nth / 250) as u8,
            (nth % 250) as u8 + 1,
        ));
        place(
            &self.world.network,
            ip,
            &format!("unit-{id}"),
            &region,
            &zone,
        );
        let unit = Rc::new(Unit::new(UnitSpec {
            id: id.clone(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.clone(),
            ip,
            slots: self.scenario.slots,
            work_ms: work,
            response_bytes: bytes,
        }));
        *unit.impairment.borrow_mut() = ill;
        if cold {
            unit.cold_until.set(self.now() + COLD_MS);
        }
        let life = EndpointLifetime {
            service: service.into(),
            version: version.into(),
            zone,
            region,
            began: self.now(),
            cold_capacity: bears,
            ..EndpointLifetime::default()
        };
        self.world.history.borrow_mut().units.insert(id, life);
        let process = Process::start(
            &self.world.network,
            ip,
            unit::run(self.world.clone(), unit.clone()),
        );
        self.units.borrow_mut().push(Rc::new(RunningEndpoint {
            unit,
            process: RefCell::new(Some(process)),
        }));
    }

    fn start_units(&self) {
        for (service, ..) in SERVICES {
            self.versions
                .borrow_mut()
                .insert(service.into(), "v1".into());
            for at in 0..self.scenario.units {
                self.start_unit(service, "v1", at, None, false, Impairment::default());
            }
        }
    }

    fn stop_unit(&self, endpoint: &RunningEndpoint) {
        if let Some(process) = endpoint.process.borrow_mut().take() {
            process.kill();
        }
        self.world.network.remove_listener(endpoint.unit.at);
        let now = self.now();
        if let Some(life) = self
            .world
            .history
            .borrow_mut()
            .units
            .get_mut(&endpoint.unit.id)
        {
            life.ended.get_or_insert(now);
        }
    }

    /// Running units of a service that do not drain, in the order of their starts.
    fn running(&self, service: &str) -> Vec<Rc<RunningEndpoint>> {
        let runs = |s: &&Rc<RunningEndpoint>| {
            s.process.borrow().is_some() && s.unit.service == service && !s.unit.draining.get()
        };
        self.units.borrow().iter().filter(runs).cloned().collect()
    }

    fn version(&self, service: &str) -> String {
        self.versions
            .borrow()
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    // ---- traffic

    async fn run_traffic(self: Rc<Self>) -> Report {
        for clients in &self.clients {
            spawn_local(clients.clone().resolve(self.world.clone()));
        }
        let (first, held) = self.config(0, false, false);
        spawn_local(self.clone().replace(first, held, Aim::From(0)));
        sleep(Duration::from_secs_f64(TRAFFIC_DELAY_S)).await;
        let start = Instant::now();
        for (at, event) in self.scenario.event.iter().enumerate() {
            spawn_local(self.clone().event(at, event.clone(), start));
        }
        let kinds = [
            ("read", "/boards/", 1.0),
            ("post", "/ledger/", 0.33),
            ("load", "/archive/", 0.16),
            ("home", "/home/", 0.1),
            ("moved", "/moved/", 0.2),
        ];
        for (route, prefix, part) in kinds {
            let kind = RequestKind {
                route: route.into(),
                prefix: prefix.into(),
                is_idempotent: route != "post",
                deadline_ms: 3000,
                body: 60,
            };
            spawn_local(self.clone().send_requests(kind, part, start));
        }
        spawn_local(self.clone().send_probes(start));
        if self.scenario.record_memberships {
            spawn_local(self.clone().watch_memberships());
        }
        let end = Duration::from_secs_f64(self.scenario.seconds);
        tokio::time::sleep_until(start + end).await;
        self.over.set(true);
        // Lets requests in flight end, and waits for pending operations.
        let patience = self.now() + ACK_MS + 3000;
        while self.orders.get() > 0 && self.now() < patience {
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_millis(4000)).await;
        self.read_back().await;
        self.report()
    }

    /// Sends requests of one kind as a Poisson process.
    async fn send_requests(self: Rc<Self>, kind: RequestKind, part: f64, start: Instant) {
        let seconds = self.scenario.seconds;
        while start.elapsed().as_secs_f64() < seconds {
            let rate = (self.scenario.rate * part * self.times.get()).max(1e-6);
            sleep(Duration::from_micros((self.world.exp(1e6 / rate)) as u64)).await;
            let at = (self.world.exp(1.0) * 1000.0) as usize % self.clients.len();
            spawn_local(client::request(
                self.world.clone(),
                self.clients[at].clone(),
                kind.clone(),
            ));
        }
    }

    /// Probes routes that were added, removed or never existed. Probes show which configuration a proxy applies; they do not
    /// count as served requests.
    async fn send_probes(self: Rc<Self>, start: Instant) {
        let mut nth = 0;
        while start.elapsed().as_secs_f64() < self.scenario.seconds {
            sleep(Duration::from_millis(250)).await;
            nth += 1;
            let names: Vec<String> = {
                let history = self.world.history.borrow();
                let all = history
                    .configs
                    .iter()
                    .flat_map(|config| config.routes.values());
                let mut all: Vec<String> = all
                    .filter(|route| route.prefix.starts_with("/x"))
                    .map(|route| route.prefix.clone())
                    .collect();
                all.sort();
                all.dedup();
                all.push("/never/".into());
                all
            };
            let prefix = names[nth % names.len()].clone();
            let kind = RequestKind {
                route: "probe".into(),
                prefix,
                is_idempotent: true,
                deadline_ms: 1500,
                body: 0,
            };
            let clients = self.clients[nth % self.clients.len()].clone();
            spawn_local(client::request(self.world.clone(), clients, kind));
        }
    }

    // ---- the end

    fn report(&self) -> Report {
        let seconds = self.now() as f64 / 1000.0;
        let inner = self.world.network.state();
        let counts = inner.counts;
        let sent: Vec<f64> = self
            .machines
            .borrow()
            .iter()
            .filter(|machine| !machine.core)
            .map(|machine| inner.sent_by.get(&machine.ip).copied().unwrap_or(0) as f64 / seconds)
            .collect();
        let edge_bytes = (
            sent.iter().sum::<f64>() / sent.len().max(1) as f64,
            sent.iter().copied().fold(0.0, f64::max),
        );
        let panics = process::take_panics().into_iter().map(|(ip, at, said)| {
            let on = ip
                .and_then(|ip| inner.hosts.get(&ip))
                .map_or("the world", |host| &host.name);
            history::ProcessFailure {
                at,
                on: on.to_owned(),
                description: said,
            }
        });
        {
            let mut history = self.world.history.borrow_mut();
            let Scenario {
                loss,
                lost_datagrams,
                sync_faults,
                ..
            } = &self.scenario;
            history.process_failures.extend(panics);
            history.has_random_faults =
                *loss > 0.0 || !lost_datagrams.is_empty() || !sync_faults.is_empty();
            history.end = self.now();
        }
        drop(inner);
        let history = self.world.history.borrow().clone();
        let verdict = check_history(&history, &Bounds::default());
        Report {
            name: self.scenario.name.clone(),
            verdict,
            counts,
            edge_bytes,
            config_spread_ms: self.config_spread_ms.borrow().clone(),
            memberships: self.memberships.borrow().clone(),
            core_shutdowns: self.core_shutdowns.borrow().clone(),
            simulated_s: seconds,
            unacknowledged: self.unacknowledged.borrow().clone(),
            history,
        }
    }
}
