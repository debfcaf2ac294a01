//! One request, and what a unit may do to it at each point of its way, in turn: for a request that may be
//! repeated, and for one that must not. Sockets are on loopback; units are scripts of this file.

use beechcroft_balancer::{Upstream, VersionClass};
use beechcroft_config::{Config, ServiceDefaults, Settings};
use beechcroft_proxy::client;
use beechcroft_proxy::shared::{Phase, Shared};
use beechcroft_routing::RoutingTable;
use beechcroft_transport::Runtime;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

const SETTINGS: &str = r#"
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "z"
region = "r"
internalPorts = [7540, 7555]
[zones]
z = "r"
far-z = "far"
[listen]
[bounds]
retryExtra = 50.0
"#;

const CONFIG: &str = r#"{"version":"00000001","baseVersion":"00000000",
"services":[{"name":"s","maxConns":100,"warmupS":3.0,"warmupRateS":2.0}],
"limits":{"maxHeaderBytes":4096,"maxBodyBytes":200000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"virtualHosts":[{"hostname":"h","pathRules":[
{"name":"get","pathPrefix":"/get/","routeType":"idempotent","timeoutMs":5000,"targetMs":400,"service":"s","retries":2},
{"name":"post","pathPrefix":"/post/","routeType":"non_idempotent","timeoutMs":5000,"targetMs":400,"service":"s",
 "retries":2},
{"name":"home","pathPrefix":"/home/","routeType":"idempotent","timeoutMs":5000,"targetMs":400,"service":"s",
 "retries":2,"homeRegions":["far"]}]}]}"#;

/// What a unit does with the first request that reaches it; later ones it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Answers,
    /// Nothing listens there.
    NotThere,
    /// Closes before it reads.
    ClosesUnread,
    /// Reads all and closes.
    ClosesRead,
    HalfAHead,
    Rubbish,
    HalfABody,
    BreaksChunks,
    Full,
    AnotherUnit,
    Fails,
    NoSeal,
    Encoded,
    /// An answer to another request first, then the right one.
    Stray,
    /// The right one, then more.
    Extra,
    Silent,
}

use Does::*;

const ALL: [Does; 16] = [
    Answers,
    NotThere,
    ClosesUnread,
    ClosesRead,
    HalfAHead,
    Rubbish,
    HalfABody,
    BreaksChunks,
    Full,
    AnotherUnit,
    Fails,
    NoSeal,
    Encoded,
    Stray,
    Extra,
    Silent,
];

/// Requests that units have read, each with the unit's number and whether it ran.
type Seen = Rc<RefCell<Vec<(usize, String, bool)>>>;

fn sealed(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Server-Seal: seal\r\nX-Own: kept\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One request off a connection: head and body.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let mut some = [0; 4096];
        match stream.read(&mut some).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend(&some[..read]),
        }
    }
}

async fn serve_unit(mut stream: TcpStream, number: usize, does: Rc<RefCell<Does>>, seen: Seen) {
    loop {
        if *does.borrow() == ClosesUnread {
            *does.borrow_mut() = Answers;
            return;
        }
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let now = does.replace(Answers);
        let ran = !matches!(now, Full | AnotherUnit);
        seen.borrow_mut().push((number, request.clone(), ran));
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("Beechcroft-Attempt-Id: "))
            .unwrap_or("");
        let answer = match now {
            Answers => sealed(id, "whole"),
            ClosesRead | ClosesUnread | NotThere => return,
            HalfAHead => "HTTP/1.1 200 OK\r\nContent-".into(),
            Rubbish => "what is this\r\n\r\n".into(),
            HalfABody => sealed(id, "whole").replace("whole", "wh"),
            BreaksChunks => {
                sealed(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "5\r\nwh"
            }
            Full => format!(
                "HTTP/1.1 503 Service Unavailable\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            ),
            AnotherUnit => format!(
                "HTTP/1.1 421 Misdirected Request\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Unit-Id: other\r\n\
                 Content-Length: 0\r\n\r\n"
            ),
            Fails => sealed(id, "sorry").replace("200 OK", "500 Internal Server Error"),
            NoSeal => sealed(id, "whole").replace("Beechcroft-Server-Seal: seal\r\n", ""),
            Encoded => sealed(id, "whole").replace("X-Own: kept", "Content-Encoding: gzip"),
            Stray => sealed("another", "not yours") + &sealed(id, "whole"),
            Extra => sealed(id, "whole") + &sealed(id, "twice"),
            Silent => {
                std::future::pending::<()>().await;
                return;
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if matches!(now, HalfAHead | Rubbish | HalfABody | BreaksChunks) {
            return;
        }
    }
}

/// A relay's request side with its units.
struct Stand {
    shared: Rc<Shared>,
    seen: Seen,
    does: Vec<Rc<RefCell<Does>>>,
    _guide: tokio::sync::mpsc::UnboundedReceiver<beechcroft_proxy::state_owner::Command>,
    queue: beechcroft_proxy::state_owner::CommandQueue,
}

impl Stand {
    async fn new(units: &[Does]) -> Stand {
        let shared = Rc::new(Shared::new(
            Settings::read(SETTINGS).unwrap(),
            ServiceDefaults::default(),
            1,
            Runtime::real(),
        ));
        *shared.routes.borrow_mut() = Some(Rc::new(RoutingTable::new(
            &Config::read(CONFIG.as_bytes()).unwrap(),
        )));
        shared.phase.set(Phase::Ready);
        let seen = Seen::default();
        let mut all = Vec::new();
        for (number, does) in units.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
                panic!()
            };
            let does = Rc::new(RefCell::new(*does));
            if *does.borrow() != NotThere {
                let (does, seen) = (does.clone(), seen.clone());
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(serve_unit(stream, number, does.clone(), seen.clone()));
                    }
                });
            }
            all.push(does);
            // The first unit is the emptiest: it is asked first.
            let mut upstream = Upstream::new(&format!("i-{number}"), address, "z", "r", "v1", 100);
            (upstream.class, upstream.is_available, upstream.in_flight) =
                (VersionClass::Base, true, number as u32 * 10);
            shared.balancer.borrow_mut().service_mut("s").push(upstream);
        }
        let (queue, guide) = tokio::sync::mpsc::unbounded_channel();
        Stand {
            shared,
            seen,
            does: all,
            _guide: guide,
            queue,
        }
    }

    async fn client(&self) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        spawn_local(client::serve(
            self.shared.clone(),
            self.queue.clone(),
            stream.into(),
        ));
        client
    }

    /// Requests that ran.
    fn ran(&self) -> usize {
        self.seen.borrow().iter().filter(|(.., ran)| *ran).count()
    }
}

