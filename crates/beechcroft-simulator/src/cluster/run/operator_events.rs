//! Events that operators cause: configurations, rollouts and evacuations.

use super::*;

impl ClusterRun {
    pub(super) async fn operator_event(self: Rc<Self>, nth: usize, what: What) {
        match what {
            What::Alter { change } => {
                let (sent, held) = self.altered(0, false, Some(change));
                self.replace(sent, held, Aim::From(nth)).await;
            }
            What::Config { routes, drop } => self.replace_config(nth, routes, drop).await,
            What::Race => self.race().await,
            What::Twins => self.same_version_twice(nth).await,
            What::Invalid => self.invalid_config(nth).await,
            What::Rollout {
                service,
                fails,
                slow,
                ramp_s,
            } => self.rollout(&service, fails, slow, ramp_s).await,
            What::Evacuate { zone, for_s } => {
                self.evacuate(&zone, true, nth).await;
                sleep(Duration::from_secs_f64(for_s)).await;
                self.evacuate(&zone, false, nth).await;
            }
            What::Storm {
                count,
                every_ms,
                lost,
                races,
                again,
            } => self.storm(count, every_ms, lost, races, again).await,
            What::Unheard { part, for_s } => self.unheard(part, for_s).await,
            _ => unreachable!("the dispatcher sends no other event"),
        }
    }

    /// Routes are added, and one may be dropped.
    async fn replace_config(self: Rc<Self>, nth: usize, routes: usize, drop: bool) {
        let (sent, held) = self.config(routes, drop, true);
        let prefix = held.last().map(|(_, route, _)| route.prefix.clone());
        if self.clone().replace(sent, held, Aim::From(nth)).await
            && self.scenario.spread
            && routes > 0
        {
            self.spreads(&prefix.unwrap_or_default()).await;
        }
    }

    /// Two configurations on the same base at once.
    async fn race(self: Rc<Self>) {
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
        let first = self.clone().replace(one, held, Aim::From(0));
        tokio::join!(first, self.clone().replace(two, other, Aim::From(1)));
    }

    /// Two configurations with the same version at once.
    async fn same_version_twice(self: Rc<Self>, nth: usize) {
        let (one, held) = self.config(1, false, true);
        let (mut two, other) = self.config(1, false, false);
        let number = |version: u32| format!("\"version\":\"{version:08x}\"");
        let text =
            String::from_utf8_lossy(&two.body).replace(&number(two.version), &number(one.version));
        (two.version, two.body) = (one.version, text.into_bytes());
        let first = self.clone().replace(one, held, Aim::From(nth));
        tokio::join!(first, self.clone().replace(two, other, Aim::From(nth + 1)));
    }

    /// A configuration that has to be refused.
    async fn invalid_config(self: Rc<Self>, nth: usize) {
        let (mut sent, held) = self.config(1, false, false);
        let text = String::from_utf8_lossy(&sent.body)
            .replace("\"timeoutMs\":", "\"timeoutMs\":0,\"was\":");
        (sent.body, sent.valid) = (text.into_bytes(), false);
        self.replace(sent, held, Aim::From(nth)).await;
    }
}
