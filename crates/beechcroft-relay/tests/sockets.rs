//! The relay over loopback sockets, with test servers for units, discovery, the platform and other relays.

mod fixtures;

use beechcroft::{BuildId, DispatchNo, Outcome, PeerId, Stage, TaskId, TrackId, Vote};
use beechcroft_core::list::UnitEndpoint;
use beechcroft_core::request::{TaskRequest, UnitResponse};
use beechcroft_core::tasks::{Hints, NewTask, OpenTasks};
use beechcroft_core::{Ballot, Dispatch, DispatchResult, Event, UnitCommand};
use beechcroft_relay::lifecycle::config::{self, Precedence};
use beechcroft_relay::membership::unit_list::UnitListWatcher;
use beechcroft_relay::wire::discovery::{Discovery, ListDecoder};
use beechcroft_relay::wire::idle_timeout::IdleTimeout;
use beechcroft_relay::wire::peers::{PeerAddresses, Peers};
use beechcroft_relay::wire::platform::{self, PlatformCommand};
use beechcroft_relay::wire::units::{UnitContext, UnitMailbox};
use expect_test::expect;
use fixtures::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// Like `wait_until`, without blocking the runtime.
async fn wait_until_async(what: &'static str, holds: impl FnMut() -> bool + Send + 'static) {
    tokio::task::spawn_blocking(move || wait_until(what, holds))
        .await
        .unwrap();
}

fn task_request(behavior: &str) -> Arc<TaskRequest> {
    Arc::new(TaskRequest {
        method: http::Method::GET,
        target: format!("/read/{behavior}?q=1").parse().unwrap(),
        txn: http::HeaderValue::from_static("t-1"),
        idempotency_key: None,
        content_type: None,
        body: bytes::Bytes::new(),
    })
}

/// The actors of units, and the events that they send to the relay's actor.
struct UnitCalls {
    shared: UnitContext,
    events: UnboundedReceiver<Event>,
    next: u32,
}

impl UnitCalls {
    fn new(connections: usize) -> UnitCalls {
        let (relay_events, events) = unbounded_channel();
        let names = beechcroft_settings::read(&settings(1).to_string()).unwrap();
        UnitCalls {
            shared: UnitContext::new(relay_events, connections, &names.transport),
            events,
            next: 0,
        }
    }

    fn dispatch(&mut self, behavior: &str, time_out: Duration) -> UnitCommand {
        self.next += 1;
        let task = TaskId(format!("t-{}", self.next).into());
        let at = tokio::time::Instant::now();
        UnitCommand::Dispatch(Dispatch {
            task,
            number: DispatchNo(0),
            request: task_request(behavior),
            sent_at: at,
            time_out,
        })
    }

    async fn ended(&mut self) -> DispatchResult {
        match tokio::time::timeout(TEST_TIMEOUT, self.events.recv()).await {
            Ok(Some(Event::DispatchEnded(ended))) => ended,
            _ => panic!("no outcome"),
        }
    }
}

fn endpoint(address: SocketAddr) -> UnitEndpoint {
    UnitEndpoint {
        address,
        started: None,
        draining: false,
    }
}

/// An address at which connections are neither established nor refused, as the listen backlog is full.
fn unreachable_address() -> (tokio::net::TcpListener, TcpStream, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let filler = TcpStream::connect(address).unwrap();
    (listener, filler, address)
}

#[tokio::test]
async fn each_end_of_a_dispatch_maps_to_the_outcome_it_proves() {
    let unit = FakeUnit::start();
    let mut calls = UnitCalls::new(64);
    let mut observed = String::new();
    let behaviors =
        "ok error full over bare503 missing reset short stall ahead colon long huge endless garbage hang";
    let mailbox = calls.shared.spawn(endpoint(unit.address));
    for behavior in behaviors.split(' ') {
        mailbox
            .send(calls.dispatch(
                behavior,
                if behavior == "hang" {
                    ms(500)
                } else {
                    TEST_TIMEOUT / 2
                },
            ))
            .ok()
            .unwrap();
        let DispatchResult {
            outcome, response, ..
        } = calls.ended().await;
        let show = |response: UnitResponse| match response.body.len() {
            length @ 100.. => format!(" {length} bytes"),
            _ => format!(" {:?}", response.body),
        };
        let body = response.map_or(String::new(), show);
        observed += &format!("{behavior}: {outcome:?}{body}\n");
    }
    let not_listening = tokio::net::TcpSocket::new_v4().unwrap(); // bound, but not listening
    not_listening.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refused = not_listening.local_addr().unwrap();
    let (_listener, _filler, never_up) = unreachable_address();
    for (what, address) in [("refused", refused), ("never up", never_up)] {
        calls
            .shared
            .spawn(endpoint(address))
            .send(calls.dispatch("ok", TEST_TIMEOUT))
            .ok()
            .unwrap();
        observed += &format!("{what}: {:?}\n", calls.ended().await.outcome);
    }
    let mut exhausted = UnitCalls::new(0);
    exhausted
        .shared
        .spawn(endpoint(unit.address))
        .send(exhausted.dispatch("ok", TEST_TIMEOUT))
        .ok()
        .unwrap();
    observed += &format!(
        "no descriptor left: {:?}\n",
        exhausted.ended().await.outcome
    );
    expect![[r#"
        ok: Ok b"made by unit"
        error: Error
        full: Full
        over: Full
        bare503: Error
        missing: Error
        reset: Reset
        short: Reset
        stall: Reset
        ahead: Ok b"good"
        colon: Reset
        long: Ok 400000 bytes
        huge: Reset
        endless: Reset
        garbage: Reset
        hang: TimeOut
        refused: ConnectFailed
        never up: ConnectFailed
        no descriptor left: Moot
    "#]]
    .assert_eq(&observed);
}

#[tokio::test]
async fn connections_are_pooled_and_one_closed_by_its_unit_is_replaced() {
    let unit = FakeUnit::start();
    let mut calls = UnitCalls::new(64);
    let mailbox = calls.shared.spawn(endpoint(unit.address));
    let mut observed = Vec::new();
    for behavior in ["ok", "error", "full", "last", "ok"] {
        mailbox
            .send(calls.dispatch(behavior, TEST_TIMEOUT))
            .ok()
            .unwrap();
        let outcome = calls.ended().await.outcome;
        if behavior == "last" {
            let closed = unit.closed.clone();
            wait_until_async("closed", move || closed.load(Ordering::SeqCst) == 1).await;
            tokio::time::sleep(ms(20)).await; // for the client's side to notice it
        }
        observed.push(format!(
            "{behavior} {outcome:?} {}",
            unit.opened.load(Ordering::SeqCst)
        ));
    }
    assert_eq!(
        observed,
        [
            "ok Ok 1",
            "error Error 1",
            "full Full 1",
            "last Ok 1",
            "ok Ok 2"
        ]
    );
}

#[tokio::test]
async fn a_pooled_connection_with_unread_data_or_closed_is_replaced_before_writing() {
    let unit = FakeUnit::start();
    let mut calls = UnitCalls::new(64);
    let mailbox = calls.shared.spawn(endpoint(unit.address));
    let mut observed = Vec::new();
    for behavior in ["twice", "ok", "last", "ok"] {
        mailbox
            .send(calls.dispatch(behavior, TEST_TIMEOUT))
            .ok()
            .unwrap();
        let ended = calls.ended().await;
        let body = ended
            .response
            .map(|reply| String::from_utf8(reply.body.to_vec()).unwrap());
        observed.push(format!(
            "{behavior} {:?} {body:?} {}",
            ended.outcome,
            unit.opened.load(Ordering::SeqCst)
        ));
        // Blocks the runtime, so that it notices nothing of what arrives meanwhile.
        std::thread::sleep(ms(500));
    }
    let expected = [
        "twice Ok Some(\"first\") 1",
        "ok Ok Some(\"made by unit\") 2",
        "last Ok Some(\"ok\") 2",
    ];
    assert_eq!(observed[..3], expected);
    assert_eq!(observed[3], "ok Ok Some(\"made by unit\") 3");
    assert_eq!(unit.requests().len(), 4); // no request was written twice
}

#[test]
fn idle_timeout_follows_resets_of_reused_connections() {
    let idle_timeout = IdleTimeout::new(ms(4000));
    let mut observed = vec![idle_timeout.current()];
    for nth in 0..12 {
        idle_timeout.record_reuse(ms(60), nth == 0); // one chance reset at a shorter idle time
        idle_timeout.record_reuse(ms(150), nth % 2 == 0);
        idle_timeout.record_reuse(ms(900), true);
        observed.push(idle_timeout.current());
    }
    observed.dedup();
    // Four resets are evidence; for the shorter idle time they take longer to add up.
    assert_eq!(observed, [ms(4000), ms(800), ms(100)]);
    (0..60).for_each(|_| idle_timeout.record_reuse(ms(150), false));
    assert_eq!(idle_timeout.current(), ms(800)); // the estimate also grows again
}

#[tokio::test]
async fn idle_connections_that_units_drop_silently_are_soon_not_reused() {
    // Answers the first request of a connection, and resets the connection at the next.
    let address = spawn_server(|_, stream| {
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            read_message(&mut reader).unwrap();
            (&stream)
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                .unwrap();
            let _ = stream.peek(&mut [0]); // unread data makes the close a reset
        });
    });
    let mut calls = UnitCalls::new(64);
    let mailbox = calls.shared.spawn(endpoint(address));
    let mut observed = Vec::new();
    for _ in 0..14 {
        mailbox
            .send(calls.dispatch("ok", TEST_TIMEOUT))
            .ok()
            .unwrap();
        observed.push(calls.ended().await.outcome);
        tokio::time::sleep(ms(60)).await;
    }
    let resets = observed
        .iter()
        .filter(|&&outcome| outcome == Outcome::Reset)
        .count();
    assert_eq!((resets, &observed[8..]), (4, &[Outcome::Ok; 6][..]));
}

