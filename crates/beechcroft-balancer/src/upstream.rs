//! An endpoint as a proxy uses it.

use crate::load_balancer::{Pick, PickRequest};
use crate::SlowStart;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// An endpoint's report on its load fades in about this time, in milliseconds.
const LOAD_FADE_MS: f64 = 400.0;
/// Requests for each slot of an endpoint above which it gets none, for the highest priority.
const MAX_LOAD: f64 = 3.0;
/// Each priority below the highest one bears so much less.
const LOAD_PER_PRIORITY: f64 = 0.25;
/// The least that any priority bears.
const MIN_MAX_LOAD: f64 = 1.5;
/// Failures in a row after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 2;
/// How long the first ejection lasts, in milliseconds. It doubles with each one in a row.
pub const EJECTION_MS: u64 = 500;
/// How long an ejection lasts at most, in milliseconds.
const MAX_EJECTION_MS: u64 = 8000;

/// The version that an endpoint runs, as far as it matters for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionClass {
    /// The base version.
    Base,
    /// The version that is rolled out.
    Canary,
    /// A version that gets no requests.
    Excluded,
}

/// An endpoint as a proxy uses it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its id.
    pub id: Rc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Rc<str>,
    /// Its region.
    pub region: Rc<str>,
    /// The version of its software.
    pub version: Rc<str>,
    /// How many requests it works on at once.
    pub capacity: u32,
    /// What that version means for requests.
    pub class: VersionClass,
    /// Whether it is ready and its zone is not evacuated.
    pub is_available: bool,
    /// Whether its heartbeats have stopped.
    pub is_heartbeat_overdue: bool,
    /// Whether the proxies of all regions together found it unhealthy, or it cannot be reached from here.
    pub is_ejected_by_fleet: bool,
    /// Whether the agreed placement excludes it for non-idempotent requests.
    pub is_excluded_by_placement: bool,
    /// When it will have warmed up.
    pub warmup_ends_at: u64,
    /// Requests a second that this proxy may send to it while it warms up; 0 for most proxies.
    pub slow_start_rate: f64,
    slow_start: SlowStart,
    /// Requests of this proxy that are in flight there.
    pub in_flight: u32,
    /// Requests of others there, by its last report.
    others: f64,
    reported_at: u64,
    failures_in_row: u32,
    ejected_until: u64,
    next_ejection_ms: u64,
}

impl Upstream {
    /// An endpoint that gets no requests yet.
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
            others: 0.0,
            reported_at: 0,
            failures_in_row: 0,
            ejected_until: 0,
            next_ejection_ms: EJECTION_MS,
        }
    }

    /// Requests at the endpoint, as far as this proxy can tell.
    fn requests(&self, now: u64) -> f64 {
        let age_ms = now.saturating_sub(self.reported_at) as f64;
        f64::from(self.in_flight) + self.others * (-age_ms / LOAD_FADE_MS).exp()
    }

    /// Requests for each slot.
    pub(crate) fn load(&self, now: u64) -> f64 {
        self.requests(now) / f64::from(self.capacity)
    }

    /// Requests for each slot, should it get one more.
    pub(crate) fn load_with_one_more(&self, now: u64) -> f64 {
        (self.requests(now) + 1.0) / f64::from(self.capacity)
    }

    /// The highest load with which an endpoint still gets requests of a priority.
    pub(crate) fn max_load(priority: u8) -> f64 {
        (MAX_LOAD - LOAD_PER_PRIORITY * f64::from(priority)).max(MIN_MAX_LOAD)
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

    /// Whether a request may go here at all.
    pub(crate) fn fits(&self, request: &PickRequest) -> bool {
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

    /// Takes a request from this proxy's share of what the endpoint bears while it warms up, if it has none in flight.
    pub(crate) fn try_slow_start(&mut self, now: u64) -> bool {
        self.in_flight == 0 && self.slow_start.try_take(now, self.slow_start_rate)
    }

    /// A request that was sent here has ended. `reported`: requests there by its own report.
    pub(crate) fn request_ended(&mut self, now: u64, reported: Option<u32>, failed: Option<bool>) {
        if let Some(reported) = reported {
            // The report was made while this request still counted.
            self.others = (f64::from(reported) - f64::from(self.in_flight)).max(0.0);
            self.reported_at = now;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        match failed {
            None => {}
            Some(false) => {
                self.failures_in_row = 0;
                self.next_ejection_ms = EJECTION_MS;
            }
            Some(true) => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: u64) {
        self.failures_in_row += 1;
        if self.failures_in_row >= EJECTION_FAILURES && !self.is_ejected(now) {
            self.ejected_until = now + self.next_ejection_ms;
            self.next_ejection_ms = (self.next_ejection_ms * 2).min(MAX_EJECTION_MS);
        }
    }

    /// The endpoint says that it is full.
    pub(crate) fn mark_full(&mut self, now: u64) {
        self.others = self.others.max(f64::from(self.capacity) * MAX_LOAD);
        self.reported_at = now;
    }
}
