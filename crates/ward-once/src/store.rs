//! The idempotency keys of all shards, as the request path uses them.

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

const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(50);
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(2);

quick_error! {
    /// Failure to start the store.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OnceError {
        /// The list of shards is empty.
        NoShards {
            display("there are no request shards; configure at least one")
        }
    }
}

/// Settings of the store.
#[derive(Debug, Clone)]
pub struct OnceSettings {
    /// Id of this daemon, the sender of its records.
    pub daemon: DaemonId,
    /// Current incarnation of this daemon.
    pub incarnation: Incarnation,
    /// How long keys are kept after their `Begin`.
    pub key_retention: TimeSpan,
    /// Maximum size of a kept answer's body in bytes; a larger body is dropped.
    pub kept_answer_bytes: usize,
    /// Maximum time to append a `Begin` and read it back.
    pub read_back_timeout: TimeSpan,
    /// Size limit of the cache of kept answers per shard, in bytes.
    pub cache_bytes: usize,
}

/// Whether a daemon is still a member with the given incarnation.
pub type MemberPort = Box<dyn Fn(&DaemonId, Incarnation) -> bool + Send + Sync>;

/// The idempotency keys of all shards.
pub struct OnceStore {
    settings: OnceSettings,
    shards: Vec<Arc<Shard>>,
    is_member: MemberPort,
    /// `Begin` records of requests that this daemon may send and has not finished.
    own_begins: Mutex<IndexMap<IdempotencyKey, RecordId>>,
    /// Number of end records that the log is not known to have yet.
    pending_ends: watch::Sender<usize>,
    logger: Logger,
}

impl OnceStore {
    /// Creates a store over the given shards and starts a task per shard that reads it.
    ///
    /// # Errors
    /// When `ports` is empty.
    pub fn start(
        settings: OnceSettings,
        ports: Vec<ShardPorts>,
        is_member: MemberPort,
        logger: Logger,
    ) -> Result<Arc<Self>, OnceError> {
        if ports.is_empty() {
            return Err(OnceError::NoShards);
        }
        let shards: Vec<Arc<Shard>> = ports
            .into_iter()
            .map(|ports| {
                let (retention, bytes) = (settings.key_retention, settings.cache_bytes);
                Arc::new(Shard::new(ports, retention, bytes, logger.clone()))
            })
            .collect();
        let store = Arc::new(Self {
            settings,
            shards,
            is_member,
            own_begins: Mutex::new(IndexMap::new()),
            pending_ends: watch::Sender::new(0),
            logger,
        });
        for shard in &store.shards {
            let weak = Arc::downgrade(&store);
            let abort = move |shard: &Arc<Shard>, begin: RequestEnvelope| {
                if let Some(store) = weak.upgrade() {
                    store.abort_orphan(shard, &begin);
                }
            };
            tokio::spawn(Shard::tail(Arc::downgrade(shard), abort));
        }
        Ok(store)
    }

