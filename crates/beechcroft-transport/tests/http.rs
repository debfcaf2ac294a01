//! HTTP validation on raw bytes: one test for each hazard that was observed with async-h1 alone, and for other
//! ambiguous messages. Connections are loopback pairs, and no test sleeps.

use beechcroft_error::ErrorKind;
use beechcroft_transport::connection::{BodyError, BodyReader, Connection};
use beechcroft_transport::http_validation::{self, Framing, Parsed};
use beechcroft_transport::rpc::RpcClient;
use beechcroft_transport::server::{self, Response, ServerLimits};
use beechcroft_transport::Runtime;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

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

/// A connection whose peer sends these bytes and closes.
async fn connection(bytes: &[u8]) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (to, bytes) = (listener.local_addr().unwrap(), bytes.to_vec());
    spawn_local(async move {
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
    });
    Connection::new(listener.accept().await.unwrap().0.into())
}

/// Reads the head and body of a response as the proxy reads them from a unit.
async fn read_response(
    bytes: &[u8],
) -> Result<(http_validation::ResponseHead, Result<Vec<u8>, BodyError>), ErrorKind> {
    let mut connection = connection(bytes).await;
    let head = loop {
        match http_validation::parse_response(connection.unread(), "GET") {
            Parsed::Complete(head, length) => {
                connection.consume(length);
                if head.status != 100 {
                    break head;
                }
            }
            Parsed::Invalid(kind) => return Err(kind),
            Parsed::Incomplete => {
                assert!(
                    connection.read_more().await.unwrap() > 0,
                    "the head is incomplete"
                )
            }
        }
    };
    let mut reader = BodyReader::new(head.framing);
    let mut body = Vec::new();
    while !reader.is_done() {
        if let Err(error) = reader.read(&mut connection, &mut body).await {
            return Ok((head, Err(error)));
        }
    }
    Ok((head, Ok(body)))
}

fn parse_request(bytes: &[u8]) -> Result<http_validation::RequestHead, ErrorKind> {
    match http_validation::parse_request(bytes, 16 << 10) {
        Parsed::Complete(head, _) => Ok(head),
        Parsed::Invalid(kind) => Err(kind),
        Parsed::Incomplete => panic!("the head is incomplete"),
    }
}

#[test]
fn a_response_shorter_than_its_length_is_truncated() {
    run(async {
        let (_, body) = read_response(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort")
            .await
            .unwrap();
        assert_eq!(body, Err(BodyError::Truncated));
    });
}

#[test]
fn a_response_without_a_length_lasts_until_the_connection_closes() {
    run(async {
        let (head, body) = read_response(b"HTTP/1.1 200 OK\r\n\r\nall of this")
            .await
            .unwrap();
        assert_eq!(
            (head.framing, body),
            (Some(Framing::UntilClose), Ok(b"all of this".to_vec()))
        );
    });
}

#[test]
fn an_interim_100_is_not_taken_for_the_response() {
    run(async {
        let bytes =
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";
        let (head, body) = read_response(bytes).await.unwrap();
        assert_eq!((head.status, body), (201, Ok(b"ok".to_vec())));
    });
}

#[test]
fn an_unregistered_status_is_kept() {
    run(async {
        let (head, _) = read_response(b"HTTP/1.1 499 Odd Thing\r\nContent-Length: 0\r\n\r\n")
            .await
            .unwrap();
        assert_eq!((head.status, head.reason.as_str()), (499, "Odd Thing"));
    });
}

#[test]
fn a_chunked_response_is_read_and_a_truncated_one_is_rejected() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let complete = format!("{head}5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: t\r\n\r\n");
        assert_eq!(
            read_response(complete.as_bytes()).await.unwrap().1,
            Ok(b"hello world".to_vec())
        );
        for cut in head.len()..complete.len() {
            let (_, body) = read_response(&complete.as_bytes()[..cut]).await.unwrap();
            assert_eq!(body, Err(BodyError::Truncated), "cut at {cut}");
        }
        let malformed = format!("{head}5\r\nhelloXX0\r\n\r\n");
        assert_eq!(
            read_response(malformed.as_bytes()).await.unwrap().1,
            Err(BodyError::Malformed)
        );
    });
}

#[test]
fn ambiguous_requests_are_rejected() {
    let head = |lines: &str| format!("POST /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n\r\n");
    for lines in [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3, 4",
        "Content-Length: +3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding : chunked",
        "Host: other",
        "Beechcroft-Attempt-Id: 1\r\nBeechcroft-Attempt-Id: 2",
    ] {
        assert_eq!(
            parse_request(head(lines).as_bytes()).err(),
            Some(ErrorKind::Malformed),
            "{lines}"
        );
    }
    assert!(parse_request(head("Content-Length: 3\r\nContent-Length: 3").as_bytes()).is_ok());
    for bytes in [
        "GET /a HTTP/1.1\r\n\r\n",
        "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
        "\x16\x03\x01\x00\r\n\r\n",
    ] {
        assert_eq!(
            parse_request(bytes.as_bytes()).err(),
            Some(ErrorKind::Malformed),
            "{bytes:?}"
        );
    }
}

