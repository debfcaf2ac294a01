//! What a scenario plans and lets go wrong, event by event.

use super::faults::Strike;
use super::*;

impl ClusterRun {
    pub(super) async fn event(self: Rc<Self>, nth: usize, event: Event, start: Instant) {
        tokio::time::sleep_until(start + Duration::from_secs_f64(event.at)).await;
        let day = self.clone();
        let what = match event.what {
            What::Met { by, what } => {
                spawn_local(self.clone().meets((*what).clone(), by));
                *what
            }
            what => what,
        };
        match what {
            What::Met { .. } => {} // once is enough
            What::Alter { change } => {
                let (sent, held) = self.altered(0, false, Some(change));
                day.replace(sent, held, Aim::From(nth)).await;
            }
            What::Config { routes, drop } => {
                let (sent, held) = self.config(routes, drop, true);
                let prefix = held.last().map(|(_, route, _)| route.prefix.clone());
                if day.clone().replace(sent, held, Aim::From(nth)).await
                    && self.scenario.spread
                    && routes > 0
                {
                    day.spreads(&prefix.unwrap_or_default()).await;
                }
            }
            What::Race => {
                let (one, held) = self.config(1, false, true);
                let (mut two, other) = self.config(1, false, false);
                if two.version == one.version {
                    // Each its own number on the same base.
                    let (from, to) = (
                        format!("\"version\":\"{:08x}\"", two.version),
                        two.version + 7,
                    );
                    let text = String::from_utf8_lossy(&two.body)
                        .replace(&from, &format!("\"version\":\"{to:08x}\""));
                    (two.version, two.body) = (to, text.into_bytes());
                }
                let first = day.clone().replace(one, held, Aim::From(0));
                tokio::join!(first, day.replace(two, other, Aim::From(1)));
            }
            What::Twins => {
                let (one, held) = self.config(1, false, true);
                let (mut two, other) = self.config(1, false, false);
                let number = |version: u32| format!("\"version\":\"{version:08x}\"");
                let text = String::from_utf8_lossy(&two.body)
                    .replace(&number(two.version), &number(one.version));
                (two.version, two.body) = (one.version, text.into_bytes());
                let first = day.clone().replace(one, held, Aim::From(nth));
                tokio::join!(first, day.replace(two, other, Aim::From(nth + 1)));
            }
            What::Invalid => {
                let (mut sent, held) = self.config(1, false, false);
                let text = String::from_utf8_lossy(&sent.body)
                    .replace("\"timeoutMs\":", "\"timeoutMs\":0,\"was\":");
                (sent.body, sent.valid) = (text.into_bytes(), false);
                day.replace(sent, held, Aim::From(nth)).await;
            }
            What::Rollout {
                service,
                fails,
                slow,
                ramp_s,
            } => day.rollout(&service, fails, slow, ramp_s).await,
            What::Evacuate { zone, for_s } => {
                day.evacuate(&zone, true, nth).await;
                sleep(Duration::from_secs_f64(for_s)).await;
                day.evacuate(&zone, false, nth).await;
            }
            What::Drain { service, count } => {
                for standing in self.running(&service).into_iter().take(count) {
                    spawn_local(self.clone().drains(standing));
                }
            }
            What::Add { service, count } => {
                for at in 0..count {
                    self.unit_start(
                        &service,
                        &self.version(&service),
                        at,
                        None,
                        true,
                        Impairment::default(),
                    );
                }
            }
            What::Crash {
                service,
                count,
                reuse,
            } => {
                let lost: Vec<_> = self.running(&service).into_iter().take(count).collect();
                lost.iter().for_each(|standing| self.unit_ends(standing));
                sleep(Duration::from_secs(2)).await;
                let other = if service == "archive" {
                    "boards"
                } else {
                    "archive"
                };
                for (at, standing) in lost.iter().enumerate().filter(|_| reuse) {
                    let version = self.version(other);
                    self.unit_start(
                        other,
                        &version,
                        at,
                        Some(*standing.unit.at.ip()),
                        true,
                        Impairment::default(),
                    );
                }
            }
            What::Ill {
                service,
                count,
                for_s,
                fails,
                slow,
                loses,
                spoils,
                lies,
            } => {
                let ill = Impairment {
                    fails,
                    slow,
                    loses,
                    spoils,
                    lies,
                    wrong: None,
                };
                self.ail(&service, count, for_s, ill).await;
            }
            What::Answers {
                service,
                count,
                for_s,
                part,
                wrong,
            } => {
                let ill = Impairment {
                    wrong: Some((wrong, part)),
                    ..Impairment::default()
                };
                self.ail(&service, count, for_s, ill).await;
            }
            What::Dark {
                service,
                count,
                for_s,
            } => {
                let down: Vec<_> = self.running(&service).into_iter().take(count).collect();
                let power = |standing: &RunningEndpoint, on: bool| {
                    if let Some(host) = self
                        .world
                        .network
                        .with()
                        .hosts
                        .get_mut(standing.unit.at.ip())
                    {
                        host.dark = !on;
                    }
                };
                for standing in &down {
                    power(standing, false);
                    self.unit_ends(standing);
                }
                sleep(Duration::from_secs_f64(for_s)).await;
                for (at, standing) in down.iter().enumerate() {
                    power(standing, true);
                    let (version, ip) =
                        (standing.unit.version.clone(), Some(*standing.unit.at.ip()));
                    self.unit_start(&service, &version, at, ip, true, Impairment::default());
                }
            }
            What::Flap {
                service,
                count,
                for_s,
                every_s,
            } => {
                let until = Instant::now() + Duration::from_secs_f64(for_s);
                while Instant::now() < until {
                    let down: Vec<_> = self.running(&service).into_iter().take(count).collect();
                    down.iter().for_each(|standing| self.unit_ends(standing));
                    sleep(Duration::from_secs_f64(every_s / 2.0)).await;
                    for (at, standing) in down.iter().enumerate() {
                        let version = standing.unit.version.clone();
                        let ip = Some(*standing.unit.at.ip());
                        self.unit_start(&service, &version, at, ip, true, Impairment::default());
                    }
                    sleep(Duration::from_secs_f64(every_s / 2.0)).await;
                }
            }
            What::Cold { service, count } => {
                // Told by a heartbeat at once; cold once that may have gone round.
                let units: Vec<_> = self.running(&service).into_iter().take(count).collect();
                let until = self.now() + COLD_TOLD_MS + COLD_MS;
                units
                    .iter()
                    .for_each(|standing| standing.unit.told_cold.set(until));
                sleep(Duration::from_millis(COLD_TOLD_MS)).await;
                units
                    .iter()
                    .for_each(|standing| standing.unit.cold_until.set(until));
            }
            What::Kill { on, down_s } => self.down(&on, down_s, false, false).await,
            What::Power { on, down_s } => self.down(&on, down_s, true, false).await,
            What::Wipe { on, down_s } => self.down(&on, down_s, true, true).await,
            What::Damage { on, record, down_s } => {
                for disk in self
                    .named(&on)
                    .iter()
                    .filter_map(|machine| machine.disk.as_ref())
                {
                    disk.damage(&record);
                }
                self.down(&on, down_s, false, false).await;
            }
            What::Term { on } => {
                for machine in self.named(&on) {
                    spawn_local(self.clone().stops(machine));
                }
            }
            What::Freeze { on, for_s } => {
                let (now, until) = (self.now(), Instant::now() + Duration::from_secs_f64(for_s));
                for machine in self.named(&on) {
                    self.trouble(&machine.name, now, now + (for_s * 1000.0) as u64, "frozen");
                    if let Some(host) = self.world.network.with().hosts.get_mut(&machine.ip) {
                        host.frozen_until = Some(until);
                    }
                }
            }
            What::Replace { on } => {
                for machine in self.named(&on).into_iter().filter(|machine| machine.core) {
                    self.trouble(&machine.name, self.now(), self.now(), "gone for good");
                    self.power(&machine, false);
                    machine.gone.set(true);
                    self.world.cores.borrow_mut().retain(|ip| *ip != machine.ip);
                    self.newcomer(true);
                }
            }
            What::Cut {
                from,
                to,
                for_s,
                one_way,
                how,
            } => {
                let (from, to) = (self.who(&from), self.who(&to));
                let now = self.now();
                let until = Instant::now() + Duration::from_secs_f64(for_s);
                let touched = if to == "*" {
                    self.named(&from)
                } else {
                    [self.named(&from), self.named(&to)].concat()
                };
                for machine in touched {
                    self.trouble(&machine.name, now, now + (for_s * 1000.0) as u64, "cut off");
                }
                self.world.network.with().begin(Cut {
                    from,
                    to,
                    until,
                    one_way,
                    how,
                });
            }
            What::SlowDisk { on, sync_ms, for_s } => {
                let now = self.now();
                let machines = self.named(&on);
                for machine in &machines {
                    self.trouble(
                        &machine.name,
                        now,
                        now + (for_s * 1000.0) as u64,
                        "slow disk",
                    );
                    machine
                        .disk
                        .iter()
                        .for_each(|disk| disk.state.borrow_mut().sync_ms = sync_ms.max(1));
                }
                sleep(Duration::from_secs_f64(for_s)).await;
                for disk in machines.iter().filter_map(|machine| machine.disk.as_ref()) {
                    disk.state.borrow_mut().sync_ms = self.scenario.sync_ms.max(1);
                }
            }
            What::Loss { part, for_s } => {
                let now = self.now();
                self.trouble("*", now, now + (for_s * 1000.0) as u64, "letters lost");
                self.world.network.with().loss = part.clamp(0.0, 1.0);
                sleep(Duration::from_secs_f64(for_s)).await;
                self.world.network.with().loss = self.scenario.loss;
            }
            What::Skew { on, ms } => {
                for machine in self.named(&on) {
                    if let Some(host) = self.world.network.with().hosts.get_mut(&machine.ip) {
                        host.skew_ms = ms;
                    }
                }
            }
            What::Burst { times, for_s } => {
                self.times.set(times);
                sleep(Duration::from_secs_f64(for_s)).await;
                self.times.set(1.0);
            }
            What::Storm {
                count,
                every_ms,
                lost,
                races,
                again,
            } => day.storm(count, every_ms, lost, races, again).await,
            What::Unheard { part, for_s } => day.unheard(part, for_s).await,
            What::Seeds { first, restart } => day.reseeds(&first, restart).await,
            What::Roll {
                on,
                remove,
                every_s,
            } => day.rolls(&on, remove, every_s).await,
            What::Herd {
                on,
                share,
                power,
                down_s,
            } => {
                let all = self.named(&on);
                let count = ((all.len() as f64 * share).ceil() as usize).min(all.len());
                let from = self.world.number() as usize;
                let some = (0..count)
                    .map(|at| all[(from + at) % all.len()].clone())
                    .collect();
                self.all_down(some, down_s, power, false).await
            }
            What::Strike {
                on,
                after,
                wait_ms,
                power,
                wipe,
                down_s,
                closing,
            } => {
                let strike = Strike {
                    on,
                    after,
                    wait_ms,
                    power,
                    wipe,
                    down_s,
                    closing,
                };
                day.strike(strike).await
            }
            What::Closing { power, wipe } => day.closing(power, wipe).await,
        }
    }

