//! Orders that race, come again, come late, or whose callers have gone: what a round makes of them. Each guard is taken out
//! once, and the promise is then found broken.

use beechcroft_consensus::RegisterId;
use beechcroft_consensus::{
    Acceptor, Ballot, ConfigStore, Operation, OperationsState, Proposer, Request, Response, Stage,
    Value,
};
use beechcroft_consensus::{Action, Epoch, Event, ProposalId, ReplicaEpoch, Revision};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::{disable, Safeguard};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const REPEAT_MS: u64 = 8000;

#[derive(Clone, Debug)]
enum Message {
    Request {
        from: usize,
        to: usize,
        request: Request,
    },
    Response {
        from: usize,
        to: usize,
        register: RegisterId,
        ballot: Ballot,
        response: Response,
    },
}

/// A core in one process, whose messages the test holds in its hand.
struct Core {
    replicas: Vec<Acceptor>,
    proposers: Vec<Proposer>,
    now: u64,
    way: VecDeque<Message>,
    answers: BTreeMap<ProposalId, Result<Value, ErrorKind>>,
    next: ProposalId,
    draw: u64,
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("node-{at}")).collect()
}

fn is_accept(message: &Message) -> bool {
    matches!(
        message,
        Message::Request {
            request: Request::Accept { .. } | Request::Confirm { .. },
            ..
        }
    )
}

impl Core {
    fn new(count: usize, seed: u64) -> Core {
        let names = names(count);
        let replicas = names.iter().map(|name| {
            let mut acceptor = Acceptor::new(name, count / 2, 1, &BTreeMap::new());
            acceptor.bootstrap(names.clone());
            acceptor
        });
        let proposers = (0..count as u64).map(|at| {
            let mut proposer = Proposer::new(seed * 131 + at);
            proposer.set_replicas(&names, 0);
            proposer
        });
        Core {
            replicas: replicas.collect(),
            proposers: proposers.collect(),
            now: 1000,
            way: VecDeque::new(),
            answers: BTreeMap::new(),
            next: 0,
            draw: seed,
        }
    }

    fn random(&mut self, below: usize) -> usize {
        self.draw = self
            .draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draw >> 33) as usize % below
    }

    fn tell(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        let acceptor = &self.replicas[at];
        self.proposers[at].step(
            self.now,
            event,
            &|register| acceptor.register(register).accepted.clone(),
            &mut out,
        );
        for action in out {
            match action {
                Action::Send { to, request } => {
                    let to = to
                        .iter()
                        .map(|to| to.strip_prefix("node-").unwrap().parse().unwrap());
                    self.way.extend(to.map(|to| Message::Request {
                        from: at,
                        to,
                        request: request.clone(),
                    }));
                }
                Action::Complete {
                    id,
                    outcome: answer,
                } => {
                    self.answers.insert(id, answer.map_err(|fault| fault.kind));
                }
                Action::Chosen { .. } => {}
            }
        }
    }

    fn order(&mut self, at: usize, op: Operation, limit: u64) -> ProposalId {
        self.next += 1;
        let (id, register, until) = (self.next, op.register(), self.now + limit);
        self.tell(
            at,
            Event::Propose {
                id,
                register,
                operation: op,
                deadline: until,
            },
        );
        id
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request { from, to, request } => {
                let (Request::Prepare {
                    register, ballot, ..
                }
                | Request::Accept {
                    register, ballot, ..
                }
                | Request::Confirm {
                    register, ballot, ..
                }) = request
                else {
                    return;
                };
                let (response, _) = self.replicas[to].step(request);
                self.way.push_back(Message::Response {
                    from: to,
                    to: from,
                    register,
                    ballot,
                    response,
                });
            }
            Message::Response {
                from,
                to,
                register,
                ballot,
                response,
            } => {
                self.tell(
                    to,
                    Event::Response {
                        from: format!("node-{from}"),
                        register,
                        ballot,
                        response,
                    },
                );
            }
        }
    }

    /// Delivers all, but for what is held up.
    fn run(&mut self, held: impl Fn(&Message) -> bool) -> Vec<Message> {
        let mut back = Vec::new();
        while let Some(message) = self.way.pop_front() {
            if held(&message) {
                back.push(message);
            } else {
                self.take(message);
            }
        }
        back
    }

    fn settle(&mut self) {
        for _ in 0..40 {
            self.run(|_| false);
            self.now += 100;
            (0..self.proposers.len()).for_each(|at| self.tell(at, Event::Tick));
        }
        self.run(|_| false);
    }

    /// The value as a round at a machine has it.
    fn value(&mut self, at: usize, register: RegisterId) -> Value {
        self.next += 1;
        let id = self.next;
        self.tell(
            at,
            Event::Propose {
                id,
                register,
                operation: Operation::Read,
                deadline: u64::MAX,
            },
        );
        self.settle();
        self.answers[&id]
            .clone()
            .expect("a read with all machines up")
    }

    fn evacuated(&mut self, at: usize) -> bool {
        let value = self.value(at, RegisterId::Operations);
        OperationsState::decode(&value)
            .unwrap()
            .evacuated_zones
            .contains("zone")
    }
}

