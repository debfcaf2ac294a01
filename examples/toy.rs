//! A toy deployment for one relay: three units, discovery and the platform in one program, on loopback addresses.
//! Two units run build 1. The third runs build 2, which is on trial and fails every second task. Start it with
//! `cargo run --example toy`, then the relay as README.md shows.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Address of discovery.
const DISCOVERY: &str = "127.0.0.1:8500";
/// Address of the platform.
const PLATFORM: &str = "127.0.0.1:6400";
/// Name, address and build of each unit.
const UNITS: [(&str, &str, u32); 3] = [
    ("unit-1", "127.0.0.1:9001", 1),
    ("unit-2", "127.0.0.1:9002", 1),
    ("unit-3", "127.0.0.1:9003", 2),
];

/// Whether build 2 has been voted back. The version of the list is 1 before that and 2 after it.
static WITHDRAWN: (Mutex<bool>, Condvar) = (Mutex::new(false), Condvar::new());

fn withdrawn() -> bool {
    *WITHDRAWN.0.lock().unwrap()
}

fn main() {
    for (name, address, build) in UNITS {
        thread::spawn(move || serve(address, move |stream| unit(stream, name, build)));
    }
    thread::spawn(|| serve(DISCOVERY, discovery));
    println!(
        "toy: units at 127.0.0.1:9001 to 9003, discovery at {DISCOVERY}, platform at {PLATFORM}"
    );
    serve(PLATFORM, platform);
}

/// Accepts connections and handles each on a thread of its own.
fn serve(address: &str, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
    for stream in listener.incoming().flatten() {
        let handle = handle.clone();
        thread::spawn(move || handle(stream));
    }
}

/// Reads the next request and returns its first line; the body is dropped.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let (mut first, mut length) = (String::new(), 0);
    reader.read_line(&mut first).ok().filter(|&read| read > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&read| read > 0)?;
        match line.trim_end().to_ascii_lowercase().split_once(": ") {
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => break,
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(first)
}

/// Writes a response; returns whether that worked.
fn respond(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .is_ok()
}

/// Answers each task after 20 ms with the name of the unit and its build.
fn unit(mut stream: TcpStream, name: &str, build: u32) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut count = 0;
    while let Some(line) = read_request(&mut reader) {
        count += 1;
        thread::sleep(Duration::from_millis(20));
        let path = line.split(' ').nth(1).unwrap_or("/");
        let sent = match build == 2 && count % 2 == 0 {
            true => respond(&mut stream, "500 Internal Server Error", "build 2 fails\n"),
            false => respond(
                &mut stream,
                "200 OK",
                &format!("{name}, build {build}: {path}\n"),
            ),
        };
        if !sent {
            return;
        }
    }
}

/// Serves the whole list, and watches, which wait until build 2 is withdrawn.
fn discovery(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(line) = read_request(&mut reader) {
        let parameter = |name: &str| {
            let rest = line.split_once(name)?.1;
            rest.split(|next: char| !next.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        let known = parameter("index=").unwrap_or(0);
        if known > u64::from(withdrawn()) {
            let wait = Duration::from_millis(parameter("wait=").unwrap_or(0));
            let state = WITHDRAWN.0.lock().unwrap();
            drop(
                WITHDRAWN
                    .1
                    .wait_timeout_while(state, wait, |withdrawn| !*withdrawn || known > 1)
                    .unwrap(),
            );
        }
        let index = 1 + u64::from(withdrawn());
        let entry = |(name, address, build): &(&str, &str, u32)| {
            let status = if *build == 2 && withdrawn() {
                "leaving"
            } else {
                "active"
            };
            format!(
                "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"home\",\"type\":\"toy\",\"group\":1,\
                 \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0,\"revision_no\":{build}}}"
            )
        };
        let changed = if known < index { &UNITS[..] } else { &[] };
        let entries: Vec<String> = changed.iter().map(entry).collect();
        let (whole, entries) = (known == 0, entries.join(","));
        let body = format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{entries}]}}");
        if !respond(&mut stream, "200 OK", &body) {
            return;
        }
    }
}

/// Answers each call with one line. To a client that listens, it sends the state of the rollout and a ping every
/// second. A single vote to abort withdraws build 2.
fn platform(mut stream: TcpStream) {
    let began = Instant::now();
    let state = move || {
        let (status, cap) = if withdrawn() {
            ("reverted", 0.0)
        } else {
            ("canary", 0.2)
        };
        let ago = began.elapsed().as_millis();
        format!(
            "{{\"version\":2,\"step\":0,\"status\":\"{status}\",\"maxWeight\":{cap:.1},\"observedAgoMs\":{ago}}}"
        )
    };
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        let id = line.split("\"id\":").nth(1).unwrap_or("0");
        let id: String = id.chars().take_while(char::is_ascii_digit).collect();
        if line.contains("\"abort\"") && !withdrawn() {
            *WITHDRAWN.0.lock().unwrap() = true;
            WITHDRAWN.1.notify_all();
            println!("toy: build 2 is voted back");
        }
        let result = if line.contains("\"listen\"") {
            let mut listener = stream.try_clone().unwrap();
            thread::spawn(move || loop {
                let rollout = format!(
                    "{{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":{}}}\n",
                    state()
                );
                let ping = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                if listener
                    .write_all(format!("{rollout}{ping}").as_bytes())
                    .is_err()
                {
                    return;
                }
                thread::sleep(Duration::from_secs(1));
            });
            "true".to_owned()
        } else {
            state()
        };
        if writeln!(
            stream,
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{result}}}"
        )
        .is_err()
        {
            return;
        }
        line.clear();
    }
}
