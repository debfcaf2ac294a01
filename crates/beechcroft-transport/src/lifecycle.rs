//! What both programs do with files, checking them and following a settings file that changes; and what feeds the
//! queue of a table's owner.

use crate::ground::Ground;
use crate::post::Post;
use beechcroft_config::{settings, Config, Settings};
use beechcroft_gossip::Letter;
use std::future::Future;
use std::net::SocketAddrV4;
use std::path::Path;
use std::pin::Pin;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;

/// What a program stands on and what reaches it from outside.
pub struct Outside {
    pub ground: Ground,
    /// Ends once the program is to leave.
    pub term: Pin<Box<dyn Future<Output = ()>>>,
    /// Seeds of a settings file that has changed.
    pub seeds: UnboundedReceiver<Vec<SocketAddrV4>>,
}

impl Outside {
    /// Sockets, signals and the settings file of this machine.
    pub fn machine(settings: &Settings) -> Outside {
        let (told, seeds) = unbounded_channel();
        spawn_local(follow_settings(settings.clone(), move |new| {
            drop(told.send(new))
        }));
        let term = async {
            match signal(SignalKind::terminate()) {
                Ok(mut term) => drop(term.recv().await),
                Err(e) => {
                    log::warn!("life: SIGTERM cannot be heard: {e}.");
                    std::future::pending().await
                }
            }
        };
        Outside {
            ground: Ground::machine(),
            term: Box::pin(term),
            seeds,
        }
    }
}

/// Checks a settings file (.toml) or a configuration (.json); a fault is named by key or route.
pub fn check(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let done = if path.extension().is_some_and(|kind| kind == "json") {
        Config::read(text.as_bytes())
            .map(drop)
            .map_err(|fault| fault.to_string())
    } else {
        Settings::read(&text).map(drop)
    };
    done.map_err(|said| format!("{}: {said}", path.display()))?;
    println!("{}: sound", path.display());
    Ok(())
}

/// SIGHUP, or a file that changed without one: the seeds may be others. The rest holds until the next start.
async fn follow_settings(mut held: Settings, seeds: impl Fn(Vec<SocketAddrV4>)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let path = std::env::var(settings::VARIABLE).unwrap_or_default();
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let _ = tokio::time::timeout(Duration::from_secs(1), hangup.recv()).await;
        let Ok(newer) = std::fs::read_to_string(&path) else {
            continue;
        };
        if newer == text {
            continue;
        }
        text = newer;
        match Settings::read(&text) {
            Ok(newer) => {
                if newer.seed_nodes != held.seed_nodes {
                    seeds(newer.seed_nodes.clone());
                }
                held = newer;
            }
            Err(said) => log::warn!("settings: The changed file is not used: {said}."),
        }
    }
}

/// Letters as they come and ticks go into the owner's queue for as long as the program runs.
pub fn feed<C: 'static>(
    post: Post,
    every: Duration,
    queue: UnboundedSender<C>,
    letter: fn(SocketAddrV4, Box<Letter>) -> C,
    tick: fn() -> C,
    mut seeds: UnboundedReceiver<Vec<SocketAddrV4>>,
    reseed: fn(Vec<SocketAddrV4>) -> C,
) {
    let others = queue.clone();
    spawn_local(async move {
        while let Some(new) = seeds.recv().await {
            let _ = others.send(reseed(new));
        }
    });
    let letters = queue.clone();
    spawn_local(async move {
        loop {
            let (from, next) = post.next().await;
            let _ = letters.send(letter(from, Box::new(next)));
        }
    });
    spawn_local(async move {
        let mut every = tokio::time::interval(every);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let _ = queue.send(tick());
        }
    });
}
