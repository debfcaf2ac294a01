//! Declares the tables of the operator's file. The `table!` macro lists each key once, with its type, default, range,
//! unit and description; parsing, defaults, range checks and `beechcroft explain` are generated from that list.

use crate::{ConfigError, Source};
use serde::de::DeserializeOwned;
use std::fmt::Display;
use toml::Spanned;

/// A key and its documentation, as `beechcroft explain` prints it.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyInfo {
    pub table: &'static str,
    pub name: &'static str,
    /// Empty if the value has no unit.
    pub unit: &'static str,
    pub default: String,
    /// The smallest and the largest valid value.
    pub min: String,
    pub max: String,
    pub description: &'static str,
}

/// A table declared with `table!`.
pub trait Table: Sized {
    /// The table's name in the file.
    const NAME: &'static str;
    /// The table as serde reads it: each key is optional and has its position in the file.
    type Raw: DeserializeOwned;

    /// Checks all values against their ranges, and sets the defaults of absent keys.
    fn check(raw: Self::Raw, source: &Source) -> Result<Self, ConfigError>;
    /// All keys of the table.
    fn keys() -> Vec<KeyInfo>;
    /// All keys and their values, formatted as in the file.
    fn effective_settings(&self) -> Vec<(&'static str, String)>;
}

/// The value of a key: the one in the file, or the default if there is none. Fails if the value is out of range.
pub fn check_range<T: PartialOrd + Display>(
    given: Option<Spanned<T>>,
    default: T,
    min: T,
    max: T,
    source: &Source,
) -> Result<T, ConfigError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let value = given.get_ref();
    if *value >= min && *value <= max {
        return Ok(given.into_inner());
    }
    Err(source.error_at(
        given.span(),
        format!("{value} is out of range, {min} to {max} can be had"),
    ))
}

/// Declares a table: doc comment, type, raw type, table name, and for each key its name, type, default, minimum,
/// maximum, unit and description.
#[macro_export]
macro_rules! table {
    ($(#[$doc:meta])* $name:ident, $raw:ident, $title:literal {
        $($key:ident: $type:ty = $default:expr, $min:expr, $max:expr, $unit:literal, $text:literal;)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $(#[doc = $text] pub $key: $type,)*
        }

        #[derive(serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        #[doc(hidden)]
        pub struct $raw {
            $($key: Option<toml::Spanned<$type>>,)*
        }

        impl Default for $name {
            fn default() -> $name {
                $name { $($key: $default,)* }
            }
        }

        impl $crate::table::Table for $name {
            const NAME: &'static str = $title;
            type Raw = $raw;

            fn check(raw: $raw, source: &$crate::Source) -> Result<$name, $crate::ConfigError> {
                Ok($name { $($key: $crate::table::check_range(raw.$key, $default, $min, $max, source)?,)* })
            }

            fn keys() -> Vec<$crate::table::KeyInfo> {
                vec![$($crate::table::KeyInfo {
                    table: $title,
                    name: stringify!($key),
                    unit: $unit,
                    default: format!("{:?}", $default),
                    min: format!("{:?}", $min),
                    max: format!("{:?}", $max),
                    description: $text,
                },)*]
            }

            fn effective_settings(&self) -> Vec<(&'static str, String)> {
                vec![$((stringify!($key), format!("{:?}", self.$key)),)*]
            }
        }
    };
}
