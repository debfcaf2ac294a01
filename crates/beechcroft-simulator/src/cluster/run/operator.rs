//! The operator: sends configurations and operations as PROTOCOL specifies, and reads them back at the end of the run.

use super::*;
use crate::cluster::scenario::Change;

/// Maximum number of concurrent calls.
pub(super) const MAX_CONCURRENT_CALLS: usize = 8;
/// How long a configuration is retried, in milliseconds.
const CONFIG_RETRY_MS: u64 = 30_000;

type Held = (String, history::Route, &'static str);

/// What the operator knows of the current configuration.
#[derive(Default)]
pub(super) struct OperatorLog {
    pub version: u32,
    routes: Vec<Held>,
    added: u32,
    timeout_ms: u64,
    idle_ms: u64,
    weight: u64,
    /// Routes of all configurations that were sent, in order.
    sent: Vec<Vec<Held>>,
}

/// Which core machine an operation is sent to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Aim {
    /// Starts at that position in the list of core machines, then goes round.
    From(usize),
    /// This one first, then the others.
    First(Ipv4Addr),
    /// This one only, until it responds.
    Only(Ipv4Addr),
}

impl ClusterRun {
    /// The current configuration with added routes, without one if `drop_one`, and with a moved route if `moved`.
    pub(super) fn config(
        &self,
        routes: usize,
        drop_one: bool,
        moved: bool,
    ) -> (ConfigChange, Vec<Held>) {
        self.altered_config(routes, drop_one, moved.then_some(Change::Route))
    }

    pub(super) fn altered_config(
        &self,
        routes: usize,
        drop_one: bool,
        change: Option<Change>,
    ) -> (ConfigChange, Vec<Held>) {
        let mut operator_log = self.operator_log.borrow_mut();
        let base = operator_log.version;
        let version = base + 1 + (self.world.number() % 3) as u32;
        let mut held = operator_log.routes.clone();
        if held.is_empty() {
            (
                operator_log.timeout_ms,
                operator_log.idle_ms,
                operator_log.weight,
            ) = (5000, 15_000, 50);
            let route = |prefix: &str, service: &str, homes: &[&str]| history::Route {
                prefix: prefix.into(),
                services: vec![service.into()],
                homes: homes.iter().map(|home| (*home).to_owned()).collect(),
            };
            held.push((
                "read".into(),
                route("/boards/", "boards", &[]),
                "idempotent",
            ));
            held.push((
                "post".into(),
                route("/ledger/", "ledger", &[]),
                "non_idempotent",
            ));
            held.push((
                "load".into(),
                route("/archive/", "archive", &[]),
                "download",
            ));
            held.push((
                "home".into(),
                route("/home/", "boards", &["region-0"]),
                "idempotent",
            ));
            held.push((
                "moved".into(),
                route("/moved/", "boards", &[]),
                "idempotent",
            ));
        }
        let route = held
            .iter_mut()
            .find(|(name, ..)| name == "moved")
            .expect("it is there");
        match change {
            None => {}
            // One route alternates between two services.
            Some(Change::Route) => {
                let other = if route.1.services[0] == "boards" {
                    "archive"
                } else {
                    "boards"
                };
                route.1.services = vec![other.into()];
            }
            Some(Change::Weights) => {
                route.1.services = vec!["boards".into(), "archive".into()];
                operator_log.weight = (operator_log.weight + 30) % 99 + 1;
            }
            Some(Change::Timeout) => {
                operator_log.timeout_ms = 4000 + (operator_log.timeout_ms + 700) % 3000
            }
            Some(Change::Idle) => {
                operator_log.idle_ms = 15_000 + (operator_log.idle_ms + 1000) % 5000
            }
        }
        if drop_one {
            if let Some(at) = held.iter().position(|(name, ..)| name.starts_with('x')) {
                held.remove(at);
            }
        }
        for _ in 0..routes {
            operator_log.added += 1;
            let name = format!("x{}", operator_log.added);
            let route = history::Route {
                prefix: format!("/{name}/"),
                services: vec!["boards".into()],
                homes: Vec::new(),
            };
            held.push((name, route, "idempotent"));
        }
        let rules: Vec<serde_json::Value> = held
            .iter()
            .map(|(name, route, kind)| {
                let mut rule = serde_json::json!({"name": name, "pathPrefix": route.prefix, "routeType": kind,
                    "timeoutMs": operator_log.timeout_ms, "targetMs": 400, "priority": 1, "retries": 2,
                    "homeRegions": route.homes});
                match &route.services[..] {
                    [one, two] => {
                        rule["split"] = serde_json::json!([{"service": one, "weight": operator_log.weight},
                            {"service": two, "weight": 100 - operator_log.weight}]);
                    }
                    services => rule["service"] = services[0].as_str().into(),
                }
                rule
            })
            .collect();
        let services: Vec<serde_json::Value> = SERVICES
            .iter()
            .map(|(name, _, _, bears)| {
                serde_json::json!({"name": name, "healthPath": "/health", "maxConns": 110, "warmupS": 3.0,
                    "warmupRateS": bears})
            })
            .collect();
        let body = serde_json::json!({"version": format!("{version:08x}"), "baseVersion": format!("{base:08x}"),
            "services": services, "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000, "idleTimeoutMs": operator_log.idle_ms},
            "virtualHosts": [{"hostname": "range.example", "pathRules": rules}]});
        let routes = held
            .iter()
            .map(|(name, route, _)| (name.clone(), route.clone()))
            .collect();
        let sent = ConfigChange {
            version,
            base,
            at: self.now(),
            acked: None,
            rejected_with: None,
            valid: true,
            routes,
            body: body.to_string().into_bytes(),
            ended: None,
            repeats: Vec::new(),
        };
        (sent, held)
    }

