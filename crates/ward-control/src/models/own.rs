//! Held keys that this daemon decides about.
//!
//! Who decides about a key takes a hash per member, and most keys belong to
//! others, so the answer is kept: records add keys one by one, a change of
//! members begins anew.

use indexmap::IndexSet;
use ward_protocol::{ControlRecord, ReplicaKey};

use crate::core::ControlCore;

/// Held keys that this daemon decides about; some may be held no more.
#[derive(Debug, Default)]
pub(crate) struct OwnKeys {
    keys: IndexSet<ReplicaKey>,
    /// Members' version for which the keys were looked through.
    version: Option<u64>,
}

impl OwnKeys {
    /// Forces a new look through all held keys.
    pub(super) fn reset(&mut self) {
        self.version = None;
    }

    /// The keys, in no order that matters.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.keys.iter()
    }
}

impl ControlCore {
    /// Notes a record that was applied.
    pub(crate) fn add_own_key(&mut self, body: &ControlRecord) {
        let (ControlRecord::Reserve { key, .. } | ControlRecord::Found { key, .. }) = body else {
            return;
        };
        if !self.models.own_keys.keys.contains(key) && self.owns_model(key) {
            self.models.own_keys.keys.insert(key.clone());
        }
    }

    /// Brings the keys up to the present members and drops those held no more.
    pub(super) fn sync_own_keys(&mut self) {
        let version = self.state.member_version();
        if self.models.own_keys.version != Some(version) {
            let held = self
                .state
                .reserved_keys()
                .filter(|key| self.owns_model(key));
            self.models.own_keys.keys = held.cloned().collect();
            self.models.own_keys.version = Some(version);
            return;
        }
        let state = &self.state;
        let keys = &mut self.models.own_keys.keys;
        keys.retain(|key| !state.reservations_of(key).is_empty());
    }
}
