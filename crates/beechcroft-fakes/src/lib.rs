//! Scripted peers, for tests and the lab. They speak the published protocols as far as the project uses them, and go wrong as
//! they are told.

pub mod store;
