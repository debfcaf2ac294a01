//! Keeps the endpoints of the load balancer in step with the registry of endpoints that gossip maintains.

use super::StateOwner;
use beechcroft_balancer::{ProxyPosition, Upstream, VersionClass};
use beechcroft_consensus::{Admission, OperationsState};
use beechcroft_gossip::{Member, HEARTBEATS_PER_UPDATE};
use beechcroft_registry::{Endpoint, EndpointState};
use rapidhash::v3::rapidhash_v3;
use std::collections::BTreeMap;

/// Number of proxies that may send requests to an endpoint while it warms up.
const SLOW_START_PROXIES: usize = 2;
/// Share of an endpoint's request rate during warm-up that these proxies use together.
const SLOW_START_SHARE: f64 = 0.5;
/// Missed heartbeats after which an endpoint counts as silent.
const MISSED_HEARTBEATS: u64 = 3;
/// Allowance for the propagation of an update by gossip, in milliseconds.
const UPDATE_DELAY_MS: u64 = 500;
/// Time beyond the longest warm-up after which an uncertain warm-up counts as over, in milliseconds.
const UNCERTAINTY_MARGIN_MS: u64 = 1000;

/// A possible warm-up of an endpoint whose zone is no longer evacuated. It is assumed until a later heartbeat states the
/// warm-up.
pub(super) struct UncertainWarmup {
    /// Sequence number of the heartbeat from which the warm-up is known.
    known_from_sequence: u64,
    /// Time at which the warm-up counts as over without such a heartbeat.
    ends_at: u64,
}

impl StateOwner {
    /// Endpoints of zones that are no longer evacuated may have to warm up again. Only a heartbeat sent after the change
    /// tells whether they do.
    pub(super) fn mark_uncertain_warmups(&mut self, now: u64, before: &OperationsState) {
        let operations = self.shared.operations.borrow();
        let ends_at = now + self.longest_warmup_ms() + UNCERTAINTY_MARGIN_MS;
        for endpoint in self.gossip.endpoints().iter() {
            let record = &endpoint.record;
            let was_evacuated = before.evacuated_zones.contains(&record.zone);
            if was_evacuated && !operations.evacuated_zones.contains(&record.zone) {
                let warmup = UncertainWarmup {
                    known_from_sequence: record.sequence + 1,
                    ends_at,
                };
                self.uncertain_warmups.insert(record.id.clone(), warmup);
            }
        }
    }

    fn longest_warmup_ms(&self) -> u64 {
        let routes = self.shared.routes.borrow();
        let services = routes.iter().flat_map(|routes| &routes.services);
        (services.map(|service| service.warmup_s).fold(0.0, f64::max) * 1000.0) as u64
    }

    pub(super) fn sync_all_endpoints(&mut self, now: u64) {
        let endpoints = self.gossip.endpoints().iter();
        let ids: Vec<String> = endpoints
            .map(|endpoint| endpoint.record.id.clone())
            .collect();
        for id in ids {
            self.sync_endpoint(now, &id);
        }
    }

    /// Of several endpoints at one address, only the one with the latest heartbeat still exists. Marks this endpoint as gone
    /// if another one was heard later, else the other ones. Their idle connections are closed, because the machine of the
    /// successor would reset them.
    pub(super) fn mark_predecessors_gone(&mut self, id: &str) {
        let is_alive = |endpoint: &&Endpoint| endpoint.record.state != EndpointState::Gone;
        let endpoints = self.gossip.endpoints();
        let Some(endpoint) = endpoints.get(id).filter(is_alive) else {
            return;
        };
        let (address, heartbeat_at) = (endpoint.record.address, endpoint.last_heartbeat_at);
        let others = endpoints
            .iter()
            .filter(is_alive)
            .filter(|other| other.record.address == address && other.record.id != id);
        let others: Vec<(String, u64)> = others
            .map(|other| (other.record.id.clone(), other.last_heartbeat_at))
            .collect();
        let gone: Vec<String> = match others.iter().any(|(_, at)| *at > heartbeat_at) {
            true => vec![id.to_owned()],
            false => others.into_iter().map(|(other, _)| other).collect(),
        };
        let now = self.shared.now();
        for id in gone {
            if self.gossip.mark_endpoint_gone(&id) {
                self.shared.pool.borrow_mut().close_idle(&id);
                self.sync_endpoint(now, &id);
            }
        }
    }

    /// Updates the load balancer's entry for an endpoint from the registry, the operations and the placement.
    pub(super) fn sync_endpoint(&mut self, now: u64, id: &str) {
        let Some(endpoint) = self.gossip.endpoints().get(id) else {
            return;
        };
        self.first_endpoint_at.get_or_insert(now);
        let record = &endpoint.record;
        let mut balancer = self.shared.balancer.borrow_mut();
        if record.state == EndpointState::Gone {
            let upstreams = balancer.service_mut(&record.service);
            upstreams.retain(|upstream| *upstream.id != *id || upstream.in_flight > 0);
            if let Some(upstream) = balancer.upstream_mut(&record.service, id) {
                upstream.is_available = false;
            }
            return;
        }
        if balancer.upstream_mut(&record.service, id).is_none() {
            balancer.add(&record.service, self.new_upstream(endpoint));
        }
        let operations = self.shared.operations.borrow();
        let upstream = balancer
            .upstream_mut(&record.service, id)
            .expect("added above");
        upstream.class = match operations.admission(&record.service, &record.version) {
            Admission::Base | Admission::Unknown => VersionClass::Base,
            Admission::Canary(_) => VersionClass::Canary,
            Admission::Rejected => VersionClass::Excluded,
        };
        upstream.is_available = record.state == EndpointState::Ready
            && !operations.evacuated_zones.contains(&record.zone);
        let placement = operations.placements.get(&record.service);
        upstream.is_excluded_by_placement =
            placement.is_some_and(|placement| placement.excluded.contains(id));
        upstream.warmup_ends_at = self.warmup_ends_at(now, endpoint);
        upstream.slow_start_rate = self.slow_start_rate(now, endpoint);
    }

