//! A voter of the core: what it has promised and accepted, and how it comes back from a lost disk.

use crate::{bytes, Ballot, Value, VoterEpoch};
use beechcroft_safeguards::Safeguard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one core machine asks of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Promise to accept nothing of an earlier ballot, and tell what was accepted last; its value only if it was
    /// accepted under another ballot than the one that `have` names.
    Prepare {
        register: usize,
        ballot: Ballot,
        have: Ballot,
    },
    /// Accept a value; `quorum` are the promises that the round stands on.
    Accept {
        register: usize,
        ballot: Ballot,
        value: Value,
        quorum: Vec<VoterEpoch>,
    },
    /// Accept under this ballot the value that was accepted under an earlier one, which needs not be sent again.
    Confirm {
        register: usize,
        ballot: Ballot,
        of: Ballot,
        quorum: Vec<VoterEpoch>,
    },
    /// A membership's disk was lost, or its machine is gone for good, and a new epoch begins on that machine: let no round
    /// stand on the former one.
    Fence {
        voter_id: String,
        epoch: u64,
        holder: String,
    },
    /// What another core machine knows of epochs; `by`: the membership that it holds.
    Tell {
        by: Option<VoterEpoch>,
        epochs: Epochs,
    },
}

/// Of each membership of the quorum, the latest epoch known of its disk, and the machine that holds it.
pub type Epochs = BTreeMap<String, (u64, String)>;

