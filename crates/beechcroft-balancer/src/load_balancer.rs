//! The load balancer: which endpoint a request goes to.
//!
//! It holds every endpoint that may get requests, by service, with what this proxy has in flight there and what the
//! endpoint last reported of its load. Two random choices, the less loaded one taken: first among the endpoints of this
//! proxy's subset and region, then further off where near ones are full.

use crate::subset::{subset, ProxyPosition};
use crate::upstream::{Upstream, VersionClass};
use beechcroft_hotkeys::{key_hash, rank_endpoints, Proximity, SLOT_SHARE};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// By how much less an endpoint of another region must be loaded, in requests for each slot.
const REGION_PENALTY: f64 = 0.6;
/// The same for large responses, whose bytes cost more than a short wait.
const BULK_REGION_PENALTY: f64 = 2.0;
/// By how much less an endpoint of another zone of the region must be loaded.
const ZONE_PENALTY: f64 = 0.1;
/// The same for large responses.
const BULK_ZONE_PENALTY: f64 = 0.7;
/// Endpoints after those of a key that are considered where those are full.
const OVERFLOW_ENDPOINTS: usize = 2;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The version that it goes to.
    pub class: VersionClass,
    /// The regions that may serve it; empty for all.
    pub home_regions: &'a [String],
    /// Its priority: 0 is the highest.
    pub priority: u8,
    /// Whether its responses are large.
    pub is_bulk: bool,
    /// Whether the agreed placement binds it, and not this proxy's newest view: it must not be executed twice.
    pub follows_placement: bool,
    /// Its key, where its service serves keys at few endpoints.
    pub key: Option<KeyAffinity>,
    /// Endpoints that it was sent to before.
    pub tried: &'a [Rc<str>],
}

/// A request's key, and what is known of it.
#[derive(Clone, Debug, Default)]
pub struct KeyAffinity {
    /// The key's hash.
    pub key: u64,
    /// Endpoints that its lookups are spread over.
    pub spread: usize,
    /// Whether that is more than usual: the key may hold a part of each endpoint's slots only.
    pub is_hot: bool,
    /// The endpoint that the client's connection is bound to.
    pub bound_endpoint: Option<Rc<str>>,
    /// Whether every proxy sends it to the same endpoint: it must not be executed twice.
    pub is_exclusive: bool,
}

/// The endpoint that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Its id.
    pub id: Rc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Whether it has a free slot, as far as this proxy can tell.
    pub has_free_slot: bool,
    /// Whether it is in this proxy's own region.
    pub is_same_region: bool,
}

/// Why no endpoint takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// All that could are full.
    Overloaded,
    /// There is none that could.
    NoEndpoint,
}

/// Chooses endpoints.
#[derive(Debug)]
pub struct LoadBalancer {
    position: ProxyPosition,
    region: String,
    zone: String,
    /// The endpoints of each service, in the order of their ids' hashes.
    services: BTreeMap<String, Vec<Upstream>>,
    rng: Pcg64Mcg,
}

fn order_of(id: &str) -> u64 {
    key_hash("", id.as_bytes())
}

impl LoadBalancer {
    /// The load balancer of a proxy in this region and zone. `salt` is drawn by each process.
    pub fn new(region: &str, zone: &str, salt: u64) -> LoadBalancer {
        LoadBalancer {
            position: ProxyPosition::default(),
            region: region.into(),
            zone: zone.into(),
            services: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(salt),
        }
    }

    /// All endpoints, each with its service.
    pub fn upstreams(&self) -> impl Iterator<Item = (&str, &Upstream)> {
        self.services.iter().flat_map(|(service, upstreams)| {
            upstreams
                .iter()
                .map(move |upstream| (service.as_str(), upstream))
        })
    }

    /// Sets this proxy's position among the proxies of its region, which decides its subset of endpoints.
    pub fn set_position(&mut self, position: ProxyPosition) {
        self.position = ProxyPosition {
            count: position.count.max(1),
            ..position
        };
    }

