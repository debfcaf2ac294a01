//! The messages that nodes send each other in datagrams, in postcard form.
//!
//! The order of fields and variants is their encoding; `beechcroft-control/tests/compatibility` pins it.

use beechcroft_consensus::{PerRegister, Revision};
use beechcroft_hotkeys::HotKeyReport;
use beechcroft_outlier::Observation;
use beechcroft_registry::{EndpointRecord, DIGEST_RANGES};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The number of hash ranges over which two tables of members are compared.
pub const MEMBER_RANGES: usize = 8;

/// The state of a node. Of two reports with the same incarnation and version, the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It has no configuration or knows no endpoints yet.
    Starting,
    /// It serves.
    Ready,
    /// It is shutting down.
    Leaving,
    /// Its watchers get no answer from it.
    Down,
}

/// A node, as it reports itself or as others report it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether it is a control node; otherwise it is a proxy.
    pub is_control: bool,
    /// Whether it may hold a replica.
    pub is_quorum_member: bool,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Where clients send requests.
    pub ingress: Option<SocketAddrV4>,
    /// Where units and the operator call.
    pub control: Option<SocketAddrV4>,
    /// The start of its process, in milliseconds since 1970 by its own clock.
    pub incarnation: u64,
    /// Rises with each change that the node reports of itself.
    pub version: u32,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// Which of two reports on a node wins: the greater one.
    pub fn precedence(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.version, self.state)
    }

    /// The hash range that the node falls into.
    pub fn digest_range(&self) -> usize {
        rapidhash_v3(self.name.as_bytes()) as usize % MEMBER_RANGES
    }

    /// The node's part of the digest of its range.
    pub fn digest(&self) -> u32 {
        let version = u64::from(self.version) << 44;
        let report = self.incarnation ^ version ^ ((self.state as u64) << 60);
        let hash = rapidhash_v3(self.name.as_bytes()) ^ report;
        hash.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29) as u32
    }
}

/// What a proxy has counted of one endpoint in a rollout's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCount {
    /// The endpoint's short id, as `beechcroft-rollout` computes it.
    pub endpoint: u16,
    /// Outcomes.
    pub trials: u16,
    /// Failures among them.
    pub failures: u16,
}

/// A proxy's alarm on a rollout, weighted by its divergence, and what it has counted (the paper's one-bit message).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AlarmUpdate {
    /// The proxy.
    pub proxy: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Rises with each update of the incarnation.
    pub sequence: u32,
    /// The service.
    pub service: String,
    /// The rollout's id.
    pub rollout: u64,
    /// The rollout's stage that the update is about.
    pub stage: u8,
    /// For how long the proxy has known that stage, in milliseconds.
    pub stage_ms: u32,
    /// The alarm bit.
    pub is_alarmed: bool,
    /// Expected log-likelihood ratio for each tick, in nats.
    pub divergence: f32,
    /// Outcomes of the new version in this stage.
    pub trials: u32,
    /// Failures among them.
    pub failures: u32,
    /// Requests to the service in this stage, of either version.
    pub requests: u32,
    /// The failure rate of the base version here.
    pub baseline_failure_rate: f32,
    /// Requests in flight at endpoints of the base version.
    pub baseline_in_flight: u32,
    /// Outcomes by endpoint of the new version.
    pub endpoints: Vec<EndpointCount>,
    /// Latencies of the base version here, by histogram bin up to the last one that is not empty.
    pub baseline_latencies: Vec<u16>,
}

/// A later heartbeat of a known endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The endpoint's id.
    pub id: String,
    /// The heartbeat's sequence number.
    pub sequence: u64,
    /// For how long it was going to warm up, in milliseconds.
    pub warmup_left_ms: u32,
    /// Since the heartbeat was heard, in milliseconds.
    pub age_ms: u32,
}

