//! Core machines lost one after the other, each `syncS` after the one before came back; leavers, replaced machines, one that is
//! cut off, replaced and comes back. Orders are acknowledged throughout, and what was acknowledged is read at the end.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::{simulate, Report, Scenario};

const SYNC_S: f64 = 4.0;
/// From the start of the machines to that of traffic.
const BEFORE_MS: f64 = 8000.0;

fn day(name: &str, cores: usize, seconds: f64, events: &[(f64, String)]) -> Scenario {
    let mut text = format!(
        "name = \"{name}\"\ncores = {cores}\nedges = 4\nunits = 4\nrate = 12.0\nseconds = {seconds}\nmemberships = true\n"
    );
    for (at, what) in events {
        text += &format!("[[event]]\nat = {at:.3}\n{what}\n");
    }
    Scenario::read(&text).unwrap_or_else(|said| panic!("{said}\n{text}"))
}

/// A configuration every so often.
fn storm(events: &mut Vec<(f64, String)>, from: f64, until: f64, every: f64) {
    let mut at = from;
    while at < until {
        events.push((at, "what.config = { routes = 1 }".to_owned()));
        at += every;
    }
}

fn sound(scenario: &Scenario) -> Report {
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
        "{name}: nothing is read back: {:?}",
        report.memberships
    );
    report
}

/// Who holds a membership at last.
fn holders(report: &Report) -> Vec<String> {
    let mut last = std::collections::BTreeMap::new();
    for (_, name, held) in &report.memberships {
        last.insert(name.clone(), held.clone());
    }
    last.into_values().flatten().collect()
}

/// From a moment of traffic until a machine holds that membership.
fn taken_ms(report: &Report, at: f64, voter_id: &str, by: &str) -> f64 {
    let from = (BEFORE_MS + at * 1000.0) as u64;
    let taken = report.memberships.iter().find(|(when, name, held)| {
        *when >= from && name == by && held.as_deref() == Some(voter_id)
    });
    let taken =
        taken.unwrap_or_else(|| panic!("{by} never holds {voter_id}: {:?}", report.memberships));
    (taken.0 - from) as f64
}

#[test]
fn each_core_machine_loses_its_disk_in_turn_as_soon_as_the_last_one_counts_again() {
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
    storm(&mut events, 0.5, at, 0.7);
    events.push((at, "what.closing = { power = true }".to_owned()));
    let report = sound(&day("wiped in turn", 3, at + 6.0, &events));
    for turn in 0..6 {
        let from = 1.0 + turn as f64 * (down + SYNC_S) + down;
        let (name, most) = (format!("core-{}", turn % 3), SYNC_S * 500.0);
        let took = taken_ms(&report, from, &name, &name);
        println!("{name} votes {took} ms after its start");
        assert!(took < most, "{took}");
    }
}

#[test]
fn of_five_two_at_once_lose_their_disks_as_soon_as_the_last_two_count_again() {
    let down = 1.0;
    let mut events = Vec::new();
    let mut at = 1.0;
    for (one, two) in [(0, 1), (2, 3), (4, 0), (1, 2)] {
        for core in [one, two] {
            events.push((
                at,
                format!("what.wipe = {{ on = \"core-{core}\", down_s = {down} }}"),
            ));
        }
        at += down + SYNC_S;
    }
    storm(&mut events, 0.5, at, 0.9);
    events.push((at, "what.closing = { power = true }".to_owned()));
    sound(&day("two wiped in turn", 5, at + 6.0, &events));
}

#[test]
fn two_replaced_at_once_both_have_successors_and_two_more_are_lost_then() {
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
    storm(&mut events, 0.5, 10.0, 0.8);
    events.push((6.0 + SYNC_S, "what.closing = { power = true }".to_owned()));
    let report = sound(&day("two replaced at once", 5, 18.0, &events));
    let mut held = holders(&report);
    held.sort();
    held.dedup();
    assert!(
        ["core-0", "core-1"]
            .iter()
            .all(|id| held.iter().any(|h| h == id)),
        "{:?}",
        report.memberships
    );
    let late = report
        .memberships
        .iter()
        .filter(|(_, name, held)| name >= &"core-5".to_owned() && held.is_some());
    let took: Vec<u64> = late
        .map(|(when, ..)| when - BEFORE_MS as u64 - 1000)
        .collect();
    println!("taken {took:?} ms after the loss");
    assert!(
        took.len() >= 2 && took.iter().take(2).all(|ms| *ms < SYNC_S as u64 * 1000),
        "{took:?}"
    );
}

#[test]
fn one_is_replaced_and_another_loses_its_disk_as_soon_as_the_successor_counts() {
    for lost in [1, 2] {
        let mut events = vec![
            (1.0, "what.replace = { on = \"core-0\" }".to_owned()),
            (
                1.0 + SYNC_S,
                format!("what.wipe = {{ on = \"core-{lost}\", down_s = 1.0 }}"),
            ),
        ];
        storm(&mut events, 0.5, 10.0, 0.6);
        events.push((11.0, "what.closing = { power = true }".to_owned()));
        let report = sound(&day("replaced, then wiped", 3, 17.0, &events));
        println!(
            "taken {} ms after the loss",
            taken_ms(&report, 1.0, "core-0", "core-3")
        );
    }
}

/// Three voters, and one machine that waits.
const WITH_SPARE: usize = 4;

