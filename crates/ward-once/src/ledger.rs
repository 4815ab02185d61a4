//! The rules for the idempotency keys of one shard.
//!
//! All daemons apply the same records in the same order and so agree on which
//! `Begin` was the first. The ledger reads no clock: it takes the latest time that
//! each daemon has put into a record, and the second newest of these is its time. A
//! single clock that runs ahead therefore can't expire a key early.

use indexmap::IndexMap;
use ward_protocol::{
    DaemonId, IdempotencyKey, Incarnation, LogOffset, RecordId, RequestEnvelope,
    RequestFingerprint, RequestRecord, TimeSpan, WallTime,
};

/// State of the request of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// The request was begun and may have been sent.
    Running,
    /// The request ended; the record at this offset holds the answer.
    Done(LogOffset),
    /// It is unknown whether the request ran; a later `Done` or `Abort` may still decide.
    Doubt,
    /// The request was never sent; the key may be used again.
    Aborted,
}

/// The accepted `Begin` record of a key and the state of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyEntry {
    /// Id of the `Begin` record.
    pub begin: RecordId,
    /// Fingerprint of the request, to detect that the key is reused for another one.
    pub fingerprint: RequestFingerprint,
    /// The daemon that began the request.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Time of the `Begin` by that daemon's clock; the key retention counts from it.
    pub begun_at: WallTime,
    /// State of the request.
    pub phase: EntryPhase,
}

/// Whether the ledger accepted a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerDecision {
    /// The record changed the state of its key.
    Accepted,
    /// The key is taken, the record was applied before, or its sender didn't begin the
    /// request; the state of the key is unchanged.
    Rejected,
}

/// State of the idempotency keys of one shard.
#[derive(Debug, Clone)]
pub struct KeyLedger {
    key_retention: TimeSpan,
    applied: LogOffset,
    entries: IndexMap<IdempotencyKey, KeyEntry>,
    /// Latest time that each daemon has put into a record.
    clocks: IndexMap<DaemonId, WallTime>,
}

impl KeyLedger {
    /// Creates an empty ledger that keeps keys for `key_retention`.
    #[must_use]
    pub fn new(key_retention: TimeSpan) -> Self {
        Self {
            key_retention,
            applied: LogOffset::ZERO,
            entries: IndexMap::new(),
            clocks: IndexMap::new(),
        }
    }

    /// Offset of the last record that was applied, rejected or skipped.
    #[must_use]
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Number of keys kept, including those whose request was aborted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of a key; `None` if the key is unknown or its request was aborted.
    #[must_use]
    pub fn entry(&self, key: &IdempotencyKey) -> Option<&KeyEntry> {
        self.entries
            .get(key)
            .filter(|entry| entry.phase != EntryPhase::Aborted)
    }

    /// Moves past a record that could not be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = self.applied.max(offset);
    }

    /// Applies the record at `offset`; a record at or below the last applied offset is
    /// rejected.
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

    /// Removes keys that are older than the key retention.
    pub fn remove_expired(&mut self) {
        let Some(now) = self.now() else {
            return;
        };
        let retention = self.key_retention;
        self.entries
            .retain(|_, entry| now.since(entry.begun_at) <= retention);
    }

    fn advance_clock(&mut self, envelope: &RequestEnvelope) {
        let clock = self
            .clocks
            .entry(envelope.daemon.clone())
            .or_insert(envelope.proposed_at);
        *clock = envelope.proposed_at.max(*clock);
    }

    /// The ledger's time: the second newest of the daemons' latest times. `None` until two
    /// daemons have written records; until then no key expires.
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
        let is_taken = self
            .entry(&envelope.key)
            .is_some_and(|entry| !self.is_expired(entry));
        // No request waits for a second copy of an aborted `Begin`, so accepting it would
        // block the key.
        let is_copy = self
            .entries
            .get(&envelope.key)
            .is_some_and(|entry| entry.begin == envelope.id);
        if is_taken || is_copy {
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

    /// Applies an end record. Only the daemon that began a request knows how it ended, and
    /// its end record counts only for the `Begin` that it names.
    fn end(&mut self, envelope: &RequestEnvelope, phase: EntryPhase) -> LedgerDecision {
        let Some(entry) = self.entries.get_mut(&envelope.key) else {
            return LedgerDecision::Rejected;
        };
        let same_sender =
            entry.daemon == envelope.daemon && entry.incarnation == envelope.incarnation;
        let same_begin = entry.begin == envelope.begin;
        let is_open = matches!(entry.phase, EntryPhase::Running | EntryPhase::Doubt);
        if !same_sender || !same_begin || !is_open {
            return LedgerDecision::Rejected;
        }
        entry.phase = phase;
        LedgerDecision::Accepted
    }
}
