//! HTTP servers for callers and for the daemon's own endpoints.

mod answer;
mod collect;
mod directory;
mod handle;
mod job;
mod listen;
mod quota;
mod refusal;
mod resume;
mod route;
mod tenant;

pub(crate) use directory::{serve_directory, serve_metrics, serve_readiness};
pub(crate) use listen::{ConnectionTracker, accept_callers, serve_endpoint};
