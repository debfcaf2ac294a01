//! Each safeguard of epochs and takeovers by itself, in a sequence of messages that breaks agreement without it:
//! either a value that a majority accepted is lost, or a replica has two holders.

use beechcroft_consensus::{
    Acceptor, Ballot, Operation, Proposer, RegisterId, ReplicaEpoch, Request, Response, Value,
};
use beechcroft_consensus::{Action, Epoch, Event, Revision};
use beechcroft_safeguards::{disable, Safeguard};
use std::collections::BTreeMap;

type Table = BTreeMap<String, Vec<u8>>;

/// Rounds of requests that a recovery is given: one for each phase, and two more to start again above another epoch.
const RECOVERY_ROUNDS: usize = 4;

fn node_name(index: usize) -> String {
    format!("node-{index}")
}

fn bootstrapped(count: usize) -> Vec<Acceptor> {
    let names: Vec<String> = (0..count).map(node_name).collect();
    let bootstrap = |index: usize| {
        let mut acceptor = Acceptor::new(&node_name(index), count / 2, 1, &Table::new());
        acceptor.bootstrap(names.clone());
        acceptor
    };
    (0..count).map(bootstrap).collect()
}

fn empty_acceptor(name: &str, tolerated_losses: usize, salt: u64) -> Acceptor {
    Acceptor::new(name, tolerated_losses, salt, &Table::new())
}

fn ballot(number: u64) -> Ballot {
    Ballot { number, nonce: 1 }
}

fn value(revision: u64) -> Value {
    Value {
        revision: Revision(revision),
        bytes: vec![revision as u8],
    }
}

/// Obtains a promise. Returns the revision of the acceptor's value; 0 if it has none.
fn prepare(acceptor: &mut Acceptor, number: u64) -> u64 {
    let (response, _) = acceptor.step(Request::Prepare {
        register: RegisterId::Config,
        ballot: ballot(number),
        known: Ballot::default(),
    });
    match response {
        Response::Promise { accepted, .. } => accepted
            .and_then(|accepted| accepted.value)
            .map_or(0, |value| value.revision.0),
        response => panic!("{response:?}"),
    }
}

fn accept(
    acceptor: &mut Acceptor,
    number: u64,
    revision: u64,
    quorum: &[ReplicaEpoch],
) -> Response {
    let (ballot, value) = (ballot(number), value(revision));
    acceptor
        .step(Request::Accept {
            register: RegisterId::Config,
            ballot,
            value,
            quorum: quorum.to_vec(),
        })
        .0
}

/// Lets nodes respond to the learner's requests, first to fence and then to install its epoch. Returns whether the
/// learner votes then.
fn recovers_with<const N: usize>(
    learner: &mut Acceptor,
    replica: &str,
    mut from: [&mut Acceptor; N],
) -> bool {
    for _ in 0..RECOVERY_ROUNDS {
        let Some(request) = learner.recovery_request(replica) else {
            break;
        };
        let (Request::Fence { epoch, .. } | Request::Install { epoch, .. }) = request else {
            panic!("{request:?}")
        };
        for node in &mut from {
            let (response, _) = node.step(request.clone());
            learner.on_recovery_response(epoch, response);
        }
        learner.recovery_stored();
    }
    learner.identity().is_some()
}

/// Several nodes at once.
fn at<const N: usize>(nodes: &mut [Acceptor], indexes: [usize; N]) -> [&mut Acceptor; N] {
    nodes
        .get_disjoint_mut(indexes)
        .expect("the indexes differ and are in range")
}

fn replica_epoch(acceptor: &Acceptor) -> Option<ReplicaEpoch> {
    acceptor.identity().map(|identity| ReplicaEpoch {
        replica: identity.replica.clone(),
        epoch: identity.epoch,
    })
}

