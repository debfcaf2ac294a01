//! The request stages of the pipeline: whether a task is admitted, which unit it goes to, and whether a dispatch is
//! permitted at all.

use super::*;

impl Relay {
    /// Stage 1: sheds tasks that are past their time or for which load leaves no room, least utility first.
    pub(super) fn admit(&mut self, task: &mut Task, _actions: DynActions) -> Flow {
        let track = &self.tracks[task.track.0];
        let share = if task.over_quota {
            self.params.over_quota_weight
        } else {
            1.0
        };
        let share = if self.is_late_everywhere(task) {
            0.0
        } else {
            share
        };
        let limit = self.meter.in_flight_limit * (0.6 + 0.4 * track.utility) * (0.3 + 0.7 * share);
        let crowded = task.dispatches == 0 && self.meter.in_flight >= limit;
        let in_vain = task.last_errored
            && self.meter.repeated_errors.rate() > HIGH_FAILURE_SHARE
            && self.rng.random::<f64>() > PROBE_SHARE;
        if crowded
            || in_vain
            || self.now
                >= if track.late_has_utility {
                    task.deadline
                } else {
                    task.quoted_deadline
                }
        {
            return Flow::Finish;
        }
        Flow::Continue
    }

    /// Stage 2: chooses a build at random by capacity, then the less loaded of two random units of it.
    pub(super) fn choose_unit(&mut self, task: &mut Task, _actions: DynActions) -> Flow {
        if !self.fleet.ranked {
            self.rank_units();
        }
        let (chance, one, two, three): (f64, u32, u32, u32) = self.rng.random();
        let mut candidates: Vec<usize> = (0..self.fleet.units.len())
            .filter(|&at| self.may_dispatch(task, at, false))
            .collect();
        let on_trial = |at: usize| self.exposure_cap(self.fleet.units[at].build).is_some();
        // Warm capacity, in units, of those candidates of either side that may get tasks now. A unit on trial is to
        // get as many tasks as one of the earlier build.
        let ready = |trial: bool| -> f64 {
            let units = candidates
                .iter()
                .filter(|&&at| on_trial(at) == trial)
                .map(|&at| &self.fleet.units[at]);
            units
                .filter(|unit| !self.is_avoided(unit))
                .map(|unit| unit.warm_fraction(self.now, &self.params))
                .sum()
        };
        let (new, old) = (ready(true), ready(false));
        // The higher the load, the more evenly both sides share it: the tasks admitted then fit the capacity of
        // both.
        let busy = (self.meter.latency_ratio / OVERLOAD_LATENCY_RATIO * 2.0 - 1.0).clamp(0.0, 1.0);
        let total = old.max(new) + old.min(new) * if self.params.in_place { 1.0 } else { busy };
        let to_trial = task.failed_on.is_none() && chance * total < new;
        // Preferences, the most important first; one that no candidate meets is dropped.
        let mut prefer = |wanted: &dyn Fn(usize) -> bool| {
            if candidates.iter().any(|&at| wanted(at)) {
                candidates.retain(|&at| wanted(at));
            }
        };
        prefer(&|at| !on_trial(at) || self.may_dispatch(task, at, true));
        prefer(&|at| !self.is_avoided(&self.fleet.units[at]));
        prefer(&|at| task.failed_on != Some(at));
        let of_either_build = candidates.clone();
        let Some(&third) = of_either_build.get(three as usize % of_either_build.len().max(1))
        else {
            return Flow::Finish;
        };
        // Departure: of each build, the relay uses only as many units as its tasks keep connections to.
        let trial_part = (new / total.max(new)).clamp(0.0, 1.0);
        let width = |part: f64| {
            subset::subset_size(
                self.meter.arrival_rate.per_s() * part,
                self.params.keep_idle_for,
            )
        };
        candidates.retain(|&at| on_trial(at) == to_trial);
        // A relay that uses a subset sends only a small part of a unit's tasks, so the units' own load reports
        // count.
        let subset_width = width(if to_trial {
            trial_part
        } else {
            1.0 - trial_part
        });
        let (uses_subset, usual) = (
            subset_width < candidates.len(),
            self.meter.usual_load.value(),
        );
        if uses_subset {
            candidates.sort_by_key(|&at| self.fleet.units[at].rank);
            candidates.truncate(subset_width);
        }
        candidates.extend(candidates.is_empty().then_some(third));
        let [first, second] = [one, two].map(|nth| candidates[nth as usize % candidates.len()]);
        let load = |at: usize| {
            let unit = &self.fleet.units[at];
            let zone_penalty = if unit.zone != self.params.zone && self.params.cross_zone_is_charged
            {
                CROSS_ZONE_PENALTY
            } else {
                0.0
            };
            let reported = if uses_subset {
                unit.reported_load.at(self.now, usual)
            } else {
                0.0
            };
            (unit.in_flight.len() as f64 + 1.0 + zone_penalty + reported)
                / (unit.capacity * unit.warm_fraction(self.now, &self.params))
        };
        let least = if load(second) < load(first) {
            second
        } else {
            first
        };
        // Where one side is overloaded, by small units or too large a share, tasks go to either build.
        task.chosen = if load(least) > CROWDED_FACTOR * load(third) {
            third
        } else {
            least
        };
        Flow::Continue
    }

