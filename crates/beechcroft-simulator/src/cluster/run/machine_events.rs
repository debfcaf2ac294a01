//! Faults of machines and of the network between them.

use super::*;

impl ClusterRun {
    pub(super) fn damage_disks(&self, on: &str, record: &str) {
        let machines = self.machines_matching(on);
        let disks = machines.iter().filter_map(|machine| machine.disk.as_ref());
        disks.for_each(|disk| disk.damage(record));
    }

    /// Suspends processes for some time.
    pub(super) fn freeze(&self, on: &str, for_s: f64) {
        let (now, until) = (self.now(), Instant::now() + Duration::from_secs_f64(for_s));
        for machine in self.machines_matching(on) {
            self.record_fault(&machine.name, now, now + (for_s * 1000.0) as u64, "frozen");
            if let Some(host) = self.world.network.state().hosts.get_mut(&machine.ip) {
                host.frozen_until = Some(until);
            }
        }
    }

    /// Removes core machines, and starts an empty one for each.
    pub(super) fn replace_core_machines(&self, on: &str) {
        for machine in self
            .machines_matching(on)
            .into_iter()
            .filter(|machine| machine.core)
        {
            self.record_fault(&machine.name, self.now(), self.now(), "gone for good");
            self.power(&machine, false);
            machine.gone.set(true);
            self.world.cores.borrow_mut().retain(|ip| *ip != machine.ip);
            self.add_machine(true);
        }
    }

    pub(super) fn cut(&self, from: &str, to: &str, for_s: f64, one_way: bool, how: PartitionKind) {
        let (from, to) = (self.resolve_selector(from), self.resolve_selector(to));
        let now = self.now();
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        let touched = if to == "*" {
            self.machines_matching(&from)
        } else {
            [self.machines_matching(&from), self.machines_matching(&to)].concat()
        };
        for machine in touched {
            self.record_fault(&machine.name, now, now + (for_s * 1000.0) as u64, "cut off");
        }
        self.world.network.state().begin(Cut {
            from,
            to,
            until,
            one_way,
            how,
        });
    }

    pub(super) async fn slow_disks(&self, on: &str, sync_ms: u64, for_s: f64) {
        let now = self.now();
        let machines = self.machines_matching(on);
        for machine in &machines {
            self.record_fault(
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

    pub(super) async fn lose_datagrams(&self, part: f64, for_s: f64) {
        let now = self.now();
        self.record_fault("*", now, now + (for_s * 1000.0) as u64, "letters lost");
        self.world.network.state().loss = part.clamp(0.0, 1.0);
        sleep(Duration::from_secs_f64(for_s)).await;
        self.world.network.state().loss = self.scenario.loss;
    }

    pub(super) fn skew_clocks(&self, on: &str, ms: i64) {
        for machine in self.machines_matching(on) {
            if let Some(host) = self.world.network.state().hosts.get_mut(&machine.ip) {
                host.skew_ms = ms;
            }
        }
    }

    /// Takes a share of the machines down at once.
    pub(super) async fn take_down_share(&self, on: &str, share: f64, power: bool, down_s: f64) {
        let all = self.machines_matching(on);
        let count = ((all.len() as f64 * share).ceil() as usize).min(all.len());
        let from = self.world.number() as usize;
        let some = (0..count)
            .map(|at| all[(from + at) % all.len()].clone())
            .collect();
        self.take_down(some, down_s, power, false).await
    }
}
