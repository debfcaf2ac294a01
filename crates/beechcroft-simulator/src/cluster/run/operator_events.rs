//! Events that operators cause: configurations, rollouts and evacuations.

use super::*;

impl ClusterRun {
    /// Routes are added, and one may be dropped.
    pub(super) async fn replace_config(self: Rc<Self>, nth: usize, routes: usize, drop: bool) {
        let (sent, held) = self.config(routes, drop, true);
        let prefix = held.last().map(|(_, route, _)| route.prefix.clone());
        if self.clone().replace(sent, held, Aim::From(nth)).await
            && self.scenario.measure_config_spread
            && routes > 0
        {
            self.spreads(&prefix.unwrap_or_default()).await;
        }
    }

    /// Two configurations on the same base at once.
    pub(super) async fn race(self: Rc<Self>) {
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
    pub(super) async fn same_version_twice(self: Rc<Self>, nth: usize) {
        let (one, held) = self.config(1, false, true);
        let (mut two, other) = self.config(1, false, false);
        let number = |version: u32| format!("\"version\":\"{version:08x}\"");
        let text =
            String::from_utf8_lossy(&two.body).replace(&number(two.version), &number(one.version));
        (two.version, two.body) = (one.version, text.into_bytes());
        let first = self.clone().replace(one, held, Aim::From(nth));
        tokio::join!(first, self.clone().replace(two, other, Aim::From(nth + 1)));
    }

    /// A configuration that must be rejected.
    pub(super) async fn invalid_config(self: Rc<Self>, nth: usize) {
        let (mut sent, held) = self.config(1, false, false);
        let text = String::from_utf8_lossy(&sent.body)
            .replace("\"timeoutMs\":", "\"timeoutMs\":0,\"was\":");
        (sent.body, sent.valid) = (text.into_bytes(), false);
        self.replace(sent, held, Aim::From(nth)).await;
    }
}
