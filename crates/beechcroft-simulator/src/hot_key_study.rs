//! Study of hot keys: several regions, Zipf-distributed keys, one key that gets a share of all lookups for some time,
//! writes to it throughout, and one injected fault. Selection, counting and spreading are the crates `balancer`, `retry`
//! and `hotkeys` themselves.

use crate::event_queue::EventQueue;
use crate::queueing_unit::{Taken, Unit};
use beechcroft_balancer::{KeyAffinity, LoadBalancer, PickRequest, Upstream, VersionClass};
use beechcroft_hotkeys::{
    key_hash, HotKeyDetector, ServiceCapacity, SessionAffinity, TARGET_SHARE,
};
use beechcroft_retry::{AttemptOutcome, Decision, RetryState};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, Zipf};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const REGIONS: usize = 3;
const ZONES: usize = 2;
const SERVICE: &str = "s";
const SLOTS: usize = 4;
const QUEUE: usize = 24;
const WORK_US: f64 = 20_000.0;
/// One-way latency within a region and between regions, in microseconds.
const NEAR_US: u64 = 500;
const FAR_US: u64 = 20_000;
/// Time until every unit holds an acknowledged write, in microseconds; the service's `freshMs` must be longer.
const REPLICATE_US: u64 = 80_000;
/// The `freshMs` of the service, in milliseconds.
pub const FRESH_MS: u64 = 200;
/// The `usualPlaces` of the service.
pub const DEFAULT_SPREAD: usize = 2;
const KEYS: f64 = 100_000.0;
/// Share of requests that open a new connection.
const NEW_CONNECTION: f64 = 0.02;

/// How keys are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Endpoints are selected without regard to keys.
    Plain,
    /// Each key has its usual endpoints, and no more.
    UsualPlaces,
    /// Hot keys are spread over more endpoints.
    Spread,
}

/// The fault that is injected while the key is hot. The lab prints the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    None,
    /// A unit of the key's set crashes and restarts under another id 4 s later.
    Crash,
    /// A region is cut off from the others for 4 s.
    Cut,
    /// A third of the proxies restart.
    Restart,
    /// A tenth of the units run a canary version, and get a share of the requests.
    Rollout,
    /// A zone is evacuated.
    Evacuate,
    /// A second key becomes hot in place of the first.
    SecondKey,
    /// The lookups of the hot key move from one region to another.
    Moves,
}

