//! The parts of hut, the program of the core machines: `main.rs` puts them on a machine.

pub mod desks;
pub mod disk;
pub mod keeper;
pub mod run;
