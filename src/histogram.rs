//! Mechanical measures: a small histogram with coarse bins, a tally of failures, a sliding window. The first
//! two are halved from time to time, so that they follow change.

use std::collections::VecDeque;
use std::time::Duration;

/// Bins grow by about 1.4 from 10 ms on; the last one takes all that is slower.
const BINS: usize = 20;

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

    /// A time that falls into the bin.
    pub fn bin_midpoint(bin: usize) -> Duration {
        Duration::from_secs_f64(0.010 * 2f64.powf((bin.min(BINS) as f64 + 0.5) / 2.0))
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

    /// The counts of all bins.
    pub fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// Adds another's counts, of the same bins.
    pub fn merge(&mut self, counts: &[u32]) {
        for (held, more) in self.counts.iter_mut().zip(counts) {
            *held = held.saturating_add(*more);
        }
        self.total = self
            .counts
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count));
    }

    /// How many times are held.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// The lowest bin with no more than `share` of the times above it.
    pub fn tail_bin(&self, share: f64) -> usize {
        let mut above = self.total;
        let lowest = self.counts.iter().position(|count| {
            above -= count;
            f64::from(above) <= share * f64::from(self.total)
        });
        lowest.unwrap_or(BINS - 1)
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

/// Amounts of the last while: each time with the sum of all up to it, so that a sum costs a search and no walk.
#[derive(Clone, Debug, Default)]
pub struct Window {
    sums: VecDeque<(Duration, f64)>,
    /// Of what was dropped.
    before: f64,
}

impl Window {
    /// Adds an amount and drops what is older than `keep`.
    pub fn add(&mut self, now: Duration, amount: f64, keep: Duration) {
        while let Some((_, sum)) = self.sums.pop_front_if(|&mut (at, _)| at + keep < now) {
            self.before = sum;
        }
        if self.sums.is_empty() {
            self.before = 0.0;
        }
        self.sums.push_back((now, self.total() + amount));
    }

    fn total(&self) -> f64 {
        self.sums.back().map_or(self.before, |&(_, sum)| sum)
    }

    /// The sum of what came less than `span` ago.
    pub fn sum(&self, now: Duration, span: Duration) -> f64 {
        let old = self.sums.partition_point(|&(at, _)| at + span <= now);
        let before = old
            .checked_sub(1)
            .map_or(self.before, |last| self.sums[last].1);
        self.total() - before
    }

    pub fn clear(&mut self) {
        *self = Window::default();
    }
}

/// By how much the `few` largest parts together exceed as many of the median one.
pub fn excess_over_median(mut parts: Vec<f64>, few: usize) -> f64 {
    parts.sort_by(|one, other| other.total_cmp(one));
    let usual = parts.get(parts.len() / 2).copied().unwrap_or(0.0);
    parts.iter().take(few).map(|part| part - usual).sum()
}
