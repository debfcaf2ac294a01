//! The owner of what a proxy is told: members, endpoints, the configuration, rollouts.
//!
//! Everything reaches it through one queue of [`Command`]s. It handles each in one step and never awaits. What requests use
//! of its state, it puts into [`Shared`].

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
use endpoints::WarmupDoubt;
use rollouts::StageSeen;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// For a control node to read the registers' revisions.
const REVISIONS_TIMEOUT: Duration = Duration::from_millis(2500);
/// The mechanism's tick, in milliseconds.
const DETECTION_INTERVAL_MS: u64 = 100;
/// Between two times that all endpoints are synchronized with the load balancer, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 500;
/// Since the first endpoint is known, before the proxy serves, in milliseconds.
const ENDPOINTS_SETTLE_MS: u64 = 60;

/// What the state owner is told or asked.
pub enum Command {
    /// A gossip message has come.
    Message(SocketAddrV4, Box<beechcroft_gossip::Message>),
    /// A register's value was fetched from a peer.
    RegisterFetched {
        /// The register.
        register: RegisterId,
        /// The value.
        value: Value,
    },
    /// A control node has read the registers' revisions from a majority.
    RevisionsConfirmed(PerRegister<Revision>),
    /// The latest known value of a register is asked for.
    ReadRegister {
        /// The register.
        register: RegisterId,
        /// Gets the value.
        value: oneshot::Sender<Value>,
    },
    /// Another unit has answered at the address of the one with this id, which has ended.
    EndpointReplaced(Rc<str>),
    /// The seeds have changed.
    Seeds(Vec<SocketAddrV4>),
    /// The proxy is shutting down.
    ShutDown,
    /// Time has passed.
    Tick,
}

/// The queue of the state owner.
pub type CommandQueue = mpsc::UnboundedSender<Command>;

/// The owner of what a proxy is told.
pub struct StateOwner {
    shared: Rc<Shared>,
    gossip: Gossip,
    /// The latest values that are known to be chosen.
    chosen: PerRegister<Value>,
    fetcher: RegisterFetcher,
    /// Endpoints that may warm up although no heartbeat says so.
    doubts: BTreeMap<String, WarmupDoubt>,
    /// Since when any endpoint is known.
    endpoints_since: Option<u64>,
    startup: Startup,
    detection_at: u64,
    publish_at: u64,
    vote_at: u64,
    sync_at: u64,
    /// The sequence number of the latest update that this proxy has published.
    update_sequence: u32,
    outlier_detectors: BTreeMap<String, OutlierDetector>,
    observation_filters: BTreeMap<String, ObservationFilter>,
    /// Since when each rollout is in its stage, as this proxy knows.
    stages: BTreeMap<String, StageSeen>,
    socket: MessageSocket,
    rpc: RpcClient,
    queue: CommandQueue,
}

impl StateOwner {
    /// A state owner that knows nothing yet. `salt` is drawn by each process.
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
            doubts: BTreeMap::new(),
            endpoints_since: None,
            startup: Startup::default(),
            detection_at: 0,
            publish_at: 0,
            vote_at: 0,
            sync_at: 0,
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
            Command::ReadRegister { register, value } => {
                let _ = value.send(self.chosen[register].clone());
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
        self.perform(now, actions);
    }

    /// Performs what gossip asks for.
    fn perform(&mut self, now: u64, actions: Vec<Action>) {
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
                    self.end_predecessors(&id);
                    self.sync_endpoint(now, &id);
                }
                Action::EndpointHeartbeat(id) => self.sync_endpoint(now, &id),
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

    /// A value is chosen. Older ones are ignored, and so is one that cannot be decoded.
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
        log::info!("state: Configuration {:08x} is in force.", config.version);
        *self.shared.routes.borrow_mut() = Some(Rc::new(RoutingTable::new(&config)));
        Some(())
    }

    fn apply_operations(&mut self, now: u64, value: &Value) -> Option<()> {
        let operations = OperationsState::decode(value).ok()?;
        log::info!("state: Operations at {}: {operations:?}.", value.revision);
        let before = self.shared.operations.replace(operations);
        self.learn_placements(now);
        self.doubt_returned_zones(now, &before);
        Some(())
    }

    /// Placements that have changed: for a while, a key that has moved goes nowhere.
    fn learn_placements(&mut self, now: u64) {
        let operations = self.shared.operations.borrow();
        let mut histories = self.shared.placements.borrow_mut();
        for (service, placement) in &operations.placements {
            let history = histories.entry(service.clone()).or_default();
            history.learn(now, placement.version, &placement.excluded);
        }
    }

    fn tick(&mut self, now: u64, actions: &mut Vec<Action>) {
        if now >= self.sync_at {
            self.sync_at = now + SYNC_INTERVAL_MS;
            self.mark_silent_endpoints(now);
            self.sync_all_endpoints(now);
            self.close_unused_connections(now);
        }
        if self.shared.phase.get() == Phase::Starting {
            self.advance_startup(now, actions);
        }
        if now >= self.detection_at {
            self.detection_at = now + DETECTION_INTERVAL_MS;
            self.update_hot_keys(now);
            if now >= self.publish_at {
                self.update_outliers();
            }
            self.shared
                .quorum_read_at
                .set(self.gossip.last_quorum_read_at());
            self.detect_bad_versions(now);
        }
    }

    /// Until this proxy holds what a majority confirms and knows endpoints, it takes no requests.
    fn advance_startup(&mut self, now: u64, actions: &mut Vec<Action>) {
        let mut held = PerRegister::default();
        for register in RegisterId::ALL {
            held[register] = self.chosen[register].revision;
        }
        if let Some(question) = self.startup.next_question(now) {
            self.ask_revisions(question);
        }
        let has_endpoints = self
            .endpoints_since
            .is_some_and(|at| now >= at + ENDPOINTS_SETTLE_MS);
        if has_endpoints && self.startup.may_serve(now, held) {
            self.shared.phase.set(Phase::Ready);
            self.gossip.set_state(MemberState::Ready);
            self.gossip.flush_now(now, actions);
            log::info!("state: This proxy is ready.");
        }
    }

    /// Asks one control node, the next one each time: all proxies in the same order, so that those which start together
    /// share rounds.
    fn ask_revisions(&self, question: usize) {
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
            (false, _) => nodes[question % nodes.len()].1,
            (true, false) => SocketAddrV4::new(*seeds[question % seeds.len()].ip(), port),
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

    /// The sequence number of the next update that this proxy publishes.
    fn next_sequence(&mut self) -> u32 {
        self.update_sequence += 1;
        self.update_sequence
    }
}
