//! Joining the deployment and detecting failed members.
//!
//! Every daemon probes its next few successors in id order, so each daemon is
//! probed by a few others whatever the number of members. A silent peer is also
//! probed through other members before it is expired. A daemon that hears from none
//! of two or more other members assumes that it is cut off itself and expires none.
//! A daemon without authority neither probes its successors nor answers, so that
//! others take over from one that is cut off only from the log. The alternative,
//! reporting the missing authority in the answer, needs a further message and leads
//! to the same `Expire`.

use indexmap::IndexMap;
use ward_protocol::{
    ControlRecord, DaemonId, Incarnation, LogOffset, MemberInfo, MonoTime, PeerMessage, TimeSpan,
};

use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Number of successors that a daemon probes.
const PROBE_TARGETS: usize = 3;
/// Maximum number of members asked to probe a silent peer.
const MAX_RELAYS: usize = 2;
/// Maximum number of members at which new records are announced to all of them; with
/// more members, each sees the records at its next read.
const MAX_ANNOUNCE_MEMBERS: usize = 16;
/// Delay before this daemon rejoins after it was first expired.
const REJOIN_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Maximum number of expirations counted; each after the first doubles the delay.
const MAX_COUNTED_EXPIRATIONS: u32 = 6;

/// Probes of other members, and this daemon's own membership.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    /// When each member was last known to be alive.
    last_contacts: IndexMap<DaemonId, MonoTime>,
    /// Requesters of relayed probes, by sequence number of the probe.
    relays: IndexMap<u64, DaemonId>,
    /// Sequence number of the last probe sent.
    sequence: u64,
    last_probe: Option<MonoTime>,
    last_step: MonoTime,
    /// Members that this daemon probes.
    targets: Vec<DaemonId>,
    /// Version of the member list from which the targets were chosen.
    member_version: Option<u64>,
    /// Set once this daemon is a member, until it notices that it no longer is.
    was_member: bool,
    /// When this daemon noticed that it is no longer a member; `None` while it is one.
    expired_at: Option<MonoTime>,
    /// Number of times that this daemon was expired, up to [`MAX_COUNTED_EXPIRATIONS`].
    expirations: u32,
    /// Highest control offset announced to other members.
    announced_end: LogOffset,
    /// Whether this daemon lacked authority at its last step.
    lacked_authority: bool,
}

impl ProbeTable {
    /// Makes the next step choose the targets again.
    pub(crate) fn reset(&mut self) {
        self.member_version = None;
    }

    /// Records that a member is alive; ignored for daemons that are not members.
    pub(crate) fn record_contact(&mut self, daemon: &DaemonId, now: MonoTime) {
        if let Some(at) = self.last_contacts.get_mut(daemon) {
            *at = now;
        }
    }

    fn had_contact_since(&self, daemon: &DaemonId, earliest: MonoTime) -> bool {
        self.last_contacts
            .get(daemon)
            .is_some_and(|at| *at >= earliest)
    }
}

impl ControlCore {
    /// Joins if this daemon is no member; otherwise probes its targets and expires silent ones
    /// while it has authority.
    pub(crate) fn run_membership(&mut self) {
        self.reset_silence_after_pause();
        if self.is_member() {
            self.probes.was_member = true;
            self.probes.expired_at = None;
        } else {
            self.run_join();
            return;
        }
        self.choose_targets();
        let interval = self.config.lease.probe_interval;
        let probe_due = self
            .probes
            .last_probe
            .is_none_or(|last| self.now.since(last) >= interval);
        // A daemon without authority stays silent, so that the others expire it and
        // take over its duties: it may be cut off only from the log.
        if !self.has_authority() {
            self.probes.lacked_authority = true;
            return;
        }
        if std::mem::take(&mut self.probes.lacked_authority) {
            self.reset_silence();
        }
        if probe_due {
            self.probes.last_probe = Some(self.now);
            self.probe_targets();
        }
        self.expire_silent();
    }

    /// Resets the silence of all peers if this process was suspended since the last step: it
    /// could not receive anything in that time.
    fn reset_silence_after_pause(&mut self) {
        let pause = self.now.since(self.probes.last_step);
        self.probes.last_step = self.now;
        if pause >= self.config.lease.probe_interval {
            self.reset_silence();
        }
    }

    /// Treats all peers as heard from at this moment, so that their silence is measured anew.
    fn reset_silence(&mut self) {
        let now = self.now;
        self.probes
            .last_contacts
            .values_mut()
            .for_each(|at| *at = now);
    }

    /// Proposes to join, after a delay if this daemon was expired.
    fn run_join(&mut self) {
        if !self.start.has_state() || self.stop.is_begun() || !self.has_recent_read() {
            return;
        }
        if self.probes.was_member {
            self.probes.was_member = false;
            self.probes.expirations = (self.probes.expirations + 1).min(MAX_COUNTED_EXPIRATIONS);
            self.probes.expired_at = Some(self.now);
            self.engines.reset();
        }
        let delay = REJOIN_DELAY.millis() << self.probes.expirations.saturating_sub(1);
        let backing_off = self
            .probes
            .expired_at
            .is_some_and(|at| self.now.since(at) < TimeSpan::from_millis(delay));
        if backing_off || self.proposer.is_open(&ProposalSubject::Join) {
            return;
        }
        let last = self.state.last_incarnation(&self.config.member.daemon);
        if let Some(last) = last
            && last >= self.incarnation
        {
            self.incarnation = Incarnation(self.wall.0.max(last.0 + 1));
        }
        let member = MemberInfo {
            incarnation: self.incarnation,
            ..self.config.member.clone()
        };
        self.propose(ProposalSubject::Join, ControlRecord::Join { member });
    }

