//! Receiving messages: merging their items, comparing tables, refuting false reports.

use crate::dissemination::Update;
use crate::gossip::{Action, Gossip, HeardAlarm, MissedRevision, Peer};
use crate::message::{
    AlarmUpdate, Heartbeat, HotKeyUpdate, Item, Member, MemberState, Message, RangeDigests, Sender,
    TableDigests,
};
use beechcroft_consensus::{RegisterId, Revision};
use beechcroft_outlier::Observation;
use beechcroft_registry::{EndpointRecord, MergeOutcome};
use beechcroft_safeguards::Safeguard;
use rand::RngExt;
use rapidhash::v3::rapidhash_v3;
use std::net::SocketAddrV4;

/// The longest time that a watcher with false reports waits for an answer, in milliseconds.
const MAX_PATIENCE_MS: u64 = 10_000;
/// The share of differing digests that are compared although the tables are changing: they might never stop.
const COMPARE_UNSETTLED_SHARE: f64 = 0.1;
/// How long a node waits for a register's value to reach its region before it fetches it from another one, in
/// milliseconds.
const FETCH_DELAY_MS: u64 = 350;

impl Gossip {
    /// A message has come.
    pub fn on_message(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Message {
            sender,
            wants_response,
            digests,
            ranges,
            items,
        } = message;
        if sender.name == self.local.name {
            return;
        }
        (self.last_heard_at, self.clock) = (now, now);
        let name = sender.name.clone();
        self.contact.on_message(now, &name);
        self.merge_sender(now, from, sender, actions);
        for item in items {
            self.merge_item(now, from, &name, item, actions);
        }
        self.merge_quorum_read(now, &digests);
        self.fetch_newer_registers(now, from, &name, &digests, actions);
        match ranges {
            Some(theirs) => self.compare_ranges(now, from, wants_response, &theirs, actions),
            None if wants_response => self.respond(from, &digests, actions),
            None => {}
        }
    }

