//! Discovery: how its list is written, and the client that asks for it. The list's actor decides when.

use crate::wire::budget::{CONTROL_CONNECT, LIST_MAX, WATCH_SLACK, WATCH_WAIT};
use crate::wire::keep::Keep;
use crate::wire::link::{collect, Connector, HttpClient, Room};
use crate::wire::sparse::whole;
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
struct ListForm {
    index: u64,
    snapshot: bool,
    endpoints: Vec<EntryForm>,
}

#[derive(Deserialize)]
struct EntryForm {
    name: SmolStr,
    address: SocketAddr,
    #[serde(default)]
    zone: SmolStr,
    #[serde(default, rename = "type")]
    kind: SmolStr,
    #[serde(default)]
    group: u64,
    status: SmolStr,
    #[serde(default = "full_size")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
    revision_no: u16,
}

fn full_size() -> f64 {
    1.0
}

/// The places of zones and kinds of machines among the names of the settings.
pub struct Places {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Places {
    pub fn new(names: &NamedSettings) -> Places {
        Places {
            zones: names.zones.clone(),
            kinds: names.kinds.clone(),
        }
    }

    pub fn decode(&self, text: &[u8]) -> Result<UnitList, String> {
        let form: ListForm = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let entries = form.endpoints.into_iter().map(|entry| self.entry(entry));
        Ok(UnitList {
            index: form.index,
            is_snapshot: form.snapshot,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    fn entry(&self, form: EntryForm) -> Result<UnitEntry, String> {
        let among = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let health = match form.status.as_str() {
            "active" => Health::Ready,
            "leaving" => Health::Draining,
            "left" => Health::Gone,
            other => return Err(format!("status of {}: unknown '{other}'", form.name)),
        };
        if form.name.is_empty() || !form.weight.is_finite() {
            return Err(format!("entry '{}': name or weight is void", form.name));
        }
        let started = (form.since_ms > 0).then(|| Duration::from_millis(form.since_ms));
        let listing = UnitEndpoint {
            address: form.address,
            started,
            draining: health != Health::Ready,
        };
        Ok(UnitEntry {
            unit: UnitId(form.name),
            endpoint: listing,
            build: BuildId(form.revision_no),
            zone: among(&self.zones, &form.zone).map(ZoneId),
            machine_type: MachineTypeId(among(&self.kinds, &form.kind).unwrap_or(0)),
            cell: CellId(form.group),
            health,
            capacity: form.weight,
        })
    }
}

pub struct Discovery {
    address: SocketAddr,
    places: Places,
    client: HttpClient,
}

impl Discovery {
    pub fn new(address: SocketAddr, places: Places) -> Discovery {
        Discovery {
            address,
            places,
            client: Discovery::client(address),
        }
    }

    fn client(address: SocketAddr) -> HttpClient {
        // Two: the watch's own, and its successor where it fell silent.
        let room = Room::new(2);
        let keep = WATCH_WAIT + WATCH_SLACK;
        Connector {
            to: address,
            time_out: CONTROL_CONNECT,
            room,
            keep: Keep::new(keep),
        }
        .client(keep)
    }

    /// Gives up the connection that is kept: what it carries can't be relied on.
    pub fn reconnect(&mut self) {
        self.client = Discovery::client(self.address);
    }

    pub fn moved(&mut self, to: SocketAddr) {
        self.address = to;
        self.reconnect();
    }

    /// What is newer than a version, as soon as there is anything; the whole list where none is held.
    pub async fn ask(&self, after: Option<u64>) -> Result<UnitList, String> {
        let wait = if after.is_some() {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let answer = tokio::time::timeout(wait + WATCH_SLACK, self.call(after)).await;
        let body = answer.map_err(|_| "silent".to_owned())??;
        self.places.decode(&body)
    }

    async fn call(&self, after: Option<u64>) -> Result<Bytes, String> {
        let watch = after.map(|index| format!("?index={index}&wait={}", WATCH_WAIT.as_millis()));
        let uri = format!(
            "http://{}/v1/servers{}",
            self.address,
            watch.unwrap_or_default()
        );
        let request = Request::get(uri)
            .body(Full::default())
            .map_err(|error| error.to_string())?;
        let answer = self
            .client
            .request(request)
            .await
            .map_err(|error| whole(&error))?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status()));
        }
        collect(answer.into_body(), LIST_MAX).await
    }
}
