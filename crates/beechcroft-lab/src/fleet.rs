//! Units and discovery, in a process of their own beside the relays: they answer quickly and rightly, as what is measured
//! is the relay.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// What a task takes on a unit.
const WORK: Duration = Duration::from_millis(5);

/// Prints discovery's address and goes on until it is ended.
pub fn serve(units: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime.map_err(|error| error.to_string())?.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..units {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept(listener, unit));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let body = list(&addresses);
        accept(listener, move |stream| discovery(stream, body.clone())).await;
        std::io::Result::Ok(())
    });
    served.map_err(|error| format!("fleet: {error}"))
}

async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    each: impl Fn(TcpStream) -> F,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(each(stream));
    }
}

/// Reads a request without a body; its first line.
async fn request(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    head.lines().next().map(str::to_owned)
}

async fn unit(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while request(&mut stream).await.is_some() {
        tokio::time::sleep(WORK).await;
        if stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            .await
            .is_err()
        {
            return;
        }
    }
}

fn list(units: &[SocketAddr]) -> String {
    let entry = |(nth, address): (usize, &SocketAddr)| {
        serde_json::json!({"name": format!("u-{nth}"), "address": address, "zone": "home", "type": "toy", "group": nth,
            "status": "active", "weight": 1.0, "since_ms": 0, "revision_no": 1})
    };
    let entries: Vec<_> = units.iter().enumerate().map(entry).collect();
    serde_json::json!({"index": 1, "snapshot": true, "endpoints": entries}).to_string()
}

/// The whole list at first; a watch from there on ends with its wait.
async fn discovery(stream: TcpStream, whole: String) {
    let mut stream = BufReader::new(stream);
    while let Some(line) = request(&mut stream).await {
        let body = match line.contains("index=1&") || line.contains("index=1 ") {
            true => {
                tokio::time::sleep(Duration::from_secs(3)).await;
                r#"{"index":1,"snapshot":false,"endpoints":[]}"#
            }
            false => &whole,
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
