//! Regression tests for defects of the simulator and its checker: overlapping faults on one machine, and time windows in
//! which the checker was stricter than the rules.

use beechcroft_simulator::cluster::checker::{check_history, Bounds};
use beechcroft_simulator::cluster::history::{
    ConfigChange, History, InjectedFault, Operation, OperationKind,
};
use beechcroft_simulator::cluster::{simulate, Scenario};

/// A proxy is down while all proxies restart, so that its own restart comes after theirs; later it is down until the end.
const OVERLAPPING_OUTAGES: &str = r#"
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
fn machine_with_overlapping_outages_runs_one_process() {
    let report = simulate(&Scenario::read(OVERLAPPING_OUTAGES).unwrap());
    let served = |from: u64, to: u64| {
        let attempts = report
            .history
            .attempts
            .values()
            .filter(|attempt| attempt.edge == "edge-7");
        let answered =
            attempts.filter_map(|attempt| attempt.answer.as_ref().filter(|a| a.status.is_some()));
        answered
            .filter(|answer| answer.at > from && answer.at < to)
            .count()
    };
    assert_eq!(
        served(8000 + 2100, 8000 + 12_000),
        0,
        "the longer of two overlapping outages applies"
    );
    assert!(
        served(8000 + 12_000, 8000 + 18_000) > 50,
        "it serves after the longer outage"
    );
    assert_eq!(
        served(8000 + 18_100, u64::MAX),
        0,
        "it serves nothing after its process was killed"
    );
    assert_eq!(report.verdict.violations, []);
}

fn config_change(version: u32, base: u32, at: u64, acked: Option<u64>) -> ConfigChange {
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

fn violated_rules(history: &History) -> Vec<&'static str> {
    check_history(history, &Bounds::default())
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn change_acknowledged_after_the_final_read_is_not_lost() {
    let (first, second) = (
        config_change(1, 0, 10, Some(20)),
        config_change(2, 1, 30, Some(60)),
    );
    let mut history = History {
        read_back: Some(first.body.clone()),
        read_at: 50,
        ..History::default()
    };
    history.configs = vec![first, second];
    assert_eq!(violated_rules(&history), [] as [&str; 0]);
    history.read_at = 61;
    assert_eq!(violated_rules(&history), ["LOST"]);
    history.read_back = None;
    assert_eq!(violated_rules(&history), ["LOST"]);
}

#[test]
fn a_repeat_may_be_rejected_only_after_another_change() {
    let mut first = config_change(1, 0, 10, Some(20));
    first.repeats = vec![(30, 40, 412)];
    let mut history = History {
        read_back: Some(first.body.clone()),
        read_at: 99,
        ..History::default()
    };
    history.configs = vec![first.clone()];
    assert_eq!(violated_rules(&history), ["CONFIG"]);
    let mut other = config_change(2, 1, 25, None); // no response: it may have been applied
    history.configs = vec![first.clone(), other.clone()];
    assert_eq!(violated_rules(&history), [] as [&str; 0]);
    (other.rejected_with, other.ended) = (Some(412), Some(28));
    history.configs = vec![first, other];
    assert_eq!(violated_rules(&history), ["CONFIG"]);
}

#[test]
fn operations_may_be_delayed_near_control_plane_faults_only() {
    let operation = |acked| Operation {
        what: OperationKind::Evacuate {
            zone: "z".into(),
            begin: true,
        },
        at: 1000,
        acked,
        ended: acked,
    };
    let mut history = History {
        operations: vec![operation(Some(6900))],
        end: 60_000,
        ..History::default()
    };
    assert_eq!(violated_rules(&history), [] as [&str; 0]);
    history.operations = vec![operation(Some(7100))];
    assert_eq!(violated_rules(&history), ["Acks"]);
    history.operations = vec![operation(None)];
    assert_eq!(violated_rules(&history), ["Acks"]);
    // The intervals between faults of the control cluster, less the recovery time after each, are too short for an operation.
    let fault = |from| InjectedFault {
        on: "core".into(),
        from,
        until: from + 500,
        description: "killed".into(),
        planned: false,
    };
    history.injected_faults = vec![fault(5000), fault(15_000)];
    history.operations = vec![operation(Some(25_400))];
    assert_eq!(violated_rules(&history), [] as [&str; 0]);
    history.operations = vec![operation(Some(25_600))];
    assert_eq!(violated_rules(&history), ["Acks"]);
}
