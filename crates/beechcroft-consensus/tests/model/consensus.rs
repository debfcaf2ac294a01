//! The consensus protocol as a model: the acceptors and proposers of the package, with messages that are delivered in
//! any order, delayed or lost, and nodes that restart, lose their disks, take over replicas or come back with an old
//! disk.

use crate::explore::Traceable;
use crate::state::{node_name, Breach, Disk, FaultBudget, Hashed, History, Machine, Packet, State};
use beechcroft_consensus::{Acceptor, Operation, Proposer, Request, Response};
use beechcroft_consensus::{Epoch, Event, ReplicaEpoch};
use beechcroft_safeguards::{disable, Safeguard};
use stateright::{Model, Property};

/// A step of the model. Nodes are given by index, messages by their place among those in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelAction {
    /// A message is delivered.
    Comes(usize),
    /// A message is lost.
    Lost(usize),
    /// A node proposes the next change, based on the newest acknowledged version.
    Order(usize),
    /// A node proposes an earlier change again, given by its version.
    Again(usize, u32),
    /// A node proposes a read.
    Read(usize),
    /// A node restarts with its disk.
    Restarts(usize),
    /// A node restarts and loses its disk.
    Wiped(usize),
    /// A node restarts with a former state of its disk, given by its index in `Machine::old_disks`.
    Back(usize, usize),
    /// A node without a replica sends its fence request for a replica to all others.
    Fences(usize, String),
    /// A node announces the epochs that it knows of to all others, and asks for theirs.
    Tells(usize),
    /// All nodes restart with their disks; the messages in flight are lost.
    Outage,
    /// The clock of a node advances by 5 s.
    Ticks(usize),
}

/// The initial state of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Two operators have sent two competing first changes to two nodes.
    Race,
    /// One change is acknowledged, and only a majority holds it: the messages to the other nodes are still in flight.
    Taken,
    /// As `Taken`; then the first node is permanently lost, and a spare has sent its fence request for the replica.
    Taking,
    /// As `Taking`, while the last node has promises of a majority and has proposed a change.
    Offered,
    /// As `Taking`, and the spare has taken over the replica and become its successor.
    Replaced,
    /// As `Replaced`; then a change is acknowledged that the successor and the rest of a majority hold.
    Split,
    /// As `Split`; then the second node loses its disk, and has learned the epochs from all others.
    Lost,
    /// As `Replaced`; then the second node loses its disk, and the first node, which was deposed, takes over its
    /// replica. The last node knows only of this second takeover.
    Crossed,
    /// As `Replaced`; then the second node loses its disk and recovers from three others, of which the last to
    /// respond does not know of the takeover.
    Made,
}

/// The model: its size, initial state and faults.
#[derive(Clone)]
pub struct ConsensusModel {
    pub replica_count: usize,
    /// The number of nodes that hold no replica and may take one over.
    pub spares: usize,
    pub start: Start,
    pub budget: FaultBudget,
    /// Acceptors respond without syncing, so that a restart loses their promises.
    pub skips_sync: bool,
    /// A safeguard that the code under test runs without.
    pub disabled_safeguard: Option<Safeguard>,
}

impl Start {
    /// All initial states, in the order in which they build on each other.
    pub const ALL: [Start; 9] = [
        Start::Race,
        Start::Taken,
        Start::Taking,
        Start::Offered,
        Start::Replaced,
        Start::Split,
        Start::Lost,
        Start::Crossed,
        Start::Made,
    ];

    /// With three replicas each takeover needs the responses of all others, so no node can be unaware of one.
    pub fn applies_to(self, replica_count: usize) -> bool {
        replica_count >= 5 || !matches!(self, Start::Crossed | Start::Made)
    }
}

impl ConsensusModel {
    /// A model in which everything is synced and no safeguard is disabled.
    pub fn new(
        replica_count: usize,
        spares: usize,
        start: Start,
        budget: FaultBudget,
    ) -> ConsensusModel {
        ConsensusModel {
            replica_count,
            spares,
            start,
            budget,
            skips_sync: false,
            disabled_safeguard: None,
        }
    }

