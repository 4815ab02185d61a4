//! What a daemon on a host is told about its host and the deployment.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use ward_protocol::{DaemonId, IdError, MemorySize, TimeSpan, ZoneName};

/// Processor time of a host in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CoreShare(pub u32);

impl fmt::Display for CoreShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}m", self.0)
    }
}

impl FromStr for CoreShare {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.strip_suffix('m').unwrap_or(text);
        digits
            .parse()
            .map(Self)
            .map_err(|_| IdError::Number("core share"))
    }
}

/// Bandwidth of a link in kilobits per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkRate(pub u64);

impl fmt::Display for LinkRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}kbit/s", self.0)
    }
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For callers that ask where to connect.
    pub directory: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// Where other daemons may listen for daemons; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time between heartbeats of an engine.
    pub engine_heartbeat: TimeSpan,
    /// Size of the host.
    pub capacity: HostCapacity,
    /// Bounds that the deployment promises.
    pub bounds: ServingBounds,
}

/// What a host can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCapacity {
    /// Processor time.
    pub cores: CoreShare,
    /// Bandwidth of its link.
    pub link: LinkRate,
    /// Memory of a process.
    pub memory: MemorySize,
    /// Descriptors of a process for sockets and files.
    pub descriptors: u32,
}

impl HostCapacity {
    /// What limits a host, its processor or its link, as a size to compare
    /// hosts by.
    #[must_use]
    pub fn size(&self) -> u64 {
        const LINK_PER_CORE_UNIT: u64 = 200;
        u64::from(self.cores.0).min(self.link.0 / LINK_PER_CORE_UNIT)
    }
}

/// Bounds that the deployment promises.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServingBounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: TimeSpan,
    /// Time that must pass between the orders of two holders.
    pub lease: TimeSpan,
    /// Repeated sends allowed per request of callers.
    pub retry_ratio: f64,
    /// Repeated sends allowed beyond the ratio.
    pub retry_slack: f64,
    /// Window over which repeats are counted.
    pub retry_window: TimeSpan,
    /// Window over which loads from the weight store are counted.
    pub load_window: TimeSpan,
    /// Longest time for which callers keep a directory answer.
    pub max_ttl: TimeSpan,
}