fn evacuate(begin: bool) -> Operation {
    Operation::SetEvacuation {
        zone: "zone".into(),
        is_evacuated: begin,
    }
}

fn begin(target: &str, ramp_ms: u64, at_ms: u64) -> Operation {
    Operation::BeginRollout {
        service: "s".into(),
        target: target.into(),
        ramp_ms,
        at_ms,
        repeat_ms: REPEAT_MS,
    }
}

/// Orders of a service on v1, after these.
struct Book(OperationsState, Pcg64Mcg);

impl Book {
    fn new() -> Book {
        let mut book = Book(OperationsState::default(), Pcg64Mcg::seed_from_u64(1));
        book.take(&Operation::SetBaseVersion {
            service: "s".into(),
            version: "v1".into(),
        })
        .unwrap();
        book
    }

    fn take(&mut self, op: &Operation) -> Result<bool, Error> {
        self.0.apply(op, &mut self.1)
    }

    fn ends(&mut self, to: Stage) {
        let held = self.0.rollouts["s"].clone();
        let op = Operation::AdvanceRollout {
            service: "s".into(),
            rollout: held.id,
            from: held.stage,
            to,
        };
        assert_eq!(self.take(&op), Ok(true));
    }

    fn state(&self) -> (&str, Stage) {
        (&self.0.rollouts["s"].target, self.0.rollouts["s"].stage)
    }
}

/// One rollout is begun and reverted; the same order comes again soon, and much later.
fn a_reverted_rollout_again() -> (bool, bool) {
    let mut book = Book::new();
    assert_eq!(book.take(&begin("v2", 10, 50_000)), Ok(true));
    assert_eq!(
        book.take(&begin("v2", 10, 51_000)),
        Ok(false),
        "a repeat while it is active"
    );
    book.ends(Stage::Reverted);
    let soon = book.take(&begin("v2", 10, 50_000 + REPEAT_MS)).unwrap();
    let later = book.take(&begin("v2", 10, 50_001 + REPEAT_MS)).unwrap();
    (soon, later)
}

#[test]
fn a_rollout_that_was_reverted_is_begun_anew_when_asked_for_anew_and_not_when_repeated() {
    assert_eq!(a_reverted_rollout_again(), (false, true));
    {
        let _out = disable(Some(Safeguard::RepeatWindow));
        assert!(
            a_reverted_rollout_again().0,
            "a repeat begins what was just reverted"
        );
    }
    let _out = disable(Some(Safeguard::RolloutRestart));
    assert!(!a_reverted_rollout_again().1, "confirmed, and never begun");
}

