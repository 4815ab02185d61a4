//! Applies views of the coordinator to the state of this daemon.

use slog::info;
use ward_fleet::FleetView;

use super::broadcast::coordinator_reaches_all;
use crate::clock;
use crate::crash::{
    TimedReport, clear_crashes, confirm_crashes, record_news, report_missing_clearances,
};
use crate::gateway::Gateway;
use crate::leaving::report_missed_leaving;
use crate::limit::record_told_limits;
use crate::quota::{record_quota_contact, record_sharing_hosts};

/// Applies a view; returns whether its engines are outdated, because this daemon has read
/// the store more recently than the coordinator, which is another daemon.
pub(super) fn apply_view(gateway: &Gateway, view: &FleetView) -> bool {
    let now = clock::now();
    let view_time = now - view.store_age;
    let read_later = gateway.last_read.get().is_some_and(|time| time > view_time);
    let is_outdated = read_later && !gateway.coordinator.is_active();
    // During a store outage, a read by this daemon would not be more recent.
    let store_time = if view.store_outage { now } else { view_time };
    gateway.view_store_time.set(Some(store_time));
    gateway.unfollowed_since.set(None);
    record_quota_contact(gateway);
    let since = gateway.followed_since.get().unwrap_or(now);
    gateway.followed_since.set(Some(since));
    gateway.store_outage.set(view.store_outage);
    gateway.table.borrow_mut().apply(view, is_outdated);
    gateway.streams.record_engines(&view.engines);
    gateway.streams.record_sightings(&view.versions);
    view.apply_members(&mut gateway.members.borrow_mut());
    gateway.record_daemon_count(gateway.members.borrow().len());
    record_sharing_hosts(gateway);
    report_missed_leaving(gateway, view);
    record_told_limits(gateway, &view.limits, view.complete);
    gateway.view_engines_cursor.set(view.engines_cursor);
    gateway.store.record_era(view.store_era);
    gateway.load_limit.set(Some(view.load_concurrency_limit));
    if view.loads.is_some() {
        gateway.queue.set_slow_models(&view.slow, now);
    }
    gateway.manifests.record_version(view.manifest);
    for fingerprint in &view.cleared {
        clear_crashes(gateway, fingerprint);
    }
    record_news(gateway, &view.crashes, &view.cleared_parts);
    if coordinator_reaches_all(gateway) {
        confirm_crashes(gateway, &view.crashes);
    }
    if view.complete {
        gateway.streams.complete_history();
        // The coordinator may be new, or reports were lost with a connection.
        let missing_reports = gateway
            .crashes
            .borrow()
            .reports_missing_from(&view.crashes, now);
        if !missing_reports.is_empty() {
            gateway.report_requested.notify_one();
        }
        let missing_reports = missing_reports
            .into_iter()
            .map(|report| TimedReport { report, at: now });
        gateway.report_events.borrow_mut().crashes = missing_reports.collect();
        report_missing_clearances(gateway, &view.cleared_parts, now);
    }
    if !gateway.engines_known.replace(true) {
        info!(gateway.logger, "engines: first received from the coordinator"; "count" => view.engines.len());
    }
    gateway.queue.notify_change();
    is_outdated
}
