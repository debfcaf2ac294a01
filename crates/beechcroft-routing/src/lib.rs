//! From host and path to a route, by version. A table is made once from a configuration and never changed.

use beechcroft_config::config::{Config, KeyPart, Limits, Route, RouteType, Service};
use std::collections::HashMap;

/// A route as requests use it.
#[derive(Clone, Debug)]
pub struct Way {
    pub prefix: String,
    pub name: String,
    pub kind: RouteType,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u8,
    /// Services with the sum of weights up to and with each.
    pub parts: Vec<(usize, u32)>,
    pub tries: u32,
    pub homes: Vec<String>,
    pub key: Option<KeyPart>,
}

impl Way {
    /// Whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        self.kind != RouteType::NonIdempotent
    }

    /// The key of a request: what the operator names, else the path below the prefix. `header` finds a value.
    pub fn key<'a>(
        &self,
        target: &'a str,
        header: impl FnOnce(&str) -> Option<&'a str>,
    ) -> &'a str {
        let path = target.split('?').next().unwrap_or(target);
        let below = path.get(self.prefix.len()..).unwrap_or("");
        match &self.key {
            None => below,
            Some(KeyPart {
                segment: Some(at), ..
            }) => below.split('/').nth(at - 1).unwrap_or(""),
            Some(KeyPart { header: name, .. }) => name.as_deref().and_then(header).unwrap_or(""),
        }
    }

    /// The service for a draw from 0 up to 1.
    pub fn service(&self, draw: f64) -> usize {
        let all = self.parts.last().map_or(0, |&(_, sum)| sum);
        let at = (draw * f64::from(all)) as u32;
        self.parts
            .iter()
            .find(|&&(_, sum)| at < sum)
            .or(self.parts.last())
            .map_or(0, |&(service, _)| service)
    }
}

/// The routes of one version.
#[derive(Clone, Debug)]
pub struct Table {
    pub version: u32,
    pub limits: Limits,
    pub services: Vec<Service>,
    /// By host, longest prefix first among those that share a first segment.
    hosts: HashMap<String, HashMap<String, Vec<usize>>>,
    ways: Vec<Way>,
}

/// The part of a path or prefix up to its second slash, which all its matches share.
fn first_segment(path: &str) -> &str {
    let end = path
        .get(1..)
        .and_then(|rest| rest.find('/'))
        .map_or(path.len(), |at| at + 2);
    &path[..end]
}

impl Table {
    pub fn new(config: &Config) -> Table {
        let place: HashMap<&str, usize> = config
            .services
            .iter()
            .enumerate()
            .map(|(at, service)| (service.name.as_str(), at))
            .collect();
        let mut table = Table {
            version: config.version,
            limits: config.limits.clone(),
            services: config.services.clone(),
            hosts: HashMap::new(),
            ways: Vec::new(),
        };
        for host in &config.virtual_hosts {
            let rules = table
                .hosts
                .entry(host.hostname.to_ascii_lowercase())
                .or_default();
            for route in &host.path_rules {
                let segment = first_segment(&route.path_prefix).to_owned();
                rules.entry(segment).or_default().push(table.ways.len());
                table.ways.push(way(route, &place));
            }
        }
        for rule in table.hosts.values_mut().flat_map(HashMap::values_mut) {
            rule.sort_by_key(|&at| std::cmp::Reverse(table.ways[at].prefix.len()));
        }
        table
    }

    /// The way of a host and a raw path; a query does not count.
    pub fn find(&self, host: &str, target: &str) -> Option<(usize, &Way)> {
        let path = target.split('?').next().unwrap_or(target);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower;
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => {
                lower = host.to_ascii_lowercase();
                self.hosts.get(&lower)?
            }
        };
        let within = |key: &str| {
            let found = rules
                .get(key)?
                .iter()
                .find(|&&at| path.starts_with(&self.ways[at].prefix))?;
            Some((*found, &self.ways[*found]))
        };
        within(first_segment(path)).or_else(|| within("/"))
    }

    pub fn way(&self, at: usize) -> &Way {
        &self.ways[at]
    }
}

fn way(route: &Route, place: &HashMap<&str, usize>) -> Way {
    let mut sum = 0;
    let mut parts: Vec<(usize, u32)> = Vec::new();
    match &route.service {
        Some(service) => parts.push((place[service.as_str()], 1)),
        None => {
            for part in route.split.iter().filter(|part| part.weight > 0) {
                sum += part.weight;
                parts.push((place[part.service.as_str()], sum));
            }
        }
    }
    Way {
        prefix: route.path_prefix.clone(),
        name: route.name.clone(),
        kind: route.route_type,
        timeout_ms: route.timeout_ms,
        target_ms: route.target_ms,
        priority: route.priority,
        parts,
        tries: route.retries.max(1),
        homes: route.home_regions.clone(),
        key: route.key.clone(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table() -> Table {
        let body =
            br#"{"version":"0000000a","baseVersion":0,"services":[{"name":"a"},{"name":"b"}],"virtualHosts":[
            {"hostname":"h.example","pathRules":[
            {"name":"r1","pathPrefix":"/x/","routeType":"idempotent","timeoutMs":9,"service":"a"},
            {"name":"r2","pathPrefix":"/x/y/","routeType":"non_idempotent","timeoutMs":9,
             "split":[{"service":"a","weight":0},{"service":"b","weight":3}]}]}]}"#;
        Table::new(&Config::read(body).unwrap())
    }

    #[test]
    fn the_longest_prefix_wins_and_a_raw_path_is_not_mended() {
        let table = table();
        let name = |path| {
            table
                .find("H.example:80", path)
                .map(|(_, way)| way.name.as_str())
        };
        assert_eq!(name("/x/y/z?q=/"), Some("r2"));
        assert_eq!(name("/x/yy"), Some("r1"));
        assert_eq!(name("/x"), None);
        assert_eq!(name("/a%2Fb/../x/"), None);
        assert!(table.find("other", "/x/").is_none());
    }

    #[test]
    fn a_service_of_weight_0_gets_nothing() {
        let table = table();
        let (_, way) = table.find("h.example", "/x/y/").unwrap();
        assert!((0..100).all(|i| way.service(f64::from(i) / 100.0) == 1));
    }
}
