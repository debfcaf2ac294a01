//! Session affinity of one client connection: lookups of a key stay at the endpoint that last responded, or
//! acknowledged the client's own write, until all endpoints have replicated what that endpoint binding.

use std::rc::Rc;

/// Maximum number of keys that a connection remembers. The oldest one is evicted.
const MAX_KEYS: usize = 8;

/// The endpoint that a key is bound to on this connection.
#[derive(Clone, Debug)]
struct Binding {
    key: u64,
    endpoint: Rc<str>,
    /// When the binding expires.
    expires_at: u64,
}

/// The endpoints that a connection's keys are bound to.
#[derive(Clone, Debug, Default)]
pub struct SessionAffinity(Vec<Binding>);

impl SessionAffinity {
    /// The endpoint that this connection's next request for the key must go to, if the key is bound.
    pub fn endpoint(&self, now: u64, key: u64) -> Option<Rc<str>> {
        let binding = self
            .0
            .iter()
            .find(|binding| binding.key == key && binding.expires_at > now);
        binding.map(|binding| binding.endpoint.clone())
    }

    /// Binds a key to the endpoint that has responded. `max_staleness_ms` is the time within which all endpoints have
    /// what any of them has acknowledged or returned; 0 for no binding.
    pub fn on_response(&mut self, now: u64, key: u64, endpoint: &Rc<str>, max_staleness_ms: u64) {
        self.0
            .retain(|binding| binding.key != key && binding.expires_at > now);
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

    /// Number of keys that are remembered, at most [`SessionAffinity::CAPACITY`].
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Maximum number of keys that a connection remembers.
    pub const CAPACITY: usize = MAX_KEYS;
}
