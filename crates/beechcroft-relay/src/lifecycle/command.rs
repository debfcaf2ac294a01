//! The command line. `beechcroft` without a subcommand runs one relay, configured by `PROXY_CONFIG`.

use crate::lifecycle::config::{self, Config, Precedence};
use crate::lifecycle::logs::Format;
use crate::wire::limits::{connection_limits, Budget};
use beechcroft_operator::table::KeyInfo;
use beechcroft_operator::OperatorConfig;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// One relay of a front tier that watches over software updates.
#[derive(Parser, Debug)]
#[command(
    version,
    after_help = "Examples:
  PROXY_CONFIG=examples/relay.json beechcroft
  beechcroft relay --config examples/relay.json --operator deploy/operator.toml --log-format json
  beechcroft check --config examples/relay.json --operator deploy/operator.toml
  beechcroft explain connections.keep_s"
)]
pub struct Command {
    /// The subcommand; none runs a relay.
    #[command(subcommand)]
    pub action: Option<Action>,
}

/// What the program is to do.
#[derive(Subcommand, Debug)]
pub enum Action {
    /// Runs a relay, as `beechcroft` does without a subcommand.
    #[command(after_help = "Examples:
  beechcroft relay --config relay.json
  RUST_LOG=warn beechcroft relay --config relay.json --operator operator.toml --log-format json

SIGHUP has the configuration read again, SIGTERM has the relay answer what it holds and exit.")]
    Relay(Relay),
    /// Reads both files and prints the effective values; exits with 1 and the key at fault if a file is invalid.
    #[command(after_help = "Examples:
  beechcroft check --config relay.json
  beechcroft check --config relay.json --operator operator.toml --json")]
    Check(Check),
    /// Explains a key of the operator's file; without a key, lists them all.
    #[command(after_help = "Examples:
  beechcroft explain
  beechcroft explain connections
  beechcroft explain connections.keep_s")]
    Explain {
        /// TABLE, TABLE.KEY or KEY.
        key: Option<String>,
    },
}

/// The files that a command reads.
#[derive(Args, Debug, Default)]
pub struct Files {
    /// Configuration file, JSON; defaults to the file that PROXY_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Operator's file with the optional features of this installation, TOML; none are enabled without it.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

/// Arguments of `beechcroft relay`.
#[derive(Args, Debug)]
pub struct Relay {
    #[command(flatten)]
    pub files: Files,
    /// Format of the log lines on standard error.
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    pub log_format: Format,
}

/// Arguments of `beechcroft check`.
#[derive(Args, Debug)]
pub struct Check {
    #[command(flatten)]
    pub files: Files,
    /// Prints one JSON object instead of a table.
    #[arg(long)]
    pub json: bool,
}

impl Command {
    /// The arguments of the relay to run; `Err` with the action if it is another one.
    pub fn relay(self) -> Result<Relay, Action> {
        match self.action {
            None => Ok(Relay {
                files: Files::default(),
                log_format: Format::Text,
            }),
            Some(Action::Relay(relay)) => Ok(relay),
            Some(action) => Err(action),
        }
    }
}

impl Files {
    /// Reads the configuration; an error is one line that names the key.
    pub fn config(&self, precedence: Precedence) -> Result<Config, String> {
        config::read(
            self.config.as_deref(),
            |name| std::env::var(name).ok(),
            precedence,
        )
    }

