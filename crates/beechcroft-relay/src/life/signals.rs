//! The signals that end a relay.

use std::io;
use tokio::signal::unix::{signal, SignalKind};

/// Ends at the first SIGTERM or SIGINT. The handlers stand from this call on, not from the first wait.
pub fn stop() -> io::Result<impl std::future::Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
