//! The state of a node's gossip, and what its owner reads and reports.

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

/// A heartbeat that says nothing new is passed on this rarely: one of so many.
pub const HEARTBEATS_PER_UPDATE: u64 = 4;
/// An endpoint that reports a warm-up ending so much later than known is warming up anew, in milliseconds: heartbeats
/// take their time and are no clock.
const WARMUP_TOLERANCE_MS: u64 = 200;
/// How long alarms are kept after they were heard, in milliseconds.
pub(crate) const ALARM_LAPSE_MS: u64 = 3000;
/// For how long a watched node may stay silent before it is reported as down, in milliseconds.
pub(crate) const DOWN_TIMEOUT_MS: u64 = 1300;

/// What gossip asks of its owner.
#[derive(Debug)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// A peer holds a newer value of a register: fetch it.
    FetchRegister {
        /// The peer.
        from: SocketAddrV4,
        /// The register.
        register: RegisterId,
        /// The revision that the peer holds.
        revision: Revision,
    },
    /// The endpoint with this id is new, or its state has changed.
    EndpointChanged(String),
    /// A later heartbeat of the endpoint with this id has come.
    EndpointHeartbeat(String),
    /// The table of members has changed.
    MembersChanged,
    /// Another proxy's alarm has come.
    Alarm(AlarmUpdate),
    /// Another proxy of the region reports hot keys.
    HotKeys(HotKeyUpdate),
    /// Another proxy reports what it observed of endpoints.
    Observation(Observation),
}

/// A member, and what this node knows of it by its own contact.
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// Since when this node watches it.
    pub(crate) watched_since: Option<u64>,
    /// When it last answered.
    pub(crate) answered_at: u64,
    /// When it last sent a message itself; 0 if it never did.
    pub(crate) heard_at: u64,
    /// How long this watcher waits for an answer: twice as long after each false report.
    pub(crate) patience_ms: u64,
}

impl Peer {
    pub(crate) fn new(now: u64, member: Member) -> Peer {
        Peer {
            member,
            watched_since: None,
            answered_at: now,
            heard_at: 0,
            patience_ms: DOWN_TIMEOUT_MS,
        }
    }
}

/// An alarm, and when it was heard.
pub(crate) struct HeardAlarm {
    pub(crate) update: AlarmUpdate,
    pub(crate) heard_at: u64,
}

/// The proxy and the service that an update is about.
pub(crate) type ProxyService = (String, String);

/// The order of a proxy's updates: its incarnation, then the sequence.
pub(crate) type UpdateNumber = (u64, u32);

/// The latest round of the operations register that is known to have ended.
#[derive(Clone, Copy)]
pub(crate) struct QuorumRead {
    /// When the round began.
    pub(crate) at: u64,
    pub(crate) revision: Revision,
}

/// A revision that peers hold and this node does not.
#[derive(Clone, Copy, Default)]
pub(crate) struct MissedRevision {
    pub(crate) revision: Revision,
    pub(crate) since: u64,
}

/// A node's gossip.
pub struct Gossip {
    pub(crate) local: Member,
    /// The internal port of control nodes; a proxy's is the next one.
    pub(crate) port: u16,
    pub(crate) seeds: Vec<SocketAddrV4>,
    /// All members but this node, by name.
    pub(crate) peers: BTreeMap<String, Peer>,
    pub(crate) endpoints: EndpointRegistry,
    pub(crate) revisions: PerRegister<Revision>,
    pub(crate) alarms: BTreeMap<ProxyService, HeardAlarm>,
    /// The latest update of each proxy on each service's hot keys.
    pub(crate) hot_keys_seen: BTreeMap<ProxyService, UpdateNumber>,
    /// The latest observation of each proxy on each service.
    pub(crate) observations_seen: BTreeMap<ProxyService, UpdateNumber>,
    pub(crate) quorum_read: Option<QuorumRead>,
    pub(crate) queue: VecDeque<QueuedUpdate>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) next_flush: u64,
    pub(crate) next_ping: u64,
    /// The digest of each range of members, this node among them. Invariant: the exclusive or of their digests.
    pub(crate) member_digests: [u32; MEMBER_RANGES],
    /// The peers that this node watches, until members change.
    pub(crate) watched: Option<Vec<(String, SocketAddrV4)>>,
    pub(crate) clock: u64,
    pub(crate) ticked_at: u64,
    /// Before this time no quorum read is taken from a message: it may have waited unread.
    pub(crate) trust_reads_from: u64,
    /// Before this time no other node is reported as down.
    pub(crate) report_down_from: u64,
    pub(crate) members_changed_at: u64,
    pub(crate) endpoints_changed_at: u64,
    pub(crate) missed: PerRegister<MissedRevision>,
    pub(crate) last_heard_at: u64,
    pub(crate) contact: QuorumContact,
}

