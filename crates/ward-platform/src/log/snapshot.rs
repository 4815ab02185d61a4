//! Snapshots of the control state, stored in parts on their own stream.
//!
//! Several daemons may write snapshots at the same time, one may crash between
//! two parts, and retention may cut the stream at any record. A snapshot is
//! therefore used only when all its parts are found; records that cannot be
//! decoded are skipped.

use indexmap::IndexMap;
use ward_protocol::codec::{decode, encode};
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{LogOffset, LogStream, RawRecord, RecordId, SnapshotPart, TimeSpan};

use super::client::LogClient;
use super::error::{ReadError, SnapshotError};

/// State bytes in one part; the last part may have fewer.
const PART_BYTES: usize = 256 << 10;
/// Records in one window; windows are read from the end of the stream backwards.
const WINDOW_RECORDS: u64 = 16;

/// A complete snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Id that all parts of this snapshot carry.
    pub snapshot: RecordId,
    /// Control offset up to which records are included.
    pub control: LogOffset,
    /// Plan offset up to which records are included.
    pub plan: LogOffset,
    /// The encoded control state.
    pub bytes: Vec<u8>,
}

/// The parts of one snapshot found so far, by their index.
struct PartSet {
    control: LogOffset,
    plan: LogOffset,
    count: u16,
    parts: IndexMap<u16, Vec<u8>>,
}

impl LogClient {
    /// Reads the newest complete snapshot; `None` if the stream has none.
    ///
    /// # Errors
    /// The stream cannot be read.
    pub async fn newest_snapshot(&self) -> Result<Option<SnapshotImage>, ReadError> {
        let past_end = LogOffset(u64::MAX);
        let end_read = self
            .read(LogStream::Snapshot, past_end, 1, TimeSpan::ZERO)
            .await?;
        let mut part_sets = IndexMap::new();
        let mut end = end_read.end.0.saturating_add(1);
        while end > 1 {
            let from = end.saturating_sub(WINDOW_RECORDS).max(1);
            let window = self.read_window(from, end).await?;
            window
                .records
                .iter()
                .for_each(|record| add_part(&mut part_sets, record));
            if let Some(image) = take_newest_complete(&mut part_sets) {
                return Ok(Some(image));
            }
            if window.reaches_cut {
                break;
            }
            end = from;
        }
        Ok(None)
    }

    /// Appends a snapshot, one part per append.
    ///
    /// # Errors
    /// A part is not acknowledged; readers ignore the incomplete snapshot.
    pub async fn write_snapshot(&self, image: &SnapshotImage) -> Result<(), SnapshotError> {
        for part in split(image)? {
            let record = encode(&part)?;
            self.append(LogStream::Snapshot, vec![record]).await?;
        }
        Ok(())
    }

    /// Reads the records in `from..end`.
    async fn read_window(&self, from: u64, end: u64) -> Result<SnapshotWindow, ReadError> {
        let mut records: Vec<RawRecord> = Vec::new();
        let mut reaches_cut = false;
        let mut next = from;
        while next < end {
            let limit = usize::try_from(end - next).unwrap_or(usize::MAX);
            let read = self
                .read(LogStream::Snapshot, LogOffset(next), limit, TimeSpan::ZERO)
                .await?;
            reaches_cut |= read.cut.is_some();
            let Some(last) = read.records.last() else {
                break;
            };
            next = last.offset.0.saturating_add(1);
            records.extend(read.records);
        }
        Ok(SnapshotWindow {
            records,
            reaches_cut,
        })
    }
}

/// Records of one window, and whether retention has removed older ones.
struct SnapshotWindow {
    records: Vec<RawRecord>,
    reaches_cut: bool,
}

fn add_part(part_sets: &mut IndexMap<RecordId, PartSet>, record: &RawRecord) {
    let Ok(part) = decode::<SnapshotPart>(&record.bytes) else {
        return;
    };
    if part.format > RECORD_FORMAT || part.index >= part.count {
        return;
    }
    let set = part_sets.entry(part.snapshot).or_insert_with(|| PartSet {
        control: part.control,
        plan: part.plan,
        count: part.count,
        parts: IndexMap::new(),
    });
    let fits = set.control == part.control && set.plan == part.plan && set.count == part.count;
    if fits {
        set.parts.insert(part.index, part.bytes);
    }
}

/// Removes and returns the complete snapshot with the highest offsets.
fn take_newest_complete(part_sets: &mut IndexMap<RecordId, PartSet>) -> Option<SnapshotImage> {
    let (id, _) = part_sets
        .iter()
        .filter(|(_, set)| set.parts.len() == usize::from(set.count))
        .max_by_key(|(_, set)| (set.control, set.plan))?;
    let id = *id;
    let mut set = part_sets.swap_remove(&id)?;
    set.parts.sort_unstable_keys();
    Some(SnapshotImage {
        snapshot: id,
        control: set.control,
        plan: set.plan,
        bytes: set.parts.into_values().flatten().collect(),
    })
}

fn split(image: &SnapshotImage) -> Result<Vec<SnapshotPart>, SnapshotError> {
    let length = image.bytes.len();
    // An empty state still needs one part.
    let count = length.div_ceil(PART_BYTES).max(1);
    let count = u16::try_from(count).map_err(|_| SnapshotError::Size(length))?;
    let parts = (0..count).map(|index| {
        let start = usize::from(index) * PART_BYTES;
        let end = length.min(start + PART_BYTES);
        SnapshotPart {
            format: RECORD_FORMAT,
            snapshot: image.snapshot,
            control: image.control,
            plan: image.plan,
            index,
            count,
            bytes: image.bytes[start..end].to_vec(),
        }
    });
    Ok(parts.collect())
}
