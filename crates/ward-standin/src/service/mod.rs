//! A plain service, some of whose calls may not be repeated.

mod faults;
mod history;
mod routes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use ward_protocol::{
    BackendId, BackendInfo, BackendKind, FencingSupport, MemorySize, ServiceName, ZoneName,
};

use crate::error::StandinError;
use crate::register::register;
use crate::server::{CloseRule, CrashSwitch, RunningStandin, bind, crash_switch, lock, serve};

pub use faults::ServiceFaults;
pub use history::{CallEntry, ServiceHistory};

/// What a plain service starts with.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Its id.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The services that it answers.
    pub services: Vec<ServiceName>,
    /// The host list that it enters itself in.
    pub hosts: Option<SocketAddr>,
    /// Faults from the start.
    pub faults: ServiceFaults,
}

/// Starts plain services.
#[derive(Debug, Clone, Copy)]
pub struct ServiceStandin;

impl ServiceStandin {
    /// Starts a service in the present runtime and enters it in the host list.
    ///
    /// # Errors
    /// When the address cannot be used or the host list does not take the entry.
    pub async fn start(settings: ServiceSettings) -> Result<RunningStandin, StandinError> {
        let listen = settings.listen;
        let listener = bind(listen).await?;
        let (switch, signals) = crash_switch();
        let state = Arc::new(ServiceState {
            faults: Mutex::new(settings.faults.clone()),
            history: Mutex::default(),
            settings,
            switch,
        });
        let standin = serve(
            listener,
            routes::router(&state),
            CloseRule::Finish,
            signals,
            || {},
        )
        .map_err(|cause| StandinError::Listen(listen, cause))?;
        if let Some(hosts) = state.settings.hosts {
            register(hosts, service_info(&state.settings, standin.address)).await?;
        }
        Ok(standin)
    }
}

fn service_info(settings: &ServiceSettings, address: SocketAddr) -> BackendInfo {
    BackendInfo {
        backend: settings.id.clone(),
        kind: BackendKind::Service,
        zone: settings.zone.clone(),
        address,
        memory: MemorySize::ZERO,
        fencing: FencingSupport::Ignores,
        services: settings.services.clone(),
    }
}

/// A service with its faults.
struct ServiceState {
    settings: ServiceSettings,
    faults: Mutex<ServiceFaults>,
    history: Mutex<ServiceHistory>,
    switch: CrashSwitch,
}

impl ServiceState {
    fn faults(&self) -> ServiceFaults {
        lock(&self.faults).clone()
    }

    /// Takes one from a counted fault; false when none is remaining.
    fn consume_fault(&self, counter: fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let remaining = counter(&mut faults);
        let taken = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        taken
    }
}
