//! How a table of the operator's file is stated: each key once, with its type, default, range, unit and meaning. The
//! reader, the defaults, the refusals and `beechcroft explain` all come from that one statement.

use crate::{Fault, Source};
use serde::de::DeserializeOwned;
use std::fmt::Display;
use toml::Spanned;

/// One key, as it is explained.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    pub table: &'static str,
    pub name: &'static str,
    /// Empty where it has none.
    pub unit: &'static str,
    pub default: String,
    pub least: String,
    pub most: String,
    pub text: &'static str,
}

/// A table whose keys are stated with `table!`.
pub trait Table: Sized {
    const TITLE: &'static str;
    /// What serde reads: each key if it is there, with its place.
    type Raw: DeserializeOwned;

    fn check(raw: Self::Raw, source: &Source) -> Result<Self, Fault>;
    fn keys() -> Vec<Key>;
    /// What holds, key by key, as it would be written.
    fn held(&self) -> Vec<(&'static str, String)>;
}

/// The value of a key: the stated one, if it is within its range, else the default.
pub fn within<T: PartialOrd + Display>(
    stated: Option<Spanned<T>>,
    default: T,
    least: T,
    most: T,
    source: &Source,
) -> Result<T, Fault> {
    let Some(stated) = stated else {
        return Ok(default);
    };
    let value = stated.get_ref();
    if *value >= least && *value <= most {
        return Ok(stated.into_inner());
    }
    Err(source.fault(
        stated.span(),
        format!("{value} is out of range, {least} to {most} can be had"),
    ))
}

#[macro_export]
macro_rules! table {
    ($(#[$doc:meta])* $name:ident, $raw:ident, $title:literal {
        $($key:ident: $type:ty = $default:expr, $least:expr, $most:expr, $unit:literal, $text:literal;)*
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
            const TITLE: &'static str = $title;
            type Raw = $raw;

            fn check(raw: $raw, source: &$crate::Source) -> Result<$name, $crate::Fault> {
                Ok($name { $($key: $crate::table::within(raw.$key, $default, $least, $most, source)?,)* })
            }

            fn keys() -> Vec<$crate::table::Key> {
                vec![$($crate::table::Key {
                    table: $title,
                    name: stringify!($key),
                    unit: $unit,
                    default: format!("{:?}", $default),
                    least: format!("{:?}", $least),
                    most: format!("{:?}", $most),
                    text: $text,
                },)*]
            }

            fn held(&self) -> Vec<(&'static str, String)> {
                vec![$((stringify!($key), format!("{:?}", self.$key)),)*]
            }
        }
    };
}
