//! Rounds of ballots: how an order becomes part of a chosen value.

use crate::voter::{Ask, Epochs, Reply};
use crate::{Ballot, ConfigStore, Op, Orders, Value, VoterEpoch, CONFIG, ORDERS};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A round that has not ended by then is begun anew.
const ROUND_MS: u64 = 1200;

/// The pause after a round that met another is drawn from up to twice this, doubled with each further one.
const BACKOFF_MS: u64 = 30;
const BACKOFF_DOUBLINGS: u32 = 6;

/// The order, as its caller numbers it.
pub type OrderId = u64;

#[derive(Debug)]
pub enum Event {
    /// `until`: by then it has entered a round, or enters none.
    Order {
        id: OrderId,
        register: usize,
        op: Op,
        until: u64,
    },
    /// Nobody waits for the order any more.
    Withdrawn {
        id: OrderId,
    },
    Reply {
        from: String,
        register: usize,
        ballot: Ballot,
        reply: Reply,
    },
    Tick,
}

/// What a machine's own voter has accepted in a register.
pub type Own<'a> = dyn Fn(usize) -> Option<(Ballot, Value)> + 'a;

/// How an order ended.
pub type Answer = Result<Value, Error>;

#[derive(Debug)]
pub enum Action {
    /// To these voters; this machine may be among them.
    Ask {
        to: Vec<String>,
        ask: Ask,
    },
    Answer {
        id: OrderId,
        answer: Answer,
    },
    /// A value is chosen.
    Chosen {
        register: usize,
        value: Value,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    id: OrderId,
    op: Op,
    until: u64,
}

/// The orders that a round carries, with their outcome if it ends well.
type Carried = Vec<(Waiting, Result<(), Error>)>;

#[derive(Clone, Debug)]
struct Round {
    ballot: Ballot,
    began: u64,
    /// Who has promised: the epoch of its disk, and under which ballot it accepted last.
    promises: BTreeMap<String, (u64, Ballot)>,
    best: Option<(Ballot, Value)>,
    /// What this machine's own voter had accepted as the round began: others need not send it.
    have: Option<(Ballot, Value)>,
    /// Once promises of a majority are there: the value and who has accepted it.
    offered: Option<(Value, BTreeMap<String, u64>)>,
    /// Epochs that voters told of with their answers.
    epochs: Epochs,
    refusals: BTreeSet<String>,
    carried: Carried,
}

#[derive(Clone, Debug, Default)]
struct Side {
    queue: VecDeque<Waiting>,
    round: Option<Round>,
    not_before: u64,
    tries: u32,
    chosen: u64,
}

/// Applies the orders that wait, each with its outcome; whether any changed the value.
fn carry(
    queue: VecDeque<Waiting>,
    mut apply: impl FnMut(&Op) -> Result<bool, Error>,
) -> (Carried, bool) {
    let mut changed = false;
    let carried = queue.into_iter().map(|waiting| {
        let outcome = apply(&waiting.op);
        changed |= matches!(outcome, Ok(true));
        (waiting, outcome.map(drop))
    });
    (carried.collect(), changed)
}

/// Runs this machine's rounds, one at a time for each register.
#[derive(Clone, Debug)]
pub struct Proposer {
    voters: Vec<String>,
    nonce: u64,
    count: u64,
    rng: Pcg64Mcg,
    sides: [Side; 2],
}

impl Proposer {
    pub fn new(salt: u64) -> Proposer {
        let mut rng = Pcg64Mcg::seed_from_u64(salt);
        let nonce = rng.random();
        Proposer {
            voters: Vec::new(),
            nonce,
            count: 0,
            rng,
            sides: Default::default(),
        }
    }

