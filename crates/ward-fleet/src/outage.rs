//! Whether the store is away for everyone.
//!
//! Failure pattern: the store answers nobody for seconds, while requests go on
//! and models must be swapped. The coordinator cannot renew its lease then, but
//! no other daemon can begin a term either. So it asks some daemons of every
//! availability zone to call the store. When all of them fail, nobody had taken
//! over when they were asked, and the lease counts from that moment. One daemon
//! that reaches the store, or one that is no longer connected without having said
//! that it stops, is enough to let it run out.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use ward_protocol::{MonoTime, ZoneName};

use crate::message::HostMember;
use crate::placement::MemberKey;

/// Daemons asked in each zone; a second one notices when only the first one's
/// way to the store is cut.
const WITNESSES_PER_ZONE: usize = 2;
/// Questions whose answers are still awaited.
const MOST_PROBES: usize = 8;

/// Number of a question whether the store answers; counts up in a term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProbeNumber(pub u64);

/// A connected daemon that could be asked.
#[derive(Debug, Clone, Copy)]
pub struct WitnessCandidate<'a> {
    /// Its connection.
    pub key: MemberKey,
    /// Who it is.
    pub member: &'a HostMember,
}

/// A question that was asked.
#[derive(Debug, Clone)]
struct StoreProbe {
    number: ProbeNumber,
    asked: MonoTime,
    /// Daemons that have not said that their call failed.
    awaited: IndexSet<MemberKey>,
}

/// Questions of one term and their answers.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    newest: ProbeNumber,
    probes: VecDeque<StoreProbe>,
}

impl OutageDetector {
    /// Notes that daemons are asked now.
    pub fn begin_probe(
        &mut self,
        witnesses: impl IntoIterator<Item = MemberKey>,
        now: MonoTime,
    ) -> ProbeNumber {
        self.newest = ProbeNumber(self.newest.0 + 1);
        self.probes.push_back(StoreProbe {
            number: self.newest,
            asked: now,
            awaited: witnesses.into_iter().collect(),
        });
        while self.probes.len() > MOST_PROBES {
            self.probes.pop_front();
        }
        self.newest
    }

    /// Notes that the call of a daemon failed; returns as of when the store was
    /// away for everyone, once all that were asked have said so.
    pub fn record_failure(&mut self, witness: MemberKey, number: ProbeNumber) -> Option<MonoTime> {
        let mut probes = self.probes.iter_mut();
        let probe = probes.find(|probe| probe.number == number)?;
        let was_awaited = probe.awaited.swap_remove(&witness);
        (was_awaited && probe.awaited.is_empty()).then_some(probe.asked)
    }
}

/// The daemons to ask: the two largest of each zone. Nobody when one that was
/// known at the last renewal is no longer connected, since it may be the one that
/// reaches the store, or when there is no other daemon at all.
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
