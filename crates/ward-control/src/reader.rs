//! Reads the plan and control streams and renews the read lease.

use std::collections::VecDeque;

use ward_protocol::{
    CodecError, ControlEnvelope, ControlRecord, LogOffset, LogStream, MonoTime, PlanEnvelope,
    RawRecord, TimeSpan, codec, record::RECORD_FORMAT,
};
use ward_state::{ApplyOutcome, PlanOutcome};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::defect::DefectKind;
use crate::models::load_times::ReservedReplica;

/// Time after which an unanswered read is retried.
const READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Minimum time between reads, however urgent: a log whose reads keep ending early
/// must not be polled in a busy loop.
const URGENT_INTERVAL: TimeSpan = TimeSpan::from_millis(5);
/// Delay before a failed read is retried.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Progress of the reads of one stream.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    /// Start of the read in progress.
    read_started: Option<MonoTime>,
    /// Start of the last read, answered or not.
    last_started: Option<MonoTime>,
    /// When the last read failed; `None` after a success.
    failed_at: Option<MonoTime>,
    /// Highest end of the stream that any read reported.
    newest_seen: LogOffset,
    /// Whether to read again after `URGENT_INTERVAL`.
    urgent: bool,
}

/// Reads of both streams, records that wait to be applied, and the read lease.
#[derive(Debug, Default)]
pub(crate) struct LogReader {
    pub(crate) control: StreamCursor,
    pub(crate) plan: StreamCursor,
    /// Start of the last read that reached the end of the log and was applied completely.
    pub(crate) lease_start: Option<MonoTime>,
    /// Whether a record of a newer format was read; nothing after it is applied.
    pub(crate) newer_format: bool,
    /// Control records read but not applied yet, normally because they need a plan that is
    /// not read yet.
    pending: VecDeque<RawRecord>,
    /// Start of the last control read and the end of the stream that it reported, until
    /// everything up to that end is applied.
    pending_renewal: Option<(MonoTime, LogOffset)>,
}

/// A decoded record, or why it can't be used.
enum DecodedRecord<T> {
    Known(T),
    Malformed,
    Newer,
}

impl StreamCursor {
    /// Whether the last read failed.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    fn is_due(&self, now: MonoTime, interval: TimeSpan) -> bool {
        if let Some(read_started) = self.read_started {
            return now.since(read_started) >= READ_TIMEOUT;
        }
        if let Some(failed_at) = self.failed_at {
            return now.since(failed_at) >= RETRY_DELAY;
        }
        let delay = if self.urgent {
            URGENT_INTERVAL
        } else {
            interval
        };
        self.last_started
            .is_none_or(|last| now.since(last) >= delay)
    }

    fn begin_read(&mut self, now: MonoTime) {
        self.read_started = Some(now);
        self.last_started = Some(now);
        self.urgent = false;
    }

    fn record_read_answer(&mut self) {
        self.read_started = None;
        self.failed_at = None;
    }

    fn record_read_failure(&mut self, now: MonoTime) {
        self.read_started = None;
        self.failed_at = Some(now);
    }
}

impl LogReader {
    /// Highest end of the control stream that any read reported.
    pub(crate) const fn newest_control_seen(&self) -> LogOffset {
        self.control.newest_seen
    }

    /// Handles an end of the control stream that a peer reported: makes the next read urgent
    /// if it is higher than any end that a read reported.
    pub(crate) fn handle_reported_end(&mut self, end: LogOffset) {
        if end > self.control.newest_seen {
            self.control.urgent = true;
        }
    }

    /// Makes the next read of the control stream urgent.
    pub(crate) fn read_soon(&mut self) {
        self.control.urgent = true;
    }

    /// Offset of the newest control record read, applied or not.
    fn newest_read(&self, applied: LogOffset) -> LogOffset {
        let pending = self.pending.back().map_or(applied, |record| record.offset);
        pending.max(applied)
    }
}

fn decode_record<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    format: impl Fn(&T) -> u16,
) -> DecodedRecord<T> {
    let result: Result<T, CodecError> = codec::decode(bytes);
    // The format number comes first, so it can be decoded even if the rest can't.
    let leading = codec::decode_prefix::<u16>(bytes);
    match (result, leading) {
        (_, Ok(number)) if number > RECORD_FORMAT => DecodedRecord::Newer,
        (Ok(record), _) if format(&record) <= RECORD_FORMAT => DecodedRecord::Known(record),
        (Ok(_) | Err(_), _) => DecodedRecord::Malformed,
    }
}

impl ControlCore {
    /// Reads the streams whose read is due; fetches from a peer while the control stream can't
    /// be read.
    pub(crate) fn run_reads(&mut self) {
        if !self.start.may_read() {
            return;
        }
        let interval = self.config.lease.read_interval;
        if self.reader.control.is_due(self.now, interval) {
            self.reader.control.begin_read(self.now);
            let from = self.reader.newest_read(self.state.applied());
            self.actions.push(ControlAction::Read {
                stream: LogStream::Control,
                from: LogOffset(from.0 + 1),
            });
        }
        if self.reader.plan.is_due(self.now, interval) {
            self.reader.plan.begin_read(self.now);
            self.actions.push(ControlAction::Read {
                stream: LogStream::Plan,
                from: LogOffset(self.state.plans().applied().0 + 1),
            });
        }
        if self.reader.control.is_failing() {
            self.fetch_from_peer();
        }
    }

