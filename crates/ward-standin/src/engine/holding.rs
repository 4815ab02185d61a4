//! The replicas that an engine holds, its fence and its role.

use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use tokio::task::AbortHandle;
use ward_protocol::{
    CacheTier, EngineRole, FenceNumber, MemorySize, OrderRefusal, RecordId, ReplicaKey, RequestId,
    ResidentPhase, ResidentReplica, WallTime,
};

use super::history::{CrashEntry, EngineHistory, HoldingEntry, RunEntry};
use super::prefix::PrefixCache;
use super::settings::EngineSettings;

/// Result of an order: accepted, or the reason for the refusal.
pub(super) type OrderResult = Result<(), OrderRefusal>;

/// A replica on the engine, with its load task while it loads.
#[derive(Debug)]
pub(super) struct HeldReplica {
    pub(super) phase: ResidentPhase,
    pub(super) memory: MemorySize,
    pub(super) running: u32,
    pub(super) load: Option<AbortHandle>,
}

/// The part of an engine's state that orders and requests change.
#[derive(Debug)]
pub(super) struct EngineHolding {
    pub(super) boot: u64,
    pub(super) fence: FenceNumber,
    pub(super) role: EngineRole,
    pub(super) total_memory: MemorySize,
    pub(super) replicas: IndexMap<ReplicaKey, HeldReplica>,
    pub(super) cached: IndexMap<ReplicaKey, CacheTier>,
    pub(super) orders: IndexMap<RecordId, OrderResult>,
    pub(super) prefixes: PrefixCache,
    pub(super) history: EngineHistory,
}

impl EngineHolding {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        let cached = settings
            .cached
            .iter()
            .map(|checkpoint| (checkpoint.key.clone(), checkpoint.tier))
            .collect();
        Self {
            boot: WallTime::now().0,
            fence: FenceNumber::default(),
            role: EngineRole::Serving,
            total_memory: settings.memory,
            replicas: IndexMap::new(),
            cached,
            orders: IndexMap::new(),
            prefixes: PrefixCache::new(settings.cache_blocks),
            history: EngineHistory::default(),
        }
    }

    /// Clears everything except cached checkpoints and history, as a process restart does.
    pub(super) fn reset(&mut self) {
        self.history.crashes.push(CrashEntry {
            at: WallTime::now(),
            boot: self.boot,
        });
        for replica in self.replicas.values() {
            if let Some(load) = &replica.load {
                load.abort();
            }
        }
        self.boot = WallTime::now().0.max(self.boot + 1);
        self.fence = FenceNumber::default();
        self.role = EngineRole::Serving;
        self.replicas.clear();
        self.orders.clear();
        self.prefixes.retain_replicas(|_| false);
        self.record_holding();
    }

    /// Returns the memory in use by all replicas.
    pub(super) fn used_memory(&self) -> MemorySize {
        self.replicas.values().map(|replica| replica.memory).sum()
    }

    /// Returns whether a replica is loaded and answers requests.
    pub(super) fn is_ready(&self, key: &ReplicaKey) -> bool {
        self.replicas
            .get(key)
            .is_some_and(|replica| replica.phase == ResidentPhase::Ready)
    }

    /// Admits a request if its replica is ready; returns the engine's incarnation.
    pub(super) fn admit(&mut self, request: RequestId, key: &ReplicaKey) -> Option<u64> {
        if !self.is_ready(key) {
            self.history.not_run += 1;
            return None;
        }
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.running += 1;
        }
        let entry = self.run_entry(request, key);
        entry.received += 1;
        entry.last_received = WallTime::now();
        Some(self.boot)
    }

    /// Ends a request; removes an unloading replica after its last one.
    pub(super) fn end_request(&mut self, key: &ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.running = replica.running.saturating_sub(1);
        self.remove_drained();
    }

    /// Returns the history of a request id; adds it if missing.
    pub(super) fn run_entry(&mut self, request: RequestId, key: &ReplicaKey) -> &mut RunEntry {
        self.history
            .requests
            .entry(request)
            .or_insert_with(|| RunEntry {
                key: key.clone(),
                received: 0,
                last_received: WallTime::default(),
                runs: 0,
                imports: 0,
                finished: 0,
                cancelled: false,
            })
    }

    /// Removes unloading replicas without running requests.
    pub(super) fn remove_drained(&mut self) {
        let before = self.replicas.len();
        self.replicas
            .retain(|_, replica| replica.phase != ResidentPhase::Unloading || replica.running > 0);
        if self.replicas.len() != before {
            self.prefixes
                .retain_replicas(|key| self.replicas.contains_key(key));
            self.record_holding();
        }
    }

    /// Returns the replicas as status reports and history show them.
    pub(super) fn resident(&self) -> Vec<ResidentReplica> {
        self.replicas
            .iter()
            .map(|(key, replica)| ResidentReplica {
                key: key.clone(),
                phase: replica.phase,
                memory: replica.memory,
                running: replica.running,
            })
            .collect()
    }

    /// Adds the current replicas and memory to the history.
    pub(super) fn record_holding(&mut self) {
        let memory = self.used_memory();
        let overcommitted = memory > self.total_memory;
        let entry = HoldingEntry {
            at_micros: now_micros(),
            boot: self.boot,
            memory,
            overcommitted,
            replicas: self.resident(),
        };
        self.history.peak_memory = self.history.peak_memory.max(memory);
        self.history.overcommits += u32::from(overcommitted);
        self.history.holdings.push(entry);
    }
}

fn now_micros() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
