//! Dispatch of a scenario's events, with the faults and operations that several of them share.

use super::faults::TriggeredFault;
use super::*;

/// How long a unit serves on that deregisters without a drain.
const SERVES_ON_AFTER_DEREGISTRATION: Duration = Duration::from_secs(13);

impl ClusterRun {
    /// Runs one event at its time. The match is exhaustive, so that a new kind cannot be forgotten.
    pub(super) async fn event(self: Rc<Self>, nth: usize, event: Event, start: Instant) {
        tokio::time::sleep_until(start + Duration::from_secs_f64(event.at)).await;
        let kind = match event.kind {
            EventKind::FaultWithChanges {
                concurrent_change,
                fault,
            } => {
                spawn_local(
                    self.clone()
                        .change_during((*fault).clone(), concurrent_change),
                );
                *fault
            }
            kind => kind,
        };
        match kind {
            EventKind::FaultWithChanges { .. } => {} // nesting has no effect
            EventKind::ChangeSettings { change } => {
                let (sent, held) = self.altered_config(0, false, Some(change));
                self.replace(sent, held, Aim::From(nth)).await;
            }
            EventKind::Config { routes, drop } => self.replace_config(nth, routes, drop).await,
            EventKind::ConflictingConfigs => self.send_conflicting_configs().await,
            EventKind::SameVersionTwice => self.same_version_twice(nth).await,
            EventKind::InvalidConfig => self.invalid_config(nth).await,
            EventKind::Rollout {
                service,
                failure_rate,
                slowdown,
                ramp_s,
            } => self.rollout(&service, failure_rate, slowdown, ramp_s).await,
            EventKind::Evacuate { zone, for_s } => {
                self.evacuate(&zone, true, nth).await;
                sleep(Duration::from_secs_f64(for_s)).await;
                self.evacuate(&zone, false, nth).await;
            }
            EventKind::ChangeStorm {
                count,
                every_ms,
                lost,
                races,
                again,
            } => self.change_storm(count, every_ms, lost, races, again).await,
            EventKind::LostOperatorResponses { part, for_s } => {
                self.lose_operator_responses(part, for_s).await
            }
            EventKind::DrainUnits { service, count } => {
                for endpoint in self.running(&service).into_iter().take(count) {
                    spawn_local(self.clone().drain(endpoint));
                }
            }
            EventKind::AddUnits { service, count } => self.add_units(&service, count),
            EventKind::CrashUnits {
                service,
                count,
                reuse,
            } => self.crash_units(&service, count, reuse).await,
            EventKind::ImpairUnits {
                service,
                count,
                for_s,
                failure_rate,
                slowdown,
                response_loss_rate,
                malformed_response_rate,
                inverts_health,
            } => {
                let impairment = Impairment {
                    failure_rate,
                    slowdown,
                    response_loss_rate,
                    malformed_response_rate,
                    inverts_health,
                    wrong: None,
                };
                self.impair_units(&service, count, for_s, impairment).await;
            }
            EventKind::FaultyResponses {
                service,
                count,
                for_s,
                part,
                fault,
            } => {
                let impairment = Impairment {
                    wrong: Some((fault, part)),
                    ..Impairment::default()
                };
                self.impair_units(&service, count, for_s, impairment).await;
            }
            EventKind::UnitPowerLoss {
                service,
                count,
                for_s,
            } => self.lose_power_of_units(&service, count, for_s).await,
            EventKind::FlapUnits {
                service,
                count,
                for_s,
                every_s,
            } => self.flap_units(&service, count, for_s, every_s).await,
            EventKind::CoolUnits { service, count } => self.cool_units(&service, count).await,
            EventKind::Kill { on, down_s } => {
                self.take_down_matching(&on, down_s, false, false).await
            }
            EventKind::PowerLoss { on, down_s } => {
                self.take_down_matching(&on, down_s, true, false).await
            }
            EventKind::DiskLoss { on, down_s } => {
                self.take_down_matching(&on, down_s, true, true).await
            }
            EventKind::DamagedRecord { on, record, down_s } => {
                self.damage_disks(&on, &record);
                self.take_down_matching(&on, down_s, false, false).await;
            }
            EventKind::Restart { on } => {
                for machine in self.machines_matching(&on) {
                    spawn_local(self.clone().restart(machine));
                }
            }
            EventKind::Freeze { on, for_s } => self.freeze(&on, for_s),
            EventKind::ReplaceMachine { on } => self.replace_core_machines(&on),
            EventKind::SlowDisk { on, sync_ms, for_s } => {
                self.slow_disks(&on, sync_ms, for_s).await
            }
            EventKind::ChangeSeeds { first, restart } => self.change_seeds(&first, restart).await,
            EventKind::RollingRestart {
                on,
                remove,
                every_s,
            } => self.rolling_restart(&on, remove, every_s).await,
            EventKind::MassFailure {
                on,
                share,
                power,
                down_s,
            } => self.take_down_share(&on, share, power, down_s).await,
            EventKind::TriggeredFault {
                on,
                after,
                wait_ms,
                power,
                wipe,
                down_s,
                closing,
            } => {
                let strike = TriggeredFault {
                    on,
                    after,
                    wait_ms,
                    power,
                    wipe,
                    down_s,
                    closing,
                };
                self.strike(strike).await;
            }
            EventKind::FinalFault { power, wipe } => self.final_fault(power, wipe).await,
            EventKind::Partition {
                from,
                to,
                for_s,
                one_way,
                how,
            } => self.cut(&from, &to, for_s, one_way, how),
            EventKind::DatagramLoss { part, for_s } => self.lose_datagrams(part, for_s).await,
            EventKind::ClockSkew { on, ms } => self.skew_clocks(&on, ms),
            EventKind::Burst { times, for_s } => {
                self.times.set(times);
                sleep(Duration::from_secs_f64(for_s)).await;
                self.times.set(1.0);
            }
        }
    }

