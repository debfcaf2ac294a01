//! The load balancer: the choice of an endpoint for each request.
//!
//! It holds, by service, every endpoint that may get requests, with this proxy's number of requests in flight there and
//! the load that the endpoint last reported. Of two random endpoints the less loaded one is picked: first among those
//! of this proxy's subset and region, then in other regions when the local ones are full.

use crate::subset::{subset, ProxyPosition};
use crate::upstream::{Upstream, VersionClass};
use beechcroft_hotkeys::{key_hash, rank_endpoints, Proximity, SLOT_SHARE};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Added to the load of endpoints in other regions, in requests per slot.
const REGION_PENALTY: f64 = 0.6;
/// The same for large responses, whose transfer costs more than a short wait.
const BULK_REGION_PENALTY: f64 = 2.0;
/// Added to the load of endpoints in other zones of the region, in requests per slot.
const ZONE_PENALTY: f64 = 0.1;
/// The same for large responses, in requests per slot.
const BULK_ZONE_PENALTY: f64 = 0.7;
/// Number of further endpoints in a key's ranking that are considered when the key's own endpoints are full.
const OVERFLOW_ENDPOINTS: usize = 2;

/// The constraints on the endpoint for a request.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The class of the versions that may serve it.
    pub class: VersionClass,
    /// The regions that may serve it; empty for all.
    pub home_regions: &'a [String],
    /// Its priority: 0 is the highest.
    pub priority: u8,
    /// Whether the responses of its route are large.
    pub is_bulk: bool,
    /// Whether the agreed placement, and not this proxy's newer view of ejections, decides which endpoints may serve
    /// it: it must not be executed twice.
    pub follows_placement: bool,
    /// Its key, if its service serves each key at few endpoints.
    pub key: Option<KeyAffinity>,
    /// The endpoints of its earlier attempts, which are skipped.
    pub tried: &'a [Rc<str>],
}

/// The key of a request, and the endpoints that may serve it.
#[derive(Clone, Debug, Default)]
pub struct KeyAffinity {
    /// The hash of the key.
    pub key: u64,
    /// Number of endpoints over which lookups of the key are spread.
    pub spread: usize,
    /// Whether the key is hot: its spread is above the default, and it may only use a share of each endpoint's slots.
    pub is_hot: bool,
    /// The endpoint that the client's connection is bound to.
    pub bound_endpoint: Option<Rc<str>>,
    /// Whether all proxies must choose the same endpoint, because the request must not be executed twice.
    pub is_exclusive: bool,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The endpoint's id.
    pub id: Rc<str>,
    /// The endpoint's address.
    pub address: SocketAddrV4,
    /// Whether it has a free slot, by this proxy's estimate of its load.
    pub has_free_slot: bool,
    /// Whether it is in this proxy's region.
    pub is_same_region: bool,
}

/// Why no endpoint was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// All eligible endpoints are full.
    Overloaded,
    /// There is no eligible endpoint.
    NoEndpoint,
}

/// Chooses endpoints for the requests of one proxy.
#[derive(Debug)]
pub struct LoadBalancer {
    position: ProxyPosition,
    region: String,
    zone: String,
    /// The endpoints of each service, ordered by the hash of their id.
    services: BTreeMap<String, Vec<Upstream>>,
    rng: Pcg64Mcg,
}

fn id_order(id: &str) -> u64 {
    key_hash("", id.as_bytes())
}

impl LoadBalancer {
    /// The load balancer of a proxy in this region and zone. `salt` seeds its random numbers and differs between
    /// processes.
    pub fn new(region: &str, zone: &str, salt: u64) -> LoadBalancer {
        LoadBalancer {
            position: ProxyPosition::default(),
            region: region.into(),
            zone: zone.into(),
            services: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(salt),
        }
    }

    /// All endpoints, with the name of their service.
    pub fn upstreams(&self) -> impl Iterator<Item = (&str, &Upstream)> {
        self.services.iter().flat_map(|(service, upstreams)| {
            upstreams
                .iter()
                .map(move |upstream| (service.as_str(), upstream))
        })
    }

