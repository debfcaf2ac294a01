//! The list of units, followed for as long as the relay runs.

/// The watcher of the list.
pub mod unit_list;