    /// Units of a service are ill for a while.
    async fn ail(&self, service: &str, count: usize, for_s: f64, ill: Impairment) {
        let units: Vec<_> = self.running(service).into_iter().take(count).collect();
        units
            .iter()
            .for_each(|s| *s.unit.impairment.borrow_mut() = ill.clone());
        sleep(Duration::from_secs_f64(for_s)).await;
        units
            .iter()
            .for_each(|s| *s.unit.impairment.borrow_mut() = Impairment::default());
    }

    /// Asks every edge machine for a new route until it knows it.
    pub(super) async fn spreads(&self, prefix: &str) {
        let began = self.now();
        let edges: Vec<Ipv4Addr> = self
            .machines
            .borrow()
            .iter()
            .filter(|m| !m.core && !m.gone.get())
            .map(|m| m.ip)
            .collect();
        let clients = &self.clients[0];
        let mut last = 0;
        let waits = edges.into_iter().map(|ip| async move {
            let kind = RequestKind {
                route: "probe".into(),
                prefix: prefix.to_owned(),
                repeatable: true,
                deadline_ms: 2000,
                body: 0,
            };
            let to = SocketAddrV4::new(ip, INGRESS);
            while self.now() < began + 30_000 {
                let status = client::ask_at(&self.world, clients, &kind, to).await;
                if status.is_some_and(|status| status != 404) {
                    return self.now() - began;
                }
                sleep(Duration::from_millis(15)).await;
            }
            30_000
        });
        for took in futures_util::future::join_all(waits).await {
            last = last.max(took);
        }
        self.spread_ms.borrow_mut().push(last);
    }

