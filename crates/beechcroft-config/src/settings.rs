//! The settings file of a process. Times are in the unit that a key's name ends with.

use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The environment variable that names the file.
pub const PATH_VARIABLE: &str = "BEECHCROFT_SETTINGS";

/// The settings of a process. Fields that are not known are skipped.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// The machine's name.
    #[garde(length(min = 1))]
    pub node_name: String,
    /// Who may call the process from outside.
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
    /// The first and the last port that nodes may use among themselves.
    #[garde(custom(check_ports))]
    pub internal_ports: [u16; 2],
    /// Control addresses of a few control nodes.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine may hold a replica.
    #[serde(default)]
    pub quorum_member: bool,
    /// The folder for data; needed by control nodes.
    pub data_dir: Option<PathBuf>,
    /// Between two heartbeats of a unit.
    #[serde(default = "default_heartbeat_ms")]
    #[garde(range(min = 1))]
    pub heartbeat_ms: u64,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the process listens.
    #[garde(dive)]
    pub listen: Listen,
    /// What the machine has.
    #[serde(default)]
    pub limits: Limits,
    /// What may be lost at the same time.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules.
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

/// Where a process listens, for each of what it serves.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Listen {
    /// For requests of clients.
    pub ingress: Option<SocketAddrV4>,
    /// For readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// For units and the operator.
    pub control: Option<SocketAddrV4>,
    /// For clients that ask where to go.
    pub directory: Option<SocketAddrV4>,
}

/// What a machine has.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Memory.
    pub memory_mb: u64,
    /// File descriptors.
    pub max_fds: u64,
    /// The rate of the machine's own link; 0 where it is not stated.
    pub link_mbps: f64,
}

/// What may be lost at the same time with all rules kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Machines that may hold a replica (f).
    pub node_losses: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { node_losses: 1 }
    }
}

/// Figures of the rules. Where the file lacks one, its default holds.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase", default)]
#[garde(allow_unvalidated)]
pub struct Bounds {
    /// For an operation to be acknowledged.
    pub ack_ms: u64,
    /// A machine counts as lost for so long after it is back, and its successor after its start.
    #[garde(range(min = 0.0))]
    pub sync_s: f64,
    /// For which a unit serves on after its drain was acknowledged.
    pub drain_ms: u64,
    /// Between SIGTERM and the end of the process.
    pub grace_s: f64,
    /// For a configuration to be in force everywhere.
    pub apply_ms: u64,
    /// Retries for each request, over all proxies.
    #[garde(range(min = 0.0))]
    pub retry_budget: f64,
    /// The window of that budget.
    pub retry_window_s: f64,
    /// Retries beyond that budget in a window.
    pub retry_extra: f64,
    /// The share of requests that a version on trial may get.
    #[garde(range(min = 0.0, max = 1.0))]
    pub canary_share: f64,
    /// Requests beyond that share.
    pub canary_margin: f64,
    /// For a bad version to be rolled back.
    pub rollback_ms: u64,
    /// How far the rate at a unit that is warming up may exceed what it bears.
    pub warmup_excess: f64,
    /// Requests beyond that.
    pub warmup_margin: f64,
    /// For a zone to be evacuated.
    pub evacuate_ms: u64,
    /// How long an answer of the directory may hold.
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
    /// Parses and checks the text of a settings file. A fault is named by its key.
    pub fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
        settings.validate().map_err(|report| report.to_string())?;
        if settings.quorum_member && settings.data_dir.is_none() {
            return Err("dataDir: a quorumMember needs a folder for its state".into());
        }
        Ok(settings)
    }

    /// Reads the file that [`PATH_VARIABLE`] names.
    pub fn load() -> Result<Settings, String> {
        let path =
            std::env::var(PATH_VARIABLE).map_err(|_| format!("{PATH_VARIABLE} is not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        Self::read(&text)
    }

    /// The region of a zone; empty for a zone that is not known.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or("", String::as_str)
    }
}
