//! Which units a relay keeps to. Where hundreds of relays each spread a few tasks a second over hundreds of units, each
//! meets a unit so seldom that nearly every task opens a connection, and learns nothing of any. Here a relay keeps to
//! as many as it meets often enough, by rendezvous hashing: a unit that comes or goes changes one place in the sets that
//! it belongs to and none in others, and a wider set begins with the narrower one. Sets chosen so are uneven; that they
//! are scattered, not neighbours on a ring, lets what units tell even them out (`held`).

use std::time::Duration;

/// Idle connections are kept for this part of the time after which the unit may close them, as a task written while it
/// closes one is lost.
pub const IDLE_KEEP_FRACTION: f64 = 0.5;
/// Meetings of a relay with each unit of its set within the time for which a connection is kept. At 4 one in 50 finds
/// it closed, as tasks come at random; more would leave fewer units to choose from.
const MEETINGS: f64 = 4.0;
/// Two to choose from, and one that may be ill.
const LEAST: usize = 3;

/// How many units a relay keeps to that sends so many tasks a second, and keeps an idle connection for `kept`.
pub fn subset_size(per_s: f64, kept: Duration) -> usize {
    ((per_s * kept.as_secs_f64() / MEETINGS).ceil() as usize).max(LEAST)
}

/// The units in the order in which this relay takes them, by their places in `keys`. Keys are hashes, the same at every
/// relay; equal ones keep their order.
pub fn rank_units(me: u32, keys: &[u32]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..keys.len()).collect();
    order.sort_by_cached_key(|&at| mix(me, keys[at]));
    order
}

/// A number that depends on both without pattern (the finalizer of SplitMix64).
fn mix(me: u32, key: u32) -> u64 {
    let mut z = (u64::from(me) << 32 | u64::from(key)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

/// Tasks a second, followed over `over`; from the start on as counted so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRate {
    count: f64,
    seconds: f64,
}

impl TaskRate {
    /// A while passed in which so many came.
    pub fn add(&mut self, count: f64, passed: Duration, over: Duration) {
        self.count += count;
        self.seconds += passed.as_secs_f64();
        let most = over.as_secs_f64();
        if self.seconds > most {
            self.count *= most / self.seconds;
            self.seconds = most;
        }
    }

    pub fn per_s(&self) -> f64 {
        self.count / self.seconds.max(1.0)
    }
}
