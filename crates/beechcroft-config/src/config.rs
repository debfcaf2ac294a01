//! The configuration as the operator sends it, and its validation.

use beechcroft_error::{Error, ErrorKind};
use garde::Validate;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

/// A complete configuration. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Config {
    /// Its version, which must be above [`Config::base_version`].
    #[serde(deserialize_with = "hexadecimal")]
    #[garde(range(min = 1))]
    pub version: u32,
    /// The version of the configuration that it replaces; 0 for the first.
    #[serde(deserialize_with = "hexadecimal", default)]
    pub base_version: u32,
    /// All services.
    #[garde(dive)]
    pub services: Vec<Service>,
    /// Limits on what clients send.
    #[serde(default)]
    pub limits: Limits,
    /// All virtual hosts with their routes.
    #[garde(dive)]
    pub virtual_hosts: Vec<VirtualHost>,
}

/// Deserializes a version from a number or a string of hexadecimal digits.
fn hexadecimal<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Version {
        Text(String),
        Number(u32),
    }
    match Version::deserialize(from)? {
        Version::Number(number) => Ok(number),
        Version::Text(text) => u32::from_str_radix(&text, 16).map_err(|_| {
            serde::de::Error::custom(format!("`{text}` is not eight hexadecimal digits"))
        }),
    }
}

/// A service: a set of units that serve the same requests.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Service {
    /// Its name.
    #[garde(length(min = 1))]
    pub name: String,
    /// The request path of its health checks.
    #[serde(default)]
    pub health_path: String,
    /// The most connections to each of its units.
    #[serde(default = "default_max_conns")]
    pub max_conns: u32,
    /// How long a unit warms up after its start (slow start), in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// Requests per second that a unit can serve while it warms up.
    #[serde(default)]
    pub warmup_rate_s: f64,
    /// How many endpoints in each region usually serve a key. 0: keys are ignored.
    #[serde(default)]
    #[garde(range(max = 64))]
    pub usual_places: usize,
    /// How long a write that one unit has acknowledged takes at most to reach all units, in milliseconds.
    #[serde(default)]
    #[garde(range(max = 600_000))]
    pub fresh_ms: u64,
    /// When its endpoints are ejected as outliers. `None`: each proxy decides by the failures that it observes itself.
    #[garde(dive)]
    pub unfit: Option<OutlierRules>,
}

/// When endpoints of a service are ejected: the values of a preset, each of which may be overridden.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(from = "OutlierRulesFields")]
#[garde(allow_unvalidated)]
pub struct OutlierRules {
    /// Responses that take longer than this multiple of the route's latency target count as bad. 0: latency does not
    /// count.
    #[garde(range(min = 0.0, max = 100.0))]
    pub late_times: f64,
    /// The share of bad responses that is expected of an unhealthy endpoint.
    #[garde(range(min = 0.02, max = 0.9))]
    pub error_share: f64,
    /// How many regions must find the endpoint unhealthy; all regions with observations, if there are fewer.
    #[garde(range(min = 1, max = 16))]
    pub regions: usize,
    /// The largest share of the service's endpoints that may be ejected at a time.
    #[garde(range(min = 0.0, max = 0.9))]
    pub most_aside: f64,
}

/// Outlier rules as they are written in a configuration.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct OutlierRulesFields {
    #[serde(default)]
    preset: OutlierPreset,
    late_times: Option<f64>,
    error_share: Option<f64>,
    regions: Option<usize>,
    most_aside: Option<f64>,
}

/// Default outlier rules for a kind of service.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutlierPreset {
    /// Late responses count as bad.
    #[default]
    Lookup,
    /// Only missing and wrong responses count as bad. A slow unit just gets fewer requests.
    Record,
    /// The same rules as [`OutlierPreset::Record`].
    Download,
}

impl From<OutlierPreset> for OutlierRules {
    fn from(preset: OutlierPreset) -> OutlierRules {
        let late_times = if matches!(preset, OutlierPreset::Lookup) {
            2.0
        } else {
            0.0
        };
        OutlierRules {
            late_times,
            error_share: 0.25,
            regions: 2,
            most_aside: 0.3,
        }
    }
}

