//! Events at machines of the system and on the network between them.

use super::faults::Strike;
use super::*;

impl ClusterRun {
    pub(super) async fn machine_event(self: Rc<Self>, what: What) {
        match what {
            What::Kill { on, down_s } => self.down(&on, down_s, false, false).await,
            What::Power { on, down_s } => self.down(&on, down_s, true, false).await,
            What::Wipe { on, down_s } => self.down(&on, down_s, true, true).await,
            What::Damage { on, record, down_s } => {
                self.damage_disks(&on, &record);
                self.down(&on, down_s, false, false).await;
            }
            What::Term { on } => {
                for machine in self.named(&on) {
                    spawn_local(self.clone().stops(machine));
                }
            }
            What::Freeze { on, for_s } => self.freeze(&on, for_s),
            What::Replace { on } => self.replace_core_machines(&on),
            What::SlowDisk { on, sync_ms, for_s } => self.slow_disks(&on, sync_ms, for_s).await,
            What::Seeds { first, restart } => self.reseeds(&first, restart).await,
            What::Roll {
                on,
                remove,
                every_s,
            } => self.rolls(&on, remove, every_s).await,
            What::Herd {
                on,
                share,
                power,
                down_s,
            } => self.herd_down(&on, share, power, down_s).await,
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
                self.strike(strike).await;
            }
            What::Closing { power, wipe } => self.closing(power, wipe).await,
            _ => unreachable!("the dispatcher sends no other event"),
        }
    }

    pub(super) async fn network_event(&self, what: What) {
        match what {
            What::Cut {
                from,
                to,
                for_s,
                one_way,
                how,
            } => self.cut(&from, &to, for_s, one_way, how),
            What::Loss { part, for_s } => self.lose_datagrams(part, for_s).await,
            What::Skew { on, ms } => self.skew_clocks(&on, ms),
            What::Burst { times, for_s } => {
                self.times.set(times);
                sleep(Duration::from_secs_f64(for_s)).await;
                self.times.set(1.0);
            }
            _ => unreachable!("the dispatcher sends no other event"),
        }
    }

    fn damage_disks(&self, on: &str, record: &str) {
        let machines = self.named(on);
        let disks = machines.iter().filter_map(|machine| machine.disk.as_ref());
        disks.for_each(|disk| disk.damage(record));
    }

    /// Processes do nothing for a while.
    fn freeze(&self, on: &str, for_s: f64) {
        let (now, until) = (self.now(), Instant::now() + Duration::from_secs_f64(for_s));
        for machine in self.named(on) {
            self.trouble(&machine.name, now, now + (for_s * 1000.0) as u64, "frozen");
            if let Some(host) = self.world.network.with().hosts.get_mut(&machine.ip) {
                host.frozen_until = Some(until);
            }
        }
    }

    /// Core machines are gone for good, and an empty one starts for each.
    fn replace_core_machines(&self, on: &str) {
        for machine in self.named(on).into_iter().filter(|machine| machine.core) {
            self.trouble(&machine.name, self.now(), self.now(), "gone for good");
            self.power(&machine, false);
            machine.gone.set(true);
            self.world.cores.borrow_mut().retain(|ip| *ip != machine.ip);
            self.newcomer(true);
        }
    }

    fn cut(&self, from: &str, to: &str, for_s: f64, one_way: bool, how: PartitionKind) {
        let (from, to) = (self.who(from), self.who(to));
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

    async fn slow_disks(&self, on: &str, sync_ms: u64, for_s: f64) {
        let now = self.now();
        let machines = self.named(on);
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

    async fn lose_datagrams(&self, part: f64, for_s: f64) {
        let now = self.now();
        self.trouble("*", now, now + (for_s * 1000.0) as u64, "letters lost");
        self.world.network.with().loss = part.clamp(0.0, 1.0);
        sleep(Duration::from_secs_f64(for_s)).await;
        self.world.network.with().loss = self.scenario.loss;
    }

    fn skew_clocks(&self, on: &str, ms: i64) {
        for machine in self.named(on) {
            if let Some(host) = self.world.network.with().hosts.get_mut(&machine.ip) {
                host.skew_ms = ms;
            }
        }
    }

    /// A part of the machines goes down at once.
    async fn herd_down(&self, on: &str, share: f64, power: bool, down_s: f64) {
        let all = self.named(on);
        let count = ((all.len() as f64 * share).ceil() as usize).min(all.len());
        let from = self.world.number() as usize;
        let some = (0..count)
            .map(|at| all[(from + at) % all.len()].clone())
            .collect();
        self.all_down(some, down_s, power, false).await
    }
}
