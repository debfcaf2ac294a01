//! Finds the end of a message without recursion, in any fragmentation of the stream, and without searching a byte for
//! line ends twice, except the few bytes of a line that are parsed again with the next input. Used by the decoder.

use crate::{DecodeError, MessageLimits};

/// Maximum length in bytes of a line: a length, a number, or a simple string.
const MAX_LINE_BYTES: usize = 4096;

/// Progress of the scan through one message.
#[derive(Debug, Default)]
pub struct Scan {
    /// Offset up to which values were recognized.
    offset: usize,
    /// Offset up to which there is no line end after `offset`.
    searched: usize,
    /// Number of values still expected in each open aggregate, the outermost first.
    remaining: Vec<usize>,
    /// Whether the first value was recognized.
    started: bool,
    /// Values so far, including those announced by the open aggregates.
    values: usize,
}

impl Scan {
    /// The length of the message at the start of `bytes`, or `None` if it is incomplete. Each call for the same
    /// message must pass the same bytes, with those received since appended.
    pub fn advance(
        &mut self,
        bytes: &[u8],
        limits: MessageLimits,
    ) -> Result<Option<usize>, DecodeError> {
        loop {
            if self.started && self.remaining.is_empty() {
                return Ok(Some(self.offset));
            }
            // The next value begins with a line.
            let start = self.offset.max(self.searched);
            let Some(end) = bytes
                .get(start..)
                .and_then(|rest| rest.windows(2).position(|pair| pair == b"\r\n"))
            else {
                // The last byte may be the first half of a line end.
                self.searched = self.offset.max(bytes.len().saturating_sub(1));
                if bytes.len() - self.offset > MAX_LINE_BYTES {
                    return Err(DecodeError::LimitExceeded("bytes in a line"));
                }
                return check_size(bytes.len(), limits).map(|()| None);
            };
            let end = start + end;
            if end - self.offset > MAX_LINE_BYTES {
                return Err(DecodeError::LimitExceeded("bytes in a line"));
            }
            let line = &bytes[self.offset..end];
            let next = end + 2;
            let Some((&kind, rest)) = line.split_first() else {
                return Err(DecodeError::UnknownType { byte: b'\r' });
            };
            let (value_end, children) = match kind {
                b'+' | b'-' | b':' | b'_' | b'#' | b',' | b'(' => (next, 0),
                b'$' | b'!' | b'=' => match parse_length(rest)? {
                    Some(length) => (
                        next.checked_add(length + 2)
                            .ok_or(DecodeError::LimitExceeded("bytes"))?,
                        0,
                    ),
                    None => (next, 0),
                },
                b'*' | b'~' | b'>' => (next, parse_length(rest)?.unwrap_or(0)),
                b'%' | b'|' => (
                    next,
                    parse_length(rest)?
                        .unwrap_or(0)
                        .checked_mul(2)
                        .ok_or(DecodeError::LimitExceeded("values"))?,
                ),
                byte => return Err(DecodeError::UnknownType { byte }),
            };
            check_size(value_end, limits)?;
            if bytes.len() < value_end {
                // The line, a few bytes, is parsed again once the rest has arrived.
                self.searched = self.offset;
                return Ok(None);
            }
            self.offset = value_end;
            self.searched = value_end;
            self.started = true;
            self.values = self.values.saturating_add(1).saturating_add(children);
            if self.values > limits.max_values {
                return Err(DecodeError::LimitExceeded("values"));
            }
            // An attribute precedes the value that it belongs to and is not a value itself: it stays open for that
            // value.
            if kind == b'|' {
                self.remaining.push(children + 1);
                if self.remaining.len() > 1 {
                    self.count_in_parent();
                }
            } else {
                if let Some(remaining) = self.remaining.last_mut() {
                    *remaining -= 1;
                }
                if children > 0 {
                    self.remaining.push(children);
                }
            }
            if self.remaining.len() > limits.max_depth {
                return Err(DecodeError::LimitExceeded("lists in lists"));
            }
            while self.remaining.last() == Some(&0) {
                self.remaining.pop();
            }
        }
    }

    /// Counts an attribute and the value after it as one value of the enclosing aggregate.
    fn count_in_parent(&mut self) {
        let parent = self.remaining.len() - 2;
        self.remaining[parent] -= 1;
    }
}

fn check_size(length: usize, limits: MessageLimits) -> Result<(), DecodeError> {
    if length > limits.max_bytes {
        return Err(DecodeError::LimitExceeded("bytes"));
    }
    Ok(())
}

/// Parses the length of a string or aggregate; `None` for `-1`, which encodes null.
fn parse_length(text: &[u8]) -> Result<Option<usize>, DecodeError> {
    if text == b"?" {
        return Err(DecodeError::Streamed);
    }
    if text == b"-1" {
        return Ok(None);
    }
    let digits = std::str::from_utf8(text)
        .ok()
        .filter(|text| text.len() <= 10 && text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|digits| digits.parse().ok());
    length
        .map(Some)
        .ok_or_else(|| DecodeError::InvalidLength(String::from_utf8_lossy(text).into_owned()))
}
