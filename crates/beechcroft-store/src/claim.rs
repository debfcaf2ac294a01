//! The text form of a mark in the store, and the interpretation of the replies to a claim; used by the connection.
//!
//! A mark contains its owner, the unit to which its task was sent, the task's key, and a nonce that is unique to the
//! claim. A reply that carries another task's mark is thereby detected.

use beechcroft::{PeerId, TrackId, UnitId};
use beechcroft_resp::Value;
use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
use beechcroft_shared::RelayIncarnation;
use std::time::Duration;

/// Format version of the mark. A mark with another version is invalid: the claim that finds it is not granted, its
/// outcome is unknown, and the connection is closed.
const FORMAT_VERSION: &str = "1";

/// The store key of a task's mark: the operator's prefix, then track, tenant and idempotency key. Two tracks may use
/// the same idempotency key.
pub fn mark_key(prefix: &str, track: TrackId, tenant: Option<usize>, key: &str) -> String {
    let tenant = tenant.map_or("-".to_owned(), |tenant| tenant.to_string());
    format!("{prefix}m:{}:{tenant}:{key}", track.0)
}

/// The text of a mark for the task whose mark has the store key `key`.
pub fn encode(key: &str, mark: &ExecutionMark, nonce: u64) -> String {
    let RelayIncarnation { relay, incarnation } = mark.owner;
    let unit = mark
        .unit
        .as_ref()
        .map_or("-".to_owned(), |unit| format!("={}", unit.0));
    format!(
        "{FORMAT_VERSION} {} {incarnation:x} {nonce:x} {unit}\n{key}",
        relay.0
    )
}

/// Parses a mark; `None` if it belongs to another task or is malformed.
fn decode(key: &str, text: &str) -> Option<ExecutionMark> {
    let (header, text_key) = text.split_once('\n')?;
    let mut fields = header.splitn(5, ' ');
    let (version, relay, incarnation) = (fields.next()?, fields.next()?, fields.next()?);
    let (_nonce, unit) = (fields.next()?, fields.next()?);
    if version != FORMAT_VERSION || text_key != key {
        return None;
    }
    let owner = RelayIncarnation {
        relay: PeerId(relay.parse().ok()?),
        incarnation: u64::from_str_radix(incarnation, 16).ok()?,
    };
    Some(ExecutionMark {
        owner,
        unit: unit.strip_prefix('=').map(|unit| UnitId(unit.into())),
    })
}

/// The outcome of a claim that wrote the text `own`, from the replies to `SET NX PX`, `GET` and `PTTL` in one
/// transaction. If the store refused a command, the outcome is unknown. An `Err` means that the replies cannot be
/// those of this claim: they have the wrong shape, or the text is not a mark of this task. The connection must then
/// be closed.
pub fn outcome(key: &str, own: &str, replies: &Value) -> Result<ClaimOutcome, String> {
    let items = match replies {
        Value::List(items) => items,
        // The transaction was rejected as a whole and not executed.
        Value::Fault(_) | Value::Nothing => return Ok(ClaimOutcome::Unknown),
        other => return Err(format!("unexpected reply to a transaction: {other:?}")),
    };
    let [_, value, remaining] = &items[..] else {
        return Err(format!(
            "expected 3 replies in a transaction, got {}",
            items.len()
        ));
    };
    let (text, remaining) = match (value, remaining) {
        (Value::Text(text), Value::Number(remaining)) => (text, *remaining),
        (Value::Fault(_), _) | (_, Value::Fault(_)) | (Value::Nothing, _) => {
            return Ok(ClaimOutcome::Unknown)
        }
        other => {
            return Err(format!(
                "expected a mark and its remaining time, got {other:?}"
            ))
        }
    };
    if text == own.as_bytes() {
        return Ok(ClaimOutcome::Claimed);
    }
    let mark = std::str::from_utf8(text)
        .ok()
        .and_then(|text| decode(key, text));
    let mark = mark.ok_or_else(|| format!("the value of {key} is not a mark of this task"))?;
    // A mark without an expiry time (PTTL -1) is treated as about to expire, and so of the greatest possible age.
    Ok(ClaimOutcome::AlreadyMarked {
        mark,
        remaining: Duration::from_millis(u64::try_from(remaining).unwrap_or(0)),
    })
}
