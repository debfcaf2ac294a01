//! hut: the program of the core machines. It keeps the control state and says where clients go.

use beechcroft_config::usual::Usual;
use beechcroft_config::Settings;
use beechcroft_consensus::Voter;
use beechcroft_control::disk::Disk;
use beechcroft_control::run::run;
use beechcroft_transport::errand::Errands;
use beechcroft_transport::lifecycle::{self, Outside};
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The program of the core machines: control and directory.
        cmd hut {
            /// Runs; the settings file is named by BEECHCROFT_SETTINGS.
            cmd run {
                /// What is logged: error, warn, info or debug. Each line costs processor time.
                optional --log level: String
                /// Verdicts on units also for services whose configuration does not say what unfit means: by what
                /// their routes are. The same for every hut and trail.
                optional --verdicts
            }
            /// Checks a settings file (.toml) or a configuration (.json); exit code 1 if it has a fault.
            cmd check {
                required file: PathBuf
            }
            /// Why a unit is fit or unfit: the evidence by region, as a running hut has it.
            cmd why {
                required unit: String
                /// The hut's first internal port, IP:PORT.
                required hut: String
            }
            /// Shows what a data folder holds, or a running process knows (IP:PORT, its first internal port).
            cmd show {
                required what: String
            }
        }
    }
}

fn main() -> ExitCode {
    let done = match flags::Hut::from_env_or_exit().subcommand {
        flags::HutCmd::Run(run) => run_program(
            run.log.as_deref().unwrap_or("warn"),
            Usual {
                verdicts: run.verdicts,
                ..Usual::default()
            },
        ),
        flags::HutCmd::Check(check) => lifecycle::check(&check.file),
        flags::HutCmd::Show(show) => show_state(&show.what),
        flags::HutCmd::Why(why) => ask_hut(&why.hut, "/why", why.unit.into_bytes()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(said) => {
            eprintln!("hut: {said}");
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())
}

/// Asks a running hut and prints what it says.
fn ask_hut(at: &str, path: &str, body: Vec<u8>) -> Result<(), String> {
    let at = at
        .parse::<SocketAddrV4>()
        .map_err(|e| format!("{at}: {e}"))?;
    let asked = async {
        Errands::default()
            .run(at, path, body, Duration::from_secs(3))
            .await
    };
    let text = runtime()?
        .block_on(asked)
        .map_err(|fault| fault.to_string())?;
    print!("{}", String::from_utf8_lossy(&text));
    Ok(())
}

fn show_state(what: &str) -> Result<(), String> {
    if what.parse::<SocketAddrV4>().is_ok() {
        return ask_hut(what, "/show", Vec::new());
    }
    let folder = std::path::Path::new(what);
    std::fs::read_dir(folder).map_err(|e| format!("{what}: {e}"))?;
    let (table, damage) = beechcroft_storage::Cache::peek(folder);
    damage
        .places()
        .iter()
        .for_each(|place| println!("damage: {place}"));
    let voter = Voter::new("", 0, 0, &table);
    voter
        .unreadable
        .iter()
        .for_each(|said| println!("unreadable: {said}"));
    println!("identity {:?}", voter.identity);
    for register in [beechcroft_consensus::CONFIG, beechcroft_consensus::ORDERS] {
        let held = voter.register(register);
        println!("register {register} promised {:?}", held.promised);
        if let Some((ballot, value)) = &held.accepted {
            println!(
                "  accepted under {ballot:?}, change {}, {} bytes",
                value.revision,
                value.bytes.len()
            );
        }
    }
    Ok(())
}

fn run_program(level: &str, usual: Usual) -> Result<(), String> {
    let _logger = flexi_logger::Logger::try_with_str(level)
        .and_then(|logger| logger.log_to_stderr().start())
        .map_err(|e| e.to_string())?;
    let settings = Settings::load()?;
    runtime()?.block_on(tokio::task::LocalSet::new().run_until(async move {
        let outside = Outside::machine(&settings);
        let folder = settings
            .data_dir
            .clone()
            .ok_or("dataDir: a hut needs a folder for its state")?;
        let (disk, table) = Disk::open(folder).map_err(|e| e.to_string())?;
        run(settings, usual, outside, disk, table).await
    }))
}
