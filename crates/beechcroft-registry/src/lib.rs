//! The registry of endpoints: which units are ready, drain, are gone, and which are still warming up.
//!
//! It is a mergeable table that any control node may write and every node holds. An endpoint's id names one
//! incarnation of a unit. What is known of it is ordered by state first (ready, draining, gone; none of them turns
//! back) and then by the sequence of its heartbeats. A record says how long ago its heartbeat was heard, so that no
//! two nodes need the same clock.
//!
//! ```
//! use beechcroft_registry::{EndpointRegistry, EndpointState, MergeOutcome};
//! # use beechcroft_registry::EndpointRecord;
//! # let record = EndpointRecord {
//! #     id: "i-7".into(), service: "boards".into(), version: "v1".into(), zone: "rennes-a".into(),
//! #     address: "10.1.0.7:9000".parse().unwrap(), capacity: 4, state: EndpointState::Ready, sequence: 1,
//! #     warmup_left_ms: 0, age_ms: 0,
//! # };
//! let mut registry = EndpointRegistry::default();
//! assert_eq!(registry.merge(0, record.clone()), MergeOutcome::Changed);
//! assert_eq!(registry.merge(5, record), MergeOutcome::Unchanged);
//! assert!(registry.mark_gone("i-7"));
//! ```
//!
//! No I/O. All times are milliseconds of the holder's own steady clock.

#![warn(missing_docs)]

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The number of hash ranges over which two registries are compared.
pub const DIGEST_RANGES: usize = 16;

/// How long an endpoint that is gone is remembered, so that a late record does not bring it back.
const RETENTION_MS: u64 = 600_000;

/// The state of an endpoint. Later states win over earlier ones; the order of variants is their encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes no new requests.
    Draining,
    /// It has ended.
    Gone,
}

/// What is known of an endpoint, as it travels between nodes. The order of fields is their encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The unit's id. A unit that starts again has another one.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// Its zone.
    pub zone: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// How many requests it works on at once.
    pub capacity: u16,
    /// Its state.
    pub state: EndpointState,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
    /// For how long it was going to warm up at the time of the heartbeat, in milliseconds.
    pub warmup_left_ms: u32,
    /// Since the heartbeat was heard, in milliseconds.
    pub age_ms: u32,
}

impl EndpointRecord {
    /// The record of an endpoint of which only the end is known.
    fn gone(id: &str) -> EndpointRecord {
        EndpointRecord {
            id: id.to_owned(),
            service: String::new(),
            version: String::new(),
            zone: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            capacity: 0,
            state: EndpointState::Gone,
            sequence: 0,
            warmup_left_ms: 0,
            age_ms: 0,
        }
    }
}

/// An endpoint as the holder of the registry knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The newest record.
    pub record: EndpointRecord,
    /// When its latest heartbeat was heard.
    pub last_heartbeat_at: u64,
    /// When it will have warmed up.
    pub warmup_ends_at: u64,
}

/// What merging a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing in it was new.
    Unchanged,
    /// It was a later heartbeat; nothing else has changed.
    Heartbeat,
    /// The endpoint or its state was new.
    Changed,
}

/// The table of endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<String, Endpoint>,
    /// The digest of each range. Invariant: the exclusive or of `digest_of` over the endpoints of the range.
    digests: [u32; DIGEST_RANGES],
}

fn range_of(id: &str) -> usize {
    rapidhash_v3(id.as_bytes()) as usize % DIGEST_RANGES
}

fn digest_of(id: &str, state: EndpointState) -> u32 {
    let hash = rapidhash_v3(id.as_bytes()).rotate_left(17);
    (hash.wrapping_mul(2 * state as u64 + 3) >> 32) as u32
}

impl EndpointRegistry {
    /// Merges a record: what was new in it. Records may come in any order and any number of times.
    pub fn merge(&mut self, now: u64, record: EndpointRecord) -> MergeOutcome {
        let last_heartbeat_at = now.saturating_sub(u64::from(record.age_ms));
        let warmup_ends_at = last_heartbeat_at + u64::from(record.warmup_left_ms);
        let range = range_of(&record.id);
        let Some(endpoint) = self.endpoints.get_mut(&record.id) else {
            self.digests[range] ^= digest_of(&record.id, record.state);
            self.endpoints.insert(
                record.id.clone(),
                Endpoint {
                    record,
                    last_heartbeat_at,
                    warmup_ends_at,
                },
            );
            return MergeOutcome::Changed;
        };
        let held = &mut endpoint.record;
        let is_later = record.sequence > held.sequence;
        if is_later {
            // A later heartbeat of any state shows that the unit was alive then.
            held.sequence = record.sequence;
            held.warmup_left_ms = record.warmup_left_ms;
            endpoint.last_heartbeat_at = endpoint.last_heartbeat_at.max(last_heartbeat_at);
            endpoint.warmup_ends_at = warmup_ends_at;
        }
        if record.state > held.state {
            let (before, after) = (held.state, record.state);
            self.digests[range] ^= digest_of(&record.id, before) ^ digest_of(&record.id, after);
            held.state = after;
            return MergeOutcome::Changed;
        }
        if is_later {
            MergeOutcome::Heartbeat
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// Marks an endpoint as gone; whether that was new. Its later heartbeats do not bring it back.
    pub fn mark_gone(&mut self, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        let held = &mut endpoint.record;
        if held.state == EndpointState::Gone {
            return false;
        }
        self.digests[range_of(id)] ^=
            digest_of(id, held.state) ^ digest_of(id, EndpointState::Gone);
        held.state = EndpointState::Gone;
        true
    }

    /// Marks an endpoint as gone that may not be known here: what others still report of it comes too late.
    pub fn deregister(&mut self, now: u64, id: &str) -> bool {
        if self.endpoints.contains_key(id) {
            return self.mark_gone(id);
        }
        self.merge(now, EndpointRecord::gone(id)) == MergeOutcome::Changed
    }

    /// Removes endpoints that have long been gone.
    pub fn remove_expired(&mut self, now: u64) {
        let digests = &mut self.digests;
        self.endpoints.retain(|id, endpoint| {
            let is_gone = endpoint.record.state == EndpointState::Gone;
            let is_kept = !is_gone || endpoint.last_heartbeat_at + RETENTION_MS > now;
            if !is_kept {
                digests[range_of(id)] ^= digest_of(id, EndpointState::Gone);
            }
            is_kept
        });
    }

    /// An endpoint.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// All endpoints, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// A digest of each range. Registries that merged the same records have the same digests.
    pub fn digests(&self) -> [u32; DIGEST_RANGES] {
        self.digests
    }

    /// An endpoint's record as it is sent at this time.
    pub fn record(&self, now: u64, id: &str) -> Option<EndpointRecord> {
        let endpoint = self.endpoints.get(id)?;
        let age_ms = now
            .saturating_sub(endpoint.last_heartbeat_at)
            .min(u64::from(u32::MAX)) as u32;
        Some(EndpointRecord {
            age_ms,
            ..endpoint.record.clone()
        })
    }

    /// The ids in the ranges in which another registry differs.
    pub fn ids_in_differing_ranges<'a>(
        &'a self,
        theirs: &'a [u32; DIGEST_RANGES],
    ) -> impl Iterator<Item = &'a str> {
        let ids = self.endpoints.keys().map(String::as_str);
        ids.filter(move |id| self.digests[range_of(id)] != theirs[range_of(id)])
    }
}
