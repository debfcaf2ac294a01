//! A control node is cut off from the rest of the core for twenty seconds, silently or one way, while changes, orders, drains and
//! a rollout go on and proxies start. What it answers in that time is held against what the majority did.

use beechcroft_safeguards::Safeguard;
use beechcroft_simulator::cluster::history::ControlExchange;
use beechcroft_simulator::cluster::network::PartitionKind;
use beechcroft_simulator::cluster::scenario::{Event, EventKind};
use beechcroft_simulator::cluster::{simulate, Report, Scenario};

/// The world's traffic, and so a scenario's second 0, begins at this time.
const START_MS: u64 = 8000;
const CUT_S: f64 = 2.0;
const FOR_S: f64 = 20.0;
/// Contact is lost by then, the last ping's age and a tick included.
const LAPSE_MS: u64 = 2700;

fn cut(from: &str, to: &str, one_way: bool) -> Event {
    cut_so(from, to, one_way, PartitionKind::Silent)
}

fn cut_so(from: &str, to: &str, one_way: bool, how: PartitionKind) -> Event {
    let what = EventKind::Partition {
        from: from.into(),
        to: to.into(),
        for_s: FOR_S,
        one_way,
        how,
    };
    Event {
        at: CUT_S,
        kind: what,
    }
}

fn at(at: f64, what: EventKind) -> Event {
    Event { at, kind: what }
}

fn scenario(cuts: Vec<Event>, more: Vec<Event>) -> Scenario {
    let mut scenario =
        Scenario::read("name = \"cut-off\"\nedges = 6\nrate = 20.0\nseconds = 26.0").unwrap();
    scenario.event = cuts.into_iter().chain(more).collect();
    scenario
}

/// Changes, orders and drains from the cut's first moment to its end.
fn busy() -> Vec<Event> {
    let mut events = Vec::new();
    for nth in 0..6 {
        events.push(at(
            CUT_S + 0.2 + 3.0 * f64::from(nth),
            EventKind::Config {
                routes: 1,
                drop: nth % 2 == 1,
            },
        ));
        let service = ["boards", "ledger", "archive"][nth as usize % 3].to_owned();
        events.push(at(
            CUT_S + 0.3 + 3.0 * f64::from(nth),
            EventKind::DrainUnits {
                service: service.clone(),
                count: 2,
            },
        ));
        events.push(at(
            CUT_S + 0.6 + 3.0 * f64::from(nth),
            EventKind::AddUnits { service, count: 2 },
        ));
        events.push(at(
            CUT_S + 1.7 + 3.0 * f64::from(nth),
            EventKind::InvalidConfig,
        ));
    }
    let evacuate = EventKind::Evacuate {
        zone: "zone-0b".into(),
        for_s: 9.0,
    };
    events.push(at(CUT_S + 1.0, evacuate));
    let rollout = EventKind::Rollout {
        service: "ledger".into(),
        failure_rate: 0.0,
        slowdown: 1.0,
        ramp_s: 6.0,
    };
    events.push(at(CUT_S + 5.0, rollout));
    events
}

/// The cut of one control node from all others of the core; units, edges and the operator still reach it.
fn from_the_core(node: &str, out: bool, back: bool) -> Vec<Event> {
    match (out, back) {
        (true, true) => vec![cut(node, "core", false)],
        (true, false) => vec![cut(node, "core", true)],
        _ => vec![cut("core", node, true)],
    }
}

/// What a control node said to asks that came after this long into the cut, until it ended.
fn said<'a>(
    report: &'a Report,
    node: &'a str,
    after_ms: u64,
) -> impl Iterator<Item = &'a ControlExchange> {
    let from = START_MS + (CUT_S * 1000.0) as u64;
    let until = from + (FOR_S * 1000.0) as u64;
    let inside = move |said: &&ControlExchange| said.at >= from + after_ms && said.until < until;
    report
        .history
        .control_exchanges
        .iter()
        .filter(inside)
        .filter(move |said| said.control_node == node)
}

