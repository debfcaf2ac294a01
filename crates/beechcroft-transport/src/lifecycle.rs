//! What both programs do with files, signals and time: check files, follow a settings file that changes, and feed the
//! queue of a state owner.

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

/// How often the settings file is looked at without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// What a program stands on, and what reaches it from outside.
pub struct Environment {
    /// Sockets and clocks.
    pub runtime: Runtime,
    /// Ends once the program is to shut down.
    pub shutdown: Pin<Box<dyn Future<Output = ()>>>,
    /// The seeds of a settings file that has changed.
    pub seeds: UnboundedReceiver<Vec<SocketAddrV4>>,
}

impl Environment {
    /// This machine's sockets and signals, and its settings file.
    pub fn real(settings: &Settings) -> Environment {
        let (sender, seeds) = unbounded_channel();
        spawn_local(follow_settings(settings.clone(), move |seeds| {
            drop(sender.send(seeds))
        }));
        let shutdown = async {
            match signal(SignalKind::terminate()) {
                Ok(mut terminate) => drop(terminate.recv().await),
                Err(e) => {
                    log::warn!("lifecycle: SIGTERM cannot be heard: {e}.");
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

/// Checks a settings file (.toml) or a configuration (.json). A fault is named by its key or route.
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
    checked.map_err(|fault| format!("{}: {fault}", path.display()))?;
    println!("{}: sound", path.display());
    Ok(())
}

/// Reads the settings file again after SIGHUP, or after it changed without one. The seeds may be others; everything
/// else holds until the next start.
async fn follow_settings(mut held: Settings, on_seeds: impl Fn(Vec<SocketAddrV4>)) {
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
                if new.seed_nodes != held.seed_nodes {
                    on_seeds(new.seed_nodes.clone());
                }
                held = new;
            }
            Err(fault) => log::warn!("settings: The changed file is not used: {fault}."),
        }
    }
}

/// How a state owner wants its inputs: as commands of its own.
pub struct OwnerInputs<C> {
    /// The owner's queue.
    pub queue: UnboundedSender<C>,
    /// Between two ticks.
    pub tick_interval: Duration,
    /// The command of a gossip message.
    pub on_message: fn(SocketAddrV4, Box<Message>) -> C,
    /// The command of a tick.
    pub on_tick: fn() -> C,
    /// The command of new seeds.
    pub on_seeds: fn(Vec<SocketAddrV4>) -> C,
}

/// Feeds gossip messages, ticks and new seeds into the queue of a state owner for as long as the program runs.
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
