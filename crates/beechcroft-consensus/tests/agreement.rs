//! Agreement under faults: each fault at each step of a scenario in turn, then random faults from fixed seeds.

mod cluster;

use beechcroft_consensus::{Acceptor, Ballot, ConfigStore, RegisterId, Request, Response, Value};
use beechcroft_consensus::{Epoch, Event, PromisedValue, ReplicaEpoch, Revision};
use beechcroft_error::ErrorKind;
use cluster::{node_name, Cluster, Fault, Message, Table, ALL_FAULTS};
use std::collections::BTreeMap;

/// Proposes one version at node-0, then two competing versions on top of it at node-1 and node-2.
fn run_with_fault(count: usize, seed: u64, fault: Option<(usize, Fault)>) -> Cluster {
    let mut cluster = Cluster::new(count, seed);
    cluster.fault = fault;
    cluster.propose_config(0, 1, 5, 0);
    cluster.settle(12);
    cluster.propose_config(1, 2, 9, 5);
    cluster.propose_config(2, 3, 8, 5);
    cluster.settle(12);
    cluster
}

#[test]
fn of_two_proposals_on_one_base_one_is_chosen_and_the_other_is_rejected() {
    let mut cluster = run_with_fault(3, 1, None);
    assert!(cluster.outcomes[&1].is_ok());
    let both = [&cluster.outcomes[&2], &cluster.outcomes[&3]];
    assert_eq!(
        both.iter().filter(|outcome| outcome.is_ok()).count(),
        1,
        "{both:?}"
    );
    assert!(
        both.iter()
            .any(|outcome| **outcome == Err(ErrorKind::VersionConflict)),
        "{both:?}"
    );
    cluster.check_acknowledged("no fault");
}

#[test]
fn a_retried_proposal_is_acknowledged_even_after_a_later_one() {
    let mut cluster = run_with_fault(3, 1, None);
    let store = cluster.read(0);
    let base = store.version;
    cluster.propose_config(2, 1, 5, 0); // the first proposal again, at another node
    cluster.settle(5);
    assert!(cluster.outcomes[&1].is_ok());
    assert_eq!(cluster.read(1).version, base);
}

#[test]
fn a_fault_at_any_step_loses_no_acknowledged_version() {
    for count in [3, 5] {
        let step_count = run_with_fault(count, 1, None).step_count;
        assert!(step_count > 50);
        for step in 0..step_count {
            for fault in ALL_FAULTS {
                let mut cluster = run_with_fault(count, 1, Some((step, fault)));
                cluster.check_acknowledged(&format!("{count} nodes, {fault:?} at step {step}"));
            }
        }
    }
}

#[test]
fn random_faults_lose_no_acknowledged_version() {
    for seed in 0..400 {
        let mut cluster = Cluster::new(if seed % 2 == 0 { 3 } else { 5 }, seed);
        cluster.fault_permille = 10 + seed % 90;
        let mut base = 0;
        for id in 1..7u64 {
            let index = cluster.random_below(3) as usize;
            cluster.propose_config(index, id, base + 2, base);
            cluster.propose_config((index + 1) % 3, 100 + id, base + 3, base);
            cluster.settle(3);
            base = cluster
                .acknowledged
                .iter()
                .copied()
                .max()
                .unwrap_or(0)
                .max(base);
        }
        cluster.check_acknowledged(&format!("seed {seed}"));
    }
}

#[test]
fn a_round_that_relies_on_a_promise_of_a_lost_disk_is_rejected() {
    // node-0 promises ballot 7, loses its disk, and has its former epoch fenced by the others.
    let mut cluster = Cluster::new(3, 1);
    let ballot = Ballot {
        number: 7,
        nonce: 1,
    };
    let (promise, _) = cluster.nodes[0].acceptor.step(Request::Prepare {
        register: RegisterId::Config,
        ballot,
        known: Ballot::default(),
    });
    assert!(matches!(
        promise,
        Response::Promise {
            epoch: Epoch(1),
            ..
        }
    ));
    cluster.restart(0, true);
    cluster.settle(3);
    assert!(
        cluster.nodes[0].acceptor.identity().is_some(),
        "node-0 has recovered its replica"
    );
    let quorum = vec![initial_epoch(0), initial_epoch(1)];
    let value = Value {
        revision: Revision(1),
        bytes: vec![1],
    };
    let (response, _) = cluster.nodes[1].acceptor.step(Request::Accept {
        register: RegisterId::Config,
        ballot,
        value,
        quorum,
    });
    assert!(
        matches!(response, Response::Rejected { .. }),
        "{response:?}"
    );
}

