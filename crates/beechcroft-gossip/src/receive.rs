//! Handling of received messages: merging items, comparing tables, refuting false reports.

use crate::dissemination::Update;
use crate::gossip::{Action, Gossip, MissingRevision, Peer, ReceivedAlarm};
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

/// Upper bound of [`Peer::down_timeout_ms`], which doubles with each false report, in milliseconds.
const MAX_DOWN_TIMEOUT_MS: u64 = 10_000;
/// Share of the responses that compare tables which differ but have not settled. Without it, tables that change all
/// the time would never be compared.
const COMPARE_UNSETTLED_SHARE: f64 = 0.1;
/// How long a node waits for a newer register value to reach its region before it fetches the value from another
/// region, in milliseconds.
const FETCH_DELAY_MS: u64 = 350;

impl Gossip {
    /// Handles a received message. `from` is the source address of the datagram, to which responses are sent.
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
            Some(remote) => self.compare_ranges(now, from, wants_response, &remote, actions),
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
        // Tells a node at once that it was reported as down, so that it refutes the report.
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
                let was_falsely_down =
                    before.state == MemberState::Down && before.incarnation == member.incarnation;
                if was_falsely_down {
                    // Each false report and its refutation are disseminated to the whole fleet.
                    peer.down_timeout_ms = (peer.down_timeout_ms * 2).min(MAX_DOWN_TIMEOUT_MS);
                }
                Some(before)
            }
            Some(_) => return,
        };
        self.update_member_digest(before.as_ref(), &member);
        self.enqueue(Update::Member(name));
        actions.push(Action::MembersChanged);
    }

    /// Refutes a report of another node about this one: raises the version, so that this node's own report wins.
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
            MergeOutcome::Warmup => actions.push(Action::EndpointWarmup(id)),
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
        let action = match self.endpoints.merge(now, record) {
            MergeOutcome::Heartbeat => Action::EndpointHeartbeat(id.clone()),
            MergeOutcome::Warmup => Action::EndpointWarmup(id.clone()),
            MergeOutcome::Changed | MergeOutcome::Unchanged => return,
        };
        self.enqueue(Update::Heartbeat(id));
        actions.push(action);
    }

    fn merge_alarm(&mut self, now: u64, update: AlarmUpdate, actions: &mut Vec<Action>) {
        let key = (update.proxy.clone(), update.service.clone());
        let number = |update: &AlarmUpdate| (update.incarnation, update.sequence);
        let latest = self.alarms.get(&key);
        let is_new = latest.is_none_or(|latest| number(&update) > number(&latest.update));
        if is_new && update.proxy != self.local.name {
            self.alarms.insert(
                key,
                ReceivedAlarm {
                    update: update.clone(),
                    received_at: now,
                },
            );
            self.enqueue(Update::Alarm(update.clone()));
            actions.push(Action::Alarm(update));
        }
    }

    fn merge_hot_keys(&mut self, update: HotKeyUpdate, actions: &mut Vec<Action>) {
        let proxy = self.member(&update.proxy);
        let is_same_region = proxy.is_some_and(|proxy| proxy.region == self.local.region);
        let key = (update.proxy.clone(), update.service.clone());
        let number = (update.incarnation, update.sequence);
        let is_new = self
            .hot_keys_seen
            .get(&key)
            .is_none_or(|&latest| latest < number);
        if is_same_region && is_new {
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
            .is_none_or(|&latest| latest < number);
        if observation.proxy != self.local.name && is_new {
            self.observations_seen.insert(key, number);
            self.enqueue(Update::Observation(observation.clone()));
            actions.push(Action::Observation(observation));
        }
    }

    /// Merges the quorum read of a message. Its age was computed when the message was sent, so a message that waited
    /// unread while this process was stalled would make the read look newer than it is, and is ignored.
    fn merge_quorum_read(&mut self, now: u64, digests: &TableDigests) {
        let may_be_delayed = Safeguard::FreshQuorumReads.is_enabled()
            && (self.is_stalled(now) || now < self.trust_reads_from);
        if let Some(read) = digests.quorum_read.filter(|_| !may_be_delayed) {
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
            if is_newer && self.should_fetch(now, register, revision, sender) {
                actions.push(Action::FetchRegister {
                    from,
                    register,
                    revision,
                });
            }
        }
    }

    /// Whether this node fetches a newer register value from the named peer.
    ///
    /// Values are large, and traffic between regions is the most expensive: one node of each region, chosen by
    /// rendezvous hashing, fetches from another region, and the other nodes fetch from nodes of their own region. They
    /// fetch from other regions as well if the value has not reached their region after [`FETCH_DELAY_MS`].
    fn should_fetch(
        &mut self,
        now: u64,
        register: RegisterId,
        revision: Revision,
        from: &str,
    ) -> bool {
        let local = &self.local;
        let is_same_region = self
            .peers
            .get(from)
            .is_none_or(|peer| peer.member.region == local.region);
        // The delay counts from the oldest revision that is missing, whichever peer reported it.
        let missing = &mut self.missing[register];
        if missing.revision <= self.revisions[register] {
            *missing = MissingRevision {
                revision,
                since: now,
            };
        }
        let is_delay_over = now >= missing.since + FETCH_DELAY_MS;
        let weight = |name: &str| rapidhash_v3(format!("{name} fetches").as_bytes());
        let own_weight = weight(&self.local.name);
        let mut neighbours = self
            .live_members()
            .filter(|member| member.region == self.local.region);
        // A node without any value cannot serve requests, so it fetches from the first peer that has one.
        let has_no_value = self.revisions[register] == Revision::NONE;
        is_same_region
            || has_no_value
            || is_delay_over
            || neighbours.all(|member| weight(&member.name) < own_weight)
    }

    /// Responds to a message without range digests. The response carries them if the tables differ and have settled.
    fn respond(&mut self, to: SocketAddrV4, remote: &TableDigests, actions: &mut Vec<Action>) {
        let local = self.table_digests();
        let members_differ = local.members != remote.members;
        let endpoints_differ = local.endpoints != remote.endpoints;
        let members_settled = local.settled.members && remote.settled.members;
        let endpoints_settled = local.settled.endpoints && remote.settled.endpoints;
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

    /// Sends the entries of the ranges in which the tables differ, and this node's own range digests if the peer wants
    /// a response.
    fn compare_ranges(
        &self,
        now: u64,
        to: SocketAddrV4,
        wants_response: bool,
        remote: &RangeDigests,
        actions: &mut Vec<Action>,
    ) {
        let local = self.range_digests();
        let is_in_differing_range = |member: &&Member| {
            let range = member.digest_range();
            local.members[range] != remote.members[range]
        };
        let members = self
            .members()
            .chain([&self.local])
            .filter(is_in_differing_range);
        let mut items: Vec<Item> = members.cloned().map(Item::Member).collect();
        let ids = self.endpoints.ids_in_differing_ranges(&remote.endpoints);
        items.extend(
            ids.filter_map(|id| self.endpoints.record(now, id))
                .map(Item::Endpoint),
        );
        if wants_response || !items.is_empty() {
            self.send(to, &items, false, wants_response.then_some(&local), actions);
        }
    }
}
