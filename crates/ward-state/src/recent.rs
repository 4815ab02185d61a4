//! Recently seen record ids, to detect duplicates.
//!
//! The log can hold a record twice when its sender retries an append that took
//! effect late. The two copies are at most the few seconds apart that an append may
//! take. At several hundred appends a second these are a few thousand records, so
//! the last [`MAX_RECENT_IDS`] ids suffice. A copy that arrives even later is
//! harmless: reservations are limited by plan and memory, and all other records
//! name ids or incarnations that have ended.

use std::collections::VecDeque;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use ward_protocol::RecordId;

/// Maximum number of ids kept.
pub const MAX_RECENT_IDS: usize = 8_192;

/// The last [`MAX_RECENT_IDS`] record ids; serialized as a list, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u128>", into = "Vec<u128>")]
pub struct RecentIds {
    order: VecDeque<u128>,
    known: IndexSet<u128>,
}

impl RecentIds {
    /// Adds an id and drops the oldest one beyond the limit; returns false if the id was
    /// already present.
    pub fn insert(&mut self, id: RecordId) -> bool {
        if !self.known.insert(id.0) {
            return false;
        }
        self.order.push_back(id.0);
        if self.order.len() > MAX_RECENT_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.swap_remove(&oldest);
        }
        true
    }
}

impl From<Vec<u128>> for RecentIds {
    fn from(ids: Vec<u128>) -> Self {
        Self {
            known: ids.iter().copied().collect(),
            order: ids.into(),
        }
    }
}

impl From<RecentIds> for Vec<u128> {
    fn from(recent: RecentIds) -> Self {
        recent.order.into()
    }
}
