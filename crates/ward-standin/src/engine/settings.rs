//! What an engine starts with.

use std::net::SocketAddr;

use ward_protocol::{BackendId, CachedCheckpoint, FencingSupport, MemorySize, TimeSpan, ZoneName};

use super::faults::EngineFaults;

/// What an engine does with a load that does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryRule {
    /// Refuses it.
    Refuse,
    /// Carries it out and writes down the overcommit.
    Record,
}

/// What an engine starts with.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Its id.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Memory for replicas.
    pub memory: MemorySize,
    /// What it does with a load that does not fit.
    pub memory_rule: MemoryRule,
    /// Whether it checks fencing numbers.
    pub fencing: FencingSupport,
    /// The weight store; remote loads take `load_remote` without one.
    pub store: Option<SocketAddr>,
    /// The host list that it enters itself in.
    pub hosts: Option<SocketAddr>,
    /// Requests that run at a time.
    pub slots: u32,
    /// Time per token.
    pub token_time: TimeSpan,
    /// Time per block of 64 prompt bytes that is not cached.
    pub prefill_time: TimeSpan,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Load time from the host's memory.
    pub load_memory: TimeSpan,
    /// Load time from the host's disk.
    pub load_disk: TimeSpan,
    /// Load time when there is no store.
    pub load_remote: TimeSpan,
    /// Time by which load figures lag.
    pub status_lag: TimeSpan,
    /// Checkpoints cached from the start.
    pub cached: Vec<CachedCheckpoint>,
    /// Faults from the start.
    pub faults: EngineFaults,
}

impl EngineSettings {
    /// An engine on any port of 127.0.0.1 that checks fencing numbers, loads
    /// and answers within milliseconds, and has no store and no host list.
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
