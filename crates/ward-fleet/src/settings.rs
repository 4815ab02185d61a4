//! Settings of a daemon: its host and the bounds of the deployment.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use ward_protocol::{DaemonId, IdError, MemorySize, TimeSpan, ZoneName};

use crate::limit::RequestRate;
use crate::tenant::QuotaAmount;

/// Processor time of a host, in thousandths of a core.
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

/// Bandwidth of a network link, in kilobits per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkRate(pub u64);

impl fmt::Display for LinkRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}kbit/s", self.0)
    }
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Listen address for requests of callers.
    pub callers: SocketAddr,
    /// Listen address for readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for callers that look up daemons to connect to.
    pub directory: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Addresses on which other daemons may accept connections from daemons.
    /// Some of those daemons may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between two heartbeats of an engine.
    pub engine_heartbeat: TimeSpan,
    /// Capacity of the host.
    pub capacity: HostCapacity,
    /// Whether requests that cost least to delay or refuse give way under overload.
    pub defers_by_cost: bool,
    /// Bounds that the deployment guarantees.
    pub bounds: ServingBounds,
}

/// Resources of a host that a daemon may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCapacity {
    /// Processor time.
    pub cores: CoreShare,
    /// Bandwidth of the host's network link.
    pub link: LinkRate,
    /// Memory limit of a process.
    pub memory: MemorySize,
    /// Limit on open file descriptors (sockets and files) of a process.
    pub descriptors: u32,
}

impl HostCapacity {
    /// Size for comparing hosts: processor time or link bandwidth, whichever is
    /// the bottleneck.
    #[must_use]
    pub fn size(&self) -> u64 {
        /// Kilobits per second that count as much as a thousandth of a core.
        const LINK_PER_CORE_UNIT: u64 = 200;
        u64::from(self.cores.0).min(self.link.0 / LINK_PER_CORE_UNIT)
    }
}

/// Bounds that the deployment guarantees.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServingBounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: TimeSpan,
    /// Minimum time between the orders of two successive coordinators.
    pub lease: TimeSpan,
    /// Retries allowed per request from callers.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, per window.
    pub retry_slack: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: TimeSpan,
    /// Window over which loads from the weight store are counted.
    pub load_window: TimeSpan,
    /// Write calls that the platform's store takes from all daemons together.
    pub store_writes: RequestRate,
    /// Maximum length of a record in the platform's store.
    pub store_record: MemorySize,
    /// Time from the store's acknowledgement of a manifest until it must be in force at all
    /// daemons.
    pub manifest_change: TimeSpan,
    /// Maximum time for which callers may cache a directory answer.
    pub max_ttl: TimeSpan,
    /// Window over which the use of a tenant's quota is counted.
    pub quota_window: TimeSpan,
    /// Fraction of its quota by which a tenant may exceed it in a window.
    pub quota_excess: f64,
    /// Amount by which a tenant may exceed its quota in a window in addition.
    pub quota_slack: QuotaAmount,
}
