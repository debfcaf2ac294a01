//! The simulated network: hosts, connections and datagrams, with latency, loss and partitions. Times are those of the
//! runtime's paused clock, in whole milliseconds. Datagrams are numbered, so that a scenario can lose the k-th one.
//! be put at the k-th datagram or connection.

use beechcroft_transport::runtime::{Accepted, Datagram, SimulatedStream, Simulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Bytes that may be in flight on a connection in one direction.
const WINDOW_BYTES: usize = 256 << 10;
/// Interval at which traffic that a partition holds back is tried again, in milliseconds.
const PARTITION_RETRY_MS: u64 = 40;
/// Wall-clock time at the start of the simulation, in seconds since 1970.
const WALL_CLOCK_START_S: u64 = 1_800_000_000;

/// A host on the network.
#[derive(Clone, Debug, Default)]
pub struct Host {
    /// The name, as reports print it.
    pub name: String,
    /// Region of the zone.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has no power: it neither sends nor receives.
    pub is_powered_off: bool,
    /// Error of its wall clock, in milliseconds.
    pub skew_ms: i64,
    /// Until when its processes are suspended.
    pub frozen_until: Option<Instant>,
    /// Tasks to wake when it is no longer frozen.
    pub wakers: Vec<Waker>,
}

/// How a partition shows to the hosts on both sides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionKind {
    /// No error: bytes in flight are delayed, new connections wait, datagrams are lost.
    #[default]
    Silent,
    /// Connections are reset when it begins, and new ones when they are attempted.
    Reset,
    /// New connections are refused at once; bytes in flight on existing ones are delayed.
    Refused,
}

/// A partition between two sets of hosts, each selected by name prefix, zone or region.
#[derive(Clone, Debug)]
pub struct Cut {
    /// Hosts on one side.
    pub from: String,
    /// Hosts on the other side.
    pub to: String,
    /// End of the partition.
    pub until: Instant,
    /// Whether only traffic from `from` to `to` is affected.
    pub one_way: bool,
    /// How the partition shows to both sides.
    pub how: PartitionKind,
}

impl Host {
    /// Whether a name prefix, a zone, a region or `*` selects the host.
    pub fn is(&self, named: &str) -> bool {
        named == "*" || self.region == named || self.zone == named || self.name.starts_with(named)
    }
}

enum Due {
    Datagram {
        from: SocketAddrV4,
        to: SocketAddrV4,
        bytes: Vec<u8>,
    },
    HalfConnection(u64),
}

struct Entry(Instant, u64, Due);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// One direction of a connection.
struct HalfConnection {
    from: Ipv4Addr,
    to: Ipv4Addr,
    /// Bytes in flight with their arrival times; `None` is the end of the stream.
    flight: VecDeque<(Instant, Option<Vec<u8>>)>,
    bytes_in_flight: usize,
    ready: VecDeque<u8>,
    ended: bool,
    /// The reader is gone: writes fail with a broken pipe.
    reader_gone: bool,
    /// Reset by a partition.
    is_reset: bool,
    /// Its reader lost power: once that host is back, it responds to further bytes with a reset.
    reader_lost_power: bool,
    /// Id of the opposite direction.
    other: u64,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Counters of network traffic and disk syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of datagrams.
    pub datagram_bytes: u64,
    /// Connections opened.
    pub connections: u64,
    /// Bytes sent on connections.
    pub bytes: u64,
    /// Bytes sent on connections between regions.
    pub far_bytes: u64,
    /// Syncs over all disks.
    pub syncs: u64,
}

/// State of the network.
pub struct Inner {
    /// Hosts by address.
    pub hosts: BTreeMap<Ipv4Addr, Host>,
    began: Instant,
    heap: BinaryHeap<Reverse<Entry>>,
    next: u64,
    listeners: BTreeMap<SocketAddrV4, UnboundedSender<Accepted>>,
    mail: BTreeMap<SocketAddrV4, UnboundedSender<(SocketAddrV4, Vec<u8>)>>,
    half_connections: BTreeMap<u64, HalfConnection>,
    /// Partitions that have not ended.
    pub cuts: Vec<Cut>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplication: f64,
    /// One-way latency within a region, in milliseconds.
    pub zone_ms: u64,
    /// One-way latency between regions, in milliseconds.
    pub region_ms: u64,
    /// Sequence numbers of datagrams that are lost.
    pub lost_datagrams: Vec<u64>,
    /// Counters so far.
    pub counts: Counts,
    /// Bytes of datagrams and connections by sending host.
    pub sent_by: BTreeMap<Ipv4Addr, u64>,
    rng: Pcg64Mcg,
}

