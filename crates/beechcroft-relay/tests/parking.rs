//! Parked connections over loopback sockets: each test causes one difficult case and checks what its client observes.

mod fixtures;

use fixtures::*;
use serde_json::{json, Value};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::{Command, Stdio};
use std::time::Instant;

const PARKED: &str = "[connections]\nkeep_s = 60\nfresh_keep_s = 60\n";

/// Configuration with one unit and a limit on descriptors.
fn deployment(unit: &FakeUnit, sockets: usize) -> Value {
    let mut configuration = configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    );
    configuration["limits"]["sockets"] = json!(sockets);
    configuration
}

/// Starts a relay that parks connections.
fn start_parking(unit: &FakeUnit, sockets: usize, operator: &str) -> RelayProcess {
    RelayProcess::start_as(&deployment(unit, sockets), operator, "exec")
}

/// Sends a request and returns the status of its response.
fn send_request(client: &mut BufReader<TcpStream>, txn: &str, behavior: &str) -> String {
    client
        .get_mut()
        .write_all(read_request(txn, behavior).as_bytes())
        .unwrap();
    next_status(client)
}

/// The status of the next response, or "closed".
fn next_status(client: &mut BufReader<TcpStream>) -> String {
    read_message(client).map_or("closed".to_owned(), |(head, _)| status(&head).to_owned())
}

/// Whether nothing arrives within 1 ms: the connection is open and idle.
fn is_open(client: &mut BufReader<TcpStream>) -> bool {
    client.get_ref().set_read_timeout(Some(ms(1))).unwrap();
    let open = client
        .read(&mut [0])
        .is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    client
        .get_ref()
        .set_read_timeout(Some(TEST_TIMEOUT))
        .unwrap();
    open
}

/// The last value of a number in the relay's JSON log lines about its connections.
fn logged_number(relay: &RelayProcess, name: &str) -> u64 {
    let log = relay.log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines
        .filter_map(|line| line.get(name)?.as_u64())
        .next_back()
        .unwrap_or_default()
}

/// Starts a relay whose JSON log has the number of connections in each state.
fn start_with_counts(unit: &FakeUnit, sockets: usize, operator: &str) -> RelayProcess {
    let words = "exec env RUST_LOG=info,beechcroft::connections=debug";
    RelayProcess::start_as(
        &deployment(unit, sockets),
        &format!("{operator}#json\n"),
        words,
    )
}

#[test]
fn parked_connections_are_reused_and_hold_no_task_between_requests() {
    let unit = FakeUnit::start();
    let relay = start_with_counts(&unit, 256, PARKED);
    let mut clients: Vec<_> = (0..20).map(|_| relay.connect()).collect();
    for round in 0..3 {
        for (nth, client) in clients.iter_mut().enumerate() {
            assert_eq!(
                send_request(client, &format!("t-{round}-{nth}"), "ok"),
                "200"
            );
        }
        wait_until("all are parked", || {
            logged_number(&relay, "parked") == 20 && logged_number(&relay, "task") == 0
        });
    }
    drop(clients);
    wait_until("all connections are closed", || {
        logged_number(&relay, "open") == 0
    });
}

#[test]
fn pipelined_requests_are_answered_in_order_and_a_partial_head_is_kept() {
    let unit = FakeUnit::start();
    let relay = start_parking(&unit, 256, PARKED);
    let mut client = relay.connect();
    let third = read_request("t-3", "ok");
    let (begin, rest) = third.split_at(30);
    let both = read_request("t-1", "ok") + &read_request("t-2", "long") + begin;
    client.get_mut().write_all(both.as_bytes()).unwrap();
    let [(one, first), (two, second)] = [(); 2].map(|()| read_message(&mut client).unwrap());
    assert_eq!(
        (status(&one), &first[..], status(&two), second.len()),
        ("200", &b"made by unit"[..], "200", 400_000)
    );
    std::thread::sleep(ms(100)); // longer than the relay holds a connection in its read slot
    client.get_mut().write_all(rest.as_bytes()).unwrap();
    assert_eq!(next_status(&mut client), "200");
    assert_eq!(send_request(&mut client, "t-4", "ok"), "200");
    let txns: Vec<_> = unit
        .requests()
        .iter()
        .map(|head| header(head, "x-txn").unwrap())
        .collect();
    assert_eq!(txns, ["t-1", "t-2", "t-3", "t-4"]);
}

