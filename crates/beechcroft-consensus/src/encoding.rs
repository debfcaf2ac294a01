//! Encoding of register values and of records on disk: one byte of format version, followed by postcard.

use beechcroft_safeguards::Safeguard;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

/// The current format version. Incremented with each change of a type that is stored in registers or on disk.
pub const VERSION: u8 = 2;

/// Why bytes cannot be decoded. Undecodable bytes are never treated as an empty value.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodeError {
    /// The input has no bytes.
    Empty,
    /// The input has a format version other than [`VERSION`].
    Version(u8),
    /// The input does not encode the type. Contains postcard's error, or the number of trailing bytes.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::Empty => write!(f, "it is empty"),
            DecodeError::Version(found) => {
                write!(
                    f,
                    "it has format {found}, and this version of the program reads {VERSION}"
                )
            }
            DecodeError::Malformed(detail) => write!(f, "it is malformed: {detail}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a value, prefixed with the current [`VERSION`].
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("plain data has an encoding")
}

/// Decodes a value. The encoding must span the whole input.
///
/// # Errors
///
/// [`DecodeError`] if the input is empty, of another format version, or not exactly one value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if version != VERSION && Safeguard::ValueFormat.is_enabled() {
        return Err(DecodeError::Version(version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(DecodeError::Malformed(format!(
            "{} bytes are left over",
            rest.len()
        ))),
        Err(e) => Err(DecodeError::Malformed(e.to_string())),
    }
}
