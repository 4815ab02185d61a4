//! Interface to the log of calls that may not be repeated.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::time::Instant;
use ward_protocol::{IdempotencyKey, RequestFingerprint};

/// Result of recording the beginning of a call under its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginAnswer {
    /// The key is new; this daemon sends the call, once.
    Send,
    /// The call ran already; this is its answer.
    Kept(KeptAnswer),
    /// The call ran already; its answer was too large to keep or cannot be read.
    KeptWithoutBody,
    /// An earlier attempt ended without a result; the call may have run.
    InDoubt,
    /// Another request with this key is running the call now.
    Running,
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// The key is older than the retention time of keys.
    KeyExpired,
    /// The log is unreachable; the call was not begun.
    LogDown,
    /// The call was not begun before its deadline.
    NotRun,
}

/// Answer of a call as kept under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Answer of a call, to be recorded under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Complete body; `None` if it is too large to keep.
    pub body: Option<Vec<u8>>,
}

/// Records the beginning of a call under its key, by a deadline.
pub type BeginCall = Arc<
    dyn Fn(IdempotencyKey, RequestFingerprint, Instant) -> BoxFuture<'static, BeginAnswer>
        + Send
        + Sync,
>;
/// Records the answer of a call; completes when the record is stored or abandoned.
pub type DoneCall = Arc<dyn Fn(IdempotencyKey, DoneAnswer) -> BoxFuture<'static, ()> + Send + Sync>;
/// Records that a call did not run, or that it is in doubt; completes when the record is
/// stored or abandoned.
pub type KeyCall = Arc<dyn Fn(IdempotencyKey) -> BoxFuture<'static, ()> + Send + Sync>;

/// The log of calls that may not be repeated.
#[derive(Clone)]
pub struct OnceCalls {
    /// Records that a call begins; the answer says whether to send it.
    pub begin: BeginCall,
    /// Records the answer of a call.
    pub done: DoneCall,
    /// Records that the call did not run and will not be sent again.
    pub abort: KeyCall,
    /// Records that the call may have run and has no answer.
    pub doubt: KeyCall,
}

impl fmt::Debug for OnceCalls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OnceCalls")
    }
}
