//! Registers, and the ballots and values that they hold.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Index, IndexMut};

/// One of the two registers. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterId {
    /// The operator's configuration: a [`crate::ConfigStore`].
    Config,
    /// Rollouts, evacuations, base versions and placements: a [`crate::OperationsState`].
    Operations,
}

impl RegisterId {
    /// Both registers, in the order of their indexes.
    pub const ALL: [RegisterId; 2] = [RegisterId::Config, RegisterId::Operations];

    /// The register whose index is the first byte of a request body. An empty body selects the first register, and an
    /// index out of range wraps around.
    pub fn from_body(body: &[u8]) -> RegisterId {
        let index = usize::from(body.first().copied().unwrap_or(0));
        RegisterId::ALL[index % RegisterId::ALL.len()]
    }

    /// The register's index in arrays, request bodies and record keys.
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for RegisterId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.index())
    }
}

/// A `T` for each register, indexed by [`RegisterId`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PerRegister<T>(pub [T; 2]);

impl<T> PerRegister<T> {
    /// Iterates over both registers with their values.
    pub fn iter(&self) -> impl Iterator<Item = (RegisterId, &T)> {
        RegisterId::ALL.into_iter().zip(&self.0)
    }

    /// Iterates over the values of both registers, mutably.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.iter_mut()
    }
}

impl<T> Index<RegisterId> for PerRegister<T> {
    type Output = T;

    fn index(&self, register: RegisterId) -> &T {
        &self.0[register.index()]
    }
}

impl<T> IndexMut<RegisterId> for PerRegister<T> {
    fn index_mut(&mut self, register: RegisterId) -> &mut T {
        &mut self.0[register.index()]
    }
}

/// The ballot of a round (the proposal number in Lamport's paper). Ballots are totally ordered. Each process draws a
/// random nonce, so that no two rounds share a ballot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Higher than the number of any ballot that the proposer had seen.
    pub number: u64,
    /// Distinguishes the ballots of processes that used the same number.
    pub nonce: u64,
}

/// The number of changes of a register: 0 before its first value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a register that was never written.
    pub const NONE: Revision = Revision(0);

    /// The revision after the next change.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The value of a register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The number of changes up to this value.
    pub revision: Revision,
    /// The encoded contents ([`crate::encoding`]).
    pub bytes: Vec<u8>,
}

impl Value {
    /// Whether this is the value of a register that was never written.
    pub fn is_initial(&self) -> bool {
        self.revision == Revision::NONE && self.bytes.is_empty()
    }
}

/// A value with the ballot under which it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot of the round that proposed the value.
    pub ballot: Ballot,
    /// The accepted value.
    pub value: Value,
}

/// The promise and the accepted value of an acceptor for one register.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// The highest promised ballot: nothing is accepted under a lower one.
    pub promised: Ballot,
    /// The latest accepted value. Invariant: its ballot is not above `promised`.
    pub accepted: Option<AcceptedValue>,
}

impl Register {
    /// The ballot of the latest accepted value; the lowest ballot if there is none.
    pub fn accepted_ballot(&self) -> Ballot {
        self.accepted
            .as_ref()
            .map_or(Ballot::default(), |accepted| accepted.ballot)
    }
}
