//! The owner of a control node's state: members, endpoints, its replica, its rounds, and what is chosen.
//!
//! Everything reaches it through one queue of [`Command`]s. It handles each in one step and never awaits; what takes
//! time runs in a task that sends a command when it is done.

mod checkpoint;
mod command;
mod consensus;
mod membership;
mod placement;
mod quorum_contact;
mod resolve;
mod rollouts;
mod show;

pub use command::{ask_owner, Acknowledgement, Command, CommandQueue};
pub use consensus::{CONSENSUS_TIMEOUT, PROPOSAL_TIMEOUT_MS};
pub use membership::SHUTDOWN_ANSWER_MS;

use crate::disk::Disk;
use beechcroft_config::config::OutlierRules;
use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::{Acceptor, OperationsState, PerRegister, Proposer, Value, IDENTITY_KEY};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_gossip::{Action, Gossip, Member, MemberState, Quorum};
use beechcroft_outlier::OutlierDetector;
use beechcroft_registry::{EndpointState, MergeOutcome};
use beechcroft_storage::Table;
use beechcroft_transport::datagram::MessageSocket;
use beechcroft_transport::rpc::{RegisterFetcher, RpcClient};
use consensus::Proposals;
use membership::Membership;
use quorum_contact::RevisionReads;
use rollouts::StageSeen;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// The owner's clock starts here, so that ages before its start stay above 0. In milliseconds.
const CLOCK_START_MS: u64 = 10_000;
/// A pause between two commands from which on the process counts as stalled: ticks come every few hundredths of a
/// second. In milliseconds.
const STALL_MS: u64 = 250;
/// For how long after a stall operations that waited meanwhile are rejected, in milliseconds.
const AFTER_STALL_MS: u64 = 400;
/// Between two looks at rollouts and placements, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 200;

/// What a state owner is made of.
pub struct StateOwnerParts {
    /// The process's settings.
    pub settings: Settings,
    /// What services get where the configuration does not say.
    pub defaults: ServiceDefaults,
    /// This node's replica, with what the disk held.
    pub acceptor: Acceptor,
    /// This node as a member.
    pub local: Member,
    /// Drawn by each process.
    pub salt: u64,
    /// The owner of the disk.
    pub disk: Disk,
    /// The socket for gossip.
    pub socket: MessageSocket,
    /// The client for other nodes.
    pub rpc: RpcClient,
    /// The owner's own queue.
    pub queue: CommandQueue,
}

/// The owner of a control node's state.
pub struct StateOwner {
    settings: Settings,
    defaults: ServiceDefaults,
    /// Whether this is the first start of the whole system, on a disk that never held a replica: only then are replicas
    /// bootstrapped. A node that has lost its replica is not new, though its first process was started as one.
    is_bootstrapping: bool,
    started_at: Instant,
    /// When the last command was handled.
    awake_at: u64,
    /// Until when operations that waited during a stall are rejected.
    stalled_until: u64,
    gossip: Gossip,
    acceptor: Acceptor,
    proposer: Proposer,
    proposals: Proposals,
    membership: Membership,
    /// The latest values that are known to be chosen.
    chosen: PerRegister<Value>,
    /// The decoded operations register.
    operations: OperationsState,
    /// The names of the configured services.
    services: BTreeSet<String>,
    /// The outlier rules of the services that have some.
    outlier_rules: BTreeMap<String, OutlierRules>,
    detectors: BTreeMap<String, OutlierDetector>,
    /// Exclusions that the evidence asked for at the last look: one that is asked for twice is made.
    wanted_exclusions: BTreeMap<String, BTreeSet<String>>,
    placement_at: u64,
    /// The nodes that make a majority with this one or without it.
    quorum: Quorum,
    quorum_updated_at: u64,
    /// The states of endpoints that a majority of the control nodes is known to have stored.
    stored_by_majority: BTreeMap<String, EndpointState>,
    revision_reads: RevisionReads,
    fetcher: RegisterFetcher,
    decision_at: u64,
    /// What this node has seen of each rollout's stage.
    stages: BTreeMap<String, StageSeen>,
    /// Services without a base version, and since when their endpoints are known.
    without_base_version: BTreeMap<String, u64>,
    reread_at: u64,
    checkpoint: checkpoint::Schedule,
    disk: Disk,
    socket: MessageSocket,
    rpc: RpcClient,
    queue: CommandQueue,
}

impl StateOwner {
    /// A state owner that continues where a former process ended: `table` is what the disk held.
    pub fn new(parts: StateOwnerParts, table: &Table) -> StateOwner {
        let StateOwnerParts {
            settings,
            defaults,
            acceptor,
            local,
            salt,
            disk,
            socket,
            rpc,
            queue,
        } = parts;
        let port = settings.internal_ports[0];
        let gossip = Gossip::new(local, port, settings.seed_nodes.clone(), salt);
        let mut owner = StateOwner {
            is_bootstrapping: settings.bootstrap && !table.contains_key(IDENTITY_KEY),
            settings,
            defaults,
            started_at: Instant::now(),
            awake_at: 0,
            stalled_until: 0,
            gossip,
            acceptor,
            proposer: Proposer::new(salt ^ 0x5eed),
            proposals: Proposals::default(),
            membership: Membership::default(),
            chosen: PerRegister::default(),
            operations: OperationsState::default(),
            services: BTreeSet::new(),
            outlier_rules: BTreeMap::new(),
            detectors: BTreeMap::new(),
            wanted_exclusions: BTreeMap::new(),
            placement_at: 0,
            quorum: Quorum::default(),
            quorum_updated_at: 0,
            stored_by_majority: BTreeMap::new(),
            revision_reads: RevisionReads::default(),
            fetcher: RegisterFetcher::default(),
            decision_at: 0,
            stages: BTreeMap::new(),
            without_base_version: BTreeMap::new(),
            reread_at: 0,
            checkpoint: checkpoint::Schedule::default(),
            disk,
            socket,
            rpc,
            queue,
        };
        owner.start_voting();
        owner.restore(table);
        owner
    }

    fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    /// A moment on the owner's clock, in milliseconds.
    fn at(&self, moment: Instant) -> u64 {
        let since_start = moment.saturating_duration_since(self.started_at);
        since_start.as_millis() as u64 + CLOCK_START_MS
    }

    /// Notices that the process was stalled.
    fn notice_stall(&mut self, now: u64) {
        if self.awake_at > 0 && now > self.awake_at + STALL_MS {
            self.stalled_until = now + AFTER_STALL_MS;
        }
        self.awake_at = now;
    }

    /// Handles a command.
    pub fn step(&mut self, command: Command) {
        let now = self.now();
        self.notice_stall(now);
        let mut actions = Vec::new();
        match command {
            Command::Message(from, message) => {
                self.gossip.on_message(now, from, *message, &mut actions);
            }
            Command::Heartbeat { record, done } => {
                self.on_heartbeat(now, record, done, &mut actions);
            }
            Command::Deregister { id, done } => self.on_deregister(now, &id, done, &mut actions),
            Command::StoreEndpoint { record, done } => {
                if self.gossip.record_heartbeat(now, record) == MergeOutcome::Changed {
                    self.checkpoint.endpoints_changed = true;
                    self.gossip.flush_now(now, &mut actions);
                }
                let _ = done.send(());
            }
            Command::StoredByMajority { id, state } => {
                self.stored_by_majority.insert(id, state);
            }
            Command::Consensus { request, response } => self.on_consensus(request, response),
            Command::ConsensusResponse {
                from,
                register,
                ballot,
                response,
            } => {
                self.on_consensus_response(from, register, ballot, response);
            }
            Command::FenceResponse { epoch, response } => self.on_fence_response(epoch, response),
            Command::EpochsAnnounced {
                to,
                epochs,
                response,
            } => {
                self.on_epochs_announced(to, epochs, response);
            }
            Command::IdentityStored => self.on_identity_stored(),
            Command::IdentityNotStored => self.store_identity(),
            Command::Propose {
                register,
                operation,
                received_at,
                outcome,
            } => {
                self.on_propose(now, register, operation, received_at, outcome);
            }
            Command::Rollback { service, rollout } => self.on_rollback(&service, rollout),
            Command::ReadRegister { register, value } => {
                let _ = value.send(self.chosen[register].clone());
            }
            Command::RegisterFetched { register, value } => {
                self.fetcher.on_fetched(register);
                self.on_chosen(register, value);
            }
            Command::ReadRevisions(revisions) => self.on_read_revisions(now, revisions),
            Command::RevisionsRead => self.on_revisions_read(),
            Command::Resolve { region, addresses } => {
                let _ = addresses.send(self.resolve(now, &region));
            }
            Command::ShowEvidence { endpoint, text } => {
                let _ = text.send(self.show_evidence(&endpoint));
            }
            Command::Show(text) => drop(text.send(self.show())),
            Command::Seeds(seeds) => self.gossip.set_seeds(seeds),
            Command::ShutDown => {
                self.begin_shutdown(now);
                self.gossip.set_state(MemberState::Leaving);
                self.gossip.flush_now(now, &mut actions);
            }
            Command::Tick => {
                self.gossip.tick(now, &mut actions);
                self.update_quorum(now);
                self.gossip.ping_quorum(now, &self.quorum, &mut actions);
                self.tick(now);
            }
        }
        self.perform(actions);
    }

    /// Performs what gossip asks for.
    fn perform(&mut self, actions: Vec<Action>) {
        let now = self.now();
        for action in actions {
            match action {
                Action::Send { to, message } => self.socket.send(to, &message),
                Action::FetchRegister {
                    from,
                    register,
                    revision,
                } => {
                    if revision > self.chosen[register].revision {
                        let queue = self.queue.clone();
                        self.fetcher
                            .fetch(&self.rpc, now, from, register, move |value| {
                                let _ = queue.send(Command::RegisterFetched { register, value });
                            });
                    }
                }
                Action::Observation(observation) => {
                    let detector = self
                        .detectors
                        .entry(observation.service.clone())
                        .or_default();
                    detector.merge(&observation);
                }
                Action::EndpointChanged(_) => self.checkpoint.endpoints_changed = true,
                Action::MembersChanged => self.checkpoint.members_changed = true,
                Action::EndpointHeartbeat(_) | Action::Alarm(_) | Action::HotKeys(_) => {}
            }
        }
    }

    fn tick(&mut self, now: u64) {
        self.tick_proposer();
        self.write_checkpoint(now);
        if self.acceptor.identity().is_none() {
            self.acquire_replica(now);
            return;
        }
        self.announce_epochs(now);
        self.hand_over(now);
        self.reread_unconfirmed(now);
        if now >= self.decision_at {
            self.decision_at = now + DECISION_INTERVAL_MS;
            // What this node knows of endpoints and alarms is no evidence while it hears no majority.
            if self.has_quorum_contact(now) {
                self.update_placements(now);
                self.record_base_versions(now);
                self.advance_rollouts(now);
            }
        }
    }

    /// Another control node may be asked.
    fn no_contact() -> Error {
        let detail = "this control node does not reach a majority; another one may";
        Error::new(ErrorKind::NoQuorumContact, detail)
    }
}