/// node-0 is replaced while partitioned, and does not know it; then node-2 loses its disk and node-0 is the first to
/// respond to it. Returns the highest revision that a majority without the new holder reads.
fn recover_with_the_state_of_a_replaced_holder() -> u64 {
    let mut nodes = bootstrapped(3);
    let mut successor = empty_acceptor("node-3", 1, 40);
    assert!(!recovers_with(
        &mut successor,
        "node-0",
        at(&mut nodes, [1])
    ));
    assert!(recovers_with(
        &mut successor,
        "node-0",
        at(&mut nodes, [1, 2])
    ));
    // The new holder and node-2 choose a value.
    let quorum = [
        replica_epoch(&successor).unwrap(),
        replica_epoch(&nodes[2]).unwrap(),
    ];
    assert!(matches!(
        accept(&mut successor, 7, 1, &quorum),
        Response::Accepted { .. }
    ));
    assert!(matches!(
        accept(&mut nodes[2], 7, 1, &quorum),
        Response::Accepted { .. }
    ));
    let mut recovered = empty_acceptor("node-2", 1, 80);
    if !recovers_with(&mut recovered, "node-2", at(&mut nodes, [0, 1])) {
        let [first, second] = at(&mut nodes, [0, 1]);
        assert!(
            recovers_with(&mut recovered, "node-2", [first, second, &mut successor]),
            "the state of the new holder is the second one that counts"
        );
    }
    prepare(&mut recovered, 9).max(prepare(&mut nodes[1], 9))
}

#[test]
fn the_state_of_a_replaced_holder_does_not_count_for_a_recovery() {
    assert_eq!(recover_with_the_state_of_a_replaced_holder(), 1);
    let _guard = disable(Some(Safeguard::FencedReplicaStates));
    assert_eq!(
        recover_with_the_state_of_a_replaced_holder(),
        0,
        "no collected state has the chosen value"
    );
}

/// node-0 is replaced while partitioned, the new holder is lost, and node-0 itself is the first to respond to the
/// next one. Returns the highest revision that a majority reads then.
fn take_over_from_a_replaced_holder() -> u64 {
    let mut nodes = bootstrapped(3);
    let mut successor = empty_acceptor("node-3", 1, 40);
    assert!(recovers_with(
        &mut successor,
        "node-0",
        at(&mut nodes, [1, 2])
    ));
    let quorum = [
        replica_epoch(&successor).unwrap(),
        replica_epoch(&nodes[1]).unwrap(),
    ];
    accept(&mut successor, 7, 1, &quorum);
    accept(&mut nodes[1], 7, 1, &quorum);
    let mut next = empty_acceptor("node-4", 1, 80);
    if !recovers_with(&mut next, "node-0", at(&mut nodes, [0, 2])) {
        assert!(recovers_with(
            &mut next,
            "node-0",
            at(&mut nodes, [0, 1, 2])
        ));
    }
    prepare(&mut next, 9).max(prepare(&mut nodes[2], 9))
}

#[test]
fn a_handed_over_state_counts_only_if_no_other_node_held_the_replica_since() {
    assert_eq!(take_over_from_a_replaced_holder(), 1);
    let _guard = disable(Some(Safeguard::SingleHandover));
    assert_eq!(take_over_from_a_replaced_holder(), 0);
}

/// node-3 takes over the replica of node-0, which is partitioned, but only node-1 has recorded that its epoch is
/// installed. A value is chosen with node-3's vote, node-3 is lost, and the next node takes over from node-0 and node-2.
/// Returns the highest revision that a majority reads then; `None` if node-3 does not vote yet.
fn take_over_from_a_holder_replaced_without_a_quorum() -> Option<u64> {
    let mut nodes = bootstrapped(3);
    let mut successor = empty_acceptor("node-3", 1, 40);
    for from in [&[1, 2][..], &[1]] {
        let request = successor.recovery_request("node-0").unwrap();
        let (Request::Fence { epoch, .. } | Request::Install { epoch, .. }) = request else {
            panic!("{request:?}")
        };
        for index in from {
            let (response, _) = nodes[*index].step(request.clone());
            successor.on_recovery_response(epoch, response);
        }
        successor.recovery_stored();
    }
    let quorum = [replica_epoch(&successor)?, replica_epoch(&nodes[1])?];
    accept(&mut successor, 7, 1, &quorum);
    accept(&mut nodes[1], 7, 1, &quorum);
    let mut next = empty_acceptor("node-4", 1, 80);
    assert!(recovers_with(&mut next, "node-0", at(&mut nodes, [0, 2])));
    Some(prepare(&mut next, 9).max(prepare(&mut nodes[2], 9)))
}