/// A handle to the network, shared by all hosts.
#[derive(Clone)]
pub struct Network(Arc<Mutex<Inner>>, Arc<Notify>);

impl Network {
    /// Creates a network without hosts.
    pub fn new(seed: u64, zone_ms: u64, region_ms: u64) -> Network {
        let inner = Inner {
            hosts: BTreeMap::new(),
            began: Instant::now(),
            heap: BinaryHeap::new(),
            next: 0,
            listeners: BTreeMap::new(),
            mail: BTreeMap::new(),
            half_connections: BTreeMap::new(),
            cuts: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            zone_ms: zone_ms.max(1),
            region_ms: region_ms.max(1),
            lost_datagrams: Vec::new(),
            counts: Counts::default(),
            sent_by: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Network(Arc::new(Mutex::new(inner)), Arc::new(Notify::new()))
    }

    /// Locks the state; the guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("one thread")
    }

    /// Delivers what is due until the simulation ends.
    pub async fn run(self) {
        loop {
            let next = self.state().deliver();
            match next {
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.1.notified() => {}
                        () = sleep_until(at) => {}
                    }
                }
                None => self.1.notified().await,
            }
        }
    }

    /// The network as a process on that host uses it.
    pub fn host_network(&self, ip: Ipv4Addr) -> HostNetwork {
        HostNetwork {
            network: self.clone(),
            ip,
        }
    }

    /// Removes the listeners and sockets of a host whose process has ended.
    pub fn remove_process(&self, ip: Ipv4Addr) {
        let mut inner = self.state();
        inner.listeners.retain(|at, _| *at.ip() != ip);
        inner.mail.retain(|at, _| *at.ip() != ip);
    }

    /// Removes one listener, where other processes on the host continue.
    pub fn remove_listener(&self, at: SocketAddrV4) {
        self.state().listeners.remove(&at);
    }
}

impl Inner {
    fn schedule(&mut self, at: Instant, due: Due) {
        self.next += 1;
        self.heap.push(Reverse(Entry(at, self.next, due)));
    }

    /// Whether traffic from one host to another is cut at present.
    pub fn is_cut(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        self.cut(from, to).is_some()
    }

    /// The kind of the partition that cuts one host off from another, if any.
    fn cut(&self, from: Ipv4Addr, to: Ipv4Addr) -> Option<PartitionKind> {
        let (Some(a), Some(b)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return Some(PartitionKind::Silent);
        };
        let now = Instant::now();
        let parts = |cut: &&Cut| {
            let there = a.is(&cut.from) && b.is(&cut.to) && !(cut.to == "*" && b.is(&cut.from));
            let back = b.is(&cut.from) && a.is(&cut.to) && !(cut.to == "*" && a.is(&cut.from));
            there || back && !cut.one_way
        };
        self.cuts
            .iter()
            .filter(|cut| cut.until > now)
            .find(parts)
            .map(|cut| cut.how)
    }

    /// Begins a partition.
    pub fn begin(&mut self, cut: Cut) {
        let resets = cut.how == PartitionKind::Reset;
        self.cuts.push(cut);
        if !resets {
            return;
        }
        let affected: Vec<u64> = self
            .half_connections
            .iter()
            .filter(|(_, half)| self.cut(half.from, half.to) == Some(PartitionKind::Reset))
            .flat_map(|(id, half)| [*id, half.other])
            .collect();
        for id in affected {
            let Some(half) = self.half_connections.get_mut(&id) else {
                continue;
            };
            (half.is_reset, half.reader_gone) = (true, true);
            half.ready.clear();
            half.reader
                .take()
                .into_iter()
                .chain(half.writer.take())
                .for_each(Waker::wake);
        }
    }

    fn is_dark(&self, ip: Ipv4Addr) -> bool {
        self.hosts.get(&ip).is_none_or(|host| host.is_powered_off)
    }

    fn latency(&self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let (Some(a), Some(b)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return Duration::ZERO;
        };
        Duration::from_millis(if a.region == b.region {
            self.zone_ms
        } else {
            self.region_ms
        })
    }

    fn deliver(&mut self) -> Option<Instant> {
        let now = Instant::now();
        while let Some(Reverse(Entry(at, ..))) = self.heap.peek() {
            if *at > now {
                return Some(*at);
            }
            let Some(Reverse(Entry(_, _, due))) = self.heap.pop() else {
                break;
            };
            match due {
                Due::Datagram { from, to, bytes } => {
                    if !self.is_dark(*to.ip()) {
                        if let Some(mail) = self.mail.get(&to) {
                            let _ = mail.send((from, bytes));
                        }
                    }
                }
                Due::HalfConnection(id) => self.deliver_bytes(id, now),
            }
        }
        None
    }