    /// Adds an endpoint. Endpoints are in the order of their ids' hashes, the same at every proxy.
    pub fn add(&mut self, service: &str, upstream: Upstream) {
        let upstreams = self.service_mut(service);
        let order = order_of(&upstream.id);
        let at = upstreams.partition_point(|held| order_of(&held.id) < order);
        upstreams.insert(at, upstream);
    }

    /// The endpoints of a service.
    pub fn service_mut(&mut self, service: &str) -> &mut Vec<Upstream> {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Vec::new());
        }
        self.services.get_mut(service).expect("inserted above")
    }

    /// An endpoint of a service.
    pub fn upstream_mut(&mut self, service: &str, id: &str) -> Option<&mut Upstream> {
        self.services
            .get_mut(service)?
            .iter_mut()
            .find(|upstream| &*upstream.id == id)
    }

    /// A random number from 0 up to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Picks an endpoint for a request. What it takes of an endpoint's slow start is taken.
    pub fn pick(
        &mut self,
        now: u64,
        service: &str,
        request: &PickRequest,
    ) -> Result<Pick, PickError> {
        let LoadBalancer {
            position,
            region,
            zone,
            services,
            rng,
        } = self;
        let upstreams = services.get_mut(service).ok_or(PickError::NoEndpoint)?;
        let fitting: Vec<usize> = (0..upstreams.len())
            .filter(|&at| upstreams[at].fits(request))
            .collect();
        if fitting.is_empty() {
            return Err(PickError::NoEndpoint);
        }
        let mut choice = Choice {
            now,
            request,
            upstreams,
            region,
            zone,
            rng,
        };
        let healthy = choice.healthy_or_warm(&fitting);
        if let Some(at) = request
            .key
            .as_ref()
            .and_then(|key| choice.by_key(&healthy, key))
        {
            return Ok(upstreams[at].pick(now, region));
        }
        let mut best = choice.by_load(&fitting, &healthy, *position);
        let max_load = Upstream::max_load(request.priority);
        if best.is_none_or(|at| upstreams[at].load_with_one_more(now) > max_load) {
            let least = least_loaded(upstreams, &healthy, now);
            best = least.filter(|&at| upstreams[at].load_with_one_more(now) <= max_load);
        }
        if best.is_none_or(|at| upstreams[at].load_with_one_more(now) > 1.0) {
            // Endpoints that warm up bear little, but that little helps.
            if let Some(at) = pick_warming_up(upstreams, &fitting, now) {
                return Ok(upstreams[at].pick(now, region));
            }
        }
        let at = best.ok_or(PickError::Overloaded)?;
        Ok(upstreams[at].pick(now, region))
    }

    /// The one endpoint of a key among those that a placement does not exclude.
    pub fn exclusive_endpoint(
        &self,
        service: &str,
        key: u64,
        is_excluded: impl Fn(&str) -> bool,
    ) -> Option<Rc<str>> {
        let upstreams = self.services.get(service)?.iter();
        let included =
            upstreams.filter(|upstream| upstream.is_available && !is_excluded(&upstream.id));
        let candidates =
            included.map(|upstream| (&upstream.id, &*upstream.id, Proximity::SameRegion));
        rank_endpoints(key, candidates)
            .first()
            .map(|id| (*id).clone())
    }

    /// Whether a warm and healthy endpoint has a free slot for a request.
    pub fn has_free_slot(&self, now: u64, service: &str, request: &PickRequest) -> bool {
        let is_healthy = |upstream: &&Upstream| {
            upstream.is_warm(now)
                && !upstream.is_ejected(now)
                && !upstream.is_heartbeat_overdue
                && !upstream.is_ejected_by_fleet
        };
        let upstreams = self.services.get(service).into_iter().flatten();
        let mut fitting = upstreams
            .filter(|upstream| upstream.fits(request))
            .filter(is_healthy);
        fitting.any(|upstream| upstream.has_free_slot(now))
    }

    /// A request is sent to an endpoint.
    pub fn request_started(&mut self, service: &str, id: &str) {
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.in_flight += 1;
        }
    }

    /// A request at an endpoint has ended. `reported`: running and waiting requests by the endpoint's own report;
    /// `failed`: whether the end speaks against the endpoint, if it says anything of it.
    pub fn request_ended(
        &mut self,
        now: u64,
        service: &str,
        id: &str,
        reported: Option<u32>,
        failed: Option<bool>,
    ) {
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.request_ended(now, reported, failed);
        }
    }

    /// An endpoint says that it is full.
    pub fn mark_full(&mut self, now: u64, service: &str, id: &str) {
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.mark_full(now);
        }
    }
}

