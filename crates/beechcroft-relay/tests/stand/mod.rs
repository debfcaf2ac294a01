//! Stand-ins for what a relay speaks with, and the program itself as a process.

#![allow(dead_code)] // each test uses its part

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than anything takes; a test that meets it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "in vain: {what}");
        std::thread::sleep(ms(5));
    }
}

/// A task of the track `read`, as a client sends it.
pub fn read_request(txn: &str, wish: &str) -> String {
    let head = format!("X-Txn: {txn}\r\nX-Lane: read\r\nX-Remaining-Ms: 6000\r\n");
    format!("GET /read/{wish} HTTP/1.1\r\nHost: service.internal\r\n{head}\r\n")
}

/// Reads one HTTP message: its head and its body by `Content-Length`; none at the end.
pub fn message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = field(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

pub fn field(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .filter(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
        .next()
}

/// A unit that does what the second part of the path asks, and keeps what it saw.
pub struct Unit {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
    pub opened: Arc<AtomicUsize>,
    pub closed: Arc<AtomicUsize>,
}

impl Unit {
    pub fn start() -> Unit {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let unit = Unit {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            opened: Arc::default(),
            closed: Arc::default(),
        };
        let (seen, opened, closed) = (unit.seen.clone(), unit.opened.clone(), unit.closed.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                opened.fetch_add(1, Ordering::SeqCst);
                let (seen, closed) = (seen.clone(), closed.clone());
                std::thread::spawn(move || {
                    Unit::serve(stream, &seen);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        unit
    }

    pub fn serve(mut stream: TcpStream, seen: &Mutex<Vec<String>>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((head, body)) = message(&mut reader) {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let wish = path.split(['/', '?']).nth(2).unwrap_or_default().to_owned();
            seen.lock()
                .unwrap()
                .push(format!("{head}{}", String::from_utf8_lossy(&body)));
            let mut answer = |text: &str| stream.write_all(text.as_bytes()).is_ok();
            let sent = match wish.as_str() {
                "ok" => answer("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nmade by unit"),
                "twice" => {
                    let said = answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
                    std::thread::sleep(ms(100));
                    said && answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
                }
                "slow" => {
                    std::thread::sleep(ms(2000));
                    answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow")
                }
                "error" => answer("HTTP/1.1 500 E\r\nContent-Length: 3\r\n\r\nbad"),
                "full" => answer("HTTP/1.1 503 F\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
                "over" => answer("HTTP/1.1 504 O\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
                "bare503" => answer("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n"),
                "missing" => answer("HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n"),
                "short" => answer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nnot all"),
                "long" => {
                    let body = "x".repeat(400_000);
                    answer(&format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{body}"
                    ))
                }
                "ahead" => {
                    let head = "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nX-Pressure: {\"q\":no,\r\nContent-Length: 4";
                    answer(&format!("{head}\r\n\r\ngood"))
                }
                "colon" => {
                    answer("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok")
                }
                "stall" => answer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nnot all"),
                "huge" => {
                    let body = "x".repeat(2_000_000);
                    answer(&format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}"
                    ))
                }
                "endless" => answer(&format!(
                    "HTTP/1.1 200 OK\r\nX-A: {}\r\n",
                    "a".repeat(1 << 20)
                )),
                "garbage" => answer("what is this\r\n\r\n"),
                "last" => answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
                "hang" => reader.read(&mut [0]).is_ok_and(|read| read > 0),
                _ => false, // "reset": closes without a word
            };
            if !sent || ["short", "endless", "garbage", "last"].contains(&&*wish) {
                return;
            }
        }
    }

    pub fn heads(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }
}

/// Serves one connection after the other with what `speak` does on it.
pub fn stand_in(mut speak: impl FnMut(usize, TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        (0..)
            .zip(listener.incoming().flatten())
            .for_each(|(nth, stream)| speak(nth, stream))
    });
    address
}

pub fn entry(name: &str, address: SocketAddr, status: &str, build: u32) -> Value {
    json!({"name": name, "address": address, "zone": "z", "type": "t", "group": 1, "status": status,
        "weight": 1.0, "since_ms": 0, "revision_no": build})
}

pub fn list_text(index: u32, whole: bool, entries: &[Value]) -> String {
    let body = json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn settings(relays: u32) -> Value {
    let track = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "aim_s": 5, "give_up_s": 8, "points": 1,
            "window_s": 5, "group": "all"})
    };
    json!({"classes": [track("read", "retryable"), track("submit", "dedup"), track("pay", "fragile")],
        "charges": {}, "failure_domains": ["z"], "zone": "z", "kinds": ["t"], "instances": relays, "me": 0,
        "family_info": {"answer_wait_s": 1, "calls_per_s": 10, "counted_over_s": 4, "free": 2,
            "gate_mode": "by_count", "per": "all", "stage_cap": [0.1, 1], "vote_life_s": 5},
        "invariants": {"cold_from": 0.4, "drain_grace_s": 0.25, "fall_multiple": 2, "overload_for_s": 3,
            "warm_up_s": 3},
        "limits": {"max_attempts": 1, "cancel": true, "peers": true, "idle_close_s": 10,
            "dial_timeout_s": 0.25, "retry_after": true, "max_retry_after_s": 1.5},
        "stats": {"how": "none", "names": []}})
}

pub fn configuration(discovery: SocketAddr, entries: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"index": 3, "snapshot": true, "endpoints": entries}, "settings": settings(1)})
}

