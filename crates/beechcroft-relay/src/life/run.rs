//! Puts the parts together, waits until all can serve, and takes them down again.

use crate::life::carrier::Wires;
use crate::life::config::Config;
use crate::life::phases::{Life, Phase};
use crate::life::signals::{Asked, Signals};
use crate::memory::list::{ListActor, ListMailbox, ToList};
use crate::wire::budget::{limits, Budget, LEAVE_LONGEST, LEAVE_MARGIN, LINGER};
use crate::wire::clients::{router, Front};
use crate::wire::discovery::{Discovery, Places};
use crate::wire::lot::Lot;
use crate::wire::peers::Peers;
use crate::wire::platform::{self, PlatformMailbox, ToPlatform};
use crate::wire::units::Shared;
use beechcroft_core::actor::{Clock, RelayActor};
use beechcroft_core::Event;
use beechcroft_operator::OperatorConfig;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

/// The actors that a new configuration concerns.
struct Followers {
    list: ListMailbox,
    platform: Option<PlatformMailbox>,
}

impl Followers {
    /// Hands on where discovery and the platform are from now on; all else holds until the next start.
    fn reload(&self, read: Result<Config, String>) {
        let config = match read {
            Ok(config) => config,
            Err(fault) => return error!("reload: {fault}; the former configuration holds"),
        };
        info!(
            "reload: discovery {}, rollouts.address {:?}",
            config.discovery, config.rollouts
        );
        let _ = self.list.send(ToList::Moved(config.discovery));
        match (&self.platform, config.rollouts) {
            (Some(platform), Some(address)) => drop(platform.send(ToPlatform::Moved(address))),
            (None, None) => {}
            _ => warn!(
                "reload: rollouts.address came or went; the former holds until the next start"
            ),
        }
    }
}

/// From start to exit; an error is one line. `reread` gives the configuration as it is by then.
pub async fn run(
    config: Config,
    operator: OperatorConfig,
    mut signals: Signals,
    reread: impl Fn() -> Result<Config, String>,
) -> Result<(), String> {
    let life = Life::begin();
    let Config {
        name,
        listen,
        discovery,
        seed,
        sockets,
        peers,
        rollouts,
        news,
        known,
        names,
    } = config;
    let table = operator.connections.as_ref();
    let budget = Budget::of(sockets, table);
    let bound = TcpListener::bind(listen)
        .await
        .and_then(TcpListener::into_std)
        .and_then(|listener| Ok((listener.local_addr()?, listener)));
    let (listen, listener) = bound.map_err(|error| format!("listen: {listen}: {error}"))?;
    let relays = names.settings.relays;
    info!(relays, %listen, sockets, "{name} of {relays} relays, listens on {listen}, {sockets} descriptors");
    for (table, key, value) in operator.effective_settings() {
        info!(table, key, value, "operator: {table}.{key} = {value}");
    }

    // The module hears of the list and of the builds before it hears of any task.
    let (module, events) = mpsc::unbounded_channel();
    let (follow, followed) = mpsc::unbounded_channel();
    let discovery = Discovery::new(discovery, Places::new(&names));
    let list = ListActor::new(discovery, known, module.clone());
    news.into_iter()
        .for_each(|news| drop(module.send(Event::Rollout(news))));

    let peers = match peers {
        Some(addresses) => {
            let at = addresses.listen;
            let peers = Peers::start(addresses, names.settings.own_id, module.clone()).await;
            peers.map_err(|error| format!("peer_listen: {at}: {error}"))?
        }
        None => Peers::default(),
    };
    let (listed, first_list) = oneshot::channel();
    let (reached, first_news) = oneshot::channel();
    let (tracks, wait) = (names.tracks.clone(), names.settings.vote_timeout);
    let platform = rollouts.map(|at| platform::spawn(at, wait, tracks, module.clone(), reached));
    let followers = Followers {
        list: follow.clone(),
        platform: platform.clone(),
    };
    let units = Shared::new(module.clone(), budget.units, &names.transport);
    let wires = Wires {
        units,
        list: follow,
        platform,
        peers,
    };
    let actor = RelayActor::start(&names.settings, seed, Clock::start(), wires, module.clone());
    let mut module_ends = tokio::spawn(actor.run(events));
    tokio::spawn(list.run(followed, listed));

    let front = Front::new(&names, module, life.clone());
    let probe = table.map_or(Duration::ZERO, |table| {
        Duration::from_secs_f64(table.probe_s)
    });
    let lot = Lot::new(
        listener,
        limits(table, budget, &names.settings),
        probe,
        router(front),
    );
    let lot = lot.map_err(|error| format!("listen: {listen}: {error}"))?;
    let clients = lot.open();
    let mut leaves = life.watch();
    let leaving = async move { drop(leaves.wait_for(|phase| *phase >= Phase::Leaving).await) };
    let heed = async {
        loop {
            match signals.next().await {
                Asked::Stop => drop(life.enter(Phase::Leaving)),
                Asked::Reload => followers.reload(reread()),
            }
        }
    };
    let longest = names.transport.max_client_wait.min(LEAVE_LONGEST);
    let leave = async {
        let all_serve = async {
            let _ = tokio::join!(first_list, first_news); // a part that cannot be had says so by its end
            life.enter(Phase::Serving);
            std::future::pending().await
        };
        let mut phases = life.watch();
        tokio::select! {
            _ = phases.wait_for(|phase| *phase >= Phase::Leaving) => {}
            () = all_serve => {}
        }
        sleep(LINGER).await;
        let closed = async {
            while clients.count() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        if timeout((longest + LEAVE_MARGIN).saturating_sub(LINGER), closed)
            .await
            .is_err()
        {
            warn!("{} connections are still open", clients.count());
        }
        life.enter(Phase::Ended);
    };
    tokio::select! {
        () = leave => Ok(()),
        () = heed => Err("signals: no longer heeded".to_owned()),
        () = lot.run(leaving) => Err("clients: no longer accepted".to_owned()),
        ended = &mut module_ends => {
            error!("the module's actor ended: {ended:?}");
            Err("module: ended".to_owned())
        }
    }
}