#[test]
fn one_that_is_cut_off_and_replaced_comes_back_and_two_others_lose_their_disks_in_turn() {
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
    storm(&mut events, 0.5, 17.0, 0.7);
    events.push((18.0 + SYNC_S, "what.closing = { power = true }".to_owned()));
    let report = sound(&day("cut off and replaced", WITH_SPARE, 28.0, &events));
    println!(
        "taken {} ms after the cut",
        taken_ms(&report, 1.0, "core-0", "core-3")
    );
    let back = (BEFORE_MS + 7000.0) as u64;
    let told = report
        .memberships
        .iter()
        .find(|(at, name, held)| *at >= back && name == "core-0" && held.is_none());
    let told = told.expect("it learns that it is none").0 - back;
    println!("core-0 knows {told} ms after the end of the cut");
    assert!(told < SYNC_S as u64 * 1000);
    let again = report
        .memberships
        .iter()
        .filter(|(at, name, held)| *at > back && name == "core-0" && held.is_some());
    assert_eq!(
        again.count(),
        0,
        "it takes nothing back: {:?}",
        report.memberships
    );
}

#[test]
fn in_a_calm_time_a_core_machine_ends_within_a_second_of_its_order() {
    let mut events: Vec<(f64, String)> = (0..3)
        .map(|at| {
            (
                1.0 + 6.0 * at as f64,
                format!("what.term = {{ on = \"core-{at}\" }}"),
            )
        })
        .collect();
    storm(&mut events, 0.5, 18.0, 1.1);
    let report = sound(&day("ended in turn", 3, 20.0, &events));
    let took: Vec<u64> = report
        .core_shutdowns
        .iter()
        .map(|(_, from, until)| until - from)
        .collect();
    println!("ended after {took:?} ms");
    assert_eq!(took.len(), 3);
    assert!(took.iter().all(|ms| *ms <= 1000), "{took:?}");
}

#[test]
fn one_that_leaves_stays_until_its_membership_is_taken_though_a_disk_is_lost_just_then() {
    for tenths in 0..8 {
        let after = 1.05 + 0.1 * f64::from(tenths);
        let mut events = vec![
            (1.0, "what.term = { on = \"core-0\" }".to_owned()),
            (
                after,
                "what.wipe = { on = \"core-1\", down_s = 1.0 }".to_owned(),
            ),
        ];
        storm(&mut events, 0.2, 6.0, 0.25);
        events.push((10.0, "what.closing = { power = true }".to_owned()));
        let report = sound(&day("leaves in a storm", WITH_SPARE, 16.0, &events));
        let took: Vec<u64> = report
            .core_shutdowns
            .iter()
            .map(|(_, from, until)| until - from)
            .collect();
        let taken = taken_ms(&report, 1.0, "core-0", "core-3");
        println!("wiped {after:.2}: taken {taken} ms, ended {took:?} ms after SIGTERM");
        assert!(
            took.iter().all(|ms| *ms < 4700),
            "inside its grace: {took:?}"
        );
    }
}

/// The time from SIGTERM to the end of the process, and to the successor's first vote.
fn leaves_to_a_slow_disk(without: Option<Safeguard>) -> (f64, f64) {
    let mut events = vec![
        (
            0.5,
            "what.slow_disk = { on = \"core-3\", sync_ms = 900, for_s = 6.0 }".to_owned(),
        ),
        (1.0, "what.term = { on = \"core-0\" }".to_owned()),
    ];
    storm(&mut events, 0.2, 5.0, 0.4);
    let scenario = Scenario {
        disabled_safeguard: without,
        ..day("leaves to a slow disk", WITH_SPARE, 8.0, &events)
    };
    let report = sound(&scenario);
    let (_, from, until) = &report.core_shutdowns[0];
    (
        (until - from) as f64,
        taken_ms(&report, 1.0, "core-0", "core-3"),
    )
}

#[test]
fn one_that_leaves_outlasts_the_sync_of_its_successor() {
    let (ended, taken) = leaves_to_a_slow_disk(None);
    println!("taken {taken} ms, ended {ended} ms after SIGTERM");
    assert!(
        taken > 900.0 && ended >= taken - 100.0 && ended < 4700.0,
        "{ended} {taken}"
    );
    let (ended, taken) = leaves_to_a_slow_disk(Some(Safeguard::HandoverBeforeExit));
    assert!(
        ended < taken,
        "the only machine with its copy is gone {} ms too early",
        taken - ended
    );
}

/// From the end of a cut in a quiet time until the one that was replaced in it knows.
fn knows_after_a_cut(without: Option<Safeguard>) -> Option<u64> {
    let events = [(
        1.0,
        "what.cut = { from = \"core-0\", to = \"*\", for_s = 6.0 }".to_owned(),
    )];
    let report = sound(&Scenario {
        disabled_safeguard: without,
        ..day("cut off in a quiet time", WITH_SPARE, 13.0, &events)
    });
    let back = (BEFORE_MS + 7000.0) as u64;
    let knows = report
        .memberships
        .iter()
        .find(|(at, name, held)| *at >= back && name == "core-0" && held.is_none());
    knows.map(|(at, ..)| at - back)
}

#[test]
fn one_that_was_replaced_while_it_was_cut_off_hears_of_it_without_an_order() {
    let knows = knows_after_a_cut(None);
    println!("it knows after {knows:?} ms");
    assert!(knows.is_some_and(|ms| ms < SYNC_S as u64 * 1000));
    let knows = knows_after_a_cut(Some(Safeguard::EpochsAnnounced));
    assert!(
        knows.is_none_or(|ms| ms > SYNC_S as u64 * 1000),
        "{knows:?}: another way tells it"
    );
}
