//! One real relay, and the commands about its files. Everything but the writing of log lines runs on one thread.

use beechcroft_relay::life::command::{self, Command, Relay};
use beechcroft_relay::life::config::Holds;
use beechcroft_relay::life::{logs, run, signals::Signals};
use clap::Parser;
use std::process::ExitCode;
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    // Before all else: a signal that finds no handler ends the process.
    let begun = begin();
    let ended = match Command::parse().relay() {
        Ok(relay) => begun.and_then(|(runtime, signals)| serve(relay, &runtime, signals)),
        Err(what) => command::answer(what).map(|text| print!("{text}")),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("beechcroft: {line}");
            ExitCode::FAILURE
        }
    }
}

fn serve(relay: Relay, runtime: &Runtime, signals: Signals) -> Result<(), String> {
    let _lines = logs::begin(relay.log_format);
    let operator = relay.files.operator()?;
    let config = relay.files.config(Holds::Environment)?;
    runtime.block_on(run::run(config, operator, signals, || {
        relay.files.config(Holds::File)
    }))
}

fn begin() -> Result<(Runtime, Signals), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    let entered = runtime.enter();
    let signals = Signals::take().map_err(|error| format!("signals: {error}"))?;
    drop(entered);
    Ok((runtime, signals))
}
