//! Whether a hut is in contact with a majority of the voters: two-way evidence, no older than a few pings.
//!
//! Each hut pings the machines of all other voters. An answer names the ping that it answers, and counts from the time at
//! which that ping was *sent*: what lay in a socket while this process was frozen, or came by the one way that was left, is no
//! evidence of now. A letter that answers nothing shows one way only and does not count.

use beechcroft_safeguards::Safeguard;
use std::collections::{BTreeMap, VecDeque};

/// Between the pings to a machine that answers.
pub const PING_MS: u64 = 500;
/// The same to one that has not answered for two of them, so that a lost letter or two are made good in time.
const AGAIN_MS: u64 = 200;
/// Evidence older than this does not count: four pings and the way there and back.
pub const CONTACT_MS: u64 = 2500;
/// Pings whose answers are still looked for.
const SENT: usize = 64;

/// The machines that make a quorum, and how many of them must have answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quorum {
    /// Machines other than this one, by name.
    pub others: Vec<String>,
    /// Of these, how many: a majority of all, less this machine if it is one of them.
    pub need: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Contact {
    next: u32,
    sent: VecDeque<(u32, u64)>,
    /// Of each machine: when it was last pinged, and when the latest ping that it has answered was sent.
    pinged: BTreeMap<String, u64>,
    answered: BTreeMap<String, Answered>,
    held: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answered {
    /// When the ping was sent.
    at: u64,
    /// Whether the other one said that it is in contact itself.
    contact: bool,
}

impl Contact {
    /// `from`: a number drawn by each process, so that an answer to a former process answers nothing.
    pub fn new(from: u32) -> Contact {
        Contact {
            next: from,
            ..Contact::default()
        }
    }

    /// The machines that are to be pinged now, and the number of that ping.
    pub fn due(&mut self, now: u64, quorum: &Quorum) -> (u32, Vec<String>) {
        self.answered.retain(|name, _| quorum.others.contains(name));
        self.pinged.retain(|name, _| quorum.others.contains(name));
        let wait = |name: &String| match self.answered.get(name) {
            Some(held) if now.saturating_sub(held.at) <= 2 * PING_MS => PING_MS,
            _ => AGAIN_MS,
        };
        let is_due = |name: &&String| {
            self.pinged
                .get(*name)
                .is_none_or(|at| now >= at + wait(name))
        };
        let due: Vec<String> = quorum.others.iter().filter(is_due).cloned().collect();
        if due.is_empty() {
            return (self.next, due);
        }
        self.next = self.next.wrapping_add(1);
        self.sent.push_back((self.next, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
        for name in &due {
            self.pinged.insert(name.clone(), now);
        }
        (self.next, due)
    }

    /// A machine answers a ping.
    pub fn answered(&mut self, name: &str, number: u32, contact: bool) {
        let Some(&(_, at)) = self.sent.iter().find(|(sent, _)| *sent == number) else {
            return;
        };
        if !self.pinged.contains_key(name) {
            return;
        }
        if self.answered.get(name).is_none_or(|held| held.at <= at) {
            self.answered
                .insert(name.to_owned(), Answered { at, contact });
        }
    }

    /// A letter has come that answers nothing: no evidence while the guard stands.
    pub fn heard(&mut self, now: u64, name: &str) {
        if !Safeguard::TwoWayContact.is_enabled() {
            self.answered.insert(
                name.to_owned(),
                Answered {
                    at: now,
                    contact: true,
                },
            );
        }
    }

    fn reached<'a>(
        &'a self,
        now: u64,
        quorum: &'a Quorum,
    ) -> impl Iterator<Item = (&'a String, Answered)> {
        let answers = quorum
            .others
            .iter()
            .filter_map(|name| Some((name, *self.answered.get(name)?)));
        answers.filter(move |(_, held)| now <= held.at.saturating_add(CONTACT_MS))
    }

    /// The machines that have answered a ping of late and said that they are in contact themselves.
    pub fn in_contact<'a>(
        &'a self,
        now: u64,
        quorum: &'a Quorum,
    ) -> impl Iterator<Item = &'a String> {
        self.reached(now, quorum)
            .filter(|(_, held)| held.contact)
            .map(|(name, _)| name)
    }

    pub fn holds(&self, now: u64, quorum: &Quorum) -> bool {
        self.reached(now, quorum).count() >= quorum.need
    }

    /// Notes what others are told who ask.
    pub fn note(&mut self, now: u64, quorum: &Quorum) {
        self.held = self.holds(now, quorum);
    }

    /// As last noted.
    pub fn held(&self) -> bool {
        self.held
    }
}
