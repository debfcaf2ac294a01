//! Endpoints: what the load balancer holds follows what is known of them.

use super::StateOwner;
use beechcroft_balancer::{ProxyPosition, Upstream, VersionClass};
use beechcroft_consensus::{Admission, OperationsState};
use beechcroft_gossip::{Member, HEARTBEATS_PER_UPDATE};
use beechcroft_registry::{Endpoint, EndpointState};
use rapidhash::v3::rapidhash_v3;
use std::collections::BTreeMap;

/// Proxies that may send to one endpoint while it warms up.
const SLOW_START_PROXIES: usize = 2;
/// The share of what an endpoint bears while it warms up that proxies use.
const SLOW_START_SHARE: f64 = 0.5;
/// Heartbeats missed before an endpoint counts as silent.
const MISSED_HEARTBEATS: u64 = 3;
/// For an update to arrive, in milliseconds.
const UPDATE_DELAY_MS: u64 = 500;
/// How long a doubt lasts beyond the warm-up, in milliseconds.
const DOUBT_MARGIN_MS: u64 = 1000;

/// An endpoint's zone was taken back: it may be warming up until a later heartbeat says otherwise.
pub(super) struct WarmupDoubt {
    /// The heartbeat that ends the doubt.
    sequence: u64,
    until: u64,
}

