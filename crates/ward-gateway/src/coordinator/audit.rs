//! What the coordinator learns from the reports of engines, and whether they are those of
//! the known incarnations.

use slog::{info, warn};
use ward_adapter::{EngineReport, fetch_report};
use ward_fleet::EngineIncarnation;
use ward_protocol::TimeSpan;

use super::worker::{FAILURE_BACKOFF, TaskFailure, Worker};
use crate::clock;
use crate::leaving::record_leaving;

const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Time without tasks for an engine that did not answer an audit's query for its report.
const NO_REPORT_BACKOFF: TimeSpan = TimeSpan::from_millis(1_500);

impl Worker {
    /// The incarnation that the task was planned for.
    fn incarnation(&self) -> EngineIncarnation {
        EngineIncarnation {
            engine: self.target.engine.clone(),
            birth: self.target.birth,
        }
    }

    pub(super) fn record_leaving(&self) {
        record_leaving(&self.gateway, &self.incarnation());
    }

    /// Fails if the engine has accepted an order without this daemon knowing. A lower
    /// sequence number proves nothing, since the report may be older than the newest
    /// orders.
    pub(super) async fn check_sequence(&self) -> Result<(), TaskFailure> {
        let Some(report) = self.query_report().await else {
            return Ok(());
        };
        let mut state = self.coordinator.state.borrow_mut();
        let engine = state.engine_mut(&self.target);
        let engine = engine.ok_or(TaskFailure::EngineGone)?;
        if Some(report.sequence) > engine.sequence {
            return Err(TaskFailure::Changed);
        }
        Ok(())
    }

    /// Fails unless the engine reports that it is the known incarnation.
    pub(super) async fn confirm_incarnation(&self) -> Result<(), TaskFailure> {
        let report = self.query_report().await;
        report.map(drop).ok_or(TaskFailure::Unconfirmed)
    }

    /// Replaces the known models of the engine with those that it reports, unless it is
    /// busy or does not answer.
    pub(super) async fn run_audit(&self) {
        let report = self.query_report().await;
        self.update_engine(|engine| match report {
            Some(report) if !report.busy => engine.apply_audit(report.sequence, &report.models),
            Some(_) => engine.record_task_failure(clock::now(), FAILURE_BACKOFF),
            None => engine.record_task_failure(clock::now(), NO_REPORT_BACKOFF),
        });
    }

    /// Whether a report is that of a later incarnation, whose entry has not been read.
    fn has_restarted(&self, report: &EngineReport) -> bool {
        let births = self.target.birth.zip(report.birth);
        births.is_some_and(|(known, reported)| known != reported)
    }

    /// Records that the known incarnation of the engine has ended. What the new one runs is
    /// not known before its entry is read: it may have another software version.
    fn record_restart(&self) {
        let incarnation = self.incarnation();
        let mut state = self.coordinator.state.borrow_mut();
        if state.mark_restarted(&incarnation) {
            info!(
                self.gateway.logger, "coordinator: engine has restarted";
                "engine" => %incarnation.engine,
            );
        }
        drop(state);
        self.coordinator.plan_requested.notify_one();
    }

    /// Fetches the engine's report; `None` if it does not answer, is gone or has restarted.
    pub(super) async fn query_report(&self) -> Option<EngineReport> {
        let address = {
            let mut state = self.coordinator.state.borrow_mut();
            let engine = state.engine_mut(&self.target)?;
            engine.info.address
        };
        match fetch_report(&self.client, address, &self.target.engine, REPORT_TIMEOUT).await {
            Ok(report) => {
                info!(
                    self.gateway.logger, "order: engine asked"; "engine" => %self.target.engine,
                    "sequence" => report.sequence.0, "busy" => report.busy,
                    "models" => report.models.len(),
                );
                if self.has_restarted(&report) {
                    self.record_restart();
                    return None;
                }
                if report.leaving {
                    self.record_leaving();
                }
                Some(report)
            }
            Err(cause) => {
                warn!(
                    self.gateway.logger, "order: no report from the engine";
                    "engine" => %self.target.engine, "cause" => %cause,
                );
                None
            }
        }
    }
}
