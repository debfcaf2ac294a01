//! Affinity of one client's connection: lookups of a key stay where its last response came from, or where its own
//! write was acknowledged, until all endpoints are sure to hold what that endpoint held.

use std::rc::Rc;

/// Keys that a connection remembers. The oldest is forgotten.
const MAX_KEYS: usize = 8;

/// A key's endpoint on this connection.
#[derive(Clone, Debug)]
struct Binding {
    key: u64,
    endpoint: Rc<str>,
    /// Until when the key is bound.
    expires_at: u64,
}

/// The endpoints that a connection's keys are bound to.
#[derive(Clone, Debug, Default)]
pub struct SessionAffinity(Vec<Binding>);

impl SessionAffinity {
    /// The endpoint that a key's next request on this connection goes to, if it is bound to one.
    pub fn endpoint(&self, now: u64, key: u64) -> Option<Rc<str>> {
        let held = self
            .0
            .iter()
            .find(|held| held.key == key && held.expires_at > now);
        held.map(|held| held.endpoint.clone())
    }

    /// An endpoint has responded. `max_staleness_ms`: within so long all endpoints hold what one has acknowledged or shown.
    pub fn on_response(&mut self, now: u64, key: u64, endpoint: &Rc<str>, max_staleness_ms: u64) {
        self.0
            .retain(|held| held.key != key && held.expires_at > now);
        if self.0.len() >= MAX_KEYS {
            self.0.remove(0);
        }
        if max_staleness_ms > 0 {
            let (endpoint, expires_at) = (endpoint.clone(), now + max_staleness_ms);
            self.0.push(Binding {
                key,
                endpoint,
                expires_at,
            });
        }
    }

    /// How many keys are remembered: [`SessionAffinity::CAPACITY`] at most.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The largest number of keys that a connection remembers.
    pub const CAPACITY: usize = MAX_KEYS;
}