    /// A model with few faults, so that a breadth-first search gets deep.
    pub fn with_few_faults(replica_count: usize, start: Start) -> ConsensusModel {
        let budget = FaultBudget {
            disk_losses: 1,
            disk_restores: 1,
            fence_requests: 2,
            announcements: 1,
            ticks: 1,
            changes: 2,
            reads: 1,
            ..FaultBudget::default()
        };
        ConsensusModel::new(replica_count, 1, start, budget)
    }

    /// A model with faults of all kinds.
    pub fn with_all_faults(replica_count: usize, start: Start) -> ConsensusModel {
        let budget = FaultBudget {
            message_losses: 2,
            restarts: 1,
            disk_losses: 2,
            disk_restores: 1,
            fence_requests: 8,
            announcements: 4,
            power_outages: 1,
            ticks: 4,
            changes: 3,
            retries: 1,
            reads: 3,
        };
        ConsensusModel::new(replica_count, 2, start, budget)
    }

    /// Delivers all messages on links for which `is_on_time` returns true, in their order, until none is left.
    fn deliver_in_order(&self, state: &mut State, is_on_time: impl Fn(usize, usize) -> bool) {
        while let Some(index) = state.in_flight.iter().position(|packet| {
            let (from, to) = packet.link();
            is_on_time(from, to)
        }) {
            let packet = state.in_flight.remove(index);
            self.deliver(state, (*packet).clone());
        }
    }

    /// The state after the first start of the system, without any message.
    fn bootstrapped(&self) -> State {
        let names: Vec<String> = (0..self.replica_count).map(node_name).collect();
        let mut history = History::default();
        let machine = |at: usize| {
            let mut acceptor = Acceptor::new(
                &node_name(at),
                self.tolerated_losses(),
                4 << 2,
                &Disk::new(),
            );
            let mut proposer = Proposer::new(at as u64);
            let mut disk = Disk::new();
            if at < self.replica_count {
                disk = acceptor.bootstrap(names.clone()).into_iter().collect();
                proposer.set_replicas(&names, 0);
            }
            let old_disks = [Some(disk.clone()), None];
            let votes = at < self.replica_count;
            Machine {
                acceptor,
                proposer,
                disk,
                starts: 0,
                now: 0,
                told: None,
                votes,
                old_disks,
            }
        };
        let machines = (0..self.replica_count + self.spares)
            .map(|at| Hashed::new(machine(at)))
            .collect();
        history
            .votes
            .extend((0..self.replica_count).map(|at| ((node_name(at), Epoch::FIRST), at)));
        State {
            machines,
            in_flight: Vec::new(),
            history: Hashed::new(history),
            budget: self.budget,
        }
    }
}

