//! The behaviour of the model's nodes: how a node drives its acceptor and its proposer, and how it restarts.

use crate::consensus::ConsensusModel;
use crate::state::{node_name, Breach, Machine, Packet, State};
use beechcroft_consensus::{Acceptor, Operation, Proposer, RegisterId, Request, Response};
use beechcroft_consensus::{Action, Epoch, Event};
use beechcroft_consensus::{Epochs, Records};
use std::collections::BTreeSet;

impl ConsensusModel {
    /// How many replicas may be lost at the same time (f).
    pub fn tolerated_losses(&self) -> usize {
        (self.replica_count - 1) / 2
    }

    /// Carries out the actions of a node's proposer.
    pub fn apply_actions(state: &mut State, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, request } => {
                    for replica in to {
                        let holder = state.machines[at].holder(&replica);
                        let request = request.clone();
                        state.send(Packet::Request {
                            to: holder,
                            from: at,
                            replica,
                            request,
                        });
                    }
                }
                Action::Complete { id, outcome } => {
                    state
                        .history
                        .update(|history| history.record_outcome(id, &outcome));
                }
                Action::Chosen { value, .. } => state
                    .history
                    .update(|history| history.record_chosen(&value)),
            }
        }
    }

    pub fn step_proposer(state: &mut State, at: usize, event: Event) {
        let actions = state.machines[at].update(|machine| {
            let Machine {
                acceptor,
                proposer,
                now,
                ..
            } = machine;
            let mut actions = Vec::new();
            proposer.step(
                *now,
                event,
                &|register| acceptor.register(register).accepted.clone(),
                &mut actions,
            );
            actions
        });
        Self::apply_actions(state, at, actions);
    }

    /// Restarts a node with the current contents of its disk.
    pub fn restart(&self, state: &mut State, at: usize) {
        let tolerated_losses = self.tolerated_losses();
        state.machines[at].update(|machine| {
            machine.starts += 1;
            // The salt differs between the processes of a node, but two nodes may draw the same epoch.
            let salt = (machine.starts * 8) << 2;
            machine.acceptor = Acceptor::new(&node_name(at), tolerated_losses, salt, &machine.disk);
            machine.proposer = Proposer::new(salt + at as u64);
            (machine.now, machine.told) = (0, None);
            machine.votes = machine.acceptor.identity().is_some();
        });
        // Responses to the former process are lost.
        state.in_flight.retain(|packet| match **packet {
            Packet::Response { to, .. } | Packet::Fenced { to, .. } => to != at,
            _ => true,
        });
        Self::update_proposer_replicas(state, at);
    }

    /// Records in the history which replica a node votes for, and in which epoch.
    pub fn record_vote(state: &mut State, at: usize) {
        let Some(identity) = &state.machines[at].acceptor.identity() else {
            return;
        };
        let vote = (identity.replica.clone(), identity.epoch);
        if state.history.votes.get(&vote) == Some(&at) {
            return;
        }
        state.history.update(|history| {
            if identity.replica != node_name(at) {
                history.replaced.insert(identity.replica.clone());
            }
            if history.votes.insert(vote, at).is_some() {
                history.breaches.insert(Breach::TwoHolders);
            }
        });
    }

    /// The latest epoch in which a node has voted for a replica, and that node.
    pub fn holder(state: &State, replica: &str) -> Option<(Epoch, usize)> {
        let votes = state
            .history
            .votes
            .iter()
            .filter(|((voted_for, _), _)| voted_for == replica);
        votes.map(|((_, epoch), at)| (*epoch, *at)).max()
    }

    /// Replicas for which no node votes in their latest epoch, or which are being taken over.
    pub fn unavailable_replicas(&self, state: &State) -> BTreeSet<String> {
        let is_unavailable = |replica: &String| {
            let Some((epoch, at)) = Self::holder(state, replica) else {
                return true;
            };
            let votes = |identity: &beechcroft_consensus::ReplicaIdentity| {
                (&identity.replica, identity.epoch) == (replica, epoch)
            };
            let fenced = |identity: &beechcroft_consensus::ReplicaIdentity| {
                identity.epochs.is_fenced(replica, epoch)
            };
            let identities = || {
                state
                    .machines
                    .iter()
                    .filter_map(|machine| machine.acceptor.identity())
            };
            !state.machines[at].acceptor.identity().is_some_and(votes) || identities().any(fenced)
        };
        (0..self.replica_count)
            .map(node_name)
            .filter(is_unavailable)
            .collect()
    }

    /// Whether the number of unavailable replicas, including a further one, is tolerated.
    pub fn is_tolerable(&self, unavailable: &BTreeSet<String>, further: Option<&str>) -> bool {
        unavailable.len()
            + usize::from(further.is_some_and(|replica| !unavailable.contains(replica)))
            <= self.tolerated_losses()
    }

    /// The replicas that a node without one may fence: its own after a lost disk, else any whose takeover is tolerated.
    pub fn recoverable_replicas(
        &self,
        state: &State,
        at: usize,
        unavailable: &BTreeSet<String>,
    ) -> Vec<String> {
        let machine = &state.machines[at];
        let Some((replicas, epochs)) = &machine.told else {
            return Vec::new();
        };
        if let Some(retained) = machine.acceptor.retained_replica() {
            return vec![retained.clone()];
        }
        let held = |replica: &String| epochs.holder(replica);
        if let Some(own) = replicas
            .iter()
            .find(|replica| held(replica) == node_name(at))
        {
            return vec![own.clone()];
        }
        replicas
            .iter()
            .filter(|replica| self.is_tolerable(unavailable, Some(replica)))
            .cloned()
            .collect()
    }

    /// Writes records to a node's disk, unless the model skips syncs.
    pub fn sync(&self, state: &mut State, at: usize, records: Records) {
        if !records.is_empty() && !self.skips_sync {
            state.machines[at].update(|machine| machine.disk.extend(records));
        }
    }

    pub fn deliver(&self, state: &mut State, packet: Packet) {
        match packet {
            Packet::Request {
                to,
                from,
                replica,
                request,
            } => {
                let ballot = match &request {
                    Request::Prepare { ballot, .. }
                    | Request::Accept { ballot, .. }
                    | Request::Confirm { ballot, .. } => *ballot,
                    Request::Fence { .. }
                    | Request::Install { .. }
                    | Request::AnnounceEpochs { .. } => return,
                };
                let response = self.step_acceptor(state, to, request);
                state.send(Packet::Response {
                    to: from,
                    from: to,
                    replica,
                    ballot,
                    response,
                });
            }
            Packet::Response {
                to,
                replica,
                ballot,
                response,
                ..
            } => {
                if let Response::Accepted { epochs, .. } | Response::Rejected { epochs, .. } =
                    &response
                {
                    self.merge_epochs(state, to, epochs);
                }
                Self::step_proposer(
                    state,
                    to,
                    Event::Response {
                        from: replica,
                        register: RegisterId::Config,
                        ballot,
                        response,
                    },
                );
            }
            Packet::Fence { to, from, request } => {
                let epoch = match &request {
                    Request::Fence { epoch, .. } | Request::Install { epoch, .. } => *epoch,
                    _ => Epoch(0),
                };
                let response = self.step_acceptor(state, to, request);
                state.send(Packet::Fenced {
                    to: from,
                    from: to,
                    epoch,
                    response,
                });
            }
            Packet::Fenced {
                to,
                response: Response::KnownEpochs { replicas, epochs },
                ..
            } => {
                state.machines[to].update(|machine| {
                    if machine.acceptor.identity().is_none() && machine.told.is_none() {
                        machine.told = Some((replicas, epochs.clone()));
                    }
                });
                Self::update_proposer_replicas(state, to);
                self.merge_epochs(state, to, &epochs);
            }
            Packet::Fenced {
                to,
                epoch,
                response,
                ..
            } => {
                let records = state.machines[to].update(|machine| {
                    if let (Response::ReplicaState { epochs, .. }, Some((_, held))) =
                        (&response, &mut machine.told)
                    {
                        held.merge(epochs);
                    }
                    let records = machine.acceptor.on_recovery_response(epoch, response);
                    machine.votes |= machine.acceptor.identity().is_some();
                    records
                });
                if let Some(records) = records {
                    self.sync(state, to, records);
                    state.machines[to].update(|machine| machine.acceptor.recovery_stored());
                    Self::send_install_request(state, to);
                    Self::update_proposer_replicas(state, to);
                }
            }
        }
    }

    /// Sends a node's request to install its epoch to all others, if its recovery has come that far.
    pub fn send_install_request(state: &mut State, at: usize) {
        let request = state.machines[at].update(|machine| {
            let replica = machine.acceptor.former_identity()?.replica.clone();
            machine.acceptor.recovery_request(&replica)
        });
        if let Some(request @ Request::Install { .. }) = request {
            Self::send_to_others(state, at, &request);
        }
    }

    pub fn send_to_others(state: &mut State, at: usize, request: &Request) {
        for to in (0..state.machines.len()).filter(|&to| to != at) {
            state.send(Packet::Fence {
                to,
                from: at,
                request: request.clone(),
            });
        }
    }

    /// Has a node's acceptor handle a request. Its records are synced before the response is sent.
    pub fn step_acceptor(&self, state: &mut State, at: usize, request: Request) -> Response {
        let announced = match &request {
            Request::AnnounceEpochs { epochs, .. } => Some(epochs.clone()),
            _ => None,
        };
        let asked_for = match &request {
            Request::Fence { replica, .. } => Some(replica.clone()),
            _ => None,
        };
        let (response, records) =
            state.machines[at].update(|machine| machine.acceptor.step(request));
        self.sync(state, at, records);
        if let (Some(asked_for), Response::ReplicaState { sender, .. }) = (asked_for, &response) {
            if asked_for == sender.replica {
                state
                    .history
                    .update(|history| history.handed_over.insert(asked_for));
            }
        }
        match announced {
            Some(epochs) => self.merge_epochs(state, at, &epochs),
            None => self.on_deposed(state, at),
        }
        response
    }

    /// Updates the replicas that a node's rounds address. The node need not hold one of them.
    pub fn update_proposer_replicas(state: &mut State, at: usize) {
        state.machines[at].update(|machine| {
            let told = machine
                .told
                .as_ref()
                .map_or(&[][..], |(replicas, _)| replicas);
            let is_voter = machine.acceptor.identity().is_some();
            let replicas = if is_voter {
                machine.acceptor.replicas()
            } else {
                told
            }
            .to_vec();
            machine
                .proposer
                .set_replicas(&replicas, machine.acceptor.highest_ballot_number());
        });
        Self::record_vote(state, at);
    }

    /// Merges epochs into a node's knowledge.
    pub fn merge_epochs(&self, state: &mut State, at: usize, epochs: &Epochs) {
        let records = state.machines[at].update(|machine| {
            if let (None, Some((_, held))) = (&machine.acceptor.identity(), &mut machine.told) {
                held.merge(epochs);
            }
            machine.acceptor.merge_epochs(epochs)
        });
        self.sync(state, at, records.unwrap_or_default());
        self.on_deposed(state, at);
    }

    /// Handles a deposition: the node keeps its knowledge of epochs and no longer votes.
    pub fn on_deposed(&self, state: &mut State, at: usize) {
        let machine = &state.machines[at];
        let Some(former) = machine.acceptor.former_identity().filter(|_| machine.votes) else {
            return;
        };
        let told = (former.replicas.clone(), former.epochs.clone());
        state.machines[at].update(|machine| (machine.told, machine.votes) = (Some(told), false));
        Self::update_proposer_replicas(state, at);
    }

    pub fn propose(state: &mut State, at: usize, operation: Operation, taken: bool) {
        let id = state
            .history
            .update(|history| history.record_proposal(operation.clone(), taken));
        Self::step_proposer(
            state,
            at,
            Event::Propose {
                id,
                register: RegisterId::Config,
                operation,
                deadline: u64::MAX,
            },
        );
    }

    /// Proposes the next change, based on the newest acknowledged version.
    pub fn propose_next_change(state: &mut State, at: usize) {
        let given = state.history.given.iter();
        let version = 1 + given
            .filter(|given| matches!(given.op, Operation::ReplaceConfig { .. }) && !given.taken)
            .count();
        let base = state.history.acked.keys().next_back().copied().unwrap_or(0);
        let operation =
            Operation::replace_config(version as u32, base, format!("change {version}").as_bytes());
        Self::propose(state, at, operation, false);
    }
}
