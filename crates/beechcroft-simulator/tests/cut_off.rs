//! A control node is partitioned from the others for 20 s, silently, in one direction, or with connections reset or refused,
//! while configuration changes, operations, drains and a rollout continue and proxies start. The responses that it gives
//! during the partition must not contradict what the majority decides.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::history::ControlExchange;
use beechcroft_simulator::cluster::network::PartitionKind;
use beechcroft_simulator::cluster::scenario::{Event, EventKind};
use beechcroft_simulator::cluster::{simulate, Report, Scenario};

/// Simulated time in milliseconds at which traffic starts; second 0 of a scenario.
const TRAFFIC_START_MS: u64 = 8000;
/// Start of the partition, in seconds after the start of traffic.
const PARTITION_START_S: f64 = 2.0;
/// Duration of the partition in seconds.
const PARTITION_DURATION_S: f64 = 20.0;
/// Milliseconds after which quorum contact has lapsed, including the age of the last ping and one tick.
const CONTACT_LAPSE_MS: u64 = 2700;

fn partition(from: &str, to: &str, one_way: bool) -> Event {
    partition_of_kind(from, to, one_way, PartitionKind::Silent)
}

fn partition_of_kind(from: &str, to: &str, one_way: bool, kind: PartitionKind) -> Event {
    let event = EventKind::Partition {
        from: from.into(),
        to: to.into(),
        for_s: PARTITION_DURATION_S,
        one_way,
        how: kind,
    };
    Event {
        at: PARTITION_START_S,
        kind: event,
    }
}

fn at(at: f64, kind: EventKind) -> Event {
    Event { at, kind }
}

fn scenario(partitions: Vec<Event>, more: Vec<Event>) -> Scenario {
    let mut scenario =
        Scenario::read("name = \"cut-off\"\nedges = 6\nrate = 20.0\nseconds = 26.0").unwrap();
    scenario.event = partitions.into_iter().chain(more).collect();
    scenario
}

/// Configuration changes, operations and drains from the start of the partition to its end.
fn control_load() -> Vec<Event> {
    let mut events = Vec::new();
    for nth in 0..6 {
        events.push(at(
            PARTITION_START_S + 0.2 + 3.0 * f64::from(nth),
            EventKind::Config {
                routes: 1,
                drop: nth % 2 == 1,
            },
        ));
        let service = ["boards", "ledger", "archive"][nth as usize % 3].to_owned();
        events.push(at(
            PARTITION_START_S + 0.3 + 3.0 * f64::from(nth),
            EventKind::DrainUnits {
                service: service.clone(),
                count: 2,
            },
        ));
        events.push(at(
            PARTITION_START_S + 0.6 + 3.0 * f64::from(nth),
            EventKind::AddUnits { service, count: 2 },
        ));
        events.push(at(
            PARTITION_START_S + 1.7 + 3.0 * f64::from(nth),
            EventKind::InvalidConfig,
        ));
    }
    let evacuate = EventKind::Evacuate {
        zone: "zone-0b".into(),
        for_s: 9.0,
    };
    events.push(at(PARTITION_START_S + 1.0, evacuate));
    let rollout = EventKind::Rollout {
        service: "ledger".into(),
        failure_rate: 0.0,
        slowdown: 1.0,
        ramp_s: 6.0,
    };
    events.push(at(PARTITION_START_S + 5.0, rollout));
    events
}

/// Partitions one control node from all others, in the given directions. Endpoints, proxies and operators still reach it.
fn isolate(node: &str, outbound: bool, inbound: bool) -> Vec<Event> {
    match (outbound, inbound) {
        (true, true) => vec![partition(node, "core", false)],
        (true, false) => vec![partition(node, "core", true)],
        _ => vec![partition("core", node, true)],
    }
}

/// A control node's exchanges that began at least `after_ms` into the partition and ended before the partition did.
fn exchanges<'a>(
    report: &'a Report,
    node: &'a str,
    after_ms: u64,
) -> impl Iterator<Item = &'a ControlExchange> {
    let from = TRAFFIC_START_MS + (PARTITION_START_S * 1000.0) as u64;
    let until = from + (PARTITION_DURATION_S * 1000.0) as u64;
    let is_during =
        move |exchange: &&ControlExchange| exchange.at >= from + after_ms && exchange.until < until;
    report
        .history
        .control_exchanges
        .iter()
        .filter(is_during)
        .filter(move |exchange| exchange.control_node == node)
}

fn is_drain(exchange: &ControlExchange) -> bool {
    exchange.request.ends_with(" draining") || exchange.request.ends_with("/deregister")
}

