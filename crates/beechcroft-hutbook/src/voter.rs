//! A voter of the core: what it has promised and accepted, and how it comes back from a lost disk.

use crate::{bytes, Ballot, Value, VoterEpoch};
use beechcroft_railing::{stands, Guard};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one core machine asks of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Promise to accept nothing of an earlier ballot, and tell what was accepted last; its value only if it was
    /// accepted under another ballot than the one that `have` names.
    Prepare { register: usize, ballot: Ballot, have: Ballot },
    /// Accept a value; `quorum` are the promises that the round stands on.
    Accept { register: usize, ballot: Ballot, value: Value, quorum: Vec<VoterEpoch> },
    /// Accept under this ballot the value that was accepted under an earlier one, which needs not be sent again.
    Confirm { register: usize, ballot: Ballot, of: Ballot, quorum: Vec<VoterEpoch> },
    /// A membership's disk was lost, or its machine is gone for good, and a new epoch begins on that machine: let no round
    /// stand on the former one.
    Fence { voter_id: String, epoch: u64, holder: String },
}

/// Of each membership of the quorum, the latest epoch known of its disk, and the machine that holds it.
pub type Epochs = BTreeMap<String, (u64, String)>;

/// Takes what another knows of epochs; whether anything was new.
pub fn learn(epochs: &mut Epochs, told: &Epochs) -> bool {
    let mut new = false;
    for (voter_id, (epoch, holder)) in told {
        if epochs.get(voter_id).is_some_and(|held| held.0 < *epoch) {
            epochs.insert(voter_id.clone(), (*epoch, holder.clone()));
            new = true;
        }
    }
    new
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// No value where the one who asked has it.
    Promise { epoch: u64, accepted: Option<(Ballot, Option<Value>)> },
    /// With the epochs that the voter knows: what a former epoch of another membership says does not count beside it.
    Accepted { epoch: u64, epochs: Epochs },
    /// A later ballot has been promised, or the round stands on a lost disk.
    Refused { promised: Ballot, epochs: Epochs },
    /// All that a voter holds; `epoch` is the highest one known of the membership that was asked for.
    Copy { epoch: u64, voters: Vec<String>, epochs: Epochs, registers: [Register; 2] },
    /// Not a voter, or not yet again.
    Learner,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Register {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Value)>,
}

/// Who a voter is: kept on its disk before it first votes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// The membership that this machine holds: named for the machine that held it first.
    pub voter_id: String,
    pub epoch: u64,
    /// The memberships of the quorum, named for their first holders.
    pub voters: Vec<String>,
    pub epochs: Epochs,
}

/// One core machine's part in the agreement.
///
/// An empty disk where the system has run before is a learner. It draws an epoch above all that are known of it,
/// and asks the others to fence its former one; it votes again once n - f voters with whole disks have done so
/// and it holds the highest promise and the highest accepted value among them. Any majority shares a voter
/// with those n - f, so a round that still counts on the former epoch's promise is refused by one of its own
/// majority, and a value that the former epoch helped to choose is among the copies.
#[derive(Clone, Debug)]
pub struct Voter {
    name: String,
    losses: usize,
    pub identity: Option<Identity>,
    /// Tables of the disk that this version of the program cannot read, each with why.
    pub unreadable: Vec<String>,
    registers: [Register; 2],
    salt: u64,
    /// While it learns: its new epoch, and the copies of those that have fenced the former one.
    learning: Option<Learning>,
}

#[derive(Clone, Debug)]
struct Learning {
    voter_id: String,
    epoch: u64,
    copies: BTreeMap<String, [Register; 2]>,
}

/// What is to be on disk before a reply goes out.
pub type Records = Vec<(String, Vec<u8>)>;

/// A record of the table. Each name has one type, stated where [`Voter::new`] reads it.
fn record<T: Serialize>(name: &str, value: &T) -> (String, Vec<u8>) {
    (name.to_owned(), bytes::encode(value))
}

