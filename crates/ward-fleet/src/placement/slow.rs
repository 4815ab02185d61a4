//! Estimates when models that must come from the weight store are ready.
//!
//! Load pattern: requests arrive for models that no engine has a copy of, while
//! the store serves only a few loads at a time. Daemons that know the estimate
//! immediately refuse requests whose model cannot be ready in time, with a
//! retry delay that follows from the planned order of loads.

use ward_protocol::{MonoTime, TimeSpan};

use super::demand::ModelKey;
use super::engine::EngineTask;
use super::state::PlacementState;
use crate::manifest::ServingManifest;
use crate::message::SlowModel;

/// Minimum remaining time assumed for an overdue load, in percent of its stated
/// time.
const MIN_REMAINING_PERCENT_OF_STATED: u64 = 25;
/// Remaining time assumed for an overdue load, in percent of its elapsed time:
/// the later a load is, the less is known about its end.
const REMAINING_PERCENT_OF_ELAPSED: u64 = 50;
/// Maximum number of pending loads that are estimated. The others finish later
/// than any request waits.
const MAX_SLOW: usize = 64;

/// Models that are being loaded from the weight store or will be, and that no
/// engine holds, with the times until they are ready.
#[must_use]
pub fn slow_models(
    state: &PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<SlowModel> {
    let mut slow = Vec::new();
    let mut free_times = Vec::new();
    for (engine, task) in state.store_loads() {
        let key = ModelKey {
            service: engine.info.service.clone(),
            model: task.model.clone(),
        };
        let ready_in = remaining_time(task, now);
        free_times.push(ready_in);
        if !is_held(state, &key) {
            slow.push(slow_model(key, ready_in));
        }
    }
    free_times.extend(state.orphaned_loads().iter().map(|end| end.since(now)));
    let limit = usize::try_from(state.load_limiter.concurrency_limit()).unwrap_or(usize::MAX);
    free_times.resize(limit.max(free_times.len()), TimeSpan::ZERO);
    for fetch in state.fetches.pending.iter().take(MAX_SLOW) {
        if slow.iter().any(|slow| is_same_model(slow, &fetch.key)) {
            continue;
        }
        let Some(free_time) = free_times.iter_mut().min() else {
            break;
        };
        *free_time = *free_time + store_load_time(manifest, &fetch.key);
        if fetch.absent {
            slow.push(slow_model(fetch.key.clone(), *free_time));
        }
    }
    slow
}

fn remaining_time(task: &EngineTask, now: MonoTime) -> TimeSpan {
    let left = task.expected_end().since(now);
    if left > TimeSpan::ZERO {
        return left;
    }
    let minimum = task.load_time.millis() * MIN_REMAINING_PERCENT_OF_STATED / 100;
    let elapsed = now.since(task.planned_at).millis() * REMAINING_PERCENT_OF_ELAPSED / 100;
    TimeSpan::from_millis(minimum.max(elapsed))
}

/// Whether an engine that takes requests holds a model.
fn is_held(state: &PlacementState, key: &ModelKey) -> bool {
    state.engines.values().any(|engine| {
        let held = engine.held.get(&key.model);
        engine.info.service == key.service
            && engine.info.takes_requests()
            && held.is_some_and(|held| !held.unloading)
    })
}

fn is_same_model(slow: &SlowModel, key: &ModelKey) -> bool {
    slow.service == key.service && slow.model == key.model
}

fn slow_model(key: ModelKey, ready_in: TimeSpan) -> SlowModel {
    SlowModel {
        service: key.service,
        model: key.model,
        ready_in,
    }
}

fn store_load_time(manifest: &ServingManifest, key: &ModelKey) -> TimeSpan {
    let class = manifest.engine_class(&key.service);
    let model = class.and_then(|class| class.models.get(&key.model));
    model.map_or(TimeSpan::ZERO, |model| model.store_load)
}
