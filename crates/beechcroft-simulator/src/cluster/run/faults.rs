//! Faults of control nodes: bursts of changes, lost responses to the operator, changes during a fault and the recovery,
//! changed seed nodes, faults right after a trigger, and rolling replacement of machines.

use super::*;
use crate::cluster::scenario::{ConcurrentChange, FaultTrigger};

/// Seconds from the start of a new machine until the one that it replaces gets SIGTERM.
const REPLACEMENT_DELAY_S: f64 = 3.0;

/// A fault right after a trigger; the fields are those of [`EventKind::TriggeredFault`].
pub(super) struct TriggeredFault {
    pub on: String,
    pub after: FaultTrigger,
    pub wait_ms: u64,
    pub power: bool,
    pub wipe: Option<String>,
    pub down_s: f64,
    pub closing: bool,
}

/// Pause between the deregistrations of two units, shorter than the interval between checkpoints of a control node.
const DEREGISTRATION_PAUSE: Duration = Duration::from_millis(150);

impl ClusterRun {
    /// Resolves `leader` and `reader` to a machine's name; other selectors are returned as they are.
    pub(super) fn resolve_selector(&self, on: &str) -> String {
        let ip = match on {
            "leader" => *self.leader.borrow(),
            "reader" => self.world.reader.get(),
            _ => return on.to_owned(),
        };
        let machines = self.machines.borrow();
        let stands = |machine: &&Rc<Machine>| machine.core && !machine.gone.get();
        let named = machines
            .iter()
            .filter(stands)
            .find(|machine| Some(machine.ip) == ip);
        named
            .or(machines.iter().find(stands))
            .map(|machine| machine.name.clone())
            .unwrap_or_default()
    }

    /// Starts a new, empty machine at a new address.
    pub(super) fn add_machine(&self, core: bool) -> Rc<Machine> {
        let at = self
            .machines
            .borrow()
            .iter()
            .filter(|m| m.core == core)
            .count();
        let machine = self.machine(at, core);
        self.machines.borrow_mut().push(machine.clone());
        if core {
            self.world.cores.borrow_mut().push(machine.ip);
        }
        self.start(&machine, false);
        self.record_fault(&machine.name, self.now(), self.now(), "new");
        machine
    }

    pub(super) async fn change_storm(
        self: Rc<Self>,
        count: usize,
        every_ms: u64,
        lost: f64,
        races: f64,
        again: f64,
    ) {
        let for_s = (count as u64 * every_ms) as f64 / 1000.0;
        if lost > 0.0 {
            spawn_local(self.clone().lose_operator_responses(lost, for_s));
        }
        for nth in 0..count {
            if self.over.get() {
                return; // no changes after the traffic has ended
            }
            while self.orders.get() >= operator::MAX_CONCURRENT_CALLS {
                sleep(Duration::from_millis(10)).await;
            }
            let (sent, held) = self.config(usize::from(nth % 3 == 0), nth % 6 == 5, true);
            let first = self.world.number() as usize;
            if self.world.draw() < races {
                let (other, its) = self.config(1, false, false);
                spawn_local(self.clone().replace(other, its, Aim::From(first + 1)));
            }
            let cluster_run = self.clone();
            let repeats = self.world.draw() < again;
            spawn_local(async move {
                if cluster_run
                    .clone()
                    .replace(sent, held, Aim::From(first))
                    .await
                    && repeats
                {
                    cluster_run.resend_newest_config().await;
                }
            });
            sleep(Duration::from_millis(every_ms)).await;
        }
    }

    pub(super) async fn lose_operator_responses(self: Rc<Self>, part: f64, for_s: f64) {
        let now = self.now();
        // Calls whose responses were lost are repeated for some time after.
        self.record_fault(
            "operator",
            now,
            now + (for_s * 1000.0) as u64 + 2000,
            "cut off",
        );
        self.answers_lost.set(part);
        sleep(Duration::from_secs_f64(for_s)).await;
        self.answers_lost.set(0.0);
    }

    /// Sends operations to a machine during its fault and as it recovers.
    pub(super) async fn change_during(
        self: Rc<Self>,
        fault: EventKind,
        concurrent_change: ConcurrentChange,
    ) {
        let (on, for_s) = match &fault {
            EventKind::Kill { on, down_s }
            | EventKind::PowerLoss { on, down_s }
            | EventKind::DiskLoss { on, down_s } => (on, *down_s),
            EventKind::Freeze { on, for_s } | EventKind::SlowDisk { on, for_s, .. } => (on, *for_s),
            EventKind::Partition { from, for_s, .. } => (from, *for_s),
            _ => return,
        };
        let Some(machine) = self
            .machines_matching(on)
            .into_iter()
            .find(|machine| machine.core)
        else {
            return;
        };
        let ip = machine.ip;
        sleep(Duration::from_secs_f64(for_s / 2.0)).await;
        match concurrent_change {
            ConcurrentChange::SingleChange | ConcurrentChange::ConflictingChanges => {
                spawn_local(self.clone().change_at(
                    ip,
                    concurrent_change == ConcurrentChange::ConflictingChanges,
                ));
                sleep(Duration::from_secs_f64(for_s / 2.0) + Duration::from_millis(20)).await;
                self.change_at(
                    ip,
                    concurrent_change == ConcurrentChange::ConflictingChanges,
                )
                .await;
            }
            ConcurrentChange::PersistentChange => {
                let (sent, held) = self.config(1, false, true);
                self.replace(sent, held, Aim::Only(ip)).await;
            }
            ConcurrentChange::Drain => {
                sleep(Duration::from_secs_f64(for_s / 2.0) + Duration::from_millis(300)).await;
                let near = |endpoint: &Rc<RunningEndpoint>| endpoint.unit.zone == machine.zone;
                for endpoint in self.running("boards").into_iter().filter(near).take(2) {
                    spawn_local(self.clone().drain(endpoint));
                }
            }
        }
    }

