//! Runs a daemon until SIGTERM or SIGINT stops it.

use std::io;
use std::path::Path;

use slog::{Logger, crit, info};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use ward_settings::DaemonSettings;

use super::exit::ProgramExit;
use super::settings::load;
use crate::logging::root_logger;
use crate::process::start_daemon;

pub(super) fn serve(path: &Path) -> ProgramExit {
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let logger = root_logger(settings.logging);
    let threads = settings.traffic_threads;
    match traffic_runtime(threads) {
        Ok(runtime) => runtime.block_on(run(settings, logger)),
        Err(cause) => {
            crit!(logger, "daemon: traffic threads not started"; "cause" => %cause);
            ProgramExit::Failed
        }
    }
}

/// A runtime with the threads that serve callers and operators.
pub(crate) fn traffic_runtime(threads: u16) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(usize::from(threads.max(1)))
        .thread_name("traffic")
        .enable_all()
        .build()
}

async fn run(settings: DaemonSettings, logger: Logger) -> ProgramExit {
    let daemon = match start_daemon(settings, logger.clone()).await {
        Ok(daemon) => daemon,
        Err(cause) => {
            crit!(logger, "daemon: not started"; "cause" => %cause);
            return ProgramExit::Failed;
        }
    };
    if let Err(cause) = stop_signal().await {
        crit!(logger, "daemon: signals cannot be received"; "cause" => %cause);
        return ProgramExit::Failed;
    }
    info!(logger, "daemon: stop signal received");
    daemon.stop().await;
    ProgramExit::Done
}

async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