#[test]
fn a_rollout_begun_anew_is_another_one_and_is_admitted_again() {
    let mut book = Book::new();
    book.take(&begin("v2", 10, 0)).unwrap();
    let first = book.0.rollouts["s"].id;
    book.ends(Stage::Reverted);
    assert!(book.0.reverted_versions["s"].contains("v2"));
    book.take(&begin("v2", 10, 100_000)).unwrap();
    assert_eq!(book.state(), ("v2", Stage::Active(0)));
    assert!(!book.0.reverted_versions["s"].contains("v2"));
    // A vote on the first one says nothing of the second.
    let late = Operation::AdvanceRollout {
        service: "s".into(),
        rollout: first,
        from: Stage::Active(0),
        to: Stage::Reverted,
    };
    assert_eq!(book.take(&late), Ok(false));
    assert_eq!(book.state(), ("v2", Stage::Active(0)));
}

/// A step of the ramp, and a vote back that its voter gave before it knew of the step.
fn a_vote_after_a_step() -> Stage {
    let mut book = Book::new();
    book.take(&begin("v2", 10, 0)).unwrap();
    let begun = book.0.rollouts["s"].id;
    book.ends(Stage::Active(1));
    let vote = Operation::AdvanceRollout {
        service: "s".into(),
        rollout: begun,
        from: Stage::Active(0),
        to: Stage::Reverted,
    };
    book.take(&vote).unwrap();
    book.state().1
}

#[test]
fn a_vote_back_that_meets_a_step_just_taken_still_reverts_and_one_that_meets_the_end_does_not() {
    assert_eq!(a_vote_after_a_step(), Stage::Reverted);
    {
        let _out = disable(Some(Safeguard::RollbackFromAnyStage));
        assert_eq!(a_vote_after_a_step(), Stage::Active(1), "the vote is lost");
    }
    let mut book = Book::new();
    book.take(&begin("v2", 10, 0)).unwrap();
    let begun = book.0.rollouts["s"].id;
    book.ends(Stage::Complete);
    let late = Operation::AdvanceRollout {
        service: "s".into(),
        rollout: begun,
        from: Stage::Active(0),
        to: Stage::Reverted,
    };
    assert_eq!(book.take(&late), Ok(false));
    // Nor does a step that was decided before another.
    let mut book = Book::new();
    book.take(&begin("v2", 10, 0)).unwrap();
    let begun = book.0.rollouts["s"].id;
    book.ends(Stage::Active(1));
    let late = Operation::AdvanceRollout {
        service: "s".into(),
        rollout: begun,
        from: Stage::Active(0),
        to: Stage::Complete,
    };
    assert_eq!(book.take(&late), Ok(false));
}

#[test]
fn a_rollout_is_refused_only_while_another_is_active() {
    let mut book = Book::new();
    book.take(&begin("v2", 10, 0)).unwrap();
    let refused = |done: Result<bool, Error>| done.unwrap_err().kind == ErrorKind::InProgress;
    assert!(refused(book.take(&begin("v3", 10, 1))), "another target");
    assert!(
        refused(book.take(&begin("v2", 20, 1))),
        "another ramp: it would not be the one that was confirmed"
    );
    book.ends(Stage::Complete);
    assert_eq!(
        book.take(&begin("v2", 20, 500_000)),
        Ok(false),
        "nothing is left to move"
    );
    assert_eq!(book.state(), ("v2", Stage::Complete));
    assert_eq!(book.take(&begin("v3", 10, 2)), Ok(true));
    assert!(refused(book.take(&begin("v2", 10, 3))));
}

#[test]
fn a_rollout_to_the_version_in_use_moves_nothing_and_is_shown_as_complete() {
    let mut book = Book::new();
    book.take(&begin("v2", 10, 0)).unwrap();
    book.ends(Stage::Reverted);
    assert_eq!(book.take(&begin("v1", 10, 5)), Ok(true));
    assert_eq!(book.state(), ("v1", Stage::Complete));
    assert!(book.0.reverted_versions["s"].contains("v2"));
    assert_eq!(book.take(&begin("v1", 10, 6)), Ok(false));
}

