//! One shard: its ledger, the task that reads its stream, and the requests that wait for
//! their records to be read back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use futures::future::BoxFuture;
use indexmap::{IndexMap, IndexSet};
use quick_error::quick_error;
use slog::{Logger, warn};
use tokio::sync::watch;
use ward_protocol::codec::decode;
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    AppendResult, LogOffset, RawRecord, RecordId, RequestEnvelope, RequestRecord, TimeSpan,
};

use crate::answer::KeptAnswer;
use crate::ledger::{KeyLedger, LedgerDecision};

const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

quick_error! {
    /// Failure to read a shard's stream.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ShardReadError {
        /// The log gave no usable answer; the text says why.
        Log(detail: String) {
            display("the shard cannot be read: {detail}")
        }
    }
}

/// Result of one read of a shard's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardRead {
    /// The records in the order of their offsets; empty if there are no new ones.
    pub records: Vec<RawRecord>,
    /// Offset of the stream's newest record.
    pub end: LogOffset,
}

/// Appends an encoded record to the shard's stream.
pub type AppendPort = Box<dyn Fn(Vec<u8>) -> BoxFuture<'static, AppendResult> + Send + Sync>;

/// Reads the shard's stream from the given offset on. If there is no record yet, the call
/// waits for a limited time.
pub type ReadPort =
    Box<dyn Fn(LogOffset) -> BoxFuture<'static, Result<ShardRead, ShardReadError>> + Send + Sync>;

/// Functions through which a shard reads its stream of the log and appends to it.
pub struct ShardPorts {
    /// Appends an encoded record to the shard's stream.
    pub append: AppendPort,
    /// Reads records from an offset on.
    pub read: ReadPort,
}

/// How far a shard's stream has been read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ShardProgress {
    pub(crate) applied: LogOffset,
    /// Whether the last read succeeded and all records up to the stream's end are applied.
    pub(crate) caught_up: bool,
}

/// State of a `Begin` record that this daemon appends.
enum BeginState {
    /// Appended or about to be appended; not read back yet.
    Awaited,
    /// Read back and accepted as the first for its key.
    Won(RequestEnvelope),
    /// Read back and rejected: another record holds the key.
    Lost,
    /// The request was given up before the record was read back; if the record is
    /// accepted, it is aborted at once.
    Abandoned,
}

/// A shard of the idempotency keys and the state of its stream.
pub(crate) struct Shard {
    pub(crate) ports: ShardPorts,
    inner: Mutex<ShardInner>,
    progress: watch::Sender<ShardProgress>,
    logger: Logger,
}

struct ShardInner {
    ledger: KeyLedger,
    begins: IndexMap<RecordId, BeginState>,
    /// Accepted `Begin` records whose requests were given up; to be aborted.
    orphans: Vec<RequestEnvelope>,
    /// Registered end records that were read back.
    seen_ends: IndexSet<RecordId>,
    /// Registered end records that are not read back yet.
    awaited_ends: IndexSet<RecordId>,
    answers: AnswerCache,
}

/// The newest answers by the offset of their record, limited by their total size in bytes.
struct AnswerCache {
    answers: IndexMap<LogOffset, KeptAnswer>,
    bytes: usize,
    limit: usize,
}

impl AnswerCache {
    fn insert(&mut self, offset: LogOffset, answer: KeptAnswer) {
        self.bytes += answer.size();
        self.answers.insert(offset, answer);
        while self.bytes > self.limit {
            let Some((_, oldest)) = self.answers.shift_remove_index(0) else {
                return;
            };
            self.bytes -= oldest.size();
        }
    }
}

/// A `Begin` record that isn't read back yet. Dropping the guard earlier gives the request
/// up: if the record is accepted later, it is aborted.
pub(crate) struct BeginGuard {
    shard: Arc<Shard>,
    progress: watch::Receiver<ShardProgress>,
    begin: RecordId,
    resolved: bool,
}

impl BeginGuard {
    /// Waits until the `Begin` is read back. Cancel-safe: the future may be dropped and the
    /// method called again.
    pub(crate) async fn wait(&mut self) -> LedgerDecision {
        loop {
            self.progress.mark_unchanged();
            if let Some(decision) = self.shard.lock().take_decision(self.begin) {
                self.resolved = true;
                return decision;
            }
            if self.progress.changed().await.is_err() {
                return LedgerDecision::Rejected;
            }
        }
    }

    /// Stops waiting for the record, because its append certainly didn't reach the log.
    pub(crate) fn cancel(mut self) {
        self.resolved = true;
        self.shard.lock().begins.swap_remove(&self.begin);
    }
}

impl Drop for BeginGuard {
    fn drop(&mut self) {
        if !self.resolved {
            self.shard.lock().abandon(self.begin);
        }
    }
}

