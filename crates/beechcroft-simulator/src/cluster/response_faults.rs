//! Faulty responses of units: for another request, without an id, duplicated, late or truncated. A stray response has a
//! marked body, so that the checker recognises it if it reaches a client.

use super::world::World;
use beechcroft_transport::connection::Connection;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::future::pending;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Body of every response that belongs to no request.
pub const STRAY: &str = "stray answer";
/// Maximum delay of a second response, in milliseconds.
const LATE_MS: f64 = 60.0;
/// Maximum bytes of a request or response after which it is cut.
const CUT_WITHIN: f64 = 700.0;

/// A kind of faulty response.
#[derive(
    Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, strum::EnumIter, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ResponseFault {
    /// Before its response, a 503 with `Beechcroft-Not-Executed` and no attempt id.
    #[serde(rename = "nameless_refusal")]
    #[strum(serialize = "nameless_refusal")]
    UnidentifiedRejection,
    /// The same with status 421.
    #[serde(rename = "nameless_elsewhere")]
    #[strum(serialize = "nameless_elsewhere")]
    UnidentifiedMisdirected,
    /// The same with status 500.
    #[serde(rename = "nameless_failure")]
    #[strum(serialize = "nameless_failure")]
    UnidentifiedFailure,
    /// The same with status 200 and a seal.
    #[serde(rename = "nameless_success")]
    #[strum(serialize = "nameless_success")]
    UnidentifiedSuccess,
    /// A 503 with `Beechcroft-Not-Executed` and the id of another attempt.
    #[serde(rename = "strange_refusal")]
    #[strum(serialize = "strange_refusal")]
    ForeignRejection,
    /// The same with status 421.
    #[serde(rename = "strange_elsewhere")]
    #[strum(serialize = "strange_elsewhere")]
    ForeignMisdirected,
    /// The same with status 500.
    #[serde(rename = "strange_failure")]
    #[strum(serialize = "strange_failure")]
    ForeignFailure,
    /// The same with status 200 and a seal.
    #[serde(rename = "strange_success")]
    #[strum(serialize = "strange_success")]
    ForeignSuccess,
    /// The response twice in one write.
    #[serde(rename = "twice")]
    #[strum(serialize = "twice")]
    Duplicate,
    /// A late rejection under the same id, where the next response is expected.
    #[serde(rename = "late_twice")]
    #[strum(serialize = "late_twice")]
    LateDuplicate,
    /// The same without an id.
    #[serde(rename = "late_nameless_refusal")]
    #[strum(serialize = "late_nameless_refusal")]
    LateUnidentifiedRejection,
    /// Bytes that are not HTTP after the response.
    #[serde(rename = "trailing")]
    #[strum(serialize = "trailing")]
    TrailingBytes,
    /// The unit closes the connection after some bytes of a request, which it does not execute.
    #[serde(rename = "cut_request")]
    #[strum(serialize = "cut_request")]
    ClosedDuringRequest,
    /// The unit stops there without closing the connection.
    #[serde(rename = "silent_request")]
    #[strum(serialize = "silent_request")]
    StalledDuringRequest,
    /// The unit closes the connection after some bytes of the response to a request that it has executed.
    #[serde(rename = "cut_answer")]
    #[strum(serialize = "cut_answer")]
    ClosedDuringResponse,
    /// The unit stops there without closing the connection.
    #[serde(rename = "silent_answer")]
    #[strum(serialize = "silent_answer")]
    StalledDuringResponse,
}

impl ResponseFault {
    /// Whether it occurs before the request has been read.
    pub fn is_at_request(self) -> bool {
        matches!(
            self,
            ResponseFault::ClosedDuringRequest | ResponseFault::StalledDuringRequest
        )
    }

    /// Whether the correct response is still sent completely.
    fn is_answered(self) -> bool {
        !matches!(
            self,
            ResponseFault::ClosedDuringRequest
                | ResponseFault::StalledDuringRequest
                | ResponseFault::ClosedDuringResponse
                | ResponseFault::StalledDuringResponse
        )
    }

    /// Reads some bytes of a request and no more.
    pub async fn request(self, world: &World, line: &mut Connection) {
        let most = (world.draw() * CUT_WITHIN) as usize;
        while line.unread().len() < most {
            if !matches!(
                timeout(Duration::from_millis(5), line.read_more()).await,
                Ok(Ok(1..))
            ) {
                break;
            }
        }
        if self == ResponseFault::StalledDuringRequest {
            pending().await
        }
    }

    /// Sends a response with this fault; returns whether the connection can be reused.
    pub async fn answer(
        self,
        world: &World,
        is_draining: &Cell<bool>,
        line: &mut Connection,
        id: &str,
        right: &[u8],
    ) -> bool {
        let strange = format!("Beechcroft-Attempt-Id: {:08x}ff\r\n", world.number());
        let stray = |named: &str, status: &str| {
            let seal = if status.starts_with('2') {
                "Beechcroft-Server-Seal: a.b.c\r\n"
            } else {
                ""
            };
            let refused = if status.starts_with("503") {
                "Beechcroft-Not-Executed: 1\r\n"
            } else {
                ""
            };
            let elsewhere = if status.starts_with("421") {
                "Beechcroft-Unit-Id: i-other\r\n"
            } else {
                ""
            };
            let length = STRAY.len();
            format!("HTTP/1.1 {status}\r\n{named}{seal}{refused}{elsewhere}Content-Length: {length}\r\n\r\n{STRAY}")
        };
        let cut = |most: f64| &right[..((world.draw() * most) as usize).min(right.len() - 1)];
        let (refusal, elsewhere) = ("503 Service Unavailable", "421 Misdirected Request");
        let (failure, success) = ("500 Internal Server Error", "200 OK");
        let ahead = match self {
            ResponseFault::UnidentifiedRejection => stray("", refusal),
            ResponseFault::UnidentifiedMisdirected => stray("", elsewhere),
            ResponseFault::UnidentifiedFailure => stray("", failure),
            ResponseFault::UnidentifiedSuccess => stray("", success),
            ResponseFault::ForeignRejection => stray(&strange, refusal),
            ResponseFault::ForeignMisdirected => stray(&strange, elsewhere),
            ResponseFault::ForeignFailure => stray(&strange, failure),
            ResponseFault::ForeignSuccess => stray(&strange, success),
            _ => String::new(),
        };
        let mut bytes = ahead.into_bytes();
        match self {
            ResponseFault::ClosedDuringResponse | ResponseFault::StalledDuringResponse => {
                bytes.extend(cut(CUT_WITHIN))
            }
            _ => bytes.extend(right),
        }
        match self {
            ResponseFault::Duplicate => bytes.extend(right),
            ResponseFault::TrailingBytes => bytes.extend(b"\x00\x00 what is this\r\n\r\n"),
            _ => {}
        }
        if line.write(&bytes).await.is_err() {
            return false;
        }
        if self == ResponseFault::StalledDuringResponse {
            pending().await
        }
        let own = format!("Beechcroft-Attempt-Id: {id}\r\n");
        let late = match self {
            ResponseFault::LateDuplicate => stray(&own, refusal),
            ResponseFault::LateUnidentifiedRejection => stray("", refusal),
            _ => return self.is_answered() && !is_draining.get(),
        };
        sleep(Duration::from_millis((world.draw() * LATE_MS) as u64)).await;
        line.write(late.as_bytes()).await.is_ok() && !is_draining.get()
    }
}
