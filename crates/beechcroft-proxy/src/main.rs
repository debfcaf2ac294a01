//! The program of the edge machines: the data plane.

use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_proxy::run::run;
use beechcroft_transport::lifecycle::{self, Environment};
use std::process::ExitCode;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The program of the edge machines: forwards requests to units.
        cmd proxy {
            /// Runs a proxy; the settings file is named by BEECHCROFT_SETTINGS.
            cmd run {
                /// What is logged: error, warn, info or debug. Each line costs processor time.
                optional --log level: String
                /// Units in each region that serve a key, for services whose configuration does not say and which
                /// get no non-idempotent requests.
                optional --places places: usize
                /// Detects outliers also among the units of services whose configuration has no rules for that,
                /// by the types of their routes. The same for every node.
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
    let done = match flags::Proxy::from_env_or_exit().subcommand {
        flags::ProxyCmd::Run(run) => {
            let defaults = ServiceDefaults {
                usual_places: run.places.unwrap_or(0),
                outlier_detection: run.verdicts,
            };
            run_proxy(run.log.as_deref().unwrap_or("warn"), defaults)
        }
        flags::ProxyCmd::Check(check) => lifecycle::check_file(&check.file),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("proxy: {fault}");
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
