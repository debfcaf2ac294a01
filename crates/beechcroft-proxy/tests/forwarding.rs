//! Forwards single requests to scripted units that fail at every point of an exchange, with idempotent and non-idempotent
//! requests. Guards against responses for other requests, double execution, and rejections of requests that were executed.
//! Sockets are on loopback.

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

/// How a unit handles the first request that reaches it. It responds to later ones.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Responds,
    /// Nothing listens at the address.
    NotListening,
    /// Closes the connection before reading.
    ClosesBeforeReading,
    /// Closes the connection after reading the request.
    ClosesAfterReading,
    TruncatedHead,
    InvalidHead,
    TruncatedBody,
    TruncatedChunks,
    RejectsAsFull,
    OtherUnit,
    ServerError,
    MissingSeal,
    EncodedBody,
    /// Sends a response to another request before the right one.
    ForeignResponseFirst,
    /// Sends another response after the right one.
    ExtraResponse,
    Silent,
}

use Behavior::*;

const ALL_BEHAVIORS: [Behavior; 16] = [
    Responds,
    NotListening,
    ClosesBeforeReading,
    ClosesAfterReading,
    TruncatedHead,
    InvalidHead,
    TruncatedBody,
    TruncatedChunks,
    RejectsAsFull,
    OtherUnit,
    ServerError,
    MissingSeal,
    EncodedBody,
    ForeignResponseFirst,
    ExtraResponse,
    Silent,
];

/// Requests that units have read, each with the index of the unit and whether it was executed.
type ReceivedRequests = Rc<RefCell<Vec<(usize, String, bool)>>>;

fn sealed_response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Server-Seal: seal\r\nX-Own: kept\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one request, head and body, or `None` if the connection closes before its end.
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
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend(&buffer[..read]),
        }
    }
}

async fn serve_unit(
    mut stream: TcpStream,
    index: usize,
    behavior: Rc<RefCell<Behavior>>,
    received: ReceivedRequests,
) {
    loop {
        if *behavior.borrow() == ClosesBeforeReading {
            *behavior.borrow_mut() = Responds;
            return;
        }
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let current = behavior.replace(Responds);
        let is_executed = !matches!(current, RejectsAsFull | OtherUnit);
        received
            .borrow_mut()
            .push((index, request.clone(), is_executed));
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("Beechcroft-Attempt-Id: "))
            .unwrap_or("");
        let response = match current {
            Responds => sealed_response(id, "hello"),
            ClosesAfterReading | ClosesBeforeReading | NotListening => return,
            TruncatedHead => "HTTP/1.1 200 OK\r\nContent-".into(),
            InvalidHead => "not HTTP\r\n\r\n".into(),
            TruncatedBody => sealed_response(id, "hello").replace("hello", "he"),
            TruncatedChunks => {
                sealed_response(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "5\r\nhe"
            }
            RejectsAsFull => format!(
                "HTTP/1.1 503 Service Unavailable\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            ),
            OtherUnit => format!(
                "HTTP/1.1 421 Misdirected Request\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Unit-Id: other\r\n\
                 Content-Length: 0\r\n\r\n"
            ),
            ServerError => sealed_response(id, "error").replace("200 OK", "500 Internal Server Error"),
            MissingSeal => sealed_response(id, "hello").replace("Beechcroft-Server-Seal: seal\r\n", ""),
            EncodedBody => sealed_response(id, "hello").replace("X-Own: kept", "Content-Encoding: gzip"),
            ForeignResponseFirst => sealed_response("another", "foreign") + &sealed_response(id, "hello"),
            ExtraResponse => sealed_response(id, "hello") + &sealed_response(id, "twice"),
            Silent => {
                std::future::pending::<()>().await;
                return;
            }
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        if matches!(
            current,
            TruncatedHead | InvalidHead | TruncatedBody | TruncatedChunks
        ) {
            return;
        }
    }
}

/// The request path of a proxy, connected to scripted units.
struct TestProxy {
    shared: Rc<Shared>,
    received: ReceivedRequests,
    behaviors: Vec<Rc<RefCell<Behavior>>>,
    _commands: tokio::sync::mpsc::UnboundedReceiver<beechcroft_proxy::state_owner::Command>,
    queue: beechcroft_proxy::state_owner::CommandQueue,
}

impl TestProxy {
    async fn new(units: &[Behavior]) -> TestProxy {
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
        let received = ReceivedRequests::default();
        let mut behaviors = Vec::new();
        for (index, behavior) in units.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
                panic!()
            };
            let behavior = Rc::new(RefCell::new(*behavior));
            if *behavior.borrow() != NotListening {
                let (behavior, received) = (behavior.clone(), received.clone());
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(serve_unit(
                            stream,
                            index,
                            behavior.clone(),
                            received.clone(),
                        ));
                    }
                });
            }
            behaviors.push(behavior);
            // The first unit has the least load, so that it is picked first.
            let mut upstream = Upstream::new(&format!("i-{index}"), address, "z", "r", "v1", 100);
            (upstream.class, upstream.is_available, upstream.in_flight) =
                (VersionClass::Base, true, index as u32 * 10);
            shared.balancer.borrow_mut().service_mut("s").push(upstream);
        }
        let (queue, commands) = tokio::sync::mpsc::unbounded_channel();
        TestProxy {
            shared,
            received,
            behaviors,
            _commands: commands,
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

    /// Number of requests that units executed.
    fn executions(&self) -> usize {
        self.received
            .borrow()
            .iter()
            .filter(|(.., is_executed)| *is_executed)
            .count()
    }
}

