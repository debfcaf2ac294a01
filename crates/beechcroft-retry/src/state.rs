//! The retry state of a request across its attempts.

use beechcroft_error::ErrorKind;
use beechcroft_safeguards::Safeguard;

/// Maximum number of attempts that may fail before the request is sent. They cost nothing but time.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// How an attempt ended without a response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was not sent completely, so it cannot have been executed.
    NotSent,
    /// The endpoint reported that it did not execute the request (`Beechcroft-Not-Executed`).
    Rejected,
    /// Another endpoint answered at the address and did not execute the request (421).
    WrongEndpoint,
    /// Any other failure, such as a reset, a closed connection or an unusable response.
    Unclear,
    /// The time limit of the attempt has passed.
    TimedOut,
    /// The endpoint executed the request and reported a failure.
    Failed,
}

impl AttemptOutcome {
    /// Whether the request may have been executed in this attempt.
    pub fn may_have_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Unclear | AttemptOutcome::TimedOut | AttemptOutcome::Failed
        )
    }
}

/// The next step for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try another endpoint.
    Retry,
    /// Respond to the client with an error of the proxy's own.
    Respond(ErrorKind),
    /// Forward the endpoint's error response unchanged.
    ForwardFailure,
}

/// The state of a request across its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    is_idempotent: bool,
    /// Number of endpoints that the request may still be sent to.
    attempts_left: u32,
    /// Number of attempts that may still fail before sending.
    unsent_left: u32,
    may_have_executed: bool,
}

impl RetryState {
    /// The state of a request that has not been sent yet. `attempts` is the maximum number of endpoints that it may be
    /// sent to.
    pub fn new(is_idempotent: bool, attempts: u32) -> RetryState {
        RetryState {
            is_idempotent,
            attempts_left: attempts.max(1),
            unsent_left: MAX_UNSENT_ATTEMPTS,
            may_have_executed: false,
        }
    }

    /// Whether a hedged attempt may start while another attempt is in flight.
    pub fn may_hedge(&self) -> bool {
        self.is_idempotent && self.attempts_left > 0
    }

    /// Counts an attempt before the request is sent to an endpoint.
    pub fn attempt_started(&mut self) {
        debug_assert!(self.attempts_left > 0);
        self.attempts_left -= 1;
    }

    /// Decides what to do after the last attempt in flight has ended. `has_time` tells whether the deadline leaves time
    /// for another attempt. `budget` takes from the retry budget and is called only if the request would reach another
    /// endpoint.
    pub fn attempt_ended(
        &mut self,
        outcome: AttemptOutcome,
        has_time: bool,
        budget: impl FnOnce() -> bool,
    ) -> Decision {
        match outcome {
            AttemptOutcome::NotSent => {
                // The request did not arrive, so it uses up neither an attempt nor retry budget.
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

    /// Whether to send a request again that may have been executed.
    fn may_execute_again(&mut self, has_time: bool, budget: impl FnOnce() -> bool) -> bool {
        self.may_have_executed = true;
        let is_allowed = self.is_idempotent || !Safeguard::MaybeExecuted.is_enabled();
        is_allowed && has_time && self.attempts_left > 0 && budget()
    }

    /// Records the end of an attempt while another one is in flight; the other one determines the next step.
    pub fn hedged_attempt_ended(&mut self, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.attempts_left += 1;
        }
        self.may_have_executed |= outcome.may_have_executed();
    }

    /// The kind of error to respond with when no endpoint takes the request for this reason. If the request may have
    /// been executed, it is [`ErrorKind::ResponseLost`].
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
