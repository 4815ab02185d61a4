//! A plain service, some of whose calls are not idempotent.

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

/// Start settings of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Id in the host list.
    pub id: BackendId,
    /// Availability zone in the host list.
    pub zone: ZoneName,
    /// Names of the services to answer; calls to others get 404.
    pub services: Vec<ServiceName>,
    /// Host list to register in; none when absent.
    pub hosts: Option<SocketAddr>,
    /// Faults that are active from the start.
    pub faults: ServiceFaults,
}

/// Starts plain services.
#[derive(Debug, Clone, Copy)]
pub struct ServiceStandin;

impl ServiceStandin {
    /// Starts a service in the current Tokio runtime and registers it in the host list, if the
    /// settings name one.
    ///
    /// # Errors
    /// If the address cannot be bound or the registration fails.
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

/// State shared by all handlers of a service.
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

    /// Decrements a counted fault; returns false if the counter is already 0.
    fn consume_fault(&self, counter: fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let remaining = counter(&mut faults);
        let taken = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        taken
    }
}
