//! Reading the plan and control streams, and the lease that reading renews.

use std::collections::VecDeque;

use ward_protocol::{
    CodecError, ControlEnvelope, ControlRecord, LogOffset, LogStream, MonoTime, PlanEnvelope,
    RawRecord, TimeSpan, codec, record::RECORD_FORMAT,
};
use ward_state::{ApplyOutcome, PlanOutcome};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::defect::DefectKind;
use crate::models::pace::EndedLoad;

/// Time after which a read without an answer is repeated.
const READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Shortest time between reads, however urgent: a log whose reads end early
/// must not be asked without end.
const URGENT_PAUSE: TimeSpan = TimeSpan::from_millis(5);
/// Time between reads while the log is down.
const FAILED_PAUSE: TimeSpan = TimeSpan::from_millis(500);

/// Reads of one stream.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    asked: Option<MonoTime>,
    last: Option<MonoTime>,
    failed: Option<MonoTime>,
    /// Newest offset that any answer gave.
    seen: LogOffset,
    /// Whether to read as soon as possible.
    urgent: bool,
}

/// What has been read.
#[derive(Debug, Default)]
pub(crate) struct LogReader {
    pub(crate) control: StreamCursor,
    pub(crate) plan: StreamCursor,
    /// Start of the last read that reached the log's end and was applied whole.
    pub(crate) lease_start: Option<MonoTime>,
    /// Records of a newer format were met; nothing after them is applied.
    pub(crate) newer_format: bool,
    pending: VecDeque<RawRecord>,
    renewal: Option<(MonoTime, LogOffset)>,
}

/// A record, or why it can't be used.
enum DecodedRecord<T> {
    Known(T),
    Malformed,
    Newer,
}

impl StreamCursor {
    /// Whether the log failed to answer lately.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failed.is_some()
    }

    fn due(&self, now: MonoTime, interval: TimeSpan) -> bool {
        if let Some(asked) = self.asked {
            return now.since(asked) >= READ_TIMEOUT;
        }
        if let Some(failed) = self.failed {
            return now.since(failed) >= FAILED_PAUSE;
        }
        let pause = if self.urgent { URGENT_PAUSE } else { interval };
        self.last.is_none_or(|last| now.since(last) >= pause)
    }

    fn ask(&mut self, now: MonoTime) {
        self.asked = Some(now);
        self.last = Some(now);
        self.urgent = false;
    }

    fn answered(&mut self) {
        self.asked = None;
        self.failed = None;
    }

    fn fail(&mut self, now: MonoTime) {
        self.asked = None;
        self.failed = Some(now);
    }
}

impl LogReader {
    /// Newest control offset that was heard of.
    pub(crate) const fn control_seen(&self) -> LogOffset {
        self.control.seen
    }

    /// Someone says that the control stream reaches this far.
    pub(crate) fn note_end(&mut self, end: LogOffset) {
        if end > self.control.seen {
            self.control.urgent = true;
        }
    }

    /// Reads the control stream as soon as possible.
    pub(crate) fn hurry(&mut self) {
        self.control.urgent = true;
    }

    /// Newest control offset read, applied or not.
    fn newest(&self, applied: LogOffset) -> LogOffset {
        let pending = self.pending.back().map_or(applied, |record| record.offset);
        pending.max(applied)
    }
}

fn decode_record<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    format: impl Fn(&T) -> u16,
) -> DecodedRecord<T> {
    let result: Result<T, CodecError> = codec::decode(bytes);
    // The format number comes first, so it can be read even if the rest can't.
    let leading = codec::decode_prefix::<u16>(bytes);
    match (result, leading) {
        (_, Ok(number)) if number > RECORD_FORMAT => DecodedRecord::Newer,
        (Ok(record), _) if format(&record) <= RECORD_FORMAT => DecodedRecord::Known(record),
        (Ok(_) | Err(_), _) => DecodedRecord::Malformed,
    }
}

impl ControlCore {
    pub(crate) fn run_reads(&mut self) {
        if !self.start.may_read() {
            return;
        }
        let interval = self.config.lease.read_interval;
        if self.reader.control.due(self.now, interval) {
            self.reader.control.ask(self.now);
            let from = self.reader.newest(self.state.applied());
            self.actions.push(ControlAction::Read {
                stream: LogStream::Control,
                from: LogOffset(from.0 + 1),
            });
        }
        if self.reader.plan.due(self.now, interval) {
            self.reader.plan.ask(self.now);
            self.actions.push(ControlAction::Read {
                stream: LogStream::Plan,
                from: LogOffset(self.state.plans().applied().0 + 1),
            });
        }
        if self.reader.control.is_failing() {
            self.fetch_from_peer();
        }
    }

