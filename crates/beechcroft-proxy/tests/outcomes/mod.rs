//! Units and a client at the ends of connections of this file's own: what units say, and where a connection ends. No
//! sockets; the clock stands unless all wait.

use beechcroft_balancer::{Upstream, VersionClass};
use beechcroft_config::{Config, ServiceDefaults, Settings};
use beechcroft_proxy::client;
use beechcroft_proxy::shared::{Phase, Shared};
use beechcroft_routing::RoutingTable;
use beechcroft_transport::runtime::{Accepted, SimulatedStream, Simulation};
use beechcroft_transport::{Runtime, Stream};
use std::collections::VecDeque;
use std::future::{pending, Future};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, LocalSet};

const SETTINGS: &str =
    "nodeName = \"edge-1\"\nip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [7540, 7555]\n\
    [zones]\nz = \"r\"\n[listen]\n[bounds]\nretryExtra = 50.0\n";
const CONFIG: &str = r#"{"version":"00000001","baseVersion":"00000000",
"services":[{"name":"s","maxConns":100,"warmupS":3.0,"warmupRateS":2.0}],
"limits":{"maxHeaderBytes":4096,"maxBodyBytes":200000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"virtualHosts":[{"hostname":"h","pathRules":[
{"name":"read","pathPrefix":"/read/","routeType":"idempotent","timeoutMs":5000,"targetMs":400,"service":"s","retries":2},
{"name":"write","pathPrefix":"/write/","routeType":"non_idempotent","timeoutMs":5000,"targetMs":400,"service":"s",
 "retries":2}]}]}"#;

/// How a connection ends once it has taken, or given, so many bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    Close,
    Reset,
    Silence,
}

pub const CUTS: [Cut; 3] = [Cut::Close, Cut::Reset, Cut::Silence];

/// A unit: what it says to the nth request of a connection, by its method and its id.
#[derive(Clone, Copy)]
pub struct Script {
    pub takes: usize,
    pub gives: usize,
    pub cut: Cut,
    pub says: fn(usize, &str, &str) -> String,
}

pub const SOUND: Script = Script {
    takes: usize::MAX,
    gives: usize::MAX,
    cut: Cut::Close,
    says: |_, _, id| right(id),
};

pub fn answer(status: &str, id: &str, lines: &str, body: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("Beechcroft-Attempt-Id: {id}\r\n")
    };
    format!(
        "HTTP/1.1 {status}\r\n{id}{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn right(id: &str) -> String {
    answer(
        "200 OK",
        id,
        "Beechcroft-Server-Seal: s\r\n",
        &format!("to {id}"),
    )
}

#[derive(Default)]
pub struct Lanes {
    pub coming: VecDeque<u8>,
    pub going: Vec<u8>,
    pub taken: usize,
    pub given: usize,
    pub requests: usize,
    pub closed: bool,
    pub wakers: Vec<Waker>,
}

/// The relay's end of a connection: to a unit with its script, or to a client without one.
pub struct End {
    pub lanes: Arc<Mutex<Lanes>>,
    pub unit: Option<(usize, Script, Seen)>,
}

/// Ids of whole requests that came to units.
pub type Seen = Arc<Mutex<Vec<(usize, String)>>>;

impl End {
    fn ended(&self, lanes: &Lanes) -> Option<Cut> {
        let (_, script, _) = self.unit.as_ref()?;
        let all_taken = lanes.taken >= script.takes && lanes.coming.is_empty();
        (all_taken || lanes.given >= script.gives).then_some(script.cut)
    }
}

