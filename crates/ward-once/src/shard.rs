//! One shard: its ledger, the task that reads its stream, and who waits for it.

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

const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(100);

quick_error! {
    /// A read of a shard's stream that failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ShardReadError {
        /// The log gave no usable answer.
        Log(detail: String) {
            display("the shard cannot be read: {detail}")
        }
    }
}

/// Records of a shard's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardRead {
    /// The records, in order.
    pub records: Vec<RawRecord>,
    /// Newest offset of the stream.
    pub end: LogOffset,
}

/// Appends an encoded record to the shard's stream.
pub type AppendPort = Box<dyn Fn(Vec<u8>) -> BoxFuture<'static, AppendResult> + Send + Sync>;

/// Reads the shard's stream from an offset on, waiting a little when nothing is there yet.
pub type ReadPort =
    Box<dyn Fn(LogOffset) -> BoxFuture<'static, Result<ShardRead, ShardReadError>> + Send + Sync>;

/// How a shard reaches its stream.
pub struct ShardPorts {
    /// Appends a record.
    pub append: AppendPort,
    /// Reads records.
    pub read: ReadPort,
}

/// How far the reading of a shard has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ShardProgress {
    pub(crate) applied: LogOffset,
    /// Whether the last read succeeded and reached the stream's end.
    pub(crate) level: bool,
}

/// Where a `Begin` of this daemon stands.
enum BeginState {
    /// Appended or about to be; not read back yet.
    Awaited,
    /// Read back as the first for its key.
    Won(RequestEnvelope),
    /// Read back as a later one.
    Lost,
    /// Nobody waits any more: if it wins, it is aborted at once.
    Abandoned,
}

pub(crate) struct Shard {
    pub(crate) ports: ShardPorts,
    inner: Mutex<ShardInner>,
    progress: watch::Sender<ShardProgress>,
    logger: Logger,
}

struct ShardInner {
    ledger: KeyLedger,
    begins: IndexMap<RecordId, BeginState>,
    /// Won by requests that are given up; to be aborted.
    orphans: Vec<RequestEnvelope>,
    seen_ends: IndexSet<RecordId>,
    awaited_ends: IndexSet<RecordId>,
    answers: AnswerCache,
}

/// Newest kept answers, bounded by their total size.
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

/// A `Begin` on its way: it wins, loses, or is aborted once nobody waits for it.
pub(crate) struct BeginGuard {
    shard: Arc<Shard>,
    progress: watch::Receiver<ShardProgress>,
    begin: RecordId,
    settled: bool,
}

impl BeginGuard {
    /// Waits until the `Begin` is read back; nothing is lost by dropping the future.
    pub(crate) async fn wait(&mut self) -> LedgerDecision {
        loop {
            self.progress.mark_unchanged();
            if let Some(verdict) = self.shard.lock().take_verdict(self.begin) {
                self.settled = true;
                return verdict;
            }
            if self.progress.changed().await.is_err() {
                return LedgerDecision::Rejected;
            }
        }
    }

    /// The append is certainly not in the log.
    pub(crate) fn dismiss(mut self) {
        self.settled = true;
        self.shard.lock().begins.swap_remove(&self.begin);
    }
}

impl Drop for BeginGuard {
    fn drop(&mut self) {
        if !self.settled {
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

    pub(crate) fn with_ledger<T>(&self, look: impl FnOnce(&KeyLedger) -> T) -> T {
        look(&self.lock().ledger)
    }

    pub(crate) fn cached_answer(&self, offset: LogOffset) -> Option<KeptAnswer> {
        self.lock().answers.answers.get(&offset).cloned()
    }

    /// Announces a `Begin` before it is appended, so that its reading back is not missed.
    pub(crate) fn expect_begin(self: &Arc<Self>, begin: RecordId) -> BeginGuard {
        self.lock().begins.insert(begin, BeginState::Awaited);
        BeginGuard {
            shard: Arc::clone(self),
            progress: self.subscribe(),
            begin,
            settled: false,
        }
    }

    /// Announces an end record before it is appended.
    pub(crate) fn expect_end(&self, record: RecordId) {
        self.lock().awaited_ends.insert(record);
    }

    /// Whether an announced end record was read back.
    pub(crate) fn take_seen_end(&self, record: RecordId) -> bool {
        self.lock().seen_ends.swap_remove(&record)
    }

    /// No longer looks for an end record.
    pub(crate) fn forget_end(&self, record: RecordId) {
        let mut inner = self.lock();
        inner.awaited_ends.swap_remove(&record);
        inner.seen_ends.swap_remove(&record);
    }

    /// Reads the stream for as long as the shard exists; `abort` gets each
    /// `Begin` that won after its request was given up.
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
                Err(cause) => shard.note_failure(&cause),
            }
            let orphans = std::mem::take(&mut shard.lock().orphans);
            for begin in orphans {
                abort(&shard, begin);
            }
            drop(shard);
            if failed {
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            }
        }
    }

    // One line per outage, however often the read is tried again.
    fn note_failure(&self, cause: &ShardReadError) {
        let before = self.progress.borrow().level;
        if before {
            warn!(self.logger, "once: log cannot be read"; "cause" => %cause);
        }
        self.progress.send_modify(|progress| progress.level = false);
    }

    fn apply(&self, read: &ShardRead) {
        let mut inner = self.lock();
        for record in &read.records {
            inner.apply(record, &self.logger);
        }
        // Time goes on only with records, so an empty read forgets nothing.
        if !read.records.is_empty() {
            inner.ledger.forget_expired();
        }
        let applied = inner.ledger.applied();
        drop(inner);
        self.progress.send_replace(ShardProgress {
            applied,
            level: applied >= read.end,
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
        let verdict = self.ledger.apply(record.offset, &envelope);
        if verdict == LedgerDecision::Accepted {
            self.keep_answer(record.offset, &envelope.body);
        }
        self.settle_begin(envelope, verdict);
    }

    fn keep_answer(&mut self, offset: LogOffset, body: &RequestRecord) {
        if let Some(answer) = KeptAnswer::from_record(body) {
            self.answers.insert(offset, answer);
        }
    }

    fn settle_begin(&mut self, envelope: RequestEnvelope, verdict: LedgerDecision) {
        let Some(state) = self.begins.get_mut(&envelope.id) else {
            return;
        };
        match (&*state, verdict) {
            (BeginState::Awaited, LedgerDecision::Accepted) => *state = BeginState::Won(envelope),
            (BeginState::Awaited, LedgerDecision::Rejected) => *state = BeginState::Lost,
            (BeginState::Abandoned, LedgerDecision::Accepted) => {
                self.begins.swap_remove(&envelope.id);
                self.orphans.push(envelope);
            }
            (BeginState::Abandoned, LedgerDecision::Rejected) => {
                self.begins.swap_remove(&envelope.id);
            }
            // The same record again, after an append that was repeated.
            (BeginState::Won(_) | BeginState::Lost, _) => {}
        }
    }

    fn take_verdict(&mut self, begin: RecordId) -> Option<LedgerDecision> {
        let verdict = match self.begins.get(&begin)? {
            BeginState::Won(_) => LedgerDecision::Accepted,
            BeginState::Lost => LedgerDecision::Rejected,
            BeginState::Awaited | BeginState::Abandoned => return None,
        };
        self.begins.swap_remove(&begin);
        Some(verdict)
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
