//! Units as PROTOCOL describes them: slots, a short queue, a life that may end.

use std::collections::VecDeque;

/// What a unit does with a request that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is executed at once.
    Runs,
    /// It waits.
    Waits,
    /// It is rejected.
    Full,
    /// Nothing is there.
    Gone,
}

/// A unit with slots and a queue.
#[derive(Clone, Debug)]
pub struct Unit {
    /// Its id.
    pub id: std::rc::Rc<str>,
    /// Region of the zone.
    pub region: usize,
    /// Its zone.
    pub zone: usize,
    /// Number of requests that it executes concurrently.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Whether its process runs.
    pub alive: bool,
    /// Requests that run, by their number, and those that wait.
    pub running: Vec<u64>,
    /// Requests that wait, in their order.
    pub waiting: VecDeque<u64>,
}

impl Unit {
    /// A unit without requests.
    pub fn new(id: &str, region: usize, zone: usize, slots: usize, queue: usize) -> Unit {
        let (running, waiting) = (Vec::new(), VecDeque::new());
        Unit {
            id: id.into(),
            region,
            zone,
            slots,
            queue,
            alive: true,
            running,
            waiting,
        }
    }

    /// A request arrives.
    pub fn take(&mut self, request: u64) -> Taken {
        if !self.alive {
            Taken::Gone
        } else if self.running.len() < self.slots {
            self.running.push(request);
            Taken::Runs
        } else if self.waiting.len() < self.queue {
            self.waiting.push_back(request);
            Taken::Waits
        } else {
            Taken::Full
        }
    }

    /// A request has run; the one that runs next, if one waits. False if it is not running here any more.
    pub fn done(&mut self, request: u64) -> Option<Option<u64>> {
        let at = self.running.iter().position(|&of| of == request)?;
        self.running.swap_remove(at);
        let next = self.waiting.pop_front();
        self.running.extend(next);
        Some(next)
    }

    /// It ends at once; what it was at work on, and what waited.
    pub fn crash(&mut self) -> (Vec<u64>, Vec<u64>) {
        self.alive = false;
        (
            std::mem::take(&mut self.running),
            std::mem::take(&mut self.waiting).into(),
        )
    }

    /// Requests that are executed or wait.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}
