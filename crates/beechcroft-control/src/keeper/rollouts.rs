//! What the core decides by evidence: versions in use, placements, how a rollout goes on, its way back.

use super::*;
use beechcroft_consensus::Rollout;
use beechcroft_rollout::conduct::{excess_of_few, Before};
use beechcroft_rollout::Count;

/// A sign that is younger tells no rate.
const LEAST_RATE_MS: u32 = 500;

/// What this core machine has seen of a rollout's stage.
#[derive(Clone, Copy)]
pub(super) struct StageSeen {
    begun: u64,
    stage: u8,
    since: u64,
    /// What the stages before came to, if it saw them, and what they come to with this one.
    before: Option<Before>,
    over: Option<Before>,
}

impl Keeper {
    /// The version that a service runs before any rollout: what most of its units ran when they were first seen.
    pub(super) fn put_bases_down(&mut self, now: u64) {
        let mut found: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
        for unit in self
            .cairns
            .units
            .all()
            .filter(|unit| unit.note.state == State::Ready)
        {
            let note = &unit.note;
            if self.services.contains(&note.service)
                && !self.orders.bases.contains_key(&note.service)
            {
                *found
                    .entry(&note.service)
                    .or_default()
                    .entry(&note.version)
                    .or_default() += 1;
            }
        }
        self.unbased
            .retain(|service, _| found.contains_key(service.as_str()));
        // One hut does it; another does once that one has not.
        let first = self.is_first(now);
        let wait = if first { 0 } else { 3 * BASE_AFTER_MS };
        let mut due = Vec::new();
        for (service, versions) in found {
            let since = *self.unbased.entry(service.to_owned()).or_insert(now) + wait;
            let most = versions
                .iter()
                .max_by(|a, b| a.1.cmp(b.1).then(b.0.cmp(a.0)));
            if let Some((version, _)) = most.filter(|_| now >= since + BASE_AFTER_MS) {
                due.push(Op::Base {
                    service: service.to_owned(),
                    version: (*version).to_owned(),
                });
            }
        }
        if !due.is_empty() {
            self.unbased.values_mut().for_each(|since| *since = now);
        }
        for op in due {
            self.order(ORDERS, op);
        }
    }

    /// Where a service says what unfit means: the core shows each second that it agrees, and the placement follows
    /// the verdicts by one decision of the core.
    pub(super) fn place(&mut self, now: u64) {
        if self.unfit.is_empty() || now < self.place_at {
            return;
        }
        self.place_at = now + PLACE_EVERY_MS;
        let first = self.is_first(now);
        // One core machine shows it; another does once that one's word stays out.
        if first
            || self
                .cairns
                .touched_at()
                .is_none_or(|at| now > at + 2 * PLACE_EVERY_MS)
        {
            self.order(ORDERS, Op::Read);
            self.touches.insert(self.next_order, now);
        }
        let clock = self.errands.ground().wall().as_secs() as u32;
        self.benches
            .values_mut()
            .for_each(|bench| bench.pass(clock));
        if !first {
            return;
        }
        let regions: BTreeSet<&str> = self.settings.zones.values().map(String::as_str).collect();
        let regions = regions.len().max(1);
        let mut due = Vec::new();
        for (service, rules) in &self.unfit {
            let Some(bench) = self.benches.get(service) else {
                continue;
            };
            let units = || {
                self.cairns
                    .units
                    .all()
                    .filter(|unit| unit.note.service == *service)
            };
            let verdicts = bench.verdicts(
                rules,
                units()
                    .filter(|unit| unit.note.state == State::Ready)
                    .count(),
                regions,
            );
            let is_unfit = |id: &str| verdicts.get(&short(id)) == Some(&Verdict::Unfit);
            let aside: BTreeSet<String> = units()
                .map(|unit| unit.note.id.clone())
                .filter(|id| is_unfit(id))
                .collect();
            let held = self
                .orders
                .placements
                .get(service)
                .cloned()
                .unwrap_or_default();
            let before = self.wished.insert(service.clone(), aside.clone());
            if aside != held.aside && before.as_ref() == Some(&aside) {
                log::info!("keeper: {service} is placed anew, without {aside:?}.");
                due.push(Op::Place {
                    service: service.clone(),
                    from: held.version,
                    aside,
                });
            }
        }
        for op in due {
            self.order(ORDERS, op);
        }
    }