    /// Reads the operator's file; the defaults if none is given.
    pub fn operator(&self) -> Result<OperatorConfig, String> {
        let read = self
            .operator
            .as_ref()
            .map(|path| OperatorConfig::read(path));
        read.transpose()
            .map(Option::unwrap_or_default)
            .map_err(|error| error.to_string())
    }
}

/// Returns the text that a command prints.
pub fn output(action: Action) -> Result<String, String> {
    match action {
        Action::Check(check) => self::check(&check),
        Action::Explain { key } => explain(key.as_deref()),
        Action::Relay(_) => Ok(String::new()),
    }
}

/// Names and values that would be in effect: those of both files, then the limits derived from them.
fn effective_values(config: &Config, operator: &OperatorConfig) -> Vec<(String, String)> {
    let Config {
        name,
        listen,
        discovery,
        sockets,
        names,
        rollouts,
        peers,
        ..
    } = config;
    let table = operator.connections.as_ref();
    let budget = Budget::of(*sockets, table);
    let limits = connection_limits(table, budget, &names.settings);
    let or_none = |value: Option<String>| value.unwrap_or_else(|| "none".to_owned());
    let mut values = vec![
        ("name".to_owned(), name.clone()),
        ("listen".to_owned(), listen.to_string()),
        ("discovery".to_owned(), discovery.to_string()),
        (
            "rollouts.address".to_owned(),
            or_none(rollouts.map(|at| at.to_string())),
        ),
        (
            "peers".to_owned(),
            or_none(peers.as_ref().map(|peers| peers.listen.to_string())),
        ),
        ("limits.sockets".to_owned(), sockets.to_string()),
        ("tracks".to_owned(), names.tracks.join(" ")),
    ];
    values.extend(
        operator
            .effective_settings()
            .into_iter()
            .map(|(table, key, value)| (format!("{table}.{key}"), value)),
    );
    values.extend([
        (
            "clients: connections at most".to_owned(),
            limits.max_open.to_string(),
        ),
        (
            "clients: of them waiting".to_owned(),
            limits.max_idle.to_string(),
        ),
        (
            "clients: parked between tasks".to_owned(),
            limits.park.to_string(),
        ),
        (
            "clients: wait for a request".to_owned(),
            format!("{:?}", limits.idle_timeout),
        ),
        (
            "clients: wait to be read".to_owned(),
            format!("{:?}", limits.queue_timeout),
        ),
        (
            "units: connections at most".to_owned(),
            budget.units.to_string(),
        ),
    ]);
    values
}

fn check(check: &Check) -> Result<String, String> {
    let operator = check.files.operator()?;
    let config = check.files.config(Precedence::Environment)?;
    let values = effective_values(&config, &operator);
    if check.json {
        let object: serde_json::Map<_, _> = values
            .into_iter()
            .map(|(key, value)| (key, value.into()))
            .collect();
        return Ok(format!("{}\n", serde_json::Value::Object(object)));
    }
    Ok(values
        .iter()
        .map(|(key, value)| format!("{key:<32} {value}\n"))
        .collect())
}

fn explain(key: Option<&str>) -> Result<String, String> {
    let keys = OperatorConfig::keys();
    let Some(wanted) = key else {
        return Ok(keys.iter().map(summary).collect());
    };
    let is_match = |key: &&KeyInfo| {
        wanted == key.table
            || wanted == key.name
            || wanted.split_once('.') == Some((key.table, key.name))
    };
    let matching: Vec<&KeyInfo> = keys.iter().filter(is_match).collect();
    match matching[..] {
        [] => Err(format!(
            "explain: there is no key '{wanted}'; `beechcroft explain` lists them all"
        )),
        [key] => Ok(details(key)),
        _ => Ok(matching.into_iter().map(summary).collect()),
    }
}

fn summary(key: &KeyInfo) -> String {
    let first = key
        .description
        .split_inclusive('.')
        .next()
        .unwrap_or_default();
    format!("{:<32} {}\n", format!("{}.{}", key.table, key.name), first)
}

fn details(key: &KeyInfo) -> String {
    let KeyInfo {
        table,
        name,
        unit,
        default,
        min,
        max,
        description,
    } = key;
    let unit = if unit.is_empty() {
        String::new()
    } else {
        format!("unit     {unit}\n")
    };
    format!("{table}.{name}\n{description}\n\n{unit}default  {default}\nrange    {min} to {max}\n")
}
