//! Operations that compete, are retried, are delayed or whose callers have gone. Each safeguard is disabled once, to
//! show that the expected outcome depends on it.

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

const RETRY_WINDOW_MS: u64 = 8000;

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

/// A cluster in one process. The test decides when each message is delivered.
struct Cluster {
    acceptors: Vec<Acceptor>,
    proposers: Vec<Proposer>,
    now: u64,
    in_flight: VecDeque<Message>,
    outcomes: BTreeMap<ProposalId, Result<Value, ErrorKind>>,
    last_id: ProposalId,
    rng_state: u64,
}

fn node_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("node-{index}")).collect()
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

impl Cluster {
    fn new(count: usize, seed: u64) -> Cluster {
        let node_names = node_names(count);
        let acceptors = node_names.iter().map(|name| {
            let mut acceptor = Acceptor::new(name, count / 2, 1, &BTreeMap::new());
            acceptor.bootstrap(node_names.clone());
            acceptor
        });
        let proposers = (0..count as u64).map(|index| {
            let mut proposer = Proposer::new(seed * 131 + index);
            proposer.set_replicas(&node_names, 0);
            proposer
        });
        Cluster {
            acceptors: acceptors.collect(),
            proposers: proposers.collect(),
            now: 1000,
            in_flight: VecDeque::new(),
            outcomes: BTreeMap::new(),
            last_id: 0,
            rng_state: seed,
        }
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) as usize % below
    }

    fn step_proposer(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let acceptor = &self.acceptors[index];
        self.proposers[index].step(
            self.now,
            event,
            &|register| acceptor.register(register).accepted.clone(),
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Send { to, request } => {
                    let to = to
                        .iter()
                        .map(|to| to.strip_prefix("node-").unwrap().parse().unwrap());
                    self.in_flight.extend(to.map(|to| Message::Request {
                        from: index,
                        to,
                        request: request.clone(),
                    }));
                }
                Action::Complete { id, outcome } => {
                    self.outcomes
                        .insert(id, outcome.map_err(|error| error.kind));
                }
                Action::Chosen { .. } => {}
            }
        }
    }

    fn propose(&mut self, index: usize, operation: Operation, timeout_ms: u64) -> ProposalId {
        self.last_id += 1;
        let (id, register, deadline) = (self.last_id, operation.register(), self.now + timeout_ms);
        self.step_proposer(
            index,
            Event::Propose {
                id,
                register,
                operation,
                deadline,
            },
        );
        id
    }

    fn deliver(&mut self, message: Message) {
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
                let (response, _) = self.acceptors[to].step(request);
                self.in_flight.push_back(Message::Response {
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
                self.step_proposer(
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

    /// Delivers all messages except those for which `is_held_back` returns true, which are returned.
    fn deliver_except(&mut self, is_held_back: impl Fn(&Message) -> bool) -> Vec<Message> {
        let mut held_back = Vec::new();
        while let Some(message) = self.in_flight.pop_front() {
            if is_held_back(&message) {
                held_back.push(message);
            } else {
                self.deliver(message);
            }
        }
        held_back
    }

    fn settle(&mut self) {
        for _ in 0..40 {
            self.deliver_except(|_| false);
            self.now += 100;
            (0..self.proposers.len()).for_each(|index| self.step_proposer(index, Event::Tick));
        }
        self.deliver_except(|_| false);
    }

    /// Reads a register with a round at a node.
    fn value(&mut self, index: usize, register: RegisterId) -> Value {
        self.last_id += 1;
        let id = self.last_id;
        self.step_proposer(
            index,
            Event::Propose {
                id,
                register,
                operation: Operation::Read,
                deadline: u64::MAX,
            },
        );
        self.settle();
        self.outcomes[&id]
            .clone()
            .expect("a read without faults succeeds")
    }

    fn is_evacuated(&mut self, index: usize) -> bool {
        let value = self.value(index, RegisterId::Operations);
        OperationsState::decode(&value)
            .unwrap()
            .evacuated_zones
            .contains("zone")
    }
}

fn set_evacuation(is_evacuated: bool) -> Operation {
    Operation::SetEvacuation {
        zone: "zone".into(),
        is_evacuated,
    }
}

fn begin_rollout(target: &str, ramp_ms: u64, at_ms: u64) -> Operation {
    Operation::BeginRollout {
        service: "s".into(),
        target: target.into(),
        ramp_ms,
        at_ms,
        repeat_ms: RETRY_WINDOW_MS,
    }
}

/// The operations register of a service `s` with base version v1, and the generator of rollout ids.
struct Rollouts(OperationsState, Pcg64Mcg);

impl Rollouts {
    fn new() -> Rollouts {
        let mut rollouts = Rollouts(OperationsState::default(), Pcg64Mcg::seed_from_u64(1));
        rollouts
            .apply(&Operation::SetBaseVersion {
                service: "s".into(),
                version: "v1".into(),
            })
            .unwrap();
        rollouts
    }

    fn apply(&mut self, operation: &Operation) -> Result<bool, Error> {
        self.0.apply(operation, &mut self.1)
    }

    fn advance(&mut self, to: Stage) {
        let held = self.0.rollouts["s"].clone();
        let operation = Operation::AdvanceRollout {
            service: "s".into(),
            rollout: held.id,
            from: held.stage,
            to,
        };
        assert_eq!(self.apply(&operation), Ok(true));
    }

    fn state(&self) -> (&str, Stage) {
        (&self.0.rollouts["s"].target, self.0.rollouts["s"].stage)
    }
}

/// Reverts a rollout and repeats its request within the retry window and after it. Returns whether each request began a
/// rollout.
fn repeat_reverted_rollout() -> (bool, bool) {
    let mut rollouts = Rollouts::new();
    assert_eq!(rollouts.apply(&begin_rollout("v2", 10, 50_000)), Ok(true));
    assert_eq!(
        rollouts.apply(&begin_rollout("v2", 10, 51_000)),
        Ok(false),
        "a retry while the rollout is active"
    );
    rollouts.advance(Stage::Reverted);
    let within_window = rollouts
        .apply(&begin_rollout("v2", 10, 50_000 + RETRY_WINDOW_MS))
        .unwrap();
    let after_window = rollouts
        .apply(&begin_rollout("v2", 10, 50_001 + RETRY_WINDOW_MS))
        .unwrap();
    (within_window, after_window)
}

#[test]
fn a_reverted_rollout_restarts_on_a_new_request_but_not_on_a_retry() {
    assert_eq!(repeat_reverted_rollout(), (false, true));
    {
        let _guard = disable(Some(Safeguard::RepeatWindow));
        assert!(
            repeat_reverted_rollout().0,
            "a retry restarts the rollout that was just reverted"
        );
    }
    let _guard = disable(Some(Safeguard::RolloutRestart));
    assert!(
        !repeat_reverted_rollout().1,
        "acknowledged, but not started"
    );
}

#[test]
fn a_restarted_rollout_has_a_new_id_and_is_admitted_again() {
    let mut rollouts = Rollouts::new();
    rollouts.apply(&begin_rollout("v2", 10, 0)).unwrap();
    let first_id = rollouts.0.rollouts["s"].id;
    rollouts.advance(Stage::Reverted);
    assert!(rollouts.0.reverted_versions["s"].contains("v2"));
    rollouts.apply(&begin_rollout("v2", 10, 100_000)).unwrap();
    assert_eq!(rollouts.state(), ("v2", Stage::Active(0)));
    assert!(!rollouts.0.reverted_versions["s"].contains("v2"));
    // A rollback of the first rollout does not apply to the second.
    let late = Operation::AdvanceRollout {
        service: "s".into(),
        rollout: first_id,
        from: Stage::Active(0),
        to: Stage::Reverted,
    };
    assert_eq!(rollouts.apply(&late), Ok(false));
    assert_eq!(rollouts.state(), ("v2", Stage::Active(0)));
}

/// Advances a rollout, then applies a rollback that was decided before the advance was known. Returns the stage.
fn rollback_after_an_advance() -> Stage {
    let mut rollouts = Rollouts::new();
    rollouts.apply(&begin_rollout("v2", 10, 0)).unwrap();
    let rollout = rollouts.0.rollouts["s"].id;
    rollouts.advance(Stage::Active(1));
    let rollback = Operation::AdvanceRollout {
        service: "s".into(),
        rollout,
        from: Stage::Active(0),
        to: Stage::Reverted,
    };
    rollouts.apply(&rollback).unwrap();
    rollouts.state().1
}

#[test]
fn a_rollback_applies_to_a_later_stage_but_not_to_a_complete_rollout() {
    assert_eq!(rollback_after_an_advance(), Stage::Reverted);
    {
        let _guard = disable(Some(Safeguard::RollbackFromAnyStage));
        assert_eq!(
            rollback_after_an_advance(),
            Stage::Active(1),
            "the rollback is ignored"
        );
    }
    let mut rollouts = Rollouts::new();
    rollouts.apply(&begin_rollout("v2", 10, 0)).unwrap();
    let rollout = rollouts.0.rollouts["s"].id;
    rollouts.advance(Stage::Complete);
    let late = Operation::AdvanceRollout {
        service: "s".into(),
        rollout,
        from: Stage::Active(0),
        to: Stage::Reverted,
    };
    assert_eq!(rollouts.apply(&late), Ok(false));
    // Nor does an advance that was decided before another one.
    let mut rollouts = Rollouts::new();
    rollouts.apply(&begin_rollout("v2", 10, 0)).unwrap();
    let rollout = rollouts.0.rollouts["s"].id;
    rollouts.advance(Stage::Active(1));
    let late = Operation::AdvanceRollout {
        service: "s".into(),
        rollout,
        from: Stage::Active(0),
        to: Stage::Complete,
    };
    assert_eq!(rollouts.apply(&late), Ok(false));
}

#[test]
fn a_rollout_is_rejected_only_while_another_is_active() {
    let mut rollouts = Rollouts::new();
    rollouts.apply(&begin_rollout("v2", 10, 0)).unwrap();
    let is_rejected =
        |result: Result<bool, Error>| result.unwrap_err().kind == ErrorKind::InProgress;
    assert!(
        is_rejected(rollouts.apply(&begin_rollout("v3", 10, 1))),
        "another target"
    );
    assert!(
        is_rejected(rollouts.apply(&begin_rollout("v2", 20, 1))),
        "another ramp: it differs from the active rollout"
    );
    rollouts.advance(Stage::Complete);
    assert_eq!(
        rollouts.apply(&begin_rollout("v2", 20, 500_000)),
        Ok(false),
        "v2 is the base version already"
    );
    assert_eq!(rollouts.state(), ("v2", Stage::Complete));
    assert_eq!(rollouts.apply(&begin_rollout("v3", 10, 2)), Ok(true));
    assert!(is_rejected(rollouts.apply(&begin_rollout("v2", 10, 3))));
}

#[test]
fn a_rollout_to_the_base_version_is_complete_at_once() {
    let mut rollouts = Rollouts::new();
    rollouts.apply(&begin_rollout("v2", 10, 0)).unwrap();
    rollouts.advance(Stage::Reverted);
    assert_eq!(rollouts.apply(&begin_rollout("v1", 10, 5)), Ok(true));
    assert_eq!(rollouts.state(), ("v1", Stage::Complete));
    assert!(rollouts.0.reverted_versions["s"].contains("v2"));
    assert_eq!(rollouts.apply(&begin_rollout("v1", 10, 6)), Ok(false));
}

/// A store to which versions 1 to `newest` were committed one after the other, and the operation of version 1.
fn store_with_versions(newest: u32) -> (ConfigStore, Operation) {
    let mut store = ConfigStore::default();
    for version in 1..=newest {
        let operation =
            Operation::replace_config(version, version - 1, format!("{version}").as_bytes());
        assert_eq!(store.apply(&operation), Ok(true));
    }
    (store, Operation::replace_config(1, 0, b"1"))
}

#[test]
fn a_retry_after_hundreds_of_later_versions_is_never_reported_as_a_conflict() {
    let (mut store, first) = store_with_versions(512);
    assert_eq!(store.apply(&first), Ok(false));
    let (mut store, first) = store_with_versions(900);
    // A retry within the history is acknowledged; one from before it gets an error that leaves the outcome open.
    for version in 1..=900 {
        let operation =
            Operation::replace_config(version, version - 1, format!("{version}").as_bytes());
        match store.apply(&operation) {
            Ok(changed) => assert!(!changed && version > 900 - 512, "{version}"),
            Err(error) => {
                assert!(
                    error.kind == ErrorKind::VersionForgotten && version <= 900 - 512,
                    "{version}: {error}"
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
        "the history shows that it was not committed"
    );
    let decoded = ConfigStore::decode(&Value {
        revision: Revision(900),
        bytes: store.encode(),
    })
    .unwrap();
    assert_eq!(
        decoded.clone().apply(&first).unwrap_err().kind,
        ErrorKind::VersionForgotten,
        "the start of the history survives encoding"
    );
    let _guard = disable(Some(Safeguard::ForgottenVersions));
    assert_eq!(
        store.apply(&first).unwrap_err().kind,
        ErrorKind::VersionConflict,
        "reported as a conflict, although it was committed"
    );
}

#[test]
fn a_corrupt_value_is_an_error_and_not_an_empty_value() {
    let (store, _) = store_with_versions(3);
    let value = Value {
        revision: Revision(3),
        bytes: store.encode(),
    };
    assert_eq!(ConfigStore::decode(&value).unwrap().body().unwrap(), b"3");
    let decode_error = |bytes: Vec<u8>| {
        let read = ConfigStore::decode(&Value {
            revision: Revision(3),
            bytes,
        })
        .and_then(|store| store.body());
        read.map(drop).map_err(|error| error.kind)
    };
    for cut in 0..value.bytes.len() {
        assert_eq!(
            decode_error(value.bytes[..cut].to_vec()),
            Err(ErrorKind::CorruptState),
            "cut at {cut}"
        );
    }
    assert_eq!(
        decode_error([value.bytes.as_slice(), &[0]].concat()),
        Err(ErrorKind::CorruptState)
    );
    // A flipped bit in the body must be detected by its digest.
    let undetected = (0..value.bytes.len()).filter(|index| {
        let mut bytes = value.bytes.clone();
        bytes[*index] ^= 1;
        let read = ConfigStore::decode(&Value {
            revision: Revision(3),
            bytes,
        });
        read.is_ok_and(|store| store.body().is_ok_and(|body| body != b"3"))
    });
    assert_eq!(undetected.collect::<Vec<_>>(), [] as [usize; 0]);
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

/// Proposes a configuration to acceptors that hold undecodable bytes. Returns the outcome and the bytes held
/// afterwards.
fn propose_over_an_undecodable_value() -> (Result<Value, ErrorKind>, Vec<u8>) {
    let mut cluster = Cluster::new(3, 1);
    let ballot = Ballot {
        number: 1,
        nonce: 9,
    };
    let quorum: Vec<ReplicaEpoch> = node_names(3)
        .into_iter()
        .map(|replica| ReplicaEpoch {
            replica,
            epoch: Epoch::FIRST,
        })
        .collect();
    for acceptor in &mut cluster.acceptors {
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
    let id = cluster.propose(0, Operation::replace_config(1, 0, b"first"), 2500);
    cluster.settle();
    let held = cluster.acceptors[1]
        .register(RegisterId::Config)
        .accepted
        .clone()
        .unwrap()
        .value;
    (cluster.outcomes[&id].clone(), held.bytes)
}

#[test]
fn a_round_does_not_replace_an_undecodable_value() {
    assert_eq!(
        propose_over_an_undecodable_value(),
        (Err(ErrorKind::CorruptState), vec![250, 1, 2])
    );
    let _guard = disable(Some(Safeguard::UndecodableValues));
    let (outcome, bytes) = propose_over_an_undecodable_value();
    assert!(
        outcome.is_ok() && bytes != [250, 1, 2],
        "the undecodable value is overwritten"
    );
}

/// Each operator proposes its own body under the same version at a random node, while messages are lost, duplicated and
/// reordered; then each retries at another random node. Returns the number of operators that were acknowledged.
fn race(count: usize, operators: usize, seed: u64) -> usize {
    let mut cluster = Cluster::new(count, seed);
    let body = |operator: usize| format!("body of {operator}");
    let mut ids_by_operator: Vec<Vec<ProposalId>> = Vec::new();
    for operator in 0..operators {
        let index = cluster.random_below(count);
        ids_by_operator.push(vec![cluster.propose(
            index,
            Operation::replace_config(5, 0, body(operator).as_bytes()),
            2500,
        )]);
        // Some of the messages in flight are handled before the next operator proposes.
        for _ in 0..cluster.random_below(12) {
            let Some(message) = cluster.in_flight.pop_front() else {
                break;
            };
            match cluster.random_below(8) {
                0 => {}
                1 => cluster.in_flight.push_back(message),
                2 => {
                    cluster.deliver(message.clone());
                    cluster.deliver(message);
                }
                _ => cluster.deliver(message),
            }
        }
    }
    cluster.settle();
    for (operator, ids) in ids_by_operator.iter_mut().enumerate() {
        let index = cluster.random_below(count);
        ids.push(cluster.propose(
            index,
            Operation::replace_config(5, 0, body(operator).as_bytes()),
            2500,
        ));
    }
    cluster.settle();
    let value = cluster.value(0, RegisterId::Config);
    let body_in_force = ConfigStore::decode(&value).unwrap().body().unwrap();
    let mut acknowledged = 0;
    for (operator, ids) in ids_by_operator.iter().enumerate() {
        let outcomes_of_operator: Vec<_> = ids
            .iter()
            .map(|id| cluster.outcomes[id].clone().map(drop))
            .collect();
        let is_ok = outcomes_of_operator.iter().any(Result::is_ok);
        acknowledged += usize::from(is_ok);
        if body_in_force == body(operator).as_bytes() {
            assert!(
                outcomes_of_operator
                    .iter()
                    .all(|outcome| *outcome != Err(ErrorKind::VersionConflict)),
                "seed {seed}: rejected {outcomes_of_operator:?}"
            );
            assert_eq!(
                outcomes_of_operator[1],
                Ok(()),
                "seed {seed}: the retry of the version in force is acknowledged"
            );
        } else if !is_ok {
            assert_eq!(
                outcomes_of_operator[1],
                Err(ErrorKind::VersionConflict),
                "seed {seed}"
            );
        }
    }
    acknowledged
}

#[test]
fn of_several_operators_that_use_one_version_exactly_one_is_acknowledged() {
    for seed in 0..300 {
        for (count, operators) in [(3, 2), (3, 8), (5, 2), (5, 8)] {
            assert_eq!(
                race(count, operators, seed),
                1,
                "seed {seed}, {count} nodes, {operators} operators"
            );
        }
    }
    let _guard = disable(Some(Safeguard::RepeatHasSameBody));
    assert!(
        (0..20).any(|seed| race(3, 2, seed) > 1),
        "both are acknowledged under one version"
    );
}

/// node-0 proposes A, which only node-0 itself accepts. node-1 reads A and proposes B on the same base; its phase 2
/// requests and node-0's disk are lost. Returns the outcome of B so far, and the version that is read in the end.
fn reject_by_a_value_that_was_not_chosen() -> (Option<Result<Value, ErrorKind>>, u32) {
    let mut cluster = Cluster::new(3, 1);
    cluster.propose(0, Operation::replace_config(5, 0, b"A"), 2500);
    cluster.deliver_except(|message| {
        is_accept(message) && !matches!(message, Message::Request { to: 0, .. })
    });
    let second = cluster.propose(1, Operation::replace_config(5, 0, b"B"), 2500);
    cluster.deliver_except(|message| {
        is_accept(message) || matches!(message, Message::Request { to: 2, .. })
    });
    let outcome = cluster.outcomes.get(&second).cloned();
    cluster.acceptors[0] = Acceptor::new("node-0", 1, 3, &BTreeMap::new()); // its disk is lost
    while let Some(request) = cluster.acceptors[0].recovery_request("node-0") {
        let (Request::Fence { epoch, .. } | Request::Install { epoch, .. }) = request else {
            panic!("{request:?}")
        };
        for from in [1, 2] {
            let (response, _) = cluster.acceptors[from].step(request.clone());
            cluster.acceptors[0].on_recovery_response(epoch, response);
        }
        cluster.acceptors[0].recovery_stored();
    }
    cluster.proposers = (0..3).map(|index| Proposer::new(90 + index)).collect();
    for proposer in &mut cluster.proposers {
        proposer.set_replicas(&node_names(3), 50);
    }
    let value = cluster.value(2, RegisterId::Config);
    (outcome, ConfigStore::decode(&value).unwrap().version)
}

#[test]
fn a_rejection_is_based_on_a_chosen_value() {
    assert_eq!(
        reject_by_a_value_that_was_not_chosen(),
        (None, 0),
        "no outcome may be based on a value that no majority holds"
    );
    let _guard = disable(Some(Safeguard::CommittedRejections));
    assert_eq!(
        reject_by_a_value_that_was_not_chosen(),
        (Some(Err(ErrorKind::VersionConflict)), 0)
    );
}

/// The begin of an evacuation is delayed at node-0, because its promises are held back. The operator begins and ends
/// the evacuation at node-1; then the promises arrive, optionally without a tick in between, as at a suspended node
/// that resumes. Returns whether the zone is evacuated in the end, and the outcome of the delayed operation.
fn delayed_evacuation(without_tick: bool) -> (bool, Result<(), ErrorKind>) {
    let mut cluster = Cluster::new(3, 1);
    let late = cluster.propose(0, set_evacuation(true), 700);
    let held = cluster.deliver_except(|message| matches!(message, Message::Response { to: 0, .. }));
    cluster.now += 1100;
    for is_evacuated in [true, false] {
        cluster.propose(1, set_evacuation(is_evacuated), 700);
        cluster.deliver_except(|message| matches!(message, Message::Response { to: 0, .. }));
    }
    cluster.now += 10;
    if !without_tick {
        cluster.step_proposer(0, Event::Tick);
    }
    cluster.in_flight.extend(held);
    cluster.settle();
    let outcome = cluster.outcomes[&late].clone().map(drop);
    (cluster.is_evacuated(2), outcome)
}

#[test]
fn a_delayed_evacuation_past_its_deadline_is_not_carried_out() {
    for without_tick in [false, true] {
        assert_eq!(
            delayed_evacuation(without_tick),
            (false, Err(ErrorKind::NoQuorum))
        );
    }
    // Without a competing round only the deadline keeps the operation from being carried out.
    let after_delay = |delay_ms: u64| {
        let mut cluster = Cluster::new(3, 1);
        let late = cluster.propose(0, set_evacuation(true), 700);
        let held =
            cluster.deliver_except(|message| matches!(message, Message::Response { to: 0, .. }));
        cluster.now += delay_ms;
        cluster.in_flight.extend(held);
        cluster.deliver_except(|_| false);
        (cluster.outcomes[&late].is_ok(), cluster.is_evacuated(1))
    };
    assert_eq!(after_delay(699), (true, true));
    assert_eq!(after_delay(700), (false, false));
    let _guard = disable(Some(Safeguard::UnconditionalDeadline));
    assert_eq!(
        after_delay(1100),
        (true, true),
        "carried out after its deadline"
    );
}

/// node-0 proposes the begin of an evacuation; its phase 2 requests arrive on time at the nodes in `on_time_for`. The
/// end of the evacuation is acknowledged at node-1; then the other requests arrive. Returns for each node whether it
/// reads the zone as evacuated.
fn deliver_earlier_proposal_late(on_time_for: [bool; 3], is_retried: bool) -> Vec<bool> {
    let mut cluster = Cluster::new(3, 1);
    cluster.propose(0, set_evacuation(true), 700);
    let requests = cluster.deliver_except(is_accept);
    assert_eq!(requests.len(), 3);
    let (on_time, late): (Vec<Message>, Vec<Message>) =
        requests.into_iter().partition(|request| match request {
            Message::Request { to, .. } => on_time_for[*to],
            Message::Response { .. } => false,
        });
    cluster.in_flight.extend(on_time);
    cluster.deliver_except(|_| false);
    if is_retried {
        cluster.propose(1, set_evacuation(true), 700); // the operator retries at another node
        cluster.settle_without_first_proposer();
    }
    let end = cluster.propose(1, set_evacuation(false), 2500);
    cluster.settle_without_first_proposer();
    assert!(cluster.outcomes[&end].is_ok());
    cluster.in_flight.extend(late);
    cluster.deliver_except(|_| false);
    (0..3).map(|index| cluster.is_evacuated(index)).collect()
}

impl Cluster {
    /// Gives competing rounds time to finish, without ticks at node-0, so that it does not abandon its round.
    fn settle_without_first_proposer(&mut self) {
        for _ in 0..10 {
            self.deliver_except(|_| false);
            self.now += 100;
            self.step_proposer(1, Event::Tick);
        }
    }
}

#[test]
fn an_earlier_ballot_does_not_overwrite_a_value_accepted_under_a_later_one() {
    let subsets = (0..8u8).map(|bits| [0, 1, 2].map(|index| bits & (1 << index) != 0));
    let all: Vec<([bool; 3], bool)> = subsets
        .flat_map(|on_time_for| [(on_time_for, false), (on_time_for, true)])
        .collect();
    for (on_time_for, is_retried) in &all {
        assert_eq!(
            deliver_earlier_proposal_late(*on_time_for, *is_retried),
            [false; 3],
            "on time for {on_time_for:?}, retried {is_retried}"
        );
    }
    let _guard = disable(Some(Safeguard::StaleBallots));
    let is_overwritten = all.iter().any(|(on_time_for, is_retried)| {
        deliver_earlier_proposal_late(*on_time_for, *is_retried).contains(&true)
    });
    assert!(
        is_overwritten,
        "a begin under an earlier ballot overwrites the end"
    );
}

/// Cancels the begin of an evacuation, either before its round has promises or after its proposal was lost. Returns
/// whether the zone is evacuated in the end.
fn evacuated_after_cancel(is_proposed: bool, is_cancelled: bool) -> bool {
    let mut cluster = Cluster::new(3, 1);
    let id = cluster.propose(0, set_evacuation(true), 60_000);
    let held = cluster.deliver_except(|message| !is_proposed || is_accept(message));
    if is_cancelled {
        cluster.step_proposer(0, Event::Cancel { id });
    }
    if !is_proposed {
        cluster.in_flight.extend(held);
    }
    cluster.settle();
    cluster.is_evacuated(1)
}

#[test]
fn a_cancelled_operation_is_not_proposed_again() {
    assert!(
        evacuated_after_cancel(false, false) && evacuated_after_cancel(true, false),
        "carried out if it is not cancelled"
    );
    assert!(!evacuated_after_cancel(false, true) && !evacuated_after_cancel(true, true));
}

#[test]
fn an_operation_that_is_twice_in_one_round_is_applied_once_and_acknowledged_twice() {
    for operation in [
        set_evacuation(true),
        begin_rollout("v2", 10, 0),
        Operation::replace_config(5, 0, b"same"),
    ] {
        let mut cluster = Cluster::new(3, 1);
        let ids = [
            cluster.propose(0, operation.clone(), 700),
            cluster.propose(0, operation.clone(), 700),
        ];
        cluster.deliver_except(|_| false);
        assert!(
            ids.iter().all(|id| cluster.outcomes[id].is_ok()),
            "{operation:?}"
        );
        assert_eq!(
            cluster.value(1, operation.register()).revision,
            Revision(1),
            "{operation:?}"
        );
    }
}
