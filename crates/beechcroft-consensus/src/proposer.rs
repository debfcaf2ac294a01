//! The proposer: runs the rounds that make pending operations part of a chosen value.

use crate::round::{AppliedOperation, Round};
use crate::{
    AcceptedValue, Ballot, ConfigStore, Millis, Operation, OperationsState, PerRegister,
    RegisterId, ReplicaId, Request, Response, Value,
};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// A round that has not finished after this time is abandoned and retried.
const ROUND_TIMEOUT_MS: Millis = 1200;
/// Lower bound of the random backoff after a round that ended without result.
const BACKOFF_MIN_MS: Millis = 5;
/// Base of the backoff's upper bound, which doubles with each consecutive round without result.
const BACKOFF_BASE_MS: Millis = 30;
/// Maximum number of doublings of the backoff's upper bound.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Identifies a pending operation; assigned by the caller.
pub type ProposalId = u64;

/// An input to [`Proposer::step`].
#[derive(Debug)]
pub enum Event {
    /// The caller requests an operation.
    Propose {
        /// The caller's id for the operation.
        id: ProposalId,
        /// The register that the operation changes.
        register: RegisterId,
        /// The operation to apply to the register's value.
        operation: Operation,
        /// An operation that is not part of a proposed value by this time fails with [`ErrorKind::NoQuorum`].
        deadline: Millis,
    },
    /// The caller no longer waits for an operation.
    Cancel {
        /// The operation's id.
        id: ProposalId,
    },
    /// An acceptor has responded.
    Response {
        /// The replica that was addressed.
        from: ReplicaId,
        /// The register of the request.
        register: RegisterId,
        /// The ballot of the request.
        ballot: Ballot,
        /// The response.
        response: Response,
    },
    /// Called periodically: checks timeouts, deadlines and backoffs.
    Tick,
}

/// Looks up the latest value that this node's own acceptor has accepted in a register.
pub type LocalAccepted<'a> = dyn Fn(RegisterId) -> Option<AcceptedValue> + 'a;

/// The outcome of an operation: the chosen value that it is based on, or the reason why it failed.
pub type Outcome = Result<Value, Error>;

/// An output of [`Proposer::step`], to be carried out by the caller.
#[derive(Debug)]
pub enum Action {
    /// Send a request to the holders of replicas.
    Send {
        /// The addressed replicas; this node may hold one of them.
        to: Vec<ReplicaId>,
        /// The request to send.
        request: Request,
    },
    /// Report the outcome of an operation to its caller.
    Complete {
        /// The operation's id.
        id: ProposalId,
        /// The chosen value, or the error.
        outcome: Outcome,
    },
    /// A new value of a register has been chosen.
    Chosen {
        /// The register that has changed.
        register: RegisterId,
        /// The chosen value.
        value: Value,
    },
}

/// An operation that is queued or part of a round.
#[derive(Clone, Debug)]
pub(crate) struct PendingOperation {
    pub(crate) id: ProposalId,
    pub(crate) operation: Operation,
    pub(crate) deadline: Millis,
}

/// The queue of pending operations and the current round of one register.
#[derive(Clone, Debug, Default)]
struct Pipeline {
    /// Operations that are not part of a round, oldest first.
    queue: VecDeque<PendingOperation>,
    /// The round in progress. Invariant: at most one per register.
    round: Option<Round>,
    /// No round starts before this time (backoff).
    retry_at: Millis,
    /// Number of consecutive rounds that ended without result.
    conflicts: u32,
    /// The revision of the latest value that was chosen by a round of this proposer.
    chosen: crate::Revision,
}

/// A state transition of a round, caused by a response.
enum Progress {
    /// A majority has promised.
    Promised,
    /// A majority has accepted.
    Accepted,
    /// So many have rejected that the others are not a majority.
    Rejected,
}

/// The decoded contents of a register.
enum Contents {
    Config(ConfigStore),
    Operations(OperationsState),
}