#[tokio::test]
async fn connecting_is_given_up_early_enough_to_try_another_unit() {
    let unit = FakeUnit::start();
    let (_listener, _filler, address) = unreachable_address();
    let mut calls = UnitCalls::new(64);
    calls.shared.connect_timeout = TEST_TIMEOUT;
    // Of two dispatches with the same time-out, the one that was not connected ends first.
    calls
        .shared
        .spawn(endpoint(unit.address))
        .send(calls.dispatch("hang", ms(4000)))
        .ok()
        .unwrap();
    calls
        .shared
        .spawn(endpoint(address))
        .send(calls.dispatch("ok", ms(4000)))
        .ok()
        .unwrap();
    let ended = [calls.ended().await, calls.ended().await].map(|ended| ended.outcome);
    assert_eq!(ended, [Outcome::ConnectFailed, Outcome::TimeOut]);
}

#[tokio::test]
async fn a_cancelled_or_timed_out_call_closes_its_connection_or_is_never_written() {
    let unit = FakeUnit::start();
    let mut calls = UnitCalls::new(64);
    let mailbox = calls.shared.spawn(endpoint(unit.address));
    mailbox
        .send(calls.dispatch("hang", TEST_TIMEOUT))
        .ok()
        .unwrap();
    let (opened, seen) = (unit.opened.clone(), unit.seen.clone());
    let written = move || opened.load(Ordering::SeqCst) == 1 && seen.lock().unwrap().len() == 1;
    wait_until_async("written", written).await;
    // Draining does not end a call that was written; cancelling does.
    mailbox
        .send(UnitCommand::UpdateEndpoint(UnitEndpoint {
            draining: true,
            ..endpoint(unit.address)
        }))
        .ok()
        .unwrap();
    mailbox
        .send(UnitCommand::Cancel(TaskId("t-1".into()), DispatchNo(0)))
        .ok()
        .unwrap();
    assert_eq!(calls.ended().await.outcome, Outcome::Abandoned);
    mailbox
        .send(UnitCommand::UpdateEndpoint(endpoint(unit.address)))
        .ok()
        .unwrap();
    mailbox.send(calls.dispatch("hang", ms(500))).ok().unwrap();
    assert_eq!(calls.ended().await.outcome, Outcome::TimeOut);
    let closed = unit.closed.clone();
    wait_until_async("both closed", move || closed.load(Ordering::SeqCst) == 2).await;

    // A connection that is established only after its dispatch was cancelled or timed out carries no request.
    let (listener, filler, address) = unreachable_address();
    calls.shared.connect_timeout = TEST_TIMEOUT * 3; // so that nothing else ends them
    let mailbox = calls.shared.spawn(endpoint(address));
    mailbox
        .send(calls.dispatch("ok", TEST_TIMEOUT * 3))
        .ok()
        .unwrap();
    mailbox.send(calls.dispatch("ok", ms(1))).ok().unwrap();
    assert_eq!(calls.ended().await.outcome, Outcome::ConnectFailed); // timed out
    mailbox.send(UnitCommand::Remove).ok().unwrap();
    assert_eq!(calls.ended().await.outcome, Outcome::ConnectFailed); // its unit is draining
    drop(filler);
    let mut read = Vec::new();
    // Longer than the retransmission of a connect that was not given up.
    while let Ok(Ok((mut stream, _))) = tokio::time::timeout(ms(1500), listener.accept()).await {
        let rest = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut read);
        let _ = tokio::time::timeout(ms(300), rest).await;
    }
    assert_eq!(read, b"");
}

