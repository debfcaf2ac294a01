//! trail: the program of the edge machines. It carries requests to units and judges new versions by them.

use beechcroft_config::usual::Usual;
use beechcroft_config::Settings;
use beechcroft_proxy::run::run;
use beechcroft_transport::lifecycle::{self, Outside};
use std::process::ExitCode;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The program of the edge machines: carries requests to units.
        cmd trail {
            /// Runs; the settings file is named by BEECHCROFT_SETTINGS.
            cmd run {
                /// What is logged: error, warn, info or debug. Each line costs processor time.
                optional --log level: String
                /// Usual places of keys (units a region) for services whose configuration does not say, and which get
                /// nothing that must not run twice.
                optional --places places: usize
                /// Verdicts on units also for services whose configuration does not say what unfit means: by what
                /// their routes are. The same for every hut and trail.
                optional --verdicts
            }
            /// Checks a settings file (.toml) or a configuration (.json); exit code 1 if it has a fault.
            cmd check {
                required file: PathBuf
            }
        }
    }
}

fn main() -> ExitCode {
    let done = match flags::Trail::from_env_or_exit().subcommand {
        flags::TrailCmd::Run(run) => run_program(
            run.log.as_deref().unwrap_or("warn"),
            Usual {
                places: run.places.unwrap_or(0),
                verdicts: run.verdicts,
            },
        ),
        flags::TrailCmd::Check(check) => lifecycle::check(&check.file),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(said) => {
            eprintln!("trail: {said}");
            ExitCode::FAILURE
        }
    }
}

fn run_program(level: &str, usual: Usual) -> Result<(), String> {
    let _logger = flexi_logger::Logger::try_with_str(level)
        .and_then(|logger| logger.log_to_stderr().start())
        .map_err(|e| e.to_string())?;
    let settings = Settings::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(async move {
        let outside = Outside::machine(&settings);
        run(settings, usual, outside).await
    }))
}
