//! Pressure on cold units: relays add up in the store what they send to a unit since its start. What others sent of late
//! takes from what this relay may send, and can never add to it.

use crate::escrow::{Milli, Stake};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Counts are told this often at most, for each unit: a store with a hundred relays and ten cold units gets 10,000 a second.
const TOLD_EVERY: Duration = Duration::from_millis(100);
/// Totals that are looked back on, for each unit; a second one within the same tenth of the span replaces the first.
const TOTALS: usize = 12;
/// Units that are counted for at once; of others nothing is told and nothing believed.
const UNITS: usize = 4096;

#[derive(Debug, Default)]
struct Count {
    /// Sent and not told yet.
    untold: u64,
    /// Told, whether or not it arrived.
    told: u64,
    told_at: Option<Duration>,
    /// What others had sent in all, by when that was heard; it never falls.
    others: VecDeque<(Duration, u64)>,
}

/// What this relay counts, and what it has heard.
pub struct Pressure {
    /// What a unit bears is reckoned over this time.
    span: Duration,
    counts: HashMap<Stake, Count>,
}

impl Pressure {
    pub fn new(span: Duration) -> Pressure {
        Pressure {
            span: span.max(Duration::from_millis(1)),
            counts: HashMap::new(),
        }
    }

    /// Something was sent to a cold unit.
    pub fn sent(&mut self, stake: &Stake, work: Milli) {
        if let Some(count) = self.count(stake) {
            count.untold = count.untold.saturating_add(work.0);
        }
    }

    /// What is to be added in the store now. It counts as told from here on: a count that is lost is not told again, as one
    /// that only seemed lost would count twice.
    pub fn due(&mut self, now: Duration) -> Vec<(Stake, Milli)> {
        let is_due = |count: &Count| count.told_at.is_none_or(|at| now >= at + TOLD_EVERY);
        let due = self
            .counts
            .iter_mut()
            .filter(|(_, count)| count.untold > 0 && is_due(count));
        due.map(|(stake, count)| {
            let more = std::mem::take(&mut count.untold);
            count.told = count.told.saturating_add(more);
            count.told_at = Some(now);
            (stake.clone(), Milli(more))
        })
        .collect()
    }

    /// The store's total for a unit, as its reply tells it. One that falls, as of a store that restarted, takes nothing back.
    pub fn total(&mut self, now: Duration, stake: &Stake, total: Milli) {
        let span = self.span;
        let Some(count) = self.count(stake) else {
            return;
        };
        let others = total.0.saturating_sub(count.told);
        let last = count.others.back().copied();
        let others = others.max(last.map_or(0, |(_, others)| others));
        match last {
            Some((at, _)) if now < at + span / 10 && count.others.len() > 1 => {
                count.others.pop_back()
            }
            _ => None,
        };
        count.others.push_back((now, others));
        // One that is older than the span is kept, to reckon from.
        while count.others.len() > TOTALS
            || count.others.get(1).is_some_and(|(at, _)| *at + span <= now)
        {
            count.others.pop_front();
        }
    }

    /// What this relay may send to a unit in a span, where `own` is its share and all shares together `whole`: its share,
    /// less what others have sent beyond theirs.
    pub fn allowance(&self, now: Duration, stake: &Stake, own: Milli, whole: Milli) -> Milli {
        let Some(count) = self.counts.get(stake) else {
            return own;
        };
        let (Some((first_at, first)), Some((at, last))) =
            (count.others.front(), count.others.back())
        else {
            return own;
        };
        // What was heard longer ago than the span is over; where all that is known came since, it counts from nothing.
        let begun = now.saturating_sub(self.span);
        let before = if *first_at <= begun { *first } else { 0 };
        let lately = if *at <= begun && now >= self.span {
            0
        } else {
            last - before
        };
        own.min(Milli(whole.0.saturating_sub(lately)))
    }

    /// The unit is warm or gone.
    pub fn over(&mut self, stake: &Stake) {
        self.counts.remove(stake);
    }

    fn count(&mut self, stake: &Stake) -> Option<&mut Count> {
        if self.counts.len() >= UNITS && !self.counts.contains_key(stake) {
            return None;
        }
        Some(self.counts.entry(stake.clone()).or_default())
    }
}
