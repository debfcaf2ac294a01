//! The program of the core machines: the control plane.

use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::{Acceptor, RegisterId};
use beechcroft_control::disk::Disk;
use beechcroft_control::run::run;
use beechcroft_storage::RecordStore;
use beechcroft_transport::lifecycle::{self, Environment};
use beechcroft_transport::rpc::{paths, RpcClient};
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// For a running process to answer a question.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(3);

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The program of the core machines: the control plane.
        cmd control {
            /// Runs a control node; the settings file is named by BEECHCROFT_SETTINGS.
            cmd run {
                /// What is logged: error, warn, info or debug. Each line costs processor time.
                optional --log level: String
                /// Detects outliers also among the units of services whose configuration has no rules for that,
                /// by the types of their routes. The same for every node.
                optional --verdicts
            }
            /// Checks a settings file (.toml) or a configuration (.json); exit code 1 if it has a fault.
            cmd check {
                required file: PathBuf
            }
            /// Why a unit is healthy or not: the evidence by region, as a running control node has it.
            cmd why {
                required unit: String
                /// The control node's first internal port, IP:PORT.
                required node: String
            }
            /// Shows what a data folder holds, or a running process knows (IP:PORT, its first internal port).
            cmd show {
                required what: String
            }
        }
    }
}

fn main() -> ExitCode {
    let done = match flags::Control::from_env_or_exit().subcommand {
        flags::ControlCmd::Run(run) => {
            let defaults = ServiceDefaults {
                outlier_detection: run.verdicts,
                ..ServiceDefaults::default()
            };
            run_node(run.log.as_deref().unwrap_or("warn"), defaults)
        }
        flags::ControlCmd::Check(check) => lifecycle::check_file(&check.file),
        flags::ControlCmd::Show(show) => show_state(&show.what),
        flags::ControlCmd::Why(why) => ask_node(&why.node, paths::EVIDENCE, why.unit.into_bytes()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("control: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn tokio_runtime() -> Result<tokio::runtime::Runtime, String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().map_err(|e| e.to_string())
}

/// Asks a running control node and prints its answer.
fn ask_node(address: &str, path: &str, body: Vec<u8>) -> Result<(), String> {
    let to = address
        .parse::<SocketAddrV4>()
        .map_err(|e| format!("{address}: {e}"))?;
    let asked = async {
        RpcClient::default()
            .call(to, path, body, QUESTION_TIMEOUT)
            .await
    };
    let text = tokio_runtime()?
        .block_on(asked)
        .map_err(|error| error.to_string())?;
    print!("{}", String::from_utf8_lossy(&text));
    Ok(())
}

fn show_state(what: &str) -> Result<(), String> {
    match what.parse::<SocketAddrV4>() {
        Ok(_) => ask_node(what, paths::SHOW, Vec::new()),
        Err(_) => show_folder(Path::new(what)),
    }
}

/// Prints what a data folder holds.
fn show_folder(folder: &Path) -> Result<(), String> {
    std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let (table, corruption) = RecordStore::peek(folder);
    corruption
        .places()
        .iter()
        .for_each(|place| println!("corrupt: {place}"));
    let acceptor = Acceptor::new("", 0, 0, &table);
    acceptor
        .unreadable_records()
        .iter()
        .for_each(|record| println!("unreadable: {record}"));
    println!("identity {:?}", acceptor.identity());
    for id in RegisterId::ALL {
        let register = acceptor.register(id);
        println!("register {id} promised {:?}", register.promised);
        if let Some(accepted) = &register.accepted {
            let (ballot, revision) = (accepted.ballot, accepted.value.revision);
            let length = accepted.value.bytes.len();
            println!("  accepted under {ballot:?}, revision {revision}, {length} bytes");
        }
    }
    Ok(())
}

fn run_node(log_level: &str, defaults: ServiceDefaults) -> Result<(), String> {
    let _logger = flexi_logger::Logger::try_with_str(log_level)
        .and_then(|logger| logger.log_to_stderr().start())
        .map_err(|e| e.to_string())?;
    let settings = Settings::load()?;
    tokio_runtime()?.block_on(tokio::task::LocalSet::new().run_until(async move {
        let environment = Environment::real(&settings);
        let folder = settings.data_dir.clone();
        let folder = folder.ok_or("dataDir: a control node needs a folder for its state")?;
        let (disk, table) = Disk::open(folder).map_err(|e| e.to_string())?;
        run(settings, defaults, environment, disk, table).await
    }))
}
