//! Fake engine in memory that accepts every load, even beyond its memory.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{
    BackendInfo, BackendOrder, BackendStatus, EngineRole, FenceNumber, FencingSupport, MemorySize,
    OrderKind, OrderRefusal, OrderResult, RecordId, ReplicaKey, ResidentPhase, ResidentReplica,
};

/// State of a fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    /// Entry of the engine in the host list.
    pub info: BackendInfo,
    /// Number of the current incarnation, increased by each crash.
    pub boot: u64,
    /// Whether the engine's host exists; an engine without a host answers nothing.
    pub alive: bool,
    /// Simulated time, in microseconds, at which the reclaim of the engine's host began; `None`
    /// if there was none, or the host was restored since.
    pub leaving_since: Option<u64>,
    /// Role set by the newest order.
    pub role: EngineRole,
    /// Replicas in memory, in any phase.
    pub resident: IndexMap<ReplicaKey, ResidentReplica>,
    fence: FenceNumber,
    handled_orders: IndexSet<RecordId>,
}

/// Work that an order started on the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect {
    /// No load or unload.
    None,
    /// A load of this key.
    Load(ReplicaKey),
    /// An unload of this key.
    Unload(ReplicaKey),
}

impl FakeEngine {
    /// Creates an engine without replicas.
    #[must_use]
    pub fn new(info: BackendInfo) -> Self {
        Self {
            info,
            boot: 1,
            alive: true,
            leaving_since: None,
            role: EngineRole::Serving,
            resident: IndexMap::new(),
            fence: FenceNumber::default(),
            handled_orders: IndexSet::new(),
        }
    }

    /// Restarts in a new incarnation without replicas, fence and order history.
    pub fn crash(&mut self) {
        self.boot += 1;
        self.resident.clear();
        self.fence = FenceNumber::default();
        self.handled_orders.clear();
    }

    /// Memory used by all replicas.
    #[must_use]
    pub fn used_memory(&self) -> MemorySize {
        self.resident.values().map(|replica| replica.memory).sum()
    }

    /// Executes an order, unless its fence is too old or its id was seen before.
    pub fn handle_order(&mut self, order: &BackendOrder) -> (OrderResult, OrderEffect) {
        if self.info.fencing == FencingSupport::Checks && order.fence < self.fence {
            let refusal = OrderRefusal::Fenced { newest: self.fence };
            return (OrderResult::Refused(refusal), OrderEffect::None);
        }
        self.fence = self.fence.max(order.fence);
        if !self.handled_orders.insert(order.order) {
            return (OrderResult::Taken, OrderEffect::None);
        }
        match &order.kind {
            OrderKind::Touch => (OrderResult::Taken, OrderEffect::None),
            OrderKind::Role { role } => {
                self.role = *role;
                (OrderResult::Taken, OrderEffect::None)
            }
            OrderKind::Load { key, memory } => self.load(key, *memory),
            OrderKind::Unload { key } => self.unload(key),
        }
    }

    fn load(&mut self, key: &ReplicaKey, memory: MemorySize) -> (OrderResult, OrderEffect) {
        let current = self.resident.get(key);
        if current.is_some_and(|replica| replica.phase != ResidentPhase::Failed) {
            return (OrderResult::Taken, OrderEffect::None);
        }
        if key.is_adapter() && !self.is_ready(&key.base()) {
            return (
                OrderResult::Refused(OrderRefusal::NoBase),
                OrderEffect::None,
            );
        }
        let replica = ResidentReplica {
            key: key.clone(),
            phase: ResidentPhase::Loading,
            memory,
            running: 0,
        };
        self.resident.insert(key.clone(), replica);
        (OrderResult::Taken, OrderEffect::Load(key.clone()))
    }

    fn unload(&mut self, key: &ReplicaKey) -> (OrderResult, OrderEffect) {
        let Some(replica) = self.resident.get_mut(key) else {
            return (OrderResult::Taken, OrderEffect::None);
        };
        replica.phase = ResidentPhase::Unloading;
        (OrderResult::Taken, OrderEffect::Unload(key.clone()))
    }

    /// Whether a replica is loaded and can serve requests.
    #[must_use]
    pub fn is_ready(&self, key: &ReplicaKey) -> bool {
        self.resident
            .get(key)
            .is_some_and(|replica| replica.phase == ResidentPhase::Ready)
    }

    /// Completes a load, unless the engine has restarted since.
    pub fn finish_load(&mut self, key: &ReplicaKey, boot: u64) {
        if boot != self.boot {
            return;
        }
        if let Some(replica) = self.resident.get_mut(key)
            && replica.phase == ResidentPhase::Loading
        {
            replica.phase = ResidentPhase::Ready;
        }
    }

    /// Completes an unload, unless the engine has restarted since.
    pub fn finish_unload(&mut self, key: &ReplicaKey, boot: u64) {
        let unloading = self
            .resident
            .get(key)
            .is_some_and(|replica| replica.phase == ResidentPhase::Unloading);
        if boot == self.boot && unloading {
            self.resident.shift_remove(key);
        }
    }

    /// The status report that daemons read.
    #[must_use]
    pub fn status(&self) -> BackendStatus {
        BackendStatus {
            backend: self.info.backend.clone(),
            boot: self.boot,
            fence: self.fence,
            role: self.role,
            memory: self.info.memory,
            resident: self.resident.values().cloned().collect(),
            cached: Vec::new(),
            running: 0,
            queued: 0,
            leaving: self.leaving_since.is_some(),
        }
    }
}
