//! Learns how long units, and the network between, keep an idle connection. Units state only the longest time, and a
//! connection that was dropped silently is detected only by the request that is lost on it.

use crate::wire::limits::{MIN_IDLE_TIMEOUT, MIN_RESETS, MIN_RESET_FRACTION, RESET_RETENTION};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Each is twice as wide as the one before, from [`MIN_IDLE_TIMEOUT`] on; the last one has no upper bound.
const BUCKETS: usize = 12;

#[derive(Clone, Copy)]
struct Bucket {
    reused: f64,
    reset: f64,
    last: Instant,
}

/// Counts reused connections, and those that were reset without a response, by how long they had been idle.
#[derive(Clone)]
pub struct IdleTimeout {
    max: Duration,
    buckets: Arc<Mutex<[Option<Bucket>; BUCKETS]>>,
}

impl IdleTimeout {
    /// `max` is in effect until resets are recorded.
    pub fn new(max: Duration) -> IdleTimeout {
        IdleTimeout {
            max,
            buckets: Arc::default(),
        }
    }

    fn bucket(idle: Duration) -> usize {
        let doublings = (idle.as_secs_f64() / MIN_IDLE_TIMEOUT.as_secs_f64())
            .max(1.0)
            .log2();
        (doublings as usize).min(BUCKETS - 1)
    }

    /// Records that a connection was reused after this idle time, and whether it was reset.
    pub fn record_reuse(&self, idle: Duration, reset: bool) {
        let Ok(mut buckets) = self.buckets.lock() else {
            return;
        };
        let now = Instant::now();
        let recent =
            buckets[IdleTimeout::bucket(idle)].filter(|bucket| now < bucket.last + RESET_RETENTION);
        let Bucket {
            reused,
            reset: resets,
            ..
        } = recent.unwrap_or(Bucket {
            reused: 0.0,
            reset: 0.0,
            last: now,
        });
        // Both counts are halved from time to time, so that they follow changes.
        let scale = if reused >= MIN_RESETS * 16.0 {
            0.5
        } else {
            1.0
        };
        let (reused, reset) = (
            reused * scale + 1.0,
            resets * scale + f64::from(u8::from(reset)),
        );
        buckets[IdleTimeout::bucket(idle)] = Some(Bucket {
            reused,
            reset,
            last: now,
        });
    }

    /// Up to which idle time connections are worth keeping now.
    pub fn current(&self) -> Duration {
        let Ok(buckets) = self.buckets.lock() else {
            return self.max;
        };
        let now = Instant::now();
        let is_lossy = |bucket: &Bucket| {
            bucket.reset >= MIN_RESETS && bucket.reset > MIN_RESET_FRACTION * bucket.reused
        };
        let is_recent_and_lossy = |bucket: &Option<Bucket>| {
            bucket
                .as_ref()
                .is_some_and(|bucket| now < bucket.last + RESET_RETENTION && is_lossy(bucket))
        };
        let first = buckets.iter().position(is_recent_and_lossy);
        first.map_or(self.max, |bucket| {
            (MIN_IDLE_TIMEOUT * (1 << bucket)).min(self.max)
        })
    }
}