#[test]
fn a_learner_does_not_vote_until_enough_intact_replicas_have_responded() {
    let mut cluster = Cluster::new(5, 1);
    cluster.restart(0, true);
    cluster.restart(1, true);
    // Two of the five are learners. Three intact replicas are needed, and only two have responded.
    let request = cluster.nodes[0]
        .acceptor
        .recovery_request("node-0")
        .unwrap();
    let Request::Fence { epoch, .. } = request.clone() else {
        panic!()
    };
    for from in [2, 3] {
        let (response, _) = cluster.nodes[from].acceptor.step(request.clone());
        assert!(cluster.nodes[0]
            .acceptor
            .on_recovery_response(epoch, response)
            .is_none());
    }
    let (response, _) = cluster.nodes[1].acceptor.step(request.clone());
    assert_eq!(response, Response::Learner);
    assert!(cluster.nodes[0]
        .acceptor
        .on_recovery_response(epoch, response)
        .is_none());
    let (response, _) = cluster.nodes[4].acceptor.step(request);
    assert!(cluster.nodes[0]
        .acceptor
        .on_recovery_response(epoch, response)
        .is_some());
    // It votes once the same three have recorded that its epoch is installed, and requests that only once its state is
    // on disk.
    assert_eq!(cluster.nodes[0].acceptor.recovery_request("node-0"), None);
    cluster.nodes[0].acceptor.recovery_stored();
    let request = cluster.nodes[0]
        .acceptor
        .recovery_request("node-0")
        .unwrap();
    assert!(matches!(request, Request::Install { .. }));
    for (from, is_last) in [(2, false), (3, false), (4, true)] {
        let (response, _) = cluster.nodes[from].acceptor.step(request.clone());
        let learner = &mut cluster.nodes[0].acceptor;
        assert!(learner.identity().is_none());
        assert_eq!(
            learner.on_recovery_response(epoch, response).is_some(),
            is_last
        );
    }
    assert!(cluster.nodes[0].acceptor.identity().is_some());
}

#[test]
fn acceptances_after_a_fence_report_the_later_epoch() {
    // node-0 accepts a value and loses its disk. Its response is still in flight when the others fence that epoch.
    // The proposer must learn of the later epoch from the other acceptances, or it would count the lost one.
    let mut cluster = Cluster::new(3, 1);
    let ballot = Ballot {
        number: 7,
        nonce: 1,
    };
    let quorum = vec![initial_epoch(1), initial_epoch(2)];
    let value = Value {
        revision: Revision(1),
        bytes: vec![1],
    };
    let accept = Request::Accept {
        register: RegisterId::Config,
        ballot,
        value: value.clone(),
        quorum,
    };
    let (early_response, _) = cluster.nodes[0].acceptor.step(accept.clone());
    cluster.restart(0, true);
    cluster.settle(3);
    let (response, _) = cluster.nodes[1].acceptor.step(accept);
    let Response::Accepted { epochs, .. } = &response else {
        panic!("{response:?}")
    };
    let Response::Accepted { epoch, .. } = early_response else {
        panic!()
    };
    assert!(
        epochs.is_fenced("node-0", epoch),
        "an acceptance after the fence reports the later epoch"
    );
}

#[test]
fn a_replaced_holder_is_deposed_and_its_promises_do_not_count() {
    let mut cluster = Cluster::new(5, 4);
    cluster.propose_config(0, 1, 5, 0);
    cluster.settle(8);
    // Two nodes are permanently lost; an empty node takes over the replica of the first.
    let mut successor = Acceptor::new("node-9", 2, 77, &Table::new());
    cluster.take_over(&mut successor, "node-0");
    let identity = successor
        .identity()
        .cloned()
        .expect("three intact replicas suffice for two losses");
    assert_eq!(
        (
            identity.replica.as_str(),
            identity.epochs.holder("node-0").as_str()
        ),
        ("node-0", "node-9")
    );
    let (response, _) = successor.step(Request::Prepare {
        register: RegisterId::Config,
        ballot: Ballot {
            number: 99,
            nonce: 5,
        },
        known: Ballot::default(),
    });
    let Response::Promise {
        accepted: Some(PromisedValue {
            value: Some(value), ..
        }),
        ..
    } = response
    else {
        panic!("{response:?}")
    };
    assert_eq!(
        ConfigStore::decode(&value).unwrap().version,
        5,
        "the successor holds the acknowledged version"
    );
    // The former holder comes back: a round that relies on its promise is rejected, and the rejection deposes it.
    let quorum = vec![initial_epoch(0), initial_epoch(1), initial_epoch(2)];
    let ballot = Ballot {
        number: 100,
        nonce: 1,
    };
    let value = Value {
        revision: Revision(9),
        bytes: vec![9],
    };
    let (response, _) = cluster.nodes[2].acceptor.step(Request::Accept {
        register: RegisterId::Config,
        ballot,
        value,
        quorum,
    });
    let Response::Rejected { epochs, .. } = response else {
        panic!("{response:?}")
    };
    assert!(cluster.nodes[0].acceptor.merge_epochs(&epochs).is_some());
    assert!(
        cluster.nodes[0].acceptor.identity().is_none(),
        "the former holder is deposed"
    );
}

