//! The keys of all shards, as the request path uses them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use quick_error::quick_error;
use slog::{Logger, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};
use uuid::{Uuid, Version};
use ward_protocol::codec::encode;
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    AppendResult, DaemonId, IdempotencyKey, Incarnation, RecordId, RequestEnvelope,
    RequestFingerprint, RequestRecord, TimeSpan, WallTime,
};

use crate::answer::{BeginOutcome, kept_answer};
use crate::ledger::{EntryPhase, KeyEntry, LedgerDecision};
use crate::shard::{BeginGuard, Shard, ShardPorts};

const PAUSE_BEFORE_RETRY: Duration = Duration::from_millis(50);
const LIFE_CHECK: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

quick_error! {
    /// A store that cannot be set up.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OnceError {
        /// No shard was given.
        NoShards {
            display("there is no request shard; set at least one")
        }
    }
}

/// What the store needs to know.
#[derive(Debug, Clone)]
pub struct OnceSettings {
    /// This daemon.
    pub daemon: DaemonId,
    /// This daemon's life.
    pub incarnation: Incarnation,
    /// How long keys are remembered.
    pub key_retention: TimeSpan,
    /// Largest answer kept, in bytes.
    pub kept_answer_bytes: usize,
    /// Longest wait for a `Begin` to be read back.
    pub read_back_timeout: TimeSpan,
    /// Memory for kept answers per shard, in bytes.
    pub cache_bytes: usize,
}

/// Tells whether a daemon's life is still a member.
pub type MemberPort = Box<dyn Fn(&DaemonId, Incarnation) -> bool + Send + Sync>;

/// The keys of all shards.
pub struct OnceStore {
    settings: OnceSettings,
    shards: Vec<Arc<Shard>>,
    is_alive: MemberPort,
    own: Mutex<IndexMap<IdempotencyKey, RecordId>>,
    unfinished: watch::Sender<usize>,
    logger: Logger,
}

impl OnceStore {
    /// A store over the given shards; starts to read each of them.
    ///
    /// # Errors
    /// When no shard is given.
    pub fn start(
        settings: OnceSettings,
        ports: Vec<ShardPorts>,
        is_alive: MemberPort,
        logger: Logger,
    ) -> Result<Arc<Self>, OnceError> {
        if ports.is_empty() {
            return Err(OnceError::NoShards);
        }
        let shards: Vec<Arc<Shard>> = ports
            .into_iter()
            .map(|ports| {
                let (memory, bytes) = (settings.key_retention, settings.cache_bytes);
                Arc::new(Shard::new(ports, memory, bytes, logger.clone()))
            })
            .collect();
        let store = Arc::new(Self {
            settings,
            shards,
            is_alive,
            own: Mutex::new(IndexMap::new()),
            unfinished: watch::Sender::new(0),
            logger,
        });
        for shard in &store.shards {
            let owner = Arc::downgrade(&store);
            let abort = move |shard: &Arc<Shard>, begin: RequestEnvelope| {
                if let Some(store) = owner.upgrade() {
                    store.abort_orphan(shard, &begin);
                }
            };
            tokio::spawn(Shard::tail(Arc::downgrade(shard), abort));
        }
        Ok(store)
    }

    /// Asks to run the request under `key`; `Send` is answered at most once for a key.
    ///
    /// Dropping the future is safe: a `Begin` that wins unheard is aborted.
    pub async fn begin(
        &self,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        deadline: Instant,
    ) -> BeginOutcome {
        if self.is_key_expired(key) {
            return BeginOutcome::KeyExpired;
        }
        let shard = self.shard(key);
        let mut progress = shard.subscribe();
        loop {
            if !progress.borrow_and_update().level {
                return BeginOutcome::LogDown;
            }
            let entry = shard.with_ledger(|ledger| ledger.entry(key).cloned());
            let Some(entry) = entry else {
                match self.try_begin(shard, key, fingerprint, deadline).await {
                    Some(outcome) => return outcome,
                    None => continue,
                }
            };
            if let Some(outcome) = self.known_outcome(shard, &entry, fingerprint).await {
                return outcome;
            }
            if Instant::now() >= deadline {
                return BeginOutcome::Running;
            }
            // Looks again without a change, since the daemon that runs it may have died.
            let look_again = deadline.min(Instant::now() + LIFE_CHECK);
            let _ = timeout_at(look_again, progress.changed()).await;
        }
    }

    /// Records how the request under `key` ended; the record is appended in the
    /// background until the log has it.
    pub fn finish(self: &Arc<Self>, key: &IdempotencyKey, end: RequestRecord) -> JoinHandle<()> {
        let begin = self.lock_own().swap_remove(key);
        let store = Arc::clone(self);
        let key = key.clone();
        self.unfinished.send_modify(|count| *count += 1);
        tokio::spawn(async move {
            if let Some(begin) = begin {
                let record = store.bounded(end);
                store.append_end(&key, begin, record).await;
            }
            store.unfinished.send_modify(|count| *count -= 1);
        })
    }

    /// Waits until every end record is in the log.
    pub async fn flush(&self) {
        let mut unfinished = self.unfinished.subscribe();
        // The sender lives as long as the store, so this cannot fail.
        let _ = unfinished.wait_for(|count| *count == 0).await;
    }

    /// Number of keys remembered.
    #[must_use]
    pub fn key_count(&self) -> usize {
        let count = |shard: &Arc<Shard>| shard.with_ledger(crate::KeyLedger::len);
        self.shards.iter().map(count).sum()
    }

