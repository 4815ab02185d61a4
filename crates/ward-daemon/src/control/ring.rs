//! The newest records of the streams, for peers that have lost the log.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use ward_peer::StateRequest;
use ward_peer::transfer::{OffsetRecord, StreamRecords};
use ward_protocol::{LogOffset, LogStream, RawRecord};

/// Records kept per stream.
const RING_CAPACITY: usize = 2_048;

/// The newest records of one stream, without gaps.
#[derive(Debug)]
pub struct RecordRing {
    stream: LogStream,
    records: VecDeque<RawRecord>,
    /// Offset after which the records follow.
    preceding: LogOffset,
}

impl RecordRing {
    /// An empty ring for a stream.
    #[must_use]
    pub fn new(stream: LogStream) -> Self {
        Self {
            stream,
            records: VecDeque::new(),
            preceding: LogOffset::ZERO,
        }
    }

    /// Adds records that were read from `from` on.
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

    /// The records after an offset; nothing when the ring does not reach back so far.
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

/// The rings of both streams, shared by their reader and the state server.
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
    /// Adds records of a stream that were read from `from` on.
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

    /// What follows a peer's state, plan records first; nothing when the rings
    /// do not reach back so far.
    #[must_use]
    pub fn records_after(&self, request: StateRequest) -> Option<Vec<StreamRecords>> {
        let pair = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        let plan = pair.plan.records_after(request.plan)?;
        let control = pair.control.records_after(request.applied)?;
        Some(vec![plan, control])
    }
}
