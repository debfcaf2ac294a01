//! Every sequence of attempts of one request.

use beechcroft_error::ErrorKind;
use beechcroft_retry::{AttemptOutcome, Decision, RetryState};

const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Rejected,
    AttemptOutcome::WrongEndpoint,
    AttemptOutcome::Unclear,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Failed,
];

/// Every sequence of three outcomes, with time and budget there or not at each.
fn all(is_idempotent: bool, mut each: impl FnMut(&[(AttemptOutcome, Decision)])) {
    for path in 0..(OUTCOMES.len() * 4).pow(3) {
        let mut state = RetryState::new(is_idempotent, 3);
        let mut steps = Vec::new();
        let mut code = path;
        for _ in 0..3 {
            let (end, time, budget) = (OUTCOMES[code % 6], code / 6 % 2 == 0, code / 12 % 2 == 0);
            code /= 24;
            state.attempt_started();
            let next = state.attempt_ended(end, time, || budget);
            steps.push((end, next));
            if next != Decision::Retry {
                break;
            }
        }
        each(&steps);
    }
}

#[test]
fn what_may_have_been_executed_and_is_not_idempotent_is_neither_retried_nor_promised() {
    all(false, |steps| {
        let maybe = |end: &AttemptOutcome| {
            !matches!(
                end,
                AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::WrongEndpoint
            )
        };
        let first = steps.iter().position(|(end, _)| maybe(end));
        if let Some(at) = first {
            assert_eq!(at, steps.len() - 1, "sent again: {steps:?}");
            let promised =
                matches!(steps[at].1, Decision::Respond(kind) if kind.promises_not_executed());
            assert!(!promised, "promised: {steps:?}");
        }
    });
}

#[test]
fn an_idempotent_request_that_may_have_been_executed_is_not_promised_either() {
    all(true, |steps| {
        let ran = steps.iter().any(|(end, _)| {
            !matches!(
                end,
                AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::WrongEndpoint
            )
        });
        if let (true, Some((_, Decision::Respond(kind)))) = (ran, steps.last()) {
            assert!(!kind.promises_not_executed(), "{steps:?}");
        }
    });
}

#[test]
fn a_request_that_did_not_arrive_asks_for_no_budget() {
    let mut state = RetryState::new(false, 2);
    state.attempt_started();
    assert_eq!(
        state.attempt_ended(AttemptOutcome::NotSent, true, || panic!("asked")),
        Decision::Retry
    );
    state.attempt_started();
    state.attempt_ended(AttemptOutcome::Rejected, true, || true);
    state.attempt_started();
    assert_eq!(
        state.attempt_ended(AttemptOutcome::Rejected, true, || true),
        Decision::Respond(ErrorKind::Overloaded)
    );
}
