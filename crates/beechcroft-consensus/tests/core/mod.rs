//! A core in one process, with machines that hold no replica if a test wants some: every message, sync and restart is
//! a numbered point, and a fault may be injected at any. No clock but the test's own, no socket, no disk.
#![allow(dead_code)] // each test file uses a part

use beechcroft_consensus::{
    Acceptor, Ballot, ConfigStore, Epochs, Operation, Proposer, RegisterId, Request, Response,
    Value,
};
use beechcroft_consensus::{Action, Epoch, Event, ProposalId, ReplicaEpoch, Revision};
use beechcroft_error::ErrorKind;
use std::collections::{BTreeMap, VecDeque};

pub type Table = BTreeMap<String, Vec<u8>>;

/// What happens at a point instead of what should.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The message is lost.
    Lost,
    /// It comes twice.
    Twice,
    /// It comes after all others that are on the way.
    Late,
    /// The machine that would take it loses power just before; what was not synced is gone.
    CrashBefore,
    /// The same, just after it took it, before anything it wrote was synced.
    CrashAfter,
    /// Its disk is lost as well.
    Wipe,
}

pub const FAULTS: [Fault; 6] = [
    Fault::Lost,
    Fault::Twice,
    Fault::Late,
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Wipe,
];

#[derive(Clone, Debug)]
pub enum Message {
    Request {
        to: usize,
        from: usize,
        /// The replica that is asked, as the asker knows it.
        of: String,
        request: Request,
    },
    Response {
        to: usize,
        of: String,
        ballot: Ballot,
        register: RegisterId,
        response: Response,
    },
    FenceResponse {
        to: usize,
        epoch: Epoch,
        response: Response,
    },
    /// The answer to what was told.
    Known {
        to: usize,
        from: usize,
        epochs: Epochs,
        response: Response,
    },
    /// Records reach the disk; only then does what waits for them go out.
    Synced {
        at: usize,
        epoch: u64,
        records: Vec<(String, Vec<u8>)>,
        then: Option<Box<Message>>,
    },
}

pub struct Machine {
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub disk: Table,
    /// Rises with each start of its process.
    pub epoch: u64,
    pub up: bool,
    /// It runs, and nothing comes to it or from it.
    pub cut: bool,
    /// The replica that it is to take.
    pub takes: Option<String>,
    /// What it knows of epochs beside its voter.
    pub told: Epochs,
    /// The first sync of a replica is on disk.
    pub votes: bool,
    /// What other machines are known to know of epochs.
    said: BTreeMap<usize, Epochs>,
}

pub struct Core {
    pub machines: Vec<Machine>,
    pub losses: usize,
    pub on_the_way: VecDeque<Message>,
    pub now: u64,
    pub points: usize,
    pub fault: Option<(usize, Fault)>,
    draw: u64,
    /// Faults drawn at this many points in a thousand; at most so many wiped in all.
    pub wild: u64,
    pub wiped: Vec<usize>,
    chosen: BTreeMap<Revision, Vec<u8>>,
    pub answers: BTreeMap<ProposalId, Result<Value, ErrorKind>>,
    /// The order that each answered 200 stands for.
    pub acked: Vec<u32>,
    versions: BTreeMap<ProposalId, u32>,
}

pub fn name(at: usize) -> String {
    format!("node-{at}")
}

fn number(name: &str) -> usize {
    name["node-".len()..].parse().expect("a node's name")
}

impl Machine {
    fn new(acceptor: Acceptor, proposer: Proposer, disk: Table) -> Machine {
        let votes = acceptor.identity().is_some();
        let (takes, told) = (None, Epochs::new());
        Machine {
            acceptor,
            proposer,
            disk,
            epoch: 0,
            up: true,
            cut: false,
            takes,
            told,
            votes,
            said: BTreeMap::new(),
        }
    }
}

impl Core {
    pub fn new(count: usize, seed: u64) -> Core {
        let names: Vec<String> = (0..count).map(name).collect();
        let losses = count / 2;
        let machines = (0..count)
            .map(|at| {
                let mut acceptor = Acceptor::new(&name(at), losses, 1, &Table::new());
                let disk: Table = acceptor.bootstrap(names.clone()).into_iter().collect();
                let mut proposer = Proposer::new(seed * 31 + at as u64);
                proposer.set_replicas(&names, 0);
                Machine::new(acceptor, proposer, disk)
            })
            .collect();
        Core {
            machines,
            losses,
            on_the_way: VecDeque::new(),
            now: 0,
            points: 0,
            fault: None,
            draw: seed,
            wild: 0,
            wiped: Vec::new(),
            chosen: BTreeMap::new(),
            answers: BTreeMap::new(),
            acked: Vec::new(),
            versions: BTreeMap::new(),
        }
    }

