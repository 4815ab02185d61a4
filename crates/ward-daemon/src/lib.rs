//! A daemon, assembled from the other crates.
//!
//! A daemon has one control thread, which owns [`ward_control::ControlCore`] and
//! performs the I/O that the core requests, and a pool of traffic threads, which
//! serve callers and operators. Requests of callers see control state only through
//! the views that the control thread publishes. Events and operators' queries reach
//! that thread through a bounded queue: when it is full, hints are dropped, and
//! queries and results of I/O wait until there is room.

pub mod control;
pub mod demo;
pub mod logging;
pub mod once;
pub mod operator;
pub mod process;
pub mod program;
mod requests;
mod socket;
mod spawn;

pub use control::{ControlHandle, ControlParts};
pub use process::{DaemonAddresses, DaemonError, RunningDaemon, start_daemon};
