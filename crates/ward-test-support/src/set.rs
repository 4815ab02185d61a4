//! A complete set of platform stand-ins in the test's own process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use ward_protocol::id::IdError;
use ward_protocol::{BackendId, MemorySize, ZoneName};
use ward_standin::{
    EngineHistory, EngineSettings, EngineStandin, HostsFaults, HostsHistory, HostsSettings,
    HostsStandin, LogFaults, LogHistory, LogSettings, LogStandin, RunningStandin, ServiceFaults,
    ServiceHistory, ServiceSettings, ServiceStandin, StandinError, StoreSettings,
};

use crate::control::{ControlError, StandinControl};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of a set of stand-ins; the addresses at which they reach each other are
/// filled in.
#[derive(Debug, Clone, Default)]
pub struct SetSettings {
    /// Settings of the weight store.
    pub store: StoreSettings,
    /// Settings of each engine; `hosts` and `store` are filled in.
    pub engines: Vec<EngineSettings>,
    /// Settings of each plain service; `hosts` is filled in.
    pub services: Vec<ServiceSettings>,
}

/// A running set of stand-ins; all stop when it is dropped.
#[derive(Debug)]
pub struct StandinSet {
    /// Stand-in for the log service.
    pub log: RunningStandin,
    /// Stand-in for the host list and the weight store.
    pub hosts: RunningStandin,
    /// Engines, in the order of the settings.
    pub engines: Vec<RunningStandin>,
    /// Plain services, in the order of the settings.
    pub services: Vec<RunningStandin>,
}

impl StandinSet {
    /// Starts all stand-ins in the current Tokio runtime, on free ports of 127.0.0.1.
    ///
    /// # Errors
    /// When one of them cannot start.
    pub async fn start(settings: SetSettings) -> Result<Self, StandinError> {
        let log = LogStandin::start(LogSettings {
            listen: ANY_PORT,
            faults: LogFaults::default(),
        })
        .await?;
        let hosts = HostsStandin::start(HostsSettings {
            listen: ANY_PORT,
            store: settings.store,
            faults: HostsFaults::default(),
        })
        .await?;
        let mut engines = Vec::with_capacity(settings.engines.len());
        for mut engine in settings.engines {
            engine.hosts = Some(hosts.address);
            engine.store = Some(hosts.address);
            engines.push(EngineStandin::start(engine).await?);
        }
        let mut services = Vec::with_capacity(settings.services.len());
        for mut service in settings.services {
            service.hosts = Some(hosts.address);
            services.push(ServiceStandin::start(service).await?);
        }
        Ok(Self {
            log,
            hosts,
            engines,
            services,
        })
    }

    /// Reads the history of the log service.
    ///
    /// # Errors
    /// When the log service does not answer.
    pub async fn log_history(&self) -> Result<LogHistory, ControlError> {
        StandinControl::new(self.log.address).history().await
    }

    /// Reads the history of the host list and weight store.
    ///
    /// # Errors
    /// When their stand-in does not answer.
    pub async fn hosts_history(&self) -> Result<HostsHistory, ControlError> {
        StandinControl::new(self.hosts.address).history().await
    }

    /// Reads the engines' histories, in the order of the settings.
    ///
    /// # Errors
    /// When one of them does not answer.
    pub async fn engine_histories(&self) -> Result<Vec<EngineHistory>, ControlError> {
        let mut histories = Vec::with_capacity(self.engines.len());
        for engine in &self.engines {
            histories.push(StandinControl::new(engine.address).history().await?);
        }
        Ok(histories)
    }

    /// Reads the plain services' histories, in the order of the settings.
    ///
    /// # Errors
    /// When one of them does not answer.
    pub async fn service_histories(&self) -> Result<Vec<ServiceHistory>, ControlError> {
        let mut histories = Vec::with_capacity(self.services.len());
        for service in &self.services {
            histories.push(StandinControl::new(service.address).history().await?);
        }
        Ok(histories)
    }
}

/// Settings of an engine on any port that loads and answers within milliseconds.
///
/// # Errors
/// When an id is not valid.
pub fn engine_settings(
    id: &str,
    zone: &str,
    memory: MemorySize,
) -> Result<EngineSettings, IdError> {
    let id = BackendId::try_from(id)?;
    let zone = ZoneName::try_from(zone)?;
    Ok(EngineSettings::new(id, zone, memory))
}

/// Settings of a plain service on any port, without faults.
///
/// # Errors
/// When an id is not valid.
pub fn service_settings(
    id: &str,
    zone: &str,
    services: &[&str],
) -> Result<ServiceSettings, IdError> {
    let services = services.iter().map(|name| name.parse());
    Ok(ServiceSettings {
        listen: ANY_PORT,
        id: id.parse()?,
        zone: zone.parse()?,
        services: services.collect::<Result<_, _>>()?,
        hosts: None,
        faults: ServiceFaults::default(),
    })
}
