//! The phases of a relay process.

use tokio::sync::watch;
use tracing::info;

/// A phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Parts are being started; the relay may not serve yet.
    Starting,
    /// All parts can serve.
    Serving,
    /// Shutting down: requests that still arrive are accepted and answered, idle connections are closed.
    Leaving,
    /// Shut down: no connection is open, or the time for it is over.
    Ended,
}

/// The current phase of this relay; phases only advance.
#[derive(Clone)]
pub struct Lifecycle(watch::Sender<Phase>);

impl Lifecycle {
    /// Begins in [`Phase::Starting`].
    pub fn start() -> Lifecycle {
        info!("phase Starting");
        Lifecycle(watch::Sender::new(Phase::Starting))
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    /// Reports each change of the phase.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.0.subscribe()
    }

    /// Enters a phase; returns whether it comes after the current one, and does nothing otherwise.
    pub fn enter(&self, phase: Phase) -> bool {
        let entered = self.0.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
        if entered {
            info!(phase = ?phase, "phase {phase:?}");
        }
        entered
    }
}