impl Contents {
    fn decode(register: RegisterId, value: &Value) -> Result<Contents, Error> {
        match register {
            RegisterId::Config => ConfigStore::decode(value).map(Contents::Config),
            RegisterId::Operations => OperationsState::decode(value).map(Contents::Operations),
        }
    }

    fn apply(&mut self, operation: &Operation, rng: &mut Pcg64Mcg) -> Result<bool, Error> {
        match self {
            Contents::Config(store) => store.apply(operation),
            Contents::Operations(state) => state.apply(operation, rng),
        }
    }

    fn encode(&self) -> Vec<u8> {
        match self {
            Contents::Config(store) => store.encode(),
            Contents::Operations(state) => state.encode(),
        }
    }
}

/// The proposer role of a node: runs its rounds, one at a time for each register.
#[derive(Clone, Debug)]
pub struct Proposer {
    replicas: Vec<ReplicaId>,
    nonce: u64,
    /// The highest ballot number used or seen.
    highest_number: u64,
    rng: Pcg64Mcg,
    pipelines: PerRegister<Pipeline>,
}

impl Proposer {
    /// Creates a proposer without replicas, which starts no rounds until [`Proposer::set_replicas`] is called.
    ///
    /// `salt` must be random per process: it seeds the ballots' nonce, which keeps the ballots of processes apart.
    pub fn new(salt: u64) -> Proposer {
        let mut rng = Pcg64Mcg::seed_from_u64(salt);
        let nonce = rng.random();
        Proposer {
            replicas: Vec::new(),
            nonce,
            highest_number: 0,
            rng,
            pipelines: PerRegister::default(),
        }
    }

