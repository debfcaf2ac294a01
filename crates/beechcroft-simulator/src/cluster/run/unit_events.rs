//! Events at units: start, crash, impairment and warm-up.

use super::*;

impl ClusterRun {
    pub(super) fn add_units(&self, service: &str, count: usize) {
        for at in 0..count {
            self.start_unit(
                service,
                &self.version(service),
                at,
                None,
                true,
                Impairment::default(),
            );
        }
    }

    /// Crashes units; with `reuse`, units of another service start at their addresses.
    pub(super) async fn crash_units(&self, service: &str, count: usize, reuse: bool) {
        let lost: Vec<_> = self.running(service).into_iter().take(count).collect();
        lost.iter().for_each(|endpoint| self.stop_unit(endpoint));
        sleep(Duration::from_secs(2)).await;
        let other = if service == "archive" {
            "boards"
        } else {
            "archive"
        };
        for (at, endpoint) in lost.iter().enumerate().filter(|_| reuse) {
            let version = self.version(other);
            self.start_unit(
                other,
                &version,
                at,
                Some(*endpoint.unit.at.ip()),
                true,
                Impairment::default(),
            );
        }
    }

    /// Cuts the power of units' hosts, and restores it later.
    pub(super) async fn lose_power_of_units(&self, service: &str, count: usize, for_s: f64) {
        let down: Vec<_> = self.running(service).into_iter().take(count).collect();
        let power = |endpoint: &RunningEndpoint, on: bool| {
            if let Some(host) = self
                .world
                .network
                .state()
                .hosts
                .get_mut(endpoint.unit.at.ip())
            {
                host.is_powered_off = !on;
            }
        };
        for endpoint in &down {
            power(endpoint, false);
            self.stop_unit(endpoint);
        }
        sleep(Duration::from_secs_f64(for_s)).await;
        for (at, endpoint) in down.iter().enumerate() {
            power(endpoint, true);
            let (version, ip) = (endpoint.unit.version.clone(), Some(*endpoint.unit.at.ip()));
            self.start_unit(service, &version, at, ip, true, Impairment::default());
        }
    }

    /// Ends and restarts units repeatedly.
    pub(super) async fn flap_units(&self, service: &str, count: usize, for_s: f64, every_s: f64) {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        while Instant::now() < until {
            let down: Vec<_> = self.running(service).into_iter().take(count).collect();
            down.iter().for_each(|endpoint| self.stop_unit(endpoint));
            sleep(Duration::from_secs_f64(every_s / 2.0)).await;
            for (at, endpoint) in down.iter().enumerate() {
                let version = endpoint.unit.version.clone();
                let ip = Some(*endpoint.unit.at.ip());
                self.start_unit(service, &version, at, ip, true, Impairment::default());
            }
            sleep(Duration::from_secs_f64(every_s / 2.0)).await;
        }
    }

    /// Makes units cold again.
    pub(super) async fn cool_units(&self, service: &str, count: usize) {
        // Heartbeats announce it at once; the units become cold after the time that the announcement takes to spread.
        let units: Vec<_> = self.running(service).into_iter().take(count).collect();
        let until = self.now() + COLD_NOTICE_MS + COLD_MS;
        units
            .iter()
            .for_each(|endpoint| endpoint.unit.told_cold.set(until));
        sleep(Duration::from_millis(COLD_NOTICE_MS)).await;
        units
            .iter()
            .for_each(|endpoint| endpoint.unit.cold_until.set(until));
    }

    /// Impairs units of a service for some time.
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
