//! Chooses the subset of units that a relay sends its tasks to.
//!
//! If hundreds of relays each spread a few tasks a second over hundreds of units, each relay sends to a given unit so
//! rarely that nearly every task opens a connection, and the relay learns nothing about any unit. A relay therefore
//! uses only as many units as it sends to often enough. The subset is chosen by rendezvous hashing: a unit that joins
//! or leaves changes one place in the subsets that it belongs to and none in others, and a larger subset begins with
//! the smaller one. Units then appear in unequal numbers of subsets. As the subsets are scattered, rather than
//! neighbours on a ring, load reports can even out the resulting load (see [`crate::load`]).

use std::time::Duration;

/// Fraction of a unit's idle timeout for which a relay keeps an idle connection. It is below 1 because a task that is
/// written while the unit closes the connection is lost.
pub const IDLE_KEEP_FRACTION: f64 = 0.5;
/// Tasks that a relay sends to each unit of its subset within the time for which it keeps an idle connection. As tasks
/// arrive at random, one in 50 finds its connection closed at 4; a higher value leaves fewer units to choose from.
const TASKS_PER_KEEP_TIME: f64 = 4.0;
/// Smallest subset: two units to choose from, and one that may be unhealthy.
const MIN_SUBSET_SIZE: usize = 3;

/// The number of units used by a relay that sends `per_s` tasks a second and keeps an idle connection for `keep_time`.
pub fn subset_size(per_s: f64, keep_time: Duration) -> usize {
    ((per_s * keep_time.as_secs_f64() / TASKS_PER_KEEP_TIME).ceil() as usize).max(MIN_SUBSET_SIZE)
}

/// The positions in `keys` of all units, ordered by this relay's preference. `keys` are hashes that are the same at
/// every relay; units with equal keys keep their order.
pub fn rank_units(relay: u32, keys: &[u32]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..keys.len()).collect();
    ranked.sort_by_cached_key(|&index| hash_pair(relay, keys[index]));
    ranked
}

/// Hashes a relay number and a unit key with the finalizer of SplitMix64.
fn hash_pair(relay: u32, key: u32) -> u64 {
    let mut z = (u64::from(relay) << 32 | u64::from(key)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

/// The rate of tasks over a sliding time window. Until a full window has passed it is the mean since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRate {
    count: f64,
    seconds: f64,
}

impl TaskRate {
    /// Counts `count` tasks that arrived in the last `elapsed`, with a window of length `window`.
    pub fn add(&mut self, count: f64, elapsed: Duration, window: Duration) {
        self.count += count;
        self.seconds += elapsed.as_secs_f64();
        let max_seconds = window.as_secs_f64();
        if self.seconds > max_seconds {
            self.count *= max_seconds / self.seconds;
            self.seconds = max_seconds;
        }
    }

    /// Tasks a second. Within the first second this is the count so far.
    pub fn per_s(&self) -> f64 {
        self.count / self.seconds.max(1.0)
    }
}
