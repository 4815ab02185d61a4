//! Applying records, by the rules that every daemon shares.

mod backends;
mod membership;
mod plan;
mod replicas;

use ward_protocol::{
    ControlEnvelope, ControlRecord, DaemonId, LogOffset, PlanEnvelope, PlanRevision, StoreLimits,
};

use crate::cluster::ClusterState;
use crate::outcome::{ApplyOutcome, PlanOutcome, RejectReason};

/// What a rule says of a proposal.
pub(crate) type Verdict = Result<(), RejectReason>;

/// Where a proposal lies and who made it.
#[derive(Debug, Clone)]
pub(crate) struct ProposalOrigin {
    pub(crate) offset: LogOffset,
    pub(crate) sender: DaemonId,
}

impl ClusterState {
    /// Applies a record of the plan stream.
    pub fn apply_plan(&mut self, offset: LogOffset, envelope: PlanEnvelope) -> PlanOutcome {
        self.plans.apply(offset, envelope, self.adopted)
    }

    /// Passes over a plan record that cannot be decoded.
    pub fn skip_plan(&mut self, offset: LogOffset) {
        self.plans.skip(offset);
    }

    /// Passes over a control record that cannot be decoded.
    pub fn skip_control(&mut self, offset: LogOffset) {
        if offset > self.applied {
            self.applied = offset;
            self.skipped += 1;
        }
    }

    /// Applies a record of the control stream.
    pub fn apply_control(&mut self, offset: LogOffset, envelope: ControlEnvelope) -> ApplyOutcome {
        if offset <= self.applied {
            return ApplyOutcome::Rejected(RejectReason::OldOffset(offset));
        }
        if let Some(revision) = self.missing_plan(&envelope) {
            return ApplyOutcome::NeedsPlan(revision);
        }
        self.applied = offset;
        match self.judge(offset, envelope) {
            Ok(()) => {
                self.admit_loads();
                ApplyOutcome::Applied
            }
            Err(reason) => ApplyOutcome::Rejected(reason),
        }
    }

    /// The revision that a member's `Adopt` names when the plan stream wasn't read that far.
    fn missing_plan(&self, envelope: &ControlEnvelope) -> Option<PlanRevision> {
        let ControlRecord::Adopt { revision } = envelope.body else {
            return None;
        };
        let unread = revision.0 > self.plans.applied().0;
        let counts = self.is_member(&envelope.sender, envelope.incarnation);
        (unread && counts).then_some(revision)
    }

    fn judge(&mut self, offset: LogOffset, envelope: ControlEnvelope) -> Verdict {
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
        self.decide(&ProposalOrigin { offset, sender }, envelope.body)
    }

    fn decide(&mut self, origin: &ProposalOrigin, body: ControlRecord) -> Verdict {
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
    ) -> Verdict {
        if base != self.limits_base {
            return Err(RejectReason::StaleBase(self.limits_base));
        }
        self.limits = limits;
        self.limits_base = origin.offset;
        Ok(())
    }
}
