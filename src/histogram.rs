//! Measures without decisions: a histogram with coarse bins, a tally of failures, and a sliding window. The counts
//! of the first two are halved from time to time, so that they follow changes. Used by [`crate::decide`] and
//! `beechcroft-rollout`.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of bins. They begin at 10 ms and grow by a factor of about 1.4; the last one takes all longer times.
const BINS: usize = 20;

/// Counts of durations in coarse bins.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u32; BINS],
    total: u32,
}

impl Histogram {
    /// The bin of a duration.
    pub fn bin(time: Duration) -> usize {
        let halves = (time.as_secs_f64() / 0.010).max(1.0).log2() * 2.0;
        (halves as usize).min(BINS - 1)
    }

    /// The upper edge of a bin.
    pub fn edge(bin: usize) -> Duration {
        Duration::from_secs_f64(0.010 * 2f64.powf((bin as f64 + 1.0) / 2.0))
    }

    /// The midpoint of a bin on the logarithmic scale.
    pub fn bin_midpoint(bin: usize) -> Duration {
        Duration::from_secs_f64(0.010 * 2f64.powf((bin.min(BINS) as f64 + 0.5) / 2.0))
    }

    /// Counts one duration; once `keep` of them are held, all counts are halved.
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

    /// Adds the counts of another histogram, by bin.
    pub fn merge(&mut self, counts: &[u32]) {
        for (held, more) in self.counts.iter_mut().zip(counts) {
            *held = held.saturating_add(*more);
        }
        self.total = self
            .counts
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count));
    }

    /// The number of durations held.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// The lowest bin with no more than `share` of the durations above it.
    pub fn tail_bin(&self, share: f64) -> usize {
        let mut above = self.total;
        let lowest = self.counts.iter().position(|count| {
            above -= count;
            f64::from(above) <= share * f64::from(self.total)
        });
        lowest.unwrap_or(BINS - 1)
    }
}

/// Counts of trials and of the failures among them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Trials.
    pub trials: f64,
    /// Failures among them.
    pub failures: f64,
}

impl Tally {
    /// Counts one trial; once `keep` of them are held, both counts are halved.
    pub fn add(&mut self, failed: bool, keep: f64) {
        self.trials += 1.0;
        self.failures += f64::from(u8::from(failed));
        if self.trials >= keep {
            self.trials /= 2.0;
            self.failures /= 2.0;
        }
    }

    /// The share of failures, with 20 successes added so that it is low while few trials are held.
    pub fn rate(&self) -> f64 {
        self.failures / (self.trials + 20.0)
    }
}

/// Amounts within a sliding window. Each time is kept with the cumulative sum up to it, so that the sum of a span
/// takes a binary search.
#[derive(Clone, Debug, Default)]
pub struct Window {
    sums: VecDeque<(Duration, f64)>,
    /// The cumulative sum of what was dropped.
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

    /// The sum of the amounts added less than `span` ago.
    pub fn sum(&self, now: Duration, span: Duration) -> f64 {
        let old = self.sums.partition_point(|&(at, _)| at + span <= now);
        let before = old
            .checked_sub(1)
            .map_or(self.before, |last| self.sums[last].1);
        self.total() - before
    }

    /// Drops all amounts.
    pub fn clear(&mut self) {
        *self = Window::default();
    }
}

/// How much the `few` largest parts together exceed as many parts of the median size.
pub fn excess_over_median(mut parts: Vec<f64>, few: usize) -> f64 {
    parts.sort_by(|one, other| other.total_cmp(one));
    let median = parts.get(parts.len() / 2).copied().unwrap_or(0.0);
    parts.iter().take(few).map(|part| part - median).sum()
}
