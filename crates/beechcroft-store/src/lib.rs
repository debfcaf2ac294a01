//! Client of a shared store that speaks RESP, over one pipelined connection.
//!
//! Requests go out in batches. Each batch ends with an `ECHO` of a nonce, which its last reply must return, and the
//! reply to a claim contains the claim's own text. If either check fails, replies were lost, repeated or reordered:
//! the connection is closed, and the outcome of everything in flight on it is unknown. A caller never waits longer
//! than it asked to.
//!
//! No program uses this package yet: it is the finished part of a shared store, kept until the relay uses it
//! (`docs/ROADMAP.md`, "Redis as a shared store").

mod claim;
mod connection;

use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
pub use claim::mark_key;
use connection::{Batch, Connection};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{info, warn};

/// Requests that may wait for a connection or a batch. Further requests are not sent: their callers would have timed
/// out and continued without the store before their turn came.
const MAX_QUEUED: usize = 1024;
/// Requests in one batch; the limit bounds how many requests one slow reply delays.
const MAX_BATCH: usize = 64;
/// Batches in flight at once; the next is sent when the store has answered one.
const MAX_IN_FLIGHT: usize = 8;
/// Timeout for each reply of the handshake. Connecting and the whole handshake together may take twice as long.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection is closed if its oldest batch has not been answered for this long: no caller waits for a later reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// First delay before reconnecting after a failure. It doubles with each failure, up to [`MAX_RECONNECT_DELAY`]; jitter
/// adds up to half of it.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of the reconnect delay, without jitter.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

/// Address of the store and the credentials to use there.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Address of the store.
    pub address: SocketAddr,
    /// Empty for the store's default user.
    pub user: String,
    /// Empty if the store requires no authentication.
    pub password: String,
    /// Number of the database to select; 0 needs no `SELECT`.
    pub database: u32,
    /// Seed of the random numbers for nonces and reconnect jitter.
    pub seed: u64,
}

/// A request to the store.
#[derive(Debug)]
pub enum StoreRequest {
    /// Sets a task's mark unless it already has one, and reports the outcome to `reply`. Not sent after `deadline`,
    /// as the caller no longer waits.
    Claim {
        /// Store key of the mark, from [`mark_key`].
        key: String,
        mark: ExecutionMark,
        /// Time until the mark expires in the store.
        retention: Duration,
        deadline: Instant,
        reply: oneshot::Sender<ClaimOutcome>,
    },
    /// Records where a task that this incarnation has marked was sent. No reply is reported.
    RecordSent {
        /// Store key of the mark, from [`mark_key`].
        key: String,
        mark: ExecutionMark,
        /// Time until the mark expires in the store, from this update on.
        retention: Duration,
    },
    /// The store has a new address.
    AddressChanged(SocketAddr),
}

/// Handle of a running client. Queuing a request never blocks: if the queue is full, the request is dropped and a claim
/// returns [`ClaimOutcome::NotSent`].
#[derive(Clone, Debug)]
pub struct StoreClient(mpsc::Sender<StoreRequest>);

impl StoreClient {
    /// Starts the client's task, which runs until all handles are dropped.
    pub fn spawn(config: StoreConfig) -> StoreClient {
        let (sender, requests) = mpsc::channel(MAX_QUEUED);
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        tokio::spawn(
            Worker {
                config,
                requests,
                rng,
                pending: None,
            }
            .run(),
        );
        StoreClient(sender)
    }

