//! Which replica this node holds: bootstrap, recovery of a lost disk, takeover of a replica whose node is gone, handover.

use super::{Command, StateOwner};
use beechcroft_consensus::{
    Ballot, Epoch, Epochs, PerRegister, RegisterId, ReplicaEpoch, ReplicaId, Request, Response,
};
use beechcroft_gossip::{Member, MemberState};
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::spawn_local;

/// Between two fences, announcements and handover reads, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 300;
/// How often a node without a replica asks who holds them, in milliseconds.
const HOLDERS_INTERVAL_MS: u64 = 1000;
/// For how long a node that shuts down answers what it was given and takes new operations, in milliseconds.
pub const SHUTDOWN_ANSWER_MS: u64 = 800;
/// A replica whose node has been down for a quarter of `syncS` is given to a node that waits for one. As long again
/// passes until it is known everywhere that the node is down, and the successor votes well before it has to count.
const VACANT_MS_PER_SYNC_S: f64 = 250.0;
/// The same for a node that is shutting down, in milliseconds.
const VACANT_AFTER_LEAVING_MS: u64 = 200;
/// Since the last new control node, before replicas are bootstrapped, in milliseconds.
const BOOTSTRAP_SETTLE_MS: u64 = 1000;
/// The pause after a failure to write the identity.
const STORE_RETRY: Duration = Duration::from_millis(100);

/// The replicas of the quorum, as this node was told while it holds none.
pub(super) struct KnownReplicas {
    pub(super) replicas: Vec<ReplicaId>,
    pub(super) epochs: Epochs,
}

/// A shutdown that has begun.
#[derive(Clone, Copy)]
struct Shutdown {
    since: u64,
    /// Whether this node held a replica then.
    was_voting: bool,
}

/// The control nodes that are known before replicas are bootstrapped.
#[derive(Default)]
struct BootstrapCandidates {
    count: usize,
    /// When the number last changed.
    changed_at: u64,
}

/// What a control node knows of replicas beside its acceptor.
#[derive(Default)]
pub(super) struct Membership {
    /// Its identity is on disk and in force.
    is_voting: bool,
    /// The identity is not known to be on disk: no response goes out that is not written together with it.
    is_identity_unstored: bool,
    known: Option<KnownReplicas>,
    /// When it last asked who holds the replicas.
    asked_at: u64,
    /// Replicas whose nodes are down or shut down, and since when.
    vacant: BTreeMap<ReplicaId, u64>,
    fence_at: u64,
    /// The epochs that each control node is known to know.
    announced_to: BTreeMap<String, Epochs>,
    announce_at: u64,
    /// Under which ballot each replica has accepted, as rounds of this node saw.
    accepted_by: PerRegister<BTreeMap<ReplicaId, Ballot>>,
    shutdown: Option<Shutdown>,
    hand_over_at: u64,
    /// Another node holds this node's former replica.
    is_handed_over: bool,
    candidates: BootstrapCandidates,
}

impl Membership {
    pub(super) fn is_identity_stored(&self) -> bool {
        !self.is_identity_unstored
    }

    /// The replicas and their holders, for a node that holds none.
    pub(super) fn known(&self) -> Option<&KnownReplicas> {
        self.known.as_ref()
    }

    /// A replica has accepted in a round of this node.
    pub(super) fn record_acceptance(
        &mut self,
        register: RegisterId,
        replica: &str,
        ballot: Ballot,
    ) {
        let held = self.accepted_by[register]
            .entry(replica.to_owned())
            .or_default();
        *held = (*held).max(ballot);
    }
}

impl StateOwner {
    /// The node that holds a replica, as far as is known.
    pub(super) fn holder(&self, replica: &str) -> String {
        let own = self.acceptor.identity().map(|identity| &identity.epochs);
        let told = self.membership.known.as_ref().map(|known| &known.epochs);
        own.or(told)
            .map_or_else(|| replica.to_owned(), |epochs| epochs.holder(replica))
    }

    /// The replicas that this node's rounds address. It need not hold one of them.
    pub(super) fn replicas(&self) -> &[ReplicaId] {
        if self.acceptor.identity().is_some() {
            return self.acceptor.replicas();
        }
        self.membership
            .known
            .as_ref()
            .map_or(&[], |known| &known.replicas)
    }

    /// Whether this node's replica votes.
    pub(super) fn is_voting(&self) -> bool {
        self.membership.is_voting
    }

