//! The control state, agreed by ballots among a majority of the core. There is no standing leader: whichever
//! core machine an order reaches runs a round. No I/O: events in, actions out.
//!
//! Two registers are agreed apart from each other: [`CONFIG`], the operator's configuration with the list of
//! voters, and [`ORDERS`], rollouts with their stages, evacuations and the versions that services run. A
//! register holds one value; a round reads the newest accepted one from a majority, applies the orders that
//! wait to it, and has the result accepted by a majority under its ballot. What a majority has accepted is
//! chosen, whatever is lost afterwards. An order that finds nothing to change is still confirmed by a round, so
//! that its answer speaks of a chosen value.
//!
//! A voter's disk that is lost takes promises with it. Each disk has an epoch; [`Voter`] says how an empty one
//! comes to vote again, and why no round may stand on what its former epoch promised.

pub mod bytes;
pub mod proposer;
pub mod state;
pub mod voter;

pub use proposer::{Action, Answer, Event, Proposer};
pub use state::{ConfigStore, Op, Orders, Placement, Rollout, Stage};
pub use voter::{Ask, Epochs, Identity, Reply, Voter};

use serde::{Deserialize, Serialize};

/// The register of the configuration.
pub const CONFIG: usize = 0;
/// The register of rollouts and evacuations.
pub const ORDERS: usize = 1;

/// Orders rounds. The nonce is drawn anew by each process, so that no two rounds share a ballot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    pub count: u64,
    pub nonce: u64,
}

/// A register's value: how often it has changed, and its bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    pub revision: u64,
    pub bytes: Vec<u8>,
}

/// A voter's name and the epoch of its disk.
pub type VoterEpoch = (String, u64);
