//! The agreement as a model: voters and proposers as they run, and every order in which messages may come, get lost or
//! wait, with machines that restart, lose their disks, take replicas over or come back.

use crate::explore::Told;
use crate::state::{name, Breach, Disk, History, Kept, Machine, Packet, State, Troubles};
use beechcroft_consensus::{Acceptor, Operation, Proposer, Request, Response};
use beechcroft_consensus::{Epoch, Event, ReplicaEpoch};
use beechcroft_safeguards::{disable, Safeguard};
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq)]
pub enum Happens {
    Comes(usize),
    Lost(usize),
    /// The next change reaches a machine, on top of the newest version that was acknowledged.
    Order(usize),
    /// A change that was given before is sent again.
    Again(usize, u32),
    Read(usize),
    Restarts(usize),
    Wiped(usize),
    /// A machine comes back with one of its disks of before.
    Back(usize, usize),
    Fences(usize, String),
    /// A machine tells the others what it knows of epochs, or asks them, and hears what they know.
    Tells(usize),
    /// All lose power; what was under way is gone.
    Outage,
    Ticks(usize),
}

/// How far things have come when the exploring begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Two operators have sent two changes on no version, to two machines.
    Race,
    /// One change is acknowledged, and known to a majority only: the messages to the last machines wait.
    Taken,
    /// After that the first replica's machine is gone for good, and one that waits has begun to take it.
    Taking,
    /// The same, while the last machine has a majority's promises for a change and offers it.
    Offered,
    /// It has taken it.
    Replaced,
    /// After that a change is acknowledged that the taker and the second machine alone hold.
    Split,
    /// After that the second machine's disk is lost, and it has heard from all others who holds what.
    Lost,
    /// After that the first machine, which holds no replica any more, has taken the one of the second, whose disk was
    /// lost. The last machine knows of the second change alone.
    Crossed,
    /// It has taken it, and the second machine's lost disk was made good by three others, of which the last to answer does
    /// not know of the first change.
    Made,
}

#[derive(Clone)]
pub struct Voting {
    pub members: usize,
    /// Machines that hold no replica and may take one.
    pub takers: usize,
    pub start: Start,
    pub left: Troubles,
    /// Voters answer and write nothing: what they promised is gone with a restart.
    pub forgetful: bool,
    pub without: Option<Safeguard>,
}

impl Start {
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

    /// Among three each change needs all others, so all know of it.
    pub fn fits(self, members: usize) -> bool {
        members >= 5 || !matches!(self, Start::Crossed | Start::Made)
    }
}

impl Voting {
    pub fn new(members: usize, takers: usize, start: Start, left: Troubles) -> Voting {
        Voting {
            members,
            takers,
            start,
            left,
            forgetful: false,
            without: None,
        }
    }

    /// With so few troubles that the exploring goes deep.
    pub fn few(members: usize, start: Start) -> Voting {
        let left = Troubles {
            wipes: 1,
            returns: 1,
            fences: 2,
            tells: 1,
            ticks: 1,
            orders: 2,
            reads: 1,
            ..Troubles::default()
        };
        Voting::new(members, 1, start, left)
    }

    /// With troubles of all kinds.
    pub fn troubled(members: usize, start: Start) -> Voting {
        let left = Troubles {
            lost: 2,
            restarts: 1,
            wipes: 2,
            returns: 1,
            fences: 8,
            tells: 4,
            outages: 1,
            ticks: 4,
            orders: 3,
            repeats: 1,
            reads: 3,
        };
        Voting::new(members, 2, start, left)
    }

    /// Lets messages that `passes` holds to be on time come, in their order, until none is left.
    fn run(&self, state: &mut State, passes: impl Fn(usize, usize) -> bool) {
        while let Some(nth) = state.net.iter().position(|packet| {
            let (from, to) = packet.link();
            passes(from, to)
        }) {
            let packet = state.net.remove(nth);
            self.comes(state, (*packet).clone());
        }
    }

