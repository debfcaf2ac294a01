//! Estimates how many tasks a unit holds, from the load figures in its responses.
//!
//! A relay that rarely sends a task to a unit learns nothing from its own tasks in flight there. The unit's reports,
//! although late, show which units stay overloaded. The weight of a report decays with its age, so that a unit is not
//! avoided for an old overload.

use std::time::Duration;

/// Weight of a new report in the estimate; reports are late and noisy.
const REPORT_WEIGHT: f64 = 0.3;
/// Time constant with which a report decays, about as long as queues take to build up and drain.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Reports of more tasks than this are discarded: no unit holds so many.
const MAX_REPORTED_TASKS: f64 = 1e6;

/// Weight of a new report in the mean over all units: the mean covers about the last fifty reports.
const TYPICAL_WEIGHT: f64 = 0.02;

/// The number of tasks that a load report states, or `None` if it is out of range or not a number.
pub fn valid_load(tasks: f64) -> Option<f64> {
    (0.0..=MAX_REPORTED_TASKS).contains(&tasks).then_some(tasks)
}

/// The estimated load of one unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    /// The estimate after the last report, and when that report came.
    last: Option<(f64, Duration)>,
}

impl LoadEstimate {
    /// The number of tasks that the unit is estimated to hold at `now`. Without reports, and as the last report ages,
    /// this is `typical`, the load of the other units.
    pub fn at(&self, now: Duration, typical: f64) -> f64 {
        let Some((estimate, reported_at)) = self.last else {
            return typical;
        };
        let age = now.saturating_sub(reported_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        typical + (estimate - typical) * (-age).exp()
    }

    /// Takes a report of `tasks` held at `now` into account.
    pub fn record(&mut self, tasks: f64, now: Duration, typical: f64) {
        let estimate = self.at(now, typical);
        let weight = if self.last.is_some() {
            REPORT_WEIGHT
        } else {
            1.0
        };
        self.last = Some((estimate + (tasks - estimate) * weight, now));
    }
}

/// The mean load of all units that reported, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalLoad(f64);

impl TypicalLoad {
    /// Takes a report of `tasks` held by any unit into account.
    pub fn record(&mut self, tasks: f64) {
        self.0 += (tasks - self.0) * TYPICAL_WEIGHT;
    }

    /// Tasks held by a typical unit.
    pub fn value(&self) -> f64 {
        self.0
    }
}
