//! Records that this daemon has proposed and that are not applied yet.
//!
//! An append whose answer is lost may still be stored. Its proposal stays open
//! until the record is applied, or until a read shows that the record is missing
//! although the append can no longer take effect. Only then may the same subject
//! be proposed again, based on the state at that time.

use indexmap::IndexMap;
use ward_protocol::{
    AppendResult, BackendId, ControlEnvelope, ControlRecord, DaemonId, MonoTime, PlanRevision,
    RecordId, ReplicaKey, RequestFingerprint, ReservationId, TimeSpan, record::RECORD_FORMAT,
};

use crate::action::ControlAction;
use crate::core::ControlCore;
use crate::defect::DefectKind;

/// Maximum number of open proposals.
const MAX_OPEN_PROPOSALS: usize = 64;
/// Time without new proposals after an append that failed or got no answer.
const APPEND_BACKOFF: TimeSpan = TimeSpan::from_millis(300);
/// Time after which an append without an answer counts as unknown.
const APPEND_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// What a proposal is about. At most one proposal per subject is open at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum ProposalSubject {
    Join,
    Leave,
    Limits,
    Expire(DaemonId),
    Adopt(PlanRevision),
    Backend(BackendId),
    Yield(BackendId),
    Role(BackendId),
    Reserve(ReplicaKey),
    Ready(ReservationId),
    Drain(ReservationId),
    Release(ReservationId),
    Found(BackendId, ReplicaKey),
    Suspect(RequestFingerprint, BackendId),
}

/// Progress of an append, with the time at which the phase began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendPhase {
    /// Not answered yet.
    Sent(MonoTime),
    /// Stored by the log, not applied yet.
    Stored(MonoTime),
    /// No answer; the record may or may not be stored.
    Unknown(MonoTime),
}

#[derive(Debug, Clone)]
struct OpenProposal {
    subject: ProposalSubject,
    body: ControlRecord,
    phase: AppendPhase,
}

/// Open proposals.
#[derive(Debug, Default)]
pub(crate) struct Proposer {
    open: IndexMap<RecordId, OpenProposal>,
    subjects: IndexMap<ProposalSubject, RecordId>,
    /// When the last append failed or got no answer.
    last_append_failure: Option<MonoTime>,
}

impl Proposer {
    /// Whether a proposal on a subject is open.
    pub(crate) fn is_open(&self, subject: &ProposalSubject) -> bool {
        self.subjects.contains_key(subject)
    }

    /// Bodies of all open proposals.
    pub(crate) fn bodies(&self) -> impl Iterator<Item = &ControlRecord> {
        self.open.values().map(|proposal| &proposal.body)
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    fn close(&mut self, id: RecordId) -> Option<OpenProposal> {
        let proposal = self.open.swap_remove(&id)?;
        self.subjects.swap_remove(&proposal.subject);
        Some(proposal)
    }
}

impl ControlCore {
    /// Proposes a record. Returns false if a proposal on the same subject is open, too many
    /// are open, or an append failed recently.
    pub(crate) fn propose(&mut self, subject: ProposalSubject, body: ControlRecord) -> bool {
        let backing_off = self
            .proposer
            .last_append_failure
            .is_some_and(|at| self.now.since(at) < APPEND_BACKOFF);
        if backing_off
            || self.proposer.is_open(&subject)
            || self.proposer.len() >= MAX_OPEN_PROPOSALS
        {
            return false;
        }
        let id = self.ids.next();
        let envelope = ControlEnvelope {
            format: RECORD_FORMAT,
            id,
            sender: self.config.member.daemon.clone(),
            incarnation: self.incarnation,
            body: body.clone(),
        };
        let proposal = OpenProposal {
            subject: subject.clone(),
            body,
            phase: AppendPhase::Sent(self.now),
        };
        self.proposer.open.insert(id, proposal);
        self.proposer.subjects.insert(subject, id);
        self.actions.push(ControlAction::Append { envelope });
        true
    }

    pub(crate) fn handle_appended(&mut self, record: RecordId, result: AppendResult) {
        if result != AppendResult::Stored {
            self.proposer.last_append_failure = Some(self.now);
        }
        let assume_stored = self.config.defects.has(DefectKind::GuessStored);
        if result == AppendResult::Unknown && assume_stored {
            self.proposer.close(record);
            return;
        }
        let Some(proposal) = self.proposer.open.get_mut(&record) else {
            return;
        };
        match result {
            AppendResult::Stored => {
                proposal.phase = AppendPhase::Stored(self.now);
                self.reader.read_soon();
            }
            AppendResult::Unknown => proposal.phase = AppendPhase::Unknown(self.now),
            AppendResult::Refused => {
                self.proposer.close(record);
            }
        }
    }

    /// Closes this daemon's proposal of a record that was applied or rejected, and
    /// announces the record to other members.
    pub(crate) fn close_applied_proposal(&mut self, id: RecordId) {
        if self.proposer.close(id).is_some() {
            self.announce_records();
        }
    }

    /// Closes proposals that a read started at `started` and applied to the end of the log
    /// didn't contain, if they can no longer be stored.
    pub(crate) fn close_absent_proposals(&mut self, started: MonoTime) {
        let order_life = self.config.order_life();
        let absent: Vec<_> = self
            .proposer
            .open
            .iter()
            .filter(|(_, proposal)| match proposal.phase {
                AppendPhase::Stored(at) => started > at,
                AppendPhase::Unknown(at) => started > at + order_life,
                AppendPhase::Sent(at) => started > at + APPEND_TIMEOUT + order_life,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in absent {
            self.proposer.close(id);
        }
    }
}
