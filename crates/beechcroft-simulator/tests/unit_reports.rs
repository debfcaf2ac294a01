//! What units have reported is still known after every control node was killed at once: drains and deregistrations that
//! were acknowledged, also if as many disks are lost as the cluster tolerates, and warm-ups.

mod control_cluster;

use self::control_cluster::{simulate, ControlCluster, ControlNode};
use beechcroft_consensus::encoding;
use beechcroft_consensus::Records;
use beechcroft_control::state_owner::{ENDPOINTS_KEY, ENDPOINT_LOG_KEY};
use beechcroft_registry::{EndpointRecord, EndpointState};
use beechcroft_safeguards::{disable, Safeguard};
use beechcroft_simulator::cluster::history::ControlExchange;
use beechcroft_simulator::cluster::network::{Cut, PartitionKind};
use beechcroft_simulator::cluster::{self, Scenario};
use beechcroft_storage::RecordStore;
use std::collections::BTreeSet;
use std::fs;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Simulated time at which traffic starts, in milliseconds; second 0 of a scenario.
const TRAFFIC_START_MS: u64 = 8000;
/// Time for gossip and a checkpoint to spread and store what the nodes know.
const SETTLE: Duration = Duration::from_millis(1200);
/// Pause between two departures. The first one causes a checkpoint, so the second one falls between two checkpoints.
const BETWEEN_CHECKPOINTS: Duration = Duration::from_millis(150);
/// How long the nodes are down.
const DOWNTIME: Duration = Duration::from_millis(500);
/// How long a node is cut off for others not to hear of a unit from it. Quorum contact outlasts it.
const BRIEF_ISOLATION: Duration = Duration::from_millis(1500);
/// Units of each test; the last one's departure is the one that is checked.
const UNITS: [&str; 2] = ["i-0001", "i-0002"];

/// How a unit announces that it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    /// A heartbeat with the state `draining`.
    Drain,
    /// A deregistration without a drain before it.
    Deregistration,
}

impl Departure {
    /// State of the unit in the text of `show`.
    fn shown_state(self) -> &'static str {
        match self {
            Departure::Drain => "Draining",
            Departure::Deregistration => "Gone",
        }
    }
}

fn all_nodes(cluster: &ControlCluster) -> Vec<Rc<ControlNode>> {
    cluster.nodes.borrow().clone()
}

async fn send_heartbeat(
    cluster: &ControlCluster,
    node: &ControlNode,
    unit: &str,
    state: &str,
    sequence: u64,
    warmup_left_ms: u64,
) -> Option<u16> {
    let body = serde_json::json!({
        "address": "10.3.0.7:9000",
        "info": {"service": "boards", "version": "v1", "zone": "zone-0a", "capacity": 4},
        "status": {"state": state, "sequence": sequence, "warmupLeftMs": warmup_left_ms},
    })
    .to_string();
    let path = format!("/units/{unit}/heartbeat");
    let response = cluster.request(node, "POST", &path, body.as_bytes());
    response.await.map(|(status, _)| status)
}

async fn announce(
    cluster: &ControlCluster,
    node: &ControlNode,
    unit: &str,
    departure: Departure,
) -> Option<u16> {
    match departure {
        Departure::Drain => send_heartbeat(cluster, node, unit, "draining", 2, 0).await,
        Departure::Deregistration => {
            let path = format!("/units/{unit}/deregister");
            let response = cluster.request(node, "POST", &path, b"").await;
            response.map(|(status, _)| status)
        }
    }
}

/// Registers the units and lets every node learn and store that they are ready.
async fn register_units(cluster: &ControlCluster) {
    let node = all_nodes(cluster)[0].clone();
    for unit in UNITS {
        let status = send_heartbeat(cluster, &node, unit, "ready", 1, 0).await;
        assert_eq!(status, Some(200), "{unit}");
    }
    sleep(SETTLE).await;
}

