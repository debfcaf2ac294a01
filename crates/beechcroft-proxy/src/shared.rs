//! State that is shared by all requests of a proxy: routing table, load balancer, budgets, detectors, connection pool. The
//! state owner updates it from what other nodes send.
//!
//! It is used by a single thread. No `RefCell` in it may stay borrowed across an await.

use crate::drain::Drain;
use crate::pool::ConnectionPool;
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
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// Links below this rate count as slow, in megabits per second: at full speed, a large response would delay small ones by a
/// considerable part of their latency target.
const SLOW_LINK_MBPS: f64 = 100.0;
/// Share of a slow link's rate that large responses may use in each direction.
const SLOW_LINK_SHARE: f64 = 0.75;
/// Conversion from megabits to bytes.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Chunk size of paced responses, in bytes. Responses of up to two chunks are not paced.
pub const PACED_CHUNK_BYTES: usize = 8 << 10;
/// Shorter pacing delays are skipped, in microseconds.
const MIN_PACING_DELAY_US: u64 = 1000;
/// Weight of a new sample in the moving average of a service's latency.
const LATENCY_WEIGHT: f64 = 0.02;
/// Minimum number of proxies among which retry budgets are divided.
const MIN_BUDGET_PROXIES: usize = 4;
/// Initial value of the proxy's clock, so that times before the start of the process stay above 0, in milliseconds.
const CLOCK_START_MS: u64 = 10_000;

/// Lifecycle phase of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The proxy has no confirmed configuration or knows no endpoints yet.
    Starting,
    /// The proxy serves requests.
    Ready,
    /// SIGTERM was received; requests are still served.
    Draining,
    /// The grace period is about to end; new requests are rejected, and those in flight are answered.
    Closing,
}

/// Direction of response bytes on the proxy's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received from units.
    FromUnits,
    /// Sent to clients.
    ToClients,
}

/// Pacers for the two directions of a slow link.
struct LinkPacers {
    from_units: RefCell<LinkPacer>,
    to_clients: RefCell<LinkPacer>,
}

impl LinkPacers {
    /// Pacers for a link of this rate, or `None` if it is unknown or not slow.
    fn for_link(mbps: f64) -> Option<LinkPacers> {
        let pacer = || RefCell::new(LinkPacer::new(mbps * BYTES_PER_MEGABIT * SLOW_LINK_SHARE));
        let is_slow = mbps > 0.0 && mbps < SLOW_LINK_MBPS;
        is_slow.then(|| LinkPacers {
            from_units: pacer(),
            to_clients: pacer(),
        })
    }
}

/// State that is shared by all requests of a proxy.
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    started_at: Instant,
    /// Sockets and clocks, real or simulated.
    pub runtime: Runtime,
    /// Defaults for services that the configuration leaves open.
    pub defaults: ServiceDefaults,
    pacers: Option<LinkPacers>,
    /// Lifecycle phase of the proxy.
    pub phase: Cell<Phase>,
    /// The drain that has begun, from [`Phase::Draining`] on.
    pub drain: Cell<Option<Drain>>,
    /// Notified when [`Phase::Closing`] begins.
    pub closing: Notify,
    /// Routing table of the current configuration; `None` before the first one.
    pub routes: RefCell<Option<Rc<RoutingTable>>>,
    /// Latest known rollouts, evacuations, base versions and placements.
    pub operations: RefCell<OperationsState>,
    /// Chooses endpoints and tracks their load.
    pub balancer: RefCell<LoadBalancer>,
    /// Persistent connections to units.
    pub pool: RefCell<ConnectionPool>,
    retry_budgets: RefCell<BTreeMap<String, RetryBudget>>,
    canary_quotas: RefCell<BTreeMap<String, CanaryQuota>>,
    /// Detectors of bad versions, by service.
    pub canary_detectors: RefCell<BTreeMap<String, CanaryDetector>>,
    /// Hot-key detectors, by service, for services that serve each key on a few endpoints.
    pub hot_keys: RefCell<BTreeMap<String, HotKeyDetector>>,
    /// Outcomes of attempts in the current period, by service and endpoint, for services with outlier rules.
    pub outcome_counts: RefCell<BTreeMap<String, BTreeMap<Rc<str>, OutcomeCounts>>>,
    /// Time of the latest quorum read by the control nodes that this proxy knows of.
    pub quorum_read_at: Cell<Option<u64>>,
    /// Current and recent placements, by service.
    pub placements: RefCell<BTreeMap<String, PlacementHistory>>,
    latencies_ms: RefCell<BTreeMap<String, f64>>,
    /// Number of live proxies, including this one.
    pub proxies: Cell<usize>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
}

impl Shared {
    /// State of a proxy that has just started. `salt` seeds the random choices and differs between processes.
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
            drain: Cell::new(None),
            closing: Notify::new(),
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

    /// Current time of the proxy's monotonic clock, in milliseconds.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + CLOCK_START_MS
    }

    /// Delays a chunk of a large response as the rate of a slow link requires.
    pub async fn pace(&self, direction: Direction, bytes: usize) {
        let Some(pacers) = &self.pacers else { return };
        let pacer = match direction {
            Direction::FromUnits => &pacers.from_units,
            Direction::ToClients => &pacers.to_clients,
        };
        let now_us = self.started_at.elapsed().as_micros() as u64;
        let wait_us = pacer.borrow_mut().reserve_us(now_us, bytes);
        if wait_us > MIN_PACING_DELAY_US {
            sleep(Duration::from_micros(wait_us)).await;
        }
    }

    /// Whether the link is slow, so that large responses are paced.
    pub fn has_slow_link(&self) -> bool {
        self.pacers.is_some()
    }

    /// Adds a sample to the moving average of a service's latency.
    pub fn record_latency(&self, service: &str, latency: Duration) {
        let ms = latency.as_secs_f64() * 1000.0;
        let mut latencies = self.latencies_ms.borrow_mut();
        match latencies.get_mut(service) {
            Some(mean) => *mean += (ms - *mean) * LATENCY_WEIGHT,
            None => drop(latencies.insert(service.to_owned(), ms)),
        }
    }

    /// Moving average of a service's latency in milliseconds, or `None` before the first sample.
    pub fn mean_latency_ms(&self, service: &str) -> Option<f64> {
        self.latencies_ms.borrow().get(service).copied()
    }

    /// Calls `use_quota` with the canary quota of a service, which is created on first use.
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

    /// Takes a retry from the budget of a service. Returns whether one was available.
    pub fn try_retry(&self, service: &str) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.get_mut(service).is_some_and(RetryBudget::try_take)
    }

    /// Counts a request towards the retry budget of its service.
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

    /// Stage of the rollout of a service, if one is in progress.
    pub fn rollout_stage(&self, service: &str) -> Option<u8> {
        match self.operations.borrow().rollouts.get(service)?.stage {
            Stage::Active(stage) => Some(stage),
            Stage::Complete | Stage::Reverted => None,
        }
    }
}
