//! The coordinator's records in the store: its term, and the fleet record, which
//! survives a restart of all daemons. Only the holder of the term, or a daemon that
//! takes it over, writes them.

use slog::{Logger, warn};
use ward_adapter::{StoreClient, StoreTail};
use ward_fleet::{FleetRecord, TermRecord};
use ward_protocol::codec::decode;

/// A term record with its offset in the log.
pub(crate) struct StoredTerm {
    pub(crate) term: TermRecord,
    pub(crate) offset: u64,
}

/// The newest term record, if there is one and it can be decoded.
pub(crate) fn newest_term(tail: &StoreTail, logger: &Logger) -> Option<StoredTerm> {
    let key = StoreClient::coordinator_key();
    let record = tail.records.iter().rfind(|record| record.key == key)?;
    match decode::<TermRecord>(&record.value) {
        Ok(term) => Some(StoredTerm {
            term,
            offset: record.offset,
        }),
        Err(cause) => {
            warn!(logger, "coordinator: term record cannot be decoded"; "cause" => %cause);
            None
        }
    }
}

/// The newest fleet record, if there is one and it can be decoded.
pub(crate) fn stored_fleet(tail: &StoreTail, logger: &Logger) -> Option<FleetRecord> {
    let key = StoreClient::fleet_key();
    let record = tail.records.iter().rfind(|record| record.key == key)?;
    match decode(&record.value) {
        Ok(fleet) => Some(fleet),
        Err(cause) => {
            warn!(logger, "coordinator: fleet record cannot be decoded"; "cause" => %cause);
            None
        }
    }
}