    fn merge_sender(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        sender: Sender,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&sender.name) else {
            return;
        };
        (peer.answered_at, peer.heard_at) = (now, now);
        let Sender {
            name,
            incarnation,
            version,
            state,
        } = sender;
        let member = Member {
            incarnation,
            version,
            state,
            ..peer.member.clone()
        };
        self.merge_member(now, member, actions);
        // A node that was reported as down and sends a message is told at once: its next report refutes that.
        let known = &self.peers[&name].member;
        if known.state == MemberState::Down {
            let report = Item::Member(known.clone());
            self.send(from, &[report], false, None, actions);
        }
    }

    fn merge_item(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        sender: &str,
        item: Item,
        actions: &mut Vec<Action>,
    ) {
        match item {
            Item::Member(member) => self.merge_member(now, member, actions),
            Item::Endpoint(record) => self.merge_endpoint(now, record, actions),
            Item::Heartbeat(heartbeat) => self.merge_heartbeat(now, heartbeat, actions),
            Item::Alarm(update) => self.merge_alarm(now, update, actions),
            Item::HotKeys(update) => self.merge_hot_keys(update, actions),
            Item::Observation(observation) => self.merge_observation(observation, actions),
            Item::Ping { number } => {
                let pong = Item::Pong {
                    number,
                    in_contact: self.contact.has_contact(),
                };
                self.send(from, &[pong], false, None, actions);
            }
            Item::Pong { number, in_contact } => self.contact.on_pong(sender, number, in_contact),
        }
    }

    fn merge_member(&mut self, now: u64, member: Member, actions: &mut Vec<Action>) {
        if member.name == self.local.name {
            return self.refute(&member);
        }
        let name = member.name.clone();
        let before = match self.peers.get_mut(&name) {
            None => {
                self.peers
                    .insert(name.clone(), Peer::new(now, member.clone()));
                None
            }
            Some(peer) if member.precedence() > peer.member.precedence() => {
                peer.watched_since = None;
                let before = std::mem::replace(&mut peer.member, member.clone());
                let was_alive =
                    before.state == MemberState::Down && before.incarnation == member.incarnation;
                if was_alive {
                    // Whoever reports the same node falsely again and again loads the whole fleet.
                    peer.patience_ms = (peer.patience_ms * 2).min(MAX_PATIENCE_MS);
                }
                Some(before)
            }
            Some(_) => return,
        };
        self.update_member_digest(before.as_ref(), &member);
        self.enqueue(Update::Member(name));
        actions.push(Action::MembersChanged);
    }

    /// Somebody believes something else of this node: its own report must win.
    fn refute(&mut self, report: &Member) {
        if report.precedence() <= self.local.precedence() {
            return;
        }
        let (incarnation, version) = (report.incarnation, report.version);
        self.change_local(|local| {
            local.incarnation = local.incarnation.max(incarnation);
            local.version = local.version.max(version) + 1;
        });
    }

    fn merge_endpoint(&mut self, now: u64, record: EndpointRecord, actions: &mut Vec<Action>) {
        let id = record.id.clone();
        match self.endpoints.merge(now, record) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::Heartbeat => actions.push(Action::EndpointHeartbeat(id)),
            MergeOutcome::Changed => {
                self.endpoints_changed_at = now;
                self.enqueue(Update::Endpoint(id.clone()));
                actions.push(Action::EndpointChanged(id));
            }
        }
    }

    fn merge_heartbeat(&mut self, now: u64, heartbeat: Heartbeat, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(&heartbeat.id) else {
            return;
        };
        let Heartbeat {
            id,
            sequence,
            warmup_left_ms,
            age_ms,
        } = heartbeat;
        let record = EndpointRecord {
            sequence,
            warmup_left_ms,
            age_ms,
            ..endpoint.record.clone()
        };
        if self.endpoints.merge(now, record) == MergeOutcome::Heartbeat {
            self.enqueue(Update::Heartbeat(id.clone()));
            actions.push(Action::EndpointHeartbeat(id));
        }
    }

    fn merge_alarm(&mut self, now: u64, update: AlarmUpdate, actions: &mut Vec<Action>) {
        let key = (update.proxy.clone(), update.service.clone());
        let number = |update: &AlarmUpdate| (update.incarnation, update.sequence);
        let held = self.alarms.get(&key);
        let is_new = held.is_none_or(|held| number(&update) > number(&held.update));
        if is_new && update.proxy != self.local.name {
            self.alarms.insert(
                key,
                HeardAlarm {
                    update: update.clone(),
                    heard_at: now,
                },
            );
            self.enqueue(Update::Alarm(update.clone()));
            actions.push(Action::Alarm(update));
        }
    }

    fn merge_hot_keys(&mut self, update: HotKeyUpdate, actions: &mut Vec<Action>) {
        let proxy = self.member(&update.proxy);
        let is_near = proxy.is_some_and(|proxy| proxy.region == self.local.region);
        let key = (update.proxy.clone(), update.service.clone());
        let number = (update.incarnation, update.sequence);
        let is_new = self
            .hot_keys_seen
            .get(&key)
            .is_none_or(|&held| held < number);
        if is_near && is_new {
            self.hot_keys_seen.insert(key, number);
            self.enqueue(Update::HotKeys(update.clone()));
            actions.push(Action::HotKeys(update));
        }
    }

    fn merge_observation(&mut self, observation: Observation, actions: &mut Vec<Action>) {
        let key = (observation.proxy.clone(), observation.service.clone());
        let number = (observation.incarnation, observation.period);
        let is_new = self
            .observations_seen
            .get(&key)
            .is_none_or(|&held| held < number);
        if observation.proxy != self.local.name && is_new {
            self.observations_seen.insert(key, number);
            self.enqueue(Update::Observation(observation.clone()));
            actions.push(Action::Observation(observation));
        }
    }

    /// The age of a quorum read counts from the sending. A message that waited unread while this process was stalled
    /// would make it look newer.
    fn merge_quorum_read(&mut self, now: u64, digests: &TableDigests) {
        let may_have_waited = Safeguard::FreshQuorumReads.is_enabled()
            && (self.is_stalled(now) || now < self.trust_reads_from);
        if let Some(read) = digests.quorum_read.filter(|_| !may_have_waited) {
            self.record_quorum_read(now.saturating_sub(u64::from(read.age_ms)), read.revision);
        }
    }

    fn fetch_newer_registers(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        sender: &str,
        digests: &TableDigests,
        actions: &mut Vec<Action>,
    ) {
        for (register, &revision) in digests.revisions.iter() {
            let is_newer = revision > self.revisions[register];
            if is_newer && self.may_fetch(now, register, revision, sender) {
                actions.push(Action::FetchRegister {
                    from,
                    register,
                    revision,
                });
            }
        }
    }

    /// Values are large, and bytes between regions cost most: one node of a region fetches from another one, and the
    /// others from that node. They go to other regions themselves if none of their own has the value after a while.
    fn may_fetch(
        &mut self,
        now: u64,
        register: RegisterId,
        revision: Revision,
        from: &str,
    ) -> bool {
        let local = &self.local;
        let is_near = self
            .peers
            .get(from)
            .is_none_or(|peer| peer.member.region == local.region);
        // The delay is for the oldest revision that is missed, whoever reports it.
        let missed = &mut self.missed[register];
        if missed.revision <= self.revisions[register] {
            *missed = MissedRevision {
                revision,
                since: now,
            };
        }
        let is_delayed_enough = now >= missed.since + FETCH_DELAY_MS;
        let weight = |name: &str| rapidhash_v3(format!("{name} fetches").as_bytes());
        let own_weight = weight(&self.local.name);
        let mut neighbours = self
            .live_members()
            .filter(|member| member.region == self.local.region);
        // A node that has no value yet serves nobody: it takes the first one that it gets.
        let has_none = self.revisions[register] == Revision::NONE;
        is_near
            || has_none
            || is_delayed_enough
            || neighbours.all(|member| weight(&member.name) < own_weight)
    }

    /// Answers a ping: with the digests by range where the tables differ.
    fn respond(&mut self, to: SocketAddrV4, theirs: &TableDigests, actions: &mut Vec<Action>) {
        let mine = self.table_digests();
        let members_differ = mine.members != theirs.members;
        let endpoints_differ = mine.endpoints != theirs.endpoints;
        let members_settled = mine.settled.members && theirs.settled.members;
        let endpoints_settled = mine.settled.endpoints && theirs.settled.endpoints;
        let compares_unsettled =
            (members_differ || endpoints_differ) && self.rng.random_bool(COMPARE_UNSETTLED_SHARE);
        if members_differ && members_settled
            || compares_unsettled
            || endpoints_differ && endpoints_settled
        {
            self.send(to, &[], true, Some(&self.range_digests()), actions);
        } else {
            self.send(to, &[], false, None, actions);
        }
    }

    /// Sends what lies in the ranges in which the tables differ.
    fn compare_ranges(
        &self,
        now: u64,
        to: SocketAddrV4,
        wants_response: bool,
        theirs: &RangeDigests,
        actions: &mut Vec<Action>,
    ) {
        let mine = self.range_digests();
        let is_differing = |member: &&Member| {
            let range = member.digest_range();
            mine.members[range] != theirs.members[range]
        };
        let members = self.members().chain([&self.local]).filter(is_differing);
        let mut items: Vec<Item> = members.cloned().map(Item::Member).collect();
        let ids = self.endpoints.ids_in_differing_ranges(&theirs.endpoints);
        items.extend(
            ids.filter_map(|id| self.endpoints.record(now, id))
                .map(Item::Endpoint),
        );
        if wants_response || !items.is_empty() {
            self.send(to, &items, false, wants_response.then_some(&mine), actions);
        }
    }
}
