//! The data plane: the program of the edge machines.
//!
//! A proxy forwards clients' requests to units and judges new versions by them. [`run::run`] puts its parts together:
//!
//! - [`client`] serves a client's connection: request after request, each forwarded and answered;
//! - [`forward`] makes the attempts of one request, and [`attempt`] one of them;
//! - [`pool`] keeps connections to units;
//! - [`state_owner`] owns what the proxy is told, behind one queue of commands, and puts what requests use of it into
//!   [`shared`];
//! - [`startup`] says when a proxy that starts may serve.

#![warn(missing_docs)]

pub mod attempt;
pub mod client;
pub mod forward;
pub mod pool;
pub mod run;
pub mod shared;
pub mod startup;
pub mod state_owner;
