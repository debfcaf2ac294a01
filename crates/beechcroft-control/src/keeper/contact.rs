//! What a hut may say of its own: only while it is in contact with a majority of the voters' machines.
//!
//! Reads need no such word: each goes through a round of ballots, which only a majority can end. What no round stands
//! behind does: beats, drains and ends of units, where clients go, how rollouts go on. An order would end in a round too;
//! it is refused at once, so that its sender goes to another hut and does not wait.

use super::*;
use beechcroft_error::ErrorKind;
use beechcroft_safeguards::Safeguard;

const LOOK_EVERY_MS: u64 = 100;
/// Until a drain that no majority has confirmed is refused: its unit asks another hut after a second.
const HOLD_WITHIN: Duration = Duration::from_millis(700);
/// A hut sends clients to edges for so long after the last letter came.
const HEARD_MS: u64 = 2500;
/// Of edges that a hut without contact names: they have written to it themselves, not longer ago than this.
const EDGE_HEARD_MS: u64 = 10_000;
/// At the first start of the whole system, until voters are named.
const FOUNDING_MS: u64 = 3000;

/// Reads of both registers' revisions: those who ask while one is under way share the next.
#[derive(Default)]
pub(super) struct Reads {
    waiting: Vec<oneshot::Sender<Result<[u64; 2], Error>>>,
    under_way: bool,
}

pub(super) fn out_of_touch() -> Error {
    Error::new(
        ErrorKind::NoQuorumContact,
        "this hut does not reach a majority of the core; another one may",
    )
}

impl Keeper {
    /// The machines of the other voters, and how many of them make a majority.
    pub(super) fn look_for_quorum(&mut self, now: u64) {
        if now < self.quorum_at {
            return;
        }
        self.quorum_at = now + LOOK_EVERY_MS;
        let me = &self.cairns.me.name;
        let holder = |epochs: &beechcroft_consensus::Epochs, voter_id: &String| {
            epochs
                .get(voter_id)
                .map_or_else(|| voter_id.clone(), |(_, holder)| holder.clone())
        };
        let (machines, all, votes): (BTreeSet<String>, usize, bool) =
            match (&self.voter.identity, self.memberships.told()) {
                (Some(identity), _) => {
                    let holders = identity
                        .voters
                        .iter()
                        .map(|voter_id| holder(&identity.epochs, voter_id));
                    (holders.collect(), identity.voters.len(), true)
                }
                (None, Some((voters, epochs))) => (
                    voters
                        .iter()
                        .map(|voter_id| holder(epochs, voter_id))
                        .collect(),
                    voters.len(),
                    false,
                ),
                // Voters are not known: among the machines that may be some, a majority of as many as there will be.
                (None, None) => {
                    let known = self.cairns.known().filter(|m| m.core && m.quorum);
                    let known: BTreeSet<String> = known.map(|m| m.name.clone()).collect();
                    let mine = self.fresh && self.settings.quorum_member;
                    let least = 2 * self.settings.fault_tolerance.node_losses + 1;
                    let all = least.max(known.len() + usize::from(mine));
                    (known, all, mine)
                }
            };
        let others = machines.into_iter().filter(|name| name != me).collect();
        self.quorum = Quorum {
            others,
            need: (all / 2 + 1).saturating_sub(usize::from(votes)),
        };
        self.held_widely
            .retain(|id, _| self.cairns.units.get(id).is_some());
    }

    pub(super) fn in_contact(&self, now: u64) -> bool {
        // Before the first look nobody has been pinged.
        self.quorum_at > 0 && self.cairns.in_contact(now, &self.quorum)
    }

    /// Of the huts that are in contact, one takes on what any may do, whatever gossip says of those that are not.
    pub(super) fn is_first(&self, now: u64) -> bool {
        self.cairns.is_first(now, &self.quorum)
    }

    fn is_founding(&self, now: u64) -> bool {
        self.voter.identity.is_none() && self.fresh && now < 10_000 + FOUNDING_MS
    }

    fn may_serve(&self, now: u64) -> Done {
        match self.in_contact(now) || !Safeguard::QuorumContactToServe.is_enabled() {
            true => Ok(()),
            false => Err(out_of_touch()),
        }
    }

    /// An order is not even proposed by a hut without contact. A read is: its round shows whether there is a majority.
    pub(super) fn may_order(&self, now: u64, op: &Op) -> Done {
        match (&self.voter.identity, op) {
            // At the first start orders wait for the voters to be named.
            (None, _) if self.is_founding(now) => Ok(()),
            (None, _) => Err(out_of_touch()),
            (Some(_), Op::Read) => Ok(()),
            (Some(_), _) => self.may_serve(now),
        }
    }

    pub(super) fn beat(
        &mut self,
        now: u64,
        note: Note,
        done: oneshot::Sender<Done>,
        news: &mut Vec<News>,
    ) {
        if let Err(fault) = self.may_serve(now) {
            let _ = done.send(Err(fault));
            return;
        }
        let (id, state) = (note.id.clone(), note.state);
        let changed = self.cairns.beat(now, note) == UnitNews::Change;
        self.units_new |= changed;
        if state == State::Ready {
            let _ = done.send(Ok(()));
        } else if changed || Safeguard::RepeatedDrainOnMajority.is_enabled() {
            // Also when it is not new here: it may have come by another hut that could not confirm it.
            self.tell_majority(now, &id, state, done, news);
        } else {
            let _ = done.send(Ok(()));
        }
    }

