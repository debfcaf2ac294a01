//! Hot keys: detection of keys with a high rate of lookups, and spreading them over more endpoints.
//!
//! A service whose configuration sets `usualPlaces` above 0 serves each key at a few endpoints. [`HotKeyDetector`]
//! detects keys that are hot in the whole region, not only at one proxy, and sets the number of endpoints that each is
//! spread over. [`rank_endpoints`] selects these endpoints by weighted rendezvous hashing. [`SessionAffinity`] keeps a
//! client's lookups at the endpoint that has its last write.
//!
//! No I/O. Times are milliseconds of a monotonic clock.

#![warn(missing_docs)]

mod affinity;
mod detector;
mod rendezvous;

pub use affinity::SessionAffinity;
pub use detector::{
    HotKeyDetector, HotKeyReport, ServiceCapacity, SLOT_SHARE, TARGET_SHARE, TRACKED_KEYS,
};
pub use rendezvous::{key_hash, rank_endpoints, rendezvous_weight, Proximity};
