//! A day: the programs as they are on machines of the world, with units, clients and an operator round them, and
//! what the scenario plans and lets go wrong. One seed, one run.

mod events;
mod hand;
mod operator;
mod troubles;
pub mod watch;

pub use hand::{by_hand, Hand};

use super::actors::{self, call, Clients, Ill, Kind, Stage, CONTROL, DIRECTORY, INGRESS, READY};
use super::audit::{judge, Bounds, Verdict};
use super::disk::{Plate, Sync};
use super::fabric::{Counts, Cut, Fabric, Spot};
use super::mutants;
use super::process::{self, Process};
use super::scenario::{Event, Mutant, Scenario, What};
use super::wires::{self, Life, Order, Sent, Trouble};
use beechcroft_config::ServiceDefaults;
use beechcroft_config::Settings;
use beechcroft_control::disk::Disk;
use beechcroft_transport::lifecycle::Environment;
use beechcroft_transport::Runtime;
use operator::{Aim, Book};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

/// Service, mean work in ms, bytes of an answer, requests a second that a cold unit bears.
pub const SERVICES: [(&str, f64, usize, f64); 3] = [
    ("boards", 50.0, 300, 3.0),
    ("ledger", 70.0, 200, 3.0),
    ("archive", 50.0, 20_000, 3.0),
];
const INSIDE: [u16; 2] = [7540, 7555];
/// From the start of the machines to that of traffic.
const BEFORE_S: f64 = 8.0;
const GRACE_S: f64 = 6.0;
const COLD_MS: u64 = 3000;
/// From a unit's word that it will be cold until it is.
const COLD_TOLD_MS: u64 = 800;
/// Rules that bind from some moment on have this long to do so after the last event.
const ACK_MS: u64 = 6000;

/// What was seen of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub name: String,
    pub verdict: Verdict,
    pub counts: Counts,
    /// Bytes that each machine sent: the mean and the most of edge machines, a second.
    pub edge_bytes: (f64, f64),
    /// For each acknowledged configuration that added a route: ms from then until the last edge machine went by it.
    pub spread_ms: Vec<u64>,
    /// If the scenario asks: when a core machine first said that it holds which membership, or none.
    pub memberships: Vec<watch::Held>,
    /// Core machines that were told to leave: when, and when their processes ended.
    pub core_leaves: Vec<(String, u64, u64)>,
    pub simulated_s: f64,
    /// Orders that were never acknowledged.
    pub unacked: Vec<String>,
    pub wires: wires::Wires,
}

struct Machine {
    name: String,
    ip: Ipv4Addr,
    region: String,
    zone: String,
    core: bool,
    plate: Option<Plate>,
    process: RefCell<Option<Process>>,
    term: RefCell<Option<Arc<Notify>>>,
    /// Its process was told to leave.
    told: Rc<Cell<bool>>,
    /// Until when some event keeps it down, in ms.
    down_until: Cell<u64>,
    gone: Cell<bool>,
    /// Tells its process of other seeds.
    reseed: RefCell<Option<mpsc::UnboundedSender<Vec<SocketAddrV4>>>>,
}

struct Standing {
    unit: Rc<actors::Unit>,
    process: RefCell<Option<Process>>,
}

struct Day {
    scenario: Scenario,
    stage: Rc<Stage>,
    machines: RefCell<Vec<Rc<Machine>>>,
    units: RefCell<Vec<Rc<Standing>>>,
    /// Versions that units of each service run, with what ails them.
    versions: RefCell<BTreeMap<String, String>>,
    clients: Vec<Rc<Clients>>,
    book: RefCell<Book>,
    syncs: Rc<RefCell<BTreeMap<u64, Sync>>>,
    times: Cell<f64>,
    next_ip: Cell<u32>,
    /// What operators still wait for.
    orders: Cell<usize>,
    /// The core machine that acknowledged last.
    leader: RefCell<Option<Ipv4Addr>>,
    /// Part of the operators' answers that are lost on their way.
    answers_lost: Cell<f64>,
    /// Traffic has ended, and with it what is planned.
    over: Cell<bool>,
    /// Seeds of settings files, once they were changed.
    seeds: RefCell<Option<Vec<SocketAddrV4>>>,
    unacked: RefCell<Vec<String>>,
    spread_ms: RefCell<Vec<u64>>,
    memberships: RefCell<Vec<watch::Held>>,
    core_leaves: RefCell<Vec<(String, u64, u64)>>,
    down_for_good: Cell<bool>,
}

