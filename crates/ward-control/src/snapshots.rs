//! Bringing plans into force, and writing snapshots.

use ward_protocol::{ControlRecord, LogOffset, MonoTime, PlanRevision, TimeSpan};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::duty::SharedDuty;
use crate::proposer::ProposalSubject;

/// Age of the last snapshot that calls for one, if anything was applied since.
const SNAPSHOT_AGE: TimeSpan = TimeSpan::from_secs(600);
/// Time after which a snapshot without an answer is written again.
const SNAPSHOT_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// How much longer each further daemon holds back.
const RANK_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// What is known of snapshots and of plans to adopt.
#[derive(Debug, Default)]
pub(crate) struct SnapshotDuty {
    asked: Option<MonoTime>,
    stored: Option<(MonoTime, LogOffset)>,
    seen_head: Option<(PlanRevision, MonoTime)>,
}

impl SnapshotDuty {
    pub(crate) fn written(&mut self, control: LogOffset, stored: bool) {
        let asked = self.asked.take();
        if let (true, Some(at)) = (stored, asked) {
            self.stored = Some((at, control));
        }
    }
}

impl ControlCore {
    /// Proposes to adopt the newest accepted plan, the duty's first daemon at once.
    pub(crate) fn run_adopt(&mut self) {
        let head = self.state.plans().head();
        if head <= self.state.adopted() {
            self.snapshots.seen_head = None;
            return;
        }
        let since = match self.snapshots.seen_head {
            Some((seen, since)) if seen == head => since,
            Some(_) | None => {
                self.snapshots.seen_head = Some((head, self.now));
                self.now
            }
        };
        let Some(delay) = self.duty_delay(SharedDuty::Adopt) else {
            return;
        };
        if self.now.since(since) >= delay {
            let body = ControlRecord::Adopt { revision: head };
            self.propose(ProposalSubject::Adopt(head), body);
        }
    }

    /// Brings the configured limits into force where none are.
    pub(crate) fn propose_limits(&mut self) {
        let (limits, base) = self.state.limits();
        let mine = self.duty_delay(SharedDuty::Limits) == Some(TimeSpan::ZERO);
        if mine && base == LogOffset::ZERO && limits != self.config.limits {
            let body = ControlRecord::Limits {
                base,
                limits: self.config.limits,
            };
            self.propose(ProposalSubject::Limits, body);
        }
    }

    pub(crate) fn run_snapshots(&mut self) {
        let waiting = self
            .snapshots
            .asked
            .is_some_and(|at| self.now.since(at) < SNAPSHOT_TIMEOUT);
        let Some(delay) = self.duty_delay(SharedDuty::Snapshot) else {
            return;
        };
        let (at, offset) = self.snapshots.stored.unwrap_or((self.now, LogOffset::ZERO));
        let applied = self.state.applied();
        let many = applied.0.saturating_sub(offset.0) >= self.config.snapshot_records;
        let old = applied > offset && self.now.since(at) >= SNAPSHOT_AGE;
        if waiting || delay > TimeSpan::ZERO || !(many || old) {
            return;
        }
        let Ok(bytes) = self.state.encode() else {
            return;
        };
        self.snapshots.asked = Some(self.now);
        let snapshot = self.ids.next();
        self.actions.push(ControlAction::WriteSnapshot {
            snapshot,
            control: applied,
            plan: self.state.plans().applied(),
            bytes,
        });
    }

    /// How long this daemon holds back in a duty; nothing if it has no part in it.
    fn duty_delay(&self, duty: SharedDuty) -> Option<TimeSpan> {
        let rank = u64::from(self.duty_rank(duty)?);
        Some(TimeSpan::from_millis(RANK_DELAY.millis() * rank))
    }
}
