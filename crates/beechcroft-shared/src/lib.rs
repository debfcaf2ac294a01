//! State that relays share through a store: the load sent to cold units, transfers of budget between relays, marks of
//! tasks that may have run, and a circuit breaker that decides whether the store is worth waiting for.
//!
//! The package does no I/O. Nothing here is needed to keep a relay's rules: data from the store can make a relay more
//! careful, and less careful only by budget that another relay gave up before.
//!
//! No program uses the whole package yet: it is the finished part of a shared store, kept until the relay uses it
//! (`docs/ROADMAP.md`, "Redis as a shared store").

pub mod breaker;
pub mod cold_load;
pub mod escrow;
pub mod marks;

use beechcroft::PeerId;

/// One incarnation of a relay: its number, and a random number drawn at its start. What was addressed to an earlier
/// incarnation belongs to nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayIncarnation {
    pub relay: PeerId,
    pub incarnation: u64,
}