/// Every variant.
pub const INJECTED_FAULTS: [InjectedFault; 8] = [
    InjectedFault::None,
    InjectedFault::Crash,
    InjectedFault::Cut,
    InjectedFault::Restart,
    InjectedFault::Rollout,
    InjectedFault::Evacuate,
    InjectedFault::SecondKey,
    InjectedFault::Moves,
];

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct HotKeyStudy {
    /// Proxies, over all regions.
    pub proxies: usize,
    /// Units, over all regions.
    pub units: usize,
    /// Requests a second, over all regions.
    pub rate: f64,
    /// Share of all lookups that are for the hot key while it is hot.
    pub share: f64,
    /// How keys are used.
    pub mode: Mode,
    /// What goes wrong.
    pub injected_fault: InjectedFault,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl HotKeyStudy {
    /// A study with units and a request rate in proportion to its proxies.
    pub fn new(
        proxies: usize,
        share: f64,
        mode: Mode,
        injected_fault: InjectedFault,
        seed: u64,
    ) -> HotKeyStudy {
        let (units, rate) = if proxies <= 12 {
            (36, 2400.0)
        } else {
            (120, 8000.0)
        };
        HotKeyStudy {
            proxies,
            units,
            rate,
            share,
            mode,
            injected_fault,
            seed,
        }
    }

    /// Lookups a second of the hot key in one region.
    pub fn rate_of_region(&self) -> f64 {
        self.rate * self.share / REGIONS as f64
    }

    /// Lookups a second of one key that one endpoint may get.
    pub fn bound(&self) -> f64 {
        TARGET_SHARE * SLOTS as f64 / WORK_US * 1e6
    }
}

const CROWD_FROM_S: f64 = 3.0;
const CROWD_TO_S: f64 = 13.0;
const FAULT_FROM_S: f64 = 7.0;
const FAULT_FOR_S: f64 = 4.0;
const END_S: f64 = 25.0;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct StudyReport {
    /// Latency of lookups of the hot key while it is hot, in milliseconds.
    pub hot: Histogram<u64>,
    /// Latency of lookups of all other keys in the same time, in milliseconds.
    pub rest: Histogram<u64>,
    /// Requests that failed.
    pub failed: u64,
    /// Lookups that clients sent.
    pub lookups: u64,
    /// Seconds until some proxy spreads the key; `None` if none does.
    pub noticed_s: Option<f64>,
    /// Seconds until the key's set has its maximum width.
    pub spread_s: Option<f64>,
    /// The most endpoints that the hot key was spread over.
    pub widest: usize,
    /// Seconds from the end of the hot phase until every proxy is back at the usual endpoints.
    pub returned_s: Option<f64>,
    /// Writes that were acknowledged.
    pub acked_writes: u64,
    /// Writes that were executed twice.
    pub duplicate_writes: u64,
    /// Acknowledged writes that were never executed.
    pub lost_writes: u64,
    /// Lookups that returned a state older than the connection's own acknowledged write.
    pub stale_reads: u64,
    /// Lookups that returned a state older than an earlier lookup on the same connection.
    pub regressed_reads: u64,
    /// The same, where the connection was bound to a unit other than the one that responded.
    pub unbound_reads: u64,
    /// Maximum number of units that served one normal key.
    pub max_endpoints_per_normal_key: usize,
    /// Requests at the busiest unit over the mean of all units, while the key is hot.
    pub peak_to_mean_load: f64,
    /// Bytes of hot-key reports over all pairs of proxies.
    pub report_bytes: u64,
}

struct Proxy {
    region: usize,
    balancer: LoadBalancer,
    hot_keys: HotKeyDetector,
    incarnation: u64,
    count: u32,
    trial_due: f64,
}

#[derive(Default)]
struct Connection {
    proxy: usize,
    /// Whether a request is in flight; HTTP/1.1 allows one at a time.
    busy: bool,
    pins: SessionAffinity,
    wrote: BTreeMap<u64, u64>,
    shown: BTreeMap<u64, u64>,
}

struct Request {
    connection: usize,
    proxy: usize,
    key: u64,
    write: bool,
    began: u64,
    retry: RetryState,
    tried: Vec<Rc<str>>,
    /// Index of the unit that it was sent to.
    unit: usize,
    bound: Option<Rc<str>>,
    class: VersionClass,
}

enum Event {
    Client,
    Write,
    /// A request arrives at a unit.
    Comes(u64),
    Ran(u64, usize),
    /// A response or a failure reaches the proxy.
    Back(u64, Result<u64, AttemptOutcome>, u32),
    Replicated {
        key: u64,
        version: u64,
    },
    Tick,
    Tell,
    Told {
        proxy: usize,
        from: usize,
        incarnation: u64,
        count: u32,
        word: beechcroft_hotkeys::HotKeyReport,
    },
    FaultBegins,
    FaultEnds,
}

/// Runs the study.
pub fn simulate(study: HotKeyStudy) -> StudyReport {
    let mut world = World::new(study);
    world.run();
    world.seen
}

struct World {
    study: HotKeyStudy,
    event_queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    zipf: Zipf<f64>,
    units: Vec<Unit>,
    /// By unit and key: the version that the unit holds of the two hot keys.
    held: Vec<BTreeMap<u64, u64>>,
    newest: BTreeMap<u64, u64>,
    proxies: Vec<Proxy>,
    connections: Vec<Connection>,
    requests: BTreeMap<u64, Request>,
    next: u64,
    ran: BTreeMap<u64, u32>,
    acked: BTreeSet<u64>,
    cut: Option<usize>,
    hot: [u64; 2],
    answered_by: BTreeMap<u64, BTreeSet<usize>>,
    returned_at: Option<u64>,
    /// Requests at each unit while the key was hot.
    came: BTreeMap<usize, u64>,
    seen: StudyReport,
}

fn us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl World {
    fn new(study: HotKeyStudy) -> World {
        let histogram = || Histogram::new_with_max(60_000, 3).expect("sound bounds");
        let seen = StudyReport {
            hot: histogram(),
            rest: histogram(),
            failed: 0,
            lookups: 0,
            noticed_s: None,
            spread_s: None,
            widest: 0,
            returned_s: None,
            acked_writes: 0,
            duplicate_writes: 0,
            lost_writes: 0,
            stale_reads: 0,
            regressed_reads: 0,
            unbound_reads: 0,
            max_endpoints_per_normal_key: 0,
            peak_to_mean_load: 0.0,
            report_bytes: 0,
        };
        let units: Vec<Unit> = (0..study.units)
            .map(|at| {
                Unit::new(
                    &format!("i-{at:04}"),
                    at % REGIONS,
                    at / REGIONS % ZONES,
                    SLOTS,
                    QUEUE,
                )
            })
            .collect();
        let mut world = World {
            study,
            event_queue: EventQueue::default(),
            rng: Pcg64Mcg::seed_from_u64(study.seed),
            zipf: Zipf::new(KEYS, 1.05).expect("sound"),
            held: vec![BTreeMap::new(); units.len()],
            units,
            newest: BTreeMap::new(),
            proxies: Vec::new(),
            connections: Vec::new(),
            requests: BTreeMap::new(),
            next: 0,
            ran: BTreeMap::new(),
            acked: BTreeSet::new(),
            cut: None,
            hot: [
                key_hash(SERVICE, b"standing of the marathon"),
                key_hash(SERVICE, b"stack of beams"),
            ],
            answered_by: BTreeMap::new(),
            returned_at: None,
            came: BTreeMap::new(),
            seen,
        };
        world.event_queue.now = us(1.0);
        world.proxies = (0..study.proxies).map(|at| world.proxy(at, 1)).collect();
        for _ in 0..study.proxies * 60 {
            let proxy = world.connections.len() % study.proxies;
            world.connections.push(Connection {
                proxy,
                ..Connection::default()
            });
        }
        world
    }

    fn proxy(&self, at: usize, incarnation: u64) -> Proxy {
        let (region, zone) = (at % REGIONS, at / REGIONS % ZONES);
        let mut balancer = LoadBalancer::new(
            &format!("r{region}"),
            &format!("r{region}z{zone}"),
            self.study.seed * 31 + at as u64 + incarnation,
        );
        for (number, unit) in self.units.iter().enumerate().filter(|(_, unit)| unit.alive) {
            balancer.service_mut(SERVICE).push(self.place(number, unit));
        }
        Proxy {
            region,
            balancer,
            hot_keys: HotKeyDetector::default(),
            incarnation,
            count: 0,
            trial_due: 0.0,
        }
    }

    fn place(&self, number: usize, unit: &Unit) -> Upstream {
        let zone = format!("r{}z{}", unit.region, unit.zone);
        let address = "127.0.0.1:9".parse().expect("an address");
        let mut place = Upstream::new(
            &unit.id,
            address,
            &zone,
            &format!("r{}", unit.region),
            "v1",
            SLOTS as u32,
        );
        (place.class, place.is_available) = (VersionClass::Base, true);
        if self.study.injected_fault == InjectedFault::Rollout && number % 10 == 9 {
            place.class = VersionClass::Canary;
        }
        place
    }

    fn seconds(&self) -> f64 {
        self.event_queue.now as f64 / 1e6 - 1.0
    }

    fn crowded(&self) -> bool {
        (CROWD_FROM_S..CROWD_TO_S).contains(&self.seconds())
    }

    fn run(&mut self) {
        let end = us(1.0 + END_S);
        self.event_queue.after(1, Event::Client);
        self.event_queue.after(1, Event::Write);
        self.event_queue.after(1, Event::Tick);
        self.event_queue.after(1, Event::Tell);
        self.event_queue.after(us(FAULT_FROM_S), Event::FaultBegins);
        self.event_queue
            .after(us(FAULT_FROM_S + FAULT_FOR_S), Event::FaultEnds);
        while let Some(event) = self.event_queue.next(end) {
            self.on(event);
        }
        self.seen.duplicate_writes = self.ran.values().filter(|&&times| times > 1).count() as u64;
        self.seen.lost_writes = self
            .acked
            .iter()
            .filter(|id| !self.ran.contains_key(id))
            .count() as u64;
        self.seen.acked_writes = self.acked.len() as u64;
        self.seen.max_endpoints_per_normal_key = self
            .answered_by
            .values()
            .map(BTreeSet::len)
            .max()
            .unwrap_or(0);
        let mean = self.came.values().sum::<u64>() as f64 / self.study.units as f64;
        self.seen.peak_to_mean_load = self
            .came
            .values()
            .max()
            .map_or(0.0, |&most| most as f64 / mean);
        self.seen.returned_s = self
            .returned_at
            .map(|at| at as f64 / 1e6 - 1.0 - CROWD_TO_S);
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Client => self.client(),
            Event::Write => self.write(),
            Event::Comes(id) => self.comes(id),
            Event::Ran(id, unit) => self.ran(id, unit),
            Event::Back(id, result, load) => self.back(id, result, load),
            Event::Replicated { key, version } => {
                for (held, unit) in self.held.iter_mut().zip(&self.units) {
                    if unit.alive {
                        let held = held.entry(key).or_default();
                        *held = (*held).max(version);
                    }
                }
            }
            Event::Tick => self.tick(),
            Event::Tell => self.tell(),
            Event::Told {
                proxy,
                from,
                incarnation,
                count,
                word,
            } => {
                let now = self.event_queue.ms();
                self.proxies[proxy].hot_keys.add_report(
                    now,
                    &format!("relay-{from}"),
                    incarnation,
                    count,
                    word,
                );
            }
            Event::FaultBegins => self.injected_fault(true),
            Event::FaultEnds => self.injected_fault(false),
        }
    }

    /// Draws the key of a lookup from a region.
    fn draw_key(&mut self, region: usize) -> u64 {
        let (injected_fault, seconds) = (self.study.injected_fault, self.seconds());
        if self.crowded() {
            let later = seconds >= FAULT_FROM_S;
            // With `Moves` all lookups of the hot key come from one region, then from another.
            let here = match injected_fault {
                InjectedFault::Moves => region == usize::from(later),
                _ => true,
            };
            let share = if injected_fault == InjectedFault::Moves {
                (self.study.share * 2.0).min(0.6)
            } else {
                self.study.share
            };
            if here && self.rng.random_bool(share) {
                return self.hot[usize::from(injected_fault == InjectedFault::SecondKey && later)];
            }
        }
        let draw = self.zipf.sample(&mut self.rng) as u64;
        key_hash(SERVICE, &draw.to_le_bytes())
    }

    fn client(&mut self) {
        let wait: f64 = Exp1.sample(&mut self.rng);
        self.event_queue
            .after(us(wait / self.study.rate).max(1), Event::Client);
        let connection = self.idle();
        if self.rng.random_bool(NEW_CONNECTION) {
            let proxy = self.rng.random_range(0..self.study.proxies);
            self.connections[connection] = Connection {
                proxy,
                ..Connection::default()
            };
        }
        let region = self.proxies[self.connections[connection].proxy].region;
        let key = self.draw_key(region);
        self.seen.lookups += 1;
        self.begin(connection, key, false);
    }

    /// Draws an idle connection; opens a new one after eight busy ones.
    fn idle(&mut self) -> usize {
        for _ in 0..8 {
            let connection = self.rng.random_range(0..self.connections.len());
            if !self.connections[connection].busy {
                return connection;
            }
        }
        let proxy = self.rng.random_range(0..self.study.proxies);
        self.connections.push(Connection {
            proxy,
            ..Connection::default()
        });
        self.connections.len() - 1
    }

    fn write(&mut self) {
        self.event_queue.after(us(0.1), Event::Write);
        let connection = self.idle();
        let second =
            self.study.injected_fault == InjectedFault::SecondKey && self.seconds() >= FAULT_FROM_S;
        self.begin(connection, self.hot[usize::from(second)], true);
    }

    fn begin(&mut self, connection: usize, key: u64, write: bool) {
        self.next += 1;
        let proxy = self.connections[connection].proxy;
        self.connections[connection].busy = true;
        if !write {
            self.proxies[proxy].hot_keys.record_lookup(key);
        }
        let state = &mut self.proxies[proxy];
        state.trial_due = (state.trial_due + 0.08).min(1.5);
        let trial =
            self.study.injected_fault == InjectedFault::Rollout && !write && state.trial_due >= 1.0;
        state.trial_due -= f64::from(u8::from(trial));
        let request = Request {
            connection,
            proxy,
            key,
            write,
            began: self.event_queue.now,
            retry: RetryState::new(!write, 2),
            tried: Vec::new(),
            unit: 0,
            bound: None,
            class: if trial {
                VersionClass::Canary
            } else {
                VersionClass::Base
            },
        };
        let id = self.next;
        self.requests.insert(id, request);
        self.offer(id);
    }

    /// Selects a unit and sends the request to it.
    fn offer(&mut self, id: u64) {
        let now = self.event_queue.ms();
        let request = self.requests.get_mut(&id).expect("open");
        let proxy = &mut self.proxies[request.proxy];
        let connection = &self.connections[request.connection];
        let keyed = match self.study.mode {
            Mode::Plain => None,
            mode => {
                let spread = proxy
                    .hot_keys
                    .spread(request.key)
                    .filter(|_| mode == Mode::Spread);
                request.bound = connection.pins.endpoint(now, request.key);
                Some(KeyAffinity {
                    key: request.key,
                    spread: spread.unwrap_or(DEFAULT_SPREAD),
                    is_hot: spread.is_some(),
                    bound_endpoint: request.bound.clone(),
                    is_exclusive: request.write,
                })
            }
        };
        let want = PickRequest {
            class: request.class,
            home_regions: &[],
            priority: 1,
            is_bulk: false,
            follows_placement: false,
            key: keyed,
            tried: &request.tried,
        };
        let Ok(choice) = proxy.balancer.pick(now, SERVICE, &want) else {
            return self.fails(id);
        };
        proxy.balancer.request_started(SERVICE, &choice.id);
        request.retry.attempt_started();
        request.tried.push(choice.id.clone());
        request.unit = self
            .units
            .iter()
            .rposition(|unit| unit.id == choice.id)
            .expect("units stay in the list");
        let (from, to) = (proxy.region, self.units[request.unit].region);
        if self
            .cut
            .is_some_and(|cut| from != to && (from == cut || to == cut))
        {
            // The connection attempt times out.
            return self
                .event_queue
                .after(250_000, Event::Back(id, Err(AttemptOutcome::NotSent), 0));
        }
        self.event_queue
            .after(if from == to { NEAR_US } else { FAR_US }, Event::Comes(id));
    }

    fn way(&self, id: u64) -> u64 {
        let request = &self.requests[&id];
        if self.proxies[request.proxy].region == self.units[request.unit].region {
            NEAR_US
        } else {
            FAR_US
        }
    }

    fn comes(&mut self, id: u64) {
        // Requests in flight at a proxy are lost when it restarts.
        let Some(unit) = self.requests.get(&id).map(|request| request.unit) else {
            return;
        };
        let way = self.way(id);
        if self.crowded() {
            *self.came.entry(unit).or_default() += 1;
        }
        match self.units[unit].take(id) {
            Taken::Runs => self.starts(id, unit),
            Taken::Waits => {}
            Taken::Full => {
                let load = self.units[unit].load();
                self.event_queue
                    .after(way, Event::Back(id, Err(AttemptOutcome::Rejected), load));
            }
            Taken::Gone => self
                .event_queue
                .after(way, Event::Back(id, Err(AttemptOutcome::NotSent), 0)),
        }
    }

    fn starts(&mut self, id: u64, unit: usize) {
        let work: f64 = Exp1.sample(&mut self.rng);
        let work = (WORK_US * (0.4 + 0.6 * work)) as u64;
        self.event_queue.after(work, Event::Ran(id, unit));
        if self.requests.get(&id).is_some_and(|request| request.write) {
            *self.ran.entry(id).or_default() += 1;
        }
    }

    fn ran(&mut self, id: u64, unit: usize) {
        let Some(next) = self.units[unit].done(id) else {
            return;
        };
        if let Some(next) = next {
            self.starts(next, unit);
        }
        let load = self.units[unit].load();
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (key, write) = (request.key, request.write);
        let version = if write {
            let newest = self.newest.entry(key).or_default();
            *newest += 1;
            let version = *newest;
            let held = self.held[unit].entry(key).or_default();
            *held = (*held).max(version);
            self.event_queue
                .after(REPLICATE_US, Event::Replicated { key, version });
            version
        } else {
            self.held[unit].get(&key).copied().unwrap_or(0)
        };
        let way = self.way(id);
        self.event_queue
            .after(way, Event::Back(id, Ok(version), load));
    }

    fn back(&mut self, id: u64, result: Result<u64, AttemptOutcome>, load: u32) {
        let now = self.event_queue.ms();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let unit = self.units[request.unit].id.clone();
        let ill = match result {
            Ok(_) => Some(false),
            Err(AttemptOutcome::Rejected) => None,
            Err(_) => Some(true),
        };
        let told = result.is_ok().then_some(load);
        let balancer = &mut self.proxies[request.proxy].balancer;
        balancer.request_ended(now, SERVICE, &unit, told, ill);
        match result {
            Ok(version) => self.answered(id, &unit, version),
            Err(end) => {
                if end == AttemptOutcome::Rejected {
                    balancer.mark_full(now, SERVICE, &unit);
                }
                match request.retry.attempt_ended(end, true, || true) {
                    Decision::Retry => self.offer(id),
                    Decision::Respond(_) | Decision::ForwardFailure => self.fails(id),
                }
            }
        }
    }

    fn answered(&mut self, id: u64, unit: &Rc<str>, version: u64) {
        let request = self.requests.remove(&id).expect("open");
        let now = self.event_queue.ms();
        let crowded = self.crowded();
        let connection = &mut self.connections[request.connection];
        connection.busy = false;
        if connection.proxy == request.proxy {
            if self.study.mode != Mode::Plain {
                connection
                    .pins
                    .on_response(now, request.key, unit, FRESH_MS);
            }
            if self.hot.contains(&request.key) && !request.write {
                let wrote = connection.wrote.get(&request.key).copied().unwrap_or(0);
                let shown = connection.shown.get(&request.key).copied().unwrap_or(0);
                let unbound = request.bound.as_ref().is_some_and(|bound| bound != unit);
                if version < wrote.max(shown) {
                    match () {
                        () if unbound => self.seen.unbound_reads += 1,
                        () if version < wrote => self.seen.stale_reads += 1,
                        () => self.seen.regressed_reads += 1,
                    }
                }
                connection.shown.insert(request.key, shown.max(version));
            }
            if request.write {
                connection.wrote.insert(request.key, version);
            }
        }
        if request.write {
            self.acked.insert(id);
            return;
        }
        let ms = (self.event_queue.now - request.began) / 1000;
        if crowded {
            let hot = self.hot.contains(&request.key);
            let histogram = if hot {
                &mut self.seen.hot
            } else {
                &mut self.seen.rest
            };
            let _ = histogram.record(ms);
        } else if !self.hot.contains(&request.key) && self.seconds() < CROWD_FROM_S {
            self.answered_by
                .entry(request.key)
                .or_default()
                .insert(request.unit);
        }
    }

    fn fails(&mut self, id: u64) {
        let request = self.requests.remove(&id).expect("open");
        self.connections[request.connection].busy = false;
        self.seen.failed += u64::from(!request.write);
    }

    fn tick(&mut self) {
        self.event_queue.after(100_000, Event::Tick);
        let now = self.event_queue.ms();
        let capacity = ServiceCapacity {
            default_spread: DEFAULT_SPREAD,
            endpoint_rate: SLOTS as f64 / WORK_US * 1e6,
            endpoints: self.study.units,
        };
        let (seconds, hot) = (self.seconds(), self.hot);
        let mut widest = 0;
        for proxy in &mut self.proxies {
            proxy
                .hot_keys
                .tick(now, capacity, self.study.proxies / REGIONS);
            widest = hot
                .iter()
                .filter_map(|&key| proxy.hot_keys.spread(key))
                .fold(widest, usize::max);
        }
        if self.study.mode != Mode::Spread {
            return;
        }
        if widest > self.seen.widest {
            (self.seen.widest, self.seen.spread_s) = (widest, Some(seconds - CROWD_FROM_S));
        }
        if widest > 0 && self.seen.noticed_s.is_none() {
            self.seen.noticed_s = Some(seconds - CROWD_FROM_S);
        }
        if seconds > CROWD_TO_S {
            self.returned_at = if widest == 0 {
                self.returned_at.or(Some(self.event_queue.now))
            } else {
                None
            };
        }
    }

    /// Sends each proxy's report to the others of its region, with delay and some loss.
    fn tell(&mut self) {
        self.event_queue.after(100_000, Event::Tell);
        let now = self.event_queue.ms();
        for from in 0..self.proxies.len() {
            let Some(word) = self.proxies[from].hot_keys.next_report(now) else {
                continue;
            };
            let proxy = &mut self.proxies[from];
            proxy.count += 1;
            let (incarnation, count, region) = (proxy.incarnation, proxy.count, proxy.region);
            for to in 0..self.proxies.len() {
                if to != from && self.proxies[to].region == region && !self.rng.random_bool(0.02) {
                    let wait = self.rng.random_range(20_000..400_000);
                    self.seen.report_bytes += 24 + 14 * word.keys.len() as u64;
                    self.event_queue.after(
                        wait,
                        Event::Told {
                            proxy: to,
                            from,
                            incarnation,
                            count,
                            word: word.clone(),
                        },
                    );
                }
            }
        }
    }

    fn injected_fault(&mut self, begins: bool) {
        match (self.study.injected_fault, begins) {
            (InjectedFault::Crash, true) => {
                // The first place of the crowded key.
                let hot = self.hot[0];
                let ids = (0..self.units.len()).filter(|&at| self.units[at].region == 0);
                let units = ids.map(|at| {
                    (
                        at,
                        &*self.units[at].id,
                        beechcroft_hotkeys::Proximity::SameRegion,
                    )
                });
                let lost = beechcroft_hotkeys::rank_endpoints(hot, units)[0];
                let (running, waiting) = self.units[lost].crash();
                for id in running.into_iter().chain(waiting) {
                    if self.requests.contains_key(&id) {
                        let way = self.way(id);
                        self.event_queue
                            .after(way, Event::Back(id, Err(AttemptOutcome::Unclear), 0));
                    }
                }
            }
            (InjectedFault::Crash, false) => {
                let lost = self
                    .units
                    .iter()
                    .position(|unit| !unit.alive)
                    .expect("one has crashed");
                let Unit { region, zone, .. } = self.units[lost];
                let unit = Unit::new("i-new", region, zone, SLOTS, QUEUE);
                let copy = self
                    .held
                    .iter()
                    .max_by_key(|held| held.values().sum::<u64>())
                    .cloned();
                self.held.push(copy.unwrap_or_default());
                self.units.push(unit);
                let number = self.units.len() - 1;
                let place = self.place(number, &self.units[number]);
                let gone = self.units[lost].id.clone();
                for proxy in &mut self.proxies {
                    proxy
                        .balancer
                        .service_mut(SERVICE)
                        .retain(|place| place.id != gone);
                    proxy.balancer.service_mut(SERVICE).push(place.clone());
                }
            }
            (InjectedFault::Cut, begins) => self.cut = begins.then_some(2),
            (InjectedFault::Restart, true) => {
                for at in (0..self.proxies.len()).step_by(3) {
                    let incarnation = self.proxies[at].incarnation + 1;
                    self.proxies[at] = self.proxy(at, incarnation);
                    self.requests.retain(|_, request| request.proxy != at);
                    for connection in self
                        .connections
                        .iter_mut()
                        .filter(|connection| connection.proxy == at)
                    {
                        *connection = Connection {
                            proxy: at,
                            ..Connection::default()
                        };
                    }
                }
            }
            (InjectedFault::Evacuate, begins) => {
                for proxy in &mut self.proxies {
                    let places = proxy.balancer.service_mut(SERVICE).iter_mut();
                    places
                        .filter(|place| *place.zone == *"r0z0")
                        .for_each(|place| place.is_available = !begins);
                }
            }
            _ => {}
        }
    }
}
