//! Start settings of an engine.

use std::net::SocketAddr;

use ward_protocol::{BackendId, CachedCheckpoint, FencingSupport, MemorySize, TimeSpan, ZoneName};

use super::faults::EngineFaults;

/// Handling of a load that does not fit into the engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryRule {
    /// The load is refused.
    Refuse,
    /// The load is executed and recorded as an overcommit.
    Record,
}

/// Start settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Id in the host list.
    pub id: BackendId,
    /// Availability zone in the host list.
    pub zone: ZoneName,
    /// Memory that replicas can use.
    pub memory: MemorySize,
    /// Handling of a load that does not fit into `memory`.
    pub memory_rule: MemoryRule,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: FencingSupport,
    /// Weight store; when absent, remote loads take `load_remote`.
    pub store: Option<SocketAddr>,
    /// Host list to register in; none when absent.
    pub hosts: Option<SocketAddr>,
    /// Maximum number of requests that run concurrently; further ones queue.
    pub slots: u32,
    /// Generation time per token.
    pub token_time: TimeSpan,
    /// Prefill time per block of 64 prompt bytes that is not cached.
    pub prefill_time: TimeSpan,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Load time from the host's memory.
    pub load_memory: TimeSpan,
    /// Load time from the host's disk.
    pub load_disk: TimeSpan,
    /// Load time of remote weights without a weight store.
    pub load_remote: TimeSpan,
    /// Age of the request counts in status reports.
    pub status_lag: TimeSpan,
    /// Checkpoints that are cached at the start.
    pub cached: Vec<CachedCheckpoint>,
    /// Faults that are active from the start.
    pub faults: EngineFaults,
}

impl EngineSettings {
    /// Returns settings of an engine on any free port of 127.0.0.1 that checks fencing
    /// numbers, loads and answers within milliseconds, and has no weight store and no
    /// host list.
    #[must_use]
    pub fn new(id: BackendId, zone: ZoneName, memory: MemorySize) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            id,
            zone,
            memory,
            memory_rule: MemoryRule::Record,
            fencing: FencingSupport::Checks,
            store: None,
            hosts: None,
            slots: 16,
            token_time: TimeSpan::from_millis(1),
            prefill_time: TimeSpan::ZERO,
            cache_blocks: 1_024,
            load_memory: TimeSpan::from_millis(10),
            load_disk: TimeSpan::from_millis(40),
            load_remote: TimeSpan::from_millis(80),
            status_lag: TimeSpan::ZERO,
            cached: Vec::new(),
            faults: EngineFaults::default(),
        }
    }
}
