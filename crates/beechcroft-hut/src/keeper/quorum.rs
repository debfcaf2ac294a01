//! Who votes: the first voters, a lost disk, a membership whose machine is gone.

use super::*;

impl Keeper {
    /// The machine that holds a membership, as far as is known.
    pub(super) fn holder(&self, voter_id: &str) -> String {
        let epochs = self.voter.identity.as_ref().map(|identity| &identity.epochs);
        epochs
            .and_then(|epochs| epochs.get(voter_id))
            .map_or_else(|| voter_id.to_owned(), |(_, holder)| holder.clone())
    }

    /// Others know of memberships that have been taken over, this machine's own perhaps.
    pub(super) fn learn_epochs(&mut self, epochs: &beechcroft_hutbook::Epochs) {
        let Some(records) = self.voter.learn(epochs) else { return };
        if self.voter.identity.is_none() {
            log::warn!("keeper: Another machine holds this one's membership; it does not vote any more.");
        }
        self.put_down(records);
        self.votes();
    }

    /// No identity yet: the first start of the whole system, or a disk that was lost.
    pub(super) fn settle(&mut self, now: u64) {
        if !self.settings.quorum_member {
            return;
        }
        let me = self.cairns.me.name.clone();
        let me_again = me.clone();
        let mut names: Vec<String> =
            self.cairns.known().filter(|m| m.core && m.quorum).map(|m| m.name.clone()).collect();
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
                    return;
                }
                log::info!("keeper: The first voters are {names:?}.");
                self.fresh = false;
                self.voter.found(names);
                self.keep_identity();
            }
            return;
        }
        if now < self.fence_at {
            return;
        }
        self.fence_at = now + FENCE_EVERY_MS;
        let Some(voter_id) = self.voter_id(now, &me_again) else { return };
        let Some(ask) = self.voter.fence(&voter_id) else { return };
        let Ask::Fence { epoch, .. } = ask else { return };
        let bytes = postcard::to_stdvec(&ask).expect("plain data");
        for from in names {
            let Some(to) = self.cairns.member(&from).map(|m| self.cairns.address(m)) else { continue };
            let (errands, queue, bytes) = (self.errands.clone(), self.queue.clone(), bytes.clone());
            spawn_local(async move {
                let reply = errands.run(to, "/ask", bytes, ASK_WITHIN).await;
                if let Some(reply) = reply.ok().and_then(|bytes| postcard::from_bytes(&bytes).ok()) {
                    let _ = queue.send(Command::Fenced { from, epoch, reply });
                }
            });
        }
    }

    /// The membership that a machine without one asks for: its own after a lost disk. A machine that never had one takes the
    /// membership of one that has long been down, if it is the first of those that wait.
    pub(super) fn voter_id(&mut self, now: u64, me: &str) -> Option<String> {
        let Some((voters, epochs)) = &self.told_voters else { return Some(me.to_owned()) };
        if voters
            .iter()
            .any(|voter_id| epochs.get(voter_id).map_or(voter_id == me, |(_, holder)| holder == me))
        {
            return Some(me.to_owned()).filter(|me| voters.contains(me)).or_else(|| {
                voters
                    .iter()
                    .find(|voter_id| epochs.get(*voter_id).is_some_and(|(_, holder)| holder == me))
                    .cloned()
            });
        }
        let holder =
            |voter_id: &String| epochs.get(voter_id).map_or(voter_id.clone(), |(_, holder)| holder.clone());
        let up = |name: &str| self.cairns.alive().any(|m| m.name == name && m.standing < Standing::Leaving);
        let leaving = |name: &str| self.cairns.member(name).is_some_and(|m| m.standing == Standing::Leaving);
        let waits =
            |m: &&Member| m.core && m.quorum && !voters.iter().any(|voter_id| holder(voter_id) == m.name);
        let first = self.cairns.alive().filter(waits).all(|m| m.name.as_str() > me);
        // One that hears no majority of the voters' machines knows of none that it is down.
        let first = first && self.in_contact(now);
        let vacant = voters.iter().find(|voter_id| !up(&holder(voter_id))).cloned();
        let Some(vacant) = vacant.filter(|_| first) else {
            self.vacant = None;
            return None;
        };
        let left = leaving(&holder(&vacant));
        let (voter_id, since) = self.vacant.get_or_insert((vacant.clone(), now));
        if *voter_id != vacant {
            (*voter_id, *since) = (vacant.clone(), now);
        }
        // One that leaves by order will not be back soon; one that is down may.
        let patience = if left { LEFT_MS } else { VACANT_MS };
        (now >= *since + patience).then_some(vacant)
    }

    pub(super) fn fenced(&mut self, from: &str, epoch: u64, reply: Reply) {
        if let Reply::Copy { voters, epochs, .. } = &reply {
            self.told_voters = Some((voters.clone(), epochs.clone()));
        }
        // What counts is the membership that the machine holds.
        let held = self.told_voters.as_ref().and_then(|(_, epochs)| {
            epochs.iter().find(|(_, (_, holder))| holder == from).map(|(voter_id, _)| voter_id.clone())
        });
        let from = held.as_deref().unwrap_or(from);
        if self.voter.fenced(from, epoch, reply).is_some() {
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

    pub(super) fn votes(&mut self) {
        self.proposer.voters(self.voter.voters(), self.voter.highest());
    }
}