    /// Sets this proxy's position among the proxies of its region, which determines its subset of endpoints.
    pub fn set_position(&mut self, position: ProxyPosition) {
        self.position = ProxyPosition {
            count: position.count.max(1),
            ..position
        };
    }

    /// Adds an endpoint to a service. Endpoints are ordered by the hash of their id, which is the same at every proxy.
    pub fn add(&mut self, service: &str, upstream: Upstream) {
        let upstreams = self.service_mut(service);
        let order = id_order(&upstream.id);
        let index = upstreams.partition_point(|existing| id_order(&existing.id) < order);
        upstreams.insert(index, upstream);
    }

    /// The endpoints of a service, which is created if it is unknown.
    pub fn service_mut(&mut self, service: &str) -> &mut Vec<Upstream> {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Vec::new());
        }
        self.services.get_mut(service).expect("inserted above")
    }

    /// Looks up an endpoint of a service.
    pub fn upstream_mut(&mut self, service: &str, id: &str) -> Option<&mut Upstream> {
        self.services
            .get_mut(service)?
            .iter_mut()
            .find(|upstream| &*upstream.id == id)
    }

    /// A random number in the range 0 to 1, exclusive of 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Picks an endpoint for a request. Takes a slow-start token if that endpoint is warming up.
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
        let eligible: Vec<usize> = (0..upstreams.len())
            .filter(|&index| upstreams[index].is_eligible(request))
            .collect();
        if eligible.is_empty() {
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
        let healthy = choice.healthy_or_warm(&eligible);
        if let Some(index) = request
            .key
            .as_ref()
            .and_then(|key| choice.pick_by_key(&healthy, key))
        {
            return Ok(upstreams[index].pick(now, region));
        }
        let mut best = choice.pick_by_load(&eligible, &healthy, *position);
        let max_load = Upstream::max_load(request.priority);
        if best.is_none_or(|index| upstreams[index].load_with_one_more(now) > max_load) {
            let least = least_loaded(upstreams, &healthy, now);
            best = least.filter(|&index| upstreams[index].load_with_one_more(now) <= max_load);
        }
        if best.is_none_or(|index| upstreams[index].load_with_one_more(now) > 1.0) {
            // Every endpoint would queue the request: use what the endpoints in slow start can take.
            if let Some(index) = pick_warming_up(upstreams, &eligible, now) {
                return Ok(upstreams[index].pick(now, region));
            }
        }
        let index = best.ok_or(PickError::Overloaded)?;
        Ok(upstreams[index].pick(now, region))
    }

    /// The only endpoint that may serve an exclusive key: the first in its ranking of those that the placement does not
    /// exclude.
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

    /// Whether any endpoint that is warm and healthy has a free slot for a request.
    pub fn has_free_slot(&self, now: u64, service: &str, request: &PickRequest) -> bool {
        let is_healthy = |upstream: &&Upstream| {
            upstream.is_warm(now)
                && !upstream.is_ejected(now)
                && !upstream.is_heartbeat_overdue
                && !upstream.is_ejected_by_fleet
        };
        let upstreams = self.services.get(service).into_iter().flatten();
        let mut eligible = upstreams
            .filter(|upstream| upstream.is_eligible(request))
            .filter(is_healthy);
        eligible.any(|upstream| upstream.has_free_slot(now))
    }

    /// Counts a request that is sent to an endpoint.
    pub fn request_started(&mut self, service: &str, id: &str) {
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.in_flight += 1;
        }
    }

    /// Counts the end of a request at an endpoint. `reported` is the number of requests running and queued there by the
    /// endpoint's own report. `failed` tells whether the outcome is a failure of the endpoint; `None` if it says
    /// nothing about the endpoint.
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

    /// Records that an endpoint reported itself as full.
    pub fn mark_full(&mut self, now: u64, service: &str, id: &str) {
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.mark_full(now);
        }
    }
}

