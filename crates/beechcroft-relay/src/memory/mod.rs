//! What is kept while a relay runs, beside the module's actor: the list's actor.

pub mod list;