impl Gossip {
    /// The gossip of a node that knows nobody. `port`: the internal port of control nodes. `salt` is drawn by each
    /// process.
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
            missed: PerRegister::default(),
            last_heard_at: 0,
            contact,
        };
        gossip.update_member_digest(None, &local);
        gossip
    }

    /// Starts from what a former incarnation of the process knew. The others correct what is out of date.
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

    /// Replaces the seeds, after a change of the settings file.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// This node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// The registry of endpoints.
    pub fn endpoints(&self) -> &EndpointRegistry {
        &self.endpoints
    }

    /// The revisions of the registers that this node holds.
    pub fn revisions(&self) -> PerRegister<Revision> {
        self.revisions
    }

    /// This node holds a newer value of a register.
    pub fn set_revision(&mut self, register: RegisterId, revision: Revision) {
        self.revisions[register] = revision;
    }

    /// All members but this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// The members that are not down, without this node.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.state < MemberState::Down)
    }

    /// A member other than this node.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// The address that a member's internal listener has.
    pub fn address(&self, member: &Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip, self.port + u16::from(!member.is_control))
    }

    /// When any other node was last heard; 0 if none was.
    pub fn last_heard_at(&self) -> u64 {
        self.last_heard_at
    }

    /// When a node was last heard itself; 0 if it never was.
    pub fn member_heard_at(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.heard_at)
    }

    /// Pings the nodes of a quorum that are due.
    pub fn ping_quorum(&mut self, now: u64, quorum: &Quorum, actions: &mut Vec<Action>) {
        let (number, due) = self.contact.next_pings(now, quorum);
        self.contact.refresh(now, quorum);
        for name in due {
            if let Some(to) = self.member(&name).map(|member| self.address(member)) {
                self.send(to, &[Item::Ping { number }], false, None, actions);
            }
        }
    }

    /// Whether as many nodes of a quorum as are required have answered this node of late.
    pub fn has_quorum_contact(&self, now: u64, quorum: &Quorum) -> bool {
        self.contact.is_established(now, quorum)
    }

    /// Whether this node is the first by name of those that are in contact with the quorum, as far as it knows. What
    /// one control node has to do and any of them may, that one does.
    pub fn is_coordinator(&self, now: u64, quorum: &Quorum) -> bool {
        self.has_quorum_contact(now, quorum)
            && self
                .contact
                .nodes_in_contact(now, quorum)
                .all(|name| *name > self.local.name)
    }

    /// Changes the state that this node reports of itself.
    pub fn set_state(&mut self, state: MemberState) {
        if self.local.state != state {
            self.change_local(|local| {
                local.state = state;
                local.version += 1;
            });
        }
    }

    /// Merges the record of a heartbeat that an endpoint sent to this node.
    pub fn record_heartbeat(&mut self, now: u64, record: EndpointRecord) -> MergeOutcome {
        let id = record.id.clone();
        // Others must know if it is warming up, or longer than they believe.
        let warm_at = self
            .endpoints
            .get(&id)
            .map_or(0, |endpoint| endpoint.warmup_ends_at);
        let reported_warm_at = now + u64::from(record.warmup_left_ms);
        let is_colder =
            record.warmup_left_ms > 0 && reported_warm_at > warm_at + WARMUP_TOLERANCE_MS;
        let is_passed_on = record.sequence.is_multiple_of(HEARTBEATS_PER_UPDATE) || is_colder;
        let outcome = self.endpoints.merge(now, record);
        match outcome {
            MergeOutcome::Changed => self.enqueue(Update::Endpoint(id)),
            MergeOutcome::Heartbeat if is_passed_on => self.enqueue(Update::Heartbeat(id)),
            MergeOutcome::Heartbeat | MergeOutcome::Unchanged => {}
        }
        outcome
    }

    /// An endpoint has said that it ends, whether it is known here or not. Whether that was new.
    pub fn deregister_endpoint(&mut self, now: u64, id: &str) -> bool {
        let is_new = self.endpoints.deregister(now, id);
        if is_new {
            self.enqueue(Update::Endpoint(id.to_owned()));
        }
        is_new
    }

    /// An endpoint has ended. Whether that was new.
    pub fn mark_endpoint_gone(&mut self, id: &str) -> bool {
        let is_new = self.endpoints.mark_gone(id);
        if is_new {
            self.enqueue(Update::Endpoint(id.to_owned()));
        }
        is_new
    }

    /// Whether an endpoint may be sent requests, as far as the registry says.
    pub fn is_endpoint_ready(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.record.state == EndpointState::Ready)
    }

    /// Publishes this proxy's alarm.
    pub fn publish_alarm(&mut self, now: u64, update: AlarmUpdate) {
        let key = (update.proxy.clone(), update.service.clone());
        self.alarms.insert(
            key,
            HeardAlarm {
                update: update.clone(),
                heard_at: now,
            },
        );
        self.enqueue(Update::Alarm(update));
    }

    /// Publishes this proxy's report on a service's hot keys, to the proxies of its region.
    pub fn publish_hot_keys(&mut self, update: HotKeyUpdate) {
        self.enqueue(Update::HotKeys(update));
    }

    /// Publishes what this proxy observed of a service's endpoints.
    pub fn publish_observation(&mut self, observation: Observation) {
        self.enqueue(Update::Observation(observation));
    }

    /// The alarms on a service that have not lapsed, this proxy's own among them.
    pub fn alarms<'a>(
        &'a self,
        now: u64,
        service: &'a str,
    ) -> impl Iterator<Item = &'a AlarmUpdate> {
        let alarms = self.alarms.values().filter(move |alarm| {
            alarm.update.service == service && alarm.heard_at + ALARM_LAPSE_MS > now
        });
        alarms.map(|alarm| &alarm.update)
    }

    /// A round of the operations register that began at `at` has confirmed a revision. It counts only on a node that
    /// holds that revision: another one would act on something older.
    pub fn record_quorum_read(&mut self, at: u64, revision: Revision) {
        let is_held = self.revisions[RegisterId::Operations] >= revision;
        if is_held && self.quorum_read.is_none_or(|held| held.at < at) {
            self.quorum_read = Some(QuorumRead { at, revision });
        }
    }

    /// When the control nodes last showed that they agree, on what this node holds.
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

    /// Updates the digests after a change of a member, this node among them.
    pub(crate) fn update_member_digest(&mut self, before: Option<&Member>, after: &Member) {
        if let Some(before) = before {
            self.member_digests[before.digest_range()] ^= before.digest();
        }
        self.member_digests[after.digest_range()] ^= after.digest();
        self.members_changed_at = self.clock;
        self.watched = None;
    }
}
