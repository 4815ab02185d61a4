//! History of the log service, for checks by tests.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::WallTime;

/// One append that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntry {
    /// Time at which the records were stored.
    pub at: WallTime,
    /// Offset of the append's first record, counted from 0.
    pub first: u64,
    /// Number of records in the append.
    pub records: u64,
    /// Total size of the records in bytes.
    pub bytes: u64,
    /// Whether the complete answer was sent; false if a fault cut it.
    pub answered: bool,
}

/// Appends and reads of one stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamHistory {
    /// Appends in offset order.
    pub appends: Vec<AppendEntry>,
    /// Number of answered reads.
    pub reads: u64,
    /// Total size in bytes of the records returned by reads.
    pub read_bytes: u64,
    /// Appends refused because of the rate limit.
    pub refused: u64,
}

/// History of a log service, answered to `GET /history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogHistory {
    /// Streams by name.
    pub streams: IndexMap<String, StreamHistory>,
}
