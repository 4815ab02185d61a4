//! The rules for one shard of keys.
//!
//! All daemons apply the same records in the same order and so agree on which
//! `Begin` was the first. Time enters only through the senders' clocks in the
//! records: the ledger's clock is the second newest among the daemons' latest
//! times, so that a single clock that runs ahead cannot make a key forgotten.

use indexmap::IndexMap;
use ward_protocol::{
    DaemonId, IdempotencyKey, Incarnation, LogOffset, RecordId, RequestEnvelope,
    RequestFingerprint, RequestRecord, TimeSpan, WallTime,
};

/// What is known of a key's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// Begun; it may have been sent.
    Running,
    /// It ended; the record at this offset holds the answer.
    Done(LogOffset),
    /// It is not known whether it ran.
    Doubt,
    /// It was never sent; the key is free.
    Aborted,
}

/// The first `Begin` of a key and what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyEntry {
    /// Record id of the `Begin`.
    pub begin: RecordId,
    /// What the request asks for.
    pub fingerprint: RequestFingerprint,
    /// The daemon that sends it.
    pub daemon: DaemonId,
    /// That daemon's life.
    pub incarnation: Incarnation,
    /// When it began, by that daemon's clock.
    pub begun_at: WallTime,
    /// What became of it.
    pub phase: EntryPhase,
}

/// How the ledger took a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerDecision {
    /// It took effect.
    Accepted,
    /// It came too late or from the wrong sender; nothing changed.
    Rejected,
}

/// State of one shard.
#[derive(Debug, Clone)]
pub struct KeyLedger {
    key_retention: TimeSpan,
    applied: LogOffset,
    entries: IndexMap<IdempotencyKey, KeyEntry>,
    clocks: IndexMap<DaemonId, WallTime>,
}

impl KeyLedger {
    /// An empty ledger that remembers keys for `key_retention`.
    #[must_use]
    pub fn new(key_retention: TimeSpan) -> Self {
        Self {
            key_retention,
            applied: LogOffset::ZERO,
            entries: IndexMap::new(),
            clocks: IndexMap::new(),
        }
    }

    /// Offset up to which records were applied.
    #[must_use]
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a key; a key whose request was never sent is unknown.
    #[must_use]
    pub fn entry(&self, key: &IdempotencyKey) -> Option<&KeyEntry> {
        self.entries
            .get(key)
            .filter(|entry| entry.phase != EntryPhase::Aborted)
    }

    /// Notes that a record could not be read.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = self.applied.max(offset);
    }

    /// Applies the record at `offset`; one at or below an earlier offset changes nothing.
    pub fn apply(&mut self, offset: LogOffset, envelope: &RequestEnvelope) -> LedgerDecision {
        if offset <= self.applied {
            return LedgerDecision::Rejected;
        }
        self.applied = offset;
        self.advance_clock(envelope);
        match &envelope.body {
            RequestRecord::Begin { fingerprint } => self.begin(envelope, *fingerprint),
            RequestRecord::Done { .. } => self.end(envelope, EntryPhase::Done(offset)),
            RequestRecord::Abort => self.end(envelope, EntryPhase::Aborted),
            RequestRecord::Doubt => self.end(envelope, EntryPhase::Doubt),
        }
    }

    /// Forgets keys that are older than the key retention.
    pub fn forget_expired(&mut self) {
        let Some(now) = self.now() else {
            return;
        };
        let memory = self.key_retention;
        self.entries
            .retain(|_, entry| now.since(entry.begun_at) <= memory);
    }

    fn advance_clock(&mut self, envelope: &RequestEnvelope) {
        let clock = self
            .clocks
            .entry(envelope.daemon.clone())
            .or_insert(envelope.proposed_at);
        *clock = envelope.proposed_at.max(*clock);
    }

    // The second newest of the daemons' clocks.
    fn now(&self) -> Option<WallTime> {
        let mut clocks: Vec<WallTime> = self.clocks.values().copied().collect();
        clocks.sort_unstable();
        clocks.iter().rev().nth(1).copied()
    }

    fn is_expired(&self, entry: &KeyEntry) -> bool {
        self.now()
            .is_some_and(|now| now.since(entry.begun_at) > self.key_retention)
    }

    fn begin(
        &mut self,
        envelope: &RequestEnvelope,
        fingerprint: RequestFingerprint,
    ) -> LedgerDecision {
        let taken = self
            .entry(&envelope.key)
            .is_some_and(|entry| !self.is_expired(entry));
        // A second copy of an aborted `Begin` would run for nobody.
        let copy = self
            .entries
            .get(&envelope.key)
            .is_some_and(|entry| entry.begin == envelope.id);
        if taken || copy {
            return LedgerDecision::Rejected;
        }
        let entry = KeyEntry {
            begin: envelope.id,
            fingerprint,
            daemon: envelope.daemon.clone(),
            incarnation: envelope.incarnation,
            begun_at: envelope.proposed_at,
            phase: EntryPhase::Running,
        };
        self.entries.insert(envelope.key.clone(), entry);
        LedgerDecision::Accepted
    }

    // Only the daemon that began a request knows how it ended, and only of that one `Begin`.
    fn end(&mut self, envelope: &RequestEnvelope, phase: EntryPhase) -> LedgerDecision {
        let Some(entry) = self.entries.get_mut(&envelope.key) else {
            return LedgerDecision::Rejected;
        };
        let own = entry.daemon == envelope.daemon && entry.incarnation == envelope.incarnation;
        let named = entry.begin == envelope.begin;
        let open = matches!(entry.phase, EntryPhase::Running | EntryPhase::Doubt);
        if !own || !named || !open {
            return LedgerDecision::Rejected;
        }
        entry.phase = phase;
        LedgerDecision::Accepted
    }
}
