//! Operator requests to the unmodified programs in the simulator: requests that race, are repeated, or are processed after
//! later ones. A delayed request that names no base version must not undo a later one or be confirmed falsely. Each
//! safeguard is also disabled once to show that the test detects its absence.

use beechcroft_consensus::{ConfigStore, OperationsState, Stage, Value};
use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::network::PartitionKind;
use beechcroft_simulator::cluster::scenario::EventKind;
use beechcroft_simulator::cluster::{run_manual, ManualRun, Scenario};
use std::future::Future;

const BEGIN: &str = "/evacuation/zone-0a/begin";
const FINISH: &str = "/evacuation/zone-0a/finish";
const REPLACE: &str = "/config/replace";
const ROLLOUT: &str = "/rollouts/begin";

/// Runs `test` on a small system with configuration version 1 in force.
fn with_system<T, F>(
    cores: usize,
    disabled_safeguard: Option<Safeguard>,
    test: impl FnOnce(ManualRun) -> F,
) -> T
where
    F: Future<Output = T>,
{
    let text = format!("name = \"orders\"\ncores = {cores}\nedges = 1\nunits = 1");
    let scenario = Scenario {
        disabled_safeguard,
        ..Scenario::read(&text).unwrap()
    };
    run_manual(&scenario, |run| async move {
        run.wait(3000).await;
        assert_eq!(
            run.send_operation(0, REPLACE, &run.config(1, 0, 0)).await,
            Some(200)
        );
        run.wait(3000).await;
        test(run).await
    })
}

fn rollout_request(target: &str) -> Vec<u8> {
    format!("{{\"service\":\"boards\",\"targetVersion\":\"{target}\",\"rampS\":600}}").into_bytes()
}

/// The newest value of a register among all control nodes.
async fn newest_value(run: &ManualRun, cores: usize, register: u8) -> Value {
    let mut newest = Value::default();
    for core in 0..cores {
        let Some(bytes) = run.read_register(core, register).await else {
            continue;
        };
        let value: Value = postcard::from_bytes(&bytes).unwrap();
        if value.revision > newest.revision {
            newest = value;
        }
    }
    newest
}

async fn operations(run: &ManualRun) -> OperationsState {
    OperationsState::decode(&newest_value(run, 3, 1).await).unwrap()
}

async fn config(run: &ManualRun) -> (u32, Vec<u8>) {
    let store = ConfigStore::decode(&newest_value(run, 5, 0).await).unwrap();
    (store.version, store.body().unwrap())
}

fn partition(from: &str, to: &str, for_s: f64) -> EventKind {
    EventKind::Partition {
        from: from.into(),
        to: to.into(),
        for_s,
        one_way: false,
        how: PartitionKind::Silent,
    }
}

// ---- concurrent changes under the same version number

/// How long an operator waits for the response to its first request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Caller {
    Waits,
    /// Every second operator gives up after this many milliseconds.
    GivesUp(u64),
    /// The network between one control node and the operators is partitioned: its response is late or lost.
    Partitioned,
}

async fn race(run: ManualRun, cores: usize, operators: usize, caller: Caller, seed: u64) -> String {
    let bodies: Vec<Vec<u8>> = (0..operators)
        .map(|of| run.config(9, 1, 1 + of as u64))
        .collect();
    let mut pending = Vec::new();
    for (of, body) in bodies.iter().enumerate() {
        let timeout_ms = match caller {
            Caller::GivesUp(ms) if of % 2 == 0 => ms,
            _ => 1500,
        };
        pending.push(run.send(
            (of as u64 + seed) as usize % cores,
            REPLACE,
            body,
            timeout_ms,
        ));
        run.wait((seed * 7 + of as u64 * 3) % 23).await;
    }
    if caller == Caller::Partitioned {
        run.inject(partition(
            "operator",
            &format!("core-{}", seed % cores as u64),
            2.0,
        ));
    }
    let mut statuses = Vec::new();
    for sent in pending {
        statuses.push(sent.await.unwrap().map(|(status, _)| status));
    }
    // All operators send their change again, to another control node, including those that had an unambiguous response.
    let mut confirmed = Vec::new();
    let mut rejected = Vec::new();
    for (of, body) in bodies.iter().enumerate() {
        let repeat_status = run
            .send_operation(of + seed as usize + 1, REPLACE, body)
            .await;
        for status in [statuses[of], repeat_status].into_iter().flatten() {
            match status {
                200 => confirmed.push(of),
                412 => rejected.push(of),
                _ => {}
            }
        }
    }
    confirmed.dedup();
    rejected.dedup();
    let (_, body) = config(&run).await;
    let in_force = bodies.iter().position(|held| *held == body);
    match (in_force, confirmed.as_slice()) {
        (Some(one), [winner]) if one == *winner && !rejected.contains(&one) => String::new(),
        _ => format!(
            "in force {in_force:?}, confirmed {confirmed:?}, rejected {rejected:?}, first statuses {statuses:?}"
        ),
    }
}

