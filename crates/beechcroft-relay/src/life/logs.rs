//! Log lines, on standard error. A text line is what the on-call page lists; a JSON line has the same and the fields that
//! a program looks for (task, unit, connection, part, reason).

use clap::ValueEnum;
use tracing::field::Field;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::Subscriber;
use tracing_subscriber::EnvFilter;

/// Lines that wait for their reader. Past them lines are lost, so that a reader that is slow or gone delays no task; some
/// 0.5 MB at most.
const LINES: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// Begins to write lines, as `RUST_LOG` says; `info` if it says nothing. What still waits is written when the guard goes,
/// within a second.
pub fn begin(format: Format) -> WorkerGuard {
    let lines = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES);
    let (writer, guard) = lines.thread_name("log").finish(std::io::stderr());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let all = Subscriber::builder()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    // A second one, as in a test that starts two relays, changes nothing.
    let _ = match format {
        Format::Text => {
            let message =
                |writer: &mut Writer<'_>, field: &Field, value: &dyn std::fmt::Debug| match field
                    .name()
                {
                    "message" => write!(writer, "{value:?}"),
                    _ => Ok(()),
                };
            tracing::subscriber::set_global_default(
                all.with_target(false)
                    .fmt_fields(debug_fn(message))
                    .finish(),
            )
        }
        Format::Json => {
            tracing::subscriber::set_global_default(all.json().flatten_event(true).finish())
        }
    };
    guard
}
