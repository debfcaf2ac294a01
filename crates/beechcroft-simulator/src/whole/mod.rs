//! The whole system in a world: the programs as they run, on simulated machines, under an auditor.

pub mod actors;
pub mod audit;
pub mod day;
pub mod disk;
pub mod draw;
pub mod fabric;
pub mod mutants;
pub mod process;
pub mod scenario;
pub mod wires;
pub mod wrongs;

pub use audit::{Breach, Verdict};
pub use day::{by_hand, play, Hand, Report};
pub use scenario::Scenario;
