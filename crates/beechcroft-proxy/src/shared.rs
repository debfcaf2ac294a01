//! What requests use: the routes in force, the load balancer, budgets, detectors, kept connections. It belongs to one
//! thread, and nothing of it is borrowed across an await.

use crate::pool::Pool;
use beechcroft_balancer::{CanaryQuota, LinkPacer, LoadBalancer, RetryBudget};
use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::{OperationsState, Stage};
use beechcroft_hotkeys::HotKeyDetector;
use beechcroft_outlier::placement::PlacementHistory;
use beechcroft_outlier::OutcomeCounts;
use beechcroft_rollout::CanaryDetector;
use beechcroft_routing::RoutingTable;
use beechcroft_transport::Runtime;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A link slower than this is thin: a large response at full speed would hold up small ones for a good part of their
/// latency target. In megabits a second.
const THIN_LINK_MBPS: f64 = 100.0;
/// The share of a thin link's rate that large responses get in each direction.
const THIN_LINK_SHARE: f64 = 0.75;
/// Bytes a second of a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Responses larger than twice this are paced in pieces of this size, in bytes.
pub const PIECE_BYTES: usize = 8 << 10;
/// A wait shorter than this is not worth it, in microseconds.
const MIN_PACE_US: u64 = 1000;
/// The weight of a request in the mean latency of its service.
const LATENCY_WEIGHT: f64 = 0.02;
/// Proxies that retry budgets are divided by, at least.
const MIN_BUDGET_PROXIES: usize = 4;
/// The proxy's clock starts here, so that ages before its start stay above 0. In milliseconds.
const CLOCK_START_MS: u64 = 10_000;

/// The phase of a proxy's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no configuration or knows no endpoints yet.
    Starting,
    /// It serves.
    Ready,
    /// SIGTERM has come; requests are still served.
    Leaving,
    /// The end is near: new requests are rejected.
    Closing,
}

/// The direction of bytes on the proxy's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From units.
    In,
    /// To clients.
    Out,
}

/// The pacers of a thin link.
struct LinkPacers {
    incoming: RefCell<LinkPacer>,
    outgoing: RefCell<LinkPacer>,
}

impl LinkPacers {
    /// The pacers, if the link is thin.
    fn for_link(mbps: f64) -> Option<LinkPacers> {
        let pacer = || RefCell::new(LinkPacer::new(mbps * BYTES_PER_MEGABIT * THIN_LINK_SHARE));
        let is_thin = mbps > 0.0 && mbps < THIN_LINK_MBPS;
        is_thin.then(|| LinkPacers {
            incoming: pacer(),
            outgoing: pacer(),
        })
    }
}

/// What requests use.
pub struct Shared {
    /// The process's settings.
    pub settings: Settings,
    started_at: Instant,
    /// Sockets and clocks.
    pub runtime: Runtime,
    /// What services get where the configuration does not say.
    pub defaults: ServiceDefaults,
    pacers: Option<LinkPacers>,
    /// The phase of the proxy's life.
    pub phase: Cell<Phase>,
    /// The routes in force.
    pub routes: RefCell<Option<Rc<RoutingTable>>>,
    /// Rollouts, evacuations, base versions and placements.
    pub operations: RefCell<OperationsState>,
    /// The endpoints.
    pub balancer: RefCell<LoadBalancer>,
    /// Kept connections to units.
    pub pool: RefCell<Pool>,
    retry_budgets: RefCell<BTreeMap<String, RetryBudget>>,
    canary_quotas: RefCell<BTreeMap<String, CanaryQuota>>,
    /// The detectors of bad versions, by service.
    pub canary_detectors: RefCell<BTreeMap<String, CanaryDetector>>,
    /// The detectors of hot keys, of services that serve keys at few endpoints.
    pub hot_keys: RefCell<BTreeMap<String, HotKeyDetector>>,
    /// What was counted of endpoints in this period, of services with outlier rules.
    pub outcome_counts: RefCell<BTreeMap<String, BTreeMap<Rc<str>, OutcomeCounts>>>,
    /// When the control nodes last showed that they agree.
    pub quorum_read_at: Cell<Option<u64>>,
    /// The placements, by service.
    pub placements: RefCell<BTreeMap<String, PlacementHistory>>,
    latencies_ms: RefCell<BTreeMap<String, f64>>,
    /// Live proxies, this one among them.
    pub proxies: Cell<usize>,
    /// Requests that are being served.
    pub in_flight: Cell<usize>,
}

