//! The list of units, as whoever follows it hands it over.

use beechcroft::{BuildId, CellId, Health, MachineTypeId, UnitId, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;

/// The whole list, or what changed.
#[derive(Debug)]
pub struct UnitList {
    pub index: u64,
    pub is_snapshot: bool,
    pub entries: Vec<UnitEntry>,
}

#[derive(Debug)]
pub struct UnitEntry {
    pub unit: UnitId,
    pub endpoint: UnitEndpoint,
    pub build: BuildId,
    pub zone: Option<ZoneId>,
    pub machine_type: MachineTypeId,
    pub cell: CellId,
    pub health: Health,
    pub capacity: f64,
}

/// What the list says of a unit, as far as its connections go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitEndpoint {
    pub address: SocketAddr,
    pub started: Option<Duration>,
    pub draining: bool,
}
