//! Reads and checks the configuration and sets its defaults. An error is one line that names the key.

use crate::wire::discovery::ListDecoder;
use crate::wire::limits::MIN_SOCKETS;
use crate::wire::peers::PeerAddresses;
use crate::wire::platform;
use beechcroft_core::list::UnitList;
use beechcroft_core::RolloutState;
use beechcroft_settings::NamedSettings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::warn;

/// Number of descriptors if the configuration states no limit.
const DEFAULT_SOCKETS: u64 = 1024;

/// The configuration of one relay.
pub struct Config {
    /// Name of this relay in its log.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random choices.
    pub seed: u64,
    /// Limit on open descriptors.
    pub sockets: usize,
    /// Addresses of the relays, if they exchange messages.
    pub peers: Option<PeerAddresses>,
    /// Address of the platform, if there is one.
    pub rollouts: Option<SocketAddr>,
    /// State of the newest build at the start, if known.
    pub rollout: Option<RolloutState>,
    /// List of units at the start, if known.
    pub initial_list: Option<UnitList>,
    /// The settings, with the names of tracks, zones, machine types and tenants.
    pub names: NamedSettings,
}

/// Whether the environment or the file takes precedence where they disagree.
#[derive(Clone, Copy, PartialEq)]
pub enum Precedence {
    /// The environment, at the start, as it is what the operators see then. A disagreement is logged.
    Environment,
    /// The file, on a reload: the environment of a running process cannot change.
    File,
}

/// Reads the file given on the command line, or else the one that `PROXY_CONFIG` names.
pub fn read(
    file: Option<&Path>,
    variable: impl Fn(&str) -> Option<String>,
    precedence: Precedence,
) -> Result<Config, String> {
    let (source, path) = match file {
        Some(file) => ("--config", file.to_owned()),
        None => {
            let unset = "PROXY_CONFIG: not set, and no --config FILE given";
            (
                "PROXY_CONFIG",
                PathBuf::from(variable("PROXY_CONFIG").ok_or(unset)?),
            )
        }
    };
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|error| format!("{source}: {}: {error}", path.display()))?;
    decode(&text, variable, precedence)
}

/// Decodes and checks the text of the configuration; `variable` looks up an environment variable.
pub fn decode(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
    precedence: Precedence,
) -> Result<Config, String> {
    let all: Value =
        serde_json::from_str(text).map_err(|error| format!("PROXY_CONFIG: no JSON: {error}"))?;
    let lookup = |key: &str, name: &str| {
        let (file, variable) = (text_at(&all, key)?, variable(name));
        if precedence == Precedence::File {
            return Ok(file.or(variable));
        }
        if let (Some(file), Some(variable)) = (&file, &variable) {
            if file != variable {
                warn!(
                    "{name} is '{variable}', '{key}' of the file is '{file}': the variable holds"
                );
            }
        }
        Ok::<_, String>(variable.or(file))
    };
    let required = |key: &str, name: &str| lookup(key, name)?.ok_or_else(|| malformed(key));
    let listen = address(&required("listen", "PROXY_LISTEN")?, "listen")?;
    let discovery = address(&required("discovery", "PROXY_DISCOVERY")?, "discovery")?;
    let settings = all.get("settings").filter(|value| value.is_object());
    let settings = settings.ok_or_else(|| malformed("settings"))?;
    let names =
        beechcroft_settings::read_value(settings).map_err(|error| format!("settings{error}"))?;
    let rollout = all
        .pointer("/rollouts/news")
        .filter(|value| !value.is_null())
        .cloned();
    let rollout = rollout.map(platform::decode_rollout_state).transpose();
    let known = all.get("known").filter(|known| !known.is_null());
    let known = known
        .map(|known| ListDecoder::new(&names).decode(known.to_string().as_bytes()))
        .transpose();
    Ok(Config {
        name: lookup("name", "PROXY_NAME")?.unwrap_or_else(|| "relay".to_owned()),
        listen,
        discovery,
        seed: seed(&all)?,
        sockets: sockets(&all)?,
        peers: peers(&all, &names)?,
        rollouts: address_at(&all, "/rollouts/address")?,
        rollout: rollout.map_err(|error| format!("rollouts.news: {error}"))?,
        initial_list: known.map_err(|error| format!("known: {error}"))?,
        names,
    })
}

fn malformed(key: &str) -> String {
    format!("{key}: missing or malformed")
}

fn text_at(all: &Value, key: &str) -> Result<Option<String>, String> {
    match all.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(_) => Err(malformed(key)),
    }
}

fn address(text: &str, key: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{key}: '{text}' is no address"))
}

fn address_at(all: &Value, pointer: &str) -> Result<Option<SocketAddr>, String> {
    let key = pointer.trim_start_matches('/').replace('/', ".");
    match all.pointer(pointer) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => address(text, &key).map(Some),
        Some(_) => Err(malformed(&key)),
    }
}

/// The seed, as hexadecimal digits or as a number.
fn seed(all: &Value) -> Result<u64, String> {
    let seed = match all.get("seed") {
        Some(Value::String(digits)) => u64::from_str_radix(digits, 16).ok(),
        Some(Value::Number(number)) => number.as_u64(),
        _ => None,
    };
    seed.ok_or_else(|| malformed("seed"))
}

fn sockets(all: &Value) -> Result<usize, String> {
    let value = all
        .pointer("/limits/sockets")
        .filter(|value| !value.is_null());
    let sockets = value
        .map_or(Some(DEFAULT_SOCKETS), Value::as_u64)
        .ok_or_else(|| malformed("limits.sockets"))?;
    let sockets = usize::try_from(sockets).unwrap_or(usize::MAX).min(1 << 20);
    if sockets < MIN_SOCKETS {
        return Err(format!(
            "limits.sockets: {sockets} is out of range, {MIN_SOCKETS} are needed"
        ));
    }
    Ok(sockets)
}

/// Addresses of the relays, if they may exchange messages.
fn peers(all: &Value, names: &NamedSettings) -> Result<Option<PeerAddresses>, String> {
    let settings = &names.settings;
    let listen = address_at(all, "/peer_listen")?
        .filter(|_| settings.may_message_peers && settings.relays > 1);
    let Some(listen) = listen else {
        return Ok(None);
    };
    let addresses = all
        .get("peers")
        .and_then(Value::as_array)
        .ok_or_else(|| malformed("peers"))?;
    let peers = addresses
        .iter()
        .map(|peer| address(peer.as_str().unwrap_or_default(), "peers"));
    let peers = peers.collect::<Result<Vec<_>, _>>()?;
    if peers.len() != settings.relays as usize {
        return Err(format!(
            "peers: {} addresses for {} relays",
            peers.len(),
            settings.relays
        ));
    }
    Ok(Some(PeerAddresses {
        listen,
        peers,
        all: address_at(all, "/peers_all")?,
    }))
}
