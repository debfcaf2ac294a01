//! A configuration, as the operator sends it, and the checks it has to pass.

use beechcroft_error::{Error, ErrorKind};
use garde::Validate;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Config {
    #[serde(deserialize_with = "hex")]
    #[garde(range(min = 1))]
    pub version: u32,
    #[serde(deserialize_with = "hex", default)]
    pub base_version: u32,
    #[garde(dive)]
    pub services: Vec<Service>,
    #[serde(default)]
    pub limits: Limits,
    #[garde(dive)]
    pub virtual_hosts: Vec<Host>,
}

fn hex<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(u32),
    }
    match Either::deserialize(from)? {
        Either::Number(number) => Ok(number),
        Either::Text(text) => u32::from_str_radix(&text, 16).map_err(|_| {
            serde::de::Error::custom(format!("`{text}` is not eight hexadecimal digits"))
        }),
    }
}

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Service {
    #[garde(length(min = 1))]
    pub name: String,
    #[serde(default)]
    pub health_path: String,
    #[serde(default = "conns")]
    pub max_conns: u32,
    #[serde(default)]
    pub warmup_s: f64,
    #[serde(default)]
    pub warmup_rate_s: f64,
    /// Units that a key is usually answered by in each region; 0: keys are not looked at.
    #[serde(default)]
    #[garde(range(max = 64))]
    pub usual_places: usize,
    /// Within so long all units hold what one of them has acknowledged.
    #[serde(default)]
    #[garde(range(max = 600_000))]
    pub fresh_ms: u64,
    /// What unfit means for its units; none: each relay goes by its own failures alone.
    #[garde(dive)]
    pub unfit: Option<Unfit>,
}

/// What a service calls unfit. A preset, or figures beside one.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(from = "UnfitSaid")]
#[garde(allow_unvalidated)]
pub struct Unfit {
    /// Answers later than so many times the route's aim count as bad; 0: late is only late.
    #[garde(range(min = 0.0, max = 100.0))]
    pub late_times: f64,
    /// Share of bad answers of an unfit unit.
    #[garde(range(min = 0.02, max = 0.9))]
    pub error_share: f64,
    /// Regions that must see it, of those that see anything.
    #[garde(range(min = 1, max = 16))]
    pub regions: usize,
    /// Share of the service that is set aside at most.
    #[garde(range(min = 0.0, max = 0.9))]
    pub most_aside: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct UnfitSaid {
    #[serde(default)]
    preset: Preset,
    late_times: Option<f64>,
    error_share: Option<f64>,
    regions: Option<usize>,
    most_aside: Option<f64>,
}

/// How services usually read it.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// A late answer is a bad one.
    #[default]
    Lookup,
    /// Only no answer, or a wrong one, is bad: slow is slow, and gets less.
    Record,
    Download,
}

impl From<Preset> for Unfit {
    fn from(preset: Preset) -> Unfit {
        let late_times = if matches!(preset, Preset::Lookup) {
            2.0
        } else {
            0.0
        };
        Unfit {
            late_times,
            error_share: 0.25,
            regions: 2,
            most_aside: 0.3,
        }
    }
}

impl From<UnfitSaid> for Unfit {
    fn from(said: UnfitSaid) -> Unfit {
        let usual = Unfit::from(said.preset);
        Unfit {
            late_times: said.late_times.unwrap_or(usual.late_times),
            error_share: said.error_share.unwrap_or(usual.error_share),
            regions: said.regions.unwrap_or(usual.regions),
            most_aside: said.most_aside.unwrap_or(usual.most_aside),
        }
    }
}

fn conns() -> u32 {
    64
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: u64,
    pub header_timeout_ms: u64,
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

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Host {
    #[garde(length(min = 1))]
    pub hostname: String,
    #[garde(dive)]
    pub path_rules: Vec<Route>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    Idempotent,
    NonIdempotent,
    Download,
}

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Route {
    pub name: String,
    #[garde(prefix("/"))]
    pub path_prefix: String,
    pub route_type: RouteType,
    #[garde(range(min = 1))]
    pub timeout_ms: u64,
    #[serde(default)]
    pub target_ms: u64,
    #[serde(default)]
    pub priority: u8,
    pub service: Option<String>,
    #[serde(default)]
    pub split: Vec<Part>,
    #[serde(default = "once")]
    pub retries: u32,
    #[serde(default)]
    pub home_regions: Vec<String>,
    /// What a request's key is; the path below the prefix, if this is not there.
    #[garde(dive)]
    pub key: Option<KeyPart>,
}

/// The part of a request that is its key.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct KeyPart {
    /// A segment of the path below the prefix, counted from 1.
    #[garde(inner(range(min = 1, max = 32)))]
    pub segment: Option<usize>,
    /// A header's value.
    #[garde(inner(length(min = 1)))]
    pub header: Option<String>,
}

fn once() -> u32 {
    1
}

#[derive(Clone, Debug, Deserialize)]
pub struct Part {
    pub service: String,
    pub weight: u32,
}

impl Config {
    /// Reads and checks a body; a fault names the route and what is wrong with it.
    pub fn read(body: &[u8]) -> Result<Config, Error> {
        let invalid = |said: String| Error::new(ErrorKind::Invalid, said);
        let config: Config = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
        let names: HashSet<&str> = config.services.iter().map(|s| s.name.as_str()).collect();
        for route in config
            .virtual_hosts
            .iter()
            .flat_map(|host| &host.path_rules)
        {
            let wrong = |said: String| invalid(format!("route `{}`: {said}", route.name));
            if route.timeout_ms == 0 {
                return Err(wrong("timeoutMs is 0".into()));
            }
            if !route.path_prefix.starts_with('/') {
                return Err(wrong(format!(
                    "pathPrefix `{}` does not start with a slash",
                    route.path_prefix
                )));
            }
            if route.service.is_none()
                && route.split.iter().map(|p| u64::from(p.weight)).sum::<u64>() == 0
            {
                return Err(wrong(
                    "names no service, and the weights of its split sum to 0".into(),
                ));
            }
            if route
                .key
                .as_ref()
                .is_some_and(|key| key.segment.is_some() == key.header.is_some())
            {
                return Err(wrong(
                    "key names neither or both of segment and header".into(),
                ));
            }
            let parts = route.split.iter().map(|part| part.service.as_str());
            if let Some(name) = route
                .service
                .as_deref()
                .into_iter()
                .chain(parts)
                .find(|n| !names.contains(n))
            {
                return Err(wrong(format!("service `{name}` is not known")));
            }
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
