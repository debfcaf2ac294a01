//! Datagrams between nodes, encoded with postcard.
//!
//! The encoding depends on the order of fields and variants; `beechcroft-control/tests/compatibility` pins it.

use beechcroft_consensus::{PerRegister, Revision};
use beechcroft_hotkeys::HotKeyReport;
use beechcroft_outlier::Observation;
use beechcroft_registry::{EndpointRecord, DIGEST_RANGES};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Number of hash ranges by which two nodes compare their tables of members.
pub const MEMBER_RANGES: usize = 8;

/// The state of a node. Of two reports with the same incarnation and version, the one with the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Has no configuration or knows no endpoints yet.
    Starting,
    /// Serves requests.
    Ready,
    /// Is shutting down.
    Leaving,
    /// Does not answer the pings of a watcher.
    Down,
}

/// A report on a node, made by the node itself or by another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Address of the internal listeners; [`crate::Gossip::address`] adds the port.
    pub ip: Ipv4Addr,
    /// Control node if set, proxy otherwise.
    pub is_control: bool,
    /// Whether the node is eligible to hold a replica of the control state.
    pub is_quorum_member: bool,
    /// Region that the zone belongs to.
    pub region: String,
    /// Zone that the node runs in.
    pub zone: String,
    /// Listener for client requests, if the node has one.
    pub ingress: Option<SocketAddrV4>,
    /// Listener for calls of units and the operator, if the node has one.
    pub control: Option<SocketAddrV4>,
    /// Start time of the process, in milliseconds since 1970 by the node's own clock. It may be raised to refute a
    /// report.
    pub incarnation: u64,
    /// Incremented with each change that the node reports of itself.
    pub version: u32,
    /// State according to this report.
    pub state: MemberState,
}

impl Member {
    /// Sort key of reports on the same node: the report with the greater key wins.
    pub fn precedence(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.version, self.state)
    }

    /// Index of the hash range that the node's name falls into.
    pub fn digest_range(&self) -> usize {
        rapidhash_v3(self.name.as_bytes()) as usize % MEMBER_RANGES
    }

    /// Digest of this report. The digest of a range is the exclusive or over its members.
    pub fn digest(&self) -> u32 {
        let version = u64::from(self.version) << 44;
        let report = self.incarnation ^ version ^ ((self.state as u64) << 60);
        let hash = rapidhash_v3(self.name.as_bytes()) ^ report;
        hash.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29) as u32
    }
}

/// Outcomes of one endpoint that a proxy has counted during a stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCount {
    /// Short id of the endpoint, as computed by `beechcroft-rollout`.
    pub endpoint: u16,
    /// Requests with a known outcome.
    pub trials: u16,
    /// Failed requests among `trials`.
    pub failures: u16,
}

/// A proxy's alarm on a rollout, weighted by its divergence (the paper's one-bit message), with the proxy's counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AlarmUpdate {
    /// Name of the reporting proxy.
    pub proxy: String,
    /// Incarnation of the proxy's process.
    pub incarnation: u64,
    /// Incremented with each update of the same incarnation.
    pub sequence: u32,
    /// Service that is rolled out.
    pub service: String,
    /// Id of the rollout.
    pub rollout: u64,
    /// Stage of the rollout that the counts belong to.
    pub stage: u8,
    /// Time since the proxy learned of that stage, in milliseconds.
    pub stage_ms: u32,
    /// The alarm bit.
    pub is_alarmed: bool,
    /// Expected log-likelihood ratio per tick, in nats.
    pub divergence: f32,
    /// Requests to the new version with a known outcome in this stage.
    pub trials: u32,
    /// Failed requests among `trials`.
    pub failures: u32,
    /// Requests to the service in this stage, whichever version served them.
    pub requests: u32,
    /// Failure rate of the base version as measured by this proxy.
    pub baseline_failure_rate: f32,
    /// Requests in flight from this proxy to endpoints of the base version.
    pub baseline_in_flight: u32,
    /// Outcomes for each endpoint of the new version.
    pub endpoints: Vec<EndpointCount>,
    /// Latency histogram of the base version as measured by this proxy, without the empty bins at the end.
    pub baseline_latencies: Vec<u16>,
}