#[test]
fn one_of_several_changes_with_the_same_version_is_confirmed_even_if_responses_are_lost() {
    let mut runs = 0;
    for caller in [
        Caller::Waits,
        Caller::GivesUp(3),
        Caller::GivesUp(25),
        Caller::GivesUp(60),
        Caller::Partitioned,
    ] {
        for (cores, operators) in [(3, 2), (3, 8), (5, 2), (5, 8)] {
            for seed in 0..3 {
                let failure =
                    with_system(cores, None, |run| race(run, cores, operators, caller, seed));
                assert_eq!(
                    failure, "",
                    "{cores} control nodes, {operators} operators, {caller:?}, seed {seed}"
                );
                runs += 1;
            }
        }
    }
    assert_eq!(runs, 60);
    let failure = with_system(3, Some(Safeguard::RepeatHasSameBody), |run| {
        race(run, 3, 2, Caller::Waits, 0)
    });
    assert!(failure.contains("confirmed [0, 1]"), "{failure}");
}

#[test]
fn a_repeated_configuration_is_confirmed_during_and_after_its_acceptance_and_after_restarts() {
    with_system(3, None, |run| async move {
        let body = run.config(2, 1, 7);
        // Concurrently at all three control nodes.
        let sent: Vec<_> = (0..3)
            .map(|core| run.send(core, REPLACE, &body, 2500))
            .collect();
        for sent in sent {
            assert_eq!(sent.await.unwrap().map(|response| response.0), Some(200));
        }
        for version in 3..203 {
            let later = run.config(version, version - 1, 0);
            assert_eq!(
                run.send_operation(version as usize, REPLACE, &later).await,
                Some(200),
                "{version}"
            );
        }
        for core in 0..3 {
            assert_eq!(
                run.call(core, "POST", REPLACE, &body, 2500)
                    .await
                    .map(|response| response.0),
                Some(200)
            );
        }
        run.inject(EventKind::PowerLoss {
            on: "core".into(),
            down_s: 1.0,
        });
        run.wait(4000).await;
        for core in 0..3 {
            assert_eq!(
                run.send_operation(core, REPLACE, &body).await,
                Some(200),
                "repeat after all control nodes restarted"
            );
            assert_eq!(run.config_version(core).await, Some(202));
        }
        let other = run.config(2, 1, 8);
        assert_eq!(
            run.send_operation(0, REPLACE, &other).await,
            Some(412),
            "the same number with another body"
        );
    });
}

#[test]
fn a_repeat_of_a_version_dropped_from_the_history_gets_an_ambiguous_status() {
    let repeat_status = |disabled_safeguard| {
        with_system(3, disabled_safeguard, |run| async move {
            for version in 2..520 {
                let later = run.config(version, version - 1, 0);
                assert_eq!(
                    run.send_operation(version as usize, REPLACE, &later).await,
                    Some(200),
                    "{version}"
                );
            }
            run.call(1, "POST", REPLACE, &run.config(2, 1, 0), 2500)
                .await
                .map(|response| response.0)
        })
    };
    assert_eq!(repeat_status(None), Some(504));
    assert_eq!(repeat_status(Some(Safeguard::ForgottenVersions)), Some(412));
}

// ---- requests that are processed late