    pub fn voters(&mut self, voters: &[String], highest: u64) {
        self.voters = voters.to_vec();
        self.count = self.count.max(highest);
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// `own`: what this machine's own voter has accepted in a register.
    pub fn on(&mut self, now: u64, event: Event, own: &Own, out: &mut Vec<Action>) {
        match event {
            Event::Order {
                id,
                register,
                op,
                until,
            } => {
                self.sides[register]
                    .queue
                    .push_back(Waiting { id, op, until });
                self.begin(now, register, own, out);
            }
            Event::Withdrawn { id } => {
                // One that was offered is on its way and may be chosen. It is offered under no further ballot.
                for side in &mut self.sides {
                    side.queue.retain(|waiting| waiting.id != id);
                    for (waiting, _) in side.round.iter_mut().flat_map(|round| &mut round.carried) {
                        if waiting.id == id {
                            waiting.until = 0;
                        }
                    }
                }
            }
            Event::Reply {
                from,
                register,
                ballot,
                reply,
            } => {
                self.reply(now, &from, register, ballot, reply, out);
                self.begin(now, register, own, out);
            }
            Event::Tick => {
                for register in [CONFIG, ORDERS] {
                    self.expire(now, register, out);
                    self.begin(now, register, own, out);
                }
            }
        }
    }

    /// Gives up what has waited too long, and rounds that hang.
    fn expire(&mut self, now: u64, register: usize, out: &mut Vec<Action>) {
        let side = &mut self.sides[register];
        if side
            .round
            .as_ref()
            .is_some_and(|round| now.saturating_sub(round.began) > ROUND_MS)
        {
            self.give_up(now, register);
        }
        self.drop_late(now, register, out);
    }

    /// Orders whose time is over enter no round any more. They may still be part of what an earlier round of theirs offered.
    fn drop_late(&mut self, now: u64, register: usize, out: &mut Vec<Action>) {
        self.sides[register].queue.retain(|waiting| {
            let keep = waiting.until > now;
            if !keep {
                let fault = Error::new(
                    ErrorKind::NoQuorum,
                    "no majority of the core answered in time",
                );
                out.push(Action::Answer {
                    id: waiting.id,
                    answer: Err(fault),
                });
            }
            keep
        });
    }

    /// Ends a round without result; what it carried waits again, in its order.
    fn give_up(&mut self, now: u64, register: usize) {
        let side = &mut self.sides[register];
        if let Some(round) = side.round.take() {
            for (waiting, _) in round.carried.into_iter().rev() {
                side.queue.push_front(waiting);
            }
        }
        side.tries += 1;
        // A round takes several ways of a message: the more often rounds met, the further apart they go.
        let most = BACKOFF_MS << side.tries.min(BACKOFF_DOUBLINGS);
        side.not_before = now + self.rng.random_range(5..most);
    }

    fn begin(&mut self, now: u64, register: usize, own: &Own, out: &mut Vec<Action>) {
        let side = &mut self.sides[register];
        if self.voters.is_empty()
            || side.round.is_some()
            || side.queue.is_empty()
            || now < side.not_before
        {
            return;
        }
        self.count += 1;
        let ballot = Ballot {
            count: self.count,
            nonce: self.nonce,
        };
        let have = own(register);
        let under = have
            .as_ref()
            .map_or(Ballot::default(), |(ballot, _)| *ballot);
        side.round = Some(Round {
            ballot,
            began: now,
            promises: BTreeMap::new(),
            best: None,
            have,
            offered: None,
            epochs: Epochs::new(),
            refusals: BTreeSet::new(),
            carried: Vec::new(),
        });
        let to = self.voters.clone();
        out.push(Action::Ask {
            to,
            ask: Ask::Prepare {
                register,
                ballot,
                have: under,
            },
        });
    }

    fn reply(
        &mut self,
        now: u64,
        from: &str,
        register: usize,
        ballot: Ballot,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        if let Reply::Refused { promised, .. } = &reply {
            self.count = self.count.max(promised.count);
        }
        let (majority, all) = (self.majority(), self.voters.len());
        if !self.voters.iter().any(|voter| voter == from) {
            return;
        }
        let Some(round) = self.sides[register]
            .round
            .as_mut()
            .filter(|round| round.ballot == ballot)
        else {
            return;
        };
        // Whoever asks may not know that a machine holds another membership by now: what it says counts for that one alone,
        // however often it is asked.
        let speaker = |voter_id: String| {
            if Safeguard::ResponderReplica.is_enabled() {
                voter_id
            } else {
                from.to_owned()
            }
        };
        match (reply, &mut round.offered) {
            (
                Reply::Promise {
                    voter_id,
                    epoch,
                    accepted,
                },
                None,
            ) => {
                let under = accepted
                    .as_ref()
                    .map_or(Ballot::default(), |(ballot, _)| *ballot);
                let value = match accepted {
                    None => None,
                    Some((_, Some(value))) => Some(value),
                    Some((under, None)) => match &round.have {
                        Some((have, value)) if *have == under => Some(value.clone()),
                        _ => return, // it says that we have what we have not
                    },
                };
                round.promises.insert(speaker(voter_id), (epoch, under));
                if value.is_some() && round.best.as_ref().is_none_or(|best| under > best.0) {
                    round.best = value.map(|value| (under, value));
                }
                if round.promises.len() >= majority {
                    self.offer(now, register, out);
                }
            }
            (
                Reply::Accepted {
                    voter_id,
                    epoch,
                    epochs,
                },
                Some((_, accepted)),
            ) => {
                accepted.insert(speaker(voter_id), epoch);
                for (voter_id, known) in epochs {
                    let held = round.epochs.entry(voter_id).or_default();
                    if held.0 < known.0 {
                        *held = known;
                    }
                }
                // What a membership's former epoch has accepted is lost with it. Any majority has a voter that was asked to
                // fence that epoch, so one of these answers tells of the later one.
                let epochs = &round.epochs;
                let counts = |(voter_id, epoch): &(&String, &u64)| {
                    !Safeguard::FencedAcceptances.is_enabled()
                        || epochs.get(*voter_id).is_none_or(|known| known.0 <= **epoch)
                };
                if accepted.iter().filter(counts).count() >= majority {
                    self.choose(register, out);
                }
            }
            (Reply::Refused { .. } | Reply::Learner, _) => {
                round.refusals.insert(from.to_owned());
                if round.refusals.len() > all - majority {
                    self.give_up(now, register);
                }
            }
            _ => {}
        }
    }

    /// A majority has promised: applies the orders to the newest accepted value and offers the result.
    fn offer(&mut self, now: u64, register: usize, out: &mut Vec<Action>) {
        if Safeguard::UnconditionalDeadline.is_enabled() {
            self.drop_late(now, register, out);
        }
        let side = &mut self.sides[register];
        let Some(round) = side.round.as_mut() else {
            return;
        };
        let (under, held) = round.best.take().unwrap_or_default();
        let queue = std::mem::take(&mut side.queue);
        let applied = if register == CONFIG {
            match ConfigStore::decode(&held) {
                Ok(mut store) => {
                    let (carried, changed) = carry(queue, |op| store.apply(op));
                    Ok((carried, changed.then(|| store.encode())))
                }
                Err(fault) => Err((queue, fault)),
            }
        } else {
            match Orders::decode(&held) {
                Ok(mut orders) => {
                    let (carried, changed) = carry(queue, |op| orders.apply(op, &mut self.rng));
                    Ok((carried, changed.then(|| orders.encode())))
                }
                Err(fault) => Err((queue, fault)),
            }
        };
        let bytes = match applied {
            Ok((carried, bytes)) => {
                round.carried = carried;
                bytes
            }
            // What cannot be read is left as it is: nothing is put in its place.
            Err((queue, fault)) => {
                side.round = None;
                side.not_before = now + ROUND_MS;
                let answers = queue
                    .into_iter()
                    .map(|waiting| (waiting.id, Err(fault.clone())));
                out.extend(answers.map(|(id, answer)| Action::Answer { id, answer }));
                return;
            }
        };
        let changed = bytes.is_some();
        let value = match bytes {
            Some(bytes) => Value {
                revision: held.revision + 1,
                bytes,
            },
            None => held,
        };
        let quorum: Vec<VoterEpoch> = round
            .promises
            .iter()
            .map(|(name, &(epoch, _))| (name.clone(), epoch))
            .collect();
        round.offered = Some((value.clone(), BTreeMap::new()));
        if !Safeguard::CommittedRejections.is_enabled() {
            let refused = round.carried.iter().filter_map(|(waiting, outcome)| {
                Some(Action::Answer {
                    id: waiting.id,
                    answer: Err(outcome.clone().err()?),
                })
            });
            out.extend(refused);
        }
        let ballot = round.ballot;
        // Whoever holds the very value, as nothing changes, is only told so.
        let holds = |voter: &String| {
            !changed
                && under != Ballot::default()
                && round
                    .promises
                    .get(voter)
                    .is_some_and(|&(_, of)| of == under)
        };
        let (holders, others): (Vec<String>, Vec<String>) =
            self.voters.iter().cloned().partition(holds);
        if !holders.is_empty() {
            let ask = Ask::Confirm {
                register,
                ballot,
                of: under,
                quorum: quorum.clone(),
            };
            out.push(Action::Ask { to: holders, ask });
        }
        if !others.is_empty() {
            out.push(Action::Ask {
                to: others,
                ask: Ask::Accept {
                    register,
                    ballot,
                    value,
                    quorum,
                },
            });
        }
    }

    /// A majority has accepted.
    fn choose(&mut self, register: usize, out: &mut Vec<Action>) {
        let side = &mut self.sides[register];
        let Some(Round {
            offered: Some((value, _)),
            carried,
            ..
        }) = side.round.take()
        else {
            return;
        };
        side.tries = 0;
        if value.revision > side.chosen {
            side.chosen = value.revision;
            out.push(Action::Chosen {
                register,
                value: value.clone(),
            });
        }
        for (waiting, outcome) in carried {
            out.push(Action::Answer {
                id: waiting.id,
                answer: outcome.map(|()| value.clone()),
            });
        }
    }
}
