//! The command line. `beechcroft` alone is one relay, configured by `PROXY_CONFIG`.

use crate::life::config::{self, Config, Holds};
use crate::life::logs::Format;
use crate::wire::budget::{limits, Budget};
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
    #[command(subcommand)]
    pub what: Option<What>,
}

#[derive(Subcommand, Debug)]
pub enum What {
    /// Runs a relay, as `beechcroft` alone does.
    #[command(after_help = "Examples:
  beechcroft relay --config relay.json
  RUST_LOG=warn beechcroft relay --config relay.json --operator operator.toml --log-format json

SIGHUP has the configuration read again, SIGTERM has the relay answer what it holds and exit.")]
    Relay(Relay),
    /// Reads both files and says what would hold; exits with 1 and the key at fault where one cannot be taken.
    #[command(after_help = "Examples:
  beechcroft check --config relay.json
  beechcroft check --config relay.json --operator operator.toml --json")]
    Check(Check),
    /// Says what a key of the operator's file means; without one, lists them all.
    #[command(after_help = "Examples:
  beechcroft explain
  beechcroft explain connections
  beechcroft explain connections.keep_s")]
    Explain {
        /// TABLE, TABLE.KEY or KEY.
        key: Option<String>,
    },
}

#[derive(Args, Debug, Default)]
pub struct Files {
    /// The configuration, JSON; else the file that PROXY_CONFIG names.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// What this installation turns on beside it, TOML; nothing without.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

#[derive(Args, Debug)]
pub struct Relay {
    #[command(flatten)]
    pub files: Files,
    /// How log lines are written on standard error.
    #[arg(long, value_name = "FORMAT", default_value = "text")]
    pub log_format: Format,
}

#[derive(Args, Debug)]
pub struct Check {
    #[command(flatten)]
    pub files: Files,
    /// One JSON object instead of a table.
    #[arg(long)]
    pub json: bool,
}

impl Command {
    /// What is to be run, if it is a relay.
    pub fn relay(self) -> Result<Relay, What> {
        match self.what {
            None => Ok(Relay {
                files: Files::default(),
                log_format: Format::Text,
            }),
            Some(What::Relay(relay)) => Ok(relay),
            Some(what) => Err(what),
        }
    }
}

impl Files {
    pub fn config(&self, holds: Holds) -> Result<Config, String> {
        config::read(
            self.config.as_deref(),
            |name| std::env::var(name).ok(),
            holds,
        )
    }

    pub fn operator(&self) -> Result<OperatorConfig, String> {
        let read = self
            .operator
            .as_ref()
            .map(|path| OperatorConfig::read(path));
        read.transpose()
            .map(Option::unwrap_or_default)
            .map_err(|fault| fault.to_string())
    }
}

/// The text that a command prints.
pub fn answer(what: What) -> Result<String, String> {
    match what {
        What::Check(check) => self::check(&check),
        What::Explain { key } => explain(key.as_deref()),
        What::Relay(_) => Ok(String::new()),
    }
}

/// What would hold: a name and a value each, files' own and derived.
fn held(config: &Config, operator: &OperatorConfig) -> Vec<(String, String)> {
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
    let limits = limits(table, budget, &names.settings);
    let or_none = |stated: Option<String>| stated.unwrap_or_else(|| "none".to_owned());
    let mut held = vec![
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
    held.extend(
        operator
            .effective_settings()
            .into_iter()
            .map(|(table, key, value)| (format!("{table}.{key}"), value)),
    );
    held.extend([
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
    held
}

fn check(check: &Check) -> Result<String, String> {
    let operator = check.files.operator()?;
    let config = check.files.config(Holds::Environment)?;
    let held = held(&config, &operator);
    if check.json {
        let object: serde_json::Map<_, _> = held
            .into_iter()
            .map(|(key, value)| (key, value.into()))
            .collect();
        return Ok(format!("{}\n", serde_json::Value::Object(object)));
    }
    Ok(held
        .iter()
        .map(|(key, value)| format!("{key:<32} {value}\n"))
        .collect())
}

fn explain(key: Option<&str>) -> Result<String, String> {
    let keys = OperatorConfig::keys();
    let Some(asked) = key else {
        return Ok(keys.iter().map(short).collect());
    };
    let is_meant = |key: &&KeyInfo| {
        asked == key.table
            || asked == key.name
            || asked.split_once('.') == Some((key.table, key.name))
    };
    let meant: Vec<&KeyInfo> = keys.iter().filter(is_meant).collect();
    match meant[..] {
        [] => Err(format!(
            "explain: there is no key '{asked}'; `beechcroft explain` lists them all"
        )),
        [key] => Ok(whole(key)),
        _ => Ok(meant.into_iter().map(short).collect()),
    }
}

fn short(key: &KeyInfo) -> String {
    let first = key
        .description
        .split_inclusive('.')
        .next()
        .unwrap_or_default();
    format!("{:<32} {}\n", format!("{}.{}", key.table, key.name), first)
}

fn whole(key: &KeyInfo) -> String {
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
