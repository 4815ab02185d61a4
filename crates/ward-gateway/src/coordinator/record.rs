//! The records of the coordinator in the store: its term, and what outlives all
//! daemons. Only the holder of the term writes either.

use slog::{Logger, warn};
use ward_adapter::{StoreClient, StoreTail};
use ward_fleet::{FleetRecord, TermRecord};
use ward_protocol::codec::decode;

/// The newest term, with its place in the log.
pub(crate) struct StoredTerm {
    pub(crate) term: TermRecord,
    pub(crate) offset: u64,
}

/// The newest term, if there is one that can be read.
pub(crate) fn newest_term(tail: &StoreTail, logger: &Logger) -> Option<StoredTerm> {
    let key = StoreClient::coordinator_key();
    let record = tail.records.iter().rfind(|record| record.key == key)?;
    match decode::<TermRecord>(&record.value) {
        Ok(term) => Some(StoredTerm {
            term,
            offset: record.offset,
        }),
        Err(cause) => {
            warn!(logger, "coordinator: bad record"; "cause" => %cause);
            None
        }
    }
}

/// What outlives all daemons, if it is there and can be read.
pub(crate) fn stored_fleet(tail: &StoreTail, logger: &Logger) -> Option<FleetRecord> {
    let key = StoreClient::fleet_key();
    let record = tail.records.iter().rfind(|record| record.key == key)?;
    match decode(&record.value) {
        Ok(fleet) => Some(fleet),
        Err(cause) => {
            warn!(logger, "coordinator: bad record of the fleet"; "cause" => %cause);
            None
        }
    }
}
