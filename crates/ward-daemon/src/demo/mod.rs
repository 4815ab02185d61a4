//! A demonstration with daemons and stand-ins in one process.
//!
//! It needs nothing outside the process: the platform, the engines and the service
//! are the stand-ins that the tests use, on free ports of 127.0.0.1.

mod fleet;
mod report;
mod session;

use slog::{Discard, Logger, o};
use ward_settings::{LogFormat, LogLevel, LogSettings};

use crate::logging::root_logger;
use crate::program::{DemoOptions, ProgramExit, traffic_runtime};
use session::run_session;

const TRAFFIC_THREADS: u16 = 4;

/// Runs the demonstration; prints its results and any failure.
#[must_use]
pub fn run_demo(options: DemoOptions) -> ProgramExit {
    let logger = demo_logger(options.verbose);
    let runtime = match traffic_runtime(TRAFFIC_THREADS) {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("the demonstration cannot start: {cause}");
            return ProgramExit::Failed;
        }
    };
    match runtime.block_on(run_session(options, &logger)) {
        Ok(()) => ProgramExit::Done,
        Err(cause) => {
            eprintln!("the demonstration failed: {cause}");
            ProgramExit::Failed
        }
    }
}

fn demo_logger(verbose: bool) -> Logger {
    if !verbose {
        return Logger::root(Discard, o!());
    }
    root_logger(LogSettings {
        format: LogFormat::Text,
        level: LogLevel::Info,
    })
}
