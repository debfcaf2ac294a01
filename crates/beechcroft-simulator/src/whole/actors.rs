//! Who stands round the system: units, clients, the operator. They speak PROTOCOL over the fabric, through the same
//! reader of heads and bodies as the programs, and write down what they see.

use super::fabric::Fabric;
use super::wires::{Answered, Asked, Came, Said, Wires};
use super::wrongs::Wrong;
use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::{self, Parsed};
use beechcroft_transport::Runtime;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

pub const UNIT_PORT: u16 = 8080;
pub const CONTROL: u16 = 8544;
pub const DIRECTORY: u16 = 8546;
pub const INGRESS: u16 = 8548;
pub const READY: u16 = 8542;
const BEAT_MS: u64 = 1000;
const TRIES: u32 = 4;

/// What all actors share.
pub struct Stage {
    pub fabric: Fabric,
    pub began: Instant,
    pub wires: RefCell<Wires>,
    pub cores: RefCell<Vec<Ipv4Addr>>,
    pub rng: RefCell<Pcg64Mcg>,
    pub next: Cell<u64>,
    /// Writes of clients that were answered with success.
    pub taken: Cell<u64>,
    /// The core machine whose directory was read last.
    pub reader: Cell<Option<Ipv4Addr>>,
}

impl Stage {
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Exponential, with that mean.
    pub fn exp(&self, mean: f64) -> f64 {
        let draw: f64 = Exp1.sample(&mut *self.rng.borrow_mut());
        draw * mean
    }

    /// Asks a hut, and writes down what it said. `also`: what the path does not tell.
    pub async fn ask_hut(
        &self,
        ground: &Runtime,
        to: SocketAddrV4,
        ask: (&str, &str, &str),
        body: &[u8],
        within: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        self.ask_hut_at(ground, to, ask, body, within)
            .await
            .map(|(status, body, _)| (status, body))
    }

    /// The same, with where it sends its caller on to.
    pub async fn ask_hut_at(
        &self,
        ground: &Runtime,
        to: SocketAddrV4,
        ask: (&str, &str, &str),
        body: &[u8],
        within: Duration,
    ) -> Option<(u16, Vec<u8>, Option<String>)> {
        let (method, path, also) = ask;
        let at = self.now();
        let answer = call_at(ground, to, method, path, body, within).await;
        let said = Said {
            hut: self.name_of(*to.ip()),
            at,
            until: self.now(),
            what: format!("{method} {path}{also}"),
            status: answer.as_ref().map(|answer| answer.0),
        };
        self.wires.borrow_mut().said.push(said);
        answer
    }

    fn name_of(&self, ip: Ipv4Addr) -> String {
        self.fabric
            .with()
            .spots
            .get(&ip)
            .map(|spot| spot.name.clone())
            .unwrap_or_default()
    }
}

/// What is the matter with a unit.
#[derive(Clone, Debug, Default)]
pub struct Ill {
    /// Part of its requests that fail with a 500, after they have run.
    pub fails: f64,
    /// Times as long as it should take.
    pub slow: f64,
    /// Part of answers that are lost after the request has run.
    pub loses: f64,
    /// Part of answers that are no answer.
    pub spoils: f64,
    /// Health says the opposite.
    pub lies: bool,
    /// What is wrong with a part of its answers.
    pub wrong: Option<(Wrong, f64)>,
}

pub struct Unit {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub at: SocketAddrV4,
    pub slots: usize,
    pub work_ms: f64,
    pub bytes: usize,
    pub cold_until: Cell<u64>,
    /// What it says of that: told a little before it turns cold.
    pub told_cold: Cell<u64>,
    pub draining: Cell<bool>,
    pub ill: RefCell<Ill>,
    sequence: Cell<u64>,
    free: Semaphore,
    waiting: Cell<usize>,
}

