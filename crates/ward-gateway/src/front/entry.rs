//! One connection as the registry knows it.

use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use ward_fleet::callers::{ConnectionLoad, EndpointKind};

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// All connections together held too much memory.
    Memory,
    /// The endpoint had too many connections.
    Connections,
    /// The head did not arrive in time.
    SlowHead,
    /// The caller did not read its answer.
    Unread,
    /// The caller sent too many requests ahead.
    SentAhead,
}

impl CloseReason {
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::SlowHead => "slow_head",
            Self::Unread => "unread",
            Self::SentAhead => "sent_ahead",
        }
    }
}

/// Identifies a connection; later ones have higher keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionKey(pub(super) u64);

/// One connection.
pub(super) struct ConnectionEntry {
    pub(super) load: ConnectionLoad,
    pub(super) endpoint: EndpointKind,
    /// Most bytes that its buffer takes.
    pub(super) buffer_bytes: usize,
    /// Whether the answer to its request is not complete.
    pub(super) is_answering: bool,
    /// Whether bytes arrived after the last answer was complete.
    pub(super) has_waited: bool,
    /// Requests in succession that were sent before the answer to the one before.
    pub(super) sent_ahead: u32,
    /// Whether it is to be closed, and still holds what it has until its task ends.
    pub(super) is_closing: bool,
    /// Refuses a request whose body has not arrived, which its caller is then told.
    pub(super) refusal: Option<oneshot::Sender<()>>,
    /// Ends its task; none until that has begun.
    pub(super) task: Option<AbortHandle>,
}

/// Memory that a connection holds, in bytes.
pub(super) struct HeldBytes {
    pub(super) all: usize,
    /// The same if the connection is to be closed, otherwise zero.
    pub(super) closing: usize,
}

impl ConnectionEntry {
    /// What it holds.
    pub(super) fn held_by_state(&self) -> HeldBytes {
        let all = self.load.held_bytes();
        let closing = if self.is_closing { all } else { 0 };
        HeldBytes { all, closing }
    }
}