fn drains(said: &ControlExchange) -> bool {
    said.request.ends_with(" draining") || said.request.ends_with("/deregister")
}

fn orders(said: &ControlExchange) -> bool {
    let order = ["/config/replace", "/rollouts/begin", "/begin", "/finish"];
    said.request.starts_with("POST") && order.iter().any(|end| said.request.ends_with(end))
}

/// What a control node that is cut off must not have said; empty if it kept to it.
fn falsehoods(report: &Report, node: &str, reachable: bool) -> Vec<String> {
    let tell = |why: &str, said: &ControlExchange| format!("{why}: {said:?}");
    let mut found = Vec::new();
    // Confirmed, or refused as another version, from the cut's first moment on: nobody else knows of it.
    for said in said(report, node, 100) {
        // What cannot be read as a configuration is refused by its text alone, with 400.
        if orders(said) && matches!(said.status, Some(200..=299 | 401..=499)) {
            found.push(tell("an order is decided", said));
        }
        if drains(said) && said.status == Some(200) {
            found.push(tell("a drain is confirmed", said));
        }
        if said.request.starts_with("GET /config") && said.status == Some(200) {
            found.push(tell("a configuration is read", said));
        }
    }
    for said in said(report, node, LAPSE_MS) {
        if said.request.contains("/heartbeat") && said.status == Some(200) {
            found.push(tell("a beat is confirmed", said));
        }
        let refused = matches!(said.status, Some(503 | 400)) && said.until <= said.at + 200;
        if said.request.starts_with("POST") && said.status != Some(200) && !refused && reachable {
            found.push(tell("not refused at once", said));
        }
    }
    found
}

fn sound(report: &Report) {
    assert_eq!(report.verdict.violations, []);
    assert_eq!(report.unacknowledged, [] as [String; 0]);
    assert_eq!(report.verdict.missed_rollouts, [] as [String; 0]);
}

