//! The signals that a relay heeds.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Their handlers stand from the making of this on, not from the first wait.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP; several that came together may be told as one.
    Reload,
}

impl Signals {
    /// Needs a runtime to be entered.
    pub fn take() -> io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    pub async fn next(&mut self) -> Asked {
        tokio::select! {
            biased;
            _ = self.term.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.hangup.recv() => Asked::Reload,
        }
    }
}
