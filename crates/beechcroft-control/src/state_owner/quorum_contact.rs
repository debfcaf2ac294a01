//! Checks of quorum contact: what a control node may do only while it is in contact with a majority of the nodes that
//! hold replicas.
//!
//! Linearizable reads need no check, because each is a consensus round, which only a majority can complete. Decisions
//! that no round confirms need it: acknowledging heartbeats, drains and deregistrations, resolving clients, advancing
//! rollouts. Operations other than reads would also end in a round; they are rejected at once all the same, so that the
//! caller turns to another node instead of waiting for a time-out.

use super::command::Acknowledgement;
use super::{Command, StateOwner, CLOCK_START_MS};
use beechcroft_consensus::{Operation, PerRegister, RegisterId, Revision};
use beechcroft_error::Error;
use beechcroft_gossip::Quorum;
use beechcroft_safeguards::Safeguard;
use std::collections::BTreeSet;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Interval between updates of the nodes that form the quorum, in milliseconds.
const QUORUM_INTERVAL_MS: u64 = 100;
/// How long after the first start of the whole system operations wait for the replicas to be bootstrapped, in
/// milliseconds.
const BOOTSTRAP_MS: u64 = 3000;

/// Receives the revisions of both registers as read from a majority.
type RevisionsSender = oneshot::Sender<Result<PerRegister<Revision>, Error>>;

/// Linearizable reads of both registers' revisions. Callers that arrive while a read is in progress share the next one.
#[derive(Default)]
pub(super) struct RevisionReads {
    waiting: Vec<RevisionsSender>,
    is_in_progress: bool,
}

impl StateOwner {
    /// Updates the nodes that hold the other replicas, and the number of them that make a majority.
    pub(super) fn update_quorum(&mut self, now: u64) {
        if now < self.next_quorum_update_at {
            return;
        }
        self.next_quorum_update_at = now + QUORUM_INTERVAL_MS;
        let (nodes, total, is_included) = self.quorum_nodes();
        let local = &self.gossip.local().name;
        let others = nodes.into_iter().filter(|name| name != local).collect();
        let required = (total / 2 + 1).saturating_sub(usize::from(is_included));
        self.quorum = Quorum {
            others,
            required,
            includes_local: is_included,
        };
        self.stored_by_majority
            .forget_expired(self.gossip.endpoints());
    }

    /// The nodes that hold replicas, the number of replicas, and whether this node holds one. Before the replicas are
    /// known, the nodes that may hold them take their place.
    fn quorum_nodes(&self) -> (BTreeSet<String>, usize, bool) {
        let has_replica = self.acceptor.identity().is_some();
        if has_replica || self.membership.known_replicas().is_some() {
            let replicas = self.replicas();
            let holders = replicas
                .iter()
                .map(|replica| self.holder(replica))
                .collect();
            return (holders, replicas.len(), has_replica);
        }
        // The replicas are not known yet: a majority of the number of replicas that there will be, among the nodes that
        // are eligible.
        let members = self.gossip.members();
        let candidates = members.filter(|member| member.is_control && member.is_quorum_member);
        let candidates: BTreeSet<String> = candidates.map(|member| member.name.clone()).collect();
        let is_candidate = self.is_bootstrapping && self.settings.quorum_member;
        let min_total = 2 * self.settings.fault_tolerance.node_losses + 1;
        let total = min_total.max(candidates.len() + usize::from(is_candidate));
        (candidates, total, is_candidate)
    }

    /// Whether this node is in contact with a majority.
    pub(super) fn has_quorum_contact(&self, now: u64) -> bool {
        // Before the first update the quorum is empty, and no node has been pinged.
        self.next_quorum_update_at > 0 && self.gossip.has_quorum_contact(now, &self.quorum)
    }

    /// Whether this node takes on the tasks that any one control node with quorum contact may do.
    pub(super) fn is_coordinator(&self, now: u64) -> bool {
        self.gossip.is_coordinator(now, &self.quorum)
    }

    /// Whether the replicas may still be about to be bootstrapped.
    fn is_bootstrap_in_progress(&self, now: u64) -> bool {
        self.acceptor.identity().is_none()
            && self.is_bootstrapping
            && now < CLOCK_START_MS + BOOTSTRAP_MS
    }

    /// Rejects a call that needs quorum contact if there is none.
    pub(super) fn check_may_serve(&self, now: u64) -> Acknowledgement {
        match self.has_quorum_contact(now) || !Safeguard::QuorumContactToServe.is_enabled() {
            true => Ok(()),
            false => Err(Self::no_quorum_contact()),
        }
    }

    /// Rejects an operation that this node must not propose. Without quorum contact it proposes only reads, because the
    /// round of a read shows whether there is a majority.
    pub(super) fn check_may_propose(&self, now: u64, operation: &Operation) -> Acknowledgement {
        match (self.acceptor.identity(), operation) {
            // At the first start, operations wait for the replicas to be bootstrapped.
            (None, _) if self.is_bootstrap_in_progress(now) => Ok(()),
            (None, _) => Err(Self::no_quorum_contact()),
            (Some(_), Operation::Read) => Ok(()),
            (Some(_), _) => self.check_may_serve(now),
        }
    }

    /// Handles a linearizable read of both registers' revisions, which includes every operation acknowledged before the
    /// read was requested. A proxy that starts becomes ready only with these revisions.
    pub(super) fn on_read_revisions(&mut self, now: u64, revisions: RevisionsSender) {
        let holds_no_value = self.gossip.revisions() == PerRegister::default();
        if self.is_bootstrap_in_progress(now) && self.has_quorum_contact(now) && holds_no_value {
            // Without replicas, no value has been chosen.
            let _ = revisions.send(Ok(PerRegister::default()));
            return;
        }
        if self.acceptor.identity().is_none() || !self.has_quorum_contact(now) {
            let _ = revisions.send(Err(Self::no_quorum_contact()));
            return;
        }
        self.revision_reads.waiting.push(revisions);
        self.read_revisions();
    }

    pub(super) fn on_revisions_read(&mut self) {
        self.revision_reads.is_in_progress = false;
        self.read_revisions();
    }

    fn read_revisions(&mut self) {
        if self.revision_reads.is_in_progress || self.revision_reads.waiting.is_empty() {
            return;
        }
        self.revision_reads.is_in_progress = true;
        let waiting = std::mem::take(&mut self.revision_reads.waiting);
        let reads = RegisterId::ALL.map(|register| self.propose_awaited_read(register));
        let queue = self.queue.clone();
        spawn_local(async move {
            let mut result = Ok(PerRegister::default());
            for (register, outcome) in RegisterId::ALL.into_iter().zip(reads) {
                let outcome = outcome
                    .await
                    .unwrap_or_else(|_| Err(Self::no_quorum_contact()));
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
