//! A queue of simulated events, ordered by time; events of the same time keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Entry<E>(u64, u64, E);

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The event queue with its clock. Times are in microseconds since the start.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    next: u64,
    /// The time, in microseconds.
    pub now: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next: 0,
            now: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event `wait_us` from now.
    pub fn after(&mut self, wait_us: u64, event: E) {
        self.next += 1;
        self.heap
            .push(Reverse(Entry(self.now + wait_us, self.next, event)));
    }

    /// Returns the next event up to `until`, and advances the clock to it; without one, advances the clock to `until`.
    pub fn next(&mut self, until: u64) -> Option<E> {
        if self
            .heap
            .peek()
            .is_none_or(|Reverse(entry)| entry.0 > until)
        {
            self.now = until;
            return None;
        }
        let Reverse(Entry(at, _, event)) = self.heap.pop()?;
        self.now = at;
        Some(event)
    }

    /// The time in milliseconds.
    pub fn ms(&self) -> u64 {
        self.now / 1000
    }
}
