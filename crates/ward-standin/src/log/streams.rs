//! Stored records and their history, by stream.

use std::collections::VecDeque;

use indexmap::IndexMap;
use tokio::time::Instant;
use ward_protocol::{TimeSpan, WallTime};

use super::faults::LogFaults;
use super::history::{AppendEntry, LogHistory, StreamHistory};

const RATE_WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// A record with its offset, counted from 0.
#[derive(Debug, Clone)]
pub(super) struct StoredRecord {
    pub(super) offset: u64,
    pub(super) data: Vec<u8>,
}

/// Result of a read: records and the bounds of the stream.
#[derive(Debug)]
pub(super) struct ReadSlice {
    pub(super) records: Vec<StoredRecord>,
    pub(super) end: u64,
    pub(super) start: u64,
}

#[derive(Debug, Default)]
struct StoredStream {
    records: VecDeque<StoredRecord>,
    start: u64,
    end: u64,
    history: StreamHistory,
}

impl StoredStream {
    /// Deletes all but the newest `keep` records.
    ///
    /// `start` moves only past deleted records, not past offsets that the `skip` fault left out.
    fn keep_newest(&mut self, keep: u64) {
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        let surplus = self.records.len().saturating_sub(keep);
        if let Some(last) = self.records.drain(..surplus).next_back() {
            self.start = last.offset + 1;
        }
    }
}

/// All streams of a log.
#[derive(Debug, Default)]
pub(super) struct StreamSet {
    streams: IndexMap<String, StoredStream>,
    recent_appends: VecDeque<Instant>,
}

impl StreamSet {
    /// Counts an append against the rate limit; returns false if the limit is exceeded.
    pub(super) fn admit(&mut self, name: &str, rate: Option<u32>) -> bool {
        let Some(rate) = rate else {
            return true;
        };
        let now = Instant::now();
        while self
            .recent_appends
            .front()
            .is_some_and(|first| now - *first >= RATE_WINDOW.duration())
        {
            self.recent_appends.pop_front();
        }
        if self.recent_appends.len() >= rate as usize {
            self.stream(name).history.refused += 1;
            return false;
        }
        self.recent_appends.push_back(now);
        true
    }

    /// Appends records; returns the first offset and the next free one.
    pub(super) fn append(
        &mut self,
        name: &str,
        batch: Vec<Vec<u8>>,
        faults: &LogFaults,
        answered: bool,
    ) -> (u64, u64) {
        let stream = self.stream(name);
        let first = stream.end + faults.skip;
        let count = batch.len() as u64;
        let bytes = batch.iter().map(|data| data.len() as u64).sum();
        let numbered = (first..).zip(batch);
        stream
            .records
            .extend(numbered.map(|(offset, data)| StoredRecord { offset, data }));
        stream.end = first + count;
        stream.history.appends.push(AppendEntry {
            at: WallTime::now(),
            first,
            records: count,
            bytes,
            answered,
        });
        (first, stream.end)
    }

    /// Reads up to `limit` records from an offset on, subject to the faults `keep` and `stale_by`.
    pub(super) fn read(
        &mut self,
        name: &str,
        from: u64,
        limit: usize,
        faults: &LogFaults,
    ) -> ReadSlice {
        let stream = self.stream(name);
        if let Some(keep) = faults.keep {
            stream.keep_newest(keep);
        }
        let end = stream.end.saturating_sub(faults.stale_by);
        let first = stream
            .records
            .partition_point(|record| record.offset < from);
        let records: Vec<_> = stream
            .records
            .range(first..)
            .take_while(|record| record.offset < end)
            .take(limit)
            .cloned()
            .collect();
        ReadSlice {
            records,
            end,
            start: stream.start,
        }
    }

    /// Records an answered read in the history.
    pub(super) fn record_read(&mut self, name: &str, slice: &ReadSlice) {
        let history = &mut self.stream(name).history;
        history.reads += 1;
        let sizes = slice.records.iter().map(|record| record.data.len() as u64);
        history.read_bytes += sizes.sum::<u64>();
    }

    pub(super) fn history(&self) -> LogHistory {
        let streams = self
            .streams
            .iter()
            .map(|(name, stream)| (name.clone(), stream.history.clone()))
            .collect();
        LogHistory { streams }
    }

    fn stream(&mut self, name: &str) -> &mut StoredStream {
        self.streams.entry(name.to_owned()).or_default()
    }
}
