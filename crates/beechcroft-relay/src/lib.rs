//! The relay as a network service around the decisions of the `beechcroft` package: `wire` holds the connections to
//! clients, units, discovery, the platform and the other relays, `membership` follows the list of units, `lifecycle`
//! starts and stops the process. `docs/design.md` describes how the parts fit together.

/// Command line, configuration, logging, phases and signals.
pub mod lifecycle;
/// The list of units, as discovery reports it.
pub mod membership;
/// Protocols and sockets, one module for each kind of peer.
pub mod wire;