impl Shard {
    pub(crate) fn new(
        ports: ShardPorts,
        key_retention: TimeSpan,
        cache_bytes: usize,
        logger: Logger,
    ) -> Self {
        Self {
            ports,
            inner: Mutex::new(ShardInner {
                ledger: KeyLedger::new(key_retention),
                begins: IndexMap::new(),
                orphans: Vec::new(),
                seen_ends: IndexSet::new(),
                awaited_ends: IndexSet::new(),
                answers: AnswerCache {
                    answers: IndexMap::new(),
                    bytes: 0,
                    limit: cache_bytes,
                },
            }),
            progress: watch::Sender::new(ShardProgress::default()),
            logger,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ShardInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<ShardProgress> {
        self.progress.subscribe()
    }

    pub(crate) fn with_ledger<T>(&self, query: impl FnOnce(&KeyLedger) -> T) -> T {
        query(&self.lock().ledger)
    }

    pub(crate) fn cached_answer(&self, offset: LogOffset) -> Option<KeptAnswer> {
        self.lock().answers.answers.get(&offset).cloned()
    }

    /// Registers a `Begin` before it is appended, so that the reading task recognizes it.
    pub(crate) fn register_begin(self: &Arc<Self>, begin: RecordId) -> BeginGuard {
        self.lock().begins.insert(begin, BeginState::Awaited);
        BeginGuard {
            shard: Arc::clone(self),
            progress: self.subscribe(),
            begin,
            resolved: false,
        }
    }

    /// Registers an end record before it is appended.
    pub(crate) fn register_end(&self, record: RecordId) {
        self.lock().awaited_ends.insert(record);
    }

    /// Whether a registered end record was read back; true only once per record.
    pub(crate) fn take_seen_end(&self, record: RecordId) -> bool {
        self.lock().seen_ends.swap_remove(&record)
    }

    /// Removes the registration of an end record.
    pub(crate) fn unregister_end(&self, record: RecordId) {
        let mut inner = self.lock();
        inner.awaited_ends.swap_remove(&record);
        inner.seen_ends.swap_remove(&record);
    }

    /// Reads the stream for as long as the shard exists. Calls `abort` for each `Begin`
    /// that was accepted although its request had been given up.
    pub(crate) async fn tail(shard: Weak<Self>, abort: impl Fn(&Arc<Self>, RequestEnvelope)) {
        loop {
            let Some(shard) = shard.upgrade() else {
                return;
            };
            let from = LogOffset(shard.with_ledger(KeyLedger::applied).0 + 1);
            let read = (shard.ports.read)(from).await;
            let failed = read.is_err();
            match read {
                Ok(read) => shard.apply(&read),
                Err(cause) => shard.record_read_failure(&cause),
            }
            let orphans = std::mem::take(&mut shard.lock().orphans);
            for begin in orphans {
                abort(&shard, begin);
            }
            drop(shard);
            if failed {
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }

    /// Records a failed read. Logs one line per outage, however often the read is retried.
    fn record_read_failure(&self, cause: &ShardReadError) {
        let was_caught_up = self.progress.borrow().caught_up;
        if was_caught_up {
            warn!(self.logger, "once: log cannot be read"; "cause" => %cause);
        }
        self.progress
            .send_modify(|progress| progress.caught_up = false);
    }

    fn apply(&self, read: &ShardRead) {
        let mut inner = self.lock();
        for record in &read.records {
            inner.apply(record, &self.logger);
        }
        // The ledger's time advances only with records, so an empty read expires no key.
        if !read.records.is_empty() {
            inner.ledger.remove_expired();
        }
        let applied = inner.ledger.applied();
        drop(inner);
        self.progress.send_replace(ShardProgress {
            applied,
            caught_up: applied >= read.end,
        });
    }
}

impl ShardInner {
    fn apply(&mut self, record: &RawRecord, logger: &Logger) {
        let envelope = match decode::<RequestEnvelope>(&record.bytes) {
            Ok(envelope) if envelope.format <= RECORD_FORMAT => envelope,
            Ok(_) | Err(_) => {
                warn!(logger, "once: record skipped"; "offset" => %record.offset);
                self.ledger.skip(record.offset);
                return;
            }
        };
        if self.awaited_ends.swap_remove(&envelope.id) {
            self.seen_ends.insert(envelope.id);
        }
        let decision = self.ledger.apply(record.offset, &envelope);
        if decision == LedgerDecision::Accepted {
            self.cache_answer(record.offset, &envelope.body);
        }
        self.resolve_begin(envelope, decision);
    }

    fn cache_answer(&mut self, offset: LogOffset, body: &RequestRecord) {
        if let Some(answer) = KeptAnswer::from_record(body) {
            self.answers.insert(offset, answer);
        }
    }

    fn resolve_begin(&mut self, envelope: RequestEnvelope, decision: LedgerDecision) {
        let Some(state) = self.begins.get_mut(&envelope.id) else {
            return;
        };
        match (&*state, decision) {
            (BeginState::Awaited, LedgerDecision::Accepted) => *state = BeginState::Won(envelope),
            (BeginState::Awaited, LedgerDecision::Rejected) => *state = BeginState::Lost,
            (BeginState::Abandoned, LedgerDecision::Accepted) => {
                self.begins.swap_remove(&envelope.id);
                self.orphans.push(envelope);
            }
            (BeginState::Abandoned, LedgerDecision::Rejected) => {
                self.begins.swap_remove(&envelope.id);
            }
            // A second copy of the record, from a retried append.
            (BeginState::Won(_) | BeginState::Lost, _) => {}
        }
    }

    fn take_decision(&mut self, begin: RecordId) -> Option<LedgerDecision> {
        let decision = match self.begins.get(&begin)? {
            BeginState::Won(_) => LedgerDecision::Accepted,
            BeginState::Lost => LedgerDecision::Rejected,
            BeginState::Awaited | BeginState::Abandoned => return None,
        };
        self.begins.swap_remove(&begin);
        Some(decision)
    }

    fn abandon(&mut self, begin: RecordId) {
        match self.begins.swap_remove(&begin) {
            Some(BeginState::Won(envelope)) => self.orphans.push(envelope),
            Some(BeginState::Awaited) => {
                self.begins.insert(begin, BeginState::Abandoned);
            }
            Some(BeginState::Lost | BeginState::Abandoned) | None => {}
        }
    }
}
