//! Retries: the decision after each attempt of a request, and what its final response may promise.
//!
//! ```
//! use beechcroft_error::ErrorKind;
//! use beechcroft_retry::{AttemptOutcome, Decision, RetryState};
//!
//! let mut write = RetryState::new(false, 2); // not idempotent, two endpoints at most
//! write.attempt_started();
//! // The endpoint did not respond. The write may have been executed, so it is not sent again.
//! let decision = write.attempt_ended(AttemptOutcome::TimedOut, true, || true);
//! assert_eq!(decision, Decision::Respond(ErrorKind::DeadlineExceeded));
//! ```
//!
//! A request that is not idempotent is sent again only if it has certainly not been executed. Only then may its
//! response promise that it was not executed (rules TWICE and REFUSED). No I/O and no clock.

#![warn(missing_docs)]

mod classify;
mod state;

pub use classify::{classify, AttemptResponse, ResponseClass};
pub use state::{AttemptOutcome, Decision, RetryState};
