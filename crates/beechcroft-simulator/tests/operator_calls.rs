//! Both programs as they run, in the world, under orders that race, come again, or are read after later ones. What an order
//! without a base may not do: undo a later one, or be confirmed falsely. Each guard is taken out once.

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

/// A small system with version 1 in force.
fn world<T, F>(cores: usize, without: Option<Safeguard>, simulate: impl FnOnce(ManualRun) -> F) -> T
where
    F: Future<Output = T>,
{
    let text = format!("name = \"orders\"\ncores = {cores}\nedges = 1\nunits = 1");
    let scenario = Scenario {
        disabled_safeguard: without,
        ..Scenario::read(&text).unwrap()
    };
    run_manual(&scenario, |hand| async move {
        hand.wait(3000).await;
        assert_eq!(
            hand.send_operation(0, REPLACE, &hand.config(1, 0, 0)).await,
            Some(200)
        );
        hand.wait(3000).await;
        simulate(hand).await
    })
}

fn rollout(target: &str) -> Vec<u8> {
    format!("{{\"service\":\"boards\",\"targetVersion\":\"{target}\",\"rampS\":600}}").into_bytes()
}

/// The newest value of a register that a core machine holds.
async fn value(hand: &ManualRun, cores: usize, register: u8) -> Value {
    let mut newest = Value::default();
    for core in 0..cores {
        let Some(bytes) = hand.read_register(core, register).await else {
            continue;
        };
        let value: Value = postcard::from_bytes(&bytes).unwrap();
        if value.revision > newest.revision {
            newest = value;
        }
    }
    newest
}

async fn orders(hand: &ManualRun) -> OperationsState {
    OperationsState::decode(&value(hand, 3, 1).await).unwrap()
}

async fn config(hand: &ManualRun) -> (u32, Vec<u8>) {
    let store = ConfigStore::decode(&value(hand, 5, 0).await).unwrap();
    (store.version, store.body().unwrap())
}

fn cut(from: &str, to: &str, for_s: f64) -> EventKind {
    EventKind::Partition {
        from: from.into(),
        to: to.into(),
        for_s,
        one_way: false,
        how: PartitionKind::Silent,
    }
}

// ---- one number, several operators

/// How a caller stays for its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stays {
    Whole,
    /// It is gone before the answer can have come.
    Gone(u64),
    /// Its way back is cut: the answer comes much later or not at all.
    CutOff,
}

async fn race(hand: ManualRun, cores: usize, operators: usize, stays: Stays, seed: u64) -> String {
    let bodies: Vec<Vec<u8>> = (0..operators)
        .map(|of| hand.config(9, 1, 1 + of as u64))
        .collect();
    let mut first = Vec::new();
    for (of, body) in bodies.iter().enumerate() {
        let within = match stays {
            Stays::Gone(ms) if of % 2 == 0 => ms,
            _ => 1500,
        };
        first.push(hand.send((of as u64 + seed) as usize % cores, REPLACE, body, within));
        hand.wait((seed * 7 + of as u64 * 3) % 23).await;
    }
    if stays == Stays::CutOff {
        hand.inject(cut(
            "operator",
            &format!("core-{}", seed % cores as u64),
            2.0,
        ));
    }
    let mut heard = Vec::new();
    for sent in first {
        heard.push(sent.await.unwrap().map(|(status, _)| status));
    }
    // Each with no clear answer sends its own again, to another machine; in the end all do.
    let mut confirmed = Vec::new();
    let mut refused = Vec::new();
    for (of, body) in bodies.iter().enumerate() {
        let again = hand
            .send_operation(of + seed as usize + 1, REPLACE, body)
            .await;
        for status in [heard[of], again].into_iter().flatten() {
            match status {
                200 => confirmed.push(of),
                412 => refused.push(of),
                _ => {}
            }
        }
    }
    confirmed.dedup();
    refused.dedup();
    let (_, body) = config(&hand).await;
    let in_force = bodies.iter().position(|held| *held == body);
    match (in_force, confirmed.as_slice()) {
        (Some(one), [winner]) if one == *winner && !refused.contains(&one) => String::new(),
        _ => format!(
            "in force {in_force:?}, confirmed {confirmed:?}, refused {refused:?}, first {heard:?}"
        ),
    }
}

