//! The control plane: the program that control nodes run.
//!
//! The control nodes keep the configuration and the state of operations in a replicated store, receive the heartbeats
//! of units, and tell clients which proxies to use. [`run::run`] assembles a node from these parts:
//!
//! - [`state_owner`] owns all state behind one queue of commands and never awaits;
//! - [`api`], [`directory`] and [`internal_api`] turn HTTP calls into commands;
//! - [`disk`] writes records on a thread of its own.

#![warn(missing_docs)]

pub mod api;
pub mod directory;
pub mod disk;
pub mod internal_api;
pub mod run;
pub mod state_owner;
