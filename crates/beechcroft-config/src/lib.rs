//! Types and validation of the settings of a process and of the configuration of the whole system.
//!
//! Each process reads its [`Settings`] from a file when it starts. The operator sends a [`Config`]; the control nodes
//! agree on it, and every node applies it. [`ServiceDefaults`], set by flags of the programs, fills in what it leaves
//! out. The names of the fields are the keys in files and API calls.

#![warn(missing_docs)]

pub mod config;
mod defaults;
pub mod settings;

pub use config::Config;
pub use defaults::ServiceDefaults;
pub use settings::Settings;