impl Model for ConsensusModel {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let _guard = disable(self.disabled_safeguard);
        let mut state = self.bootstrapped();
        let majority = self.replica_count / 2 + 1;
        match self.start {
            Start::Race => (0..2).for_each(|at| Self::propose_next_change(&mut state, at)),
            _ => {
                Self::propose_next_change(&mut state, 0);
                let on_time = if self.start == Start::Crossed {
                    self.replica_count
                } else {
                    majority
                };
                self.deliver_in_order(&mut state, |from, to| from < on_time && to < on_time);
            }
        }
        if !matches!(self.start, Start::Race | Start::Taken) {
            let (successor, last) = (self.replica_count, self.replica_count - 1);
            if self.start == Start::Offered {
                state.in_flight.clear();
                Self::propose_next_change(&mut state, last);
                while let Some(index) = state.in_flight.iter().position(|packet| match &**packet {
                    Packet::Request {
                        to,
                        request: Request::Prepare { .. },
                        ..
                    } => *to > 0,
                    Packet::Response {
                        response: Response::Promise { .. },
                        ..
                    } => true,
                    _ => false,
                }) {
                    state = self
                        .next_state(&state, ModelAction::Comes(index))
                        .expect("the action is possible");
                }
            }
            // Messages of the first node that are still in flight are delayed or lost.
            let known = state.machines[1]
                .acceptor
                .identity()
                .cloned()
                .expect("bootstrapped");
            state.machines[successor]
                .update(|machine| machine.told = Some((known.replicas, known.epochs)));
            state = self
                .next_state(&state, ModelAction::Fences(successor, node_name(0)))
                .expect("the action is possible");
            let reachable = 1..=self.replica_count - self.tolerated_losses();
            if !matches!(self.start, Start::Taking | Start::Offered) {
                self.deliver_in_order(&mut state, |from, to| {
                    (from == successor && reachable.contains(&to)) || (to == successor && from > 0)
                });
            }
            let steps = match self.start {
                Start::Split => vec![(ModelAction::Order(successor), 0..0)],
                Start::Lost => vec![
                    (ModelAction::Order(successor), 0..0),
                    (ModelAction::Wiped(1), 0..0),
                    (ModelAction::Tells(1), 0..successor + 1),
                ],
                Start::Crossed => vec![
                    (ModelAction::Restarts(0), 0..0),
                    (ModelAction::Restarts(last), 0..0),
                    (ModelAction::Tells(successor), 0..1),
                    (ModelAction::Wiped(1), 0..0),
                    (
                        ModelAction::Fences(0, node_name(1)),
                        last - self.tolerated_losses()..successor + 1,
                    ),
                ],
                Start::Made => vec![
                    (ModelAction::Wiped(1), 0..0),
                    (ModelAction::Tells(1), 2..last),
                    (ModelAction::Fences(1, node_name(1)), 2..last),
                    (ModelAction::Fences(1, node_name(1)), last..last + 1),
                    (ModelAction::Fences(1, node_name(1)), 2..last + 1),
                ],
                _ => Vec::new(),
            };
            for (step, others) in steps {
                state.in_flight.clear();
                state.budget = FaultBudget {
                    restarts: 1,
                    disk_losses: 1,
                    fence_requests: 1,
                    announcements: 1,
                    changes: 1,
                    ..self.budget
                };
                let is_change = matches!(step, ModelAction::Order(_));
                state = self
                    .next_state(&state, step)
                    .expect("the action is possible");
                self.deliver_in_order(&mut state, |from, to| match is_change {
                    // A majority: the successor and the nodes after the first.
                    true => [from, to]
                        .iter()
                        .all(|at| *at == successor || (1..majority).contains(at)),
                    false => others.contains(&from) || others.contains(&to),
                });
                state.in_flight.clear();
            }
        }
        state.budget = self.budget;
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<ModelAction>) {
        let budget = &state.budget;
        let all = 0..state.machines.len();
        actions.extend((0..state.in_flight.len()).map(ModelAction::Comes));
        if budget.message_losses > 0 {
            actions.extend((0..state.in_flight.len()).map(ModelAction::Lost));
        }
        let can_propose = |at: &usize| {
            let machine = &state.machines[*at];
            machine.acceptor.identity().is_some() || machine.told.is_some()
        };
        if budget.changes > 0 {
            actions.extend(all.clone().filter(can_propose).map(ModelAction::Order));
        }
        if budget.reads > 0 {
            actions.extend(all.clone().filter(can_propose).map(ModelAction::Read));
        }
        if budget.retries > 0 {
            let newest = state.history.acked.keys().next_back();
            if let Some(&version) = newest {
                actions.extend(
                    all.clone()
                        .filter(can_propose)
                        .map(|at| ModelAction::Again(at, version)),
                );
            }
        }
        if budget.restarts > 0 {
            actions.extend(all.clone().map(ModelAction::Restarts));
        }
        if budget.power_outages > 0 {
            actions.push(ModelAction::Outage);
        }
        if budget.ticks > 0 {
            actions.extend(all.clone().filter(can_propose).map(ModelAction::Ticks));
        }
        if budget.announcements > 0 {
            actions.extend(all.clone().map(ModelAction::Tells));
        }
        if budget.disk_losses == 0 && budget.fence_requests == 0 && budget.disk_restores == 0 {
            return;
        }
        let unavailable = self.unavailable_replicas(state);
        for at in all {
            let machine = &state.machines[at];
            let identity = machine.acceptor.identity();
            let replica = identity.map(|identity| identity.replica.as_str());
            if budget.disk_losses > 0
                && !machine.disk.is_empty()
                && self.is_tolerable(&unavailable, replica)
            {
                actions.push(ModelAction::Wiped(at));
            }
            if budget.fence_requests > 0 && identity.is_none() {
                let recoverable_replicas = self.recoverable_replicas(state, at, &unavailable);
                actions.extend(
                    recoverable_replicas
                        .into_iter()
                        .map(|replica| ModelAction::Fences(at, replica)),
                );
            }
            if budget.disk_restores > 0 {
                for (index, disk) in machine.old_disks.iter().enumerate() {
                    let Some(disk) = disk else { continue };
                    let former_identity =
                        Acceptor::new(&node_name(at), self.tolerated_losses(), 0, disk)
                            .identity()
                            .cloned();
                    // The disk as it was when it was lost may come back at any time. The bootstrap state may come
                    // back once another node votes in a later epoch, unless the holder handed over its state: the
                    // takeover may rely on the holder's own knowledge of it.
                    let is_possible = former_identity.is_none_or(|former_identity| {
                        let is_superseded = Self::holder(state, &former_identity.replica)
                            .is_some_and(|(epoch, _)| epoch > former_identity.epoch);
                        index == 1
                            || is_superseded
                                && !state.history.handed_over.contains(&former_identity.replica)
                    });
                    let is_current_holder = identity.is_some_and(|identity| {
                        Self::holder(state, &identity.replica) == Some((identity.epoch, at))
                    });
                    if is_possible && !is_current_holder && *disk != machine.disk {
                        actions.push(ModelAction::Back(at, index));
                    }
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let _guard = disable(self.disabled_safeguard);
        let mut state = last.clone();
        match action {
            ModelAction::Lost(index) => {
                state.in_flight.remove(index);
                state.budget.message_losses -= 1;
            }
            ModelAction::Order(at) => {
                state.budget.changes -= 1;
                Self::propose_next_change(&mut state, at);
            }
            ModelAction::Again(at, version) => {
                state.budget.retries -= 1;
                let operation = state
                    .history
                    .given
                    .iter()
                    .find_map(|given| match given.op {
                        Operation::ReplaceConfig { version: other, .. } if other == version => {
                            Some(given.op.clone())
                        }
                        _ => None,
                    })?;
                Self::propose(&mut state, at, operation, true);
            }
            ModelAction::Read(at) => {
                state.budget.reads -= 1;
                Self::propose(&mut state, at, Operation::Read, false);
            }
            ModelAction::Restarts(at) => {
                state.budget.restarts -= 1;
                self.restart(&mut state, at);
            }
            ModelAction::Wiped(at) => {
                state.budget.disk_losses -= 1;
                state.machines[at].update(|machine| {
                    let disk = std::mem::take(&mut machine.disk);
                    machine.old_disks[1] = Some(disk);
                });
                self.restart(&mut state, at);
            }
            ModelAction::Back(at, index) => {
                state.budget.disk_restores -= 1;
                state.machines[at].update(|machine| {
                    machine.disk = machine.old_disks[index].clone().unwrap_or_default()
                });
                self.restart(&mut state, at);
            }
            ModelAction::Fences(at, replica) => {
                state.budget.fence_requests = state.budget.fence_requests.saturating_sub(1);
                let request = state.machines[at]
                    .update(|machine| machine.acceptor.recovery_request(&replica));
                if let Some(request) = request {
                    Self::send_to_others(&mut state, at, &request);
                }
            }
            ModelAction::Tells(at) => {
                state.budget.announcements -= 1;
                let identity = state.machines[at].acceptor.identity();
                let sender = identity.map(|identity| ReplicaEpoch {
                    replica: identity.replica.clone(),
                    epoch: identity.epoch,
                });
                let epochs = identity
                    .map(|identity| identity.epochs.clone())
                    .unwrap_or_default();
                let request = Request::AnnounceEpochs { sender, epochs };
                Self::send_to_others(&mut state, at, &request);
            }
            ModelAction::Outage => {
                state.budget.power_outages -= 1;
                state.in_flight.clear();
                (0..state.machines.len()).for_each(|at| self.restart(&mut state, at));
            }
            ModelAction::Ticks(at) => {
                state.budget.ticks -= 1;
                state.machines[at].update(|machine| machine.now += 5000);
                Self::step_proposer(&mut state, at, Event::Tick);
            }
            ModelAction::Comes(index) => {
                let packet = state.in_flight.remove(index);
                self.deliver(&mut state, (*packet).clone());
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn holds(state: &State, breach: Breach) -> bool {
            !state.history.breaches.contains(&breach)
        }
        vec![
            Property::always(SAFETY_PROPERTIES[0], |_, state| {
                holds(state, Breach::TwoValues)
            }),
            Property::always(SAFETY_PROPERTIES[1], |_, state| {
                holds(state, Breach::BothAcknowledged)
            }),
            Property::always(SAFETY_PROPERTIES[2], |_, state| {
                holds(state, Breach::ReadsBack)
            }),
            Property::always(SAFETY_PROPERTIES[3], |_, state| {
                holds(state, Breach::RepeatRefused)
            }),
            Property::always(SAFETY_PROPERTIES[4], |_, state| {
                holds(state, Breach::TwoHolders)
            }),
            Property::always(SAFETY_PROPERTIES[5], |_, state| {
                holds(state, Breach::Unread)
            }),
            Property::sometimes(REACHABILITY_PROPERTIES[0], |_, state: &State| {
                !state.history.acked.is_empty()
            }),
            Property::sometimes(REACHABILITY_PROPERTIES[1], |_, state: &State| {
                !state.history.replaced.is_empty()
            }),
            Property::sometimes(REACHABILITY_PROPERTIES[2], |_, state: &State| {
                state.history.read_after_replacement
            }),
            Property::sometimes(REACHABILITY_PROPERTIES[3], |_, state: &State| {
                state.history.acked_after_replacement
            }),
            Property::sometimes(REACHABILITY_PROPERTIES[4], |_, state: &State| {
                state.history.repeat_acked
            }),
        ]
    }
}

/// Names of the properties that must hold in every state.
pub const SAFETY_PROPERTIES: [&str; 6] = [
    "at most one value is chosen for each revision",
    "at most one change of each base version is acknowledged",
    "no operation returns an older revision than one reported before it began",
    "the retry of an acknowledged change is not rejected",
    "at most one node votes for each replica in each epoch",
    "an acknowledged change is in the value that acknowledges it",
];

/// Names of the properties that show how far an exploration has come.
pub const REACHABILITY_PROPERTIES: [&str; 5] = [
    "a change is acknowledged",
    "a replica is taken over",
    "a read after a takeover completes",
    "a change after a takeover is acknowledged",
    "a retried change is acknowledged",
];

impl Traceable<ModelAction> for State {
    fn link(&self, action: &ModelAction) -> Option<(usize, usize)> {
        match action {
            ModelAction::Comes(index) => Some(self.in_flight[*index].link()),
            _ => None,
        }
    }

    fn describe(&self, action: &ModelAction) -> String {
        match action {
            ModelAction::Comes(index) => format!("delivered {:?}", self.in_flight[*index]),
            ModelAction::Lost(index) => format!("lost {:?}", self.in_flight[*index]),
            other => format!("{other:?}"),
        }
    }
}
