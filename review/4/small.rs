//! A small deployment on loopback: control nodes and proxies as separate processes, with stand-ins for units, clients
//! and the operator. Standard library only.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const CONTACT_MS: u64 = 4000;
pub const DRAIN_MS: u64 = 2000;
pub const HEARTBEAT_MS: u64 = 1500;

/// Processes that were started and not yet reaped, for the watchdog.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills what is still running if the script takes too long or panics, and ends it with 2.
pub fn watch_over_children(limit: Duration) {
    fn kill_all() {
        let pids: Vec<u32> = RUNNING.lock().map(|pids| pids.clone()).unwrap_or_default();
        for pid in pids {
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -KILL {pid}")])
                .status();
        }
    }
    std::thread::spawn(move || {
        sleep(limit);
        eprintln!("could not run: it took too long");
        kill_all();
        std::process::exit(2);
    });
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        kill_all();
        std::process::exit(2);
    }));
}

/// `record.txt`: what was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start of the script.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now() as f64 / 1000.0);
    }
}

/// One process of the system.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub is_control: bool,
    pub child: Option<Child>,
    settings: PathBuf,
}

/// The processes, their addresses and their folder.
pub struct System {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    pub port: u16,
    subnet: String,
    seeds: String,
    zones: Vec<(String, String)>,
    record: Record,
}

/// A range of ports that is free on the addresses of the nodes.
fn free_ports(ips: &[String]) -> u16 {
    for attempt in 0..200u16 {
        let base = 21000 + (std::process::id() as u16 % 150) * 60 + attempt * 40;
        let is_free = |ip: &String| {
            (base..base + 12).all(|port| {
                TcpListener::bind((ip.as_str(), port)).is_ok() && UdpSocket::bind((ip.as_str(), port)).is_ok()
            })
        };
        if ips.iter().all(is_free) {
            return base;
        }
    }
    std::process::exit(2);
}

