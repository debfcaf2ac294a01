//! Lines of connections: doubly linked through their slots, so that joining, leaving and the first one cost a few
//! writes, and a line that nobody stands in costs nothing.

use crate::{Id, Slot};
use slotmap::SlotMap;

/// Which links a line uses; a connection stands in one line of each kind at most.
pub const LINE: usize = 0;

#[derive(Clone, Copy, Default)]
pub struct Links {
    before: Option<Id>,
    pub after: Option<Id>,
}

#[derive(Clone, Copy, Default)]
pub struct Line {
    first: Option<Id>,
    last: Option<Id>,
    len: u32,
}

impl Line {
    pub fn first(&self) -> Option<Id> {
        self.first
    }

    pub fn len(&self) -> usize {
        self.len as usize
    }

    pub fn push(&mut self, slots: &mut SlotMap<Id, Slot>, which: usize, id: Id) {
        slots[id].links[which] = Links {
            before: self.last,
            after: None,
        };
        match self.last.replace(id) {
            Some(last) => slots[last].links[which].after = Some(id),
            None => self.first = Some(id),
        }
        self.len += 1;
    }

    /// It stands in this line.
    pub fn remove(&mut self, slots: &mut SlotMap<Id, Slot>, which: usize, id: Id) {
        let Links { before, after } = std::mem::take(&mut slots[id].links[which]);
        match before {
            Some(before) => slots[before].links[which].after = after,
            None => self.first = after,
        }
        match after {
            Some(after) => slots[after].links[which].before = before,
            None => self.last = before,
        }
        self.len -= 1;
    }

    pub fn ids<'a>(
        &self,
        slots: &'a SlotMap<Id, Slot>,
        which: usize,
    ) -> impl Iterator<Item = Id> + 'a {
        std::iter::successors(self.first, move |&id| slots[id].links[which].after)
    }
}
