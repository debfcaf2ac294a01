//! Events at units: they drain, start, crash, fail and turn cold.

use super::*;

impl ClusterRun {
    pub(super) fn add_units(&self, service: &str, count: usize) {
        for at in 0..count {
            self.unit_start(
                service,
                &self.version(service),
                at,
                None,
                true,
                Impairment::default(),
            );
        }
    }

    /// Units crash; with `reuse`, units of another service start at their addresses.
    pub(super) async fn crash_units(&self, service: &str, count: usize, reuse: bool) {
        let lost: Vec<_> = self.running(service).into_iter().take(count).collect();
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

    /// Machines of units lose power, and have it again later.
    pub(super) async fn lose_power_of_units(&self, service: &str, count: usize, for_s: f64) {
        let down: Vec<_> = self.running(service).into_iter().take(count).collect();
        let power = |standing: &RunningEndpoint, on: bool| {
            if let Some(host) = self
                .world
                .network
                .state()
                .hosts
                .get_mut(standing.unit.at.ip())
            {
                host.is_powered_off = !on;
            }
        };
        for standing in &down {
            power(standing, false);
            self.unit_ends(standing);
        }
        sleep(Duration::from_secs_f64(for_s)).await;
        for (at, standing) in down.iter().enumerate() {
            power(standing, true);
            let (version, ip) = (standing.unit.version.clone(), Some(*standing.unit.at.ip()));
            self.unit_start(service, &version, at, ip, true, Impairment::default());
        }
    }

    /// Units end and start again, over and over.
    pub(super) async fn flap_units(&self, service: &str, count: usize, for_s: f64, every_s: f64) {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        while Instant::now() < until {
            let down: Vec<_> = self.running(service).into_iter().take(count).collect();
            down.iter().for_each(|standing| self.unit_ends(standing));
            sleep(Duration::from_secs_f64(every_s / 2.0)).await;
            for (at, standing) in down.iter().enumerate() {
                let version = standing.unit.version.clone();
                let ip = Some(*standing.unit.at.ip());
                self.unit_start(service, &version, at, ip, true, Impairment::default());
            }
            sleep(Duration::from_secs_f64(every_s / 2.0)).await;
        }
    }

    /// Units become cold again and warm up anew.
    pub(super) async fn cool_units(&self, service: &str, count: usize) {
        // Told by a heartbeat at once; cold once that may have gone round.
        let units: Vec<_> = self.running(service).into_iter().take(count).collect();
        let until = self.now() + COLD_TOLD_MS + COLD_MS;
        units
            .iter()
            .for_each(|standing| standing.unit.told_cold.set(until));
        sleep(Duration::from_millis(COLD_TOLD_MS)).await;
        units
            .iter()
            .for_each(|standing| standing.unit.cold_until.set(until));
    }

    /// Units of a service are impaired for a while.
    pub(super) async fn impair_units(
        &self,
        service: &str,
        count: usize,
        for_s: f64,
        impairment: Impairment,
    ) {
        let units: Vec<_> = self.running(service).into_iter().take(count).collect();
        units
            .iter()
            .for_each(|s| *s.unit.impairment.borrow_mut() = impairment.clone());
        sleep(Duration::from_secs_f64(for_s)).await;
        units
            .iter()
            .for_each(|s| *s.unit.impairment.borrow_mut() = Impairment::default());
    }
}