/// Sends a request to core-0, which is frozen around its arrival. The operator then sends the same request and its inverse to
/// core-1. With `hide_disconnect`, core-0 does not learn that the caller has disconnected. Returns whether the later request
/// remains in effect, and the status that the first caller received, if any.
async fn send_to_frozen_node(
    run: ManualRun,
    late: &'static str,
    offset: i64,
    hide_disconnect: bool,
    timeout_ms: u64,
) -> (bool, Option<u16>) {
    let later = if late == BEGIN { FINISH } else { BEGIN };
    if late == FINISH {
        assert_eq!(run.send_operation(1, BEGIN, b"").await, Some(200));
    }
    let freeze = EventKind::Freeze {
        on: "core-0".into(),
        for_s: 1.6,
    };
    if offset < 0 {
        run.inject(freeze.clone());
        run.wait(offset.unsigned_abs()).await;
    }
    let sent = run.send(0, late, b"", timeout_ms);
    if offset >= 0 {
        run.wait(offset as u64).await;
        run.inject(freeze);
    }
    run.wait(950).await;
    if hide_disconnect {
        run.inject(partition("operator", "core-0", 3.0));
    }
    run.wait(150).await;
    assert_eq!(run.send_operation(1, late, b"").await, Some(200));
    assert_eq!(run.send_operation(1, later, b"").await, Some(200));
    run.wait(4500).await;
    let evacuated = operations(&run).await.evacuated_zones.contains("zone-0a");
    let first = sent.await.unwrap().map(|response| response.0);
    // The node accepts requests again, provided that it can be reached.
    if !hide_disconnect {
        assert_eq!(
            run.call(0, "POST", later, b"", 1000)
                .await
                .map(|response| response.0),
            Some(200)
        );
    }
    (evacuated == (later == BEGIN), first)
}

#[test]
fn an_evacuation_request_delayed_by_a_frozen_node_does_not_undo_a_later_one() {
    for late in [BEGIN, FINISH] {
        for hide_disconnect in [false, true] {
            for offset in [-40, -2, 0, 1, 2, 3, 4, 20, 24, 30, 45, 60] {
                let (in_effect, status) = with_system(3, None, |run| {
                    send_to_frozen_node(run, late, offset, hide_disconnect, 1000)
                });
                assert!(
                    in_effect,
                    "{late} undid the later request: {offset} ms, hide_disconnect {hide_disconnect}, status {status:?}"
                );
            }
        }
    }
    let (in_effect, _) = with_system(3, Some(Safeguard::StallRejection), |run| {
        send_to_frozen_node(run, BEGIN, -40, true, 1000)
    });
    assert!(
        !in_effect,
        "without the safeguard the delayed request is executed"
    );
}

#[test]
fn a_caller_that_waits_for_a_frozen_node_gets_no_confirmation_of_a_late_request() {
    for late in [BEGIN, FINISH] {
        for offset in [-40, -2, 0, 1, 2] {
            let (in_effect, status) = with_system(3, None, |run| {
                send_to_frozen_node(run, late, offset, false, 6000)
            });
            assert!(
                in_effect && matches!(status, Some(503 | 504)),
                "{late} at {offset}: {in_effect} {status:?}"
            );
        }
    }
}

/// Sends a request to core-0 while it is partitioned from the majority for `cut_s` seconds. The caller disconnects after
/// `timeout_ms`; with `hide_disconnect`, core-0 does not learn of this. Another control node then accepts the same request and
/// its inverse, and the partition heals. Returns whether the inverse remains in effect.
async fn send_without_majority(
    run: ManualRun,
    timeout_ms: u64,
    cut_s: f64,
    hide_disconnect: bool,
) -> bool {
    send_without_majority_for(run, BEGIN, timeout_ms, cut_s, hide_disconnect).await
}