    /// Whether every shard was read to its end.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.subscribe().borrow().level)
    }

    fn shard(&self, key: &IdempotencyKey) -> &Arc<Shard> {
        let hash = blake3::hash(key.as_str().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        let count = self.shards.len() as u64;
        let index = u64::from_le_bytes(bytes) % count;
        &self.shards[usize::try_from(index).unwrap_or(0)]
    }

    fn lock_own(&self) -> std::sync::MutexGuard<'_, IndexMap<IdempotencyKey, RecordId>> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // A key that carries its own time is refused once the ledger may have forgotten it.
    fn is_key_expired(&self, key: &IdempotencyKey) -> bool {
        let Ok(uuid) = Uuid::parse_str(key.as_str()) else {
            return false;
        };
        if uuid.get_version() != Some(Version::SortRand) {
            return false;
        }
        let Some(time) = uuid.get_timestamp() else {
            return false;
        };
        let (seconds, nanos) = time.to_unix();
        let made = WallTime(seconds * 1_000 + u64::from(nanos) / 1_000_000);
        WallTime::now().since(made) >= self.settings.key_retention
    }

    async fn known_outcome(
        &self,
        shard: &Shard,
        entry: &KeyEntry,
        fingerprint: RequestFingerprint,
    ) -> Option<BeginOutcome> {
        if entry.fingerprint != fingerprint {
            return Some(BeginOutcome::KeyReused);
        }
        match entry.phase {
            EntryPhase::Done(offset) => Some(kept_answer(shard, offset).await),
            EntryPhase::Running if (self.is_alive)(&entry.daemon, entry.incarnation) => None,
            EntryPhase::Running | EntryPhase::Doubt => Some(BeginOutcome::InDoubt),
            EntryPhase::Aborted => None,
        }
    }

    async fn try_begin(
        &self,
        shard: &Arc<Shard>,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        deadline: Instant,
    ) -> Option<BeginOutcome> {
        let begin = RecordId::random();
        let envelope = self.envelope(key, begin, begin, RequestRecord::Begin { fingerprint });
        let Ok(bytes) = encode(&envelope) else {
            return Some(BeginOutcome::LogDown);
        };
        let patience = Instant::now() + self.settings.read_back_timeout.duration();
        let limit = deadline.min(patience);
        let mut guard = shard.expect_begin(begin);
        let verdict = timeout_at(limit, append_and_read_back(shard, &mut guard, bytes)).await;
        match verdict {
            Ok(Some(LedgerDecision::Accepted)) => {
                self.lock_own().insert(key.clone(), begin);
                Some(BeginOutcome::Send)
            }
            Ok(Some(LedgerDecision::Rejected)) => None,
            Ok(None) => {
                guard.dismiss();
                Some(BeginOutcome::LogDown)
            }
            Err(_) => {
                warn!(self.logger, "once: begin not read back in time"; "record" => %begin);
                Some(BeginOutcome::LogDown)
            }
        }
    }

    fn envelope(
        &self,
        key: &IdempotencyKey,
        id: RecordId,
        begin: RecordId,
        body: RequestRecord,
    ) -> RequestEnvelope {
        RequestEnvelope {
            format: RECORD_FORMAT,
            id,
            daemon: self.settings.daemon.clone(),
            incarnation: self.settings.incarnation,
            proposed_at: WallTime::now(),
            key: key.clone(),
            begin,
            body,
        }
    }

    fn bounded(&self, end: RequestRecord) -> RequestRecord {
        let RequestRecord::Done {
            status,
            content_type,
            body,
        } = end
        else {
            return end;
        };
        let limit = self.settings.kept_answer_bytes;
        RequestRecord::Done {
            status,
            content_type,
            body: body.filter(|body| body.len() <= limit),
        }
    }

    fn abort_orphan(self: &Arc<Self>, shard: &Arc<Shard>, begin: &RequestEnvelope) {
        let store = Arc::clone(self);
        let shard = Arc::clone(shard);
        let key = begin.key.clone();
        let id = begin.id;
        self.unfinished.send_modify(|count| *count += 1);
        tokio::spawn(async move {
            store
                .append_until_seen(&shard, &key, id, RequestRecord::Abort)
                .await;
            store.unfinished.send_modify(|count| *count -= 1);
        });
    }

    async fn append_end(&self, key: &IdempotencyKey, begin: RecordId, record: RequestRecord) {
        let shard = Arc::clone(self.shard(key));
        self.append_until_seen(&shard, key, begin, record).await;
    }

    // The same record id each time: a second copy in the log changes nothing.
    async fn append_until_seen(
        &self,
        shard: &Shard,
        key: &IdempotencyKey,
        begin: RecordId,
        record: RequestRecord,
    ) {
        let id = RecordId::random();
        let envelope = self.envelope(key, id, begin, record);
        let Ok(bytes) = encode(&envelope) else {
            return;
        };
        shard.expect_end(id);
        let mut pause = PAUSE_BEFORE_RETRY;
        while (shard.ports.append)(bytes.clone()).await != AppendResult::Stored {
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            if shard.take_seen_end(id) {
                break;
            }
        }
        shard.forget_end(id);
    }
}

/// Appends a `Begin` and waits for it; nothing when it is certainly not in the log.
async fn append_and_read_back(
    shard: &Shard,
    guard: &mut BeginGuard,
    bytes: Vec<u8>,
) -> Option<LedgerDecision> {
    match (shard.ports.append)(bytes).await {
        AppendResult::Stored | AppendResult::Unknown => Some(guard.wait().await),
        AppendResult::Refused => None,
    }
}
