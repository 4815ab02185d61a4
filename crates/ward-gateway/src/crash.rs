//! Detects which requests, and which parts of prompts, crash the engines that run them.
//!
//! A run is one execution of a request on an engine. A run that ends without a
//! complete answer is tracked, unless its engine was known to be leaving, or was known
//! to be gone when the connection was closed. The engine counts as crashed if
//! connections to its address are refused shortly after the connection of the run was
//! closed, or if its store entry disappears or names another incarnation soon after.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::TcpStream;
use ward_fleet::{
    ClearedPart, CrashEffect, CrashReport, EngineIncarnation, ProbeResult, UnfinishedRun,
};
use ward_protocol::{MonoTime, PartId, RequestFingerprint, TimeSpan};

use crate::clock;
use crate::gateway::Gateway;
use crate::queue::RequestIdentity;

/// Delay before an engine is probed, after which an engine that did not crash
/// accepts connections.
const PROBE_DELAY: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum time between two decisions on which parts of prompts are blocked.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// A crash report that has not been sent yet; its age counts until the time `at`.
#[derive(Debug, Clone)]
pub(crate) struct TimedReport {
    pub(crate) report: CrashReport,
    pub(crate) at: MonoTime,
}

/// A suspect part of prompts that an engine answered on from a time on.
#[derive(Debug, Clone)]
pub(crate) struct PartClearance {
    part: PartId,
    began_at: MonoTime,
}

impl PartClearance {
    /// The part as named in a message that is sent now.
    pub(crate) fn cleared_part(&self, now: MonoTime) -> ClearedPart {
        ClearedPart {
            part: self.part.clone(),
            age: now.since(self.began_at),
        }
    }
}

/// The reports with their ages now.
pub(crate) fn current_reports(reports: &[TimedReport], now: MonoTime) -> Vec<CrashReport> {
    let reports = reports.iter();
    reports
        .map(|timed| timed.report.aged(now.since(timed.at)))
        .collect()
}

/// Tracks a run that ended without a complete answer, until it is known whether its
/// engine crashed; `broke_off` is whether the connection of the run was closed before
/// the answer was complete.
pub(crate) fn track_unfinished_run(
    gateway: &Rc<Gateway>,
    run: UnfinishedRun,
    address: SocketAddr,
    broke_off: bool,
) {
    let incarnation = run.incarnation.clone();
    let mut detector = gateway.crash_detector.borrow_mut();
    if detector.add_run(run, broke_off, &gateway.table.borrow()) {
        let probe = probe_engine(Rc::clone(gateway), incarnation, address);
        tokio::task::spawn_local(probe);
    }
}

/// Opens a connection to the address of an engine whose connection has just ended, to see
/// whether its process has ended, too.
pub(crate) async fn probe_address(address: SocketAddr) -> std::io::Result<()> {
    tokio::time::sleep(PROBE_DELAY).await;
    let connect = TcpStream::connect(address);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, connect).await?;
    connected.map(drop)
}

/// Records a crash for the tracked runs of requests on an engine incarnation if
/// connections to its address are refused.
async fn probe_engine(gateway: Rc<Gateway>, incarnation: EngineIncarnation, address: SocketAddr) {
    let result = ProbeResult::from(probe_address(address).await);
    let runs = gateway
        .crash_detector
        .borrow_mut()
        .record_probe(&incarnation, result);
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
    let now = clock::now();
    for run in runs {
        let report = run.report(now);
        info!(
            gateway.logger, "crash: engine ended under a request";
            "fingerprint" => %report.fingerprint, "engine" => %report.incarnation.engine,
            "birth" => report.incarnation.birth.map(|birth| birth.0),
            "age" => report.age.millis(), "evidence" => evidence,
        );
        let report = without_answered_request(gateway, &report);
        if record_crash(gateway, &report) {
            let timed = TimedReport { report, at: now };
            gateway
                .report_events
                .borrow_mut()
                .crashes
                .push(timed.clone());
            gateway.report_requested.notify_one();
            gateway.unconfirmed_crashes.borrow_mut().push(timed);
            gateway.crash_recorded.notify_one();
        }
    }
}

/// Decides which parts of prompts are blocked, whenever what is known of crashes has
/// changed or a crash begins to count; never returns.
pub(crate) async fn watch_blocked_parts(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.suspects_changed.notified();
        let refresh_at = gateway.crashes.borrow().parts().refresh_at();
        let Some(refresh_at) = refresh_at else {
            changed.await;
            continue;
        };
        let delay = refresh_at.since(clock::now()).duration();
        if tokio::time::timeout(delay, changed).await.is_err() {
            refresh_blocks(&gateway);
            tokio::time::sleep(MIN_REFRESH_INTERVAL).await;
        }
    }
}

/// Records what another daemon tells of crashes.
pub(crate) fn record_news(gateway: &Gateway, crashes: &[CrashReport], cleared: &[ClearedPart]) {
    let now = clock::now();
    for part in cleared {
        let began_at = now - part.age;
        let mut ledger = gateway.crashes.borrow_mut();
        ledger.clear_part(&part.part, began_at, now);
    }
    for report in crashes {
        record_crash(gateway, &without_answered_request(gateway, report));
    }
    if !cleared.is_empty() {
        gateway.suspects_changed.notify_one();
    }
}

/// A report that blames the request only if this daemon has not seen it answered in full
/// recently; that it has is reported to the coordinator.
fn without_answered_request(gateway: &Gateway, report: &CrashReport) -> CrashReport {
    let mut report = report.clone();
    if report.blames_request && gateway.answered.borrow().contains(&report.fingerprint) {
        report.blames_request = false;
        gateway
            .report_events
            .borrow_mut()
            .cleared
            .push(report.fingerprint);
        gateway.report_requested.notify_one();
    }
    report
}

