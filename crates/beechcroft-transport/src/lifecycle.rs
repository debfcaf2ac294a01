//! What the control node and the proxy share at start-up and run time: checking files, handling signals, reloading a
//! changed settings file, and feeding the queue of a state owner.

use crate::datagram::MessageSocket;
use crate::runtime::Runtime;
use beechcroft_config::{settings, Config, Settings};
use beechcroft_gossip::Message;
use std::future::Future;
use std::net::SocketAddrV4;
use std::path::Path;
use std::pin::Pin;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;

/// How often the settings file is checked for changes without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// The environment of a program: its runtime, and the events that reach it from outside.
pub struct Environment {
    /// Sockets and clocks, real or simulated.
    pub runtime: Runtime,
    /// Completes when the program is to shut down.
    pub shutdown: Pin<Box<dyn Future<Output = ()>>>,
    /// The new seed nodes, each time they change in the settings file.
    pub seeds: UnboundedReceiver<Vec<SocketAddrV4>>,
}

impl Environment {
    /// The environment of a real process: this machine's sockets, SIGTERM, and the settings file.
    pub fn real(settings: &Settings) -> Environment {
        let (sender, seeds) = unbounded_channel();
        spawn_local(follow_settings(settings.clone(), move |seeds| {
            drop(sender.send(seeds))
        }));
        let shutdown = async {
            match signal(SignalKind::terminate()) {
                Ok(mut terminate) => drop(terminate.recv().await),
                Err(e) => {
                    log::warn!("lifecycle: Cannot install a handler for SIGTERM: {e}.");
                    std::future::pending().await
                }
            }
        };
        Environment {
            runtime: Runtime::real(),
            shutdown: Box::pin(shutdown),
            seeds,
        }
    }
}

/// Checks a settings file (`.toml`) or a configuration (`.json`), and prints a line if it is valid.
///
/// # Errors
///
/// The path, and the key or route at fault.
pub fn check_file(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let checked = if path
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        Config::read(text.as_bytes())
            .map(drop)
            .map_err(|error| error.to_string())
    } else {
        Settings::read(&text).map(drop)
    };
    checked.map_err(|error| format!("{}: {error}", path.display()))?;
    println!("{}: sound", path.display());
    Ok(())
}

/// Reloads the settings file on SIGHUP, and also when it changes without a signal. Only the seed nodes take effect at
/// once; all other settings apply from the next start.
async fn follow_settings(mut current: Settings, on_seeds: impl Fn(Vec<SocketAddrV4>)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let path = std::env::var(settings::PATH_VARIABLE).unwrap_or_default();
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let _ = tokio::time::timeout(SETTINGS_INTERVAL, hangup.recv()).await;
        let Ok(new_text) = std::fs::read_to_string(&path) else {
            continue;
        };
        if new_text == text {
            continue;
        }
        text = new_text;
        match Settings::read(&text) {
            Ok(new) => {
                if new.seed_nodes != current.seed_nodes {
                    on_seeds(new.seed_nodes.clone());
                }
                current = new;
            }
            Err(error) => log::warn!("settings: Changed file ignored: {error}."),
        }
    }
}

/// How the inputs of a state owner are turned into its commands.
pub struct OwnerInputs<C> {
    /// The owner's queue.
    pub queue: UnboundedSender<C>,
    /// The interval between two ticks.
    pub tick_interval: Duration,
    /// Makes the command for a gossip message from an address.
    pub on_message: fn(SocketAddrV4, Box<Message>) -> C,
    /// Makes the command for a tick.
    pub on_tick: fn() -> C,
    /// Makes the command for changed seed nodes.
    pub on_seeds: fn(Vec<SocketAddrV4>) -> C,
}

/// Spawns the tasks that feed gossip messages, ticks and changed seed nodes into the queue of a state owner. They run
/// until the program ends.
pub fn spawn_inputs<C: 'static>(
    socket: MessageSocket,
    mut seeds: UnboundedReceiver<Vec<SocketAddrV4>>,
    inputs: OwnerInputs<C>,
) {
    let OwnerInputs {
        queue,
        tick_interval,
        on_message,
        on_tick,
        on_seeds,
    } = inputs;
    let seeds_queue = queue.clone();
    spawn_local(async move {
        while let Some(new) = seeds.recv().await {
            let _ = seeds_queue.send(on_seeds(new));
        }
    });
    let message_queue = queue.clone();
    spawn_local(async move {
        loop {
            let (from, message) = socket.receive().await;
            let _ = message_queue.send(on_message(from, Box::new(message)));
        }
    });
    spawn_local(async move {
        let mut interval = tokio::time::interval(tick_interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let _ = queue.send(on_tick());
        }
    });
}