/// Versions 1 to `most`, each on the one before; the store, and the first order as it was sent.
fn many(most: u32) -> (ConfigStore, Operation) {
    let mut store = ConfigStore::default();
    for version in 1..=most {
        let op = Operation::replace_config(version, version - 1, format!("{version}").as_bytes());
        assert_eq!(store.apply(&op), Ok(true));
    }
    (store, Operation::replace_config(1, 0, b"1"))
}

#[test]
fn an_order_that_comes_again_after_hundreds_of_later_ones_is_never_refused() {
    let (mut store, first) = many(512);
    assert_eq!(store.apply(&first), Ok(false));
    let (mut store, first) = many(900);
    // Whatever is sent up to there may have been taken.
    for version in 1..=900 {
        let op = Operation::replace_config(version, version - 1, format!("{version}").as_bytes());
        match store.apply(&op) {
            Ok(changed) => assert!(!changed && version > 900 - 512, "{version}"),
            Err(fault) => {
                assert!(
                    fault.kind == ErrorKind::VersionForgotten && version <= 900 - 512,
                    "{version}: {fault}"
                )
            }
        }
    }
    let unknown = store
        .apply(&Operation::replace_config(700, 3, b"of another operator"))
        .unwrap_err();
    assert_eq!(
        unknown.kind,
        ErrorKind::VersionConflict,
        "within the history it is known that it was not taken"
    );
    let kept = ConfigStore::decode(&Value {
        revision: Revision(900),
        bytes: store.encode(),
    })
    .unwrap();
    assert_eq!(
        kept.clone().apply(&first).unwrap_err().kind,
        ErrorKind::VersionForgotten,
        "a restart keeps the bound"
    );
    let _out = disable(Some(Safeguard::ForgottenVersions));
    assert_eq!(
        store.apply(&first).unwrap_err().kind,
        ErrorKind::VersionConflict,
        "refused, though it was taken"
    );
}

#[test]
fn what_cannot_be_read_whole_is_no_empty_value() {
    let (store, _) = many(3);
    let whole = Value {
        revision: Revision(3),
        bytes: store.encode(),
    };
    assert_eq!(ConfigStore::decode(&whole).unwrap().body().unwrap(), b"3");
    let torn = |bytes: Vec<u8>| {
        let read = ConfigStore::decode(&Value {
            revision: Revision(3),
            bytes,
        })
        .and_then(|store| store.body());
        read.map(drop).map_err(|fault| fault.kind)
    };
    for cut in 0..whole.bytes.len() {
        assert_eq!(
            torn(whole.bytes[..cut].to_vec()),
            Err(ErrorKind::CorruptState),
            "cut at {cut}"
        );
    }
    assert_eq!(
        torn([whole.bytes.as_slice(), &[0]].concat()),
        Err(ErrorKind::CorruptState)
    );
    // A byte of the body that changed: the digest under which it was taken tells.
    let spoilt = (0..whole.bytes.len()).filter(|at| {
        let mut bytes = whole.bytes.clone();
        bytes[*at] ^= 1;
        let read = ConfigStore::decode(&Value {
            revision: Revision(3),
            bytes,
        });
        read.is_ok_and(|store| store.body().is_ok_and(|body| body != b"3"))
    });
    assert_eq!(spoilt.collect::<Vec<_>>(), [] as [usize; 0]);
    assert!(OperationsState::decode(&Value {
        revision: Revision(1),
        bytes: Vec::new()
    })
    .is_err());
    assert_eq!(
        OperationsState::decode(&Value::default()),
        Ok(OperationsState::default()),
        "never written"
    );
}

