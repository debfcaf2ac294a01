//! The load of cold units: relays add up in the store what they have sent to a unit since its start. What other relays
//! sent recently reduces what this relay may send, and can never increase it.

use crate::escrow::{MilliTasks, UnitStart};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The shortest interval between reports for one unit: a store with a hundred relays and ten cold units gets 10,000
/// reports a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of past totals kept for each unit; a second one within the same tenth of the time window replaces the
/// first.
const MAX_TOTALS: usize = 12;
/// Maximum number of units that are tracked; for further ones nothing is reported and no total is recorded.
const MAX_UNITS: usize = 4096;

#[derive(Debug, Default)]
struct UnitCounts {
    /// Sent and not reported yet.
    unreported: u64,
    /// Reported, whether or not the report arrived.
    reported: u64,
    reported_at: Option<Duration>,
    /// What other relays had sent in total, by the time at which it was read; it never falls.
    others: VecDeque<(Duration, u64)>,
}

/// What this relay has sent to cold units, and the totals read from the store.
pub struct ColdUnitLoad {
    /// The time window that the capacity of a cold unit refers to.
    window: Duration,
    counts: HashMap<UnitStart, UnitCounts>,
}

impl ColdUnitLoad {
    /// Tracks no units yet. The window is at least 1 ms.
    pub fn new(window: Duration) -> ColdUnitLoad {
        ColdUnitLoad {
            window: window.max(Duration::from_millis(1)),
            counts: HashMap::new(),
        }
    }

    /// Records that work was sent to a cold unit.
    pub fn record_sent(&mut self, unit_start: &UnitStart, work: MilliTasks) {
        if let Some(counts) = self.counts_of(unit_start) {
            counts.unreported = counts.unreported.saturating_add(work.0);
        }
    }

    /// Takes the amounts that are to be added in the store now. From here on they count as reported: a lost report is
    /// not repeated, as one that only seemed lost would count twice.
    pub fn take_due_reports(&mut self, now: Duration) -> Vec<(UnitStart, MilliTasks)> {
        let is_due = |counts: &UnitCounts| {
            counts
                .reported_at
                .is_none_or(|at| now >= at + REPORT_INTERVAL)
        };
        let due = self
            .counts
            .iter_mut()
            .filter(|(_, counts)| counts.unreported > 0 && is_due(counts));
        due.map(|(unit_start, counts)| {
            let amount = std::mem::take(&mut counts.unreported);
            counts.reported = counts.reported.saturating_add(amount);
            counts.reported_at = Some(now);
            (unit_start.clone(), MilliTasks(amount))
        })
        .collect()
    }

    /// Records the total for a unit that the store replied with. A total that falls, as after a restart of the store,
    /// changes nothing.
    pub fn record_total(&mut self, now: Duration, unit_start: &UnitStart, total: MilliTasks) {
        let window = self.window;
        let Some(counts) = self.counts_of(unit_start) else {
            return;
        };
        let others = total.0.saturating_sub(counts.reported);
        let last = counts.others.back().copied();
        let others = others.max(last.map_or(0, |(_, others)| others));
        match last {
            Some((at, _)) if now < at + window / 10 && counts.others.len() > 1 => {
                counts.others.pop_back()
            }
            _ => None,
        };
        counts.others.push_back((now, others));
        // One total from before the window is kept as the baseline.
        while counts.others.len() > MAX_TOTALS
            || counts
                .others
                .get(1)
                .is_some_and(|(at, _)| *at + window <= now)
        {
            counts.others.pop_front();
        }
    }

    /// What this relay may send to a unit in a window, where `own` is its share and `all` the sum of all shares: its
    /// share, less what other relays have sent beyond theirs.
    pub fn allowance(
        &self,
        now: Duration,
        unit_start: &UnitStart,
        own: MilliTasks,
        all: MilliTasks,
    ) -> MilliTasks {
        let Some(counts) = self.counts.get(unit_start) else {
            return own;
        };
        let (Some((first_at, first)), Some((last_at, last))) =
            (counts.others.front(), counts.others.back())
        else {
            return own;
        };
        // What was read before the window does not count. If all totals are from within the window, the baseline is 0.
        let window_start = now.saturating_sub(self.window);
        let baseline = if *first_at <= window_start { *first } else { 0 };
        let recent = if *last_at <= window_start && now >= self.window {
            0
        } else {
            last - baseline
        };
        own.min(MilliTasks(all.0.saturating_sub(recent)))
    }

    /// Stops tracking a unit that is warm or gone.
    pub fn remove(&mut self, unit_start: &UnitStart) {
        self.counts.remove(unit_start);
    }

    fn counts_of(&mut self, unit_start: &UnitStart) -> Option<&mut UnitCounts> {
        if self.counts.len() >= MAX_UNITS && !self.counts.contains_key(unit_start) {
            return None;
        }
        Some(self.counts.entry(unit_start.clone()).or_default())
    }
}