    pub(super) async fn down(&self, on: &str, down_s: f64, power: bool, wipe: bool) {
        self.all_down(self.named(on), down_s, power, wipe).await;
    }

    pub(super) async fn all_down(
        &self,
        machines: Vec<Rc<Machine>>,
        down_s: f64,
        power: bool,
        wipe: bool,
    ) {
        let now = self.now();
        let until = now + (down_s * 1000.0) as u64;
        for machine in &machines {
            machine.down_until.set(machine.down_until.get().max(until));
            self.trouble(
                &machine.name,
                now,
                now + (down_s * 1000.0) as u64,
                if power { "no power" } else { "killed" },
            );
            if power {
                self.power(machine, false);
            } else {
                self.kill(machine);
            }
            if wipe {
                machine.disk.iter().for_each(MachineDisk::wipe);
            }
        }
        sleep(Duration::from_secs_f64(down_s)).await;
        // One that another event keeps down for longer is left to that.
        for machine in machines
            .iter()
            .filter(|machine| machine.down_until.get() <= until)
        {
            self.power(machine, true);
            self.start(machine, false);
        }
    }

    /// SIGTERM, SIGKILL after its grace, and a new start a second later.
    pub(super) async fn stops(self: Rc<Self>, machine: Rc<Machine>) {
        self.leaves(&machine).await;
        sleep(Duration::from_secs(1)).await;
        if machine.down_until.get() > self.now() {
            return; // the platform starts it when its power is back
        }
        self.start(&machine, false);
        self.trouble(&machine.name, self.now(), self.now(), "started");
    }

