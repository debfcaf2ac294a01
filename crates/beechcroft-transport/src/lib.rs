//! Transport: listeners, connections and RPCs between processes, on real sockets or in the simulator.
//!
//! - [`server`] and [`rpc`] serve and make calls: those of units, operators and clients of the directory, and RPCs
//!   between nodes. Both use async-h1 with additional checks. [`calls`] is the table of the HTTP API.
//! - [`connection`] carries forwarded requests. Heads are parsed by httparse (the parser that async-h1 uses) and
//!   validated by [`http_validation`]; bodies are checked against the framing in their heads.
//! - [`datagram`] carries gossip.
//! - [`runtime`] abstracts over this machine's sockets and clocks and the simulator's.
//! - [`lifecycle`] handles signals, settings files and the inputs of the state owners for both programs.
//!
//! `docs/design/transport.md` lists each protocol hazard and what async-h1 does with it.

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
