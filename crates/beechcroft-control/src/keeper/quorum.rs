//! Who votes: the first voters, a lost disk, a membership whose machine is gone.

use super::*;
use beechcroft_consensus::voter::learn;
use beechcroft_consensus::{Epochs, VoterEpoch};

/// What a core machine knows of memberships beside its voter.
#[derive(Default)]
pub(super) struct Memberships {
    /// Its membership is on disk and in force.
    pub votes: bool,
    /// The voters and which machine holds each membership, as told to this machine while it has none; and when it asked.
    told_voters: Option<(Vec<String>, Epochs)>,
    told_at: u64,
    /// Memberships whose machines are down or leave, and since when.
    vacant: BTreeMap<String, u64>,
    fence_at: u64,
    /// What each core machine is known to know of epochs.
    epochs_of: BTreeMap<String, Epochs>,
    tell_at: u64,
    /// By register and membership: under which ballot it has accepted, as rounds of this machine saw.
    accepted_by: [BTreeMap<String, Ballot>; 2],
    /// Since when this machine leaves, and whether it held a membership then.
    leaving: Option<(u64, bool)>,
    read_at: u64,
    /// Another machine votes in its place.
    handed_over: bool,
}

impl Memberships {
    /// The voters and who holds each membership, for a machine that has none.
    pub fn told(&self) -> Option<&(Vec<String>, Epochs)> {
        self.told_voters.as_ref()
    }
}

impl Keeper {
    /// The machine that holds a membership, as far as is known.
    pub(super) fn holder(&self, voter_id: &str) -> String {
        let epochs = self
            .voter
            .identity
            .as_ref()
            .map(|identity| &identity.epochs);
        let epochs = epochs.or(self
            .memberships
            .told_voters
            .as_ref()
            .map(|(_, epochs)| epochs));
        epochs
            .and_then(|epochs| epochs.get(voter_id))
            .map_or_else(|| voter_id.to_owned(), |(_, holder)| holder.clone())
    }

    /// Others know of memberships that have been taken over, this machine's own perhaps.
    pub(super) fn learn_epochs(&mut self, epochs: &Epochs) {
        if let Some(records) = self.voter.learn(epochs) {
            self.put_down(records);
        }
        if self.voter.identity.is_none() {
            if let Some((_, held)) = &mut self.memberships.told_voters {
                learn(held, epochs);
            }
        }
        self.deposed();
    }

    /// Once another machine takes this one's membership: it does not vote any more, and waits with what it knows of the others.
    pub(super) fn deposed(&mut self) {
        let Some(former) = self.voter.former().filter(|_| self.memberships.votes) else {
            return;
        };
        log::warn!(
            "keeper: Another machine takes this one's membership; it does not vote any more."
        );
        self.memberships.told_voters = Some((former.voters.clone(), former.epochs.clone()));
        self.memberships.told_at = self.now();
        self.memberships.votes = false;
        self.votes();
    }

    /// A core machine says what it knows of epochs.
    pub(super) fn told(&mut self, by: Option<VoterEpoch>, epochs: &Epochs) {
        if let (Some((voter_id, epoch)), Some(former)) = (by, self.voter.former()) {
            self.memberships.handed_over |= voter_id == former.voter_id && epoch > former.epoch;
        }
        self.learn_epochs(epochs);
    }

    /// The answer to what this machine told.
    pub(super) fn known(&mut self, from: String, told: Epochs, reply: Reply) {
        if let Reply::Known { voters, epochs } = reply {
            if self.voter.identity.is_none() {
                match &mut self.memberships.told_voters {
                    Some((_, held)) => drop(learn(held, &epochs)),
                    None => {
                        self.memberships.told_voters = Some((voters, epochs.clone()));
                        self.memberships.fence_at = 0;
                        self.votes();
                    }
                }
            }
            self.learn_epochs(&epochs);
        }
        self.memberships.epochs_of.insert(from, told);
    }

    /// Tells other core machines of epochs until each has said that it knows them: a voter that was cut off while its membership
    /// was taken must hear of it before it is counted on.
    pub(super) fn tell_epochs(&mut self, now: u64) {
        let Some(identity) = self
            .voter
            .identity
            .as_ref()
            .filter(|_| self.memberships.votes)
        else {
            return;
        };
        if now < self.memberships.tell_at || !Safeguard::EpochsAnnounced.is_enabled() {
            return;
        }
        self.memberships.tell_at = now + FENCE_EVERY_MS;
        let epochs = identity.epochs.clone();
        let by = Some((identity.voter_id.clone(), identity.epoch));
        let lacks = |m: &&Member| {
            m.core && m.quorum && self.memberships.epochs_of.get(&m.name) != Some(&epochs)
        };
        let to: Vec<String> = self
            .cairns
            .alive()
            .filter(lacks)
            .map(|m| m.name.clone())
            .collect();
        self.tell_them(to, by, epochs);
    }

