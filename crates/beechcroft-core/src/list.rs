//! The list of units, as whoever follows it hands it over.

use beechcroft::{BuildId, CellId, Health, KindId, UnitId, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;

/// The whole list, or what changed.
#[derive(Debug)]
pub struct List {
    pub index: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
pub struct Entry {
    pub unit: UnitId,
    pub listing: Listing,
    pub build: BuildId,
    pub zone: Option<ZoneId>,
    pub kind: KindId,
    pub cell: CellId,
    pub health: Health,
    pub nominal: f64,
}

/// What the list says of a unit, as far as its connections go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    pub address: SocketAddr,
    pub started: Option<Duration>,
    pub leaving: bool,
}