    async fn change_at(self: Rc<Self>, ip: Ipv4Addr, race: bool) {
        let (one, held) = self.config(1, false, true);
        if race {
            let (two, other) = self.config(1, false, false);
            spawn_local(self.clone().replace(two, other, Aim::From(0)));
        }
        self.replace(one, held, Aim::First(ip)).await;
    }

    /// Changes the seed nodes in the settings, and restarts some edge machines.
    pub(super) async fn change_seeds(self: Rc<Self>, first: &str, restart: usize) {
        let first = self.resolve_selector(first);
        let mut cores: Vec<Rc<Machine>> = self
            .machines_matching("*")
            .into_iter()
            .filter(|m| m.core)
            .collect();
        cores.sort_by_key(|machine| !machine.name.starts_with(&first));
        let seeds: Vec<SocketAddrV4> = cores
            .iter()
            .take(3)
            .map(|machine| SocketAddrV4::new(machine.ip, CONTROL_PORT))
            .collect();
        *self.seeds.borrow_mut() = Some(seeds.clone());
        let machines = self.machines_matching("*");
        for told in machines
            .iter()
            .filter_map(|machine| machine.reseed.borrow().clone())
        {
            let _ = told.send(seeds.clone());
        }
        let edges: Vec<Rc<Machine>> = machines
            .into_iter()
            .filter(|m| !m.core)
            .take(restart)
            .collect();
        self.take_down(edges, 0.5, false, false).await;
    }

    pub(super) async fn rolling_restart(self: Rc<Self>, on: &str, remove: bool, every_s: f64) {
        for machine in self.machines_matching(on) {
            if remove {
                self.add_machine(machine.core);
                sleep(Duration::from_secs_f64(REPLACEMENT_DELAY_S)).await;
                self.shut_down(&machine).await;
                machine.gone.set(true);
                self.world.cores.borrow_mut().retain(|ip| *ip != machine.ip);
                self.record_fault(&machine.name, self.now(), self.now(), "gone for good");
            } else {
                self.clone().restart(machine).await;
            }
            sleep(Duration::from_secs_f64(every_s)).await;
        }
    }

    /// Causes or awaits the trigger of a fault.
    async fn wait_for_trigger(self: &Rc<Self>, after: FaultTrigger) {
        let (sent, held) = self.config(2, false, true);
        match after {
            FaultTrigger::ConfigAcknowledged => {
                let _ = self.clone().replace(sent, held, Aim::From(0)).await;
            }
            FaultTrigger::ConfigSent => {
                drop(spawn_local(self.clone().replace(sent, held, Aim::From(0))))
            }
            FaultTrigger::EvacuationAcknowledged => self.evacuate(&zone_name(0, 0), true, 0).await,
            FaultTrigger::WriteSucceeded => {
                let (taken, until) = (self.world.taken.get(), self.now() + 3000);
                while self.world.taken.get() == taken && self.now() < until {
                    sleep(Duration::from_millis(1)).await;
                }
            }
            FaultTrigger::DrainAcknowledged => {
                let Some(endpoint) = self.running("boards").into_iter().next() else {
                    return;
                };
                spawn_local(self.clone().drain(endpoint.clone()));
                let acked = || {
                    let history = self.world.history.borrow();
                    history
                        .units
                        .get(&endpoint.unit.id)
                        .is_some_and(|life| life.drain_acked.is_some())
                };
                let until = self.now() + 5000;
                while !acked() && self.now() < until {
                    sleep(Duration::from_millis(1)).await;
                }
            }
            FaultTrigger::DeregistrationAcknowledged => self.deregister_in_turn("boards").await,
        }
    }

    /// Two units of a service deregister without a drain, shortly after one another.
    async fn deregister_in_turn(self: &Rc<Self>, service: &str) {
        for endpoint in self.running(service).into_iter().take(2) {
            sleep(DEREGISTRATION_PAUSE).await;
            self.deregister_first(endpoint).await;
        }
    }

    /// Takes machines down right after a trigger.
    pub(super) async fn strike(self: Rc<Self>, strike: TriggeredFault) {
        let TriggeredFault {
            on,
            after,
            wait_ms,
            power,
            wipe,
            down_s,
            closing,
        } = strike;
        self.wait_for_trigger(after).await;
        sleep(Duration::from_millis(wait_ms)).await;
        let wipe = wipe.map(|wipe| self.resolve_selector(&wipe));
        let machines = self.machines_matching(&on);
        let lost: Vec<Rc<Machine>> = machines
            .iter()
            .filter(|machine| {
                wipe.as_ref()
                    .is_some_and(|wipe| machine.name.starts_with(wipe.as_str()))
            })
            .cloned()
            .collect();
        if closing {
            let now = self.now();
            self.record_fault(
                "*",
                now,
                now + (down_s * 1000.0) as u64,
                "the closing fault",
            );
        }
        let down = self.take_down(machines, down_s, power, false);
        let wipes = async {
            sleep(Duration::from_millis(1)).await;
            lost.iter()
                .filter_map(|machine| machine.disk.as_ref())
                .for_each(MachineDisk::wipe);
        };
        tokio::join!(down, wipes);
        if closing {
            self.world.history.borrow_mut().closing = Some(self.now());
        } else if after == FaultTrigger::EvacuationAcknowledged {
            sleep(Duration::from_secs(8)).await;
            self.evacuate(&zone_name(0, 0), false, 0).await;
        }
    }
}
