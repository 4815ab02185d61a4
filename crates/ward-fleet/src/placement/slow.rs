//! When models that must come from the weight store will be ready.
//!
//! Load pattern: requests for models that no engine has a copy of, while the
//! store carries only few loads at once. Daemons that know how long it takes
//! refuse at once what cannot be ready in time, and name a time to come back
//! that the planned order of loads bears out.

use ward_protocol::{MonoTime, TimeSpan};

use super::demand::ModelKey;
use super::engine::EngineTask;
use super::state::PlacementState;
use crate::manifest::ServingManifest;
use crate::message::SlowModel;

/// Part of its stated time that a load which is overdue is given at least, in
/// percent.
const OVERDUE_PERCENT: u64 = 25;
/// Part of the time for which it has run that it is given, in percent: the later a
/// load is, the less is known of its end.
const RUN_PERCENT: u64 = 50;
/// Most models that daemons are told of; the rest come later than any request
/// waits.
const MOST_SLOW: usize = 64;

/// Models that are fetched now, and those that wait for their turn.
#[must_use]
pub fn slow_models(
    state: &PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<SlowModel> {
    let mut slow = Vec::new();
    let mut places = Vec::new();
    for (engine, task) in state.store_loads() {
        let key = ModelKey {
            service: engine.info.service.clone(),
            model: task.model.clone(),
        };
        let ready_in = time_left(task, now);
        places.push(ready_in);
        if !is_held(state, &key) {
            slow.push(slow_model(key, ready_in));
        }
    }
    places.extend(state.lost_loads().iter().map(|due| due.since(now)));
    let at_once = usize::try_from(state.ceiling.concurrency_limit()).unwrap_or(usize::MAX);
    places.resize(at_once.max(places.len()), TimeSpan::ZERO);
    for wish in state.fetches.wishes.iter().take(MOST_SLOW) {
        if slow.iter().any(|slow| is_model(slow, &wish.key)) {
            continue;
        }
        let Some(place) = places.iter_mut().min() else {
            break;
        };
        *place = *place + load_time(manifest, &wish.key);
        if wish.absent {
            slow.push(slow_model(wish.key.clone(), *place));
        }
    }
    slow
}

fn time_left(task: &EngineTask, now: MonoTime) -> TimeSpan {
    let left = task.expected_end().since(now);
    if left > TimeSpan::ZERO {
        return left;
    }
    let least = task.load_time.millis() * OVERDUE_PERCENT / 100;
    let run = now.since(task.planned_at).millis() * RUN_PERCENT / 100;
    TimeSpan::from_millis(least.max(run))
}

/// Whether an engine that stays holds a model.
fn is_held(state: &PlacementState, key: &ModelKey) -> bool {
    state.engines.values().any(|engine| {
        let held = engine.held.get(&key.model);
        engine.info.service == key.service
            && !engine.info.draining
            && held.is_some_and(|held| !held.unloading)
    })
}

fn is_model(slow: &SlowModel, key: &ModelKey) -> bool {
    slow.service == key.service && slow.model == key.model
}

fn slow_model(key: ModelKey, ready_in: TimeSpan) -> SlowModel {
    SlowModel {
        service: key.service,
        model: key.model,
        ready_in,
    }
}

fn load_time(manifest: &ServingManifest, key: &ModelKey) -> TimeSpan {
    let class = manifest.engine_class(&key.service);
    let model = class.and_then(|class| class.models.get(&key.model));
    model.map_or(TimeSpan::ZERO, |model| model.store_load)
}
