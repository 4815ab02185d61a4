//! Simulated weight store: a load takes longer when more run at a time than the
//! store can serve at full speed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Weight store that all engines of a stage share.
#[derive(Debug, Clone)]
pub struct WeightStore {
    state: Arc<Mutex<WeightState>>,
}

#[derive(Debug)]
struct WeightState {
    full_speed_loads: u32,
    slowdown: u32,
    load_ends: Vec<Instant>,
}

impl WeightStore {
    /// A store that serves `full_speed_loads` loads at a time at full speed, each
    /// taking `slowdown` times as long as the manifest says. Values below 1 count as 1.
    #[must_use]
    pub fn new(full_speed_loads: u32, slowdown: u32) -> Self {
        let state = WeightState {
            full_speed_loads: full_speed_loads.max(1),
            slowdown: slowdown.max(1),
            load_ends: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a load that takes `nominal` at full speed without slowdown; returns
    /// the time at which it ends. Later loads don't change that time.
    pub(crate) fn start_load(&self, nominal: Duration) -> Instant {
        let now = Instant::now();
        let mut state = self.lock();
        state.load_ends.retain(|end| *end > now);
        let running = u32::try_from(state.load_ends.len() + 1).unwrap_or(u32::MAX);
        let end = now
            + nominal * state.slowdown * running.max(state.full_speed_loads)
                / state.full_speed_loads;
        state.load_ends.push(end);
        end
    }
}