#[test]
fn a_successor_votes_only_once_a_quorum_has_recorded_its_epoch() {
    assert_eq!(take_over_from_a_holder_replaced_without_a_quorum(), None);
    let _guard = disable(Some(Safeguard::InstalledBeforeVote));
    assert_eq!(
        take_over_from_a_holder_replaced_without_a_quorum(),
        Some(0),
        "the next holder does not know of the one in between"
    );
}

#[test]
fn a_fence_that_was_not_installed_leaves_the_former_state_as_good_as_it_was() {
    // node-3 fences node-0 at node-2 and is gone. node-1 has lost its disk, so only node-0 has the chosen value.
    let mut nodes = bootstrapped(3);
    let quorum = [
        replica_epoch(&nodes[0]).unwrap(),
        replica_epoch(&nodes[1]).unwrap(),
    ];
    accept(&mut nodes[0], 7, 1, &quorum);
    accept(&mut nodes[1], 7, 1, &quorum);
    let mut gone = empty_acceptor("node-3", 1, 40);
    assert!(!recovers_with(&mut gone, "node-0", at(&mut nodes, [2])));
    // node-2 restarts, and node-0 learns of the fence.
    let disk: Table = nodes[2].records().into_iter().collect();
    nodes[2] = Acceptor::new("node-2", 1, 5, &disk);
    let known_epochs = nodes[2].identity().unwrap().epochs.clone();
    nodes[0].merge_epochs(&known_epochs);
    assert!(nodes[0].identity().is_none());
    assert_eq!(nodes[0].retained_replica(), Some(&node_name(0)));
    // It keeps the state for whoever takes over its replica, and may do so itself.
    assert_eq!(nodes[0].recovery_request("node-1"), None);
    let [former, other] = at(&mut nodes, [0, 2]);
    assert!(recovers_with(former, "node-0", [other]));
    assert_eq!(prepare(&mut nodes[0], 9), 1);
}

#[test]
fn a_handed_over_state_and_one_other_suffice_for_two_losses_at_once() {
    // node-0 hands over its replica while node-1 loses its disk. Only node-0 still holds the value that both chose.
    let mut nodes = bootstrapped(3);
    let quorum = [
        replica_epoch(&nodes[0]).unwrap(),
        replica_epoch(&nodes[1]).unwrap(),
    ];
    accept(&mut nodes[0], 7, 1, &quorum);
    accept(&mut nodes[1], 7, 1, &quorum);
    let mut successor = empty_acceptor("node-3", 1, 40);
    assert!(!recovers_with(
        &mut successor,
        "node-0",
        at(&mut nodes, [2])
    ));
    assert!(recovers_with(
        &mut successor,
        "node-0",
        at(&mut nodes, [2, 0])
    ));
    assert!(matches!(
        accept(&mut nodes[0], 8, 2, &quorum),
        Response::Learner
    ));
    let mut recovered = empty_acceptor("node-1", 1, 80);
    assert!(!recovers_with(
        &mut recovered,
        "node-1",
        at(&mut nodes, [2])
    ));
    assert!(recovers_with(
        &mut recovered,
        "node-1",
        [&mut nodes[2], &mut successor]
    ));
    assert_eq!(
        prepare(&mut recovered, 9).min(prepare(&mut successor, 9)),
        1
    );
}

#[test]
fn a_second_successor_with_the_same_epoch_retries_above_it() {
    let both_take_over = || {
        let mut nodes = bootstrapped(3);
        // Both salts give the same epoch.
        let (mut first, mut second) = (
            empty_acceptor("node-3", 1, 40),
            empty_acceptor("node-4", 1, 41),
        );
        recovers_with(&mut first, "node-0", at(&mut nodes, [1, 2]));
        recovers_with(&mut second, "node-0", at(&mut nodes, [1, 2]));
        (replica_epoch(&first), replica_epoch(&second))
    };
    let (first, second) = both_take_over();
    assert!(first.is_some() && first != second, "{first:?} {second:?}");
    let _guard = disable(Some(Safeguard::SingleSuccessor));
    let (first, second) = both_take_over();
    assert_eq!(
        first, second,
        "two nodes hold the same replica in the same epoch"
    );
}

