//! Follows a shared store: one connection, pipelined. What is asked goes out in batches, each with a nonce that its last
//! reply has to bring back, and a claim's reply names the claim; where either fails, replies have been lost, repeated or
//! swapped, the connection is given up, and all that was open on it is unknown. Nobody waits here for longer than asked.
//!
//! No program uses this package yet: it is the part of a shared store that stands, retention until the relay uses it
//! (`docs/ROADMAP.md`, "Redis as a shared store").

mod claim;
mod link;

use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
pub use claim::mark_key;
use link::{Batch, Link};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{info, warn};

/// Asks that wait for a connection or a batch. Past them nothing is asked: whoever would be further back has gone on alone
/// before his turn came.
const QUEUE: usize = 1024;
/// Asks in one batch, so that one slow reply holds up few.
const BATCH: usize = 64;
/// Batches open at once; the store's answer to one frees the next.
const OPEN: usize = 8;
/// For a connection to come up, and for each reply to its greeting.
const GREETING: Duration = Duration::from_secs(1);
/// A batch that is not answered for so long ends the connection: what comes later is of use to nobody.
const SILENT: Duration = Duration::from_secs(1);
/// Between connections where one failed: doubled each time, spread by half of it.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_secs(5);

/// Where the store is, and who we are there.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    pub address: SocketAddr,
    /// Empty where it asks for none.
    pub user: String,
    pub password: String,
    pub database: u32,
    pub seed: u64,
}

/// What is asked of the store.
#[derive(Debug)]
pub enum StoreRequest {
    /// To mark a task, unless it has a mark; what was found. After `by` nobody waits any more, and it is not asked.
    Claim {
        name: String,
        mark: ExecutionMark,
        retention: Duration,
        deadline: Instant,
        reply: oneshot::Sender<ClaimOutcome>,
    },
    /// To write where a task that this run has marked was sent. Nobody waits.
    RecordSent {
        name: String,
        mark: ExecutionMark,
        retention: Duration,
    },
    /// The store is elsewhere from now on.
    AddressChanged(SocketAddr),
}

/// The store's own end of the mailbox never blocks: what it cannot take is dropped, and the claim's end tells so.
#[derive(Clone, Debug)]
pub struct StoreClient(mpsc::Sender<StoreRequest>);

impl StoreClient {
    /// Follows it until nobody holds this.
    pub fn spawn(place: StoreConfig) -> StoreClient {
        let (sender, asks) = mpsc::channel(QUEUE);
        let rng = Pcg64Mcg::seed_from_u64(place.seed);
        tokio::spawn(
            Follower {
                place,
                asks,
                rng,
                held: None,
            }
            .run(),
        );
        StoreClient(sender)
    }

    /// Marks a task; waits for no longer than `wait`. Silence is [`ClaimOutcome::Unknown`], as the mark may be written.
    pub async fn claim(
        &self,
        name: String,
        mark: ExecutionMark,
        retention: Duration,
        wait: Duration,
    ) -> ClaimOutcome {
        let (reply, outcome) = oneshot::channel();
        let deadline = Instant::now() + wait;
        if self
            .0
            .try_send(StoreRequest::Claim {
                name,
                mark,
                retention,
                deadline,
                reply,
            })
            .is_err()
        {
            return ClaimOutcome::NotSent;
        }
        match timeout(wait, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ClaimOutcome::Unknown,
        }
    }

    /// Whether it was taken; what is lost makes others more careful only.
    pub fn try_send(&self, ask: StoreRequest) -> bool {
        self.0.try_send(ask).is_ok()
    }
}

struct Follower {
    place: StoreConfig,
    asks: mpsc::Receiver<StoreRequest>,
    rng: Pcg64Mcg,
    /// Received while there was no connection.
    held: Option<StoreRequest>,
}

/// Why a connection ended.
enum Ended {
    Broken(String),
    Moved,
    Over,
}

impl Follower {
    async fn run(mut self) {
        let mut pause = PAUSE;
        loop {
            let greeted = timeout(GREETING * 2, Link::greet(&self.place)).await;
            let ended = match greeted.unwrap_or_else(|_| Err("no greeting in time".to_owned())) {
                Ok(link) => {
                    info!(part = "store", address = %self.place.address, "store: connected to {}", self.place.address);
                    pause = PAUSE;
                    self.serve(link).await
                }
                Err(why) => Ended::Broken(why),
            };
            match ended {
                Ended::Over => return,
                Ended::Moved => pause = PAUSE,
                Ended::Broken(why) => {
                    warn!(part = "store", address = %self.place.address, reason = why, "store: {}: {why}", self.place.address);
                    let spread = pause.mul_f64(1.0 + self.rng.random::<f64>() / 2.0);
                    pause = (pause * 2).min(PAUSE_MOST);
                    if self.idle_until(Instant::now() + spread).await {
                        return;
                    }
                }
            }
        }
    }

    /// Without a connection: what is asked is told at once that it is not. Whether all is over.
    async fn idle_until(&mut self, until: Instant) -> bool {
        loop {
            tokio::select! {
                biased;
                ask = self.asks.recv() => match ask {
                    Some(StoreRequest::Claim { reply, .. }) => drop(reply.send(ClaimOutcome::NotSent)),
                    Some(StoreRequest::RecordSent { .. }) => {}
                    Some(StoreRequest::AddressChanged(to)) => {
                        self.place.address = to;
                        return false;
                    }
                    None => return true,
                },
                () = sleep_until(until) => return false,
            }
        }
    }

    async fn serve(&mut self, mut link: Link) -> Ended {
        loop {
            let silent = link.waits_since().map(|since| since + SILENT);
            tokio::select! {
                biased;
                ready = link.ready() => if let Err(why) = ready.and_then(|()| link.go_on()) {
                    return Ended::Broken(why);
                },
                () = sleep_until(silent.unwrap_or_else(Instant::now)), if silent.is_some() => {
                    return Ended::Broken(format!("silent for {SILENT:?}"));
                }
                ask = self.asks.recv(), if link.open() < OPEN => match ask {
                    Some(ask) => {
                        self.held = Some(ask);
                        if let Some(ended) = self.batch(&mut link) {
                            return ended;
                        }
                    }
                    None => return Ended::Over,
                },
            }
        }
    }

    /// Puts all that waits into one batch, but what nobody waits for any more.
    fn batch(&mut self, link: &mut Link) -> Option<Ended> {
        let mut batch = Batch::new(self.rng.random());
        let now = Instant::now();
        let mut moved = None;
        while batch.len() < BATCH {
            let Some(ask) = self.held.take().or_else(|| self.asks.try_recv().ok()) else {
                break;
            };
            match ask {
                StoreRequest::Claim {
                    reply, deadline, ..
                } if deadline <= now => drop(reply.send(ClaimOutcome::NotSent)),
                StoreRequest::Claim {
                    name,
                    mark,
                    retention,
                    reply,
                    ..
                } => batch.claim(name, &mark, retention, self.rng.random(), reply),
                StoreRequest::RecordSent {
                    name,
                    mark,
                    retention,
                } => batch.sent(&name, &mark, retention, self.rng.random()),
                StoreRequest::AddressChanged(to) => {
                    moved = Some(to);
                    break;
                }
            }
        }
        link.send(batch);
        // What is open on the old connection is unknown, whatever becomes of it.
        moved.map(|to| {
            self.place.address = to;
            Ended::Moved
        })
    }
}