    fn tell_them(&self, names: Vec<String>, by: Option<VoterEpoch>, epochs: Epochs) {
        let ask = postcard::to_stdvec(&Ask::Tell {
            by,
            epochs: epochs.clone(),
        })
        .expect("plain data");
        for from in names {
            let (queue, told) = (self.queue.clone(), epochs.clone());
            self.ask_other(from.clone(), ask.clone(), move |reply| {
                let _ = queue.send(Command::Known { from, told, reply });
            });
        }
    }

    /// Asks another core machine; nothing happens where no answer comes.
    fn ask_other(&self, name: String, ask: Vec<u8>, then: impl FnOnce(Reply) + 'static) {
        let Some(to) = self.cairns.member(&name).map(|m| self.cairns.address(m)) else {
            return;
        };
        let errands = self.errands.clone();
        spawn_local(async move {
            let reply = errands.run(to, "/ask", ask, ASK_WITHIN).await;
            if let Some(reply) = reply
                .ok()
                .and_then(|bytes| postcard::from_bytes(&bytes).ok())
            {
                then(reply);
            }
        });
    }

    /// No identity yet: the first start of the whole system, or a disk that was lost.
    pub(super) fn settle(&mut self, now: u64) {
        if !self.settings.quorum_member {
            return;
        }
        let me = self.cairns.me.name.clone();
        let me_again = me.clone();
        let mut names: Vec<String> = self
            .cairns
            .known()
            .filter(|m| m.core && m.quorum)
            .map(|m| m.name.clone())
            .collect();
        if self.fresh {
            names.push(me);
            names.sort();
            let need = 2 * self.settings.fault_tolerance.node_losses + 1;
            if names.len() != self.cores.0 {
                self.cores = (names.len(), now);
            }
            if names.len() >= need && now >= self.cores.1 + SETTLE_MS {
                names.truncate(need);
                if !names.contains(&self.cairns.me.name) {
                    // It waits for a membership from here on.
                    self.fresh = false;
                    return;
                }
                log::info!("keeper: The first voters are {names:?}.");
                self.fresh = false;
                self.voter.found(names);
                self.keep_identity();
            }
            return;
        }
        if now < self.memberships.fence_at || self.memberships.leaving.is_some() {
            return;
        }
        self.memberships.fence_at = now + FENCE_EVERY_MS;
        // Who holds what changes while this machine waits: a membership beside may have been taken, or given back.
        if self.memberships.told_voters.is_none()
            || now >= self.memberships.told_at + HOLDERS_EVERY_MS
        {
            self.memberships.told_at = now;
            self.tell_them(names.clone(), None, Epochs::new());
        }
        let Some(voter_id) = self.voter_id(now, &me_again) else {
            return;
        };
        let Some(ask) = self.voter.fence(&voter_id) else {
            return;
        };
        let Ask::Fence { epoch, .. } = ask else {
            return;
        };
        let bytes = postcard::to_stdvec(&ask).expect("plain data");
        for from in names {
            let queue = self.queue.clone();
            self.ask_other(from, bytes.clone(), move |reply| {
                let _ = queue.send(Command::Fenced { epoch, reply });
            });
        }
    }

    /// The membership that a machine without one asks for: the one that it held, after a lost disk. A machine that never had
    /// one takes that of one that has long been down; of several that wait each takes another.
    pub(super) fn voter_id(&mut self, now: u64, me: &str) -> Option<String> {
        let contact = self.in_contact(now);
        let (voters, epochs) = self.memberships.told_voters.as_ref()?;
        let holder = |voter_id: &String| {
            epochs
                .get(voter_id)
                .map_or(voter_id.clone(), |(_, holder)| holder.clone())
        };
        if let Some(held) = voters.iter().find(|voter_id| holder(voter_id) == me) {
            return Some(held.clone());
        }
        // One that hears no majority of the voters' machines knows of none that it is down.
        if !contact {
            self.memberships.vacant.clear();
            return None;
        }
        let up = |name: &str| {
            self.cairns
                .alive()
                .any(|m| m.name == name && m.standing < Standing::Leaving)
        };
        // One that leaves takes none.
        let waits = |m: &&Member| {
            let holds = voters.iter().any(|voter_id| holder(voter_id) == m.name);
            m.core && m.quorum && m.standing < Standing::Leaving && !holds
        };
        let before = self
            .cairns
            .alive()
            .filter(waits)
            .filter(|m| m.name.as_str() < me)
            .count();
        let since = &mut self.memberships.vacant;
        since.retain(|voter_id, _| !up(&holder(voter_id)));
        for voter_id in voters.iter().filter(|voter_id| !up(&holder(voter_id))) {
            since.entry(voter_id.clone()).or_insert(now);
        }
        let (vacant, since) = since.iter().nth(before)?;
        // One that leaves by order will not be back soon; one that is down may.
        let left = self
            .cairns
            .member(&holder(vacant))
            .is_some_and(|m| m.standing == Standing::Leaving);
        let down = (self.settings.bounds.sync_s * VACANT_MS_PER_SYNC_S) as u64;
        let patience = if left { LEFT_MS } else { down };
        (now >= *since + patience).then(|| vacant.clone())
    }

