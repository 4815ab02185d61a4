//! What engines have seen, for checks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use ward_fleet::EngineOrder;
use ward_protocol::FenceNumber;

/// A request that an engine began to run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The request's id.
    pub request: String,
    /// The engine.
    pub engine: String,
    /// Its path.
    pub path: String,
    /// When it began.
    pub begun_at: Instant,
    /// Whether it went on with a stream that another engine began.
    pub resumed: bool,
}

/// A request that an engine refused.
#[derive(Debug, Clone)]
pub struct RefusalRecord {
    /// The engine.
    pub engine: String,
    /// When.
    pub refused_at: Instant,
}

/// An order that an engine accepted or refused.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// The engine.
    pub engine: String,
    /// What it was told to do.
    pub order: EngineOrder,
    /// The sender's fencing number.
    pub fence: FenceNumber,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Whether it would have exceeded the engine's memory.
    pub exceeded: bool,
}

/// Notes of all engines.
#[derive(Debug, Clone, Default)]
pub struct RunLedger {
    notes: Arc<Mutex<Notes>>,
}

#[derive(Debug, Default)]
struct Notes {
    runs: Vec<RunRecord>,
    orders: Vec<OrderRecord>,
    refusals: Vec<RefusalRecord>,
}

impl RunLedger {
    fn notes(&self) -> MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn note_run(&self, run: RunRecord) {
        self.notes().runs.push(run);
    }

    pub(crate) fn note_order(&self, order: OrderRecord) {
        self.notes().orders.push(order);
    }

    pub(crate) fn note_refusal(&self, refusal: RefusalRecord) {
        self.notes().refusals.push(refusal);
    }

    /// All refusals so far.
    #[must_use]
    pub fn refusals(&self) -> Vec<RefusalRecord> {
        self.notes().refusals.clone()
    }

    /// All runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.notes().runs.clone()
    }

    /// Runs of one request.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> Vec<RunRecord> {
        let runs = self.runs().into_iter();
        runs.filter(|run| run.request == request).collect()
    }

    /// All orders so far.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.notes().orders.clone()
    }
}
