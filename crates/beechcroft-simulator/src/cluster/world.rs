//! What units, clients and operators of one run share: the network, the random numbers and the history that the
//! checker reads.

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

/// The port of a unit.
pub const UNIT_PORT: u16 = 8080;
/// The port that control nodes serve units and operators on.
pub const CONTROL_PORT: u16 = 8544;
/// The port that control nodes serve the directory on.
pub const DIRECTORY_PORT: u16 = 8546;
/// The port that proxies serve clients on.
pub const INGRESS_PORT: u16 = 8548;
/// The port that proxies serve their readiness on.
pub const READINESS_PORT: u16 = 8542;

/// What all actors share.
pub struct World {
    /// The network.
    pub network: Network,
    /// When the run began.
    pub began: Instant,
    /// All that the checker will know.
    pub history: RefCell<History>,
    /// Addresses of the control nodes, those that are gone for good left out.
    pub cores: RefCell<Vec<Ipv4Addr>>,
    /// Random numbers of units, clients and operators.
    pub rng: RefCell<Pcg64Mcg>,
    /// The last number that was given out.
    pub next: Cell<u64>,
    /// Writes of clients that were answered with success.
    pub taken: Cell<u64>,
    /// The core machine whose directory was read last.
    pub reader: Cell<Option<Ipv4Addr>>,
}

impl World {
    /// A world without any machine in it.
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

    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// The next number: each is given out once.
    pub fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// A random number from 0 up to 1.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Exponential, with that mean.
    pub fn exp(&self, mean: f64) -> f64 {
        let draw: f64 = Exp1.sample(&mut *self.rng.borrow_mut());
        draw * mean
    }

    /// Asks a control node, and writes down what it said. `also`: what the path does not tell.
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

    /// The same, with where it sends its caller on to.
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

    /// The name of the machine with that address.
    pub(super) fn name_of(&self, ip: Ipv4Addr) -> String {
        self.network
            .state()
            .hosts
            .get(&ip)
            .map(|host| host.name.clone())
            .unwrap_or_default()
    }
}