fn get(id: &str) -> String {
    format!("GET /get/x?q=%20 HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 3000\r\n\r\n")
}

fn post(id: &str) -> String {
    format!(
        "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 300\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Status and body of the next answer; none if the connection closes first.
async fn answer(client: &mut TcpStream) -> Option<(u16, String, String)> {
    let mut text = String::new();
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
            if length.is_some_and(|length| body.len() >= length) {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some((status, head.to_owned(), body.to_owned()));
            }
        }
        let mut some = [0; 8192];
        match client.read(&mut some).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => text += &String::from_utf8_lossy(&some[..read]),
        }
    }
}

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        tokio::time::timeout(Duration::from_secs(20), test)
            .await
            .expect("the test hangs")
    }))
}

#[test]
fn a_request_that_may_be_repeated_is_answered_by_another_unit_whatever_the_first_does() {
    for does in ALL {
        run(async {
            let stand = Stand::new(&[does, Answers]).await;
            let mut client = stand.client().await;
            client.write_all(get("a").as_bytes()).await.unwrap();
            let (status, head, body) = answer(&mut client)
                .await
                .unwrap_or_else(|| panic!("{does:?}: closed"));
            assert_eq!((status, body.as_str()), (200, "whole"), "{does:?}");
            assert!(
                head.contains("X-Own: kept") && head.contains("Beechcroft-Server-Seal: seal"),
                "{does:?}: {head}"
            );
            let seen = stand.seen.borrow();
            assert!(
                seen.iter()
                    .all(|(.., text, _)| text.starts_with("GET /get/x?q=%20 HTTP/1.1\r\n")),
                "{seen:?}"
            );
            assert!(seen
                .iter()
                .all(|(unit, text, _)| text.contains(&format!("Target-Unit: i-{unit}\r\n"))));
            assert!(seen.len() <= 2, "{does:?}: sent to more units than allowed");
        });
    }
}

#[test]
fn a_request_that_must_not_be_repeated_runs_once_at_most_and_a_promise_means_never() {
    for does in ALL {
        run(async {
            let stand = Stand::new(&[does, Answers]).await;
            let mut client = stand.client().await;
            client.write_all(post("a").as_bytes()).await.unwrap();
            let answered = answer(&mut client).await;
            let (status, ran) = (answered.as_ref().map(|a| a.0), stand.ran());
            assert!(ran <= 1, "{does:?}: ran {ran} times");
            if matches!(status, Some(408 | 421 | 429 | 503)) {
                assert_eq!(ran, 0, "{does:?}: {status:?} is a promise");
            }
            let expected = match does {
                Answers | NotThere | Full | AnotherUnit | Stray | Extra => Some(200),
                Fails => Some(500),
                Silent => Some(504),
                _ => Some(502),
            };
            assert_eq!(status, expected, "{does:?}");
        });
    }
}

