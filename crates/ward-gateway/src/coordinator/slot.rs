//! Holds the coordinator's state while this daemon is the coordinator.

use std::cell::RefCell;
use std::rc::Rc;

use ward_fleet::{EngineEntry, ReadCursor};
use ward_protocol::{BackendId, MonoTime};

use super::active::ActiveCoordinator;

/// The coordinator's state, if this daemon is the coordinator. Updates are dropped
/// while it is not.
#[derive(Default)]
pub(crate) struct CoordinatorSlot {
    active: RefCell<Option<Rc<ActiveCoordinator>>>,
}

impl CoordinatorSlot {
    /// The coordinator's state; `None` while another daemon coordinates.
    pub(crate) fn active(&self) -> Option<Rc<ActiveCoordinator>> {
        self.active.borrow().clone()
    }

    /// Whether this daemon is the coordinator now.
    pub(crate) fn is_active(&self) -> bool {
        self.active.borrow().is_some()
    }

    pub(super) fn set(&self, coordinator: Option<Rc<ActiveCoordinator>>) {
        *self.active.borrow_mut() = coordinator;
    }

    /// Records that the store's engines topic has been read up to a cursor.
    pub(crate) fn record_store_read(&self, cursor: ReadCursor, now: MonoTime) {
        if let Some(coordinator) = self.active() {
            coordinator.record_store_read(cursor, now);
        }
    }

    /// Applies an engine's store entry, which is written again with each heartbeat.
    pub(crate) fn apply_entry(&self, entry: &EngineEntry, now: MonoTime) {
        if let Some(coordinator) = self.active() {
            coordinator.apply_entry(entry, now);
        }
    }

    /// Records that an engine's entry expired during a store outage.
    pub(crate) fn mark_lapsed(&self, id: &BackendId) {
        if let Some(coordinator) = self.active() {
            coordinator.mark_lapsed(id);
        }
    }

    /// Removes an engine that is gone.
    pub(crate) fn remove_engine(&self, id: &BackendId) {
        if let Some(coordinator) = self.active() {
            coordinator.remove_engine(id);
        }
    }
}
