//! Registers, ballots and the values that registers hold.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Index, IndexMut};

/// One of the two registers. Its variants' order is its encoding on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterId {
    /// The operator's configuration: a [`crate::ConfigStore`].
    Config,
    /// Rollouts, evacuations, base versions and placements: a [`crate::OperationsState`].
    Operations,
}

impl RegisterId {
    /// Both registers, in the order of their encoding.
    pub const ALL: [RegisterId; 2] = [RegisterId::Config, RegisterId::Operations];

    /// The register that a call names by its index, in the first byte of its body.
    pub fn from_body(body: &[u8]) -> RegisterId {
        let index = usize::from(body.first().copied().unwrap_or(0));
        RegisterId::ALL[index % RegisterId::ALL.len()]
    }

    /// The register's place in arrays, in calls and in record keys.
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for RegisterId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.index())
    }
}

/// One `T` for each register.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PerRegister<T>(pub [T; 2]);

impl<T> PerRegister<T> {
    /// The values of both registers, each with its register.
    pub fn iter(&self) -> impl Iterator<Item = (RegisterId, &T)> {
        RegisterId::ALL.into_iter().zip(&self.0)
    }

    /// The values of both registers, mutable.
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

/// Orders rounds (a proposal number of the paper). The nonce is drawn anew by each process, so that no two rounds
/// share a ballot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Higher than that of any ballot that the proposer has seen.
    pub number: u64,
    /// Tells apart the rounds of processes that chose the same number.
    pub nonce: u64,
}

/// How often a register has changed: 0 before its first value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a register that was never written.
    pub const NONE: Revision = Revision(0);

    /// The revision of the next change.
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
    /// How often the register has changed.
    pub revision: Revision,
    /// The encoded contents: see [`crate::encoding`].
    pub bytes: Vec<u8>,
}

impl Value {
    /// Whether the register was never written.
    pub fn is_initial(&self) -> bool {
        self.revision == Revision::NONE && self.bytes.is_empty()
    }
}

/// A value with the ballot under which it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot of the round that had it accepted.
    pub ballot: Ballot,
    /// What was accepted.
    pub value: Value,
}

/// What an acceptor has promised and accepted in one register.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// Nothing is accepted under a lower ballot than this one.
    pub promised: Ballot,
    /// The latest value accepted. Invariant: its ballot is not above `promised`.
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