/// A core whose voters hold bytes that are no configuration; an operator sends the first one.
fn over_what_cannot_be_read() -> (Result<Value, ErrorKind>, Vec<u8>) {
    let mut core = Core::new(3, 1);
    let ballot = Ballot {
        number: 1,
        nonce: 9,
    };
    let quorum: Vec<ReplicaEpoch> = names(3)
        .into_iter()
        .map(|replica| ReplicaEpoch {
            replica,
            epoch: Epoch::FIRST,
        })
        .collect();
    for acceptor in &mut core.replicas {
        let value = Value {
            revision: Revision(7),
            bytes: vec![250, 1, 2],
        };
        acceptor.step(Request::Accept {
            register: RegisterId::Config,
            ballot,
            value,
            quorum: quorum.clone(),
        });
    }
    let id = core.order(0, Operation::replace_config(1, 0, b"first"), 2500);
    core.settle();
    let held = core.replicas[1]
        .register(RegisterId::Config)
        .accepted
        .clone()
        .unwrap()
        .value;
    (core.answers[&id].clone(), held.bytes)
}

#[test]
fn a_round_puts_nothing_in_the_place_of_what_it_cannot_read() {
    assert_eq!(
        over_what_cannot_be_read(),
        (Err(ErrorKind::CorruptState), vec![250, 1, 2])
    );
    let _out = disable(Some(Safeguard::UndecodableValues));
    let (answer, bytes) = over_what_cannot_be_read();
    assert!(
        answer.is_ok() && bytes != [250, 1, 2],
        "what was acknowledged before is overwritten"
    );
}

/// So many operators send each a body of its own under one number, to machines that are drawn, while messages are lost, come
/// twice or change places; then each sends its own again, to another machine. How many were ever confirmed.
fn race(count: usize, operators: usize, seed: u64) -> usize {
    let mut core = Core::new(count, seed);
    let body = |of: usize| format!("body of {of}");
    let mut sent: Vec<Vec<ProposalId>> = Vec::new();
    for of in 0..operators {
        let at = core.random(count);
        sent.push(vec![core.order(
            at,
            Operation::replace_config(5, 0, body(of).as_bytes()),
            2500,
        )]);
        // Some of what is on the way comes before the next order does.
        for _ in 0..core.random(12) {
            let Some(message) = core.way.pop_front() else {
                break;
            };
            match core.random(8) {
                0 => {}
                1 => core.way.push_back(message),
                2 => {
                    core.take(message.clone());
                    core.take(message);
                }
                _ => core.take(message),
            }
        }
    }
    core.settle();
    for (of, sent) in sent.iter_mut().enumerate() {
        let at = core.random(count);
        sent.push(core.order(
            at,
            Operation::replace_config(5, 0, body(of).as_bytes()),
            2500,
        ));
    }
    core.settle();
    let value = core.value(0, RegisterId::Config);
    let in_force = ConfigStore::decode(&value).unwrap().body().unwrap();
    let mut confirmed = 0;
    for (of, ids) in sent.iter().enumerate() {
        let heard: Vec<_> = ids
            .iter()
            .map(|id| core.answers[id].clone().map(drop))
            .collect();
        let ok = heard.iter().any(Result::is_ok);
        confirmed += usize::from(ok);
        if in_force == body(of).as_bytes() {
            assert!(
                heard
                    .iter()
                    .all(|heard| *heard != Err(ErrorKind::VersionConflict)),
                "seed {seed}: refused {heard:?}"
            );
            assert_eq!(
                heard[1],
                Ok(()),
                "seed {seed}: the one in force is confirmed again"
            );
        } else if !ok {
            assert_eq!(heard[1], Err(ErrorKind::VersionConflict), "seed {seed}");
        }
    }
    confirmed
}

