//! The list's actor: watches discovery without a gap and tells the module each change in order.

use crate::wire::budget::{WATCH_FLOOR, WATCH_PAUSE};
use crate::wire::discovery::Discovery;
use crate::wire::sparse::Sparse;
use beechcroft_core::list::UnitList;
use beechcroft_core::{Event, Mailbox};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

pub type ListMailbox = mpsc::UnboundedSender<ToList>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToList {
    /// To follow the list, where it is not doing so.
    Follow,
    /// Discovery is there from now on.
    Moved(SocketAddr),
}

/// What came of one watch.
enum Watched {
    Told,
    Failed,
    /// Given up for another address.
    Moved,
    /// Nobody asks any more.
    Over,
}

pub struct ListActor {
    discovery: Discovery,
    module: Mailbox,
    index: Option<u64>,
    odd: Sparse,
}

impl ListActor {
    /// Begins with the list as this relay last held it, if any.
    pub fn new(discovery: Discovery, known: Option<UnitList>, module: Mailbox) -> ListActor {
        let index = known.as_ref().map(|known| known.index);
        known
            .into_iter()
            .for_each(|known| drop(module.send(Event::UnitList(known))));
        ListActor {
            discovery,
            module,
            index,
            odd: Sparse::new("discovery"),
        }
    }

    /// `first` is told once discovery has answered, or failed to, for the first time.
    pub async fn run(
        mut self,
        mut asked: mpsc::UnboundedReceiver<ToList>,
        first: oneshot::Sender<()>,
    ) {
        let mut first = Some(first);
        if self.index.is_some() {
            first.take().map(|first| first.send(())); // what is known serves
        }
        loop {
            let began = Instant::now();
            let watched = self.follow(&mut asked).await;
            first.take().map(|first| first.send(()));
            match watched {
                // A watch that is answered at once, over and over, is no watch; it must not spin.
                Watched::Told => sleep(WATCH_FLOOR.saturating_sub(began.elapsed())).await,
                Watched::Moved => {}
                Watched::Failed => {
                    if self.module.send(Event::DiscoveryFailed).is_err() {
                        return;
                    }
                    sleep(WATCH_PAUSE.saturating_sub(began.elapsed())).await;
                    // The module asks to follow again; in any case the gap stays short.
                    if let Ok(Some(ToList::Moved(to))) = timeout(WATCH_PAUSE, asked.recv()).await {
                        self.discovery.moved(to);
                    }
                }
                Watched::Over => return,
            }
        }
    }

    /// One watch, from the last version that was understood, wherever that came from.
    async fn follow(&mut self, asked: &mut mpsc::UnboundedReceiver<ToList>) -> Watched {
        let answer = {
            let mut answer = std::pin::pin!(self.discovery.ask(self.index));
            loop {
                tokio::select! {
                    biased;
                    order = asked.recv() => match order {
                        Some(ToList::Follow) => {}
                        Some(ToList::Moved(to)) => break Err(to),
                        None => return Watched::Over,
                    },
                    answer = &mut answer => break Ok(answer),
                }
            }
        };
        match answer {
            Err(to) => {
                self.discovery.moved(to);
                Watched::Moved
            }
            Ok(Ok(list)) => {
                self.index = Some(list.index);
                if list.is_snapshot || !list.entries.is_empty() {
                    let _ = self.module.send(Event::UnitList(list));
                }
                Watched::Told
            }
            Ok(Err(error)) => {
                self.odd.warn(error);
                self.discovery.reconnect();
                Watched::Failed
            }
        }
    }
}
