//! Text output of `show` and `why` for the operator of a running control node.

use super::StateOwner;
use beechcroft_outlier::{endpoint_key, Verdict};
use std::fmt::Write;

impl StateOwner {
    /// Describes the evidence on an endpoint, and the verdict by the outlier rules of its service.
    pub(super) fn show_evidence(&self, id: &str) -> String {
        let Some(endpoint) = self.gossip.endpoints().get(id) else {
            return format!("no unit {id} is known\n");
        };
        let record = &endpoint.record;
        let service = &record.service;
        let mut text = format!(
            "{id} of {service}: {:?}, heartbeat {}\n",
            record.state, record.sequence
        );
        let Some(rules) = self.outlier_rules.get(service) else {
            return text
                + "its service has no rules on unhealthy units: each proxy decides by its own failures\n";
        };
        let key = endpoint_key(id);
        let verdicts = self.verdicts(service).unwrap_or_default();
        let verdict = verdicts.get(&key).copied().unwrap_or(Verdict::Healthy);
        let _ = writeln!(text, "verdict {verdict:?} by {rules:?}");
        let detector = self.detectors.get(service);
        for line in detector
            .map(|detector| detector.evidence_lines(key))
            .unwrap_or_default()
        {
            let _ = writeln!(text, "{line}");
        }
        let placement = self
            .operations
            .placements
            .get(service)
            .cloned()
            .unwrap_or_default();
        let is_excluded = placement.excluded.contains(id);
        let included = if is_excluded {
            "excludes it"
        } else {
            "includes it"
        };
        let _ = writeln!(text, "placement {} {included}", placement.version);
        text
    }

    /// Describes the state of the node: replicas, members, endpoints and operations.
    pub(super) fn show(&self) -> String {
        let now = self.now();
        let mut text = format!(
            "node {} replicas {:?}\n",
            self.gossip.local().name,
            self.acceptor.replicas()
        );
        text += &self.show_replica();
        for member in self.gossip.members() {
            let _ = writeln!(
                text,
                "member {} {:?} {}",
                member.name, member.state, member.zone
            );
        }
        for endpoint in self.gossip.endpoints().iter() {
            let record = &endpoint.record;
            let heard = now.saturating_sub(endpoint.last_heartbeat_at);
            let _ = write!(
                text,
                "unit {} {} {} {} {:?} heard {heard} ms ago",
                record.id, record.service, record.version, record.zone, record.state
            );
            if endpoint.warmup_ends_at > now {
                let warmup_left = endpoint.warmup_ends_at - now;
                let _ = write!(text, ", warms up for {warmup_left} ms");
            }
            text.push('\n');
        }
        let _ = writeln!(text, "operations {:?}", self.operations);
        text
    }

    /// Describes the replica that this node holds, and the holder of each replica as far as this node knows.
    fn show_replica(&self) -> String {
        let mut text = match (self.acceptor.identity(), self.acceptor.former_identity()) {
            (Some(identity), _) if self.is_voting() => {
                format!("replica {} at epoch {}\n", identity.replica, identity.epoch)
            }
            (None, Some(former)) => format!("replica none, formerly {}\n", former.replica),
            _ => "replica none\n".to_owned(),
        };
        for replica in self.replicas() {
            let _ = writeln!(text, "holder of {replica} {}", self.holder(replica));
        }
        text
    }
}