async fn send_without_majority_for(
    run: ManualRun,
    late: &str,
    timeout_ms: u64,
    cut_s: f64,
    hide_disconnect: bool,
) -> bool {
    let later = if late == BEGIN { FINISH } else { BEGIN };
    if late == FINISH {
        assert_eq!(run.send_operation(1, BEGIN, b"").await, Some(200));
    }
    run.inject(partition("core-0", "core", cut_s));
    let sent = run.send(0, late, b"", timeout_ms);
    run.wait(timeout_ms - 10).await;
    if hide_disconnect {
        run.inject(partition("operator", "core-0", 4.0));
    }
    let _ = sent.await;
    assert_eq!(run.send_operation(1, late, b"").await, Some(200));
    assert_eq!(run.send_operation(1, later, b"").await, Some(200));
    run.wait(5000).await;
    operations(&run).await.evacuated_zones.contains("zone-0a") == (later == BEGIN)
}

#[test]
fn a_request_waiting_for_a_majority_is_not_started_after_its_caller_disconnects() {
    let cases = [50, 100, 200, 300]
        .map(|timeout_ms| [0.25, 0.3, 0.4, 0.5, 0.6].map(|cut_s| (timeout_ms, cut_s)));
    let cases = cases.as_flattened();
    for &(timeout_ms, cut_s) in cases {
        for late in [BEGIN, FINISH] {
            let in_effect = with_system(3, None, |run| {
                send_without_majority_for(run, late, timeout_ms, cut_s, false)
            });
            assert!(
                in_effect,
                "{late}: caller disconnects after {timeout_ms} ms, partition of {cut_s} s"
            );
        }
    }
    let undone = cases.iter().filter(|&&(timeout_ms, cut_s)| {
        let disabled_safeguard = Some(Safeguard::CallerPresence);
        !with_system(3, disabled_safeguard, |run| {
            send_without_majority(run, timeout_ms, cut_s, false)
        })
    });
    assert!(
        undone.count() > 0,
        "without the safeguard no request is started for a disconnected caller"
    );
}

#[test]
fn a_request_waiting_for_a_majority_expires_after_a_second_even_if_its_caller_seems_connected() {
    for cut_s in [1.0, 1.2, 1.5, 2.0] {
        for late in [BEGIN, FINISH] {
            let in_effect = with_system(3, None, |run| {
                send_without_majority_for(run, late, 1000, cut_s, true)
            });
            assert!(in_effect, "{late}, partition of {cut_s} s");
        }
    }
    let later_in_effect = |cut_s| {
        with_system(3, Some(Safeguard::UnconditionalDeadline), |run| {
            send_without_majority(run, 1000, cut_s, true)
        })
    };
    assert!(
        [1.2, 1.5, 2.0]
            .into_iter()
            .any(|cut_s| !later_in_effect(cut_s)),
        "without the safeguard no request is started after its deadline"
    );
}

#[test]
fn a_rollout_request_delayed_by_a_frozen_node_does_not_undo_a_newer_one() {
    let late = |disabled_safeguard, hide_disconnect: bool| {
        with_system(3, disabled_safeguard, |run| async move {
            assert_eq!(operations(&run).await.base_versions["boards"], "v1");
            run.inject(EventKind::Freeze {
                on: "core-0".into(),
                for_s: 1.6,
            });
            run.wait(5).await;
            let sent = run.send(0, ROLLOUT, &rollout_request("v2"), 1000);
            run.wait(950).await;
            if hide_disconnect {
                run.inject(partition("operator", "core-0", 3.0));
            }
            let response = sent.await.unwrap();
            // Another operator begins a rollout to the version that is in use.
            assert_eq!(
                run.send_operation(1, ROLLOUT, &rollout_request("v1")).await,
                Some(200)
            );
            run.wait(4000).await;
            let rollout = operations(&run).await.rollouts["boards"].clone();
            (
                response.map(|response| response.0),
                rollout.target,
                rollout.stage,
            )
        })
    };
    for hide_disconnect in [false, true] {
        assert_eq!(
            late(None, hide_disconnect),
            (None, "v1".into(), Stage::Complete),
            "hide_disconnect {hide_disconnect}"
        );
    }
    assert_eq!(
        late(Some(Safeguard::StallRejection), true),
        (None, "v2".into(), Stage::Active(0))
    );
}