#[test]
fn a_client_that_closes_with_its_request_or_its_response_leaves_no_task() {
    let unit = FakeUnit::start();
    let relay = start_with_counts(&unit, 256, PARKED);
    let mut with_request = relay.connect();
    with_request
        .get_mut()
        .write_all(read_request("t-1", "ok").as_bytes())
        .unwrap();
    with_request.get_ref().shutdown(Shutdown::Write).unwrap();
    // The relay takes the client's end of stream for a disconnect, unless the request was answered by then: one
    // response, or none, and the end.
    let mut rest = Vec::new();
    with_request.read_to_end(&mut rest).unwrap();
    assert!(String::from_utf8_lossy(&rest).matches("HTTP/1.1").count() <= 1);
    let mut with_answer = relay.connect();
    with_answer
        .get_mut()
        .write_all(read_request("t-2", "slow").as_bytes())
        .unwrap();
    wait_until("dispatched", || {
        unit.requests().iter().any(|head| head.contains("t-2"))
    });
    let mut parked = relay.connect();
    assert_eq!(send_request(&mut parked, "t-3", "ok"), "200");
    drop(parked); // as soon as its request was answered
    drop(with_answer);
    wait_until("all connections are closed and no task is open", || {
        logged_number(&relay, "open") == 0 && logged_number(&relay, "task") == 0
    });
    assert_eq!(relay.read("t-2", "ok"), "200 made by unit"); // its id is free again
}

#[test]
fn a_partial_head_times_out_while_idle_connections_stay() {
    let unit = FakeUnit::start();
    let relay = start_parking(
        &unit,
        256,
        "[connections]\nkeep_s = 60\nfresh_keep_s = 60\nwakes_at_once = 1\nhead_wait_s = 1\n",
    );
    let mut silent = relay.connect();
    let mut rested = relay.connect();
    assert_eq!(send_request(&mut rested, "t-0", "ok"), "200");
    std::thread::sleep(ms(1500));
    let began = Instant::now();
    let mut halves: Vec<_> = (0..10).map(|_| relay.connect()).collect();
    for half in halves.iter_mut().chain([&mut rested]) {
        half.get_mut().write_all(b"G").unwrap();
    }
    // They delay nobody, though only one connection is read at a time.
    assert_eq!(relay.read("t-1", "ok"), "200 made by unit");
    for half in halves.iter_mut().chain([&mut rested]) {
        assert_eq!(half.read(&mut [0]).unwrap(), 0);
    }
    assert!(began.elapsed() >= ms(1000));
    assert!(is_open(&mut silent));
    assert_eq!(send_request(&mut silent, "t-2", "ok"), "200");
}

#[test]
fn connections_that_expire_together_are_closed_while_tasks_are_served() {
    let unit = FakeUnit::start();
    let operator =
        "[connections]\nkeep_s = 1\nfresh_keep_s = 1\nexpire_per_s = 200\nlate_most_s = 1\n";
    let relay = start_parking(&unit, 4000, operator);
    let clients: Vec<_> = (0..1500).map(|_| relay.connect()).collect();
    let began = Instant::now();
    let mut nth = 0;
    // Requests are sent all the while.
    let closed = std::thread::spawn(move || {
        clients
            .into_iter()
            .map(|mut client| (client.read(&mut [0]).unwrap(), began.elapsed()))
            .collect::<Vec<_>>()
    });
    while !closed.is_finished() {
        nth += 1;
        assert_eq!(relay.read(&format!("t-{nth}"), "ok"), "200 made by unit");
    }
    let closed = closed.join().unwrap();
    assert!(closed.iter().all(|(read, _)| *read == 0) && closed.len() == 1500);
    assert!(
        closed.last().unwrap().1 >= ms(900),
        "closed before its time"
    );
}