    /// Ranks the ready units of either side in the order in which this relay uses them.
    pub(super) fn rank_units(&mut self) {
        let width = subset::subset_size(self.meter.arrival_rate.per_s(), self.params.keep_idle_for);
        for on_trial in [false, true] {
            let belongs =
                |unit: &Unit| unit.ready && self.exposure_cap(unit.build).is_some() == on_trial;
            let units = &self.fleet.units;
            let slots: Vec<usize> = (0..units.len()).filter(|&at| belongs(&units[at])).collect();
            let short_ids: Vec<u32> = slots.iter().map(|&at| units[at].short_id).collect();
            for (rank, nth) in subset::rank_units(self.params.own_id.0, &short_ids)
                .into_iter()
                .enumerate()
            {
                let unit = &mut self.fleet.units[slots[nth]];
                (unit.rank, unit.in_subset) = (rank, rank < width);
            }
        }
        self.fleet.ranked = true;
    }

    /// Stage 3: dispatches the task to the chosen unit.
    pub(super) fn dispatch(&mut self, task: &mut Task, actions: DynActions) -> Flow {
        if !self.may_dispatch(task, task.chosen, false) {
            return Flow::Finish;
        }
        let track = &self.tracks[task.track.0];
        let time_out = if track.late_has_utility {
            task.deadline
        } else {
            task.quoted_deadline
        }
        .saturating_sub(self.now);
        // Departure: where few tasks take half of the quoted time and most of those are lost, the first dispatch is
        // given up after half of it, while another unit can still answer.
        let repeatable = track.effect != Effect::Unrepeatable;
        let early = repeatable
            && task.dispatches == 0
            && self
                .meter
                .slow_are_mostly_lost(MAX_SLOW_SHARE, HIGH_FAILURE_SHARE);
        let time_out = if early && self.rng.random::<f64>() > PROBE_SHARE {
            time_out / 2
        } else {
            time_out
        };
        let on_trial = self
            .exposure_cap(self.fleet.units[task.chosen].build)
            .is_some();
        let keep = self.params.exposure_window + self.params.clock_slack * 2;
        let unit = &mut self.fleet.units[task.chosen];
        unit.record_dispatch(&task.id, self.now, task.work, self.params.overload_duration);
        if on_trial {
            let counter = (unit.build, self.params.exposure_counter(task.track));
            self.exposure
                .sent
                .entry(counter)
                .or_default()
                .add(self.now, 1.0, keep);
        }
        self.meter.in_flight += 1.0;
        task.in_flight = Some((DispatchNo(task.dispatches), task.chosen, self.now));
        task.dispatches += 1;
        actions.dispatch(&task.id, &unit.id, time_out.max(Duration::from_millis(1)));
        Flow::Dispatched
    }

    /// Whether a task may be dispatched to the unit in a slot; every dispatch passes this check. With
    /// `within_target` only the target share of the exposure cap may be used, else all of it.
    pub(super) fn may_dispatch(&self, task: &Task, at: usize, within_target: bool) -> bool {
        let (unit, track) = (&self.fleet.units[at], &self.tracks[task.track.0]);
        let open = task.in_flight.is_none()
            && task.dispatches < self.params.max_dispatches
            && self.now < task.deadline;
        let may_repeat = task
            .may_have_run
            .is_none_or(|(ran_at, since)| match track.effect {
                Effect::Idempotent => true,
                Effect::Unrepeatable => false,
                Effect::Deduplicated { scope, window } => {
                    scope.covers(&self.fleet.units[ran_at], unit)
                        && self.now + self.params.clock_slack < since + window
                }
            });
        let has_room = || {
            self.cold_unit_has_room(unit, task.work)
                && self.exposure_has_room(task, unit.build, within_target)
        };
        unit.ready && open && may_repeat && has_room()
    }