    fn update_proposer(&mut self) {
        let replicas = self.replicas().to_vec();
        let highest = self.acceptor.highest_ballot_number();
        self.proposer.set_replicas(&replicas, highest);
    }

    /// The replica votes from here on, if this node holds one.
    pub(super) fn start_voting(&mut self) {
        self.membership.is_voting = self.acceptor.identity().is_some();
        self.membership.announce_at = 0;
        self.update_proposer();
    }

    /// Writes the identity. Until it is on disk, each response is written together with it. What is written again after
    /// a failure is what the replica holds by then.
    pub(super) fn store_identity(&mut self) {
        self.membership.is_identity_unstored = true;
        let (disk, queue, records) = (
            self.disk.clone(),
            self.queue.clone(),
            self.acceptor.records(),
        );
        spawn_local(async move {
            if disk.store(records).await {
                let _ = queue.send(Command::IdentityStored);
            } else {
                tokio::time::sleep(STORE_RETRY).await;
                let _ = queue.send(Command::IdentityNotStored);
            }
        });
    }

    pub(super) fn on_identity_stored(&mut self) {
        self.membership.is_identity_unstored = false;
        self.start_voting();
    }

    /// Others know of replicas that were taken over, this node's own perhaps.
    pub(super) fn merge_epochs(&mut self, epochs: &Epochs) {
        if let Some(records) = self.acceptor.merge_epochs(epochs) {
            self.write_unacknowledged(records);
        }
        if self.acceptor.identity().is_none() {
            if let Some(known) = &mut self.membership.known {
                known.epochs.merge(epochs);
            }
        }
        self.notice_deposition();
    }

    /// Once another node takes this node's replica over, this one stops voting and waits with what it knows.
    pub(super) fn notice_deposition(&mut self) {
        let former = self
            .acceptor
            .former_identity()
            .filter(|_| self.membership.is_voting);
        let Some(former) = former else { return };
        log::warn!(
            "state: Another node takes over this node's replica; it does not vote any more."
        );
        let known = KnownReplicas {
            replicas: former.replicas.clone(),
            epochs: former.epochs.clone(),
        };
        self.membership.known = Some(known);
        self.membership.asked_at = self.now();
        self.membership.is_voting = false;
        self.update_proposer();
    }

    /// A control node announces what it knows of epochs.
    pub(super) fn on_announcement(&mut self, sender: Option<ReplicaEpoch>, epochs: &Epochs) {
        if let (Some(sender), Some(former)) = (sender, self.acceptor.former_identity()) {
            let is_successor = sender.replica == former.replica && sender.epoch > former.epoch;
            self.membership.is_handed_over |= is_successor;
        }
        self.merge_epochs(epochs);
    }

    /// A control node has answered an announcement of this node.
    pub(super) fn on_epochs_announced(
        &mut self,
        to: String,
        announced: Epochs,
        response: Response,
    ) {
        if let Response::KnownEpochs { replicas, epochs } = response {
            if self.acceptor.identity().is_none() {
                match &mut self.membership.known {
                    Some(known) => drop(known.epochs.merge(&epochs)),
                    None => {
                        let epochs = epochs.clone();
                        self.membership.known = Some(KnownReplicas { replicas, epochs });
                        self.membership.fence_at = 0;
                        self.update_proposer();
                    }
                }
            }
            self.merge_epochs(&epochs);
        }
        self.membership.announced_to.insert(to, announced);
    }

    /// Announces epochs to each control node until it has confirmed that it knows them: a replica that was cut off while
    /// it was taken over must learn of that before it is counted on.
    pub(super) fn announce_epochs(&mut self, now: u64) {
        let identity = self
            .acceptor
            .identity()
            .filter(|_| self.membership.is_voting);
        let Some(identity) = identity else { return };
        if now < self.membership.announce_at || !Safeguard::EpochsAnnounced.is_enabled() {
            return;
        }
        let epochs = identity.epochs.clone();
        let sender = ReplicaEpoch {
            replica: identity.replica.clone(),
            epoch: identity.epoch,
        };
        self.membership.announce_at = now + RETRY_INTERVAL_MS;
        let announced_to = &self.membership.announced_to;
        let may_not_know = |member: &&Member| {
            is_candidate(member) && announced_to.get(&member.name) != Some(&epochs)
        };
        let members = self.gossip.live_members().filter(may_not_know);
        let nodes: Vec<String> = members.map(|member| member.name.clone()).collect();
        self.send_announcement(nodes, Some(sender), epochs);
    }

