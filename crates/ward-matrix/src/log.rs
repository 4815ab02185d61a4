//! Fake log in memory.

use ward_protocol::{ControlEnvelope, LogOffset, LogStream, PlanEnvelope, RawRecord, codec};
use ward_state::{ClusterState, StateDigest};

use indexmap::IndexMap;

/// A log that applies each record immediately to a reference state.
#[derive(Debug, Default)]
pub struct FakeLog {
    plan: Vec<RawRecord>,
    control: Vec<RawRecord>,
    snapshot: Option<Vec<u8>>,
    /// State of a daemon that has read all records.
    pub reference: ClusterState,
    /// Digest of the reference state by control offset.
    pub digests: IndexMap<LogOffset, StateDigest>,
    /// Number of control records that the reference state accepted.
    pub accepted: u64,
    next: u64,
}

/// Records and end offset that a read returns.
#[derive(Debug)]
pub struct LogReadResult {
    /// Records from the requested offset on.
    pub records: Vec<RawRecord>,
    /// Newest offset visible to the read; zero if there is none.
    pub end: LogOffset,
}

impl FakeLog {
    fn next_offset(&mut self) -> LogOffset {
        // Some offsets are skipped, as the platform's log service may do.
        self.next += if self.next % 7 == 6 { 2 } else { 1 };
        LogOffset(self.next)
    }

    /// Appends a control record and applies it to the reference state.
    ///
    /// A record that cannot be encoded is stored without bytes.
    pub fn append_control(&mut self, envelope: &ControlEnvelope) {
        let offset = self.next_offset();
        let bytes = codec::encode(envelope).unwrap_or_default();
        self.control.push(RawRecord { offset, bytes });
        let outcome = self.reference.apply_control(offset, envelope.clone());
        if outcome == ward_state::ApplyOutcome::Applied {
            self.accepted += 1;
        }
        if let Ok(digest) = self.reference.digest() {
            self.digests.insert(offset, digest);
        }
    }

    /// Appends bytes to the control stream that are not a valid record.
    pub fn append_garbage(&mut self) {
        let offset = self.next_offset();
        let bytes = vec![1, 0xff, 0xff];
        self.control.push(RawRecord { offset, bytes });
        self.reference.skip_control(offset);
        if let Ok(digest) = self.reference.digest() {
            self.digests.insert(offset, digest);
        }
    }

    /// Appends a plan record and applies it to the reference state.
    pub fn append_plan(&mut self, envelope: &PlanEnvelope) {
        let offset = self.next_offset();
        let bytes = codec::encode(envelope).unwrap_or_default();
        self.plan.push(RawRecord { offset, bytes });
        self.reference.apply_plan(offset, envelope.clone());
    }

    /// Stores a snapshot in place of the one before.
    pub fn store_snapshot(&mut self, bytes: Vec<u8>) {
        self.snapshot = Some(bytes);
    }

    /// The stored snapshot, if any.
    #[must_use]
    pub const fn snapshot(&self) -> Option<&Vec<u8>> {
        self.snapshot.as_ref()
    }

    /// Number of control records after an offset.
    #[must_use]
    pub fn control_after(&self, offset: LogOffset) -> usize {
        let after = self.control.iter().rev();
        after.take_while(|record| record.offset > offset).count()
    }

    /// Reads a stream from an offset on, without its newest `lag` records.
    #[must_use]
    pub fn read(&self, stream: LogStream, from: LogOffset, lag: usize) -> LogReadResult {
        let records = match stream {
            LogStream::Plan => &self.plan,
            LogStream::Control | LogStream::Snapshot | LogStream::Requests(_) => &self.control,
        };
        let visible = &records[..records.len().saturating_sub(lag)];
        let end = visible
            .last()
            .map_or(LogOffset::ZERO, |record| record.offset);
        let records = visible.iter().filter(|record| record.offset >= from);
        LogReadResult {
            records: records.cloned().collect(),
            end,
        }
    }
}
