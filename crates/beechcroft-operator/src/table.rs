//! How a table of the operator's file is stated: each key once, with its type, default, range, unit and meaning. The
//! reader, the defaults, the refusals and `beechcroft explain` all come from that one statement.

use crate::{ConfigError, Source};
use serde::de::DeserializeOwned;
use std::fmt::Display;
use toml::Spanned;

/// One key, as it is explained.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyInfo {
    pub table: &'static str,
    pub name: &'static str,
    /// Empty where it has none.
    pub unit: &'static str,
    pub default: String,
    pub min: String,
    pub max: String,
    pub description: &'static str,
}

/// A table whose keys are stated with `table!`.
pub trait Table: Sized {
    const NAME: &'static str;
    /// What serde reads: each key if it is there, with its place.
    type Raw: DeserializeOwned;

    fn check(raw: Self::Raw, source: &Source) -> Result<Self, ConfigError>;
    fn keys() -> Vec<KeyInfo>;
    /// What holds, key by key, as it would be written.
    fn effective_settings(&self) -> Vec<(&'static str, String)>;
}

/// The value of a key: the stated one, if it is within its range, else the default.
pub fn check_range<T: PartialOrd + Display>(
    stated: Option<Spanned<T>>,
    default: T,
    min: T,
    max: T,
    source: &Source,
) -> Result<T, ConfigError> {
    let Some(stated) = stated else {
        return Ok(default);
    };
    let value = stated.get_ref();
    if *value >= min && *value <= max {
        return Ok(stated.into_inner());
    }
    Err(source.error_at(
        stated.span(),
        format!("{value} is out of range, {min} to {max} can be had"),
    ))
}

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
