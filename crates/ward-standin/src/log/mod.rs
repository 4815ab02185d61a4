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

/// Start settings of a log service.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Faults that are active from the start.
    pub faults: LogFaults,
}

/// Starts log services.
#[derive(Debug, Clone, Copy)]
pub struct LogStandin;

impl LogStandin {
    /// Starts a log service in the current Tokio runtime.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(settings: LogSettings) -> Result<RunningStandin, StandinError> {
        let listener = bind(settings.listen).await?;
        let state = Arc::new(LogState {
            faults: Mutex::new(settings.faults),
            streams: Mutex::default(),
            appended: Notify::new(),
        });
        let (_, signals) = crash_switch();
        // `Finish`, so that an append takes effect even after its client has timed out.
        let rule = CloseRule::Finish;
        serve(listener, routes::router(&state), rule, signals, || {})
            .map_err(|cause| StandinError::Listen(settings.listen, cause))
    }
}

/// State shared by all handlers of a log service.
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
