//! Consensus: requests to this node's replica, proposals and rounds of its own, and values that are chosen.

use super::checkpoint::CHOSEN_KEYS;
use super::{Command, StateOwner};
use beechcroft_config::config::Service;
use beechcroft_config::Config;
use beechcroft_consensus::{
    encoding, Action, Ballot, ConfigStore, Event, Operation, OperationsState, Outcome, ProposalId,
    RegisterId, ReplicaId, Request, Response, Value,
};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::rpc::paths;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long a node waits for the response to a consensus request.
pub const CONSENSUS_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after its receipt within which a conditional operation may begin a round, in milliseconds.
pub const PROPOSAL_TIMEOUT_MS: u64 = 2500;
/// Time after its receipt within which an unconditional operation may begin a round, in milliseconds. The operator
/// retries on another node after a second without a response, and this operation must not begin a round after that. The
/// difference allows for the transit time of the request and for a stall of this process that is too short to be
/// detected.
const UNCONDITIONAL_TIMEOUT_MS: u64 = 700;
/// Offset between the rereads of one control node and those of the next by name, in milliseconds.
const REREAD_STAGGER_MS: u64 = 120;

/// Operations that were passed to this node's proposer.
#[derive(Default)]
pub(super) struct Proposals {
    last_id: ProposalId,
    /// Receivers of the outcomes that are awaited.
    waiting: BTreeMap<ProposalId, oneshot::Sender<Outcome>>,
    /// Quorum reads, with the time at which each was proposed.
    quorum_reads: BTreeMap<ProposalId, u64>,
}

impl StateOwner {
    /// Handles a request for this node's replica. The response is sent once the records that it depends on are on disk.
    pub(super) fn on_consensus(&mut self, request: Request, response: oneshot::Sender<Response>) {
        let announcement = match &request {
            Request::AnnounceEpochs { sender, epochs } => Some((sender.clone(), epochs.clone())),
            _ => None,
        };
        let (answer, mut records) = self.acceptor.step(request);
        if !self.membership.is_identity_stored() && Safeguard::IdentityBeforeResponse.is_enabled() {
            records.splice(0..0, self.acceptor.records());
        }
        match announcement {
            Some((sender, epochs)) => self.on_announcement(sender, &epochs),
            None => self.stop_voting_if_deposed(),
        }
        let disk = self.disk.clone();
        spawn_local(async move {
            // After a failed write, the replica is ahead of its disk, but no response has disclosed the difference. Any
            // later response that does is sent only after a write of the whole register.
            if disk.store(records).await || !Safeguard::SyncBeforeResponse.is_enabled() {
                let _ = response.send(answer);
            }
        });
    }

    /// Handles a response to this node's proposer.
    pub(super) fn on_consensus_response(
        &mut self,
        from: ReplicaId,
        register: RegisterId,
        ballot: Ballot,
        response: Response,
    ) {
        if let Response::Accepted { epochs, .. } | Response::Rejected { epochs, .. } = &response {
            self.merge_epochs(epochs);
        }
        if let Response::Accepted { replica, .. } = &response {
            self.membership.record_acceptance(register, replica, ballot);
        }
        self.step_proposer(Event::Response {
            from,
            register,
            ballot,
            response,
        });
    }

    /// Handles an operation that a caller of this node proposes.
    pub(super) fn on_propose(
        &mut self,
        now: u64,
        register: RegisterId,
        operation: Operation,
        received_at: Instant,
        outcome: oneshot::Sender<Outcome>,
    ) {
        if self.is_known_chosen(&operation) {
            let _ = outcome.send(Ok(self.chosen[RegisterId::Config].clone()));
            return;
        }
        match self.proposal_deadline(now, &operation, received_at) {
            Ok(deadline) => {
                self.proposals
                    .waiting
                    .insert(self.proposals.last_id + 1, outcome);
                self.propose_until(register, operation, deadline);
            }
            Err(error) => drop(outcome.send(Err(error))),
        }
    }

