//! When models that must come from the weight store will be ready.
//!
//! Load pattern: requests for models that no engine has a copy of, while the
//! store carries only few loads at once. Daemons that know how long it takes
//! refuse at once what cannot be ready in time.

use ward_protocol::{MonoTime, TimeSpan};

use super::demand::ModelKey;
use super::engine::LoadSource;
use super::state::PlacementState;
use crate::manifest::ServingManifest;
use crate::message::SlowModel;

/// Models that are fetched now, and those that wait for their turn.
#[must_use]
pub fn slow_models(
    state: &PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<SlowModel> {
    let mut slow = Vec::new();
    let mut turn = TimeSpan::ZERO;
    for engine in state.engines.values() {
        let task = engine.task.as_ref();
        let Some(task) = task.filter(|task| task.source == LoadSource::Store) else {
            continue;
        };
        let key = ModelKey {
            service: engine.info.service.clone(),
            model: task.model.clone(),
        };
        let ready_in = load_time(manifest, &key).saturating_sub(now.since(task.since));
        turn = turn.max(ready_in);
        slow.push(slow_model(key, ready_in));
    }
    for (key, demand) in state.demand.iter().filter(|(_, demand)| demand.waiting > 0) {
        let present = state.engines.values().any(|engine| {
            engine.info.service == key.service
                && !engine.info.draining
                && (engine.has_or_expects(&key.model)
                    || engine.source(&key.model) != LoadSource::Store)
        });
        if !present && demand.waiting_since.is_some() {
            turn = turn + load_time(manifest, key);
            slow.push(slow_model(key.clone(), turn));
        }
    }
    slow
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