/// Records a crash that this or another daemon detected; returns whether it was new and
/// counted.
fn record_crash(gateway: &Gateway, report: &CrashReport) -> bool {
    let now = clock::now();
    let answered = gateway.answered_parts.borrow();
    let ended_at = now - report.age;
    for part in &report.parts {
        if let Some(began_at) = answered.answered_at(part).filter(|at| *at >= ended_at) {
            clear_suspect_part(gateway, part, began_at);
        }
    }
    drop(answered);
    let effect = gateway.crashes.borrow_mut().record(report, now);
    gateway.suspects_changed.notify_one();
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
    let is_confirmed = |timed: &TimedReport| {
        let mut confirmed = confirmed.iter();
        confirmed.any(|other| other.is_same(&timed.report))
    };
    let mut unconfirmed_crashes = gateway.unconfirmed_crashes.borrow_mut();
    unconfirmed_crashes.retain(|timed| !is_confirmed(timed));
}

/// Why a request is not sent to engines, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestBlock {
    /// The request itself has crashed engines.
    Request(TimeSpan),
    /// A part of its prompt has crashed engines.
    Part(TimeSpan),
}

/// The block that a request is under; `None` when it may be sent.
pub(crate) fn request_block(gateway: &Gateway, identity: &RequestIdentity) -> Option<RequestBlock> {
    let now = clock::now();
    let crashes = gateway.crashes.borrow();
    if let Some((part, remaining)) = crashes.parts().blocked_part(&identity.parts, now) {
        info!(
            gateway.logger, "crash: request has a blocked part";
            "request" => &*identity.request_id, "part" => %part,
        );
        return Some(RequestBlock::Part(remaining));
    }
    let remaining = crashes.blocked_for(&identity.fingerprint, now)?;
    Some(RequestBlock::Request(remaining))
}

/// Decides again which parts of prompts are blocked.
fn refresh_blocks(gateway: &Gateway) {
    let change = gateway.crashes.borrow_mut().refresh_parts(clock::now());
    for part in &change.blocked {
        gateway.metrics.blocked_parts.inc();
        warn!(gateway.logger, "crash: part blocked"; "part" => %part);
    }
    for part in &change.cleared {
        info!(gateway.logger, "crash: part no longer blocked"; "part" => %part);
    }
    if !change.blocked.is_empty() {
        gateway.queue.notify_change();
    }
}

/// Clears the parts that an answer shows to be harmless; `answered_for` is how long the engine
/// has been answering, `None` if the answer is complete.
pub(crate) fn clear_answered_parts(
    gateway: &Gateway,
    parts: &[PartId],
    began_at: MonoTime,
    answered_for: Option<TimeSpan>,
) {
    for part in parts {
        let crashes = gateway.crashes.borrow();
        let is_cleared = crashes.parts().would_clear(part, began_at, answered_for);
        drop(crashes);
        if is_cleared {
            clear_suspect_part(gateway, part, began_at);
        }
    }
}

/// Clears a part that an engine answered on, and reports it to the coordinator if that is
/// news.
fn clear_suspect_part(gateway: &Gateway, part: &PartId, began_at: MonoTime) {
    let now = clock::now();
    let mut crashes = gateway.crashes.borrow_mut();
    if !crashes.clear_part(part, began_at, now) {
        return;
    }
    gateway.suspects_changed.notify_one();
    info!(
        gateway.logger, "crash: part cleared"; "part" => %part,
        "age" => now.since(began_at).millis(),
    );
    let part = part.clone();
    let mut events = gateway.report_events.borrow_mut();
    events.cleared_parts.push(PartClearance { part, began_at });
    gateway.report_requested.notify_one();
}

/// Reports parts again that this daemon knows to be cleared and a complete view does not
/// name: the coordinator may be new, or reports were lost with a connection.
pub(crate) fn report_missing_clearances(gateway: &Gateway, known: &[ClearedPart], now: MonoTime) {
    let is_known = |cleared: &ClearedPart| {
        let mut known = known.iter();
        known.any(|other| other.part == cleared.part && other.age <= cleared.age)
    };
    let mut cleared = gateway.crashes.borrow().parts().cleared_parts(now);
    cleared.retain(|part| !is_known(part));
    let missing = cleared.into_iter().map(|cleared| PartClearance {
        began_at: now - cleared.age,
        part: cleared.part,
    });
    let mut events = gateway.report_events.borrow_mut();
    events.cleared_parts = missing.collect();
}

/// Records that an engine has answered a request in full, and clears the request's
/// crashes and those of its parts: it did not cause them.
pub(crate) fn record_answered(
    gateway: &Gateway,
    identity: &RequestIdentity,
    began_at: Option<MonoTime>,
) {
    if let Some(began_at) = began_at {
        let mut answered_parts = gateway.answered_parts.borrow_mut();
        for part in identity.parts.iter() {
            answered_parts.record(part, began_at);
        }
        drop(answered_parts);
        clear_answered_parts(gateway, &identity.parts, began_at, None);
    }
    let fingerprint = &identity.fingerprint;
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
    // The parts of its prompt may still be suspect.
    unconfirmed_crashes
        .retain(|timed| timed.report.fingerprint != *fingerprint || !timed.report.parts.is_empty());
    let cleared = gateway.crashes.borrow_mut().clear(fingerprint);
    if cleared {
        info!(gateway.logger, "crash: request cleared"; "fingerprint" => %fingerprint);
    }
    cleared
}
