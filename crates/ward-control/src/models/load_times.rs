//! Estimates load times from the records of the log.
//!
//! Every daemon sees when a replica is reserved and when it is ready, so all
//! arrive at similar estimates without extra messages. Requests are refused early
//! based on these estimates. So they must come from observed loads, and the
//! remaining time must count from when the reservation was seen instead of
//! starting again with every view.

use indexmap::IndexMap;
use ward_protocol::{
    ControlRecord, LogOffset, MemorySize, MonoTime, PolicyValues, ReplicaKey, ReservationId,
    TimeSpan,
};

/// Weight of the newest load in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;
/// Maximum number of keys whose last load time is kept.
const MAX_KEYS: usize = 4_096;
/// Number of model loads after which the average is used for models not loaded yet.
const MIN_SAMPLES: u32 = 3;
const BYTES_PER_GIB: f64 = 1_073_741_824.0;

/// Replica of an existing reservation, whose load may still run.
pub(crate) struct ReservedReplica {
    pub(crate) key: ReplicaKey,
    pub(crate) memory: MemorySize,
}

/// Observed load times.
#[derive(Debug, Default)]
pub(crate) struct LoadTimes {
    /// When each reservation that is not ready yet was applied here.
    reserved_at: IndexMap<ReservationId, MonoTime>,
    /// Duration of the last load of each key.
    by_key: IndexMap<ReplicaKey, TimeSpan>,
    /// Moving average of the load time per GiB over all models; adapters are not counted.
    seconds_per_gib: f64,
    /// Number of loads in the average.
    samples: u32,
}

impl LoadTimes {
    /// Takes an applied record into account. `live` is false while old records are being
    /// replayed: their times say nothing about loads. `find_replica` finds the replica of a
    /// reservation, `None` if that has ended.
    pub(crate) fn observe(
        &mut self,
        offset: LogOffset,
        body: &ControlRecord,
        now: MonoTime,
        live: bool,
        find_replica: impl Fn(ReservationId) -> Option<ReservedReplica>,
    ) {
        if matches!(body, ControlRecord::Reserve { .. }) {
            self.reserved_at.insert(ReservationId(offset.0), now);
        }
        if let ControlRecord::Release { reservation, .. } = body {
            self.reserved_at.swap_remove(reservation);
        }
        if matches!(body, ControlRecord::BackendGone { .. }) {
            self.reserved_at
                .retain(|reservation, _| find_replica(*reservation).is_some());
        }
        let ControlRecord::Ready { reservation } = body else {
            return;
        };
        let reserved = self.reserved_at.swap_remove(reservation);
        if let (Some(reserved), Some(load), true) = (reserved, find_replica(*reservation), live) {
            self.add_sample(load, now.since(reserved));
        }
    }

    fn add_sample(&mut self, load: ReservedReplica, duration: TimeSpan) {
        let ReservedReplica { key, memory } = load;
        if !key.is_adapter() && memory > MemorySize::ZERO {
            let newest_seconds_per_gib = duration.seconds() / gibibytes(memory);
            self.seconds_per_gib = if self.samples == 0 {
                newest_seconds_per_gib
            } else {
                self.seconds_per_gib
                    + NEWEST_WEIGHT * (newest_seconds_per_gib - self.seconds_per_gib)
            };
            self.samples = self.samples.saturating_add(1);
        }
        if self.by_key.len() >= MAX_KEYS && !self.by_key.contains_key(&key) {
            self.by_key.swap_remove_index(0);
        }
        self.by_key.insert(key, duration);
    }

    /// Expected time from the reservation of a replica until it is ready: that of the key's
    /// last load, else for a model an estimate from its memory, else the configured time.
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

    /// Time since a reservation was applied here; zero if unknown.
    pub(crate) fn age(&self, reservation: ReservationId, now: MonoTime) -> TimeSpan {
        let reserved = self.reserved_at.get(&reservation);
        reserved.map_or(TimeSpan::ZERO, |reserved| now.since(*reserved))
    }
}

#[allow(clippy::cast_precision_loss)]
fn gibibytes(memory: MemorySize) -> f64 {
    memory.bytes() as f64 / BYTES_PER_GIB
}
