//! The data plane: the program that edge machines run.
//!
//! A proxy forwards clients' requests to units and detects bad versions during rollouts. [`run::run`] assembles it from
//! these parts:
//!
//! - [`client`] serves a client connection;
//! - [`forward`] retries and hedges one request, [`attempt`] makes a single attempt, and the module `tracked_attempt`
//!   records its outcome;
//! - [`pool`] holds persistent connections to units;
//! - [`state_owner`] owns the state that other nodes send, behind one queue of commands, and publishes what requests need
//!   in [`shared`];
//! - [`startup`] decides when a starting proxy may serve, [`drain`] what one that shuts down still takes.

#![warn(missing_docs)]

pub mod attempt;
pub mod client;
pub mod drain;
pub mod forward;
pub mod pool;
pub mod run;
pub mod shared;
pub mod startup;
pub mod state_owner;
mod tracked_attempt;