    fn send_announcement(&self, nodes: Vec<String>, sender: Option<ReplicaEpoch>, epochs: Epochs) {
        let request = Request::AnnounceEpochs {
            sender,
            epochs: epochs.clone(),
        };
        let bytes = postcard::to_stdvec(&request).expect("plain data has an encoding");
        for to in nodes {
            let (queue, epochs, node) = (self.queue.clone(), epochs.clone(), to.clone());
            self.send_consensus(&node, bytes.clone(), move |response| {
                let _ = queue.send(Command::EpochsAnnounced {
                    to,
                    epochs,
                    response,
                });
            });
        }
    }

    /// This node holds no replica: it is the first start of the whole system, its disk was lost, or it waits for one.
    pub(super) fn acquire_replica(&mut self, now: u64) {
        if !self.settings.quorum_member {
            return;
        }
        let members = self.gossip.members().filter(|member| is_candidate(member));
        let others: Vec<String> = members.map(|member| member.name.clone()).collect();
        if self.is_bootstrapping {
            self.bootstrap(now, others);
        } else if now >= self.membership.fence_at && self.membership.shutdown.is_none() {
            self.membership.fence_at = now + RETRY_INTERVAL_MS;
            self.take_over_replica(now, others);
        }
    }

    /// Once as many control nodes are known as there are replicas, and no further one has come for a while, the first
    /// ones by name hold the replicas.
    fn bootstrap(&mut self, now: u64, others: Vec<String>) {
        let local = self.gossip.local().name.clone();
        let mut names = others;
        names.push(local.clone());
        names.sort();
        let required = 2 * self.settings.fault_tolerance.node_losses + 1;
        let candidates = &mut self.membership.candidates;
        if names.len() != candidates.count {
            *candidates = BootstrapCandidates {
                count: names.len(),
                changed_at: now,
            };
        }
        if names.len() < required || now < candidates.changed_at + BOOTSTRAP_SETTLE_MS {
            return;
        }
        names.truncate(required);
        self.is_bootstrapping = false;
        if names.contains(&local) {
            log::info!("state: The first replicas are {names:?}.");
            self.acceptor.bootstrap(names);
            self.store_identity();
        }
    }

    /// Fences the replica that this node is to hold.
    fn take_over_replica(&mut self, now: u64, others: Vec<String>) {
        // Holders change while this node waits: a replica may have been taken over, or given back.
        let is_due = now >= self.membership.asked_at + HOLDERS_INTERVAL_MS;
        if self.membership.known.is_none() || is_due {
            self.membership.asked_at = now;
            self.send_announcement(others.clone(), None, Epochs::new());
        }
        let Some(replica) = self.replica_to_take_over(now) else {
            return;
        };
        let Some(request) = self.acceptor.fence_request(&replica) else {
            return;
        };
        let Request::Fence { epoch, .. } = request else {
            return;
        };
        let bytes = postcard::to_stdvec(&request).expect("plain data has an encoding");
        for node in others {
            let queue = self.queue.clone();
            self.send_consensus(&node, bytes.clone(), move |response| {
                let _ = queue.send(Command::FenceResponse { epoch, response });
            });
        }
    }

    /// The replica that a node without one asks for: the one that it held, after a lost disk; otherwise that of a node
    /// which has long been down. Of several nodes that wait, each takes another one.
    fn replica_to_take_over(&mut self, now: u64) -> Option<ReplicaId> {
        let has_contact = self.has_quorum_contact(now);
        let local = &self.gossip.local().name;
        let known = self.membership.known.as_ref()?;
        let holder = |replica: &str| known.epochs.holder(replica);
        if let Some(held) = known
            .replicas
            .iter()
            .find(|replica| holder(replica) == *local)
        {
            return Some(held.clone());
        }
        // A node that hears no majority knows of none that it is down.
        if !has_contact {
            self.membership.vacant.clear();
            return None;
        }
        let holds_replica = |name: &String| {
            known
                .replicas
                .iter()
                .any(|replica| holder(replica) == *name)
        };
        let is_waiting = |member: &&Member| {
            is_candidate(member)
                && member.state < MemberState::Leaving
                && !holds_replica(&member.name)
        };
        let waiting = self.gossip.live_members().filter(is_waiting);
        let earlier = waiting.filter(|member| member.name < *local).count();
        let vacant = &mut self.membership.vacant;
        let is_vacant = |replica: &&ReplicaId| !is_up(&self.gossip, &holder(replica));
        vacant.retain(|replica, _| is_vacant(&replica));
        for replica in known.replicas.iter().filter(is_vacant) {
            vacant.entry(replica.clone()).or_insert(now);
        }
        let (replica, since) = vacant.iter().nth(earlier)?;
        // A node that shuts down by order will not be back soon; one that is down may.
        let member = self.gossip.member(&holder(replica));
        let is_leaving = member.is_some_and(|member| member.state == MemberState::Leaving);
        let down_ms = (self.settings.bounds.sync_s * VACANT_MS_PER_SYNC_S) as u64;
        let patience_ms = if is_leaving {
            VACANT_AFTER_LEAVING_MS
        } else {
            down_ms
        };
        (now >= *since + patience_ms).then(|| replica.clone())
    }

