//! How a mark is written: by whom, where its task was sent, for which task, and a nonce that makes it this claim's and no
//! other's. A reply that brings another task's mark is so known for what it is.

use beechcroft::{PeerId, TrackId, UnitId};
use beechcroft_resp::Value;
use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
use beechcroft_shared::RelayIncarnation;
use std::time::Duration;

/// The form of what is written; another is not understood, and bars the task.
const FORM: &str = "1";

/// The name of a task's mark: under the operator's prefix, by track, tenant and key, as two tracks may use one key.
pub fn mark_key(prefix: &str, track: TrackId, tenant: Option<usize>, key: &str) -> String {
    let tenant = tenant.map_or("-".to_owned(), |tenant| tenant.to_string());
    format!("{prefix}m:{}:{tenant}:{key}", track.0)
}

pub fn encode(name: &str, mark: &ExecutionMark, nonce: u64) -> String {
    let RelayIncarnation { relay, incarnation } = mark.owner;
    let unit = mark
        .unit
        .as_ref()
        .map_or("-".to_owned(), |unit| format!("={}", unit.0));
    format!(
        "{FORM} {} {incarnation:x} {nonce:x} {unit}\n{name}",
        relay.0
    )
}

/// The mark that a text is for this task; none where it is another's or not understood.
fn decode(name: &str, text: &str) -> Option<ExecutionMark> {
    let (head, of) = text.split_once('\n')?;
    let mut words = head.splitn(5, ' ');
    let (form, relay, run) = (words.next()?, words.next()?, words.next()?);
    let (_nonce, unit) = (words.next()?, words.next()?);
    if form != FORM || of != name {
        return None;
    }
    let owner = RelayIncarnation {
        relay: PeerId(relay.parse().ok()?),
        incarnation: u64::from_str_radix(run, 16).ok()?,
    };
    Some(ExecutionMark {
        owner,
        unit: unit.strip_prefix('=').map(|unit| UnitId(unit.into())),
    })
}

/// What the replies to `SET NX PX`, `GET` and `PTTL` in one transaction tell of a claim whose text was `own`. An error is
/// one of the store's; a text that is nobody's for this task tells that replies are not to be believed.
pub fn found(name: &str, own: &str, replies: &Value) -> Result<ClaimOutcome, String> {
    let all = match replies {
        Value::List(all) => all,
        // Not done: the transaction was refused as a whole.
        Value::Fault(_) | Value::Nothing => return Ok(ClaimOutcome::Unknown),
        other => return Err(format!("no transaction's reply: {other:?}")),
    };
    let [_, value, left] = &all[..] else {
        return Err(format!("{} replies in a transaction of 3", all.len()));
    };
    let (text, left) = match (value, left) {
        (Value::Text(text), Value::Number(left)) => (text, *left),
        (Value::Fault(_), _) | (_, Value::Fault(_)) | (Value::Nothing, _) => {
            return Ok(ClaimOutcome::Unknown)
        }
        other => return Err(format!("no mark and time: {other:?}")),
    };
    if text == own.as_bytes() {
        return Ok(ClaimOutcome::Claimed);
    }
    let mark = std::str::from_utf8(text)
        .ok()
        .and_then(|text| decode(name, text));
    let mark = mark.ok_or_else(|| format!("a mark that is none of {name}"))?;
    // One without an end is as old as can be.
    Ok(ClaimOutcome::AlreadyMarked {
        mark,
        remaining: Duration::from_millis(u64::try_from(left).unwrap_or(0)),
    })
}
