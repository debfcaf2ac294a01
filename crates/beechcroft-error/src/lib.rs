//! The complete list of errors that the system returns, and the table that maps each kind to its HTTP status.
//!
//! Every error response that the system itself generates, for a client, a unit, an operator or another node, has one
//! [`ErrorKind`]:
//!
//! ```
//! use beechcroft_error::{Error, ErrorKind};
//!
//! let error = Error::new(ErrorKind::VersionConflict, "version 0000000b is in place");
//! assert_eq!(error.kind.status(), 412);
//! assert_eq!(error.to_string(), "another version is in place: version 0000000b is in place");
//! assert!(!error.kind.promises_not_executed());
//! ```
//!
//! The statuses 408, 421, 429 and 503 guarantee that a request was not executed and never will be, so a caller may
//! retry it even if it is not idempotent. [`ErrorKind::promises_not_executed`] tells which kinds give that guarantee;
//! `beechcroft-retry` must respect it.

#![warn(missing_docs)]

use displaydoc::Display;

/// Why the system itself generated a response. The doc comment of each variant is the text that callers get, through
/// `displaydoc`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ErrorKind {
    /// the bytes are not a request in the protocol
    Malformed,
    /// no route leads there
    NoRoute,
    /// the head is larger than the configuration allows
    HeadTooLarge,
    /// the body is larger than the configuration allows
    BodyTooLarge,
    /// the request did not arrive in time and was not executed
    RequestTimeout,
    /// no unit may take the request now; it was not executed
    NoEndpoint,
    /// the units are full; the request was not executed
    Overloaded,
    /// the proxy has no configuration yet; the request was not executed
    NotReady,
    /// no contact with a majority of the control nodes; the request was not executed
    NoQuorumContact,
    /// the placement of the request's key is changing; it was not executed
    PlacementChanging,
    /// the node is shutting down; the request was not executed
    ShuttingDown,
    /// a unit may have executed the request, and its response was lost or unusable
    ResponseLost,
    /// a unit may have executed the request, and its deadline has passed
    DeadlineExceeded,
    /// the configuration is invalid
    Invalid,
    /// another version is in place
    VersionConflict,
    /// a rollout is under way
    InProgress,
    /// no such call
    UnknownCall,
    /// no such object
    NotFound,
    /// no majority of the control nodes answered in time; the operation may still take effect
    NoQuorum,
    /// whether the operation was applied before is no longer known; it is not applied now
    VersionForgotten,
    /// the process was stalled while the operation waited; it was not applied
    Stalled,
    /// the caller closed its connection before the operation began; it was not applied
    CallerGone,
    /// the stored control state cannot be read; the operation was not applied
    CorruptState,
    /// the record could not be written to disk
    NotStored,
}

impl ErrorKind {
    /// The HTTP status of a response with this error.
    pub const fn status(self) -> u16 {
        match self {
            ErrorKind::Malformed | ErrorKind::Invalid => 400,
            ErrorKind::NoRoute | ErrorKind::UnknownCall | ErrorKind::NotFound => 404,
            ErrorKind::RequestTimeout => 408,
            ErrorKind::InProgress => 409,
            ErrorKind::VersionConflict => 412,
            ErrorKind::BodyTooLarge => 413,
            ErrorKind::HeadTooLarge => 431,
            ErrorKind::ResponseLost => 502,
            ErrorKind::NoEndpoint
            | ErrorKind::Overloaded
            | ErrorKind::NotReady
            | ErrorKind::ShuttingDown
            | ErrorKind::NoQuorumContact
            | ErrorKind::PlacementChanging
            | ErrorKind::Stalled
            | ErrorKind::CallerGone
            | ErrorKind::CorruptState
            | ErrorKind::NotStored => 503,
            ErrorKind::DeadlineExceeded | ErrorKind::NoQuorum | ErrorKind::VersionForgotten => 504,
        }
    }

    /// Whether the response guarantees that the request was not executed and never will be, so that any caller may
    /// retry.
    pub const fn promises_not_executed(self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}

impl std::error::Error for ErrorKind {}

/// An error kind with details of the particular case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The kind, which determines the status.
    pub kind: ErrorKind,
    /// Details of the particular case, such as a version, a route or an address.
    pub detail: String,
}

impl Error {
    /// An error of this kind with these details.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Error {
        Error {
            kind,
            detail: detail.into(),
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.kind)
    }
}