fn is_operation(exchange: &ControlExchange) -> bool {
    let paths = ["/config/replace", "/rollouts/begin", "/begin", "/finish"];
    exchange.request.starts_with("POST") && paths.iter().any(|end| exchange.request.ends_with(end))
}

/// Responses that a partitioned control node must not give, each with the reason; empty if there are none. With
/// `reachable`, callers reach the node, so that it must also reject requests at once.
fn invalid_responses(report: &Report, node: &str, reachable: bool) -> Vec<String> {
    let describe = |reason: &str, exchange: &ControlExchange| format!("{reason}: {exchange:?}");
    let mut found = Vec::new();
    // From the start of the partition, no operation may be confirmed or rejected for its version: no other node knows of it.
    for exchange in exchanges(report, node, 100) {
        // An invalid configuration is rejected by its content alone, with 400.
        if is_operation(exchange) && matches!(exchange.status, Some(200..=299 | 401..=499)) {
            found.push(describe("operation decided", exchange));
        }
        if is_drain(exchange) && exchange.status == Some(200) {
            found.push(describe("drain confirmed", exchange));
        }
        if exchange.request.starts_with("GET /config") && exchange.status == Some(200) {
            found.push(describe("configuration read", exchange));
        }
    }
    for exchange in exchanges(report, node, CONTACT_LAPSE_MS) {
        if exchange.request.contains("/heartbeat") && exchange.status == Some(200) {
            found.push(describe("heartbeat confirmed", exchange));
        }
        let rejected =
            matches!(exchange.status, Some(503 | 400)) && exchange.until <= exchange.at + 200;
        if exchange.request.starts_with("POST")
            && exchange.status != Some(200)
            && !rejected
            && reachable
        {
            found.push(describe("not rejected within 200 ms", exchange));
        }
    }
    found
}

fn assert_valid(report: &Report) {
    assert_eq!(report.verdict.violations, []);
    assert_eq!(report.unacknowledged, [] as [String; 0]);
    assert_eq!(report.verdict.missed_rollouts, [] as [String; 0]);
}

/// Checks that a partitioned control node decides nothing while the majority continues to make decisions.
fn check_decides_nothing(node: &str, partitions: Vec<Event>) {
    let report = simulate(&scenario(partitions, control_load()));
    assert_valid(&report);
    assert_eq!(
        invalid_responses(&report, node, true),
        [] as [String; 0],
        "{node}"
    );
    // It received requests, and the majority decided.
    let count = |kind: fn(&ControlExchange) -> bool| {
        exchanges(&report, node, 0)
            .filter(|exchange| kind(exchange))
            .count()
    };
    assert!(
        count(is_operation) >= 1 && count(is_drain) >= 1,
        "{node} received no operation or no drain"
    );
    assert_eq!(
        report
            .history
            .configs
            .iter()
            .filter(|config| config.acked.is_some())
            .count(),
        7
    );
    assert!(
        report
            .history
            .units
            .values()
            .filter(|life| life.drain_acked.is_some())
            .count()
            >= 12
    );
}

#[test]
fn a_silently_or_one_way_partitioned_control_node_decides_nothing() {
    std::thread::scope(|scope| {
        scope.spawn(|| check_decides_nothing("core-0", isolate("core-0", true, true)));
        scope.spawn(|| check_decides_nothing("core-1", isolate("core-1", true, false)));
        scope.spawn(|| check_decides_nothing("core-2", isolate("core-2", false, true)));
    });
}

#[test]
fn a_control_node_whose_connections_are_reset_or_refused_decides_nothing() {
    std::thread::scope(|scope| {
        scope.spawn(|| {
            check_decides_nothing(
                "core-0",
                vec![partition_of_kind(
                    "core-0",
                    "core",
                    false,
                    PartitionKind::Reset,
                )],
            )
        });
        scope.spawn(|| {
            check_decides_nothing(
                "core-1",
                vec![partition_of_kind(
                    "core-1",
                    "core",
                    false,
                    PartitionKind::Refused,
                )],
            )
        });
    });
}

/// Checks that, with a safeguard disabled, a partitioned control node gives an invalid response of the given kind.
fn check_detected(safeguard: Safeguard, expected: &str) {
    let is_detected = |node: &str| {
        // Many endpoints drain as the partition begins, before the control node has detected it.
        let drain = at(
            PARTITION_START_S + 0.1,
            EventKind::DrainUnits {
                service: "boards".into(),
                count: 6,
            },
        );
        let events = control_load().into_iter().chain([drain]).collect();
        let mut scenario = scenario(isolate(node, true, true), events);
        scenario.disabled_safeguard = Some(safeguard);
        let found = invalid_responses(&simulate(&scenario), node, true);
        found.iter().any(|response| response.starts_with(expected))
    };
    assert!(
        ["core-0", "core-1"].into_iter().any(is_detected),
        "the absence of {safeguard:?} is not detected"
    );
}