/// A proxy's report on a service's hot keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotKeyUpdate {
    /// The proxy.
    pub proxy: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Rises with each update of the incarnation.
    pub sequence: u32,
    /// The service.
    pub service: String,
    /// The rates of lookups.
    pub report: HotKeyReport,
}

/// One item of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A report on a node.
    Member(Member),
    /// A report on an endpoint.
    Endpoint(EndpointRecord),
    /// A later heartbeat of an endpoint.
    Heartbeat(Heartbeat),
    /// A proxy's alarm on a rollout.
    Alarm(AlarmUpdate),
    /// A proxy's report on hot keys.
    HotKeys(HotKeyUpdate),
    /// What a proxy observed of endpoints.
    Observation(Observation),
    /// A control node asks whether its messages arrive.
    Ping {
        /// Returned with the answer.
        number: u32,
    },
    /// The answer to a ping.
    Pong {
        /// The number of the ping.
        number: u32,
        /// Whether the node that answers is in contact with a quorum itself.
        in_contact: bool,
    },
}

impl Item {
    /// About how many bytes it takes in a message.
    pub fn size_hint(&self) -> usize {
        match self {
            Item::Member(m) => 40 + m.name.len() + m.region.len() + m.zone.len(),
            Item::Endpoint(e) => 30 + e.id.len() + e.service.len() + e.version.len() + e.zone.len(),
            Item::Heartbeat(h) => 10 + h.id.len(),
            Item::Ping { .. } | Item::Pong { .. } => 7,
            Item::Observation(o) => {
                24 + o.proxy.len() + o.region.len() + o.service.len() + 11 * o.endpoints.len()
            }
            Item::HotKeys(h) => 24 + h.proxy.len() + h.service.len() + 14 * h.report.keys.len(),
            Item::Alarm(a) => 40 + a.proxy.len() + a.service.len() + 6 * a.endpoints.len(),
        }
    }
}

/// The node that sends a message. The rest of what is known of it is in the table of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The version of its report on itself.
    pub version: u32,
    /// Its state.
    pub state: MemberState,
}

/// Which tables have not changed for a moment: what differs in them is not just on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledTables {
    /// The table of members.
    pub members: bool,
    /// The registry of endpoints.
    pub endpoints: bool,
}

/// The latest round of the operations register that a node knows to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumReadAge {
    /// How long ago the round began, in milliseconds.
    pub age_ms: u32,
    /// The revision that it confirmed.
    pub revision: Revision,
}

/// Digests of whole tables and the revisions of the registers: part of every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigests {
    /// Of the table of members.
    pub members: u32,
    /// Of the registry of endpoints.
    pub endpoints: u32,
    /// Of the registers' latest known values.
    pub revisions: PerRegister<Revision>,
    /// Which tables have settled.
    pub settled: SettledTables,
    /// The latest evidence that the control nodes agree.
    pub quorum_read: Option<QuorumReadAge>,
}

/// Digests by hash range: sent where the digests of whole tables differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDigests {
    /// Of the table of members.
    pub members: [u32; MEMBER_RANGES],
    /// Of the registry of endpoints.
    pub endpoints: [u32; DIGEST_RANGES],
}

impl RangeDigests {
    /// The digest of the whole table of members.
    pub fn of_members(&self) -> u32 {
        combine(&self.members)
    }

    /// The digest of the whole registry.
    pub fn of_endpoints(&self) -> u32 {
        combine(&self.endpoints)
    }
}

fn combine(ranges: &[u32]) -> u32 {
    ranges
        .iter()
        .fold(0u32, |sum, &range| sum.rotate_left(5).wrapping_add(range))
}

/// A message: one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The node that sends it.
    pub sender: Sender,
    /// Whether a response is asked for.
    pub wants_response: bool,
    /// The digests of the sender's tables.
    pub digests: TableDigests,
    /// The same by range, where the tables are to be compared.
    pub ranges: Option<RangeDigests>,
    /// Updates, pings and pongs.
    pub items: Vec<Item>,
}