/// Lets the units leave one after the other; returns once the last departure is acknowledged.
async fn acknowledge_departures(cluster: &ControlCluster, departure: Departure) {
    let node = all_nodes(cluster)[0].clone();
    for unit in UNITS {
        sleep(BETWEEN_CHECKPOINTS).await;
        let status = announce(cluster, &node, unit, departure).await;
        assert_eq!(status, Some(200), "{departure:?} of {unit}");
    }
}

/// Kills every node, empties the folders of some, and starts all again.
async fn kill_all(cluster: &ControlCluster, lost_disks: &[usize]) {
    let nodes = all_nodes(cluster);
    nodes.iter().for_each(|node| cluster.kill(node));
    for index in lost_disks {
        let folder = nodes[*index].folder.path();
        fs::remove_dir_all(folder).unwrap();
        fs::create_dir(folder).unwrap();
    }
    sleep(DOWNTIME).await;
    nodes.iter().for_each(|node| cluster.start(node, false));
    sleep(SETTLE).await;
}

/// Names of the nodes that do not show this of the last unit.
async fn nodes_that_do_not_show(cluster: &ControlCluster, expected: &str) -> Vec<String> {
    let unit = format!("unit {} ", UNITS[UNITS.len() - 1]);
    let mut forgetful = Vec::new();
    for node in all_nodes(cluster) {
        let text = cluster.show_state(&node).await;
        let line = text.lines().find(|line| line.starts_with(&unit));
        if !line.is_some_and(|line| line.contains(expected)) {
            forgetful.push(node.name.clone());
        }
    }
    forgetful
}

/// Names of the nodes that do not show the last unit in the state of its departure.
async fn nodes_that_forgot(cluster: &ControlCluster, departure: Departure) -> Vec<String> {
    nodes_that_do_not_show(cluster, departure.shown_state()).await
}

/// Nodes that have forgotten an acknowledged departure after all were killed and some disks were lost.
fn forgetful_nodes(
    count: usize,
    departure: Departure,
    lost_disks: &'static [usize],
) -> Vec<String> {
    simulate(count, 1, |cluster| async move {
        register_units(&cluster).await;
        acknowledge_departures(&cluster, departure).await;
        kill_all(&cluster, lost_disks).await;
        nodes_that_forgot(&cluster, departure).await
    })
}

// Guards against review/4: an acknowledged deregistration was in memory only, and a kill of all processes lost it.
#[test]
fn an_acknowledged_departure_is_known_after_all_nodes_were_killed() {
    let forgotten = || {
        let mut forgotten = Vec::new();
        for departure in [Departure::Drain, Departure::Deregistration] {
            for count in [1, 3, 5] {
                let forgetful = forgetful_nodes(count, departure, &[]);
                if !forgetful.is_empty() {
                    forgotten.push((departure, count, forgetful));
                }
            }
        }
        forgotten
    };
    assert_eq!(forgotten(), []);
    let _disabled = disable(Some(Safeguard::DepartureOnDisk));
    assert_eq!(
        forgotten().len(),
        6,
        "the absence of the safeguard is not detected"
    );
}

// Guards against a departure on fewer disks than survive the losses that the cluster tolerates.
#[test]
fn an_acknowledged_departure_outlives_the_loss_of_as_many_disks_as_are_tolerated() {
    let one_of_three: [&[usize]; 3] = [&[0], &[1], &[2]];
    let two_of_five: [&[usize]; 4] = [&[0, 1], &[0, 4], &[1, 2], &[3, 4]];
    let losses = one_of_three.map(|lost| (3, lost)).into_iter();
    for (count, lost) in losses.chain(two_of_five.map(|lost| (5, lost))) {
        let forgetful = forgetful_nodes(count, Departure::Deregistration, lost);
        assert_eq!(forgetful, [] as [&str; 0], "{count} nodes, lost {lost:?}");
    }
}