impl Unit {
    pub fn new(
        id: String,
        service: &str,
        version: &str,
        zone: &str,
        ip: Ipv4Addr,
        slots: usize,
        work_ms: f64,
        bytes: usize,
    ) -> Unit {
        Unit {
            id,
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            at: SocketAddrV4::new(ip, UNIT_PORT),
            slots,
            work_ms,
            bytes,
            cold_until: Cell::new(0),
            told_cold: Cell::new(0),
            draining: Cell::new(false),
            ill: RefCell::default(),
            sequence: Cell::new(0),
            free: Semaphore::new(slots),
            waiting: Cell::new(0),
        }
    }

    /// How much longer it is cold, as it says.
    fn warm_left(&self, now: u64) -> u64 {
        self.cold_until
            .get()
            .max(self.told_cold.get())
            .saturating_sub(now)
    }

    fn load(&self) -> String {
        let running = self.slots - self.free.available_permits().min(self.slots);
        format!("{running},{},{}", self.waiting.get(), self.slots)
    }

    /// The bytes of its answer to a request, and the seal on them.
    pub fn answer_to(unit: &str, id: &str, bytes: usize) -> (Vec<u8>, String) {
        let text = format!("{unit} answers {id}. ");
        let body: Vec<u8> = text.bytes().cycle().take(bytes).collect();
        let seal = format!("{unit}.{id}.{bytes}");
        (body, seal)
    }
}

/// A unit's process.
pub async fn unit(stage: Rc<Stage>, unit: Rc<Unit>) {
    let ground = Runtime::simulated(Rc::new(stage.fabric.seat(*unit.at.ip())));
    spawn_local(beats(stage.clone(), unit.clone(), ground.clone()));
    let Ok(mut listener) = ground.listen(unit.at).await else {
        return;
    };
    while let Ok((stream, from)) = listener.accept().await {
        let std::net::SocketAddr::V4(from) = from else {
            continue;
        };
        let (stage, unit) = (stage.clone(), unit.clone());
        spawn_local(async move {
            let mut line = Connection::new(stream);
            let edge = stage.name_of(*from.ip());
            while serve(&stage, &unit, &edge, &mut line).await {}
        });
    }
}

async fn beats(stage: Rc<Stage>, unit: Rc<Unit>, ground: Runtime) {
    let first = stage.draw();
    sleep(Duration::from_millis((first * BEAT_MS as f64) as u64 / 4)).await;
    loop {
        let draining = unit.draining.get();
        if beat(&stage, &unit, &ground).await && draining {
            let mut wires = stage.wires.borrow_mut();
            let now = stage.now();
            if let Some(life) = wires.units.get_mut(&unit.id) {
                life.left_acked.get_or_insert(now);
            }
        }
        let told = unit.told_cold.get();
        for _ in 0..BEAT_MS / 50 {
            sleep(Duration::from_millis(50)).await;
            if unit.draining.get() != draining || unit.told_cold.get() != told {
                break;
            }
        }
    }
}

async fn beat(stage: &Stage, unit: &Unit, ground: &Runtime) -> bool {
    unit.sequence.set(unit.sequence.get() + 1);
    let left = unit.warm_left(stage.now());
    let body = serde_json::json!({
        "address": unit.at.to_string(),
        "info": {"service": unit.service, "version": unit.version, "zone": unit.zone, "capacity": unit.slots},
        "status": {"state": if unit.draining.get() { "draining" } else { "ready" },
                   "sequence": unit.sequence.get(), "warmupLeftMs": left},
    });
    let path = format!("/units/{}/heartbeat", unit.id);
    let cores = stage.cores.borrow().clone();
    let from = (stage.draw() * cores.len() as f64) as usize;
    for nth in 0..cores.len() {
        let to = SocketAddrV4::new(cores[(from + nth) % cores.len()], CONTROL);
        let ask = (
            "POST",
            path.as_str(),
            if unit.draining.get() { " draining" } else { "" },
        );
        let done = stage
            .ask_hut(
                ground,
                to,
                ask,
                body.to_string().as_bytes(),
                Duration::from_secs(1),
            )
            .await;
        if done.is_some_and(|(status, _)| status == 200) {
            return true;
        }
    }
    false
}