fn get_request(id: &str) -> String {
    format!("GET /get/x?q=%20 HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 3000\r\n\r\n")
}

fn post_request(id: &str) -> String {
    format!(
        "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 300\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Reads the next response: status, head and body. `None` if the connection closes before its end.
async fn read_response(client: &mut TcpStream) -> Option<(u16, String, String)> {
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
        let mut buffer = [0; 8192];
        match client.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => text += &String::from_utf8_lossy(&buffer[..read]),
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
            .expect("the test timed out")
    }))
}

#[test]
fn idempotent_request_is_answered_whatever_the_first_unit_does() {
    for behavior in ALL_BEHAVIORS {
        run(async {
            let proxy = TestProxy::new(&[behavior, Responds]).await;
            let mut client = proxy.client().await;
            client.write_all(get_request("a").as_bytes()).await.unwrap();
            let (status, head, body) = read_response(&mut client)
                .await
                .unwrap_or_else(|| panic!("{behavior:?}: connection closed without a response"));
            assert_eq!((status, body.as_str()), (200, "hello"), "{behavior:?}");
            assert!(
                head.contains("X-Own: kept") && head.contains("Beechcroft-Server-Seal: seal"),
                "{behavior:?}: {head}"
            );
            let received = proxy.received.borrow();
            assert!(
                received
                    .iter()
                    .all(|(.., text, _)| text.starts_with("GET /get/x?q=%20 HTTP/1.1\r\n")),
                "{received:?}"
            );
            assert!(received
                .iter()
                .all(|(unit, text, _)| text.contains(&format!("Target-Unit: i-{unit}\r\n"))));
            assert!(
                received.len() <= 2,
                "{behavior:?}: sent to more units than allowed"
            );
        });
    }
}

#[test]
fn non_idempotent_request_is_executed_at_most_once_and_never_if_rejected() {
    for behavior in ALL_BEHAVIORS {
        run(async {
            let proxy = TestProxy::new(&[behavior, Responds]).await;
            let mut client = proxy.client().await;
            client
                .write_all(post_request("a").as_bytes())
                .await
                .unwrap();
            let response = read_response(&mut client).await;
            let status = response.as_ref().map(|response| response.0);
            let executions = proxy.executions();
            assert!(executions <= 1, "{behavior:?}: executed {executions} times");
            if matches!(status, Some(408 | 421 | 429 | 503)) {
                assert_eq!(executions, 0, "{behavior:?}: executed despite {status:?}");
            }
            let expected = match behavior {
                Responds | NotListening | RejectsAsFull | OtherUnit | ForeignResponseFirst
                | ExtraResponse => Some(200),
                ServerError => Some(500),
                Silent => Some(504),
                _ => Some(502),
            };
            assert_eq!(status, expected, "{behavior:?}");
        });
    }
}

#[test]
fn responses_are_not_mixed_up_on_reused_connections() {
    for behavior in [
        ForeignResponseFirst,
        ExtraResponse,
        MissingSeal,
        EncodedBody,
    ] {
        run(async {
            let proxy = TestProxy::new(&[behavior]).await;
            let mut client = proxy.client().await;
            for id in ["a", "b", "c"] {
                client.write_all(get_request(id).as_bytes()).await.unwrap();
                if let Some((200, head, body)) = read_response(&mut client).await {
                    assert!(
                        head.contains(&format!("Attempt-Id: {id}")),
                        "{behavior:?}: {id} got {head}"
                    );
                    assert_eq!(body, "hello");
                }
            }
        });
    }
}

