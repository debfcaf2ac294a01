//! Detection of callers that disconnect while their call is handled, over loopback connections.

use beechcroft_transport::server::{self, Request, Response, ServerLimits};
use beechcroft_transport::Runtime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::{spawn_local, LocalSet};

const CALL: &[u8] = b"POST /evacuation/z/begin HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

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

/// Starts a server that passes each call to a channel, and responds to it once it is notified.
async fn start_server() -> (
    SocketAddrV4,
    UnboundedReceiver<(Request, Rc<tokio::sync::Notify>)>,
) {
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(at) = unused.local_addr().unwrap() else {
        panic!()
    };
    drop(unused);
    let (sender, calls) = unbounded_channel();
    spawn_local(server::serve(
        Runtime::real(),
        at,
        ServerLimits::default(),
        move |call| {
            let sender = sender.clone();
            async move {
                let done = Rc::new(tokio::sync::Notify::new());
                let _ = sender.send((call, done.clone()));
                done.notified().await;
                Response::json("{}")
            }
        },
    ));
    tokio::task::yield_now().await;
    (at, calls)
}

/// Connects, retrying until the server listens, and sends raw bytes.
async fn connect_and_send(at: SocketAddrV4, bytes: &[u8]) -> TcpStream {
    let mut stream = loop {
        match TcpStream::connect(at).await {
            Ok(stream) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    stream.write_all(bytes).await.unwrap();
    stream
}

#[test]
fn a_caller_that_closes_while_its_call_is_handled_counts_as_disconnected() {
    run(async {
        let (at, mut calls) = start_server().await;
        let stream = connect_and_send(at, CALL).await;
        let (call, _) = calls.recv().await.unwrap();
        assert!(!call.caller.is_disconnected().await);
        drop(stream);
        call.caller.disconnected().await;
        assert!(call.caller.is_disconnected().await);
    });
}

#[test]
fn a_caller_with_unread_bytes_counts_as_disconnected_only_after_it_closes() {
    run(async {
        let (at, mut calls) = start_server().await;
        let stream = connect_and_send(at, &[CALL, CALL].concat()).await;
        let (call, _) = calls.recv().await.unwrap();
        assert!(!call.caller.is_disconnected().await);
        drop(stream);
        call.caller.disconnected().await;
    });
}

#[test]
fn a_caller_that_closed_before_its_call_was_read_counts_as_disconnected() {
    run(async {
        // The closed connection waits in the accept queue of a server that has not accepted yet.
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let mut stream = std::net::TcpStream::connect(at).unwrap();
        std::io::Write::write_all(&mut stream, CALL).unwrap();
        drop(stream);
        listener.set_nonblocking(true).unwrap();
        let (stream, _) = TcpListener::from_std(listener)
            .unwrap()
            .accept()
            .await
            .unwrap();
        let mut stream = beechcroft_transport::Stream::from(stream);
        let mut read = Vec::with_capacity(4096);
        while !read.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut read).await.unwrap() > 0);
        }
        stream.closed_by_peer().await;
    });
}

#[test]
fn a_connected_caller_gets_responses_and_may_call_again() {
    run(async {
        let (at, mut calls) = start_server().await;
        let mut stream = connect_and_send(at, CALL).await;
        for _ in 0..2 {
            let (call, done) = calls.recv().await.unwrap();
            assert!(!call.caller.is_disconnected().await);
            done.notify_one();
            let mut head = Vec::new();
            while !head.ends_with(b"{}") {
                let mut byte = [0];
                stream.read_exact(&mut byte).await.unwrap();
                head.extend(byte);
            }
            assert!(head.starts_with(b"HTTP/1.1 200"));
            stream.write_all(CALL).await.unwrap();
        }
    });
}
