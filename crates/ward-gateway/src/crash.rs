//! Detects which requests crash the engines that run them.
//!
//! A run is one execution of a request on an engine. A run that ends without a
//! complete answer is tracked, unless its engine was known to be leaving, or was known
//! to be gone when the connection was closed. The engine counts as crashed if
//! connecting to its address fails shortly after the connection of the run was closed,
//! or if its store entry disappears or names another incarnation soon after.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::TcpStream;
use ward_fleet::{CrashEffect, CrashReport, EngineIncarnation, EngineInfo, UnfinishedRun};
use ward_protocol::{RequestFingerprint, TimeSpan};

use crate::clock;
use crate::gateway::Gateway;

/// Delay before an engine is probed, after which an engine that did not crash
/// accepts connections.
const PROBE_DELAY: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Tracks a run that ended without a complete answer, until it is known whether its
/// engine crashed; `broke_off` is whether the connection of the run was closed before
/// the answer was complete.
pub(crate) fn track_unfinished_run(
    gateway: &Rc<Gateway>,
    engine: &EngineInfo,
    fingerprint: RequestFingerprint,
    broke_off: bool,
) {
    let incarnation = EngineIncarnation::from(engine);
    let run = UnfinishedRun {
        fingerprint,
        incarnation: incarnation.clone(),
        ended_at: clock::now(),
    };
    let mut detector = gateway.crash_detector.borrow_mut();
    if detector.add_run(run, broke_off, &gateway.table.borrow()) {
        let probe = probe_engine(Rc::clone(gateway), incarnation, engine.address);
        tokio::task::spawn_local(probe);
    }
}

/// Records a crash for the tracked runs of requests on an engine incarnation if
/// connecting to its address fails with an error. A timeout proves nothing: the network
/// to the engine may be down.
async fn probe_engine(gateway: Rc<Gateway>, incarnation: EngineIncarnation, address: SocketAddr) {
    tokio::time::sleep(PROBE_DELAY).await;
    let connect = TcpStream::connect(address);
    let outcome = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
    let refused = matches!(outcome, Ok(Err(_)));
    let runs = gateway
        .crash_detector
        .borrow_mut()
        .record_probe(&incarnation, refused);
    record_engine_crashes(&gateway, &runs, "connection refused");
}

/// Records a crash for tracked runs whose engine has no store entry any more or has
/// restarted.
pub(crate) fn check_unfinished_runs(gateway: &Gateway) {
    let heartbeat = gateway.settings().engine_heartbeat;
    let table = gateway.table.borrow();
    let mut detector = gateway.crash_detector.borrow_mut();
    let runs = detector.take_ended(&table, heartbeat, clock::now());
    drop((detector, table));
    record_engine_crashes(gateway, &runs, "entry gone");
}

fn record_engine_crashes(gateway: &Gateway, runs: &[UnfinishedRun], evidence: &'static str) {
    for run in runs {
        let report = run.report(clock::now());
        info!(
            gateway.logger, "crash: engine ended under a request";
            "fingerprint" => %report.fingerprint, "engine" => %report.incarnation.engine,
            "birth" => report.incarnation.birth.map(|birth| birth.0),
            "age" => report.age.millis(), "evidence" => evidence,
        );
        if record_crash(gateway, &report) {
            gateway
                .report_events
                .borrow_mut()
                .crashes
                .push(report.clone());
            gateway.report_requested.notify_one();
            gateway.unconfirmed_crashes.borrow_mut().push(report);
            gateway.crash_recorded.notify_one();
        }
    }
}

/// Records a crash that this or another daemon detected; returns whether it was
/// new and counted. A request that was recently answered in full is not the cause of the
/// crash; this is reported to the coordinator.
pub(crate) fn record_crash(gateway: &Gateway, report: &CrashReport) -> bool {
    if gateway.answered.borrow().contains(&report.fingerprint) {
        gateway
            .report_events
            .borrow_mut()
            .cleared
            .push(report.fingerprint);
        gateway.report_requested.notify_one();
        return false;
    }
    let effect = gateway.crashes.borrow_mut().record(report, clock::now());
    if effect == CrashEffect::Blocked {
        gateway.metrics.blocked.inc();
        warn!(
            gateway.logger, "crash: request blocked"; "fingerprint" => %report.fingerprint,
            "engine" => %report.incarnation.engine, "age" => report.age.millis(),
        );
        // Copies of the request may be waiting in the queue.
        gateway.queue.notify_change();
    }
    effect != CrashEffect::Unchanged
}

/// Removes from the unconfirmed crashes those that a view has reported to all daemons.
pub(crate) fn confirm_crashes(gateway: &Gateway, confirmed: &[CrashReport]) {
    let mut unconfirmed_crashes = gateway.unconfirmed_crashes.borrow_mut();
    unconfirmed_crashes.retain(|report| !confirmed.iter().any(|other| other.is_same(report)));
}

/// Remaining time for which a request is not sent to engines; `None` when it is
/// not blocked.
pub(crate) fn blocked_for(gateway: &Gateway, fingerprint: &RequestFingerprint) -> Option<TimeSpan> {
    let crashes = gateway.crashes.borrow();
    crashes.blocked_for(fingerprint, clock::now())
}

/// Records that an engine has answered a request in full, and clears the request's
/// crashes: it did not cause them.
pub(crate) fn record_answered(gateway: &Gateway, fingerprint: &RequestFingerprint) {
    gateway.answered.borrow_mut().record(*fingerprint);
    if clear_crashes(gateway, fingerprint) {
        gateway
            .report_events
            .borrow_mut()
            .cleared
            .push(*fingerprint);
        gateway.report_requested.notify_one();
    }
}

/// Clears the crashes of a request; returns whether there were any.
pub(crate) fn clear_crashes(gateway: &Gateway, fingerprint: &RequestFingerprint) -> bool {
    let mut unconfirmed_crashes = gateway.unconfirmed_crashes.borrow_mut();
    unconfirmed_crashes.retain(|report| report.fingerprint != *fingerprint);
    let cleared = gateway.crashes.borrow_mut().clear(fingerprint);
    if cleared {
        info!(gateway.logger, "crash: request cleared"; "fingerprint" => %fingerprint);
    }
    cleared
}