#[test]
fn full_units_lead_to_a_rejection_with_retry_after() {
    run(async {
        let proxy = TestProxy::new(&[RejectsAsFull, RejectsAsFull]).await;
        let mut client = proxy.client().await;
        client
            .write_all(post_request("a").as_bytes())
            .await
            .unwrap();
        let (status, head, _) = read_response(&mut client).await.unwrap();
        assert_eq!((status, proxy.executions()), (503, 0));
        let retry_after_s = head
            .lines()
            .find_map(|line| line.strip_prefix("Retry-After: ")?.parse::<f64>().ok());
        assert!(
            retry_after_s.is_some_and(|seconds| seconds > 0.0 && seconds < 1.0),
            "{head}"
        );
    });
}

#[test]
fn silent_unit_is_hedged_and_then_ejected() {
    run(async {
        let proxy = TestProxy::new(&[Silent, Responds]).await;
        let started_at = tokio::time::Instant::now();
        let mut client = proxy.client().await;
        client.write_all(get_request("a").as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        assert!(started_at.elapsed() < Duration::from_millis(1500));
        assert_eq!(proxy.received.borrow().len(), 2);
        *proxy.behaviors[0].borrow_mut() = Silent;
        client.write_all(get_request("b").as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        client.write_all(get_request("c").as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        let last = proxy.received.borrow().last().map(|request| request.0);
        assert_eq!(
            last,
            Some(1),
            "a unit that was silent twice in a row is ejected"
        );
    });
}

#[test]
fn home_regions_are_binding_and_unknown_routes_are_not_found() {
    run(async {
        let proxy = TestProxy::new(&[Responds]).await;
        let mut client = proxy.client().await;
        client
            .write_all(get_request("a").replace("/get/", "/home/").as_bytes())
            .await
            .unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 503);
        client
            .write_all(get_request("b").replace("/get/", "/none/").as_bytes())
            .await
            .unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 404);
        assert!(proxy.received.borrow().is_empty());
    });
}

#[test]
fn bodies_are_forwarded_unchanged_and_truncated_ones_are_not_executed() {
    run(async {
        let proxy = TestProxy::new(&[Responds]).await;
        let large = "0123456789".repeat(12_000);
        for body in ["", "small", large.as_str()] {
            let mut client = proxy.client().await;
            let head = format!(
                "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            client.write_all(head.as_bytes()).await.unwrap();
            client.write_all(body.as_bytes()).await.unwrap();
            assert_eq!(read_response(&mut client).await.unwrap().0, 200);
            let request = proxy.received.borrow().last().unwrap().1.clone();
            assert_eq!(request.split_once("\r\n\r\n").unwrap().1, body);
        }
        let before = proxy.received.borrow().len();
        let mut client = proxy.client().await;
        let head =
            "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nhalf";
        client.write_all(head.as_bytes()).await.unwrap();
        client.shutdown().await.unwrap();
        assert_eq!(read_response(&mut client).await, None);
        assert_eq!(
            proxy.received.borrow().len(),
            before,
            "a truncated body reached a unit"
        );
        let mut client = proxy.client().await;
        let head =
            "POST /post/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: 900000\r\n\r\n";
        client.write_all(head.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 413);
    });
}

#[test]
fn starting_or_closing_proxy_rejects_without_execution() {
    for phase in [Phase::Starting, Phase::Closing] {
        run(async {
            let proxy = TestProxy::new(&[Responds]).await;
            proxy.shared.phase.set(phase);
            let mut client = proxy.client().await;
            client
                .write_all(post_request("a").as_bytes())
                .await
                .unwrap();
            let (status, head, _) = read_response(&mut client).await.unwrap();
            assert_eq!((status, proxy.executions()), (503, 0));
            assert!(
                head.contains("Retry-After") && head.contains("Connection: close"),
                "{head}"
            );
        });
    }
}

#[test]
fn client_disconnect_cancels_its_request() {
    run(async {
        let proxy = TestProxy::new(&[Silent]).await;
        let mut client = proxy.client().await;
        client
            .write_all(post_request("a").as_bytes())
            .await
            .unwrap();
        while proxy.received.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(proxy.shared.in_flight.get(), 1);
        drop(client);
        while proxy.shared.in_flight.get() > 0 {
            tokio::task::yield_now().await;
        }
        let balancer = proxy.shared.balancer.borrow();
        assert!(balancer
            .upstreams()
            .all(|(_, upstream)| upstream.in_flight == 0));
    });
}

/// Settings of a service with outlier rules, which sends the non-idempotent requests for a key to a single endpoint.
const SERVICE_WITH_OUTLIER_RULES: &str =
    r#""maxConns":100,"unfit":{"preset":"record"},"usualPlaces":1"#;

/// Enables outlier rules, and with them placement, for the service.
fn enable_outlier_rules(proxy: &TestProxy) {
    let config = CONFIG.replace(r#""maxConns":100"#, SERVICE_WITH_OUTLIER_RULES);
    *proxy.shared.routes.borrow_mut() = Some(Rc::new(RoutingTable::new(
        &Config::read(config.as_bytes()).unwrap(),
    )));
}

#[test]
fn expired_lease_rejects_only_non_idempotent_requests() {
    run(async {
        let proxy = TestProxy::new(&[Responds, Responds]).await;
        enable_outlier_rules(&proxy);
        let mut client = proxy.client().await;
        client
            .write_all(post_request("a").as_bytes())
            .await
            .unwrap();
        let (status, head, _) = read_response(&mut client).await.unwrap();
        assert_eq!(
            (status, proxy.executions()),
            (503, 0),
            "the proxy has never seen a quorum read"
        );
        assert!(head.contains("Retry-After"), "{head}");
        client.write_all(get_request("b").as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        proxy.shared.quorum_read_at.set(Some(proxy.shared.now()));
        client
            .write_all(post_request("c").as_bytes())
            .await
            .unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        proxy.shared.quorum_read_at.set(Some(
            proxy.shared.now() - beechcroft_outlier::placement::LEASE_MS - 1,
        ));
        client
            .write_all(post_request("d").as_bytes())
            .await
            .unwrap();
        assert_eq!(
            read_response(&mut client).await.unwrap().0,
            503,
            "the lease has expired"
        );
    });
}

#[test]
fn moved_key_is_rejected_until_no_proxy_uses_its_former_endpoint() {
    run(async {
        let proxy = TestProxy::new(&[Responds, Responds]).await;
        enable_outlier_rules(&proxy);
        let now = proxy.shared.now();
        proxy.shared.quorum_read_at.set(Some(now));
        let mut client = proxy.client().await;
        client
            .write_all(post_request("a").as_bytes())
            .await
            .unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        let first = proxy.received.borrow()[0].0;
        // The control nodes exclude the key's endpoint, which the proxy learns at this moment.
        let id = format!("i-{first}");
        let placement = beechcroft_consensus::Placement {
            version: 1,
            excluded: [id.clone()].into(),
        };
        let mut history = beechcroft_outlier::placement::PlacementHistory::default();
        history.learn(now, placement.version, &placement.excluded);
        proxy
            .shared
            .operations
            .borrow_mut()
            .placements
            .insert("s".into(), placement.clone());
        proxy
            .shared
            .balancer
            .borrow_mut()
            .upstream_mut("s", &id)
            .unwrap()
            .is_excluded_by_placement = true;
        proxy
            .shared
            .placements
            .borrow_mut()
            .insert("s".into(), history);
        client
            .write_all(post_request("b").as_bytes())
            .await
            .unwrap();
        let (status, head, _) = read_response(&mut client).await.unwrap();
        assert_eq!(
            (status, proxy.executions()),
            (503, 1),
            "other proxies may still use the former endpoint"
        );
        assert!(head.contains("Retry-After"));
        let mut history = beechcroft_outlier::placement::PlacementHistory::default();
        history.learn(0, placement.version, &placement.excluded);
        proxy
            .shared
            .placements
            .borrow_mut()
            .insert("s".into(), history);
        client
            .write_all(post_request("c").as_bytes())
            .await
            .unwrap();
        assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        assert_ne!(proxy.received.borrow().last().unwrap().0, first);
    });
}

#[test]
fn ejected_unit_gets_lookups_only_if_all_units_are_ejected() {
    run(async {
        let proxy = TestProxy::new(&[Responds, Responds]).await;
        proxy
            .shared
            .balancer
            .borrow_mut()
            .upstream_mut("s", "i-0")
            .unwrap()
            .is_ejected_by_fleet = true;
        let mut client = proxy.client().await;
        for id in ["a", "b", "c"] {
            client.write_all(get_request(id).as_bytes()).await.unwrap();
            assert_eq!(read_response(&mut client).await.unwrap().0, 200);
        }
        assert!(proxy.received.borrow().iter().all(|(unit, ..)| *unit == 1));
        proxy
            .shared
            .balancer
            .borrow_mut()
            .upstream_mut("s", "i-1")
            .unwrap()
            .is_ejected_by_fleet = true;
        client.write_all(get_request("d").as_bytes()).await.unwrap();
        assert_eq!(
            read_response(&mut client).await.unwrap().0,
            200,
            "if all units are ejected, all get requests again"
        );
    });
}

/// The units of these tests must not be reachable from other machines.
#[test]
fn test_units_listen_on_loopback() {
    run(async {
        let proxy = TestProxy::new(&[Responds]).await;
        let balancer = proxy.shared.balancer.borrow();
        let addresses: Vec<SocketAddrV4> = balancer
            .upstreams()
            .map(|(_, upstream)| upstream.address)
            .collect();
        assert!(addresses.iter().all(|address| address.ip().is_loopback()));
    });
}
