//! Positions in the platform's store.
//!
//! The store may come back from an older copy of itself. Offsets are then given out again,
//! so a position names the era that its offset belongs to.

use serde::{Deserialize, Serialize};
use ward_protocol::number_id;

number_id!(
    /// Number that rises by one whenever the store comes back from an older copy.
    StoreEra, "store era"
);

/// An offset in a partition of the store; later eras come after earlier ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    /// Era in which the store gave out the offset.
    pub era: StoreEra,
    /// Offset of a record, or of the next one.
    pub offset: u64,
}

/// Position at which the next read of a partition begins. Its holder has got all earlier
/// records, or newer ones with the same keys.
///
/// That is the partition's end only if no record was left out: an answer to a read holds no
/// more than the store allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReadCursor(pub StorePosition);
