//! Membership changes of the control cluster: nodes that fail one after the other, each `syncS` after the previous one came
//! back, nodes that leave or are replaced, and a node that is partitioned, replaced and returns. Changes are acknowledged
//! throughout, and the acknowledged state is read back at the end.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::{simulate, Report, Scenario};

/// The default of the `syncS` setting, in seconds: for this long a node still counts as lost after it is back, and its successor
/// after its start.
const SYNC_S: f64 = 4.0;
/// Simulated time in milliseconds from the start of the machines to the start of traffic, a scenario's second 0.
const TRAFFIC_START_MS: f64 = 8000.0;

fn scenario(name: &str, cores: usize, seconds: f64, events: &[(f64, String)]) -> Scenario {
    let mut text = format!(
        "name = \"{name}\"\ncores = {cores}\nedges = 4\nunits = 4\nrate = 12.0\nseconds = {seconds}\nmemberships = true\n"
    );
    for (at, what) in events {
        text += &format!("[[event]]\nat = {at:.3}\n{what}\n");
    }
    Scenario::read(&text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

/// Adds configuration changes in the interval `from..until`, `every` seconds apart.
fn add_config_changes(events: &mut Vec<(f64, String)>, from: f64, until: f64, every: f64) {
    let mut at = from;
    while at < until {
        events.push((at, "what.config = { routes = 1 }".to_owned()));
        at += every;
    }
}

/// Runs a scenario and checks that no rule is violated, every operation is acknowledged and the final state is read back.
fn run_checked(scenario: &Scenario) -> Report {
    let report = simulate(scenario);
    let name = &scenario.name;
    assert_eq!(
        report.verdict.violations,
        [],
        "{name}: {:?}",
        report.memberships
    );
    assert_eq!(
        report.unacknowledged,
        [] as [String; 0],
        "{name}: {:?}",
        report.memberships
    );
    assert!(
        report.history.read_back.is_some(),
        "{name}: no configuration was read back: {:?}",
        report.memberships
    );
    report
}

/// The memberships held at the end of the run.
fn final_memberships(report: &Report) -> Vec<String> {
    let mut last = std::collections::BTreeMap::new();
    for (_, name, held) in &report.memberships {
        last.insert(name.clone(), held.clone());
    }
    last.into_values().flatten().collect()
}

/// Milliseconds from `at` seconds after the start of traffic until `node` holds the membership `voter_id`.
fn takeover_ms(report: &Report, at: f64, voter_id: &str, node: &str) -> f64 {
    let from = (TRAFFIC_START_MS + at * 1000.0) as u64;
    let takeover = report.memberships.iter().find(|(when, name, held)| {
        *when >= from && name == node && held.as_deref() == Some(voter_id)
    });
    let takeover = takeover
        .unwrap_or_else(|| panic!("{node} never holds {voter_id}: {:?}", report.memberships));
    (takeover.0 - from) as f64
}

#[test]
fn each_of_three_nodes_loses_its_disk_once_the_previous_one_has_recovered() {
    let down = 1.0;
    let mut events = Vec::new();
    let mut at = 1.0;
    for turn in 0..6 {
        events.push((
            at,
            format!(
                "what.wipe = {{ on = \"core-{}\", down_s = {down} }}",
                turn % 3
            ),
        ));
        at += down + SYNC_S;
    }
    add_config_changes(&mut events, 0.5, at, 0.7);
    events.push((at, "what.closing = { power = true }".to_owned()));
    let report = run_checked(&scenario("wiped in turn", 3, at + 6.0, &events));
    for turn in 0..6 {
        let from = 1.0 + turn as f64 * (down + SYNC_S) + down;
        let (name, limit_ms) = (format!("core-{}", turn % 3), SYNC_S * 500.0);
        let elapsed = takeover_ms(&report, from, &name, &name);
        println!("{name} votes {elapsed} ms after its start");
        assert!(elapsed < limit_ms, "{elapsed}");
    }
}

#[test]
fn two_of_five_nodes_lose_their_disks_once_the_previous_two_have_recovered() {
    let down = 1.0;
    let mut events = Vec::new();
    let mut at = 1.0;
    for (first, second) in [(0, 1), (2, 3), (4, 0), (1, 2)] {
        for core in [first, second] {
            events.push((
                at,
                format!("what.wipe = {{ on = \"core-{core}\", down_s = {down} }}"),
            ));
        }
        at += down + SYNC_S;
    }
    add_config_changes(&mut events, 0.5, at, 0.9);
    events.push((at, "what.closing = { power = true }".to_owned()));
    run_checked(&scenario("two wiped in turn", 5, at + 6.0, &events));
}

#[test]
fn two_nodes_replaced_at_once_get_successors_before_two_more_lose_their_disks() {
    let mut events = vec![
        (1.0, "what.replace = { on = \"core-0\" }".to_owned()),
        (1.0, "what.replace = { on = \"core-1\" }".to_owned()),
        (
            1.0 + SYNC_S,
            "what.wipe = { on = \"core-2\", down_s = 1.0 }".to_owned(),
        ),
        (
            1.0 + SYNC_S,
            "what.wipe = { on = \"core-3\", down_s = 1.0 }".to_owned(),
        ),
    ];
    add_config_changes(&mut events, 0.5, 10.0, 0.8);
    events.push((6.0 + SYNC_S, "what.closing = { power = true }".to_owned()));
    let report = run_checked(&scenario("two replaced at once", 5, 18.0, &events));
    let mut memberships = final_memberships(&report);
    memberships.sort();
    memberships.dedup();
    assert!(
        ["core-0", "core-1"]
            .iter()
            .all(|id| memberships.iter().any(|held| held == id)),
        "{:?}",
        report.memberships
    );
    let successors = report
        .memberships
        .iter()
        .filter(|(_, name, held)| name >= &"core-5".to_owned() && held.is_some());
    let took: Vec<u64> = successors
        .map(|(when, ..)| when - TRAFFIC_START_MS as u64 - 1000)
        .collect();
    println!("memberships taken over {took:?} ms after the loss");
    assert!(
        took.len() >= 2 && took.iter().take(2).all(|ms| *ms < SYNC_S as u64 * 1000),
        "{took:?}"
    );
}

#[test]
fn a_node_loses_its_disk_once_the_successor_of_a_replaced_node_votes() {
    for lost in [1, 2] {
        let mut events = vec![
            (1.0, "what.replace = { on = \"core-0\" }".to_owned()),
            (
                1.0 + SYNC_S,
                format!("what.wipe = {{ on = \"core-{lost}\", down_s = 1.0 }}"),
            ),
        ];
        add_config_changes(&mut events, 0.5, 10.0, 0.6);
        events.push((11.0, "what.closing = { power = true }".to_owned()));
        let report = run_checked(&scenario("replaced, then wiped", 3, 17.0, &events));
        println!(
            "membership taken over {} ms after the loss",
            takeover_ms(&report, 1.0, "core-0", "core-3")
        );
    }
}

/// Three voters and one spare node.
const WITH_SPARE: usize = 4;

#[test]
fn a_replaced_node_returns_from_a_partition_and_two_others_lose_their_disks() {
    let mut events = vec![
        (
            1.0,
            "what.cut = { from = \"core-0\", to = \"*\", for_s = 6.0 }".to_owned(),
        ),
        (
            7.0 + SYNC_S,
            "what.wipe = { on = \"core-2\", down_s = 1.0 }".to_owned(),
        ),
        (
            8.0 + 2.0 * SYNC_S,
            "what.wipe = { on = \"core-1\", down_s = 1.0 }".to_owned(),
        ),
    ];
    add_config_changes(&mut events, 0.5, 17.0, 0.7);
    events.push((18.0 + SYNC_S, "what.closing = { power = true }".to_owned()));
    let report = run_checked(&scenario("cut off and replaced", WITH_SPARE, 28.0, &events));
    println!(
        "membership taken over {} ms after the partition began",
        takeover_ms(&report, 1.0, "core-0", "core-3")
    );
    let healed_at = (TRAFFIC_START_MS + 7000.0) as u64;
    let loss_known = report
        .memberships
        .iter()
        .find(|(at, name, held)| *at >= healed_at && name == "core-0" && held.is_none());
    let loss_known_ms = loss_known
        .expect("the node learns that its membership was replaced")
        .0
        - healed_at;
    println!("core-0 knows {loss_known_ms} ms after the end of the partition");
    assert!(loss_known_ms < SYNC_S as u64 * 1000);
    let retaken = report
        .memberships
        .iter()
        .filter(|(at, name, held)| *at > healed_at && name == "core-0" && held.is_some());
    assert_eq!(
        retaken.count(),
        0,
        "the replaced node holds a membership again: {:?}",
        report.memberships
    );
}

#[test]
fn without_faults_a_control_node_exits_within_a_second_of_sigterm() {
    let mut events: Vec<(f64, String)> = (0..3)
        .map(|at| {
            (
                1.0 + 6.0 * at as f64,
                format!("what.term = {{ on = \"core-{at}\" }}"),
            )
        })
        .collect();
    add_config_changes(&mut events, 0.5, 18.0, 1.1);
    let report = run_checked(&scenario("ended in turn", 3, 20.0, &events));
    let took: Vec<u64> = report
        .core_shutdowns
        .iter()
        .map(|(_, from, until)| until - from)
        .collect();
    println!("exited after {took:?} ms");
    assert_eq!(took.len(), 3);
    assert!(took.iter().all(|ms| *ms <= 1000), "{took:?}");
}

#[test]
fn a_leaving_node_hands_over_its_membership_while_another_disk_is_lost() {
    for tenths in 0..8 {
        let wiped_at = 1.05 + 0.1 * f64::from(tenths);
        let mut events = vec![
            (1.0, "what.term = { on = \"core-0\" }".to_owned()),
            (
                wiped_at,
                "what.wipe = { on = \"core-1\", down_s = 1.0 }".to_owned(),
            ),
        ];
        add_config_changes(&mut events, 0.2, 6.0, 0.25);
        events.push((10.0, "what.closing = { power = true }".to_owned()));
        let report = run_checked(&scenario("leaves in a storm", WITH_SPARE, 16.0, &events));
        let took: Vec<u64> = report
            .core_shutdowns
            .iter()
            .map(|(_, from, until)| until - from)
            .collect();
        let takeover = takeover_ms(&report, 1.0, "core-0", "core-3");
        println!("disk lost at {wiped_at:.2} s: membership taken over {takeover} ms, exited {took:?} ms after SIGTERM");
        assert!(
            took.iter().all(|ms| *ms < 4700),
            "not within the grace period: {took:?}"
        );
    }
}

/// Guards against a core without a quorum for good: while one voter has no power and another has lost its disk, the node
/// that is to take over the first one's replica is restarted, partitioned or removed, or a voter is restarted.
#[test]
fn a_takeover_that_is_broken_off_beside_a_lost_disk_ends_once_all_nodes_are_back() {
    let broken_off_by = [
        "what.kill = { on = \"core-3\", down_s = 0.5 }",
        "what.kill = { on = \"core-2\", down_s = 0.5 }",
        "what.kill = { on = \"core-0,core-2,core-3\", down_s = 0.5 }",
        "what.power = { on = \"core-3\", down_s = 20.0 }",
        "what.freeze = { on = \"core-3\", for_s = 8.0 }",
        "what.cut = { from = \"core-3\", to = \"*\", for_s = 8.0 }",
    ];
    for event in broken_off_by {
        for at in [2.6, 3.6, 4.6, 6.4, 6.6] {
            let events = [
                (0.5, "what.config = { routes = 1 }".to_owned()),
                (
                    1.0,
                    "what.power = { on = \"core-1\", down_s = 5.5 }".to_owned(),
                ),
                (
                    1.0,
                    "what.wipe = { on = \"core-0\", down_s = 0.1 }".to_owned(),
                ),
                (at, event.to_owned()),
                // All nodes but the removed one are back by now, and `recoveryS` is over.
                (22.0, "what.config = { routes = 1 }".to_owned()),
                (23.0, "what.closing = { power = true }".to_owned()),
            ];
            println!("{event} at {at} s");
            run_checked(&scenario("broken off", WITH_SPARE, 28.0, &events));
        }
    }
}

/// Milliseconds from SIGTERM to the exit of the process, and to the time when its successor on a slow disk holds the membership.
fn handover_to_a_slow_disk(disabled_safeguard: Option<Safeguard>) -> (f64, f64) {
    let mut events = vec![
        (
            0.5,
            "what.slow_disk = { on = \"core-3\", sync_ms = 900, for_s = 6.0 }".to_owned(),
        ),
        (1.0, "what.term = { on = \"core-0\" }".to_owned()),
    ];
    add_config_changes(&mut events, 0.2, 5.0, 0.4);
    let scenario = Scenario {
        disabled_safeguard,
        ..scenario("leaves to a slow disk", WITH_SPARE, 8.0, &events)
    };
    let report = run_checked(&scenario);
    let (_, from, until) = &report.core_shutdowns[0];
    (
        (until - from) as f64,
        takeover_ms(&report, 1.0, "core-0", "core-3"),
    )
}

#[test]
fn a_leaving_node_exits_only_after_its_successor_has_synced() {
    let (exit_ms, takeover_ms) = handover_to_a_slow_disk(None);
    println!("membership taken over {takeover_ms} ms, exited {exit_ms} ms after SIGTERM");
    assert!(
        takeover_ms > 900.0 && exit_ms >= takeover_ms - 100.0 && exit_ms < 4700.0,
        "{exit_ms} {takeover_ms}"
    );
    let (exit_ms, takeover_ms) = handover_to_a_slow_disk(Some(Safeguard::HandoverBeforeExit));
    assert!(
        exit_ms < takeover_ms,
        "the safeguard had no effect: exit {} ms before the takeover",
        takeover_ms - exit_ms
    );
}

/// Milliseconds from the end of a partition until the node that was replaced during it knows, with no changes sent.
fn replacement_known_ms(disabled_safeguard: Option<Safeguard>) -> Option<u64> {
    let events = [(
        1.0,
        "what.cut = { from = \"core-0\", to = \"*\", for_s = 6.0 }".to_owned(),
    )];
    let report = run_checked(&Scenario {
        disabled_safeguard,
        ..scenario("cut off in a quiet time", WITH_SPARE, 13.0, &events)
    });
    let healed_at = (TRAFFIC_START_MS + 7000.0) as u64;
    let loss_known = report
        .memberships
        .iter()
        .find(|(at, name, held)| *at >= healed_at && name == "core-0" && held.is_none());
    loss_known.map(|(at, ..)| at - healed_at)
}

#[test]
fn a_node_replaced_during_a_partition_learns_of_it_without_a_change() {
    let known_after = replacement_known_ms(None);
    println!("replacement known after {known_after:?} ms");
    assert!(known_after.is_some_and(|ms| ms < SYNC_S as u64 * 1000));
    let known_after = replacement_known_ms(Some(Safeguard::EpochsAnnounced));
    assert!(
        known_after.is_none_or(|ms| ms > SYNC_S as u64 * 1000),
        "{known_after:?}: the node learned of it without announced epochs"
    );
}
