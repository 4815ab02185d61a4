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
const RELAY_COUNT: usize = 2;
/// Members told at once of fresh records; larger fleets learn by reading.
const FRESH_LIMIT: usize = 16;
/// First pause before joining again after having been expired.
const REJOIN_FIRST: TimeSpan = TimeSpan::from_millis(500);
/// Doublings of that pause.
const REJOIN_DOUBLINGS: u32 = 6;

/// What is known of the peers.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    heard: IndexMap<DaemonId, MonoTime>,
    relays: IndexMap<u64, DaemonId>,
    sequence: u64,
    last: Option<MonoTime>,
    stepped: MonoTime,
    targets: Vec<DaemonId>,
    version: Option<u64>,
    joined: bool,
    lost: Option<MonoTime>,
    losses: u32,
    announced: LogOffset,
    /// Whether this daemon lacked authority at its last step.
    powerless: bool,
}

impl ProbeTable {
    /// Forces a new choice of targets.
    pub(crate) fn reset(&mut self) {
        self.version = None;
    }

    /// A sign of life came.
    pub(crate) fn heard(&mut self, daemon: &DaemonId, now: MonoTime) {
        if let Some(at) = self.heard.get_mut(daemon) {
            *at = now;
        }
    }

    fn heard_since(&self, daemon: &DaemonId, point: MonoTime) -> bool {
        self.heard.get(daemon).is_some_and(|at| *at >= point)
    }
}

impl ControlCore {
    pub(crate) fn run_membership(&mut self) {
        self.note_pause();
        if self.is_member() {
            self.probes.joined = true;
            self.probes.lost = None;
        } else {
            self.run_join();
            return;
        }
        self.choose_targets();
        let interval = self.config.lease.probe_interval;
        let due = self
            .probes
            .last
            .is_none_or(|last| self.now.since(last) >= interval);
        // Who lacks authority is to look dead to the others, so that they take
        // its duties over: it may be cut off from the log alone.
        if !self.has_authority() {
            self.probes.powerless = true;
            return;
        }
        if std::mem::take(&mut self.probes.powerless) {
            self.forgive_silence();
        }
        if due {
            self.probes.last = Some(self.now);
            self.probe_targets();
        }
        self.expire_silent();
    }

    /// After a pause of this process nobody's silence means anything.
    fn note_pause(&mut self) {
        let pause = self.now.since(self.probes.stepped);
        self.probes.stepped = self.now;
        if pause >= self.config.lease.probe_interval {
            self.forgive_silence();
        }
    }

    /// Begins anew to count how long peers are silent.
    fn forgive_silence(&mut self) {
        let now = self.now;
        self.probes.heard.values_mut().for_each(|at| *at = now);
    }

    fn run_join(&mut self) {
        if !self.start.has_state() || self.stop.is_begun() || !self.reads_are_fresh() {
            return;
        }
        if self.probes.joined {
            self.probes.joined = false;
            self.probes.losses = (self.probes.losses + 1).min(REJOIN_DOUBLINGS);
            self.probes.lost = Some(self.now);
            self.engines.reset();
        }
        let pause = REJOIN_FIRST.millis() << self.probes.losses.saturating_sub(1);
        let waits = self
            .probes
            .lost
            .is_some_and(|at| self.now.since(at) < TimeSpan::from_millis(pause));
        if waits || self.proposer.is_open(&ProposalSubject::Join) {
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
    fn reads_are_fresh(&self) -> bool {
        self.reader
            .lease_start
            .is_some_and(|start| self.now.since(start) < self.config.lease.lease)
    }

    fn choose_targets(&mut self) {
        let version = self.state.member_version();
        if self.probes.version == Some(version) {
            return;
        }
        self.probes.version = Some(version);
        let mut ids: Vec<_> = self.state.members().keys().cloned().collect();
        ids.sort_unstable();
        let mine = ids.iter().position(|id| id == self.me()).unwrap_or(0);
        ids.rotate_left(mine);
        self.probes.targets = ids.into_iter().skip(1).take(PROBE_TARGETS).collect();
        let now = self.now;
        let members = self.state.members();
        self.probes.heard.retain(|id, _| members.contains_key(id));
        for id in members.keys() {
            self.probes.heard.entry(id.clone()).or_insert(now);
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
            if !self.probes.heard_since(&target, silent_since) {
                self.ask_relays(&target);
            }
        }
    }

    fn ask_relays(&mut self, target: &DaemonId) {
        let helpers: Vec<_> = self
            .state
            .members()
            .keys()
            .filter(|daemon| *daemon != target && *daemon != self.me())
            .take(RELAY_COUNT)
            .cloned()
            .collect();
        for helper in helpers {
            self.probes.sequence += 1;
            let message = PeerMessage::ProbeRelay {
                sequence: self.probes.sequence,
                target: target.clone(),
            };
            self.send(&helper, message);
        }
    }

    fn expire_silent(&mut self) {
        let point = self.now - self.config.lease.probe_timeout;
        let silent: Vec<_> = self
            .probes
            .targets
            .iter()
            .filter(|target| !self.probes.heard_since(target, point))
            .cloned()
            .collect();
        let others = self.probes.heard.keys().filter(|id| *id != self.me());
        let alone = others.count() > 1
            && !self
                .probes
                .heard
                .iter()
                .any(|(id, at)| id != self.me() && *at >= point);
        if alone {
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
    pub(crate) fn take_probe_ack(&mut self, sender: &DaemonId, sequence: u64) {
        let Some(asker) = self.probes.relays.swap_remove(&sequence) else {
            return;
        };
        let message = PeerMessage::RelayAck {
            sequence,
            target: sender.clone(),
        };
        self.send(&asker, message);
    }

    pub(crate) fn relay_probe(&mut self, asker: DaemonId, _: u64, target: &DaemonId) {
        /// Relays remembered; older ones have long been answered or never will.
        const RELAY_LIMIT: usize = 64;
        self.probes.sequence += 1;
        let sequence = self.probes.sequence;
        if self.probes.relays.len() >= RELAY_LIMIT {
            self.probes.relays.shift_remove_index(0);
        }
        self.probes.relays.insert(sequence, asker);
        let applied = self.state.applied();
        self.send(target, PeerMessage::Probe { sequence, applied });
    }

    /// Tells members of records that they would otherwise learn by the next read.
    pub(crate) fn announce_fresh(&mut self) {
        let end = self.state.applied();
        if self.state.members().len() > FRESH_LIMIT || self.probes.announced >= end {
            return;
        }
        self.probes.announced = end;
        let members = self.state.members().keys();
        let others: Vec<_> = members
            .filter(|daemon| *daemon != self.me())
            .cloned()
            .collect();
        for daemon in others {
            self.send(&daemon, PeerMessage::Fresh { end });
        }
    }
}
