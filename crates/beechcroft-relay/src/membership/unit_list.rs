//! The watcher of the list of units: follows discovery without a gap and sends each change to the relay's actor in
//! order.

use crate::wire::discovery::Discovery;
use crate::wire::limits::{MIN_WATCH_INTERVAL, WATCH_RETRY_DELAY};
use crate::wire::rate_limited_log::RateLimitedLog;
use beechcroft_core::list::UnitList;
use beechcroft_core::{Event, Mailbox};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

/// Where commands for the watcher are sent.
pub type ListMailbox = mpsc::UnboundedSender<ListCommand>;

/// A command for the watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCommand {
    /// Follow the list, unless it is being followed already.
    Follow,
    /// Discovery has this address from now on.
    ChangeAddress(SocketAddr),
}

/// How one watch ended.
enum WatchOutcome {
    /// Discovery has answered.
    Received,
    /// Discovery did not answer, or its answer could not be decoded.
    Failed,
    /// Interrupted because discovery has another address.
    AddressChanged,
    /// All senders of commands were dropped.
    Closed,
}

/// Follows the list of units at discovery.
pub struct UnitListWatcher {
    discovery: Discovery,
    relay_events: Mailbox,
    index: Option<u64>,
    log: RateLimitedLog,
}

impl UnitListWatcher {
    /// Starts from the list that this relay last held, if there is one.
    pub fn new(
        discovery: Discovery,
        initial: Option<UnitList>,
        relay_events: Mailbox,
    ) -> UnitListWatcher {
        let index = initial.as_ref().map(|list| list.index);
        initial
            .into_iter()
            .for_each(|list| drop(relay_events.send(Event::UnitList(list))));
        UnitListWatcher {
            discovery,
            relay_events,
            index,
            log: RateLimitedLog::new("discovery"),
        }
    }

    /// `ready` is notified once discovery has answered or failed for the first time, or at once if a list is known.
    pub async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<ListCommand>,
        ready: oneshot::Sender<()>,
    ) {
        let mut ready = Some(ready);
        if self.index.is_some() {
            ready.take().map(|ready| ready.send(())); // the known list can serve
        }
        loop {
            let began = Instant::now();
            let outcome = self.watch_once(&mut commands).await;
            ready.take().map(|ready| ready.send(()));
            match outcome {
                // Limits the rate of watches if discovery answers each at once, so that this loop does not spin.
                WatchOutcome::Received => {
                    sleep(MIN_WATCH_INTERVAL.saturating_sub(began.elapsed())).await
                }
                WatchOutcome::AddressChanged => {}
                WatchOutcome::Failed => {
                    if self.relay_events.send(Event::DiscoveryFailed).is_err() {
                        return;
                    }
                    sleep(WATCH_RETRY_DELAY.saturating_sub(began.elapsed())).await;
                    // The relay's actor asks to follow again; the next watch starts after this delay in any case.
                    if let Ok(Some(ListCommand::ChangeAddress(to))) =
                        timeout(WATCH_RETRY_DELAY, commands.recv()).await
                    {
                        self.discovery.change_address(to);
                    }
                }
                WatchOutcome::Closed => return,
            }
        }
    }

    /// Runs one watch, from the last version that was received and decoded, from discovery or from the configuration.
    async fn watch_once(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<ListCommand>,
    ) -> WatchOutcome {
        let response = {
            let mut response = std::pin::pin!(self.discovery.watch(self.index));
            loop {
                tokio::select! {
                    biased;
                    command = commands.recv() => match command {
                        Some(ListCommand::Follow) => {}
                        Some(ListCommand::ChangeAddress(to)) => break Err(to),
                        None => return WatchOutcome::Closed,
                    },
                    response = &mut response => break Ok(response),
                }
            }
        };
        match response {
            Err(to) => {
                self.discovery.change_address(to);
                WatchOutcome::AddressChanged
            }
            Ok(Ok(list)) => {
                self.index = Some(list.index);
                if list.is_snapshot || !list.entries.is_empty() {
                    let _ = self.relay_events.send(Event::UnitList(list));
                }
                WatchOutcome::Received
            }
            Ok(Err(error)) => {
                self.log.warn(error);
                self.discovery.reconnect();
                WatchOutcome::Failed
            }
        }
    }
}
