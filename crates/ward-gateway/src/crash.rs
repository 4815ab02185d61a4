//! Notes which requests crash the engines that run them.
//!
//! A run that ends without a whole answer is watched, however it ended. Its engine
//! crashed if nothing listens at its address a moment after a connection broke
//! off, or if its entry is gone or names another life soon after.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::TcpStream;
use ward_fleet::{CrashEffect, CrashReport, EngineIncarnation, EngineInfo, UnfinishedRun};
use ward_protocol::{RequestFingerprint, TimeSpan};

use crate::clock;
use crate::gateway::Gateway;

/// Pause after which an engine that did not crash can be connected to.
const PROBE_DELAY: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Watches a run that ended without a whole answer; `broke_off` when its
/// connection ended.
pub(crate) fn watch_run(
    gateway: &Rc<Gateway>,
    engine: &EngineInfo,
    fingerprint: RequestFingerprint,
    broke_off: bool,
) {
    let life = EngineIncarnation::from(engine);
    let run = UnfinishedRun {
        fingerprint,
        incarnation: life.clone(),
        ended_at: clock::now(),
    };
    let mut watch = gateway.crash_watch.borrow_mut();
    if watch.add_run(run, broke_off, &gateway.table.borrow()) {
        let probe = probe_engine(Rc::clone(gateway), life, engine.address);
        tokio::task::spawn_local(probe);
    }
}

/// Counts the runs at an engine if nothing listens at its address. An address
/// that is silent says nothing: the link to it may be cut.
async fn probe_engine(gateway: Rc<Gateway>, life: EngineIncarnation, address: SocketAddr) {
    tokio::time::sleep(PROBE_DELAY).await;
    let connect = TcpStream::connect(address);
    let outcome = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
    let refused = matches!(outcome, Ok(Err(_)));
    let runs = gateway
        .crash_watch
        .borrow_mut()
        .record_probe(&life, refused);
    record_engine_crashes(&gateway, &runs, "connection refused");
}

/// Counts the runs whose engines have turned out to have ended.
pub(crate) fn check_unfinished_runs(gateway: &Gateway) {
    let heartbeat = gateway.settings().engine_heartbeat;
    let table = gateway.table.borrow();
    let mut watch = gateway.crash_watch.borrow_mut();
    let runs = watch.take_ended(&table, heartbeat, clock::now());
    drop((watch, table));
    record_engine_crashes(gateway, &runs, "entry gone");
}

fn record_engine_crashes(gateway: &Gateway, runs: &[UnfinishedRun], evidence: &'static str) {
    for run in runs {
        let mark = run.report(clock::now());
        info!(
            gateway.logger, "crash: engine ended under a request";
            "fingerprint" => %mark.fingerprint, "engine" => %mark.incarnation.engine,
            "birth" => mark.incarnation.birth.map(|birth| birth.0),
            "age" => mark.age.millis(), "evidence" => evidence,
        );
        if record_crash(gateway, &mark) {
            gateway
                .report_events
                .borrow_mut()
                .crashes
                .push(mark.clone());
            gateway.report_requested.notify_one();
            gateway.unconfirmed_crashes.borrow_mut().push(mark);
            gateway.crash_recorded.notify_one();
        }
    }
}

/// Takes over a crash that this or another daemon saw; returns whether it was
/// news. A request that was answered whole of late is not to blame, and the
/// coordinator is told so.
pub(crate) fn record_crash(gateway: &Gateway, mark: &CrashReport) -> bool {
    if gateway.answered.borrow().contains(&mark.fingerprint) {
        gateway
            .report_events
            .borrow_mut()
            .cleared
            .push(mark.fingerprint);
        gateway.report_requested.notify_one();
        return false;
    }
    let news = gateway.crashes.borrow_mut().record(mark, clock::now());
    if news == CrashEffect::Blocked {
        gateway.metrics.blocked.inc();
        warn!(
            gateway.logger, "crash: request blocked"; "fingerprint" => %mark.fingerprint,
            "engine" => %mark.incarnation.engine, "age" => mark.age.millis(),
        );
        // Copies of it may wait.
        gateway.queue.changed();
    }
    news != CrashEffect::Known
}

/// Notes which crashes the coordinator has told all daemons.
pub(crate) fn confirm_crashes(gateway: &Gateway, confirmed: &[CrashReport]) {
    let mut unconfirmed_crashes = gateway.unconfirmed_crashes.borrow_mut();
    unconfirmed_crashes.retain(|mark| !confirmed.iter().any(|other| other.is_same(mark)));
}

/// Time for which a request must not be sent to engines, if it is blocked.
pub(crate) fn blocked_for(gateway: &Gateway, fingerprint: &RequestFingerprint) -> Option<TimeSpan> {
    let crashes = gateway.crashes.borrow();
    crashes.blocked_for(fingerprint, clock::now())
}

/// Forgets the crashes of a request that an engine has answered whole: it is not
/// what ends engines.
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

/// Forgets the crashes of a request; returns whether there were any.
pub(crate) fn clear_crashes(gateway: &Gateway, fingerprint: &RequestFingerprint) -> bool {
    let mut unconfirmed_crashes = gateway.unconfirmed_crashes.borrow_mut();
    unconfirmed_crashes.retain(|mark| mark.fingerprint != *fingerprint);
    let cleared = gateway.crashes.borrow_mut().clear(fingerprint);
    if cleared {
        info!(gateway.logger, "crash: request cleared"; "fingerprint" => %fingerprint);
    }
    cleared
}
