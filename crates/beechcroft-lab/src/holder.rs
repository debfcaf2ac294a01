//! Client process of the `idle` experiment: holds connections to one relay, as browsers do. It opens them at a given
//! rate, sends requests on many of them at once and accounts for every response. It reads one command a line from
//! standard input and answers each with one line of JSON.

use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Connections opened, or requests sent, between two pauses: small enough not to overflow the listener's backlog.
const BATCH: usize = 64;
/// Time-out for a connect and for each read of a response; after it the response counts as missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Executes commands until standard input ends:
///
/// - `open N MS`: opens N connections, spread over MS milliseconds.
/// - `ask N MS TXN`: sends one request on each of the first N connections, spread over MS milliseconds, and waits for
///   the responses.
/// - `closed`: counts the connections that the relay has closed.
pub fn run(address: SocketAddr) -> Result<(), String> {
    let mut connections: Vec<TcpStream> = Vec::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split(' ').collect();
        let number = |at: usize| {
            words
                .get(at)
                .and_then(|word| word.parse::<usize>().ok())
                .unwrap_or_default()
        };
        let reply = match words[0] {
            "open" => {
                let began = Instant::now();
                let (count, over) = (number(1), Duration::from_millis(number(2) as u64));
                for nth in 0..count {
                    if nth % BATCH == 0 {
                        wait_until_due(began, over, nth, count);
                    }
                    connections.push(connect(address)?);
                }
                serde_json::json!({"open": connections.len(), "ms": began.elapsed().as_millis() as u64})
            }
            "ask" => send_requests(
                &mut connections,
                number(1),
                Duration::from_millis(number(2) as u64),
                words[3],
            ),
            "closed" => {
                let closed = connections
                    .iter_mut()
                    .map(is_closed)
                    .filter(|&closed| closed)
                    .count();
                serde_json::json!({"closed": closed})
            }
            other => return Err(format!("holder: unknown command: {other}")),
        };
        println!("{reply}");
    }
    Ok(())
}

/// Sleeps until item `nth` of `count` is due, with all of them spread evenly over `over`.
fn wait_until_due(began: Instant, over: Duration, nth: usize, count: usize) {
    let due = over.mul_f64(nth as f64 / count.max(1) as f64);
    std::thread::sleep(due.saturating_sub(began.elapsed()));
}

fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)
        .map_err(|error| format!("{address}: {error}"))?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.read(&mut [0; 64]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Sends one request on each of the first `count` connections. Reports responses by status, where `0` is a connection
/// that ended or timed out without one; `twice` counts connections with more than one response.
fn send_requests(
    connections: &mut [TcpStream],
    count: usize,
    over: Duration,
    txn: &str,
) -> serde_json::Value {
    let count = count.min(connections.len());
    let began = Instant::now();
    let mut by_status = std::collections::BTreeMap::<String, usize>::new();
    let (mut twice, mut slowest) = (0, Duration::ZERO);
    std::thread::scope(|scope| {
        let (sent, responses) = mpsc::channel::<(Instant, &TcpStream)>();
        let reader = scope.spawn(move || {
            let (mut by_status, mut twice, mut slowest) = (
                std::collections::BTreeMap::<String, usize>::new(),
                0,
                Duration::ZERO,
            );
            for (sent_at, stream) in responses {
                let (status, more) = read_response(stream);
                slowest = slowest.max(sent_at.elapsed());
                twice += usize::from(more);
                *by_status.entry(status).or_default() += 1;
            }
            (by_status, twice, slowest)
        });
        for (nth, stream) in connections[..count].iter().enumerate() {
            if nth % BATCH == 0 {
                wait_until_due(began, over, nth, count);
            }
            let head = format!("X-Txn: {txn}-{nth}\r\nX-Lane: read\r\nX-Remaining-Ms: 2000\r\n");
            let _ = (&*stream)
                .write_all(format!("GET /read/x HTTP/1.1\r\nHost: h\r\n{head}\r\n").as_bytes());
            let _ = sent.send((Instant::now(), stream));
        }
        drop(sent);
        (by_status, twice, slowest) = reader.join().unwrap_or_default();
    });
    serde_json::json!({"asked": count, "answers": by_status, "twice": twice, "slowest_ms": slowest.as_millis() as u64})
}

/// Reads one response: its status, and whether more data follows it directly.
fn read_response(mut stream: &TcpStream) -> (String, bool) {
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        text.extend(&buffer[..read]);
        let received = String::from_utf8_lossy(&text);
        let Some((head, body)) = received.split_once("\r\n\r\n") else {
            continue;
        };
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length: usize = lengths
            .next()
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or_default();
        if body.len() >= length {
            let status = head.split(' ').nth(1).unwrap_or("0").to_owned();
            return (status, body.len() > length);
        }
    }
    ("0".to_owned(), false)
}