#[tokio::test]
async fn a_changed_address_or_start_time_gets_new_connections() {
    let (one, two) = (FakeUnit::start(), FakeUnit::start());
    let mut calls = UnitCalls::new(64);
    let mailbox = calls.shared.spawn(endpoint(one.address));
    let mut observed = Vec::new();
    for (address, started) in [
        (one.address, None),
        (one.address, Some(ms(5))),
        (two.address, Some(ms(9))),
    ] {
        mailbox
            .send(UnitCommand::UpdateEndpoint(UnitEndpoint {
                address,
                started,
                draining: false,
            }))
            .ok()
            .unwrap();
        mailbox
            .send(calls.dispatch("ok", TEST_TIMEOUT))
            .ok()
            .unwrap();
        assert_eq!(calls.ended().await.outcome, Outcome::Ok);
        observed.push((
            one.opened.load(Ordering::SeqCst),
            two.opened.load(Ordering::SeqCst),
        ));
    }
    assert_eq!(observed, [(1, 0), (2, 0), (2, 1)]);
    drop(mailbox); // the unit is no longer listed: its actor ends and closes the idle connections
    let closed = [one.closed.clone(), two.closed.clone()];
    let all = move || {
        closed
            .each_ref()
            .map(|closed| closed.load(Ordering::SeqCst))
            == [2, 1]
    };
    wait_until_async("all closed", all).await;
}

#[tokio::test]
async fn idle_connections_are_closed_when_no_descriptor_is_left() {
    let (one, two) = (FakeUnit::start(), FakeUnit::start());
    let mut calls = UnitCalls::new(1);
    let mailboxes = [&one, &two].map(|unit| calls.shared.spawn(endpoint(unit.address)));
    for mailbox in [&mailboxes[0], &mailboxes[1], &mailboxes[0]] {
        mailbox
            .send(calls.dispatch("ok", TEST_TIMEOUT))
            .ok()
            .unwrap();
        assert_eq!(calls.ended().await.outcome, Outcome::Ok);
    }
    // A connection with a request in flight is not closed for another one.
    mailboxes[0]
        .send(calls.dispatch("hang", ms(1500)))
        .ok()
        .unwrap();
    mailboxes[1]
        .send(calls.dispatch("ok", TEST_TIMEOUT))
        .ok()
        .unwrap();
    let ended = [calls.ended().await, calls.ended().await].map(|ended| ended.outcome);
    assert_eq!(ended, [Outcome::Moot, Outcome::TimeOut]);
}

fn show(event: Event) -> String {
    match event {
        Event::Rollout(state) => format!(
            "news {} {} {:?} {}",
            state.build.0, state.stage.0, state.phase, state.cap
        ),
        Event::VoteAnswered(outcome, state) => {
            format!(
                "answer {outcome:?} {:?}",
                state.map(|state| (state.build.0, state.stage.0))
            )
        }
        Event::Complaint(unit, track) => format!("complaint of {} track {}", unit.0, track.0),
        Event::UnitList(list) => {
            let entry = |entry: &beechcroft_core::list::UnitEntry| {
                format!(
                    " {} {:?} build {}",
                    entry.unit.0, entry.health, entry.build.0
                )
            };
            let entries: String = list.entries.iter().map(entry).collect();
            format!("list {} whole {}:{entries}", list.index, list.is_snapshot)
        }
        Event::DiscoveryFailed => "list failed".to_owned(),
        Event::PeerMessage(from, message) => format!("note from {} {message:?}", from.0),
        _ => "other".to_owned(),
    }
}

async fn events(from: &mut UnboundedReceiver<Event>, count: usize) -> String {
    let mut shown = String::new();
    for _ in 0..count {
        let event = tokio::time::timeout(TEST_TIMEOUT, from.recv()).await;
        shown += &show(event.expect("in time").expect("open"));
        shown.push('\n');
    }
    shown
}

const NEWS: &str = r#"{"version":7,"step":1,"status":"canary","maxWeight":0.25,"observedAgoMs":3}"#;

