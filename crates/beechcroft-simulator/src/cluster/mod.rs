//! Simulation of the whole cluster: the real programs run on simulated machines, and a checker verifies the history.

pub mod checker;
pub mod client;
pub mod disk;
pub mod generator;
pub mod history;
pub mod http;
pub mod mutants;
pub mod network;
pub mod process;
pub mod response_faults;
pub mod run;
pub mod scenario;
pub mod services;
pub mod unit;
pub mod world;

pub use checker::{Verdict, Violation};
pub use run::{run_manual, simulate, ManualRun, Report};
pub use scenario::Scenario;