/// A later heartbeat of an endpoint whose full record the receiver is expected to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the endpoint.
    pub id: String,
    /// Sequence number that the unit gave the heartbeat.
    pub sequence: u64,
    /// Remaining warm-up at the time of the heartbeat, in milliseconds.
    pub warmup_left_ms: u32,
    /// Time since a control node received the heartbeat, in milliseconds.
    pub age_ms: u32,
}

/// A proxy's report on the hot keys of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotKeyUpdate {
    /// Name of the reporting proxy.
    pub proxy: String,
    /// Incarnation of the proxy's process.
    pub incarnation: u64,
    /// Incremented with each update of the same incarnation.
    pub sequence: u32,
    /// Service that the keys belong to.
    pub service: String,
    /// Lookup rates, in total and of the hottest keys.
    pub report: HotKeyReport,
}

/// One item of a message.
///
/// The full record of an endpoint and its heartbeats are separate items because most heartbeats change only the
/// sequence number.
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
    /// Outcomes of requests to endpoints, as observed by a proxy.
    Observation(Observation),
    /// A control node checks that messages pass in both directions.
    Ping {
        /// Returned in the pong.
        number: u32,
    },
    /// The answer to a ping.
    Pong {
        /// Number of the ping that is answered.
        number: u32,
        /// Whether the answering node is itself in contact with a quorum.
        in_contact: bool,
    },
}

impl Item {
    /// Approximate encoded size, in bytes.
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

/// The sender of a message. The receiver looks up everything else about the node in its table of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the node.
    pub name: String,
    /// Incarnation of the node's process.
    pub incarnation: u64,
    /// Version of the node's report on itself.
    pub version: u32,
    /// State that the node reports of itself.
    pub state: MemberState,
}

/// Which tables of the sender have settled, that is, have not changed recently. Two settled tables that differ need a
/// comparison; a difference in an unsettled one is most likely an update that is still being disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledTables {
    /// Whether the table of members has settled.
    pub members: bool,
    /// Whether the registry of endpoints has settled.
    pub endpoints: bool,
}

/// The latest completed consensus round of the operations register that a node knows of: evidence that a majority of
/// the control nodes agreed at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumReadAge {
    /// Time since the round began, in milliseconds.
    pub age_ms: u32,
    /// Revision that the round confirmed.
    pub revision: Revision,
}

/// Summary of the sender's state that every message carries: digests of its tables and revisions of the registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigests {
    /// Digest of the table of members.
    pub members: u32,
    /// Digest of the registry of endpoints.
    pub endpoints: u32,
    /// Revisions of the register values that the sender holds.
    pub revisions: PerRegister<Revision>,
    /// Tables that have not changed recently.
    pub settled: SettledTables,
    /// The latest quorum read that the sender knows of.
    pub quorum_read: Option<QuorumReadAge>,
}

/// Digests by hash range, sent when the digests of whole tables differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDigests {
    /// Digests of the table of members.
    pub members: [u32; MEMBER_RANGES],
    /// Digests of the registry of endpoints.
    pub endpoints: [u32; DIGEST_RANGES],
}

impl RangeDigests {
    /// Digest of the whole table of members.
    pub fn of_members(&self) -> u32 {
        combine(&self.members)
    }

    /// Digest of the whole registry of endpoints.
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
    /// The sending node.
    pub sender: Sender,
    /// Whether the receiver must respond.
    pub wants_response: bool,
    /// Summary of the sender's tables and registers.
    pub digests: TableDigests,
    /// Digests by range; present when the receiver is to send the entries that differ.
    pub ranges: Option<RangeDigests>,
    /// Updates, pings and pongs.
    pub items: Vec<Item>,
}