    /// Claims a task; waits no longer than `wait`. Without a reply in that time the outcome is
    /// [`ClaimOutcome::Unknown`], as the mark may have been written.
    pub async fn claim(
        &self,
        key: String,
        mark: ExecutionMark,
        retention: Duration,
        wait: Duration,
    ) -> ClaimOutcome {
        let (reply, outcome) = oneshot::channel();
        let deadline = Instant::now() + wait;
        if self
            .0
            .try_send(StoreRequest::Claim {
                key,
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

    /// Queues a request without waiting for its result; returns whether it was queued. A lost request only makes other
    /// relays more cautious.
    pub fn try_send(&self, request: StoreRequest) -> bool {
        self.0.try_send(request).is_ok()
    }
}

/// The task that owns the connection.
struct Worker {
    config: StoreConfig,
    requests: mpsc::Receiver<StoreRequest>,
    rng: Pcg64Mcg,
    /// Received from the queue, and not yet put into a batch.
    pending: Option<StoreRequest>,
}

/// Why a connection ended.
enum Disconnect {
    /// The connection failed, for this reason.
    Failed(String),
    /// The store has a new address.
    AddressChanged,
    /// All handles were dropped.
    Shutdown,
}

impl Worker {
    async fn run(mut self) {
        let mut delay = RECONNECT_DELAY;
        loop {
            let connected = timeout(HANDSHAKE_TIMEOUT * 2, Connection::open(&self.config)).await;
            let disconnect = match connected
                .unwrap_or_else(|_| Err("connecting and the handshake timed out".to_owned()))
            {
                Ok(connection) => {
                    info!(part = "store", address = %self.config.address, "store: connected to {}", self.config.address);
                    delay = RECONNECT_DELAY;
                    self.serve(connection).await
                }
                Err(reason) => Disconnect::Failed(reason),
            };
            match disconnect {
                Disconnect::Shutdown => return,
                Disconnect::AddressChanged => delay = RECONNECT_DELAY,
                Disconnect::Failed(reason) => {
                    warn!(part = "store", address = %self.config.address, reason, "store: connection to {} failed: {reason}", self.config.address);
                    let with_jitter = delay.mul_f64(1.0 + self.rng.random::<f64>() / 2.0);
                    delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                    if self.wait_disconnected(Instant::now() + with_jitter).await {
                        return;
                    }
                }
            }
        }
    }

    /// Waits without a connection: claims are answered [`ClaimOutcome::NotSent`] at once. Returns whether all handles
    /// were dropped.
    async fn wait_disconnected(&mut self, until: Instant) -> bool {
        loop {
            tokio::select! {
                biased;
                request = self.requests.recv() => match request {
                    Some(StoreRequest::Claim { reply, .. }) => drop(reply.send(ClaimOutcome::NotSent)),
                    Some(StoreRequest::RecordSent { .. }) => {}
                    Some(StoreRequest::AddressChanged(address)) => {
                        self.config.address = address;
                        return false;
                    }
                    None => return true,
                },
                () = sleep_until(until) => return false,
            }
        }
    }

    /// Sends requests and handles replies until the connection ends.
    async fn serve(&mut self, mut connection: Connection) -> Disconnect {
        loop {
            let reply_deadline = connection
                .oldest_sent_at()
                .map(|sent_at| sent_at + REPLY_TIMEOUT);
            tokio::select! {
                biased;
                ready = connection.ready() => if let Err(reason) = ready.and_then(|()| connection.process()) {
                    return Disconnect::Failed(reason);
                },
                () = sleep_until(reply_deadline.unwrap_or_else(Instant::now)), if reply_deadline.is_some() => {
                    return Disconnect::Failed(format!("no reply for {REPLY_TIMEOUT:?}"));
                }
                request = self.requests.recv(), if connection.in_flight() < MAX_IN_FLIGHT => match request {
                    Some(request) => {
                        self.pending = Some(request);
                        if let Some(disconnect) = self.send_batch(&mut connection) {
                            return disconnect;
                        }
                    }
                    None => return Disconnect::Shutdown,
                },
            }
        }
    }

    /// Sends the queued requests as one batch, without claims whose deadline has passed. Returns a reason to close the
    /// connection, if there is one.
    fn send_batch(&mut self, connection: &mut Connection) -> Option<Disconnect> {
        let mut batch = Batch::new(self.rng.random());
        let now = Instant::now();
        let mut new_address = None;
        while batch.len() < MAX_BATCH {
            let Some(request) = self
                .pending
                .take()
                .or_else(|| self.requests.try_recv().ok())
            else {
                break;
            };
            match request {
                StoreRequest::Claim {
                    reply, deadline, ..
                } if deadline <= now => drop(reply.send(ClaimOutcome::NotSent)),
                StoreRequest::Claim {
                    key,
                    mark,
                    retention,
                    reply,
                    ..
                } => batch.claim(key, &mark, retention, self.rng.random(), reply),
                StoreRequest::RecordSent {
                    key,
                    mark,
                    retention,
                } => batch.record_sent(&key, &mark, retention, self.rng.random()),
                StoreRequest::AddressChanged(address) => {
                    new_address = Some(address);
                    break;
                }
            }
        }
        connection.send(batch);
        // The outcome of what was written to the old connection stays unknown, whatever the old store does with it;
        // dropping the connection reports that.
        new_address.map(|address| {
            self.config.address = address;
            Disconnect::AddressChanged
        })
    }
}
