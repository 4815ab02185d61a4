//! Records of the requests and orders that engines received, for checks in tests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use ward_fleet::EngineOrder;
use ward_protocol::{FenceNumber, PartId};

/// A request that an engine began to run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Id of the request; `-` if the request had none.
    pub request: String,
    /// Id of the engine; each incarnation has its own.
    pub engine: String,
    /// Path of the request.
    pub path: String,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// Time at which the engine began to run the request.
    pub begun_at: Instant,
    /// Whether the request resumes a stream after the last event that the caller received.
    pub resumed: bool,
    /// Names of the request's tenant, as many as the header has.
    pub tenants: Vec<String>,
    /// Whether an API key was passed on to the engine.
    pub has_key: bool,
}

/// A request that an engine refused because it was full or asked to retry later.
#[derive(Debug, Clone)]
pub struct RefusalRecord {
    /// Id of the engine; each incarnation has its own.
    pub engine: String,
    /// Time of the refusal.
    pub refused_at: Instant,
}

/// An order that an engine accepted or refused.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// Id of the engine; each incarnation has its own.
    pub engine: String,
    /// What the engine was ordered to do.
    pub order: EngineOrder,
    /// Fencing number that the sender stated.
    pub fence: FenceNumber,
    /// Whether the engine's status is 202. False for refused orders, and also for
    /// orders whose goal was already reached and unloads of adapters, which get 200.
    pub accepted: bool,
    /// Whether a load needed more memory than the engine had free; such a load is
    /// accepted, so that tests can detect the overcommit.
    pub exceeded: bool,
}

/// Shared records of all engines of a stage, each kind in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct RunLedger {
    records: Arc<Mutex<LedgerRecords>>,
}

#[derive(Debug, Default)]
struct LedgerRecords {
    runs: Vec<RunRecord>,
    orders: Vec<OrderRecord>,
    refusals: Vec<RefusalRecord>,
    active: Vec<ActiveRun>,
}

/// A request that an engine is running: the engine's id and the request's.
type ActiveRun = (String, String);

/// Keeps a run among those that its engine reports.
#[derive(Debug)]
pub(crate) struct RunGuard {
    ledger: RunLedger,
    run: ActiveRun,
}

impl RunGuard {
    /// Id of the engine that runs the request.
    pub(crate) fn engine(&self) -> &str {
        &self.run.0
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut records = self.ledger.records();
        let index = records.active.iter().position(|run| *run == self.run);
        if let Some(index) = index {
            records.active.swap_remove(index);
        }
    }
}

impl RunLedger {
    /// Begins a run that ends when the guard is dropped.
    pub(crate) fn begin_run(&self, engine: &str, request: &str) -> RunGuard {
        let run = (engine.to_owned(), request.to_owned());
        self.records().active.push(run.clone());
        RunGuard {
            ledger: self.clone(),
            run,
        }
    }

    /// Ids of the requests that an engine is running.
    pub(crate) fn active_runs(&self, engine: &str) -> Vec<String> {
        let records = self.records();
        let runs = records.active.iter().filter(|run| run.0 == engine);
        runs.map(|run| run.1.clone()).collect()
    }

    fn records(&self) -> MutexGuard<'_, LedgerRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_run(&self, run: RunRecord) {
        self.records().runs.push(run);
    }

    pub(crate) fn record_order(&self, order: OrderRecord) {
        self.records().orders.push(order);
    }

    pub(crate) fn record_refusal(&self, refusal: RefusalRecord) {
        self.records().refusals.push(refusal);
    }

    /// Refusals of all engines so far.
    #[must_use]
    pub fn refusals(&self) -> Vec<RefusalRecord> {
        self.records().refusals.clone()
    }

    /// Runs on all engines so far.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.records().runs.clone()
    }

    /// Runs of the request with this id, in order; more than one after a retry.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> Vec<RunRecord> {
        let runs = self.runs().into_iter();
        runs.filter(|run| run.request == request).collect()
    }

    /// Orders to all engines so far, refused ones included.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.records().orders.clone()
    }
}