    /// Returns the deadline by which an operation must begin a round, or an error if it is rejected.
    ///
    /// An unconditional operation takes effect whenever it is applied, even after later operations of the same caller.
    /// Its deadline therefore ends before the caller may have turned to another node.
    fn proposal_deadline(
        &self,
        now: u64,
        operation: &Operation,
        received_at: Instant,
    ) -> Result<u64, Error> {
        if self.is_past_shutdown(now) {
            return Err(Error::new(ErrorKind::ShuttingDown, "this machine leaves"));
        }
        self.check_may_propose(now, operation)?;
        let received_at = self.at(received_at);
        if operation.is_conditional() {
            return Ok(received_at + PROPOSAL_TIMEOUT_MS);
        }
        if self.now() < self.stalled_until && Safeguard::StallRejection.is_enabled() {
            return Err(Error::new(ErrorKind::Stalled, "ask another control node"));
        }
        match Safeguard::UnconditionalDeadline.is_enabled() {
            true => Ok(received_at + UNCONDITIONAL_TIMEOUT_MS),
            false => Ok(received_at + PROPOSAL_TIMEOUT_MS),
        }
    }

    /// Whether an operation repeats a configuration that this node knows to be chosen. Such a repeat is confirmed
    /// without a round, because a chosen value stays chosen. This lets a node confirm it even if its rounds keep
    /// conflicting with those of other nodes.
    fn is_known_chosen(&self, operation: &Operation) -> bool {
        let Operation::ReplaceConfig { .. } = operation else {
            return false;
        };
        Safeguard::KnownChosenRepeat.is_enabled()
            && ConfigStore::decode(&self.chosen[RegisterId::Config])
                .is_ok_and(|store| store.has_committed(operation))
    }

    /// Proposes an operation of this node's own. Returns the id of the proposal.
    pub(super) fn propose(&mut self, operation: Operation) -> ProposalId {
        self.propose_to(operation.register(), operation)
    }

    /// Proposes a linearizable read of a register.
    pub(super) fn propose_read(&mut self, register: RegisterId) -> ProposalId {
        self.propose_to(register, Operation::Read)
    }

    fn propose_to(&mut self, register: RegisterId, operation: Operation) -> ProposalId {
        let deadline = self.now() + PROPOSAL_TIMEOUT_MS;
        self.propose_until(register, operation, deadline)
    }

    fn propose_until(
        &mut self,
        register: RegisterId,
        operation: Operation,
        deadline: u64,
    ) -> ProposalId {
        self.proposals.last_id += 1;
        let id = self.proposals.last_id;
        self.step_proposer(Event::Propose {
            id,
            register,
            operation,
            deadline,
        });
        id
    }

    /// Proposes a linearizable read of a register and returns the receiver of its outcome.
    pub(super) fn propose_awaited_read(
        &mut self,
        register: RegisterId,
    ) -> oneshot::Receiver<Outcome> {
        let (sender, outcome) = oneshot::channel();
        self.proposals
            .waiting
            .insert(self.proposals.last_id + 1, sender);
        self.propose_read(register);
        outcome
    }

    /// Proposes a quorum read: a read of the operations register as evidence that the control nodes agree.
    pub(super) fn propose_quorum_read(&mut self, now: u64) {
        let id = self.propose_read(RegisterId::Operations);
        self.proposals.quorum_reads.insert(id, now);
    }

    /// Cancels operations whose outcome is no longer awaited.
    fn cancel_abandoned(&mut self) {
        let waiting = self.proposals.waiting.iter();
        let abandoned = waiting
            .filter(|(_, outcome)| outcome.is_closed())
            .map(|(id, _)| *id);
        for id in abandoned.collect::<Vec<ProposalId>>() {
            self.proposals.waiting.remove(&id);
            self.proposer
                .step(self.now(), Event::Cancel { id }, &|_| None, &mut Vec::new());
        }
    }

    pub(super) fn tick_proposer(&mut self) {
        self.step_proposer(Event::Tick);
    }

