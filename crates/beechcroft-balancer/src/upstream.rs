//! The state of an endpoint at one proxy: attributes, load estimate, slow start and ejection.

use crate::load_balancer::{Pick, PickRequest};
use crate::SlowStart;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Time constant with which an endpoint's load report decays, in milliseconds.
const LOAD_DECAY_MS: f64 = 400.0;
/// Maximum load of an endpoint for requests of the highest priority, in requests per slot.
const MAX_LOAD: f64 = 3.0;
/// Reduction of the maximum load per priority level below the highest, in requests per slot.
const LOAD_REDUCTION_PER_PRIORITY: f64 = 0.25;
/// Lower bound of the maximum load, for any priority.
const MIN_MAX_LOAD: f64 = 1.5;
/// Number of consecutive failures after which an endpoint is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 2;
/// Duration of the first ejection, in milliseconds. Doubles with each further ejection until a request succeeds.
pub const EJECTION_MS: u64 = 500;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8000;

/// The class of an endpoint's version, which determines the requests that it may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionClass {
    /// The base version.
    Base,
    /// The canary version of the current rollout.
    Canary,
    /// Any other version, which gets no requests.
    Excluded,
}

/// An endpoint, as one proxy sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The endpoint's id.
    pub id: Rc<str>,
    /// The address of its requests.
    pub address: SocketAddrV4,
    /// The zone it runs in.
    pub zone: Rc<str>,
    /// The region of its zone.
    pub region: Rc<str>,
    /// The version of its software.
    pub version: Rc<str>,
    /// Number of slots: requests that it processes concurrently.
    pub capacity: u32,
    /// The class of its version.
    pub class: VersionClass,
    /// Whether it is ready and its zone is not evacuated.
    pub is_available: bool,
    /// Whether its heartbeats are overdue.
    pub is_heartbeat_overdue: bool,
    /// Whether the proxies of all regions together have ejected it, or this proxy's region cannot reach it.
    pub is_ejected_by_fleet: bool,
    /// Whether the agreed placement excludes it for non-idempotent requests.
    pub is_excluded_by_placement: bool,
    /// When its warm-up ends.
    pub warmup_ends_at: u64,
    /// This proxy's share of its request rate during slow start, in requests per second; 0 at most proxies.
    pub slow_start_rate: f64,
    slow_start: SlowStart,
    /// This proxy's requests in flight there.
    pub in_flight: u32,
    /// Requests of other proxies there, by its last report.
    others_in_flight: f64,
    reported_at: u64,
    consecutive_failures: u32,
    ejected_until: u64,
    next_ejection_ms: u64,
}

impl Upstream {
    /// An endpoint that is not available yet.
    pub fn new(
        id: &str,
        address: SocketAddrV4,
        zone: &str,
        region: &str,
        version: &str,
        capacity: u32,
    ) -> Upstream {
        Upstream {
            id: id.into(),
            address,
            zone: zone.into(),
            region: region.into(),
            version: version.into(),
            capacity: capacity.max(1),
            class: VersionClass::Excluded,
            is_available: false,
            is_heartbeat_overdue: false,
            is_ejected_by_fleet: false,
            is_excluded_by_placement: false,
            warmup_ends_at: 0,
            slow_start_rate: 0.0,
            slow_start: SlowStart::default(),
            in_flight: 0,
            others_in_flight: 0.0,
            reported_at: 0,
            consecutive_failures: 0,
            ejected_until: 0,
            next_ejection_ms: EJECTION_MS,
        }
    }

    /// Estimated number of requests at the endpoint: this proxy's own, and the decayed report on those of other
    /// proxies.
    fn requests(&self, now: u64) -> f64 {
        let age_ms = now.saturating_sub(self.reported_at) as f64;
        f64::from(self.in_flight) + self.others_in_flight * (-age_ms / LOAD_DECAY_MS).exp()
    }

    /// Estimated requests per slot.
    pub(crate) fn load(&self, now: u64) -> f64 {
        self.requests(now) / f64::from(self.capacity)
    }

    /// Estimated requests per slot after one more request.
    pub(crate) fn load_with_one_more(&self, now: u64) -> f64 {
        (self.requests(now) + 1.0) / f64::from(self.capacity)
    }

    /// The maximum load at which an endpoint still gets requests of this priority.
    pub(crate) fn max_load(priority: u8) -> f64 {
        (MAX_LOAD - LOAD_REDUCTION_PER_PRIORITY * f64::from(priority)).max(MIN_MAX_LOAD)
    }

    pub(crate) fn has_free_slot(&self, now: u64) -> bool {
        self.requests(now) + 1.0 <= f64::from(self.capacity)
    }

    pub(crate) fn is_warm(&self, now: u64) -> bool {
        self.warmup_ends_at <= now
    }

    pub(crate) fn is_ejected(&self, now: u64) -> bool {
        self.ejected_until > now
    }

    /// Whether the endpoint may serve a request at all, regardless of its load and health.
    pub(crate) fn is_eligible(&self, request: &PickRequest) -> bool {
        let homes = request.home_regions;
        self.class == request.class
            && self.is_available
            && (homes.is_empty() || homes.iter().any(|home| **home == *self.region))
            && !request.tried.contains(&self.id)
            && !(request.follows_placement && self.is_excluded_by_placement)
    }

    pub(crate) fn pick(&self, now: u64, region: &str) -> Pick {
        Pick {
            id: self.id.clone(),
            address: self.address,
            has_free_slot: self.has_free_slot(now),
            is_same_region: *self.region == *region,
        }
    }

    /// Takes a slow-start token for a request; only while this proxy has no request in flight there.
    pub(crate) fn try_slow_start(&mut self, now: u64) -> bool {
        self.in_flight == 0 && self.slow_start.try_take(now, self.slow_start_rate)
    }

    /// Counts the end of a request. `reported` is the number of requests at the endpoint by its own report.
    pub(crate) fn request_ended(&mut self, now: u64, reported: Option<u32>, failed: Option<bool>) {
        if let Some(reported) = reported {
            // The report still includes this request, and so does `in_flight`.
            self.others_in_flight = (f64::from(reported) - f64::from(self.in_flight)).max(0.0);
            self.reported_at = now;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        match failed {
            None => {}
            Some(false) => {
                self.consecutive_failures = 0;
                self.next_ejection_ms = EJECTION_MS;
            }
            Some(true) => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: u64) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_BEFORE_EJECTION && !self.is_ejected(now) {
            self.ejected_until = now + self.next_ejection_ms;
            self.next_ejection_ms = (self.next_ejection_ms * 2).min(MAX_EJECTION_MS);
        }
    }

    /// Assumes the maximum load, since the endpoint reported itself as full.
    pub(crate) fn mark_full(&mut self, now: u64) {
        self.others_in_flight = self
            .others_in_flight
            .max(f64::from(self.capacity) * MAX_LOAD);
        self.reported_at = now;
    }
}
