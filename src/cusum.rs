//! The detection mechanism of the paper: log likelihood ratios, the running sum (CUSUM), its threshold, and the
//! fusion of alarm bits. Used by [`crate::decide`] in the relay in service, and by `beechcroft-rollout` and
//! `beechcroft-outlier` in the system.

/// Gamma: the mean time between false alarms is 10^4 ticks. This is ln 10^4, in nats.
pub const LOG_GAMMA: f64 = 9.21;
/// The threshold of a sum is at least this, in nats, however small the relay's weight.
pub const MIN_THRESHOLD_NATS: f64 = 4.0;
/// Outcomes of a stage below which no alarm bit is set.
pub const MIN_OUTCOMES: u32 = 10;

/// A cumulative sum of log likelihood ratios.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cusum {
    /// W: the sum at the end of the last tick, in nats.
    pub w: f64,
    /// Z: what was added in the current tick, in nats.
    pub z: f64,
}

impl Cusum {
    /// Ends a tick. The sum restarts from 0 where it fell below.
    pub fn tick(&mut self) {
        *self = Cusum {
            w: self.w.max(0.0) + self.z,
            z: 0.0,
        };
    }
}

/// The failure rate of a bad build, where `good` is that of a good one: twice as high, and 5 points at least.
pub fn bad_rate(good: f64) -> f64 {
    (2.0 * good).max(good + 0.05)
}

/// The bad-to-good log likelihood ratio of one outcome, in nats (the paper prints the inverse; see docs/design.md).
pub fn log_ratio(good: f64, failed: bool) -> f64 {
    let good = good.clamp(0.01, 0.45);
    nats(good, bad_rate(good), failed)
}

/// The same for lateness. As it comes in bursts, the bad rate is `times` the good one.
pub fn lateness_log_ratio(good: f64, times: f64, late: bool) -> f64 {
    let good = good.clamp(0.01, 0.9 / times);
    nats(good, times * good, late)
}

fn nats(from: f64, to: f64, failed: bool) -> f64 {
    if failed {
        to / from
    } else {
        (1.0 - to) / (1.0 - from)
    }
    .ln()
}

/// I: the expected log ratio per tick under the bad rate, with `rate` outcomes per tick.
pub fn divergence(good: f64, rate: f64) -> f64 {
    let bad = bad_rate(good);
    rate * (bad * log_ratio(good, true) + (1.0 - bad) * log_ratio(good, false))
}

/// The value that W must exceed for an alarm bit; `weight` is the relay's I over the largest, `alarms_m` is M.
pub fn threshold(weight: f64, alarms_m: f64) -> f64 {
    (LOG_GAMMA / alarms_m * weight).max(MIN_THRESHOLD_NATS)
}

/// The sum of the alarm bits, each weighted by its relay's divergence over the largest.
pub fn fuse(bits: impl Iterator<Item = (bool, f64)>, largest: f64) -> f64 {
    bits.filter(|(bit, _)| *bit)
        .map(|(_, divergence)| divergence)
        .sum::<f64>()
        / largest
}
