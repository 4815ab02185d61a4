//! How long loads take, learned from the log's own records.
//!
//! Every daemon sees when a replica is reserved and when it answers, so each
//! learns the same pace without a message. A request is refused early on this
//! estimate, so it must neither stay at a guess nor start anew with every view:
//! the expected time counts from when the reservation was seen.

use indexmap::IndexMap;
use ward_protocol::{
    ControlRecord, LogOffset, MemorySize, MonoTime, PolicyValues, ReplicaKey, ReservationId,
    TimeSpan,
};

/// Weight of the newest load in the averages.
const NEWEST_WEIGHT: f64 = 0.3;
/// Keys whose last load is remembered.
const KEY_LIMIT: usize = 4_096;
/// Loads of any model after which their average stands for unknown ones.
const KNOWN_LOADS: u32 = 3;
const BYTES_PER_GIB: f64 = 1_073_741_824.0;

/// A load that has ended well.
pub(crate) struct EndedLoad {
    pub(crate) key: ReplicaKey,
    pub(crate) memory: MemorySize,
}

/// What is known of the time of loads.
#[derive(Debug, Default)]
pub(crate) struct LoadPace {
    begun: IndexMap<ReservationId, MonoTime>,
    keys: IndexMap<ReplicaKey, TimeSpan>,
    seconds_per_gib: f64,
    loads: u32,
}

impl LoadPace {
    /// Notes a record that was applied; `live` while the log is read as it grows.
    pub(crate) fn note(
        &mut self,
        offset: LogOffset,
        body: &ControlRecord,
        now: MonoTime,
        live: bool,
        held: impl Fn(ReservationId) -> Option<EndedLoad>,
    ) {
        if matches!(body, ControlRecord::Reserve { .. }) {
            self.begun.insert(ReservationId(offset.0), now);
        }
        if let ControlRecord::Release { reservation, .. } = body {
            self.begun.swap_remove(reservation);
        }
        if matches!(body, ControlRecord::BackendGone { .. }) {
            self.begun
                .retain(|reservation, _| held(*reservation).is_some());
        }
        let ControlRecord::Ready { reservation } = body else {
            return;
        };
        let begun = self.begun.swap_remove(reservation);
        if let (Some(begun), Some(load), true) = (begun, held(*reservation), live) {
            self.learn(load, now.since(begun));
        }
    }

    fn learn(&mut self, load: EndedLoad, took: TimeSpan) {
        let EndedLoad { key, memory } = load;
        if !key.is_adapter() && memory > MemorySize::ZERO {
            let pace = took.seconds() / gibibytes(memory);
            self.seconds_per_gib = if self.loads == 0 {
                pace
            } else {
                self.seconds_per_gib + NEWEST_WEIGHT * (pace - self.seconds_per_gib)
            };
            self.loads = self.loads.saturating_add(1);
        }
        if self.keys.len() >= KEY_LIMIT && !self.keys.contains_key(&key) {
            self.keys.swap_remove_index(0);
        }
        self.keys.insert(key, took);
    }

    /// Expected time of a load that is reserved now.
    pub(crate) fn load_time(
        &self,
        key: &ReplicaKey,
        memory: MemorySize,
        policy: &PolicyValues,
    ) -> TimeSpan {
        if let Some(took) = self.keys.get(key) {
            return *took;
        }
        if key.is_adapter() {
            return policy.load_adapter;
        }
        if self.loads < KNOWN_LOADS {
            return policy.load_remote;
        }
        let seconds = self.seconds_per_gib * gibibytes(memory);
        TimeSpan::from(std::time::Duration::from_secs_f64(seconds.max(0.0)))
    }

    /// Time since a reservation was seen.
    pub(crate) fn age(&self, reservation: ReservationId, now: MonoTime) -> TimeSpan {
        let begun = self.begun.get(&reservation);
        begun.map_or(TimeSpan::ZERO, |begun| now.since(*begun))
    }
}

#[allow(clippy::cast_precision_loss)]
fn gibibytes(memory: MemorySize) -> f64 {
    memory.bytes() as f64 / BYTES_PER_GIB
}
