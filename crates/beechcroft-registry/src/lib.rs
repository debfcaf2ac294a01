//! The registry of endpoints: which are ready, draining, gone, or still warming up.
//!
//! It is a mergeable table that any control node may update and every node replicates. An endpoint's id identifies one
//! incarnation of a server process. Records of an endpoint are ordered first by state (ready, draining, gone; a state
//! never goes back to an earlier one) and then by heartbeat sequence number. A record contains the age of its heartbeat
//! rather than a time, so that nodes do not need synchronized clocks.
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
//! No I/O. All times are milliseconds of the local monotonic clock.

#![warn(missing_docs)]

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Number of id hash ranges whose digests are compared between registries.
pub const DIGEST_RANGES: usize = 16;

/// Time for which an endpoint that is gone is kept, in milliseconds, so that a late record does not add it again.
const RETENTION_MS: u64 = 600_000;
/// By how much a heartbeat must delay the end of a warm-up to report a new or longer one, in milliseconds. Smaller
/// differences come from the varying transit time of heartbeats.
const WARMUP_TOLERANCE_MS: u64 = 200;

/// The state of an endpoint. A later variant supersedes an earlier one; the order of variants is the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests in flight and accepts no new ones.
    Draining,
    /// It has terminated.
    Gone,
}

/// The state of an endpoint as it is exchanged between nodes. The order of fields is the encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's id, which is new after each restart.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// The zone it runs in.
    pub zone: String,
    /// The address at which it accepts requests.
    pub address: SocketAddrV4,
    /// Number of requests that it processes concurrently.
    pub capacity: u16,
    /// Its state at the heartbeat.
    pub state: EndpointState,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
    /// Remaining warm-up time at the heartbeat, in milliseconds.
    pub warmup_left_ms: u32,
    /// Time since the heartbeat was received, in milliseconds.
    pub age_ms: u32,
}

impl EndpointRecord {
    /// A record with the state `Gone`, for an endpoint of which nothing else is known.
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

/// An endpoint in the local registry, with local times.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The merged record.
    pub record: EndpointRecord,
    /// When the latest heartbeat was received, at this node or another one.
    pub last_heartbeat_at: u64,
    /// When the endpoint's warm-up ends.
    pub warmup_ends_at: u64,
}

/// The effect of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record contained nothing new.
    Unchanged,
    /// The record contained a later heartbeat in the same state.
    Heartbeat,
    /// The record contained a later heartbeat in the same state, by which the endpoint warms up again, or for longer than
    /// was known.
    Warmup,
    /// The endpoint or its state was new.
    Changed,
}

/// A registry of endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<String, Endpoint>,
    /// The digest of each range. Invariant: the XOR of `digest_of` over the endpoints in the range.
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
    /// Merges a record. Records may be merged in any order and repeatedly.
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
        let current = &mut endpoint.record;
        let is_newer = record.sequence > current.sequence;
        let extends_warmup = record.warmup_left_ms > 0
            && warmup_ends_at > endpoint.warmup_ends_at + WARMUP_TOLERANCE_MS;
        if is_newer {
            // A later heartbeat shows that the endpoint was alive then, whatever its state.
            current.sequence = record.sequence;
            current.warmup_left_ms = record.warmup_left_ms;
            endpoint.last_heartbeat_at = endpoint.last_heartbeat_at.max(last_heartbeat_at);
            endpoint.warmup_ends_at = warmup_ends_at;
        }
        if record.state > current.state {
            let (before, after) = (current.state, record.state);
            self.digests[range] ^= digest_of(&record.id, before) ^ digest_of(&record.id, after);
            current.state = after;
            return MergeOutcome::Changed;
        }
        match (is_newer, extends_warmup) {
            (false, _) => MergeOutcome::Unchanged,
            (true, false) => MergeOutcome::Heartbeat,
            (true, true) => MergeOutcome::Warmup,
        }
    }

    /// Marks a known endpoint as gone; returns whether it was not gone before. Later heartbeats do not revert this.
    pub fn mark_gone(&mut self, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        let current = &mut endpoint.record;
        if current.state == EndpointState::Gone {
            return false;
        }
        self.digests[range_of(id)] ^=
            digest_of(id, current.state) ^ digest_of(id, EndpointState::Gone);
        current.state = EndpointState::Gone;
        true
    }

    /// Marks an endpoint as gone even if it is unknown here, so that late records of it are ignored. Returns whether
    /// its state changed.
    pub fn deregister(&mut self, now: u64, id: &str) -> bool {
        if self.endpoints.contains_key(id) {
            return self.mark_gone(id);
        }
        self.merge(now, EndpointRecord::gone(id)) == MergeOutcome::Changed
    }

    /// Removes endpoints that have been gone for longer than the retention time.
    pub fn remove_expired(&mut self, now: u64) {
        let digests = &mut self.digests;
        self.endpoints.retain(|id, endpoint| {
            let is_gone = endpoint.record.state == EndpointState::Gone;
            let is_retained = !is_gone || endpoint.last_heartbeat_at + RETENTION_MS > now;
            if !is_retained {
                digests[range_of(id)] ^= digest_of(id, EndpointState::Gone);
            }
            is_retained
        });
    }

    /// Looks up an endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// All endpoints, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The digests of all ranges. Registries that have merged the same records have the same digests.
    pub fn digests(&self) -> [u32; DIGEST_RANGES] {
        self.digests
    }

    /// The record of an endpoint for sending now, with its current age.
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

    /// The ids in the ranges whose digests differ from those of another registry.
    pub fn ids_in_differing_ranges<'a>(
        &'a self,
        other_digests: &'a [u32; DIGEST_RANGES],
    ) -> impl Iterator<Item = &'a str> {
        let ids = self.endpoints.keys().map(String::as_str);
        ids.filter(move |id| self.digests[range_of(id)] != other_digests[range_of(id)])
    }
}
