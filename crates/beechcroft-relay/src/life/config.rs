//! The one place where configuration is read, checked and given defaults. An error is one line that names the key.

use crate::wire::budget::SOCKETS_MIN;
use crate::wire::discovery::Places;
use crate::wire::peers::Addresses;
use crate::wire::platform;
use beechcroft_core::list::UnitList;
use beechcroft_core::RolloutState;
use beechcroft_settings::NamedSettings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::warn;

/// Descriptors where the configuration states no limit.
const SOCKETS: u64 = 1024;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub peers: Option<Addresses>,
    pub rollouts: Option<SocketAddr>,
    pub news: Option<RolloutState>,
    pub known: Option<UnitList>,
    pub names: NamedSettings,
}

/// Which of the two holds where the environment and the file disagree.
#[derive(Clone, Copy, PartialEq)]
pub enum Holds {
    /// At the start: it is what the operators see then. A disagreement is logged.
    Environment,
    /// Once the file was replaced: the environment of a program that runs cannot follow.
    File,
}

/// Reads the file of the command line, or else the one that `PROXY_CONFIG` names.
pub fn read(
    file: Option<&Path>,
    variable: impl Fn(&str) -> Option<String>,
    holds: Holds,
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
    decode(&text, variable, holds)
}

pub fn decode(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
    holds: Holds,
) -> Result<Config, String> {
    let all: Value =
        serde_json::from_str(text).map_err(|error| format!("PROXY_CONFIG: no JSON: {error}"))?;
    let stated = |key: &str, name: &str| {
        let (file, variable) = (text_at(&all, key)?, variable(name));
        if holds == Holds::File {
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
    let needed = |key: &str, name: &str| stated(key, name)?.ok_or_else(|| malformed(key));
    let listen = address(&needed("listen", "PROXY_LISTEN")?, "listen")?;
    let discovery = address(&needed("discovery", "PROXY_DISCOVERY")?, "discovery")?;
    let settings = all.get("settings").filter(|value| value.is_object());
    let settings = settings.ok_or_else(|| malformed("settings"))?;
    let names =
        beechcroft_settings::read_value(settings).map_err(|what| format!("settings{what}"))?;
    let news = all
        .pointer("/rollouts/news")
        .filter(|news| !news.is_null())
        .cloned();
    let news = news.map(platform::decode_news).transpose();
    let known = all.get("known").filter(|known| !known.is_null());
    let known = known
        .map(|known| Places::new(&names).decode(known.to_string().as_bytes()))
        .transpose();
    Ok(Config {
        name: stated("name", "PROXY_NAME")?.unwrap_or_else(|| "relay".to_owned()),
        listen,
        discovery,
        seed: seed(&all)?,
        sockets: sockets(&all)?,
        peers: peers(&all, &names)?,
        rollouts: address_at(&all, "/rollouts/address")?,
        news: news.map_err(|error| format!("rollouts.news: {error}"))?,
        known: known.map_err(|error| format!("known: {error}"))?,
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

/// Hexadecimal digits, as the operators write it, or a number.
fn seed(all: &Value) -> Result<u64, String> {
    let seed = match all.get("seed") {
        Some(Value::String(digits)) => u64::from_str_radix(digits, 16).ok(),
        Some(Value::Number(number)) => number.as_u64(),
        _ => None,
    };
    seed.ok_or_else(|| malformed("seed"))
}

fn sockets(all: &Value) -> Result<usize, String> {
    let stated = all
        .pointer("/limits/sockets")
        .filter(|stated| !stated.is_null());
    let sockets = stated
        .map_or(Some(SOCKETS), Value::as_u64)
        .ok_or_else(|| malformed("limits.sockets"))?;
    let sockets = usize::try_from(sockets).unwrap_or(usize::MAX).min(1 << 20);
    if sockets < SOCKETS_MIN {
        return Err(format!(
            "limits.sockets: {sockets} is out of range, {SOCKETS_MIN} are needed"
        ));
    }
    Ok(sockets)
}

/// Where relays are spoken to, if they may be.
fn peers(all: &Value, names: &NamedSettings) -> Result<Option<Addresses>, String> {
    let settings = &names.settings;
    let listen = address_at(all, "/peer_listen")?
        .filter(|_| settings.may_message_peers && settings.relays > 1);
    let Some(listen) = listen else {
        return Ok(None);
    };
    let list = all
        .get("peers")
        .and_then(Value::as_array)
        .ok_or_else(|| malformed("peers"))?;
    let peers = list
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
    Ok(Some(Addresses {
        listen,
        peers,
        all: address_at(all, "/peers_all")?,
    }))
}
