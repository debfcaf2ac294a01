//! What requests of this relay use: the routes in force, the yard, limits, judges, kept connections. One thread,
//! and nothing is held borrowed across a wait.

use crate::pool::Pool;
use beechcroft_balancer::{Flow, Share, Tries, Yard};
use beechcroft_config::usual::Usual;
use beechcroft_config::Settings;
use beechcroft_consensus::Orders;
use beechcroft_hotkeys::Crowd;
use beechcroft_outlier::lease::Moves;
use beechcroft_outlier::Count;
use beechcroft_rollout::Judge;
use beechcroft_routing::Table;
use beechcroft_transport::Ground;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Links below this are thin: a large answer at full speed would hold up small ones for a good part of their aim.
const THIN_MBPS: f64 = 100.0;
/// Of a thin link's rate that large answers have, in either direction.
const LINK_PART: f64 = 0.75;
/// Answers above this are large, and go in pieces of this size.
pub const PIECE: usize = 8 << 10;

/// How this relay stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No configuration, or no units yet.
    Coming,
    Ready,
    /// SIGTERM has come; requests are still served.
    Leaving,
    /// The end is near: new requests are turned away.
    Closing,
}

pub struct Shared {
    pub settings: Settings,
    began: Instant,
    pub ground: Ground,
    /// What a service gets where its configuration does not say.
    pub usual: Usual,
    /// Large answers coming in and going out, where the link is thin.
    flows: Option<[RefCell<Flow>; 2]>,
    pub phase: Cell<Phase>,
    pub table: RefCell<Option<Rc<Table>>>,
    pub orders: RefCell<Orders>,
    pub yard: RefCell<Yard>,
    pub pool: RefCell<Pool>,
    pub tries: RefCell<BTreeMap<String, Tries>>,
    shares: RefCell<BTreeMap<String, Share>>,
    pub judges: RefCell<BTreeMap<String, Judge>>,
    /// Keys of the services whose operator wants places for them.
    pub crowds: RefCell<BTreeMap<String, Crowd>>,
    /// What was seen of units in this second, where their service says what unfit means.
    pub seen: RefCell<BTreeMap<String, BTreeMap<Rc<str>, Count>>>,
    /// When the core last showed that it agrees.
    pub touched_at: Cell<Option<u64>>,
    /// Placements and those before them, by service.
    pub moves: RefCell<BTreeMap<String, Moves>>,
    /// What a request takes at a service's units, in ms, lately.
    pub took_ms: RefCell<BTreeMap<String, f64>>,
    /// Edge relays that are alive, this one among them.
    pub edges: Cell<usize>,
    /// Requests that are being served.
    pub under_way: Cell<usize>,
}

impl Shared {
    pub fn new(settings: Settings, salt: u64, ground: Ground) -> Shared {
        let mbps = settings.limits.link_mbps;
        let flow = || RefCell::new(Flow::new(mbps * 125_000.0 * LINK_PART));
        let flows = (mbps > 0.0 && mbps < THIN_MBPS).then(|| [flow(), flow()]);
        let yard = Yard::new(&settings.region, &settings.zone, salt);
        Shared {
            settings,
            began: Instant::now(),
            ground,
            usual: Usual::default(),
            flows,
            phase: Cell::new(Phase::Coming),
            table: RefCell::new(None),
            orders: RefCell::default(),
            yard: RefCell::new(yard),
            pool: RefCell::default(),
            tries: RefCell::default(),
            shares: RefCell::default(),
            judges: RefCell::default(),
            crowds: RefCell::default(),
            seen: RefCell::default(),
            touched_at: Cell::new(None),
            moves: RefCell::default(),
            took_ms: RefCell::default(),
            edges: Cell::new(1),
            under_way: Cell::new(0),
        }
    }

    /// Milliseconds of the steady clock; ages before the start stay above 0.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 10_000
    }

    /// Waits for the turn of a piece of a large answer; `out`: to the client.
    pub async fn turn(&self, out: bool, bytes: usize) {
        let Some(flows) = &self.flows else { return };
        let now_us = self.began.elapsed().as_micros() as u64;
        let wait = flows[usize::from(out)].borrow_mut().wait_us(now_us, bytes);
        if wait > 1000 {
            tokio::time::sleep(std::time::Duration::from_micros(wait)).await;
        }
    }

    /// Whether large answers are paced at all.
    pub fn is_thin(&self) -> bool {
        self.flows.is_some()
    }

    /// A request took so long at a unit of a service.
    pub fn took(&self, service: &str, spent: std::time::Duration) {
        let ms = spent.as_secs_f64() * 1000.0;
        let mut took = self.took_ms.borrow_mut();
        match took.get_mut(service) {
            Some(held) => *held += (ms - *held) * 0.02,
            None => drop(took.insert(service.to_owned(), ms)),
        }
    }

    /// The trial's part of a service's requests.
    pub fn share<T>(&self, service: &str, of: impl FnOnce(&mut Share) -> T) -> T {
        let mut shares = self.shares.borrow_mut();
        if !shares.contains_key(service) {
            shares.insert(
                service.to_owned(),
                Share::new(self.yard.borrow_mut().draw(), self.edges.get()),
            );
        }
        of(shares.get_mut(service).expect("put there"))
    }

    /// A further try at a service, if the budget has one.
    pub fn further_try(&self, service: &str) -> bool {
        self.tries
            .borrow_mut()
            .get_mut(service)
            .is_some_and(Tries::take)
    }

    /// A first try at a service.
    pub fn first_try(&self, service: &str) {
        let bounds = &self.settings.bounds;
        let mut tries = self.tries.borrow_mut();
        if !tries.contains_key(service) {
            let edges = self.edges.get().max(4);
            tries.insert(
                service.to_owned(),
                Tries::new(bounds.retry_budget, bounds.retry_extra, edges),
            );
        }
        tries.get_mut(service).expect("put there").asked();
    }
}