/// Cuts one node off from the others, for less time than quorum contact lasts.
fn isolate_briefly(cluster: &ControlCluster, isolated: &ControlNode) {
    let nodes = all_nodes(cluster);
    for other in nodes.iter().filter(|node| node.name != isolated.name) {
        cluster.network.state().begin(Cut {
            from: isolated.name.clone(),
            to: other.name.clone(),
            until: Instant::now() + BRIEF_ISOLATION,
            one_way: false,
            how: PartitionKind::Silent,
        });
    }
}

/// Lets a unit that only the first node knows deregister at the second one, and kills every node. Returns the status of
/// the deregistration, and the nodes that do not show the unit as gone.
fn deregister_where_unknown(lost_disks: &'static [usize]) -> (Option<u16>, Vec<String>) {
    simulate(3, 1, |cluster| async move {
        let nodes = all_nodes(&cluster);
        let [known, unknown] = UNITS;
        let status = send_heartbeat(&cluster, &nodes[0], known, "ready", 1, 0).await;
        assert_eq!(status, Some(200));
        sleep(SETTLE).await;
        isolate_briefly(&cluster, &nodes[0]);
        let status = send_heartbeat(&cluster, &nodes[0], unknown, "ready", 1, 0).await;
        assert_eq!(status, Some(200));
        let status = announce(&cluster, &nodes[1], known, Departure::Deregistration).await;
        assert_eq!(status, Some(200));
        sleep(BETWEEN_CHECKPOINTS).await;
        let shown = cluster.show_state(&nodes[1]).await;
        assert!(!shown.contains(unknown), "{shown}");
        let status = announce(&cluster, &nodes[1], unknown, Departure::Deregistration).await;
        kill_all(&cluster, lost_disks).await;
        let forgetful = nodes_that_forgot(&cluster, Departure::Deregistration).await;
        (status, forgetful)
    })
}

// Guards against a deregistration that is acknowledged but not stored because the node does not know the unit.
#[test]
fn a_deregistration_where_the_unit_is_unknown_outlives_a_kill_of_all_nodes() {
    for lost in [&[][..], &[0], &[1], &[2]] {
        let (status, forgetful) = deregister_where_unknown(lost);
        assert_eq!(status, Some(200), "lost {lost:?}");
        assert_eq!(forgetful, [] as [&str; 0], "lost {lost:?}");
    }
    let _disabled = disable(Some(Safeguard::DepartureOnDisk));
    let (_, forgetful) = deregister_where_unknown(&[]);
    assert_eq!(forgetful.len(), 3);
}

fn contains_endpoints(records: &Records) -> bool {
    let is_endpoints = |key: &str| [ENDPOINTS_KEY, ENDPOINT_LOG_KEY].contains(&key);
    records.iter().any(|(key, _)| is_endpoints(key))
}

/// Status of a deregistration at the first node while the disks of the given nodes reject writes of endpoints.
fn status_with_failing_disks(failing: &'static [usize]) -> Option<u16> {
    simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        let nodes = all_nodes(&cluster);
        for index in failing {
            nodes[*index].disk.rejects_write.set(contains_endpoints);
        }
        announce(&cluster, &nodes[0], UNITS[1], Departure::Deregistration).await
    })
}

// Guards against an acknowledgement that counts a node whose disk has failed.
#[test]
fn a_departure_is_acknowledged_only_if_a_majority_of_disks_stores_it() {
    for failing in [&[][..], &[0], &[1], &[2]] {
        assert_eq!(status_with_failing_disks(failing), Some(200), "{failing:?}");
    }
    for failing in [&[0, 1][..], &[0, 2], &[1, 2], &[0, 1, 2]] {
        assert_eq!(status_with_failing_disks(failing), Some(504), "{failing:?}");
    }
    let _disabled = disable(Some(Safeguard::DepartureOnDisk));
    assert_eq!(status_with_failing_disks(&[0, 1, 2]), Some(200));
}