    /// A control node has answered a fence.
    pub(super) fn on_fence_response(&mut self, epoch: Epoch, response: Response) {
        if let (Response::ReplicaState { epochs, .. }, Some(known)) =
            (&response, &mut self.membership.known)
        {
            known.epochs.merge(epochs);
        }
        if self.acceptor.on_fence_response(epoch, response).is_some() {
            log::info!("state: The replica is recovered; this node votes again.");
            self.store_identity();
        }
    }

    /// SIGTERM has come.
    pub(super) fn begin_shutdown(&mut self, now: u64) {
        let was_voting = self.membership.is_voting;
        self.membership.shutdown = Some(Shutdown {
            since: now,
            was_voting,
        });
    }

    /// Whether new operations go elsewhere: this node only waits for its replica to be taken over.
    pub(super) fn is_past_shutdown(&self, now: u64) -> bool {
        let shutdown = self.membership.shutdown;
        shutdown.is_some_and(|shutdown| now >= shutdown.since + SHUTDOWN_ANSWER_MS)
    }

    /// During a shutdown, has every live replica accept what this one holds.
    pub(super) fn hand_over(&mut self, now: u64) {
        let is_handing_over = self.membership.shutdown.is_some() && self.membership.is_voting;
        if is_handing_over && now >= self.membership.hand_over_at && !self.may_exit() {
            self.membership.hand_over_at = now + RETRY_INTERVAL_MS;
            for register in RegisterId::ALL {
                self.propose_read(register);
            }
        }
    }

    /// Whether the process may exit: what it would take away exists elsewhere. Every other live replica has accepted what
    /// this one holds, and where a node waits for a replica, it has taken this one over.
    pub fn may_exit(&self) -> bool {
        if !Safeguard::HandoverBeforeExit.is_enabled() {
            return true;
        }
        let Some(identity) = self.acceptor.identity() else {
            let was_voting = self
                .membership
                .shutdown
                .is_some_and(|shutdown| shutdown.was_voting);
            return self.membership.is_handed_over || !was_voting;
        };
        if !self.membership.is_voting {
            return true;
        }
        let holds_replica = |name: &String| {
            identity
                .replicas
                .iter()
                .any(|replica| self.holder(replica) == *name)
        };
        let is_waiting = |member: &Member| {
            is_candidate(member)
                && member.state == MemberState::Ready
                && !holds_replica(&member.name)
        };
        let others = identity
            .replicas
            .iter()
            .filter(|replica| **replica != identity.replica);
        let mut live = others.filter(|replica| is_up(&self.gossip, &self.holder(replica)));
        !self.gossip.live_members().any(is_waiting)
            && live.all(|replica| self.has_accepted_everything(replica))
    }

    /// Whether another replica has accepted what this one holds, as rounds of this node saw.
    fn has_accepted_everything(&self, replica: &str) -> bool {
        RegisterId::ALL.into_iter().all(|register| {
            let accepted = self.acceptor.register(register).accepted.as_ref();
            let seen = self.membership.accepted_by[register].get(replica).copied();
            accepted.map(|accepted| accepted.ballot) <= seen
        })
    }
}

/// Whether a member may hold a replica.
fn is_candidate(member: &Member) -> bool {
    member.is_control && member.is_quorum_member
}

/// Whether a node is up and does not shut down.
fn is_up(gossip: &beechcroft_gossip::Gossip, name: &str) -> bool {
    gossip
        .live_members()
        .any(|member| member.name == name && member.state < MemberState::Leaving)
}
