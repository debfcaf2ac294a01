//! What a running hut tells its operator.

use super::*;

impl Keeper {
    /// The evidence on a unit, and what its service's rules make of it.
    pub(super) fn why(&self, id: &str) -> String {
        let Some(unit) = self.cairns.units.get(id) else {
            return format!("no unit {id} is known\n");
        };
        let service = &unit.note.service;
        let mut text = format!(
            "{id} of {service}: {:?}, beat {}\n",
            unit.note.state, unit.note.sequence
        );
        let Some(rules) = self.unfit.get(service) else {
            return text + "its service does not say what unfit means: each relay goes by its own failures\n";
        };
        let bench = self.benches.get(service);
        let ready = self
            .cairns
            .units
            .all()
            .filter(|u| u.note.service == *service && u.note.state == State::Ready);
        let regions: BTreeSet<&str> = self.settings.zones.values().map(String::as_str).collect();
        let verdicts =
            bench.map(|bench| bench.verdicts(rules, ready.count(), regions.len().max(1)));
        let verdict = verdicts
            .and_then(|verdicts| verdicts.get(&short(id)).copied())
            .unwrap_or(Verdict::Fit);
        text += &format!("verdict {verdict:?} by {rules:?}\n");
        for line in bench
            .map(|bench| bench.evidence(short(id)))
            .unwrap_or_default()
        {
            text += &line;
            text.push('\n');
        }
        let placement = self
            .orders
            .placements
            .get(service)
            .cloned()
            .unwrap_or_default();
        let left_out = if placement.aside.contains(id) {
            "leaves it out"
        } else {
            "has it in"
        };
        text + &format!("placement {} {left_out}\n", placement.version)
    }

    pub(super) fn show(&self) -> String {
        let now = self.now();
        let mut text = format!(
            "relay {} voters {:?}\n",
            self.cairns.me.name,
            self.voter.voters()
        );
        text += &self.show_membership();
        for member in self.cairns.known() {
            text += &format!(
                "member {} {:?} {}\n",
                member.name, member.standing, member.zone
            );
        }
        for unit in self.cairns.units.all() {
            let note = &unit.note;
            let heard = now.saturating_sub(unit.heard_at);
            text += &format!(
                "unit {} {} {} {} {:?} heard {heard} ms ago\n",
                note.id, note.service, note.version, note.zone, note.state
            );
        }
        text += &format!("orders {:?}\n", self.orders);
        text
    }
}
