//! The append-only log service.

mod faults;
mod history;
mod routes;
mod streams;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use crate::error::StandinError;
use crate::server::{CloseRule, RunningStandin, bind, crash_switch, lock, serve};
use streams::StreamSet;

pub use faults::LogFaults;
pub use history::{AppendEntry, LogHistory, StreamHistory};

/// What a log starts with.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Faults from the start.
    pub faults: LogFaults,
}

/// Starts log services.
#[derive(Debug, Clone, Copy)]
pub struct LogStandin;

impl LogStandin {
    /// Starts a log in the present runtime.
    ///
    /// # Errors
    /// When the address cannot be used.
    pub async fn start(settings: LogSettings) -> Result<RunningStandin, StandinError> {
        let listener = bind(settings.listen).await?;
        let state = Arc::new(LogState {
            faults: Mutex::new(settings.faults),
            streams: Mutex::default(),
            appended: Notify::new(),
        });
        let (_, signals) = crash_switch();
        // An append takes effect even when its client has given up.
        let rule = CloseRule::Finish;
        serve(listener, routes::router(&state), rule, signals, || {})
            .map_err(|cause| StandinError::Listen(settings.listen, cause))
    }
}

/// A log with its faults.
struct LogState {
    faults: Mutex<LogFaults>,
    streams: Mutex<StreamSet>,
    appended: Notify,
}

impl LogState {
    fn faults(&self) -> LogFaults {
        lock(&self.faults).clone()
    }
}