    /// SIGTERM, and SIGKILL after its grace.
    pub(super) async fn leaves(&self, machine: &Rc<Machine>) {
        let from = self.now();
        self.trouble(&machine.name, from, from + 1000, "SIGTERM");
        machine.told.set(true);
        if let Some(term) = machine.term.borrow().as_ref() {
            term.notify_one();
        }
        if self.scenario.mutant == Some(Mutant::HastyEnds) {
            sleep(Duration::from_millis(20)).await;
            self.kill(machine);
        }
        let over = |machine: &Machine| {
            machine
                .process
                .borrow()
                .as_ref()
                .is_none_or(Process::is_over)
        };
        while !over(machine) && self.now() < from + (GRACE_S * 1000.0) as u64 {
            sleep(Duration::from_millis(20)).await;
        }
        self.kill(machine);
        let left = (machine.name.clone(), from, self.now());
        match machine.core {
            true => self.core_leaves.borrow_mut().push(left),
            false => self.world.history.borrow_mut().leaves.push(left),
        }
    }

    pub(super) async fn drains(self: Rc<Self>, standing: Rc<RunningEndpoint>) {
        standing.unit.draining.set(true);
        let from = self.now();
        let acked = || {
            let history = self.world.history.borrow();
            history
                .units
                .get(&standing.unit.id)
                .and_then(|life| life.left_acked)
        };
        while acked().is_none() && self.now() < from + 8000 {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_millis(Bounds::default().drain_ms + 300)).await;
        let _ = unit::deregister(&self.world, &standing.unit).await;
        self.unit_ends(&standing);
    }

    pub(super) async fn evacuate(self: &Rc<Self>, zone: &str, begin: bool, nth: usize) {
        let at = {
            let mut history = self.world.history.borrow_mut();
            let what = history::What::Evacuate {
                zone: zone.into(),
                begin,
            };
            history.orders.push(Order {
                what,
                at: self.world.now(),
                acked: None,
                ended: None,
            });
            history.orders.len() - 1
        };
        let path = format!(
            "/evacuation/{zone}/{}",
            if begin { "begin" } else { "finish" }
        );
        self.order(
            &path,
            b"",
            Aim::From(nth),
            &path,
            ACK_MS,
            |history, status, now| {
                history.orders[at].ended = Some(now);
                if status == 200 {
                    history.orders[at].acked = Some(now);
                }
            },
        )
        .await;
        self.world.history.borrow_mut().orders[at]
            .ended
            .get_or_insert(self.now());
    }

