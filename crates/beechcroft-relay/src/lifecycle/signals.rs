//! The signals that a relay handles.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signal handlers, installed from the creation of this value and not only from the first wait.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// SIGTERM or SIGINT: shut down.
    Stop,
    /// SIGHUP: read the configuration again. Several that arrive together may be reported as one.
    Reload,
}

impl Signals {
    /// Installs the handlers. Must be called inside a runtime.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            biased;
            _ = self.term.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
