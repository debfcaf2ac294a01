//! Transport: listeners, connections and calls between processes, on real sockets or in the simulator.
//!
//! - Calls of units, operators and clients of the directory, and calls between nodes, go through async-h1 with checks
//!   around it: [`server`] and [`rpc`]. [`calls`] is the one table of calls.
//! - Requests that are forwarded go through [`connection`]: heads are parsed by httparse (the parser under async-h1) and
//!   judged by [`http_validation`], and bodies are counted against what their heads say.
//! - Gossip goes through [`datagram`].
//! - [`runtime`] is what all of these stand on: this machine's sockets and clocks, or the simulator's.
//! - [`lifecycle`] is what both programs do with signals, settings files and the queues of their state owners.
//!
//! `docs/design/transport.md` has the table of what async-h1 does with each hazard.

#![warn(missing_docs)]

pub mod calls;
pub mod connection;
pub mod datagram;
mod http_stream;
pub mod http_validation;
pub mod lifecycle;
pub mod rpc;
pub mod runtime;
pub mod server;

pub use http_stream::HttpStream;
pub use runtime::{Runtime, Stream};