#[tokio::test]
async fn platform_messages_and_vote_answers_arrive_and_a_lost_connection_is_replaced() {
    let rollout = |version: u32| {
        let news = NEWS.replace(":7", &format!(":{version}"));
        format!("{{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":{news}}}\n")
    };
    let (first_ended, first_closed) = mpsc::channel();
    let address = spawn_server(move |nth, mut stream| {
        let mut lines = BufReader::new(stream.try_clone().unwrap())
            .lines()
            .map_while(Result::ok);
        let Some(listen) = lines.next() else { return };
        let listen: Value = serde_json::from_str(&listen).unwrap();
        let mut say = |text: String| stream.write_all(text.as_bytes()).unwrap();
        let answer = |to: &Value, rest: &str| {
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{},{rest}}}\n", to["id"])
        };
        assert_eq!(listen["method"], "listen");
        say(answer(&listen, "\"result\":true"));
        say(rollout(40 + nth as u32));
        if nth > 0 {
            // The second connection sends a sign of life and ends while a vote is pending.
            let _vote = lines.next().unwrap();
            return;
        }
        say("{\"method\":\"ping\"}\n".to_owned());
        say(
            "{\"method\":\"DISPUTE\",\"params\":{\"pod\":\"u-1\",\"kind\":\"submit\"}}\n"
                .to_owned(),
        );
        say("{\"method\":\"DISPUTE\",\"params\":{\"pod\":\"u-1\",\"kind\":\"what\"}}\n".to_owned());
        for rest in ["BUSY", "STALE", "FAILED", "SYNTAX", ""] {
            let vote: Value = serde_json::from_str(&lines.next().unwrap()).unwrap();
            assert_eq!(
                vote["params"],
                json!({"version": 7, "step": 1, "vote": "abort"})
            );
            let error = format!("\"error\":{{\"code\":-32602,\"message\":\"{rest}\"}}");
            say(answer(
                &vote,
                if rest.is_empty() {
                    "\"result\":NEWS"
                } else {
                    &error
                },
            )
            .replace("NEWS", NEWS));
        }
        // Silent from here on, but open: after a few missed pings a second connection is opened.
        let first_ended = first_ended.clone();
        std::thread::spawn(move || {
            lines.for_each(drop);
            let _ = first_ended.send(());
        });
        std::mem::forget(stream);
    });
    let (relay_events, mut from) = unbounded_channel();
    let (first, reached) = tokio::sync::oneshot::channel();
    let tracks = ["read", "submit"].map(str::to_owned).to_vec();
    let mailbox = platform::spawn(address, ms(1500), tracks, relay_events, first);
    reached.await.unwrap();
    let vote = Ballot {
        build: BuildId(7),
        stage: Stage(1),
        vote: Vote::Back,
    };
    let mut observed = events(&mut from, 2).await;
    for _ in 0..5 {
        mailbox.send(PlatformCommand::CastVote(vote)).unwrap();
        observed += &events(&mut from, 1).await;
    }
    mailbox.send(PlatformCommand::CastVote(vote)).unwrap();
    observed += &events(&mut from, 2).await; // the vote's time-out, the second connection's message
    let closed = tokio::task::spawn_blocking(move || first_closed.recv_timeout(TEST_TIMEOUT));
    assert!(closed.await.unwrap().is_ok()); // so that no message is received twice
    mailbox.send(PlatformCommand::CastVote(vote)).unwrap();
    observed += &events(&mut from, 2).await; // the lost vote, the third connection's message
    expect![[r#"
        news 40 1 OnTrial 0.25
        complaint of u-1 track 1
        answer Full None
        answer Moot None
        answer Error None
        answer Moot None
        answer Ok Some((7, 1))
        answer TimeOut None
        news 41 1 OnTrial 0.25
        answer TimeOut None
        news 42 1 OnTrial 0.25
    "#]]
    .assert_eq(&observed);
}

/// Starts the actor for a platform and waits until it is reached.
async fn reached(address: SocketAddr) -> (platform::PlatformMailbox, UnboundedReceiver<Event>) {
    let (relay_events, from) = unbounded_channel();
    let (first, reached) = tokio::sync::oneshot::channel();
    let mailbox = platform::spawn(
        address,
        ms(3000),
        vec!["read".to_owned()],
        relay_events,
        first,
    );
    reached.await.unwrap();
    (mailbox, from)
}

const VOTE: Ballot = Ballot {
    build: BuildId(7),
    stage: Stage(1),
    vote: Vote::Back,
};

#[tokio::test]
async fn a_malformed_platform_line_replaces_the_connection_and_times_out_its_vote() {
    let noises = [
        "no json",
        "{\"id\":1}",
        "{\"method\":\"ROLLOUT\",\"params\":{\"version\":\"?\"}}",
        "\u{1}\u{ff}",
    ];
    let (closed, given_up) = mpsc::channel();
    let address = spawn_server(move |nth, mut stream| {
        let mut lines = BufReader::new(stream.try_clone().unwrap())
            .lines()
            .map_while(Result::ok);
        let _listen = lines.next();
        if nth < noises.len() {
            let news = format!("{{\"method\":\"ROLLOUT\",\"params\":{NEWS}}}\n");
            stream.write_all(news.as_bytes()).unwrap();
            let _vote = lines.next().unwrap();
            stream
                .write_all(format!("{}\n", noises[nth]).as_bytes())
                .unwrap();
            closed.send(lines.next()).unwrap(); // open until the relay closes it
        }
    });
    let (mailbox, mut from) = reached(address).await;
    for _ in noises {
        assert_eq!(events(&mut from, 1).await, "news 7 1 OnTrial 0.25\n");
        mailbox.send(PlatformCommand::CastVote(VOTE)).unwrap();
        assert_eq!(events(&mut from, 1).await, "answer TimeOut None\n");
    }
    let ends = tokio::task::spawn_blocking(move || {
        noises.map(|_| given_up.recv_timeout(TEST_TIMEOUT).unwrap())
    });
    assert_eq!(ends.await.unwrap(), [None, None, None, None]);
}

#[tokio::test]
async fn a_platform_address_change_keeps_pending_votes_and_casts_none_twice() {
    // Each platform announces its own build, forwards what it receives, and sends what it is observed to.
    let (received, mut lines_received) = unbounded_channel::<String>();
    let platform = |name: &'static str, build: u32| {
        let (to, outgoing) = mpsc::channel::<String>();
        let received = received.clone();
        let address = spawn_server(move |_, mut stream| {
            let news = NEWS.replace(":7", &format!(":{build}"));
            let news = format!("{{\"method\":\"ROLLOUT\",\"params\":{news}}}\n");
            stream.write_all(news.as_bytes()).unwrap();
            let (lines, received) = (
                BufReader::new(stream.try_clone().unwrap()).lines(),
                received.clone(),
            );
            std::thread::spawn(move || {
                let lines = lines.map_while(Result::ok).chain(["closed".to_owned()]);
                lines.for_each(|line| drop(received.send(format!("{name} {line}\n"))));
            });
            while outgoing
                .recv()
                .is_ok_and(|text| stream.write_all(text.as_bytes()).is_ok())
            {}
        });
        (address, to)
    };
    let ((old, old_sender), (new, new_sender)) = (platform("old", 7), platform("new", 8));
    let (mailbox, mut from) = reached(old).await;
    let mut observed = events(&mut from, 1).await;
    let mut next = async |count| {
        let mut lines = String::new();
        for _ in 0..count {
            lines += &tokio::time::timeout(TEST_TIMEOUT, lines_received.recv())
                .await
                .unwrap()
                .unwrap();
        }
        lines
    };
    mailbox.send(PlatformCommand::CastVote(VOTE)).unwrap();
    observed += &next(2).await;
    mailbox.send(PlatformCommand::ChangeAddress(new)).unwrap();
    mailbox.send(PlatformCommand::ChangeAddress(new)).unwrap(); // a repeated change to the same address has no effect
    observed += &next(1).await;
    observed += &events(&mut from, 1).await;
    // The old platform's messages no longer count, but its answers to votes still do.
    let dispute = "{\"method\":\"DISPUTE\",\"params\":{\"pod\":\"u-1\",\"kind\":\"read\"}}";
    old_sender
        .send(format!("{dispute}\n{{\"id\":4,\"result\":{NEWS}}}\n"))
        .unwrap();
    observed += &events(&mut from, 1).await;
    mailbox.send(PlatformCommand::CastVote(VOTE)).unwrap();
    observed += &next(1).await;
    new_sender
        .send("{\"method\":\"ping\"}\n".to_owned())
        .unwrap();
    observed += &next(1).await;
    expect![[r#"
        news 7 1 OnTrial 0.25
        old {"id":3,"jsonrpc":"2.0","method":"listen"}
        old {"id":4,"jsonrpc":"2.0","method":"verdict","params":{"step":1,"version":7,"vote":"abort"}}
        new {"id":6,"jsonrpc":"2.0","method":"listen"}
        news 8 1 OnTrial 0.25
        answer Ok None
        new {"id":7,"jsonrpc":"2.0","method":"verdict","params":{"step":1,"version":7,"vote":"abort"}}
        old closed
    "#]]
    .assert_eq(&observed);
}

#[tokio::test]
async fn the_list_is_watched_from_the_last_version_and_malformed_responses_are_failures() {
    let any: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let (seen, asked) = mpsc::channel();
    let answers = vec![
        list_response(
            4,
            true,
            &[
                unit_entry("u-1", any, "active", 1),
                unit_entry("u-2", any, "active", 1),
            ],
        ),
        list_response(
            6,
            false,
            &[
                unit_entry("u-1", any, "leaving", 1),
                unit_entry("u-2", any, "left", 1),
            ],
        ),
        list_response(7, false, &[]),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"index\":".to_owned(),
        list_response(8, false, &[unit_entry("u-3", any, "asleep", 1)]),
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        list_response(9, false, &[unit_entry("u-1", any, "active", 2)]),
    ];
    let mut answers = answers.into_iter();
    let address = spawn_server(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((head, _)) = read_message(&mut reader) {
            seen.send(head.lines().next().unwrap().to_owned()).unwrap();
            let Some(answer) = answers.next() else { break }; // silent from here on
            stream.write_all(answer.as_bytes()).unwrap();
        }
        if answers.len() == 0 {
            std::thread::sleep(TEST_TIMEOUT);
        }
    });
    let (relay_events, mut from) = unbounded_channel();
    let (follow, followed) = unbounded_channel();
    let names = beechcroft_settings::read(&settings(1).to_string()).unwrap();
    let list = UnitListWatcher::new(
        Discovery::new(address, ListDecoder::new(&names)),
        None,
        relay_events,
    );
    let (first, _listed) = tokio::sync::oneshot::channel();
    tokio::spawn(list.run(followed, first));
    let mut observed = events(&mut from, 7).await;
    observed += &asked.try_iter().map(|line| line + "\n").collect::<String>();
    drop(follow);
    expect![[r#"
        list 4 whole true: u-1 Ready build 1 u-2 Ready build 1
        list 6 whole false: u-1 Draining build 1 u-2 Gone build 1
        list failed
        list failed
        list failed
        list 9 whole false: u-1 Ready build 2
        list failed
        GET /v1/servers HTTP/1.1
        GET /v1/servers?index=4&wait=3000 HTTP/1.1
        GET /v1/servers?index=6&wait=3000 HTTP/1.1
        GET /v1/servers?index=7&wait=3000 HTTP/1.1
        GET /v1/servers?index=7&wait=3000 HTTP/1.1
        GET /v1/servers?index=7&wait=3000 HTTP/1.1
        GET /v1/servers?index=7&wait=3000 HTTP/1.1
        GET /v1/servers?index=9&wait=3000 HTTP/1.1
    "#]]
    .assert_eq(&observed);
}

#[tokio::test]
async fn a_truncated_list_fails_before_the_watch_times_out() {
    let address = spawn_server(|_, mut stream| {
        read_message(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":7")
            .unwrap();
        std::mem::forget(stream); // open, and silent
    });
    let names = beechcroft_settings::read(&settings(1).to_string()).unwrap();
    let answer = Discovery::new(address, ListDecoder::new(&names))
        .watch(Some(7))
        .await;
    assert_eq!(answer.err().unwrap(), "stopped short"); // and not "silent", once the watch has timed out
}

#[tokio::test]
async fn peer_messages_are_accepted_from_known_relays_and_sent_to_one_or_all() {
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let (other, unknown_sender, all) = (bind(), bind(), bind());
    let me = UdpSocket::bind("127.83.12.7:0").unwrap(); // an address of which no other test takes the port
    let listen = me.local_addr().unwrap();
    let peers = vec![listen, other.local_addr().unwrap()];
    let addresses = PeerAddresses {
        listen,
        peers,
        all: all.local_addr().ok(),
    };
    drop(me);
    let (relay_events, mut from) = unbounded_channel();
    let peers = Peers::start(addresses, PeerId(0), relay_events)
        .await
        .unwrap();
    peers.send(Some(PeerId(1)), b"to one");
    peers.send(None, b"to all");
    peers.send(None, &[0; 257]);
    peers.send(Some(PeerId(0)), b"own echo");
    peers.send(Some(PeerId(9)), b"to nobody");
    peers.send(None, b"last");
    let read = |socket: UdpSocket, count: usize| {
        tokio::task::spawn_blocking(move || {
            socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let mut buffer = [0; 300];
            let mut one = || {
                socket
                    .recv(&mut buffer)
                    .map(|length| buffer[..length].to_vec())
                    .unwrap()
            };
            (0..count)
                .map(|_| String::from_utf8(one()).unwrap())
                .collect::<Vec<_>>()
        })
    };
    assert_eq!(read(all, 2).await.unwrap(), ["to all", "last"]);
    assert_eq!(
        read(other.try_clone().unwrap(), 1).await.unwrap(),
        ["to one"]
    );
    unknown_sender.send_to(b"strange", listen).unwrap();
    other.send_to(&[0; 257], listen).unwrap();
    other.send_to(b"", listen).unwrap();
    other.send_to(b"hello", listen).unwrap();
    assert_eq!(
        events(&mut from, 2).await,
        "note from 1 []\nnote from 1 [104, 101, 108, 108, 111]\n"
    );
}

#[test]
fn tasks_and_answers_are_forwarded_unaltered() {
    let unit = FakeUnit::start();
    let relay = RelayProcess::start(&configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    ));
    let mut observed = String::new();
    for behavior in ["ok", "error", "full"] {
        observed += &format!("{behavior}: {}\n", relay.read("9b1f03aa5c7e2d41", behavior));
    }
    // A task that may have run is terminated if it must not run twice; one that certainly did not run is nacked.
    for behavior in ["error", "full", "reset"] {
        let head =
            "X-Txn: p-1\r\nX-Lane: pay\r\nX-Remaining-Ms: 6000\r\nContent-Length: 2\r\n\r\n{}";
        let (head, _) = relay.ask(&format!(
            "POST /pay/{behavior} HTTP/1.1\r\nHost: h\r\n{head}"
        ));
        observed += &format!("pay {behavior}: {}\n", status(&head));
    }
    let head = "X-Txn: s-1\r\nX-Lane: submit\r\nX-Remaining-Ms: 6000\r\nIdempotency-Key: 5c0f\r\n";
    let (head, body) = relay.ask(&format!(
        "POST /submit/ok?a=1%20b&c HTTP/1.1\r\nHost: h\r\n{head}X-Other: no\r\nContent-Length: 5\r\n\r\nabcde"
    ));
    observed += &format!(
        "submit: {} {}\n",
        status(&head),
        String::from_utf8(body).unwrap()
    );
    let seen = unit.requests().pop().unwrap();
    let is_forwarded =
        |line: &&str| !line.starts_with("host") && !line.starts_with("x-remaining-ms");
    observed += &seen
        .lines()
        .filter(is_forwarded)
        .collect::<Vec<_>>()
        .join("\n");
    let remaining: u64 = header(&seen, "x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..=5000).contains(&remaining), "{remaining}"); // the quoted time, not the client's
    expect![[r#"
        ok: 200 made by unit
        error: 503 nacked
        full: 503 nacked
        pay error: 502
        pay full: 503
        pay reset: 502
        submit: 200 made by unit
        POST /submit/ok?a=1%20b&c HTTP/1.1
        x-txn: s-1
        idempotency-key: 5c0f
        content-length: 5

        abcde"#]]
    .assert_eq(&observed);
}

#[test]
fn malformed_requests_are_rejected_at_once_and_not_dispatched() {
    let unit = FakeUnit::start();
    let relay = RelayProcess::start(&configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    ));
    let (txn, lane, remaining) = (
        "X-Txn: t-1\r\n",
        "X-Lane: read\r\n",
        "X-Remaining-Ms: 600\r\n",
    );
    let submit = "X-Lane: submit\r\nX-Txn: t-1\r\nX-Remaining-Ms: 600\r\n";
    let cases = [
        ("GET /read/ok", format!("{lane}{remaining}\r\n")),
        ("GET /read/ok", format!("{txn}{remaining}\r\n")),
        ("GET /read/ok", format!("{txn}{lane}\r\n")),
        (
            "GET /read/ok",
            format!("{txn}{lane}X-Remaining-Ms: -5\r\n\r\n"),
        ),
        (
            "GET /read/ok",
            format!("{txn}{lane}X-Remaining-Ms: 99999999999\r\n\r\n"),
        ),
        (
            "GET /read/ok",
            format!("{txn}{lane}X-Remaining-Ms: 8001\r\n\r\n"),
        ),
        (
            "GET /read/ok",
            format!("X-Txn: {}\r\n{lane}{remaining}\r\n", "t".repeat(200)),
        ),
        (
            "GET /read/ok",
            format!("{txn}{lane}{remaining}X-Labels: route_key\r\n\r\n"),
        ),
        (
            "GET /read/ok",
            format!("{txn}{lane}{remaining}X-Labels: work_hint_s=1e18\r\n\r\n"),
        ),
        (
            "GET /read/ok",
            format!("{txn}X-Lane: write\r\n{remaining}\r\n"),
        ),
        ("GET /submit/ok", format!("{txn}{lane}{remaining}\r\n")),
        (
            "POST /read/ok",
            format!("{txn}{lane}{remaining}Content-Length: 0\r\n\r\n"),
        ),
        (
            "GET /submit/ok",
            format!("{submit}Idempotency-Key: k\r\n\r\n"),
        ),
        (
            "POST /submit/ok",
            format!("{submit}Content-Length: 0\r\n\r\n"),
        ),
        (
            "POST /submit/ok",
            format!("{submit}Idempotency-Key: k\r\nContent-Length: 70000\r\n\r\n"),
        ),
        (
            "GET /read/ok",
            format!("X-Long: {}\r\n\r\n", "a".repeat(40_000)),
        ),
        ("nonsense", "\r\n".to_owned()),
    ];
    let mut observed = String::new();
    for (line, rest) in cases {
        let long = if rest.contains("70000") {
            "x".repeat(70_000)
        } else {
            String::new()
        };
        let mut connection = relay.connect();
        let request = format!("{line} HTTP/1.1\r\nHost: h\r\n{rest}{long}");
        let _ = connection.get_mut().write_all(request.as_bytes()); // the response may come before all is read
        let (head, body) = read_message(&mut connection).unwrap_or_default();
        let allow = header(&head, "allow")
            .map(|allow| format!(", {allow} is"))
            .unwrap_or_default();
        observed += &format!(
            "{line}: {} {}{allow}\n",
            status(&head),
            String::from_utf8(body).unwrap()
        );
    }
    expect![[r#"
        GET /read/ok: 400 X-Txn: missing or malformed
        GET /read/ok: 400 X-Lane: missing or malformed
        GET /read/ok: 400 X-Remaining-Ms: missing or malformed
        GET /read/ok: 400 X-Remaining-Ms: missing or malformed
        GET /read/ok: 400 X-Remaining-Ms: missing or malformed
        GET /read/ok: 400 X-Remaining-Ms: longer than any client waits
        GET /read/ok: 400 X-Txn: missing or malformed
        GET /read/ok: 400 X-Labels: malformed
        GET /read/ok: 400 X-Labels: malformed
        GET /read/ok: 404 X-Lane: unknown
        GET /submit/ok: 404 path: its first part is not X-Lane
        POST /read/ok: 405 method: not that of the track, GET is
        GET /submit/ok: 405 method: not that of the track, POST is
        POST /submit/ok: 400 Idempotency-Key: missing
        POST /submit/ok: 413 body: too long or broken
        GET /read/ok: 431 
        nonsense: 400 
    "#]]
    .assert_eq(&observed);
    assert_eq!(unit.requests(), [""; 0]);
    assert_eq!(relay.read("t-1", "ok"), "200 made by unit"); // no rejected request left its id open
}

#[test]
fn a_request_with_transfer_encoding_is_rejected_and_smuggled_data_is_not_read() {
    let unit = FakeUnit::start();
    let relay = RelayProcess::start(&configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    ));
    let head = "X-Txn: s-1\r\nX-Lane: submit\r\nX-Remaining-Ms: 6000\r\nIdempotency-Key: 5c0f\r\n";
    let lengths = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\n",
    ];
    for lengths in lengths {
        let mut client = relay.connect();
        let hidden = read_request("t-1", "ok");
        let request =
            format!("POST /submit/ok HTTP/1.1\r\nHost: h\r\n{head}{lengths}\r\n0\r\n\r\n{hidden}");
        client.get_mut().write_all(request.as_bytes()).unwrap();
        assert_eq!(status(&read_message(&mut client).unwrap().0), "411");
        assert!(read_message(&mut client).is_none());
    }
    assert_eq!(unit.requests(), [""; 0]);
}

#[test]
fn slow_or_silent_clients_get_an_error_or_are_closed() {
    let relay = RelayProcess::start(&configuration(discovery().0, &[]));
    let head = "POST /submit/ok HTTP/1.1\r\nHost: h\r\nX-Txn: s-1\r\nX-Lane: submit\r\n";
    let body = "X-Remaining-Ms: 8000\r\nIdempotency-Key: k\r\nContent-Length: 500\r\n\r\n";
    let ends = ["".to_owned(), head.to_owned(), format!("{head}{body}")].map(|begin| {
        let mut client = relay.connect();
        client.get_ref().set_read_timeout(Some(ms(100))).unwrap();
        client.get_mut().write_all(begin.as_bytes()).unwrap();
        // One byte each 0.1 s, for as long as the client waits.
        let mut answer = Vec::new();
        let done = (0..80).any(|_| {
            let _ = if begin.is_empty() {
                Ok(())
            } else {
                client.get_mut().write_all(b"a")
            };
            match client.read_until(b'\n', &mut answer) {
                Ok(_) => true,
                Err(error) => !matches!(error.kind(), std::io::ErrorKind::WouldBlock),
            }
        });
        (done, String::from_utf8(answer).unwrap())
    });
    let ends = ends.map(|(done, answer)| format!("{done} {answer}"));
    assert_eq!(
        ends,
        ["true ", "true ", "true HTTP/1.1 408 Request Timeout\r\n"]
    );
}

#[test]
fn only_its_own_client_can_disconnect_a_task_and_it_stays_open_until_its_dispatches_end() {
    let (mut tasks, id) = (OpenTasks::<UnitMailbox>::default(), TaskId("t-1".into()));
    let take = |tasks: &mut OpenTasks<UnitMailbox>| {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let (track, hints, deadline) = (TrackId(0), Hints::default(), tokio::time::Instant::now());
        let taken = NewTask {
            id: id.clone(),
            track,
            hints,
            deadline,
            request: task_request("ok"),
            answer,
        };
        tasks.insert(taken).is_ok().then_some(answered)
    };
    let own = take(&mut tasks).unwrap();
    assert!(take(&mut tasks).is_none()); // of another client, with the same id
    assert!(!tasks.client_disconnected(&id)); // and that client left
    let (no, _) = tasks.record_dispatch(&id, None).unwrap();
    drop(own);
    assert!(tasks.client_disconnected(&id) && tasks.record_dispatch(&id, None).is_none());
    assert!(take(&mut tasks).is_none()); // its dispatch is still in flight
    assert!(tasks.dispatch_ended(&id, no) && take(&mut tasks).is_some());
}

#[test]
fn a_closed_connection_cancels_its_task_and_a_duplicate_id_is_rejected() {
    let unit = FakeUnit::start();
    let relay = RelayProcess::start(&configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    ));
    let mut client = relay.connect();
    client
        .get_mut()
        .write_all(read_request("t-1", "hang").as_bytes())
        .unwrap();
    wait_until("dispatched", || unit.requests().len() == 1);
    assert!(relay.read("t-1", "ok").starts_with("409"));
    drop(client);
    wait_until("abandoned", || unit.closed.load(Ordering::SeqCst) == 1);
    wait_until("the warning is logged", || {
        relay.log().contains("task t-1 is open already")
    });
    wait_until("its id is free", || {
        relay.read("t-1", "ok") == "200 made by unit"
    });
}

#[test]
fn after_sigterm_requests_are_answered_idle_connections_close_and_exit_code_is_0() {
    let unit = FakeUnit::start();
    let mut relay = RelayProcess::start(&configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    ));
    let mut idle = relay.connect();
    idle.get_mut()
        .write_all(read_request("t-1", "ok").as_bytes())
        .unwrap();
    assert_eq!(status(&read_message(&mut idle).unwrap().0), "200");
    let mut busy = relay.connect();
    busy.get_mut()
        .write_all(read_request("t-2", "slow").as_bytes())
        .unwrap();
    wait_until("dispatched", || unit.requests().len() == 2);
    relay.signal("-TERM");
    wait_until("leaving", || relay.log().contains("phase Leaving"));
    assert_eq!(idle.read(&mut [0]).unwrap(), 0); // closed while idle
    assert_eq!(relay.health(), "503");
    assert_eq!(relay.read("t-3", "ok"), "200 made by unit");
    let (head, body) = read_message(&mut busy).unwrap();
    assert_eq!((status(&head), &body[..]), ("200", &b"slow"[..]));
    assert_eq!(busy.read(&mut [0]).unwrap(), 0);
    assert_eq!(relay.child.wait().unwrap().code(), Some(0));
    wait_until("ended", || relay.log().contains("phase Ended"));
}

#[test]
fn tasks_are_dispatched_to_the_units_on_the_list() {
    let (one, two) = (FakeUnit::start(), FakeUnit::start());
    let (address, list) = discovery();
    let relay = RelayProcess::start(&configuration(
        address,
        &[unit_entry("u-1", one.address, "active", 1)],
    ));
    assert_eq!(relay.read("t-1", "ok"), "200 made by unit");
    list.send(list_response(
        4,
        false,
        &[unit_entry("u-1", one.address, "leaving", 1)],
    ))
    .unwrap();
    wait_until("nobody is left", || {
        relay.read("t-2", "ok").starts_with("503")
    });
    list.send(list_response(
        5,
        true,
        &[unit_entry("u-1", two.address, "active", 1)],
    ))
    .unwrap();
    let before = one.requests().len();
    wait_until("the unit is back elsewhere", || {
        relay.read("t-3", "ok") == "200 made by unit"
    });
    assert_eq!((one.requests().len(), two.requests().len()), (before, 1));
}

#[test]
fn sighup_applies_new_addresses_of_discovery_and_the_platform() {
    let unit = FakeUnit::start();
    let platform = || {
        let (closed, ends) = mpsc::channel();
        let address = spawn_server(move |_, stream| {
            let closed = closed.clone();
            std::thread::spawn(move || {
                let listens = BufReader::new(stream).lines().map_while(Result::ok).count();
                let _ = closed.send(listens);
            });
        });
        (address, ends)
    };
    let ((old, _old_list), (new, new_list)) = (discovery(), discovery());
    let ((old_platform, _ends), (new_platform, new_ends)) = (platform(), platform());
    let mut all = configuration(old, &[]);
    all["rollouts"] = json!({"address": old_platform});
    let mut relay = RelayProcess::start(&all);
    assert_eq!(relay.read("t-1", "ok"), "503 nacked"); // there is no unit
    let reload = |relay: &RelayProcess, text: &str, expected: &str| {
        std::fs::write(&relay.file, text).unwrap();
        relay.signal("-HUP");
        wait_until("read", || relay.log().contains(expected));
    };
    reload(&relay, "{", "reload: PROXY_CONFIG: no JSON");
    let mut faulty = all.clone();
    (faulty["discovery"], faulty["seed"]) = (json!(new), json!("?"));
    reload(
        &relay,
        &faulty.to_string(),
        "reload: seed: missing or malformed; the former configuration holds",
    );
    (all["discovery"], all["rollouts"]["address"]) = (json!(new), json!(new_platform));
    new_list
        .send(list_response(
            4,
            false,
            &[unit_entry("u-1", unit.address, "active", 1)],
        ))
        .unwrap();
    reload(
        &relay,
        &all.to_string(),
        &format!("reload: discovery {new}"),
    );
    wait_until("the new list is followed", || {
        relay.read("t-2", "ok") == "200 made by unit"
    });
    relay.signal("-HUP");
    relay.signal("-TERM");
    relay.signal("-HUP");
    assert_eq!(relay.child.wait().unwrap().code(), Some(0));
    assert_eq!(new_ends.recv_timeout(TEST_TIMEOUT).unwrap(), 1); // it subscribed, once
}

#[test]
fn the_configured_rollout_state_applies_before_the_first_task() {
    let unit = FakeUnit::start();
    let closed = "127.83.12.9:9"; // an address without a listener
    let observed = ["canary", "stable"].map(|status| {
        let mut all = configuration(discovery().0, &[unit_entry("u-1", unit.address, "active", 2)]);
        let news = json!({"version": 2, "step": 0, "status": status, "maxWeight": 0.0, "observedAgoMs": 1});
        all["rollouts"] = json!({"address": closed, "news": news});
        RelayProcess::start(&all).read("t-1", "ok")
    });
    assert_eq!(observed, ["503 nacked", "200 made by unit"]);
}

#[test]
fn idle_connections_are_closed_for_new_ones_at_the_limit() {
    let unit = FakeUnit::start();
    let mut configuration = configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    );
    configuration["limits"]["sockets"] = json!(64); // 19 of them for clients
    let relay = RelayProcess::start(&configuration);
    let idle: Vec<_> = (0..100)
        .map(|nth| {
            let mut client = relay.connect();
            let request = read_request(&format!("t-{nth}"), "ok");
            client.get_mut().write_all(request.as_bytes()).unwrap();
            assert_eq!(status(&read_message(&mut client).unwrap().0), "200");
            client
        })
        .collect();
    let silent: Vec<_> = (0..40).map(|_| relay.connect()).collect(); // these send no request
    assert_eq!(relay.read("last", "ok"), "200 made by unit");
    drop((idle, silent));
}

#[test]
fn idle_connections_are_closed_under_pressure() {
    let unit = FakeUnit::start();
    let relay = RelayProcess::start(&configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    ));
    let ask = |txn: &str, behavior: &str| {
        let mut client = relay.connect();
        client
            .get_mut()
            .write_all(read_request(txn, behavior).as_bytes())
            .unwrap();
        client
    };
    let mut busy = ask("busy", "slow");
    // A few more than a quarter of the 256 descriptors: the idle ones are closed although no new client connects.
    let mut idle: Vec<_> = (0..70).map(|nth| ask(&format!("t-{nth}"), "ok")).collect();
    assert!(idle
        .iter_mut()
        .all(|client| status(&read_message(client).unwrap().0) == "200"));
    let closes =
        |client: &mut BufReader<TcpStream>| client.read(&mut [0]).is_ok_and(|read| read == 0);
    let closed = idle.iter_mut().map(closes).filter(|&closed| closed).count();
    let (head, _) = read_message(&mut busy).unwrap(); // a connection with an open request stays
    assert_eq!((closed, status(&head)), (70, "200"));
    assert!(relay
        .log()
        .contains("connections are open, idle ones are closed"));
}