    /// Sends a configuration until it is accepted or rejected; returns whether it was accepted.
    pub(super) async fn replace(
        self: Rc<Self>,
        sent: ConfigChange,
        held: Vec<Held>,
        aim: Aim,
    ) -> bool {
        let at = self.world.history.borrow().configs.len();
        let (version, body) = (sent.version, sent.body.clone());
        let base = sent.base;
        self.world.history.borrow_mut().configs.push(sent);
        self.operator_log.borrow_mut().sent.push(held.clone());
        let said = format!("configuration {version:08x}");
        let status = self.order(
            "/config/replace",
            &body,
            aim,
            &said,
            CONFIG_RETRY_MS,
            |history, status, now| {
                let Some(config) = history.configs.get_mut(at) else {
                    return;
                };
                config.ended = Some(now);
                match status {
                    200 => config.acked = Some(now),
                    400..=499 => config.rejected_with = Some(status),
                    _ => {}
                }
            },
        );
        let status = status.await;
        if status == Some(412) && self.operator_log.borrow().version == base {
            self.read_current_config().await; // a change without a final response took effect
        }
        let taken = status == Some(200);
        if taken {
            let mut operator_log = self.operator_log.borrow_mut();
            if version > operator_log.version {
                (operator_log.version, operator_log.routes) = (version, held);
            }
        }
        taken
    }

    /// Reads the current configuration, to base the next one on it.
    async fn read_current_config(&self) {
        let runtime = Runtime::simulated(Rc::new(self.world.network.host_network(operator())));
        let cores = self.world.cores.borrow().clone();
        for core in cores {
            let to = SocketAddrV4::new(core, CONTROL_PORT);
            let within = Duration::from_secs(1);
            let done = self
                .world
                .call_control(&runtime, to, ("GET", "/config/show", ""), b"", within)
                .await;
            let Some((200, body)) = done else { continue };
            let history = self.world.history.borrow();
            let Some(at) = history
                .configs
                .iter()
                .position(|config| config.body == body)
            else {
                continue;
            };
            let mut operator_log = self.operator_log.borrow_mut();
            if history.configs[at].version > operator_log.version {
                (operator_log.version, operator_log.routes) =
                    (history.configs[at].version, operator_log.sent[at].clone());
            }
            return;
        }
    }

    /// Sends the newest acknowledged configuration again, unchanged.
    pub(super) async fn resend_newest_config(self: Rc<Self>) {
        let newest = {
            let history = self.world.history.borrow();
            let acked = history
                .configs
                .iter()
                .enumerate()
                .filter(|(_, config)| config.acked.is_some());
            acked
                .max_by_key(|(_, config)| config.version)
                .map(|(at, config)| (at, config.body.clone()))
        };
        let Some((at, body)) = newest else { return };
        let (from, first) = (self.now(), self.world.number() as usize);
        let said = "a configuration sent again";
        self.order(
            "/config/replace",
            &body,
            Aim::From(first),
            said,
            ACK_MS,
            |history, status, now| {
                history.configs[at].repeats.push((from, now, status));
            },
        )
        .await;
    }