    /// One of the core machines takes rollouts on; another does once that one is gone or without contact. All of them see
    /// what each stage comes to.
    pub(super) fn conduct(&mut self, now: u64) {
        let first = self.is_first(now);
        let mut due = Vec::new();
        for (service, rollout) in &self.orders.rollouts {
            let Stage::Active(stage) = rollout.stage else {
                continue;
            };
            let seen = self
                .stages
                .get(service)
                .copied()
                .filter(|seen| seen.begun == rollout.begun);
            let seen = match seen {
                Some(seen) if seen.stage == stage => seen,
                seen => {
                    let last = seen
                        .filter(|seen| seen.stage + 1 == stage)
                        .and_then(|seen| seen.over);
                    let before = if stage == 0 {
                        Some(Before::default())
                    } else {
                        last
                    };
                    StageSeen {
                        begun: rollout.begun,
                        stage,
                        since: now,
                        before,
                        over: None,
                    }
                }
            };
            let view = self.view(now, service, rollout, &seen);
            let over = seen.before.map(|_| view.over());
            self.stages
                .insert(service.clone(), StageSeen { over, ..seen });
            if !first {
                continue;
            }
            let to = match conduct(view) {
                Next::Stay => continue,
                Next::On(stage) => Stage::Active(stage),
                Next::Complete => Stage::Complete,
                Next::Back => Stage::Reverted,
            };
            log::info!("keeper: Rollout of {service} goes from {stage} to {to:?}: {view:?}.");
            due.push(Op::Move {
                service: service.clone(),
                begun: rollout.begun,
                from: rollout.stage,
                to,
            });
        }
        for op in due {
            self.order(ORDERS, op);
        }
    }

    /// What all relays tell of a rollout's stage, and the units of both versions.
    fn view(&self, now: u64, service: &str, rollout: &Rollout, seen: &StageSeen) -> View {
        let bounds = &self.settings.bounds;
        let mut view = View {
            stage: seen.stage,
            stage_ms: now - seen.since,
            ramp_ms: rollout.ramp_ms,
            before: seen.before,
            canary_share: bounds.canary_share,
            canary_margin: bounds.canary_margin,
            ..View::default()
        };
        let signs = self.cairns.signs(now, service);
        let (mut told, mut ages, mut units) = (0.0, Vec::new(), BTreeMap::<u16, Count>::new());
        for sign in signs.filter(|sign| (sign.begun, sign.stage) == (seen.begun, seen.stage)) {
            view.trials += sign.trials;
            view.failures += sign.failures;
            view.asked += sign.asked;
            // A sign is up to a second old: what it counts came in the time that it tells.
            view.rate +=
                f64::from(sign.asked) / f64::from(sign.stage_ms.max(LEAST_RATE_MS)) * 1000.0;
            for &(unit, trials, failures) in &sign.units {
                let count = units.entry(unit).or_default();
                count.trials += u32::from(trials);
                count.failures += u32::from(failures);
            }
            view.alarm |= sign.alarm;
            view.old_open += sign.old_open;
            view.good += f64::from(sign.good);
            ages.push(u64::from(sign.stage_ms));
            told += 1.0;
        }
        // A hut that was just started does not know how long a stage has lasted; most of the edges do.
        ages.sort_unstable();
        view.stage_ms = view
            .stage_ms
            .max(ages.get(ages.len() / 2).copied().unwrap_or(0));
        view.good /= f64::max(told, 1.0);
        view.of_few = excess_of_few(&units, view.good);
        for unit in self.cairns.units.all() {
            let warm = unit.note.state == State::Ready
                && unit.warm_at <= now
                && unit.note.service == *service;
            if warm && unit.note.version == rollout.target {
                view.new_slots += u32::from(unit.note.capacity);
            } else if warm {
                view.old_slots += u32::from(unit.note.capacity);
            }
        }
        view
    }

    /// A proxy relay votes a version back.
    pub(super) fn back(&mut self, service: &str, begun: u64) {
        // The relay has sent its vote to every hut: one that reaches a majority carries it out, and no later one does when
        // this machine is back.
        if !self.in_contact(self.now()) {
            return;
        }
        let held = self
            .orders
            .rollouts
            .get(service)
            .filter(|held| held.begun == begun);
        let Some(from) = held
            .map(|held| held.stage)
            .filter(|stage| matches!(stage, Stage::Active(_)))
        else {
            return;
        };
        log::info!("keeper: Rollout of {service} is voted back.");
        let op = Op::Move {
            service: service.to_owned(),
            begun,
            from,
            to: Stage::Reverted,
        };
        self.order(ORDERS, op);
    }
}