    /// Begins the request under `key`. [`BeginOutcome::Send`] is returned at most once per
    /// key unless the request is aborted or the key expires.
    ///
    /// Dropping the future is safe: a `Begin` that is accepted later is aborted.
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
            if !progress.borrow_and_update().caught_up {
                return BeginOutcome::LogDown;
            }
            let entry = shard.with_ledger(|ledger| ledger.entry(key).cloned());
            let Some(entry) = entry else {
                match self.try_begin(shard, key, fingerprint, deadline).await {
                    Some(outcome) => return outcome,
                    None => continue,
                }
            };
            if let Some(outcome) = self.entry_outcome(shard, &entry, fingerprint).await {
                return outcome;
            }
            if Instant::now() >= deadline {
                return BeginOutcome::Running;
            }
            // Checks again even without a new record, since the daemon that runs the request
            // may have ceased to be a member.
            let recheck = deadline.min(Instant::now() + MEMBER_CHECK_INTERVAL);
            let _ = timeout_at(recheck, progress.changed()).await;
        }
    }

    /// Records how the request under `key` ended. The append runs in the background and is
    /// retried until the log has the record.
    pub fn finish(self: &Arc<Self>, key: &IdempotencyKey, end: RequestRecord) -> JoinHandle<()> {
        let begin = self.lock_own_begins().swap_remove(key);
        let store = Arc::clone(self);
        let key = key.clone();
        self.pending_ends.send_modify(|count| *count += 1);
        tokio::spawn(async move {
            if let Some(begin) = begin {
                let record = store.drop_large_body(end);
                store.append_end(&key, begin, record).await;
            }
            store.pending_ends.send_modify(|count| *count -= 1);
        })
    }

    /// Waits until the log has all pending end records.
    pub async fn flush(&self) {
        let mut pending_ends = self.pending_ends.subscribe();
        // The sender lives as long as the store, so this cannot fail.
        let _ = pending_ends.wait_for(|count| *count == 0).await;
    }

    /// Number of keys kept in all shards.
    #[must_use]
    pub fn key_count(&self) -> usize {
        let count = |shard: &Arc<Shard>| shard.with_ledger(crate::KeyLedger::len);
        self.shards.iter().map(count).sum()
    }

    /// Whether every shard's stream has been read to its end.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.subscribe().borrow().caught_up)
    }

    fn shard(&self, key: &IdempotencyKey) -> &Arc<Shard> {
        let hash = blake3::hash(key.as_str().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        let count = self.shards.len() as u64;
        let index = u64::from_le_bytes(bytes) % count;
        &self.shards[usize::try_from(index).unwrap_or(0)]
    }

    fn lock_own_begins(&self) -> std::sync::MutexGuard<'_, IndexMap<IdempotencyKey, RecordId>> {
        self.own_begins
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the key is a UUID of version 7 whose time of creation is older than the key
    /// retention. The ledger may have dropped such a key, so the request might run a second
    /// time.
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
        let created = WallTime(seconds * 1_000 + u64::from(nanos) / 1_000_000);
        WallTime::now().since(created) >= self.settings.key_retention
    }

    /// The outcome for a key that is taken; `None` while its request may still run.
    async fn entry_outcome(
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
            EntryPhase::Running if (self.is_member)(&entry.daemon, entry.incarnation) => None,
            EntryPhase::Running | EntryPhase::Doubt => Some(BeginOutcome::InDoubt),
            EntryPhase::Aborted => None,
        }
    }

    /// Appends a `Begin` and waits for the decision on it; `None` if another record holds the
    /// key.
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
        let read_back_deadline = Instant::now() + self.settings.read_back_timeout.duration();
        let limit = deadline.min(read_back_deadline);
        let mut guard = shard.register_begin(begin);
        let decision = timeout_at(limit, append_and_read_back(shard, &mut guard, bytes)).await;
        match decision {
            Ok(Some(LedgerDecision::Accepted)) => {
                self.lock_own_begins().insert(key.clone(), begin);
                Some(BeginOutcome::Send)
            }
            Ok(Some(LedgerDecision::Rejected)) => None,
            Ok(None) => {
                guard.cancel();
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

    fn drop_large_body(&self, end: RequestRecord) -> RequestRecord {
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

    /// Appends an `Abort` for a `Begin` that was accepted after its request was given up.
    fn abort_orphan(self: &Arc<Self>, shard: &Arc<Shard>, begin: &RequestEnvelope) {
        let store = Arc::clone(self);
        let shard = Arc::clone(shard);
        let key = begin.key.clone();
        let id = begin.id;
        self.pending_ends.send_modify(|count| *count += 1);
        tokio::spawn(async move {
            store
                .append_until_seen(&shard, &key, id, RequestRecord::Abort)
                .await;
            store.pending_ends.send_modify(|count| *count -= 1);
        });
    }

    async fn append_end(&self, key: &IdempotencyKey, begin: RecordId, record: RequestRecord) {
        let shard = Arc::clone(self.shard(key));
        self.append_until_seen(&shard, key, begin, record).await;
    }

    /// Appends an end record, again and again until it is stored or read back. Each retry
    /// has the same record id, so a second copy in the log changes nothing.
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
        shard.register_end(id);
        let mut backoff = MIN_RETRY_BACKOFF;
        while (shard.ports.append)(bytes.clone()).await != AppendResult::Stored {
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
            if shard.take_seen_end(id) {
                break;
            }
        }
        shard.unregister_end(id);
    }
}

/// Appends a `Begin` and waits until it is read back; `None` if the append certainly didn't
/// reach the log.
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