    fn step_proposer(&mut self, event: Event) {
        self.cancel_abandoned();
        let mut actions = Vec::new();
        let (now, acceptor) = (self.now(), &self.acceptor);
        let local = |register| acceptor.register(register).accepted.clone();
        self.proposer.step(now, event, &local, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, request } => self.send_to_replicas(to, &request),
                Action::Complete { id, outcome } => self.complete(id, outcome),
                Action::Chosen { register, value } => self.on_chosen(register, value),
            }
        }
    }

    fn complete(&mut self, id: ProposalId, outcome: Outcome) {
        let proposed_at = self.proposals.quorum_reads.remove(&id);
        if let (Ok(value), Some(proposed_at)) = (&outcome, proposed_at) {
            // Dated by the start of the round, because this node may have been stalled during it.
            self.gossip.record_quorum_read(proposed_at, value.revision);
        }
        if let Some(waiting) = self.proposals.waiting.remove(&id) {
            let _ = waiting.send(outcome);
        }
    }

    /// Sends a request to the holders of replicas, which may include this node.
    fn send_to_replicas(&mut self, replicas: Vec<ReplicaId>, request: &Request) {
        let Some((register, ballot)) = request.round() else {
            return;
        };
        let bytes = postcard::to_stdvec(request).expect("plain data has an encoding");
        for from in replicas {
            let queue = self.queue.clone();
            let holder = self.holder(&from);
            let on_response = move |response| {
                let _ = queue.send(Command::ConsensusResponse {
                    from,
                    register,
                    ballot,
                    response,
                });
            };
            if holder == self.gossip.local().name {
                let (sender, response) = oneshot::channel();
                self.on_consensus(request.clone(), sender);
                spawn_local(async move {
                    if let Ok(response) = response.await {
                        on_response(response);
                    }
                });
            } else {
                self.send_consensus(&holder, bytes.clone(), on_response);
            }
        }
    }

    /// Sends a request to another control node. `on_response` is called only if a response arrives in time.
    pub(super) fn send_consensus(
        &self,
        node: &str,
        request: Vec<u8>,
        on_response: impl FnOnce(Response) + 'static,
    ) {
        let Some(to) = self.address_of(node) else {
            return;
        };
        let rpc = self.rpc.clone();
        spawn_local(async move {
            let response = rpc
                .call(to, paths::CONSENSUS, request, CONSENSUS_TIMEOUT)
                .await;
            let decoded = response
                .ok()
                .and_then(|bytes| postcard::from_bytes(&bytes).ok());
            if let Some(response) = decoded {
                on_response(response);
            }
        });
    }

    fn address_of(&self, node: &str) -> Option<SocketAddrV4> {
        self.gossip
            .member(node)
            .map(|member| self.gossip.address(member))
    }

    /// Applies a value that is chosen, by a round of this node or according to another node. Older values are ignored.
    pub(super) fn on_chosen(&mut self, register: RegisterId, value: Value) {
        if value.revision <= self.chosen[register].revision {
            return;
        }
        let applied = match register {
            RegisterId::Config => self.apply_config(&value),
            RegisterId::Operations => self.apply_operations(&value),
        };
        if let Err(error) = applied {
            log::error!("state: Cannot apply the chosen value of register {register}: {error}.");
            return;
        }
        let key = CHOSEN_KEYS[register].to_owned();
        self.write_unacknowledged(vec![(key, encoding::encode(&value))]);
        self.gossip.set_revision(register, value.revision);
        self.chosen[register] = value;
        let (now, mut actions) = (self.now(), Vec::new());
        self.gossip.flush_now(now, &mut actions);
        self.perform(actions);
    }

    fn apply_config(&mut self, value: &Value) -> Result<(), Error> {
        let body = ConfigStore::decode(value)?.body()?;
        let mut services: Vec<Service> = Vec::new();
        if let Ok(mut config) = Config::read(&body) {
            self.defaults.apply(&mut config);
            services = config.services;
        }
        let rules = services
            .iter()
            .filter_map(|s| Some((s.name.clone(), s.unfit.clone()?)));
        self.outlier_rules = rules.collect();
        self.services = services.into_iter().map(|service| service.name).collect();
        Ok(())
    }

    fn apply_operations(&mut self, value: &Value) -> Result<(), Error> {
        self.operations = OperationsState::decode(value)?;
        log::info!(
            "state: Operations at {}: {:?}.",
            value.revision,
            self.operations
        );
        Ok(())
    }

    /// Reads registers in which this replica has accepted a value that it does not know to be chosen. The round of the
    /// read confirms or replaces the value. Simultaneous rounds of all control nodes would conflict, so the nodes take
    /// turns in the order of their names.
    pub(super) fn reread_unconfirmed(&mut self, now: u64) {
        if now < self.next_reread_at {
            return;
        }
        let local = self.gossip.local().name.as_str();
        let members = self.gossip.live_members();
        let rank = members
            .filter(|m| m.is_control && m.name.as_str() < local)
            .count() as u64;
        let is_first = self.next_reread_at == 0;
        let delay = if is_first { 1 } else { PROPOSAL_TIMEOUT_MS };
        self.next_reread_at = now + delay + rank * REREAD_STAGGER_MS;
        if is_first {
            return;
        }
        for register in RegisterId::ALL {
            let accepted = self.acceptor.register(register).accepted.as_ref();
            let chosen = self.chosen[register].revision;
            if accepted.is_some_and(|accepted| accepted.value.revision > chosen) {
                self.propose_read(register);
            }
        }
    }
}