/// What a disk holds: an identity, unless it is none or was given up, and registers.
fn read_all(
    table: &BTreeMap<String, Vec<u8>>, unreadable: &mut Vec<String>,
) -> (Option<Identity>, [Register; 2]) {
    let mut said = |name: &str, why: bytes::Unreadable| unreadable.push(format!("{name}: {why}"));
    let identity = table.get("identity").filter(|held| !held.is_empty());
    let identity = identity.and_then(|held| bytes::decode(held).map_err(|why| said("identity", why)).ok());
    let registers = ["register-0", "register-1"].map(|name| {
        let read = table.get(name).map(|held| bytes::decode(held).map_err(|why| said(name, why)));
        read.and_then(Result::ok).unwrap_or_default()
    });
    (identity, registers)
}

impl Voter {
    /// From what the disk holds. `losses`: how many voters may be lost at once; `salt`: drawn by each process,
    /// so that two epochs of a disk that were both lost early do not share a number.
    pub fn new(name: &str, losses: usize, salt: u64, table: &BTreeMap<String, Vec<u8>>) -> Voter {
        let mut unreadable = Vec::new();
        let (found, registers) = read_all(table, &mut unreadable);
        // One table that cannot be read is a lost disk: what the others say was perhaps never promised together with it.
        let identity = found.filter(|_| unreadable.is_empty());
        // Whoever holds no membership brings nothing into the next one: what it accepted after it had lost its own was read
        // from no majority, and may stand under a higher ballot than what was chosen.
        let registers = identity.as_ref().map(|_| registers).unwrap_or_default();
        Voter { name: name.to_owned(), losses, registers, identity, unreadable, salt, learning: None }
    }

    pub fn voters(&self) -> &[String] {
        self.identity.as_ref().map_or(&[], |identity| &identity.voters)
    }

    /// The highest ballot seen.
    pub fn highest(&self) -> u64 {
        self.registers.iter().map(|register| register.promised.count).max().unwrap_or(0)
    }

    pub fn register(&self, register: usize) -> &Register {
        &self.registers[register]
    }

    /// All that a voter stands on, as it is now.
    pub fn records(&self) -> Records {
        let Some(identity) = &self.identity else { return Vec::new() };
        vec![
            record("register-0", &self.registers[0]),
            record("register-1", &self.registers[1]),
            record("identity", identity),
        ]
    }

    /// At the first start of the whole system: the voters are these.
    pub fn found(&mut self, voters: Vec<String>) -> Records {
        let epochs = voters.iter().map(|name| (name.clone(), (1, name.clone()))).collect();
        self.identity = Some(Identity { voter_id: self.name.clone(), epoch: 1, voters, epochs });
        vec![record("identity", self.identity.as_ref().expect("just set"))]
    }

    /// What to ask all others for, while this machine learns: its own membership after a lost disk, or one whose machine is
    /// gone for good.
    pub fn fence(&mut self, voter_id: &str) -> Option<Ask> {
        if self.identity.is_some() {
            return None;
        }
        if self.learning.as_ref().is_none_or(|learning| learning.voter_id != voter_id) {
            let epoch = 2 + (self.salt >> 2);
            self.learning = Some(Learning { voter_id: voter_id.to_owned(), epoch, copies: BTreeMap::new() });
        }
        let learning = self.learning.as_ref()?;
        Some(Ask::Fence {
            voter_id: learning.voter_id.clone(),
            epoch: learning.epoch,
            holder: self.name.clone(),
        })
    }

    /// An answer to a fence, from the machine that holds another membership. Records, once this machine votes.
    pub fn fenced(&mut self, from: &str, asked_epoch: u64, reply: Reply) -> Option<Records> {
        let Reply::Copy { epoch, voters, mut epochs, registers } = reply else { return None };
        let learning = self.learning.as_mut()?;
        if epoch > learning.epoch {
            // Others know a later epoch: begin again above it.
            (learning.epoch, learning.copies) = (epoch + 1, BTreeMap::new());
            return None;
        }
        if asked_epoch != learning.epoch || !voters.contains(&learning.voter_id) || from == learning.voter_id
        {
            return None;
        }
        learning.copies.insert(from.to_owned(), registers);
        if learning.copies.len() < voters.len() - self.losses {
            return None;
        }
        let Learning { voter_id, epoch, copies } = self.learning.take()?;
        for copy in copies.into_values() {
            for (held, theirs) in self.registers.iter_mut().zip(copy) {
                held.promised = held.promised.max(theirs.promised);
                if theirs.accepted.as_ref().map(|a| a.0) > held.accepted.as_ref().map(|a| a.0) {
                    held.accepted = theirs.accepted;
                }
            }
        }
        epochs.insert(voter_id.clone(), (epoch, self.name.clone()));
        self.identity = Some(Identity { voter_id, epoch, voters, epochs });
        Some(vec![
            record("register-0", &self.registers[0]),
            record("register-1", &self.registers[1]),
            record("identity", self.identity.as_ref().expect("just set")),
        ])
    }

