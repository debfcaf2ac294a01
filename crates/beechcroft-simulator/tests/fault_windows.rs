//! The world's own faults: what it did that no platform does, and an checker stricter than the rules.

use beechcroft_simulator::cluster::checker::{check_history, Bounds};
use beechcroft_simulator::cluster::history::{
    ConfigChange, History, InjectedFault, Operation, OperationKind,
};
use beechcroft_simulator::cluster::{simulate, Scenario};

/// An edge is down while all others are, so that its own return follows that of all; then it is down for good.
const TWICE_BACK: &str = r#"
name = "twice-back"
rate = 200.0
seconds = 22.0
[[event]]
at = 2.0
what.kill = { on = "edge-7", down_s = 10.0 }
[[event]]
at = 3.0
what.herd = { on = "edge", share = 1.0, down_s = 0.5 }
[[event]]
at = 18.0
what.kill = { on = "edge-7", down_s = 30.0 }
"#;

#[test]
fn a_machine_that_two_events_took_down_runs_one_process() {
    let report = simulate(&Scenario::read(TWICE_BACK).unwrap());
    let served = |from: u64, to: u64| {
        let tries = report
            .history
            .attempts
            .values()
            .filter(|asked| asked.edge == "edge-7");
        let answered =
            tries.filter_map(|asked| asked.answer.as_ref().filter(|a| a.status.is_some()));
        answered
            .filter(|answer| answer.at > from && answer.at < to)
            .count()
    };
    assert_eq!(
        served(8000 + 2100, 8000 + 12_000),
        0,
        "the longer of two events keeps it down"
    );
    assert!(served(8000 + 12_000, 8000 + 18_000) > 50, "then it is back");
    assert_eq!(
        served(8000 + 18_100, u64::MAX),
        0,
        "and gone with its process"
    );
    assert_eq!(report.verdict.violations, []);
}

fn sent(version: u32, base: u32, at: u64, acked: Option<u64>) -> ConfigChange {
    ConfigChange {
        version,
        base,
        at,
        acked,
        rejected_with: None,
        valid: true,
        routes: Default::default(),
        body: format!("{version}").into_bytes(),
        ended: acked,
        repeats: Vec::new(),
    }
}

fn rules(history: &History) -> Vec<&'static str> {
    check_history(history, &Bounds::default())
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn what_is_acknowledged_after_the_last_reading_is_not_missed_in_it() {
    let (one, two) = (sent(1, 0, 10, Some(20)), sent(2, 1, 30, Some(60)));
    let mut history = History {
        read_back: Some(one.body.clone()),
        read_at: 50,
        ..History::default()
    };
    history.configs = vec![one, two];
    assert_eq!(rules(&history), [] as [&str; 0]);
    history.read_at = 61;
    assert_eq!(rules(&history), ["LOST"]);
    history.read_back = None;
    assert_eq!(rules(&history), ["LOST"]);
}

#[test]
fn a_repeat_may_be_refused_only_after_another_change() {
    let mut one = sent(1, 0, 10, Some(20));
    one.repeats = vec![(30, 40, 412)];
    let mut history = History {
        read_back: Some(one.body.clone()),
        read_at: 99,
        ..History::default()
    };
    history.configs = vec![one.clone()];
    assert_eq!(rules(&history), ["CONFIG"]);
    let mut other = sent(2, 1, 25, None); // it may have been taken
    history.configs = vec![one.clone(), other.clone()];
    assert_eq!(rules(&history), [] as [&str; 0]);
    (other.rejected_with, other.ended) = (Some(412), Some(28));
    history.configs = vec![one, other];
    assert_eq!(rules(&history), ["CONFIG"]);
}

#[test]
fn an_order_may_wait_in_an_unsettled_time_and_not_in_a_settled_one() {
    let order = |acked| Operation {
        what: OperationKind::Evacuate {
            zone: "z".into(),
            begin: true,
        },
        at: 1000,
        acked,
        ended: acked,
    };
    let mut history = History {
        operations: vec![order(Some(6900))],
        end: 60_000,
        ..History::default()
    };
    assert_eq!(rules(&history), [] as [&str; 0]);
    history.operations = vec![order(Some(7100))];
    assert_eq!(rules(&history), ["Acks"]);
    history.operations = vec![order(None)];
    assert_eq!(rules(&history), ["Acks"]);
    // Each stretch between troubles of the core is too short, with the time after each.
    let trouble = |from| InjectedFault {
        on: "core".into(),
        from,
        until: from + 500,
        description: "killed".into(),
        planned: false,
    };
    history.injected_faults = vec![trouble(5000), trouble(15_000)];
    history.operations = vec![order(Some(25_400))];
    assert_eq!(rules(&history), [] as [&str; 0]);
    history.operations = vec![order(Some(25_600))];
    assert_eq!(rules(&history), ["Acks"]);
}
