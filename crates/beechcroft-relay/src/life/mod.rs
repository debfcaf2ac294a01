//! From start to exit: the configuration, the phases, the signals, and how the parts are put together.

pub mod carrier;
pub mod command;
pub mod config;
pub mod logs;
pub mod phases;
pub mod run;
pub mod signals;