    /// Takes what others know of epochs. A machine whose membership has a later epoch elsewhere does not vote any more: what
    /// is to be on disk, if anything was new.
    pub fn learn(&mut self, told: &Epochs) -> Option<Records> {
        let identity = self.identity.as_mut()?;
        if !learn(&mut identity.epochs, told) {
            return None;
        }
        let deposed =
            identity.epochs.get(&identity.voter_id).is_some_and(|(epoch, _)| *epoch > identity.epoch);
        if deposed {
            self.identity = None;
            self.registers = Default::default();
            return Some(vec![("identity".to_owned(), Vec::new())]);
        }
        Some(vec![record("identity", identity)])
    }

    /// Takes an ask: the reply, and what must be on disk before it goes out.
    pub fn ask(&mut self, ask: Ask) -> (Reply, Records) {
        let Some(identity) = &mut self.identity else { return (Reply::Learner, Vec::new()) };
        match ask {
            Ask::Prepare { register, ballot, have } => {
                let held = &mut self.registers[register];
                if ballot <= held.promised {
                    let epochs = identity.epochs.clone();
                    return (Reply::Refused { promised: held.promised, epochs }, Vec::new());
                }
                held.promised = ballot;
                let accepted = held.accepted.as_ref();
                let accepted = accepted.map(|(of, value)| (*of, (*of != have).then(|| value.clone())));
                let reply = Reply::Promise { epoch: identity.epoch, accepted };
                (reply, vec![record(&format!("register-{register}"), held)])
            }
            Ask::Accept { register, ballot, value, quorum } => {
                Self::accept(identity, &mut self.registers[register], register, ballot, &quorum, |_| {
                    Some(value)
                })
            }
            Ask::Confirm { register, ballot, of, quorum } => {
                let held = |held: &Register| {
                    let (under, value) = held.accepted.as_ref()?;
                    (*under == of).then(|| value.clone())
                };
                Self::accept(identity, &mut self.registers[register], register, ballot, &quorum, held)
            }
            Ask::Fence { voter_id, epoch, holder } => {
                let known = identity.epochs.entry(voter_id).or_insert((0, holder.clone()));
                if epoch > known.0 {
                    *known = (epoch, holder);
                }
                let epoch = known.0;
                let records = vec![record("identity", identity)];
                let identity = self.identity.as_ref().expect("checked above");
                let reply = Reply::Copy {
                    epoch,
                    voters: identity.voters.clone(),
                    epochs: identity.epochs.clone(),
                    registers: self.registers.clone(),
                };
                (reply, records)
            }
        }
    }

    fn accept(
        identity: &Identity, held: &mut Register, register: usize, ballot: Ballot, quorum: &[VoterEpoch],
        value: impl FnOnce(&Register) -> Option<Value>,
    ) -> (Reply, Records) {
        let fenced = |(voter_id, epoch): &VoterEpoch| {
            identity.epochs.get(voter_id).is_some_and(|known| known.0 > *epoch)
        };
        let lost = stands(Guard::FencedPromises) && quorum.iter().any(fenced);
        let prior = stands(Guard::PriorBallots) && ballot < held.promised;
        let value = if prior || lost { None } else { value(held) };
        let epochs = identity.epochs.clone();
        let Some(value) = value else {
            return (Reply::Refused { promised: held.promised, epochs }, Vec::new());
        };
        held.promised = ballot;
        held.accepted = Some((ballot, value));
        (
            Reply::Accepted { epoch: identity.epoch, epochs },
            vec![record(&format!("register-{register}"), held)],
        )
    }
}