    fn founded(&self) -> State {
        let names: Vec<String> = (0..self.members).map(name).collect();
        let mut history = History::default();
        let machine = |at: usize| {
            let mut acceptor = Acceptor::new(&name(at), self.losses(), 4 << 2, &Disk::new());
            let mut proposer = Proposer::new(at as u64);
            let mut disk = Disk::new();
            if at < self.members {
                disk = acceptor.bootstrap(names.clone()).into_iter().collect();
                proposer.set_replicas(&names, 0);
            }
            let old_disks = [Some(disk.clone()), None];
            let votes = at < self.members;
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
        let machines = (0..self.members + self.takers)
            .map(|at| Kept::new(machine(at)))
            .collect();
        history
            .votes
            .extend((0..self.members).map(|at| ((name(at), Epoch::FIRST), at)));
        State {
            machines,
            net: Vec::new(),
            history: Kept::new(history),
            left: self.left,
        }
    }
}

impl Model for Voting {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let _out = disable(self.without);
        let mut state = self.founded();
        let majority = self.members / 2 + 1;
        match self.start {
            Start::Race => (0..2).for_each(|at| Self::next_order(&mut state, at)),
            _ => {
                Self::next_order(&mut state, 0);
                let on_time = if self.start == Start::Crossed {
                    self.members
                } else {
                    majority
                };
                self.run(&mut state, |from, to| from < on_time && to < on_time);
            }
        }
        if !matches!(self.start, Start::Race | Start::Taken) {
            let (taker, last) = (self.members, self.members - 1);
            if self.start == Start::Offered {
                state.net.clear();
                Self::next_order(&mut state, last);
                while let Some(nth) = state.net.iter().position(|packet| match &**packet {
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
                        .next_state(&state, Happens::Comes(nth))
                        .expect("it may");
                }
            }
            // What the first machine still has to say comes late or never.
            let told = state.machines[1]
                .acceptor
                .identity()
                .cloned()
                .expect("founded");
            state.machines[taker]
                .change(|machine| machine.told = Some((told.replicas, told.epochs)));
            state = self
                .next_state(&state, Happens::Fences(taker, name(0)))
                .expect("it may");
            let near = 1..=self.members - self.losses();
            if !matches!(self.start, Start::Taking | Start::Offered) {
                self.run(&mut state, |from, to| {
                    (from == taker && near.contains(&to)) || (to == taker && from > 0)
                });
            }
            let steps = match self.start {
                Start::Split => vec![(Happens::Order(taker), 0..0)],
                Start::Lost => vec![
                    (Happens::Order(taker), 0..0),
                    (Happens::Wiped(1), 0..0),
                    (Happens::Tells(1), 0..taker + 1),
                ],
                Start::Crossed => vec![
                    (Happens::Restarts(0), 0..0),
                    (Happens::Restarts(last), 0..0),
                    (Happens::Tells(taker), 0..1),
                    (Happens::Wiped(1), 0..0),
                    (Happens::Fences(0, name(1)), last - self.losses()..taker + 1),
                ],
                Start::Made => vec![
                    (Happens::Wiped(1), 0..0),
                    (Happens::Tells(1), 2..last),
                    (Happens::Fences(1, name(1)), 2..last),
                    (Happens::Fences(1, name(1)), last..last + 1),
                ],
                _ => Vec::new(),
            };
            for (step, others) in steps {
                state.net.clear();
                state.left = Troubles {
                    restarts: 1,
                    wipes: 1,
                    fences: 1,
                    tells: 1,
                    orders: 1,
                    ..self.left
                };
                let changes = matches!(step, Happens::Order(_));
                state = self.next_state(&state, step).expect("it may");
                self.run(&mut state, |from, to| match changes {
                    // A majority: the taker and those that follow the first machine.
                    true => [from, to]
                        .iter()
                        .all(|at| *at == taker || (1..majority).contains(at)),
                    false => others.contains(&from) || others.contains(&to),
                });
                state.net.clear();
            }
        }
        state.left = self.left;
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        let left = &state.left;
        let all = 0..state.machines.len();
        actions.extend((0..state.net.len()).map(Happens::Comes));
        if left.lost > 0 {
            actions.extend((0..state.net.len()).map(Happens::Lost));
        }
        let can_order = |at: &usize| {
            let machine = &state.machines[*at];
            machine.acceptor.identity().is_some() || machine.told.is_some()
        };
        if left.orders > 0 {
            actions.extend(all.clone().filter(can_order).map(Happens::Order));
        }
        if left.reads > 0 {
            actions.extend(all.clone().filter(can_order).map(Happens::Read));
        }
        if left.repeats > 0 {
            let newest = state.history.acked.keys().next_back();
            if let Some(&version) = newest {
                actions.extend(
                    all.clone()
                        .filter(can_order)
                        .map(|at| Happens::Again(at, version)),
                );
            }
        }
        if left.restarts > 0 {
            actions.extend(all.clone().map(Happens::Restarts));
        }
        if left.outages > 0 {
            actions.push(Happens::Outage);
        }
        if left.ticks > 0 {
            actions.extend(all.clone().filter(can_order).map(Happens::Ticks));
        }
        if left.tells > 0 {
            actions.extend(all.clone().map(Happens::Tells));
        }
        if left.wipes == 0 && left.fences == 0 && left.returns == 0 {
            return;
        }
        let lost = self.lost(state);
        for at in all {
            let machine = &state.machines[at];
            let identity = machine.acceptor.identity();
            let replica = identity.map(|identity| identity.replica.as_str());
            if left.wipes > 0 && !machine.disk.is_empty() && self.bearable(&lost, replica) {
                actions.push(Happens::Wiped(at));
            }
            if left.fences > 0 && identity.is_none() {
                let wanted = self.wanted(state, at, &lost);
                actions.extend(
                    wanted
                        .into_iter()
                        .map(|replica| Happens::Fences(at, replica)),
                );
            }
            if left.returns > 0 {
                for (nth, disk) in machine.old_disks.iter().enumerate() {
                    let Some(disk) = disk else { continue };
                    let was = Acceptor::new(&name(at), self.losses(), 0, disk)
                        .identity()
                        .cloned();
                    // The very disk that was lost may come back at any time. An older one may once another votes under a
                    // later epoch, unless its machine handed over and so is one of the few that must know of that.
                    let fits = was.is_none_or(|was| {
                        let later =
                            Self::holder(state, &was.replica).is_some_and(|(e, _)| e > was.epoch);
                        nth == 1 || later && !state.history.handed_over.contains(&was.replica)
                    });
                    let holds = identity.is_some_and(|identity| {
                        Self::holder(state, &identity.replica) == Some((identity.epoch, at))
                    });
                    if fits && !holds && *disk != machine.disk {
                        actions.push(Happens::Back(at, nth));
                    }
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let _out = disable(self.without);
        let mut state = last.clone();
        match action {
            Happens::Lost(nth) => {
                state.net.remove(nth);
                state.left.lost -= 1;
            }
            Happens::Order(at) => {
                state.left.orders -= 1;
                Self::next_order(&mut state, at);
            }
            Happens::Again(at, version) => {
                state.left.repeats -= 1;
                let op = state
                    .history
                    .given
                    .iter()
                    .find_map(|given| match given.op {
                        Operation::ReplaceConfig { version: v, .. } if v == version => {
                            Some(given.op.clone())
                        }
                        _ => None,
                    })?;
                Self::order(&mut state, at, op, true);
            }
            Happens::Read(at) => {
                state.left.reads -= 1;
                Self::order(&mut state, at, Operation::Read, false);
            }
            Happens::Restarts(at) => {
                state.left.restarts -= 1;
                self.restart(&mut state, at);
            }
            Happens::Wiped(at) => {
                state.left.wipes -= 1;
                state.machines[at].change(|machine| {
                    let disk = std::mem::take(&mut machine.disk);
                    machine.old_disks[1] = Some(disk);
                });
                self.restart(&mut state, at);
            }
            Happens::Back(at, nth) => {
                state.left.returns -= 1;
                state.machines[at].change(|machine| {
                    machine.disk = machine.old_disks[nth].clone().unwrap_or_default()
                });
                self.restart(&mut state, at);
            }
            Happens::Fences(at, replica) => {
                state.left.fences = state.left.fences.saturating_sub(1);
                let request = state.machines[at]
                    .change(|machine| machine.acceptor.fence_request(&replica))?;
                for to in (0..state.machines.len()).filter(|&to| to != at) {
                    state.send(Packet::Fence {
                        to,
                        from: at,
                        request: request.clone(),
                    });
                }
            }
            Happens::Tells(at) => {
                state.left.tells -= 1;
                let identity = state.machines[at].acceptor.identity();
                let by = identity.map(|identity| ReplicaEpoch {
                    replica: identity.replica.clone(),
                    epoch: identity.epoch,
                });
                let epochs = identity
                    .map(|identity| identity.epochs.clone())
                    .unwrap_or_default();
                for to in (0..state.machines.len()).filter(|&to| to != at) {
                    let request = Request::AnnounceEpochs {
                        sender: by.clone(),
                        epochs: epochs.clone(),
                    };
                    state.send(Packet::Fence {
                        to,
                        from: at,
                        request,
                    });
                }
            }
            Happens::Outage => {
                state.left.outages -= 1;
                state.net.clear();
                (0..state.machines.len()).for_each(|at| self.restart(&mut state, at));
            }
            Happens::Ticks(at) => {
                state.left.ticks -= 1;
                state.machines[at].change(|machine| machine.now += 5000);
                Self::tell(&mut state, at, Event::Tick);
            }
            Happens::Comes(nth) => {
                let packet = state.net.remove(nth);
                self.comes(&mut state, (*packet).clone());
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn holds(state: &State, breach: Breach) -> bool {
            !state.history.breaches.contains(&breach)
        }
        vec![
            Property::always(SAFE[0], |_, state| holds(state, Breach::TwoValues)),
            Property::always(SAFE[1], |_, state| holds(state, Breach::BothAcknowledged)),
            Property::always(SAFE[2], |_, state| holds(state, Breach::ReadsBack)),
            Property::always(SAFE[3], |_, state| holds(state, Breach::RepeatRefused)),
            Property::always(SAFE[4], |_, state| holds(state, Breach::TwoHolders)),
            Property::always(SAFE[5], |_, state| holds(state, Breach::Unread)),
            Property::sometimes(REACHED[0], |_, state: &State| {
                !state.history.acked.is_empty()
            }),
            Property::sometimes(REACHED[1], |_, state: &State| {
                !state.history.replaced.is_empty()
            }),
            Property::sometimes(REACHED[2], |_, state: &State| {
                state.history.read_after_replacement
            }),
            Property::sometimes(REACHED[3], |_, state: &State| {
                state.history.acked_after_replacement
            }),
            Property::sometimes(REACHED[4], |_, state: &State| state.history.repeat_acked),
        ]
    }
}

pub const SAFE: [&str; 6] = [
    "no two values are chosen under one revision",
    "of two changes on one version one is acknowledged at most",
    "what was answered is read back by whatever begins later",
    "a change that was acknowledged and is sent again is not refused",
    "no two machines vote for one replica under one epoch",
    "a change that is acknowledged is in the value",
];

pub const REACHED: [&str; 5] = [
    "a change is acknowledged",
    "a taker votes",
    "a read after a replacement ends",
    "a change after a replacement is acknowledged",
    "a repeat is acknowledged",
];

impl Told<Happens> for State {
    fn link(&self, action: &Happens) -> Option<(usize, usize)> {
        match action {
            Happens::Comes(nth) => Some(self.net[*nth].link()),
            _ => None,
        }
    }

    fn tell(&self, action: &Happens) -> String {
        match action {
            Happens::Comes(nth) => format!("comes {:?}", self.net[*nth]),
            Happens::Lost(nth) => format!("is lost {:?}", self.net[*nth]),
            other => format!("{other:?}"),
        }
    }
}