    fn deliver_bytes(&mut self, id: u64, now: Instant) {
        let Some(half) = self.half_connections.get(&id) else {
            return;
        };
        let (from, to) = (half.from, half.to);
        if self.is_cut(from, to) {
            return self.schedule(
                now + Duration::from_millis(PARTITION_RETRY_MS),
                Due::HalfConnection(id),
            );
        }
        let is_powered_off = self.is_dark(to);
        let Some(half) = self.half_connections.get_mut(&id) else {
            return;
        };
        while half.flight.front().is_some_and(|(at, _)| *at <= now) {
            match half.flight.pop_front() {
                Some((_, Some(bytes))) => {
                    half.bytes_in_flight -= bytes.len();
                    if !is_powered_off {
                        half.ready.extend(bytes);
                    }
                }
                _ => half.ended = true,
            }
        }
        half.reader
            .take()
            .into_iter()
            .chain(half.writer.take())
            .for_each(Waker::wake);
        if half.reader_lost_power && !is_powered_off {
            let other = half.other;
            self.half_connections.remove(&id);
            return self.send_bytes(other, None);
        }
        if half.reader_gone && half.ended {
            self.half_connections.remove(&id);
        }
    }

    fn send_bytes(&mut self, id: u64, bytes: Option<Vec<u8>>) {
        let Some(half) = self.half_connections.get(&id) else {
            return;
        };
        let (from, to) = (half.from, half.to);
        let length = bytes.as_ref().map_or(0, Vec::len);
        let at = Instant::now() + self.latency(from, to);
        let far = self.latency(from, to).as_millis() as u64 >= self.region_ms
            && self.region_ms > self.zone_ms;
        self.counts.bytes += length as u64;
        self.counts.far_bytes += if far { length as u64 } else { 0 };
        *self.sent_by.entry(from).or_default() += length as u64;
        if let Some(half) = self.half_connections.get_mut(&id) {
            half.bytes_in_flight += length;
            half.flight.push_back((at, bytes));
        }
        self.schedule(at, Due::HalfConnection(id));
    }
}

/// One end of a connection: reads from one direction and writes to the other.
struct End {
    network: Network,
    input: u64,
    output: u64,
}

