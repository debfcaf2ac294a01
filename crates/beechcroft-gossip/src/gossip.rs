//! The gossip state machine: its state, and the calls by which the state owner of a node reads and updates it.
//!
//! All times are milliseconds of the owner's monotonic clock, which starts above 0.

use crate::contact::{Quorum, QuorumContact};
use crate::dissemination::{QueuedUpdate, Update};
use crate::message::{
    AlarmUpdate, HotKeyUpdate, Item, Member, MemberState, Message, MEMBER_RANGES,
};
use beechcroft_consensus::{PerRegister, RegisterId, Revision};
use beechcroft_outlier::Observation;
use beechcroft_registry::{EndpointRecord, EndpointRegistry, EndpointState, MergeOutcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Number of heartbeats of an endpoint per disseminated one, if nothing else has changed.
pub const HEARTBEATS_PER_UPDATE: u64 = 4;
/// How long a received alarm is kept, in milliseconds.
pub(crate) const ALARM_TTL_MS: u64 = 3000;
/// How long a watched node may leave pings unanswered before it is first reported as down, in milliseconds.
pub(crate) const DOWN_TIMEOUT_MS: u64 = 1300;

/// An effect that the owner of the state machine must carry out, or an event that it may be interested in.
#[derive(Debug)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination of the datagram.
        to: SocketAddrV4,
        /// Content of the datagram.
        message: Message,
    },
    /// Fetch a register from a peer that holds a newer value.
    FetchRegister {
        /// Internal listener of the peer.
        from: SocketAddrV4,
        /// The register to fetch.
        register: RegisterId,
        /// Revision that the peer holds.
        revision: Revision,
    },
    /// The endpoint with this id is new, or its state has changed.
    EndpointChanged(String),
    /// A later heartbeat of the endpoint with this id was received.
    EndpointHeartbeat(String),
    /// A later heartbeat was received of the endpoint with this id, by which it warms up again, or for longer than known.
    EndpointWarmup(String),
    /// The table of members has changed.
    MembersChanged,
    /// The alarm of another proxy was received.
    Alarm(AlarmUpdate),
    /// The hot keys of another proxy in the region were received.
    HotKeys(HotKeyUpdate),
    /// The observation of endpoints by another proxy was received.
    Observation(Observation),
}

/// A member, and this node's direct contact with it.
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// Time from which this node has watched the member.
    pub(crate) watched_since: Option<u64>,
    /// Time of the last message from the member, initially the time at which it became known.
    pub(crate) answered_at: u64,
    /// Time of the last message from the member; 0 if there was none.
    pub(crate) heard_at: u64,
    /// How long the member may leave pings unanswered before this watcher reports it as down, in milliseconds. Doubled
    /// after each false report.
    pub(crate) down_timeout_ms: u64,
}

impl Peer {
    pub(crate) fn new(now: u64, member: Member) -> Peer {
        Peer {
            member,
            watched_since: None,
            answered_at: now,
            heard_at: 0,
            down_timeout_ms: DOWN_TIMEOUT_MS,
        }
    }
}

/// An alarm with the time at which it was received.
pub(crate) struct ReceivedAlarm {
    pub(crate) update: AlarmUpdate,
    pub(crate) received_at: u64,
}

/// Names of the proxy that sends an update and of the service that it concerns.
pub(crate) type ProxyService = (String, String);

/// Sort key of the updates of one proxy: the incarnation, then the sequence number.
pub(crate) type UpdateNumber = (u64, u32);

/// The latest completed round of the operations register that this node knows of.
#[derive(Clone, Copy)]
pub(crate) struct QuorumRead {
    /// Start of the round.
    pub(crate) at: u64,
    /// Revision that the round confirmed.
    pub(crate) revision: Revision,
}

/// A revision that peers hold and this node does not.
#[derive(Clone, Copy, Default)]
pub(crate) struct MissingRevision {
    pub(crate) revision: Revision,
    /// Time at which this node learned of the revision.
    pub(crate) since: u64,
}