impl StateOwner {
    /// Endpoints of zones that are taken back may have to warm up again: only a later heartbeat says otherwise.
    pub(super) fn doubt_returned_zones(&mut self, now: u64, before: &OperationsState) {
        let operations = self.shared.operations.borrow();
        let until = now + self.longest_warmup_ms() + DOUBT_MARGIN_MS;
        for endpoint in self.gossip.endpoints().iter() {
            let record = &endpoint.record;
            let was_evacuated = before.evacuated_zones.contains(&record.zone);
            if was_evacuated && !operations.evacuated_zones.contains(&record.zone) {
                let doubt = WarmupDoubt {
                    sequence: record.sequence + 1,
                    until,
                };
                self.doubts.insert(record.id.clone(), doubt);
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

    /// Of two endpoints at one address, the one that was heard earlier has ended. Nothing is sent to it any more, least of
    /// all on connections that its successor's machine would reset.
    pub(super) fn end_predecessors(&mut self, id: &str) {
        let is_alive = |endpoint: &&Endpoint| endpoint.record.state != EndpointState::Gone;
        let endpoints = self.gossip.endpoints();
        let Some(endpoint) = endpoints.get(id).filter(is_alive) else {
            return;
        };
        let (address, heard_at) = (endpoint.record.address, endpoint.last_heartbeat_at);
        let rivals = endpoints
            .iter()
            .filter(is_alive)
            .filter(|other| other.record.address == address && other.record.id != id);
        let rivals: Vec<(String, u64)> = rivals
            .map(|other| (other.record.id.clone(), other.last_heartbeat_at))
            .collect();
        let ended: Vec<String> = match rivals.iter().any(|(_, at)| *at > heard_at) {
            true => vec![id.to_owned()],
            false => rivals.into_iter().map(|(rival, _)| rival).collect(),
        };
        let now = self.shared.now();
        for gone in ended {
            if self.gossip.mark_endpoint_gone(&gone) {
                self.shared.pool.borrow_mut().close_idle(&gone);
                self.sync_endpoint(now, &gone);
            }
        }
    }

    /// Brings what the load balancer holds of an endpoint up to what is known of it.
    pub(super) fn sync_endpoint(&mut self, now: u64, id: &str) {
        let Some(endpoint) = self.gossip.endpoints().get(id) else {
            return;
        };
        self.endpoints_since.get_or_insert(now);
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
            placement.is_some_and(|held| held.excluded.contains(id));
        upstream.warmup_ends_at = self.warm_at(now, endpoint);
        upstream.slow_start_rate = self.slow_start_rate(now, endpoint);
    }

    fn new_upstream(&self, endpoint: &Endpoint) -> Upstream {
        let record = &endpoint.record;
        let region = self.shared.settings.region_of(&record.zone);
        let capacity = u32::from(record.capacity);
        let (zone, version) = (&record.zone, &record.version);
        Upstream::new(&record.id, record.address, zone, region, version, capacity)
    }

    /// When an endpoint will have warmed up, with a doubt counted in.
    fn warm_at(&self, now: u64, endpoint: &Endpoint) -> u64 {
        let record = &endpoint.record;
        let doubt = self.doubts.get(&record.id);
        let doubt = doubt.filter(|doubt| record.sequence < doubt.sequence && now < doubt.until);
        doubt.map_or(endpoint.warmup_ends_at, |doubt| {
            doubt.until.max(endpoint.warmup_ends_at)
        })
    }

    /// Requests a second that this proxy may send to an endpoint while it warms up.
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

    /// Whether this proxy is among the few that may send to an endpoint while it warms up.
    fn is_slow_start_proxy(&self, id: &str) -> bool {
        let weight = |name: &str| rapidhash_v3(format!("{name} warms {id}").as_bytes());
        let own_weight = weight(&self.gossip.local().name);
        let proxies = self
            .gossip
            .live_members()
            .filter(|member| !member.is_control);
        let before = proxies.filter(|member| weight(&member.name) > own_weight);
        before.count() < SLOW_START_PROXIES
    }

    /// Counts proxies, and finds this one's position among those of its region.
    pub(super) fn update_position(&mut self) {
        let is_proxy = |member: &&Member| !member.is_control;
        let proxies = self.gossip.live_members().filter(is_proxy).count();
        self.shared.proxies.set(1 + proxies);
        let order = |name: &str| rapidhash_v3(format!("{name} keeps").as_bytes());
        let local = self.gossip.local();
        let own_order = order(&local.name);
        let neighbours = || {
            let members = self.gossip.live_members().filter(is_proxy);
            members.filter(|member| member.region == local.region)
        };
        let index = neighbours()
            .filter(|member| order(&member.name) < own_order)
            .count();
        let position = ProxyPosition {
            index,
            count: neighbours().count() + 1,
        };
        self.shared.balancer.borrow_mut().set_position(position);
    }

    /// Marks endpoints whose heartbeats have stopped, unless most have: then it is this proxy that hears nothing.
    pub(super) fn mark_silent_endpoints(&mut self, now: u64) {
        // Only every few heartbeats are passed on.
        let heartbeats = HEARTBEATS_PER_UPDATE + MISSED_HEARTBEATS;
        let patience_ms = heartbeats * self.shared.settings.heartbeat_ms + UPDATE_DELAY_MS;
        let is_silent =
            |endpoint: &Endpoint| now.saturating_sub(endpoint.last_heartbeat_at) > patience_ms;
        let ready = || {
            let endpoints = self.gossip.endpoints().iter();
            endpoints.filter(|endpoint| endpoint.record.state == EndpointState::Ready)
        };
        let silent = ready().filter(|endpoint| is_silent(endpoint)).count();
        let are_most_silent = silent * 2 > ready().count();
        let mut balancer = self.shared.balancer.borrow_mut();
        for endpoint in ready() {
            let record = &endpoint.record;
            if let Some(upstream) = balancer.upstream_mut(&record.service, &record.id) {
                upstream.is_heartbeat_overdue = !are_most_silent && is_silent(endpoint);
            }
        }
    }

    /// Closes kept connections to endpoints that get no more requests, and those that were idle for too long.
    pub(super) fn close_unused_connections(&mut self, now: u64) {
        let balancer = self.shared.balancer.borrow();
        let available: BTreeMap<&str, bool> = balancer
            .upstreams()
            .map(|(_, upstream)| (&*upstream.id, upstream.is_available))
            .collect();
        let is_used = |unit: &str| available.get(unit).copied().unwrap_or(false);
        self.shared.pool.borrow_mut().close_expired(now, is_used);
    }
}