#[test]
fn of_two_or_eight_operators_under_one_number_one_is_confirmed_whatever_becomes_of_answers() {
    let mut played = 0;
    for stays in [
        Stays::Whole,
        Stays::Gone(3),
        Stays::Gone(25),
        Stays::Gone(60),
        Stays::CutOff,
    ] {
        for (cores, operators) in [(3, 2), (3, 8), (5, 2), (5, 8)] {
            for seed in 0..3 {
                let said = world(cores, None, |hand| {
                    race(hand, cores, operators, stays, seed)
                });
                assert_eq!(
                    said, "",
                    "{cores} cores, {operators} operators, {stays:?}, seed {seed}"
                );
                played += 1;
            }
        }
    }
    assert_eq!(played, 60);
    let said = world(3, Some(Safeguard::RepeatHasSameBody), |hand| {
        race(hand, 3, 2, Stays::Whole, 0)
    });
    assert!(said.contains("confirmed [0, 1]"), "{said}");
}

#[test]
fn the_same_configuration_again_is_confirmed_before_during_and_after_and_once_all_have_restarted() {
    world(3, None, |hand| async move {
        let body = hand.config(2, 1, 7);
        // At the same moment at all three.
        let sent: Vec<_> = (0..3)
            .map(|core| hand.send(core, REPLACE, &body, 2500))
            .collect();
        for sent in sent {
            assert_eq!(sent.await.unwrap().map(|heard| heard.0), Some(200));
        }
        for version in 3..203 {
            let later = hand.config(version, version - 1, 0);
            assert_eq!(
                hand.send_operation(version as usize, REPLACE, &later).await,
                Some(200),
                "{version}"
            );
        }
        for core in 0..3 {
            assert_eq!(
                hand.call(core, "POST", REPLACE, &body, 2500)
                    .await
                    .map(|heard| heard.0),
                Some(200)
            );
        }
        hand.inject(EventKind::PowerLoss {
            on: "core".into(),
            down_s: 1.0,
        });
        hand.wait(4000).await;
        for core in 0..3 {
            assert_eq!(
                hand.send_operation(core, REPLACE, &body).await,
                Some(200),
                "after a restart of all"
            );
            assert_eq!(hand.config_version(core).await, Some(202));
        }
        let other = hand.config(2, 1, 8);
        assert_eq!(
            hand.send_operation(0, REPLACE, &other).await,
            Some(412),
            "the same number with another body"
        );
    });
}

#[test]
fn what_the_history_no_longer_holds_is_left_unclear() {
    let again = |without| {
        world(3, without, |hand| async move {
            for version in 2..520 {
                let later = hand.config(version, version - 1, 0);
                assert_eq!(
                    hand.send_operation(version as usize, REPLACE, &later).await,
                    Some(200),
                    "{version}"
                );
            }
            hand.call(1, "POST", REPLACE, &hand.config(2, 1, 0), 2500)
                .await
                .map(|heard| heard.0)
        })
    };
    assert_eq!(again(None), Some(504));
    assert_eq!(again(Some(Safeguard::ForgottenVersions)), Some(412));
}

// ---- orders that are read late

/// One order lies at core-0, which is frozen around its arrival; its operator goes to core-1 with the same order and then takes
/// it back there. `hides`: core-0 does not hear that the caller has left. Whether the later order stands, and what the first
/// caller heard if it stayed.
async fn frozen(
    hand: ManualRun,
    late: &'static str,
    offset: i64,
    hides: bool,
    stays_ms: u64,
) -> (bool, Option<u16>) {
    let later = if late == BEGIN { FINISH } else { BEGIN };
    if late == FINISH {
        assert_eq!(hand.send_operation(1, BEGIN, b"").await, Some(200));
    }
    let freeze = EventKind::Freeze {
        on: "core-0".into(),
        for_s: 1.6,
    };
    if offset < 0 {
        hand.inject(freeze.clone());
        hand.wait(offset.unsigned_abs()).await;
    }
    let sent = hand.send(0, late, b"", stays_ms);
    if offset >= 0 {
        hand.wait(offset as u64).await;
        hand.inject(freeze);
    }
    hand.wait(950).await;
    if hides {
        hand.inject(cut("operator", "core-0", 3.0));
    }
    hand.wait(150).await;
    assert_eq!(hand.send_operation(1, late, b"").await, Some(200));
    assert_eq!(hand.send_operation(1, later, b"").await, Some(200));
    hand.wait(4500).await;
    let evacuated = orders(&hand).await.evacuated_zones.contains("zone-0a");
    let first = sent.await.unwrap().map(|heard| heard.0);
    // It takes orders again, if it is reached.
    if !hides {
        assert_eq!(
            hand.call(0, "POST", later, b"", 1000)
                .await
                .map(|heard| heard.0),
            Some(200)
        );
    }
    (evacuated == (later == BEGIN), first)
}