    /// New units beside the old ones; the order; what becomes of it.
    pub(super) async fn rollout(
        self: &Rc<Self>,
        service: &str,
        fails: f64,
        slow: f64,
        ramp_s: f64,
    ) {
        let old = self.running(service);
        let target = format!("v{}", 2 + self.world.number());
        let bad = fails > 0.0 || slow > 1.0;
        let ill = Impairment {
            fails,
            slow,
            ..Impairment::default()
        };
        for at in 0..old.len() {
            self.unit_start(service, &target, at, None, true, ill.clone());
        }
        sleep(Duration::from_millis(500)).await;
        let until = self.now() + (ramp_s * 1000.0) as u64;
        let at = {
            let mut history = self.world.history.borrow_mut();
            let what = history::What::Rollout {
                service: service.into(),
                target: target.clone(),
                bad,
                until,
            };
            history.orders.push(Order {
                what,
                at: self.world.now(),
                acked: None,
                ended: None,
            });
            history.orders.len() - 1
        };
        let body =
            serde_json::json!({"service": service, "targetVersion": target, "rampS": ramp_s})
                .to_string();
        let said = format!("rollout of {service}");
        self.order(
            "/rollouts/begin",
            body.as_bytes(),
            Aim::From(0),
            &said,
            ACK_MS,
            |history, status, now| {
                history.orders[at].ended = Some(now);
                if status == 200 {
                    history.orders[at].acked = Some(now);
                }
            },
        )
        .await;
        self.world.history.borrow_mut().orders[at]
            .ended
            .get_or_insert(self.now());
        let runtime = Runtime::simulated(Rc::new(self.world.network.seat(operator())));
        let path = format!("/rollouts/{service}/show");
        for nth in 0..120 {
            sleep(Duration::from_millis(300)).await;
            let cores = self.world.cores.borrow().clone();
            let to = SocketAddrV4::new(cores[nth % cores.len()], CONTROL);
            let ask = ("GET", path.as_str(), "");
            let done = self
                .world
                .ask_control(&runtime, to, ask, b"", Duration::from_secs(1))
                .await;
            let Some((200, body)) = done else { continue };
            let state = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
            match state["state"].as_str() {
                Some("complete") => {
                    self.versions
                        .borrow_mut()
                        .insert(service.into(), target.clone());
                    old.iter().for_each(|standing| self.unit_ends(standing));
                    return;
                }
                Some("reverted") => {
                    sleep(Duration::from_secs(3)).await;
                    for standing in self
                        .running(service)
                        .into_iter()
                        .filter(|s| s.unit.version == target)
                    {
                        spawn_local(self.clone().drains(standing));
                    }
                    return;
                }
                _ => {}
            }
        }
    }

    /// A configuration, and right after its acknowledgement the end of everything.
    pub(super) async fn closing(self: Rc<Self>, power: bool, wipe: Option<String>) {
        let (sent, held) = self.config(2, false, true);
        self.clone().replace(sent, held, Aim::From(0)).await;
        let now = self.now();
        let machines = self.named("*");
        self.trouble("*", now, now + 1000, "the closing fault");
        for machine in &machines {
            machine
                .down_until
                .set(machine.down_until.get().max(now + 1000));
            if power {
                self.power(machine, false);
            } else {
                self.kill(machine);
            }
            let wiped = wipe
                .as_ref()
                .is_some_and(|on| machine.name.starts_with(on.as_str()));
            machine
                .disk
                .iter()
                .filter(|_| wiped)
                .for_each(MachineDisk::wipe);
        }
        if self.scenario.mutant == Some(Mutant::StaysDown) {
            self.down_for_good.set(true);
        }
        sleep(Duration::from_secs(1)).await;
        for machine in machines
            .iter()
            .filter(|machine| machine.down_until.get() <= now + 1000)
        {
            self.power(machine, true);
            self.start(machine, false);
        }
        self.world.history.borrow_mut().closing = Some(self.now());
    }
}
