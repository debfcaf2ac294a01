//! Encoding of values in registers and of records on disk: one byte of format version, then postcard.

use beechcroft_safeguards::Safeguard;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

/// The format version. It rises with each change of a type that is kept in registers or on disk.
pub const VERSION: u8 = 2;

/// Why bytes cannot be decoded. Such bytes are never taken for an empty value.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodeError {
    /// There are no bytes.
    Empty,
    /// Another version of the program wrote them.
    Version(u8),
    /// They are not the encoding of the type: postcard's error, or what is left over.
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

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("plain data has an encoding")
}

/// Decodes a value. Every byte must belong to it.
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
