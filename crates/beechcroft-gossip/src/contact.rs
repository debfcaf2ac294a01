//! Quorum contact: whether a majority of the nodes that hold replicas answers this node.
//!
//! Each control node pings the holders of all other replicas. A pong names the ping that it answers, and the evidence
//! is dated by the time at which that ping was *sent*: a message that waited in a socket while this process was
//! stalled proves nothing about the present. A message that answers no ping shows that one direction of the link works
//! and does not count.

use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, VecDeque};

/// Interval between pings to a node that answers, in milliseconds.
pub const PING_INTERVAL_MS: u64 = 500;
/// Interval between pings to a node that has not answered for two intervals, in milliseconds. It is short enough to
/// make up for one or two lost datagrams before contact times out.
const RETRY_INTERVAL_MS: u64 = 200;
/// Age from which an answered ping no longer counts as contact, in milliseconds: four ping intervals and a round trip.
pub const CONTACT_TIMEOUT_MS: u64 = 2500;
/// Number of the latest pings whose pongs are still matched.
const PENDING_PINGS: usize = 64;

/// The nodes that form a quorum with this one, and how many of them must answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quorum {
    /// Names of the nodes that hold replicas, without this node.
    pub others: Vec<String>,
    /// Number of `others` that must answer: a majority of all replicas, minus one if this node holds a replica.
    pub required: usize,
    /// Whether this node holds a replica.
    pub includes_local: bool,
}

impl Quorum {
    /// Number of replicas that make a majority.
    pub fn majority(&self) -> usize {
        self.required + usize::from(self.includes_local)
    }
}

/// Tracks pings and pongs to decide whether this node is in contact with a quorum.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    /// Number of the latest ping.
    last_ping: u32,
    /// Number and send time of the latest pings, oldest first.
    pending: VecDeque<(u32, u64)>,
    /// Time of the latest ping to each node.
    pinged_at: BTreeMap<String, u64>,
    /// Latest answer of each node.
    answers: BTreeMap<String, PingAnswer>,
    /// Result of the last `refresh`, sent in pongs.
    has_contact: bool,
}

/// The latest ping that a node has answered.
#[derive(Clone, Copy, Debug)]
struct PingAnswer {
    /// Send time of that ping.
    sent_at: u64,
    /// Whether the answering node reported that it is in contact with a quorum.
    in_contact: bool,
}

impl QuorumContact {
    /// Starts without contact. Each process draws a random `first_ping`, so that a pong for an earlier process of the
    /// same node matches no ping of this one.
    pub fn new(first_ping: u32) -> QuorumContact {
        QuorumContact {
            last_ping: first_ping,
            ..QuorumContact::default()
        }
    }

    /// Returns the number of the next ping and the nodes that it is due to, and records it as sent at `now`.
    pub fn next_pings(&mut self, now: u64, quorum: &Quorum) -> (u32, Vec<String>) {
        self.answers.retain(|name, _| quorum.others.contains(name));
        self.pinged_at
            .retain(|name, _| quorum.others.contains(name));
        let interval = |name: &String| match self.answers.get(name) {
            Some(answer) if now.saturating_sub(answer.sent_at) <= 2 * PING_INTERVAL_MS => {
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

    /// Records a pong of the named node. Pongs that match no pending ping are ignored.
    pub fn on_pong(&mut self, name: &str, ping: u32, in_contact: bool) {
        let sent = self.pending.iter().find(|(number, _)| *number == ping);
        let Some(&(_, sent_at)) = sent.filter(|_| self.pinged_at.contains_key(name)) else {
            return;
        };
        if self
            .answers
            .get(name)
            .is_none_or(|answer| answer.sent_at <= sent_at)
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

    /// Records a message that need not answer a ping. It counts as contact only while the safeguard is disabled.
    pub fn on_message(&mut self, now: u64, name: &str) {
        if !Safeguard::TwoWayContact.is_enabled() {
            let answer = PingAnswer {
                sent_at: now,
                in_contact: true,
            };
            self.answers.insert(name.to_owned(), answer);
        }
    }

    /// The answers of the quorum's nodes that are not older than [`CONTACT_TIMEOUT_MS`].
    fn recent_answers<'a>(
        &'a self,
        now: u64,
        quorum: &'a Quorum,
    ) -> impl Iterator<Item = (&'a String, PingAnswer)> {
        let answers = quorum
            .others
            .iter()
            .filter_map(|name| Some((name, *self.answers.get(name)?)));
        answers.filter(move |(_, answer)| now <= answer.sent_at.saturating_add(CONTACT_TIMEOUT_MS))
    }

    /// Nodes that have answered recently and reported to be in contact with a quorum themselves.
    pub fn nodes_in_contact<'a>(
        &'a self,
        now: u64,
        quorum: &'a Quorum,
    ) -> impl Iterator<Item = &'a String> {
        self.recent_answers(now, quorum)
            .filter(|(_, answer)| answer.in_contact)
            .map(|(name, _)| name)
    }

    /// Whether the required number of nodes has answered recently.
    pub fn is_established(&self, now: u64, quorum: &Quorum) -> bool {
        self.recent_answers(now, quorum).count() >= quorum.required
    }

    /// Recomputes the contact state that pongs of this node report.
    pub fn refresh(&mut self, now: u64, quorum: &Quorum) {
        self.has_contact = self.is_established(now, quorum);
    }

    /// Whether this node was in contact at the last [`refresh`](Self::refresh).
    pub fn has_contact(&self) -> bool {
        self.has_contact
    }
}
