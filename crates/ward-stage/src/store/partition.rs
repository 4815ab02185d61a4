//! One partition of the stand-in store, and how much of it one answer holds.

use indexmap::IndexMap;
use ward_adapter::served::{StoredRecord, stored_bytes};

/// Maximum number of records in a page of the newest ones.
const MAX_PAGE_RECORDS: usize = 500;
/// Maximum length of the records in such a page.
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Default)]
pub(super) struct Partition {
    pub(super) records: Vec<StoredRecord>,
    pub(super) end: u64,
}

impl Partition {
    /// Appends one record.
    pub(super) fn append(&mut self, key: String, value: Vec<u8>) {
        let offset = self.end;
        self.records.push(StoredRecord { key, value, offset });
        self.end += 1;
    }

    /// The oldest records from an offset on, as many as fit.
    pub(super) fn records_from(&self, from: u64, max_bytes: usize) -> &[StoredRecord] {
        let skipped = self.records.partition_point(|record| record.offset < from);
        let rest = &self.records[skipped..];
        &rest[..fitting_count(rest, max_bytes)]
    }

    /// A page of the newest records: the first one, or the one that follows a key; and
    /// whether more follow.
    pub(super) fn newest_page(&self, after: Option<&str>) -> (Vec<StoredRecord>, bool) {
        let records = self.newest_records();
        let former = after.and_then(|key| records.iter().position(|record| record.key == key));
        let rest = &records[former.map_or(0, |position| position + 1)..];
        let count = fitting_count(rest, MAX_PAGE_BYTES).min(MAX_PAGE_RECORDS);
        (rest[..count].to_vec(), count < rest.len())
    }

    /// The newest record of each key, without removed keys, whose newest value is
    /// empty.
    pub(super) fn newest_records(&self) -> Vec<StoredRecord> {
        let mut newest: IndexMap<&str, &StoredRecord> = IndexMap::new();
        for record in &self.records {
            newest.insert(&record.key, record);
        }
        let live = newest
            .into_values()
            .filter(|record| !record.value.is_empty());
        live.cloned().collect()
    }

    /// Offset from which on no record is missing: that of the first record, or
    /// the end if compaction has left gaps.
    pub(super) fn first_offset(&self) -> u64 {
        let record_count = self.records.len() as u64;
        let is_contiguous = self
            .records
            .first()
            .is_some_and(|record| record.offset + record_count == self.end);
        if is_contiguous {
            self.end - record_count
        } else {
            self.end
        }
    }
}

/// Number of records, from the first on, whose total length is at most `max_bytes`; one if
/// not even the first fits.
fn fitting_count(records: &[StoredRecord], max_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|record| {
        bytes += stored_bytes(record);
        bytes <= max_bytes
    });
    fitting.count().max(1).min(records.len())
}
