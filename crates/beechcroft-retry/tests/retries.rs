//! Retry decisions over all sequences of attempts of one request.

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

/// Calls `check` with every sequence of three outcomes, each with and without remaining time and retry budget.
fn for_each_sequence(is_idempotent: bool, mut check: impl FnMut(&[(AttemptOutcome, Decision)])) {
    for sequence in 0..(OUTCOMES.len() * 4).pow(3) {
        let mut state = RetryState::new(is_idempotent, 3);
        let mut steps = Vec::new();
        let mut code = sequence;
        for _ in 0..3 {
            let (outcome, has_time, has_budget) =
                (OUTCOMES[code % 6], code / 6 % 2 == 0, code / 12 % 2 == 0);
            code /= 24;
            state.attempt_started();
            let decision = state.attempt_ended(outcome, has_time, || has_budget);
            steps.push((outcome, decision));
            if decision != Decision::Retry {
                break;
            }
        }
        check(&steps);
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_neither_retried_nor_reported_as_not_executed(
) {
    for_each_sequence(false, |steps| {
        let may_have_executed = |outcome: &AttemptOutcome| {
            !matches!(
                outcome,
                AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::WrongEndpoint
            )
        };
        let first = steps
            .iter()
            .position(|(outcome, _)| may_have_executed(outcome));
        if let Some(at) = first {
            assert_eq!(at, steps.len() - 1, "sent again: {steps:?}");
            let promised =
                matches!(steps[at].1, Decision::Respond(kind) if kind.promises_not_executed());
            assert!(!promised, "promised: {steps:?}");
        }
    });
}

#[test]
fn an_idempotent_request_that_may_have_been_executed_is_not_reported_as_not_executed() {
    for_each_sequence(true, |steps| {
        let may_have_executed = steps.iter().any(|(outcome, _)| {
            !matches!(
                outcome,
                AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::WrongEndpoint
            )
        });
        if let (true, Some((_, Decision::Respond(kind)))) = (may_have_executed, steps.last()) {
            assert!(!kind.promises_not_executed(), "{steps:?}");
        }
    });
}

#[test]
fn a_request_that_was_not_sent_uses_no_retry_budget() {
    let mut state = RetryState::new(false, 2);
    state.attempt_started();
    assert_eq!(
        state.attempt_ended(AttemptOutcome::NotSent, true, || panic!(
            "took from the retry budget"
        )),
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