#[test]
fn of_two_or_eight_operators_under_one_number_one_is_confirmed_wherever_they_ask() {
    for seed in 0..300 {
        for (count, operators) in [(3, 2), (3, 8), (5, 2), (5, 8)] {
            assert_eq!(
                race(count, operators, seed),
                1,
                "seed {seed}, {count} machines, {operators} operators"
            );
        }
    }
    let _out = disable(Some(Safeguard::RepeatHasSameBody));
    assert!(
        (0..20).any(|seed| race(3, 2, seed) > 1),
        "both are confirmed under one number"
    );
}

/// node-0 offers A and only it accepts; node-1 reads that and is to put B on the same base; what it then asks is lost, and so
/// is node-0. What B's operator heard, and what is left.
fn refused_by_what_was_not_chosen() -> (Option<Result<Value, ErrorKind>>, u32) {
    let mut core = Core::new(3, 1);
    core.order(0, Operation::replace_config(5, 0, b"A"), 2500);
    core.run(|message| is_accept(message) && !matches!(message, Message::Request { to: 0, .. }));
    let b = core.order(1, Operation::replace_config(5, 0, b"B"), 2500);
    core.run(|message| is_accept(message) || matches!(message, Message::Request { to: 2, .. }));
    let heard = core.answers.get(&b).cloned();
    core.replicas[0] = Acceptor::new("node-0", 1, 3, &BTreeMap::new()); // its disk is lost
    let fence = core.replicas[0].fence_request("node-0").unwrap();
    let Request::Fence { epoch, .. } = fence.clone() else {
        panic!()
    };
    for from in [1, 2] {
        let (response, _) = core.replicas[from].step(fence.clone());
        core.replicas[0].on_fence_response(epoch, response);
    }
    core.proposers = (0..3).map(|at| Proposer::new(90 + at)).collect();
    for proposer in &mut core.proposers {
        proposer.set_replicas(&names(3), 50);
    }
    let value = core.value(2, RegisterId::Config);
    (heard, ConfigStore::decode(&value).unwrap().version)
}

#[test]
fn a_refusal_speaks_only_of_a_version_that_is_there_to_stay() {
    assert_eq!(
        refused_by_what_was_not_chosen(),
        (None, 0),
        "nothing is said of what no majority holds"
    );
    let _out = disable(Some(Safeguard::CommittedRejections));
    assert_eq!(
        refused_by_what_was_not_chosen(),
        (Some(Err(ErrorKind::VersionConflict)), 0)
    );
}

/// An evacuation's begin lies at node-0 as its promises are held up; its end is taken at node-1 after the operator went there;
/// then all comes, without a tick between, as at a machine that wakes. Whether the zone is evacuated in the end.
fn a_begin_that_lay(unticked: bool) -> (bool, Result<(), ErrorKind>) {
    let mut core = Core::new(3, 1);
    let late = core.order(0, evacuate(true), 700);
    let held = core.run(|message| matches!(message, Message::Response { to: 0, .. }));
    core.now += 1100;
    for begin in [true, false] {
        core.order(1, evacuate(begin), 700);
        core.run(|message| matches!(message, Message::Response { to: 0, .. }));
    }
    core.now += 10;
    if !unticked {
        core.tell(0, Event::Tick);
    }
    core.way.extend(held);
    core.settle();
    let heard = core.answers[&late].clone().map(drop);
    (core.evacuated(2), heard)
}

#[test]
fn an_evacuation_that_lay_until_after_its_end_does_not_undo_it_and_is_not_confirmed() {
    for unticked in [false, true] {
        assert_eq!(
            a_begin_that_lay(unticked),
            (false, Err(ErrorKind::NoQuorum))
        );
    }
    // Its round goes on, under a ballot that no other has met: only its time is over.
    let rounds = |now: u64| {
        let mut core = Core::new(3, 1);
        let late = core.order(0, evacuate(true), 700);
        let held = core.run(|message| matches!(message, Message::Response { to: 0, .. }));
        core.now += now;
        core.way.extend(held);
        core.run(|_| false);
        (core.answers[&late].is_ok(), core.evacuated(1))
    };
    assert_eq!(rounds(699), (true, true));
    assert_eq!(rounds(700), (false, false));
    let _out = disable(Some(Safeguard::UnconditionalDeadline));
    assert_eq!(
        rounds(1100),
        (true, true),
        "carried out after its caller has gone elsewhere"
    );
}