/// State of the last unit in the registry on a node's disk.
fn state_on_disk(node: &ControlNode) -> Option<EndpointState> {
    let (table, _) = RecordStore::peek(node.folder.path());
    let endpoints: Vec<EndpointRecord> = encoding::decode(table.get(ENDPOINTS_KEY)?).ok()?;
    let unit = UNITS[UNITS.len() - 1];
    let endpoint = endpoints.iter().find(|endpoint| endpoint.id == unit)?;
    Some(endpoint.state)
}

// Guards against a checkpoint that was lost to a failed write and not written again before the next change.
#[test]
fn a_checkpoint_that_could_not_be_written_is_written_again() {
    simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        let nodes = all_nodes(&cluster);
        nodes[2].disk.rejects_write.set(contains_endpoints);
        acknowledge_departures(&cluster, Departure::Deregistration).await;
        sleep(SETTLE).await;
        assert_eq!(state_on_disk(&nodes[2]), Some(EndpointState::Ready));
        nodes[2].disk.rejects_write.set(|_| false);
        sleep(SETTLE).await;
        assert_eq!(state_on_disk(&nodes[2]), Some(EndpointState::Gone));
    });
}

// Guards against a departure that a checkpoint drops from the departures on disk before it contains it itself.
#[test]
fn departures_beside_checkpoints_are_known_after_all_nodes_were_killed() {
    for pause_ms in [0, 3, 20, 40, 60, 250, 480, 500, 520, 560] {
        let missing = simulate(3, 1, |cluster| async move {
            register_units(&cluster).await;
            for node in all_nodes(&cluster) {
                node.disk.sync_ms.set(30);
            }
            let node = all_nodes(&cluster)[0].clone();
            for unit in UNITS {
                let status = announce(&cluster, &node, unit, Departure::Deregistration).await;
                assert_eq!(status, Some(200));
                sleep(Duration::from_millis(pause_ms)).await;
            }
            kill_all(&cluster, &[]).await;
            nodes_that_forgot(&cluster, Departure::Deregistration).await
        });
        assert_eq!(missing, [] as [&str; 0], "{pause_ms} ms between");
    }
}

/// Duration of a disk sync during which a checkpoint is still being written when a departure is acknowledged, in
/// milliseconds.
const SLOW_SYNC_MS: u64 = 100;

// Guards against a departure that is on disk only in the endpoint log of an earlier process, and is lost when the next
// process writes its own.
#[test]
fn a_departure_of_an_earlier_process_outlives_the_next_departure_and_a_second_kill() {
    let forgetful = simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        acknowledge_departures(&cluster, Departure::Deregistration).await;
        let nodes = all_nodes(&cluster);
        kill_all(&cluster, &[]).await;
        for node in &nodes {
            node.disk.sync_ms.set(SLOW_SYNC_MS);
        }
        let status = announce(&cluster, &nodes[0], "i-0003", Departure::Deregistration).await;
        assert_eq!(status, Some(200));
        kill_all(&cluster, &[]).await;
        nodes_that_forgot(&cluster, Departure::Deregistration).await
    });
    assert_eq!(forgetful, [] as [&str; 0]);
}

/// Endpoints in the endpoint log on a node's disk.
fn logged_endpoints(node: &ControlNode) -> Vec<EndpointRecord> {
    let (table, _) = RecordStore::peek(node.folder.path());
    let record = table.get(ENDPOINT_LOG_KEY);
    record.map_or(Vec::new(), |bytes| encoding::decode(bytes).unwrap())
}

