//! What the log remembers for checks.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::WallTime;

/// One append that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntry {
    /// When.
    pub at: WallTime,
    /// Offset of its first record, counted from 0.
    pub first: u64,
    /// Number of its records.
    pub records: u64,
    /// Bytes of its records.
    pub bytes: u64,
    /// Whether its whole answer was sent.
    pub answered: bool,
}

/// What happened to one stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamHistory {
    /// Appends in order.
    pub appends: Vec<AppendEntry>,
    /// Number of reads answered.
    pub reads: u64,
    /// Bytes of the records answered to reads.
    pub read_bytes: u64,
    /// Appends refused for their rate.
    pub refused: u64,
}

/// What happened to a log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogHistory {
    /// Streams by name.
    pub streams: IndexMap<String, StreamHistory>,
}
