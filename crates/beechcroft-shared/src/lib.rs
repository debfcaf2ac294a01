//! What relays share by way of a store, without I/O: what is sent to cold units, budgets given up for one another,
//! marks of what may have run, and
//! when the store is not worth waiting for. Nothing here is needed to keep the rules; what the store says can make a relay
//! more careful, and less so only by a budget that another relay gave up before.
//!
//! No program uses this package yet: it is the part of a shared store that stands, kept until the relay uses it
//! (`docs/ROADMAP.md`, "Redis as a shared store").

pub mod breaker;
pub mod escrow;
pub mod marks;
pub mod pressure;

use beechcroft::PeerId;

/// One run of one relay: its number, and a number drawn at its start. What was meant for an earlier run is nobody's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayIncarnation {
    pub relay: PeerId,
    pub incarnation: u64,
}