/// The gossip state of a node.
pub struct Gossip {
    /// The report of this node on itself.
    pub(crate) local: Member,
    /// Internal port of control nodes; proxies listen on the next one.
    pub(crate) port: u16,
    pub(crate) seeds: Vec<SocketAddrV4>,
    /// All members but this node, by name.
    pub(crate) peers: BTreeMap<String, Peer>,
    pub(crate) endpoints: EndpointRegistry,
    pub(crate) revisions: PerRegister<Revision>,
    pub(crate) alarms: BTreeMap<ProxyService, ReceivedAlarm>,
    /// Number of the latest hot-key update of each proxy and service.
    pub(crate) hot_keys_seen: BTreeMap<ProxyService, UpdateNumber>,
    /// Number of the latest observation of each proxy and service.
    pub(crate) observations_seen: BTreeMap<ProxyService, UpdateNumber>,
    pub(crate) quorum_read: Option<QuorumRead>,
    pub(crate) queue: VecDeque<QueuedUpdate>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) next_flush: u64,
    pub(crate) next_ping: u64,
    /// Digest of each range of members, including this node. Invariant: the exclusive or of the members' digests.
    pub(crate) member_digests: [u32; MEMBER_RANGES],
    /// Cached names and addresses of the peers that this node watches; `None` after members have changed.
    pub(crate) watched: Option<Vec<(String, SocketAddrV4)>>,
    /// Time of the latest tick or message.
    pub(crate) clock: u64,
    /// Time of the latest tick.
    pub(crate) ticked_at: u64,
    /// Until this time, quorum reads in messages are ignored: after a stall the messages may have waited unread.
    pub(crate) trust_reads_from: u64,
    /// Until this time, this node reports no other node as down.
    pub(crate) report_down_from: u64,
    pub(crate) members_changed_at: u64,
    pub(crate) endpoints_changed_at: u64,
    /// For each register, the oldest revision that peers hold and this node has not fetched.
    pub(crate) missing: PerRegister<MissingRevision>,
    /// Time of the latest message from any other node; 0 if there was none.
    pub(crate) last_heard_at: u64,
    pub(crate) contact: QuorumContact,
}

impl Gossip {
    /// Creates the state of a node that knows no other node. `port` is the internal port of control nodes, and `salt`
    /// seeds the random number generator, so each process passes a different one.
    pub fn new(local: Member, port: u16, seeds: Vec<SocketAddrV4>, salt: u64) -> Gossip {
        let mut rng = Pcg64Mcg::seed_from_u64(salt);
        let contact = QuorumContact::new(rng.random());
        let mut gossip = Gossip {
            local: local.clone(),
            port,
            seeds,
            peers: BTreeMap::new(),
            endpoints: EndpointRegistry::default(),
            revisions: PerRegister::default(),
            alarms: BTreeMap::new(),
            hot_keys_seen: BTreeMap::new(),
            observations_seen: BTreeMap::new(),
            quorum_read: None,
            queue: VecDeque::new(),
            rng,
            next_flush: 0,
            next_ping: 0,
            member_digests: [0; MEMBER_RANGES],
            watched: None,
            clock: 0,
            ticked_at: 0,
            trust_reads_from: 0,
            report_down_from: 0,
            members_changed_at: 0,
            endpoints_changed_at: 0,
            missing: PerRegister::default(),
            last_heard_at: 0,
            contact,
        };
        gossip.update_member_digest(None, &local);
        gossip
    }

    /// Loads the tables that an earlier process of this node had stored. Anti-entropy corrects what is out of date.
    pub fn restore(&mut self, now: u64, members: Vec<Member>, endpoints: Vec<EndpointRecord>) {
        let local = self.local.name.clone();
        for member in members.into_iter().filter(|member| member.name != local) {
            self.peers
                .insert(member.name.clone(), Peer::new(now, member.clone()));
            self.update_member_digest(None, &member);
        }
        for record in endpoints {
            self.endpoints.merge(now, record);
        }
    }

    /// Replaces the seeds. Called when the settings file has changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// This node's report on itself.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// The endpoints that this node knows of, including those that are draining or gone.
    pub fn endpoints(&self) -> &EndpointRegistry {
        &self.endpoints
    }

    /// Revisions of the register values that this node holds.
    pub fn revisions(&self) -> PerRegister<Revision> {
        self.revisions
    }

    /// Sets the revision of the register value that this node holds, which peers learn from its next message.
    pub fn set_revision(&mut self, register: RegisterId, revision: Revision) {
        self.revisions[register] = revision;
    }

