//! The operator's file: what an installation turns on beside the deployment's settings, as TOML. Each subsystem is one
//! table, off where the table is absent. What cannot be taken is refused by table, key and line.

#[macro_use]
pub mod table;

use serde::Deserialize;
use std::fmt;
use std::ops::Range;
use std::path::Path;
use table::{KeyInfo, Table};
use toml::Spanned;

table! {
    /// Clients' connections that are kept while nothing is asked on them.
    ConnectionSettings, RawConnections, "connections" {
        park: bool = true, false, true, "",
            "Whether a connection is parked between its tasks. If not, it keeps its buffers while it waits, \
             some ten times the memory.";
        keep_s: f64 = 3600.0, 1.0, 604_800.0, "seconds",
            "How long a connection may wait for its next request after an answer.";
        fresh_keep_s: f64 = 10.0, 0.5, 604_800.0, "seconds",
            "How long a new connection may wait before its first byte.";
        head_wait_s: f64 = 2.1, 0.1, 60.0, "seconds",
            "How long a request's head may take from its first byte on.";
        descriptors_part: f64 = 0.6, 0.1, 0.95, "part of limits.sockets",
            "Descriptors that clients' connections may hold; units get the rest. Where they are spent, the one that \
             has waited longest makes room.";
        most_parked: u32 = 1_000_000, 1, 1_000_000, "connections",
            "Connections that may wait for a request at once; the one that has waited longest goes first.";
        memory_mb: f64 = 64.0, 0.1, 65_536.0, "MB of user memory",
            "Memory that waiting connections may cost, at 256 bytes each when parked and 16 KB when not. The kernel \
             needs some 5 KB more for each, which it alone counts.";
        wakes_at_once: u32 = 64, 1, 100_000, "connections",
            "Connections whose heads are read at once; others stand in line in the order in which they asked.";
        wake_wait_ms: f64 = 0.0, 0.0, 60_000.0, "milliseconds",
            "How long a connection may stand in that line before it is answered 503 with a time to come back. \
             0 takes half of the shortest quoted time.";
        expire_per_s: u32 = 1000, 1, 1_000_000, "connections a second",
            "Connections whose time is up that are closed in a second, where late_most_s allows it.";
        late_most_s: f64 = 10.0, 0.1, 3600.0, "seconds",
            "How much later than its time a connection may be closed; the rate rises if it must.";
        probe_s: f64 = 0.0, 0.0, 32_767.0, "seconds",
            "After so long without a byte the kernel asks whether the client's machine is still there, each 10 s, and \
             gives up after 3 times. 0 leaves it to keep_s.";
    }
}

/// All of it; a table that is absent is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub connections: Option<ConnectionSettings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    connections: Option<Spanned<RawConnections>>,
}

/// What cannot be taken, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub file: String,
    /// From 1; 0 where the file could not be read at all.
    pub line: usize,
    /// `table.key`, or as much of it as there is.
    pub key: String,
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigError {
            file,
            line,
            key,
            message,
        } = self;
        match (line, key.as_str()) {
            (0, _) => write!(f, "{file}: {message}"),
            (line, "") => write!(f, "{file}, line {line}: {message}"),
            (line, key) => write!(f, "{file}, line {line}: {key}: {message}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// A file's text, to say where in it something stands.
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    pub fn error_at(&self, span: Range<usize>, message: String) -> ConfigError {
        let at = span.start.min(self.text.len());
        let line = self.text[..at].matches('\n').count();
        let lines = || self.text.lines().map(str::trim).take(line + 1);
        let title = |line: &str| Some(line.strip_prefix('[')?.split(']').next()?.trim().to_owned());
        let table = lines().filter_map(title).last().unwrap_or_default();
        let own = self.text.lines().nth(line).unwrap_or_default();
        let key = own.split_once('=').map_or("", |(key, _)| key.trim());
        let key = if key.is_empty() || table.is_empty() {
            table + key
        } else {
            format!("{table}.{key}")
        };
        ConfigError {
            file: self.file.to_owned(),
            line: line + 1,
            key,
            message,
        }
    }
}

impl OperatorConfig {
    pub fn read(path: &Path) -> Result<OperatorConfig, ConfigError> {
        let file = path.display().to_string();
        let unread = |error| ConfigError {
            file: file.clone(),
            line: 0,
            key: String::new(),
            message: format!("{error}"),
        };
        OperatorConfig::parse(&file, &std::fs::read_to_string(path).map_err(unread)?)
    }

    /// `file` is named where something cannot be taken.
    pub fn parse(file: &str, text: &str) -> Result<OperatorConfig, ConfigError> {
        let source = Source { file, text };
        let raw: Raw = toml::from_str(text).map_err(|error| {
            let message = error.message().replace("unknown field", "unknown key");
            source.error_at(error.span().unwrap_or(0..0), message)
        })?;
        let connections = raw
            .connections
            .map(|raw| ConnectionSettings::check(raw.into_inner(), &source));
        Ok(OperatorConfig {
            connections: connections.transpose()?,
        })
    }

    /// Every key that there is.
    pub fn keys() -> Vec<KeyInfo> {
        ConnectionSettings::keys()
    }

    /// What holds: table, key, value; nothing of a table that is off.
    pub fn effective_settings(&self) -> Vec<(&'static str, &'static str, String)> {
        let held = self.connections.iter().flat_map(Table::effective_settings);
        held.map(|(key, value)| (ConnectionSettings::NAME, key, value))
            .collect()
    }

    /// The tables that are on.
    pub fn enabled_tables(&self) -> Vec<&'static str> {
        self.connections
            .iter()
            .map(|_| ConnectionSettings::NAME)
            .collect()
    }
}
