//! The HTTP server for callers: request parsing, queueing, and forwarding to
//! backend servers.
//!
//! A request is checked, waits in a bounded queue for a slot on a ready replica,
//! is forwarded, and its answer is checked before the caller sees it. This crate
//! reads the control state only through the published view and reports events to
//! the control thread as [`TrafficNotice`]. Calls that may not be repeated go
//! through [`OnceCalls`], closures that hide the log behind them.
//!
//! The crate has its own accept loop, because the one in `viz` abandons a graceful
//! shutdown after a fixed time and sets neither a header timeout nor a connection
//! limit. It drives `hyper`'s HTTP/1 connections directly and uses the routes of
//! `viz`.
//!
//! The time limit of a request bounds its start and, for an answer that is not a
//! stream, its end. A stream only has to begin within the limit: the limit is
//! meant for waiting, and cutting a long answer at it would discard output that
//! the caller is already reading.
//!
//! A stream whose connection breaks is resumed at its engine. If that fails, the
//! request runs again on another replica, and the events that the caller already
//! has are skipped. This relies on engines producing the same output for the same
//! request id. Requests whose plan row forbids repetition are never run again.

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