    fn new_upstream(&self, endpoint: &Endpoint) -> Upstream {
        let record = &endpoint.record;
        let region = self.shared.settings.region_of(&record.zone);
        let capacity = u32::from(record.capacity);
        let (zone, version) = (&record.zone, &record.version);
        Upstream::new(&record.id, record.address, zone, region, version, capacity)
    }

    /// Time at which the warm-up of an endpoint ends, including an uncertain one.
    fn warmup_ends_at(&self, now: u64, endpoint: &Endpoint) -> u64 {
        let record = &endpoint.record;
        let uncertain = self.uncertain_warmups.get(&record.id);
        let uncertain = uncertain
            .filter(|warmup| record.sequence < warmup.known_from_sequence && now < warmup.ends_at);
        uncertain.map_or(endpoint.warmup_ends_at, |warmup| {
            warmup.ends_at.max(endpoint.warmup_ends_at)
        })
    }

    /// Rate at which this proxy may send requests to an endpoint that is warming up, in requests per second.
    fn slow_start_rate(&self, now: u64, endpoint: &Endpoint) -> f64 {
        let record = &endpoint.record;
        if endpoint.warmup_ends_at <= now || !self.is_slow_start_proxy(&record.id) {
            return 0.0;
        }
        let routes = self.shared.routes.borrow();
        let mut services = routes.iter().flat_map(|routes| &routes.services);
        let service = services.find(|service| service.name == record.service);
        let rate = service.map_or(0.0, |service| service.warmup_rate_s);
        rate * SLOW_START_SHARE / SLOW_START_PROXIES as f64
    }

    /// Whether this proxy is among the few that may send requests to an endpoint while it warms up. All proxies agree on
    /// them by rendezvous hashing.
    fn is_slow_start_proxy(&self, id: &str) -> bool {
        let weight = |name: &str| rapidhash_v3(format!("{name} warms {id}").as_bytes());
        let own_weight = weight(&self.gossip.local().name);
        let proxies = self
            .gossip
            .live_members()
            .filter(|member| !member.is_control);
        let ranked_before = proxies.filter(|member| weight(&member.name) > own_weight);
        ranked_before.count() < SLOW_START_PROXIES
    }

    /// Updates the number of live proxies and this proxy's position among those of its region.
    pub(super) fn update_position(&mut self) {
        let is_proxy = |member: &&Member| !member.is_control;
        let proxies = self.gossip.live_members().filter(is_proxy).count();
        self.shared.proxies.set(1 + proxies);
        let order_hash = |name: &str| rapidhash_v3(format!("{name} keeps").as_bytes());
        let local = self.gossip.local();
        let own_order = order_hash(&local.name);
        let region_peers = || {
            let members = self.gossip.live_members().filter(is_proxy);
            members.filter(|member| member.region == local.region)
        };
        let index = region_peers()
            .filter(|member| order_hash(&member.name) < own_order)
            .count();
        let position = ProxyPosition {
            index,
            count: region_peers().count() + 1,
        };
        self.shared.balancer.borrow_mut().set_position(position);
    }

    /// Marks ready endpoints whose heartbeats are overdue, unless those of most endpoints are: then it is more likely that
    /// this proxy is cut off from gossip.
    pub(super) fn mark_silent_endpoints(&mut self, now: u64) {
        // Gossip passes on only one in HEARTBEATS_PER_UPDATE heartbeats.
        let heartbeats = HEARTBEATS_PER_UPDATE + MISSED_HEARTBEATS;
        let timeout_ms = heartbeats * self.shared.settings.heartbeat_ms + UPDATE_DELAY_MS;
        let is_silent =
            |endpoint: &Endpoint| now.saturating_sub(endpoint.last_heartbeat_at) > timeout_ms;
        let ready = || {
            let endpoints = self.gossip.endpoints().iter();
            endpoints.filter(|endpoint| endpoint.record.state == EndpointState::Ready)
        };
        let silent = ready().filter(|endpoint| is_silent(endpoint)).count();
        let most_are_silent = silent * 2 > ready().count();
        let mut balancer = self.shared.balancer.borrow_mut();
        for endpoint in ready() {
            let record = &endpoint.record;
            if let Some(upstream) = balancer.upstream_mut(&record.service, &record.id) {
                upstream.is_heartbeat_overdue = !most_are_silent && is_silent(endpoint);
            }
        }
    }

    /// Closes idle connections to endpoints that no longer receive requests, and those that have been idle for too long.
    pub(super) fn close_unused_connections(&mut self, now: u64) {
        let balancer = self.shared.balancer.borrow();
        let available: BTreeMap<&str, bool> = balancer
            .upstreams()
            .map(|(_, upstream)| (&*upstream.id, upstream.is_available))
            .collect();
        let is_in_use = |unit: &str| available.get(unit).copied().unwrap_or(false);
        self.shared.pool.borrow_mut().close_expired(now, is_in_use);
    }
}