#[test]
fn without_quorum_contact_a_partitioned_control_node_confirms_heartbeats() {
    check_detected(Safeguard::QuorumContactToServe, "heartbeat confirmed");
}

#[test]
fn without_a_majority_check_a_drain_unknown_to_others_is_confirmed() {
    check_detected(Safeguard::DrainOnMajority, "drain confirmed");
}

#[test]
fn without_a_majority_check_a_repeated_drain_unknown_to_others_is_confirmed() {
    check_detected(Safeguard::RepeatedDrainOnMajority, "drain confirmed");
}

#[test]
fn without_two_way_contact_a_node_whose_messages_are_lost_confirms_heartbeats() {
    // Its messages are lost, but it receives those of the others.
    let mut scenario = scenario(isolate("core-1", true, false), control_load());
    scenario.disabled_safeguard = Some(Safeguard::TwoWayContact);
    let found = invalid_responses(&simulate(&scenario), "core-1", true);
    assert!(
        found
            .iter()
            .any(|response| response.starts_with("heartbeat confirmed")),
        "{found:?}"
    );
}

/// A control node is partitioned from the other control nodes and from all proxies; clients and endpoints reach it.
fn isolated_from_proxies() -> Scenario {
    let partitions = vec![
        partition("core-0", "core", false),
        partition("core-0", "edge", false),
    ];
    scenario(partitions, control_load())
}

/// Number of resolve requests to core-0 that were answered with 200.
fn successful_resolves(report: &Report, after_ms: u64) -> usize {
    let successful = |exchange: &&ControlExchange| {
        exchange.request.starts_with("GET /resolve") && exchange.status == Some(200)
    };
    exchanges(report, "core-0", after_ms)
        .filter(successful)
        .count()
}

#[test]
fn a_control_node_without_peers_resolves_no_client_request() {
    let report = simulate(&isolated_from_proxies());
    assert_valid(&report);
    assert_eq!(successful_resolves(&report, CONTACT_LAPSE_MS), 0);
    let resolves = exchanges(&report, "core-0", CONTACT_LAPSE_MS)
        .filter(|exchange| exchange.request.starts_with("GET /resolve"));
    assert!(resolves.count() > 0, "core-0 received no resolve request");
    let report = simulate(&Scenario {
        disabled_safeguard: Some(Safeguard::PeersHeardBeforeResolve),
        ..isolated_from_proxies()
    });
    assert!(
        successful_resolves(&report, CONTACT_LAPSE_MS) > 0,
        "the absence of the safeguard is not detected"
    );
}

/// A proxy starts while the control node that it reaches first is partitioned from the others and has missed a change that
/// moves a route to another service. Returns how many of the proxy's requests on that route executed at the new service and
/// how many elsewhere.
fn requests_after_start(disabled_safeguard: Option<Safeguard>) -> (usize, usize) {
    // Other regions are distant enough that the copy of the near control node arrives first by a second.
    let mut partitions = vec![partition("core-2", "core", false)];
    partitions.extend(
        (0..5)
            .filter(|at| *at != 2)
            .map(|at| partition("core-2", &format!("edge-{at}"), false)),
    );
    let events = vec![
        at(
            PARTITION_START_S + 0.1,
            EventKind::Kill {
                on: "edge-2".into(),
                down_s: 3.5,
            },
        ),
        at(
            PARTITION_START_S + 0.2,
            EventKind::Config {
                routes: 1,
                drop: false,
            },
        ),
    ];
    let mut scenario = scenario(partitions, events);
    // With five proxies, edge-2 is the only one of its region.
    scenario.edges = 5;
    (
        scenario.region_ms,
        scenario.rate,
        scenario.measure_readiness,
    ) = (120, 300.0, true);
    scenario.disabled_safeguard = disabled_safeguard;
    let report = simulate(&scenario);
    let config = report.history.configs.last().expect("the change was sent");
    let acked = config.acked.expect("the majority accepts the change");
    let started = TRAFFIC_START_MS + (PARTITION_START_S * 1000.0) as u64 + 3600;
    assert!(
        acked < started,
        "the change was acknowledged only after the proxy started"
    );
    let ready = report
        .history
        .ready
        .iter()
        .find(|(edge, from, _)| edge == "edge-2" && *from >= started);
    assert!(
        ready.is_some_and(|(_, from, at)| *at < from + 4000),
        "not ready from a confirmed copy within 4 s: {ready:?}"
    );
    let moved = config.routes["moved"].services[0].clone();
    let on_moved_route = |request: &&beechcroft_simulator::cluster::history::EndpointRequest| {
        request.was_executed
            && request.edge == "edge-2"
            && request.at >= started
            && request.path.starts_with("/moved/")
    };
    let at_new_service = |request: &&beechcroft_simulator::cluster::history::EndpointRequest| {
        report
            .history
            .units
            .get(&request.unit)
            .is_some_and(|unit| unit.service == moved)
    };
    let (new, old): (Vec<_>, Vec<_>) = report
        .history
        .endpoint_requests
        .iter()
        .filter(on_moved_route)
        .partition(at_new_service);
    (new.len(), old.len())
}

