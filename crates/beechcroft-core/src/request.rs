//! What passes between fronts and units: a task's call on its way in, its answer on the way out.

use bytes::Bytes;
use http::{HeaderValue, Method, Uri};
use std::time::Duration;

/// What a client asked for, as it goes on to a unit.
#[derive(Debug)]
pub struct TaskRequest {
    pub method: Method,
    pub target: Uri,
    pub txn: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

/// A unit's whole answer with 200.
#[derive(Debug)]
pub struct UnitResponse {
    pub body: Bytes,
    pub content_type: Option<HeaderValue>,
}

/// The one final answer of a task.
#[derive(Debug)]
pub enum TaskAnswer {
    Handled(UnitResponse),
    Nacked(Duration),
    Terminated,
}
