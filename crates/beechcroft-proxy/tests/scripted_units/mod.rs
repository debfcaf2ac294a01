//! A client and scripted units on simulated connections, for tests that choose what a unit responds and at which byte a
//! connection ends. There are no sockets, and the clock advances only while all tasks wait.
#![allow(dead_code)] // each test file uses a subset

use beechcroft_balancer::{Upstream, VersionClass};
use beechcroft_config::{Config, ServiceDefaults, Settings};
use beechcroft_proxy::client;
use beechcroft_proxy::shared::{Phase, Shared};
use beechcroft_proxy::state_owner::CommandQueue;
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

/// How a connection ends at the limits of a [`Script`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    Close,
    Reset,
    Silence,
}

pub const CUTS: [Cut; 3] = [Cut::Close, Cut::Reset, Cut::Silence];

/// Behavior of a unit on each connection.
#[derive(Clone, Copy)]
pub struct Script {
    /// Number of bytes that the unit receives before the connection ends.
    pub max_received: usize,
    /// Number of bytes that the unit sends before the connection ends.
    pub max_sent: usize,
    /// How the connection ends at either limit.
    pub cut: Cut,
    /// Response to a request, given its index on the connection, its method and its attempt id.
    pub respond: fn(usize, &str, &str) -> String,
}

/// A unit that responds correctly to every request.
pub const HEALTHY: Script = Script {
    max_received: usize::MAX,
    max_sent: usize::MAX,
    cut: Cut::Close,
    respond: |_, _, id| correct_response(id),
};

/// A response with the given status, attempt id (none if empty), header lines and body.
pub fn response(status: &str, id: &str, lines: &str, body: &str) -> String {
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

/// The response of a healthy unit to the request with this attempt id.
pub fn correct_response(id: &str) -> String {
    response(
        "200 OK",
        id,
        "Beechcroft-Server-Seal: s\r\n",
        &format!("to {id}"),
    )
}

/// State of a simulated connection, seen from its far end: a unit or the client.
#[derive(Default)]
pub struct Link {
    /// Bytes that the proxy has yet to read.
    pub to_proxy: VecDeque<u8>,
    /// Bytes that the proxy has written and that were not processed yet.
    pub from_proxy: Vec<u8>,
    /// Number of bytes that the unit has received.
    pub received: usize,
    /// Number of bytes that the unit has sent.
    pub sent: usize,
    /// Number of complete requests that the unit has received.
    pub requests: usize,
    /// Whether either side has closed the connection.
    pub closed: bool,
    pub wakers: Vec<Waker>,
}

/// The proxy's side of a connection to a unit with a script, or to a client without one.
pub struct ScriptedStream {
    pub link: Arc<Mutex<Link>>,
    pub unit: Option<(usize, Script, ReceivedRequests)>,
}

/// Complete requests that units have received: index of the unit and attempt id.
pub type ReceivedRequests = Arc<Mutex<Vec<(usize, String)>>>;

impl ScriptedStream {
    /// How the connection has ended, if the script's limits are reached.
    fn ended(&self, link: &Link) -> Option<Cut> {
        let (_, script, _) = self.unit.as_ref()?;
        let all_received = link.received >= script.max_received && link.to_proxy.is_empty();
        (all_received || link.sent >= script.max_sent).then_some(script.cut)
    }
}

impl SimulatedStream for ScriptedStream {
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut link = self.link.lock().unwrap();
        match self.ended(&link) {
            Some(Cut::Close) => return Ok(0),
            Some(Cut::Reset) => return Err(io::ErrorKind::ConnectionReset.into()),
            Some(Cut::Silence) => return Err(io::ErrorKind::WouldBlock.into()),
            None if link.to_proxy.is_empty() && link.closed => return Ok(0),
            None if link.to_proxy.is_empty() => return Err(io::ErrorKind::WouldBlock.into()),
            None => {}
        }
        let unsent = self
            .unit
            .as_ref()
            .map_or(usize::MAX, |unit| unit.1.max_sent - link.sent);
        let count = buf.len().min(link.to_proxy.len()).min(unsent);
        buf.iter_mut()
            .zip(link.to_proxy.drain(..count))
            .for_each(|(to, byte)| *to = byte);
        link.sent += count;
        Ok(count)
    }

    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut link = self.link.lock().unwrap();
        let ended = self.ended(&link);
        if ended.is_none() && (!link.to_proxy.is_empty() || link.closed)
            || ended.is_some_and(|cut| cut != Cut::Silence)
        {
            return Poll::Ready(());
        }
        link.wakers.push(cx.waker().clone());
        Poll::Pending
    }

    /// Only HTTP servers poll this, for callers that disconnect; the request path does not.
    fn poll_closed_by_peer(&self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut link = self.link.lock().unwrap();
        let Some((index, script, received)) = &self.unit else {
            link.from_proxy.extend(bytes);
            return Ok(bytes.len());
        };
        let count = bytes.len().min(script.max_received - link.received);
        if count == 0 {
            let is_silent = script.cut == Cut::Silence;
            return Err(if is_silent {
                io::ErrorKind::WouldBlock
            } else {
                io::ErrorKind::ConnectionReset
            }
            .into());
        }
        link.received += count;
        link.from_proxy.extend(&bytes[..count]);
        let text = String::from_utf8_lossy(&link.from_proxy).into_owned();
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
                received.lock().unwrap().push((*index, id.to_owned()));
                let response = (script.respond)(link.requests, method, id);
                link.to_proxy.extend(response.bytes());
                link.requests += 1;
                link.from_proxy.clear();
            }
        }
        link.wakers.drain(..).for_each(Waker::wake);
        Ok(count)
    }

    fn poll_write_ready(&self, _: &mut Context<'_>) -> Poll<()> {
        let link = self.link.lock().unwrap();
        let is_blocked = self
            .unit
            .as_ref()
            .is_some_and(|unit| unit.1.cut == Cut::Silence && link.received >= unit.1.max_received);
        if is_blocked {
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    }

    fn shutdown_write(&self) {}
}

