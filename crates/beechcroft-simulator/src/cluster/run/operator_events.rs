//! Events that operators cause: configurations, rollouts and evacuations.

use super::*;

impl ClusterRun {
    /// Adds routes, and removes one if `drop`.
    pub(super) async fn replace_config(self: Rc<Self>, nth: usize, routes: usize, drop: bool) {
        let (sent, held) = self.config(routes, drop, true);
        let prefix = held.last().map(|(_, route, _)| route.prefix.clone());
        if self.clone().replace(sent, held, Aim::From(nth)).await
            && self.scenario.measure_config_spread
            && routes > 0
        {
            self.measure_config_spread(&prefix.unwrap_or_default())
                .await;
        }
    }

    /// Sends two configurations on the same base version at once.
    pub(super) async fn send_conflicting_configs(self: Rc<Self>) {
        let (one, held) = self.config(1, false, true);
        let (mut two, other) = self.config(1, false, false);
        if two.version == one.version {
            // Different versions on the same base.
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

    /// Sends two configurations with the same version at once.
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

    /// Sends a configuration that must be rejected.
    pub(super) async fn invalid_config(self: Rc<Self>, nth: usize) {
        let (mut sent, held) = self.config(1, false, false);
        let text = String::from_utf8_lossy(&sent.body)
            .replace("\"timeoutMs\":", "\"timeoutMs\":0,\"was\":");
        (sent.body, sent.valid) = (text.into_bytes(), false);
        self.replace(sent, held, Aim::From(nth)).await;
    }
}