impl SimulatedStream for End {
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut inner = self.network.state();
        let Some(half) = inner.half_connections.get_mut(&self.input) else {
            return Ok(0);
        };
        if half.is_reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if half.ready.is_empty() {
            return if half.ended {
                Ok(0)
            } else {
                Err(io::ErrorKind::WouldBlock.into())
            };
        }
        let length = buf.len().min(half.ready.len());
        for (to, byte) in buf.iter_mut().zip(half.ready.drain(..length)) {
            *to = byte;
        }
        Ok(length)
    }

    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.network.state();
        let Some(half) = inner.half_connections.get_mut(&self.input) else {
            return Poll::Ready(());
        };
        if !half.ready.is_empty() || half.ended || half.is_reset {
            return Poll::Ready(());
        }
        half.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    fn poll_closed_by_peer(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.network.state();
        match inner.half_connections.get_mut(&self.input) {
            Some(half) if !half.ended && !half.is_reset => {
                half.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut inner = self.network.state();
        let Some(half) = inner.half_connections.get(&self.output) else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        if half.reader_gone {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let room = WINDOW_BYTES
            .saturating_sub(half.bytes_in_flight)
            .min(bytes.len());
        if room == 0 && !bytes.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        inner.send_bytes(self.output, Some(bytes[..room].to_vec()));
        drop(inner);
        self.network.1.notify_one();
        Ok(room)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.network.state();
        match inner.half_connections.get_mut(&self.output) {
            Some(half) if !half.reader_gone && half.bytes_in_flight >= WINDOW_BYTES => {
                half.writer = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    fn shutdown_write(&self) {
        self.network.state().send_bytes(self.output, None);
        self.network.1.notify_one();
    }
}

impl Drop for End {
    fn drop(&mut self) {
        let mut inner = self.network.state();
        let Some(half) = inner.half_connections.get(&self.output) else {
            return;
        };
        // A machine without power says nothing: the other side hears no end.
        if !inner.is_dark(half.from) {
            inner.send_bytes(self.output, None);
            if let Some(half) = inner.half_connections.get_mut(&self.input) {
                half.reader_gone = true;
                half.writer.take().into_iter().for_each(Waker::wake);
                if half.ended {
                    inner.half_connections.remove(&self.input);
                }
            }
        } else if let Some(half) = inner.half_connections.get_mut(&self.input) {
            half.reader_lost_power = true;
        }
        drop(inner);
        self.network.1.notify_one();
    }
}

/// A process's place in the network.
#[derive(Clone)]
pub struct HostNetwork {
    /// The network.
    pub network: Network,
    /// The machine's address.
    pub ip: Ipv4Addr,
}

impl Simulation for HostNetwork {
    fn connect(
        &self,
        to: SocketAddrV4,
    ) -> Pin<Box<dyn Future<Output = io::Result<Arc<dyn SimulatedStream>>>>> {
        let (network, from) = (self.network.clone(), self.ip);
        Box::pin(async move {
            let way = network.state().latency(from, *to.ip());
            sleep(way).await;
            let affected = {
                let inner = network.state();
                let cut = inner.cut(from, *to.ip()).or(inner.cut(*to.ip(), from));
                cut.filter(|_| !inner.is_dark(*to.ip()))
            };
            match affected {
                Some(PartitionKind::Reset) => return Err(io::ErrorKind::ConnectionReset.into()),
                Some(PartitionKind::Refused) => return Err(io::ErrorKind::ConnectionRefused.into()),
                Some(PartitionKind::Silent) | None => {}
            }
            let held_up = || {
                let inner = network.state();
                let cut = inner.is_cut(from, *to.ip()) || inner.is_cut(*to.ip(), from);
                cut && !inner.is_dark(*to.ip()) // a host without power does not respond
            };
            while held_up() {
                sleep(Duration::from_millis(PARTITION_RETRY_MS)).await;
            }
            if network.state().is_dark(*to.ip()) {
                return std::future::pending().await;
            }
            let coming = network.state().listeners.get(&to).cloned();
            let Some(coming) = coming else {
                sleep(way).await;
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let (mine, theirs) = {
                let mut inner = network.state();
                inner.counts.connections += 1;
                inner.next += 2;
                let id = inner.next;
                let half = |from, to, other| HalfConnection {
                    from,
                    to,
                    flight: VecDeque::new(),
                    bytes_in_flight: 0,
                    ready: VecDeque::new(),
                    ended: false,
                    reader_gone: false,
                    is_reset: false,
                    reader_lost_power: false,
                    other,
                    reader: None,
                    writer: None,
                };
                inner
                    .half_connections
                    .insert(id, half(from, *to.ip(), id - 1));
                inner
                    .half_connections
                    .insert(id - 1, half(*to.ip(), from, id));
                let end = |input, output| End {
                    network: network.clone(),
                    input,
                    output,
                };
                (end(id - 1, id), end(id, id - 1))
            };
            let mine: Arc<dyn SimulatedStream> = Arc::new(mine);
            if coming
                .send((Arc::new(theirs), SocketAddrV4::new(from, 40_000)))
                .is_err()
            {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            sleep(way).await;
            Ok(mine)
        })
    }

    fn listen(&self, at: SocketAddrV4) -> io::Result<UnboundedReceiver<Accepted>> {
        let (coming, accepted) = unbounded_channel();
        self.network.state().listeners.insert(at, coming);
        Ok(accepted)
    }

    fn bind_datagrams(&self, at: SocketAddrV4) -> io::Result<UnboundedReceiver<Datagram>> {
        let (coming, mail) = unbounded_channel();
        self.network.state().mail.insert(at, coming);
        Ok(mail)
    }

    fn send(&self, from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8>) {
        let mut inner = self.network.state();
        inner.counts.datagrams += 1;
        inner.counts.datagram_bytes += bytes.len() as u64;
        *inner.sent_by.entry(*from.ip()).or_default() += bytes.len() as u64;
        let number = inner.counts.datagrams;
        let (loss, duplication) = (inner.loss, inner.duplication);
        let lost = inner.rng.random_bool(loss) || inner.lost_datagrams.contains(&number);
        if lost || inner.is_cut(*from.ip(), *to.ip()) || inner.is_dark(*from.ip()) {
            return;
        }
        let at = Instant::now() + inner.latency(*from.ip(), *to.ip());
        if inner.rng.random_bool(duplication) {
            let later = at + Duration::from_millis(inner.rng.random_range(1..300));
            inner.schedule(
                later,
                Due::Datagram {
                    from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
        inner.schedule(at, Due::Datagram { from, to, bytes });
        drop(inner);
        self.network.1.notify_one();
    }

    fn time_of_day(&self) -> Duration {
        let inner = self.network.state();
        let skew = inner.hosts.get(&self.ip).map_or(0, |host| host.skew_ms);
        let passed = inner.began.elapsed();
        let ms = (Duration::from_secs(WALL_CLOCK_START_S) + passed).as_millis() as i64 + skew;
        Duration::from_millis(ms.max(0) as u64)
    }
}
