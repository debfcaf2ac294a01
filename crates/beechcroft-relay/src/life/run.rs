//! Puts the parts together, waits until all can serve, and takes them down again.

use crate::life::config::Config;
use crate::life::phases::{Life, Phase};
use crate::life::signals;
use crate::memory::list::ListActor;
use crate::memory::module::{Clock, Event, Hands, ModuleActor};
use crate::wire::budget::{Budget, LEAVE_LONGEST, LEAVE_MARGIN, LINGER};
use crate::wire::clients::{Clients, Front};
use crate::wire::discovery::{Discovery, Places};
use crate::wire::peers::Peers;
use crate::wire::platform;
use crate::wire::units::Shared;
use log::{error, info, warn};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// From start to exit; an error is one line.
pub async fn run(config: Config) -> Result<(), String> {
    let life = Life::begin();
    let stop = signals::stop().map_err(|error| format!("signals: {error}"))?;
    let Config { name, listen, discovery, seed, sockets, peers, rollouts, news, known, names } = config;
    let budget = Budget::of(sockets);
    let bound = TcpListener::bind(listen).await.and_then(|listener| Ok((listener.local_addr()?, listener)));
    let (listen, listener) = bound.map_err(|error| format!("listen: {listen}: {error}"))?;
    info!("{name} of {} relays, listens on {listen}, {sockets} descriptors", names.settings.relays);

    // The module hears of the list and of the builds before it hears of any task.
    let (module, events) = mpsc::unbounded_channel();
    let (follow, followed) = mpsc::unbounded_channel();
    let discovery = Discovery::new(discovery, Places::new(&names));
    let list = ListActor::new(discovery, known, module.clone());
    news.into_iter().for_each(|news| drop(module.send(Event::News(news))));

    let peers = match peers {
        Some(addresses) => {
            let at = addresses.listen;
            let peers = Peers::start(addresses, names.settings.me, module.clone()).await;
            peers.map_err(|error| format!("peer_listen: {at}: {error}"))?
        }
        None => Peers::default(),
    };
    let (listed, first_list) = oneshot::channel();
    let (reached, first_news) = oneshot::channel();
    let (tracks, wait) = (names.tracks.clone(), names.settings.answer_wait);
    let platform = rollouts.map(|at| platform::spawn(at, wait, tracks, module.clone(), reached));
    let units = Shared::new(module.clone(), budget.units, &names.transport);
    let hands = Hands::new(units, follow, platform, peers);
    let actor = ModuleActor::start(&names.settings, seed, Clock::start(), hands);
    let mut module_ends = tokio::spawn(actor.run(events));
    tokio::spawn(list.run(followed, listed));

    let clients = Clients::new(budget.clients);
    let front = Front::new(&names, module, life.clone());
    let longest = names.transport.longest_wait.min(LEAVE_LONGEST);
    let leave = async {
        let all_serve = async {
            let _ = tokio::join!(first_list, first_news); // a part that cannot be had says so by its end
            life.enter(Phase::Serving);
            std::future::pending().await
        };
        tokio::select! {
            () = stop => {}
            () = all_serve => {}
        }
        life.enter(Phase::Leaving);
        sleep(LINGER).await;
        let closed = async {
            // One place is the accepting loop's own.
            while clients.open() > 1 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        if timeout((longest + LEAVE_MARGIN).saturating_sub(LINGER), closed).await.is_err() {
            warn!("{} connections are still open", clients.open() - 1);
        }
        life.enter(Phase::Ended);
    };
    tokio::select! {
        () = leave => Ok(()),
        () = clients.accept(listener, front) => Err("clients: no longer accepted".to_owned()),
        ended = &mut module_ends => {
            error!("the module's actor ended: {ended:?}");
            Err("module: ended".to_owned())
        }
    }
}