/// A unit says that it ends.
pub async fn deregister(stage: &Stage, unit: &Unit) -> bool {
    let ground = Runtime::simulated(Rc::new(stage.fabric.seat(*unit.at.ip())));
    let path = format!("/units/{}/deregister", unit.id);
    let cores = stage.cores.borrow().clone();
    for core in cores {
        let to = SocketAddrV4::new(core, CONTROL);
        let done = stage
            .ask_hut(
                &ground,
                to,
                ("POST", &path, ""),
                b"",
                Duration::from_secs(1),
            )
            .await;
        if done.is_some_and(|(status, _)| status == 200) {
            return true;
        }
    }
    false
}

/// A header's value in a head as it came.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
    lines
        .find(|(of, _)| of.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// One request at a unit; whether another may follow.
async fn serve(stage: &Rc<Stage>, unit: &Rc<Unit>, edge: &str, line: &mut Connection) -> bool {
    let wrong = unit
        .ill
        .borrow()
        .wrong
        .filter(|(_, part)| stage.draw() < *part)
        .map(|wrong| wrong.0);
    if let Some(wrong) = wrong.filter(|wrong| wrong.is_at_request()) {
        wrong.request(stage, line).await;
        return false;
    }
    let (ask, head) = loop {
        match http_validation::parse_request(line.unread(), 64 << 10) {
            Parsed::Complete(ask, length) => {
                let head = String::from_utf8_lossy(&line.unread()[..length]).into_owned();
                line.consume(length);
                break (ask, head);
            }
            Parsed::Invalid(_) => return false,
            Parsed::Incomplete => {}
        }
        let idle = Duration::from_secs(15);
        match timeout(idle, line.read_more()).await {
            Ok(Ok(1..)) => {}
            _ => return false,
        }
    };
    let mut body = BodyReader::new(ask.framing);
    let mut held = Vec::new();
    while !body.is_done() {
        if body.read(line, &mut held).await.is_err() {
            return false;
        }
    }
    let ill = unit.ill.borrow().clone();
    if ask.target == "/health" {
        let well = (ill.fails < 0.5 && !unit.draining.get()) != ill.lies;
        let status = if well {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: 0\r\nBeechcroft-Unit-Id: {}\r\nBeechcroft-Unit-Load: {}\r\nBeechcroft-Warmup-Remaining: {}\r\n\r\n",
            unit.id,
            unit.load(),
            unit.warm_left(stage.now()),
        );
        return line.write(text.as_bytes()).await.is_ok();
    }
    let id = ask.attempt_id.clone().unwrap_or_default();
    let elsewhere = header(&head, "beechcroft-target-unit").is_some_and(|meant| meant != unit.id);
    let budget = ask.budget_ms.unwrap_or(10_000);
    let nth = stage.wires.borrow().came.len();
    let cold = unit.cold_until.get() > stage.now();
    stage.wires.borrow_mut().came.push(Came {
        at: stage.now(),
        unit: unit.id.clone(),
        edge: edge.to_owned(),
        id: id.clone(),
        method: ask.method.clone(),
        path: ask.target.clone(),
        body: held,
        ran: false,
        elsewhere,
        status: None,
        cold,
        broke: false,
    });
    let turned = |status: &str| {
        format!(
            "HTTP/1.1 {status}\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Not-Executed: 1\r\nBeechcroft-Unit-Load: {}\r\nContent-Length: 0\r\n\r\n",
            unit.load()
        )
    };
    if elsewhere || id.is_empty() {
        let text = turned(if elsewhere {
            "421 Misdirected Request"
        } else {
            "400 Bad Request"
        });
        return line.write(text.as_bytes()).await.is_ok();
    }
    if unit.waiting.get() >= unit.slots * 3 {
        return line
            .write(turned("503 Service Unavailable").as_bytes())
            .await
            .is_ok();
    }
    let end = Instant::now() + Duration::from_millis(budget);
    unit.waiting.set(unit.waiting.get() + 1);
    let slot = timeout_at(end, unit.free.acquire()).await;
    unit.waiting.set(unit.waiting.get() - 1);
    let Ok(Ok(slot)) = slot else {
        return line
            .write(turned("503 Service Unavailable").as_bytes())
            .await
            .is_ok();
    };
    stage.wires.borrow_mut().came[nth].ran = true;
    let cold_times = if cold { 2.0 } else { 1.0 };
    let work = unit.work_ms * (0.5 + stage.exp(0.5)) * ill.slow.max(1.0) * cold_times;
    let worked = timeout_at(end, sleep(Duration::from_millis(work as u64))).await;
    drop(slot);
    let breaks = |broke: bool, status: Option<u16>| {
        let mut wires = stage.wires.borrow_mut();
        (wires.came[nth].broke, wires.came[nth].status) = (broke, status);
    };
    if stage.draw() < ill.loses {
        breaks(true, None);
        return false;
    }
    if stage.draw() < ill.spoils {
        breaks(true, None);
        let _ = line.write(b"\x16\x03\x01 this is no answer\r\n\r\n").await;
        return false;
    }
    let failed = worked.is_err() || stage.draw() < ill.fails;
    let (status, reason) = match () {
        () if worked.is_err() => (504, "Gateway Timeout"),
        () if failed => (500, "Internal Server Error"),
        () => (200, "OK"),
    };
    breaks(wrong.is_some(), Some(status));
    let (body, seal) = Unit::answer_to(&unit.id, &id, if failed { 0 } else { unit.bytes });
    let seal = if failed {
        String::new()
    } else {
        format!("Beechcroft-Server-Seal: {seal}\r\n")
    };
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nBeechcroft-Attempt-Id: {id}\r\n{seal}Beechcroft-Unit-Load: {}\r\nKeep-Alive: timeout=15\r\nContent-Length: {}\r\n\r\n",
        unit.load(),
        body.len()
    );
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    match wrong {
        Some(wrong) => wrong.answer(stage, unit, line, &id, &bytes).await,
        None => line.write(&bytes).await.is_ok() && !unit.draining.get(),
    }
}

