//! The `beechcroft` program: runs a relay, checks its configuration files or explains their keys. Everything except
//! the writing of log lines runs on one thread.

use beechcroft_relay::lifecycle::command::{self, Command, Relay};
use beechcroft_relay::lifecycle::config::Precedence;
use beechcroft_relay::lifecycle::{logs, run, signals::Signals};
use clap::Parser;
use std::process::ExitCode;
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    // Signal handlers are installed first: a signal without a handler ends the process.
    let started = start();
    let result = match Command::parse().relay() {
        Ok(relay) => started.and_then(|(runtime, signals)| serve(relay, &runtime, signals)),
        Err(action) => command::output(action).map(|text| print!("{text}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("beechcroft: {line}");
            ExitCode::FAILURE
        }
    }
}

fn serve(relay: Relay, runtime: &Runtime, signals: Signals) -> Result<(), String> {
    let _log_guard = logs::init(relay.log_format);
    let operator = relay.files.operator()?;
    let config = relay.files.config(Precedence::Environment)?;
    runtime.block_on(run::run(config, operator, signals, || {
        relay.files.config(Precedence::File)
    }))
}

fn start() -> Result<(Runtime, Signals), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    let guard = runtime.enter();
    let signals = Signals::install().map_err(|error| format!("signals: {error}"))?;
    drop(guard);
    Ok((runtime, signals))
}
