//! A deterministic simulator of the system: one seed, the same run to the byte.
//!
//! [`cluster`] runs both programs on simulated machines under a checker of the rules. The studies run single decision
//! packages in many copies. What is simulated is what these stand on: time, network, disks, units and clients.

#![warn(missing_docs)]

pub mod cluster;
pub mod event_queue;
pub mod hot_key_study;
pub mod outlier_study;
pub mod queueing_unit;
