//! Kept connections to units. A connection comes back only after a complete response with nothing unread behind it, and
//! is used again only well within the time for which the unit keeps it.

use beechcroft_safeguards::Safeguard;
use beechcroft_transport::connection::Connection;
use std::collections::BTreeMap;
use std::rc::Rc;

/// For how long a connection is used again where the unit does not say how long it keeps one, in milliseconds.
const DEFAULT_KEEP_MS: u64 = 4000;
/// The share of the unit's own time for which a connection is used again.
const KEEP_SHARE: f64 = 0.7;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: u64,
    keep_ms: u64,
}

/// The connections to one unit.
#[derive(Debug, Default)]
struct UnitConnections {
    idle: Vec<IdleConnection>,
    /// Connections that are open, in use or idle. Invariant: at least as many as are idle.
    open: usize,
}

/// The connections to all units.
#[derive(Debug, Default)]
pub struct Pool(BTreeMap<Rc<str>, UnitConnections>);

impl Pool {
    /// An idle connection that is alive. `is_exclusive`: the request must not be executed twice, so only connections in the
    /// first half of their time are used.
    pub fn take(&mut self, now: u64, unit: &str, is_exclusive: bool) -> Option<Connection> {
        let connections = self.0.get_mut(unit)?;
        while let Some(idle) = connections.idle.pop() {
            let IdleConnection {
                connection,
                since,
                keep_ms,
            } = idle;
            let limit_ms = if is_exclusive { keep_ms / 2 } else { keep_ms };
            let is_young = now.saturating_sub(since) < limit_ms;
            if is_young && (connection.is_reusable() || !Safeguard::CleanConnections.is_enabled()) {
                return Some(connection);
            }
            connections.open -= 1;
        }
        None
    }

    /// Whether one more connection may be opened where `limit` are allowed. It counts from now on.
    pub fn try_open(&mut self, unit: &Rc<str>, limit: usize) -> bool {
        let connections = self.0.entry(unit.clone()).or_default();
        let is_allowed = connections.open < limit.max(1);
        connections.open += usize::from(is_allowed);
        is_allowed
    }

    /// A connection to the unit has just broken: its idle ones may be broken as well, and are closed.
    pub fn close_idle(&mut self, unit: &str) {
        if let Some(connections) = self.0.get_mut(unit) {
            connections.open = connections.open.saturating_sub(connections.idle.len());
            connections.idle.clear();
        }
    }

    /// A connection was closed.
    pub fn on_closed(&mut self, unit: &str) {
        if let Some(connections) = self.0.get_mut(unit) {
            connections.open = connections.open.saturating_sub(1);
        }
    }

    /// Keeps a connection that may be used again.
    pub fn keep(
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
        let stated_ms = keep_alive_s.map(|s| (s as f64 * 1000.0 * KEEP_SHARE) as u64);
        let keep_ms = stated_ms.unwrap_or(DEFAULT_KEEP_MS);
        connections.idle.push(IdleConnection {
            connection,
            since: now,
            keep_ms,
        });
    }

    /// Closes connections that have been idle for too long, and those to units that get no more requests.
    pub fn close_expired(&mut self, now: u64, mut is_used: impl FnMut(&str) -> bool) {
        self.0.retain(|unit, connections| {
            let is_used = is_used(unit);
            let before = connections.idle.len();
            connections
                .idle
                .retain(|idle| is_used && now.saturating_sub(idle.since) < idle.keep_ms);
            connections.open -= before - connections.idle.len();
            connections.open > 0
        });
    }
}
