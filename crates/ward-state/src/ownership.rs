//! Assigns engines, models and named duties (background tasks such as writing
//! snapshots) to daemons by rendezvous hashing.
//!
//! Each pair of daemon and id has a rank computed from both hashes, and the daemon
//! with the highest rank is the owner. For engines, daemons of the engine's
//! availability zone rank above all others.

use ward_protocol::{BackendId, BackendKind, DaemonId, FenceNumber, LogOffset, ReplicaKey};

use crate::backend::{BackendState, FormerOwner};
use crate::cluster::ClusterState;
use crate::member::MemberState;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why the owner of an engine changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MoveCause {
    /// The owner left with a `Leave` record after its orders had expired.
    Left,
    /// Any other change; orders of the former owner may still reach the engine.
    Other,
}

/// A 64-bit hash of a text: FNV-1a with a final mix that spreads similar texts.
#[must_use]
pub fn hash_text(text: &str) -> u64 {
    let hash = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// The rendezvous rank of a daemon for an item, both given as hashes of their ids.
#[must_use]
pub const fn rank_pair(daemon: u64, item: u64) -> u64 {
    mix(daemon ^ item.rotate_left(32))
}

const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rank of a member for an engine; a member in the engine's zone outranks all others.
/// Callers break ties by the daemon's id.
fn rank_engine(member: &MemberState, backend: &BackendState, item: u64) -> (bool, u64) {
    let same_zone = member.info.zone == backend.info.zone;
    let rank = rank_pair(member.hash, item);
    (same_zone, rank)
}

impl ClusterState {
    /// The daemon that decides on replicas of a model and its adapters; `None` without
    /// members.
    #[must_use]
    pub fn model_owner(&self, key: &ReplicaKey) -> Option<&DaemonId> {
        let item = hash_text(&key.base().to_string());
        self.highest_ranked(item)
    }

    /// The `count` daemons that rank highest for a named duty, best first.
    #[must_use]
    pub fn duty_holders(&self, duty: &str, count: usize) -> Vec<DaemonId> {
        let item = hash_text(duty);
        let mut ranked: Vec<_> = self
            .members
            .iter()
            .map(|(daemon, member)| (rank_pair(member.hash, item), daemon))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked
            .into_iter()
            .take(count)
            .map(|(_, daemon)| daemon.clone())
            .collect()
    }

    /// The member that ranks highest for an item, given as a hash of its id.
    fn highest_ranked(&self, item: u64) -> Option<&DaemonId> {
        let ranked = self
            .members
            .iter()
            .max_by_key(|(daemon, member)| (rank_pair(member.hash, item), *daemon));
        ranked.map(|(daemon, _)| daemon)
    }

    /// Makes the new member owner of the engines where it ranks above the current owner.
    /// Engines that it owned before and has yielded, because it couldn't reach them, are
    /// left out.
    pub(crate) fn claim_engines(&mut self, newcomer: &DaemonId, offset: LogOffset) {
        let Some(member) = self.members.get(newcomer) else {
            return;
        };
        let mut claimed = Vec::new();
        for (backend, state) in &self.backends {
            if state.info.kind != BackendKind::Engine || state.yielded.contains(newcomer) {
                continue;
            }
            let item = hash_text(backend.as_str());
            let owner = state
                .owner
                .as_ref()
                .and_then(|owner| self.members.get(owner));
            let outranked = owner.is_none_or(|owner| {
                let owner_rank = (rank_engine(owner, state, item), &owner.info.daemon);
                (rank_engine(member, state, item), newcomer) > owner_rank
            });
            if outranked {
                claimed.push(backend.clone());
            }
        }
        for backend in claimed {
            self.move_engine(&backend, Some(newcomer.clone()), offset, MoveCause::Other);
        }
    }

    /// Gives the engines of a daemon that is no longer a member to the remaining members.
    pub(crate) fn reassign_engines(
        &mut self,
        former: &DaemonId,
        offset: LogOffset,
        cause: MoveCause,
    ) {
        let engines: Vec<_> = self
            .backends
            .iter()
            .filter(|(_, state)| state.owner.as_ref() == Some(former))
            .map(|(backend, _)| backend.clone())
            .collect();
        for backend in engines {
            let owner = self.choose_owner(&backend);
            self.move_engine(&backend, owner, offset, cause);
        }
    }

    /// The highest ranked member that hasn't yielded the engine, that is, given it up as its
    /// owner because it couldn't reach it. When all members have yielded it, all may own it
    /// again. `None` if the backend server is not an engine or there are no members.
    pub(crate) fn choose_owner(&mut self, backend: &BackendId) -> Option<DaemonId> {
        let members = &self.members;
        let state = self.backends.get_mut(backend)?;
        if state.info.kind != BackendKind::Engine {
            return None;
        }
        if members.keys().all(|daemon| state.yielded.contains(daemon)) {
            state.yielded.clear();
        }
        let item = hash_text(backend.as_str());
        members
            .values()
            .filter(|member| !state.yielded.contains(&member.info.daemon))
            .max_by_key(|member| (rank_engine(member, state, item), &member.info.daemon))
            .map(|member| member.info.daemon.clone())
    }

    /// Changes the owner of an engine, records the former one and sets a new fencing number.
    pub(crate) fn move_engine(
        &mut self,
        backend: &BackendId,
        owner: Option<DaemonId>,
        offset: LogOffset,
        cause: MoveCause,
    ) {
        self.owner_version += 1;
        let incarnations = &self.last_incarnations;
        let Some(state) = self.backends.get_mut(backend) else {
            return;
        };
        if let Some(daemon) = state.owner.take() {
            let incarnation = incarnations.get(&daemon).copied().unwrap_or_default();
            state.former = Some(FormerOwner {
                daemon,
                incarnation,
                fence: state.fence,
                clean: cause == MoveCause::Left && state.takeover_complete,
            });
        }
        // Without a former owner there is no earlier order to wait for.
        state.takeover_complete = state.former.is_none();
        state.owner = owner;
        state.fence = FenceNumber(offset.0);
    }
}
