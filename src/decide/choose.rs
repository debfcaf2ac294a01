//! Which unit a task goes to, and whether it may go at all.

use super::*;

impl Relay {
    /// Stage 1: gives up early what load leaves no room for, least utility first.
    pub(super) fn admit(&mut self, task: &mut Task, _act: Act) -> Flow {
        let track = &self.tracks[task.track.0];
        let share = if task.over_share {
            self.fig.over_worth
        } else {
            1.0
        };
        let share = if self.is_apart(task) { 0.0 } else { share };
        let room = self.meter.limit * (0.6 + 0.4 * track.utility) * (0.3 + 0.7 * share);
        let crowded = task.tries == 0 && self.meter.in_flight >= room;
        let vain =
            task.erred && self.meter.again.rate() > APART && self.rng.random::<f64>() > VAIN_TRIES;
        if crowded
            || vain
            || self.now
                >= if track.late_pays {
                    task.end
                } else {
                    task.quoted
                }
        {
            return Flow::End;
        }
        Flow::Pass
    }

    /// Stage 2: a build at random, then two random choices by in-flight count among its units.
    pub(super) fn choose(&mut self, task: &mut Task, _act: Act) -> Flow {
        if !self.fleet.ranked {
            self.rank();
        }
        let (chance, one, two, three): (f64, u32, u32, u32) = self.rng.random();
        let mut able: Vec<usize> = (0..self.fleet.units.len())
            .filter(|&at| self.permits(task, at, false))
            .collect();
        let on_trial = |at: usize| self.cap_of(self.fleet.units[at].build).is_some();
        // A trial unit is to bear what one of the full fleet bears, of those that may get any now.
        let ready = |trial: bool| -> f64 {
            let units = able
                .iter()
                .filter(|&&at| on_trial(at) == trial)
                .map(|&at| &self.fleet.units[at]);
            units
                .filter(|unit| !self.is_aside(unit))
                .map(|unit| unit.warmth(self.now, &self.fig))
                .sum()
        };
        let (new, old) = (ready(true), ready(false));
        // The busier, the more evenly both sides bear it: what is let in then fits old and new together.
        let busy = (self.meter.time_ratio / BUSY_RATIO * 2.0 - 1.0).clamp(0.0, 1.0);
        let places = old.max(new) + old.min(new) * if self.fig.replace { 1.0 } else { busy };
        let to_trial = task.failed_on.is_none() && chance * places < new;
        // Preferences in order of weight; one that nothing meets is dropped.
        let mut prefer = |wanted: &dyn Fn(usize) -> bool| {
            if able.iter().any(|&at| wanted(at)) {
                able.retain(|&at| wanted(at));
            }
        };
        prefer(&|at| !on_trial(at) || self.permits(task, at, true));
        prefer(&|at| !self.is_aside(&self.fleet.units[at]));
        prefer(&|at| task.failed_on != Some(at));
        let either = able.clone();
        let Some(&third) = either.get(three as usize % either.len().max(1)) else {
            return Flow::End;
        };
        // Departure: of either build it keeps to as many as its tasks keep connections to.
        let part = (new / places.max(new)).clamp(0.0, 1.0);
        let width = |part: f64| subset::subset_size(self.meter.rate.per_s() * part, self.fig.kept);
        able.retain(|&at| on_trial(at) == to_trial);
        // Where it keeps to a part of them, its own tasks there are the fewest: what units tell counts.
        let kept = width(if to_trial { part } else { 1.0 - part });
        let (thin, usual) = (kept < able.len(), self.meter.usual.value());
        if thin {
            able.sort_by_key(|&at| self.fleet.units[at].rank);
            able.truncate(kept);
        }
        able.extend(able.is_empty().then_some(third));
        let [first, second] = [one, two].map(|nth| able[nth as usize % able.len()]);
        let burden = |at: usize| {
            let unit = &self.fleet.units[at];
            let away = if unit.zone != self.fig.zone && self.fig.zones_cost {
                ZONE_PENALTY
            } else {
                0.0
            };
            let others = if thin {
                unit.held.at(self.now, usual)
            } else {
                0.0
            };
            (unit.waiting.len() as f64 + 1.0 + away + others)
                / (unit.nominal * unit.warmth(self.now, &self.fig))
        };
        let least = if burden(second) < burden(first) {
            second
        } else {
            first
        };
        // Whatever overloads one side, small units or a share too large, tasks then go to either.
        task.chosen = if burden(least) > CROWDED * burden(third) {
            third
        } else {
            least
        };
        Flow::Pass
    }

    pub(super) fn rank(&mut self) {
        let width = subset::subset_size(self.meter.rate.per_s(), self.fig.kept);
        for on_trial in [false, true] {
            let of = |unit: &Unit| unit.ready && self.cap_of(unit.build).is_some() == on_trial;
            let units = &self.fleet.units;
            let places: Vec<usize> = (0..units.len()).filter(|&at| of(&units[at])).collect();
            let tags: Vec<u32> = places.iter().map(|&at| units[at].tag).collect();
            for (rank, nth) in subset::rank_units(self.fig.me.0, &tags)
                .into_iter()
                .enumerate()
            {
                let unit = &mut self.fleet.units[places[nth]];
                (unit.rank, unit.near) = (rank, rank < width);
            }
        }
        self.fleet.ranked = true;
    }