impl Shared {
    /// What requests use before anything is known. `salt` is drawn by each process.
    pub fn new(
        settings: Settings,
        defaults: ServiceDefaults,
        salt: u64,
        runtime: Runtime,
    ) -> Shared {
        let balancer = LoadBalancer::new(&settings.region, &settings.zone, salt);
        let pacers = LinkPacers::for_link(settings.limits.link_mbps);
        Shared {
            settings,
            started_at: Instant::now(),
            runtime,
            defaults,
            pacers,
            phase: Cell::new(Phase::Starting),
            routes: RefCell::new(None),
            operations: RefCell::default(),
            balancer: RefCell::new(balancer),
            pool: RefCell::default(),
            retry_budgets: RefCell::default(),
            canary_quotas: RefCell::default(),
            canary_detectors: RefCell::default(),
            hot_keys: RefCell::default(),
            outcome_counts: RefCell::default(),
            quorum_read_at: Cell::new(None),
            placements: RefCell::default(),
            latencies_ms: RefCell::default(),
            proxies: Cell::new(1),
            in_flight: Cell::new(0),
        }
    }

    /// Milliseconds of the proxy's steady clock.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + CLOCK_START_MS
    }

    /// Waits for the turn of a piece of a large response.
    pub async fn pace(&self, direction: Direction, bytes: usize) {
        let Some(pacers) = &self.pacers else { return };
        let pacer = match direction {
            Direction::In => &pacers.incoming,
            Direction::Out => &pacers.outgoing,
        };
        let now_us = self.started_at.elapsed().as_micros() as u64;
        let wait_us = pacer.borrow_mut().reserve_us(now_us, bytes);
        if wait_us > MIN_PACE_US {
            sleep(Duration::from_micros(wait_us)).await;
        }
    }

    /// Whether large responses are paced.
    pub fn has_thin_link(&self) -> bool {
        self.pacers.is_some()
    }

    /// A request took so long at a unit of a service.
    pub fn record_latency(&self, service: &str, latency: Duration) {
        let ms = latency.as_secs_f64() * 1000.0;
        let mut latencies = self.latencies_ms.borrow_mut();
        match latencies.get_mut(service) {
            Some(mean) => *mean += (ms - *mean) * LATENCY_WEIGHT,
            None => drop(latencies.insert(service.to_owned(), ms)),
        }
    }

    /// The mean latency of a service, if any request was made to it.
    pub fn mean_latency_ms(&self, service: &str) -> Option<f64> {
        self.latencies_ms.borrow().get(service).copied()
    }

    /// Uses the canary quota of a service.
    pub fn with_canary_quota<T>(
        &self,
        service: &str,
        use_quota: impl FnOnce(&mut CanaryQuota) -> T,
    ) -> T {
        let mut quotas = self.canary_quotas.borrow_mut();
        if !quotas.contains_key(service) {
            let draw = self.balancer.borrow_mut().draw();
            quotas.insert(
                service.to_owned(),
                CanaryQuota::new(draw, self.proxies.get()),
            );
        }
        use_quota(quotas.get_mut(service).expect("inserted above"))
    }

    /// Takes a retry from the budget of a service, if there is one.
    pub fn try_retry(&self, service: &str) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.get_mut(service).is_some_and(RetryBudget::try_take)
    }

    /// Counts a request for the budget of its service.
    pub fn record_request(&self, service: &str) {
        let bounds = &self.settings.bounds;
        let mut budgets = self.retry_budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let proxies = self.proxies.get().max(MIN_BUDGET_PROXIES);
            let budget = RetryBudget::new(bounds.retry_budget, bounds.retry_extra, proxies);
            budgets.insert(service.to_owned(), budget);
        }
        budgets
            .get_mut(service)
            .expect("inserted above")
            .record_request();
    }

    /// The stage that a service's rollout is in, if one is under way.
    pub fn rollout_stage(&self, service: &str) -> Option<u8> {
        match self.operations.borrow().rollouts.get(service)?.stage {
            Stage::Active(stage) => Some(stage),
            Stage::Complete | Stage::Reverted => None,
        }
    }
}
