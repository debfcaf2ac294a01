//! The messages between clients and units: a task's request on its way in, its answer on the way out.

use bytes::Bytes;
use http::{HeaderValue, Method, Uri};
use std::time::Duration;

/// A client's request, as it is forwarded to a unit.
#[derive(Debug)]
pub struct TaskRequest {
    /// `GET` or `POST`.
    pub method: Method,
    /// Its path and query are forwarded.
    pub target: Uri,
    /// The task's id, in `X-Txn`.
    pub txn: HeaderValue,
    /// The key by which units drop repeats of a deduplicated task.
    pub idempotency_key: Option<HeaderValue>,
    /// Type of the body.
    pub content_type: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
}

/// A unit's complete response with status 200.
#[derive(Debug)]
pub struct UnitResponse {
    /// The whole body.
    pub body: Bytes,
    /// Type of the body.
    pub content_type: Option<HeaderValue>,
}

/// The final answer of a task; each task gets exactly one.
#[derive(Debug)]
pub enum TaskAnswer {
    /// A unit's own response.
    Handled(UnitResponse),
    /// Trying again does no harm; after this time, where it is not zero.
    Nacked(Duration),
    /// The task may or may not have run.
    Terminated,
}
