//! One real relay. Its configuration is read in `life::config`; everything runs on one thread.

use beechcroft_relay::life::{config, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_target(false) // each line names its part itself
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|error| format!("runtime: {error}")).and_then(|runtime| {
        let config = config::read(|name| std::env::var(name).ok())?;
        runtime.block_on(run::run(config))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("beechcroft: {line}");
            ExitCode::FAILURE
        }
    }
}