/// One call on a connection of its own; the status and the body of a whole answer.
pub async fn call(
    ground: &Runtime,
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    within: Duration,
) -> Option<(u16, Vec<u8>)> {
    call_at(ground, to, method, path, body, within)
        .await
        .map(|(status, body, _)| (status, body))
}

/// The same, and where it says that the call should go instead.
pub async fn call_at(
    ground: &Runtime,
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    within: Duration,
) -> Option<(u16, Vec<u8>, Option<String>)> {
    let done = async {
        let mut line = Connection::new(ground.connect(to).await.ok()?);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        line.write(head.as_bytes()).await.ok()?;
        line.write(body).await.ok()?;
        let (reply, body) = read_answer(&mut line, method).await?;
        let lines = String::from_utf8_lossy(&reply.forwarded_headers);
        Some((
            reply.status,
            body,
            header(&lines, "location").map(str::to_owned),
        ))
    };
    timeout(within, done).await.ok().flatten()
}

/// A whole answer to a request of that method: its head and its body.
pub async fn read_answer(
    line: &mut Connection,
    method: &str,
) -> Option<(http_validation::ResponseHead, Vec<u8>)> {
    let reply = loop {
        match http_validation::parse_response(line.unread(), method) {
            Parsed::Complete(reply, length) => {
                line.consume(length);
                break reply;
            }
            Parsed::Invalid(_) => return None,
            Parsed::Incomplete => {}
        }
        if !matches!(line.read_more().await, Ok(1..)) {
            return None;
        }
    };
    let mut body = BodyReader::new(reply.framing);
    let mut held = Vec::new();
    while !body.is_done() {
        body.read(line, &mut held).await.ok()?;
    }
    Some((reply, held))
}

/// What clients of one zone hold in common.
pub struct Clients {
    pub zone: String,
    pub region: String,
    pub ground: Runtime,
    pub found: RefCell<Vec<SocketAddrV4>>,
    idle: RefCell<BTreeMap<SocketAddrV4, Vec<Connection>>>,
}

