//! The replica that this node holds: bootstrap, recovery after a lost disk, takeover of a replica whose node is gone,
//! and handover during a shutdown.

use super::{Command, StateOwner};
use beechcroft_consensus::{
    Ballot, Epoch, Epochs, PerRegister, RegisterId, ReplicaEpoch, ReplicaId, Request, Response,
};
use beechcroft_gossip::{Member, MemberState};
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval between retries of fences, announcements and handover reads, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 300;
/// Interval at which a node without a replica asks for the holders of all replicas, in milliseconds.
const HOLDERS_INTERVAL_MS: u64 = 1000;
/// How long after the start of its shutdown a node still accepts and answers operations, in milliseconds.
pub const SHUTDOWN_ANSWER_MS: u64 = 800;
/// How long a node must be down before a waiting node takes over its replica, in milliseconds per second of `syncS`: a
/// quarter of `syncS`. Another quarter passes until all nodes know that the node is down, so the successor votes well
/// before it must.
const TAKEOVER_DELAY_MS_PER_SYNC_S: f64 = 250.0;
/// How long a node must be shutting down before a waiting node takes over its replica, in milliseconds.
const LEAVING_TAKEOVER_DELAY_MS: u64 = 200;
/// How long the number of known control nodes must be stable before replicas are bootstrapped, in milliseconds.
const BOOTSTRAP_SETTLE_MS: u64 = 1000;
/// Delay before the identity is written again after a failed write.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The replicas of the quorum and their holders, as learned from other nodes while this node holds no replica.
pub(super) struct KnownReplicas {
    pub(super) replicas: Vec<ReplicaId>,
    pub(super) epochs: Epochs,
}

/// A shutdown that has begun.
#[derive(Clone, Copy)]
struct Shutdown {
    since: u64,
    /// Whether this node's replica voted at that time.
    was_voting: bool,
}

/// The control nodes that are known before replicas are bootstrapped.
#[derive(Default)]
struct BootstrapCandidates {
    count: usize,
    /// Time of the last change of `count`.
    changed_at: u64,
}

/// State of this node as the holder of a replica, or as a node that waits for one.
#[derive(Default)]
pub(super) struct Membership {
    /// Whether this node holds a replica whose epoch is installed, and takes part in rounds.
    is_voting: bool,
    /// Number of writes of the identity that are still pending. Until the last is on disk, each response is sent only
    /// after a write that includes the identity.
    pending_identity_writes: usize,
    known_replicas: Option<KnownReplicas>,
    /// Time of the last request for the holders of all replicas.
    holders_requested_at: u64,
    /// Replicas whose nodes are down or shutting down, with the time at which this node noticed.
    vacant: BTreeMap<ReplicaId, u64>,
    next_fence_at: u64,
    /// Epoch of the latest attempt to recover or take over a replica.
    recovery_epoch: Option<Epoch>,
    /// Epochs that each control node has confirmed to know.
    announced_to: BTreeMap<String, Epochs>,
    next_announcement_at: u64,
    /// Highest ballot under which each replica has accepted, as observed in rounds of this node.
    accepted_by: PerRegister<BTreeMap<ReplicaId, Ballot>>,
    shutdown: Option<Shutdown>,
    next_handover_at: u64,
    /// Whether another node has taken over the replica that this node held.
    is_handed_over: bool,
    candidates: BootstrapCandidates,
}

impl Membership {
    /// Whether no write of the identity is pending.
    pub(super) fn is_identity_stored(&self) -> bool {
        self.pending_identity_writes == 0
    }

    /// The replicas and their holders, as learned while this node holds no replica.
    pub(super) fn known_replicas(&self) -> Option<&KnownReplicas> {
        self.known_replicas.as_ref()
    }

    /// Records that a replica has accepted a value in a round of this node.
    pub(super) fn record_acceptance(
        &mut self,
        register: RegisterId,
        replica: &str,
        ballot: Ballot,
    ) {
        let highest = self.accepted_by[register]
            .entry(replica.to_owned())
            .or_default();
        *highest = (*highest).max(ballot);
    }
}

