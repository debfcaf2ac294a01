//! Command line of the control plane.

use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::{encoding, Acceptor, RegisterId};
use beechcroft_control::disk::Disk;
use beechcroft_control::run::run;
use beechcroft_control::state_owner::{ENDPOINTS_KEY, ENDPOINT_LOG_KEY};
use beechcroft_registry::EndpointRecord;
use beechcroft_storage::{RecordStore, Table};
use beechcroft_transport::lifecycle::{self, Environment};
use beechcroft_transport::rpc::{paths, RpcClient};
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// How long `show` and `why` wait for the response of a running control node.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The control plane of beechcroft.
        cmd control {
            /// Runs a control node with the settings file that BEECHCROFT_SETTINGS names.
            cmd run {
                /// Log level: error, warn, info or debug. Each logged line costs processor time.
                optional --log level: String
                /// Detects outliers also among the units of services without outlier rules in the configuration, with
                /// default rules for the types of their routes. Must be the same on every node.
                optional --verdicts
            }
            /// Checks a settings file (.toml) or a configuration (.json); exits with 1 if it is invalid.
            cmd check {
                required file: PathBuf
            }
            /// Explains why a unit counts as healthy or unhealthy: the evidence by region on a running control node.
            cmd why {
                required unit: String
                /// Address of the control node's first internal port, IP:PORT.
                required node: String
            }
            /// Shows the content of a data folder, or the state of a running node (IP:PORT of its first internal port).
            cmd show {
                required what: String
            }
        }
    }
}

fn main() -> ExitCode {
    let result = match flags::Control::from_env_or_exit().subcommand {
        flags::ControlCmd::Run(run) => {
            let defaults = ServiceDefaults {
                outlier_detection: run.verdicts,
                ..ServiceDefaults::default()
            };
            run_node(run.log.as_deref().unwrap_or("warn"), defaults)
        }
        flags::ControlCmd::Check(check) => lifecycle::check_file(&check.file),
        flags::ControlCmd::Show(show) => show_state(&show.what),
        flags::ControlCmd::Why(why) => {
            query_node(&why.node, paths::EVIDENCE, why.unit.into_bytes())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn tokio_runtime() -> Result<tokio::runtime::Runtime, String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().map_err(|e| e.to_string())
}

/// Calls the internal API of a running control node and prints the response.
fn query_node(address: &str, path: &str, body: Vec<u8>) -> Result<(), String> {
    let to = address
        .parse::<SocketAddrV4>()
        .map_err(|e| format!("{address}: {e}"))?;
    let call = async {
        RpcClient::default()
            .call(to, path, body, QUERY_TIMEOUT)
            .await
    };
    let text = tokio_runtime()?
        .block_on(call)
        .map_err(|error| error.to_string())?;
    print!("{}", String::from_utf8_lossy(&text));
    Ok(())
}

/// Prints the state of a running node if `what` is an address, else the content of the data folder of that path.
fn show_state(what: &str) -> Result<(), String> {
    match what.parse::<SocketAddrV4>() {
        Ok(_) => query_node(what, paths::SHOW, Vec::new()),
        Err(_) => show_folder(Path::new(what)),
    }
}

/// Prints the content of a data folder without changing it.
fn show_folder(folder: &Path) -> Result<(), String> {
    std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let (table, corruption) = RecordStore::peek(folder);
    corruption
        .locations()
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
    for key in [ENDPOINTS_KEY, ENDPOINT_LOG_KEY] {
        show_endpoints(key, &table);
    }
    Ok(())
}

/// Prints the endpoints in a record of a data folder.
fn show_endpoints(key: &str, table: &Table) {
    let Some(bytes) = table.get(key) else {
        return;
    };
    match encoding::decode::<Vec<EndpointRecord>>(bytes) {
        Ok(endpoints) => {
            for endpoint in endpoints {
                let EndpointRecord {
                    id, service, state, ..
                } = endpoint;
                println!("{key}: {id} {service} {state:?}");
            }
        }
        Err(error) => println!("unreadable: {key}: {error}"),
    }
}

fn run_node(log_level: &str, defaults: ServiceDefaults) -> Result<(), String> {
    let _logger = flexi_logger::Logger::try_with_str(log_level)
        .and_then(|logger| logger.log_to_stderr().start())
        .map_err(|e| e.to_string())?;
    let settings = Settings::load()?;
    tokio_runtime()?.block_on(tokio::task::LocalSet::new().run_until(async move {
        let environment = Environment::real(&settings);
        let folder = settings.data_dir.clone();
        let folder = folder.ok_or("dataDir: not set, but required for a control node")?;
        let (disk, table) = Disk::open(folder).map_err(|e| e.to_string())?;
        run(settings, defaults, environment, disk, table).await
    }))
}