    /// Polls every edge machine until it serves a new route, and records the longest time.
    pub(super) async fn measure_config_spread(&self, prefix: &str) {
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
                is_idempotent: true,
                deadline_ms: 2000,
                body: 0,
            };
            let to = SocketAddrV4::new(ip, INGRESS_PORT);
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
        self.config_spread_ms.borrow_mut().push(last);
    }

    pub(super) async fn take_down_matching(&self, on: &str, down_s: f64, power: bool, wipe: bool) {
        self.take_down(self.machines_matching(on), down_s, power, wipe)
            .await;
    }

    pub(super) async fn take_down(
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
            self.record_fault(
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
        // A machine that another event keeps down for longer is restarted by that event.
        for machine in machines
            .iter()
            .filter(|machine| machine.down_until.get() <= until)
        {
            self.power(machine, true);
            self.start(machine, false);
        }
    }

    /// Sends SIGTERM, then SIGKILL after the grace period, and restarts the process a second later.
    pub(super) async fn restart(self: Rc<Self>, machine: Rc<Machine>) {
        self.shut_down(&machine).await;
        sleep(Duration::from_secs(1)).await;
        if machine.down_until.get() > self.now() {
            return; // it is started when its power is back
        }
        self.start(&machine, false);
        self.record_fault(&machine.name, self.now(), self.now(), "started");
    }

    /// Sends SIGTERM, then SIGKILL after the grace period.
    pub(super) async fn shut_down(&self, machine: &Rc<Machine>) {
        let from = self.now();
        self.record_fault(&machine.name, from, from + 1000, "SIGTERM");
        machine.told.set(true);
        if let Some(term) = machine.term.borrow().as_ref() {
            term.notify_one();
        }
        if self.scenario.mutant == Some(Mutant::AbruptShutdown) {
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
            true => self.core_shutdowns.borrow_mut().push(left),
            false => self.world.history.borrow_mut().proxy_shutdowns.push(left),
        }
    }

    pub(super) async fn drain(self: Rc<Self>, endpoint: Rc<RunningEndpoint>) {
        endpoint.unit.draining.set(true);
        let from = self.now();
        let acked = || {
            let history = self.world.history.borrow();
            history
                .units
                .get(&endpoint.unit.id)
                .and_then(|life| life.drain_acked)
        };
        while acked().is_none() && self.now() < from + 8000 {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_millis(Bounds::default().drain_ms + 300)).await;
        let _ = unit::deregister(&self.world, &endpoint.unit).await;
        self.stop_unit(&endpoint);
    }

    /// A unit stops its heartbeats and deregisters. It serves on for some seconds, whether that was acknowledged or not.
    pub(super) async fn deregister_first(self: &Rc<Self>, endpoint: Rc<RunningEndpoint>) {
        endpoint.unit.sends_heartbeats.set(false);
        if unit::deregister(&self.world, &endpoint.unit).await {
            let now = self.world.now();
            let mut history = self.world.history.borrow_mut();
            if let Some(life) = history.units.get_mut(&endpoint.unit.id) {
                life.drain_acked.get_or_insert(now);
            }
        }
        let run = self.clone();
        spawn_local(async move {
            sleep(SERVES_ON_AFTER_DEREGISTRATION).await;
            run.stop_unit(&endpoint);
        });
    }

    pub(super) async fn evacuate(self: &Rc<Self>, zone: &str, begin: bool, nth: usize) {
        let at = {
            let mut history = self.world.history.borrow_mut();
            let what = history::OperationKind::Evacuate {
                zone: zone.into(),
                begin,
            };
            history.operations.push(Operation {
                what,
                at: self.world.now(),
                acked: None,
                ended: None,
            });
            history.operations.len() - 1
        };
        let path = format!(
            "/evacuation/{zone}/{}",
            if begin { "begin" } else { "finish" }
        );
        self.send_operation(at, &path, b"", Aim::From(nth), &path)
            .await;
    }

    /// Sends an operation until it is acknowledged, rejected or given up, and records when that was. `at` is its index in
    /// the history.
    async fn send_operation(
        self: &Rc<Self>,
        at: usize,
        path: &str,
        body: &[u8],
        aim: Aim,
        said: &str,
    ) {
        let record = |history: &mut history::History, status, now| {
            history.operations[at].ended = Some(now);
            if status == 200 {
                history.operations[at].acked = Some(now);
            }
        };
        self.order(path, body, aim, said, ACK_MS, record).await;
        self.world.history.borrow_mut().operations[at]
            .ended
            .get_or_insert(self.now());
    }

    /// Starts units of a new version, begins the rollout, and follows it until it completes or is reverted.
    pub(super) async fn rollout(
        self: &Rc<Self>,
        service: &str,
        failure_rate: f64,
        slowdown: f64,
        ramp_s: f64,
    ) {
        let old = self.running(service);
        let target = format!("v{}", 2 + self.world.number());
        let bad = failure_rate > 0.0 || slowdown > 1.0;
        let ill = Impairment {
            failure_rate,
            slowdown,
            ..Impairment::default()
        };
        for at in 0..old.len() {
            self.start_unit(service, &target, at, None, true, ill.clone());
        }
        sleep(Duration::from_millis(500)).await;
        let until = self.now() + (ramp_s * 1000.0) as u64;
        let at = {
            let mut history = self.world.history.borrow_mut();
            let what = history::OperationKind::Rollout {
                service: service.into(),
                target: target.clone(),
                bad,
                until,
            };
            history.operations.push(Operation {
                what,
                at: self.world.now(),
                acked: None,
                ended: None,
            });
            history.operations.len() - 1
        };
        let body =
            serde_json::json!({"service": service, "targetVersion": target, "rampS": ramp_s})
                .to_string();
        let said = format!("rollout of {service}");
        self.send_operation(at, "/rollouts/begin", body.as_bytes(), Aim::From(0), &said)
            .await;
        let runtime = Runtime::simulated(Rc::new(self.world.network.host_network(operator())));
        let path = format!("/rollouts/{service}/show");
        for nth in 0..120 {
            sleep(Duration::from_millis(300)).await;
            let cores = self.world.cores.borrow().clone();
            let to = SocketAddrV4::new(cores[nth % cores.len()], CONTROL_PORT);
            let ask = ("GET", path.as_str(), "");
            let done = self
                .world
                .call_control(&runtime, to, ask, b"", Duration::from_secs(1))
                .await;
            let Some((200, body)) = done else { continue };
            let state = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
            match state["state"].as_str() {
                Some("complete") => {
                    self.versions
                        .borrow_mut()
                        .insert(service.into(), target.clone());
                    old.iter().for_each(|endpoint| self.stop_unit(endpoint));
                    return;
                }
                Some("reverted") => {
                    sleep(Duration::from_secs(3)).await;
                    for endpoint in self
                        .running(service)
                        .into_iter()
                        .filter(|s| s.unit.version == target)
                    {
                        spawn_local(self.clone().drain(endpoint));
                    }
                    return;
                }
                _ => {}
            }
        }
    }

    /// Takes all machines down right after a configuration was acknowledged.
    pub(super) async fn final_fault(self: Rc<Self>, power: bool, wipe: Option<String>) {
        let (sent, held) = self.config(2, false, true);
        self.clone().replace(sent, held, Aim::From(0)).await;
        let now = self.now();
        let machines = self.machines_matching("*");
        self.record_fault("*", now, now + 1000, "the closing fault");
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
        if self.scenario.mutant == Some(Mutant::NoRecovery) {
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
