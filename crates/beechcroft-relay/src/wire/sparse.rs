//! Log lines about what others send: the first of a kind at once, then one a second with the count left out.

use std::cell::Cell;
use std::error::Error;
use std::fmt::Display;
use std::time::{Duration, Instant};
use tracing::warn;

const GAP: Duration = Duration::from_secs(1);

/// An error with its causes, on one line.
pub fn whole(error: &dyn Error) -> String {
    let causes = std::iter::successors(error.source(), |&cause| cause.source());
    causes.fold(error.to_string(), |line, cause| format!("{line}: {cause}"))
}

pub struct Sparse {
    what: &'static str,
    last: Cell<Option<Instant>>,
    left_out: Cell<u64>,
}

impl Sparse {
    pub fn new(what: &'static str) -> Sparse {
        Sparse {
            what,
            last: Cell::new(None),
            left_out: Cell::new(0),
        }
    }

    pub fn warn(&self, detail: impl Display) {
        if self.last.get().is_some_and(|last| last.elapsed() < GAP) {
            return self.left_out.set(self.left_out.get() + 1);
        }
        self.last.set(Some(Instant::now()));
        match self.left_out.take() {
            0 => warn!(part = self.what, reason = %detail, "{}: {detail}", self.what),
            left_out => {
                warn!(part = self.what, reason = %detail, left_out, "{}: {detail} ({left_out} more left out)", self.what)
            }
        }
    }
}
