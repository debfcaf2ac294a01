//! The owner of the state that a proxy receives from other nodes: members, endpoints, configuration, rollouts.
//!
//! Sockets, timers and requests reach it only through one queue of [`Command`]s. Each command is handled in one step that
//! never awaits. The owner publishes in [`Shared`] what requests need of its state.

mod endpoints;
mod hot_keys;
mod outliers;
mod rollouts;

use crate::shared::{Phase, Shared};
use crate::startup::Startup;
use beechcroft_config::Config;
use beechcroft_consensus::{
    ConfigStore, OperationsState, PerRegister, RegisterId, Revision, Value,
};
use beechcroft_gossip::{Action, Gossip, Member, MemberState};
use beechcroft_outlier::{ObservationFilter, OutlierDetector};
use beechcroft_routing::RoutingTable;
use beechcroft_transport::datagram::MessageSocket;
use beechcroft_transport::rpc::{RegisterFetcher, RpcClient};
use endpoints::UncertainWarmup;
use rollouts::ObservedStage;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// Timeout of the call in which a control node reads the registers' revisions.
const REVISIONS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between ticks of the detectors of hot keys and bad versions, in milliseconds.
const DETECTION_INTERVAL_MS: u64 = 100;
/// Interval at which all endpoints are synchronized with the load balancer, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 500;
/// Minimum time between the first known endpoint and readiness, in milliseconds, so that more endpoints can arrive.
const ENDPOINTS_SETTLE_MS: u64 = 60;

/// An event or a request for the state owner.
pub enum Command {
    /// A gossip message was received.
    Message(SocketAddrV4, Box<beechcroft_gossip::Message>),
    /// A register's value was fetched from a peer.
    RegisterFetched {
        /// The fetched register.
        register: RegisterId,
        /// Its value at the peer.
        value: Value,
    },
    /// A control node has read the registers' revisions from a majority.
    RevisionsConfirmed(PerRegister<Revision>),
    /// Reads the latest known value of a register.
    ReadRegister {
        /// The register to read.
        register: RegisterId,
        /// Receives the value.
        reply: oneshot::Sender<Value>,
    },
    /// Another unit answered at the address of the unit with this id, so that one no longer exists.
    EndpointReplaced(Rc<str>),
    /// The addresses of the seed nodes have changed.
    Seeds(Vec<SocketAddrV4>),
    /// The proxy starts to shut down.
    ShutDown,
    /// Runs periodic work.
    Tick,
}

/// Sender for the state owner's queue.
pub type CommandQueue = mpsc::UnboundedSender<Command>;

/// The owner of the state that a proxy receives from other nodes.
pub struct StateOwner {
    shared: Rc<Shared>,
    gossip: Gossip,
    /// Latest values of the registers that are known to be chosen.
    chosen: PerRegister<Value>,
    fetcher: RegisterFetcher,
    /// Endpoints that may be warming up although their last heartbeat does not say so, by id.
    uncertain_warmups: BTreeMap<String, UncertainWarmup>,
    /// Time at which the first endpoint became known.
    first_endpoint_at: Option<u64>,
    startup: Startup,
    next_detection_at: u64,
    next_publish_at: u64,
    next_vote_at: u64,
    next_sync_at: u64,
    /// Sequence number of the latest update that this proxy has published.
    update_sequence: u32,
    outlier_detectors: BTreeMap<String, OutlierDetector>,
    observation_filters: BTreeMap<String, ObservationFilter>,
    /// Stages of the rollouts as observed by this proxy, by service.
    stages: BTreeMap<String, ObservedStage>,
    socket: MessageSocket,
    rpc: RpcClient,
    queue: CommandQueue,
}

impl StateOwner {
    /// Creates a state owner without any state from other nodes. `salt` seeds random choices and differs between processes.
    pub fn new(
        shared: Rc<Shared>,
        local: Member,
        salt: u64,
        socket: MessageSocket,
        rpc: RpcClient,
        queue: CommandQueue,
    ) -> StateOwner {
        let settings = &shared.settings;
        let port = settings.internal_ports[0];
        let gossip = Gossip::new(local, port, settings.seed_nodes.clone(), salt);
        StateOwner {
            shared,
            gossip,
            chosen: PerRegister::default(),
            fetcher: RegisterFetcher::default(),
            uncertain_warmups: BTreeMap::new(),
            first_endpoint_at: None,
            startup: Startup::default(),
            next_detection_at: 0,
            next_publish_at: 0,
            next_vote_at: 0,
            next_sync_at: 0,
            update_sequence: 0,
            outlier_detectors: BTreeMap::new(),
            observation_filters: BTreeMap::new(),
            stages: BTreeMap::new(),
            socket,
            rpc,
            queue,
        }
    }

    /// Handles a command.
    pub fn step(&mut self, command: Command) {
        let now = self.shared.now();
        let mut actions = Vec::new();
        match command {
            Command::Message(from, message) => {
                self.gossip.on_message(now, from, *message, &mut actions);
            }
            Command::RegisterFetched { register, value } => {
                self.fetcher.on_fetched(register);
                self.on_chosen(now, register, value, &mut actions);
            }
            Command::RevisionsConfirmed(revisions) => self.startup.on_confirmed(revisions),
            Command::ReadRegister { register, reply } => {
                let _ = reply.send(self.chosen[register].clone());
            }
            Command::EndpointReplaced(id) => {
                if self.gossip.mark_endpoint_gone(&id) {
                    actions.push(Action::EndpointChanged(id.to_string()));
                }
            }
            Command::Seeds(seeds) => self.gossip.set_seeds(seeds),
            Command::ShutDown => {
                self.gossip.set_state(MemberState::Leaving);
                self.gossip.flush_now(now, &mut actions);
            }
            Command::Tick => {
                self.gossip.tick(now, &mut actions);
                self.tick(now, &mut actions);
            }
        }
        self.perform_actions(now, actions);
    }