#[test]
fn a_proxy_near_a_partitioned_control_node_starts_with_the_majority_configuration() {
    let (new, old) = requests_after_start(None);
    assert!(new > 10, "{new}");
    assert_eq!(
        old, 0,
        "requests routed by a configuration that was replaced before the proxy started"
    );
    let (_, old) = requests_after_start(Some(Safeguard::ConfirmedStart));
    assert!(old > 0, "the absence of the safeguard is not detected");
}

#[test]
fn a_partitioned_region_keeps_serving_and_a_proxy_that_starts_there_becomes_ready() {
    let events = vec![
        at(
            PARTITION_START_S + 4.0,
            EventKind::Kill {
                on: "edge-0".into(),
                down_s: 1.0,
            },
        ),
        at(
            PARTITION_START_S + 1.0,
            EventKind::Config {
                routes: 1,
                drop: false,
            },
        ),
    ];
    let mut scenario = scenario(vec![partition("region-0", "*", false)], events);
    scenario.measure_readiness = true;
    let report = simulate(&scenario);
    assert_eq!(report.verdict.violations, []);
    assert_eq!(
        invalid_responses(&report, "core-0", false),
        [] as [String; 0]
    );
    let started = TRAFFIC_START_MS + (PARTITION_START_S * 1000.0) as u64 + 5000;
    let ready = report
        .history
        .ready
        .iter()
        .find(|(edge, from, _)| edge == "edge-0" && *from >= started);
    let (_, from, at) =
        ready.expect("the proxy becomes ready although no majority can confirm its configuration");
    assert!((4000..6000).contains(&(at - from)), "{} ms", at - from);
}

/// Milliseconds until proxies are ready in a run without partitions, as (fourth of six, slowest): at the first start, and after
/// a SIGTERM.
fn readiness_ms(disabled_safeguard: Option<Safeguard>) -> [(u64, u64); 2] {
    let restarts = (0..6).map(|nth| {
        at(
            1.0 + 3.0 * f64::from(nth),
            EventKind::Restart {
                on: format!("edge-{nth}"),
            },
        )
    });
    let drains = at(
        20.0,
        EventKind::DrainUnits {
            service: "boards".into(),
            count: 6,
        },
    );
    let mut scenario = scenario(Vec::new(), restarts.chain([drains]).collect());
    (scenario.measure_readiness, scenario.disabled_safeguard) = (true, disabled_safeguard);
    let report = simulate(&scenario);
    assert_eq!(report.verdict.violations, []);
    let drained = |exchange: &&ControlExchange| {
        exchange.request.ends_with(" draining") && exchange.status == Some(200)
    };
    let drained: Vec<u64> = report
        .history
        .control_exchanges
        .iter()
        .filter(drained)
        .map(|exchange| exchange.until - exchange.at)
        .collect();
    println!("{disabled_safeguard:?}: drains acknowledged after {drained:?} ms");
    [true, false].map(|first| {
        let took = report
            .history
            .ready
            .iter()
            .filter(|(_, from, _)| (*from == 0) == first);
        let mut took: Vec<u64> = took.map(|(_, from, at)| at - from).collect();
        took.sort_unstable();
        println!("{disabled_safeguard:?}: first start {first}: {took:?} ms");
        assert_eq!(took.len(), 6);
        (took[3], took[5])
    })
}

#[test]
fn majority_confirmation_delays_a_proxy_start_by_at_most_four_round_trips() {
    // Four round trips of 40 ms: connecting to a control node of another region, the request, and the two phases of its consensus
    // round. The first start takes longer than that to get its configuration.
    let ([first, restart], [first_unconfirmed, restart_unconfirmed]) = (
        readiness_ms(None),
        readiness_ms(Some(Safeguard::ConfirmedStart)),
    );
    assert_eq!(first, first_unconfirmed);
    assert!(
        restart.1 <= restart_unconfirmed.1 + 4 * 40,
        "{restart:?} ms, {restart_unconfirmed:?} ms without confirmation"
    );
}
