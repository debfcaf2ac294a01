//! The settings file of a process. Times are in the unit that a key's name ends with.

use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The variable that names the file.
pub const VARIABLE: &str = "BEECHCROFT_SETTINGS";

#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
#[garde(allow_unvalidated)]
pub struct Settings {
    #[garde(length(min = 1))]
    pub node_name: String,
    #[serde(default)]
    pub serves: Vec<String>,
    pub ip: Ipv4Addr,
    #[garde(length(min = 1))]
    pub zone: String,
    #[garde(length(min = 1))]
    pub region: String,
    #[garde(custom(ports_span))]
    pub internal_ports: [u16; 2],
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub quorum_member: bool,
    pub data_dir: Option<PathBuf>,
    #[serde(default = "beat")]
    #[garde(range(min = 1))]
    pub heartbeat_ms: u64,
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    #[garde(dive)]
    pub listen: Listen,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    #[serde(default)]
    #[garde(dive)]
    pub bounds: Bounds,
}

fn beat() -> u64 {
    1500
}

fn ports_span(ports: &[u16; 2], _: &()) -> garde::Result {
    if ports[1] <= ports[0] {
        return Err(garde::Error::new(
            "needs two ports or more: the first below the second",
        ));
    }
    Ok(())
}

#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct Listen {
    pub ingress: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
    pub directory: Option<SocketAddrV4>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub memory_mb: u64,
    pub max_fds: u64,
    /// The machine's own link; 0 where it is not stated.
    pub link_mbps: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    pub node_losses: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { node_losses: 1 }
    }
}

/// Figures of the rules. The defaults stand where the file lacks one.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase", default)]
#[garde(allow_unvalidated)]
pub struct Bounds {
    pub ack_ms: u64,
    /// A machine counts as lost for so long after it is back, and its successor after its start.
    #[garde(range(min = 0.0))]
    pub sync_s: f64,
    pub drain_ms: u64,
    pub grace_s: f64,
    pub apply_ms: u64,
    #[garde(range(min = 0.0))]
    pub retry_budget: f64,
    pub retry_window_s: f64,
    pub retry_extra: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    pub canary_share: f64,
    pub canary_margin: f64,
    pub rollback_ms: u64,
    pub warmup_excess: f64,
    pub warmup_margin: f64,
    pub evacuate_ms: u64,
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
    /// Reads the text of a settings file; every fault is named by its key.
    pub fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
        settings.validate().map_err(|report| report.to_string())?;
        if settings.quorum_member && settings.data_dir.is_none() {
            return Err("dataDir: a quorumMember needs a folder for its state".into());
        }
        Ok(settings)
    }

    /// The file that [`VARIABLE`] names.
    pub fn load() -> Result<Settings, String> {
        let path = std::env::var(VARIABLE).map_err(|_| format!("{VARIABLE} is not set"))?;
        Self::read(&std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?)
    }

    /// Whether a machine of that region may be used for `homes`.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or("", String::as_str)
    }
}