impl System {
    /// Prepares a deployment of three control nodes in three regions, and one proxy in each of the first `proxies`
    /// regions.
    pub fn new(record: &Record, proxies: usize) -> System {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("beechcroft-review-{pid}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let subnet = format!("127.{}.{}", 10 + pid % 200, (pid / 200) % 250);
        let controls: Vec<String> = (1..=3).map(|n| format!("{subnet}.{n}")).collect();
        let edges: Vec<String> = (1..=proxies).map(|n| format!("{subnet}.{}", 10 + n)).collect();
        let all: Vec<String> = controls.iter().chain(&edges).cloned().collect();
        let port = free_ports(&all);
        let seeds: Vec<String> = controls
            .iter()
            .map(|ip| format!("\"{ip}:{}\"", port + 4))
            .collect();
        let zones = (1..=3)
            .map(|n| (format!("zone-{n}"), format!("region-{n}")))
            .collect();
        let mut system = System {
            folder: folder.clone(),
            nodes: Vec::new(),
            port,
            subnet,
            seeds: seeds.join(","),
            zones,
            record: record.clone(),
        };
        for (index, ip) in all.iter().enumerate() {
            let is_control = index < 3;
            let number = if is_control { index + 1 } else { index - 2 };
            let kind = if is_control { "core" } else { "edge" };
            let name = format!("{kind}-zone-{number}");
            let settings = folder.join(format!("{name}.toml"));
            system.nodes.push(Node {
                name,
                ip: ip.clone(),
                is_control,
                child: None,
                settings,
            });
        }
        system
    }

    /// Address of a unit. Units share the subnet but not the addresses of the nodes.
    pub fn unit_address(&self, number: usize) -> String {
        format!("{}.{}:{}", self.subnet, 100 + number, self.port + 9)
    }

    pub fn zone(&self, number: usize) -> &str {
        &self.zones[number % 3].0
    }

    pub fn control(&self, number: usize) -> String {
        format!("{}:{}", self.nodes[number % 3].ip, self.port + 4)
    }

    pub fn ingress(&self, number: usize) -> String {
        let edges = self.nodes.len() - 3;
        format!("{}:{}", self.nodes[3 + number % edges].ip, self.port + 8)
    }

    pub fn readiness(&self, number: usize) -> String {
        let edges = self.nodes.len() - 3;
        format!("{}:{}", self.nodes[3 + number % edges].ip, self.port + 2)
    }

    fn settings_text(&self, node: &Node, bootstrap: bool) -> String {
        let number: usize = node.name.rsplit('-').next().unwrap().parse().unwrap();
        let (zone, region) = &self.zones[number - 1];
        let (p, ip) = (self.port, &node.ip);
        let (class, serves, listen, data) = if node.is_control {
            let data = self.folder.join(&node.name);
            let data = format!("dataDir = \"{}\"\n", data.display());
            let listen = format!("control = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"", p + 4, p + 6);
            ("core", "\"control\",\"directory\"", listen, data)
        } else {
            let listen = format!("ingress = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"", p + 8, p + 2);
            ("edge", "\"edge\"", listen, String::new())
        };
        let zones: String = self
            .zones
            .iter()
            .map(|(z, r)| format!("{z} = \"{r}\"\n"))
            .collect();
        format!(
            "nodeName = \"{}\"\nrole = \"{class}\"\nnodeClass = \"{class}\"\nserves = [{serves}]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"{region}\"\ninternalPorts = [{p},{}]\nseedNodes = [{}]\n\
             bootstrap = {bootstrap}\nquorumMember = {}\ndiscovery = \"self_register\"\nentryMode = \"directory\"\n\
             heartbeatMs = {HEARTBEAT_MS}\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"rollout\"]\n\
             {data}[zones]\n{zones}[listen]\n{listen}\n\
             [limits]\ncpuShare = 0.5\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n\
             [faultTolerance]\nnodeLosses = 1\nzones = 1\nregions = 1\n\
             [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = {CONTACT_MS}\nackMs = 6000\nsyncS = 4\n\
             drainMs = {DRAIN_MS}\ngraceS = 6\nlossSlackMs = 200\napplyMs = 2000\nrevertSlackMs = 250\n\
             stretchMaxMs = 8000\nretryBudget = 0.2\nretryWindowS = 10\nretryExtra = 58\ncanaryShare = 0.1\n\
             canaryMargin = 50\nrollbackMs = 5000\nwarmupExcess = 1.5\nwarmupMargin = 5\nevacuateMs = 5000\n\
             recoveryS = 15\nttl_max_s = 5\n",
            node.name,
            p + 1,
            self.seeds,
            node.is_control,
        )
    }

    /// Starts a node, with the command of the deploy file. `bootstrap` is true at the first start of all only.
    pub fn start(&mut self, index: usize, bootstrap: bool) {
        let text = self.settings_text(&self.nodes[index], bootstrap);
        let node = &mut self.nodes[index];
        std::fs::write(&node.settings, text).expect("the settings can be written");
        let program = if node.is_control {
            "beechcroft-control"
        } else {
            "beechcroft-proxy"
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(node.settings.with_extension("log"));
        let child = Command::new(format!("target/system/{program}"))
            .arg("run")
            .env("BEECHCROFT_SETTINGS", &node.settings)
            .stdout(Stdio::null())
            .stderr(log.map(Stdio::from).unwrap_or(Stdio::null()))
            .spawn();
        match child {
            Ok(child) => {
                RUNNING.lock().unwrap().push(child.id());
                node.child = Some(child);
            }
            Err(e) => {
                eprintln!("{program}: {e}; build it first");
                self.end();
                std::process::exit(2);
            }
        }
        self.record.line(&format!("start {}", self.nodes[index].name));
    }

    /// Kills a node (SIGKILL) and reaps it.
    pub fn kill(&mut self, index: usize) {
        self.send_kill(index);
        self.reap(index);
    }

    pub fn send_kill(&mut self, index: usize) {
        self.record.line(&format!("kill {}", self.nodes[index].name));
        if let Some(child) = &mut self.nodes[index].child {
            let _ = child.kill();
        }
    }

    pub fn reap(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Ends all processes and removes the folder.
    pub fn end(&mut self) {
        for index in 0..self.nodes.len() {
            self.send_kill(index);
            self.reap(index);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Status and body of an HTTP answer.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes one HTTP call on a new connection. `None` without a complete answer in time.
pub fn call(to: &str, head: &str, body: &str, within: Duration) -> Option<Answer> {
    let address = to.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let text = format!(
        "{head}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = answer.split_once("\r\n\r\n")?;
    Some(Answer {
        status,
        body: body.to_owned(),
    })
}

/// A request that a unit began to work on.
#[derive(Clone)]
pub struct Run {
    pub unit: usize,
    pub id: String,
    pub at: u64,
}

/// A unit: it serves requests on its address, and answers 421 for those that name another unit.
#[derive(Clone)]
pub struct Unit {
    pub number: usize,
    pub id: String,
    pub address: String,
    pub service: String,
    pub zone: String,
    pub beats: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub sequence: Arc<AtomicU64>,
    record: Record,
}

impl Unit {
    pub fn start(system: &System, number: usize, service: &str, runs: &Arc<Mutex<Vec<Run>>>) -> Unit {
        let unit = Unit {
            number,
            id: format!("i-{number:04}"),
            address: system.unit_address(number),
            service: service.to_owned(),
            zone: system.zone(number).to_owned(),
            beats: Arc::new(AtomicBool::new(true)),
            runs: runs.clone(),
            sequence: Arc::new(AtomicU64::new(0)),
            record: system.record.clone(),
        };
        let listener = TcpListener::bind(&unit.address).expect("the unit's address is free");
        let serving = unit.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let unit = serving.clone();
                std::thread::spawn(move || unit.serve(stream));
            }
        });
        let beating = unit.clone();
        let controls: Vec<String> = (0..3).map(|n| system.control(n)).collect();
        std::thread::spawn(move || {
            sleep(Duration::from_millis(37 * number as u64));
            while beating.beats.load(Ordering::SeqCst) {
                beating.beat(&controls);
                sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        unit
    }

    /// Sends a heartbeat, to the next control node if one does not acknowledge it.
    fn beat(&self, controls: &[String]) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"capacity\":6}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"warmupLeftMs\":0}}}}",
            self.address, self.service, self.zone
        );
        for attempt in 0..3 {
            let to = &controls[(self.number + attempt) % 3];
            if !self.beats.load(Ordering::SeqCst) {
                return;
            }
            let head = format!(
                "POST /units/{}/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json",
                self.id
            );
            if call(to, &head, &body, Duration::from_secs(1)).is_some_and(|a| a.status == 200) {
                return;
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer: Vec<u8> = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut bytes = [0; 4096];
                match stream.read(&mut bytes) {
                    Ok(0) | Err(_) => return,
                    Ok(n) => buffer.extend(&bytes[..n]),
                }
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end);
            let header = |name: &str| {
                head.lines()
                    .filter_map(|line| line.split_once(':'))
                    .find(|(key, _)| key.eq_ignore_ascii_case(name))
                    .map(|(_, value)| value.trim().to_owned())
            };
            let length: usize = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            while buffer.len() < length {
                let mut bytes = [0; 4096];
                match stream.read(&mut bytes) {
                    Ok(0) | Err(_) => return,
                    Ok(n) => buffer.extend(&bytes[..n]),
                }
            }
            buffer.drain(..length);
            let id = header("beechcroft-attempt-id").unwrap_or_default();
            let is_other = header("beechcroft-target-unit").is_some_and(|unit| unit != self.id);
            let answer = if is_other {
                format!("HTTP/1.1 421 Misdirected Request\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                let at = self.record.now();
                self.runs.lock().unwrap().push(Run {
                    unit: self.number,
                    id: id.clone(),
                    at,
                });
                self.record.line(&format!("unit {} runs {id}", self.id));
                sleep(Duration::from_millis(20));
                let body = format!("{} answers {id}\n", self.id);
                format!(
                    "HTTP/1.1 200 OK\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Server-Seal: {}.{id}\r\n\
                     Beechcroft-Unit-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Waits until `done`, or ends the script with 2 if it takes too long.
pub fn wait(system: &mut System, what: &str, within: Duration, mut done: impl FnMut(&System) -> bool) {
    let until = Instant::now() + within;
    while !done(system) {
        if Instant::now() > until {
            eprintln!("could not run: {what}");
            system.record.line(&format!("could not run: {what}"));
            system.end();
            std::process::exit(2);
        }
        sleep(Duration::from_millis(50));
    }
    let record = system.record.clone();
    record.line(what);
}