#[test]
fn a_faulty_configuration_is_reported_in_one_line_that_names_the_key() {
    let good = configuration("127.0.0.1:9".parse().unwrap(), &[]);
    let none = |_: &str| None;
    assert!(config::decode(&good.to_string(), none, Precedence::Environment).is_ok());
    let cases = [
        ("/listen", json!(null)),
        ("/listen", json!("localhost")),
        ("/discovery", json!(8500)),
        ("/seed", json!("xyz")),
        ("/limits/sockets", json!("many")),
        ("/limits/sockets", json!(10)),
        ("/known/endpoints", json!([{"name": "u"}])),
        ("/settings", json!([])),
        ("/settings/limits", json!(null)),
        ("/settings/me", json!(1)),
        ("/settings/instances", json!(-1)),
        ("/settings/classes", json!([])),
        ("/settings/classes/0/aim_s", json!("soon")),
        ("/settings/classes/1/effect", json!("often")),
        ("/settings/invariants/cold_from", json!(7)),
        ("/settings/family_info/stage_cap", json!([0.1, 2])),
        ("/settings/family_info/answer_wait_s", json!(-1)),
        ("/settings/limits/dial_timeout_s", json!(0)),
        ("/settings/limits/idle_close_s", json!(1e300)),
    ];
    let mut observed = String::new();
    for (key, value) in cases {
        let mut all = good.clone();
        *all.pointer_mut(key).unwrap_or_else(|| panic!("{key}")) = value;
        observed += &config::decode(&all.to_string(), none, Precedence::Environment)
            .err()
            .unwrap_or(format!("{key}: taken"));
        observed.push('\n');
    }
    for (key, value) in [
        ("rollouts", json!({"address": 1})),
        ("peer_listen", json!("127.0.0.1:0")),
    ] {
        let mut all = good.clone();
        (all[key], all["settings"]["instances"]) = (value, json!(2));
        observed += &config::decode(&all.to_string(), none, Precedence::Environment)
            .err()
            .unwrap_or(format!("{key}: taken"));
        observed.push('\n');
    }
    observed += &config::decode("{\"name\":", none, Precedence::Environment)
        .err()
        .unwrap();
    expect![[r#"
        listen: missing or malformed
        listen: 'localhost' is no address
        discovery: missing or malformed
        seed: missing or malformed
        limits.sockets: missing or malformed
        limits.sockets: 10 is out of range, 64 are needed
        known: missing field `address` at line 1 column 26
        settings: missing or malformed
        settings.limits: missing or malformed
        settings.me: out of range
        settings.instances: missing or malformed
        settings.classes: out of range
        settings.classes[].aim_s: missing or malformed
        settings.classes[].effect: missing or malformed
        settings.invariants.cold_from: out of range
        settings.family_info.stage_cap: out of range
        settings.family_info.answer_wait_s: missing or malformed
        settings.limits.dial_timeout_s: out of range
        settings.limits.idle_close_s: missing or malformed
        rollouts.address: missing or malformed
        peers: missing or malformed
        PROXY_CONFIG: no JSON: EOF while parsing a value at line 1 column 8"#]]
    .assert_eq(&observed);
    // An environment variable overrides the file. For the program itself, checks the exit code and that there is one
    // line.
    let listen = |name: &str| (name == "PROXY_LISTEN").then(|| "127.0.0.1:81".to_owned());
    let port = |holds| {
        config::decode(&good.to_string(), listen, holds)
            .ok()
            .unwrap()
            .listen
            .port()
    };
    assert_eq!(
        [Precedence::Environment, Precedence::File].map(port),
        [81, 0]
    );
    let run = Command::new(env!("CARGO_BIN_EXE_beechcroft"))
        .env("PROXY_CONFIG", "/nowhere")
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(1));
    let line = String::from_utf8(run.stderr).unwrap();
    assert_eq!(
        (
            line.lines().count(),
            line.starts_with("beechcroft: PROXY_CONFIG: /nowhere: ")
        ),
        (1, true)
    );
}

#[test]
fn an_invalid_load_report_is_ignored() {
    let load = |report: &str| beechcroft_relay::wire::units::load_in_report(report.as_bytes());
    assert_eq!(load(r#"{"q":0,"busy":0.7,"rif":3.9}"#), Some(3.9));
    assert_eq!(load(r#"{"inflight":7,"queue":2,"util":0.61}"#), Some(7.0));
    let invalid = [
        "",
        "{",
        "[]",
        "null",
        "7",
        "{}",
        r#"{"rif":-1}"#,
        r#"{"rif":1e99}"#,
        r#"{"rif":"many"}"#,
    ];
    assert!(invalid.iter().all(|report| load(report).is_none()));
    assert_eq!(load(r#"{"rif":1,"inflight":2}"#), None); // two names for one number
}
