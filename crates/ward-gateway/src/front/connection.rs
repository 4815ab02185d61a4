//! One connection in the registry: how far its caller is.

use std::rc::Rc;

use ward_fleet::callers::{BodyLength, CallerPhase};

use super::entry::{CloseReason, ConnectionKey};
use super::registry::ConnectionRegistry;

/// Most requests in succession that a caller may send before it got the answer to the one
/// before.
const MAX_SENT_AHEAD: u32 = 16;

/// A connection in the registry; removed when dropped.
pub(crate) struct TrackedConnection {
    registry: Rc<ConnectionRegistry>,
    key: ConnectionKey,
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.registry.remove(self.key);
    }
}

impl TrackedConnection {
    pub(super) const fn new(registry: Rc<ConnectionRegistry>, key: ConnectionKey) -> Self {
        Self { registry, key }
    }

    /// The registry that has the connection.
    pub(super) const fn registry(&self) -> &Rc<ConnectionRegistry> {
        &self.registry
    }

    /// Identifies the connection.
    pub(crate) const fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Whether nothing may be read yet, until closed connections are gone.
    pub(crate) fn must_wait(&self) -> bool {
        self.registry.must_wait()
    }

    /// Records bytes that arrived; returns whether the connection may go on.
    pub(crate) fn record_read(&self, bytes: usize) -> bool {
        let is_open = self.registry.change(self.key, |entry, now| {
            match entry.load.phase {
                CallerPhase::Unread => return,
                CallerPhase::Refused => {
                    entry.load = entry.load.moved(bytes, now);
                    return;
                }
                CallerPhase::Idle => entry.load = entry.load.entered(CallerPhase::Head, now),
                _ => {}
            }
            entry.has_waited |= entry.load.phase == CallerPhase::Head;
            entry.load = entry.load.moved(bytes, now);
            let buffered = entry.load.bytes.min(entry.buffer_bytes);
            entry.load.buffered = entry.load.buffered.max(buffered);
        });
        is_open && (self.registry.make_room_in_memory() || self.registry.has_request(self.key))
    }

    /// Records a complete head.
    pub(crate) fn record_head(&self, fields: usize, body: BodyLength) -> HeadDecision {
        let phase = match body {
            BodyLength::Exact(0) => CallerPhase::Serving,
            BodyLength::Exact(_) | BodyLength::Unknown => CallerPhase::Body,
        };
        let mut is_last = false;
        self.registry.change(self.key, |entry, now| {
            entry.load = entry.load.entered(phase, now);
            entry.load.fields = fields;
            entry.load.body = body;
            entry.is_answering = true;
            entry.sent_ahead = if entry.has_waited {
                0
            } else {
                entry.sent_ahead + 1
            };
            entry.has_waited = false;
            is_last = entry.sent_ahead >= MAX_SENT_AHEAD;
        });
        if is_last {
            self.registry.count_close(CloseReason::SentAhead);
        }
        HeadDecision {
            has_room: self.registry.make_room_in_memory(),
            is_last,
        }
    }

    /// Records that the answer has been passed to the connection in full.
    pub(crate) fn record_answered(&self) {
        self.registry.change(self.key, |entry, now| {
            entry.is_answering = false;
            entry.load.fields = 0;
            let phase = entry.load.phase;
            if phase != CallerPhase::Unread && phase != CallerPhase::Refused {
                entry.load = entry.load.entered(CallerPhase::Idle, now);
            }
        });
    }

    /// Records that `bytes` of `offered` bytes of an answer were taken by the socket.
    pub(crate) fn record_write(&self, bytes: usize, offered: usize) {
        self.registry.change(self.key, |entry, now| {
            let is_unread = entry.load.phase == CallerPhase::Unread;
            if bytes < offered {
                if !is_unread {
                    entry.load = entry.load.entered(CallerPhase::Unread, now);
                }
                if bytes > 0 {
                    entry.load = entry.load.moved(bytes, now);
                }
            } else if is_unread {
                let phase = if entry.is_answering {
                    CallerPhase::Serving
                } else {
                    CallerPhase::Idle
                };
                entry.load = entry.load.entered(phase, now);
            }
        });
    }
}

/// What becomes of a request whose head has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeadDecision {
    /// Whether there is memory left for it.
    pub(crate) has_room: bool,
    /// Whether its connection is closed after the answer, since the caller sends too many
    /// requests ahead.
    pub(crate) is_last: bool,
}
