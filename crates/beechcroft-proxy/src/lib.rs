//! The parts of trail, the program of the edge machines: `main.rs` puts them together.

pub mod carry;
pub mod guide;
pub mod offer;
pub mod pool;
pub mod run;
pub mod serve;
pub mod shared;
pub mod start;