/// The choice for one request.
struct Choice<'a> {
    now: u64,
    request: &'a PickRequest<'a>,
    upstreams: &'a [Upstream],
    region: &'a str,
    zone: &'a str,
    rng: &'a mut Pcg64Mcg,
}

impl Choice<'_> {
    /// Warm endpoints. Those that are ejected or silent are left out as long as there are others.
    fn healthy_or_warm(&self, fitting: &[usize]) -> Vec<usize> {
        let warm = fitting
            .iter()
            .copied()
            .filter(|&at| self.upstreams[at].is_warm(self.now));
        let warm: Vec<usize> = warm.collect();
        let healthy: Vec<usize> = warm
            .iter()
            .copied()
            .filter(|&at| self.is_healthy(at))
            .collect();
        if healthy.is_empty() {
            warm
        } else {
            healthy
        }
    }

    fn is_healthy(&self, at: usize) -> bool {
        let upstream = &self.upstreams[at];
        let is_ejected_by_fleet = upstream.is_ejected_by_fleet && !self.request.follows_placement;
        !upstream.is_ejected(self.now) && !upstream.is_heartbeat_overdue && !is_ejected_by_fleet
    }

    fn load_with_one_more(&self, at: usize) -> f64 {
        self.upstreams[at].load_with_one_more(self.now)
    }

    fn is_near(&self, at: usize) -> bool {
        *self.upstreams[at].region == *self.region
    }

    fn proximity(&self, upstream: &Upstream, key: &KeyAffinity) -> Proximity {
        if key.is_exclusive {
            Proximity::SameRegion // the same for every proxy
        } else if *upstream.region != *self.region {
            Proximity::OtherRegion
        } else if *upstream.zone != *self.zone {
            Proximity::SameRegion
        } else {
            Proximity::SameZone
        }
    }

    /// The endpoint of a request's key; `None` if the key's endpoints, and those after them, are full.
    fn by_key(&mut self, healthy: &[usize], key: &KeyAffinity) -> Option<usize> {
        let max_load = Upstream::max_load(self.request.priority);
        let bears = |choice: &Self, at: usize| choice.load_with_one_more(at) <= max_load;
        if let Some(bound) = &key.bound_endpoint {
            let at = healthy
                .iter()
                .copied()
                .find(|&at| self.upstreams[at].id == *bound);
            if let Some(at) = at.filter(|&at| bears(self, at)) {
                return Some(at);
            }
        }
        let candidates = healthy.iter().map(|&at| {
            let upstream = &self.upstreams[at];
            (at, &*upstream.id, self.proximity(upstream, key))
        });
        let ranked = rank_endpoints(key.key, candidates);
        if ranked.is_empty() {
            return None; // all warm up: those have their own bound
        }
        if key.is_exclusive {
            return ranked.into_iter().find(|&at| bears(self, at));
        }
        let spread = key.spread.clamp(1, ranked.len());
        let best = self.less_loaded_of_two(&ranked[..spread]);
        if self.load_with_one_more(best) <= self.key_limit(best, key) {
            return Some(best);
        }
        // Bounded load: on in the order of the key's endpoints, to one of the next that have room, so that proxies which
        // all see the key's endpoints full do not all take the same one.
        let has_room = |at: &usize| self.load_with_one_more(*at) <= self.key_limit(*at, key);
        let next = ranked[spread..].iter().copied().filter(has_room);
        let next: Vec<usize> = next.take(OVERFLOW_ENDPOINTS).collect();
        if !next.is_empty() {
            return Some(self.less_loaded_of_two(&next));
        }
        Some(best).filter(|&at| bears(self, at))
    }

    /// A hot key may hold a share of each endpoint's slots, and one of them at least.
    fn key_limit(&self, at: usize, key: &KeyAffinity) -> f64 {
        match key.is_hot {
            true => SLOT_SHARE.max(1.0 / f64::from(self.upstreams[at].capacity)),
            false => 1.0,
        }
    }

    /// The less loaded of two random endpoints, which may be the same one.
    fn less_loaded_of_two(&mut self, of: &[usize]) -> usize {
        let one = of[self.rng.random_range(0..of.len())];
        let other = of[self.rng.random_range(0..of.len())];
        if self.load_with_one_more(other) < self.load_with_one_more(one) {
            other
        } else {
            one
        }
    }

    /// The load of an endpoint, with a penalty for another zone.
    fn score(&self, at: usize) -> f64 {
        let upstream = &self.upstreams[at];
        let penalty = if self.request.is_bulk {
            BULK_ZONE_PENALTY
        } else {
            ZONE_PENALTY
        };
        let is_same_zone = *upstream.zone == *self.zone;
        upstream.load(self.now) + if is_same_zone { 0.0 } else { penalty }
    }

    /// The better one of two different random endpoints.
    fn better_of_two(&mut self, of: &[usize]) -> Option<usize> {
        let (one, other) = match of {
            [] => return None,
            [only] => (*only, *only),
            _ => {
                let one = self.rng.random_range(0..of.len());
                let other = (one + self.rng.random_range(1..of.len())) % of.len();
                (of[one], of[other])
            }
        };
        Some(if self.score(other) < self.score(one) {
            other
        } else {
            one
        })
    }

    fn best_score(&self, of: &[usize]) -> Option<usize> {
        let of = of.iter().copied();
        of.min_by(|&a, &b| self.score(a).total_cmp(&self.score(b)))
    }

    /// The endpoint by load: of this proxy's subset, then of all near ones, then further off.
    fn by_load(
        &mut self,
        fitting: &[usize],
        healthy: &[usize],
        position: ProxyPosition,
    ) -> Option<usize> {
        let (near, far): (Vec<usize>, Vec<usize>) =
            healthy.iter().copied().partition(|&at| self.is_near(at));
        // The subset first: what few endpoints report, and what this proxy has in flight there, says much of them.
        let fitting_near: Vec<usize> = fitting
            .iter()
            .copied()
            .filter(|&at| self.is_near(at))
            .collect();
        let base = if fitting_near.is_empty() {
            fitting
        } else {
            &fitting_near
        };
        let own = subset(base, position);
        let preferred: Vec<usize> = healthy
            .iter()
            .copied()
            .filter(|at| own.contains(at))
            .collect();
        let best = if preferred.is_empty() {
            self.better_of_two(&near)
        } else if preferred.len() < near.len().max(far.len()) {
            self.best_score(&preferred)
        } else {
            self.better_of_two(&preferred)
        };
        if best.is_some_and(|at| self.load_with_one_more(at) <= 1.0) {
            return best;
        }
        // A request would wait there: look at all near ones, then further off.
        let near_best = self.best_score(&near);
        let Some(other) = self.better_of_two(&far) else {
            return near_best;
        };
        let penalty = if self.request.is_bulk {
            BULK_REGION_PENALTY
        } else {
            REGION_PENALTY
        };
        let is_better = near_best.is_none_or(|at| {
            let load = self.load_with_one_more(at);
            load > 1.0 && self.load_with_one_more(other) + penalty < load
        });
        if is_better {
            Some(other)
        } else {
            near_best
        }
    }
}

fn least_loaded(upstreams: &[Upstream], of: &[usize], now: u64) -> Option<usize> {
    let load = |at: usize| upstreams[at].load_with_one_more(now);
    of.iter()
        .copied()
        .min_by(|&a, &b| load(a).total_cmp(&load(b)))
}

/// The first endpoint that warms up and takes a request from this proxy.
fn pick_warming_up(upstreams: &mut [Upstream], fitting: &[usize], now: u64) -> Option<usize> {
    fitting.iter().copied().find(|&at| {
        let upstream = &mut upstreams[at];
        !upstream.is_warm(now) && upstream.slow_start_rate > 0.0 && upstream.try_slow_start(now)
    })
}
