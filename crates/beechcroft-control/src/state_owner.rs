//! The owner of a control node's state: members, endpoints, the replica, running consensus rounds, and chosen values.
//!
//! Servers, sockets and timers reach it only through one queue of [`Command`]s. Each command is handled in one step
//! that never awaits; calls to other nodes and writes to the disk run in tasks that send a command when they end.

mod checkpoint;
mod command;
mod consensus;
mod endpoint_log;
mod membership;
mod placement;
mod quorum_contact;
mod resolve;
mod rollouts;
mod show;
mod unit_reports;

pub use checkpoint::{CheckpointContent, ENDPOINTS_KEY};
pub use command::{ask_owner, Acknowledgement, Command, CommandQueue};
pub use consensus::{CONSENSUS_TIMEOUT, PROPOSAL_TIMEOUT_MS};
pub use endpoint_log::ENDPOINT_LOG_KEY;
pub use membership::SHUTDOWN_ANSWER_MS;

use crate::disk::Disk;
use beechcroft_config::config::OutlierRules;
use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::{Acceptor, OperationsState, PerRegister, Proposer, Value, IDENTITY_KEY};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_gossip::{Action, Gossip, Member, MemberState, Quorum};
use beechcroft_outlier::OutlierDetector;
use beechcroft_storage::Table;
use beechcroft_transport::datagram::MessageSocket;
use beechcroft_transport::rpc::{RegisterFetcher, RpcClient};
use consensus::Proposals;
use endpoint_log::EndpointLog;
use membership::Membership;
use quorum_contact::RevisionReads;
use rollouts::ObservedStage;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;
use unit_reports::MajorityStates;

/// Initial value of the owner's clock, so that times before the start of the process stay above 0, in milliseconds.
const CLOCK_START_MS: u64 = 10_000;
/// Gap between two commands from which the process counts as stalled, in milliseconds. Ticks alone come every few tens
/// of milliseconds.
const STALL_MS: u64 = 250;
/// How long after a stall unconditional operations are rejected, because they may have waited during it, in
/// milliseconds.
const STALL_REJECTION_MS: u64 = 400;
/// Interval between decisions on rollouts and placements, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 200;

/// Everything that a state owner is constructed from.
pub struct StateOwnerParts {
    /// Settings of the process.
    pub settings: Settings,
    /// Defaults for whatever the configuration of a service leaves open.
    pub defaults: ServiceDefaults,
    /// Acceptor of this node's replica, restored from the disk.
    pub acceptor: Acceptor,
    /// This node's report on itself.
    pub local: Member,
    /// Seed for random numbers, different for each process.
    pub salt: u64,
    /// Handle to the disk writer.
    pub disk: Disk,
    /// Socket for gossip messages.
    pub socket: MessageSocket,
    /// Client for the internal API of other nodes.
    pub rpc: RpcClient,
    /// Sender of the owner's own queue, for tasks that it spawns.
    pub queue: CommandQueue,
}

/// The owner of a control node's state. Times are milliseconds of its own clock, which starts at `CLOCK_START_MS`.
pub struct StateOwner {
    settings: Settings,
    defaults: ServiceDefaults,
    /// Whether this is the first start of the whole system, on a disk that never held a replica. Replicas are
    /// bootstrapped only then: a node that has lost its replica must not bootstrap, even if its settings say so.
    is_bootstrapping: bool,
    started_at: Instant,
    /// Time of the last command.
    last_step_at: u64,
    /// Until this time, unconditional operations are rejected because of a stall.
    stalled_until: u64,
    gossip: Gossip,
    acceptor: Acceptor,
    proposer: Proposer,
    proposals: Proposals,
    membership: Membership,
    /// Latest value of each register that is known to be chosen.
    chosen: PerRegister<Value>,
    /// Decoded value of the operations register.
    operations: OperationsState,
    /// Names of the configured services.
    services: BTreeSet<String>,
    /// Outlier rules of the services that have any.
    outlier_rules: BTreeMap<String, OutlierRules>,
    detectors: BTreeMap<String, OutlierDetector>,
    /// Excluded endpoints of each service according to the last look at the verdicts. A placement changes only when two
    /// consecutive looks agree.
    pending_exclusions: BTreeMap<String, BTreeSet<String>>,
    next_placement_at: u64,
    /// The nodes that form a majority with this one, or without it if it holds no replica.
    quorum: Quorum,
    next_quorum_update_at: u64,
    stored_by_majority: MajorityStates,
    endpoint_log: EndpointLog,
    revision_reads: RevisionReads,
    fetcher: RegisterFetcher,
    next_decision_at: u64,
    /// This node's view of the current stage of each service's rollout.
    observed_stages: BTreeMap<String, ObservedStage>,
    /// Services without a base version, with the time from which their endpoints are watched.
    base_version_missing_since: BTreeMap<String, u64>,
    next_reread_at: u64,
    checkpoint: checkpoint::Schedule,
    disk: Disk,
    socket: MessageSocket,
    rpc: RpcClient,
    queue: CommandQueue,
}

