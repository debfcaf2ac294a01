//! Settings of a process and configurations of the system: their types and their checks.
//!
//! [`Settings`] are read once from the file of a machine. A [`Config`] comes from the operator, is agreed on by the
//! control nodes and is in force everywhere; [`ServiceDefaults`] completes it by flags of the programs. The names of
//! fields are the keys of files and calls.

#![warn(missing_docs)]

pub mod config;
mod defaults;
pub mod settings;

pub use config::Config;
pub use defaults::ServiceDefaults;
pub use settings::Settings;
