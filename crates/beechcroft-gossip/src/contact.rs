//! Quorum contact: whether a majority of the replicas' nodes answers this node.
//!
//! Each control node pings the holders of all other replicas. An answer names the ping that it answers and counts
//! from the time at which that ping was *sent*. Whatever lay in a socket while this process was stalled, or came over
//! the one direction of a link that was left, is no evidence of the present. A message that answers no ping shows one
//! direction only and does not count.

use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, VecDeque};

/// Between pings to a node that answers, in milliseconds.
pub const PING_INTERVAL_MS: u64 = 500;
/// Between pings to a node that has not answered for two intervals, so that a lost datagram or two are made good in
/// time.
const RETRY_INTERVAL_MS: u64 = 200;
/// Evidence older than this does not count, in milliseconds: four pings and a round trip.
pub const CONTACT_TIMEOUT_MS: u64 = 2500;
/// Pings whose answers are still recognised.
const PENDING_PINGS: usize = 64;

/// The nodes that make a quorum, and how many of them must answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quorum {
    /// The names of the nodes, without this one.
    pub others: Vec<String>,
    /// How many of them are needed: a majority of all, less this node if it is one of them.
    pub required: usize,
}

/// The evidence of contact with a quorum.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    /// The number of the latest ping.
    last_ping: u32,
    /// The latest pings with the times at which they were sent.
    pending: VecDeque<(u32, u64)>,
    /// When each node was last pinged.
    pinged_at: BTreeMap<String, u64>,
    answers: BTreeMap<String, PingAnswer>,
    has_contact: bool,
}

/// The latest ping that a node has answered.
#[derive(Clone, Copy, Debug)]
struct PingAnswer {
    /// When that ping was sent.
    sent_at: u64,
    /// Whether the node said that it is in contact with a quorum itself.
    in_contact: bool,
}

impl QuorumContact {
    /// No node has answered. `first_ping` is drawn by each process, so that an answer to a former process answers
    /// nothing.
    pub fn new(first_ping: u32) -> QuorumContact {
        QuorumContact {
            last_ping: first_ping,
            ..QuorumContact::default()
        }
    }

    /// The number of the ping to send now, and the nodes to send it to.
    pub fn next_pings(&mut self, now: u64, quorum: &Quorum) -> (u32, Vec<String>) {
        self.answers.retain(|name, _| quorum.others.contains(name));
        self.pinged_at
            .retain(|name, _| quorum.others.contains(name));
        let interval = |name: &String| match self.answers.get(name) {
            Some(held) if now.saturating_sub(held.sent_at) <= 2 * PING_INTERVAL_MS => {
                PING_INTERVAL_MS
            }
            _ => RETRY_INTERVAL_MS,
        };
        let is_due = |name: &&String| {
            self.pinged_at
                .get(*name)
                .is_none_or(|at| now >= at + interval(name))
        };
        let due: Vec<String> = quorum.others.iter().filter(is_due).cloned().collect();
        if due.is_empty() {
            return (self.last_ping, due);
        }
        self.last_ping = self.last_ping.wrapping_add(1);
        self.pending.push_back((self.last_ping, now));
        if self.pending.len() > PENDING_PINGS {
            self.pending.pop_front();
        }
        for name in &due {
            self.pinged_at.insert(name.clone(), now);
        }
        (self.last_ping, due)
    }

    /// A node has answered a ping.
    pub fn on_pong(&mut self, name: &str, ping: u32, in_contact: bool) {
        let sent = self.pending.iter().find(|(number, _)| *number == ping);
        let Some(&(_, sent_at)) = sent.filter(|_| self.pinged_at.contains_key(name)) else {
            return;
        };
        if self
            .answers
            .get(name)
            .is_none_or(|held| held.sent_at <= sent_at)
        {
            self.answers.insert(
                name.to_owned(),
                PingAnswer {
                    sent_at,
                    in_contact,
                },
            );
        }
    }

    /// A message has come that answers no ping: no evidence while the safeguard is enabled.
    pub fn on_message(&mut self, now: u64, name: &str) {
        if !Safeguard::TwoWayContact.is_enabled() {
            let answer = PingAnswer {
                sent_at: now,
                in_contact: true,
            };
            self.answers.insert(name.to_owned(), answer);
        }
    }

    fn recent_answers<'a>(
        &'a self,
        now: u64,
        quorum: &'a Quorum,
    ) -> impl Iterator<Item = (&'a String, PingAnswer)> {
        let answers = quorum
            .others
            .iter()
            .filter_map(|name| Some((name, *self.answers.get(name)?)));
        answers.filter(move |(_, held)| now <= held.sent_at.saturating_add(CONTACT_TIMEOUT_MS))
    }

    /// The nodes that have answered of late and said that they are in contact with a quorum themselves.
    pub fn nodes_in_contact<'a>(
        &'a self,
        now: u64,
        quorum: &'a Quorum,
    ) -> impl Iterator<Item = &'a String> {
        self.recent_answers(now, quorum)
            .filter(|(_, held)| held.in_contact)
            .map(|(name, _)| name)
    }

    /// Whether as many nodes as are required have answered of late.
    pub fn is_established(&self, now: u64, quorum: &Quorum) -> bool {
        self.recent_answers(now, quorum).count() >= quorum.required
    }

    /// Updates what nodes are told that ping this one.
    pub fn refresh(&mut self, now: u64, quorum: &Quorum) {
        self.has_contact = self.is_established(now, quorum);
    }

    /// Whether this node is in contact, as of the last refresh.
    pub fn has_contact(&self) -> bool {
        self.has_contact
    }
}
