//! The protocols that a relay speaks, one file for each kind of peer: each decodes a message once into a small typed
//! value, encodes it once, and transports it. Time-outs and sizes of sockets are in `limits`.

/// Clients' requests.
pub mod clients;
/// One client's connection while it is served.
pub mod connection;
/// Clients' connections.
pub mod connection_manager;
/// Outgoing HTTP connections.
pub mod connector;
/// The client of discovery.
pub mod discovery;
/// How long idle connections are kept.
pub mod idle_timeout;
/// Limits of sockets and connections.
pub mod limits;
/// Datagrams between relays.
pub mod peers;
/// The connection to the platform.
pub mod platform;
/// Log lines at a limited rate.
pub mod rate_limited_log;
/// Dispatches to units.
pub mod units;
