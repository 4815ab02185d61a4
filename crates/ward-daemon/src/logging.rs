//! Where log lines go.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};
use ward_settings::{LogFormat, LogSettings};

/// Lines held while the terminal is slow; more are counted and dropped.
const LINE_QUEUE_CAPACITY: usize = 4_096;

/// A logger that writes to standard error without holding up its callers.
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

/// A logger of JSON lines on standard output that never holds up its callers:
/// lines that a slow reader leaves no room for are counted and dropped.
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