impl SimulatedStream for End {
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut lanes = self.lanes.lock().unwrap();
        match self.ended(&lanes) {
            Some(Cut::Close) => return Ok(0),
            Some(Cut::Reset) => return Err(io::ErrorKind::ConnectionReset.into()),
            Some(Cut::Silence) => return Err(io::ErrorKind::WouldBlock.into()),
            None if lanes.coming.is_empty() && lanes.closed => return Ok(0),
            None if lanes.coming.is_empty() => return Err(io::ErrorKind::WouldBlock.into()),
            None => {}
        }
        let gives = self
            .unit
            .as_ref()
            .map_or(usize::MAX, |unit| unit.1.gives - lanes.given);
        let some = buf.len().min(lanes.coming.len()).min(gives);
        buf.iter_mut()
            .zip(lanes.coming.drain(..some))
            .for_each(|(to, byte)| *to = byte);
        lanes.given += some;
        Ok(some)
    }

    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut lanes = self.lanes.lock().unwrap();
        let ended = self.ended(&lanes);
        if ended.is_none() && (!lanes.coming.is_empty() || lanes.closed)
            || ended.is_some_and(|c| c != Cut::Silence)
        {
            return Poll::Ready(());
        }
        lanes.wakers.push(cx.waker().clone());
        Poll::Pending
    }

    /// Only desks ask.
    fn poll_closed_by_peer(&self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut lanes = self.lanes.lock().unwrap();
        let Some((number, script, seen)) = &self.unit else {
            lanes.going.extend(bytes);
            return Ok(bytes.len());
        };
        let some = bytes.len().min(script.takes - lanes.taken);
        if some == 0 {
            let silent = script.cut == Cut::Silence;
            return Err(if silent {
                io::ErrorKind::WouldBlock
            } else {
                io::ErrorKind::ConnectionReset
            }
            .into());
        }
        lanes.taken += some;
        lanes.going.extend(&bytes[..some]);
        let text = String::from_utf8_lossy(&lanes.going).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let value = |name: &str| {
                head.lines()
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or("")
            };
            if body.len() >= value("Content-Length: ").parse().unwrap_or(0) {
                let (method, id) = (
                    head.split(' ').next().unwrap(),
                    value("Beechcroft-Attempt-Id: "),
                );
                seen.lock().unwrap().push((*number, id.to_owned()));
                let said = (script.says)(lanes.requests, method, id);
                lanes.coming.extend(said.bytes());
                lanes.requests += 1;
                lanes.going.clear();
            }
        }
        lanes.wakers.drain(..).for_each(Waker::wake);
        Ok(some)
    }

    fn poll_write_ready(&self, _: &mut Context<'_>) -> Poll<()> {
        let lanes = self.lanes.lock().unwrap();
        let full = self
            .unit
            .as_ref()
            .is_some_and(|u| u.1.cut == Cut::Silence && lanes.taken >= u.1.takes);
        if full {
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    }

    fn shutdown_write(&self) {}
}

impl Drop for End {
    fn drop(&mut self) {
        self.lanes.lock().unwrap().closed = true;
    }
}

/// Units by their ports.
pub struct Units {
    pub scripts: Vec<Script>,
    pub seen: Seen,
    pub lanes: Mutex<Vec<(usize, Arc<Mutex<Lanes>>)>>,
}

impl Simulation for Units {
    fn connect(
        &self,
        to: SocketAddrV4,
    ) -> Pin<Box<dyn Future<Output = io::Result<Arc<dyn SimulatedStream>>>>> {
        let unit = to.port() as usize;
        let lanes = Arc::<Mutex<Lanes>>::default();
        self.lanes.lock().unwrap().push((unit, lanes.clone()));
        let end = End {
            lanes,
            unit: Some((unit, self.scripts[unit], self.seen.clone())),
        };
        Box::pin(async move { Ok(Arc::new(end) as Arc<dyn SimulatedStream>) })
    }
    fn listen(&self, _: SocketAddrV4) -> io::Result<UnboundedReceiver<Accepted>> {
        Err(io::ErrorKind::Unsupported.into())
    }
    fn bind_datagrams(
        &self,
        _: SocketAddrV4,
    ) -> io::Result<UnboundedReceiver<(SocketAddrV4, Vec<u8>)>> {
        Err(io::ErrorKind::Unsupported.into())
    }
    fn send(&self, _: SocketAddrV4, _: SocketAddrV4, _: Vec<u8>) {}
    fn time_of_day(&self) -> Duration {
        Duration::ZERO
    }
}