/// One control node is cut off so; what it said and what the others did.
fn decides_nothing(node: &str, cuts: Vec<Event>) {
    let report = simulate(&scenario(cuts, busy()));
    sound(&report);
    assert_eq!(falsehoods(&report, node, true), [] as [String; 0], "{node}");
    // It was asked, and the majority decided.
    let asked = |kind: fn(&ControlExchange) -> bool| {
        said(&report, node, 0).filter(|said| kind(said)).count()
    };
    assert!(
        asked(orders) >= 1 && asked(drains) >= 1,
        "{node} was not asked"
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
fn a_hut_that_is_cut_off_silently_or_one_way_decides_nothing_and_the_others_go_on() {
    std::thread::scope(|scope| {
        scope.spawn(|| decides_nothing("core-0", from_the_core("core-0", true, true)));
        scope.spawn(|| decides_nothing("core-1", from_the_core("core-1", true, false)));
        scope.spawn(|| decides_nothing("core-2", from_the_core("core-2", false, true)));
    });
}

#[test]
fn a_hut_whose_connections_are_reset_or_refused_decides_nothing_and_the_others_go_on() {
    std::thread::scope(|scope| {
        scope.spawn(|| {
            decides_nothing(
                "core-0",
                vec![cut_so("core-0", "core", false, PartitionKind::Reset)],
            )
        });
        scope.spawn(|| {
            decides_nothing(
                "core-1",
                vec![cut_so("core-1", "core", false, PartitionKind::Refused)],
            )
        });
    });
}

fn broken(guard: Safeguard, wanted: &str) {
    let sought = |node: &str| {
        // Many leave just as the cut begins, while the control node does not know of it yet.
        let leave = at(
            CUT_S + 0.1,
            EventKind::DrainUnits {
                service: "boards".into(),
                count: 6,
            },
        );
        let events = busy().into_iter().chain([leave]).collect();
        let mut scenario = scenario(from_the_core(node, true, true), events);
        scenario.disabled_safeguard = Some(guard);
        let found = falsehoods(&simulate(&scenario), node, true);
        found.iter().any(|said| said.starts_with(wanted))
    };
    assert!(
        ["core-0", "core-1"].into_iter().any(sought),
        "{guard:?} is not missed"
    );
}

#[test]
fn without_contact_a_hut_that_is_cut_off_confirms_beats() {
    broken(Safeguard::QuorumContactToServe, "a beat is confirmed");
}

#[test]
fn without_its_majority_a_drain_is_confirmed_that_nobody_else_knows() {
    broken(Safeguard::DrainOnMajority, "a drain is confirmed");
}

#[test]
fn a_drain_that_comes_again_is_confirmed_that_nobody_else_knows() {
    broken(Safeguard::RepeatedDrainOnMajority, "a drain is confirmed");
}

#[test]
fn without_two_ways_a_hut_that_others_hear_but_do_not_answer_confirms_beats() {
    // Its datagrams go nowhere; what the others write comes.
    let mut scenario = scenario(from_the_core("core-1", true, false), busy());
    scenario.disabled_safeguard = Some(Safeguard::TwoWayContact);
    let found = falsehoods(&simulate(&scenario), "core-1", true);
    assert!(
        found
            .iter()
            .any(|said| said.starts_with("a beat is confirmed")),
        "{found:?}"
    );
}

/// A control node is cut off from all proxies; clients and units reach it.
fn alone() -> Scenario {
    let cuts = vec![cut("core-0", "core", false), cut("core-0", "edge", false)];
    scenario(cuts, busy())
}

fn clients_sent(report: &Report, after_ms: u64) -> usize {
    let sent = |said: &&ControlExchange| {
        said.request.starts_with("GET /resolve") && said.status == Some(200)
    };
    said(report, "core-0", after_ms).filter(sent).count()
}

#[test]
fn a_hut_that_hears_nobody_sends_no_client_anywhere() {
    let report = simulate(&alone());
    sound(&report);
    assert_eq!(clients_sent(&report, LAPSE_MS), 0);
    let asked =
        said(&report, "core-0", LAPSE_MS).filter(|said| said.request.starts_with("GET /resolve"));
    assert!(asked.count() > 0, "it was asked");
    let report = simulate(&Scenario {
        disabled_safeguard: Some(Safeguard::PeersHeardBeforeResolve),
        ..alone()
    });
    assert!(
        clients_sent(&report, LAPSE_MS) > 0,
        "the guard is not missed"
    );
}

/// Relays start while the control node that they reach first is cut off from the others and has missed changes: the service that
/// the moved route of each request went to, and the version that holds.
fn begun_by(without: Option<Safeguard>) -> (usize, usize) {
    // Far regions are so far that the near control node's copy comes first by a second.
    let mut cuts = vec![cut("core-2", "core", false)];
    cuts.extend(
        (0..5)
            .filter(|at| *at != 2)
            .map(|at| cut("core-2", &format!("edge-{at}"), false)),
    );
    let events = vec![
        at(
            CUT_S + 0.1,
            EventKind::Kill {
                on: "edge-2".into(),
                down_s: 3.5,
            },
        ),
        at(
            CUT_S + 0.2,
            EventKind::Config {
                routes: 1,
                drop: false,
            },
        ),
    ];
    let mut scenario = scenario(cuts, events);
    // It is the only one of its region.
    scenario.edges = 5;
    (
        scenario.region_ms,
        scenario.rate,
        scenario.measure_readiness,
    ) = (120, 300.0, true);
    scenario.disabled_safeguard = without;
    let report = simulate(&scenario);
    let config = report.history.configs.last().expect("it was sent");
    let acked = config.acked.expect("the majority takes it");
    let began = START_MS + (CUT_S * 1000.0) as u64 + 3600;
    assert!(acked < began, "acknowledged before the relay starts");
    let ready = report
        .history
        .ready
        .iter()
        .find(|(edge, from, _)| edge == "edge-2" && *from >= began);
    assert!(
        ready.is_some_and(|(_, from, at)| *at < from + 4000),
        "ready by a confirmed copy: {ready:?}"
    );
    let moved = config.routes["moved"].services[0].clone();
    let of = |came: &&beechcroft_simulator::cluster::history::EndpointRequest| {
        came.was_executed
            && came.edge == "edge-2"
            && came.at >= began
            && came.path.starts_with("/moved/")
    };
    let right = |came: &&beechcroft_simulator::cluster::history::EndpointRequest| {
        report
            .history
            .units
            .get(&came.unit)
            .is_some_and(|unit| unit.service == moved)
    };
    let (new, old): (Vec<_>, Vec<_>) = report
        .history
        .endpoint_requests
        .iter()
        .filter(of)
        .partition(right);
    (new.len(), old.len())
}

#[test]
fn a_relay_that_reaches_a_hut_first_that_is_cut_off_begins_by_what_the_majority_holds() {
    let (new, old) = begun_by(None);
    assert!(new > 10, "{new}");
    assert_eq!(
        old, 0,
        "requests by a configuration that had been replaced before the relay started"
    );
    let (_, old) = begun_by(Some(Safeguard::ConfirmedStart));
    assert!(old > 0, "the guard is not missed");
}

#[test]
fn a_region_that_is_cut_off_with_its_hut_serves_on_and_a_relay_that_starts_there_begins_in_time() {
    let events = vec![
        at(
            CUT_S + 4.0,
            EventKind::Kill {
                on: "edge-0".into(),
                down_s: 1.0,
            },
        ),
        at(
            CUT_S + 1.0,
            EventKind::Config {
                routes: 1,
                drop: false,
            },
        ),
    ];
    let mut scenario = scenario(vec![cut("region-0", "*", false)], events);
    scenario.measure_readiness = true;
    let report = simulate(&scenario);
    assert_eq!(report.verdict.violations, []);
    assert_eq!(falsehoods(&report, "core-0", false), [] as [String; 0]);
    let began = START_MS + (CUT_S * 1000.0) as u64 + 5000;
    let ready = report
        .history
        .ready
        .iter()
        .find(|(edge, from, _)| edge == "edge-0" && *from >= began);
    let (_, from, at) = ready.expect("it begins though nobody can confirm");
    assert!((4000..6000).contains(&(at - from)), "{} ms", at - from);
}

/// On a calm day: how long each proxy takes to be ready, at the first start and after a SIGTERM, the middle and the worst.
fn starts(without: Option<Safeguard>) -> [(u64, u64); 2] {
    let stops = (0..6).map(|nth| {
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
    let mut scenario = scenario(Vec::new(), stops.chain([drains]).collect());
    (scenario.measure_readiness, scenario.disabled_safeguard) = (true, without);
    let report = simulate(&scenario);
    assert_eq!(report.verdict.violations, []);
    let drained =
        |said: &&ControlExchange| said.request.ends_with(" draining") && said.status == Some(200);
    let drained: Vec<u64> = report
        .history
        .control_exchanges
        .iter()
        .filter(drained)
        .map(|s| s.until - s.at)
        .collect();
    println!("{without:?}: drains acknowledged after {drained:?} ms");
    [true, false].map(|first| {
        let took = report
            .history
            .ready
            .iter()
            .filter(|(_, from, _)| (*from == 0) == first);
        let mut took: Vec<u64> = took.map(|(_, from, at)| at - from).collect();
        took.sort_unstable();
        println!("{without:?}: first start {first}: {took:?} ms");
        assert_eq!(took.len(), 6);
        (took[3], took[5])
    })
}

#[test]
fn a_calm_start_waits_four_ways_there_and_back_at_most_for_the_word_of_a_majority() {
    // To a control node of another region: to connect, to ask, and its round's two phases; 40 ms each. The first start waits for its
    // configuration longer than that.
    let ([first, again], [first_before, again_before]) =
        (starts(None), starts(Some(Safeguard::ConfirmedStart)));
    assert_eq!(first, first_before);
    assert!(
        again.1 <= again_before.1 + 4 * 40,
        "{again:?} ms, {again_before:?} ms without"
    );
}
