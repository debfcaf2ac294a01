//! The operator's configuration file (TOML): optional subsystems that an installation enables on top of the
//! deployment's settings. Each subsystem is one table, and is off if its table is absent. Errors name the file, line,
//! table and key. The relay reads the file at startup; `beechcroft check` and `beechcroft explain` print its values and
//! keys.

#[macro_use]
pub mod table;

use serde::Deserialize;
use std::fmt;
use std::ops::Range;
use std::path::Path;
use table::{KeyInfo, Table};
use toml::Spanned;

table! {
    /// Settings for client connections that are kept open between requests.
    ConnectionSettings, RawConnections, "connections" {
        park: bool = true, false, true, "",
            "Whether a connection is parked between its tasks. If not, it keeps its buffers while it is idle, \
             about ten times the memory.";
        keep_s: f64 = 3600.0, 1.0, 604_800.0, "seconds",
            "How long a connection may wait for its next request after a response.";
        fresh_keep_s: f64 = 10.0, 0.5, 604_800.0, "seconds",
            "How long a new connection may wait before its first byte.";
        head_wait_s: f64 = 2.1, 0.1, 60.0, "seconds",
            "How long a request's head may take, from its first byte on.";
        descriptors_part: f64 = 0.6, 0.1, 0.95, "fraction of limits.sockets",
            "Descriptors available for client connections; the rest is for units. When all are in use, the connection \
             that has been idle longest is closed.";
        most_parked: u32 = 1_000_000, 1, 1_000_000, "connections",
            "Maximum number of connections that wait for a request; beyond it the longest idle one is closed.";
        memory_mb: f64 = 64.0, 0.1, 65_536.0, "MB of user memory",
            "Memory for idle connections, at 256 bytes each when parked and 16 KB when not. The kernel needs about \
             5 KB more for each, which is not counted here.";
        wakes_at_once: u32 = 64, 1, 100_000, "connections",
            "Connections whose heads are read at once; others wait in line, in the order of their requests.";
        wake_wait_ms: f64 = 0.0, 0.0, 60_000.0, "milliseconds",
            "How long a connection may stand in that line before it is answered 503 with a time to come back. \
             0 takes half of the shortest quoted time.";
        expire_per_s: u32 = 1000, 1, 1_000_000, "connections a second",
            "Connections past their timeout that are closed in a second, as far as late_most_s allows.";
        late_most_s: f64 = 10.0, 0.1, 3600.0, "seconds",
            "How long after its timeout a connection may be closed at the latest; the rate rises if necessary.";
        probe_s: f64 = 0.0, 0.0, 32_767.0, "seconds",
            "Idle time after which the kernel sends TCP keepalive probes, one every 10 s, and gives up after 3. \
             0 sends none and leaves it to keep_s.";
    }
}

/// The whole file; the table of a disabled subsystem is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub connections: Option<ConnectionSettings>,
}

/// The file as serde reads it, before values are checked against their ranges.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    connections: Option<Spanned<RawConnections>>,
}

/// An error in the file, and where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The file's path, or the name that was given to [`OperatorConfig::parse`].
    pub file: String,
    /// Counted from 1; 0 if the file could not be read at all.
    pub line: usize,
    /// `table.key`, or the part of it that is known.
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

/// A file's text, to locate errors in it.
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    /// The error for a byte range of the text. The key is taken from the line where the range begins and from the last
    /// table header up to it.
    pub fn error_at(&self, span: Range<usize>, message: String) -> ConfigError {
        let start = span.start.min(self.text.len());
        let line = self.text[..start].matches('\n').count();
        let lines = || self.text.lines().map(str::trim).take(line + 1);
        let header =
            |line: &str| Some(line.strip_prefix('[')?.split(']').next()?.trim().to_owned());
        let table = lines().filter_map(header).last().unwrap_or_default();
        let line_text = self.text.lines().nth(line).unwrap_or_default();
        let key = line_text.split_once('=').map_or("", |(key, _)| key.trim());
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
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<OperatorConfig, ConfigError> {
        let file = path.display().to_string();
        let io_error = |error| ConfigError {
            file: file.clone(),
            line: 0,
            key: String::new(),
            message: format!("{error}"),
        };
        OperatorConfig::parse(&file, &std::fs::read_to_string(path).map_err(io_error)?)
    }

    /// Parses and checks a file's text; `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<OperatorConfig, ConfigError> {
        let source = Source { file, text };
        let raw: RawConfig = toml::from_str(text).map_err(|error| {
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

    /// All keys of all tables.
    pub fn keys() -> Vec<KeyInfo> {
        ConnectionSettings::keys()
    }

    /// The settings of all enabled subsystems: table, key, value.
    pub fn effective_settings(&self) -> Vec<(&'static str, &'static str, String)> {
        let settings = self.connections.iter().flat_map(Table::effective_settings);
        settings
            .map(|(key, value)| (ConnectionSettings::NAME, key, value))
            .collect()
    }

    /// The names of the tables of all enabled subsystems.
    pub fn enabled_tables(&self) -> Vec<&'static str> {
        self.connections
            .iter()
            .map(|_| ConnectionSettings::NAME)
            .collect()
    }
}
