//! Hot keys: noticing keys that everybody asks for, and spreading them over more endpoints.
//!
//! A service whose configuration sets `usualPlaces` above 0 answers each key on a few endpoints. [`HotKeyDetector`]
//! notices a key that is hot for the whole region, not for one proxy, and says over how many endpoints it is spread.
//! [`rank_endpoints`] says over which ones, by weighted rendezvous hashing. [`SessionAffinity`] keeps a client's
//! lookups where its last write is known.
//!
//! No I/O; times are milliseconds of a steady clock.

#![warn(missing_docs)]

mod affinity;
mod detector;
mod rendezvous;

pub use affinity::SessionAffinity;
pub use detector::{
    HotKeyDetector, HotKeyReport, ServiceCapacity, SLOT_SHARE, TARGET_SHARE, TRACKED_KEYS,
};
pub use rendezvous::{key_hash, rank_endpoints, rendezvous_weight, Proximity};