/// Five nodes propose at the same time over a slow network; all proposals must complete within 8 s. Without exponential
/// backoff, competing rounds kept interrupting each other for a whole simulated day.
#[test]
fn competing_rounds_back_off_until_a_proposal_succeeds() {
    use std::cmp::Reverse;
    use std::collections::BinaryHeap;
    for seed in 0..60 {
        let mut cluster = Cluster::new(5, seed);
        let mut arrivals: BinaryHeap<(Reverse<u64>, u64)> = BinaryHeap::new();
        let mut held: BTreeMap<u64, Message> = BTreeMap::new();
        let mut next = 0;
        for index in 0..5 {
            cluster.propose_config(index, 1 + index as u64, 5 + index as u32, 0);
        }
        let elapsed = loop {
            // A sync takes 2 ms, a message 25 to 84 ms.
            while let Some(message) = cluster.in_flight.pop_front() {
                next += 1;
                let wait = match message {
                    Message::Sync { .. } => 2,
                    _ => 25 + cluster.random_below(60),
                };
                arrivals.push((Reverse(cluster.now + wait), next));
                held.insert(next, message);
            }
            cluster.now += 5;
            while arrivals.peek().is_some_and(|(at, _)| at.0 <= cluster.now) {
                let (_, id) = arrivals.pop().unwrap();
                let message = held.remove(&id).unwrap();
                cluster.deliver(message);
            }
            for index in 0..5 {
                let mut actions = Vec::new();
                cluster.step_proposer(index, Event::Tick, &mut actions);
                cluster.apply_actions(index, actions);
            }
            let completed = (1..=5u64)
                .filter(|id| cluster.outcomes.contains_key(id))
                .count();
            if completed == 5 {
                break cluster.now;
            }
            assert!(
                cluster.now < 8000,
                "seed {seed}: {completed} of five proposals are complete after 8 s"
            );
        };
        assert!(
            elapsed > 0
                && cluster
                    .outcomes
                    .values()
                    .filter(|outcome| outcome.is_ok())
                    .count()
                    == 1
        );
    }
}

#[test]
fn a_deposed_node_carries_no_state_into_another_replica() {
    let mut cluster = Cluster::new(5, 4);
    cluster.propose_config(0, 1, 5, 0);
    cluster.settle(8);
    let mut successor = Acceptor::new("node-9", 2, 77, &Table::new());
    cluster.take_over(&mut successor, "node-0");
    // The former holder does not know of the takeover yet, and accepts a value of a round that all others reject.
    let unchosen = Value {
        revision: Revision(9),
        bytes: vec![9],
    };
    let (ballot, quorum) = (
        Ballot {
            number: 900,
            nonce: 1,
        },
        vec![initial_epoch(0), initial_epoch(1), initial_epoch(2)],
    );
    let (_, records) = cluster.nodes[0].acceptor.step(Request::Accept {
        register: RegisterId::Config,
        ballot,
        value: unchosen,
        quorum,
    });
    cluster.nodes[0].disk.extend(records);
    let identity = successor.identity().unwrap();
    let announcement = Request::AnnounceEpochs {
        sender: Some(ReplicaEpoch {
            replica: identity.replica.clone(),
            epoch: identity.epoch,
        }),
        epochs: identity.epochs.clone(),
    };
    let (_, records) = cluster.nodes[0].acceptor.step(announcement);
    assert!(
        cluster.nodes[0].acceptor.identity().is_none(),
        "the former holder is deposed"
    );
    cluster.nodes[0].disk.extend(records);
    // It restarts and takes over the replica of another lost node.
    let mut restarted = Acceptor::new(&node_name(0), 2, 5, &cluster.nodes[0].disk);
    cluster.take_over(&mut restarted, "node-1");
    let held = restarted
        .register(RegisterId::Config)
        .accepted
        .as_ref()
        .expect("the state of the others");
    assert_eq!(
        ConfigStore::decode(&held.value).unwrap().version,
        5,
        "the unchosen value is not carried over"
    );
}

/// A replica in its first epoch.
fn initial_epoch(index: usize) -> ReplicaEpoch {
    ReplicaEpoch {
        replica: node_name(index),
        epoch: Epoch::FIRST,
    }
}