/// node-4 accepts, loses its disk and recovers with the state of node-0, among others. Then node-0 is replaced. The
/// new holder learns of node-4's later epoch only from node-1 and node-3, while node-2, the last to respond, does not
/// know of it. Returns whether one of two further acceptances reports that epoch.
fn is_fenced_acceptance_reported() -> bool {
    let mut nodes = bootstrapped(5);
    for acceptor in &mut nodes[1..4] {
        prepare(acceptor, 7);
    }
    let quorum: Vec<ReplicaEpoch> = (1..4)
        .map(|index| replica_epoch(&nodes[index]).unwrap())
        .collect();
    let lost_acceptance = accept(&mut nodes[4], 7, 1, &quorum);
    assert!(matches!(
        lost_acceptance,
        Response::Accepted {
            epoch: Epoch(1),
            ..
        }
    ));
    let mut recovered = empty_acceptor("node-4", 2, 80);
    assert!(recovers_with(
        &mut recovered,
        "node-4",
        at(&mut nodes, [0, 1, 3])
    ));
    let mut successor = empty_acceptor("node-5", 2, 40);
    assert!(recovers_with(
        &mut successor,
        "node-0",
        at(&mut nodes, [1, 3, 2])
    ));
    // The new holder and node-2 accept. With the lost acceptance these would be three, a majority.
    let responses = [
        accept(&mut successor, 7, 1, &quorum),
        accept(&mut nodes[2], 7, 1, &quorum),
    ];
    responses.iter().any(|response| match response {
        Response::Accepted { epochs, .. } => epochs.latest("node-4") > Epoch::FIRST,
        response => panic!("{response:?}"),
    })
}

#[test]
fn a_successor_knows_every_epoch_that_its_responders_have_fenced() {
    assert!(
        is_fenced_acceptance_reported(),
        "an acceptance reports that the lost one does not count"
    );
    let _guard = disable(Some(Safeguard::MergedEpochs));
    assert!(
        !is_fenced_acceptance_reported(),
        "three acceptances are counted, although one is lost"
    );
}

#[test]
fn a_holder_is_deposed_by_a_fence_request_for_its_own_replica() {
    // The holder was suspended while it was replaced; the fence request reaches it when it resumes.
    let former_holder_after_takeover = || {
        let mut nodes = bootstrapped(3);
        let mut successor = empty_acceptor("node-3", 1, 40);
        recovers_with(&mut successor, "node-0", at(&mut nodes, [0, 1, 2]));
        nodes.remove(0)
    };
    let mut former = former_holder_after_takeover();
    assert!(former.identity().is_none() && former.former_identity().is_some());
    assert_eq!(accept(&mut former, 7, 1, &[]), Response::Learner);
    let _guard = disable(Some(Safeguard::DeposedIsSilent));
    assert!(
        former_holder_after_takeover().identity().is_some(),
        "it still considers itself the holder"
    );
}

#[test]
fn a_deposed_node_hands_over_only_its_former_replica_also_after_a_restart() {
    let mut nodes = bootstrapped(3);
    let mut disk: Table = Table::new();
    let request = |epoch| Request::Fence {
        replica: node_name(0),
        epoch,
        holder: node_name(3),
    };
    let (response, records) = nodes[0].step(request(Epoch(9)));
    assert!(
        !records.is_empty(),
        "the deposition must be synced before the response"
    );
    disk.extend(records);
    let mut restarted = Acceptor::new("node-0", 1, 3, &disk);
    let (response_after, _) = restarted.step(request(Epoch(9)));
    let (
        Response::ReplicaState {
            sender: sender_before,
            installed: installed_before,
            ..
        },
        Response::ReplicaState {
            sender: sender_after,
            installed: installed_after,
            ..
        },
    ) = (response, response_after)
    else {
        panic!()
    };
    assert_eq!(
        (sender_before, installed_before),
        (sender_after, Some(Epoch(1)))
    );
    assert_eq!(
        installed_after,
        Some(Epoch(1)),
        "that no later epoch is installed is known after a restart as well"
    );
    let (response, _) = restarted.step(Request::Fence {
        replica: node_name(1),
        epoch: Epoch(9),
        holder: node_name(3),
    });
    assert_eq!(response, Response::Learner);
}

