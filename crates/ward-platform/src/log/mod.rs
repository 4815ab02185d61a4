//! Client of the platform's append-only log service.

mod client;
mod error;
mod queue;
mod snapshot;
mod wire;

pub use client::{LogClient, LogRead, LogTimeouts};
pub use error::{AppendCause, AppendError, ReadError, SnapshotError};
pub use queue::{AppendQueue, QueueLimits};
pub use snapshot::SnapshotImage;
