//! Engines that say in their answers that they leave.
//!
//! From the first such answer on, this daemon begins no request there, whatever the
//! store and the coordinator say of that life of the engine. The coordinator is told
//! with the next report, and again by any daemon that knows better than its view.

use slog::info;
use ward_fleet::{EngineIncarnation, EngineInfo, FleetView};

use crate::gateway::Gateway;

/// Notes that an engine says that it leaves.
pub(crate) fn note_leaving(gateway: &Gateway, life: &EngineIncarnation) {
    if !gateway.table.borrow_mut().mark_leaving(life) {
        return;
    }
    info!(
        gateway.logger, "engines: says that it leaves"; "engine" => %life.engine,
        "birth" => life.birth.map(|birth| birth.0),
    );
    gateway.notes.borrow_mut().leaving.push(life.clone());
    gateway.report_wanted.notify_one();
    // Requests that wait for it turn elsewhere.
    gateway.queue.changed();
}

/// Tells the coordinator of engines that its view takes for serving, though this
/// daemon knows that they leave: it may be new, or a report was lost.
pub(crate) fn contradict_view(gateway: &Gateway, view: &FleetView) {
    let table = gateway.table.borrow();
    let leaves = |info: &EngineInfo| {
        let known = table.get(&info.id);
        known.is_some_and(|engine| engine.info.draining && engine.info.birth == info.birth)
    };
    let serving = view.engines.iter().filter(|info| !info.draining);
    let leaving: Vec<_> = serving
        .filter(|info| leaves(info))
        .map(EngineIncarnation::from)
        .collect();
    if !leaving.is_empty() {
        gateway.notes.borrow_mut().leaving.extend(leaving);
        gateway.report_wanted.notify_one();
    }
}