/// node-0 promises ballot 7, loses its disk and recovers. A value is chosen under ballot 5 without node-1, which then
/// promises ballot 7 as well. Returns the revision that node-0 holds in the end.
fn revision_after_round_on_a_lost_promise() -> u64 {
    let mut nodes = bootstrapped(3);
    prepare(&mut nodes[0], 7);
    let quorum = [
        replica_epoch(&nodes[0]).unwrap(),
        replica_epoch(&nodes[1]).unwrap(),
    ];
    let mut recovered = empty_acceptor("node-0", 1, 40);
    assert!(recovers_with(
        &mut recovered,
        "node-0",
        at(&mut nodes, [1, 2])
    ));
    let early_quorum = [
        replica_epoch(&recovered).unwrap(),
        replica_epoch(&nodes[2]).unwrap(),
    ];
    assert!(matches!(
        accept(&mut recovered, 5, 1, &early_quorum),
        Response::Accepted { .. }
    ));
    assert!(matches!(
        accept(&mut nodes[2], 5, 1, &early_quorum),
        Response::Accepted { .. }
    ));
    assert_eq!(prepare(&mut nodes[1], 7), 0, "the round reads no value");
    // So it proposes a value of its own, revision 9, under ballot 7.
    accept(&mut recovered, 7, 9, &quorum);
    (1..3).for_each(|index| drop(accept(&mut nodes[index], 7, 9, &quorum)));
    prepare(&mut recovered, 11)
}

#[test]
fn a_round_that_relies_on_a_lost_promise_cannot_overwrite_a_chosen_value() {
    assert_eq!(revision_after_round_on_a_lost_promise(), 1);
    let _guard = disable(Some(Safeguard::FencedPromises));
    assert_eq!(revision_after_round_on_a_lost_promise(), 9);
}

/// node-0 accepts, loses its disk and recovers before node-1 accepts. Returns whether the proposal is acknowledged,
/// and the revision that a majority without node-1 reads then.
fn propose_with_a_lost_acceptance() -> (bool, u64) {
    let mut nodes = bootstrapped(3);
    let names: Vec<String> = (0..3).map(node_name).collect();
    let mut proposer = Proposer::new(3);
    proposer.set_replicas(&names, 0);
    let mut actions = Vec::new();
    let operation = Operation::replace_config(1, 0, b"one");
    let event = Event::Propose {
        id: 1,
        register: RegisterId::Config,
        operation,
        deadline: 60_000,
    };
    proposer.step(0, event, &|_| None, &mut actions);
    let take_request = |actions: &mut Vec<Action>| {
        let request = actions.iter().find_map(|action| match action {
            Action::Send { request, .. } => Some(request.clone()),
            _ => None,
        });
        actions.clear();
        request.expect("a request is sent")
    };
    let prepare_request = take_request(&mut actions);
    let Request::Prepare { ballot, .. } = prepare_request else {
        panic!()
    };
    let event = |from: usize, response| Event::Response {
        from: node_name(from),
        register: RegisterId::Config,
        ballot,
        response,
    };
    for index in [1, 2] {
        let (response, _) = nodes[index].step(prepare_request.clone());
        proposer.step(1, event(index, response), &|_| None, &mut actions);
    }
    let accept_request = take_request(&mut actions);
    let (early_response, _) = nodes[0].step(accept_request.clone());
    proposer.step(2, event(0, early_response), &|_| None, &mut actions);
    let mut recovered = empty_acceptor("node-0", 1, 40);
    assert!(recovers_with(
        &mut recovered,
        "node-0",
        at(&mut nodes, [1, 2])
    ));
    let (late_response, _) = nodes[1].step(accept_request);
    proposer.step(3, event(1, late_response), &|_| None, &mut actions);
    let acknowledged = actions
        .iter()
        .any(|action| matches!(action, Action::Complete { outcome: Ok(_), .. }));
    (
        acknowledged,
        prepare(&mut recovered, 11).max(prepare(&mut nodes[2], 11)),
    )
}

#[test]
fn an_acceptance_that_was_lost_with_its_disk_does_not_count() {
    assert_eq!(propose_with_a_lost_acceptance(), (false, 0));
    let _guard = disable(Some(Safeguard::FencedAcceptances));
    assert_eq!(
        propose_with_a_lost_acceptance(),
        (true, 0),
        "acknowledged, although no majority holds the value"
    );
}
