//! Record ids seen lately.
//!
//! A record can come twice when its sender repeats an append that took effect
//! late. That happens within the few seconds that an append may be under way;
//! at several hundred appends a second these are a few thousand records, so the
//! last [`RECENT_RECORDS`] ids suffice. A copy that comes even later is harmless:
//! reservations are bounded by plan and memory, the rest names ids or lives that
//! have ended.

use std::collections::VecDeque;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use ward_protocol::RecordId;

/// Number of ids kept.
pub const RECENT_RECORDS: usize = 8_192;

/// The last record ids, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u128>", into = "Vec<u128>")]
pub struct RecentIds {
    order: VecDeque<u128>,
    known: IndexSet<u128>,
}

impl RecentIds {
    /// Notes an id; false if it was known.
    pub fn insert(&mut self, id: RecordId) -> bool {
        if !self.known.insert(id.0) {
            return false;
        }
        self.order.push_back(id.0);
        if self.order.len() > RECENT_RECORDS
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
