//! Engines that announce in their answers that they are leaving.
//!
//! From the first such answer on, this daemon sends no new requests to that
//! incarnation of the engine, whatever the store and the coordinator say about it.
//! The next report passes the fact on to the coordinator. Any daemon reports it
//! again when it receives a view that still lists the engine as serving.

use slog::info;
use ward_fleet::{EngineIncarnation, EngineInfo, FleetView};

use crate::gateway::Gateway;

/// Records that an engine has announced that it is leaving.
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
    // Requests that wait for this engine must choose another one.
    gateway.queue.notify_change();
}

/// Reports engines that a view lists as serving although this daemon knows that
/// they are leaving: the coordinator may be new, or a report was lost.
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
