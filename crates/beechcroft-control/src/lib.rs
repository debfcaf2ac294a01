//! The control plane: the program of the core machines.
//!
//! A control node keeps the control state and says where clients go. [`run::run`] puts its parts together:
//!
//! - [`state_owner`] owns all state behind one queue of commands and never awaits;
//! - [`api`], [`directory`] and [`internal_api`] turn calls into commands;
//! - [`disk`] writes records on a thread of its own.

#![warn(missing_docs)]

pub mod api;
pub mod directory;
pub mod disk;
pub mod internal_api;
pub mod run;
pub mod state_owner;
