//! The coordinator's records in the store: its term, and the fleet record, which
//! survives a restart of all daemons. Only the holder of the term, or a daemon that
//! takes it over, writes them.

use slog::{Logger, warn};
use ward_adapter::{StoreClient, StoreSnapshot};
use ward_fleet::{FleetRecord, StorePosition, TermRecord};
use ward_protocol::codec::decode;

/// The newest term record as the store gave it.
pub(crate) struct StoredTerm {
    /// `None` if the record cannot be decoded.
    pub(crate) term: Option<TermRecord>,
    /// Where the record is, in the era in which the store gave it.
    pub(crate) position: StorePosition,
}

impl StoredTerm {
    /// The record, unless it was written before the store came back from a copy.
    pub(crate) fn current(&self) -> Option<&TermRecord> {
        let term = self.term.as_ref();
        term.filter(|term| term.era == self.position.era)
    }

    /// Whether the holder gave up the term with this record.
    pub(crate) fn is_released(&self) -> bool {
        self.current().is_some_and(|term| term.released)
    }
}

/// The newest term record, if there is one.
pub(crate) fn newest_term(snapshot: &StoreSnapshot, logger: &Logger) -> Option<StoredTerm> {
    let key = StoreClient::coordinator_key();
    let record = snapshot.records.iter().rfind(|record| record.key == key)?;
    let term = decode::<TermRecord>(&record.value);
    if let Err(cause) = &term {
        warn!(logger, "coordinator: term record cannot be decoded"; "cause" => %cause);
    }
    let position = StorePosition {
        era: snapshot.end.era,
        offset: record.offset,
    };
    Some(StoredTerm {
        term: term.ok(),
        position,
    })
}

/// The newest fleet record, if there is one and it can be decoded.
pub(crate) fn stored_fleet(snapshot: &StoreSnapshot, logger: &Logger) -> Option<FleetRecord> {
    let key = StoreClient::fleet_key();
    let record = snapshot.records.iter().rfind(|record| record.key == key)?;
    match decode(&record.value) {
        Ok(fleet) => Some(fleet),
        Err(cause) => {
            warn!(logger, "coordinator: fleet record cannot be decoded"; "cause" => %cause);
            None
        }
    }
}
