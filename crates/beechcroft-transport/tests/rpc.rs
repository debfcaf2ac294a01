//! RPCs on reused connections: a late, foreign, repeated or truncated response is never taken for that of another call,
//! and a server that has read ahead into the next call never takes its body for a call. Connections are loopback pairs,
//! and no test sleeps.

use beechcroft_safeguards::{disable, Safeguard};
use beechcroft_transport::rpc::RpcClient;
use beechcroft_transport::server::{self, Response, ServerLimits};
use beechcroft_transport::Runtime;
use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
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

/// What a node sends for the nth call on a connection, given the call's id: bytes to send at once, and bytes to send
/// together with those for the next call.
type Script = fn(usize, &str) -> (String, String);

fn response(id: &str, body: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("beechcroft-call-id: {id}\r\n")
    };
    format!(
        "HTTP/1.1 200 OK\r\n{id}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a node that follows a script and counts its connections.
async fn start_node(script: Script) -> (SocketAddrV4, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(at) = listener.local_addr().unwrap() else {
        panic!()
    };
    let connections = Rc::new(Cell::new(0));
    let count = connections.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            spawn_local(async move {
                let (mut nth, mut delayed) = (0, String::new());
                let mut bytes = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut bytes).await {
                    let call = String::from_utf8_lossy(&bytes[..length]).into_owned();
                    let id = call
                        .lines()
                        .find_map(|line| line.strip_prefix("beechcroft-call-id: "));
                    let Some(id) = id else { continue };
                    let (now, next) = script(nth, id);
                    if stream
                        .write_all((std::mem::replace(&mut delayed, next) + &now).as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                    nth += 1;
                }
            });
        }
    });
    (at, connections)
}

/// Makes `count` calls in turn. Returns the body of each successful one, and the number of connections used.
fn make_calls(script: Script, count: usize) -> (Vec<Option<String>>, usize) {
    run(async {
        let (at, connections) = start_node(script).await;
        let (client, mut bodies) = (RpcClient::default(), Vec::new());
        for _ in 0..count {
            let result = client
                .call(at, "/x", b"".to_vec(), Duration::from_millis(300))
                .await;
            bodies.push(result.ok().map(|body| String::from_utf8(body).unwrap()));
        }
        (bodies, connections.get())
    })
}

fn all_ok(bodies: &[&str]) -> Vec<Option<String>> {
    bodies.iter().map(|body| Some((*body).to_owned())).collect()
}

#[test]
fn a_response_with_the_id_of_another_call_is_rejected_and_closes_its_connection() {
    let foreign: Script = |nth, id| match nth {
        0 => (response(id, id), String::new()),
        _ => (response("other", "stray"), String::new()),
    };
    assert_eq!(
        make_calls(foreign, 3),
        (vec![Some("1".into()), None, Some("3".into())], 2)
    );
    // A late response arrives in place of the next one: with the id of the previous call, or without an id.
    let late: Script = |_, id| (response(id, id), response(id, "stray"));
    assert_eq!(
        make_calls(late, 3),
        (vec![Some("1".into()), None, Some("3".into())], 2)
    );
    let without_id: Script = |_, id| (response(id, id), response("", "stray"));
    assert_eq!(
        make_calls(without_id, 3),
        (vec![Some("1".into()), None, Some("3".into())], 2)
    );
    let _disabled = disable(Some(Safeguard::RpcIds));
    for script in [foreign, late, without_id] {
        assert_eq!(make_calls(script, 2).0[1], Some("stray".into()));
    }
}

#[test]
fn a_response_without_an_id_is_accepted_only_on_a_new_connection() {
    assert_eq!(
        make_calls(|_, id| (response("", id), String::new()), 3),
        (all_ok(&["1", "2", "3"]), 3)
    );
}

#[test]
fn a_connection_with_bytes_after_a_response_is_not_reused() {
    let repeated: Script = |nth, id| {
        let second = response(id, "stray");
        let (now, next) = second.split_at(if nth == 0 { 20 } else { 0 });
        (
            response(id, id) + now,
            if nth == 0 {
                next.to_owned()
            } else {
                String::new()
            },
        )
    };
    assert_eq!(make_calls(repeated, 2), (all_ok(&["1", "2"]), 2));
    let _disabled = disable(Some(Safeguard::ClientReadAhead));
    assert_eq!(make_calls(repeated, 2).0[1], None);
}

#[test]
fn a_call_that_timed_out_closes_its_connection() {
    let slow: Script = |nth, id| match (nth, id) {
        (0, "1") => (String::new(), response(id, "stray")),
        _ => (response(id, id), String::new()),
    };
    let (bodies, connections) = make_calls(slow, 3);
    assert_eq!(
        (bodies, connections),
        (vec![None, Some("2".into()), Some("3".into())], 2)
    );
}

#[test]
fn a_server_that_has_read_ahead_executes_nothing_of_the_next_body() {
    let count_smuggled_calls = || {
        run(async {
            let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let SocketAddr::V4(at) = unused.local_addr().unwrap() else {
                panic!()
            };
            drop(unused);
            let executed = Rc::new(Cell::new(0));
            let count = executed.clone();
            spawn_local(server::serve(
                Runtime::real(),
                at,
                ServerLimits::default(),
                move |call| {
                    count.set(count.get() + usize::from(call.path == "/inner"));
                    async move { Response::bytes(call.path) }
                },
            ));
            let mut stream = loop {
                match TcpStream::connect(at).await {
                    Ok(stream) => break stream,
                    Err(_) => tokio::task::yield_now().await,
                }
            };
            // Sends a call and the head of a second one, then the body of the second one, which looks like a call.
            let inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
            let first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
            let second = format!(
                "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
                inner.len()
            );
            stream
                .write_all((first.to_owned() + &second).as_bytes())
                .await
                .unwrap();
            let mut bytes = [0; 4096];
            let length = stream.read(&mut bytes).await.unwrap();
            assert!(bytes[..length].ends_with(b"/a"));
            let _ = stream.write_all(inner.as_bytes()).await;
            let _ = stream.shutdown().await;
            while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
            executed.get()
        })
    };
    assert_eq!(count_smuggled_calls(), 0);
    let _disabled = disable(Some(Safeguard::ServerReadAhead));
    assert_eq!(count_smuggled_calls(), 1);
}