#[test]
fn a_burst_of_requests_beyond_the_read_limit_gets_one_response_each() {
    let unit = FakeUnit::start();
    let operator =
        "[connections]\nkeep_s = 60\nfresh_keep_s = 60\nwakes_at_once = 4\nwake_wait_ms = 30\n";
    let relay = start_parking(&unit, 8000, operator);
    let mut clients: Vec<_> = (0..3000).map(|_| relay.connect()).collect();
    for (nth, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(read_request(&format!("t-{nth}"), "ok").as_bytes())
            .unwrap();
    }
    let mut ends = std::collections::BTreeMap::new();
    let began = Instant::now();
    for client in &mut clients {
        let end = next_status(client);
        if end == "closed" {
            eprintln!(
                "{:?} {:?}",
                began.elapsed(),
                client.get_ref().peek(&mut [0])
            );
        }
        *ends.entry(end).or_insert(0) += 1;
        // One response, and no second one.
        assert!(is_open(client) || client.read(&mut [0]).unwrap() == 0);
    }
    assert_eq!(ends.values().sum::<i32>(), 3000);
    assert!(
        ends.keys()
            .all(|end| ["200", "503"].contains(&end.as_str())),
        "{ends:?}"
    );
    let dispatched = unit.requests().len();
    assert!(
        dispatched <= 3000 && dispatched >= ends["200"] as usize,
        "{dispatched} dispatches, {ends:?}"
    );
}

#[test]
fn a_request_queued_too_long_gets_503_with_retry_after() {
    let unit = FakeUnit::start();
    let operator =
        "[connections]\nkeep_s = 60\nfresh_keep_s = 60\nwakes_at_once = 1\nwake_wait_ms = 100\n";
    let relay = start_parking(&unit, 1000, operator);
    // Partial heads: each holds the one read slot for 50 ms, and all other connections wait behind it.
    let mut halves: Vec<_> = (0..20).map(|_| relay.connect()).collect();
    let mut late: Vec<_> = (0..5).map(|_| relay.connect()).collect();
    for half in &mut halves {
        half.get_mut().write_all(b"GET /").unwrap();
    }
    for (nth, client) in late.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(read_request(&format!("t-{nth}"), "ok").as_bytes())
            .unwrap();
    }
    for client in &mut late {
        let (head, body) = read_message(client).expect("silence, or a reset");
        assert_eq!((status(&head), &body[..]), ("503", &b"nacked\n"[..]));
        let after: f64 = header(&head, "retry-after").unwrap().parse().unwrap();
        assert!((0.1..=1.5).contains(&after), "{head}");
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    assert!(unit.requests().is_empty());
    assert_eq!(relay.read("t-9", "ok"), "200 made by unit");
}

#[test]
fn sigterm_answers_requests_and_closes_parked_connections() {
    let unit = FakeUnit::start();
    let mut relay = start_parking(&unit, 4000, PARKED);
    let mut clients: Vec<_> = (0..1200).map(|_| relay.connect()).collect();
    for (nth, client) in clients.iter_mut().enumerate().take(400) {
        assert_eq!(send_request(client, &format!("t-{nth}"), "ok"), "200");
    }
    let (requesting, idle) = clients.split_at_mut(20);
    for (nth, client) in requesting.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(read_request(&format!("a-{nth}"), "ok").as_bytes())
            .unwrap();
    }
    relay.signal("-TERM");
    for client in requesting {
        let (head, _) = read_message(client).expect("reset while it asked");
        assert!(["200", "503"].contains(&status(&head)), "{head}"); // the relay's actor may give some up
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    assert_eq!(relay.read("late", "ok"), "200 made by unit");
    assert!(idle
        .iter_mut()
        .all(|client| client.read(&mut [0]).unwrap() == 0));
    assert_eq!(relay.child.wait().unwrap().code(), Some(0));
    assert!(!relay.log().contains("still open"));
}

#[test]
fn sighup_keeps_parked_connections() {
    let unit = FakeUnit::start();
    let relay = start_parking(&unit, 256, PARKED);
    let mut clients: Vec<_> = (0..30).map(|_| relay.connect()).collect();
    assert!(clients
        .iter_mut()
        .enumerate()
        .all(|(nth, client)| send_request(client, &format!("t-{nth}"), "ok") == "200"));
    relay.signal("-HUP");
    wait_until("reloaded", || relay.log().contains("reload: discovery"));
    assert!(clients
        .iter_mut()
        .enumerate()
        .all(|(nth, client)| send_request(client, &format!("u-{nth}"), "ok") == "200"));
}