impl Clients {
    pub fn new(zone: &str, region: &str, ground: Runtime) -> Clients {
        let (found, idle) = (RefCell::default(), RefCell::default());
        Clients {
            zone: zone.into(),
            region: region.into(),
            ground,
            found,
            idle,
        }
    }

    /// Asks the directory again and again.
    pub async fn resolve(self: Rc<Self>, stage: Rc<Stage>) {
        loop {
            let path = format!(
                "/resolve?name=range.example&region={}&zone={}",
                self.region, self.zone
            );
            let mut ttl_s = 1.0;
            let mut cores = stage.cores.borrow().clone();
            let spots = |core: &Ipv4Addr| {
                stage
                    .fabric
                    .with()
                    .spots
                    .get(core)
                    .is_none_or(|spot| spot.region != self.region)
            };
            cores.sort_by_key(spots);
            for core in cores.into_iter().take(3) {
                let to = SocketAddrV4::new(core, DIRECTORY);
                let ask = ("GET", path.as_str(), "");
                let done = stage
                    .ask_hut(&self.ground, to, ask, b"", Duration::from_secs(1))
                    .await;
                let Some((200, body)) = done else { continue };
                let Ok(answer) = serde_json::from_slice::<serde_json::Value>(&body) else {
                    continue;
                };
                let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
                let found: Vec<SocketAddrV4> = addresses
                    .iter()
                    .filter_map(|at| at.as_str()?.parse().ok())
                    .collect();
                if found.is_empty() {
                    continue;
                }
                stage.reader.set(Some(core));
                ttl_s = answer["ttlS"].as_f64().unwrap_or(1.0).clamp(0.2, 5.0);
                self.idle.borrow_mut().retain(|at, _| found.contains(at));
                *self.found.borrow_mut() = found;
                break;
            }
            sleep(Duration::from_secs_f64(ttl_s)).await;
        }
    }
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    pub route: String,
    pub prefix: String,
    pub repeatable: bool,
    pub deadline_ms: u64,
    pub body: usize,
}

/// One request of a client, with its tries.
pub async fn request(stage: Rc<Stage>, clients: Rc<Clients>, kind: Kind) {
    let request = stage.number();
    let began = stage.now();
    let deadline = began + kind.deadline_ms;
    let mut failed_at: Option<SocketAddrV4> = None;
    for try_ in 0..TRIES {
        let left = deadline.saturating_sub(stage.now());
        if left < 20 {
            return;
        }
        let found = clients.found.borrow().clone();
        let usable: Vec<SocketAddrV4> = found
            .iter()
            .copied()
            .filter(|at| Some(*at) != failed_at || found.len() == 1)
            .collect();
        if usable.is_empty() {
            sleep(Duration::from_millis(200)).await;
            continue;
        }
        let to = usable[(stage.draw() * usable.len() as f64) as usize % usable.len()];
        let id = format!("{:08x}{try_:02x}", request);
        let method = if kind.repeatable { "GET" } else { "POST" };
        let asked = Asked {
            at: stage.now(),
            request,
            try_,
            route: kind.route.clone(),
            method,
            path: format!("{}{:x}", kind.prefix, request % 512),
            body: vec![b'a' + (request % 26) as u8; if kind.repeatable { 0 } else { kind.body }],
            repeatable: kind.repeatable,
            edge: stage.name_of(*to.ip()),
            region: clients.region.clone(),
            deadline,
            answer: None,
        };
        stage
            .wires
            .borrow_mut()
            .asked
            .insert(id.clone(), asked.clone());
        let answer = try_once(&stage, &clients, to, &id, &asked, left).await;
        let status = answer.status;
        let back = answer.retry_after;
        if !kind.repeatable && status == Some(200) {
            stage.taken.set(stage.taken.get() + 1);
        }
        if let Some(asked) = stage.wires.borrow_mut().asked.get_mut(&id) {
            asked.answer = Some(answer);
        }
        let again = match status {
            Some(200..=299 | 400 | 401 | 404 | 413 | 431) => false,
            Some(408 | 421 | 429 | 503) => true,
            _ => kind.repeatable,
        };
        if !again {
            return;
        }
        if status.is_none() {
            failed_at = Some(to);
        }
        let left = deadline.saturating_sub(stage.now()) as f64;
        let wait = back.map_or(0.0, |s| s * 1000.0).min(left / 3.0) + stage.draw() * 30.0;
        sleep(Duration::from_millis(wait as u64)).await;
    }
}

