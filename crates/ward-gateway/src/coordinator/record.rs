//! The records of the coordinator in the store: its term, and which requests are
//! blocked since they crash engines. Only the holder of the term writes either.

use slog::{Logger, warn};
use ward_adapter::{StoreClient, StoreTail};
use ward_fleet::{BlockRecord, CrashMark, TermRecord};
use ward_protocol::WallTime;
use ward_protocol::codec::decode;

/// The newest term, with its place in the log.
pub(crate) struct SeenRecord {
    pub(crate) term: TermRecord,
    pub(crate) offset: u64,
}

/// The newest term, if there is one that can be read.
pub(crate) fn newest_term(tail: &StoreTail, logger: &Logger) -> Option<SeenRecord> {
    let key = StoreClient::coordinator_key();
    let record = tail.records.iter().rfind(|record| record.key == key)?;
    match decode::<TermRecord>(&record.value) {
        Ok(term) => Some(SeenRecord {
            term,
            offset: record.offset,
        }),
        Err(cause) => {
            warn!(logger, "coordinator: bad record"; "cause" => %cause);
            None
        }
    }
}

/// The crashes of blocked requests.
pub(crate) fn stored_crashes(tail: &StoreTail, logger: &Logger) -> Vec<CrashMark> {
    let key = StoreClient::crashes_key();
    let Some(record) = tail.records.iter().rfind(|record| record.key == key) else {
        return Vec::new();
    };
    match decode::<BlockRecord>(&record.value) {
        Ok(blocks) => blocks.into_marks(WallTime::now()),
        Err(cause) => {
            warn!(logger, "crash: bad record"; "cause" => %cause);
            Vec::new()
        }
    }
}
