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
const MAX_KEYS: usize = 4_096;
/// Loads of any model after which their average stands for unknown ones.
const MIN_SAMPLES: u32 = 3;
const BYTES_PER_GIB: f64 = 1_073_741_824.0;

/// A load that has ended well.
pub(crate) struct CompletedLoad {
    pub(crate) key: ReplicaKey,
    pub(crate) memory: MemorySize,
}

/// What is known of the time of loads.
#[derive(Debug, Default)]
pub(crate) struct LoadTimes {
    reserved_at: IndexMap<ReservationId, MonoTime>,
    by_key: IndexMap<ReplicaKey, TimeSpan>,
    seconds_per_gib: f64,
    samples: u32,
}

impl LoadTimes {
    /// Notes a record that was applied; `live` while the log is read as it grows.
    pub(crate) fn observe(
        &mut self,
        offset: LogOffset,
        body: &ControlRecord,
        now: MonoTime,
        live: bool,
        find_load: impl Fn(ReservationId) -> Option<CompletedLoad>,
    ) {
        if matches!(body, ControlRecord::Reserve { .. }) {
            self.reserved_at.insert(ReservationId(offset.0), now);
        }
        if let ControlRecord::Release { reservation, .. } = body {
            self.reserved_at.swap_remove(reservation);
        }
        if matches!(body, ControlRecord::BackendGone { .. }) {
            self.reserved_at
                .retain(|reservation, _| find_load(*reservation).is_some());
        }
        let ControlRecord::Ready { reservation } = body else {
            return;
        };
        let reserved = self.reserved_at.swap_remove(reservation);
        if let (Some(reserved), Some(load), true) = (reserved, find_load(*reservation), live) {
            self.add_sample(load, now.since(reserved));
        }
    }

    fn add_sample(&mut self, load: CompletedLoad, duration: TimeSpan) {
        let CompletedLoad { key, memory } = load;
        if !key.is_adapter() && memory > MemorySize::ZERO {
            let latest = duration.seconds() / gibibytes(memory);
            self.seconds_per_gib = if self.samples == 0 {
                latest
            } else {
                self.seconds_per_gib + NEWEST_WEIGHT * (latest - self.seconds_per_gib)
            };
            self.samples = self.samples.saturating_add(1);
        }
        if self.by_key.len() >= MAX_KEYS && !self.by_key.contains_key(&key) {
            self.by_key.swap_remove_index(0);
        }
        self.by_key.insert(key, duration);
    }

    /// Expected time of a load that is reserved now.
    pub(crate) fn load_time(
        &self,
        key: &ReplicaKey,
        memory: MemorySize,
        policy: &PolicyValues,
    ) -> TimeSpan {
        if let Some(duration) = self.by_key.get(key) {
            return *duration;
        }
        if key.is_adapter() {
            return policy.load_adapter;
        }
        if self.samples < MIN_SAMPLES {
            return policy.load_remote;
        }
        let seconds = self.seconds_per_gib * gibibytes(memory);
        TimeSpan::from(std::time::Duration::from_secs_f64(seconds.max(0.0)))
    }

    /// Time since a reservation was seen.
    pub(crate) fn age(&self, reservation: ReservationId, now: MonoTime) -> TimeSpan {
        let reserved = self.reserved_at.get(&reservation);
        reserved.map_or(TimeSpan::ZERO, |reserved| now.since(*reserved))
    }
}

#[allow(clippy::cast_precision_loss)]
fn gibibytes(memory: MemorySize) -> f64 {
    memory.bytes() as f64 / BYTES_PER_GIB
}
