//! The weight store in memory: a load takes longer when more run at once than
//! the store can serve at full speed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The weight store that all engines of a stage share.
#[derive(Debug, Clone)]
pub struct WeightStore {
    state: Arc<Mutex<WeightState>>,
}

#[derive(Debug)]
struct WeightState {
    at_once: u32,
    slowness: u32,
    ends: Vec<Instant>,
}

impl WeightStore {
    /// A store that serves `at_once` loads at full speed, where each takes
    /// `slowness` times as long as the operators say.
    #[must_use]
    pub fn new(at_once: u32, slowness: u32) -> Self {
        let state = WeightState {
            at_once: at_once.max(1),
            slowness: slowness.max(1),
            ends: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a load that takes `stated` at full speed; returns when it ends.
    pub(crate) fn begin(&self, stated: Duration) -> Instant {
        let now = Instant::now();
        let mut state = self.lock();
        state.ends.retain(|end| *end > now);
        let running = u32::try_from(state.ends.len() + 1).unwrap_or(u32::MAX);
        let end = now + stated * state.slowness * running.max(state.at_once) / state.at_once;
        state.ends.push(end);
        end
    }
}