// Guards against a record that stays in the endpoint log on disk after the registry has expired the endpoint: a restart
// would bring the endpoint back in the state of that record, as if it had just sent a heartbeat.
#[test]
fn the_endpoint_log_on_disk_holds_only_what_no_checkpoint_contains() {
    simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        let nodes = all_nodes(&cluster);
        let status = send_heartbeat(&cluster, &nodes[0], UNITS[1], "ready", 2, 10_000).await;
        assert_eq!(status, Some(200));
        sleep(SETTLE).await;
        for node in &nodes {
            assert_eq!(logged_endpoints(node), [], "{}", node.name);
        }
        acknowledge_departures(&cluster, Departure::Deregistration).await;
        kill_all(&cluster, &[]).await;
        for node in &nodes {
            assert_eq!(logged_endpoints(node), [], "{}", node.name);
            assert_eq!(state_on_disk(node), Some(EndpointState::Gone));
        }
    });
}

/// Whether these records empty the endpoint log.
fn empties_endpoint_log(records: &Records) -> bool {
    let is_empty = |bytes: &[u8]| {
        encoding::decode::<Vec<EndpointRecord>>(bytes).is_ok_and(|logged| logged.is_empty())
    };
    let mut records = records.iter();
    records.any(|(key, bytes)| key == ENDPOINT_LOG_KEY && is_empty(bytes))
}

// Guards against a record that stays in the endpoint log on disk because the write that drops it failed once.
#[test]
fn the_endpoint_log_is_emptied_once_a_disk_that_rejected_it_recovers() {
    simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        let nodes = all_nodes(&cluster);
        nodes[2].disk.rejects_write.set(empties_endpoint_log);
        acknowledge_departures(&cluster, Departure::Deregistration).await;
        sleep(SETTLE).await;
        assert_ne!(logged_endpoints(&nodes[2]), []);
        nodes[2].disk.rejects_write.set(|_| false);
        sleep(SETTLE).await;
        assert_eq!(logged_endpoints(&nodes[2]), []);
    });
}

/// Rules that are violated on a day on which all processes are killed right after a unit has deregistered.
fn violated_rules(seed: u64, disabled_safeguard: Option<Safeguard>) -> Vec<&'static str> {
    let day = include_str!("../../../examples/days/end-after-a-deregistration.toml");
    let mut scenario = Scenario::read(day).unwrap();
    (scenario.seed, scenario.disabled_safeguard) = (seed, disabled_safeguard);
    let report = cluster::simulate(&scenario);
    let violations = report.verdict.violations.into_iter();
    violations.map(|violation| violation.rule).collect()
}

// Guards against review/4 as clients see it: requests to a unit that was acknowledged as gone before the kill.
#[test]
fn a_deregistered_unit_that_serves_on_gets_no_request_after_all_processes_were_killed() {
    let seeds = 1..=4;
    for seed in seeds.clone() {
        assert_eq!(violated_rules(seed, None), [] as [&str; 0], "seed {seed}");
    }
    let mut broken = seeds.map(|seed| violated_rules(seed, Some(Safeguard::DepartureOnDisk)));
    assert!(
        broken.any(|rules| rules == ["DRAIN"]),
        "the absence of the safeguard is not detected"
    );
}

/// Time for gossip and a write of the other nodes, less than the interval between checkpoints.
const SPREAD: Duration = Duration::from_millis(200);

/// Nodes that have forgotten that a unit warms up, after it turned cold again and all nodes were killed.
fn nodes_that_forgot_a_warmup() -> Vec<String> {
    simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        let node = all_nodes(&cluster)[0].clone();
        let status = send_heartbeat(&cluster, &node, UNITS[1], "ready", 2, 10_000).await;
        assert_eq!(status, Some(200));
        sleep(SPREAD).await;
        kill_all(&cluster, &[]).await;
        nodes_that_do_not_show(&cluster, "warms up").await
    })
}

// Guards against the cause of review/4 on a related path: the warm-up of a unit that turned cold again was in memory only,
// so that proxies sent it more than it bears after a kill of all processes.
#[test]
fn a_reported_warmup_is_known_after_all_nodes_were_killed() {
    assert_eq!(nodes_that_forgot_a_warmup(), [] as [&str; 0]);
    let _disabled = disable(Some(Safeguard::WarmupOnDisk));
    assert_eq!(nodes_that_forgot_a_warmup().len(), 3);
}

