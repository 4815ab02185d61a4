//! Callers' requests: their HTTP, their queue, and their way to a backend server.
//!
//! A request is checked, waits in a bounded queue for a slot on a ready replica,
//! is forwarded, and its answer is checked before the caller sees it. Traffic
//! reads the control state only through the published view and tells the control
//! thread what it needs through [`TrafficNotice`]. Calls that may not be repeated
//! go through [`OnceCalls`], whose log lies behind closures.
//!
//! The accept loop is our own: the one of `viz` gives up a graceful shutdown
//! after a fixed time and sets neither a header timeout nor a connection limit.
//! It drives `hyper`'s HTTP/1 connection directly, with the routes of `viz`.
//!
//! The time limit of a request bounds its start and, for an answer that is not a
//! stream, its end. A stream must only begin by then: cutting a long answer at a
//! limit meant for waiting would throw away what the caller already reads.
//!
//! A stream that is cut is resumed at its engine, else run again elsewhere with
//! what the caller has skipped. Running it again trusts the engine to repeat
//! itself for the same request id, so rows that may not be repeated never do.

mod core;
mod forward;
mod handle;
pub mod input;
mod metrics;
mod notice;
mod once;
mod problem;
mod server;
mod target;
pub mod waiting;

pub use forward::{EventBuffer, RetryBudget, StreamProgress, StreamStep};
pub use notice::{NoticeSink, TrafficNotice};
pub use once::{BeginAnswer, BeginCall, DoneAnswer, DoneCall, KeptAnswer, KeyCall, OnceCalls};
pub use problem::ProblemReport;
pub use server::{CallerServer, ServerHandle, ServerParts, StartError};

/// Header field that carries the request id to the backend server and back.
pub(crate) const REQUEST_ID: http::HeaderName = http::HeaderName::from_static("x-request-id");
