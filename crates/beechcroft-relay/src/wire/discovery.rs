//! The discovery protocol: decodes the list of units, and the client that requests it.
//! [`crate::membership::unit_list`] decides when.

use crate::wire::connector::{collect, ConnectionQuota, Connector, HttpClient};
use crate::wire::idle_timeout::IdleTimeout;
use crate::wire::limits::{CONTROL_CONNECT_TIMEOUT, MAX_LIST_BYTES, WATCH_GRACE, WATCH_TIMEOUT};
use crate::wire::rate_limited_log::error_chain;
use beechcroft::{BuildId, CellId, Health, MachineTypeId, UnitId, ZoneId};
use beechcroft_core::list::{UnitEndpoint, UnitEntry, UnitList};
use beechcroft_settings::NamedSettings;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Deserialize)]
struct WireList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<WireEntry>,
}

#[derive(Deserialize)]
struct WireEntry {
    name: SmolStr,
    address: SocketAddr,
    #[serde(default)]
    zone: SmolStr,
    #[serde(default, rename = "type")]
    kind: SmolStr,
    #[serde(default)]
    group: u64,
    status: SmolStr,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
    revision_no: u16,
}

fn default_weight() -> f64 {
    1.0
}

/// Decodes lists; zones and machine types become indices into the names of the settings.
pub struct ListDecoder {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl ListDecoder {
    /// For the names of these settings.
    pub fn new(names: &NamedSettings) -> ListDecoder {
        ListDecoder {
            zones: names.zones.clone(),
            kinds: names.kinds.clone(),
        }
    }

    /// Decodes a list or its changes.
    pub fn decode(&self, text: &[u8]) -> Result<UnitList, String> {
        let wire: WireList = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let entries = wire.endpoints.into_iter().map(|entry| self.entry(entry));
        Ok(UnitList {
            index: wire.index,
            is_snapshot: wire.snapshot,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    fn entry(&self, wire: WireEntry) -> Result<UnitEntry, String> {
        let index_of =
            |names: &[String], name: &str| names.iter().position(|candidate| candidate == name);
        let health = match wire.status.as_str() {
            "active" => Health::Ready,
            "leaving" => Health::Draining,
            "left" => Health::Gone,
            other => return Err(format!("status of {}: unknown '{other}'", wire.name)),
        };
        if wire.name.is_empty() || !wire.weight.is_finite() {
            return Err(format!(
                "entry '{}': name is empty or weight is not finite",
                wire.name
            ));
        }
        let started = (wire.since_ms > 0).then(|| Duration::from_millis(wire.since_ms));
        let endpoint = UnitEndpoint {
            address: wire.address,
            started,
            draining: health != Health::Ready,
        };
        Ok(UnitEntry {
            unit: UnitId(wire.name),
            endpoint,
            build: BuildId(wire.revision_no),
            zone: index_of(&self.zones, &wire.zone).map(ZoneId),
            machine_type: MachineTypeId(index_of(&self.kinds, &wire.kind).unwrap_or(0)),
            cell: CellId(wire.group),
            health,
            capacity: wire.weight,
        })
    }
}

/// The client of discovery.
pub struct Discovery {
    address: SocketAddr,
    decoder: ListDecoder,
    client: HttpClient,
}

impl Discovery {
    /// Connects at the first request.
    pub fn new(address: SocketAddr, decoder: ListDecoder) -> Discovery {
        Discovery {
            address,
            decoder,
            client: Discovery::client(address),
        }
    }

    fn client(address: SocketAddr) -> HttpClient {
        // Two: the connection of the watch, and its successor if that one fell silent.
        let quota = ConnectionQuota::new(2);
        let idle_timeout = WATCH_TIMEOUT + WATCH_GRACE;
        Connector {
            to: address,
            connect_timeout: CONTROL_CONNECT_TIMEOUT,
            quota,
            idle_timeout: IdleTimeout::new(idle_timeout),
        }
        .client(idle_timeout)
    }

    /// Drops the kept connection, as it may be stale or out of step.
    pub fn reconnect(&mut self) {
        self.client = Discovery::client(self.address);
    }

    /// Uses another address from now on.
    pub fn change_address(&mut self, to: SocketAddr) {
        self.address = to;
        self.reconnect();
    }

    /// Waits for the changes after a version; returns the full list at once if no version is given.
    pub async fn watch(&self, after: Option<u64>) -> Result<UnitList, String> {
        let wait = if after.is_some() {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        };
        let response = tokio::time::timeout(wait + WATCH_GRACE, self.fetch(after)).await;
        let body = response.map_err(|_| "silent".to_owned())??;
        self.decoder.decode(&body)
    }

    async fn fetch(&self, after: Option<u64>) -> Result<Bytes, String> {
        let query = after.map(|index| format!("?index={index}&wait={}", WATCH_TIMEOUT.as_millis()));
        let uri = format!(
            "http://{}/v1/servers{}",
            self.address,
            query.unwrap_or_default()
        );
        let request = Request::get(uri)
            .body(Full::default())
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| error_chain(&error))?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        collect(response.into_body(), MAX_LIST_BYTES).await
    }
}