/// Bytes that each node has written to its disk.
fn written_bytes(cluster: &ControlCluster) -> Vec<u64> {
    let nodes = all_nodes(cluster);
    nodes.iter().map(|node| node.disk.written.get()).collect()
}

// Guards against a write of the registry on every node for each heartbeat of a unit that warms up.
#[test]
fn later_heartbeats_of_a_stored_warmup_are_not_written() {
    simulate(3, 1, |cluster| async move {
        register_units(&cluster).await;
        let node = all_nodes(&cluster)[0].clone();
        let before = written_bytes(&cluster);
        let status = send_heartbeat(&cluster, &node, UNITS[1], "ready", 2, 10_000).await;
        assert_eq!(status, Some(200));
        sleep(SETTLE).await;
        let stored = written_bytes(&cluster);
        let is_written = |(before, after): (&u64, &u64)| before < after;
        assert!(before.iter().zip(&stored).all(is_written), "{stored:?}");
        // The fourth heartbeat is disseminated to the other nodes whatever it reports.
        for sequence in 3..=8 {
            sleep(Duration::from_millis(500)).await;
            let left = 10_000 - 1200 - 500 * (sequence - 2);
            let status = send_heartbeat(&cluster, &node, UNITS[1], "ready", sequence, left).await;
            assert_eq!(status, Some(200));
        }
        sleep(SETTLE).await;
        assert_eq!(written_bytes(&cluster), stored);
    });
}

/// A day on which three units turn cold again and all processes are killed a second later. Returns whether all three had
/// reported it before the kill, and the rules that were violated.
fn cold_units_before_a_kill(
    seed: u64,
    disabled_safeguard: Option<Safeguard>,
) -> (bool, Vec<&'static str>) {
    let day = include_str!("../../../examples/days/kill-of-all-as-units-turn-cold.toml");
    let mut scenario = Scenario::read(day).unwrap();
    (scenario.seed, scenario.disabled_safeguard) = (seed, disabled_safeguard);
    let report = cluster::simulate(&scenario);
    let cold_from = TRAFFIC_START_MS + 6000;
    let is_report = |exchange: &&ControlExchange| {
        let is_in_time = (cold_from..cold_from + 900).contains(&exchange.at);
        is_in_time && exchange.request.ends_with("/heartbeat") && exchange.status == Some(200)
    };
    let reports = report.history.control_exchanges.iter().filter(is_report);
    let reported: BTreeSet<&str> = reports
        .map(|exchange| exchange.request.as_str())
        .filter(|request| {
            ["i-00001", "i-00002", "i-00003"]
                .iter()
                .any(|id| request.contains(id))
        })
        .collect();
    let violations = report.verdict.violations.into_iter();
    (
        reported.len() == 3,
        violations.map(|violation| violation.rule).collect(),
    )
}

// Guards against the same as clients see it. Units whose heartbeat did not report it in time are left to issue 49.
#[test]
fn units_that_have_reported_a_warmup_are_not_overloaded_after_all_processes_were_killed() {
    let (mut reported, mut detected) = (0, 0);
    for seed in 1..=12 {
        let (has_reported, violated) = cold_units_before_a_kill(seed, None);
        if has_reported {
            assert_eq!(violated, [] as [&str; 0], "seed {seed}");
            let (_, violated) = cold_units_before_a_kill(seed, Some(Safeguard::WarmupOnDisk));
            (reported, detected) = (
                reported + 1,
                detected + usize::from(violated == ["FAILBACK"]),
            );
        }
    }
    assert!(
        reported >= 3,
        "the units have reported it for {reported} seeds only"
    );
    assert!(
        detected >= 1,
        "the absence of the safeguard is not detected"
    );
}
