//! How long units, and what stands between, are seen to keep a connection on which nothing is said. They state the
//! longest time only, and one that was dropped in silence is found out by the request that is lost on it.

use crate::wire::budget::{KEEP_FORGET, KEEP_LEAST, KEEP_RESETS, KEEP_SHARE};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Doubling from [`KEEP_LEAST`] on; the last one takes all that lay longer.
const BINS: usize = 12;

#[derive(Clone, Copy)]
struct Bin {
    reused: f64,
    reset: f64,
    last: Instant,
}

/// Counts of reused connections, and of those reset without an answer, by how long they had lain idle.
#[derive(Clone)]
pub struct Keep {
    longest: Duration,
    bins: Arc<Mutex<[Option<Bin>; BINS]>>,
}

impl Keep {
    /// `longest` holds as long as nothing else is seen.
    pub fn new(longest: Duration) -> Keep {
        Keep {
            longest,
            bins: Arc::default(),
        }
    }

    fn bin(idle: Duration) -> usize {
        let doublings = (idle.as_secs_f64() / KEEP_LEAST.as_secs_f64())
            .max(1.0)
            .log2();
        (doublings as usize).min(BINS - 1)
    }

    pub fn reused(&self, idle: Duration, reset: bool) {
        let Ok(mut bins) = self.bins.lock() else {
            return;
        };
        let now = Instant::now();
        let known = bins[Keep::bin(idle)].filter(|bin| now < bin.last + KEEP_FORGET);
        let Bin {
            reused,
            reset: resets,
            ..
        } = known.unwrap_or(Bin {
            reused: 0.0,
            reset: 0.0,
            last: now,
        });
        // Halved at times, so that it follows change.
        let part = if reused >= KEEP_RESETS * 16.0 {
            0.5
        } else {
            1.0
        };
        let (reused, reset) = (
            reused * part + 1.0,
            resets * part + f64::from(u8::from(reset)),
        );
        bins[Keep::bin(idle)] = Some(Bin {
            reused,
            reset,
            last: now,
        });
    }

    /// Up to which time idle connections are worth keeping now.
    pub fn worth(&self) -> Duration {
        let Ok(bins) = self.bins.lock() else {
            return self.longest;
        };
        let now = Instant::now();
        let lost = |bin: &Bin| bin.reset >= KEEP_RESETS && bin.reset > KEEP_SHARE * bin.reused;
        let lost = |bin: &Option<Bin>| {
            bin.as_ref()
                .is_some_and(|bin| now < bin.last + KEEP_FORGET && lost(bin))
        };
        let first = bins.iter().position(lost);
        first.map_or(self.longest, |bin| {
            (KEEP_LEAST * (1 << bin)).min(self.longest)
        })
    }
}
