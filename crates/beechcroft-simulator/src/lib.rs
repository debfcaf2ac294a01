//! The system's own deterministic world: one seed, the same run to the byte. Decisions are the packages that the
//! programs run; what is simulated is what they stand on: time, links, units, clients.

pub mod agenda;
pub mod crowd;
pub mod sight;
pub mod units;
pub mod whole;
