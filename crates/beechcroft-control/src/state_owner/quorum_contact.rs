//! What a control node may do by itself: only while it is in contact with a majority of the replicas' nodes.
//!
//! Reads need no such check: each goes through a round of ballots, which only a majority can complete. What no round
//! stands behind needs it: heartbeats, drains and ends of units, where clients go, how rollouts go on. Operations would
//! end in a round, too. They are rejected at once, so that their sender goes to another node and does not wait.

use super::command::Acknowledgement;
use super::{Command, StateOwner, CLOCK_START_MS};
use beechcroft_consensus::{Operation, PerRegister, RegisterId, Revision};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_gossip::{Action, Quorum};
use beechcroft_registry::{EndpointRecord, EndpointState, MergeOutcome};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::rpc::paths;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// Between two looks at who makes the quorum, in milliseconds.
const QUORUM_INTERVAL_MS: u64 = 100;
/// For a majority to store a drain. The unit asks another node after a second.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// At the first start of the whole system, until replicas are bootstrapped, in milliseconds.
const BOOTSTRAP_MS: u64 = 3000;

/// Gets the revisions of both registers, read from a majority.
type RevisionsSender = oneshot::Sender<Result<PerRegister<Revision>, Error>>;

/// Reads of both registers' revisions: those who ask while one is under way share the next.
#[derive(Default)]
pub(super) struct RevisionReads {
    waiting: Vec<RevisionsSender>,
    is_under_way: bool,
}

impl StateOwner {
    /// Looks up the nodes of the other replicas, and how many of them make a majority.
    pub(super) fn update_quorum(&mut self, now: u64) {
        if now < self.quorum_updated_at {
            return;
        }
        self.quorum_updated_at = now + QUORUM_INTERVAL_MS;
        let (nodes, total, votes) = self.quorum_nodes();
        let local = &self.gossip.local().name;
        let others = nodes.into_iter().filter(|name| name != local).collect();
        let required = (total / 2 + 1).saturating_sub(usize::from(votes));
        self.quorum = Quorum { others, required };
        let endpoints = self.gossip.endpoints();
        self.stored_by_majority
            .retain(|id, _| endpoints.get(id).is_some());
    }

    /// The nodes that hold replicas, how many replicas there are, and whether this node holds one.
    fn quorum_nodes(&self) -> (BTreeSet<String>, usize, bool) {
        let has_replica = self.acceptor.identity().is_some();
        if has_replica || self.membership.known().is_some() {
            let replicas = self.replicas();
            let holders = replicas
                .iter()
                .map(|replica| self.holder(replica))
                .collect();
            return (holders, replicas.len(), has_replica);
        }
        // Replicas are not known: among the nodes that may hold some, a majority of as many as there will be.
        let members = self.gossip.members();
        let candidates = members.filter(|member| member.is_control && member.is_quorum_member);
        let candidates: BTreeSet<String> = candidates.map(|member| member.name.clone()).collect();
        let is_candidate = self.is_bootstrapping && self.settings.quorum_member;
        let least = 2 * self.settings.fault_tolerance.node_losses + 1;
        let total = least.max(candidates.len() + usize::from(is_candidate));
        (candidates, total, is_candidate)
    }

    /// Whether this node is in contact with a majority.
    pub(super) fn has_quorum_contact(&self, now: u64) -> bool {
        // Before the first look nobody has been pinged.
        self.quorum_updated_at > 0 && self.gossip.has_quorum_contact(now, &self.quorum)
    }

    /// Whether this node does what one of those in contact has to do and any may.
    pub(super) fn is_coordinator(&self, now: u64) -> bool {
        self.gossip.is_coordinator(now, &self.quorum)
    }

    fn is_bootstrap_under_way(&self, now: u64) -> bool {
        self.acceptor.identity().is_none()
            && self.is_bootstrapping
            && now < CLOCK_START_MS + BOOTSTRAP_MS
    }

    fn check_may_serve(&self, now: u64) -> Acknowledgement {
        match self.has_quorum_contact(now) || !Safeguard::QuorumContactToServe.is_enabled() {
            true => Ok(()),
            false => Err(Self::no_contact()),
        }
    }

    /// A node without contact proposes no operation but reads: the round of a read shows whether there is a majority.
    pub(super) fn check_may_propose(&self, now: u64, operation: &Operation) -> Acknowledgement {
        match (self.acceptor.identity(), operation) {
            // At the first start operations wait for the replicas to be bootstrapped.
            (None, _) if self.is_bootstrap_under_way(now) => Ok(()),
            (None, _) => Err(Self::no_contact()),
            (Some(_), Operation::Read) => Ok(()),
            (Some(_), _) => self.check_may_serve(now),
        }
    }

    /// A unit's heartbeat.
    pub(super) fn on_heartbeat(
        &mut self,
        now: u64,
        record: EndpointRecord,
        done: oneshot::Sender<Acknowledgement>,
        actions: &mut Vec<Action>,
    ) {
        if let Err(error) = self.check_may_serve(now) {
            let _ = done.send(Err(error));
            return;
        }
        let (id, state) = (record.id.clone(), record.state);
        let is_changed = self.gossip.record_heartbeat(now, record) == MergeOutcome::Changed;
        self.checkpoint.endpoints_changed |= is_changed;
        // Also when a drain is not new here: it may have come by way of a node that could not confirm it.
        let is_drain = state != EndpointState::Ready
            && (is_changed || Safeguard::RepeatedDrainOnMajority.is_enabled());
        if is_drain {
            self.store_on_majority(now, &id, state, done, actions);
        } else {
            let _ = done.send(Ok(()));
        }
    }

