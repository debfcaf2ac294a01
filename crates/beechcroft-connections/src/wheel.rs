//! A hashed timing wheel for all timeouts of connections. A connection lies in the bucket of the tick at which it is
//! due. If that tick is a later revolution's, the wheel skips the connection once a revolution, which is cheaper than a
//! timer for each connection that waits for hours.

use crate::list::List;
use crate::{Id, Slot, TICK};
use slotmap::SlotMap;
use std::time::Duration;

/// Index of the links used by the wheel's buckets and by the list of overdue connections.
pub const TIMER_LINKS: usize = 1;
/// A revolution takes 51 s: a connection that waits for an hour is skipped about 70 times.
const BUCKETS: usize = 1024;

/// `Slot::due` of a connection that is neither on the wheel nor overdue.
pub const NOT_ARMED: u32 = 0;
/// `Slot::due` of a connection in the list of overdue connections.
pub const OVERDUE: u32 = u32::MAX;

/// The first tick at or after a time. The largest one is about six years from the start.
pub fn ticks_ceil(time: Duration) -> u32 {
    let ticks = time.as_nanos().div_ceil(TICK.as_nanos());
    u32::try_from(ticks)
        .unwrap_or(OVERDUE - 1)
        .clamp(1, OVERDUE - 1)
}

/// The last tick at or before a time.
pub fn ticks_floor(time: Duration) -> u32 {
    u32::try_from(time.as_nanos() / TICK.as_nanos()).unwrap_or(OVERDUE - 1)
}

/// The timing wheel.
pub struct Wheel {
    buckets: Vec<List>,
    /// The first tick whose bucket has not been processed.
    next_tick: u32,
}

impl Default for Wheel {
    fn default() -> Wheel {
        Wheel {
            buckets: vec![List::default(); BUCKETS],
            next_tick: 1,
        }
    }
}

impl Wheel {
    /// Whether a timeout is set for a connection.
    pub fn is_armed(&self, slots: &SlotMap<Id, Slot>, id: Id) -> bool {
        !matches!(slots[id].due, NOT_ARMED | OVERDUE)
    }

    /// Sets a connection's timeout to a tick, or to the next one if that has passed. Replaces an earlier timeout.
    pub fn arm(&mut self, slots: &mut SlotMap<Id, Slot>, id: Id, tick: u32) {
        self.disarm(slots, id);
        let tick = tick.max(self.next_tick);
        slots[id].due = tick;
        self.buckets[tick as usize % BUCKETS].push(slots, TIMER_LINKS, id);
    }

    /// Removes a connection's timeout, if there is one.
    pub fn disarm(&mut self, slots: &mut SlotMap<Id, Slot>, id: Id) {
        if self.is_armed(slots, id) {
            self.buckets[slots[id].due as usize % BUCKETS].remove(slots, TIMER_LINKS, id);
            slots[id].due = NOT_ARMED;
        }
    }

    /// Takes all connections off the wheel that are due at or before `until`, and appends them to `due` by their tick.
    pub fn take_due(&mut self, slots: &mut SlotMap<Id, Slot>, until: u32, due: &mut Vec<Id>) {
        let from = due.len();
        // After a long pause a single revolution covers every bucket.
        let first = self.next_tick.max(until.saturating_sub(BUCKETS as u32 - 1));
        for tick in first..=until {
            let bucket = &mut self.buckets[tick as usize % BUCKETS];
            let mut next = bucket.first();
            while let Some(id) = next {
                next = slots[id].links[TIMER_LINKS].next;
                if slots[id].due <= until {
                    bucket.remove(slots, TIMER_LINKS, id);
                    due.push(id);
                }
            }
        }
        self.next_tick = self.next_tick.max(until.saturating_add(1));
        let due_tick = |id: &Id| slots[*id].due;
        due[from..].sort_by_key(due_tick);
        for &id in &due[from..] {
            slots[id].due = NOT_ARMED;
        }
    }
}