impl StateOwner {
    /// Name of the node that holds a replica, as far as this node knows.
    pub(super) fn holder(&self, replica: &str) -> String {
        let own = self.acceptor.identity().map(|identity| &identity.epochs);
        let learned = self
            .membership
            .known_replicas
            .as_ref()
            .map(|known| &known.epochs);
        own.or(learned)
            .map_or_else(|| replica.to_owned(), |epochs| epochs.holder(replica))
    }

    /// The replicas that this node's rounds address, whether or not it holds one of them.
    pub(super) fn replicas(&self) -> &[ReplicaId] {
        if self.acceptor.identity().is_some() {
            return self.acceptor.replicas();
        }
        self.membership
            .known_replicas
            .as_ref()
            .map_or(&[], |known| &known.replicas)
    }

    /// Whether this node's replica votes.
    pub(super) fn is_voting(&self) -> bool {
        self.membership.is_voting
    }

    /// Passes the replicas of the quorum to the proposer, with the highest ballot number that it must exceed.
    fn update_proposer(&mut self) {
        let replicas = self.replicas().to_vec();
        let highest = self.acceptor.highest_ballot_number();
        self.proposer.set_replicas(&replicas, highest);
    }

    /// Lets this node's replica vote from now on, if it holds one.
    pub(super) fn start_voting(&mut self) {
        self.membership.is_voting = self.acceptor.identity().is_some();
        self.membership.next_announcement_at = 0;
        self.update_proposer();
    }

    /// Writes the identity with all records of the replica. A retry after a failed write stores the records that the
    /// replica holds by then.
    fn store_identity(&mut self) {
        self.membership.pending_identity_writes += 1;
        let (disk, queue, records) = (
            self.disk.clone(),
            self.queue.clone(),
            self.acceptor.records(),
        );
        spawn_local(async move {
            if disk.store(records).await {
                let _ = queue.send(Command::IdentityStored);
            } else {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
                let _ = queue.send(Command::IdentityNotStored);
            }
        });
    }

    pub(super) fn on_identity_stored(&mut self) {
        self.membership.pending_identity_writes -= 1;
        if !self.membership.is_identity_stored() {
            return;
        }
        self.acceptor.recovery_stored();
        self.start_voting();
        if self.acceptor.identity().is_none() {
            // The next phase of a recovery waits for the disk.
            self.membership.next_fence_at = 0;
            self.acquire_replica(self.now());
        }
    }

    pub(super) fn on_identity_not_stored(&mut self) {
        self.membership.pending_identity_writes -= 1;
        self.store_identity();
    }

    /// Merges the epochs that another node knows of. They may show that this node's replica was taken over.
    pub(super) fn merge_epochs(&mut self, epochs: &Epochs) {
        if let Some(records) = self.acceptor.merge_epochs(epochs) {
            self.write_unacknowledged(records);
        }
        if self.acceptor.identity().is_none() {
            if let Some(known) = &mut self.membership.known_replicas {
                known.epochs.merge(epochs);
            }
        }
        self.stop_voting_if_deposed();
    }

    /// Stops voting if another node has taken over this node's replica. This node keeps what it knows of the replicas
    /// and waits for another one.
    pub(super) fn stop_voting_if_deposed(&mut self) {
        let former = self
            .acceptor
            .former_identity()
            .filter(|_| self.membership.is_voting);
        let Some(former) = former else { return };
        log::warn!(
            "state: Another node has taken over this node's replica; this node no longer votes."
        );
        let known = KnownReplicas {
            replicas: former.replicas.clone(),
            epochs: former.epochs.clone(),
        };
        self.membership.known_replicas = Some(known);
        self.membership.holders_requested_at = self.now();
        self.membership.is_voting = false;
        self.update_proposer();
    }

    /// Handles the announcement of epochs by another control node.
    pub(super) fn on_announcement(&mut self, sender: Option<ReplicaEpoch>, epochs: &Epochs) {
        if let (Some(sender), Some(former)) = (sender, self.acceptor.former_identity()) {
            let is_successor = sender.replica == former.replica && sender.epoch > former.epoch;
            self.membership.is_handed_over |= is_successor;
        }
        self.merge_epochs(epochs);
    }

