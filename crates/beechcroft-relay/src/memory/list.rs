//! The list's actor: watches discovery without a gap and tells the module each change in order.

use crate::memory::module::{Event, Mailbox};
use crate::wire::budget::{WATCH_FLOOR, WATCH_PAUSE};
use crate::wire::discovery::{Discovery, List};
use crate::wire::sparse::Sparse;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

/// Asks the actor to follow the list, where it is not doing so.
pub type ListMailbox = mpsc::UnboundedSender<()>;

pub struct ListActor {
    discovery: Discovery,
    module: Mailbox,
    index: Option<u64>,
    odd: Sparse,
}

impl ListActor {
    /// Begins with the list as this relay last held it, if any.
    pub fn new(discovery: Discovery, known: Option<List>, module: Mailbox) -> ListActor {
        let index = known.as_ref().map(|known| known.index);
        known.into_iter().for_each(|known| drop(module.send(Event::List(known))));
        ListActor { discovery, module, index, odd: Sparse::new("discovery") }
    }

    /// `first` is told once discovery has answered, or failed to, for the first time.
    pub async fn run(mut self, mut asked: mpsc::UnboundedReceiver<()>, first: oneshot::Sender<()>) {
        if self.index.is_none() {
            self.follow().await; // else what is known serves
        }
        let _ = first.send(());
        loop {
            let began = Instant::now();
            if self.follow().await {
                // A watch that is answered at once, over and over, is no watch; it must not spin.
                tokio::time::sleep(WATCH_FLOOR.saturating_sub(began.elapsed())).await;
                continue;
            }
            if self.module.send(Event::ListFailed).is_err() {
                return;
            }
            // The module asks to follow again; in any case the gap stays short.
            while asked.try_recv().is_ok() {}
            let pause = WATCH_PAUSE.saturating_sub(began.elapsed());
            tokio::time::sleep(pause).await;
            let _ = timeout(WATCH_PAUSE, asked.recv()).await;
        }
    }

    /// One watch; whether it was answered.
    async fn follow(&mut self) -> bool {
        match self.discovery.ask(self.index).await {
            Ok(list) => {
                self.index = Some(list.index);
                if list.whole || !list.entries.is_empty() {
                    let _ = self.module.send(Event::List(list));
                }
                true
            }
            Err(error) => {
                self.odd.warn(error);
                false
            }
        }
    }
}
