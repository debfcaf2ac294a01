//! Warnings about what peers send: the first at once, then one a second at most, with the number of those that were
//! left out.

use std::cell::Cell;
use std::error::Error;
use std::fmt::Display;
use std::time::{Duration, Instant};
use tracing::warn;

/// Shortest time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Formats an error with its causes, on one line.
pub fn error_chain(error: &dyn Error) -> String {
    let causes = std::iter::successors(error.source(), |&cause| cause.source());
    causes.fold(error.to_string(), |line, cause| format!("{line}: {cause}"))
}

/// Limits the rate of the warnings about one part.
pub struct RateLimitedLog {
    part: &'static str,
    last: Cell<Option<Instant>>,
    left_out: Cell<u64>,
}

impl RateLimitedLog {
    /// For the part with this name.
    pub fn new(part: &'static str) -> RateLimitedLog {
        RateLimitedLog {
            part,
            last: Cell::new(None),
            left_out: Cell::new(0),
        }
    }

    /// Logs a warning, or counts it if the last one was too recent.
    pub fn warn(&self, detail: impl Display) {
        if self
            .last
            .get()
            .is_some_and(|last| last.elapsed() < MIN_INTERVAL)
        {
            return self.left_out.set(self.left_out.get() + 1);
        }
        self.last.set(Some(Instant::now()));
        match self.left_out.take() {
            0 => warn!(part = self.part, reason = %detail, "{}: {detail}", self.part),
            left_out => {
                warn!(part = self.part, reason = %detail, left_out, "{}: {detail} ({left_out} more left out)", self.part)
            }
        }
    }
}
