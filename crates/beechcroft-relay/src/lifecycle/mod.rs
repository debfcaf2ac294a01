//! From start to exit: the command line, the configuration, the phases, the signals, and the start of all parts.

/// The command line.
pub mod command;
/// The configuration.
pub mod config;
/// Log lines.
pub mod logs;
/// Carries out the actions of the relay's actor.
pub mod outbound;
/// The phases of the process.
pub mod phases;
/// Start, reload and shutdown.
pub mod run;
/// Signal handlers.
pub mod signals;