pub struct Stand {
    pub units: Rc<Units>,
    pub client: Arc<Mutex<Lanes>>,
}

impl Stand {
    pub fn new(scripts: &[Script]) -> Stand {
        let units = Rc::new(Units {
            scripts: scripts.to_vec(),
            seen: Seen::default(),
            lanes: Mutex::default(),
        });
        let shared = Rc::new(Shared::new(
            Settings::read(SETTINGS).unwrap(),
            ServiceDefaults::default(),
            1,
            Runtime::simulated(units.clone()),
        ));
        *shared.routes.borrow_mut() = Some(Rc::new(RoutingTable::new(
            &Config::read(CONFIG.as_bytes()).unwrap(),
        )));
        shared.phase.set(Phase::Ready);
        for number in 0..scripts.len() {
            let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, number as u16);
            let mut upstream = Upstream::new(&format!("i-{number}"), address, "z", "r", "v1", 100);
            // The first unit is the emptiest: it is asked first.
            (upstream.class, upstream.is_available, upstream.in_flight) =
                (VersionClass::Base, true, number as u32 * 10);
            shared.balancer.borrow_mut().service_mut("s").push(upstream);
        }
        let client = Arc::<Mutex<Lanes>>::default();
        let (queue, guide) = tokio::sync::mpsc::unbounded_channel();
        let end = Stream::Simulated(Arc::new(End {
            lanes: client.clone(),
            unit: None,
        }));
        spawn_local(async move {
            let _guide = guide;
            client::serve(shared, queue, end).await;
            pending::<()>().await
        });
        Stand { units, client }
    }

    pub fn send(&self, text: &str) {
        let mut client = self.client.lock().unwrap();
        client.coming.extend(text.bytes());
        client.wakers.drain(..).for_each(Waker::wake);
    }

    /// Status and body of the next answer; none once the connection is closed without a whole one.
    pub async fn next(&self) -> Option<(u16, String)> {
        loop {
            if let Some(ended) = self.ended() {
                return ended;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn ended(&self) -> Option<Option<(u16, String)>> {
        let mut client = self.client.lock().unwrap();
        let text = String::from_utf8_lossy(&client.going).into_owned();
        let whole = text.split_once("\r\n\r\n").and_then(|(head, rest)| {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
            let end = match length {
                None if head.contains("chunked") => rest.find("0\r\n\r\n").map(|at| at + 5),
                length => Some(length.unwrap_or(0)).filter(|length| rest.len() >= *length),
            }?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            Some((head.len() + 4 + end, (status, rest[..end].to_owned())))
        });
        match whole {
            Some((bytes, answer)) => {
                client.going.drain(..bytes);
                Some(Some(answer))
            }
            None => client.closed.then_some(None),
        }
    }

    pub async fn ask(&self, text: &str) -> Option<(u16, String)> {
        self.send(text);
        self.next().await
    }

    /// Whole requests under an id that came to a unit.
    pub fn seen(&self, unit: usize, id: &str) -> usize {
        self.units
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| (seen.0, seen.1.as_str()) == (unit, id))
            .count()
    }

    /// Bytes that each connection to a unit took.
    pub fn taken(&self, unit: usize) -> Vec<usize> {
        let lanes = self.units.lanes.lock().unwrap();
        lanes
            .iter()
            .filter(|lane| lane.0 == unit)
            .map(|lane| lane.1.lock().unwrap().taken)
            .collect()
    }
}

pub fn read(id: &str) -> String {
    format!("GET /read/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 3000\r\n\r\n")
}

pub fn write(id: &str) -> String {
    format!(
        "POST /write/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 300\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        tokio::time::timeout(Duration::from_secs(60), test)
            .await
            .expect("the test hangs")
    }))
}