/// The program itself, with its log.
pub struct Relay {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Arc<Mutex<String>>,
    pub file: std::path::PathBuf,
}

impl Relay {
    /// Starts one and waits until it can serve. The ephemeral port is read off its log.
    pub fn start(configuration: &Value) -> Relay {
        Relay::start_as(configuration, "", "exec")
    }

    /// The same with an operator's file, unless that is empty, started by the words of a shell. Its log is JSON where
    /// the file says `#json`.
    pub fn start_as(configuration: &Value, operator: &str, words: &str) -> Relay {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let nth = STARTED.fetch_add(1, Ordering::SeqCst);
        let file =
            std::env::temp_dir().join(format!("beechcroft-{}-{nth}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string()).unwrap();
        let program = env!("CARGO_BIN_EXE_beechcroft");
        let mut line = format!("{words} {program}");
        if !operator.is_empty() {
            let file = file.with_extension("toml");
            std::fs::write(&file, operator).unwrap();
            let format = if operator.contains("#json") {
                "json"
            } else {
                "text"
            };
            line += &format!(" relay --operator {} --log-format {format}", file.display());
        }
        let mut child = Command::new("/bin/sh")
            .args(["-c", &line])
            .env("PROXY_CONFIG", &file)
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log: Arc<Mutex<String>> = Arc::default();
        let (lines, kept) = (
            BufReader::new(child.stderr.take().unwrap()).lines(),
            log.clone(),
        );
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| *kept.lock().unwrap() += &(line + "\n"))
        });
        let mut address = None;
        until("listens", || {
            let log = log.lock().unwrap();
            address = log
                .split("listens on ")
                .nth(1)
                .and_then(|rest| rest.split(',').next()?.parse().ok());
            address.is_some()
        });
        let relay = Relay {
            child,
            address: address.unwrap(),
            log,
            file,
        };
        until("serves", || relay.health() == "200");
        relay
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        BufReader::new(stream)
    }

    pub fn ask(&self, request: &str) -> (String, Vec<u8>) {
        let mut connection = self.connect();
        connection.get_mut().write_all(request.as_bytes()).unwrap();
        message(&mut connection).unwrap_or_default()
    }

    /// The status of its own health.
    pub fn health(&self) -> String {
        status(
            &self
                .ask("GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                .0,
        )
        .to_owned()
    }

    /// A read task; its answer in short.
    pub fn read(&self, txn: &str, wish: &str) -> String {
        let (head, body) = self.ask(&read_request(txn, wish));
        let retry = field(&head, "retry-after")
            .map(|after| format!(" after {after}"))
            .unwrap_or_default();
        format!(
            "{}{retry} {}",
            status(&head),
            String::from_utf8_lossy(&body).trim_end()
        )
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.file.with_extension("toml"));
    }
}

pub fn status(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("closed")
}

/// Discovery that answers each watch with the next text that it is handed, and else lets it wait.
pub fn discovery() -> (SocketAddr, mpsc::Sender<String>) {
    let (sender, texts) = mpsc::channel::<String>();
    let address = stand_in(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while message(&mut reader).is_some() {
            let Ok(text) = texts.recv() else {
                return std::mem::forget(stream);
            };
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    (address, sender)
}