#[test]
fn a_raw_target_is_not_normalized() {
    let head = parse_request(b"GET /a%2Fb/../c?d=%20 HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    assert_eq!(head.target, "/a%2Fb/../c?d=%20");
}

#[test]
fn hop_by_hop_headers_are_dropped_and_all_others_are_forwarded() {
    let bytes =
        b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\nX-Theirs: \xe9\r\n\
        Beechcroft-Time-Budget: 12\r\nBeechcroft-Target-Unit: i-1\r\nTE: trailers\r\n\r\n";
    let head = parse_request(bytes).unwrap();
    assert_eq!(head.forwarded_headers, b"Host: h\r\nX-Theirs: \xe9\r\n");
    assert_eq!(head.budget_ms, Some(12));
}

#[test]
fn a_head_that_is_too_large_is_rejected_before_it_is_complete() {
    let long = format!("GET /a HTTP/1.1\r\nHost: h\r\nX: {}", "x".repeat(20 << 10));
    assert!(matches!(
        http_validation::parse_request(long.as_bytes(), 16 << 10),
        Parsed::Invalid(ErrorKind::HeadTooLarge)
    ));
}

#[test]
fn bytes_after_a_response_prevent_reuse_of_the_connection() {
    run(async {
        let mut connection =
            connection(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n").await;
        while connection.unread().len() < 50 {
            connection.read_more().await.unwrap();
        }
        let Parsed::Complete(head, length) =
            http_validation::parse_response(connection.unread(), "GET")
        else {
            panic!()
        };
        connection.consume(length);
        let (mut reader, mut body) = (BodyReader::new(head.framing), Vec::new());
        reader.read(&mut connection, &mut body).await.unwrap();
        assert_eq!((reader.is_done(), body.as_slice()), (true, &b"ok"[..]));
        assert!(!connection.is_reusable());
    });
}

/// Starts a server that responds with the body of the request.
async fn start_echo_server() -> SocketAddrV4 {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let std::net::SocketAddr::V4(at) = unused.local_addr().unwrap() else {
        panic!()
    };
    drop(unused);
    let limits = ServerLimits {
        max_body_bytes: 1000,
        ..ServerLimits::default()
    };
    spawn_local(server::serve(
        Runtime::real(),
        at,
        limits,
        |call| async move { Response::bytes(call.body) },
    ));
    while TcpStream::connect(at).await.is_err() {
        tokio::task::yield_now().await;
    }
    at
}

/// Sends raw bytes to the server, and returns all that it sends until it closes.
async fn send_raw(at: SocketAddrV4, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn a_call_with_a_truncated_body_is_not_executed() {
    run(async {
        let at = start_echo_server().await;
        let response = send_raw(
            at,
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
        )
        .await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        let response = send_raw(
            at,
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        )
        .await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    });
}

#[test]
fn the_server_rejects_invalid_calls_and_serves_later_ones() {
    run(async {
        let at = start_echo_server().await;
        let conflicting =
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde";
        assert!(send_raw(at, conflicting).await.starts_with("HTTP/1.1 400"));
        let large = format!(
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n{}",
            "x".repeat(2000)
        );
        assert!(send_raw(at, large.as_bytes())
            .await
            .starts_with("HTTP/1.1 413"));
        assert!(send_raw(at, b"not http at all\r\n\r\n")
            .await
            .starts_with("HTTP/1.1 400"));
        let valid = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
        assert!(send_raw(at, valid).await.ends_with("abc"));
    });
}

#[test]
fn the_client_rejects_truncated_responses_and_reuses_connections() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(at) = listener.local_addr().unwrap() else {
            panic!()
        };
        spawn_local(async move {
            for response in [
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\n\r\nabc",
            ] {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut bytes = [0; 4096];
                let _ = stream.read(&mut bytes).await;
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        });
        let client = RpcClient::default();
        for _ in 0..2 {
            let result = client
                .call(at, "/x", b"hello".to_vec(), Duration::from_secs(5))
                .await;
            assert_eq!(
                result.err().map(|error| error.kind),
                Some(ErrorKind::ResponseLost)
            );
        }
        let server = start_echo_server().await;
        for body in [&b"hello"[..], b"", b"again"] {
            let response = client
                .call(server, "/x", body.to_vec(), Duration::from_secs(5))
                .await
                .unwrap();
            assert_eq!(response, body);
        }
    });
}
