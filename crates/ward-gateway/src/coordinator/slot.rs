//! Whether this daemon is the coordinator now.

use std::cell::RefCell;
use std::rc::Rc;

use ward_fleet::EngineEntry;
use ward_protocol::{BackendId, MonoTime};

use super::active::ActiveCoordinator;

/// Holds the coordinator while this daemon is it.
#[derive(Default)]
pub(crate) struct CoordinatorSlot {
    active: RefCell<Option<Rc<ActiveCoordinator>>>,
}

impl CoordinatorSlot {
    /// The coordinator, while this daemon is it.
    pub(crate) fn active(&self) -> Option<Rc<ActiveCoordinator>> {
        self.active.borrow().clone()
    }

    /// Whether this daemon is the coordinator.
    pub(crate) fn is_active(&self) -> bool {
        self.active.borrow().is_some()
    }

    pub(super) fn set(&self, coordinator: Option<Rc<ActiveCoordinator>>) {
        *self.active.borrow_mut() = coordinator;
    }

    /// Notes that the store has told all it knows of engines, up to an offset.
    pub(crate) fn record_store_read(&self, offset: u64, now: MonoTime) {
        if let Some(coordinator) = self.active() {
            coordinator.record_store_read(offset, now);
        }
    }

    /// Notes an engine's heartbeat.
    pub(crate) fn record_entry(&self, entry: &EngineEntry, now: MonoTime) {
        if let Some(coordinator) = self.active() {
            coordinator.record_entry(entry, now);
        }
    }

    /// Notes that the store dropped an engine's entry in an outage.
    pub(crate) fn mark_lapsed(&self, id: &BackendId) {
        if let Some(coordinator) = self.active() {
            coordinator.mark_lapsed(id);
        }
    }

    /// Notes that an engine is gone.
    pub(crate) fn remove_engine(&self, id: &BackendId) {
        if let Some(coordinator) = self.active() {
            coordinator.remove_engine(id);
        }
    }
}
