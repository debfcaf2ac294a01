//! Pool of persistent connections to units, used by [`crate::attempt`].
//!
//! A connection is returned to the pool only after a complete response with nothing unread behind it. It is reused only
//! well within the keep-alive timeout of the unit, so that the unit does not close it while a request is on its way.

use beechcroft_safeguards::Safeguard;
use beechcroft_transport::connection::Connection;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long an idle connection may be reused if the unit advertises no keep-alive timeout, in milliseconds.
const DEFAULT_REUSE_MS: u64 = 4000;
/// Share of the unit's advertised keep-alive timeout for which an idle connection may be reused.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// An idle connection and the period for which it may be reused, in milliseconds.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: u64,
    reuse_ms: u64,
}

/// The open connections to one unit.
#[derive(Debug, Default)]
struct UnitConnections {
    idle: Vec<IdleConnection>,
    /// Number of open connections, both in use and idle. Invariant: not below the number of idle ones.
    open: usize,
}

/// The open connections to all units, by unit id.
#[derive(Debug, Default)]
pub struct ConnectionPool(BTreeMap<Rc<str>, UnitConnections>);

impl ConnectionPool {
    /// Takes an idle connection that may be reused, and closes those that may not. With `is_exclusive` (the request must
    /// not be executed twice) only connections in the first half of their reuse period qualify.
    pub fn checkout(&mut self, now: u64, unit: &str, is_exclusive: bool) -> Option<Connection> {
        let connections = self.0.get_mut(unit)?;
        while let Some(idle) = connections.idle.pop() {
            let IdleConnection {
                connection,
                idle_since,
                reuse_ms,
            } = idle;
            let limit_ms = if is_exclusive { reuse_ms / 2 } else { reuse_ms };
            let is_recent = now.saturating_sub(idle_since) < limit_ms;
            if is_recent && (connection.is_reusable() || !Safeguard::CleanConnections.is_enabled())
            {
                return Some(connection);
            }
            connections.open -= 1;
        }
        None
    }

    /// Reserves one more connection if fewer than `limit` are open; at least one is always allowed. Returns whether it was
    /// reserved.
    pub fn try_open(&mut self, unit: &Rc<str>, limit: usize) -> bool {
        let connections = self.0.entry(unit.clone()).or_default();
        let is_allowed = connections.open < limit.max(1);
        connections.open += usize::from(is_allowed);
        is_allowed
    }

    /// Closes the idle connections to a unit. Called after a connection to it failed, since the others may be broken too.
    pub fn close_idle(&mut self, unit: &str) {
        if let Some(connections) = self.0.get_mut(unit) {
            connections.open = connections.open.saturating_sub(connections.idle.len());
            connections.idle.clear();
        }
    }

    /// Records that a connection in use was closed instead of being returned to the pool.
    pub fn on_closed(&mut self, unit: &str) {
        if let Some(connections) = self.0.get_mut(unit) {
            connections.open = connections.open.saturating_sub(1);
        }
    }

    /// Returns a reusable connection to the pool. `keep_alive_s` is the timeout that the unit advertised, in seconds.
    pub fn put(
        &mut self,
        now: u64,
        unit: &str,
        mut connection: Connection,
        keep_alive_s: Option<u64>,
    ) {
        let Some(connections) = self.0.get_mut(unit) else {
            return;
        };
        connection.release_buffer();
        let advertised_ms = keep_alive_s.map(|s| (s as f64 * 1000.0 * KEEP_ALIVE_SHARE) as u64);
        let reuse_ms = advertised_ms.unwrap_or(DEFAULT_REUSE_MS);
        connections.idle.push(IdleConnection {
            connection,
            idle_since: now,
            reuse_ms,
        });
    }

    /// Closes connections that have been idle for too long, and idle ones to units that no longer receive requests.
    pub fn close_expired(&mut self, now: u64, mut is_in_use: impl FnMut(&str) -> bool) {
        self.0.retain(|unit, connections| {
            let is_in_use = is_in_use(unit);
            let before = connections.idle.len();
            connections
                .idle
                .retain(|idle| is_in_use && now.saturating_sub(idle.idle_since) < idle.reuse_ms);
            connections.open -= before - connections.idle.len();
            connections.open > 0
        });
    }
}
