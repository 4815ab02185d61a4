//! Applies log records by rules that are the same on every daemon.

mod backends;
mod membership;
mod plan;
mod replicas;

use ward_protocol::{
    ControlEnvelope, ControlRecord, DaemonId, LogOffset, PlanEnvelope, PlanRevision, StoreLimits,
};

use crate::cluster::ClusterState;
use crate::outcome::{ApplyOutcome, PlanOutcome, RejectReason};

/// Result of a rule: the proposal is applied, or rejected for a reason.
pub(crate) type RuleResult = Result<(), RejectReason>;

/// Offset and sender of a proposal.
#[derive(Debug, Clone)]
pub(crate) struct ProposalOrigin {
    pub(crate) offset: LogOffset,
    pub(crate) sender: DaemonId,
}

impl ClusterState {
    /// Applies a record of the plan stream. A plan that it completes comes into force only by
    /// an `Adopt` record.
    pub fn apply_plan(&mut self, offset: LogOffset, envelope: PlanEnvelope) -> PlanOutcome {
        self.plans.apply_record(offset, envelope, self.adopted)
    }

    /// Counts and skips a plan record that cannot be decoded.
    pub fn skip_plan(&mut self, offset: LogOffset) {
        self.plans.skip_record(offset);
    }

    /// Counts and skips a control record that cannot be decoded.
    pub fn skip_control(&mut self, offset: LogOffset) {
        if offset > self.applied {
            self.applied = offset;
            self.skipped += 1;
        }
    }

    /// Applies a record of the control stream. Records must come in the order of their
    /// offsets; a record that was applied before is rejected.
    pub fn apply_control(&mut self, offset: LogOffset, envelope: ControlEnvelope) -> ApplyOutcome {
        if offset <= self.applied {
            return ApplyOutcome::Rejected(RejectReason::OldOffset(offset));
        }
        if let Some(revision) = self.unread_revision(&envelope) {
            return ApplyOutcome::NeedsPlan(revision);
        }
        self.applied = offset;
        match self.apply_record(offset, envelope) {
            Ok(()) => {
                self.admit_loads();
                ApplyOutcome::Applied
            }
            Err(reason) => ApplyOutcome::Rejected(reason),
        }
    }

    /// The revision that a member's `Adopt` record names, if the plan stream hasn't been
    /// read that far yet.
    fn unread_revision(&self, envelope: &ControlEnvelope) -> Option<PlanRevision> {
        let ControlRecord::Adopt { revision } = envelope.body else {
            return None;
        };
        let unread = revision.0 > self.plans.applied().0;
        let is_member = self.is_member(&envelope.sender, envelope.incarnation);
        (unread && is_member).then_some(revision)
    }

    fn apply_record(&mut self, offset: LogOffset, envelope: ControlEnvelope) -> RuleResult {
        if !self.recent.insert(envelope.id) {
            return Err(RejectReason::Duplicate);
        }
        let sender = envelope.sender;
        if let ControlRecord::Join { member } = envelope.body {
            return self.join(offset, &sender, member);
        }
        let Some(member) = self.members.get(&sender) else {
            return Err(RejectReason::NotMember(sender));
        };
        if member.info.incarnation != envelope.incarnation {
            return Err(RejectReason::WrongIncarnation(sender, envelope.incarnation));
        }
        self.apply_body(&ProposalOrigin { offset, sender }, envelope.body)
    }

    fn apply_body(&mut self, origin: &ProposalOrigin, body: ControlRecord) -> RuleResult {
        match body {
            ControlRecord::Join { member } => self.join(origin.offset, &origin.sender, member),
            ControlRecord::Limits { base, limits } => self.change_limits(origin, base, limits),
            ControlRecord::Leave => {
                self.leave(origin);
                Ok(())
            }
            ControlRecord::Expire {
                daemon,
                incarnation,
            } => self.expire(origin, &daemon, incarnation),
            ControlRecord::Adopt { revision } => self.adopt(revision),
            ControlRecord::BackendSeen { info } => self.backend_seen(origin, info),
            ControlRecord::BackendLeaving { backend } => self.backend_leaving(&backend),
            ControlRecord::BackendGone { backend } => self.backend_gone(origin, &backend),
            ControlRecord::Yield { backend } => self.yield_engine(origin, &backend),
            ControlRecord::Reserve {
                key,
                backend,
                memory,
                priority,
                deadline,
            } => {
                let proposal = replicas::ReserveProposal {
                    key,
                    backend,
                    memory,
                    priority,
                    deadline,
                };
                self.reserve(origin, proposal)
            }
            ControlRecord::Ready { reservation } => self.ready(origin, reservation),
            ControlRecord::Drain { reservation } => self.drain(reservation),
            ControlRecord::Release { reservation, .. } => self.release(origin, reservation),
            ControlRecord::Found {
                backend,
                key,
                memory,
            } => self.found(origin, backend, key, memory),
            ControlRecord::Role { backend, role } => self.change_role(origin, &backend, role),
            ControlRecord::Suspect {
                fingerprint,
                backend,
                until,
            } => {
                if self.suspects.add(fingerprint, backend, until) {
                    Ok(())
                } else {
                    Err(RejectReason::NoChange)
                }
            }
        }
    }

    fn change_limits(
        &mut self,
        origin: &ProposalOrigin,
        base: LogOffset,
        limits: StoreLimits,
    ) -> RuleResult {
        if base != self.limits_base {
            return Err(RejectReason::StaleBase(self.limits_base));
        }
        self.limits = limits;
        self.limits_base = origin.offset;
        Ok(())
    }
}
