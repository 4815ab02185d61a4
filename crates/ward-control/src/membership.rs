//! Joining, and finding out which members are alive.
//!
//! Every daemon probes its few successors in id order, so each is probed by a
//! few whatever the fleet's size. A silent peer is probed through others before
//! it is expired; a daemon that hears nobody blames itself. A daemon without
//! authority neither probes nor answers, so that others take over from one that is
//! cut off from the log alone. Telling it in the answer was weighed: it needs a
//! further message and leads to the same `Expire`.

use indexmap::IndexMap;
use ward_protocol::{
    ControlRecord, DaemonId, Incarnation, LogOffset, MemberInfo, MonoTime, PeerMessage, TimeSpan,
};

use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Peers that a daemon probes.
const PROBE_TARGETS: usize = 3;
/// Peers asked to probe a silent one.
const MAX_RELAYS: usize = 2;
/// Members told at once of fresh records; larger fleets learn by reading.
const MAX_ANNOUNCE_MEMBERS: usize = 16;
/// First pause before joining again after having been expired.
const REJOIN_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Doublings of that pause.
const MAX_COUNTED_EXPIRATIONS: u32 = 6;

/// What is known of the peers.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    last_contacts: IndexMap<DaemonId, MonoTime>,
    relays: IndexMap<u64, DaemonId>,
    sequence: u64,
    last_probe: Option<MonoTime>,
    last_step: MonoTime,
    targets: Vec<DaemonId>,
    member_version: Option<u64>,
    was_member: bool,
    expired_at: Option<MonoTime>,
    expirations: u32,
    announced_end: LogOffset,
    /// Whether this daemon lacked authority at its last step.
    lacked_authority: bool,
}

impl ProbeTable {
    /// Forces a new choice of targets.
    pub(crate) fn reset(&mut self) {
        self.member_version = None;
    }

    /// A sign of life came.
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
    pub(crate) fn run_membership(&mut self) {
        self.detect_pause();
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
        // Who lacks authority is to look dead to the others, so that they take
        // its duties over: it may be cut off from the log alone.
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

    /// After a pause of this process nobody's silence means anything.
    fn detect_pause(&mut self) {
        let pause = self.now.since(self.probes.last_step);
        self.probes.last_step = self.now;
        if pause >= self.config.lease.probe_interval {
            self.reset_silence();
        }
    }

    /// Begins anew to count how long peers are silent.
    fn reset_silence(&mut self) {
        let now = self.now;
        self.probes
            .last_contacts
            .values_mut()
            .for_each(|at| *at = now);
    }

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

    /// Whether the log was read to its end lately, member or not.
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
        let silent_since =
            self.now - self.config.lease.probe_interval - self.config.lease.probe_interval;
        for target in self.probes.targets.clone() {
            self.probes.sequence += 1;
            let sequence = self.probes.sequence;
            self.send(&target, PeerMessage::Probe { sequence, applied });
            if !self.probes.had_contact_since(&target, silent_since) {
                self.request_relays(&target);
            }
        }
    }

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

    pub(crate) fn answer_probe(&mut self, sender: &DaemonId, sequence: u64) {
        if !self.has_authority() {
            return;
        }
        let applied = self.state.applied();
        self.send(sender, PeerMessage::ProbeAck { sequence, applied });
    }

    /// An answer to a probe made for another daemon is passed on to it.
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

    pub(crate) fn relay_probe(&mut self, requester: DaemonId, _: u64, target: &DaemonId) {
        /// Relays remembered; older ones have long been answered or never will.
        const RELAY_LIMIT: usize = 64;
        self.probes.sequence += 1;
        let sequence = self.probes.sequence;
        if self.probes.relays.len() >= RELAY_LIMIT {
            self.probes.relays.shift_remove_index(0);
        }
        self.probes.relays.insert(sequence, requester);
        let applied = self.state.applied();
        self.send(target, PeerMessage::Probe { sequence, applied });
    }

    /// Tells members of records that they would otherwise learn by the next read.
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