    /// Whether a lease counted from the last complete read would still be valid, member
    /// or not.
    fn has_recent_read(&self) -> bool {
        self.reader
            .lease_start
            .is_some_and(|start| self.now.since(start) < self.config.lease.lease)
    }

    fn choose_targets(&mut self) {
        let version = self.state.member_version();
        if self.probes.member_version == Some(version) {
            return;
        }
        self.probes.member_version = Some(version);
        let mut ids: Vec<_> = self.state.members().keys().cloned().collect();
        ids.sort_unstable();
        let own_position = ids.iter().position(|id| id == self.own_id()).unwrap_or(0);
        ids.rotate_left(own_position);
        self.probes.targets = ids.into_iter().skip(1).take(PROBE_TARGETS).collect();
        let now = self.now;
        let members = self.state.members();
        self.probes
            .last_contacts
            .retain(|id, _| members.contains_key(id));
        for id in members.keys() {
            self.probes.last_contacts.entry(id.clone()).or_insert(now);
        }
    }

    fn probe_targets(&mut self) {
        let applied = self.state.applied();
        let earliest =
            self.now - self.config.lease.probe_interval - self.config.lease.probe_interval;
        for target in self.probes.targets.clone() {
            self.probes.sequence += 1;
            let sequence = self.probes.sequence;
            self.send(&target, PeerMessage::Probe { sequence, applied });
            if !self.probes.had_contact_since(&target, earliest) {
                self.request_relays(&target);
            }
        }
    }

    /// Asks other members to probe a silent peer.
    fn request_relays(&mut self, target: &DaemonId) {
        let relays: Vec<_> = self
            .state
            .members()
            .keys()
            .filter(|daemon| *daemon != target && *daemon != self.own_id())
            .take(MAX_RELAYS)
            .cloned()
            .collect();
        for relay in relays {
            self.probes.sequence += 1;
            let message = PeerMessage::ProbeRelay {
                sequence: self.probes.sequence,
                target: target.clone(),
            };
            self.send(&relay, message);
        }
    }

    /// Proposes to expire the targets that have been silent for the probe timeout, unless this
    /// daemon seems to be cut off itself.
    fn expire_silent(&mut self) {
        let earliest = self.now - self.config.lease.probe_timeout;
        let silent: Vec<_> = self
            .probes
            .targets
            .iter()
            .filter(|target| !self.probes.had_contact_since(target, earliest))
            .cloned()
            .collect();
        let others = self
            .probes
            .last_contacts
            .keys()
            .filter(|id| *id != self.own_id());
        let isolated = others.count() > 1
            && !self
                .probes
                .last_contacts
                .iter()
                .any(|(id, at)| id != self.own_id() && *at >= earliest);
        if isolated {
            return;
        }
        for daemon in silent {
            let Some(member) = self.state.members().get(&daemon) else {
                continue;
            };
            let body = ControlRecord::Expire {
                daemon: daemon.clone(),
                incarnation: member.info.incarnation,
            };
            self.propose(ProposalSubject::Expire(daemon), body);
        }
    }

    /// Answers a probe, unless this daemon lacks authority.
    pub(crate) fn answer_probe(&mut self, sender: &DaemonId, sequence: u64) {
        if !self.has_authority() {
            return;
        }
        let applied = self.state.applied();
        self.send(sender, PeerMessage::ProbeAck { sequence, applied });
    }

    /// Passes the answer to a relayed probe on to the daemon that requested it.
    pub(crate) fn handle_probe_ack(&mut self, sender: &DaemonId, sequence: u64) {
        let Some(requester) = self.probes.relays.swap_remove(&sequence) else {
            return;
        };
        let message = PeerMessage::RelayAck {
            sequence,
            target: sender.clone(),
        };
        self.send(&requester, message);
    }

    /// Probes a daemon on behalf of another one.
    pub(crate) fn relay_probe(&mut self, requester: DaemonId, _: u64, target: &DaemonId) {
        /// Maximum number of open relays; the oldest is dropped, since it has long been
        /// answered or never will be.
        const MAX_OPEN_RELAYS: usize = 64;
        self.probes.sequence += 1;
        let sequence = self.probes.sequence;
        if self.probes.relays.len() >= MAX_OPEN_RELAYS {
            self.probes.relays.shift_remove_index(0);
        }
        self.probes.relays.insert(sequence, requester);
        let applied = self.state.applied();
        self.send(target, PeerMessage::Probe { sequence, applied });
    }

    /// Announces the newest applied offset to all other members, if they are few; otherwise
    /// they see the records only at their next regular read.
    pub(crate) fn announce_records(&mut self) {
        let end = self.state.applied();
        if self.state.members().len() > MAX_ANNOUNCE_MEMBERS || self.probes.announced_end >= end {
            return;
        }
        self.probes.announced_end = end;
        let members = self.state.members().keys();
        let others: Vec<_> = members
            .filter(|daemon| *daemon != self.own_id())
            .cloned()
            .collect();
        for daemon in others {
            self.send(&daemon, PeerMessage::Fresh { end });
        }
    }
}
