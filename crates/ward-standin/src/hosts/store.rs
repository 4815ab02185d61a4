//! Loads from the weight store and their duration.
//!
//! Model loads and adapter loads have separate limits. Up to the limit each load
//! runs at full speed; beyond it, all loads of the kind slow down equally.
//! Progress is computed in small steps, so that a load's speed follows the number
//! of concurrent loads.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;
use ward_protocol::{BackendId, MemorySize, ReplicaKey, WallTime};

use super::history::{HostsHistory, LoadEntry, LoadLevel};
use super::{HostsFaults, StoreSettings};
use crate::server::lock;

const MODEL_STEP: Duration = Duration::from_millis(10);
const ADAPTER_STEP: Duration = Duration::from_millis(1);
const GIB_BYTES: f64 = 1_073_741_824.0;

/// The weight store with its loads in flight and its history.
#[derive(Debug)]
pub(super) struct StoreState {
    settings: StoreSettings,
    core: Mutex<StoreCore>,
}

#[derive(Debug)]
struct StoreCore {
    models: u32,
    adapters: u32,
    next_start: Instant,
    history: HostsHistory,
}

/// JSON body of `POST /loads`.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadRequest {
    key: ReplicaKey,
    engine: BackendId,
    memory: MemorySize,
}

/// A load in flight; counted as such until dropped.
struct ActiveLoad<'a> {
    store: &'a StoreState,
    is_adapter: bool,
    /// Index of the load in the history.
    history_index: usize,
}

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.store
            .change_level(self.is_adapter, |count| count.saturating_sub(1));
    }
}

impl StoreState {
    pub(super) fn new(settings: StoreSettings) -> Self {
        let core = StoreCore {
            models: 0,
            adapters: 0,
            next_start: Instant::now(),
            history: HostsHistory::default(),
        };
        Self {
            settings,
            core: Mutex::new(core),
        }
    }

    pub(super) fn history(&self) -> HostsHistory {
        lock(&self.core).history.clone()
    }

    /// Waits until the load is complete; returns false if the store went down before.
    pub(super) async fn load(
        &self,
        request: LoadRequest,
        faults: impl Fn() -> HostsFaults,
    ) -> bool {
        let is_adapter = request.key.is_adapter();
        let mut remaining = self.full_speed_time(&request);
        let history_index = self.record_load(request);
        if !is_adapter {
            tokio::time::sleep_until(self.reserve_start()).await;
        }
        let load = self.begin_load(is_adapter, history_index);
        let step = if is_adapter { ADAPTER_STEP } else { MODEL_STEP };
        while remaining > Duration::ZERO {
            let step_start = Instant::now();
            let speed = self.speed(is_adapter) / faults().store_slow.max(f64::MIN_POSITIVE);
            let remaining_time = remaining.div_f64(speed);
            tokio::time::sleep(remaining_time.min(step)).await;
            if faults().store_down {
                return false;
            }
            remaining = remaining.saturating_sub(step_start.elapsed().mul_f64(speed));
        }
        self.record_arrival(&load);
        true
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes of models fit 52 bits")]
    fn full_speed_time(&self, request: &LoadRequest) -> Duration {
        if request.key.is_adapter() {
            return self.settings.adapter_time.duration();
        }
        let gibibytes = request.memory.bytes() as f64 / GIB_BYTES;
        self.settings.time_per_gib.duration().mul_f64(gibibytes)
    }

    /// Reserves the start of a model load, `start_interval` after the one before.
    fn reserve_start(&self) -> Instant {
        let mut core = lock(&self.core);
        let start = core.next_start.max(Instant::now());
        core.next_start = start + self.settings.start_interval.duration();
        start
    }

    /// Returns the share of full speed that each load gets, at most 1.
    fn speed(&self, is_adapter: bool) -> f64 {
        let core = lock(&self.core);
        let (count, full) = if is_adapter {
            (core.adapters, self.settings.full_speed_adapters)
        } else {
            (core.models, self.settings.full_speed_models)
        };
        (f64::from(full) / f64::from(count.max(1))).min(1.0)
    }

    fn begin_load(&self, is_adapter: bool, history_index: usize) -> ActiveLoad<'_> {
        self.change_level(is_adapter, |count| count + 1);
        ActiveLoad {
            store: self,
            is_adapter,
            history_index,
        }
    }

    fn change_level(&self, is_adapter: bool, change: impl Fn(u32) -> u32) {
        let mut core = lock(&self.core);
        let count = if is_adapter {
            &mut core.adapters
        } else {
            &mut core.models
        };
        *count = change(*count);
        let level = LoadLevel {
            at: WallTime::now(),
            models: core.models,
            adapters: core.adapters,
        };
        let history = &mut core.history;
        history.levels.push(level);
        history.peak_models = history.peak_models.max(level.models);
        history.peak_adapters = history.peak_adapters.max(level.adapters);
    }

    fn record_load(&self, request: LoadRequest) -> usize {
        let loads = &mut lock(&self.core).history.loads;
        loads.push(LoadEntry {
            key: request.key,
            engine: request.engine,
            memory: request.memory,
            asked: WallTime::now(),
            arrived: None,
        });
        loads.len() - 1
    }

    fn record_arrival(&self, load: &ActiveLoad<'_>) {
        if let Some(entry) = lock(&self.core).history.loads.get_mut(load.history_index) {
            entry.arrived = Some(WallTime::now());
        }
    }
}
