//! The settings file of a process. The suffix of a key's name is its unit: `_ms` for milliseconds, `_s` for seconds.

use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "BEECHCROFT_SETTINGS";

/// The settings of a process. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// The machine's name.
    #[garde(length(min = 1))]
    pub node_name: String,
    /// Which kinds of external callers the process serves.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// The machine's zone.
    #[garde(length(min = 1))]
    pub zone: String,
    /// The machine's region.
    #[garde(length(min = 1))]
    pub region: String,
    /// The first and last port of the range for traffic between nodes.
    #[garde(custom(check_ports))]
    pub internal_ports: [u16; 2],
    /// The control addresses of some control nodes, through which the process joins.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system is started for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine may hold a replica.
    #[serde(default)]
    pub quorum_member: bool,
    /// The folder for data. Required if `quorum_member` is set.
    pub data_dir: Option<PathBuf>,
    /// The interval between two heartbeats of a unit.
    #[serde(default = "default_heartbeat_ms")]
    #[garde(range(min = 1))]
    pub heartbeat_ms: u64,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the process listens.
    #[garde(dive)]
    pub listen: Listen,
    /// The resources of the machine.
    #[serde(default)]
    pub limits: Limits,
    /// The concurrent failures that the system must tolerate.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Time limits and other bounds that the system keeps to.
    #[serde(default)]
    #[garde(dive)]
    pub bounds: Bounds,
}

fn default_heartbeat_ms() -> u64 {
    1500
}

fn check_ports(ports: &[u16; 2], _: &()) -> garde::Result {
    if ports[1] <= ports[0] {
        return Err(garde::Error::new(
            "needs two ports or more: the first below the second",
        ));
    }
    Ok(())
}

/// The listen addresses of a process. One that is not set is not served.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Listen {
    /// For requests of clients, which are forwarded.
    pub ingress: Option<SocketAddrV4>,
    /// For readiness probes.
    pub readiness: Option<SocketAddrV4>,
    /// For calls of units and the operator.
    pub control: Option<SocketAddrV4>,
    /// For clients that resolve the proxies to use.
    pub directory: Option<SocketAddrV4>,
}

/// The resources of a machine.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub max_fds: u64,
    /// The bandwidth of the machine's network link, in Mbit/s; 0 if it is not stated.
    pub link_mbps: f64,
}

/// The concurrent failures under which the system still keeps all its guarantees.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// The number of lost machines among those that may hold a replica (f).
    pub node_losses: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { node_losses: 1 }
    }
}

/// Time limits and other bounds that the system keeps to. Each has a default.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase", default)]
#[garde(allow_unvalidated)]
pub struct Bounds {
    /// The time limit for acknowledging an operation.
    pub ack_ms: u64,
    /// How long a machine still counts as lost after it is back, and its successor after its start.
    #[garde(range(min = 0.0))]
    pub sync_s: f64,
    /// How long a unit continues to serve after its drain was acknowledged.
    pub drain_ms: u64,
    /// The grace period from SIGTERM to the end of the process.
    pub grace_s: f64,
    /// The time limit for applying a configuration on all nodes.
    pub apply_ms: u64,
    /// The retry budget: retries per request, over all proxies.
    #[garde(range(min = 0.0))]
    pub retry_budget: f64,
    /// The time window of the retry budget.
    pub retry_window_s: f64,
    /// Retries allowed in each window in addition to the budget.
    pub retry_extra: f64,
    /// The largest share of requests that a canary version may get.
    #[garde(range(min = 0.0, max = 1.0))]
    pub canary_share: f64,
    /// Requests that a canary version may get in addition to that share.
    pub canary_margin: f64,
    /// The time limit for rolling back a bad version.
    pub rollback_ms: u64,
    /// The largest ratio of a warming-up unit's request rate to the rate that it can serve.
    pub warmup_excess: f64,
    /// Requests that a warming-up unit may get in addition to that rate.
    pub warmup_margin: f64,
    /// The time limit for evacuating a zone.
    pub evacuate_ms: u64,
    /// The longest time to live of a response of the directory.
    #[serde(rename = "ttl_max_s")]
    pub ttl_max_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            ack_ms: 6000,
            sync_s: 4.0,
            drain_ms: 2000,
            grace_s: 6.0,
            apply_ms: 2000,
            retry_budget: 0.2,
            retry_window_s: 10.0,
            retry_extra: 50.0,
            canary_share: 0.1,
            canary_margin: 50.0,
            rollback_ms: 5000,
            warmup_excess: 1.5,
            warmup_margin: 5.0,
            evacuate_ms: 5000,
            ttl_max_s: 5.0,
        }
    }
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// What is wrong, with the key where it is known.
    pub fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
        settings.validate().map_err(|report| report.to_string())?;
        if settings.quorum_member && settings.data_dir.is_none() {
            return Err("dataDir: a quorumMember needs a folder for its state".into());
        }
        Ok(settings)
    }

    /// Reads the settings file whose path is in the environment variable [`PATH_VARIABLE`].
    ///
    /// # Errors
    ///
    /// The variable is not set, or the file cannot be read or is invalid.
    pub fn load() -> Result<Settings, String> {
        let path =
            std::env::var(PATH_VARIABLE).map_err(|_| format!("{PATH_VARIABLE} is not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        Self::read(&text)
    }

    /// The region of a zone; empty for an unknown zone.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or("", String::as_str)
    }
}