#[test]
fn no_answer_goes_to_another_request_on_a_kept_connection() {
    for does in [Stray, Extra, NoSeal, Encoded] {
        run(async {
            let stand = Stand::new(&[does]).await;
            let mut client = stand.client().await;
            for id in ["a", "b", "c"] {
                client.write_all(get(id).as_bytes()).await.unwrap();
                if let Some((200, head, body)) = answer(&mut client).await {
                    assert!(
                        head.contains(&format!("Attempt-Id: {id}")),
                        "{does:?}: {id} got {head}"
                    );
                    assert_eq!(body, "whole");
                }
            }
        });
    }
}

#[test]
fn a_unit_that_is_full_is_said_at_once_with_a_time_to_come_back() {
    run(async {
        let stand = Stand::new(&[Full, Full]).await;
        let mut client = stand.client().await;
        client.write_all(post("a").as_bytes()).await.unwrap();
        let (status, head, _) = answer(&mut client).await.unwrap();
        assert_eq!((status, stand.ran()), (503, 0));
        let after = head
            .lines()
            .find_map(|line| line.strip_prefix("Retry-After: ")?.parse::<f64>().ok());
        assert!(
            after.is_some_and(|after| after > 0.0 && after < 1.0),
            "{head}"
        );
    });
}

#[test]
fn a_silent_unit_is_passed_by_while_it_still_may_answer_and_is_set_aside() {
    run(async {
        let stand = Stand::new(&[Silent, Answers]).await;
        let began = tokio::time::Instant::now();
        let mut client = stand.client().await;
        client.write_all(get("a").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        assert!(began.elapsed() < Duration::from_millis(1500));
        assert_eq!(stand.seen.borrow().len(), 2);
        *stand.does[0].borrow_mut() = Silent;
        client.write_all(get("b").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        client.write_all(get("c").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        let last = stand.seen.borrow().last().map(|seen| seen.0);
        assert_eq!(last, Some(1), "two silences in a row set a unit aside");
    });
}

#[test]
fn homes_bind_and_unknown_routes_are_said() {
    run(async {
        let stand = Stand::new(&[Answers]).await;
        let mut client = stand.client().await;
        client
            .write_all(get("a").replace("/get/", "/home/").as_bytes())
            .await
            .unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 503);
        client
            .write_all(get("b").replace("/get/", "/none/").as_bytes())
            .await
            .unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 404);
        assert!(stand.seen.borrow().is_empty());
    });
}

#[test]
fn bodies_pass_unchanged_held_or_streamed_and_one_that_breaks_off_is_not_run() {
    run(async {
        let stand = Stand::new(&[Answers]).await;
        let large = "0123456789".repeat(12_000);
        for body in ["", "small", large.as_str()] {
            let mut client = stand.client().await;
            let head = format!(
                "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            client.write_all(head.as_bytes()).await.unwrap();
            client.write_all(body.as_bytes()).await.unwrap();
            assert_eq!(answer(&mut client).await.unwrap().0, 200);
            let seen = stand.seen.borrow().last().unwrap().1.clone();
            assert_eq!(seen.split_once("\r\n\r\n").unwrap().1, body);
        }
        let before = stand.seen.borrow().len();
        let mut client = stand.client().await;
        let head =
            "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nhalf";
        client.write_all(head.as_bytes()).await.unwrap();
        client.shutdown().await.unwrap();
        assert_eq!(answer(&mut client).await, None);
        assert_eq!(
            stand.seen.borrow().len(),
            before,
            "half a body reached a unit"
        );
        let mut client = stand.client().await;
        let head =
            "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: 900000\r\n\r\n";
        client.write_all(head.as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 413);
    });
}

#[test]
fn a_relay_without_a_configuration_or_near_its_end_promises_that_nothing_ran() {
    for phase in [Phase::Starting, Phase::Closing] {
        run(async {
            let stand = Stand::new(&[Answers]).await;
            stand.shared.phase.set(phase);
            let mut client = stand.client().await;
            client.write_all(post("a").as_bytes()).await.unwrap();
            let (status, head, _) = answer(&mut client).await.unwrap();
            assert_eq!((status, stand.ran()), (503, 0));
            assert!(
                head.contains("Retry-After") && head.contains("Connection: close"),
                "{head}"
            );
        });
    }
}

#[test]
fn a_client_that_leaves_takes_its_request_with_it() {
    run(async {
        let stand = Stand::new(&[Silent]).await;
        let mut client = stand.client().await;
        client.write_all(post("a").as_bytes()).await.unwrap();
        while stand.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(stand.shared.in_flight.get(), 1);
        drop(client);
        while stand.shared.in_flight.get() > 0 {
            tokio::task::yield_now().await;
        }
        let balancer = stand.shared.balancer.borrow();
        assert!(balancer
            .upstreams()
            .all(|(_, upstream)| upstream.in_flight == 0));
    });
}

/// A service that says what unfit means, and gives each key one place for what must not run twice.
const RULED: &str = r#""maxConns":100,"unfit":{"preset":"record"},"usualPlaces":1"#;

fn ruled(stand: &Stand) {
    let config = CONFIG.replace(r#""maxConns":100"#, RULED);
    *stand.shared.routes.borrow_mut() = Some(Rc::new(RoutingTable::new(
        &Config::read(config.as_bytes()).unwrap(),
    )));
}

#[test]
fn a_relay_that_has_lost_touch_refuses_what_must_not_run_twice_and_serves_the_rest() {
    run(async {
        let stand = Stand::new(&[Answers, Answers]).await;
        ruled(&stand);
        let mut client = stand.client().await;
        client.write_all(post("a").as_bytes()).await.unwrap();
        let (status, head, _) = answer(&mut client).await.unwrap();
        assert_eq!(
            (status, stand.ran()),
            (503, 0),
            "it never heard of the core"
        );
        assert!(head.contains("Retry-After"), "{head}");
        client.write_all(get("b").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        stand.shared.quorum_read_at.set(Some(stand.shared.now()));
        client.write_all(post("c").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        stand.shared.quorum_read_at.set(Some(
            stand.shared.now() - beechcroft_outlier::placement::LEASE_MS - 1,
        ));
        client.write_all(post("d").as_bytes()).await.unwrap();
        assert_eq!(
            answer(&mut client).await.unwrap().0,
            503,
            "it goes on for a stated time only"
        );
    });
}

#[test]
fn a_keys_new_place_is_not_used_before_all_relays_know_of_it_or_have_stopped() {
    run(async {
        let stand = Stand::new(&[Answers, Answers]).await;
        ruled(&stand);
        let now = stand.shared.now();
        stand.shared.quorum_read_at.set(Some(now));
        let mut client = stand.client().await;
        client.write_all(post("a").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        let first = stand.seen.borrow()[0].0;
        // The core's decision: the key's place is left out. It is learned just now.
        let id = format!("i-{first}");
        let placement = beechcroft_consensus::Placement {
            version: 1,
            excluded: [id.clone()].into(),
        };
        let mut moves = beechcroft_outlier::placement::PlacementHistory::default();
        moves.learn(now, placement.version, &placement.excluded);
        stand
            .shared
            .operations
            .borrow_mut()
            .placements
            .insert("s".into(), placement.clone());
        stand
            .shared
            .balancer
            .borrow_mut()
            .upstream_mut("s", &id)
            .unwrap()
            .is_excluded_by_placement = true;
        stand
            .shared
            .placements
            .borrow_mut()
            .insert("s".into(), moves);
        client.write_all(post("b").as_bytes()).await.unwrap();
        let (status, head, _) = answer(&mut client).await.unwrap();
        assert_eq!(
            (status, stand.ran()),
            (503, 1),
            "others may still send it to the old place"
        );
        assert!(head.contains("Retry-After"));
        let mut moves = beechcroft_outlier::placement::PlacementHistory::default();
        moves.learn(0, placement.version, &placement.excluded);
        stand
            .shared
            .placements
            .borrow_mut()
            .insert("s".into(), moves);
        client.write_all(post("c").as_bytes()).await.unwrap();
        assert_eq!(answer(&mut client).await.unwrap().0, 200);
        assert_ne!(stand.seen.borrow().last().unwrap().0, first);
    });
}

#[test]
fn lookups_leave_out_a_unit_that_all_regions_found_unfit_unless_no_other_is_there() {
    run(async {
        let stand = Stand::new(&[Answers, Answers]).await;
        stand
            .shared
            .balancer
            .borrow_mut()
            .upstream_mut("s", "i-0")
            .unwrap()
            .is_ejected_by_fleet = true;
        let mut client = stand.client().await;
        for id in ["a", "b", "c"] {
            client.write_all(get(id).as_bytes()).await.unwrap();
            assert_eq!(answer(&mut client).await.unwrap().0, 200);
        }
        assert!(stand.seen.borrow().iter().all(|(unit, ..)| *unit == 1));
        stand
            .shared
            .balancer
            .borrow_mut()
            .upstream_mut("s", "i-1")
            .unwrap()
            .is_ejected_by_fleet = true;
        client.write_all(get("d").as_bytes()).await.unwrap();
        assert_eq!(
            answer(&mut client).await.unwrap().0,
            200,
            "all unfit: all get requests again"
        );
    });
}

/// Addresses that a test may use are of this machine only.
#[test]
fn the_stand_uses_loopback() {
    run(async {
        let stand = Stand::new(&[Answers]).await;
        let balancer = stand.shared.balancer.borrow();
        let all: Vec<SocketAddrV4> = balancer
            .upstreams()
            .map(|(_, place)| place.address)
            .collect();
        assert!(all.iter().all(|address| address.ip().is_loopback()));
    });
}
