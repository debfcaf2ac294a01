//! Endpoints and a discovery server for the `idle` experiment, in a process of their own. They answer quickly and
//! without errors, since the experiment measures the relay.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Prints the discovery server's address as one line and serves until the process is killed.
pub fn serve(endpoints: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime.map_err(|error| error.to_string())?.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..endpoints {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept(listener, serve_endpoint));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let snapshot = snapshot(&addresses);
        accept(listener, move |stream| {
            serve_discovery(stream, snapshot.clone())
        })
        .await;
        std::io::Result::Ok(())
    });
    served.map_err(|error| format!("fleet: {error}"))
}

async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve_connection: impl Fn(TcpStream) -> F,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream));
    }
}

/// Reads a request without a body and returns its request line; `None` if the connection ended.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    head.lines().next().map(str::to_owned)
}

async fn serve_endpoint(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while read_request(&mut stream).await.is_some() {
        tokio::time::sleep(SERVICE_TIME).await;
        if stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            .await
            .is_err()
        {
            return;
        }
    }
}

fn snapshot(endpoints: &[SocketAddr]) -> String {
    let entry = |(nth, address): (usize, &SocketAddr)| {
        serde_json::json!({"name": format!("u-{nth}"), "address": address, "zone": "home", "type": "toy", "group": nth,
            "status": "active", "weight": 1.0, "since_ms": 0, "revision_no": 1})
    };
    let entries: Vec<_> = endpoints.iter().enumerate().map(entry).collect();
    serde_json::json!({"index": 1, "snapshot": true, "endpoints": entries}).to_string()
}

/// Answers the first request with the whole snapshot. A watch from that index gets an empty change list after 3 s.
async fn serve_discovery(stream: TcpStream, snapshot: String) {
    let mut stream = BufReader::new(stream);
    while let Some(line) = read_request(&mut stream).await {
        let body = match line.contains("index=1&") || line.contains("index=1 ") {
            true => {
                tokio::time::sleep(Duration::from_secs(3)).await;
                r#"{"index":1,"snapshot":false,"endpoints":[]}"#
            }
            false => &snapshot,
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}
