//! Starts all parts, waits until they can serve, and shuts them down.

use crate::lifecycle::config::Config;
use crate::lifecycle::outbound::RelayOutbound;
use crate::lifecycle::phases::{Lifecycle, Phase};
use crate::lifecycle::signals::{SignalAction, Signals};
use crate::membership::unit_list::{ListCommand, ListMailbox, UnitListWatcher};
use crate::wire::clients::{router, Frontend};
use crate::wire::connection_manager::ConnectionManager;
use crate::wire::discovery::{Discovery, ListDecoder};
use crate::wire::limits::{
    connection_limits, Budget, MAX_SHUTDOWN_WAIT, SHUTDOWN_ACCEPT_PERIOD, SHUTDOWN_MARGIN,
};
use crate::wire::peers::Peers;
use crate::wire::platform::{self, PlatformCommand, PlatformMailbox};
use crate::wire::units::UnitContext;
use beechcroft_core::actor::{Clock, RelayActor};
use beechcroft_core::Event;
use beechcroft_operator::OperatorConfig;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

/// The parts that a reload of the configuration reaches.
struct ReloadTargets {
    list: ListMailbox,
    platform: Option<PlatformMailbox>,
}

impl ReloadTargets {
    /// Passes on the addresses of discovery and the platform; all other changes take effect at the next start.
    fn reload(&self, config: Result<Config, String>) {
        let config = match config {
            Ok(config) => config,
            Err(error) => return error!("reload: {error}; the former configuration holds"),
        };
        info!(
            "reload: discovery {}, rollouts.address {:?}",
            config.discovery, config.rollouts
        );
        let _ = self.list.send(ListCommand::ChangeAddress(config.discovery));
        match (&self.platform, config.rollouts) {
            (Some(platform), Some(address)) => {
                drop(platform.send(PlatformCommand::ChangeAddress(address)))
            }
            (None, None) => {}
            _ => warn!(
                "reload: rollouts.address was added or removed; this takes effect at the next start"
            ),
        }
    }
}

/// Runs the relay from start to exit; an error is one line. `reload_config` reads the configuration again.
pub async fn run(
    config: Config,
    operator: OperatorConfig,
    mut signals: Signals,
    reload_config: impl Fn() -> Result<Config, String>,
) -> Result<(), String> {
    let lifecycle = Lifecycle::start();
    let Config {
        name,
        listen,
        discovery,
        seed,
        sockets,
        peers,
        rollouts,
        rollout,
        initial_list,
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

    // The relay's actor receives the list of units and the state of the newest build before any task.
    let (relay_events, events) = mpsc::unbounded_channel();
    let (list_sender, list_commands) = mpsc::unbounded_channel();
    let discovery = Discovery::new(discovery, ListDecoder::new(&names));
    let list = UnitListWatcher::new(discovery, initial_list, relay_events.clone());
    rollout
        .into_iter()
        .for_each(|state| drop(relay_events.send(Event::Rollout(state))));

    let peers = match peers {
        Some(addresses) => {
            let at = addresses.listen;
            let peers = Peers::start(addresses, names.settings.own_id, relay_events.clone()).await;
            peers.map_err(|error| format!("peer_listen: {at}: {error}"))?
        }
        None => Peers::default(),
    };
    let (list_ready, first_list) = oneshot::channel();
    let (platform_ready, first_platform_contact) = oneshot::channel();
    let (tracks, vote_timeout) = (names.tracks.clone(), names.settings.vote_timeout);
    let platform = rollouts.map(|at| {
        platform::spawn(
            at,
            vote_timeout,
            tracks,
            relay_events.clone(),
            platform_ready,
        )
    });
    let reload_targets = ReloadTargets {
        list: list_sender.clone(),
        platform: platform.clone(),
    };
    let units = UnitContext::new(relay_events.clone(), budget.units, &names.transport);
    let outbound = RelayOutbound {
        units,
        list: list_sender,
        platform,
        peers,
    };
    let actor = RelayActor::start(
        &names.settings,
        seed,
        Clock::start(),
        outbound,
        relay_events.clone(),
    );
    let mut actor_task = tokio::spawn(actor.run(events));
    tokio::spawn(list.run(list_commands, list_ready));

    let frontend = Frontend::new(&names, relay_events, lifecycle.clone());
    let keepalive = table.map_or(Duration::ZERO, |table| {
        Duration::from_secs_f64(table.probe_s)
    });
    let manager = ConnectionManager::new(
        listener,
        connection_limits(table, budget, &names.settings),
        keepalive,
        router(frontend),
    );
    let manager = manager.map_err(|error| format!("listen: {listen}: {error}"))?;
    let open = manager.open_count();
    let mut phases = lifecycle.watch();
    let leaving = async move { drop(phases.wait_for(|phase| *phase >= Phase::Leaving).await) };
    let handle_signals = async {
        loop {
            match signals.next().await {
                SignalAction::Stop => drop(lifecycle.enter(Phase::Leaving)),
                SignalAction::Reload => reload_targets.reload(reload_config()),
            }
        }
    };
    let max_wait = names.transport.max_client_wait.min(MAX_SHUTDOWN_WAIT);
    let shut_down = async {
        let enter_serving = async {
            // A part that is not configured or has ended dropped its sender, which ends the wait for it.
            let _ = tokio::join!(first_list, first_platform_contact);
            lifecycle.enter(Phase::Serving);
            std::future::pending().await
        };
        let mut phases = lifecycle.watch();
        tokio::select! {
            _ = phases.wait_for(|phase| *phase >= Phase::Leaving) => {}
            () = enter_serving => {}
        }
        sleep(SHUTDOWN_ACCEPT_PERIOD).await;
        let closed = async {
            while open.count() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        if timeout(
            (max_wait + SHUTDOWN_MARGIN).saturating_sub(SHUTDOWN_ACCEPT_PERIOD),
            closed,
        )
        .await
        .is_err()
        {
            warn!("{} connections are still open", open.count());
        }
        lifecycle.enter(Phase::Ended);
    };
    tokio::select! {
        () = shut_down => Ok(()),
        () = handle_signals => Err("signals: the handler ended".to_owned()),
        () = manager.run(leaving) => Err("clients: the connection manager ended".to_owned()),
        ended = &mut actor_task => {
            error!("the module's actor ended: {ended:?}");
            Err("relay actor: ended".to_owned())
        }
    }
}
