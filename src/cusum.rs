//! The mechanism itself, as the paper has it: ratios, the running sum, the threshold, the fusion of bits. Used by
//! [`crate::decide`] in the relay in service and by `beechcroft-rollout` in the system; neither holds a copy.

pub const LOG_GAMMA: f64 = 9.21; // ln 10^4 ticks, the mean time between false alarms
pub const MIN_THRESHOLD_NATS: f64 = 4.0; // no bit is set on less
pub const MIN_OUTCOMES: u32 = 10; // nor on fewer outcomes of a stage

/// W, and Z of the tick that is under way, in nats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cusum {
    pub w: f64,
    pub z: f64,
}

impl Cusum {
    pub fn tick(&mut self) {
        *self = Cusum {
            w: self.w.max(0.0) + self.z,
            z: 0.0,
        };
    }
}

pub fn bad_rate(good: f64) -> f64 {
    (2.0 * good).max(good + 0.05)
}

/// The bad-to-good log likelihood ratio of one outcome (the paper prints the inverse; see docs/design.md).
pub fn log_ratio(good: f64, failed: bool) -> f64 {
    let good = good.clamp(0.01, 0.45);
    nats(good, bad_rate(good), failed)
}

/// The same of lateness, which comes in bursts: a build must bring so many times as much.
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

/// I: the expected log ratio a tick under the bad rate, with so many outcomes a tick.
pub fn divergence(good: f64, rate: f64) -> f64 {
    let bad = bad_rate(good);
    rate * (bad * log_ratio(good, true) + (1.0 - bad) * log_ratio(good, false))
}

/// What W must exceed for the bit, by the relay's weight (its I over the largest) and M.
pub fn threshold(weight: f64, alarms_m: f64) -> f64 {
    (LOG_GAMMA / alarms_m * weight).max(MIN_THRESHOLD_NATS)
}

pub fn fuse(bits: impl Iterator<Item = (bool, f64)>, largest: f64) -> f64 {
    bits.filter(|(bit, _)| *bit)
        .map(|(_, divergence)| divergence)
        .sum::<f64>()
        / largest
}
