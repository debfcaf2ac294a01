//! Core machines lost one after the other, each `syncS` after the one before came back; leavers, replaced machines, one that is
//! cut off, replaced and comes back. Orders are acknowledged throughout, and what was acknowledged is read at the end.

use beechcroft_range::whole::{play, Report, Scenario};

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
    let report = play(scenario);
    let name = &scenario.name;
    assert_eq!(report.verdict.breaches, [], "{name}: {:?}", report.memberships);
    assert_eq!(report.unacked, [] as [String; 0], "{name}: {:?}", report.memberships);
    assert!(report.wires.read_back.is_some(), "{name}: nothing is read back: {:?}", report.memberships);
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
    let taken = report
        .memberships
        .iter()
        .find(|(when, name, held)| *when >= from && name == by && held.as_deref() == Some(voter_id));
    let taken = taken.unwrap_or_else(|| panic!("{by} never holds {voter_id}: {:?}", report.memberships));
    (taken.0 - from) as f64
}

#[test]
fn each_core_machine_loses_its_disk_in_turn_as_soon_as_the_last_one_counts_again() {
    let down = 1.0;
    let mut events = Vec::new();
    let mut at = 1.0;
    for turn in 0..6 {
        events.push((at, format!("what.wipe = {{ on = \"core-{}\", down_s = {down} }}", turn % 3)));
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
            events.push((at, format!("what.wipe = {{ on = \"core-{core}\", down_s = {down} }}")));
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
        (1.0 + SYNC_S, "what.wipe = { on = \"core-2\", down_s = 1.0 }".to_owned()),
        (1.0 + SYNC_S, "what.wipe = { on = \"core-3\", down_s = 1.0 }".to_owned()),
    ];
    storm(&mut events, 0.5, 10.0, 0.8);
    events.push((6.0 + SYNC_S, "what.closing = { power = true }".to_owned()));
    let report = sound(&day("two replaced at once", 5, 18.0, &events));
    let mut held = holders(&report);
    held.sort();
    held.dedup();
    assert!(["core-0", "core-1"].iter().all(|id| held.iter().any(|h| h == id)), "{:?}", report.memberships);
    let late =
        report.memberships.iter().filter(|(_, name, held)| name >= &"core-5".to_owned() && held.is_some());
    let took: Vec<u64> = late.map(|(when, ..)| when - BEFORE_MS as u64 - 1000).collect();
    println!("taken {took:?} ms after the loss");
    assert!(took.len() >= 2 && took.iter().take(2).all(|ms| *ms < SYNC_S as u64 * 1000), "{took:?}");
}

#[test]
fn one_is_replaced_and_another_loses_its_disk_as_soon_as_the_successor_counts() {
    for lost in [1, 2] {
        let mut events = vec![
            (1.0, "what.replace = { on = \"core-0\" }".to_owned()),
            (1.0 + SYNC_S, format!("what.wipe = {{ on = \"core-{lost}\", down_s = 1.0 }}")),
        ];
        storm(&mut events, 0.5, 10.0, 0.6);
        events.push((11.0, "what.closing = { power = true }".to_owned()));
        let report = sound(&day("replaced, then wiped", 3, 17.0, &events));
        println!("taken {} ms after the loss", taken_ms(&report, 1.0, "core-0", "core-3"));
    }
}
