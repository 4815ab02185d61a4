//! Callers' requests on their way to backend servers.
//!
//! The pool is our own because a refusal may say "not run" only when that is
//! known. A ready-made pooled client repeats a request that it finds cancelled
//! on a reused connection and tells nobody; setting that off would still not
//! tell whether a failed request had left the process. Here every connection
//! carries a `gate` that sees each write: a request whose gate was shut before
//! its first byte was certainly not sent, whatever the error was. The gate also
//! looks at the deadline right before that first byte.

mod answer;
mod body;
mod call;
mod client;
mod connection;
mod control;
mod gate;
mod pool;

pub use answer::{AnswerBody, AnswerHead, BackendAnswer};
pub use body::CallBody;
pub use call::{BackendCall, CallError, ConnectionUse};
pub use client::{BackendClient, ClientLimits};