    /// All members except this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// All members that are not down, except this node.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.state < MemberState::Down)
    }

    /// Looks up a member other than this node.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// Address of a member's internal listener.
    pub fn address(&self, member: &Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip, self.port + u16::from(!member.is_control))
    }

    /// Time of the latest message from any other node; 0 if there was none.
    pub fn last_heard_at(&self) -> u64 {
        self.last_heard_at
    }

    /// Time of the latest message from the named node itself; 0 if there was none.
    pub fn member_heard_at(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.heard_at)
    }

    /// Pings the nodes of the quorum whose next ping is due.
    pub fn ping_quorum(&mut self, now: u64, quorum: &Quorum, actions: &mut Vec<Action>) {
        let (number, due) = self.contact.next_pings(now, quorum);
        self.contact.refresh(now, quorum);
        for name in due {
            if let Some(to) = self.member(&name).map(|member| self.address(member)) {
                self.send(to, &[Item::Ping { number }], false, None, actions);
            }
        }
    }

    /// Whether the required number of nodes of the quorum has answered this node recently.
    pub fn has_quorum_contact(&self, now: u64, quorum: &Quorum) -> bool {
        self.contact.is_established(now, quorum)
    }

    /// Whether this node is the coordinator: as far as it knows, the first by name of the control nodes that are in
    /// contact with the quorum. The coordinator takes on the tasks that any one control node may do. Two nodes may
    /// briefly both consider themselves the coordinator.
    pub fn is_coordinator(&self, now: u64, quorum: &Quorum) -> bool {
        self.has_quorum_contact(now, quorum)
            && self
                .contact
                .nodes_in_contact(now, quorum)
                .all(|name| *name > self.local.name)
    }

    /// Changes the state that this node reports of itself, with a new version.
    pub fn set_state(&mut self, state: MemberState) {
        if self.local.state != state {
            self.change_local(|local| {
                local.state = state;
                local.version += 1;
            });
        }
    }

    /// Merges the record of a heartbeat that an endpoint has sent to this node.
    pub fn record_heartbeat(&mut self, now: u64, record: EndpointRecord) -> MergeOutcome {
        let id = record.id.clone();
        let is_due = record.sequence.is_multiple_of(HEARTBEATS_PER_UPDATE);
        let outcome = self.endpoints.merge(now, record);
        match outcome {
            MergeOutcome::Changed => self.enqueue(Update::Endpoint(id)),
            // Other nodes must learn of a warm-up at once.
            MergeOutcome::Warmup => self.enqueue(Update::Heartbeat(id)),
            MergeOutcome::Heartbeat if is_due => self.enqueue(Update::Heartbeat(id)),
            MergeOutcome::Heartbeat | MergeOutcome::Unchanged => {}
        }
        outcome
    }

    /// Marks an endpoint as gone on its own request, even if this node does not know it. Returns whether that was new.
    pub fn deregister_endpoint(&mut self, now: u64, id: &str) -> bool {
        let is_new = self.endpoints.deregister(now, id);
        if is_new {
            self.enqueue(Update::Endpoint(id.to_owned()));
        }
        is_new
    }

    /// Marks a known endpoint as gone. Returns whether that was new.
    pub fn mark_endpoint_gone(&mut self, id: &str) -> bool {
        let is_new = self.endpoints.mark_gone(id);
        if is_new {
            self.enqueue(Update::Endpoint(id.to_owned()));
        }
        is_new
    }

    /// Whether the registry lists an endpoint as ready to take requests.
    pub fn is_endpoint_ready(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.record.state == EndpointState::Ready)
    }

    /// Publishes the alarm of this proxy to all nodes.
    pub fn publish_alarm(&mut self, now: u64, update: AlarmUpdate) {
        let key = (update.proxy.clone(), update.service.clone());
        self.alarms.insert(
            key,
            ReceivedAlarm {
                update: update.clone(),
                received_at: now,
            },
        );
        self.enqueue(Update::Alarm(update));
    }

    /// Publishes this proxy's report on the hot keys of a service to the proxies of its region.
    pub fn publish_hot_keys(&mut self, update: HotKeyUpdate) {
        self.enqueue(Update::HotKeys(update));
    }

    /// Publishes this proxy's observation of the endpoints of a service to all nodes.
    pub fn publish_observation(&mut self, observation: Observation) {
        self.enqueue(Update::Observation(observation));
    }

    /// The unexpired alarms on a service, including the one that this node has published.
    pub fn alarms<'a>(
        &'a self,
        now: u64,
        service: &'a str,
    ) -> impl Iterator<Item = &'a AlarmUpdate> {
        let alarms = self.alarms.values().filter(move |alarm| {
            alarm.update.service == service && alarm.received_at + ALARM_TTL_MS > now
        });
        alarms.map(|alarm| &alarm.update)
    }

    /// Records that a round of the operations register that began at `at` has confirmed a revision. It counts only if
    /// this node holds that revision; otherwise the node would act on older state.
    pub fn record_quorum_read(&mut self, at: u64, revision: Revision) {
        let is_held = self.revisions[RegisterId::Operations] >= revision;
        if is_held && self.quorum_read.is_none_or(|known| known.at < at) {
            self.quorum_read = Some(QuorumRead { at, revision });
        }
    }

    /// Start of the latest round in which a majority of the control nodes confirmed the operations register that this
    /// node holds.
    pub fn last_quorum_read_at(&self) -> Option<u64> {
        self.quorum_read.map(|read| read.at)
    }

    /// Changes this node's report on itself.
    pub(crate) fn change_local(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.local.clone();
        change(&mut self.local);
        let after = self.local.clone();
        self.update_member_digest(Some(&before), &after);
        self.enqueue(Update::Member(after.name));
    }

    /// Updates the digests after a change of a member or of this node.
    pub(crate) fn update_member_digest(&mut self, before: Option<&Member>, after: &Member) {
        if let Some(before) = before {
            self.member_digests[before.digest_range()] ^= before.digest();
        }
        self.member_digests[after.digest_range()] ^= after.digest();
        self.members_changed_at = self.clock;
        self.watched = None;
    }
}
