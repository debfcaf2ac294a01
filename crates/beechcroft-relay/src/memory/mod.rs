//! What is kept while a relay runs: the module's actor with its open tasks and timers, and the list's actor.

pub mod list;
pub mod module;
pub mod tasks;
pub mod timers;
