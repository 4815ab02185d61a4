//! Engines that say in their answers that they leave.
//!
//! From the first such answer on, this daemon begins no request there, whatever the
//! store and the coordinator say of that life of the engine. The coordinator is told
//! with the next report, and again by any daemon that knows better than its view.

use slog::info;
use ward_fleet::{EngineIncarnation, EngineInfo, FleetView};

use crate::gateway::Gateway;

/// Notes that an engine says that it leaves.
pub(crate) fn record_leaving(gateway: &Gateway, incarnation: &EngineIncarnation) {
    if !gateway.table.borrow_mut().mark_leaving(incarnation) {
        return;
    }
    info!(
        gateway.logger, "engines: says that it leaves"; "engine" => %incarnation.engine,
        "birth" => incarnation.birth.map(|birth| birth.0),
    );
    gateway
        .report_events
        .borrow_mut()
        .leaving
        .push(incarnation.clone());
    gateway.report_requested.notify_one();
    // Requests that wait for it turn elsewhere.
    gateway.queue.changed();
}

/// Tells the coordinator of engines that its view takes for serving, though this
/// daemon knows that they leave: it may be new, or a report was lost.
pub(crate) fn report_missed_leaving(gateway: &Gateway, view: &FleetView) {
    let table = gateway.table.borrow();
    let is_known_leaving = |info: &EngineInfo| {
        let known = table.get(&info.id);
        known.is_some_and(|engine| engine.info.draining && engine.info.birth == info.birth)
    };
    let serving = view.engines.iter().filter(|info| !info.draining);
    let missed: Vec<_> = serving
        .filter(|info| is_known_leaving(info))
        .map(EngineIncarnation::from)
        .collect();
    if !missed.is_empty() {
        gateway.report_events.borrow_mut().leaving.extend(missed);
        gateway.report_requested.notify_one();
    }
}
