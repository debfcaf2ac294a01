//! Routing: looks up the route for a host and path. A routing table is compiled once per version of the configuration
//! and is immutable.

#![warn(missing_docs)]

use beechcroft_config::config::{Config, KeySource, Limits, Route, RouteType, Service};
use std::cmp::Reverse;
use std::collections::HashMap;

/// A service that takes part of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's index in [`RoutingTable::services`].
    pub service: usize,
    /// Sum of the weights of the route's services up to and including this one.
    pub cumulative_weight: u32,
}

/// A route, prepared for matching and forwarding.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    /// The path prefix that it matches.
    pub prefix: String,
    /// The name in the configuration.
    pub name: String,
    /// Whether its requests may be executed more than once, and how large its responses are.
    pub route_type: RouteType,
    /// Time limit for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the response time, in milliseconds.
    pub latency_target_ms: u64,
    /// Priority of its requests: 0 is the highest.
    pub priority: u8,
    /// The services that its requests are split over.
    pub services: Vec<WeightedService>,
    /// Maximum number of endpoints that a request may be sent to.
    pub max_attempts: u32,
    /// The regions that may serve it; empty for all.
    pub home_regions: Vec<String>,
    /// The part of a request that holds its key; `None` for the path below the prefix.
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
                for share in route.split.iter().filter(|share| share.weight > 0) {
                    cumulative_weight += share.weight;
                    let service = service_index[share.service.as_str()];
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

    /// The key of a request: the configured path segment or header, else the path below the prefix. `header` looks up a
    /// header by name. An absent segment or header gives an empty key.
    pub fn key<'a>(
        &self,
        target: &'a str,
        header: impl FnOnce(&str) -> Option<&'a str>,
    ) -> &'a str {
        let path_below_prefix = path_without_query(target)
            .get(self.prefix.len()..)
            .unwrap_or("");
        match &self.key {
            None => path_below_prefix,
            Some(KeySource {
                segment: Some(nth), ..
            }) => path_below_prefix.split('/').nth(nth - 1).unwrap_or(""),
            Some(KeySource { header: name, .. }) => name.as_deref().and_then(header).unwrap_or(""),
        }
    }

    /// Picks a service by weight. `draw` is uniform in the range 0 to 1, exclusive of 1.
    pub fn pick_service(&self, draw: f64) -> usize {
        let total = self
            .services
            .last()
            .map_or(0, |last| last.cumulative_weight);
        let weight = (draw * f64::from(total)) as u32;
        let picked = self
            .services
            .iter()
            .find(|share| weight < share.cumulative_weight);
        picked
            .or(self.services.last())
            .map_or(0, |share| share.service)
    }
}

/// The routes of a host: route indices by the first segment of their prefix, longest prefix first.
type HostRoutes = HashMap<String, Vec<usize>>;

/// The routes of one version of the configuration.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// The version of the configuration.
    pub version: u32,
    /// Limits on requests from clients.
    pub limits: Limits,
    /// All services of the configuration.
    pub services: Vec<Service>,
    hosts: HashMap<String, HostRoutes>,
    routes: Vec<CompiledRoute>,
}

/// The part of a path or prefix up to and including its second slash. A prefix and all paths that it matches share it.
fn first_segment(path: &str) -> &str {
    let second_slash = path.get(1..).and_then(|rest| rest.find('/'));
    &path[..second_slash.map_or(path.len(), |at| at + 2)]
}

/// The path of a request target, without its query.
fn path_without_query(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}

impl RoutingTable {
    /// Compiles a validated configuration.
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

    /// Finds the route for a host and a raw request target, and returns it with its index. The port of the host and the
    /// query of the target are ignored.
    pub fn find(&self, host: &str, target: &str) -> Option<(usize, &CompiledRoute)> {
        let path = path_without_query(target);
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