    pub(crate) fn handle_read(
        &mut self,
        stream: LogStream,
        started: MonoTime,
        records: Vec<RawRecord>,
        end: LogOffset,
        cut: Option<LogOffset>,
    ) {
        match stream {
            LogStream::Plan => {
                self.reader.plan.record_read_answer();
                self.reader.plan.newest_seen = self.reader.plan.newest_seen.max(end);
                if cut.is_some_and(|cut| cut.0 > self.state.plans().applied().0 + 1) {
                    self.start.request_snapshot();
                    return;
                }
                self.apply_plans(records);
            }
            LogStream::Control => self.handle_control_read(started, records, end, cut),
            LogStream::Snapshot | LogStream::Requests(_) => {}
        }
    }

    fn handle_control_read(
        &mut self,
        started: MonoTime,
        records: Vec<RawRecord>,
        end: LogOffset,
        cut: Option<LogOffset>,
    ) {
        self.reader.control.record_read_answer();
        if cut.is_some_and(|cut| cut.0 > self.state.applied().0 + 1) {
            self.start.request_snapshot();
            return;
        }
        // Records received from peers count as seen, too.
        let stale = end < self.reader.control.newest_seen.max(self.state.applied());
        self.reader.control.newest_seen = self.reader.control.newest_seen.max(end);
        self.apply_controls(records);
        if stale && !self.config.defects.has(DefectKind::StaleRenewal) {
            self.reader.read_soon();
            return;
        }
        if self.reader.newest_read(self.state.applied()) < end {
            self.reader.read_soon();
        }
        let start = if self.config.defects.has(DefectKind::LeaseFromEnd) {
            self.now
        } else {
            started
        };
        self.reader.pending_renewal = Some((start, end));
        self.renew_lease();
    }

    /// Once everything up to the end of the read is applied, renews the lease, makes the state
    /// usable and closes proposals that the read shows to be lost.
    fn renew_lease(&mut self) {
        let Some((started, end)) = self.reader.pending_renewal else {
            return;
        };
        if self.state.applied() < end || self.reader.newer_format {
            return;
        }
        self.reader.pending_renewal = None;
        self.reader.lease_start = self.reader.lease_start.max(Some(started));
        self.start.mark_usable();
        self.close_absent_proposals(started);
    }

    pub(crate) fn handle_read_failed(&mut self, stream: LogStream) {
        match stream {
            LogStream::Plan => self.reader.plan.record_read_failure(self.now),
            LogStream::Control => self.reader.control.record_read_failure(self.now),
            LogStream::Snapshot => self.handle_snapshot_failed(),
            LogStream::Requests(_) => {}
        }
    }

    pub(crate) fn apply_plans(&mut self, records: Vec<RawRecord>) {
        for RawRecord { offset, bytes } in records {
            if offset <= self.state.plans().applied() {
                continue;
            }
            let decoded = decode_record(&bytes, |envelope: &PlanEnvelope| envelope.format);
            match decoded {
                DecodedRecord::Known(envelope) => {
                    let outcome = self.state.apply_plan(offset, envelope);
                    self.changed |= matches!(outcome, PlanOutcome::Accepted(_));
                }
                DecodedRecord::Newer if !self.skips_newer_format() => {
                    self.reader.newer_format = true;
                    return;
                }
                DecodedRecord::Malformed | DecodedRecord::Newer => self.state.skip_plan(offset),
            }
        }
        self.apply_pending();
    }

    /// Queues the control records that are newer than those read before, and applies what can
    /// be applied.
    pub(crate) fn apply_controls(&mut self, records: Vec<RawRecord>) {
        let known = self.reader.newest_read(self.state.applied());
        let new_records = records.into_iter().filter(|record| record.offset > known);
        self.reader.pending.extend(new_records);
        self.apply_pending();
    }

    /// Applies the records that wait, in order, up to the first that must wait longer.
    fn apply_pending(&mut self) {
        while !self.reader.newer_format {
            let Some(record) = self.reader.pending.pop_front() else {
                break;
            };
            if record.offset > self.state.applied() && !self.apply_control_record(&record) {
                self.reader.pending.push_front(record);
                break;
            }
        }
        self.renew_lease();
    }

    /// Applies one control record; returns false if it must wait for a plan or can't be
    /// applied because its format is newer.
    fn apply_control_record(&mut self, record: &RawRecord) -> bool {
        let decoded = decode_record(&record.bytes, |envelope: &ControlEnvelope| envelope.format);
        let envelope = match decoded {
            DecodedRecord::Known(envelope) => envelope,
            DecodedRecord::Newer if !self.skips_newer_format() => {
                self.reader.newer_format = true;
                return false;
            }
            DecodedRecord::Malformed | DecodedRecord::Newer => {
                self.state.skip_control(record.offset);
                return true;
            }
        };
        let id = envelope.id;
        let body = envelope.body.clone();
        match self.state.apply_control(record.offset, envelope) {
            ApplyOutcome::NeedsPlan(_) => {
                self.reader.plan.urgent = true;
                return false;
            }
            ApplyOutcome::Applied => {
                self.changed = true;
                self.record_load_time(record.offset, &body);
                self.add_own_key(&body);
            }
            ApplyOutcome::Rejected(_) => {}
        }
        self.close_applied_proposal(id);
        true
    }

    /// Passes an applied record to the estimate of load times. Records that are applied without
    /// authority count as replayed.
    fn record_load_time(&mut self, offset: LogOffset, body: &ControlRecord) {
        let live = self.has_authority();
        let reservations = self.state.reservations();
        let find_replica = |id| {
            reservations.get(&id).map(|state| ReservedReplica {
                key: state.key.clone(),
                memory: state.memory,
            })
        };
        self.models
            .load_times
            .observe(offset, body, self.now, live, find_replica);
    }

    fn skips_newer_format(&self) -> bool {
        self.config.defects.has(DefectKind::SkipNewerFormat)
    }
}