    pub(super) fn send(&mut self, task: &mut Task, act: Act) -> Flow {
        if !self.permits(task, task.chosen, false) {
            return Flow::End;
        }
        let track = &self.tracks[task.track.0];
        let time_out = if track.late_pays {
            task.end
        } else {
            task.quoted
        }
        .saturating_sub(self.now);
        // Departure: where few take half of it and most of those are lost, another unit can still answer.
        let repeatable = track.effect != Effect::Unrepeatable;
        let early = repeatable && task.tries == 0 && self.meter.loses(SLOWER, APART);
        let time_out = if early && self.rng.random::<f64>() > VAIN_TRIES {
            time_out / 2
        } else {
            time_out
        };
        let on_trial = self.cap_of(self.fleet.units[task.chosen].build).is_some();
        let keep = self.fig.window + self.fig.slack * 2;
        let unit = &mut self.fleet.units[task.chosen];
        unit.sent(&task.id, self.now, task.work, self.fig.overload_for);
        if on_trial {
            let counter = (unit.build, self.fig.counted(task.track));
            self.exposure
                .sent
                .entry(counter)
                .or_default()
                .add(self.now, 1.0, keep);
        }
        self.meter.in_flight += 1.0;
        task.out = Some((DispatchNo(task.tries), task.chosen, self.now));
        task.tries += 1;
        act.dispatch(&task.id, &unit.id, time_out.max(Duration::from_millis(1)));
        Flow::Keep
    }

    /// The one gate of every dispatch. `as_share` asks for the design's share of the exposure, not all of it.
    pub(super) fn permits(&self, task: &Task, at: usize, as_share: bool) -> bool {
        let (unit, track) = (&self.fleet.units[at], &self.tracks[task.track.0]);
        let open =
            task.out.is_none() && task.tries < self.fig.max_dispatches && self.now < task.end;
        let repeat = task.ran.is_none_or(|(ran_at, since)| match track.effect {
            Effect::Idempotent => true,
            Effect::Unrepeatable => false,
            Effect::Deduplicated { group, window } => {
                group.joins(&self.fleet.units[ran_at], unit)
                    && self.now + self.fig.slack < since + window
            }
        });
        let room =
            || self.cold_room(unit, task.work) && self.exposure_room(task, unit.build, as_share);
        unit.ready && open && repeat && room()
    }

    /// Rule 4. What warm units bear from here, times what a cold one can do of it; below one task, by lot.
    pub(super) fn cold_room(&self, unit: &Unit, work: f64) -> bool {
        if !unit.is_cold(self.now, self.fig.warm_up) {
            return true;
        }
        let span = self.fig.overload_for;
        let (work_done, secs) = self.meter.bore;
        let warm = work_done / secs.max(0.1) * unit.nominal * span.as_secs_f64();
        let warm = if unit.near { warm } else { 0.0 }; // others keep to it
        let half_ago = self.now.saturating_sub(span / 2);
        let part = COLD_MARGIN * self.fig.fall_multiple * unit.warmth(half_ago, &self.fig);
        let budget = (part * warm).max(1.0 / f64::from(self.fig.relays));
        let one = if unit.lot(self.fig.me) < budget {
            1.0
        } else {
            0.0
        };
        unit.sent_cold.sum(self.now, span) + work <= budget.max(one)
    }

    /// The cap and stage of a build on trial, else none; before any news all but the lowest are.
    pub(super) fn cap_of(&self, build: BuildId) -> Option<(f64, usize)> {
        let first_cap = self.fig.first_cap();
        let listed = || {
            self.fleet
                .units
                .iter()
                .filter(|unit| unit.listed)
                .map(|unit| unit.build)
        };
        match &self.news {
            Some(news) => news.cap_of(build, first_cap),
            None => (listed().min() != Some(build)).then_some((first_cap, 0)),
        }
    }

    /// Rule 5. Sends are kept a little longer, tasks a little shorter than the window: ticks are coarse.
    pub(super) fn exposure_room(&self, task: &Task, build: BuildId, as_share: bool) -> bool {
        let Figures {
            window,
            by_track,
            free,
            slack,
            ..
        } = self.fig;
        let forward = task
            .key
            .is_some_and(|key| self.exposure.forward_keys.contains(&key));
        if forward
            && self
                .news
                .is_some_and(|news| news.is_live() && build < news.build)
        {
            return false;
        }
        let Some((cap, stage)) = self.cap_of(build) else {
            return true;
        };
        let track = &self.tracks[task.track.0];
        if cap <= 0.0 || (stage < self.fig.closed_stages && track.effect != Effect::Idempotent) {
            return false;
        }
        let counter = (build, self.fig.counted(task.track));
        let of = if by_track {
            std::slice::from_ref(track)
        } else {
            &self.tracks[..]
        };
        let taken: f64 = of
            .iter()
            .map(|track| track.taken.sum(self.now, window.saturating_sub(slack)))
            .sum();
        let sent = self
            .exposure
            .sent
            .get(&counter)
            .map_or(0.0, |sent| sent.sum(self.now, window + slack));
        sent + 1.0 <= if as_share { TRIAL_SHARE } else { 1.0 } * (free + cap * taken)
    }

    /// Whether a unit is out of favour: set aside here or by peers' word, on probation, or silent.
    pub(super) fn is_aside(&self, unit: &Unit) -> bool {
        let on_probation = unit.streak >= STREAK && !unit.waiting.is_empty();
        let slowest = || {
            self.tracks
                .iter()
                .map(|track| track.slowest(0.02))
                .fold(TICK * 3, Duration::max)
        };
        let silent = unit.waiting.len() >= 2 && self.now > unit.quiet_since + slowest();
        self.now < unit.away_until.max(unit.shunned_until) || on_probation || silent
    }
}