impl Drop for ScriptedStream {
    fn drop(&mut self) {
        self.link.lock().unwrap().closed = true;
    }
}

/// Simulated network of units; the port of a unit is its index.
pub struct Units {
    pub scripts: Vec<Script>,
    pub received: ReceivedRequests,
    /// All connections so far, each with the index of its unit.
    pub links: Mutex<Vec<(usize, Arc<Mutex<Link>>)>>,
}

impl Simulation for Units {
    fn connect(
        &self,
        to: SocketAddrV4,
    ) -> Pin<Box<dyn Future<Output = io::Result<Arc<dyn SimulatedStream>>>>> {
        let unit = to.port() as usize;
        let link = Arc::<Mutex<Link>>::default();
        self.links.lock().unwrap().push((unit, link.clone()));
        let stream = ScriptedStream {
            link,
            unit: Some((unit, self.scripts[unit], self.received.clone())),
        };
        Box::pin(async move { Ok(Arc::new(stream) as Arc<dyn SimulatedStream>) })
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

/// The request path of a proxy, connected to scripted units and one client.
pub struct TestProxy {
    pub shared: Rc<Shared>,
    pub queue: CommandQueue,
    pub units: Rc<Units>,
    pub client: Arc<Mutex<Link>>,
}

impl TestProxy {
    pub fn new(scripts: &[Script]) -> TestProxy {
        let units = Rc::new(Units {
            scripts: scripts.to_vec(),
            received: ReceivedRequests::default(),
            links: Mutex::default(),
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
        for index in 0..scripts.len() {
            let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16);
            let mut upstream = Upstream::new(&format!("i-{index}"), address, "z", "r", "v1", 100);
            // The first unit has the least load, so that it is picked first.
            (upstream.class, upstream.is_available, upstream.in_flight) =
                (VersionClass::Base, true, index as u32 * 10);
            shared.balancer.borrow_mut().service_mut("s").push(upstream);
        }
        let client = Arc::<Mutex<Link>>::default();
        let (queue, commands) = tokio::sync::mpsc::unbounded_channel();
        let stream = Stream::Simulated(Arc::new(ScriptedStream {
            link: client.clone(),
            unit: None,
        }));
        let (of_client, client_queue) = (shared.clone(), queue.clone());
        spawn_local(async move {
            let _commands = commands;
            client::serve(of_client, client_queue, stream).await;
            pending::<()>().await
        });
        TestProxy {
            shared,
            queue,
            units,
            client,
        }
    }

    /// Sends bytes from the client.
    pub fn send(&self, text: &str) {
        let mut client = self.client.lock().unwrap();
        client.to_proxy.extend(text.bytes());
        client.wakers.drain(..).for_each(Waker::wake);
    }

    /// Waits for the next response and returns its status and body, or `None` once the connection is closed without a
    /// complete one.
    pub async fn next_response(&self) -> Option<(u16, String)> {
        loop {
            if let Some(response) = self.poll_response() {
                return response;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// The next response as for [`Self::next_response`]; `None` if it has not arrived yet.
    pub fn poll_response(&self) -> Option<Option<(u16, String)>> {
        let mut client = self.client.lock().unwrap();
        let text = String::from_utf8_lossy(&client.from_proxy).into_owned();
        let complete = text.split_once("\r\n\r\n").and_then(|(head, rest)| {
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
        match complete {
            Some((bytes, response)) => {
                client.from_proxy.drain(..bytes);
                Some(Some(response))
            }
            None => client.closed.then_some(None),
        }
    }

    /// Sends a request and waits for the response.
    pub async fn request(&self, text: &str) -> Option<(u16, String)> {
        self.send(text);
        self.next_response().await
    }

    /// Number of complete requests with this attempt id that a unit has received.
    pub fn requests_received(&self, unit: usize, id: &str) -> usize {
        self.units
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|request| (request.0, request.1.as_str()) == (unit, id))
            .count()
    }

    /// Number of bytes that a unit has received on each of its connections.
    pub fn bytes_received(&self, unit: usize) -> Vec<usize> {
        let links = self.units.links.lock().unwrap();
        links
            .iter()
            .filter(|link| link.0 == unit)
            .map(|link| link.1.lock().unwrap().received)
            .collect()
    }
}

/// An idempotent request with this attempt id.
pub fn read_request(id: &str) -> String {
    format!("GET /read/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 3000\r\n\r\n")
}

/// A non-idempotent request with this attempt id.
pub fn write_request(id: &str) -> String {
    format!(
        "POST /write/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: 300\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Runs a test on a paused clock, with a limit of 60 s.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        tokio::time::timeout(Duration::from_secs(60), test)
            .await
            .expect("the test timed out")
    }))
}