/// Plays a scenario to its end.
pub fn play(scenario: &Scenario) -> Report {
    in_world(scenario, run)
}

/// Plays on a clock of its own, which stands still while anything can go on, with the scenario's guard taken out.
fn in_world<T, F>(scenario: &Scenario, play: impl FnOnce(Scenario) -> F) -> T
where
    F: std::future::Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without sockets");
    let scenario = scenario.clone();
    let _out = beechcroft_safeguards::disable(scenario.without);
    runtime.block_on(LocalSet::new().run_until(async move { play(scenario).await }))
}

fn zone_name(region: usize, zone: usize) -> String {
    format!("zone-{region}{}", ['a', 'b'][zone])
}

async fn run(scenario: Scenario) -> Report {
    stand(scenario).traffic().await
}

/// Machines and units, started.
fn stand(scenario: Scenario) -> Rc<Day> {
    process::watch();
    let fabric = Fabric::new(scenario.seed, scenario.zone_ms, scenario.region_ms);
    {
        let mut inner = fabric.with();
        (inner.loss, inner.twice) = (scenario.loss, scenario.twice);
        inner.lost_letters = scenario.lost_letters.clone();
    }
    spawn_local(fabric.clone().run());
    let stage = actors::stage(fabric.clone(), scenario.seed);
    let mut clients = Vec::new();
    for region in 0..scenario.regions {
        for zone in 0..2 {
            let ip = Ipv4Addr::new(10, 200, region as u8, zone as u8 + 1);
            let (name, zone) = (format!("clients-{region}{zone}"), zone_name(region, zone));
            let region = format!("region-{region}");
            place(&fabric, ip, &name, &region, &zone);
            let ground = Runtime::simulated(Rc::new(fabric.seat(ip)));
            clients.push(Rc::new(Clients::new(&zone, &region, ground)));
        }
    }
    place(
        &fabric,
        operator(),
        "operator",
        "region-0",
        &zone_name(0, 0),
    );
    let syncs = scenario
        .syncs
        .iter()
        .map(|fault| (fault.number, fault.does))
        .collect();
    let day = Rc::new(Day {
        stage: stage.clone(),
        machines: RefCell::default(),
        units: RefCell::default(),
        versions: RefCell::default(),
        clients,
        book: RefCell::default(),
        syncs: Rc::new(RefCell::new(syncs)),
        times: Cell::new(1.0),
        next_ip: Cell::new(1),
        orders: Cell::new(0),
        leader: RefCell::default(),
        answers_lost: Cell::new(0.0),
        over: Cell::new(false),
        seeds: RefCell::default(),
        unacked: RefCell::default(),
        spread_ms: RefCell::default(),
        memberships: RefCell::default(),
        core_leaves: RefCell::default(),
        down_for_good: Cell::new(false),
        scenario,
    });
    day.clone().machines_start();
    day.units_start();
    day
}

