//! A queueing model of a unit as PROTOCOL describes it: concurrent slots, a bounded queue, and a process that may end.

use std::collections::VecDeque;

/// What a unit does with a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is executed immediately.
    Runs,
    /// It is queued.
    Waits,
    /// It is rejected, as the queue is full.
    Full,
    /// The unit's process does not run.
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
    /// Maximum length of the queue.
    pub queue: usize,
    /// Whether the process runs.
    pub alive: bool,
    /// Requests in execution, by number.
    pub running: Vec<u64>,
    /// Queued requests, in order.
    pub waiting: VecDeque<u64>,
}

impl Unit {
    /// Creates an idle unit.
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

    /// A request has finished. Returns the queued request that starts next, if any; `None` if the request is not running here.
    pub fn done(&mut self, request: u64) -> Option<Option<u64>> {
        let at = self.running.iter().position(|&of| of == request)?;
        self.running.swap_remove(at);
        let next = self.waiting.pop_front();
        self.running.extend(next);
        Some(next)
    }

    /// Ends the process; returns the requests in execution and the queued ones.
    pub fn crash(&mut self) -> (Vec<u64>, Vec<u64>) {
        self.alive = false;
        (
            std::mem::take(&mut self.running),
            std::mem::take(&mut self.waiting).into(),
        )
    }

    /// Number of requests in execution and in the queue.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}
