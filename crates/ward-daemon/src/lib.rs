//! One daemon: the other crates wired together.
//!
//! A daemon has one control thread, which owns [`ward_control::ControlCore`] and
//! does the I/O that the core asks for, and a pool of traffic threads, which
//! serve callers and operators and see control state only through published
//! views. The two meet in a bounded channel of events; hints are dropped when it
//! is full, results of I/O wait for room.

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
