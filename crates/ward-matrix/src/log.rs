//! A log in memory.

use ward_protocol::{ControlEnvelope, LogOffset, LogStream, PlanEnvelope, RawRecord, codec};
use ward_state::{ClusterState, StateDigest};

use indexmap::IndexMap;

/// A log whose every record is applied at once to a reference state.
#[derive(Debug, Default)]
pub struct FakeLog {
    plan: Vec<RawRecord>,
    control: Vec<RawRecord>,
    snapshot: Option<Vec<u8>>,
    /// What a daemon that has read everything knows.
    pub reference: ClusterState,
    /// Digest of the reference state by control offset.
    pub digests: IndexMap<LogOffset, StateDigest>,
    /// Control records accepted.
    pub accepted: u64,
    next: u64,
}

/// What a read returns.
#[derive(Debug)]
pub struct LogSample {
    /// Records from the offset asked for.
    pub records: Vec<RawRecord>,
    /// Newest offset.
    pub end: LogOffset,
}

impl FakeLog {
    fn next_offset(&mut self) -> LogOffset {
        // Offsets skip now and then, as the platform's may.
        self.next += if self.next % 7 == 6 { 2 } else { 1 };
        LogOffset(self.next)
    }

    /// Appends a control record.
    ///
    /// # Panics
    /// When the record cannot be encoded.
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

    /// Appends bytes to the control stream that are no record.
    pub fn append_garbage(&mut self) {
        let offset = self.next_offset();
        let bytes = vec![1, 0xff, 0xff];
        self.control.push(RawRecord { offset, bytes });
        self.reference.skip_control(offset);
        if let Ok(digest) = self.reference.digest() {
            self.digests.insert(offset, digest);
        }
    }

    /// Appends a plan record.
    pub fn append_plan(&mut self, envelope: &PlanEnvelope) {
        let offset = self.next_offset();
        let bytes = codec::encode(envelope).unwrap_or_default();
        self.plan.push(RawRecord { offset, bytes });
        self.reference.apply_plan(offset, envelope.clone());
    }

    /// Keeps a snapshot.
    pub fn store_snapshot(&mut self, bytes: Vec<u8>) {
        self.snapshot = Some(bytes);
    }

    /// The newest snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> Option<&Vec<u8>> {
        self.snapshot.as_ref()
    }

    /// Control records after an offset.
    #[must_use]
    pub fn control_after(&self, offset: LogOffset) -> usize {
        let after = self.control.iter().rev();
        after.take_while(|record| record.offset > offset).count()
    }

    /// Reads a stream; `lag` records at its end stay unseen.
    #[must_use]
    pub fn read(&self, stream: LogStream, from: LogOffset, lag: usize) -> LogSample {
        let records = match stream {
            LogStream::Plan => &self.plan,
            LogStream::Control | LogStream::Snapshot | LogStream::Requests(_) => &self.control,
        };
        let seen = &records[..records.len().saturating_sub(lag)];
        let end = seen.last().map_or(LogOffset::ZERO, |record| record.offset);
        let records = seen.iter().filter(|record| record.offset >= from);
        LogSample {
            records: records.cloned().collect(),
            end,
        }
    }
}