#[test]
fn an_evacuation_or_its_end_that_lay_in_a_frozen_machine_does_not_undo_the_later_order() {
    for late in [BEGIN, FINISH] {
        for hides in [false, true] {
            for offset in [-40, -2, 0, 1, 2, 3, 4, 20, 24, 30, 45, 60] {
                let (stands, heard) =
                    world(3, None, |hand| frozen(hand, late, offset, hides, 1000));
                assert!(
                    stands,
                    "{late} undid what came later: {offset} ms, hides {hides}, heard {heard:?}"
                );
            }
        }
    }
    let (stands, _) = world(3, Some(Safeguard::StallRejection), |hand| {
        frozen(hand, BEGIN, -40, true, 1000)
    });
    assert!(!stands, "carried out though it lay through the stop");
}

#[test]
fn a_caller_that_stays_by_a_frozen_machine_is_not_told_that_a_late_order_was_carried_out() {
    for late in [BEGIN, FINISH] {
        for offset in [-40, -2, 0, 1, 2] {
            let (stands, heard) = world(3, None, |hand| frozen(hand, late, offset, false, 6000));
            assert!(
                stands && matches!(heard, Some(503 | 504)),
                "{late} at {offset}: {stands} {heard:?}"
            );
        }
    }
}

/// core-0 has no majority for a while; its caller leaves after `stays_ms`, and its end is or is not heard there. Elsewhere the same
/// order and its end are taken; then core-0 is back among the others.
async fn without_a_majority(hand: ManualRun, stays_ms: u64, cut_s: f64, hides: bool) -> bool {
    without_a_majority_for(hand, BEGIN, stays_ms, cut_s, hides).await
}

async fn without_a_majority_for(
    hand: ManualRun,
    late: &str,
    stays_ms: u64,
    cut_s: f64,
    hides: bool,
) -> bool {
    let later = if late == BEGIN { FINISH } else { BEGIN };
    if late == FINISH {
        assert_eq!(hand.send_operation(1, BEGIN, b"").await, Some(200));
    }
    hand.inject(cut("core-0", "core", cut_s));
    let sent = hand.send(0, late, b"", stays_ms);
    hand.wait(stays_ms - 10).await;
    if hides {
        hand.inject(cut("operator", "core-0", 4.0));
    }
    let _ = sent.await;
    assert_eq!(hand.send_operation(1, late, b"").await, Some(200));
    assert_eq!(hand.send_operation(1, later, b"").await, Some(200));
    hand.wait(5000).await;
    orders(&hand).await.evacuated_zones.contains("zone-0a") == (later == BEGIN)
}

#[test]
fn an_order_that_waits_for_a_majority_is_not_begun_once_its_caller_has_gone() {
    let all = [50, 100, 200, 300]
        .map(|stays_ms| [0.25, 0.3, 0.4, 0.5, 0.6].map(|cut_s| (stays_ms, cut_s)));
    let all = all.as_flattened();
    for &(stays_ms, cut_s) in all {
        for late in [BEGIN, FINISH] {
            let stands = world(3, None, |hand| {
                without_a_majority_for(hand, late, stays_ms, cut_s, false)
            });
            assert!(
                stands,
                "{late} of one gone after {stays_ms} ms, cut for {cut_s} s"
            );
        }
    }
    let broken = all.iter().filter(|&&(stays_ms, cut_s)| {
        let out = Some(Safeguard::CallerPresence);
        !world(3, out, |hand| {
            without_a_majority(hand, stays_ms, cut_s, false)
        })
    });
    assert!(broken.count() > 0, "begun for a caller that has gone");
}

#[test]
fn an_order_that_waits_for_a_majority_is_not_begun_after_a_second_though_its_caller_seems_there() {
    for cut_s in [1.0, 1.2, 1.5, 2.0] {
        for late in [BEGIN, FINISH] {
            let stands = world(3, None, |hand| {
                without_a_majority_for(hand, late, 1000, cut_s, true)
            });
            assert!(stands, "{late}, cut for {cut_s} s");
        }
    }
    let found = |cut_s| {
        world(3, Some(Safeguard::UnconditionalDeadline), |hand| {
            without_a_majority(hand, 1000, cut_s, true)
        })
    };
    assert!(
        [1.2, 1.5, 2.0].into_iter().any(|cut_s| !found(cut_s)),
        "begun after its time"
    );
}