impl StateOwner {
    /// Creates a state owner that continues from the records that the disk held, given as `table`.
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
            last_step_at: 0,
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
            pending_exclusions: BTreeMap::new(),
            next_placement_at: 0,
            quorum: Quorum::default(),
            next_quorum_update_at: 0,
            stored_by_majority: MajorityStates::default(),
            endpoint_log: EndpointLog::default(),
            revision_reads: RevisionReads::default(),
            fetcher: RegisterFetcher::default(),
            next_decision_at: 0,
            observed_stages: BTreeMap::new(),
            base_version_missing_since: BTreeMap::new(),
            next_reread_at: 0,
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

    /// Converts an instant to the owner's clock, in milliseconds.
    fn at(&self, moment: Instant) -> u64 {
        let since_start = moment.saturating_duration_since(self.started_at);
        since_start.as_millis() as u64 + CLOCK_START_MS
    }

    /// Detects that the process was stalled since the last command.
    fn detect_stall(&mut self, now: u64) {
        if self.last_step_at > 0 && now > self.last_step_at + STALL_MS {
            self.stalled_until = now + STALL_REJECTION_MS;
        }
        self.last_step_at = now;
    }

    /// Handles a command.
    pub fn step(&mut self, command: Command) {
        let now = self.now();
        self.detect_stall(now);
        let mut actions = Vec::new();
        match command {
            Command::Message(from, message) => {
                self.gossip.on_message(now, from, *message, &mut actions);
            }
            Command::Heartbeat { record, done } => {
                self.on_heartbeat(now, record, done, &mut actions);
            }
            Command::Deregister { id, done } => self.on_deregister(now, &id, done, &mut actions),
            Command::StoreEndpoint { record, stored } => {
                self.on_store_endpoint(now, record, stored, &mut actions);
            }
            Command::EndpointLogWritten { is_stored } => {
                self.on_endpoint_log_written(is_stored);
            }
            Command::CheckpointWritten { content, is_stored } => {
                self.on_checkpoint_written(&content, is_stored);
            }
            Command::StoredByMajority { id, state } => {
                self.stored_by_majority.record(id, state);
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
            Command::RecoveryResponse { epoch, response } => {
                self.on_recovery_response(epoch, response)
            }
            Command::EpochsAnnounced {
                to,
                epochs,
                response,
            } => {
                self.on_epochs_announced(to, epochs, response);
            }
            Command::IdentityStored => self.on_identity_stored(),
            Command::IdentityNotStored => self.on_identity_not_stored(),
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

    /// Carries out the actions of gossip.
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
                Action::EndpointChanged(_) => self.checkpoint.changed.endpoints = true,
                Action::MembersChanged => self.checkpoint.changed.members = true,
                Action::EndpointWarmup(id) => self.store_warmup(now, &id),
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
        if now >= self.next_decision_at {
            self.next_decision_at = now + DECISION_INTERVAL_MS;
            // Without quorum contact, this node's view of endpoints and alarms may be stale.
            if self.has_quorum_contact(now) {
                self.update_placements(now);
                self.record_base_versions(now);
                self.advance_rollouts(now);
            }
        }
    }

    /// The error that sends a caller to another control node because this one has no quorum contact.
    fn no_quorum_contact() -> Error {
        let detail = "this control node does not reach a majority; another one may";
        Error::new(ErrorKind::NoQuorumContact, detail)
    }
}