    /// With so many empty machines beside, which hold no replica.
    pub fn with_spares(count: usize, spares: usize, seed: u64) -> Core {
        let mut core = Core::new(count, seed);
        for at in count..count + spares {
            let acceptor = Acceptor::new(
                &name(at),
                core.losses,
                seed * 8 + 4 * at as u64,
                &Table::new(),
            );
            let proposer = Proposer::new(seed * 31 + at as u64);
            core.machines
                .push(Machine::new(acceptor, proposer, Table::new()));
        }
        core
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.draw = self
            .draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draw >> 33) % below
    }

    pub fn act(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, request } => {
                    for of in to {
                        let to = self.holder(at, &of);
                        self.on_the_way.push_back(Message::Request {
                            to,
                            from: at,
                            of,
                            request: request.clone(),
                        });
                    }
                }
                Action::Complete {
                    id,
                    outcome: answer,
                } => {
                    if answer.is_ok() {
                        self.acked.extend(self.versions.get(&id));
                    }
                    self.answers.insert(id, answer.map_err(|fault| fault.kind));
                }
                Action::Chosen {
                    register: RegisterId::Config,
                    value,
                } => {
                    // The one thing that may never happen: two values chosen as the same change.
                    let held = self
                        .chosen
                        .entry(value.revision)
                        .or_insert_with(|| value.bytes.clone());
                    assert_eq!(
                        *held, value.bytes,
                        "two values are chosen as change {}",
                        value.revision
                    );
                }
                Action::Chosen { .. } => {}
            }
        }
    }

    /// The machine that holds a replica, as another knows it.
    pub fn holder(&self, at: usize, replica: &str) -> usize {
        let machine = &self.machines[at];
        let known = machine
            .acceptor
            .identity()
            .map_or(&machine.told, |identity| &identity.epochs);
        number(
            known
                .get(replica)
                .map_or(replica, |known| known.node.as_str()),
        )
    }

    pub fn order(&mut self, at: usize, id: ProposalId, version: u32, base: u32) {
        let op = Operation::replace_config(
            version,
            base,
            format!("version {version} by {id}").as_bytes(),
        );
        self.versions.insert(id, version);
        let mut out = Vec::new();
        let until = self.now + 60_000;
        self.tell(
            at,
            Event::Propose {
                id,
                register: RegisterId::Config,
                operation: op,
                deadline: until,
            },
            &mut out,
        );
        self.act(at, out);
    }

    pub fn tell(&mut self, at: usize, event: Event, out: &mut Vec<Action>) {
        let Machine {
            acceptor, proposer, ..
        } = &mut self.machines[at];
        proposer.step(
            self.now,
            event,
            &|register| acceptor.register(register).accepted.clone(),
            out,
        );
    }

    pub fn restart(&mut self, at: usize, wiped: bool) {
        let (losses, salt) = (self.losses, self.random(1 << 30) + 2);
        let machine = &mut self.machines[at];
        machine.epoch += 1;
        if wiped {
            let held = machine
                .acceptor
                .identity()
                .map(|identity| identity.replica.clone());
            machine.takes = held.or(machine.takes.take());
            machine.disk.clear();
        }
        machine.told.clear();
        machine.said.clear();
        machine.acceptor = Acceptor::new(&name(at), losses, salt, &machine.disk);
        machine.proposer = Proposer::new(salt * 977 + at as u64);
        machine.proposer.set_replicas(
            machine.acceptor.replicas(),
            machine.acceptor.highest_ballot_number(),
        );
        machine.votes = machine.acceptor.identity().is_some();
        self.on_the_way
            .retain(|message| !matches!(message, Message::Synced { at: of, .. } if *of == at));
        if wiped {
            self.wiped.push(at);
        }
    }

    /// One message arrives, or what the fault says.
    pub fn step(&mut self) -> bool {
        let Some(message) = self.on_the_way.pop_front() else {
            return false;
        };
        let point = self.points;
        self.points += 1;
        let mut fault = self
            .fault
            .filter(|(at, _)| *at == point)
            .map(|(_, fault)| fault);
        if self.wild > 0 && self.random(1000) < self.wild {
            fault = Some(FAULTS[self.random(FAULTS.len() as u64) as usize]);
        }
        let to = match &message {
            Message::Request { to, .. }
            | Message::Response { to, .. }
            | Message::FenceResponse { to, .. }
            | Message::Known { to, .. } => *to,
            Message::Synced { at, .. } => *at,
        };
        let cut = match &message {
            Message::Request { to, from, .. } => {
                to != from && (self.machines[*to].cut || self.machines[*from].cut)
            }
            Message::Synced { .. } | Message::Response { .. } => false,
            Message::FenceResponse { to, .. } | Message::Known { to, .. } => self.machines[*to].cut,
        };
        if !self.machines[to].up || cut {
            return true;
        }
        let disk = matches!(message, Message::Synced { .. });
        match fault {
            None => self.take(message),
            // A disk loses nothing by itself and writes nothing twice.
            Some(Fault::Lost | Fault::Twice | Fault::Late) if disk => self.take(message),
            Some(Fault::Lost) => {}
            Some(Fault::Twice) => {
                self.on_the_way.push_back(message.clone());
                self.take(message);
            }
            Some(Fault::Late) => self.on_the_way.push_back(message),
            Some(Fault::CrashBefore) => self.restart(to, false),
            Some(Fault::CrashAfter) => {
                self.take(message);
                self.restart(to, false);
            }
            Some(Fault::Wipe) => {
                // No more at once than are to be borne: those wiped before must vote again.
                let learning = self
                    .machines
                    .iter()
                    .filter(|m| m.acceptor.identity().is_none())
                    .count();
                let wiped =
                    learning < self.losses || self.machines[to].acceptor.identity().is_none();
                self.restart(to, wiped);
            }
        }
        true
    }

    pub fn take(&mut self, message: Message) {
        match message {
            Message::Request {
                to,
                from,
                of,
                request,
            } => {
                let (response, records) = self.machines[to].acceptor.step(request.clone());
                self.notice(to);
                let back = match request {
                    Request::AnnounceEpochs { epochs, .. } => Message::Known {
                        to: from,
                        from: to,
                        epochs,
                        response,
                    },
                    Request::Confirm {
                        register, ballot, ..
                    }
                    | Request::Prepare {
                        register, ballot, ..
                    }
                    | Request::Accept {
                        register, ballot, ..
                    } => Message::Response {
                        to: from,
                        of,
                        ballot,
                        register,
                        response,
                    },
                    Request::Fence { epoch, .. } => Message::FenceResponse {
                        to: from,
                        epoch,
                        response,
                    },
                };
                let epoch = self.machines[to].epoch;
                let then = Some(Box::new(back));
                self.on_the_way.push_back(Message::Synced {
                    at: to,
                    epoch,
                    records,
                    then,
                });
            }
            Message::Known {
                to,
                from,
                epochs,
                response,
            } => {
                self.machines[to].said.insert(from, epochs);
                if let Response::KnownEpochs { epochs, .. } = response {
                    self.learn(to, &epochs);
                }
            }
            Message::Response {
                to,
                of,
                ballot,
                register,
                response,
            } => {
                if let Response::Accepted { epochs, .. } | Response::Rejected { epochs, .. } =
                    &response
                {
                    self.learn(to, epochs);
                }
                let mut out = Vec::new();
                let event = Event::Response {
                    from: of,
                    register,
                    ballot,
                    response,
                };
                self.tell(to, event, &mut out);
                self.act(to, out);
            }
            Message::FenceResponse {
                to,
                epoch,
                response,
            } => {
                if let Some(records) = self.machines[to]
                    .acceptor
                    .on_fence_response(epoch, response)
                {
                    let machine = &mut self.machines[to];
                    let epoch = machine.epoch;
                    self.on_the_way.push_back(Message::Synced {
                        at: to,
                        epoch,
                        records,
                        then: None,
                    });
                }
            }
            Message::Synced {
                at,
                epoch,
                records,
                then,
            } => {
                if self.machines[at].epoch == epoch {
                    let machine = &mut self.machines[at];
                    machine.disk.extend(records);
                    if machine.acceptor.identity().is_some() && !machine.votes {
                        machine.votes = true;
                        machine.proposer.set_replicas(
                            machine.acceptor.replicas(),
                            machine.acceptor.highest_ballot_number(),
                        );
                    }
                    self.on_the_way.extend(then.map(|then| *then));
                }
            }
        }
    }

    /// What a machine hears of epochs; whoever is deposed by it is no voter any more.
    pub fn learn(&mut self, at: usize, told: &Epochs) {
        let machine = &mut self.machines[at];
        machine.told.merge(told);
        let Some(records) = machine.acceptor.merge_epochs(told) else {
            return;
        };
        let epoch = machine.epoch;
        self.on_the_way.push_back(Message::Synced {
            at,
            epoch,
            records,
            then: None,
        });
        self.notice(at);
    }

    /// A machine that was deposed runs no rounds.
    fn notice(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.votes && machine.acceptor.identity().is_none() {
            machine.votes = false;
            machine.proposer.set_replicas(&[], 0);
        }
    }

    /// The last three of five machines let a replica take a replica.
    pub fn take_over(&mut self, acceptor: &mut Acceptor, replica: &str) {
        let request = acceptor.fence_request(replica).unwrap();
        let Request::Fence { epoch, .. } = request.clone() else {
            panic!()
        };
        for from in [2, 3, 4] {
            let (response, _) = self.machines[from].acceptor.step(request.clone());
            acceptor.on_fence_response(epoch, response);
        }
    }

    /// The process ends and stays down; the disk stays whole.
    pub fn down(&mut self, at: usize) {
        self.restart(at, false);
        self.machines[at].up = false;
    }

    /// Lets time pass until all is quiet.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let mut steps = 0;
            while self.step() {
                steps += 1;
                assert!(steps < 100_000, "it does not come to rest");
            }
            self.now += 300;
            for at in 0..self.machines.len() {
                self.tick(at);
            }
        }
    }

    /// A machine's clock: its rounds, the replica that it is to take, what others may not know of epochs.
    pub fn tick(&mut self, at: usize) {
        if !self.machines[at].up {
            return;
        }
        let mut out = Vec::new();
        self.tell(at, Event::Tick, &mut out);
        self.act(at, out);
        let all = self.machines.len();
        let machine = &mut self.machines[at];
        let takes = machine.takes.clone();
        let request = match (machine.acceptor.identity(), takes) {
            (Some(identity), _) if machine.votes => {
                let by = Some(ReplicaEpoch {
                    replica: identity.replica.clone(),
                    epoch: identity.epoch,
                });
                let fresh = identity
                    .epochs
                    .iter()
                    .all(|(_, known)| known.epoch == Epoch::FIRST);
                (!fresh).then(|| Request::AnnounceEpochs {
                    sender: by,
                    epochs: identity.epochs.clone(),
                })
            }
            (None, Some(takes)) => machine.acceptor.fence_request(&takes),
            _ => None,
        };
        let Some(request) = request else { return };
        let knows = |to: &usize| match &request {
            Request::AnnounceEpochs { epochs, .. } => machine.said.get(to) == Some(epochs),
            _ => false,
        };
        let to: Vec<usize> = (0..all).filter(|to| *to != at && !knows(to)).collect();
        for to in to {
            self.on_the_way.push_back(Message::Request {
                to,
                from: at,
                of: String::new(),
                request: request.clone(),
            });
        }
    }

    /// What a read at a machine gives in the end.
    pub fn read(&mut self, at: usize) -> ConfigStore {
        self.wild = 0;
        self.fault = None;
        self.settle(20);
        let id = 1_000_000 + at as u64;
        let mut out = Vec::new();
        let event = Event::Propose {
            id,
            register: RegisterId::Config,
            operation: Operation::Read,
            deadline: u64::MAX,
        };
        self.tell(at, event, &mut out);
        self.act(at, out);
        self.settle(20);
        let value = self.answers.get(&id).cloned();
        let value = value.unwrap_or_else(|| panic!("node-{at} reads nothing: {:#?}", self.state()));
        let value = value.expect("a read with all machines up");
        ConfigStore::decode(&value).expect("a whole value")
    }

    /// Who holds what, for a test that fails.
    pub fn state(&self) -> Vec<String> {
        let tell = |machine: &Machine| {
            let identity = machine.acceptor.identity().map(|i| (&i.replica, i.epoch));
            let former = machine
                .acceptor
                .former_identity()
                .map(|i| (&i.replica, i.epoch));
            let Machine {
                up, votes, takes, ..
            } = machine;
            format!("up {up} votes {votes} {identity:?} formerly {former:?} takes {takes:?}")
        };
        self.machines.iter().map(tell).collect()
    }

    /// Everything acknowledged is there, on every machine.
    pub fn check(&mut self, said: &str) {
        for at in 0..self.machines.len() {
            if !self.machines[at].votes || !self.machines[at].up {
                continue;
            }
            let store = self.read(at);
            for version in self.acked.clone() {
                assert!(
                    store.version >= version,
                    "{said}: version {version} was acknowledged, {at} has {}",
                    store.version
                );
            }
        }
    }
}
