//! Settings and configurations of the system: their types and their checks.

pub mod config;
pub mod settings;
pub mod usual;

pub use config::Config;
pub use settings::Settings;