    pub(super) fn fenced(&mut self, epoch: u64, reply: Reply) {
        if let (Reply::Copy { epochs, .. }, Some((_, held))) =
            (&reply, &mut self.memberships.told_voters)
        {
            learn(held, epochs);
        }
        if self.voter.fenced(epoch, reply).is_some() {
            log::info!("keeper: The lost disk is made good; this machine votes again.");
            self.keep_identity();
        }
    }

    /// The voter answers nobody before its identity is on disk: until then each answer is written together with it. What is
    /// written again after a failure is what the voter holds by then.
    pub(super) fn keep_identity(&mut self) {
        self.unkept = true;
        let (disk, queue, records) = (self.disk.clone(), self.queue.clone(), self.voter.records());
        spawn_local(async move {
            if disk.keep(records).await {
                let _ = queue.send(Command::VotesAgain);
            } else {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let _ = queue.send(Command::NotKept);
            }
        });
    }

    /// The voters that this machine's rounds ask: it need not be one of them.
    pub(super) fn votes(&mut self) {
        let told = self
            .memberships
            .told_voters
            .as_ref()
            .map_or(&[][..], |(voters, _)| voters);
        let voters = if self.voter.identity.is_some() {
            self.voter.voters()
        } else {
            told
        };
        self.proposer.voters(voters, self.voter.highest());
    }

    pub(super) fn votes_again(&mut self) {
        self.memberships.votes = self.voter.identity.is_some();
        self.memberships.tell_at = 0;
        self.votes();
    }

    /// A voter of this machine's rounds has accepted.
    pub(super) fn accepted(&mut self, register: usize, voter_id: &str, ballot: Ballot) {
        let held = self.memberships.accepted_by[register]
            .entry(voter_id.to_owned())
            .or_default();
        *held = (*held).max(ballot);
    }

    pub(super) fn leave(&mut self, now: u64) {
        self.memberships.leaving = Some((now, self.memberships.votes));
    }

    /// Whether new orders go elsewhere: this machine only waits for its membership to be taken.
    pub(super) fn is_over(&self, now: u64) -> bool {
        self.memberships
            .leaving
            .is_some_and(|(since, _)| now >= since + LEAVE_MS)
    }

    /// Has every voter that is up accept what this one holds.
    pub(super) fn hand_on(&mut self, now: u64) {
        if self.memberships.leaving.is_some()
            && self.memberships.votes
            && now >= self.memberships.read_at
            && !self.may_end()
        {
            self.memberships.read_at = now + FENCE_EVERY_MS;
            [CONFIG, ORDERS]
                .into_iter()
                .for_each(|register| self.order(register, Op::Read));
        }
    }

    /// The membership that this machine holds, and who holds the others, as it knows it.
    pub(super) fn show_membership(&self) -> String {
        let mut text = match (&self.voter.identity, self.voter.former()) {
            (Some(held), _) if self.memberships.votes => {
                format!("membership {} at epoch {}\n", held.voter_id, held.epoch)
            }
            (None, Some(former)) => format!("membership none, formerly {}\n", former.voter_id),
            _ => "membership none\n".to_owned(),
        };
        let told = self
            .memberships
            .told_voters
            .as_ref()
            .map_or(&[][..], |(voters, _)| voters);
        let voters = if self.voter.identity.is_some() {
            self.voter.voters()
        } else {
            told
        };
        for voter_id in voters {
            text += &format!("holder of {voter_id} {}\n", self.holder(voter_id));
        }
        text
    }

    /// What a machine that leaves would take away has a copy elsewhere: every other voter that is up has accepted what this
    /// one holds, and where a machine waits for a membership, it has taken this one's.
    pub fn may_end(&self) -> bool {
        if !Safeguard::HandoverBeforeExit.is_enabled() {
            return true;
        }
        let Some(identity) = &self.voter.identity else {
            return self.memberships.handed_over
                || self.memberships.leaving.is_none_or(|(_, held)| !held);
        };
        if !self.memberships.votes {
            return true;
        }
        let up = |name: &str| {
            self.cairns
                .alive()
                .any(|m| m.name == name && m.standing < Standing::Leaving)
        };
        let holder = |voter_id: &String| self.holder(voter_id);
        let others = || {
            identity
                .voters
                .iter()
                .filter(|voter_id| **voter_id != identity.voter_id)
        };
        let waits = |m: &Member| {
            let holds = identity
                .voters
                .iter()
                .any(|voter_id| holder(voter_id) == m.name);
            m.core && m.quorum && m.standing == Standing::Ready && !holds
        };
        !self.cairns.alive().any(waits)
            && others()
                .filter(|voter_id| up(&holder(voter_id)))
                .all(|voter_id| {
                    [CONFIG, ORDERS].into_iter().all(|register| {
                        let held = self
                            .voter
                            .register(register)
                            .accepted
                            .as_ref()
                            .map(|(ballot, _)| *ballot);
                        held <= self.memberships.accepted_by[register]
                            .get(voter_id)
                            .copied()
                    })
                })
    }
}
