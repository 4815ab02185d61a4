//! HTTP servers for callers and for the daemon's own endpoints.

mod answer;
mod body;
mod collect;
mod connection;
mod directory;
mod entry;
mod handle;
mod job;
mod listen;
mod newest;
mod quota;
mod refusal;
mod registry;
mod resume;
mod route;
mod stream;
mod tenant;

pub(crate) use connection::TrackedConnection;
pub(crate) use directory::{serve_directory, serve_metrics, serve_readiness};
pub(crate) use entry::CloseReason;
pub(crate) use listen::{ConnectionTracker, DEFAULT_LIMITS, accept_callers, serve_endpoint};
pub(crate) use registry::{ConnectionRegistry, LOOK_INTERVAL};