    /// A unit ends.
    pub(super) fn on_deregister(
        &mut self,
        now: u64,
        id: &str,
        done: oneshot::Sender<Acknowledgement>,
        actions: &mut Vec<Action>,
    ) {
        if let Err(error) = self.check_may_serve(now) {
            let _ = done.send(Err(error));
            return;
        }
        self.checkpoint.endpoints_changed |= self.gossip.deregister_endpoint(now, id);
        self.store_on_majority(now, id, EndpointState::Gone, done, actions);
    }

    /// A drain or an end is acknowledged once a majority of the control nodes stores it, this one among them if it holds
    /// a replica. Then every proxy that is in contact with the control plane learns of it, whichever nodes are lost or cut
    /// off afterwards.
    fn store_on_majority(
        &mut self,
        now: u64,
        id: &str,
        state: EndpointState,
        done: oneshot::Sender<Acknowledgement>,
        actions: &mut Vec<Action>,
    ) {
        let is_needed = Safeguard::DrainOnMajority.is_enabled();
        let required = if is_needed { self.quorum.required } else { 0 };
        let is_stored = self
            .stored_by_majority
            .get(id)
            .is_some_and(|held| *held >= state);
        let record = self.gossip.endpoints().record(now, id);
        let Some(record) = record.filter(|_| !is_stored && required > 0) else {
            let _ = done.send(Ok(()));
            return;
        };
        self.gossip.flush_now(now, actions);
        let state = record.state;
        let Ok(bytes) = postcard::to_stdvec(&record) else {
            return;
        };
        let mut stored = self.send_endpoint_to_quorum(bytes);
        let (queue, id) = (self.queue.clone(), id.to_owned());
        spawn_local(async move {
            let mut count = 0;
            while count < required && stored.recv().await.is_some() {
                count += 1;
            }
            let acknowledgement = if count >= required {
                let _ = queue.send(Command::StoredByMajority { id, state });
                Ok(())
            } else {
                // Some may store it, and it may still be passed on: no promise that nothing was done.
                Err(Error::new(
                    ErrorKind::NoQuorum,
                    "no majority of the core holds it yet",
                ))
            };
            let _ = done.send(acknowledgement);
        });
    }

    /// Sends an endpoint's record to the other nodes of the quorum: a message for each that stores it.
    fn send_endpoint_to_quorum(&self, record: Vec<u8>) -> mpsc::UnboundedReceiver<()> {
        let (sender, stored) = mpsc::unbounded_channel();
        let others = self
            .quorum
            .others
            .iter()
            .filter_map(|name| self.gossip.member(name));
        for to in others.map(|member| self.gossip.address(member)) {
            let (rpc, record, sender) = (self.rpc.clone(), record.clone(), sender.clone());
            spawn_local(async move {
                if rpc
                    .call(to, paths::ENDPOINT, record, STORE_TIMEOUT)
                    .await
                    .is_ok()
                {
                    let _ = sender.send(());
                }
            });
        }
        stored
    }

    /// A linearizable read of both registers' revisions: what was acknowledged before it was asked for is counted in. A
    /// proxy that starts relies on nothing older.
    pub(super) fn on_read_revisions(&mut self, now: u64, revisions: RevisionsSender) {
        let has_none = self.gossip.revisions() == PerRegister::default();
        if self.is_bootstrap_under_way(now) && self.has_quorum_contact(now) && has_none {
            // No replicas yet, so nothing is chosen.
            let _ = revisions.send(Ok(PerRegister::default()));
            return;
        }
        if self.acceptor.identity().is_none() || !self.has_quorum_contact(now) {
            let _ = revisions.send(Err(Self::no_contact()));
            return;
        }
        self.revision_reads.waiting.push(revisions);
        self.read_revisions();
    }

    pub(super) fn on_revisions_read(&mut self) {
        self.revision_reads.is_under_way = false;
        self.read_revisions();
    }

    fn read_revisions(&mut self) {
        if self.revision_reads.is_under_way || self.revision_reads.waiting.is_empty() {
            return;
        }
        self.revision_reads.is_under_way = true;
        let waiting = std::mem::take(&mut self.revision_reads.waiting);
        let reads = RegisterId::ALL.map(|register| self.propose_awaited_read(register));
        let queue = self.queue.clone();
        spawn_local(async move {
            let mut result = Ok(PerRegister::default());
            for (register, outcome) in RegisterId::ALL.into_iter().zip(reads) {
                let outcome = outcome.await.unwrap_or_else(|_| Err(Self::no_contact()));
                match (outcome, &mut result) {
                    (Ok(value), Ok(revisions)) => revisions[register] = value.revision,
                    (Err(error), Ok(_)) => result = Err(error),
                    (_, Err(_)) => {}
                }
            }
            for revisions in waiting {
                let _ = revisions.send(result.clone());
            }
            let _ = queue.send(Command::RevisionsRead);
        });
    }
}