#[test]
fn a_rollout_that_lay_in_a_frozen_machine_does_not_undo_a_newer_one() {
    let late = |without, hides: bool| {
        world(3, without, |hand| async move {
            assert_eq!(orders(&hand).await.base_versions["boards"], "v1");
            hand.inject(EventKind::Freeze {
                on: "core-0".into(),
                for_s: 1.6,
            });
            hand.wait(5).await;
            let sent = hand.send(0, ROLLOUT, &rollout("v2"), 1000);
            hand.wait(950).await;
            if hides {
                hand.inject(cut("operator", "core-0", 3.0));
            }
            let heard = sent.await.unwrap();
            // Another operator wants the version that is in use.
            assert_eq!(
                hand.send_operation(1, ROLLOUT, &rollout("v1")).await,
                Some(200)
            );
            hand.wait(4000).await;
            let held = orders(&hand).await.rollouts["boards"].clone();
            (heard.map(|heard| heard.0), held.target, held.stage)
        })
    };
    for hides in [false, true] {
        assert_eq!(
            late(None, hides),
            (None, "v1".into(), Stage::Complete),
            "hides {hides}"
        );
    }
    assert_eq!(
        late(Some(Safeguard::StallRejection), true),
        (None, "v2".into(), Stage::Active(0))
    );
}

#[test]
fn a_configuration_that_lay_in_a_frozen_machine_does_not_undo_a_later_one_and_is_refused() {
    for (stays_ms, offset) in [(1000, -5), (6000, -5), (1000, 3), (6000, 3)] {
        world(3, None, |hand| async move {
            let freeze = EventKind::Freeze {
                on: "core-0".into(),
                for_s: 1.6,
            };
            if offset < 0 {
                hand.inject(freeze.clone());
            }
            hand.wait(5).await;
            let late = hand.config(2, 1, 5);
            let sent = hand.send(0, REPLACE, &late, stays_ms);
            if offset >= 0 {
                hand.wait(offset as u64).await;
                hand.inject(freeze);
            }
            hand.wait(1100).await;
            let later = hand.config(3, 1, 6);
            assert_eq!(hand.send_operation(1, REPLACE, &later).await, Some(200));
            hand.wait(4000).await;
            assert_eq!(config(&hand).await, (3, later));
            let heard = sent.await.unwrap().map(|heard| heard.0);
            assert!(matches!(heard, None | Some(412 | 504)), "{heard:?}");
            assert_eq!(hand.send_operation(2, REPLACE, &late).await, Some(412));
        });
    }
}

#[test]
fn a_rollout_that_was_reverted_is_a_repeat_at_first_and_begun_anew_later() {
    let simulate = |without| {
        world(3, without, |hand| async move {
            assert_eq!(
                hand.send_operation(0, ROLLOUT, &rollout("v2")).await,
                Some(200)
            );
            hand.wait(300).await;
            let begun = orders(&hand).await.rollouts["boards"].id;
            let vote = postcard::to_stdvec(&("boards", begun)).unwrap();
            assert!(hand.vote_to_revert(1, &vote).await);
            hand.wait(1000).await;
            assert_eq!(
                orders(&hand).await.rollouts["boards"].stage,
                Stage::Reverted
            );
            assert_eq!(
                hand.send_operation(1, ROLLOUT, &rollout("v2")).await,
                Some(200),
                "the same order, sent again"
            );
            hand.wait(500).await;
            let soon = orders(&hand).await.rollouts["boards"].stage;
            hand.wait(9000).await;
            assert_eq!(
                hand.send_operation(2, ROLLOUT, &rollout("v2")).await,
                Some(200)
            );
            hand.wait(500).await;
            (soon, orders(&hand).await.rollouts["boards"].stage)
        })
    };
    assert_eq!(simulate(None), (Stage::Reverted, Stage::Active(0)));
    assert_eq!(simulate(Some(Safeguard::RepeatWindow)).0, Stage::Active(0));
    assert_eq!(
        simulate(Some(Safeguard::RolloutRestart)).1,
        Stage::Reverted,
        "confirmed, and never begun"
    );
}

/// Sends a configuration that was taken, and another body under its number, to a machine that no round of its own can end on.
async fn again_to_one_alone(hand: ManualRun) -> (Option<u16>, Option<u16>) {
    let (taken, other) = (hand.config(2, 1, 0), hand.config(2, 1, 9));
    assert_eq!(hand.send_operation(0, REPLACE, &taken).await, Some(200));
    hand.wait(1000).await;
    hand.inject(cut("core-2", "core", 20.0));
    hand.wait(4000).await;
    let status = |heard: Option<(u16, Vec<u8>)>| heard.map(|heard| heard.0);
    let again = status(hand.call(2, "POST", REPLACE, &taken, 3000).await);
    (
        again,
        status(hand.call(2, "POST", REPLACE, &other, 3000).await),
    )
}

#[test]
fn a_machine_whose_rounds_come_to_nothing_confirms_what_it_knows_to_be_taken_and_nothing_else() {
    let (again, other) = world(3, None, again_to_one_alone);
    assert_eq!(again, Some(200));
    assert!(other.is_none_or(|status| status >= 500), "{other:?}");
    let (again, _) = world(3, Some(Safeguard::KnownChosenRepeat), again_to_one_alone);
    assert_ne!(again, Some(200), "only a round says so");
}
