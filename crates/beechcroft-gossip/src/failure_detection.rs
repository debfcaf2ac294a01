//! Failure detection: assignment of watchers, pings, and reports of nodes that are down.

use crate::dissemination::{Update, CROSS_REGION_SHARE};
use crate::gossip::{Action, Gossip, ALARM_TTL_MS, DOWN_TIMEOUT_MS};
use crate::message::{Member, MemberState};
use rand::seq::IteratorRandom;
use rand::RngExt;
use rapidhash::v3::rapidhash_v3;
use std::net::SocketAddrV4;

/// Number of watchers of each node within its own region.
const SAME_REGION_WATCHERS: usize = 2;
/// Number of watchers of each node in other regions.
const OTHER_REGION_WATCHERS: usize = 1;
/// Interval between rounds of pings, in milliseconds.
const PING_INTERVAL_MS: u64 = 400;
/// Interval between rounds of pings until the first message has been received, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 60;
/// Gap between two ticks from which this process counts as stalled, in milliseconds. A stalled process does not report
/// others as down, because their answers may be waiting unread.
const STALL_MS: u64 = 250;

impl Gossip {
    /// Advances the clock: sends queued updates and pings that are due, and drops expired entries. The owner calls this
    /// every few tens of milliseconds.
    pub fn tick(&mut self, now: u64, actions: &mut Vec<Action>) {
        if self.is_stalled(now) {
            // Answers may have arrived during the stall and not been read yet.
            self.report_down_from = now + DOWN_TIMEOUT_MS;
            self.trust_reads_from = now + STALL_MS;
        }
        (self.ticked_at, self.clock) = (now, now);
        self.flush_if_due(now, actions);
        if now >= self.next_ping {
            let is_joining = self.last_heard_at == 0;
            let interval = if is_joining {
                JOIN_INTERVAL_MS
            } else {
                PING_INTERVAL_MS
            };
            self.next_ping = now + interval + self.rng.random_range(0..interval / 8);
            self.ping(now, actions);
            self.alarms
                .retain(|_, alarm| alarm.received_at + ALARM_TTL_MS > now);
            self.endpoints.remove_expired(now);
        }
    }

    /// Whether this process has been stalled since its last tick.
    pub(crate) fn is_stalled(&self, now: u64) -> bool {
        self.ticked_at > 0 && now > self.ticked_at + STALL_MS
    }

    fn ping(&mut self, now: u64, actions: &mut Vec<Action>) {
        self.ping_watched(now, actions);
        self.ping_random(actions);
        self.ping_seeds(actions);
    }

    /// Pings the nodes that this one watches, and reports those that have not answered in time as down.
    fn ping_watched(&mut self, now: u64, actions: &mut Vec<Action>) {
        let watched = self.watched_nodes();
        // A node that receives no messages at all is probably isolated itself and reports nobody.
        let is_isolated = now.saturating_sub(self.last_heard_at) > DOWN_TIMEOUT_MS / 2;
        for (name, to) in &watched {
            let peer = self
                .peers
                .get_mut(name)
                .expect("watched nodes are in the table");
            let since = *peer.watched_since.get_or_insert(now);
            let silent_ms = now.saturating_sub(since.max(peer.answered_at));
            let is_silent = silent_ms > peer.down_timeout_ms;
            if is_silent && !is_isolated && now >= self.report_down_from {
                self.report_down(name, actions);
            } else {
                self.send(*to, &[], true, None, actions);
            }
        }
        for (name, peer) in &mut self.peers {
            if !watched.iter().any(|(watched, _)| watched == name) {
                peer.watched_since = None;
            }
        }
    }

    fn report_down(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let before = peer.member.clone();
        peer.member.state = MemberState::Down;
        let after = peer.member.clone();
        self.update_member_digest(Some(&before), &after);
        actions.push(Action::MembersChanged);
        self.enqueue(Update::Member(name.to_owned()));
    }

    /// Pings one more node at random. Nodes that are down are included, so that the sides of a network partition find
    /// each other again once it heals.
    fn ping_random(&mut self, actions: &mut Vec<Action>) {
        let any_region = self.rng.random_bool(CROSS_REGION_SHARE);
        let Gossip {
            peers, local, rng, ..
        } = self;
        let members = peers.values().map(|peer| &peer.member);
        let candidates = members.filter(|member| any_region || member.region == local.region);
        let chosen = candidates.choose(rng).cloned();
        if let Some(to) = chosen.map(|member| self.address(&member)) {
            self.send(to, &[], true, None, actions);
        }
    }

    /// Pings the seeds whose address belongs to no known member, and all seeds while no control node is live.
    fn ping_seeds(&mut self, actions: &mut Vec<Action>) {
        let has_control_nodes = self.live_members().any(|member| member.is_control);
        let ranges = self.range_digests();
        for seed in self.seeds.clone() {
            let is_member = self.members().any(|member| member.ip == *seed.ip());
            if *seed.ip() != self.local.ip && (!has_control_nodes || !is_member) {
                let to = SocketAddrV4::new(*seed.ip(), self.port);
                self.send(to, &[], true, Some(&ranges), actions);
            }
        }
    }

    /// Names and addresses of the nodes that this one watches, cached until the members change.
    fn watched_nodes(&mut self) -> Vec<(String, SocketAddrV4)> {
        if let Some(watched) = &self.watched {
            return watched.clone();
        }
        let watched_members = self
            .live_members()
            .filter(|member| self.is_watcher_of(member));
        let watched: Vec<_> = watched_members
            .map(|member| (member.name.clone(), self.address(member)))
            .collect();
        self.watched = Some(watched.clone());
        watched
    }

    /// Whether rendezvous hashing makes this node a watcher of another one.
    fn is_watcher_of(&self, other: &Member) -> bool {
        let weight = |name: &str| rapidhash_v3(format!("{name} watches {}", other.name).as_bytes());
        let own_weight = weight(&self.local.name);
        let is_same_region = self.local.region == other.region;
        let candidates = self.live_members().filter(|member| {
            member.name != other.name && (member.region == other.region) == is_same_region
        });
        let watchers = if is_same_region {
            SAME_REGION_WATCHERS
        } else {
            OTHER_REGION_WATCHERS
        };
        candidates
            .filter(|member| weight(&member.name) > own_weight)
            .count()
            < watchers
    }
}
