//! A voter of the core: what it has promised and accepted, and how it comes back from a lost disk.

use crate::{Ballot, Seat, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one core machine asks of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Promise to accept nothing of an earlier ballot, and tell what was accepted last; its value only if it was
    /// accepted under another ballot than the one that `have` names.
    Prepare { register: usize, ballot: Ballot, have: Ballot },
    /// Accept a value; `seats` are the promises that the round stands on.
    Accept { register: usize, ballot: Ballot, value: Value, seats: Vec<Seat> },
    /// Accept under this ballot the value that was accepted under an earlier one, which needs not be sent again.
    Confirm { register: usize, ballot: Ballot, of: Ballot, seats: Vec<Seat> },
    /// A machine's disk was lost and its new life begins: let no round stand on the former one.
    Fence { name: String, life: u64 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// No value where the one who asked has it.
    Promise {
        life: u64,
        accepted: Option<(Ballot, Option<Value>)>,
    },
    Accepted {
        life: u64,
    },
    /// A later ballot has been promised, or the round stands on a lost disk.
    Refused {
        promised: Ballot,
    },
    /// All that a voter holds; `life` is the highest one known of the machine that asked.
    Copy {
        life: u64,
        voters: Vec<String>,
        lives: BTreeMap<String, u64>,
        registers: [Register; 2],
    },
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
    pub life: u64,
    pub voters: Vec<String>,
    /// The latest life known of each voter's disk.
    pub lives: BTreeMap<String, u64>,
}

/// One core machine's part in the agreement.
///
/// An empty disk where the system has run before is a learner. It draws a life above all that are known of it,
/// and asks the others to fence its former one; it votes again once n - f voters with whole disks have done so
/// and it holds the highest promise and the highest accepted value among them. Any majority shares a voter
/// with those n - f, so a round that still counts on the former life's promise is refused by one of its own
/// majority, and a value that the former life helped to choose is among the copies.
#[derive(Debug)]
pub struct Voter {
    name: String,
    losses: usize,
    pub identity: Option<Identity>,
    registers: [Register; 2],
    salt: u64,
    /// While it learns: its new life, and the copies of those that have fenced the former one.
    learning: Option<(u64, BTreeMap<String, [Register; 2]>)>,
}

/// What is to be on disk before a reply goes out.
pub type Records = Vec<(String, Vec<u8>)>;

/// A record of the table. Each name has one type, stated where [`Voter::new`] reads it.
fn record<T: Serialize>(name: &str, value: &T) -> (String, Vec<u8>) {
    (name.to_owned(), postcard::to_stdvec(value).expect("plain data"))
}

impl Voter {
    /// From what the disk holds. `losses`: how many voters may be lost at once; `salt`: drawn by each process,
    /// so that two lives of a disk that were both lost early do not share a number.
    pub fn new(name: &str, losses: usize, salt: u64, table: &BTreeMap<String, Vec<u8>>) -> Voter {
        let read = |key: &str| table.get(key).map(Vec::as_slice);
        let register = |key| read(key).and_then(|bytes| postcard::from_bytes(bytes).ok()).unwrap_or_default();
        Voter {
            name: name.to_owned(),
            losses,
            identity: read("identity").and_then(|bytes| postcard::from_bytes(bytes).ok()),
            registers: [register("register-0"), register("register-1")],
            salt,
            learning: None,
        }
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

    /// At the first start of the whole system: the voters are these.
    pub fn found(&mut self, voters: Vec<String>) -> Records {
        let lives = voters.iter().map(|name| (name.clone(), 1)).collect();
        self.identity = Some(Identity { life: 1, voters, lives });
        vec![record("identity", self.identity.as_ref().expect("just set"))]
    }

    /// What to ask all others for, while this machine learns.
    pub fn fence(&mut self) -> Option<Ask> {
        if self.identity.is_some() {
            return None;
        }
        let (life, _) = self.learning.get_or_insert((2 + (self.salt >> 2), BTreeMap::new()));
        Some(Ask::Fence { name: self.name.clone(), life: *life })
    }

    /// An answer to a fence. Records, once this machine votes again.
    pub fn fenced(&mut self, from: &str, asked_life: u64, reply: Reply) -> Option<Records> {
        let Reply::Copy { life, voters, lives, registers } = reply else { return None };
        let (mine, copies) = self.learning.as_mut()?;
        if life > *mine {
            // Others know a later life: begin again above it.
            (*mine, *copies) = (life + 1, BTreeMap::new());
            return None;
        }
        if asked_life != *mine || !voters.contains(&self.name) {
            return None;
        }
        copies.insert(from.to_owned(), registers);
        if copies.len() < voters.len() - self.losses {
            return None;
        }
        let life = *mine;
        for copy in std::mem::take(copies).into_values() {
            for (held, theirs) in self.registers.iter_mut().zip(copy) {
                held.promised = held.promised.max(theirs.promised);
                if theirs.accepted.as_ref().map(|a| a.0) > held.accepted.as_ref().map(|a| a.0) {
                    held.accepted = theirs.accepted;
                }
            }
        }
        self.learning = None;
        let mut lives = lives;
        lives.insert(self.name.clone(), life);
        self.identity = Some(Identity { life, voters, lives });
        Some(vec![
            record("register-0", &self.registers[0]),
            record("register-1", &self.registers[1]),
            record("identity", self.identity.as_ref().expect("just set")),
        ])
    }

    /// Takes an ask: the reply, and what must be on disk before it goes out.
    pub fn ask(&mut self, ask: Ask) -> (Reply, Records) {
        let Some(identity) = &mut self.identity else { return (Reply::Learner, Vec::new()) };
        match ask {
            Ask::Prepare { register, ballot, have } => {
                let held = &mut self.registers[register];
                if ballot <= held.promised {
                    return (Reply::Refused { promised: held.promised }, Vec::new());
                }
                held.promised = ballot;
                let accepted = held.accepted.as_ref();
                let accepted = accepted.map(|(of, value)| (*of, (*of != have).then(|| value.clone())));
                let reply = Reply::Promise { life: identity.life, accepted };
                (reply, vec![record(&format!("register-{register}"), held)])
            }
            Ask::Accept { register, ballot, value, seats } => {
                Self::accept(identity, &mut self.registers[register], register, ballot, &seats, |_| {
                    Some(value)
                })
            }
            Ask::Confirm { register, ballot, of, seats } => {
                let held = |held: &Register| {
                    let (under, value) = held.accepted.as_ref()?;
                    (*under == of).then(|| value.clone())
                };
                Self::accept(identity, &mut self.registers[register], register, ballot, &seats, held)
            }
            Ask::Fence { name, life } => {
                let known = identity.lives.entry(name).or_insert(0);
                let mut records = Vec::new();
                if life > *known {
                    *known = life;
                }
                let life = *known;
                records.push(record("identity", self.identity.as_ref().expect("just set")));
                let identity = self.identity.as_ref().expect("checked above");
                let reply = Reply::Copy {
                    life,
                    voters: identity.voters.clone(),
                    lives: identity.lives.clone(),
                    registers: self.registers.clone(),
                };
                (reply, records)
            }
        }
    }

    fn accept(
        identity: &Identity, held: &mut Register, register: usize, ballot: Ballot, seats: &[Seat],
        value: impl FnOnce(&Register) -> Option<Value>,
    ) -> (Reply, Records) {
        let lost =
            seats.iter().any(|(name, life)| identity.lives.get(name).is_some_and(|known| known > life));
        let value = if ballot < held.promised || lost { None } else { value(held) };
        let Some(value) = value else { return (Reply::Refused { promised: held.promised }, Vec::new()) };
        held.promised = ballot;
        held.accepted = Some((ballot, value));
        (Reply::Accepted { life: identity.life }, vec![record(&format!("register-{register}"), held)])
    }
}