    pub(crate) fn take_read(
        &mut self,
        stream: LogStream,
        started: MonoTime,
        records: Vec<RawRecord>,
        end: LogOffset,
        cut: Option<LogOffset>,
    ) {
        match stream {
            LogStream::Plan => {
                self.reader.plan.answered();
                self.reader.plan.seen = self.reader.plan.seen.max(end);
                if cut.is_some_and(|cut| cut.0 > self.state.plans().applied().0 + 1) {
                    self.start.restart();
                    return;
                }
                self.apply_plans(records);
            }
            LogStream::Control => self.take_control_read(started, records, end, cut),
            LogStream::Snapshot | LogStream::Requests(_) => {}
        }
    }

    fn take_control_read(
        &mut self,
        started: MonoTime,
        records: Vec<RawRecord>,
        end: LogOffset,
        cut: Option<LogOffset>,
    ) {
        self.reader.control.answered();
        if cut.is_some_and(|cut| cut.0 > self.state.applied().0 + 1) {
            self.start.restart();
            return;
        }
        // What a peer passed on counts as seen, too.
        let stale = end < self.reader.control.seen.max(self.state.applied());
        self.reader.control.seen = self.reader.control.seen.max(end);
        self.apply_controls(records);
        if stale && !self.config.defects.has(DefectKind::StaleRenewal) {
            self.reader.hurry();
            return;
        }
        if self.reader.newest(self.state.applied()) < end {
            self.reader.hurry();
        }
        let start = if self.config.defects.has(DefectKind::LeaseFromEnd) {
            self.now
        } else {
            started
        };
        self.reader.renewal = Some((start, end));
        self.renew_lease();
    }

    /// Renews the lease once everything up to the read's end is applied.
    fn renew_lease(&mut self) {
        let Some((started, end)) = self.reader.renewal else {
            return;
        };
        if self.state.applied() < end || self.reader.newer_format {
            return;
        }
        self.reader.renewal = None;
        self.reader.lease_start = self.reader.lease_start.max(Some(started));
        self.start.mark_usable();
        self.settle_proposals(started);
    }

    pub(crate) fn take_read_failed(&mut self, stream: LogStream) {
        match stream {
            LogStream::Plan => self.reader.plan.fail(self.now),
            LogStream::Control => self.reader.control.fail(self.now),
            LogStream::Snapshot => self.note_snapshot_failed(),
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
                DecodedRecord::Newer if !self.passes_newer() => {
                    self.reader.newer_format = true;
                    return;
                }
                DecodedRecord::Malformed | DecodedRecord::Newer => self.state.skip_plan(offset),
            }
        }
        self.apply_pending();
    }

    pub(crate) fn apply_controls(&mut self, records: Vec<RawRecord>) {
        let known = self.reader.newest(self.state.applied());
        let fresh = records.into_iter().filter(|record| record.offset > known);
        self.reader.pending.extend(fresh);
        self.apply_pending();
    }

    fn apply_pending(&mut self) {
        while !self.reader.newer_format {
            let Some(record) = self.reader.pending.pop_front() else {
                break;
            };
            if record.offset > self.state.applied() && !self.apply_one(&record) {
                self.reader.pending.push_front(record);
                break;
            }
        }
        self.renew_lease();
    }

    /// Applies one control record; false if it has to wait.
    fn apply_one(&mut self, record: &RawRecord) -> bool {
        let decoded = decode_record(&record.bytes, |envelope: &ControlEnvelope| envelope.format);
        let envelope = match decoded {
            DecodedRecord::Known(envelope) => envelope,
            DecodedRecord::Newer if !self.passes_newer() => {
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
                self.note_pace(record.offset, &body);
                self.note_own_key(&body);
            }
            ApplyOutcome::Rejected(_) => {}
        }
        self.note_applied(id);
        true
    }

    fn note_pace(&mut self, offset: LogOffset, body: &ControlRecord) {
        let live = self.has_authority();
        let reservations = self.state.reservations();
        let held = |id| {
            reservations.get(&id).map(|state| EndedLoad {
                key: state.key.clone(),
                memory: state.memory,
            })
        };
        self.models.pace.note(offset, body, self.now, live, held);
    }

    fn passes_newer(&self) -> bool {
        self.config.defects.has(DefectKind::SkipNewerFormat)
    }
}
