//! The list of live and leaving hosts, and the weight store beside it.

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

/// How fast the weight store is.
#[derive(Debug, Clone, Copy)]
pub struct StoreSettings {
    /// Time that one GiB of a model takes at full speed.
    pub time_per_gib: TimeSpan,
    /// Model loads at a time at full speed.
    pub full_speed_models: u32,
    /// Time between starts of model loads.
    pub start_interval: TimeSpan,
    /// Time that an adapter takes at full speed.
    pub adapter_time: TimeSpan,
    /// Adapter loads at a time at full speed.
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

/// What a host list and weight store start with.
#[derive(Debug, Clone)]
pub struct HostsSettings {
    /// Where they listen; port 0 for any.
    pub listen: SocketAddr,
    /// Speed of the weight store.
    pub store: StoreSettings,
    /// Faults from the start.
    pub faults: HostsFaults,
}

/// Starts host lists with a weight store.
#[derive(Debug, Clone, Copy)]
pub struct HostsStandin;

impl HostsStandin {
    /// Starts a host list and weight store in the present runtime.
    ///
    /// # Errors
    /// When the address cannot be used.
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

/// A host list and weight store with their faults.
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
