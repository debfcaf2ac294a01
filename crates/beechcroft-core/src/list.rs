//! The list of units, as it comes from discovery.

use beechcroft::{BuildId, CellId, Health, MachineTypeId, UnitId, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;

/// A version of the list: all of it, or what has changed since the version before.
#[derive(Debug)]
pub struct UnitList {
    /// Version of the list.
    pub index: u64,
    /// Whether the entries are the whole list.
    pub is_snapshot: bool,
    /// The units listed or changed.
    pub entries: Vec<UnitEntry>,
}

/// A unit in the list.
#[derive(Debug)]
pub struct UnitEntry {
    /// Its id.
    pub unit: UnitId,
    /// What its connections depend on.
    pub endpoint: UnitEndpoint,
    /// The build it runs.
    pub build: BuildId,
    /// Its zone, if it is one of those of the settings.
    pub zone: Option<ZoneId>,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes new tasks.
    pub health: Health,
    /// Capacity when warm, relative to a unit of size 1.
    pub capacity: f64,
}

/// The part of a unit's entry that its connections depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitEndpoint {
    /// Address that tasks are sent to.
    pub address: SocketAddr,
    /// Start of its process in Unix time, if listed.
    pub started: Option<Duration>,
    /// Whether it takes no new tasks.
    pub draining: bool,
}
