//! Reserved keys that this daemon decides about.
//!
//! Finding the owner of a key takes a hash per member, and most keys belong to
//! others, so the result is cached: applied records add single keys, and a change
//! of members recomputes the set.

use indexmap::IndexSet;
use ward_protocol::{ControlRecord, ReplicaKey};

use crate::core::ControlCore;

/// Reserved keys that this daemon decides about; includes keys whose reservations have ended
/// since the set was last updated.
#[derive(Debug, Default)]
pub(crate) struct OwnKeys {
    keys: IndexSet<ReplicaKey>,
    /// Version of the member list for which the keys were computed.
    version: Option<u64>,
}

impl OwnKeys {
    /// Makes the next step compute the keys again.
    pub(super) fn reset(&mut self) {
        self.version = None;
    }

    /// The keys; their order has no meaning.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.keys.iter()
    }
}

impl ControlCore {
    /// Adds the key of an applied `Reserve` or `Found` record if this daemon decides about it.
    pub(crate) fn add_own_key(&mut self, body: &ControlRecord) {
        let (ControlRecord::Reserve { key, .. } | ControlRecord::Found { key, .. }) = body else {
            return;
        };
        if !self.models.own_keys.keys.contains(key) && self.owns_model(key) {
            self.models.own_keys.keys.insert(key.clone());
        }
    }

    /// Recomputes the keys if the members have changed, else drops those without
    /// reservations.
    pub(super) fn sync_own_keys(&mut self) {
        let version = self.state.member_version();
        if self.models.own_keys.version != Some(version) {
            let reserved = self
                .state
                .reserved_keys()
                .filter(|key| self.owns_model(key));
            self.models.own_keys.keys = reserved.cloned().collect();
            self.models.own_keys.version = Some(version);
            return;
        }
        let state = &self.state;
        let keys = &mut self.models.own_keys.keys;
        keys.retain(|key| !state.reservations_of(key).is_empty());
    }
}
