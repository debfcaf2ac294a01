//! What a response head is to the request that waits for a response.

use crate::AttemptOutcome;
use beechcroft_safeguards::Safeguard;

/// What the head of a response says of whose it is and of what became of the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptResponse<'a> {
    /// The attempt id that it carries.
    pub attempt_id: Option<&'a str>,
    /// Its status.
    pub status: u16,
    /// Whether it says that the request was not executed: `Beechcroft-Not-Executed`.
    pub not_executed: bool,
    /// Whether a unit has sealed it.
    pub is_sealed: bool,
    /// Whether its body has a coding.
    pub is_encoded: bool,
}

/// What a response is to the request that waits for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// An interim response: the final one follows.
    Interim,
    /// The response to another request, in the place of this one's: it is skipped.
    Foreign,
    /// Nothing that this request may rely on.
    Unusable,
    /// The request was not executed here: another endpoint may be tried.
    NotExecuted(AttemptOutcome),
    /// The final response.
    Final,
}

/// Classifies a response to the request with this attempt id. Units identify the request that they answer, also where
/// they reject it: without its attempt id a response belongs to nobody, and what it promises is promised to nobody.
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
