//! Routing: from host and path to a route. A table is compiled once from a version of the configuration and never
//! changes.

#![warn(missing_docs)]

use beechcroft_config::config::{Config, KeySource, Limits, Route, RouteType, Service};
use std::cmp::Reverse;
use std::collections::HashMap;

/// A service's share of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's index in [`RoutingTable::services`].
    pub service: usize,
    /// The sum of the weights up to and with this one.
    pub cumulative_weight: u32,
}

/// A route as requests use it.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// What its paths begin with.
    pub prefix: String,
    /// Its name.
    pub name: String,
    /// What its requests do.
    pub route_type: RouteType,
    /// For a request to be answered, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in milliseconds.
    pub latency_target_ms: u64,
    /// Its priority: 0 is the highest.
    pub priority: u8,
    /// The services that its requests go to.
    pub services: Vec<WeightedService>,
    /// Units that a request may be sent to at most.
    pub max_attempts: u32,
    /// The regions that may serve it; empty for all.
    pub home_regions: Vec<String>,
    /// Where a request's key is taken from.
    pub key: Option<KeySource>,
}

impl CompiledRoute {
    fn new(route: &Route, service_index: &HashMap<&str, usize>) -> CompiledRoute {
        let mut services = Vec::new();
        match &route.service {
            Some(name) => {
                let service = service_index[name.as_str()];
                services.push(WeightedService {
                    service,
                    cumulative_weight: 1,
                });
            }
            None => {
                let mut cumulative_weight = 0;
                for part in route.split.iter().filter(|part| part.weight > 0) {
                    cumulative_weight += part.weight;
                    let service = service_index[part.service.as_str()];
                    services.push(WeightedService {
                        service,
                        cumulative_weight,
                    });
                }
            }
        }
        CompiledRoute {
            prefix: route.path_prefix.clone(),
            name: route.name.clone(),
            route_type: route.route_type,
            timeout_ms: route.timeout_ms,
            latency_target_ms: route.target_ms,
            priority: route.priority,
            services,
            max_attempts: route.retries.max(1),
            home_regions: route.home_regions.clone(),
            key: route.key.clone(),
        }
    }

    /// Whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route_type != RouteType::NonIdempotent
    }

    /// The key of a request: what the operator names, else the path below the prefix. `header` finds a value.
    pub fn key<'a>(
        &self,
        target: &'a str,
        header: impl FnOnce(&str) -> Option<&'a str>,
    ) -> &'a str {
        let below = path_of(target).get(self.prefix.len()..).unwrap_or("");
        match &self.key {
            None => below,
            Some(KeySource {
                segment: Some(nth), ..
            }) => below.split('/').nth(nth - 1).unwrap_or(""),
            Some(KeySource { header: name, .. }) => name.as_deref().and_then(header).unwrap_or(""),
        }
    }

    /// The service for a draw from 0 up to 1.
    pub fn pick_service(&self, draw: f64) -> usize {
        let total = self
            .services
            .last()
            .map_or(0, |last| last.cumulative_weight);
        let weight = (draw * f64::from(total)) as u32;
        let picked = self
            .services
            .iter()
            .find(|part| weight < part.cumulative_weight);
        picked
            .or(self.services.last())
            .map_or(0, |part| part.service)
    }
}

/// The routes of a host: indices by the first segment of their prefix, the longest prefix first.
type HostRoutes = HashMap<String, Vec<usize>>;

/// The routes of one version of the configuration.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// The version.
    pub version: u32,
    /// Limits on what clients send.
    pub limits: Limits,
    /// All services.
    pub services: Vec<Service>,
    hosts: HashMap<String, HostRoutes>,
    routes: Vec<CompiledRoute>,
}

/// The part of a path or prefix up to its second slash, which all its matches share.
fn first_segment(path: &str) -> &str {
    let second_slash = path.get(1..).and_then(|rest| rest.find('/'));
    &path[..second_slash.map_or(path.len(), |at| at + 2)]
}

/// A target without its query.
fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}

impl RoutingTable {
    /// Compiles a configuration.
    pub fn new(config: &Config) -> RoutingTable {
        let names = config.services.iter().map(|service| service.name.as_str());
        let service_index: HashMap<&str, usize> = names
            .enumerate()
            .map(|(index, name)| (name, index))
            .collect();
        let mut table = RoutingTable {
            version: config.version,
            limits: config.limits.clone(),
            services: config.services.clone(),
            hosts: HashMap::new(),
            routes: Vec::new(),
        };
        for host in &config.virtual_hosts {
            let by_segment = table
                .hosts
                .entry(host.hostname.to_ascii_lowercase())
                .or_default();
            for route in &host.path_rules {
                let segment = first_segment(&route.path_prefix).to_owned();
                by_segment
                    .entry(segment)
                    .or_default()
                    .push(table.routes.len());
                table.routes.push(CompiledRoute::new(route, &service_index));
            }
        }
        for indices in table.hosts.values_mut().flat_map(HashMap::values_mut) {
            indices.sort_by_key(|&index| Reverse(table.routes[index].prefix.len()));
        }
        table
    }

    /// The route of a host and a raw target, with its index. A query and a port do not count.
    pub fn find(&self, host: &str, target: &str) -> Option<(usize, &CompiledRoute)> {
        let path = path_of(target);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let find_in = |segment: &str| {
            let mut indices = routes.get(segment)?.iter().copied();
            let index = indices.find(|&index| path.starts_with(&self.routes[index].prefix))?;
            Some((index, &self.routes[index]))
        };
        find_in(first_segment(path)).or_else(|| find_in("/"))
    }
}