/// A begin is offered by node-0; of its three asks, those in `first` come at once. Its end is taken at node-1; then the rest
/// comes. Whether the zone is evacuated in the end, as each machine has it.
fn an_offer_on_its_way(first: [bool; 3], again: bool) -> Vec<bool> {
    let mut core = Core::new(3, 1);
    core.order(0, evacuate(true), 700);
    let requests = core.run(is_accept);
    assert_eq!(requests.len(), 3);
    let (now, late): (Vec<Message>, Vec<Message>) =
        requests.into_iter().partition(|request| match request {
            Message::Request { to, .. } => first[*to],
            Message::Response { .. } => false,
        });
    core.way.extend(now);
    core.run(|_| false);
    if again {
        core.order(1, evacuate(true), 700); // the operator goes there with the same order
        core.settle_short();
    }
    let end = core.order(1, evacuate(false), 2500);
    core.settle_short();
    assert!(core.answers[&end].is_ok());
    core.way.extend(late);
    core.run(|_| false);
    (0..3).map(|at| core.evacuated(at)).collect()
}

impl Core {
    /// Long enough for rounds that meet, without the first machine's clock going on: it gives nothing up.
    fn settle_short(&mut self) {
        for _ in 0..10 {
            self.run(|_| false);
            self.now += 100;
            self.tell(1, Event::Tick);
        }
    }
}

#[test]
fn what_is_on_the_way_under_an_earlier_ballot_does_not_undo_what_was_taken_under_a_later_one() {
    let subsets = (0..8u8).map(|bits| [0, 1, 2].map(|at| bits & (1 << at) != 0));
    let all: Vec<([bool; 3], bool)> = subsets
        .flat_map(|first| [(first, false), (first, true)])
        .collect();
    for (first, again) in &all {
        assert_eq!(
            an_offer_on_its_way(*first, *again),
            [false; 3],
            "{first:?} came first, again {again}"
        );
    }
    let _out = disable(Some(Safeguard::StaleBallots));
    let broken = all
        .iter()
        .any(|(first, again)| an_offer_on_its_way(*first, *again).contains(&true));
    assert!(broken, "a begin under an earlier ballot undoes the end");
}

/// A begin whose caller goes before its round has promises, or after it was offered to nobody who heard of it.
fn gone(offered: bool, told: bool) -> bool {
    let mut core = Core::new(3, 1);
    let id = core.order(0, evacuate(true), 60_000);
    let held = core.run(|message| !offered || is_accept(message));
    if told {
        core.tell(0, Event::Cancel { id });
    }
    if !offered {
        core.way.extend(held);
    }
    core.settle();
    core.evacuated(1)
}

#[test]
fn an_order_whose_caller_has_gone_enters_no_further_round() {
    assert!(
        gone(false, false) && gone(true, false),
        "carried out while its caller waits"
    );
    assert!(!gone(false, true) && !gone(true, true));
}

#[test]
fn the_same_order_twice_in_one_round_is_one_change_and_two_confirmations() {
    for op in [
        evacuate(true),
        begin("v2", 10, 0),
        Operation::replace_config(5, 0, b"same"),
    ] {
        let mut core = Core::new(3, 1);
        let ids = [
            core.order(0, op.clone(), 700),
            core.order(0, op.clone(), 700),
        ];
        core.run(|_| false);
        assert!(ids.iter().all(|id| core.answers[id].is_ok()), "{op:?}");
        assert_eq!(core.value(1, op.register()).revision, Revision(1), "{op:?}");
    }
}