    /// Rule 4: a cold unit gets no more work than it can do. The budget is what a warm unit gets from this relay,
    /// times the share of it that the cold one can do. Where that is less than one task, a draw fixed for unit and
    /// relay decides whether this relay may send one.
    pub(super) fn cold_unit_has_room(&self, unit: &Unit, work: f64) -> bool {
        if !unit.is_cold(self.now, self.params.warm_up) {
            return true;
        }
        let span = self.params.overload_duration;
        let (work_done, secs) = self.meter.warm_unit_work;
        let warm = work_done / secs.max(0.1) * unit.capacity * span.as_secs_f64();
        let warm = if unit.in_subset { warm } else { 0.0 }; // other relays use this unit
        let half_ago = self.now.saturating_sub(span / 2);
        let part = COLD_MARGIN
            * self.params.overload_multiple
            * unit.warm_fraction(half_ago, &self.params);
        let budget = (part * warm).max(1.0 / f64::from(self.params.relays));
        let one = if unit.lottery_draw(self.params.own_id) < budget {
            1.0
        } else {
            0.0
        };
        unit.sent_work.sum(self.now, span) + work <= budget.max(one)
    }

    /// The exposure cap and stage of a build that is not fully released, else none. Before the platform has
    /// announced any build, all but the lowest one listed are on trial.
    pub(super) fn exposure_cap(&self, build: BuildId) -> Option<(f64, usize)> {
        let first_cap = self.params.first_cap();
        let listed = || {
            self.fleet
                .units
                .iter()
                .filter(|unit| unit.listed)
                .map(|unit| unit.build)
        };
        match &self.rollout {
            Some(rollout) => rollout.cap_of(build, first_cap),
            None => (listed().min() != Some(build)).then_some((first_cap, 0)),
        }
    }

    /// Rule 5: a build on trial gets no more than its share of the tasks. Since times on the wire are coarse,
    /// dispatches count for a little longer and arrivals for a little shorter than the window.
    pub(super) fn exposure_has_room(
        &self,
        task: &Task,
        build: BuildId,
        within_target: bool,
    ) -> bool {
        let Params {
            exposure_window,
            exposure_by_track,
            exposure_allowance,
            clock_slack,
            ..
        } = self.params;
        let forward = task
            .key
            .is_some_and(|key| self.exposure.forward_keys.contains(&key));
        if forward
            && self
                .rollout
                .is_some_and(|rollout| rollout.is_live() && build < rollout.build)
        {
            return false;
        }
        let Some((cap, stage)) = self.exposure_cap(build) else {
            return true;
        };
        let track = &self.tracks[task.track.0];
        if cap <= 0.0
            || (stage < self.params.idempotent_only_stages && track.effect != Effect::Idempotent)
        {
            return false;
        }
        let counter = (build, self.params.exposure_counter(task.track));
        let counted = if exposure_by_track {
            std::slice::from_ref(track)
        } else {
            &self.tracks[..]
        };
        let arrivals: f64 = counted
            .iter()
            .map(|track| {
                track
                    .arrivals
                    .sum(self.now, exposure_window.saturating_sub(clock_slack))
            })
            .sum();
        let sent = self.exposure.sent.get(&counter).map_or(0.0, |sent| {
            sent.sum(self.now, exposure_window + clock_slack)
        });
        sent + 1.0
            <= if within_target {
                EXPOSURE_TARGET_SHARE
            } else {
                1.0
            } * (exposure_allowance + cap * arrivals)
    }

    /// Whether a unit is used only if there is no other: ejected by this relay or by peers, on probation after a
    /// streak of failures until the task in flight there ends, or silent for longer than its tasks usually take.
    pub(super) fn is_avoided(&self, unit: &Unit) -> bool {
        let on_probation = unit.failure_streak >= EJECTION_STREAK && !unit.in_flight.is_empty();
        let slowest = || {
            self.tracks
                .iter()
                .map(|track| track.slowest(0.02))
                .fold(TICK * 3, Duration::max)
        };
        let silent = unit.in_flight.len() >= 2 && self.now > unit.last_answer_at + slowest();
        self.now < unit.ejected_until.max(unit.peer_ejected_until) || on_probation || silent
    }
}
