//! Sends callers' requests to backend servers.
//!
//! The module has its own connection pool because a refusal may say "not run"
//! only when that is certain. A ready-made pooled client silently retries a
//! request that was cancelled on a reused connection; with that turned off it
//! still would not report whether a failed request had left the process. Here
//! every connection has a `gate` that sees each write: a request whose gate was
//! shut before its first byte was certainly not sent, whatever the error was.
//! The gate also checks the deadline immediately before that first byte.
//!
//! An answer is believed because it names its request, never because of where it
//! stands on a connection: a backend server may write an earlier answer once more. An
//! answer that does not name the request closes its connection, and what became of the
//! request is unknown. Since a copy of an answer bears the id of its own request, no
//! connection carries the same id twice, not even for a cancellation.

mod answer;
mod body;
mod call;
mod client;
mod connection;
mod control;
mod gate;
mod pool;

pub use answer::{AnswerBody, BackendAnswer, BufferedBody};
pub use body::CallBody;
pub use call::{BackendCall, CallError, ConnectionUse};
pub use client::{BackendClient, ClientLimits};
