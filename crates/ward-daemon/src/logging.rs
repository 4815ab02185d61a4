//! Loggers that write to standard error or standard output.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};
use ward_settings::{LogFormat, LogSettings};

/// Lines queued for a slow reader of the output; when the queue is full, further lines
/// are counted and dropped.
const LINE_QUEUE_CAPACITY: usize = 4_096;

/// A logger that writes to standard error and never blocks its callers.
pub fn root_logger(settings: LogSettings) -> Logger {
    let level = Level::from(settings.level);
    match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            async_logger(drain.fuse(), level)
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(io::stderr()));
            async_logger(drain.fuse(), level)
        }
    }
}

/// A logger that writes JSON lines to standard output and never blocks its callers.
pub fn stdout_logger() -> Logger {
    let drain = Mutex::new(slog_json::Json::default(io::stdout()));
    async_logger(drain.fuse(), Level::Info)
}

fn async_logger(
    drain: impl Drain<Ok = (), Err = slog::Never> + Send + 'static,
    level: Level,
) -> Logger {
    let drain = slog_async::Async::new(drain)
        .chan_size(LINE_QUEUE_CAPACITY)
        .build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, o!())
}
