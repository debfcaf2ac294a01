//! Classification of a response by its head: whether it belongs to the request, is usable, and is final.

use crate::AttemptOutcome;
use beechcroft_safeguards::Safeguard;

/// The parts of a response head that identify its request and tell what became of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptResponse<'a> {
    /// The attempt id in the response.
    pub attempt_id: Option<&'a str>,
    /// The status code.
    pub status: u16,
    /// Whether the response has `Beechcroft-Not-Executed`, which promises that the request was not executed.
    pub not_executed: bool,
    /// Whether an endpoint has sealed the response.
    pub is_sealed: bool,
    /// Whether the body has a content coding.
    pub is_encoded: bool,
}

/// What a response means for the request that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// An interim response (1xx); the final one follows.
    Interim,
    /// A response to another request, received in place of this request's response. It is skipped.
    Foreign,
    /// A response that must not be forwarded or relied on.
    Unusable,
    /// The request was not executed, so another endpoint may be tried.
    NotExecuted(AttemptOutcome),
    /// The final response.
    Final,
}

/// Classifies a response to the request with this attempt id. Endpoints include the attempt id in every response, also
/// when they reject the request. A response without one cannot be attributed to a request, so its promises do not hold
/// for this one.
pub fn classify(attempt_id: &str, response: &AttemptResponse<'_>) -> ResponseClass {
    if (100..200).contains(&response.status) {
        return ResponseClass::Interim;
    }
    match response.attempt_id {
        None if Safeguard::UnidentifiedResponses.is_enabled() => return ResponseClass::Unusable,
        Some(other) if other != attempt_id && Safeguard::ForeignResponses.is_enabled() => {
            return ResponseClass::Foreign;
        }
        _ => {}
    }
    let may_be_rejection = response.status >= 400 || !Safeguard::RejectionStatus.is_enabled();
    match response.status {
        421 => ResponseClass::NotExecuted(AttemptOutcome::WrongEndpoint),
        _ if response.not_executed && may_be_rejection => {
            ResponseClass::NotExecuted(AttemptOutcome::Rejected)
        }
        _ if response.not_executed => ResponseClass::Unusable,
        200..=299 if !response.is_sealed || response.is_encoded => ResponseClass::Unusable,
        _ => ResponseClass::Final,
    }
}
