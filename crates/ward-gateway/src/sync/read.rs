//! What a read of the engines from the store contains.

use ward_adapter::{StoreError, StoreRecord, StoreTopic};
use ward_fleet::ReadCursor;

use super::cut::record_cut_read;
use crate::gateway::Gateway;

/// Result of one read of engines.
pub(super) struct EngineRead {
    pub(super) records: Vec<StoreRecord>,
    /// Where the next read begins; `None` if some records before that are unread.
    pub(super) next: Option<ReadCursor>,
    pub(super) scope: ReadScope,
}

/// What a read of engines contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadScope {
    /// What was written since the last read.
    Changes,
    /// The first part of that; the store left this number of records out.
    FirstChanges { left_out: u64 },
    /// The newest entries of some engines.
    FirstPage,
    /// The newest entries of all engines, so that missing ones are gone.
    All,
}

impl ReadScope {
    /// Whether the records are the newest entries, however old, rather than changes.
    pub(super) const fn is_snapshot(self) -> bool {
        matches!(self, Self::FirstPage | Self::All)
    }
}

/// Reads the changes from a cursor on.
pub(super) async fn read_changes(
    gateway: &Gateway,
    from: ReadCursor,
) -> Result<EngineRead, StoreError> {
    let store = &gateway.store;
    let changes = store.read(StoreTopic::Engines, from).await?;
    record_cut_read(gateway, StoreTopic::Engines, &changes);
    let scope = match changes.left_out() {
        0 => ReadScope::Changes,
        left_out => ReadScope::FirstChanges { left_out },
    };
    Ok(EngineRead {
        records: changes.records,
        next: Some(changes.next),
        scope,
    })
}
