//! Confirms outages of the store that affect all daemons.
//!
//! Failure pattern: the store answers no daemon for seconds, while requests
//! continue and models must be swapped. The coordinator cannot renew its lease
//! then, and cannot know whether a daemon that it does not hear still reaches the
//! store and begins a term. So it asks some daemons
//! of every availability zone, the witnesses, to call the store (a probe). When
//! all of these calls fail, an outage is likely, and the coordinator asks all daemons
//! to support its term (see [`crate::vote`]). With enough support, no other daemon can
//! have taken over when the probe started, and the lease counts from that moment. The
//! lease is left to expire if a single witness reaches the store, or if a daemon has
//! disconnected without announcing its shutdown.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use ward_protocol::{FenceNumber, MonoTime, ZoneName};

use crate::message::HostMember;
use crate::placement::MemberKey;
use crate::vote::TermQuorum;

/// Maximum number of witnesses per availability zone. With a second one, a
/// broken path between the first one and the store does not pass for an outage.
const WITNESSES_PER_ZONE: usize = 2;
/// Number of the latest probes whose replies are still accepted.
const MAX_PROBES: usize = 8;

/// Sequence number of a probe within a term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProbeNumber(pub u64);

/// A connected daemon that the coordinator can choose as a witness, to call the
/// store in a probe and report whether the call failed.
#[derive(Debug, Clone, Copy)]
pub struct WitnessCandidate<'a> {
    /// The daemon's connection to the coordinator.
    pub key: MemberKey,
    /// Name, zone and capacity of the daemon.
    pub member: &'a HostMember,
}

/// A probe that was sent to the witnesses.
#[derive(Debug, Clone)]
struct StoreProbe {
    number: ProbeNumber,
    started: MonoTime,
    /// Witnesses that have not reported a failed call.
    awaited: IndexSet<MemberKey>,
    /// Daemons that have supported the term after all these calls had failed.
    supporters: IndexSet<SocketAddr>,
}

/// Probes of one term and the replies to them.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    /// Number of the last probe that was begun.
    last_number: ProbeNumber,
    probes: VecDeque<StoreProbe>,
}

impl OutageDetector {
    /// Begins a probe; returns the number to send to the witnesses.
    pub fn begin_probe(
        &mut self,
        witnesses: impl IntoIterator<Item = MemberKey>,
        now: MonoTime,
    ) -> ProbeNumber {
        self.last_number = ProbeNumber(self.last_number.0 + 1);
        self.probes.push_back(StoreProbe {
            number: self.last_number,
            started: now,
            awaited: witnesses.into_iter().collect(),
            supporters: IndexSet::new(),
        });
        while self.probes.len() > MAX_PROBES {
            self.probes.pop_front();
        }
        self.last_number
    }

    /// Records that a witness's call to the store failed; returns whether with this the
    /// calls of all witnesses of the probe have failed.
    pub fn record_failed_call(&mut self, witness: MemberKey, number: ProbeNumber) -> bool {
        let Some(probe) = self.find_probe(number) else {
            return false;
        };
        let was_awaited = probe.awaited.swap_remove(&witness);
        was_awaited && probe.awaited.is_empty()
    }

    /// Records that the daemon with this address supports the term in a probe all of whose
    /// calls have failed. Once the support suffices, returns the time at which the probe
    /// started.
    pub fn record_support(
        &mut self,
        supporter: SocketAddr,
        number: ProbeNumber,
        quorum: &TermQuorum,
    ) -> Option<MonoTime> {
        let probe = self.find_probe(number)?;
        if !probe.awaited.is_empty() {
            return None;
        }
        probe.supporters.insert(supporter);
        let suffices = quorum.may_extend(&probe.supporters);
        suffices.then_some(probe.started)
    }

    fn find_probe(&mut self, number: ProbeNumber) -> Option<&mut StoreProbe> {
        let mut probes = self.probes.iter_mut();
        probes.find(|probe| probe.number == number)
    }
}

/// Asks a daemon to support a term in a probe all of whose calls have failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupportRequest {
    /// Number of the probe.
    pub probe: ProbeNumber,
    /// Fencing number of the term.
    pub fence: FenceNumber,
}

/// Chooses the daemons that take part in a probe: the two largest of each zone.
/// Returns none if a daemon that was known at the last renewal is no longer
/// connected, because it may be the one that reaches the store, or if there is
/// no other daemon at all.
#[must_use]
pub fn choose_witnesses(
    known: &[HostMember],
    connected: &[WitnessCandidate<'_>],
) -> Vec<MemberKey> {
    let is_connected = |member: &HostMember| {
        let mut candidates = connected.iter();
        candidates.any(|candidate| candidate.member.daemon == member.daemon)
    };
    if !known.iter().all(is_connected) {
        return Vec::new();
    }
    let mut by_zone: IndexMap<&ZoneName, Vec<&WitnessCandidate<'_>>> = IndexMap::new();
    for candidate in connected {
        let candidates = by_zone.entry(&candidate.member.zone).or_default();
        candidates.push(candidate);
    }
    let mut witnesses = Vec::new();
    for candidates in by_zone.values_mut() {
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.member.capacity.size()));
        let largest = candidates.iter().take(WITNESSES_PER_ZONE);
        witnesses.extend(largest.map(|candidate| candidate.key));
    }
    witnesses
}
