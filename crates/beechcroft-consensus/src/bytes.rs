//! Values as bytes, on disk and in registers: the version of the format, and then postcard.

use beechcroft_safeguards::Safeguard;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

/// Rises with each change of a type that is kept in registers or on disk.
pub const VERSION: u8 = 2;

/// Why a value cannot be read. It is never taken for an empty one.
#[derive(Clone, Debug, PartialEq)]
pub enum Unreadable {
    Empty,
    /// Another version of the program wrote it.
    Version(u8),
    Garbled(String),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unreadable::Empty => write!(f, "it is empty"),
            Unreadable::Version(found) => {
                write!(
                    f,
                    "it is of format {found}, and this version of the program reads {VERSION}"
                )
            }
            Unreadable::Garbled(said) => write!(f, "it is garbled: {said}"),
        }
    }
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("plain data")
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Unreadable> {
    let (&version, rest) = bytes.split_first().ok_or(Unreadable::Empty)?;
    if version != VERSION && Safeguard::ValueFormat.is_enabled() {
        return Err(Unreadable::Version(version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(Unreadable::Garbled(format!(
            "{} bytes are left over",
            rest.len()
        ))),
        Err(e) => Err(Unreadable::Garbled(e.to_string())),
    }
}
