//! Rules for records on membership: join, leave and expire.

use ward_protocol::{DaemonId, Incarnation, LogOffset, MemberInfo};

use super::{ProposalOrigin, RuleResult};
use crate::cluster::ClusterState;
use crate::member::MemberState;
use crate::outcome::RejectReason;
use crate::ownership::{MoveCause, hash_text};

/// Maximum number of daemons whose last incarnation is kept. Beyond it, the oldest entry
/// of a daemon that isn't a member is dropped.
const MAX_INCARNATIONS: usize = 4_096;

impl ClusterState {
    pub(super) fn join(
        &mut self,
        offset: LogOffset,
        sender: &DaemonId,
        member: MemberInfo,
    ) -> RuleResult {
        if member.daemon != *sender {
            return Err(RejectReason::NotMember(sender.clone()));
        }
        let incarnation = member.incarnation;
        if self
            .last_incarnation(sender)
            .is_some_and(|last| incarnation <= last)
        {
            return Err(RejectReason::WrongIncarnation(sender.clone(), incarnation));
        }
        if self.members.contains_key(sender) {
            self.remove_member(sender, offset, MoveCause::Other);
        }
        self.last_incarnations.insert(sender.clone(), incarnation);
        self.prune_incarnations();
        for state in self.backends.values_mut() {
            state.yielded.retain(|daemon| daemon != sender);
        }
        let state = MemberState {
            info: member,
            joined: offset,
            hash: hash_text(sender.as_str()),
        };
        self.members.insert(sender.clone(), state);
        self.member_version += 1;
        self.claim_engines(sender, offset);
        Ok(())
    }

    pub(super) fn leave(&mut self, origin: &ProposalOrigin) {
        self.remove_member(&origin.sender, origin.offset, MoveCause::Left);
    }

    pub(super) fn expire(
        &mut self,
        origin: &ProposalOrigin,
        daemon: &DaemonId,
        incarnation: Incarnation,
    ) -> RuleResult {
        if !self.is_member(daemon, incarnation) {
            return Err(RejectReason::WrongIncarnation(daemon.clone(), incarnation));
        }
        self.remove_member(daemon, origin.offset, MoveCause::Other);
        Ok(())
    }

    fn remove_member(&mut self, daemon: &DaemonId, offset: LogOffset, cause: MoveCause) {
        self.members.swap_remove(daemon);
        self.member_version += 1;
        self.reassign_engines(daemon, offset, cause);
    }

    fn prune_incarnations(&mut self) {
        while self.last_incarnations.len() > MAX_INCARNATIONS {
            let members = &self.members;
            let Some(index) = self
                .last_incarnations
                .keys()
                .position(|daemon| !members.contains_key(daemon))
            else {
                return;
            };
            self.last_incarnations.shift_remove_index(index);
        }
    }
}
