//! The engines that this daemon owns: their status, orders and reservations.

mod handover;
mod orders;
mod reconcile;
mod role;
mod status;
mod takeover;

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{
    BackendId, BackendStatus, FenceNumber, MonoTime, RecordId, ReplicaKey, ReservationId,
};

pub(crate) use handover::EngineHandover;
use orders::OpenOrder;

use crate::core::ControlCore;

/// What this daemon knows about an engine that it owns under one fencing number.
#[derive(Debug)]
pub(crate) struct OwnedEngine {
    /// Fencing number of this ownership.
    pub(crate) fence: FenceNumber,
    /// When this daemon learned that it owns the engine.
    pub(crate) owned_since: MonoTime,
    /// Whether the former owner reported that its orders have expired.
    pub(crate) former_released: bool,
    /// When this daemon first knew that orders of earlier owners had expired; `None` until
    /// then.
    pub(crate) takeover_completed: Option<MonoTime>,
    /// Last status and when it was requested.
    pub(crate) status: Option<(MonoTime, BackendStatus)>,
    /// Start of the status request in progress.
    pending_fetch: Option<MonoTime>,
    /// Start of the last status request; `None` to request a status at once.
    last_fetch: Option<MonoTime>,
    /// When the first of the current run of failed status requests failed; `None` while the
    /// engine answers.
    silent_since: Option<MonoTime>,
    /// When the engine last accepted a touch order; `None` after its restart.
    touch_answered: Option<MonoTime>,
    /// Incarnation number of the engine process, from its last status.
    boot: Option<u64>,
    /// Request time of the status that showed the engine's last restart, by another `boot`;
    /// `None` if none was seen.
    restart_seen: Option<MonoTime>,
    orders: IndexMap<RecordId, OpenOrder>,
    /// Load orders sent, by replica.
    loads: IndexMap<ReplicaKey, LoadAttempts>,
    /// Since when the engine has been idle outside standby: it has no reservations and no
    /// replicas and isn't leaving.
    idle_since: Option<MonoTime>,
}

/// Orders to load one replica.
#[derive(Debug, Clone, Copy)]
struct LoadAttempts {
    /// Reservation of the load; the count starts again for another one.
    reservation: ReservationId,
    /// When the last order was sent.
    last: MonoTime,
    /// Number of orders sent for the reservation.
    count: u32,
}

/// Engines that this daemon owns, and those it owned until recently.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    pub(crate) owned: IndexMap<BackendId, OwnedEngine>,
    /// Engines that moved to another owner while orders of this daemon may still take effect.
    pub(crate) handovers: Vec<EngineHandover>,
    /// Reservations whose release was proposed. The record may be stored late, so nothing
    /// may be loaded for them any more.
    releasing: IndexSet<ReservationId>,
    /// Owner version for which `owned` was last compared with the state; `None` to compare
    /// again.
    version: Option<u64>,
}

impl EngineTable {
    /// Makes the next step compare the ownership again.
    pub(crate) fn reset(&mut self) {
        self.version = None;
    }
}

impl OwnedEngine {
    fn new(fence: FenceNumber, owned_since: MonoTime) -> Self {
        Self {
            fence,
            owned_since,
            former_released: false,
            takeover_completed: None,
            status: None,
            pending_fetch: None,
            last_fetch: None,
            silent_since: None,
            touch_answered: None,
            boot: None,
            restart_seen: None,
            orders: IndexMap::new(),
            loads: IndexMap::new(),
            idle_since: None,
        }
    }

    /// Send times of the orders that are still remembered.
    pub(crate) fn order_times(&self) -> impl Iterator<Item = MonoTime> {
        self.orders.values().map(|order| order.sent)
    }
}

impl ControlCore {
    /// Adds engines that this daemon has come to own, and moves those that it no longer
    /// owns to the handovers.
    pub(crate) fn sync_engines(&mut self) {
        let version = self.state.owner_version();
        if self.engines.version == Some(version) {
            return;
        }
        self.engines.version = Some(version);
        let member = self.is_member();
        let own_id = &self.config.member.daemon;
        let owned: IndexMap<_, _> = self
            .state
            .backends()
            .iter()
            .filter(|(_, state)| member && state.owner.as_ref() == Some(own_id))
            .map(|(backend, state)| (backend.clone(), state.fence))
            .collect();
        for (backend, engine) in std::mem::take(&mut self.engines.owned) {
            if owned.get(&backend) == Some(&engine.fence) {
                self.engines.owned.insert(backend, engine);
            } else {
                self.engines
                    .handovers
                    .push(EngineHandover::new(backend, &engine));
            }
        }
        for (backend, fence) in owned {
            let now = self.now;
            self.engines
                .owned
                .entry(backend)
                .or_insert_with(|| OwnedEngine::new(fence, now));
        }
    }

    pub(crate) fn run_engines(&mut self) {
        self.run_handovers();
        let reservations = self.state.reservations();
        self.engines
            .releasing
            .retain(|id| reservations.contains_key(id));
        for backend in self.owned_ids() {
            self.check_takeover(&backend);
            self.fetch_status_if_due(&backend);
            if self.has_authority() {
                self.yield_if_silent(&backend);
                self.touch_if_unseen(&backend);
                self.reconcile(&backend);
            }
        }
    }

    fn owned_ids(&self) -> Vec<BackendId> {
        self.engines.owned.keys().cloned().collect()
    }
}
