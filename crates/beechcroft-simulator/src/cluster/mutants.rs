//! Mutants: broken parts that replace the correct ones, at least one per rule. The checker must find each of them.

use super::history::EndpointLifetime;
use super::http::read_response;
use super::scenario::Mutant;
use super::world::{World, UNIT_PORT};
use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::{self, Parsed, RequestHead};
use beechcroft_transport::server::{self, Response, ServerLimits};
use beechcroft_transport::Runtime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A control node that acknowledges everything, or does not respond to operations.
pub async fn control_node(
    world: Rc<World>,
    runtime: Runtime,
    at: SocketAddrV4,
    mutant: Option<Mutant>,
) {
    sleep(Duration::from_millis(50)).await; // starts after the real node, and takes over its address
    let all = move |call: server::Request| {
        let taken = world
            .history
            .borrow()
            .configs
            .iter()
            .any(|c| c.acked.is_some() && c.body == call.body);
        let orders = call.path.starts_with("/evacuation") || call.path.starts_with("/config");
        let later = world.now() > 9000;
        async move {
            match mutant {
                Some(Mutant::RejectsRepeats) if taken => Response {
                    status: 412,
                    ..Response::json("{}")
                },
                Some(Mutant::UnresponsiveControl) if orders && later => {
                    std::future::pending().await
                }
                _ => Response::json("{}"),
            }
        }
    };
    let _ = server::serve(runtime, at, ServerLimits::default(), all).await;
}

/// A minimal proxy with one fault. It reads from the history what a real proxy learns from control nodes.
pub async fn edge(world: Rc<World>, runtime: Runtime, at: SocketAddrV4, mutant: Mutant) {
    let carries = !matches!(
        mutant,
        Mutant::NoGossip
            | Mutant::AbruptShutdown
            | Mutant::FalseSync
            | Mutant::AcceptsConflicts
            | Mutant::NoRecovery
            | Mutant::RejectsRepeats
            | Mutant::UnresponsiveControl
            | Mutant::TaskPanic
            | Mutant::UnexpectedExit
    );
    if mutant == Mutant::NoGossip {
        sleep(Duration::from_secs(7)).await;
        let mut inner = world.network.state();
        inner.loss = 1.0;
        // Copies of registers travel on connections, which stay up.
        return;
    }
    if mutant == Mutant::TaskPanic {
        sleep(Duration::from_secs(9)).await;
        panic!("a task of the edge at {at}");
    }
    if !carries {
        return;
    }
    sleep(Duration::from_secs(3)).await;
    let Ok(mut listener) = runtime.listen(at).await else {
        return;
    };
    let mut nth = 0;
    while let Ok((stream, _)) = listener.accept().await {
        nth += 1;
        let edge = Edge {
            world: world.clone(),
            runtime: runtime.clone(),
            at,
            mutant,
        };
        spawn_local(edge.client(Connection::new(stream), nth));
    }
}

struct Edge {
    world: Rc<World>,
    runtime: Runtime,
    at: SocketAddrV4,
    mutant: Mutant,
}

async fn head(line: &mut Connection) -> Option<(RequestHead, Vec<u8>)> {
    let ask = loop {
        match http_validation::parse_request(line.unread(), 64 << 10) {
            Parsed::Complete(ask, length) => {
                line.consume(length);
                break ask;
            }
            Parsed::Invalid(_) => return None,
            Parsed::Incomplete => {}
        }
        if !matches!(line.read_more().await, Ok(1..)) {
            return None;
        }
    };
    let mut body = BodyReader::new(ask.framing);
    let mut held = Vec::new();
    while !body.is_done() {
        body.read(line, &mut held).await.ok()?;
    }
    Some((ask, held))
}

