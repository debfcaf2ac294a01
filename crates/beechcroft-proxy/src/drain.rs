//! Draining after SIGTERM: which requests a proxy still takes, and how it ends.
//!
//! A proxy that drains leaves the directory at once, but clients go on using it for as long as they keep what the
//! directory told them. It takes their requests as long as it can answer them before it must exit; others are rejected
//! before they reach a unit, so that clients send them elsewhere. What is still in flight near the end of the grace
//! period is answered rather than cut off.

use crate::shared::{Phase, Shared};
use crate::state_owner::{Command, CommandQueue};
use beechcroft_safeguards::Safeguard;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Minimum time for which a proxy continues to serve after SIGTERM. Clients may use a cached response of the directory,
/// which still names this proxy.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3500);
/// All requests are answered this long before the end of the grace period.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// The process exits this long before the end of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// For this long after SIGTERM, requests are taken whose deadline lies beyond the end of the drain, if units are fast
/// enough to answer them before. After it, a request that a unit still works on at the end counts as lost.
const OPEN_ENDED_PERIOD: Duration = Duration::from_secs(3);
/// Nearly all requests of a service take at most this many times its mean latency.
const TAIL_LATENCY_FACTOR: u32 = 4;
/// Interval at which a shutdown checks whether the requests in flight have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A drain that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    began_at: Instant,
    /// Time by which all requests are answered.
    answer_by: Instant,
}

impl Drain {
    /// A drain that begins now and ends within the grace period.
    pub fn new(grace: Duration) -> Drain {
        let began_at = Instant::now();
        Drain {
            began_at,
            answer_by: began_at + grace.saturating_sub(ANSWER_MARGIN),
        }
    }

    /// Whether a request with this deadline may be taken now: its deadline passes before the drain ends, or it is
    /// expected to be answered before. `mean_latency` is that of its service.
    pub fn admits(&self, deadline: Instant, mean_latency: Duration) -> bool {
        if deadline <= self.answer_by || !Safeguard::DrainAdmission.is_enabled() {
            return true;
        }
        let now = Instant::now();
        let is_early = now <= self.began_at + OPEN_ENDED_PERIOD;
        is_early && now + mean_latency * TAIL_LATENCY_FACTOR <= self.answer_by
    }
}

/// Drains the proxy after SIGTERM. It reports not ready and leaves the directory at once. Returns once no request is in
/// flight and clients use other proxies, or shortly before the end of the grace period.
pub async fn shut_down(
    shared: Rc<Shared>,
    queue: CommandQueue,
    shutdown: impl Future<Output = ()>,
) {
    shutdown.await;
    let grace = Duration::from_secs_f64(shared.settings.bounds.grace_s);
    let drain = Drain::new(grace);
    shared.drain.set(Some(drain));
    shared.phase.set(Phase::Draining);
    let _ = queue.send(Command::ShutDown);
    let drained_at = drain.began_at + MIN_DRAIN_TIME.min(grace / 2);
    let exit_at = drain.began_at + grace.saturating_sub(EXIT_MARGIN);
    loop {
        sleep(POLL_INTERVAL).await;
        let now = Instant::now();
        if now >= drain.answer_by && shared.phase.get() == Phase::Draining {
            shared.phase.set(Phase::Closing);
            if Safeguard::AnswerBeforeExit.is_enabled() {
                shared.closing.notify_waiters();
            }
        }
        let is_drained = now >= drained_at && shared.in_flight.get() == 0;
        if now >= exit_at || is_drained {
            return;
        }
    }
}
