//! Joining, leaving and expiring.

use ward_protocol::{DaemonId, Incarnation, LogOffset, MemberInfo};

use super::{ProposalOrigin, Verdict};
use crate::cluster::ClusterState;
use crate::member::MemberState;
use crate::outcome::RejectReason;
use crate::ownership::{MoveCause, hash_text};

/// Daemons whose last life is remembered after they have left.
const LIFE_LIMIT: usize = 4_096;

impl ClusterState {
    pub(super) fn join(
        &mut self,
        offset: LogOffset,
        sender: &DaemonId,
        member: MemberInfo,
    ) -> Verdict {
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
        self.last_lives.insert(sender.clone(), incarnation);
        self.forget_lives();
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
        self.win_engines(sender, offset);
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
    ) -> Verdict {
        if !self.is_member(daemon, incarnation) {
            return Err(RejectReason::WrongIncarnation(daemon.clone(), incarnation));
        }
        self.remove_member(daemon, origin.offset, MoveCause::Other);
        Ok(())
    }

    fn remove_member(&mut self, daemon: &DaemonId, offset: LogOffset, cause: MoveCause) {
        self.members.swap_remove(daemon);
        self.member_version += 1;
        self.lose_engines(daemon, offset, cause);
    }

    fn forget_lives(&mut self) {
        while self.last_lives.len() > LIFE_LIMIT {
            let members = &self.members;
            let Some(index) = self
                .last_lives
                .keys()
                .position(|daemon| !members.contains_key(daemon))
            else {
                return;
            };
            self.last_lives.shift_remove_index(index);
        }
    }
}
