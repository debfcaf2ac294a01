//! Retries: what becomes of one request's attempts, and what its final response may promise.
//!
//! ```
//! use beechcroft_error::ErrorKind;
//! use beechcroft_retry::{AttemptOutcome, Decision, RetryState};
//!
//! let mut write = RetryState::new(false, 2); // not idempotent, two endpoints at most
//! write.attempt_started();
//! // The endpoint went silent: the write may have been executed, so it is not sent again.
//! let decision = write.attempt_ended(AttemptOutcome::TimedOut, true, || true);
//! assert_eq!(decision, Decision::Respond(ErrorKind::DeadlineExceeded));
//! ```
//!
//! A request that is not idempotent may be sent again only if it has surely not been executed, and only then may it be
//! rejected with a promise of that (rules TWICE and REFUSED). No I/O, no clock.

#![warn(missing_docs)]

mod classify;
mod state;

pub use classify::{classify, AttemptResponse, ResponseClass};
pub use state::{AttemptOutcome, Decision, RetryState};
