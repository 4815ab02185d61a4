//! Calls that may not be repeated, as traffic sees their log.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::time::Instant;
use ward_protocol::{IdempotencyKey, RequestFingerprint};

/// What the log says about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginAnswer {
    /// This daemon is the first: send it once.
    Send,
    /// The call ran; this is its answer.
    Kept(KeptAnswer),
    /// The call ran; its answer was too large to keep.
    KeptWithoutBody,
    /// It is not known whether the call ran.
    InDoubt,
    /// The call runs at this moment.
    Running,
    /// The key belongs to another request.
    KeyReused,
    /// The key is older than keys are kept.
    KeyExpired,
    /// The log cannot be reached; the call was not begun.
    LogDown,
    /// The call was not begun before its deadline.
    NotRun,
}

/// An answer as kept under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The end of a call, to be recorded under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body; absent when too large to keep.
    pub body: Option<Vec<u8>>,
}

/// Records the beginning of a call under its key.
pub type BeginCall = Arc<
    dyn Fn(IdempotencyKey, RequestFingerprint, Instant) -> BoxFuture<'static, BeginAnswer>
        + Send
        + Sync,
>;
/// Records the answer of a call; ends when the record is stored or given up.
pub type DoneCall = Arc<dyn Fn(IdempotencyKey, DoneAnswer) -> BoxFuture<'static, ()> + Send + Sync>;
/// Records something else about a key; ends when the record is stored or given up.
pub type KeyCall = Arc<dyn Fn(IdempotencyKey) -> BoxFuture<'static, ()> + Send + Sync>;

/// The log of calls that may not be repeated.
#[derive(Clone)]
pub struct OnceCalls {
    /// Asks to be the one that sends the call.
    pub begin: BeginCall,
    /// The call ended with an answer.
    pub done: DoneCall,
    /// Nothing was sent and nothing will be.
    pub abort: KeyCall,
    /// It is not known whether the call ran.
    pub doubt: KeyCall,
}

impl fmt::Debug for OnceCalls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OnceCalls")
    }
}
