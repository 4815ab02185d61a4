//! Starts the stand-ins and daemons of the demonstration.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use slog::Logger;
use ward_protocol::{BackendId, LeaseTimes, MemorySize, PolicyValues, TimeSpan, TrafficLimits};
use ward_settings::{
    AddressSet, DaemonSettings, ListenAddress, LogSettings, PeerKeys, PlatformAddresses,
};
use ward_standin::{
    EngineSettings, EngineStandin, HostsFaults, HostsSettings, HostsStandin, LogFaults, LogStandin,
    RunningStandin, ServiceFaults, ServiceSettings, ServiceStandin, StoreSettings,
};

use super::session::DemoError;
use crate::process::{RunningDaemon, start_daemon};
use crate::program::DemoOptions;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const ZONES: [&str; 3] = ["bezigrad", "vic", "moste"];
const ENGINE_MEMORY: MemorySize = MemorySize::from_gib(80);
const TOKEN_TIME: TimeSpan = TimeSpan::from_millis(2);
const SNAPSHOT_INTERVAL: TimeSpan = TimeSpan::from_secs(300);

/// All running daemons and stand-ins; stand-ins stop when this is dropped.
pub(super) struct DemoFleet {
    pub(super) daemons: Vec<RunningDaemon>,
    _standins: Vec<RunningStandin>,
}

impl DemoFleet {
    pub(super) async fn start(options: DemoOptions, logger: &Logger) -> Result<Self, DemoError> {
        let log = LogStandin::start(ward_standin::LogSettings {
            listen: ANY_PORT,
            faults: LogFaults::default(),
        })
        .await?;
        let hosts = HostsStandin::start(HostsSettings {
            listen: ANY_PORT,
            store: StoreSettings::default(),
            faults: HostsFaults::default(),
        })
        .await?;
        let platform = PlatformAddresses {
            log: log.address,
            hosts: hosts.address,
        };
        let mut standins = vec![log, hosts];
        for number in 1..=options.engines {
            standins.push(start_engine(number, platform).await?);
        }
        standins.push(start_service(platform).await?);
        let mut daemons = Vec::new();
        for number in 1..=options.daemons {
            let settings = daemon_settings(number, platform)?;
            daemons.push(start_daemon(settings, logger.clone()).await?);
        }
        Ok(Self {
            daemons,
            _standins: standins,
        })
    }

    /// Performs a planned stop of all daemons concurrently.
    pub(super) async fn stop(self) {
        let stops = self.daemons.into_iter().map(RunningDaemon::stop);
        futures::future::join_all(stops).await;
    }
}

fn zone(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

async fn start_engine(
    number: u8,
    platform: PlatformAddresses,
) -> Result<RunningStandin, DemoError> {
    let id: BackendId = format!("engine-{number}").parse()?;
    let mut settings = EngineSettings::new(id, zone(number).parse()?, ENGINE_MEMORY);
    settings.store = Some(platform.hosts);
    settings.hosts = Some(platform.hosts);
    settings.token_time = TOKEN_TIME;
    Ok(EngineStandin::start(settings).await?)
}

async fn start_service(platform: PlatformAddresses) -> Result<RunningStandin, DemoError> {
    let settings = ServiceSettings {
        listen: ANY_PORT,
        id: "booking-1".parse()?,
        zone: zone(0).parse()?,
        services: vec!["booking".parse()?],
        hosts: Some(platform.hosts),
        faults: ServiceFaults::default(),
    };
    Ok(ServiceStandin::start(settings).await?)
}

fn daemon_settings(number: u8, platform: PlatformAddresses) -> Result<DaemonSettings, DemoError> {
    let any_address = ListenAddress {
        bind: ANY_PORT,
        advertised: ANY_PORT,
    };
    Ok(DaemonSettings {
        daemon: format!("entry-{number}").parse()?,
        zone: zone(number).parse()?,
        addresses: AddressSet {
            callers: any_address,
            peers: any_address,
            operators: any_address,
        },
        platform,
        seeds: Vec::new(),
        lease: LeaseTimes {
            read_interval: TimeSpan::from_millis(50),
            status_interval: TimeSpan::from_millis(100),
            hosts_interval: TimeSpan::from_millis(200),
            ..LeaseTimes::default()
        },
        store: ward_protocol::StoreLimits::default(),
        traffic: TrafficLimits {
            entry_ttl: TimeSpan::from_millis(500),
            stop_slack: TimeSpan::from_millis(100),
            ..TrafficLimits::default()
        },
        policy: PolicyValues::default(),
        keys: PeerKeys::default(),
        operator_token: None,
        logging: LogSettings::default(),
        traffic_threads: 1,
        request_shards: 1,
        snapshot_interval: SNAPSHOT_INTERVAL,
    })
}
