//! Limits that hold summed over all relays without asking any: further tries, cold units, the trial's share;
//! and the yard, which unit a request goes to. No I/O; times are milliseconds of a steady clock.

pub mod bucket;
pub mod yard;

pub use bucket::{Cold, Flow, Share, Tries};
pub use yard::{Choice, Keyed, Place, Side, Want, Why, Yard};