#[test]
fn at_the_limit_the_longest_parked_connections_are_closed_and_open_requests_stay() {
    let unit = FakeUnit::start();
    let relay = start_parking(&unit, 64, PARKED); // 19 of them for clients
    let mut busy = relay.connect();
    busy.get_mut()
        .write_all(read_request("busy", "slow").as_bytes())
        .unwrap();
    let mut idle: Vec<_> = (0..15).map(|_| relay.connect()).collect();
    assert!(idle
        .iter_mut()
        .enumerate()
        .all(|(nth, client)| send_request(client, &format!("t-{nth}"), "ok") == "200"));
    std::thread::sleep(ms(200));
    let mut later: Vec<_> = (0..13).map(|_| relay.connect()).collect();
    assert!(later
        .iter_mut()
        .enumerate()
        .all(|(nth, client)| send_request(client, &format!("u-{nth}"), "ok") == "200"));
    let open: Vec<bool> = idle.iter_mut().map(is_open).collect();
    let closed = open.iter().filter(|&&open| !open).count();
    assert_eq!(closed, 10); // 1 + 15 + 13 - 19
    assert!(open.is_sorted(), "not the longest parked: {open:?}");
    assert_eq!(next_status(&mut busy), "200");
}

#[test]
fn when_descriptors_run_out_parked_connections_are_closed_for_new_clients() {
    let unit = FakeUnit::start();
    // The process is limited to 60 descriptors, whatever its configuration says.
    let relay = RelayProcess::start_as(&deployment(&unit, 1000), PARKED, "ulimit -n 60; exec");
    let mut idle: Vec<_> = (0..200).map(|_| relay.connect()).collect();
    for nth in 0..20 {
        assert_eq!(relay.read(&format!("t-{nth}"), "ok"), "200 made by unit");
    }
    assert!(relay.log().contains("clients: accept: Too many open files"));
    let closed = idle.iter_mut().map(is_open).filter(|&open| !open).count();
    assert!(closed > 100, "{closed}");
}

#[test]
fn keepalive_probes_are_set_and_a_silent_client_is_closed_at_its_time_out() {
    let unit = FakeUnit::start();
    let relay = start_parking(
        &unit,
        256,
        "[connections]\nkeep_s = 60\nfresh_keep_s = 2\nprobe_s = 1\n",
    );
    // To the relay, a client that vanished looks like one that sends nothing.
    let mut silent = relay.connect();
    let local = silent.get_ref().local_addr().unwrap().port();
    let at_relay = format!(":{:04X} 0100007F:{local:04X} 01", relay.address.port());
    let probes = || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let line = table
            .lines()
            .find(|line| line.contains(&at_relay))
            .map(str::to_owned);
        line.is_some_and(|line| {
            line.split_whitespace()
                .nth(5)
                .is_some_and(|timer| timer.starts_with("02:"))
        })
    };
    wait_until("the kernel's keep-alive timer is set", probes);
    assert_eq!(silent.read(&mut [0]).unwrap(), 0);
}

#[test]
fn an_unread_log_delays_no_task() {
    let unit = FakeUnit::start();
    let relay = RelayProcess::start_as(&deployment(&unit, 256), PARKED, "exec env RUST_LOG=trace");
    let mut child = {
        // Another relay, whose standard error is a pipe that is never read.
        let file =
            std::env::temp_dir().join(format!("beechcroft-unread-{}.json", std::process::id()));
        let mut configuration = deployment(&unit, 256);
        let listen = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        configuration["listen"] = json!(listen);
        std::fs::write(&file, configuration.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_beechcroft"));
        let child = command
            .env("PROXY_CONFIG", &file)
            .env("RUST_LOG", "trace")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        wait_until("it listens", || TcpStream::connect(listen).is_ok());
        for nth in 0..1500 {
            let mut client = BufReader::new(TcpStream::connect(listen).unwrap());
            client
                .get_ref()
                .set_read_timeout(Some(TEST_TIMEOUT))
                .unwrap();
            assert_eq!(send_request(&mut client, &format!("t-{nth}"), "ok"), "200");
        }
        std::fs::remove_file(&file).unwrap();
        child
    };
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(relay.log().len() > 1000);
}