#[test]
fn a_configuration_delayed_by_a_frozen_node_does_not_undo_a_later_one_and_is_rejected() {
    for (timeout_ms, offset) in [(1000, -5), (6000, -5), (1000, 3), (6000, 3)] {
        with_system(3, None, |run| async move {
            let freeze = EventKind::Freeze {
                on: "core-0".into(),
                for_s: 1.6,
            };
            if offset < 0 {
                run.inject(freeze.clone());
            }
            run.wait(5).await;
            let late = run.config(2, 1, 5);
            let sent = run.send(0, REPLACE, &late, timeout_ms);
            if offset >= 0 {
                run.wait(offset as u64).await;
                run.inject(freeze);
            }
            run.wait(1100).await;
            let later = run.config(3, 1, 6);
            assert_eq!(run.send_operation(1, REPLACE, &later).await, Some(200));
            run.wait(4000).await;
            assert_eq!(config(&run).await, (3, later));
            let status = sent.await.unwrap().map(|response| response.0);
            assert!(matches!(status, None | Some(412 | 504)), "{status:?}");
            assert_eq!(run.send_operation(2, REPLACE, &late).await, Some(412));
        });
    }
}

#[test]
fn a_reverted_rollout_is_treated_as_a_repeat_at_first_and_restarted_later() {
    let final_stages = |disabled_safeguard| {
        with_system(3, disabled_safeguard, |run| async move {
            assert_eq!(
                run.send_operation(0, ROLLOUT, &rollout_request("v2")).await,
                Some(200)
            );
            run.wait(300).await;
            let id = operations(&run).await.rollouts["boards"].id;
            let vote = postcard::to_stdvec(&("boards", id)).unwrap();
            assert!(run.vote_to_revert(1, &vote).await);
            run.wait(1000).await;
            assert_eq!(
                operations(&run).await.rollouts["boards"].stage,
                Stage::Reverted
            );
            assert_eq!(
                run.send_operation(1, ROLLOUT, &rollout_request("v2")).await,
                Some(200),
                "repeat of the same request"
            );
            run.wait(500).await;
            let stage_after_repeat = operations(&run).await.rollouts["boards"].stage;
            run.wait(9000).await;
            assert_eq!(
                run.send_operation(2, ROLLOUT, &rollout_request("v2")).await,
                Some(200)
            );
            run.wait(500).await;
            (
                stage_after_repeat,
                operations(&run).await.rollouts["boards"].stage,
            )
        })
    };
    assert_eq!(final_stages(None), (Stage::Reverted, Stage::Active(0)));
    assert_eq!(
        final_stages(Some(Safeguard::RepeatWindow)).0,
        Stage::Active(0)
    );
    assert_eq!(
        final_stages(Some(Safeguard::RolloutRestart)).1,
        Stage::Reverted,
        "without the safeguard the rollout is confirmed but not started"
    );
}

/// Sends an accepted configuration, and another body under the same version, to a control node that cannot complete a consensus
/// round because it is partitioned. Returns both statuses.
async fn repeat_to_partitioned_node(run: ManualRun) -> (Option<u16>, Option<u16>) {
    let (accepted, other) = (run.config(2, 1, 0), run.config(2, 1, 9));
    assert_eq!(run.send_operation(0, REPLACE, &accepted).await, Some(200));
    run.wait(1000).await;
    run.inject(partition("core-2", "core", 20.0));
    run.wait(4000).await;
    let status = |response: Option<(u16, Vec<u8>)>| response.map(|response| response.0);
    let repeat_status = status(run.call(2, "POST", REPLACE, &accepted, 3000).await);
    (
        repeat_status,
        status(run.call(2, "POST", REPLACE, &other, 3000).await),
    )
}

#[test]
fn a_partitioned_node_confirms_only_repeats_of_changes_known_to_be_chosen() {
    let (repeat_status, other) = with_system(3, None, repeat_to_partitioned_node);
    assert_eq!(repeat_status, Some(200));
    assert!(other.is_none_or(|status| status >= 500), "{other:?}");
    let (repeat_status, _) = with_system(
        3,
        Some(Safeguard::KnownChosenRepeat),
        repeat_to_partitioned_node,
    );
    assert_ne!(
        repeat_status,
        Some(200),
        "without the safeguard only a consensus round can confirm the repeat"
    );
}