/// Takes what another knows of epochs; whether anything was new.
pub fn learn(epochs: &mut Epochs, told: &Epochs) -> bool {
    let mut new = false;
    for (voter_id, (epoch, holder)) in told {
        let known = epochs.entry(voter_id.clone()).or_default();
        if known.0 < *epoch {
            *known = (*epoch, holder.clone());
            new = true;
        }
    }
    new
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// By the membership that the machine holds, which need not be the one that it was asked for. No value where the one who
    /// asked has it.
    Promise {
        voter_id: String,
        epoch: u64,
        accepted: Option<(Ballot, Option<Value>)>,
    },
    /// With the epochs that the voter knows: what a former epoch of another membership says does not count beside it.
    Accepted {
        voter_id: String,
        epoch: u64,
        epochs: Epochs,
    },
    /// A later ballot has been promised, or the round stands on a lost disk.
    Refused { promised: Ballot, epochs: Epochs },
    /// All that a voter holds. `by`: the membership and the epoch that it holds it as; `before`: the highest epoch that it
    /// knew of the membership that is asked for, before the one that the asker has drawn, if it still knows.
    Copy {
        by: VoterEpoch,
        before: Option<u64>,
        voters: Vec<String>,
        epochs: Epochs,
        registers: [Register; 2],
    },
    /// Not a voter, or not yet again.
    Learner,
    /// What a voter knows of epochs.
    Known { voters: Vec<String>, epochs: Epochs },
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
/// An empty disk where the system has run before is a learner. It draws an epoch above all that are known of its
/// membership and asks the others to fence the former one; it votes again once n - f voters with whole disks have done
/// so and it holds the highest promise and the highest accepted value among them. Any majority shares a voter
/// with those n - f, so a round that still counts on the former epoch's promise is refused by one of its own
/// majority, and a value that the former epoch helped to choose is among the copies.
///
/// A holder that is asked to let its own membership be taken votes no more from then on and hands over what it holds. That
/// is one of the n - f copies, if none of the others knows of an epoch between: the taker then goes on where the
/// holder ended, and f others are enough to show that nobody else did.
#[derive(Clone, Debug)]
pub struct Voter {
    name: String,
    losses: usize,
    pub identity: Option<Identity>,
    /// Tables of the disk that this version of the program cannot read, each with why.
    pub unreadable: Vec<String>,
    registers: [Register; 2],
    /// What this machine held as it was deposed, until it holds a membership again: for whoever takes that one.
    former: Option<(Identity, [Register; 2])>,
    /// Of each membership the latest epoch and the one that was known before; forgotten with the process.
    before: BTreeMap<String, (u64, u64)>,
    salt: u64,
    /// While it learns: its new epoch, and the copies of those that have fenced the former one.
    learning: Option<Learning>,
}

#[derive(Clone, Debug)]
struct Learning {
    voter_id: String,
    epoch: u64,
    /// All that those who answered know.
    epochs: Epochs,
    /// By membership.
    copies: BTreeMap<String, Copy>,
}

#[derive(Clone, Debug)]
struct Copy {
    epoch: u64,
    before: Option<u64>,
    registers: [Register; 2],
}

impl Learning {
    fn new(voter_id: &str, epoch: u64) -> Learning {
        let (epochs, copies) = (Epochs::new(), BTreeMap::new());
        Learning {
            voter_id: voter_id.to_owned(),
            epoch,
            epochs,
            copies,
        }
    }

    /// The copies that count, once there are enough: no membership's by an epoch that one of the others knows to be over, as
    /// its holder may lack what was chosen since.
    fn counted(&self, enough: usize) -> Option<Vec<&Copy>> {
        let holds = |(voter_id, copy): &(&String, &Copy)| {
            **voter_id != self.voter_id
                && (!Safeguard::FencedReplicaStates.is_enabled()
                    || self
                        .epochs
                        .get(*voter_id)
                        .is_none_or(|known| known.0 <= copy.epoch))
        };
        let mut counted: Vec<&Copy> = self
            .copies
            .iter()
            .filter(holds)
            .map(|(_, copy)| copy)
            .collect();
        // What the former holder handed over, if enough of the others have fenced the very epoch that it held it as: a
        // taker between has asked one of them.
        let handed = self.copies.get(&self.voter_id);
        if let Some(handed) = handed.filter(|_| counted.len() < enough) {
            let last = |copy: &Copy| {
                !Safeguard::SingleHandover.is_enabled()
                    || copy.before.is_some_and(|before| before <= handed.epoch)
            };
            counted.retain(|copy| last(copy));
            counted.extend(Some(handed).filter(|handed| last(handed)));
        }
        (counted.len() >= enough).then_some(counted)
    }
}

/// What is to be on disk before a reply goes out.
pub type Records = Vec<(String, Vec<u8>)>;

/// A record of the table. Each name has one type, stated where [`Voter::new`] reads it.
fn record<T: Serialize>(name: &str, value: &T) -> (String, Vec<u8>) {
    (name.to_owned(), bytes::encode(value))
}

/// What a disk holds: an identity, unless it is none or was given up; one that was given up to another machine; registers.
fn read_all(
    table: &BTreeMap<String, Vec<u8>>,
    unreadable: &mut Vec<String>,
) -> (Option<Identity>, Option<Identity>, [Register; 2]) {
    let mut said = |name: &str, why: bytes::Unreadable| unreadable.push(format!("{name}: {why}"));
    let [identity, former] = ["identity", "former"].map(|name| {
        let held = table.get(name).filter(|held| !held.is_empty());
        held.and_then(|held| bytes::decode(held).map_err(|why| said(name, why)).ok())
    });
    let registers = ["register-0", "register-1"].map(|name| {
        let read = table
            .get(name)
            .map(|held| bytes::decode(held).map_err(|why| said(name, why)));
        read.and_then(Result::ok).unwrap_or_default()
    });
    (identity, former, registers)
}

impl Voter {
    /// From what the disk holds. `losses`: how many voters may be lost at once; `salt`: drawn by each process,
    /// so that two epochs of a disk that were both lost early do not share a number.
    pub fn new(name: &str, losses: usize, salt: u64, table: &BTreeMap<String, Vec<u8>>) -> Voter {
        let mut unreadable = Vec::new();
        let (found, former, registers) = read_all(table, &mut unreadable);
        // One table that cannot be read is a lost disk: what the others say was perhaps never promised together with it.
        let identity = found.filter(|_| unreadable.is_empty());
        // Whoever holds no membership brings nothing into the next one: what it accepted after it had lost its own was read
        // from no majority, and may stand under a higher ballot than what was chosen.
        let former = former
            .filter(|_| unreadable.is_empty())
            .map(|former| (former, registers.clone()));
        let registers = identity.as_ref().map(|_| registers).unwrap_or_default();
        let (before, learning) = (BTreeMap::new(), None);
        Voter {
            name: name.to_owned(),
            losses,
            registers,
            identity,
            former,
            before,
            unreadable,
            salt,
            learning,
        }
    }

    /// The membership that this machine held before it was deposed, as it knows it.
    pub fn former(&self) -> Option<&Identity> {
        self.former.as_ref().map(|(identity, _)| identity)
    }

    pub fn voters(&self) -> &[String] {
        self.identity
            .as_ref()
            .map_or(&[], |identity| &identity.voters)
    }

    /// The highest ballot seen.
    pub fn highest(&self) -> u64 {
        self.registers
            .iter()
            .map(|register| register.promised.count)
            .max()
            .unwrap_or(0)
    }

    pub fn register(&self, register: usize) -> &Register {
        &self.registers[register]
    }

    /// All that a voter stands on, as it is now.
    pub fn records(&self) -> Records {
        let (identity, former, registers) = match (&self.identity, &self.former) {
            (Some(identity), _) => (record("identity", identity).1, Vec::new(), &self.registers),
            (None, Some((former, registers))) => {
                (Vec::new(), record("former", former).1, registers)
            }
            (None, None) => return Vec::new(),
        };
        let registers = [0, 1].map(|at| record(&format!("register-{at}"), &registers[at]));
        let identities = [
            ("identity".to_owned(), identity),
            ("former".to_owned(), former),
        ];
        registers.into_iter().chain(identities).collect()
    }

    /// At the first start of the whole system: the voters are these.
    pub fn found(&mut self, voters: Vec<String>) -> Records {
        let epochs = voters
            .iter()
            .map(|name| (name.clone(), (1, name.clone())))
            .collect();
        self.identity = Some(Identity {
            voter_id: self.name.clone(),
            epoch: 1,
            voters,
            epochs,
        });
        vec![record(
            "identity",
            self.identity.as_ref().expect("just set"),
        )]
    }

    /// What to ask all others for, while this machine learns: its own membership after a lost disk, or one whose machine is
    /// gone for good.
    pub fn fence(&mut self, voter_id: &str) -> Option<Ask> {
        if self.identity.is_some() {
            return None;
        }
        if self
            .learning
            .as_ref()
            .is_none_or(|learning| learning.voter_id != voter_id)
        {
            self.learning = Some(Learning::new(voter_id, 2 + (self.salt >> 2)));
        }
        let learning = self.learning.as_ref()?;
        Some(Ask::Fence {
            voter_id: learning.voter_id.clone(),
            epoch: learning.epoch,
            holder: self.name.clone(),
        })
    }

    /// An answer to a fence. Records, once this machine votes.
    pub fn fenced(&mut self, asked_epoch: u64, reply: Reply) -> Option<Records> {
        let Reply::Copy {
            by,
            before,
            voters,
            epochs,
            registers,
        } = reply
        else {
            return None;
        };
        let learning = self.learning.as_mut()?;
        let (known, holder) = epochs.get(&learning.voter_id)?;
        let anothers = *holder != self.name && Safeguard::SingleSuccessor.is_enabled();
        if *known > learning.epoch || *known == learning.epoch && anothers {
            // Others know a later epoch, or this one as another's: begin again above it, each at a distance of its own.
            let epoch = known + 1 + self.salt % 1021;
            *learning = Learning::new(&learning.voter_id, epoch);
            return None;
        }
        if asked_epoch != learning.epoch || !voters.contains(&learning.voter_id) {
            return None;
        }
        if !Safeguard::MergedEpochs.is_enabled() {
            learning.epochs.clear();
        }
        learn(&mut learning.epochs, &epochs);
        let (voter_id, epoch) = by;
        if learning
            .copies
            .get(&voter_id)
            .is_none_or(|held| held.epoch <= epoch)
        {
            learning.copies.insert(
                voter_id,
                Copy {
                    epoch,
                    before,
                    registers,
                },
            );
        }
        for copy in learning.counted(voters.len() - self.losses)? {
            for (held, theirs) in self.registers.iter_mut().zip(&copy.registers) {
                held.promised = held.promised.max(theirs.promised);
                if theirs.accepted.as_ref().map(|a| a.0) > held.accepted.as_ref().map(|a| a.0) {
                    held.accepted.clone_from(&theirs.accepted);
                }
            }
        }
        let Learning {
            voter_id,
            epoch,
            epochs,
            ..
        } = self.learning.take()?;
        self.identity = Some(Identity {
            voter_id,
            epoch,
            voters,
            epochs,
        });
        self.former = None;
        Some(self.records())
    }

    /// Takes what others know of epochs. A machine whose membership has a later epoch elsewhere does not vote any more: what
    /// is to be on disk, if anything was new.
    pub fn learn(&mut self, told: &Epochs) -> Option<Records> {
        let (identity, deposed) = match (&mut self.identity, &mut self.former) {
            (Some(identity), _) => (identity, false),
            (None, Some((former, _))) => (former, true),
            (None, None) => return None,
        };
        let before = identity.epochs.clone();
        if !learn(&mut identity.epochs, told) {
            return None;
        }
        for (voter_id, (epoch, _)) in &identity.epochs {
            let known = before.get(voter_id).map_or(0, |known| known.0);
            if known < *epoch {
                self.before.insert(voter_id.clone(), (*epoch, known));
            }
        }
        match deposed {
            true => None,
            false => Some(self.put_down()),
        }
    }

    /// Who this voter is, for its disk; if its membership is another's by now, it is none from here on.
    fn put_down(&mut self) -> Records {
        let over = |identity: &Identity| {
            let known = identity.epochs.get(&identity.voter_id);
            Safeguard::DeposedIsSilent.is_enabled()
                && known.is_some_and(|known| known.0 > identity.epoch)
        };
        if let Some(identity) = self.identity.take_if(|identity| over(identity)) {
            self.former = Some((identity, std::mem::take(&mut self.registers)));
        }
        match &self.identity {
            Some(identity) => vec![record("identity", identity)],
            None => self.records(),
        }
    }

    /// A membership is to be taken: what this machine has to give, as the holder of another or of that very one.
    fn asked_to_fence(&mut self, voter_id: String, epoch: u64, holder: String) -> (Reply, Records) {
        if !self.voters().contains(&voter_id)
            && self.former().is_none_or(|held| held.voter_id != voter_id)
        {
            return (self.known().unwrap_or(Reply::Learner), Vec::new());
        }
        let told = Epochs::from([(voter_id.clone(), (epoch, holder))]);
        self.learn(&told);
        let records = self.put_down();
        let (identity, registers) = match (&self.identity, &self.former) {
            (Some(identity), _) => (identity, &self.registers),
            (None, Some((former, registers))) if former.voter_id == voter_id => (former, registers),
            _ => return (Reply::Learner, Vec::new()),
        };
        let known = identity.epochs.get(&voter_id).map_or(0, |known| known.0);
        let before = self
            .before
            .get(&voter_id)
            .filter(|(epoch, _)| *epoch == known);
        let reply = Reply::Copy {
            by: (identity.voter_id.clone(), identity.epoch),
            before: before.map(|(_, before)| *before),
            voters: identity.voters.clone(),
            epochs: identity.epochs.clone(),
            registers: registers.clone(),
        };
        (reply, records)
    }

    /// Takes an ask: the reply, and what must be on disk before it goes out.
    pub fn ask(&mut self, ask: Ask) -> (Reply, Records) {
        let ask = match ask {
            Ask::Fence {
                voter_id,
                epoch,
                holder,
            } => return self.asked_to_fence(voter_id, epoch, holder),
            Ask::Tell { epochs, .. } => {
                let records = self.learn(&epochs).unwrap_or_default();
                return (self.known().unwrap_or(Reply::Learner), records);
            }
            ask => ask,
        };
        let Some(identity) = &mut self.identity else {
            return (Reply::Learner, Vec::new());
        };
        match ask {
            Ask::Prepare {
                register,
                ballot,
                have,
            } => {
                let held = &mut self.registers[register];
                if ballot <= held.promised {
                    let epochs = identity.epochs.clone();
                    return (
                        Reply::Refused {
                            promised: held.promised,
                            epochs,
                        },
                        Vec::new(),
                    );
                }
                held.promised = ballot;
                let accepted = held.accepted.as_ref();
                let accepted =
                    accepted.map(|(of, value)| (*of, (*of != have).then(|| value.clone())));
                let voter_id = identity.voter_id.clone();
                let reply = Reply::Promise {
                    voter_id,
                    epoch: identity.epoch,
                    accepted,
                };
                (reply, vec![record(&format!("register-{register}"), held)])
            }
            Ask::Accept {
                register,
                ballot,
                value,
                quorum,
            } => Self::accept(
                identity,
                &mut self.registers[register],
                register,
                ballot,
                &quorum,
                |_| Some(value),
            ),
            Ask::Confirm {
                register,
                ballot,
                of,
                quorum,
            } => {
                let held = |held: &Register| {
                    let (under, value) = held.accepted.as_ref()?;
                    (*under == of).then(|| value.clone())
                };
                Self::accept(
                    identity,
                    &mut self.registers[register],
                    register,
                    ballot,
                    &quorum,
                    held,
                )
            }
            Ask::Fence { .. } | Ask::Tell { .. } => unreachable!("answered above"),
        }
    }

    /// What this voter knows of epochs.
    fn known(&self) -> Option<Reply> {
        let identity = self.identity.as_ref()?;
        Some(Reply::Known {
            voters: identity.voters.clone(),
            epochs: identity.epochs.clone(),
        })
    }

    fn accept(
        identity: &Identity,
        held: &mut Register,
        register: usize,
        ballot: Ballot,
        quorum: &[VoterEpoch],
        value: impl FnOnce(&Register) -> Option<Value>,
    ) -> (Reply, Records) {
        let fenced = |(voter_id, epoch): &VoterEpoch| {
            identity
                .epochs
                .get(voter_id)
                .is_some_and(|known| known.0 > *epoch)
        };
        let lost = Safeguard::FencedPromises.is_enabled() && quorum.iter().any(fenced);
        let prior = Safeguard::StaleBallots.is_enabled() && ballot < held.promised;
        let value = if prior || lost { None } else { value(held) };
        let epochs = identity.epochs.clone();
        let Some(value) = value else {
            return (
                Reply::Refused {
                    promised: held.promised,
                    epochs,
                },
                Vec::new(),
            );
        };
        held.promised = ballot;
        held.accepted = Some((ballot, value));
        (
            Reply::Accepted {
                voter_id: identity.voter_id.clone(),
                epoch: identity.epoch,
                epochs,
            },
            vec![record(&format!("register-{register}"), held)],
        )
    }
}
