//! One real relay. Its configuration is read in `life::config`; everything runs on one thread.

use beechcroft_relay::life::config::{self, Holds};
use beechcroft_relay::life::{run, signals::Signals};
use std::process::ExitCode;
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    // Before all else: a signal that finds no handler ends the process.
    let begun = begin();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_target(false) // each line names its part itself
        .init();
    let variable = |name: &str| std::env::var(name).ok();
    let ended = begun.and_then(|(runtime, signals)| {
        let config = config::read(variable, Holds::Environment)?;
        runtime.block_on(run::run(config, signals, || config::read(variable, Holds::File)))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("beechcroft: {line}");
            ExitCode::FAILURE
        }
    }
}

fn begin() -> Result<(Runtime, Signals), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    let entered = runtime.enter();
    let signals = Signals::take().map_err(|error| format!("signals: {error}"))?;
    drop(entered);
    Ok((runtime, signals))
}
