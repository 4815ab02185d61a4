//! Newest records of the control and plan streams, for peers that cannot reach the log
//! and for the operator API.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use ward_peer::StateRequest;
use ward_peer::transfer::{OffsetRecord, StreamRecords};
use ward_protocol::{LogOffset, LogStream, RawRecord};

/// Records kept per stream; the oldest are evicted.
const RING_CAPACITY: usize = 2_048;

/// The newest records of one stream, without gaps between their reads.
#[derive(Debug)]
pub struct RecordRing {
    stream: LogStream,
    records: VecDeque<RawRecord>,
    /// Offset just before the oldest record kept; also the newest offset of an empty ring.
    preceding: LogOffset,
}

impl RecordRing {
    /// An empty ring for a stream, as read up to offset zero.
    #[must_use]
    pub fn new(stream: LogStream) -> Self {
        Self {
            stream,
            records: VecDeque::new(),
            preceding: LogOffset::ZERO,
        }
    }

    /// Adds records of a read that began at `from`; a gap before them empties the ring
    /// first, and records that the ring already holds are skipped.
    pub fn push(&mut self, from: LogOffset, records: &[RawRecord]) {
        let newest = self
            .records
            .back()
            .map_or(self.preceding, |record| record.offset);
        if from.0 > newest.0 + 1 {
            self.records.clear();
            self.preceding = LogOffset(from.0 - 1);
        }
        let newest = newest.max(self.preceding);
        let newer = records.iter().filter(|record| record.offset > newest);
        self.records.extend(newer.cloned());
        while self.records.len() > RING_CAPACITY {
            if let Some(oldest) = self.records.pop_front() {
                self.preceding = oldest.offset;
            }
        }
    }

    /// The records after an offset; `None` when the ring begins later than that.
    #[must_use]
    pub fn records_after(&self, offset: LogOffset) -> Option<StreamRecords> {
        if offset < self.preceding {
            return None;
        }
        let records = self
            .records
            .iter()
            .filter(|record| record.offset > offset)
            .map(|record| OffsetRecord {
                offset: record.offset,
                bytes: record.bytes.clone(),
            })
            .collect();
        Some(StreamRecords {
            stream: self.stream,
            records,
        })
    }
}

/// The rings of both streams, shared by the log reader, the peer responder and the
/// operator API.
#[derive(Debug, Clone)]
pub struct SharedRings {
    rings: Arc<Mutex<RingPair>>,
}

#[derive(Debug)]
struct RingPair {
    control: RecordRing,
    plan: RecordRing,
}

impl Default for SharedRings {
    fn default() -> Self {
        let pair = RingPair {
            control: RecordRing::new(LogStream::Control),
            plan: RecordRing::new(LogStream::Plan),
        };
        Self {
            rings: Arc::new(Mutex::new(pair)),
        }
    }
}

impl SharedRings {
    /// Adds records of a read that began at `from`; only the control and plan streams
    /// are kept.
    pub fn push(&self, stream: LogStream, from: LogOffset, records: &[RawRecord]) {
        let mut pair = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        match stream {
            LogStream::Control => pair.control.push(from, records),
            LogStream::Plan => pair.plan.push(from, records),
            LogStream::Snapshot | LogStream::Requests(_) => {}
        }
    }

    /// The newest records of a stream, oldest first.
    #[must_use]
    pub fn records(&self, stream: LogStream) -> Vec<RawRecord> {
        let pair = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        match stream {
            LogStream::Control => pair.control.records.iter().cloned().collect(),
            LogStream::Plan => pair.plan.records.iter().cloned().collect(),
            LogStream::Snapshot | LogStream::Requests(_) => Vec::new(),
        }
    }

    /// The records that a peer lacks, plan records first; `None` when a ring no
    /// longer holds all of them.
    #[must_use]
    pub fn records_after(&self, request: StateRequest) -> Option<Vec<StreamRecords>> {
        let pair = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        let plan = pair.plan.records_after(request.plan)?;
        let control = pair.control.records_after(request.applied)?;
        Some(vec![plan, control])
    }
}