    /// Sends an operation to one core machine after the other until one gives a final response.
    pub(super) async fn order(
        self: &Rc<Self>,
        path: &str,
        body: &[u8],
        aim: Aim,
        said: &str,
        retry_for_ms: u64,
        note: impl Fn(&mut history::History, u16, u64),
    ) -> Option<u16> {
        let runtime = Runtime::simulated(Rc::new(self.world.network.host_network(operator())));
        while self.orders.get() >= MAX_CONCURRENT_CALLS {
            sleep(Duration::from_millis(10)).await;
        }
        self.orders.set(self.orders.get() + 1);
        let mut ended = None;
        let until = self.now() + retry_for_ms;
        let (mut nth, mut pause, mut others) = (0, 100, 0);
        while self.now() < until && ended.is_none() {
            let cores = self.world.cores.borrow().clone();
            let to = match aim {
                Aim::From(first) => cores[(first + nth) % cores.len()],
                Aim::First(ip) if nth == 0 => ip,
                Aim::First(_) => cores[nth % cores.len()],
                Aim::Only(ip) => ip,
            };
            nth += 1;
            let wait = Duration::from_millis(1000 + body.len() as u64 / 100);
            let began = Instant::now();
            let mut done = self
                .follow(
                    &runtime,
                    SocketAddrV4::new(to, CONTROL_PORT),
                    path,
                    body,
                    wait,
                )
                .await;
            if done.is_some()
                && self.answers_lost.get() > 0.0
                && self.world.draw() < self.answers_lost.get()
            {
                tokio::time::sleep_until(began + wait).await;
                done = None;
            }
            let Some((status, by)) = done else {
                sleep(Duration::from_millis(pause)).await;
                pause = (pause * 2).min(1000);
                continue;
            };
            others += usize::from((400..500).contains(&status) && !matches!(status, 408 | 429));
            let ends = matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422) || others >= 3;
            if ends {
                if status / 100 == 2 {
                    *self.leader.borrow_mut() = Some(by);
                }
                note(
                    &mut self.world.history.borrow_mut(),
                    status,
                    self.world.now(),
                );
                ended = Some(status);
                break;
            }
            sleep(Duration::from_millis(pause)).await;
            pause = (pause * 2).min(1000);
        }
        if ended.is_none() {
            self.unacknowledged.borrow_mut().push(said.to_owned());
        }
        self.orders.set(self.orders.get() - 1);
        ended
    }

    /// One call that follows up to two 307 redirects; returns the status and the node that sent it.
    async fn follow(
        &self,
        runtime: &Runtime,
        to: SocketAddrV4,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<(u16, Ipv4Addr)> {
        let (mut to, mut path) = (to, path.to_owned());
        for _ in 0..3 {
            let ask = ("POST", path.as_str(), "");
            let (status, _, location) = self
                .world
                .call_control_with_location(runtime, to, ask, body, wait)
                .await?;
            let Some(location) = location.filter(|_| status == 307) else {
                return Some((status, *to.ip()));
            };
            let rest = location.strip_prefix("http://")?;
            let (address, rest) = rest.split_at(rest.find('/')?);
            (to, path) = (address.parse().ok()?, rest.to_owned());
        }
        None
    }

    pub(super) async fn read_back(&self) {
        let runtime = Runtime::simulated(Rc::new(self.world.network.host_network(operator())));
        let mut rollouts = Vec::new();
        for order in &self.world.history.borrow().operations {
            if let history::OperationKind::Rollout { service, .. } = &order.what {
                rollouts.push(service.clone());
            }
        }
        for nth in 0..8 {
            let cores = self.world.cores.borrow().clone();
            let to = SocketAddrV4::new(cores[nth % cores.len()], CONTROL_PORT);
            let (asked, within) = (self.now(), Duration::from_secs(3));
            let ask = ("GET", "/config/show", "");
            if let Some((200, body)) = self
                .world
                .call_control(&runtime, to, ask, b"", within)
                .await
            {
                let mut history = self.world.history.borrow_mut();
                (history.read_back, history.read_at) = (Some(body), asked);
                break;
            }
            sleep(Duration::from_millis(500)).await;
        }
        for service in rollouts {
            let cores = self.world.cores.borrow().clone();
            for core in cores {
                let path = format!("/rollouts/{service}/show");
                let to = SocketAddrV4::new(core, CONTROL_PORT);
                let ask = ("GET", path.as_str(), "");
                let done = self
                    .world
                    .call_control(&runtime, to, ask, b"", Duration::from_secs(3))
                    .await;
                let state = match done {
                    Some((200, body)) => {
                        let said =
                            serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
                        said["state"].as_str().unwrap_or("?").to_owned()
                    }
                    Some((404, _)) => "gone".to_owned(),
                    _ => continue,
                };
                self.world
                    .history
                    .borrow_mut()
                    .rollouts
                    .insert(service.clone(), state);
                break;
            }
        }
    }
}