/// Asks an edge machine, from beside it, until it says that it is ready.
async fn ready(stage: Rc<Stage>, machine: Rc<Machine>) {
    let ground = Runtime::simulated(Rc::new(stage.fabric.seat(machine.ip)));
    let (at, within) = (SocketAddrV4::new(machine.ip, READY), Duration::from_secs(1));
    let began = stage.now();
    while stage.now() < began + 20_000 {
        if let Some((200, _)) = call(&ground, at, "GET", "/ready", b"", within).await {
            let now = stage.now();
            stage
                .wires
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

fn place(fabric: &Fabric, ip: Ipv4Addr, name: &str, region: &str, zone: &str) {
    let spot = Spot {
        name: name.into(),
        region: region.into(),
        zone: zone.into(),
        ..Spot::default()
    };
    fabric.with().spots.insert(ip, spot);
}

impl Day {
    fn now(&self) -> u64 {
        self.stage.now()
    }

    fn trouble(&self, on: &str, from: u64, until: u64, said: &str) {
        let mut wires = self.stage.wires.borrow_mut();
        let mut note = |on: &str| {
            let planned = matches!(said, "SIGTERM" | "started");
            wires.troubles.push(Trouble {
                on: on.into(),
                from,
                until,
                said: said.into(),
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
        // Core machines stand one to a zone, the first ones in different regions.
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
        place(&self.stage.fabric, ip, &name, &region, &zone);
        let liar = self.scenario.mutant == Some(Mutant::LyingDisks);
        let plate = core.then(|| {
            let mut plate = Plate::new(
                &self.stage.fabric,
                self.scenario.sync_ms,
                self.syncs.clone(),
                liar,
            );
            plate.torn = self.scenario.torn;
            plate
        });
        let machine = Machine {
            name,
            ip,
            region,
            zone,
            core,
            plate,
            process: RefCell::default(),
            term: RefCell::default(),
            told: Rc::default(),
            down_until: Cell::new(0),
            gone: Cell::new(false),
            reseed: RefCell::default(),
        };
        Rc::new(machine)
    }

    fn machines_start(self: Rc<Self>) {
        let cores: Vec<Rc<Machine>> = (0..self.scenario.cores)
            .map(|at| self.machine(at, true))
            .collect();
        let edges: Vec<Rc<Machine>> = (0..self.scenario.edges)
            .map(|at| self.machine(at, false))
            .collect();
        *self.stage.cores.borrow_mut() = cores.iter().map(|core| core.ip).collect();
        let all: Vec<Rc<Machine>> = cores.into_iter().chain(edges).collect();
        *self.machines.borrow_mut() = all.clone();
        for machine in all {
            self.start(&machine, true);
        }
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> Settings {
        let first = || {
            self.stage
                .cores
                .borrow()
                .iter()
                .map(|ip| SocketAddrV4::new(*ip, CONTROL))
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
            true => format!("control = \"{ip}:{CONTROL}\"\ndirectory = \"{ip}:{DIRECTORY}\""),
            false => format!("ingress = \"{ip}:{INGRESS}\"\nreadiness = \"{ip}:{READY}\""),
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
            INSIDE[0],
            INSIDE[1],
            seeds.join(","),
            zones.join("\n"),
        );
        Settings::read(&text).expect("the world's own settings")
    }

    /// Starts a machine's process. `bootstrap`: the first start of the whole system.
    fn start(&self, machine: &Rc<Machine>, bootstrap: bool) {
        // The port is taken while a process runs: a second start would end at once, and leave the first one as it is.
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
            usual_places: self.scenario.places,
            outlier_detection: self.scenario.verdicts,
        };
        let ground = Runtime::simulated(Rc::new(self.stage.fabric.seat(machine.ip)));
        let (told, seeds) = mpsc::unbounded_channel();
        let term = Arc::new(Notify::new());
        let waits = term.clone();
        let left = async move { waits.notified().await };
        let outside = Environment {
            runtime: ground.clone(),
            shutdown: Box::pin(left),
            seeds,
        };
        *machine.term.borrow_mut() = Some(term);
        let (stage, mutant, name) = (
            self.stage.clone(),
            self.scenario.mutant,
            machine.name.clone(),
        );
        let faulty = stage.clone();
        let ip = machine.ip;
        let plate = machine.plate.clone();
        machine.told.set(false);
        let told_to_leave = machine.told.clone();
        *machine.reseed.borrow_mut() = Some(told.clone());
        let main = async move {
            let _kept = told;
            let done = match plate {
                Some(plate) => {
                    let table = plate.open();
                    let disk = Disk::simulated(Rc::new(plate));
                    if let Some(Mutant::BothWin | Mutant::TakesOnce | Mutant::Mute) = mutant {
                        spawn_local(mutants::hut(
                            stage,
                            ground,
                            SocketAddrV4::new(ip, CONTROL),
                            mutant,
                        ));
                    }
                    beechcroft_control::run::run(settings, usual, outside, disk, table).await
                }
                None => {
                    if let Some(mutant) = mutant {
                        spawn_local(mutants::edge(
                            stage,
                            ground,
                            SocketAddrV4::new(ip, INGRESS),
                            mutant,
                        ));
                    }
                    let run = beechcroft_proxy::run::run(settings, usual, outside);
                    match mutant {
                        Some(Mutant::Quits) => tokio::select! {
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
            faulty.wires.borrow_mut().faults.push(wires::Fault {
                at: faulty.now(),
                on: name,
                said,
            });
        };
        *machine.process.borrow_mut() = Some(Process::start(&self.stage.fabric, ip, main));
        if self.scenario.starts && !machine.core {
            spawn_local(ready(self.stage.clone(), machine.clone()));
        }
    }

    /// Machines by name, zone or region; `leader`: the core machine that acknowledged last, `reader`: the one whose
    /// directory was read last.
    fn named(&self, on: &str) -> Vec<Rc<Machine>> {
        let on = &self.who(on);
        let inner = self.stage.fabric.with();
        let is =
            |machine: &&Rc<Machine>| inner.spots.get(&machine.ip).is_some_and(|spot| spot.is(on));
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
        self.stage.fabric.forget(machine.ip);
        if let Some(plate) = &machine.plate {
            plate.killed();
        }
    }

    fn power(&self, machine: &Machine, on: bool) {
        if let Some(spot) = self.stage.fabric.with().spots.get_mut(&machine.ip) {
            spot.dark = !on;
        }
        if !on {
            if let Some(plate) = &machine.plate {
                plate.power_lost();
            }
            self.kill(machine);
        }
    }

    // ---- units

    fn unit_start(
        &self,
        service: &str,
        version: &str,
        zone_at: usize,
        ip: Option<Ipv4Addr>,
        cold: bool,
        ill: Ill,
    ) {
        let &(_, work, bytes, bears) = SERVICES
            .iter()
            .find(|held| held.0 == service)
            .expect("services are checked");
        let number = self.stage.number();
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
            &self.stage.fabric,
            ip,
            &format!("unit-{id}"),
            &region,
            &zone,
        );
        let unit = Rc::new(actors::Unit::new(
            id.clone(),
            service,
            version,
            &zone,
            ip,
            self.scenario.slots,
            work,
            bytes,
        ));
        *unit.ill.borrow_mut() = ill;
        if cold {
            unit.cold_until.set(self.now() + COLD_MS);
        }
        let life = Life {
            service: service.into(),
            version: version.into(),
            zone,
            region,
            began: self.now(),
            bears,
            ..Life::default()
        };
        self.stage.wires.borrow_mut().units.insert(id, life);
        let process = Process::start(
            &self.stage.fabric,
            ip,
            actors::unit(self.stage.clone(), unit.clone()),
        );
        self.units.borrow_mut().push(Rc::new(Standing {
            unit,
            process: RefCell::new(Some(process)),
        }));
    }

    fn units_start(&self) {
        for (service, ..) in SERVICES {
            self.versions
                .borrow_mut()
                .insert(service.into(), "v1".into());
            for at in 0..self.scenario.units {
                self.unit_start(service, "v1", at, None, false, Ill::default());
            }
        }
    }

    fn unit_ends(&self, standing: &Standing) {
        if let Some(process) = standing.process.borrow_mut().take() {
            process.kill();
        }
        self.stage.fabric.forget_port(standing.unit.at);
        let now = self.now();
        if let Some(life) = self
            .stage
            .wires
            .borrow_mut()
            .units
            .get_mut(&standing.unit.id)
        {
            life.ended.get_or_insert(now);
        }
    }

    /// Units of a service that run, in the order of their starts.
    fn running(&self, service: &str) -> Vec<Rc<Standing>> {
        let runs = |s: &&Rc<Standing>| {
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

    async fn traffic(self: Rc<Self>) -> Report {
        for clients in &self.clients {
            spawn_local(clients.clone().resolve(self.stage.clone()));
        }
        let (first, held) = self.config(0, false, false);
        spawn_local(self.clone().replace(first, held, Aim::From(0)));
        sleep(Duration::from_secs_f64(BEFORE_S)).await;
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
            let kind = Kind {
                route: route.into(),
                prefix: prefix.into(),
                repeatable: route != "post",
                deadline_ms: 3000,
                body: 60,
            };
            spawn_local(self.clone().source(kind, part, start));
        }
        spawn_local(self.clone().probes(start));
        if self.scenario.memberships {
            spawn_local(self.clone().watches());
        }
        let end = Duration::from_secs_f64(self.scenario.seconds);
        tokio::time::sleep_until(start + end).await;
        self.over.set(true);
        // What is under way ends; orders are waited for.
        let patience = self.now() + ACK_MS + 3000;
        while self.orders.get() > 0 && self.now() < patience {
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_millis(4000)).await;
        self.read_back().await;
        self.report()
    }

    /// Requests of one kind, at random times.
    async fn source(self: Rc<Self>, kind: Kind, part: f64, start: Instant) {
        let seconds = self.scenario.seconds;
        while start.elapsed().as_secs_f64() < seconds {
            let rate = (self.scenario.rate * part * self.times.get()).max(1e-6);
            sleep(Duration::from_micros((self.stage.exp(1e6 / rate)) as u64)).await;
            let at = (self.stage.exp(1.0) * 1000.0) as usize % self.clients.len();
            spawn_local(actors::request(
                self.stage.clone(),
                self.clients[at].clone(),
                kind.clone(),
            ));
        }
    }

    /// Requests on routes that were just added or dropped, or that never were: they earn nothing, and show which
    /// configuration a relay goes by.
    async fn probes(self: Rc<Self>, start: Instant) {
        let mut nth = 0;
        while start.elapsed().as_secs_f64() < self.scenario.seconds {
            sleep(Duration::from_millis(250)).await;
            nth += 1;
            let names: Vec<String> = {
                let wires = self.stage.wires.borrow();
                let all = wires
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
            let kind = Kind {
                route: "probe".into(),
                prefix,
                repeatable: true,
                deadline_ms: 1500,
                body: 0,
            };
            let clients = self.clients[nth % self.clients.len()].clone();
            spawn_local(actors::request(self.stage.clone(), clients, kind));
        }
    }

    // ---- the end

    fn report(&self) -> Report {
        let seconds = self.now() as f64 / 1000.0;
        let inner = self.stage.fabric.with();
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
        let panics = process::watched().into_iter().map(|(ip, at, said)| {
            let on = ip
                .and_then(|ip| inner.spots.get(&ip))
                .map_or("the world", |spot| &spot.name);
            wires::Fault {
                at,
                on: on.to_owned(),
                said,
            }
        });
        {
            let mut wires = self.stage.wires.borrow_mut();
            let Scenario {
                loss,
                lost_letters,
                syncs,
                ..
            } = &self.scenario;
            wires.faults.extend(panics);
            wires.flawed = *loss > 0.0 || !lost_letters.is_empty() || !syncs.is_empty();
            wires.end = self.now();
        }
        drop(inner);
        let wires = self.stage.wires.borrow().clone();
        let verdict = judge(&wires, &Bounds::default());
        Report {
            name: self.scenario.name.clone(),
            verdict,
            counts,
            edge_bytes,
            spread_ms: self.spread_ms.borrow().clone(),
            memberships: self.memberships.borrow().clone(),
            core_leaves: self.core_leaves.borrow().clone(),
            simulated_s: seconds,
            unacked: self.unacked.borrow().clone(),
            wires,
        }
    }
}