/// The state of the choice for one request.
struct Choice<'a> {
    now: u64,
    request: &'a PickRequest<'a>,
    upstreams: &'a [Upstream],
    region: &'a str,
    zone: &'a str,
    rng: &'a mut Pcg64Mcg,
}

impl Choice<'_> {
    /// The warm endpoints, without those that are ejected or miss heartbeats unless there are no others.
    fn healthy_or_warm(&self, eligible: &[usize]) -> Vec<usize> {
        let warm = eligible
            .iter()
            .copied()
            .filter(|&index| self.upstreams[index].is_warm(self.now));
        let warm: Vec<usize> = warm.collect();
        let healthy: Vec<usize> = warm
            .iter()
            .copied()
            .filter(|&index| self.is_healthy(index))
            .collect();
        if healthy.is_empty() {
            warm
        } else {
            healthy
        }
    }

    fn is_healthy(&self, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        let is_ejected_by_fleet = upstream.is_ejected_by_fleet && !self.request.follows_placement;
        !upstream.is_ejected(self.now) && !upstream.is_heartbeat_overdue && !is_ejected_by_fleet
    }

    fn load_with_one_more(&self, index: usize) -> f64 {
        self.upstreams[index].load_with_one_more(self.now)
    }

    fn is_same_region(&self, index: usize) -> bool {
        *self.upstreams[index].region == *self.region
    }

    fn proximity(&self, upstream: &Upstream, key: &KeyAffinity) -> Proximity {
        if key.is_exclusive {
            Proximity::SameRegion // all proxies must rank alike
        } else if *upstream.region != *self.region {
            Proximity::OtherRegion
        } else if *upstream.zone != *self.zone {
            Proximity::SameRegion
        } else {
            Proximity::SameZone
        }
    }

    /// Picks an endpoint by the request's key; `None` if the key's endpoints and the next ones in the ranking are full.
    fn pick_by_key(&mut self, healthy: &[usize], key: &KeyAffinity) -> Option<usize> {
        let max_load = Upstream::max_load(self.request.priority);
        let can_take = |choice: &Self, index: usize| choice.load_with_one_more(index) <= max_load;
        if let Some(bound) = &key.bound_endpoint {
            let index = healthy
                .iter()
                .copied()
                .find(|&index| self.upstreams[index].id == *bound);
            if let Some(index) = index.filter(|&index| can_take(self, index)) {
                return Some(index);
            }
        }
        let candidates = healthy.iter().map(|&index| {
            let upstream = &self.upstreams[index];
            (index, &*upstream.id, self.proximity(upstream, key))
        });
        let ranked = rank_endpoints(key.key, candidates);
        if ranked.is_empty() {
            return None; // all in slow start, which has its own limit
        }
        if key.is_exclusive {
            return ranked.into_iter().find(|&index| can_take(self, index));
        }
        let spread = key.spread.clamp(1, ranked.len());
        let best = self.less_loaded_of_two(&ranked[..spread]);
        if self.load_with_one_more(best) <= self.key_limit(best, key) {
            return Some(best);
        }
        // Bounded load: continue in the key's ranking with the next endpoints that have room. Choosing between several
        // of them keeps proxies that all see the key's endpoints full from overloading a single one.
        let has_room =
            |index: &usize| self.load_with_one_more(*index) <= self.key_limit(*index, key);
        let next = ranked[spread..].iter().copied().filter(has_room);
        let next: Vec<usize> = next.take(OVERFLOW_ENDPOINTS).collect();
        if !next.is_empty() {
            return Some(self.less_loaded_of_two(&next));
        }
        Some(best).filter(|&index| can_take(self, index))
    }

    /// The maximum load of an endpoint for this key: a hot key may use a share of its slots, but at least one.
    fn key_limit(&self, index: usize, key: &KeyAffinity) -> f64 {
        match key.is_hot {
            true => SLOT_SHARE.max(1.0 / f64::from(self.upstreams[index].capacity)),
            false => 1.0,
        }
    }

    /// The less loaded of two random endpoints, which may be the same.
    fn less_loaded_of_two(&mut self, candidates: &[usize]) -> usize {
        let one = candidates[self.rng.random_range(0..candidates.len())];
        let other = candidates[self.rng.random_range(0..candidates.len())];
        if self.load_with_one_more(other) < self.load_with_one_more(one) {
            other
        } else {
            one
        }
    }

    /// The load of an endpoint, with a penalty if it is in another zone.
    fn score(&self, index: usize) -> f64 {
        let upstream = &self.upstreams[index];
        let penalty = if self.request.is_bulk {
            BULK_ZONE_PENALTY
        } else {
            ZONE_PENALTY
        };
        let is_same_zone = *upstream.zone == *self.zone;
        upstream.load(self.now) + if is_same_zone { 0.0 } else { penalty }
    }

    /// The better of two distinct random endpoints by score.
    fn better_of_two(&mut self, candidates: &[usize]) -> Option<usize> {
        let (one, other) = match candidates {
            [] => return None,
            [only] => (*only, *only),
            _ => {
                let one = self.rng.random_range(0..candidates.len());
                let other = (one + self.rng.random_range(1..candidates.len())) % candidates.len();
                (candidates[one], candidates[other])
            }
        };
        Some(if self.score(other) < self.score(one) {
            other
        } else {
            one
        })
    }

    fn best_score(&self, candidates: &[usize]) -> Option<usize> {
        let candidates = candidates.iter().copied();
        candidates.min_by(|&a, &b| self.score(a).total_cmp(&self.score(b)))
    }

    /// Picks an endpoint by load: from this proxy's subset, then from its region, then from other regions.
    fn pick_by_load(
        &mut self,
        eligible: &[usize],
        healthy: &[usize],
        position: ProxyPosition,
    ) -> Option<usize> {
        let (in_region, in_other_regions): (Vec<usize>, Vec<usize>) = healthy
            .iter()
            .copied()
            .partition(|&index| self.is_same_region(index));
        // The subset comes first: with few endpoints, their load reports and this proxy's own requests in flight there
        // describe their load well.
        let eligible_in_region: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|&index| self.is_same_region(index))
            .collect();
        let candidates = if eligible_in_region.is_empty() {
            eligible
        } else {
            &eligible_in_region
        };
        let own_subset = subset(candidates, position);
        let preferred: Vec<usize> = healthy
            .iter()
            .copied()
            .filter(|index| own_subset.contains(index))
            .collect();
        let best = if preferred.is_empty() {
            self.better_of_two(&in_region)
        } else if preferred.len() < in_region.len().max(in_other_regions.len()) {
            self.best_score(&preferred)
        } else {
            self.better_of_two(&preferred)
        };
        if best.is_some_and(|index| self.load_with_one_more(index) <= 1.0) {
            return best;
        }
        // The request would queue there: consider the whole region, then other regions.
        let best_in_region = self.best_score(&in_region);
        let Some(other) = self.better_of_two(&in_other_regions) else {
            return best_in_region;
        };
        let penalty = if self.request.is_bulk {
            BULK_REGION_PENALTY
        } else {
            REGION_PENALTY
        };
        let is_better = best_in_region.is_none_or(|index| {
            let load = self.load_with_one_more(index);
            load > 1.0 && self.load_with_one_more(other) + penalty < load
        });
        if is_better {
            Some(other)
        } else {
            best_in_region
        }
    }
}

fn least_loaded(upstreams: &[Upstream], candidates: &[usize], now: u64) -> Option<usize> {
    let load = |index: usize| upstreams[index].load_with_one_more(now);
    candidates
        .iter()
        .copied()
        .min_by(|&a, &b| load(a).total_cmp(&load(b)))
}

/// The first endpoint in slow start that can take a request from this proxy.
fn pick_warming_up(upstreams: &mut [Upstream], eligible: &[usize], now: u64) -> Option<usize> {
    eligible.iter().copied().find(|&index| {
        let upstream = &mut upstreams[index];
        !upstream.is_warm(now) && upstream.slow_start_rate > 0.0 && upstream.try_slow_start(now)
    })
}
