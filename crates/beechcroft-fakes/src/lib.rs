//! Fake servers for tests and the lab. They implement the published protocols as far as the project uses them, and
//! inject faults by script.

pub mod store;
