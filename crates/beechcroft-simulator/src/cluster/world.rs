//! State that the units, clients and the operator of one run share: the network, the random number generator and the
//! history that the checker reads.

use super::history::{ControlExchange, History};
use super::http::call_with_location;
use super::network::Network;
use beechcroft_transport::Runtime;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Port of a unit.
pub const UNIT_PORT: u16 = 8080;
/// Port on which control nodes serve units and operators.
pub const CONTROL_PORT: u16 = 8544;
/// Port on which control nodes serve the directory.
pub const DIRECTORY_PORT: u16 = 8546;
/// Port on which proxies serve clients.
pub const INGRESS_PORT: u16 = 8548;
/// Port on which proxies report their readiness.
pub const READINESS_PORT: u16 = 8542;

/// Shared state of a run.
pub struct World {
    /// The network.
    pub network: Network,
    /// Start of the run.
    pub began: Instant,
    /// Recorded history.
    pub history: RefCell<History>,
    /// Addresses of the control nodes that have not been removed.
    pub cores: RefCell<Vec<Ipv4Addr>>,
    /// Random numbers of units, clients and the operator.
    pub rng: RefCell<Pcg64Mcg>,
    /// Last number returned by [`World::number`].
    pub next: Cell<u64>,
    /// Number of successful client writes.
    pub taken: Cell<u64>,
    /// The core machine whose directory was read last.
    pub reader: Cell<Option<Ipv4Addr>>,
}

impl World {
    /// Creates a world without hosts.
    pub fn new(network: Network, seed: u64) -> Rc<World> {
        Rc::new(World {
            network,
            began: Instant::now(),
            history: RefCell::default(),
            cores: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ 0x57a6e)),
            next: Cell::new(0),
            taken: Cell::new(0),
            reader: Cell::new(None),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// A number that is unique within the run.
    pub fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// A uniform random number in [0, 1).
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// An exponentially distributed random number with that mean.
    pub fn exp(&self, mean: f64) -> f64 {
        let draw: f64 = Exp1.sample(&mut *self.rng.borrow_mut());
        draw * mean
    }

    /// Calls a control node and records the exchange. `ask` is the method, the path and a suffix for the record.
    pub async fn call_control(
        &self,
        runtime: &Runtime,
        to: SocketAddrV4,
        ask: (&str, &str, &str),
        body: &[u8],
        within: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        self.call_control_with_location(runtime, to, ask, body, within)
            .await
            .map(|(status, body, _)| (status, body))
    }

    /// The same, with the `Location` of the response.
    pub async fn call_control_with_location(
        &self,
        runtime: &Runtime,
        to: SocketAddrV4,
        ask: (&str, &str, &str),
        body: &[u8],
        within: Duration,
    ) -> Option<(u16, Vec<u8>, Option<String>)> {
        let (method, path, also) = ask;
        let at = self.now();
        let answer = call_with_location(runtime, to, method, path, body, within).await;
        let said = ControlExchange {
            control_node: self.name_of(*to.ip()),
            at,
            until: self.now(),
            request: format!("{method} {path}{also}"),
            status: answer.as_ref().map(|answer| answer.0),
        };
        self.history.borrow_mut().control_exchanges.push(said);
        answer
    }

    /// Name of the host with that address.
    pub(super) fn name_of(&self, ip: Ipv4Addr) -> String {
        self.network
            .state()
            .hosts
            .get(&ip)
            .map(|host| host.name.clone())
            .unwrap_or_default()
    }
}
