//! The state of a request among its attempts.

use beechcroft_error::ErrorKind;
use beechcroft_safeguards::Safeguard;

/// How many attempts may fail before anything was sent. They cost nothing but time.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// How an attempt ended, if not with a response that is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No complete request has left this machine: it did not arrive and cannot be executed.
    NotSent,
    /// The unit says that it did not execute the request (`Beechcroft-Not-Executed`).
    Rejected,
    /// Another unit answers at the address and has not executed the request (421).
    WrongEndpoint,
    /// Anything else: a reset, a close, an unusable response.
    Unclear,
    /// The time for the attempt is over.
    TimedOut,
    /// The unit executed the request and failed.
    Failed,
}

impl AttemptOutcome {
    /// Whether the request may have been executed in the attempt.
    pub fn may_have_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Unclear | AttemptOutcome::TimedOut | AttemptOutcome::Failed
        )
    }
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another endpoint is tried.
    Retry,
    /// The system responds itself.
    Respond(ErrorKind),
    /// The unit's own failure is forwarded as it is.
    ForwardFailure,
}

/// The state of a request among its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    is_idempotent: bool,
    /// Endpoints that it may still be sent to.
    attempts_left: u32,
    /// Attempts that may still fail before anything is sent.
    unsent_left: u32,
    may_have_executed: bool,
}

impl RetryState {
    /// A request that was not sent yet. `attempts`: the largest number of endpoints that it may be sent to.
    pub fn new(is_idempotent: bool, attempts: u32) -> RetryState {
        RetryState {
            is_idempotent,
            attempts_left: attempts.max(1),
            unsent_left: MAX_UNSENT_ATTEMPTS,
            may_have_executed: false,
        }
    }

    /// Whether a hedged attempt may begin beside the one that is under way.
    pub fn may_hedge(&self) -> bool {
        self.is_idempotent && self.attempts_left > 0
    }

    /// The request is about to be sent to an endpoint.
    pub fn attempt_started(&mut self) {
        debug_assert!(self.attempts_left > 0);
        self.attempts_left -= 1;
    }

    /// An attempt has ended and no other one is under way. `has_time`: the deadline leaves time for another one. `budget`
    /// is asked, and taken from, only if another request would arrive somewhere.
    pub fn attempt_ended(
        &mut self,
        outcome: AttemptOutcome,
        has_time: bool,
        budget: impl FnOnce() -> bool,
    ) -> Decision {
        match outcome {
            AttemptOutcome::NotSent => {
                // It did not arrive: neither an attempt nor the budget is spent.
                self.attempts_left += 1;
                self.unsent_left = self.unsent_left.saturating_sub(1);
                match has_time && self.unsent_left > 0 {
                    true => Decision::Retry,
                    false => self.reject(),
                }
            }
            AttemptOutcome::Rejected | AttemptOutcome::WrongEndpoint => {
                match has_time && self.attempts_left > 0 && budget() {
                    true => Decision::Retry,
                    false => self.reject(),
                }
            }
            AttemptOutcome::Unclear | AttemptOutcome::TimedOut => {
                if self.may_execute_again(has_time, budget) {
                    Decision::Retry
                } else if !has_time || outcome == AttemptOutcome::TimedOut {
                    Decision::Respond(ErrorKind::DeadlineExceeded)
                } else {
                    self.reject()
                }
            }
            AttemptOutcome::Failed => match self.may_execute_again(has_time, budget) {
                true => Decision::Retry,
                false => Decision::ForwardFailure,
            },
        }
    }

    /// The request may have been executed: whether it may be sent again.
    fn may_execute_again(&mut self, has_time: bool, budget: impl FnOnce() -> bool) -> bool {
        self.may_have_executed = true;
        let is_allowed = self.is_idempotent || !Safeguard::MaybeExecuted.is_enabled();
        is_allowed && has_time && self.attempts_left > 0 && budget()
    }

    /// An attempt has ended while another one is under way: that one decides.
    pub fn hedged_attempt_ended(&mut self, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.attempts_left += 1;
        }
        self.may_have_executed |= outcome.may_have_executed();
    }

    /// The error of a response where no endpoint takes the request, for a reason of this kind.
    pub fn no_endpoint_error(&self, reason: ErrorKind) -> ErrorKind {
        match self.may_have_executed {
            true => ErrorKind::ResponseLost,
            false => reason,
        }
    }

    fn reject(&self) -> Decision {
        Decision::Respond(self.no_endpoint_error(ErrorKind::Overloaded))
    }
}
