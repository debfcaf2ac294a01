//! Doubly linked lists of connections. The links lie in the connections' slots, so that adding and removing a
//! connection costs a few writes, and an empty list costs no memory.

use crate::{Id, Slot};
use slotmap::SlotMap;

/// Index of the links used by the list of a connection's state. A connection is in at most one list for each index.
pub const STATE_LINKS: usize = 0;

/// A connection's neighbours in one list.
#[derive(Clone, Copy, Default)]
pub struct Links {
    prev: Option<Id>,
    pub next: Option<Id>,
}

/// A list of connections, in the order in which they were added. `links` below is the index of the links that it uses.
#[derive(Clone, Copy, Default)]
pub struct List {
    first: Option<Id>,
    last: Option<Id>,
    len: u32,
}

impl List {
    pub fn first(&self) -> Option<Id> {
        self.first
    }

    pub fn len(&self) -> usize {
        self.len as usize
    }

    /// Adds a connection at the end.
    pub fn push(&mut self, slots: &mut SlotMap<Id, Slot>, links: usize, id: Id) {
        slots[id].links[links] = Links {
            prev: self.last,
            next: None,
        };
        match self.last.replace(id) {
            Some(last) => slots[last].links[links].next = Some(id),
            None => self.first = Some(id),
        }
        self.len += 1;
    }

    /// Removes a connection, which must be in this list.
    pub fn remove(&mut self, slots: &mut SlotMap<Id, Slot>, links: usize, id: Id) {
        let Links { prev, next } = std::mem::take(&mut slots[id].links[links]);
        match prev {
            Some(prev) => slots[prev].links[links].next = next,
            None => self.first = next,
        }
        match next {
            Some(next) => slots[next].links[links].prev = prev,
            None => self.last = prev,
        }
        self.len -= 1;
    }

    /// All connections in the list, from the first to the last.
    pub fn ids<'a>(
        &self,
        slots: &'a SlotMap<Id, Slot>,
        links: usize,
    ) -> impl Iterator<Item = Id> + 'a {
        std::iter::successors(self.first, move |&id| slots[id].links[links].next)
    }
}