    /// Sets the replicas that rounds address. `highest_number` is the highest ballot number that this node has seen.
    pub fn set_replicas(&mut self, replicas: &[ReplicaId], highest_number: u64) {
        self.replicas = replicas.to_vec();
        self.highest_number = self.highest_number.max(highest_number);
    }

    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Handles an event and appends the resulting actions. `local` looks up the values that this node's own acceptor
    /// has accepted.
    pub fn step(
        &mut self,
        now: Millis,
        event: Event,
        local: &LocalAccepted,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Propose {
                id,
                register,
                operation,
                deadline,
            } => {
                let pending = PendingOperation {
                    id,
                    operation,
                    deadline,
                };
                self.pipelines[register].queue.push_back(pending);
                self.begin_round(now, register, local, actions);
            }
            Event::Cancel { id } => self.cancel(id),
            Event::Response {
                from,
                register,
                ballot,
                response,
            } => {
                self.on_response(now, &from, (register, ballot), response, actions);
                self.begin_round(now, register, local, actions);
            }
            Event::Tick => {
                for register in RegisterId::ALL {
                    self.expire_round(now, register);
                    self.expire_pending(now, register, actions);
                    self.begin_round(now, register, local, actions);
                }
            }
        }
    }

    /// Drops a queued operation. One that is part of a proposed value may still be chosen, but is not proposed again
    /// under another ballot.
    fn cancel(&mut self, id: ProposalId) {
        for pipeline in self.pipelines.values_mut() {
            pipeline.queue.retain(|pending| pending.id != id);
            let batch = pipeline.round.iter_mut().flat_map(|round| &mut round.batch);
            for applied in batch.filter(|applied| applied.pending.id == id) {
                applied.pending.deadline = 0;
            }
        }
    }

    /// Abandons a round that has exceeded [`ROUND_TIMEOUT_MS`].
    fn expire_round(&mut self, now: Millis, register: RegisterId) {
        let round = self.pipelines[register].round.as_ref();
        if round.is_some_and(|round| now.saturating_sub(round.started_at) > ROUND_TIMEOUT_MS) {
            self.abandon_round(now, register);
        }
    }

    /// Fails queued operations that are past their deadline. An operation that was part of an earlier round may still
    /// be chosen by it.
    fn expire_pending(&mut self, now: Millis, register: RegisterId, actions: &mut Vec<Action>) {
        self.pipelines[register].queue.retain(|pending| {
            let is_due = pending.deadline > now;
            if !is_due {
                let detail = "no majority of the control nodes answered in time";
                let outcome = Err(Error::new(ErrorKind::NoQuorum, detail));
                actions.push(Action::Complete {
                    id: pending.id,
                    outcome,
                });
            }
            is_due
        });
    }

    /// Ends a round without result, and puts its operations back at the head of the queue in their order.
    fn abandon_round(&mut self, now: Millis, register: RegisterId) {
        let pipeline = &mut self.pipelines[register];
        if let Some(round) = pipeline.round.take() {
            for applied in round.batch.into_iter().rev() {
                pipeline.queue.push_front(applied.pending);
            }
        }
        pipeline.conflicts += 1;
        // A round takes two round trips, so competing proposers may interrupt each other indefinitely. Exponential
        // backoff spreads their retries.
        let limit = BACKOFF_BASE_MS << pipeline.conflicts.min(BACKOFF_DOUBLINGS);
        pipeline.retry_at = now + self.rng.random_range(BACKOFF_MIN_MS..limit);
    }

    /// Begins a round if operations are queued and no round or backoff is in progress.
    fn begin_round(
        &mut self,
        now: Millis,
        register: RegisterId,
        local: &LocalAccepted,
        actions: &mut Vec<Action>,
    ) {
        let pipeline = &mut self.pipelines[register];
        let is_idle = pipeline.round.is_none() && now >= pipeline.retry_at;
        if self.replicas.is_empty() || pipeline.queue.is_empty() || !is_idle {
            return;
        }
        self.highest_number += 1;
        let ballot = Ballot {
            number: self.highest_number,
            nonce: self.nonce,
        };
        let accepted = local(register);
        let known = accepted
            .as_ref()
            .map_or(Ballot::default(), |accepted| accepted.ballot);
        pipeline.round = Some(Round::new(ballot, now, accepted));
        let request = Request::Prepare {
            register,
            ballot,
            known,
        };
        actions.push(Action::Send {
            to: self.replicas.clone(),
            request,
        });
    }

    fn on_response(
        &mut self,
        now: Millis,
        from: &str,
        (register, ballot): (RegisterId, Ballot),
        response: Response,
        actions: &mut Vec<Action>,
    ) {
        if let Response::Rejected { promised, .. } = &response {
            self.highest_number = self.highest_number.max(promised.number);
        }
        if !self.replicas.iter().any(|replica| replica == from) {
            return;
        }
        let (majority, all) = (self.majority(), self.replicas.len());
        let round = self.pipelines[register].round.as_mut();
        let Some(round) = round.filter(|round| round.ballot == ballot) else {
            return;
        };
        // The addressed node may hold another replica than this proposer knows of. Its responses count once, for the
        // replica that it reports, even if the node was addressed as several replicas.
        let responder = |replica: ReplicaId| match Safeguard::ResponderReplica.is_enabled() {
            true => replica,
            false => from.to_owned(),
        };
        let progress = match response {
            Response::Promise {
                replica,
                epoch,
                accepted,
            } if round.proposal.is_none() => {
                let promises = round.record_promise(responder(replica), epoch, accepted);
                (promises >= majority).then_some(Progress::Promised)
            }
            Response::Accepted {
                replica,
                epoch,
                epochs,
            } if round.proposal.is_some() => {
                let acceptances = round.record_acceptance(responder(replica), epoch, &epochs);
                (acceptances >= majority).then_some(Progress::Accepted)
            }
            Response::Rejected { .. } | Response::Learner => {
                let rejections = round.record_rejection(from);
                (rejections > all - majority).then_some(Progress::Rejected)
            }
            _ => None,
        };
        match progress {
            Some(Progress::Promised) => self.propose(now, register, actions),
            Some(Progress::Accepted) => self.complete_round(register, actions),
            Some(Progress::Rejected) => self.abandon_round(now, register),
            None => {}
        }
    }

    /// Begins phase 2 after a majority has promised: applies the pending operations to the newest accepted value and
    /// proposes the result.
    fn propose(&mut self, now: Millis, register: RegisterId, actions: &mut Vec<Action>) {
        if Safeguard::UnconditionalDeadline.is_enabled() {
            self.expire_pending(now, register, actions);
        }
        let Proposer {
            pipelines,
            rng,
            replicas,
            ..
        } = self;
        let pipeline = &mut pipelines[register];
        let Some(round) = pipeline.round.as_mut() else {
            return;
        };
        let newest = round.highest_accepted.take().unwrap_or_default();
        let mut contents = match Contents::decode(register, &newest.value) {
            Ok(contents) => contents,
            Err(error) => return pipeline.fail_pending(now, &error, actions),
        };
        let mut is_changed = false;
        for pending in pipeline.queue.drain(..) {
            let result = contents.apply(&pending.operation, rng);
            is_changed |= matches!(result, Ok(true));
            round.batch.push(AppliedOperation {
                pending,
                result: result.map(drop),
            });
        }
        if !Safeguard::CommittedRejections.is_enabled() {
            actions.extend(early_rejections(&round.batch));
        }
        let value = match is_changed {
            true => Value {
                revision: newest.value.revision.next(),
                bytes: contents.encode(),
            },
            false => newest.value,
        };
        round.propose(value.clone());
        let (ballot, quorum) = (round.ballot, round.quorum());
        // If the value is unchanged, replicas that already hold it are only asked to confirm it.
        let holds_value = |replica: &ReplicaId| {
            !is_changed && newest.ballot != Ballot::default() && round.holds(replica, newest.ballot)
        };
        let (holders, others): (Vec<ReplicaId>, Vec<ReplicaId>) =
            replicas.iter().cloned().partition(holds_value);
        if !holders.is_empty() {
            let (accepted, quorum) = (newest.ballot, quorum.clone());
            let request = Request::Confirm {
                register,
                ballot,
                accepted,
                quorum,
            };
            actions.push(Action::Send {
                to: holders,
                request,
            });
        }
        if !others.is_empty() {
            let request = Request::Accept {
                register,
                ballot,
                value,
                quorum,
            };
            actions.push(Action::Send {
                to: others,
                request,
            });
        }
    }

    /// A majority has accepted: the value is chosen.
    fn complete_round(&mut self, register: RegisterId, actions: &mut Vec<Action>) {
        let pipeline = &mut self.pipelines[register];
        let Some(Round {
            proposal: Some(proposal),
            batch,
            ..
        }) = pipeline.round.take()
        else {
            return;
        };
        let value = proposal.value;
        pipeline.conflicts = 0;
        if value.revision > pipeline.chosen {
            pipeline.chosen = value.revision;
            actions.push(Action::Chosen {
                register,
                value: value.clone(),
            });
        }
        actions.extend(batch.into_iter().map(|applied| Action::Complete {
            id: applied.pending.id,
            outcome: applied.result.map(|()| value.clone()),
        }));
    }
}

impl Pipeline {
    /// Fails all queued operations because the newest value cannot be decoded. That value is left in place.
    fn fail_pending(&mut self, now: Millis, error: &Error, actions: &mut Vec<Action>) {
        self.round = None;
        self.retry_at = now + ROUND_TIMEOUT_MS;
        let failed = self.queue.drain(..);
        actions.extend(failed.map(|pending| Action::Complete {
            id: pending.id,
            outcome: Err(error.clone()),
        }));
    }
}

/// Reports rejections before the value that they are based on is chosen. Only used in tests that disable
/// [`Safeguard::CommittedRejections`].
fn early_rejections(batch: &[AppliedOperation]) -> impl Iterator<Item = Action> + '_ {
    batch.iter().filter_map(|applied| {
        let error = applied.result.clone().err()?;
        Some(Action::Complete {
            id: applied.pending.id,
            outcome: Err(error),
        })
    })
}
