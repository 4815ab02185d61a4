//! Clients of the platform: the append-only log service and the list of hosts.
//!
//! Each wire format has one module of its own (`wire`), so that another
//! platform's format replaces that module and nothing else. An append says
//! whether its records are certainly not stored, or whether only reading the
//! log can tell; nothing here repeats an append. Offsets count from 1, so that
//! 0 can mean "before all".

pub mod hosts;
pub mod log;

pub use hosts::{HostClient, HostsError};
pub use log::{
    AppendCause, AppendError, AppendQueue, LogClient, LogRead, LogTimeouts, QueueLimits, ReadError,
    SnapshotError, SnapshotImage,
};