    /// Handles the response of a control node to an announcement of this node.
    pub(super) fn on_epochs_announced(
        &mut self,
        to: String,
        announced: Epochs,
        response: Response,
    ) {
        if let Response::KnownEpochs { replicas, epochs } = response {
            if self.acceptor.identity().is_none() {
                match &mut self.membership.known_replicas {
                    Some(known) => drop(known.epochs.merge(&epochs)),
                    None => {
                        let epochs = epochs.clone();
                        self.membership.known_replicas = Some(KnownReplicas { replicas, epochs });
                        self.membership.next_fence_at = 0;
                        self.update_proposer();
                    }
                }
            }
            self.merge_epochs(&epochs);
        }
        self.membership.announced_to.insert(to, announced);
    }

    /// Announces the known epochs to each control node until that node has confirmed them. A node that was isolated
    /// while its replica was taken over must learn of that before its votes are relied on. A former holder may exit once
    /// it hears of its successor, so the successor's identity must be on disk.
    pub(super) fn announce_epochs(&mut self, now: u64) {
        let is_announcing = self.membership.is_voting && self.membership.is_identity_stored();
        let identity = self.acceptor.identity().filter(|_| is_announcing);
        let Some(identity) = identity else { return };
        if now < self.membership.next_announcement_at || !Safeguard::EpochsAnnounced.is_enabled() {
            return;
        }
        let epochs = identity.epochs.clone();
        let sender = ReplicaEpoch {
            replica: identity.replica.clone(),
            epoch: identity.epoch,
        };
        self.membership.next_announcement_at = now + RETRY_INTERVAL_MS;
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

    /// Called while this node holds no replica: bootstraps the replicas at the first start of the whole system, and
    /// otherwise recovers the replica of a lost disk or waits to take one over.
    pub(super) fn acquire_replica(&mut self, now: u64) {
        if !self.settings.quorum_member {
            return;
        }
        let members = self.gossip.members().filter(|member| is_candidate(member));
        let others: Vec<String> = members.map(|member| member.name.clone()).collect();
        if self.is_bootstrapping {
            self.bootstrap(now, others);
        } else if now >= self.membership.next_fence_at && self.membership.shutdown.is_none() {
            self.membership.next_fence_at = now + RETRY_INTERVAL_MS;
            self.take_over_replica(now, others);
        }
    }

    /// Bootstraps the replicas once enough control nodes are known and their number is stable. The first ones by name
    /// hold the replicas.
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

    /// Fences the replica that this node is to hold, if there is one, and has its epoch installed.
    fn take_over_replica(&mut self, now: u64, others: Vec<String>) {
        // Holders may change while this node waits, so it asks again.
        let is_due = now >= self.membership.holders_requested_at + HOLDERS_INTERVAL_MS;
        if self.membership.known_replicas.is_none() || is_due {
            self.membership.holders_requested_at = now;
            self.send_announcement(others.clone(), None, Epochs::new());
        }
        let Some(replica) = self.replica_to_take_over(now) else {
            return;
        };
        let Some(request) = self.acceptor.recovery_request(&replica) else {
            return;
        };
        let (Request::Fence { epoch, .. } | Request::Install { epoch, .. }) = request else {
            return;
        };
        if self.membership.recovery_epoch != Some(epoch) {
            log::info!("state: This node fences replica {replica} in epoch {epoch}.");
            self.membership.recovery_epoch = Some(epoch);
        }
        let bytes = postcard::to_stdvec(&request).expect("plain data has an encoding");
        for node in others {
            let queue = self.queue.clone();
            self.send_consensus(&node, bytes.clone(), move |response| {
                let _ = queue.send(Command::RecoveryResponse { epoch, response });
            });
        }
    }

    /// The replica that this node should fence: after a lost disk the one that it held before, otherwise one whose node
    /// has been down or leaving for long enough. If several nodes wait, each chooses a different replica, by the order
    /// of their names.
    fn replica_to_take_over(&mut self, now: u64) -> Option<ReplicaId> {
        let has_contact = self.has_quorum_contact(now);
        let local = &self.gossip.local().name;
        let known = self.membership.known_replicas.as_ref()?;
        let holder = |replica: &str| known.epochs.holder(replica);
        // A node that keeps the state of a replica takes over no other one, which would overwrite it.
        let retained = self.acceptor.retained_replica();
        let may_hold = |replica: &&ReplicaId| retained.is_none_or(|retained| retained == *replica);
        let mut candidates = known.replicas.iter().filter(may_hold);
        if let Some(own) = candidates.find(|replica| holder(replica) == *local) {
            return Some(own.clone());
        }
        // Without quorum contact, this node cannot tell which other nodes are down.
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
        let rank = waiting.filter(|member| member.name < *local).count();
        let vacant = &mut self.membership.vacant;
        let is_vacant = |replica: &&ReplicaId| !is_up(&self.gossip, &holder(replica));
        vacant.retain(|replica, _| is_vacant(&replica));
        for replica in known.replicas.iter().filter(is_vacant) {
            vacant.entry(replica.clone()).or_insert(now);
        }
        let (replica, since) = match retained {
            Some(retained) => vacant.get_key_value(retained)?,
            None => vacant.iter().nth(rank)?,
        };
        // A node that is shutting down on request will not be back soon; one that is down may be.
        let member = self.gossip.member(&holder(replica));
        let is_leaving = member.is_some_and(|member| member.state == MemberState::Leaving);
        let down_delay_ms = (self.settings.bounds.sync_s * TAKEOVER_DELAY_MS_PER_SYNC_S) as u64;
        let delay_ms = if is_leaving {
            LEAVING_TAKEOVER_DELAY_MS
        } else {
            down_delay_ms
        };
        (now >= *since + delay_ms).then(|| replica.clone())
    }

    /// Handles the response of a control node to a request for the recovery or takeover of a replica by this node.
    pub(super) fn on_recovery_response(&mut self, epoch: Epoch, response: Response) {
        if let (
            Response::ReplicaState { epochs, .. }
            | Response::Installed { epochs, .. }
            | Response::KnownEpochs { epochs, .. },
            Some(known),
        ) = (&response, &mut self.membership.known_replicas)
        {
            known.epochs.merge(epochs);
        }
        let records = self.acceptor.on_recovery_response(epoch, response);
        if records.is_none() {
            return;
        }
        self.store_identity();
        if self.acceptor.identity().is_some() {
            log::info!("state: The replica is recovered; this node votes again.");
            self.start_voting();
        } else {
            log::info!(
                "state: The state of the replica is complete; epoch {epoch} is to be installed."
            );
        }
    }

    /// Begins the shutdown of this node.
    pub(super) fn begin_shutdown(&mut self, now: u64) {
        let was_voting = self.membership.is_voting;
        self.membership.shutdown = Some(Shutdown {
            since: now,
            was_voting,
        });
    }

    /// Whether the shutdown has reached the phase in which this node rejects new operations and only waits for its
    /// replica to be taken over.
    pub(super) fn is_past_shutdown(&self, now: u64) -> bool {
        let shutdown = self.membership.shutdown;
        shutdown.is_some_and(|shutdown| now >= shutdown.since + SHUTDOWN_ANSWER_MS)
    }

    /// During a shutdown, reads all registers, so that every live replica accepts the values that this one holds.
    pub(super) fn hand_over(&mut self, now: u64) {
        let is_handing_over = self.membership.shutdown.is_some() && self.membership.is_voting;
        if is_handing_over && now >= self.membership.next_handover_at && !self.may_exit() {
            self.membership.next_handover_at = now + RETRY_INTERVAL_MS;
            for register in RegisterId::ALL {
                self.propose_read(register);
            }
        }
    }

    /// Whether the process may exit without loss of state: every other live replica has accepted the values that this
    /// one holds, and if a node is waiting for a replica, it has taken over this one.
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

    /// Whether another replica has accepted the values that this one holds, as observed in rounds of this node.
    fn has_accepted_everything(&self, replica: &str) -> bool {
        RegisterId::ALL.into_iter().all(|register| {
            let accepted = self.acceptor.register(register).accepted.as_ref();
            let seen = self.membership.accepted_by[register].get(replica).copied();
            accepted.map(|accepted| accepted.ballot) <= seen
        })
    }
}

/// Whether a member is eligible to hold a replica.
fn is_candidate(member: &Member) -> bool {
    member.is_control && member.is_quorum_member
}

/// Whether a node is live and not shutting down.
fn is_up(gossip: &beechcroft_gossip::Gossip, name: &str) -> bool {
    gossip
        .live_members()
        .any(|member| member.name == name && member.state < MemberState::Leaving)
}