impl From<OutlierRulesFields> for OutlierRules {
    fn from(fields: OutlierRulesFields) -> OutlierRules {
        let preset = OutlierRules::from(fields.preset);
        OutlierRules {
            late_times: fields.late_times.unwrap_or(preset.late_times),
            error_share: fields.error_share.unwrap_or(preset.error_share),
            regions: fields.regions.unwrap_or(preset.regions),
            most_aside: fields.most_aside.unwrap_or(preset.most_aside),
        }
    }
}

fn default_max_conns() -> u32 {
    64
}

/// Limits on the size of clients' requests and on how long clients may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// How long a head may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16384,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        }
    }
}

/// A virtual host with its routes.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct VirtualHost {
    /// The host name in requests, without a port.
    #[garde(length(min = 1))]
    pub hostname: String,
    /// Its routes. The route with the longest matching prefix applies.
    #[garde(dive)]
    pub path_rules: Vec<Route>,
}

/// Whether the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// They may be executed more than once.
    Idempotent,
    /// They must not be executed more than once.
    NonIdempotent,
    /// They may be executed more than once, and their responses are large.
    Download,
}

/// A route: the service for requests below a path, and how they are forwarded.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The prefix of its paths, which begins with a slash.
    #[garde(prefix("/"))]
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub route_type: RouteType,
    /// The deadline of a request, in milliseconds.
    #[garde(range(min = 1))]
    pub timeout_ms: u64,
    /// The latency target, in milliseconds; 0 for none.
    #[serde(default)]
    pub target_ms: u64,
    /// Its priority: 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// The service, unless requests are split between several.
    pub service: Option<String>,
    /// The services between which requests are split, each with its weight.
    #[serde(default)]
    pub split: Vec<SplitPart>,
    /// The most units that a request may be sent to.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// The regions that may serve the route; empty for all.
    #[serde(default)]
    pub home_regions: Vec<String>,
    /// The part of a request that is its key. `None`: the path below the prefix.
    #[garde(dive)]
    pub key: Option<KeySource>,
}

/// The part of a request that is its key: either a path segment or a header.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct KeySource {
    /// A segment of the path below the prefix, counted from 1.
    #[garde(inner(range(min = 1, max = 32)))]
    pub segment: Option<usize>,
    /// The name of the header whose value is the key.
    #[garde(inner(length(min = 1)))]
    pub header: Option<String>,
}

fn default_retries() -> u32 {
    1
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Deserialize)]
pub struct SplitPart {
    /// The service.
    pub service: String,
    /// Its weight. Its share is the weight divided by the sum of all weights.
    pub weight: u32,
}

fn invalid(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::Invalid, detail)
}

impl Config {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`], which names the invalid route or field, or the position in the JSON.
    pub fn read(body: &[u8]) -> Result<Config, Error> {
        let config: Config = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
        let services: HashSet<&str> = config
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        for route in config
            .virtual_hosts
            .iter()
            .flat_map(|host| &host.path_rules)
        {
            let checked = route.check(&services);
            checked.map_err(|error| invalid(format!("route `{}`: {error}", route.name)))?;
        }
        config
            .validate()
            .map_err(|report| invalid(report.to_string()))?;
        if config.version <= config.base_version {
            return Err(invalid(format!(
                "version {:08x} is not above its base",
                config.version
            )));
        }
        Ok(config)
    }
}

impl Route {
    /// Validates the route against the names of all services. The error says what is wrong.
    fn check(&self, services: &HashSet<&str>) -> Result<(), String> {
        if self.timeout_ms == 0 {
            return Err("timeoutMs is 0".into());
        }
        if !self.path_prefix.starts_with('/') {
            let prefix = &self.path_prefix;
            return Err(format!("pathPrefix `{prefix}` does not start with a slash"));
        }
        let total_weight: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        if self.service.is_none() && total_weight == 0 {
            return Err("names no service, and the weights of its split sum to 0".into());
        }
        if self
            .key
            .as_ref()
            .is_some_and(|key| key.segment.is_some() == key.header.is_some())
        {
            return Err("key names neither or both of segment and header".into());
        }
        let parts = self.split.iter().map(|part| part.service.as_str());
        let mut named = self.service.as_deref().into_iter().chain(parts);
        match named.find(|name| !services.contains(name)) {
            Some(name) => Err(format!("service `{name}` is not known")),
            None => Ok(()),
        }
    }
}
