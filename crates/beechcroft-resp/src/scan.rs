//! Finds where a message ends, without recursion and without looking at a byte twice, however it is cut.

use crate::{DecodeError, MessageLimits};

/// The longest line: a length, a number, or a simple string.
const LINE_MAX: usize = 4096;

/// How far a message was looked through.
#[derive(Debug, Default)]
pub struct Scan {
    /// Up to here it was understood.
    at: usize,
    /// Up to here no line's end was found.
    looked: usize,
    /// What is still to come in each list that is open, the outermost first.
    open: Vec<usize>,
    begun: bool,
    values: usize,
}

impl Scan {
    /// The length of the message that the bytes begin with, once it is whole.
    pub fn go_on(
        &mut self,
        bytes: &[u8],
        bounds: MessageLimits,
    ) -> Result<Option<usize>, DecodeError> {
        loop {
            if self.begun && self.open.is_empty() {
                return Ok(Some(self.at));
            }
            // What comes next begins with a line.
            let from = self.at.max(self.looked);
            let Some(end) = bytes
                .get(from..)
                .and_then(|rest| rest.windows(2).position(|pair| pair == b"\r\n"))
            else {
                // The last byte may be the first half of a line's end.
                self.looked = self.at.max(bytes.len().saturating_sub(1));
                if bytes.len() - self.at > LINE_MAX {
                    return Err(DecodeError::LimitExceeded("bytes in a line"));
                }
                return within(bytes.len(), bounds).map(|()| None);
            };
            let end = from + end;
            if end - self.at > LINE_MAX {
                return Err(DecodeError::LimitExceeded("bytes in a line"));
            }
            let line = &bytes[self.at..end];
            let after = end + 2;
            let Some((&kind, rest)) = line.split_first() else {
                return Err(DecodeError::UnknownType { byte: b'\r' });
            };
            let (end_at, holds) = match kind {
                b'+' | b'-' | b':' | b'_' | b'#' | b',' | b'(' => (after, 0),
                b'$' | b'!' | b'=' => match length(rest)? {
                    Some(length) => (
                        after
                            .checked_add(length + 2)
                            .ok_or(DecodeError::LimitExceeded("bytes"))?,
                        0,
                    ),
                    None => (after, 0),
                },
                b'*' | b'~' | b'>' => (after, length(rest)?.unwrap_or(0)),
                b'%' | b'|' => (
                    after,
                    length(rest)?
                        .unwrap_or(0)
                        .checked_mul(2)
                        .ok_or(DecodeError::LimitExceeded("values"))?,
                ),
                byte => return Err(DecodeError::UnknownType { byte }),
            };
            within(end_at, bounds)?;
            if bytes.len() < end_at {
                // The line is read again with the rest: a few bytes.
                self.looked = self.at;
                return Ok(None);
            }
            self.at = end_at;
            self.looked = end_at;
            self.begun = true;
            self.values = self.values.saturating_add(1).saturating_add(holds);
            if self.values > bounds.max_values {
                return Err(DecodeError::LimitExceeded("values"));
            }
            // An attribute stands before the value that it belongs to, and is none itself.
            if kind == b'|' {
                self.open.push(holds + 1);
                if self.open.len() > 1 {
                    self.take_one_of_parent();
                }
            } else {
                if let Some(left) = self.open.last_mut() {
                    *left -= 1;
                }
                if holds > 0 {
                    self.open.push(holds);
                }
            }
            if self.open.len() > bounds.max_depth {
                return Err(DecodeError::LimitExceeded("lists in lists"));
            }
            while self.open.last() == Some(&0) {
                self.open.pop();
            }
        }
    }

    /// The value behind an attribute is counted with the attribute.
    fn take_one_of_parent(&mut self) {
        let parent = self.open.len() - 2;
        self.open[parent] -= 1;
    }
}

fn within(length: usize, bounds: MessageLimits) -> Result<(), DecodeError> {
    if length > bounds.max_bytes {
        return Err(DecodeError::LimitExceeded("bytes"));
    }
    Ok(())
}

/// A length; none where it says that there is nothing (`-1`).
fn length(text: &[u8]) -> Result<Option<usize>, DecodeError> {
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
