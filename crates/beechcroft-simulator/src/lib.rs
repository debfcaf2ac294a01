//! The system's own deterministic world: one seed, the same run to the byte. Decisions are the packages that the
//! programs run; what is simulated is what they stand on: time, links, units, clients.

pub mod cluster;
pub mod event_queue;
pub mod hot_key_study;
pub mod outlier_study;
pub mod queueing_unit;
