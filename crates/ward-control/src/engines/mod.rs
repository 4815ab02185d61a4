//! The engines that this daemon owns: their status, orders and reservations.

mod ending;
mod orders;
mod reconcile;
mod role;
mod status;
mod takeover;

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{
    BackendId, BackendStatus, FenceNumber, MonoTime, RecordId, ReplicaKey, ReservationId,
};

pub(crate) use ending::EndingDuty;
use orders::OpenOrder;

use crate::core::ControlCore;

/// Duty for one engine under one fencing number.
#[derive(Debug)]
pub(crate) struct EngineDuty {
    /// Fencing number of this ownership.
    pub(crate) fence: FenceNumber,
    /// When this daemon saw that the engine is its own.
    pub(crate) taken: MonoTime,
    /// Whether the former owner said that its orders are over.
    pub(crate) notice: bool,
    /// Since when orders of earlier owners are known to be over.
    pub(crate) settled: Option<MonoTime>,
    /// Last status and when it was asked for.
    pub(crate) status: Option<(MonoTime, BackendStatus)>,
    asked: Option<MonoTime>,
    last_asked: Option<MonoTime>,
    /// Since when no status has come.
    silent: Option<MonoTime>,
    /// When a touch was answered.
    touched: Option<MonoTime>,
    /// Life of the engine, and since when it is another than before.
    boot: Option<u64>,
    restarted: Option<MonoTime>,
    orders: IndexMap<RecordId, OpenOrder>,
    /// When a load of each replica was last ordered.
    loads: IndexMap<ReplicaKey, LoadTrial>,
    /// Since when nothing is reserved.
    empty: Option<MonoTime>,
}

/// Orders to load one replica.
#[derive(Debug, Clone, Copy)]
struct LoadTrial {
    /// For which reservation; a later one begins to count anew.
    reservation: ReservationId,
    last: MonoTime,
    count: u32,
}

/// Duties for engines, present and ending.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    pub(crate) owned: IndexMap<BackendId, EngineDuty>,
    pub(crate) ending: Vec<EndingDuty>,
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
    fn new(fence: FenceNumber, taken: MonoTime) -> Self {
        Self {
            fence,
            taken,
            notice: false,
            settled: None,
            status: None,
            asked: None,
            last_asked: None,
            silent: None,
            touched: None,
            boot: None,
            restarted: None,
            orders: IndexMap::new(),
            loads: IndexMap::new(),
            empty: None,
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
                self.engines.ending.push(EndingDuty::new(backend, &duty));
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
        self.run_endings();
        let reservations = self.state.reservations();
        self.engines
            .releasing
            .retain(|id| reservations.contains_key(id));
        for backend in self.owned_ids() {
            self.note_settled(&backend);
            self.ask_status(&backend);
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
