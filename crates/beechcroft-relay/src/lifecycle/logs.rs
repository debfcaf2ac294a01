//! Log lines on standard error. A text line is the one that the on-call page lists; a JSON line has the same message
//! and the fields that a program filters by (task, unit, connection, part, reason).

use clap::ValueEnum;
use tracing::field::Field;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::Subscriber;
use tracing_subscriber::EnvFilter;

/// Limit on buffered log lines, about 0.5 MB. Beyond it lines are dropped, so that a slow or missing reader delays no
/// task.
const MAX_BUFFERED_LINES: usize = 2048;

/// Format of the log lines: text without fields, or one JSON object a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// Starts logging, filtered as `RUST_LOG` says, or else at `info`. Buffered lines are written when the guard is
/// dropped, within a second.
pub fn init(format: Format) -> WorkerGuard {
    let builder = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber = Subscriber::builder()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    // A second subscriber, as in a test that starts two relays, is ignored.
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
                subscriber
                    .with_target(false)
                    .fmt_fields(debug_fn(message))
                    .finish(),
            )
        }
        Format::Json => {
            tracing::subscriber::set_global_default(subscriber.json().flatten_event(true).finish())
        }
    };
    guard
}