impl Edge {
    async fn client(self, mut line: Connection, mut nth: u64) {
        while let Some((ask, body)) = head(&mut line).await {
            nth += 1;
            let (status, lines, answer) = self.carry(&ask, &body, nth).await;
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n",
                answer.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend(lines);
            bytes.extend(b"\r\n");
            bytes.extend(answer);
            if line.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// Target services and home regions of a path under the newest acknowledged configuration, or an older one.
    fn services(&self, path: &str, nth: u64) -> Option<(Vec<String>, Vec<String>)> {
        let history = self.world.history.borrow();
        let mut acked: Vec<_> = history
            .configs
            .iter()
            .filter(|config| config.acked.is_some())
            .collect();
        acked.sort_by_key(|config| config.version);
        let config = match self.mutant {
            Mutant::ConfigRollback if nth.is_multiple_of(4) => acked.first(),
            _ => acked.last(),
        }?;
        let routes = config
            .routes
            .values()
            .filter(|route| path.starts_with(&route.prefix));
        routes
            .max_by_key(|route| route.prefix.len())
            .map(|route| (route.services.clone(), route.homes.clone()))
    }

    /// Whether the operator has begun the evacuation of a zone.
    fn is_evacuated(&self, zone: &str) -> bool {
        let history = self.world.history.borrow();
        let of = history
            .operations
            .iter()
            .rev()
            .find_map(|order| match &order.what {
                super::history::OperationKind::Evacuate { zone: of, begin } if of == zone => {
                    Some(*begin)
                }
                _ => None,
            });
        of == Some(true) && self.mutant != Mutant::IgnoresEvacuation
    }

    /// Running units of the services that may get the request.
    fn units(&self, services: &[String], homes: &[String]) -> Vec<(String, SocketAddrV4)> {
        let history = self.world.history.borrow();
        let now = self.world.now();
        let cold = self.mutant == Mutant::IgnoresWarmup;
        let trial = self.mutant == Mutant::UncontrolledCanary;
        let fits = |life: &EndpointLifetime| {
            let new = life.version != "v1";
            services.contains(&life.service)
                && life.ended.is_none()
                && life.drain_acked.is_none()
                && !self.is_evacuated(&life.zone)
                && (homes.is_empty() || homes.contains(&life.region))
                && (now > life.began + 4000 || life.began < 100 || cold || trial)
                && (!new || trial || cold)
        };
        let inner = self.world.network.state();
        let at = |id: &String| {
            let name = format!("unit-{id}");
            inner
                .hosts
                .iter()
                .find(|(_, host)| host.name == name)
                .map(|(ip, _)| SocketAddrV4::new(*ip, UNIT_PORT))
        };
        let mut all: Vec<(String, SocketAddrV4, bool)> = history
            .units
            .iter()
            .filter(|(_, life)| fits(life))
            .filter_map(|(id, life)| {
                Some((
                    id.clone(),
                    at(id)?,
                    life.version != "v1" || life.began > 100,
                ))
            })
            .collect();
        if (trial || cold) && all.iter().any(|unit| unit.2) {
            all.retain(|unit| unit.2);
        }
        all.into_iter().map(|(id, at, _)| (id, at)).collect()
    }

    async fn carry(&self, ask: &RequestHead, body: &[u8], nth: u64) -> (u16, Vec<u8>, Vec<u8>) {
        let own = |status: u16| (status, Vec::new(), Vec::new());
        if self.mutant == Mutant::RejectsValidRequests && nth.is_multiple_of(3) {
            return own(403);
        }
        let Some((services, homes)) = self.services(&ask.target, nth) else {
            return own(404);
        };
        let homes = if self.mutant == Mutant::IgnoresHomeRegions {
            Vec::new()
        } else {
            homes
        };
        let services = match self.mutant {
            // Any unit that listens at an address of another service.
            Mutant::IgnoresTargetUnit if nth.is_multiple_of(5) => {
                vec![
                    "ledger".to_owned(),
                    "archive".to_owned(),
                    "boards".to_owned(),
                ]
            }
            _ => services,
        };
        let units = self.units(&services, &homes);
        if units.is_empty() {
            return own(503);
        }
        let pick =
            |nth: u64| &units[(nth as usize * 7 + u32::from(*self.at.ip()) as usize) % units.len()];
        let post = ask.method == "POST";
        let times = match self.mutant {
            Mutant::DuplicateWrites if post && nth.is_multiple_of(3) => 2,
            Mutant::ExcessiveRetries if !post => 5,
            _ => 1,
        };
        let mut last = None;
        for again in 0..times {
            let (unit, at) = pick(nth + again);
            last = self.offer(ask, body, unit, *at).await;
        }
        let Some((status, lines, answer)) = last else {
            return own(502);
        };
        match self.mutant {
            Mutant::TruncatedBodies if nth.is_multiple_of(5) && status == 200 => {
                let half = answer[..answer.len() / 2].to_vec();
                (status, lines, half)
            }
            Mutant::FalseNotExecuted if post && status >= 500 => own(503),
            _ => (status, lines, answer),
        }
    }

    async fn offer(
        &self,
        ask: &RequestHead,
        body: &[u8],
        unit: &str,
        at: SocketAddrV4,
    ) -> Option<(u16, Vec<u8>, Vec<u8>)> {
        let target = match self.mutant {
            Mutant::AlteredPaths => ask.target.replace("/boards/", "/boards/./"),
            _ => ask.target.clone(),
        };
        let meant = match self.mutant {
            Mutant::IgnoresTargetUnit => String::new(),
            _ => format!("Beechcroft-Target-Unit: {unit}\r\n"),
        };
        let budget = ask.budget_ms.unwrap_or(3000);
        let mut bytes = format!(
            "{} {target} HTTP/1.1\r\nBeechcroft-Time-Budget: {budget}\r\n{meant}Content-Length: {}\r\n",
            ask.method,
            body.len()
        )
        .into_bytes();
        bytes.extend(&ask.forwarded_headers);
        bytes.extend(b"\r\n");
        bytes.extend(body);
        let done = async {
            let mut line = Connection::new(self.runtime.connect(at).await.ok()?);
            line.write(&bytes).await.ok()?;
            let (reply, held) = read_response(&mut line, &ask.method).await?;
            Some((reply.status, reply.forwarded_headers, held))
        };
        timeout(Duration::from_millis(budget), done)
            .await
            .ok()
            .flatten()
    }
}