/// One request to one edge machine.
pub async fn ask_at(
    stage: &Rc<Stage>,
    clients: &Rc<Clients>,
    kind: &Kind,
    to: SocketAddrV4,
) -> Option<u16> {
    let request = stage.number();
    let id = format!("{request:08x}00");
    let asked = Asked {
        at: stage.now(),
        request,
        try_: 0,
        route: kind.route.clone(),
        method: "GET",
        path: format!("{}{:x}", kind.prefix, request % 512),
        body: Vec::new(),
        repeatable: true,
        edge: stage.name_of(*to.ip()),
        region: clients.region.clone(),
        deadline: stage.now() + kind.deadline_ms,
        answer: None,
    };
    stage
        .wires
        .borrow_mut()
        .asked
        .insert(id.clone(), asked.clone());
    let answer = try_once(stage, clients, to, &id, &asked, kind.deadline_ms).await;
    let status = answer.status;
    if let Some(asked) = stage.wires.borrow_mut().asked.get_mut(&id) {
        asked.answer = Some(answer);
    }
    status
}

async fn try_once(
    stage: &Rc<Stage>,
    clients: &Rc<Clients>,
    to: SocketAddrV4,
    id: &str,
    asked: &Asked,
    left: u64,
) -> Answered {
    let end = Instant::now() + Duration::from_millis(left);
    let none = |written: bool, gave_up: bool| Answered {
        at: stage.now(),
        status: None,
        seal: None,
        body: Vec::new(),
        id: None,
        retry_after: None,
        written,
        gave_up,
    };
    let kept = clients.idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
    let kept = kept.filter(Connection::is_clean);
    let mut line = match kept {
        Some(line) => line,
        None => match timeout(Duration::from_secs(1), clients.ground.connect(to)).await {
            Ok(Ok(stream)) => Connection::new(stream),
            _ => return none(false, false),
        },
    };
    let length = if asked.repeatable {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", asked.body.len())
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: range.example\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: {left}\r\n{length}\r\n",
        asked.method, asked.path
    );
    let mut bytes = head.into_bytes();
    bytes.extend(&asked.body);
    if line.write(&bytes).await.is_err() {
        return none(false, false);
    }
    let Ok(read) = timeout_at(end, read_answer(&mut line, asked.method)).await else {
        return none(true, true);
    };
    let Some((reply, body)) = read else {
        return none(true, false);
    };
    let text = String::from_utf8_lossy(&reply.forwarded_headers).into_owned();
    let answered = Answered {
        at: stage.now(),
        status: Some(reply.status),
        seal: header(&text, "beechcroft-server-seal").map(str::to_owned),
        body,
        id: reply.attempt_id.clone(),
        retry_after: header(&text, "retry-after").and_then(|s| s.parse().ok()),
        written: true,
        gave_up: false,
    };
    if !reply.closes && reply.framing != Some(http_validation::Framing::UntilClose) {
        if !line.unread().is_empty() {
            stage.wires.borrow_mut().unasked_answers += 1;
        } else {
            clients.idle.borrow_mut().entry(to).or_default().push(line);
        }
    }
    answered
}

pub fn stage(fabric: Fabric, seed: u64) -> Rc<Stage> {
    Rc::new(Stage {
        fabric,
        began: Instant::now(),
        wires: RefCell::default(),
        cores: RefCell::default(),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ 0x57a6e)),
        next: Cell::new(0),
        taken: Cell::new(0),
        reader: Cell::new(None),
    })
}
