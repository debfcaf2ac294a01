//! The phases of a relay, as states of one object.

use tokio::sync::watch;
use tracing::info;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Parts are being started; nothing is promised.
    Starting,
    /// All parts can serve.
    Serving,
    /// Told to stop: what still arrives is taken and answered, kept connections are closed.
    Leaving,
    /// Nothing is left open.
    Ended,
}

/// The life of this relay; its phases only go forward.
#[derive(Clone)]
pub struct Life(watch::Sender<Phase>);

impl Life {
    pub fn begin() -> Life {
        info!("phase Starting");
        Life(watch::Sender::new(Phase::Starting))
    }

    pub fn now(&self) -> Phase {
        *self.0.borrow()
    }

    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.0.subscribe()
    }

    /// Enters a later phase; whether it was one.
    pub fn enter(&self, phase: Phase) -> bool {
        let entered = self.0.send_if_modified(|now| {
            let later = phase > *now;
            *now = phase.max(*now);
            later
        });
        if entered {
            info!(phase = ?phase, "phase {phase:?}");
        }
        entered
    }
}