    /// Performs the actions that gossip returned.
    fn perform_actions(&mut self, now: u64, actions: Vec<Action>) {
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
                Action::EndpointChanged(id) => {
                    self.mark_predecessors_gone(&id);
                    self.sync_endpoint(now, &id);
                }
                Action::EndpointHeartbeat(id) | Action::EndpointWarmup(id) => {
                    self.sync_endpoint(now, &id);
                }
                Action::MembersChanged => self.update_position(),
                Action::Observation(observation) => {
                    let service = observation.service.clone();
                    self.outlier_detectors
                        .entry(service)
                        .or_default()
                        .merge(&observation);
                }
                Action::HotKeys(update) => self.on_hot_keys(now, update),
                Action::Alarm(_) => {}
            }
        }
    }

    /// Applies a chosen value of a register. A value that is not newer or cannot be decoded is ignored.
    fn on_chosen(
        &mut self,
        now: u64,
        register: RegisterId,
        value: Value,
        actions: &mut Vec<Action>,
    ) {
        if value.revision <= self.chosen[register].revision {
            return;
        }
        let applied = match register {
            RegisterId::Config => self.apply_config(&value),
            RegisterId::Operations => self.apply_operations(now, &value),
        };
        if applied.is_none() {
            return;
        }
        self.gossip.set_revision(register, value.revision);
        self.chosen[register] = value;
        self.gossip.flush_now(now, actions);
        self.sync_all_endpoints(now);
    }

    fn apply_config(&mut self, value: &Value) -> Option<()> {
        let mut config: Config = ConfigStore::decode(value).ok()?.config()?;
        self.shared.defaults.apply(&mut config);
        log::info!("state: Applied configuration {:08x}.", config.version);
        *self.shared.routes.borrow_mut() = Some(Rc::new(RoutingTable::new(&config)));
        Some(())
    }

    fn apply_operations(&mut self, now: u64, value: &Value) -> Option<()> {
        let operations = OperationsState::decode(value).ok()?;
        log::info!("state: Operations at {}: {operations:?}.", value.revision);
        let before = self.shared.operations.replace(operations);
        self.learn_placements(now);
        self.mark_uncertain_warmups(now, &before);
        Some(())
    }

    /// Records changed placements. For a while, non-idempotent requests for a key that has moved are rejected.
    fn learn_placements(&mut self, now: u64) {
        let operations = self.shared.operations.borrow();
        let mut histories = self.shared.placements.borrow_mut();
        for (service, placement) in &operations.placements {
            let history = histories.entry(service.clone()).or_default();
            history.learn(now, placement.version, &placement.excluded);
        }
    }

    fn tick(&mut self, now: u64, actions: &mut Vec<Action>) {
        if now >= self.next_sync_at {
            self.next_sync_at = now + SYNC_INTERVAL_MS;
            self.mark_silent_endpoints(now);
            self.sync_all_endpoints(now);
            self.close_unused_connections(now);
        }
        if self.shared.phase.get() == Phase::Starting {
            self.advance_startup(now, actions);
        }
        if now >= self.next_detection_at {
            self.next_detection_at = now + DETECTION_INTERVAL_MS;
            self.update_hot_keys(now);
            if now >= self.next_publish_at {
                self.update_outliers();
            }
            self.shared
                .quorum_read_at
                .set(self.gossip.last_quorum_read_at());
            self.detect_bad_versions(now);
        }
    }

    /// Makes the proxy ready once it knows endpoints and its values are as new as a majority confirms.
    fn advance_startup(&mut self, now: u64, actions: &mut Vec<Action>) {
        let mut revisions = PerRegister::default();
        for register in RegisterId::ALL {
            revisions[register] = self.chosen[register].revision;
        }
        if let Some(request) = self.startup.next_request(now) {
            self.request_revisions(request);
        }
        let has_endpoints = self
            .first_endpoint_at
            .is_some_and(|at| now >= at + ENDPOINTS_SETTLE_MS);
        if has_endpoints && self.startup.may_serve(now, revisions) {
            self.shared.phase.set(Phase::Ready);
            self.gossip.set_state(MemberState::Ready);
            self.gossip.flush_now(now, actions);
            log::info!("state: This proxy is ready.");
        }
    }

    /// Requests the revisions from one control node, another one each time. All proxies use the same order, so that the
    /// requests of proxies that start together can share a majority read.
    fn request_revisions(&self, request: usize) {
        let members = self
            .gossip
            .live_members()
            .filter(|member| member.is_control);
        let mut nodes: Vec<(&str, SocketAddrV4)> = members
            .map(|node| (node.name.as_str(), self.gossip.address(node)))
            .collect();
        nodes.sort_unstable();
        let seeds = &self.shared.settings.seed_nodes;
        let port = self.shared.settings.internal_ports[0];
        let to = match (nodes.is_empty(), seeds.is_empty()) {
            (false, _) => nodes[request % nodes.len()].1,
            (true, false) => SocketAddrV4::new(*seeds[request % seeds.len()].ip(), port),
            (true, true) => return,
        };
        let (rpc, queue) = (self.rpc.clone(), self.queue.clone());
        spawn_local(async move {
            match rpc.read_revisions(to, REVISIONS_TIMEOUT).await {
                Ok(revisions) => drop(queue.send(Command::RevisionsConfirmed(revisions))),
                Err(error) => log::info!("state: No control node has confirmed: {error}."),
            }
        });
    }

    /// Returns the sequence number for the next update that this proxy publishes.
    fn next_sequence(&mut self) -> u32 {
        self.update_sequence += 1;
        self.update_sequence
    }
}
