//! What is spoken with others: one file for each kind of them, each decoding a message once into a small typed
//! value, encoding it once, and carrying it. What sockets alone need stands in `budget`.

pub mod budget;
pub mod clients;
pub mod discovery;
pub mod keep;
pub mod link;
pub mod lot;
pub mod peers;
pub mod platform;
pub mod serving;
pub mod sparse;
pub mod units;

use bytes::Bytes;
use http::{HeaderValue, Method, Uri};
use std::time::Duration;

/// What a client asked for, as it goes on to a unit.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    pub target: Uri,
    pub txn: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

/// A unit's whole answer with 200.
#[derive(Debug)]
pub struct Reply {
    pub body: Bytes,
    pub content_type: Option<HeaderValue>,
}

/// The one final answer of a task.
#[derive(Debug)]
pub enum Answer {
    Handled(Reply),
    Nacked(Duration),
    Terminated,
}
