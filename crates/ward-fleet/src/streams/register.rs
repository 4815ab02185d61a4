//! The origins of streams that one daemon knows.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use ward_protocol::{MonoTime, StreamKey, TimeSpan};

use super::{MAX_STREAM_AGE, StreamNote, StreamOrigin};

/// Maximum number of streams in a register.
pub const MAX_STREAMS: usize = 16_384;

/// Who recorded a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteSource {
    /// This daemon, which forwards the stream or did so before it restarted.
    Own,
    /// Another daemon.
    Other,
}

#[derive(Debug, Clone)]
struct StreamEntry {
    origin: StreamOrigin,
    expires_at: MonoTime,
    source: NoteSource,
}

/// Origins of streams by their keys. If there are too many, those that expire first are
/// dropped.
#[derive(Debug, Clone, Default)]
pub struct StreamRegister {
    entries: IndexMap<StreamKey, StreamEntry>,
    /// All streams in the order in which they expire.
    by_expiry: BTreeSet<(MonoTime, StreamKey)>,
    own_revision: u64,
}

impl StreamRegister {
    /// Records the origin of a stream. A later note of the same stream extends its
    /// lifetime and never shortens it; one with another origin replaces the former, since
    /// a caller has used the request id again.
    pub fn record(&mut self, note: StreamNote, source: NoteSource, now: MonoTime) {
        if source == NoteSource::Own {
            self.own_revision += 1;
        }
        let mut entry = StreamEntry {
            origin: note.origin,
            expires_at: now + note.lifetime.min(MAX_STREAM_AGE),
            source,
        };
        if let Some(former) = self.remove(note.key) {
            if former.origin == entry.origin {
                entry.expires_at = entry.expires_at.max(former.expires_at);
            }
            if former.source == NoteSource::Own {
                entry.source = NoteSource::Own;
            }
        } else if self.entries.len() >= MAX_STREAMS {
            self.remove_first();
        }
        self.by_expiry.insert((entry.expires_at, note.key));
        self.entries.insert(note.key, entry);
    }

    fn remove(&mut self, key: StreamKey) -> Option<StreamEntry> {
        let entry = self.entries.swap_remove(&key)?;
        self.by_expiry.remove(&(entry.expires_at, key));
        Some(entry)
    }

    /// Removes the stream that expires first.
    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.entries.swap_remove(&key);
        }
    }

    /// Removes the streams that can no longer be taken up.
    pub fn remove_expired(&mut self, now: MonoTime) {
        while self.by_expiry.first().is_some_and(|(time, _)| *time <= now) {
            self.remove_first();
        }
    }

    /// Where a stream comes from; `None` if that is not known.
    #[must_use]
    pub fn origin(&self, key: StreamKey, now: MonoTime) -> Option<&StreamOrigin> {
        let entry = self.entries.get(&key)?;
        (entry.expires_at > now).then_some(&entry.origin)
    }

    /// The note of one stream as sent to another daemon now.
    #[must_use]
    pub fn note(&self, key: StreamKey, now: MonoTime) -> Option<StreamNote> {
        let entry = self.entries.get(&key)?;
        let lifetime = entry.expires_at.since(now);
        (lifetime > TimeSpan::ZERO).then(|| StreamNote {
            key,
            origin: entry.origin.clone(),
            lifetime,
        })
    }

    /// The streams that this daemon itself recorded and that may still be taken up.
    pub fn own_notes(&self, now: MonoTime) -> impl Iterator<Item = StreamNote> {
        let entries = self.entries.iter();
        let own = entries.filter(|(_, entry)| entry.source == NoteSource::Own);
        own.filter_map(move |(key, _)| self.note(*key, now))
    }

    /// Number that rises whenever this daemon records a stream of its own.
    #[must_use]
    pub const fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
