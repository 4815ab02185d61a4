//! A model engine.
//!
//! Memory in use is the sum over the replicas that the engine holds. A setting
//! decides whether a load that does not fit is refused, or executed and recorded
//! as an overcommit. An engine that checks its memory refuses; recording lets a
//! test check that no daemon orders such a load.

mod answer;
mod batch;
mod completion;
mod faults;
mod generation;
mod history;
mod holding;
mod load;
mod order;
mod prefix;
mod resume;
mod routes;
mod settings;
mod state;
mod status;
mod text;

use std::net::SocketAddr;
use std::sync::Arc;

use ward_protocol::{BackendInfo, BackendKind};

use crate::error::StandinError;
use crate::register::register;
use crate::server::{CloseRule, RunningStandin, bind, crash_switch, serve};
use state::EngineState;

pub use faults::EngineFaults;
pub use history::{CrashEntry, EngineHistory, HoldingEntry, OrderCause, OrderEntry, RunEntry};
pub use settings::{EngineSettings, MemoryRule};
pub use text::{answer_text, answer_token};

/// Starts model engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineStandin;

impl EngineStandin {
    /// Starts an engine in the current Tokio runtime and registers it in the host list.
    ///
    /// # Errors
    /// If the address cannot be bound or the registration fails.
    pub async fn start(settings: EngineSettings) -> Result<RunningStandin, StandinError> {
        let listen = settings.listen;
        let listener = bind(listen).await?;
        let hosts = settings.hosts;
        let (switch, signals) = crash_switch();
        let state = Arc::new(EngineState::new(settings, switch));
        let router = routes::router(&state);
        let crashed_state = state.clone();
        let standin = serve(listener, router, CloseRule::Drop, signals, move || {
            crashed_state.reset();
        })
        .map_err(|cause| StandinError::Listen(listen, cause))?;
        if let Some(hosts) = hosts {
            register(hosts, engine_info(&state.settings, standin.address)).await?;
        }
        Ok(standin)
    }
}

fn engine_info(settings: &EngineSettings, address: SocketAddr) -> BackendInfo {
    BackendInfo {
        backend: settings.id.clone(),
        kind: BackendKind::Engine,
        zone: settings.zone.clone(),
        address,
        memory: settings.memory,
        fencing: settings.fencing,
        services: Vec::new(),
    }
}
