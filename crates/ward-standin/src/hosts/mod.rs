//! The list of live and leaving hosts, and the weight store.

mod faults;
mod history;
mod list;
mod routes;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use ward_protocol::TimeSpan;

use crate::error::StandinError;
use crate::server::{CloseRule, RunningStandin, bind, crash_switch, lock, serve};
use list::HostList;
use store::StoreState;

pub use faults::HostsFaults;
pub use history::{HostsHistory, LoadEntry, LoadLevel};

/// Speed of the weight store.
#[derive(Debug, Clone, Copy)]
pub struct StoreSettings {
    /// Load time per GiB of a model at full speed.
    pub time_per_gib: TimeSpan,
    /// Model loads that run concurrently at full speed; more share that speed.
    pub full_speed_models: u32,
    /// Minimum time between the starts of two model loads.
    pub start_interval: TimeSpan,
    /// Load time of an adapter at full speed, independent of its size.
    pub adapter_time: TimeSpan,
    /// Adapter loads that run concurrently at full speed; more share that speed.
    pub full_speed_adapters: u32,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            time_per_gib: TimeSpan::from_millis(20),
            full_speed_models: 4,
            start_interval: TimeSpan::from_millis(285),
            adapter_time: TimeSpan::from_millis(7),
            full_speed_adapters: 30,
        }
    }
}

/// Start settings of a host list and weight store.
#[derive(Debug, Clone)]
pub struct HostsSettings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Speed of the weight store.
    pub store: StoreSettings,
    /// Faults that are active from the start.
    pub faults: HostsFaults,
}

/// Starts host lists with a weight store.
#[derive(Debug, Clone, Copy)]
pub struct HostsStandin;

impl HostsStandin {
    /// Starts a host list and weight store in the current Tokio runtime.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(settings: HostsSettings) -> Result<RunningStandin, StandinError> {
        let listener = bind(settings.listen).await?;
        let state = Arc::new(HostsState {
            faults: Mutex::new(settings.faults),
            list: Mutex::default(),
            store: StoreState::new(settings.store),
        });
        let (_, signals) = crash_switch();
        serve(
            listener,
            routes::router(&state),
            CloseRule::Drop,
            signals,
            || {},
        )
        .map_err(|cause| StandinError::Listen(settings.listen, cause))
    }
}

/// State shared by all handlers of a host list and weight store.
struct HostsState {
    faults: Mutex<HostsFaults>,
    list: Mutex<HostList>,
    store: StoreState,
}

impl HostsState {
    fn faults(&self) -> HostsFaults {
        lock(&self.faults).clone()
    }
}
