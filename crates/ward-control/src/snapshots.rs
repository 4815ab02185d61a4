//! Duties that a few daemons hold: proposing to adopt accepted plans, which brings them
//! into force, proposing the first store limits, and writing snapshots.

use ward_protocol::{ControlRecord, LogOffset, MonoTime, PlanRevision, TimeSpan};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::duty::SharedDuty;
use crate::proposer::ProposalSubject;

/// Age of the last snapshot that this daemon wrote after which it writes a new one, if records
/// were applied in the meantime.
const MAX_SNAPSHOT_AGE: TimeSpan = TimeSpan::from_secs(600);
/// Time after which an unanswered write of a snapshot is retried.
const SNAPSHOT_WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Delay per rank before a holder of the duty proposes to adopt a plan, in case those before
/// it did not. Limits and snapshots are left to the first holder, whose delay is zero.
const RANK_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Progress of writing snapshots and of adopting plans.
#[derive(Debug, Default)]
pub(crate) struct SnapshotProgress {
    /// When the write in progress was started.
    write_started: Option<MonoTime>,
    /// Start of the last successful write and the control offset it contains.
    last_stored: Option<(MonoTime, LogOffset)>,
    /// Newest accepted revision not adopted yet, and when it was first seen.
    seen_head: Option<(PlanRevision, MonoTime)>,
}

impl SnapshotProgress {
    pub(crate) fn record_write(&mut self, control: LogOffset, stored: bool) {
        let write_started = self.write_started.take();
        if let (true, Some(at)) = (stored, write_started) {
            self.last_stored = Some((at, control));
        }
    }
}

impl ControlCore {
    /// Proposes to adopt the newest accepted plan; each holder of the duty waits for the
    /// delay of its rank.
    pub(crate) fn run_adopt(&mut self) {
        let head = self.state.plans().head();
        if head <= self.state.adopted() {
            self.snapshots.seen_head = None;
            return;
        }
        let seen_since = match self.snapshots.seen_head {
            Some((seen, since)) if seen == head => since,
            Some(_) | None => {
                self.snapshots.seen_head = Some((head, self.now));
                self.now
            }
        };
        let Some(delay) = self.duty_delay(SharedDuty::Adopt) else {
            return;
        };
        if self.now.since(seen_since) >= delay {
            let body = ControlRecord::Adopt { revision: head };
            self.propose(ProposalSubject::Adopt(head), body);
        }
    }

    /// Proposes the configured limits if the deployment has none yet. Only the first holder
    /// of the duty proposes them.
    pub(crate) fn propose_limits(&mut self) {
        let (limits, base) = self.state.limits();
        let is_first = self.duty_delay(SharedDuty::Limits) == Some(TimeSpan::ZERO);
        if is_first && base == LogOffset::ZERO && limits != self.config.limits {
            let body = ControlRecord::Limits {
                base,
                limits: self.config.limits,
            };
            self.propose(ProposalSubject::Limits, body);
        }
    }

    /// Writes a snapshot when enough records were applied, or when the last one that this
    /// daemon wrote is old. Only the first holder of the duty writes.
    pub(crate) fn run_snapshots(&mut self) {
        let waiting = self
            .snapshots
            .write_started
            .is_some_and(|at| self.now.since(at) < SNAPSHOT_WRITE_TIMEOUT);
        let Some(delay) = self.duty_delay(SharedDuty::Snapshot) else {
            return;
        };
        let (at, offset) = self
            .snapshots
            .last_stored
            .unwrap_or((self.now, LogOffset::ZERO));
        let applied = self.state.applied();
        let many_records = applied.0.saturating_sub(offset.0) >= self.config.snapshot_records;
        let too_old = applied > offset && self.now.since(at) >= MAX_SNAPSHOT_AGE;
        if waiting || delay > TimeSpan::ZERO || !(many_records || too_old) {
            return;
        }
        let Ok(bytes) = self.state.encode() else {
            return;
        };
        self.snapshots.write_started = Some(self.now);
        let snapshot = self.ids.next();
        self.actions.push(ControlAction::WriteSnapshot {
            snapshot,
            control: applied,
            plan: self.state.plans().applied(),
            bytes,
        });
    }

    /// Delay of this daemon's rank in a duty, zero for the first holder; `None` if it doesn't
    /// hold the duty.
    fn duty_delay(&self, duty: SharedDuty) -> Option<TimeSpan> {
        let rank = u64::from(self.duty_rank(duty)?);
        Some(TimeSpan::from_millis(RANK_DELAY.millis() * rank))
    }
}
