//! Command line of the data plane.

use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_proxy::run::run;
use beechcroft_transport::lifecycle::{self, Environment};
use std::process::ExitCode;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The data plane of beechcroft: forwards requests to units.
        cmd proxy {
            /// Runs a proxy with the settings file that BEECHCROFT_SETTINGS names.
            cmd run {
                /// Log level: error, warn, info or debug. Each logged line costs processor time.
                optional --log level: String
                /// Units per region that serve a key, for services without `usualPlaces` in the configuration that
                /// get no non-idempotent requests.
                optional --places places: usize
                /// Detects outliers also among the units of services without outlier rules in the configuration, with
                /// default rules for the types of their routes. Must be the same on every node.
                optional --verdicts
            }
            /// Checks a settings file (.toml) or a configuration (.json); exits with 1 if it is invalid.
            cmd check {
                required file: PathBuf
            }
        }
    }
}

fn main() -> ExitCode {
    let result = match flags::Proxy::from_env_or_exit().subcommand {
        flags::ProxyCmd::Run(run) => {
            let defaults = ServiceDefaults {
                usual_places: run.places.unwrap_or(0),
                outlier_detection: run.verdicts,
            };
            run_proxy(run.log.as_deref().unwrap_or("warn"), defaults)
        }
        flags::ProxyCmd::Check(check) => lifecycle::check_file(&check.file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_proxy(log_level: &str, defaults: ServiceDefaults) -> Result<(), String> {
    let _logger = flexi_logger::Logger::try_with_str(log_level)
        .and_then(|logger| logger.log_to_stderr().start())
        .map_err(|e| e.to_string())?;
    let settings = Settings::load()?;
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(async move {
        let environment = Environment::real(&settings);
        run(settings, defaults, environment).await
    }))
}
