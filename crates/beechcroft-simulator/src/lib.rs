//! Deterministic simulation of the system: the same seed gives the same run, byte for byte.
//!
//! [`cluster`] runs both programs on simulated machines, and a checker verifies the rules. The studies run many instances
//! of single decision crates. Time, the network, disks, units and clients are simulated.

#![warn(missing_docs)]

pub mod cluster;
pub mod event_queue;
pub mod hot_key_study;
pub mod outlier_study;
pub mod queueing_unit;
