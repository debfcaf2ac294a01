//! A small histogram with a few coarse bins, halved from time to time so that it follows change.

use std::time::Duration;

/// Bins grow by about 1.4 from 10 ms on; the last one takes all that is slower.
pub const BINS: usize = 20;

/// Counts of times in coarse bins.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u32; BINS],
    total: u32,
}

impl Histogram {
    /// The bin that a time falls into.
    pub fn bin(time: Duration) -> usize {
        let halves = (time.as_secs_f64() / 0.010).max(1.0).log2() * 2.0;
        (halves as usize).min(BINS - 1)
    }

    /// The upper edge of a bin.
    pub fn edge(bin: usize) -> Duration {
        Duration::from_secs_f64(0.010 * 2f64.powf((bin as f64 + 1.0) / 2.0))
    }

    /// Counts one time; once `keep` of them are held, all counts are halved.
    pub fn add(&mut self, time: Duration, keep: u32) {
        self.counts[Self::bin(time)] += 1;
        self.total += 1;
        if self.total >= keep {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// How many times are held.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// The share of times in bins above `bin`.
    pub fn share_above(&self, bin: usize) -> f64 {
        let above: u32 = self.counts.iter().skip(bin + 1).sum();
        f64::from(above) / f64::from(self.total.max(1))
    }

    /// The lowest bin with no more than `share` of the times above it.
    pub fn bin_at(&self, share: f64) -> usize {
        (0..BINS).find(|&bin| self.share_above(bin) <= share).unwrap_or(BINS - 1)
    }
}

/// Counts of trials and failures, halved once `keep` trials are held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub trials: f64,
    pub failures: f64,
}

impl Tally {
    pub fn add(&mut self, failed: bool, keep: f64) {
        self.trials += 1.0;
        self.failures += f64::from(u8::from(failed));
        if self.trials >= keep {
            self.trials /= 2.0;
            self.failures /= 2.0;
        }
    }

    /// The share of failures, drawn towards 0 while few trials are held.
    pub fn rate(&self) -> f64 {
        self.failures / (self.trials + 20.0)
    }
}