    pub(super) fn deregister(
        &mut self,
        now: u64,
        id: &str,
        done: oneshot::Sender<Done>,
        news: &mut Vec<News>,
    ) {
        if let Err(fault) = self.may_serve(now) {
            let _ = done.send(Err(fault));
            return;
        }
        self.units_new |= self.cairns.unit_ends(now, id);
        self.tell_majority(now, id, State::Gone, done, news);
    }

    /// A drain or an end is acknowledged once a majority of the core machines holds it, this one among them if it votes: then
    /// every edge that is in touch with the core hears of it, whichever machines are lost or cut off afterwards.
    fn tell_majority(
        &mut self,
        now: u64,
        id: &str,
        state: State,
        done: oneshot::Sender<Done>,
        news: &mut Vec<News>,
    ) {
        let need = if Safeguard::DrainOnMajority.is_enabled() {
            self.quorum.need
        } else {
            0
        };
        let known = self.held_widely.get(id).is_some_and(|held| *held >= state);
        let Some(note) = self
            .cairns
            .units
            .note(now, id)
            .filter(|_| !known && need > 0)
        else {
            let _ = done.send(Ok(()));
            return;
        };
        self.cairns.hurry(now, news);
        let state = note.state;
        let Ok(bytes) = postcard::to_stdvec(&note) else {
            return;
        };
        let (told, mut heard) = mpsc::unbounded_channel();
        let members = self
            .quorum
            .others
            .iter()
            .filter_map(|name| self.cairns.member(name));
        for to in members.map(|member| self.cairns.address(member)) {
            let (errands, bytes, told) = (self.errands.clone(), bytes.clone(), told.clone());
            spawn_local(async move {
                if errands.run(to, "/unit", bytes, HOLD_WITHIN).await.is_ok() {
                    let _ = told.send(());
                }
            });
        }
        drop(told);
        let (queue, id) = (self.queue.clone(), id.to_owned());
        spawn_local(async move {
            let mut held = 0;
            while held < need && heard.recv().await.is_some() {
                held += 1;
            }
            let answer = if held >= need {
                let _ = queue.send(Command::HeldByMajority(id, state));
                Ok(())
            } else {
                // Some may hold it, and it may still go round: no promise that nothing was done.
                Err(Error::new(
                    ErrorKind::NoQuorum,
                    "no majority of the core holds it yet",
                ))
            };
            let _ = done.send(answer);
        });
    }

    /// A linearizable read of both registers' revisions: what was acknowledged before it was asked for is counted in. A relay
    /// that starts goes by nothing older.
    pub(super) fn revisions(&mut self, now: u64, answer: oneshot::Sender<Result<[u64; 2], Error>>) {
        if self.is_founding(now) && self.in_contact(now) && self.cairns.revisions == [0; 2] {
            // No voters yet, so nothing is chosen.
            let _ = answer.send(Ok([0; 2]));
            return;
        }
        if self.voter.identity.is_none() || !self.in_contact(now) {
            let _ = answer.send(Err(out_of_touch()));
            return;
        }
        self.reads.waiting.push(answer);
        self.read_revisions();
    }

    pub(super) fn revisions_read(&mut self) {
        self.reads.under_way = false;
        self.read_revisions();
    }

    fn read_revisions(&mut self) {
        if self.reads.under_way || self.reads.waiting.is_empty() {
            return;
        }
        self.reads.under_way = true;
        let waiting = std::mem::take(&mut self.reads.waiting);
        let mut reads = Vec::new();
        for register in [CONFIG, ORDERS] {
            let (answer, told) = oneshot::channel();
            self.answers.insert(self.next_order + 1, answer);
            self.order(register, Op::Read);
            reads.push(told);
        }
        let queue = self.queue.clone();
        spawn_local(async move {
            let mut read = Ok([0; 2]);
            for (register, told) in reads.into_iter().enumerate() {
                match (told.await, &mut read) {
                    (Ok(Ok(value)), Ok(revisions)) => revisions[register] = value.revision,
                    (Ok(Err(fault)), Ok(_)) => read = Err(fault),
                    (Err(_), Ok(_)) => read = Err(out_of_touch()),
                    (_, Err(_)) => {}
                }
            }
            for answer in waiting {
                let _ = answer.send(read.clone());
            }
            let _ = queue.send(Command::RevisionsRead);
        });
    }

    /// Where a client goes: the ready edges of its region, else all. A hut that hears nobody names none, since the edges that
    /// it knows may long be gone; its clients have other huts. One that hears edges but no majority is on a side of its own
    /// with them, and its clients may have no other: it names those that have written to it themselves.
    pub(super) fn resolve(&self, now: u64, region: &str, _zone: &str) -> Vec<SocketAddrV4> {
        let fresh = |at: u64, within: u64| now <= at.saturating_add(within);
        if Safeguard::PeersHeardBeforeResolve.is_enabled()
            && !fresh(self.cairns.heard_at(), HEARD_MS)
        {
            return Vec::new();
        }
        let contact = self.in_contact(now);
        let heard = |m: &&Member| contact || fresh(self.cairns.heard_of(&m.name), EDGE_HEARD_MS);
        let ready = || {
            let ready = self
                .cairns
                .alive()
                .filter(|m| m.standing == Standing::Ready && m.ingress.is_some());
            ready.filter(heard)
        };
        let mut found: Vec<SocketAddrV4> = ready()
            .filter(|m| m.region == region)
            .filter_map(|m| m.ingress)
            .collect();
        if found.is_empty() {
            found = ready().filter_map(|m| m.ingress).collect();
        }
        found.truncate(64);
        found
    }
}
