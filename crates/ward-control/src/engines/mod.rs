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

pub(crate) use handover::HandoverDuty;
use orders::OpenOrder;

use crate::core::ControlCore;

/// Duty for one engine under one fencing number.
#[derive(Debug)]
pub(crate) struct EngineDuty {
    /// Fencing number of this ownership.
    pub(crate) fence: FenceNumber,
    /// When this daemon saw that the engine is its own.
    pub(crate) owned_since: MonoTime,
    /// Whether the former owner said that its orders are over.
    pub(crate) former_released: bool,
    /// Since when orders of earlier owners are known to be over.
    pub(crate) former_orders_expired: Option<MonoTime>,
    /// Last status and when it was asked for.
    pub(crate) status: Option<(MonoTime, BackendStatus)>,
    pending_fetch: Option<MonoTime>,
    last_fetch: Option<MonoTime>,
    /// Since when no status has come.
    silent_since: Option<MonoTime>,
    /// When a touch was answered.
    touch_answered: Option<MonoTime>,
    /// Life of the engine, and since when it is another than before.
    boot: Option<u64>,
    restart_seen: Option<MonoTime>,
    orders: IndexMap<RecordId, OpenOrder>,
    /// When a load of each replica was last ordered.
    loads: IndexMap<ReplicaKey, LoadAttempts>,
    /// Since when nothing is reserved.
    empty_since: Option<MonoTime>,
}

/// Orders to load one replica.
#[derive(Debug, Clone, Copy)]
struct LoadAttempts {
    /// For which reservation; a later one begins to count anew.
    reservation: ReservationId,
    last: MonoTime,
    count: u32,
}

/// Duties for engines, present and ending.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    pub(crate) owned: IndexMap<BackendId, EngineDuty>,
    pub(crate) handovers: Vec<HandoverDuty>,
    /// Reservations whose release was proposed: such a record may arrive late,
    /// so nothing may be loaded for them any more.
    releasing: IndexSet<ReservationId>,
    version: Option<u64>,
}

impl EngineTable {
    /// Forces a new look at who owns what.
    pub(crate) fn reset(&mut self) {
        self.version = None;
    }
}

impl EngineDuty {
    fn new(fence: FenceNumber, owned_since: MonoTime) -> Self {
        Self {
            fence,
            owned_since,
            former_released: false,
            former_orders_expired: None,
            status: None,
            pending_fetch: None,
            last_fetch: None,
            silent_since: None,
            touch_answered: None,
            boot: None,
            restart_seen: None,
            orders: IndexMap::new(),
            loads: IndexMap::new(),
            empty_since: None,
        }
    }

    /// When orders that may still take effect were sent.
    pub(crate) fn order_times(&self) -> impl Iterator<Item = MonoTime> {
        self.orders.values().map(|order| order.sent)
    }
}

impl ControlCore {
    /// Brings the duties in line with ownership as the state has it.
    pub(crate) fn sync_engines(&mut self) {
        let version = self.state.owner_version();
        if self.engines.version == Some(version) {
            return;
        }
        self.engines.version = Some(version);
        let member = self.is_member();
        let me = &self.config.member.daemon;
        let owned: IndexMap<_, _> = self
            .state
            .backends()
            .iter()
            .filter(|(_, state)| member && state.owner.as_ref() == Some(me))
            .map(|(backend, state)| (backend.clone(), state.fence))
            .collect();
        for (backend, duty) in std::mem::take(&mut self.engines.owned) {
            if owned.get(&backend) == Some(&duty.fence) {
                self.engines.owned.insert(backend, duty);
            } else {
                self.engines
                    .handovers
                    .push(HandoverDuty::new(backend, &duty));
            }
        }
        for (backend, fence) in owned {
            let now = self.now;
            self.engines
                .owned
                .entry(backend)
                .or_insert_with(|| EngineDuty::new(fence, now));
        }
    }

    pub(crate) fn run_engines(&mut self) {
        self.run_handovers();
        let reservations = self.state.reservations();
        self.engines
            .releasing
            .retain(|id| reservations.contains_key(id));
        for backend in self.owned_ids() {
            self.check_former_orders(&backend);
            self.fetch_status(&backend);
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
