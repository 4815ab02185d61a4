//! Clients of the platform: the append-only log service and the list of hosts.
//!
//! Each wire format has its own module (`wire`); supporting another platform
//! means replacing only these modules. A failed append reports whether its
//! records are certainly not stored or whether only reading the log can show
//! it; nothing here retries an append. Offsets count from 1, so that 0 can mean
//! "before the first record".

pub mod hosts;
pub mod log;

pub use hosts::{HostClient, HostsError};
pub use log::{
    AppendCause, AppendError, AppendQueue, LogClient, LogRead, LogTimeouts, QueueLimits, ReadError,
    SnapshotError, SnapshotImage,
};
