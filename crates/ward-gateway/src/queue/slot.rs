//! A slot at an engine, and the outcome of the request's run in it.

use std::cell::Cell;
use std::rc::Rc;

use slog::info;
use ward_fleet::{EngineIncarnation, EngineInfo, UnfinishedRun};
use ward_protocol::{MonoTime, PartId, TimeSpan};

use super::ticket::WaitTicket;
use crate::clock;
use crate::crash::{clear_answered_parts, record_answered, track_unfinished_run};
use crate::gateway::Gateway;

/// Minimum time between two looks at the progress of an answer.
const PROGRESS_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// The state of the run of the request that occupies a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The request was not sent yet, or did not run.
    NotRun,
    /// The request was sent; the engine may be running it.
    Running,
    /// The connection failed before the answer was complete, or the answer was too long
    /// to be buffered.
    BrokenOff,
    /// The engine answered completely, with a status that is not 2xx.
    Failed,
    /// The engine answered completely, with a success status.
    Answered,
}

impl RunState {
    /// The value in logs and metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Running => "running",
            Self::BrokenOff => "broken_off",
            Self::Failed => "failed",
            Self::Answered => "answered",
        }
    }
}

/// A slot at an engine that a request occupies; released when dropped.
pub(crate) struct EngineSlot {
    gateway: Rc<Gateway>,
    pub(crate) engine: EngineInfo,
    ticket: WaitTicket,
    run: Cell<RunState>,
    /// When the engine began to write an answer; `None` before that. A stream begins
    /// with its first bytes, not with its head.
    answer_began: Cell<Option<MonoTime>>,
    /// Earliest time for the next look at the progress of the answer.
    next_check: Cell<MonoTime>,
}

impl EngineSlot {
    pub(super) fn new(gateway: &Rc<Gateway>, engine: EngineInfo, ticket: &WaitTicket) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            engine,
            ticket: ticket.clone(),
            run: Cell::new(RunState::NotRun),
            answer_began: Cell::default(),
            next_check: Cell::default(),
        }
    }

    /// Records that the engine has begun to write an answer.
    pub(crate) fn record_answer_began(&self) {
        self.answer_began.set(Some(clock::now()));
    }

    /// Time since the engine began to write an answer; `None` before that.
    fn answered_for(&self) -> Option<TimeSpan> {
        let began = self.answer_began.get()?;
        Some(clock::now().since(began))
    }

    /// Sets the state of the request's run.
    pub(crate) fn set_run_state(&self, run: RunState) {
        self.run.set(run);
    }

    /// Records that a part of a stream has arrived, and looks from time to time whether
    /// that clears parts of the prompt.
    pub(crate) fn record_progress(&self) {
        let now = clock::now();
        if self.answer_began.get().is_none() {
            self.answer_began.set(Some(now));
        }
        if now < self.next_check.get() || !self.gateway.crashes.borrow().parts().has_suspects() {
            return;
        }
        self.next_check.set(now + PROGRESS_CHECK_INTERVAL);
        if let Some(began_at) = self.answer_began.get() {
            let answered_for = Some(now.since(began_at));
            let parts = &self.ticket.identity.parts;
            clear_answered_parts(&self.gateway, parts, began_at, answered_for);
        }
    }

    /// Logs a run that ended without a complete answer, for example because the
    /// engine sent none in time, the connection failed or the caller disconnected; and
    /// tracks it until it is known whether the engine crashed.
    fn record_unfinished(&self, run: RunState) {
        let metrics = &self.gateway.metrics;
        metrics.unfinished.with_label_values(&[run.label()]).inc();
        info!(
            self.gateway.logger, "run: no whole answer";
            "request" => &*self.ticket.identity.request_id, "end" => run.label(),
            "fingerprint" => %self.ticket.identity.fingerprint,
            "parts" => format_parts(&self.ticket.identity.parts),
            "answered_for" => self.answered_for().map(TimeSpan::millis),
            "engine" => %self.engine.id, "birth" => self.engine.birth.map(|birth| birth.0),
        );
        let broke_off = run == RunState::BrokenOff;
        let unfinished = UnfinishedRun {
            fingerprint: self.ticket.identity.fingerprint,
            parts: self.ticket.identity.parts.to_vec(),
            incarnation: EngineIncarnation::from(&self.engine),
            ended_at: clock::now(),
            answered_for: self.answered_for(),
        };
        track_unfinished_run(&self.gateway, unfinished, self.engine.address, broke_off);
    }
}

/// The parts of a prompt for logs, separated by commas.
fn format_parts(parts: &[PartId]) -> String {
    let texts: Vec<_> = parts.iter().map(PartId::as_str).collect();
    texts.join(",")
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        let mut table = self.gateway.table.borrow_mut();
        let (model, adapter) = (&self.ticket.model, &self.ticket.adapter);
        table.end_request(&self.engine.id, model.as_ref(), adapter.as_ref());
        drop(table);
        self.gateway.queue.notify_change();
        match self.run.get() {
            RunState::NotRun | RunState::Failed => {}
            RunState::Answered => {
                self.gateway.queue.record_answer_end(&self.ticket);
                let began_at = self.answer_began.get();
                record_answered(&self.gateway, &self.ticket.identity, began_at);
            }
            run @ (RunState::Running | RunState::BrokenOff) => self.record_unfinished(run),
        }
    }
}
