//! One wheel for all waits. What is due lies in the place of its tick; what lies there for a later round is passed over,
//! once a round, which is cheaper than a timer of its own for anything that waits for hours.

use crate::lines::Line;
use crate::{Id, Slot, TICK};
use slotmap::SlotMap;
use std::time::Duration;

/// The links that the wheel's lines use, and the line of the overdue.
pub const WHEEL: usize = 1;
/// A round is 51 s: a connection that waits for an hour is passed over some 70 times.
const PLACES: usize = 1024;

/// Of a slot that lies nowhere here.
pub const NOTHING: u32 = 0;
/// Of a slot that stands in the line of the overdue.
pub const OVERDUE: u32 = u32::MAX;

/// The first tick at or after a time.
pub fn ticks(time: Duration) -> u32 {
    let ticks = time.as_nanos().div_ceil(TICK.as_nanos());
    u32::try_from(ticks)
        .unwrap_or(OVERDUE - 1)
        .clamp(1, OVERDUE - 1) // some six years
}

/// The last tick at or before a time.
pub fn passed(time: Duration) -> u32 {
    u32::try_from(time.as_nanos() / TICK.as_nanos()).unwrap_or(OVERDUE - 1)
}

pub struct Wheel {
    places: Vec<Line>,
    /// All before this tick was taken.
    next: u32,
}

impl Default for Wheel {
    fn default() -> Wheel {
        Wheel {
            places: vec![Line::default(); PLACES],
            next: 1,
        }
    }
}

impl Wheel {
    pub fn holds(&self, slots: &SlotMap<Id, Slot>, id: Id) -> bool {
        !matches!(slots[id].due, NOTHING | OVERDUE)
    }

    /// Due at this tick, or the next to come, and at no other any more.
    pub fn arm(&mut self, slots: &mut SlotMap<Id, Slot>, id: Id, at: u32) {
        self.disarm(slots, id);
        let at = at.max(self.next);
        slots[id].due = at;
        self.places[at as usize % PLACES].push(slots, WHEEL, id);
    }

    pub fn disarm(&mut self, slots: &mut SlotMap<Id, Slot>, id: Id) {
        if self.holds(slots, id) {
            self.places[slots[id].due as usize % PLACES].remove(slots, WHEEL, id);
            slots[id].due = NOTHING;
        }
    }

    /// Takes out all that is due at this tick or before.
    pub fn take_due(&mut self, slots: &mut SlotMap<Id, Slot>, until: u32, due: &mut Vec<Id>) {
        let from = due.len();
        // After a long pause one round looks at every place.
        let first = self.next.max(until.saturating_sub(PLACES as u32 - 1));
        for tick in first..=until {
            let place = &mut self.places[tick as usize % PLACES];
            let mut at = place.first();
            while let Some(id) = at {
                at = slots[id].links[WHEEL].after;
                if slots[id].due <= until {
                    place.remove(slots, WHEEL, id);
                    due.push(id);
                }
            }
        }
        self.next = self.next.max(until.saturating_add(1));
        let ticks = |id: &Id| slots[*id].due;
        due[from..].sort_by_key(ticks);
        for &id in &due[from..] {
            slots[id].due = NOTHING;
        }
    }
}
